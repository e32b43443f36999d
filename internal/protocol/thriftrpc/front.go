// Package front is the platform's client protocol as bytes in memory: frames of
// Thrift's framed transport, and the messages of the service Front in the strict
// binary protocol, by the field's own library. It checks every field of a request
// before anything else hears of it.
//
// It does no I/O, keeps nothing between messages and decides nothing: what becomes of
// a request is the module's. internal/proxy/platform is its connections.
package thriftrpc

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/apache/thrift/lib/go/thrift"
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

// Method is what a message asks for.
type Method int

// The methods of the service Front.
const (
	MethodUnknown Method = iota // answered by an application exception
	MethodServe
	MethodForget
	MethodIsWell
)

// Call is one message of a client.
type Call struct {
	Method       Method
	Name         string // as sent
	Seq          int32
	Fields       map[string]string // of Serve
	Body         []byte            // of Serve; its own memory
	CancelledSeq int32             // of Forget: the number of the call that is given up
}

// Codec reads and writes messages. It is not safe for concurrent use; what it returns
// is valid until its next call, except for a Call.
type Codec struct {
	in, out thrift.TMemoryBuffer
	r, w    *thrift.TBinaryProtocol
}

// NewCodec makes a codec.
func NewCodec() *Codec {
	c := &Codec{}
	conf := &thrift.TConfiguration{MaxMessageSize: MaxFrameBytes, MaxFrameSize: MaxFrameBytes, MaxContainerSize: maxFields,
		TBinaryStrictRead: thrift.BoolPtr(true), TBinaryStrictWrite: thrift.BoolPtr(true)}
	c.in.Buffer, c.out.Buffer = &bytes.Buffer{}, &bytes.Buffer{}
	c.r, c.w = thrift.NewTBinaryProtocolConf(&c.in, conf), thrift.NewTBinaryProtocolConf(&c.out, conf)
	return c
}

var ctx = context.Background() // nothing here waits

// Parse reads one frame's payload. An error means that the rest of the connection
// can't be trusted either.
func (c *Codec) Parse(payload []byte) (call Call, err error) {
	*c.in.Buffer = *bytes.NewBuffer(payload)
	name, kind, seq, err := c.r.ReadMessageBegin(ctx)
	if err != nil {
		return call, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	call.Name, call.Seq = name, seq
	if kind != thrift.CALL && kind != thrift.ONEWAY {
		return call, fmt.Errorf("%w: message type %d", ErrMalformed, kind)
	}
	switch {
	case name == "serve" && kind == thrift.CALL:
		call.Method = MethodServe
	case name == "forget":
		call.Method = MethodForget
	case name == "isWell" && kind == thrift.CALL:
		call.Method = MethodIsWell
	}
	forgets := false
	for {
		_, t, id, err := c.r.ReadFieldBegin(ctx)
		if err != nil {
			return call, fmt.Errorf("%w: %v", ErrMalformed, err)
		}
		if t == thrift.STOP {
			break
		}
		switch {
		case call.Method == MethodServe && id == 1 && t == thrift.MAP:
			call.Fields, err = c.fields()
		case call.Method == MethodServe && id == 2 && t == thrift.STRING:
			call.Body, err = c.r.ReadBinary(ctx)
		case call.Method == MethodForget && id == 1 && t == thrift.I32:
			call.CancelledSeq, err = c.r.ReadI32(ctx)
			forgets = true
		default:
			err = c.r.Skip(ctx, t)
		}
		if err != nil {
			return call, fmt.Errorf("%w: field %d of %.20q: %v", ErrMalformed, id, name, err)
		}
	}
	if n := c.in.Len(); n > 0 {
		return call, fmt.Errorf("%w: %d bytes after the end of %.20q", ErrMalformed, n, name)
	}
	if call.Method == MethodForget && !forgets {
		return call, fmt.Errorf("%w: forget names no call", ErrMalformed)
	}
	return call, nil
}

func (c *Codec) fields() (map[string]string, error) {
	k, v, n, err := c.r.ReadMapBegin(ctx)
	if err != nil {
		return nil, err
	}
	if n > 0 && (k != thrift.STRING || v != thrift.STRING) {
		return nil, fmt.Errorf("a map from type %d to type %d", k, v)
	}
	m := make(map[string]string, n)
	for range n {
		name, err := c.r.ReadString(ctx)
		if err != nil {
			return nil, err
		}
		if m[name], err = c.r.ReadString(ctx); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// begin opens a message's frame and its result struct. Writes to memory can't fail.
func (c *Codec) begin(name string, kind thrift.TMessageType, seq int32) {
	c.out.Reset()
	c.out.Write([]byte{0, 0, 0, 0})
	c.w.WriteMessageBegin(ctx, name, kind, seq)
}

// end closes the frame.
func (c *Codec) end() []byte {
	b := c.out.Bytes()
	binary.BigEndian.PutUint32(b, uint32(len(b)-lengthBytes))
	return b
}

func (c *Codec) writeFields(id int16, names []string) {
	c.w.WriteFieldBegin(ctx, "", thrift.MAP, id)
	c.w.WriteMapBegin(ctx, thrift.STRING, thrift.STRING, len(names)/2)
	for _, s := range names {
		c.w.WriteString(ctx, s)
	}
}

// answer writes an Answer as the result of a call.
func (c *Codec) answer(name string, seq int32, body []byte, good bool, fields ...string) []byte {
	c.begin(name, thrift.REPLY, seq)
	c.w.WriteFieldBegin(ctx, "", thrift.STRUCT, 0)
	c.w.WriteFieldBegin(ctx, "", thrift.STRING, 1)
	c.w.WriteBinary(ctx, body)
	c.writeFields(2, fields)
	c.w.WriteFieldBegin(ctx, "", thrift.BOOL, 3)
	c.w.WriteBool(ctx, good)
	c.w.WriteFieldStop(ctx)
	c.w.WriteFieldStop(ctx)
	return c.end()
}

// Served answers with an object's bytes or, when same, that the client's copy is the one.
func (c *Codec) Served(seq int32, body []byte, same bool) []byte {
	if same {
		return c.answer("serve", seq, nil, true, "current", "1")
	}
	return c.answer("serve", seq, body, true)
}

// Health answers isWell.
func (c *Codec) Health(seq int32, good bool) []byte { return c.answer("isWell", seq, nil, good) }

func (c *Codec) thrown(seq int32, id int16, fields ...string) []byte {
	c.begin("serve", thrift.REPLY, seq)
	c.w.WriteFieldBegin(ctx, "", thrift.STRUCT, id)
	c.writeFields(1, fields)
	c.w.WriteFieldStop(ctx)
	c.w.WriteFieldStop(ctx)
	return c.end()
}

// Rejected answers Throttled; after is how long to stay away in ms, 0: not told.
func (c *Codec) Rejected(seq int32, after float64) []byte {
	if after < 1 {
		return c.thrown(seq, 1)
	}
	return c.thrown(seq, 1, "after", fmt.Sprintf("%.0f", after))
}

// Failed answers Broken.
func (c *Codec) Failed(seq int32) []byte { return c.thrown(seq, 2) }

// UnknownMethod answers a call of another name than the service's.
func (c *Codec) UnknownMethod(name string, seq int32) []byte {
	c.begin(name, thrift.EXCEPTION, seq)
	thrift.NewTApplicationException(thrift.UNKNOWN_METHOD, "unknown method").Write(ctx, c.w)
	return c.end()
}
