package thriftrpc

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"

	spool "indigospool"
)

// serve encodes a call of serve with the codec's writer.
func serve(c *Codec, seq int32, fields []string, body []byte) []byte {
	c.begin("serve", 1, seq)
	c.writeFields(1, fields)
	c.writer.WriteFieldBegin(ctx, "", 11, 2)
	c.writer.WriteBinary(ctx, body)
	c.writer.WriteFieldStop(ctx)
	return bytes.Clone(c.end())
}

// TestFramesSplitAnywhere checks that calls are parsed correctly however the stream is split
// into reads.
func TestFramesSplitAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		codec := NewCodec()
		var all []byte
		calls := rapid.IntRange(1, 4).Draw(t, "calls")
		bodies := [][]byte{}
		for i := range calls {
			bodies = append(bodies, rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "body"))
			all = append(all, serve(codec, int32(i+1), []string{"id", "x", "key", "y"}, bodies[i])...)
		}
		var buf []byte
		got := 0
		for len(all) > 0 {
			k := rapid.IntRange(1, len(all)).Draw(t, "read")
			buf, all = append(buf, all[:k]...), all[k:]
			for {
				p, size, err := SplitFrame(buf)
				if err != nil {
					t.Fatal(err)
				}
				if size == 0 {
					break
				}
				call, err := codec.Parse(p)
				if err != nil || call.Method != MethodServe || int(call.Seq) != got+1 || call.Fields["key"] != "y" || !bytes.Equal(call.Body, bodies[got]) {
					t.Fatalf("call %d: %+v %v", got, call, err)
				}
				got++
				buf = buf[size:]
			}
		}
		if got != calls {
			t.Fatalf("%d calls were parsed, want %d", got, calls)
		}
	})
}

// FuzzParse checks that any input is either parsed or rejected with ErrMalformed, and that a
// parsed call is not larger than its input.
func FuzzParse(f *testing.F) {
	codec := NewCodec()
	f.Add(serve(codec, 1, []string{"id", "9b1f03aa5c7e2d41"}, []byte("body")))
	f.Add(bytes.Clone(codec.Health(7, true)))
	f.Add([]byte{0, 0, 0, 12, 0x80, 1, 0, 1, 0x7f, 0xff, 0xff, 0xff, 's', 'e', 'r', 'v'})
	f.Fuzz(func(t *testing.T, data []byte) {
		p, size, err := SplitFrame(data)
		if err != nil && !errors.Is(err, ErrMalformed) || size > len(data) {
			t.Fatalf("a frame of %d bytes was found in %d bytes: %v", size, len(data), err)
		}
		if size == 0 {
			return
		}
		call, err := codec.Parse(p)
		if err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatal(err)
		}
		n := len(call.Body)
		for k, v := range call.Fields {
			n += len(k) + len(v)
		}
		if n > len(data) {
			t.Fatalf("a call of %d bytes was parsed from %d bytes", n, len(data))
		}
		ParseRequest(&call, func(string) *spool.Class { return &spool.Class{Deadline: 1000} })
	})
}
