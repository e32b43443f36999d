package httpfront

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"indigospool/internal/proxy/engine"
	"indigospool/internal/testbed/testserver"
	"indigospool/internal/testbed/trafficlog"
)

// Pipelined writes were sent on after their client had closed its connection, if more of them had
// arrived than the router reads ahead.
func TestPipelinedWritesOfClosedClient(t *testing.T) {
	for name, closeConn := range map[string]func(*net.TCPConn){
		"closed": func(conn *net.TCPConn) { conn.Close() },
		"reset":  func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			rig := newRig(t, 1, "")
			rig.getSmallObjects(10)
			for _, cache := range rig.caches {
				cache.Fault(testserver.Fault{Kind: testserver.Hang, For: 500})
			}
			conn := rig.dial().(*net.TCPConn)
			var text strings.Builder
			text.WriteString("GET /s/1/other HTTP/1.1\r\nHost: h\r\n\r\n")
			for i := range 400 {
				fmt.Fprintf(&text, "POST /o/%d HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k%d\r\nContent-Length: 200\r\n\r\n%s", i, i, strings.Repeat("x", 200))
			}
			io.WriteString(conn, text.String())
			rig.waitFor("the first request", func(s *Stats, _ *engine.Core) bool { return s.Held == 1 })
			time.Sleep(100 * time.Millisecond)
			closeConn(conn)
			time.Sleep(time.Second)
			if n := rig.countRecords(func(rec trafficlog.Record) bool { return rec.Event == trafficlog.WriteExecuted }); n != 0 {
				t.Errorf("%d writes ran whose client had left before they were begun, want 0", n)
			}
		})
	}
}
