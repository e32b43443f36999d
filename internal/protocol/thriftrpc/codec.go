package thriftrpc

import (
	"bytes"
	"context"
	"fmt"

	"github.com/apache/thrift/lib/go/thrift"
)

// Method is a method of the service Front.
type Method int

// The methods of the service Front.
const (
	MethodUnknown Method = iota // any other name; answered with an application exception
	MethodServe
	MethodForget
	MethodIsWell
)

// String returns the method's name in the protocol.
func (m Method) String() string {
	switch m {
	case MethodServe:
		return "serve"
	case MethodForget:
		return "forget"
	case MethodIsWell:
		return "isWell"
	}
	return "unknown"
}

// Call is a message from a client.
type Call struct {
	Method       Method
	Name         string // name of the method, as sent
	Seq          int32
	Fields       map[string]string // for MethodServe
	Body         []byte            // for MethodServe; part of the payload
	CancelledSeq int32             // for MethodForget: sequence number of the cancelled call
}

// Codec parses calls and encodes answers. It is not safe for concurrent use. An encoded answer
// is valid until the next call of a method. A Call shares no memory with the Codec, and only its
// Body with the payload.
type Codec struct {
	input, output thrift.TMemoryBuffer
	reader        *thrift.TBinaryProtocol // reads from input
	writer        *thrift.TBinaryProtocol // writes to output
}

// NewCodec returns a Codec that enforces the limits of the protocol.
func NewCodec() *Codec {
	codec := &Codec{}
	config := &thrift.TConfiguration{
		MaxMessageSize:     MaxFrameBytes,
		MaxFrameSize:       MaxFrameBytes,
		MaxContainerSize:   maxFields,
		TBinaryStrictRead:  thrift.BoolPtr(true),
		TBinaryStrictWrite: thrift.BoolPtr(true),
	}
	codec.input.Buffer = &bytes.Buffer{}
	codec.output.Buffer = &bytes.Buffer{}
	codec.reader = thrift.NewTBinaryProtocolConf(&codec.input, config)
	codec.writer = thrift.NewTBinaryProtocolConf(&codec.output, config)
	return codec
}

var ctx = context.Background() // required by the library; no operation here blocks

// Parse parses the payload of one frame. The error wraps ErrMalformed; the connection must then
// be closed, because the rest of its data cannot be trusted either.
func (c *Codec) Parse(payload []byte) (call Call, err error) {
	*c.input.Buffer = *bytes.NewBuffer(payload)
	name, kind, seq, err := c.reader.ReadMessageBegin(ctx)
	if err != nil {
		return call, fmt.Errorf("%w: message header: %w", ErrMalformed, err)
	}
	call.Name = name
	call.Seq = seq
	if kind != thrift.CALL && kind != thrift.ONEWAY {
		return call, fmt.Errorf("%w: message type %d of %.20q", ErrMalformed, kind, name)
	}
	call.Method = methodOf(name, kind)
	if err := c.parseArguments(&call); err != nil {
		return call, err
	}
	if rest := c.input.Len(); rest > 0 {
		return call, fmt.Errorf("%w: %d bytes after the end of call %.20q", ErrMalformed, rest, name)
	}
	return call, nil
}

// methodOf returns the method of a message. Only forget may be sent one way.
func methodOf(name string, kind thrift.TMessageType) Method {
	switch {
	case name == MethodServe.String() && kind == thrift.CALL:
		return MethodServe
	case name == MethodForget.String():
		return MethodForget
	case name == MethodIsWell.String() && kind == thrift.CALL:
		return MethodIsWell
	}
	return MethodUnknown
}

// parseArguments reads the arguments of a call, skipping those that its method does not have.
func (c *Codec) parseArguments(call *Call) error {
	hasSequence := false
	for {
		_, fieldType, id, err := c.reader.ReadFieldBegin(ctx)
		if err != nil {
			return fmt.Errorf("%w: arguments of %.20q: %w", ErrMalformed, call.Name, err)
		}
		if fieldType == thrift.STOP {
			break
		}
		switch {
		case call.Method == MethodServe && id == 1 && fieldType == thrift.MAP:
			call.Fields, err = c.parseFields()
		case call.Method == MethodServe && id == 2 && fieldType == thrift.STRING:
			call.Body, err = c.parseBody()
		case call.Method == MethodForget && id == 1 && fieldType == thrift.I32:
			call.CancelledSeq, err = c.reader.ReadI32(ctx)
			hasSequence = true
		default:
			err = c.reader.Skip(ctx, fieldType)
		}
		if err != nil {
			return fmt.Errorf("%w: argument %d of %.20q: %w", ErrMalformed, id, call.Name, err)
		}
	}
	if call.Method == MethodForget && !hasSequence {
		return fmt.Errorf("%w: forget without the sequence number of a call", ErrMalformed)
	}
	return nil
}

// parseBody returns the bytes of a binary value, which are part of the payload: ReadBinary would
// allocate several times their size.
func (c *Codec) parseBody() ([]byte, error) {
	size, err := c.reader.ReadI32(ctx)
	if err != nil {
		return nil, err
	}
	if size < 0 || int(size) > c.input.Len() {
		return nil, fmt.Errorf("body of %d bytes in a message with %d more", size, c.input.Len())
	}
	return c.input.Next(int(size)), nil
}

// parseFields reads a map of strings.
func (c *Codec) parseFields() (map[string]string, error) {
	keyType, valueType, size, err := c.reader.ReadMapBegin(ctx)
	if err != nil {
		return nil, err
	}
	if size > 0 && (keyType != thrift.STRING || valueType != thrift.STRING) {
		return nil, fmt.Errorf("map from type %d to type %d, want strings", keyType, valueType)
	}
	fields := make(map[string]string, size)
	for range size {
		name, err := c.reader.ReadString(ctx)
		if err != nil {
			return nil, err
		}
		if fields[name], err = c.reader.ReadString(ctx); err != nil {
			return nil, err
		}
	}
	return fields, nil
}
