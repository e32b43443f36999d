package testserver

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/apache/thrift/lib/go/thrift"

	"indigospool/internal/protocol/resp"
)

// The peers of a router on the platform, for tests of internal/proxy/platform: caches, parents
// and origins that speak RESP, the control feed, and clients that speak Thrift. They run on
// loopback sockets, and tests check what these sockets receive.

// PlatformRequest is a request to a cache: an attempt or, with Cancel, the cancellation of one.
type PlatformRequest struct {
	ID     string
	Fields map[string]string
	Body   []byte
	Cancel bool
}

// PlatformConn is a connection of a router to a cache.
type PlatformConn struct {
	net.Conn
	Number int // number of the connection, from 0
	p      *PlatformCache
}

// Done tells the cache that an attempt has been answered.
func (c *PlatformConn) Done(id string) { c.p.addOutstanding(id, -1) }

// Answer writes an answer to an attempt.
func (c *PlatformConn) Answer(id, word, fields string, body []byte) {
	c.Write(resp.AppendArray(nil, []byte(id), []byte(word), []byte(fields), body))
}

// Hit answers an attempt with a cached object that was issued now.
func (c *PlatformConn) Hit(id string, body []byte) {
	c.Answer(id, "HIT", fmt.Sprintf("how=cached,entity=t1,issued=%d", time.Now().UnixMilli()), body)
}

// Reset closes the connection with a TCP reset, as the death of a process does.
func (c *PlatformConn) Reset() {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// PlatformCache is a cache, a parent or an origin. On is called for each request, one at a time
// per connection. It may keep the connection to answer later.
type PlatformCache struct {
	Addr string
	On   func(c *PlatformConn, q PlatformRequest)

	mu          sync.Mutex
	ln          net.Listener
	outstanding map[string]int // number of attempts by ID that have been received and neither answered nor canceled
	conns       int
	received    []PlatformRequest
}

// NewPlatformCache starts a cache that listens on an address; port 0 selects a free port.
func NewPlatformCache(address string, on func(*PlatformConn, PlatformRequest)) (*PlatformCache, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &PlatformCache{Addr: ln.Addr().String(), On: on, ln: ln, outstanding: map[string]int{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			pc := &PlatformConn{Conn: c, Number: p.conns, p: p}
			p.conns++
			p.mu.Unlock()
			go p.serve(pc)
		}
	}()
	return p, nil
}

// Close stops listening. It leaves connections open.
func (p *PlatformCache) Close() { p.ln.Close() }

// Received returns all requests received so far.
func (p *PlatformCache) Received() []PlatformRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]PlatformRequest(nil), p.received...)
}

// Conns returns the number of connections accepted so far.
func (p *PlatformCache) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns
}

// Open returns the number of outstanding attempts: those that have been received whole and
// neither answered nor canceled, and whose connection is open.
func (p *PlatformCache) Open() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.outstanding {
		n += k
	}
	return n
}

func (p *PlatformCache) addOutstanding(id string, delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outstanding[id] += delta; p.outstanding[id] <= 0 {
		delete(p.outstanding, id)
	}
}

func (p *PlatformCache) serve(c *PlatformConn) {
	ids := map[string]bool{}
	defer func() {
		for id := range ids {
			p.addOutstanding(id, -1)
		}
		c.Close()
	}()
	var buf []byte
	chunk := make([]byte, 64<<10)
	for {
		k, err := c.Read(chunk)
		if err != nil {
			return
		}
		buf = append(buf, chunk[:k]...)
		for {
			answer, size, _, err := resp.ReadAnswer(buf) // requests have the format of answers
			if err != nil {
				return
			}
			if size == 0 {
				break
			}
			request := PlatformRequest{ID: string(answer.Word), Body: bytes.Clone(answer.Body), Cancel: string(answer.ID) == "STOP", Fields: map[string]string{}}
			resp.EachField(answer.Fields, func(name, value []byte) bool { request.Fields[string(name)] = string(value); return true })
			buf = buf[size:]
			p.mu.Lock()
			p.received = append(p.received, request)
			if request.Cancel {
				delete(p.outstanding, request.ID)
				delete(ids, request.ID)
			} else {
				p.outstanding[request.ID]++
				ids[request.ID] = true
			}
			p.mu.Unlock()
			p.On(c, request)
		}
	}
}

// PlatformFeed is the control feed. On each connection, the router sends the number of the last
// frame that it has, and a callback writes frames.
type PlatformFeed struct {
	Addr string
	ln   net.Listener
}

// NewPlatformFeed starts a feed on a free port. It calls on for each connection, with the number
// that the router sent.
func NewPlatformFeed(on func(c net.Conn, last uint64)) (*PlatformFeed, error) {
	return NewPlatformFeedAt("127.0.0.1:0", on)
}

// NewPlatformFeedAt starts a feed on an address, such as that of a feed that was closed.
func NewPlatformFeedAt(address string, on func(c net.Conn, last uint64)) (*PlatformFeed, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				var b [8]byte
				if _, err := io.ReadFull(c, b[:]); err == nil {
					on(c, binary.BigEndian.Uint64(b[:]))
				}
			}()
		}
	}()
	return &PlatformFeed{Addr: ln.Addr().String(), ln: ln}, nil
}

