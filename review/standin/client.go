package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

func newReader(conn net.Conn) *bufio.Reader { return bufio.NewReaderSize(conn, 1<<16) }

// ask is a request of a client, and what became of it.
type ask struct {
	id, class, key, part, once string
	retry                      bool
	wait                       int // ms
	body                       []byte
	conn                       string
	seq                        int32
	sentAt                     time.Time // before its last byte was written
	forgotten                  time.Time
	answeredAt                 time.Time
	word                       string
	answers                    int
	connEnded                  string // how the router ended the connection while the request was open
	wrongBody                  bool
}

// clientConn is a connection of a client to a router.
type clientConn struct {
	name   string
	conn   net.Conn
	rec    *record
	mu     sync.Mutex
	seq    int32
	open   map[int32]*ask
	all    map[int32]*ask
	extra  int // answers to no request
	closed bool
	ended  chan struct{}
	onDone func(*ask)
	check  func(*ask, reply) bool // whether the body is right
}

func dialClient(rec *record, name, address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &clientConn{name: name, conn: conn, rec: rec, open: map[int32]*ask{}, all: map[int32]*ask{}, ended: make(chan struct{})}
	return c, nil
}

func (c *clientConn) start() { go c.read() }

func (c *clientConn) read() {
	defer close(c.ended)
	reader := newReader(c.conn)
	for {
		answer, err := readReply(reader)
		now := time.Now()
		c.mu.Lock()
		if err != nil {
			if !c.closed {
				c.rec.logf("%s: the router ended the connection (%v) with %d open requests", c.name, err, len(c.open))
				for _, a := range c.open {
					a.connEnded = err.Error()
				}
			}
			c.closed = true
			c.mu.Unlock()
			c.conn.Close()
			return
		}
		if answer.method != "serve" {
			c.mu.Unlock()
			continue
		}
		a := c.all[answer.seq]
		if a == nil {
			c.extra++
			c.rec.logf("%s: answer %s to number %d, which was never sent", c.name, answer.word, answer.seq)
			c.mu.Unlock()
			continue
		}
		a.answers++
		if a.answers == 1 {
			a.word, a.answeredAt = answer.word, now
			if answer.word == "served" && c.check != nil && !c.check(a, answer) {
				a.wrongBody = true
			}
		}
		delete(c.open, answer.seq)
		c.rec.logf("%s: answer %s to number %d %s, %d bytes", c.name, answer.word, answer.seq, a.id, len(answer.body))
		done := c.onDone
		c.mu.Unlock()
		if done != nil {
			done(a)
		}
	}
}

func (a *ask) frame() []byte {
	retry := ""
	if a.retry {
		retry = "1"
	}
	return serveFrame(a.seq, a.body, "class", a.class, "id", a.id, "wait", fmt.Sprint(a.wait), "retry", retry, "once", a.once,
		"key", a.key, "slice", a.part, "set", "17")
}

// send writes forgets of open requests and new requests in one write. It returns false if the
// connection has ended.
func (c *clientConn) send(forget []*ask, asks []*ask) bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	var out []byte
	now := time.Now()
	for _, a := range forget {
		if c.open[a.seq] != a {
			continue
		}
		a.forgotten = now
		delete(c.open, a.seq)
		c.seq++
		out = append(out, forgetFrame(c.seq, a.seq)...)
		c.rec.logf("%s: forget number %d %s", c.name, a.seq, a.id)
	}
	for _, a := range asks {
		c.seq++
		a.seq, a.conn = c.seq, c.name
		a.sentAt = now
		c.open[a.seq], c.all[a.seq] = a, a
		out = append(out, a.frame()...)
		c.rec.logf("%s: request number %d %s class %s wait %d key %s slice %s once %s", c.name, a.seq, a.id, a.class, a.wait, a.key, a.part, a.once)
	}
	c.mu.Unlock()
	if _, err := c.conn.Write(out); err != nil {
		return false
	}
	return true
}

func (c *clientConn) openAsks() (list []*ask) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.open {
		list = append(list, a)
	}
	return list
}

func (c *clientConn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.conn.Close()
}
