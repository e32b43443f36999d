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
	"fmt"

	"github.com/apache/thrift/lib/go/thrift"
)

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