// Close stops listening.
func (f *PlatformFeed) Close() { f.ln.Close() }

// PlatformFrame returns a frame of the feed.
func PlatformFrame(n uint64, kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, n), kind), payload...)
}

// PlatformClient is a connection of a client to a router.
type PlatformClient struct {
	net.Conn
	seq int32
}

// DialPlatform connects to a router as a client.
func DialPlatform(address string) (*PlatformClient, error) {
	c, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	return &PlatformClient{Conn: c}, nil
}

// message returns the frame of a message. write appends the arguments.
func message(name string, kind thrift.TMessageType, seq int32, write func(w *thrift.TBinaryProtocol)) []byte {
	m := thrift.NewTMemoryBuffer()
	w := thrift.NewTBinaryProtocolConf(m, &thrift.TConfiguration{})
	m.Write([]byte{0, 0, 0, 0})
	w.WriteMessageBegin(inMemory, name, kind, seq)
	write(w)
	w.WriteFieldStop(inMemory)
	b := m.Bytes()
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}

var inMemory = context.Background() // operations on a memory buffer do not block

// PlatformCall returns the frame of a call of the method serve, or of another method without
// arguments.
func PlatformCall(name string, seq int32, fields map[string]string, body []byte) []byte {
	return message(name, thrift.CALL, seq, func(w *thrift.TBinaryProtocol) {
		if name != "serve" {
			return
		}
		w.WriteFieldBegin(inMemory, "", thrift.MAP, 1)
		w.WriteMapBegin(inMemory, thrift.STRING, thrift.STRING, len(fields))
		for k, v := range fields {
			w.WriteString(inMemory, k)
			w.WriteString(inMemory, v)
		}
		w.WriteFieldBegin(inMemory, "", thrift.STRING, 2)
		w.WriteBinary(inMemory, body)
	})
}

// PlatformForget returns the frame that cancels the call with the sequence number of.
func PlatformForget(seq, of int32) []byte {
	return message("forget", thrift.ONEWAY, seq, func(w *thrift.TBinaryProtocol) {
		w.WriteFieldBegin(inMemory, "", thrift.I32, 1)
		w.WriteI32(inMemory, of)
	})
}

// PlatformResult is a router's answer. Word is served, refused, failed or exception.
type PlatformResult struct {
	Seq    int32
	Word   string
	Body   []byte
	Fields map[string]string
	Good   bool
}

// Ask writes a call of serve and returns its sequence number.
func (c *PlatformClient) Ask(fields map[string]string, body []byte) (int32, error) {
	c.seq++
	_, err := c.Write(PlatformCall("serve", c.seq, fields, body))
	return c.seq, err
}

// IsWell calls isWell and returns its result.
func (c *PlatformClient) IsWell() (bool, error) {
	c.seq++
	if _, err := c.Write(PlatformCall("isWell", c.seq, nil, nil)); err != nil {
		return false, err
	}
	r, err := c.Result(5 * time.Second)
	return r.Good, err
}

// Result reads the next answer. It fails if the answer does not arrive within the given time.
func (c *PlatformClient) Result(within time.Duration) (r PlatformResult, err error) {
	c.SetReadDeadline(time.Now().Add(within))
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return r, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > 1<<20 {
		return r, fmt.Errorf("testserver: answer of %d bytes is too long, want at most %d", n, 1<<20)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(c, b); err != nil {
		return r, err
	}
	return readResult(b)
}

func readResult(b []byte) (r PlatformResult, err error) {
	ctx, m := inMemory, thrift.NewTMemoryBuffer()
	m.Write(b)
	p := thrift.NewTBinaryProtocolConf(m, &thrift.TConfiguration{TBinaryStrictRead: thrift.BoolPtr(true)})
	_, kind, seq, err := p.ReadMessageBegin(ctx)
	if r.Seq = seq; err != nil || kind == thrift.EXCEPTION {
		r.Word = "exception"
		return r, err
	}
	_, t, id, err := p.ReadFieldBegin(ctx)
	if err != nil || t != thrift.STRUCT || id < 0 || id > 2 {
		return r, errors.Join(err, fmt.Errorf("testserver: invalid result: field %d of type %d, want field 0, 1 or 2 of type %d", id, t, thrift.STRUCT))
	}
	r.Word = [...]string{"served", "refused", "failed"}[id]
	r.Fields = map[string]string{}
	for {
		_, t, _, err := p.ReadFieldBegin(ctx)
		if err != nil || t == thrift.STOP {
			break
		}
		switch t {
		case thrift.STRING:
			r.Body, err = p.ReadBinary(ctx)
		case thrift.BOOL:
			r.Good, err = p.ReadBool(ctx)
		case thrift.MAP:
			_, _, n, e := p.ReadMapBegin(ctx)
			if err = e; e != nil {
				break
			}
			for range n {
				k, _ := p.ReadString(ctx)
				r.Fields[strings.Clone(k)], err = p.ReadString(ctx)
			}
		default:
			err = p.Skip(ctx, t)
		}
		if err != nil {
			return r, err
		}
	}
	if _, _, _, err = p.ReadFieldBegin(ctx); err != nil || m.Len() > 0 {
		return r, fmt.Errorf("testserver: result is not terminated or has %d surplus bytes: %v", m.Len(), err)
	}
	return r, nil
}
