package platform

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/testbed/testserver"
)

// The narrow moments: what arrives in the very instant in which something ends. Each is
// forced, by stand-ins that hold back until told, or by holding up the loop.

// hold keeps the router's loop busy until the returned function is called, so that what
// the outside does meanwhile reaches it in one turn.
func (w *testHarness) blockLoop() (release func()) {
	w.t.Helper()
	in, out := make(chan struct{}), make(chan struct{})
	if err := w.server.loop.Post(func() { close(in); <-out }); err != nil {
		w.t.Fatal(err)
	}
	<-in
	return func() { close(out) }
}

// turn waits until the router's loop has turned so often, with what had come by now.
func (w *testHarness) waitTurn() {
	w.t.Helper()
	for range 3 {
		if err := w.server.loop.Call(waitLimit, func() {}); err != nil {
			w.t.Fatal(err)
		}
	}
}

// sent counts the attempts that reached members.
func (w *testHarness) requestsSent() (n int) {
	for _, p := range w.members {
		for _, request := range p.Seen() {
			if !request.Stop {
				n++
			}
		}
	}
	return n
}

// lateMember is an address at which connections come up only once they are let in: its
// queue is full, and the kernel drops what asks to connect. Who asks tries again after 1 s.
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

// fill has the queue full.
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
	t.Fatal("the queue never fills")
}

// take lets one connection in, and reads its first request.
func (m *slowMember) acceptRequest(t *testing.T) (c net.Conn, first []byte) {
	t.Helper()
	if k, _ := unix.Poll([]unix.PollFd{{Fd: int32(m.fd), Events: unix.POLLIN}}, int(waitLimit.Milliseconds())); k <= 0 {
		t.Fatal("nobody connects")
	}
	fd, _, err := unix.Accept(m.fd)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "connection")
	defer f.Close()
	if c, err = net.FileConn(f); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	b := make([]byte, 4096)
	c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	k, _ := c.Read(b)
	return c, b[:k]
}

// let lets in those who filled the queue.
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

// rest lets in all who come for a while, and tells how many of them brought a request.
func (m *slowMember) countRequests(t *testing.T, span time.Duration) (n int) {
	t.Helper()
	end := time.Now().Add(span)
	for time.Now().Before(end) {
		p := []unix.PollFd{{Fd: int32(m.fd), Events: unix.POLLIN}}
		if k, _ := unix.Poll(p, int(time.Until(end).Milliseconds())+1); k <= 0 {
			continue
		}
		fd, _, err := unix.Accept(m.fd)
		if err != nil {
			t.Fatal(err)
		}
		defer unix.Close(fd)
		p[0].Fd = int32(fd)
		var b [4096]byte
		if k, _ := unix.Poll(p, 300); k > 0 {
			if k, _ := unix.Read(fd, b[:]); k > 0 {
				n++
			}
		}
	}
	return n
}

// adopt has the router know a member at an address of its own, by one change of the feed.
func (w *testHarness) changeMember(n uint64, id uint32, address string, state, zone, kind byte) {
	w.waitUntil("the feed is asked", func() bool { return w.discoveryWrites.Load() != nil })
	w.sendDiscovery(testserver.PlatformFrame(n, 2, endpointRecord(id, address, state, zone, kind)))
	w.waitTurn()
	w.waitUntil("the list has it", func() bool {
		found := false
		w.server.loop.Call(waitLimit, func() {
			m, ok := w.server.engine.Member(fmt.Sprintf("s-%08x", id))
			found = ok && m.State == spool.State(state) || !ok && state == 2
		})
		return found
	})
}

// TestRetryAfterIdempotencyWindow: a keyed write may have run, and the connection for its repeat
// comes up when the window is over: it does not leave any more. Seen as 'sent again
// outside its group or window'.
func TestRetryAfterIdempotencyWindow(t *testing.T) {
	t.Parallel()
	slow := newSlowMember(t)
	harness := newHarnessWith(t, nil, `"window":2000`, `"window":2400`, `"give_up":3000`, `"give_up":9000`, `"connect_timeout":300`, `"connect_timeout":1500`)
	harness.changeMember(2, 0xd1, slow.address, 0, 1, 2)
	harness.changeMember(3, 0xa1, harness.members["s-000000a1"].Addr, 1, 1, 2)
	client := harness.dial()
	client.Ask(readFields(key, "class", "note", "once", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "wait", "9000"), []byte("x"))
	began := time.Now()
	for i := range 2 { // neither is answered; each is given up after 0.45 of the window
		if _, b := slow.acceptRequest(t); len(b) == 0 {

			t.Fatalf("attempt %d did not come", i)
		}
	}
	slow.fillBacklog(t)
	time.Sleep(time.Until(began.Add(2500 * time.Millisecond)))
	if n := slow.countRequests(t, time.Second); n != 0 {
		t.Errorf("%d attempts came after the window", n)
	}
	if result, err := client.Result(waitLimit); err != nil || result.Word != "failed" {
		t.Errorf("%+v %v", result, err)
	}
}

