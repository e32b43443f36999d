package server

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/testbed/testserver"
	"indigospool/internal/testbed/trafficlog"
)

// noSockets are system calls that create no socket, for lack of buffers.
type noSockets struct{ eventloop.KernelCalls }

func (noSockets) Socket(int) (int, error) { return -1, unix.ENOBUFS }

// writesExecuted returns how many writes the origin has executed.
func (r *rig) writesExecuted() (n int) {
	for _, record := range r.trafficLog.Records() {
		if record.Event == trafficlog.WriteExecuted {
			n++
		}
	}
	return n
}

// write returns the message of a keyed write with an attempt that names the source's address.
func (r *rig) write(number int, source string) string {
	path := fmt.Sprintf("/order/%d", number)
	attempt := fetchheader.Attempt{ID: fmt.Sprint("q", number), From: "r1", Class: "order", Object: path, Group: -1, Source: "o", SourceAddress: source}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: k%d\r\nContent-Length: 200\r\n\r\n%s", path, fetchheader.FillField,
		strings.TrimSpace(string(attempt.Append(nil))), fetchheader.IdempotencyKeyField, number, strings.Repeat("x", 200))
}

// A cache forwarded a write that it had not read, or not sent on, when its client closed the
// connection: the router had given the attempt up, and sent the write by another cache.
func TestWritesOfClosedClient(t *testing.T) {
	for _, reset := range []bool{false, true} {
		send := func(r *rig, text string, pause time.Duration) {
			conn, err := net.Dial("tcp", r.server.Addr())
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(conn, text)
			time.Sleep(pause)
			if reset {
				conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
		}
		for name, play := range map[string]func(r *rig){
			"before it is read": func(r *rig) {
				released := make(chan bool)
				r.server.loop.Post(func() { <-released })
				send(r, r.write(1, r.origin.Addr()), 20*time.Millisecond)
				time.Sleep(50 * time.Millisecond)
				close(released)
			},
			"behind another request": func(r *rig) {
				r.origin.Fault(testserver.Fault{Kind: testserver.Hang, For: 300})
				attempt := fetchheader.Attempt{ID: "q0", From: "r1", Class: "still", Object: "/still/1/a", Group: 7, Keep: 2, Source: "o", SourceAddress: r.origin.Addr()}
				text := fmt.Sprintf("GET /still/1/a HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", fetchheader.FillField, strings.TrimSpace(string(attempt.Append(nil))))
				for i := range 400 {
					text += r.write(i, r.origin.Addr())
				}
				send(r, text, 100*time.Millisecond)
			},
			"while its source is dialled": func(r *rig) {
				r.server.loop.Call(time.Second, func() { r.server.Intercept(noSockets{}) })
				send(r, r.write(1, r.origin.Addr()), 100*time.Millisecond)
				time.Sleep(50 * time.Millisecond)
				r.server.loop.Call(time.Second, func() { r.server.Intercept(nil) })
			},
		} {
			t.Run(fmt.Sprint(name, " reset ", reset), func(t *testing.T) {
				r := newRig(t, "")
				play(r)
				time.Sleep(700 * time.Millisecond)
				if n := r.writesExecuted(); n != 0 {
					t.Errorf("%d writes ran whose client had left before they were sent on, want 0", n)
				}
			})
		}
	}
}
