package platform

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/testbed/testserver"
)

// slowMember is a listener whose backlog is full, so that the kernel drops new connection
// requests until connections are accepted. A client's kernel retries after 1 s.
type slowMember struct {
	fd      int
	address string
	queued  []net.Conn
}

func newSlowMember(t *testing.T) *slowMember {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	a := sa.(*unix.SockaddrInet4)
	return &slowMember{fd: fd, address: netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)).String()}
}

// fillBacklog fills the listener's backlog.
func (m *slowMember) fillBacklog(t *testing.T) {
	t.Helper()
	for range 8 {
		c, err := net.DialTimeout("tcp", m.address, 100*time.Millisecond)
		if err != nil {
			return
		}
		m.queued = append(m.queued, c)
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the backlog does not fill")
}

// acceptRequest accepts one connection and reads its first request, which is empty if none
// arrives within 500 ms.
func (m *slowMember) acceptRequest(t *testing.T) (conn net.Conn, first []byte) {
	t.Helper()
	if k, _ := unix.Poll([]unix.PollFd{{Fd: int32(m.fd), Events: unix.POLLIN}}, int(waitTimeout.Milliseconds())); k <= 0 {
		t.Fatal("no connection arrived")
	}
	fd, _, err := unix.Accept(m.fd)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "connection")
	defer f.Close()
	if conn, err = net.FileConn(f); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	b := make([]byte, 4096)
	conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	k, _ := conn.Read(b)
	return conn, b[:k]
}

// acceptBacklog accepts the connections that filled the backlog.
func (m *slowMember) acceptBacklog(t *testing.T) {
	t.Helper()
	for range m.queued {
		fd, _, err := unix.Accept(m.fd)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { unix.Close(fd) })
	}
}

// countRequests accepts connections for the given time and returns on how many of them a request
// arrived.
func (m *slowMember) countRequests(t *testing.T, span time.Duration) (requests int) {
	t.Helper()
	end := time.Now().Add(span)
	for time.Now().Before(end) {
		poll := []unix.PollFd{{Fd: int32(m.fd), Events: unix.POLLIN}}
		if k, _ := unix.Poll(poll, int(time.Until(end).Milliseconds())+1); k <= 0 {
			continue
		}
		fd, _, err := unix.Accept(m.fd)
		if err != nil {
			t.Fatal(err)
		}
		defer unix.Close(fd)
		poll[0].Fd = int32(fd)
		var b [4096]byte
		if k, _ := unix.Poll(poll, 300); k > 0 {
			if k, _ := unix.Read(fd, b[:]); k > 0 {
				requests++
			}
		}
	}
	return requests
}

// TestRetryAfterIdempotencyWindow checks that a write with an idempotency key, which may have
// been executed, is not retried if the connection for the retry is established only after the
// key's window has ended. Such a retry was once sent.
func TestRetryAfterIdempotencyWindow(t *testing.T) {
	t.Parallel()
	slow := newSlowMember(t)
	harness := newHarnessWith(t, nil, `"window":2000`, `"window":2400`, `"give_up":3000`, `"give_up":9000`, `"connect_timeout":300`, `"connect_timeout":1500`)
	harness.changeMember(2, 0xd1, slow.address, 0, 1, 2)
	harness.changeMember(3, 0xa1, harness.members["s-000000a1"].Addr, 1, 1, 2)
	client := harness.dial()
	client.Ask(readFields(key, "class", "note", "once", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "wait", "9000"), []byte("x"))
	start := time.Now()
	for i := range 2 { // neither is answered; each is abandoned after 0.45 of the window
		if _, b := slow.acceptRequest(t); len(b) == 0 {

			t.Fatalf("attempt %d did not arrive", i)
		}
	}
	slow.fillBacklog(t)
	time.Sleep(time.Until(start.Add(2500 * time.Millisecond)))
	if n := slow.countRequests(t, time.Second); n != 0 {
		t.Errorf("%d attempts arrived after the window, want 0", n)
	}
	if result, err := client.Result(waitTimeout); err != nil || result.Word != "failed" {
		t.Errorf("answer %+v, error %v; want failed", result, err)
	}
}

// TestMemberDrainsDuringDial checks that no attempt is sent to a member that starts to drain or
// is removed before the connection to it is established, and that another member serves the
// request.
func TestMemberDrainsDuringDial(t *testing.T) {
	for _, state := range []byte{1, 2} {
		t.Run(fmt.Sprint(state), func(t *testing.T) {
			t.Parallel()
			slow := newSlowMember(t)
			harness := newHarnessWith(t, nil, `"connect_timeout":300`, `"connect_timeout":1500`)
			harness.changeMember(2, 0xd1, slow.address, 0, 0, 0)
			harness.changeMember(3, 0xc1, harness.members["s-000000c1"].Addr, 1, 0, 0)
			harness.changeMember(4, 0xc2, harness.members["s-000000c2"].Addr, 1, 0, 0)
			slow.fillBacklog(t)
			client := harness.dial()
			client.Ask(readFields(key), nil)
			harness.waitTurn()
			harness.changeMember(5, 0xd1, slow.address, state, 0, 0)
			if n := slow.countRequests(t, 1500*time.Millisecond); n != 0 {
				t.Errorf("%d attempts arrived, want 0", n)
			}
			if result, err := client.Result(waitTimeout); err != nil || result.Word != "served" {
				t.Errorf("answer %+v, error %v; want served", result, err)
			}
		})
	}
}