// TestMemberDrainsDuringDial: a member is told to drain, or the source of a fill is,
// before the connection to it has come up.
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
				t.Errorf("%d attempts came", n)
			}
			if result, err := client.Result(waitLimit); err != nil || result.Word != "served" {
				t.Errorf("%+v %v", result, err)
			}
		})
	}
}

// TestRetryClosesSilentConnection: where a first attempt is given up to be made again, its
// connection is closed: a word into a connection on which nothing came may never arrive.
// Seen as 'a second copy, not given up' after a fresh connection had fallen silent.
func TestRetryClosesSilentConnection(t *testing.T) {
	t.Parallel()
	slow := newSlowMember(t)
	harness := newHarnessWith(t, nil, `"window":2000`, `"window":1000`)
	harness.changeMember(2, 0xd1, slow.address, 0, 1, 2)
	harness.changeMember(3, 0xa1, harness.members["s-000000a1"].Addr, 1, 1, 2)
	harness.dial().Ask(readFields(key, "class", "note", "once", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"), []byte("x"))
	first, _ := slow.acceptRequest(t)
	slow.acceptRequest(t)
	b := make([]byte, 64)
	first.SetReadDeadline(time.Now().Add(time.Second))
	if k, err := first.Read(b); k != 0 || err == nil {
		t.Errorf("the first connection had %q, %v; an end is wanted", b[:k], err)
	}
}

// TestCloseBehindCalls: a client sends calls and closes, and the loop hears of all that
// in one turn: nothing is begun. The same for calls that are given up behind a first
// buffer full of them.
func TestCloseBehindCalls(t *testing.T) {
	harness := newHarness(t, nil)
	save := func() map[string]string {
		return readFields(key, "class", "note", "once", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	}
	for range 4 { // so that there are connections on which an attempt would go out at once
		harness.roundTrip(readFields(key), nil)
		harness.roundTrip(save(), nil)
	}
	for name, write := range map[string]func(client *testserver.PlatformClient){
		"closed": func(client *testserver.PlatformClient) {
			for i := range int32(5) {
				client.Write(testserver.PlatformCall("serve", i+1, readFields(key), nil))
			}
			client.Close()
		},
		"given up": func(client *testserver.PlatformClient) {
			for i := range int32(3) {
				client.Write(testserver.PlatformCall("serve", i+1, save(), make([]byte, 40000)))
			}
			for i := range int32(3) {
				client.Write(testserver.PlatformForget(i+4, i+1))
			}
		},
	} {
		client, before := harness.dial(), harness.requestsSent()
		harness.waitTurn()
		release := harness.blockLoop()
		write(client)
		time.Sleep(20 * time.Millisecond) // for loopback
		release()
		harness.waitTurn()
		harness.roundTrip(save(), nil) // behind them on the same connections
		harness.roundTrip(readFields(key), nil)
		if n := harness.requestsSent() - before - 2; n != 0 {
			t.Errorf("%s: %d attempts", name, n)
		}
	}
}

// TestSlowClientWrite: a call that comes by and by is taken, and what stops in the middle is
// closed; 2.2 s after its beginning the first was closed too.
func TestSlowClientWrite(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, nil)
	client, half := harness.dial(), harness.dial()
	b := testserver.PlatformCall("serve", 1, readFields(key), nil)
	half.Write(b[:len(b)/2])
	for i := range b {
		if _, err := client.Write(b[i : i+1]); err != nil {
			t.Fatalf("after %d bytes: %v", i, err)
		}
		time.Sleep(3 * time.Second / time.Duration(len(b)))
	}
	if result, err := client.Result(waitLimit); err != nil || result.Word != "served" {
		t.Errorf("%+v %v", result, err)
	}
	if _, err := half.Result(time.Second); err != io.EOF {
		t.Errorf("half a call: %v; an end is wanted", err)
	}
}

// TestReloadRemovesClassInUse: a class goes with a new configuration while a request of it is
// out; the answer comes to its client. The router ended with a nil pointer.
func TestReloadRemovesClassInUse(t *testing.T) {
	answers := make(chan func(), 4)
	wait := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		answers <- func() { answerHit(conn, request) }
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": wait, "s-000000c2": wait})
	client := harness.dial()
	client.Ask(readFields(key), nil)
	answer := <-answers
	harness.settings = strings.Replace(testSettings, `"name":"clip"`, `"name":"film"`, 1)
	harness.writeConfig(harness.discovery.Addr)
	harness.server.Reload()
	harness.waitTurn()
	answer()
	if result, err := client.Result(waitLimit); err != nil || result.Word != "served" {
		t.Errorf("%+v %v", result, err)
	}
	if result := harness.roundTrip(readFields(key), nil); result.Word != "failed" {
		t.Errorf("a class that is gone: %+v", result)
	}
}

// large answers with so many bytes.
func answerLarge(n int) handler {
	return func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if !request.Stop {
			conn.Hit(request.ID, make([]byte, n))
		}
	}
}

// TestDrainResetsNoConnection: a router that has drained shuts connections at rest and reads
// on: a request that comes in that moment is not sent on, and an answer that its client
// has not read yet is not lost by a reset.
func TestDrainResetsNoConnection(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, map[string]handler{"s-000000c1": answerLarge(200000), "s-000000c2": answerLarge(200000)})
	client := harness.dial()
	client.Ask(readFields(key), nil)
	harness.waitUntil("it is answered", func() bool {
		n := -1
		harness.server.loop.Call(waitLimit, func() { n = len(harness.server.requests) + harness.server.unsentBytes })
		return n == 0 && harness.requestsSent() > 0
	})
	before := harness.requestsSent()
	harness.server.Drain()
	shut := func() (yes bool) {
		harness.server.loop.Call(waitLimit, func() {
			for c := range harness.server.clients {
				yes = c.activity.Shut > 0
			}
		})
		return yes
	}
	harness.waitUntil("it is shut", shut)
	if _, err := client.Ask(readFields(key), nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if result, err := client.Result(waitLimit); err != nil || result.Word != "served" || len(result.Body) != 200000 {
		t.Errorf("%s of %d bytes, %v", result.Word, len(result.Body), err)
	}
	if _, err := client.Result(waitLimit); err != io.EOF {
		t.Errorf("then %v; an end is wanted", err)
	}
	client.Close()
	harness.waitStopped()
	if n := harness.requestsSent(); n != before {
		t.Errorf("%d attempts after the shutdown", n-before)
	}
}

// TestDiscoveryConnectionRefused: a feed that refuses is asked again soon, and not by all at once.
func TestDiscoveryConnectionRefused(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, nil)
	harness.waitUntil("the feed is asked", func() bool { return harness.discoveryWrites.Load() != nil })
	harness.discovery.Close()
	var dials atomic.Int64
	harness.server.loop.Call(waitLimit, func() {
		harness.server.stream.dial = func(address string) (int, bool, error) { dials.Add(1); return harness.server.loop.Dial(address) }
	})
	harness.sendDiscovery(nil)
	time.Sleep(3 * time.Second)
	if n := dials.Load(); n < 6 || n > 12 {
		t.Errorf("%d tries in 3 s", n)
	}
}

