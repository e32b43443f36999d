package thriftrpc

import (
	"encoding/binary"
	"fmt"

	"github.com/apache/thrift/lib/go/thrift"
)

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