// TestPurgeDuringDial checks that an attempt that waits for its connection accepts no copy from
// before a purge that arrives meanwhile.
func TestPurgeDuringDial(t *testing.T) {
	t.Parallel()
	slow := newSlowMember(t)
	harness := newHarnessWith(t, nil, `"connect_timeout":300`, `"connect_timeout":1500`, `"cancel":true`, `"cancel":false`)
	harness.changeMember(2, 0xd1, slow.address, 0, 0, 0)
	harness.changeMember(3, 0xc1, harness.members["s-000000c1"].Addr, 1, 0, 0)
	harness.changeMember(4, 0xc2, harness.members["s-000000c2"].Addr, 1, 0, 0)
	slow.fillBacklog(t)
	client := harness.dial()
	client.Ask(readFields(key), nil)
	harness.waitTurn()
	time.Sleep(100 * time.Millisecond)
	purgedAt := time.Now()
	var b []byte
	b = binary.BigEndian.AppendUint16(b, 17) // the group of clip's objects
	b = binary.BigEndian.AppendUint64(b, uint64(purgedAt.UnixMilli()))
	harness.sendDiscovery(testserver.PlatformFrame(5, 4, b))
	time.Sleep(300 * time.Millisecond)
	slow.acceptBacklog(t)
	var first []byte
	for len(first) == 0 { // the connection for the first attempt carries no request any more
		_, first = slow.acceptRequest(t)
	}
	_, rest, ok := strings.Cut(string(first), "within=")
	within, _, _ := strings.Cut(rest, "\r")
	within, _, _ = strings.Cut(within, ",")
	if ms, err := strconv.Atoi(within); !ok || err != nil || ms > int(time.Since(purgedAt).Milliseconds()) {
		t.Errorf("%v ms after the purge the router sent %q", time.Since(purgedAt).Milliseconds(), first)
	}
}

// TestDialOfRemovedMember checks that a connection is closed if it is established after its
// attempt was abandoned and its member was removed.
func TestDialOfRemovedMember(t *testing.T) {
	t.Parallel()
	slow := newSlowMember(t)
	harness := newHarnessWith(t, nil, `"connect_timeout":300`, `"connect_timeout":1500`, `"cancel":true`, `"cancel":false`)
	harness.changeMember(2, 0xd1, slow.address, 0, 0, 0)
	harness.changeMember(3, 0xc1, harness.members["s-000000c1"].Addr, 1, 0, 0)
	harness.changeMember(4, 0xc2, harness.members["s-000000c2"].Addr, 1, 0, 0)
	slow.fillBacklog(t)
	harness.dial().Ask(readFields(key), nil)
	harness.waitTurn()
	harness.changeMember(5, 0xd1, slow.address, 2, 0, 0)
	harness.server.loop.Call(waitTimeout, func() {
		for _, r := range harness.server.requests {
			r.inFlight.abandon(spool.Cancelled)
		}
	})
	conns := func() (n int) {
		harness.server.loop.Call(waitTimeout, func() { n = harness.server.memberConnections })
		return n
	}
	slow.acceptBacklog(t)
	harness.waitUntil("the connection has been established and closed", func() bool { return conns() <= 1 }) // 1: to the origin
	time.Sleep(1200 * time.Millisecond)
	if n := conns(); n > 1 {
		t.Errorf("%d connections are left, want only the one to the origin", n)
	}
}

// TestClientClosesDuringDial checks that attempts that wait for a connection are not sent after
// their client has closed or cancelled, whether or not the router may cancel attempts.
func TestClientClosesDuringDial(t *testing.T) {
	for _, cancels := range []string{"true", "false"} {
		t.Run(cancels, func(t *testing.T) {
			t.Parallel()
			slow := newSlowMember(t)
			harness := newHarnessWith(t, nil, `"connect_timeout":300`, `"connect_timeout":1500`, `"cancel":true`, `"cancel":`+cancels)
			harness.changeMember(2, 0xd1, slow.address, 0, 0, 0)
			harness.changeMember(3, 0xc1, harness.members["s-000000c1"].Addr, 1, 0, 0)
			harness.changeMember(4, 0xc2, harness.members["s-000000c2"].Addr, 1, 0, 0)
			slow.fillBacklog(t)
			closes, forgets := harness.dial(), harness.dial()
			closes.Ask(readFields(key), nil)
			seq, _ := forgets.Ask(readFields(key), nil)
			harness.waitUntil("both requests are in flight", func() (all bool) {
				harness.server.loop.Call(waitTimeout, func() { all = len(harness.server.requests) == 2 })
				return all
			})
			closes.Close()
			forgets.Write(testserver.PlatformForget(seq+1, seq))
			harness.waitTurn()
			if n := slow.countRequests(t, 1500*time.Millisecond); n != 0 {
				t.Errorf("%d attempts arrived, want 0", n)
			}
		})
	}
}
