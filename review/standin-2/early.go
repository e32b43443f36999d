package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["early"] = playEarly }

// playEarly: the origin turns a large write away before it has read all of its body. It keeps the
// connection, and so reads the rest of that body from it.
func playEarly(d *drill) {
	var mu sync.Mutex
	sent, ran, turnedAway := map[string]bool{}, map[string]bool{}, map[string]bool{}
	serve := func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		for {
			for { // empty lines before a request line are ignored (RFC 9112, section 2.2)
				b, err := in.Peek(1)
				if err != nil {
					return
				}
				if b[0] != '\r' && b[0] != '\n' {
					break
				}
				in.Discard(1)
			}
			r, err := http.ReadRequest(in)
			if err != nil {
				d.note("origin cannot read a request: %.80q", err.Error())
				conn.Write([]byte("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
				return
			}
			key := r.Header.Get("Idempotency-Key")
			mu.Lock()
			turnAway := d.trouble && strings.HasPrefix(r.URL.Path, "/o/first-") && !turnedAway[key]
			turnedAway[key] = turnedAway[key] || turnAway
			mu.Unlock()
			if turnAway {
				d.note("origin turns away %s %s, before its body of %d bytes", r.Method, r.URL.Path, r.ContentLength)
				conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
				time.Sleep(20 * time.Millisecond)
				n, err := io.Copy(io.Discard, r.Body)
				d.note("origin has read the body of %s: %d bytes, error %v", r.URL.Path, n, err)
				if err != nil {
					return
				}
				continue
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				d.note("origin: the body of %s %s breaks off after %d bytes", r.Method, r.URL.Path, len(body))
				return
			}
			d.note("origin runs %s %s with key %q, %d bytes", r.Method, r.URL.Path, key, len(body))
			mu.Lock()
			ran[key] = true
			known := sent[key]
			mu.Unlock()
			if !known {
				d.breach("the origin ran %s %s with key %q, which no client has sent", r.Method, r.URL.Path, key)
			}
			conn.Write(response(r, 200, []byte("saved\n")))
		}
	}
	// Segments of the size that an Ethernet has; those of the loopback are forty times as long.
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		d.giveUp("%v", err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	_, box := d.cache("box-1", "", "")
	listen, _ := d.router(fmt.Sprintf(common, "") + fmt.Sprintf(`(limits (attempts 6))
(fill (direct) (flow 4))
(member box-1 (zone north) (address %q))
(member origin (zone hub) (kind origin) (address %q))
`, box, listener.Addr()))
	// A document that describes requests: empty lines, and the text of a request, 480 times.
	page := strings.Repeat("\r\n", 1000) + "POST /o/example HTTP/1.1\r\nHost: x\r\nIdempotency-Key: example\r\nContent-Length: 0\r\n\r\n"
	document := []byte(strings.Repeat(page, 480))
	write := func(name string) {
		key := "key-" + name
		mu.Lock()
		sent[key] = true
		mu.Unlock()
		a := d.ask(listen, "POST", "/o/"+name, document, "Idempotency-Key", key)
		mu.Lock()
		lost := a.err == nil && a.status == 200 && !ran[key]
		mu.Unlock()
		if lost {
			d.breach("%s was answered 200 and never ran", name)
		}
	}
	for round := range 3 {
		var both sync.WaitGroup
		both.Go(func() { write(fmt.Sprintf("first-%d", round)) })
		time.Sleep(150 * time.Millisecond)
		both.Go(func() { write(fmt.Sprintf("second-%d", round)) })
		both.Wait()
		time.Sleep(500 * time.Millisecond)
	}
}
