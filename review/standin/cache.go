package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// call is a request that reached a cache.
type call struct {
	cache    *cache
	conn     *cacheConn
	id       string
	fields   map[string]string
	body     []byte
	at       time.Time
	gaveUp   chan struct{} // closed when the router has given the request up
	gaveOnce sync.Once
}

func (c *call) giveUp() { c.gaveOnce.Do(func() { close(c.gaveUp) }) }

// over reports whether the request was given up before the wait has passed.
func (c *call) over(wait time.Duration) bool {
	select {
	case <-c.gaveUp:
		return true
	case <-time.After(wait):
		return false
	}
}

// answer writes an answer. It returns false if the connection has ended.
func (c *call) answer(word, fields string, body []byte) bool {
	return c.conn.write(respArray([]byte(c.id), []byte(word), []byte(fields), body)) == nil
}

func (c *call) hit(how string, issued time.Time, body []byte) bool {
	return c.answer("HIT", fmt.Sprintf("how=%s,entity=t1,issued=%d", how, issued.UnixMilli()), body)
}

// cacheConn is a connection of a router to a cache.
type cacheConn struct {
	net.Conn
	mu   sync.Mutex
	open map[string]*call
}

func (c *cacheConn) write(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := c.Conn.Write(b)
	return err
}

// cache is a cache, a parent or the origin: it calls handle for each request, each on a goroutine
// of its own.
type cache struct {
	id, zone, kind string
	listener       net.Listener
	handle         func(*call)
	rec            *record
	quiet          bool // requests are not written to the record
}

func newCache(rec *record, id, zone, kind string, handle func(*call)) (*cache, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cache{id: id, zone: zone, kind: kind, listener: listener, handle: handle, rec: rec}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c, nil
}

func (c *cache) address() string { return c.listener.Addr().String() }

func (c *cache) serve(raw net.Conn) {
	conn := &cacheConn{Conn: raw, open: map[string]*call{}}
	defer func() {
		raw.Close()
		conn.mu.Lock()
		for _, open := range conn.open {
			open.giveUp()
		}
		conn.mu.Unlock()
	}()
	reader := bufio.NewReader(raw)
	for {
		parts, err := readRespArray(reader)
		if err != nil {
			return
		}
		switch {
		case len(parts) == 2 && string(parts[0]) == "STOP":
			conn.mu.Lock()
			open := conn.open[string(parts[1])]
			conn.mu.Unlock()
			if open != nil {
				open.giveUp()
			}
		case len(parts) == 2 && string(parts[0]) == "HELO":
			conn.write(respArray(parts[1], []byte("PONG"), []byte("-"), nil))
		case len(parts) == 4 && string(parts[0]) == "REQ":
			request := &call{cache: c, conn: conn, id: string(parts[1]), fields: parseFields(string(parts[2])), body: parts[3],
				at: time.Now(), gaveUp: make(chan struct{})}
			if !c.quiet {
				c.rec.logf("%s %s got %s %s", c.kind, c.id, request.id, parts[2])
			}
			conn.mu.Lock()
			conn.open[request.id] = request
			conn.mu.Unlock()
			go func() {
				c.handle(request)
				conn.mu.Lock()
				if conn.open[request.id] == request {
					delete(conn.open, request.id)
				}
				conn.mu.Unlock()
			}()
		default:
			c.rec.logf("%s %s cannot use %q", c.kind, c.id, parts)
			return
		}
	}
}

func parseFields(list string) map[string]string {
	fields := map[string]string{}
	if list == "-" {
		return fields
	}
	for _, field := range strings.Split(list, ",") {
		name, value, _ := strings.Cut(field, "=")
		fields[name] = value
	}
	return fields
}

// objectBody returns the bytes of a part of an object.
func objectBody(key, part string, size int) []byte {
	return []byte(strings.Repeat(key+"/"+part+";", size/(len(key)+len(part)+2)+1))[:size]
}
