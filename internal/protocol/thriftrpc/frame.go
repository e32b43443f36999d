package thriftrpc

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The protocol's bounds, in bytes and counts.
const (
	MaxObjectBytes = 240000 // bytes of an answer
	MaxWriteBytes  = 48000  // bytes that a write brings
	MaxOpenCalls   = 32     // open requests of a connection
	maxEnvelope    = 8192   // bytes of a message but for its body
	MaxFrameBytes  = MaxWriteBytes + maxEnvelope
	maxFields      = 64
	lengthBytes    = 4
)

// ErrMalformed is what a connection is closed for.
var ErrMalformed = errors.New("front: unreadable message")

// SplitFrame finds the first whole frame in b: its payload and how many bytes it takes. A
// size of 0 says that more bytes are needed. The length is judged before the payload is
// there, so that nobody makes room for what would be turned away.
func SplitFrame(b []byte) (payload []byte, size int, err error) {
	if len(b) < lengthBytes {
		return nil, 0, nil
	}
	n := int32(binary.BigEndian.Uint32(b))
	if n <= 0 || n > MaxFrameBytes {
		return nil, 0, fmt.Errorf("%w: a frame of %d bytes; 1 to %d are taken", ErrMalformed, n, MaxFrameBytes)
	}
	if len(b) < lengthBytes+int(n) {
		return nil, 0, nil
	}
	size = lengthBytes + int(n)
	return b[lengthBytes:size], size, nil
}
