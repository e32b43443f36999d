package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// The client protocol: framed Thrift, strict binary.

const (
	typeStop   = 0
	typeBool   = 2
	typeI32    = 8
	typeString = 11
	typeStruct = 12
	typeMap    = 13
)

// Where the sequence numbers stand in the frames of serve and forget.
const (
	serveSeqOffset  = 12 + len("serve")
	forgetSeqOffset = 12 + len("forget")
	forgetArgOffset = forgetSeqOffset + 4 + 3
)

func thriftHead(name string, kind byte, seq int32) []byte {
	b := []byte{0, 0, 0, 0, 0x80, 0x01, 0, kind}
	b = binary.BigEndian.AppendUint32(b, uint32(len(name)))
	b = append(b, name...)
	return binary.BigEndian.AppendUint32(b, uint32(seq))
}

func thriftEnd(b []byte) []byte {
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}

func appendText(b []byte, text string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	return append(b, text...)
}

// serveFrame encodes a call of serve. fields are alternating names and values; an empty value is
// left out.
func serveFrame(seq int32, body []byte, fields ...string) []byte {
	b := thriftHead("serve", 1, seq)
	count := 0
	for i := 0; i < len(fields); i += 2 {
		if fields[i+1] != "" {
			count++
		}
	}
	b = append(b, typeMap, 0, 1, typeString, typeString)
	b = binary.BigEndian.AppendUint32(b, uint32(count))
	for i := 0; i < len(fields); i += 2 {
		if fields[i+1] != "" {
			b = appendText(appendText(b, fields[i]), fields[i+1])
		}
	}
	b = append(b, typeString, 0, 2)
	b = appendText(b, string(body))
	return thriftEnd(append(b, typeStop))
}

// forgetFrame encodes the one-way call forget. The frame has a sequence number of its own.
func forgetFrame(seq, forgotten int32) []byte {
	b := thriftHead("forget", 4, seq)
	b = append(b, typeI32, 0, 1)
	b = binary.BigEndian.AppendUint32(b, uint32(forgotten))
	return thriftEnd(append(b, typeStop))
}

func wellFrame(seq int32) []byte {
	b := thriftHead("isWell", 1, seq)
	return thriftEnd(append(b, typeBool, 0, 1, 0, typeStop))
}

// reply is an answer of the router.
type reply struct {
	method string
	seq    int32
	word   string // served, refused, failed or exception
	good   bool
	body   []byte
	fields map[string]string
}

var errUnreadable = errors.New("answer cannot be read")

type cursor struct {
	data []byte
	bad  bool
}

func (c *cursor) take(n int) []byte {
	if n < 0 || n > len(c.data) {
		c.bad = true
		return make([]byte, max(0, min(n, 8)))
	}
	b := c.data[:n]
	c.data = c.data[n:]
	return b
}
func (c *cursor) u8() byte     { return c.take(1)[0] }
func (c *cursor) u16() int     { return int(binary.BigEndian.Uint16(c.take(2))) }
func (c *cursor) u32() int     { return int(int32(binary.BigEndian.Uint32(c.take(4)))) }
func (c *cursor) text() []byte { return c.take(c.u32()) }

func (c *cursor) mapOfText() map[string]string {
	c.take(2)
	fields := map[string]string{}
	for range c.u32() {
		if c.bad {
			break
		}
		name := string(c.text())
		fields[name] = string(c.text())
	}
	return fields
}

// readReply reads one frame.
func readReply(r *bufio.Reader) (reply, error) {
	var out reply
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return out, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > 1<<20 {
		return out, errUnreadable
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return out, err
	}
	c := &cursor{data: payload}
	kind := c.u32() & 0xff
	out.method = string(c.text())
	out.seq = int32(c.u32())
	if kind == 3 {
		out.word = "exception"
		return out, nil
	}
	if kind != 2 || c.bad {
		return out, errUnreadable
	}
	if c.u8() != typeStruct {
		return out, errUnreadable
	}
	which := c.u16()
	out.word = map[int]string{0: "served", 1: "refused", 2: "failed"}[which]
	for !c.bad {
		fieldType := c.u8()
		if fieldType == typeStop {
			break
		}
		id := c.u16()
		switch {
		case fieldType == typeString:
			out.body = c.text()
		case fieldType == typeMap:
			out.fields = c.mapOfText()
		case fieldType == typeBool:
			out.good = c.u8() == 1
		default:
			return out, fmt.Errorf("%w: field %d of type %d", errUnreadable, id, fieldType)
		}
	}
	if c.bad || out.word == "" {
		return out, errUnreadable
	}
	return out, nil
}

// The cache protocol: RESP arrays of bulk strings.

func respArray(strings ...[]byte) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(strings))
	for _, text := range strings {
		b = fmt.Appendf(b, "$%d\r\n", len(text))
		b = append(append(b, text...), "\r\n"...)
	}
	return b
}

func readRespLine(r *bufio.Reader, prefix byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 4 || line[0] != prefix {
		return 0, fmt.Errorf("line %q", line)
	}
	return strconv.Atoi(line[1 : len(line)-2])
}

func readRespArray(r *bufio.Reader) ([][]byte, error) {
	count, err := readRespLine(r, '*')
	if err != nil {
		return nil, err
	}
	var out [][]byte
	for range count {
		size, err := readRespLine(r, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		out = append(out, b[:size])
	}
	return out, nil
}