// ends waits for a router that drains, and fails where it doesn't end.
func (w *testHarness) waitStopped() {
	w.t.Helper()
	select {
	case err := <-w.served:
		if w.served <- err; err != nil {
			w.t.Error(err)
		}
	case <-time.After(waitLimit):
		w.t.Error("it does not end")
	}
}

// TestDrainMoments: what has come in the very moment of SIGTERM is answered, once, and the
// router ends; a second signal and a new configuration change nothing.
func TestDrainMoments(t *testing.T) {
	b := testserver.PlatformCall("serve", 1, readFields(key), nil)
	for _, c := range []struct {
		name string
		play func(harness *testHarness, client *testserver.PlatformClient)
		word string
	}{
		{"between accept and first read", func(harness *testHarness, client *testserver.PlatformClient) {
			release := harness.blockLoop()
			client.Write(b)
			harness.server.Drain()
			time.Sleep(10 * time.Millisecond)
			release()
		}, "served"},
		{"half a request read", func(harness *testHarness, client *testserver.PlatformClient) {
			client.Write(b[:30])
			harness.waitTurn()
			harness.server.Drain()
			time.Sleep(1200 * time.Millisecond) // past the least time of a drain
			client.Write(b[30:])
		}, "served"},
		{"two signals, and another configuration between", func(harness *testHarness, client *testserver.PlatformClient) {
			harness.server.Drain()
			harness.server.Reload()
			harness.server.Drain()
			client.Write(b)
		}, "served"},
		{"an attempt out to a cache that hangs", func(harness *testHarness, client *testserver.PlatformClient) {
			client.Write(testserver.PlatformCall("serve", 1, readFields("00000000000000aa"), nil))
			harness.waitTurn()
			harness.server.Drain()
		}, "refused"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			on := func(pc *testserver.PlatformConn, request testserver.PlatformRequest) {
				if request.Fields["key"] != "00000000000000aa" {
					answerHit(pc, request)
				}
			}
			harness := newHarness(t, map[string]handler{"s-000000c1": on, "s-000000c2": on, "s-000000a1": on})
			cl := harness.dial()
			c.play(harness, cl)
			if result, err := cl.Result(waitLimit); err != nil || result.Word != c.word {
				t.Errorf("%+v %v", result, err)
			}
			if _, err := cl.Result(waitLimit); err != io.EOF {
				t.Errorf("then %v; an end is wanted", err)
			}
			cl.Close()
			harness.waitStopped()
		})
	}
}

