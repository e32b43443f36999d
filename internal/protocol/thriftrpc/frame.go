package thriftrpc

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The limits of the protocol.
const (
	MaxWriteBytes = 48000                            // body of a write
	MaxFrameBytes = MaxWriteBytes + maxEnvelopeBytes // frame without its length prefix
	MaxOpenCalls  = 32                               // unanswered calls of serve on one connection

	maxEnvelopeBytes = 8192 // message without its body
	maxFields        = 64   // fields of a request
	lengthBytes      = 4
)

// The errors for which a connection is closed. After them, answers could not be matched to
// calls reliably.
var (
	ErrMalformed   = errors.New("thriftrpc: malformed message")
	ErrSequence    = errors.New("thriftrpc: sequence number of a call does not increase")
	ErrTooManyOpen = fmt.Errorf("thriftrpc: more than %d calls open on a connection", MaxOpenCalls)
)

// MissingBytes returns how many bytes are missing until the first frame in data is complete, as far
// as that is known: without the whole length prefix, only the rest of the prefix counts. It is 0 if
// the frame is complete or its length invalid.
func MissingBytes(data []byte) int {
	if len(data) < lengthBytes {
		return lengthBytes - len(data)
	}
	length := int32(binary.BigEndian.Uint32(data))
	if length <= 0 || length > MaxFrameBytes {
		return 0
	}
	return max(lengthBytes+int(length)-len(data), 0)
}

// SplitFrame finds the first complete frame in data. It returns the payload and the size of the
// frame including its length prefix; a size of 0 means that more bytes are needed. It checks
// the length before the payload has arrived, so that callers do not buffer frames that are too
// long. The error wraps ErrMalformed.
func SplitFrame(data []byte) (payload []byte, size int, err error) {
	if len(data) < lengthBytes {
		return nil, 0, nil
	}
	length := int32(binary.BigEndian.Uint32(data))
	if length <= 0 || length > MaxFrameBytes {
		return nil, 0, fmt.Errorf("%w: frame of %d bytes, want 1 to %d", ErrMalformed, length, MaxFrameBytes)
	}
	size = lengthBytes + int(length)
	if len(data) < size {
		return nil, 0, nil
	}
	return data[lengthBytes:size], size, nil
}
