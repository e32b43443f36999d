package thriftrpc

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The bounds of the protocol.
const (
	MaxWriteBytes = 48000                            // of the body of a write
	MaxFrameBytes = MaxWriteBytes + maxEnvelopeBytes // of a frame without its length
	MaxOpenCalls  = 32                               // calls of serve without an answer, of a connection

	maxEnvelopeBytes = 8192 // of a message without its body
	maxFields        = 64   // of a request
	lengthBytes      = 4
)

// The errors for which a connection is closed: who breaks these rules cannot tell answers apart.
var (
	ErrMalformed   = errors.New("thriftrpc: malformed message")
	ErrSequence    = errors.New("thriftrpc: sequence number of a call does not rise")
	ErrTooManyOpen = fmt.Errorf("thriftrpc: over %d calls open on a connection", MaxOpenCalls)
)

// SplitFrame finds the first complete frame in data: its payload, and how many bytes it takes
// with its length. A size of 0 says that more bytes are needed. The length is checked before
// the payload is there, so that no room is made for what would be rejected. An error wraps
// ErrMalformed.
func SplitFrame(data []byte) (payload []byte, size int, err error) {
	if len(data) < lengthBytes {
		return nil, 0, nil
	}
	length := int32(binary.BigEndian.Uint32(data))
	if length <= 0 || length > MaxFrameBytes {
		return nil, 0, fmt.Errorf("%w: a frame of %d bytes, want 1 to %d", ErrMalformed, length, MaxFrameBytes)
	}
	size = lengthBytes + int(length)
	if len(data) < size {
		return nil, 0, nil
	}
	return data[lengthBytes:size], size, nil
}
