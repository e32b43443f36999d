package thriftrpc

import (
	"encoding/binary"
	"strconv"

	"github.com/apache/thrift/lib/go/thrift"
)

// The field ids in the result of serve and isWell: the answer or an exception.
const (
	resultAnswer    = 0
	resultThrottled = 1
	resultBroken    = 2
)

// Served returns the answer to a call of serve: the object's bytes or, if notModified is set,
// the information that the client's copy is current.
func (c *Codec) Served(seq int32, body []byte, notModified bool) []byte {
	if notModified {
		return c.answer(MethodServe, seq, nil, true, "current", "1")
	}
	return c.answer(MethodServe, seq, body, true)
}

// Health returns the answer to a call of isWell.
func (c *Codec) Health(seq int32, good bool) []byte {
	return c.answer(MethodIsWell, seq, nil, good)
}

// Rejected returns the exception Throttled. retryAfter is the time in ms after which the client
// may retry; below 1 it is omitted.
func (c *Codec) Rejected(seq int32, retryAfter float64) []byte {
	if retryAfter < 1 {
		return c.exception(seq, resultThrottled)
	}
	return c.exception(seq, resultThrottled, "after", strconv.FormatFloat(retryAfter, 'f', 0, 64))
}

// Failed returns the exception Broken.
func (c *Codec) Failed(seq int32) []byte { return c.exception(seq, resultBroken) }

// UnknownMethod returns the application exception for a call of a method that the service does
// not have.
func (c *Codec) UnknownMethod(name string, seq int32) []byte {
	c.begin(name, thrift.EXCEPTION, seq)
	thrift.NewTApplicationException(thrift.UNKNOWN_METHOD, "unknown method").Write(ctx, c.writer)
	return c.end()
}

// answer encodes the struct Answer as the result of a call. fields are alternating names and
// values.
func (c *Codec) answer(method Method, seq int32, body []byte, good bool, fields ...string) []byte {
	c.begin(method.String(), thrift.REPLY, seq)
	c.writer.WriteFieldBegin(ctx, "", thrift.STRUCT, resultAnswer)
	c.writer.WriteFieldBegin(ctx, "", thrift.STRING, 1)
	c.writer.WriteBinary(ctx, body)
	c.writeFields(2, fields)
	c.writer.WriteFieldBegin(ctx, "", thrift.BOOL, 3)
	c.writer.WriteBool(ctx, good)
	c.writer.WriteFieldStop(ctx)
	c.writer.WriteFieldStop(ctx)
	return c.end()
}

// exception encodes an exception of serve. fields are alternating names and values.
func (c *Codec) exception(seq int32, result int16, fields ...string) []byte {
	c.begin(MethodServe.String(), thrift.REPLY, seq)
	c.writer.WriteFieldBegin(ctx, "", thrift.STRUCT, result)
	c.writeFields(1, fields)
	c.writer.WriteFieldStop(ctx)
	c.writer.WriteFieldStop(ctx)
	return c.end()
}

// begin starts the frame of a message. The errors of writes are ignored here and in the methods
// below, because writes to memory do not fail.
func (c *Codec) begin(name string, kind thrift.TMessageType, seq int32) {
	c.output.Reset()
	c.output.Write(make([]byte, lengthBytes)) // filled in by end
	c.writer.WriteMessageBegin(ctx, name, kind, seq)
}

// end sets the length of the frame and returns it.
func (c *Codec) end() []byte {
	frame := c.output.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthBytes))
	return frame
}

// writeFields writes a field with the given id whose value is a map of strings. fields are
// alternating names and values.
func (c *Codec) writeFields(id int16, fields []string) {
	c.writer.WriteFieldBegin(ctx, "", thrift.MAP, id)
	c.writer.WriteMapBegin(ctx, thrift.STRING, thrift.STRING, len(fields)/2)
	for _, text := range fields {
		c.writer.WriteString(ctx, text)
	}
}