// TestDrainWithPartialAnswer: its client reads slowly, and gets the whole of it.
func TestDrainWithPartialAnswer(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, map[string]handler{"s-000000c1": answerLarge(240000), "s-000000c2": answerLarge(240000)})
	client := harness.dial()
	client.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	for range 30 { // more than the kernel holds
		client.Ask(readFields(key), nil)
	}
	harness.waitUntil("something waits", func() (yes bool) {
		harness.server.loop.Call(waitLimit, func() { yes = harness.server.unsentBytes > 0 })
		return yes
	})
	harness.server.Drain()
	time.Sleep(1500 * time.Millisecond)
	for i := range 30 {
		if result, err := client.Result(waitLimit); err != nil || result.Word != "served" || len(result.Body) != 240000 {
			t.Fatalf("answer %d: %s of %d bytes, %v", i, result.Word, len(result.Body), err)
		}
	}
	client.Close()
	harness.waitStopped()
}

// TestAnswerTimeoutAndForgetInOneTurn: a client's forget, or the end of its time, in the turn of the cache's answer:
// one final answer at most, and nothing is left behind. 200 at once.
func TestAnswerTimeoutAndForgetInOneTurn(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			t.Parallel()
			answers := make(chan func(), 400)
			wait := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
				if !request.Stop {
					answers <- func() { answerHit(conn, request) }
				}
			}
			harness := newHarness(t, map[string]handler{"s-000000c1": wait, "s-000000c2": wait})
			var clients []*testserver.PlatformClient
			for range 8 {
				client := harness.dial()
				clients = append(clients, client)
				for range 25 {
					client.Ask(readFields(key, "wait", "700"), nil)
				}
			}
			harness.waitUntil("as many are out as the gates let through", func() bool { return len(answers) >= 50 })
			harness.waitTurn()
			release := harness.blockLoop()
			for range len(answers) {
				(<-answers)()
			}
			for _, client := range clients {
				for i := range int32(25) {
					if !late {
						client.Write(testserver.PlatformForget(100+i, 1+i))
					}
				}
			}
			if late {
				time.Sleep(800 * time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond)
			release()
			harness.waitTurn()
			for _, client := range clients {
				seen := map[int32]bool{}
				for {
					result, err := client.Result(200 * time.Millisecond)
					if err != nil {
						break
					}
					if seen[result.Seq] {
						t.Fatalf("two answers to %d", result.Seq)
					}
					seen[result.Seq] = true
				}
				if late && len(seen) != 25 {
					t.Errorf("%d of 25 answered", len(seen))
				}
			}
			harness.server.loop.Call(waitLimit, func() {
				if len(harness.server.requests) > 0 || harness.server.unsentBytes > 0 {
					t.Errorf("%d requests and %d bytes are left", len(harness.server.requests), harness.server.unsentBytes)
				}
				for id, m := range beliefs(harness.server) {
					if m != 0 {
						t.Errorf("%v attempts are believed to be out at %s", m, id)
					}
				}
			})
		})
	}
}

func beliefs(server *Server) map[string]float64 {
	out := map[string]float64{}
	members, _ := server.engine.Beliefs()
	for id, b := range members {
		out[id] = b.Held
	}
	return out
}

