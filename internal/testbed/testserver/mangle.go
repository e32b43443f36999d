package testserver

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

// respondMalformed writes a malformed response to the raw connection if a fault that asks for one
// is active. It reports whether it has done so.
func (e *exchange) respondMalformed(version, size int64) bool {
	kind := ""
	for _, k := range []string{ResetBody, Truncated, Overlong, Garbage, TwoLengths, LengthAndChunked, BareLF, LargeHeader, Trickle} {
		if e.s.faults.active(k) {
			kind = k
			break
		}
	}
	if kind == "" {
		return false
	}
	h, ok := e.w.(interface {
		Hijack() (net.Conn, *bufio.ReadWriter, error)
	})
	if !ok {
		return false
	}
	c, _, err := h.Hijack()
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(30 * time.Second))
	var lines strings.Builder
	for name, values := range e.w.Header() {
		for _, value := range values {
			if name != "Content-Length" {
				fmt.Fprintf(&lines, "%s: %s\r\n", name, value)
			}
		}
	}
	fields := lines.String()
	body := make([]byte, size)
	Content(body, e.key, version, 0)
	write := func(format string, a ...any) { fmt.Fprintf(c, format, a...) }
	writeHeader := func() { write("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", fields, size) }
	switch kind {
	case ResetBody:
		writeHeader()
		c.Write(body[:size/2])
		time.Sleep(5 * time.Millisecond)
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
	case Truncated:
		writeHeader()
		c.Write(body[:size/2])
	case Overlong:
		writeHeader()
		// The surplus is sent in the same write: if it arrived after the next request had been
		// sent, the client could not tell it from the response to that request.
		c.Write(append(slices.Clip(body), "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxxx"...))
	case Garbage:
		write("\x16\x03\x01 what is this\x00\r\n\r\n")
	case TwoLengths:
		write("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\nContent-Length: %d\r\n\r\n", fields, size, size+1)
		c.Write(body)
	case LengthAndChunked:
		write("HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", fields, size)
		c.Write(body)
		write("\r\n0\r\n\r\n")
	case BareLF:
		write("HTTP/1.1 200 OK\n%sContent-Length: %d\n\n", strings.ReplaceAll(fields, "\r", ""), size)
		c.Write(body)
	case LargeHeader:
		write("HTTP/1.1 200 OK\r\n%sX-Fill: %s\r\nContent-Length: %d\r\n\r\n", fields, strings.Repeat("x", 64<<10), size)
		c.Write(body)
	case Trickle:
		writeHeader()
		for i := range body {
			if _, err := c.Write(body[i : i+1]); err != nil {
				return true
			}
			select {
			case <-e.s.done:
				return true
			case <-time.After(time.Second):
			}
		}
	}
	return true
}