// TestClientLimitWhileDiscoveryIsDown: idle clients take all places there are while the feed
// refuses; who works is served, and the feed is found when it is back.
func TestClientLimitWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	harness := newHarnessWith(t, nil)
	harness.waitUntil("the feed is asked", func() bool { return harness.discoveryWrites.Load() != nil })
	address := harness.discovery.Addr
	harness.discovery.Close()
	harness.sendDiscovery(nil)
	worker := harness.dial()
	ask := func() {
		t.Helper()
		worker.Ask(readFields(key), nil)
		if result, err := worker.Result(waitLimit); err != nil || result.Word != "served" {
			t.Fatalf("%+v %v", result, err)
		}
	}
	ask()
	for range 300 { // more than the configuration's descriptors
		c, err := net.Dial("tcp", harness.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
	}
	harness.waitTurn()
	ask()
	if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
		t.Errorf("a new client: %+v", result)
	}
	before := harness.discoveryConnections.Load()
	again, err := testserver.NewPlatformFeedAt(address, func(net.Conn, uint64) { harness.discoveryConnections.Add(1); <-t.Context().Done() })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(again.Close)
	begin := time.Now()
	harness.waitUntil("the feed is found again", func() bool { return harness.discoveryConnections.Load() > before })
	if d := time.Since(begin); d > 900*time.Millisecond {
		t.Errorf("found after %v", d)
	}
	harness.server.loop.Call(waitLimit, func() {
		if n := len(harness.server.clients); n > harness.server.connectionLimits.Clients {
			t.Errorf("%d clients, %d places", n, harness.server.connectionLimits.Clients)
		}
	})
}

// TestInvalidConfiguration: the field and the reason are named, nothing listens, and a
// reload keeps what there was.
func TestInvalidConfiguration(t *testing.T) {
	harness := newHarness(t, nil)
	for _, c := range []struct{ old, new, want string }{
		{`"idempotency":"guarded"`, `"idempotency":"sometimes"`, `class "note": unknown idempotency "sometimes"`},
		{`"idempotency":"guarded",`, ``, `classes[1] "note": idempotency is missing`},
		{`"window":2000`, `"window":0`, `classes[1] "note": window is 0`},
		{`"give_up":3000,"gain":2,"late`, `"give_up":-1,"gain":2,"late`, `classes[0] "clip": give_up is -1`},
		{`"max_attempts":6,`, ``, `limits: max_attempts is missing`},
		{`"name":"clip"`, `"name":"note"`, `class "note" is named twice`},
		{`"cold_from":0.2`, `"cold_from":7`, `cold share is not within 0 and 1`},
	} {
		harness.settings = strings.Replace(testSettings, c.old, c.new, 1)
		harness.writeConfig(harness.discovery.Addr)
		server, err := Open(harness.configFile, "127.0.0.1:0", zap.NewNop())
		if err == nil {
			server.listener.close()
			t.Errorf("%s is taken", c.new)
		} else if !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v; wanted is %q, in one line", err, c.want)
		}
		harness.server.Reload()
		harness.waitTurn()
		if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
			t.Errorf("after a reload with %s: %+v", c.new, result)
		}
	}
}

// TestPurgeDuringDial: an attempt that waits for its connection asks for no copy
// from before a purge that was told meanwhile. Who gave up what a connection was dialled
// for leaves no connection behind, once its member has gone.
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
	at := time.Now()
	var b []byte
	b = binary.BigEndian.AppendUint16(b, 17) // the group of clip's objects
	b = binary.BigEndian.AppendUint64(b, uint64(at.UnixMilli()))
	harness.sendDiscovery(testserver.PlatformFrame(5, 4, b))
	time.Sleep(300 * time.Millisecond)
	slow.acceptBacklog(t)
	var first []byte
	for len(first) == 0 { // what was dialled for the first try brings nothing any more
		_, first = slow.acceptRequest(t)
	}
	_, rest, ok := strings.Cut(string(first), "within=")
	within, _, _ := strings.Cut(rest, "\r")
	within, _, _ = strings.Cut(within, ",")
	if ms, err := strconv.Atoi(within); !ok || err != nil || ms > int(time.Since(at).Milliseconds()) {
		t.Errorf("%v ms after the purge it asks %q", time.Since(at).Milliseconds(), first)
	}
}

// TestDialOfRemovedMember: what a connection was dialled for is given up, its member
// goes, and then it comes up: it is not kept.
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
	harness.server.loop.Call(waitLimit, func() {
		for _, r := range harness.server.requests {
			r.inFlight.abandon(spool.Cancelled)
		}
	})
	conns := func() (n int) {
		harness.server.loop.Call(waitLimit, func() { n = harness.server.memberConnections })
		return n
	}
	slow.acceptBacklog(t)
	harness.waitUntil("the connection has come up and is closed", func() bool { return conns() <= 1 }) // 1: to the origin
	time.Sleep(1200 * time.Millisecond)
	if n := conns(); n > 1 {
		t.Errorf("%d connections are left", n)
	}
}
