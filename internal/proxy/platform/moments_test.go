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
func (w *world) hold() (release func()) {
	w.t.Helper()
	in, out := make(chan struct{}), make(chan struct{})
	if err := w.n.l.Post(func() { close(in); <-out }); err != nil {
		w.t.Fatal(err)
	}
	<-in
	return func() { close(out) }
}

// turn waits until the router's loop has turned so often, with what had come by now.
func (w *world) turn() {
	w.t.Helper()
	for range 3 {
		if err := w.n.l.Call(soon, func() {}); err != nil {
			w.t.Fatal(err)
		}
	}
}

// sent counts the attempts that reached members.
func (w *world) sent() (n int) {
	for _, p := range w.members {
		for _, q := range p.Seen() {
			if !q.Stop {
				n++
			}
		}
	}
	return n
}

// lateMember is an address at which connections come up only once they are let in: its
// queue is full, and the kernel drops what asks to connect. Who asks tries again after 1 s.
type lateMember struct {
	fd     int
	addr   string
	queued []net.Conn
}

func newLateMember(t *testing.T) *lateMember {
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
	return &lateMember{fd: fd, addr: netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)).String()}
}

// fill has the queue full.
func (m *lateMember) fill(t *testing.T) {
	t.Helper()
	for range 8 {
		c, err := net.DialTimeout("tcp", m.addr, 100*time.Millisecond)
		if err != nil {
			return
		}
		m.queued = append(m.queued, c)
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the queue never fills")
}

// take lets one connection in, and reads its first request.
func (m *lateMember) take(t *testing.T) (c net.Conn, first []byte) {
	t.Helper()
	if k, _ := unix.Poll([]unix.PollFd{{Fd: int32(m.fd), Events: unix.POLLIN}}, int(soon.Milliseconds())); k <= 0 {
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
func (m *lateMember) let(t *testing.T) {
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
func (m *lateMember) rest(t *testing.T, span time.Duration) (n int) {
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
func (w *world) adopt(n uint64, id uint32, address string, state, zone, kind byte) {
	w.until("the feed is asked", func() bool { return w.tell.Load() != nil })
	w.say(testserver.PlatformFrame(n, 2, record(id, address, state, zone, kind)))
	w.turn()
	w.until("the list has it", func() bool {
		found := false
		w.n.l.Call(soon, func() {
			m, ok := w.n.core.Member(fmt.Sprintf("s-%08x", id))
			found = ok && m.State == spool.State(state) || !ok && state == 2
		})
		return found
	})
}

// TestRepeatPastItsWindow: a keyed write may have run, and the connection for its repeat
// comes up when the window is over: it does not leave any more. Seen as 'sent again
// outside its group or window'.
func TestRepeatPastItsWindow(t *testing.T) {
	t.Parallel()
	late := newLateMember(t)
	w := openWith(t, nil, `"window":2000`, `"window":2400`, `"give_up":3000`, `"give_up":9000`, `"connect_timeout":300`, `"connect_timeout":1500`)
	w.adopt(2, 0xd1, late.addr, 0, 1, 2)
	w.adopt(3, 0xa1, w.members["s-000000a1"].Addr, 1, 1, 2)
	c := w.client()
	c.Ask(clip(key, "class", "note", "once", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "wait", "9000"), []byte("x"))
	began := time.Now()
	for i := range 2 { // neither is answered; each is given up after 0.45 of the window
		if _, b := late.take(t); len(b) == 0 {

			t.Fatalf("attempt %d did not come", i)
		}
	}
	late.fill(t)
	time.Sleep(time.Until(began.Add(2500 * time.Millisecond)))
	if n := late.rest(t, time.Second); n != 0 {
		t.Errorf("%d attempts came after the window", n)
	}
	if r, err := c.Result(soon); err != nil || r.Word != "failed" {
		t.Errorf("%+v %v", r, err)
	}
}

// TestDrainWhileTheDialIsUnderWay: a member is told to drain, or the source of a fill is,
// before the connection to it has come up.
func TestDrainWhileTheDialIsUnderWay(t *testing.T) {
	for _, state := range []byte{1, 2} {
		t.Run(fmt.Sprint(state), func(t *testing.T) {
			t.Parallel()
			late := newLateMember(t)
			w := openWith(t, nil, `"connect_timeout":300`, `"connect_timeout":1500`)
			w.adopt(2, 0xd1, late.addr, 0, 0, 0)
			w.adopt(3, 0xc1, w.members["s-000000c1"].Addr, 1, 0, 0)
			w.adopt(4, 0xc2, w.members["s-000000c2"].Addr, 1, 0, 0)
			late.fill(t)
			c := w.client()
			c.Ask(clip(key), nil)
			w.turn()
			w.adopt(5, 0xd1, late.addr, state, 0, 0)
			if n := late.rest(t, 1500*time.Millisecond); n != 0 {
				t.Errorf("%d attempts came", n)
			}
			if r, err := c.Result(soon); err != nil || r.Word != "served" {
				t.Errorf("%+v %v", r, err)
			}
		})
	}
}

// TestRepeatAfterSilence: where a first attempt is given up to be made again, its
// connection is closed: a word into a connection on which nothing came may never arrive.
// Seen as 'a second copy, not given up' after a fresh connection had fallen silent.
func TestRepeatAfterSilence(t *testing.T) {
	t.Parallel()
	late := newLateMember(t)
	w := openWith(t, nil, `"window":2000`, `"window":1000`)
	w.adopt(2, 0xd1, late.addr, 0, 1, 2)
	w.adopt(3, 0xa1, w.members["s-000000a1"].Addr, 1, 1, 2)
	w.client().Ask(clip(key, "class", "note", "once", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"), []byte("x"))
	first, _ := late.take(t)
	late.take(t)
	b := make([]byte, 64)
	first.SetReadDeadline(time.Now().Add(time.Second))
	if k, err := first.Read(b); k != 0 || err == nil {
		t.Errorf("the first connection had %q, %v; an end is wanted", b[:k], err)
	}
}

// TestGoneBehindItsCalls: a client sends calls and closes, and the loop hears of all that
// in one turn: nothing is begun. The same for calls that are given up behind a first
// buffer full of them.
func TestGoneBehindItsCalls(t *testing.T) {
	w := open(t, nil)
	save := func() map[string]string {
		return clip(key, "class", "note", "once", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	}
	for range 4 { // so that there are connections on which an attempt would go out at once
		w.ask(clip(key), nil)
		w.ask(save(), nil)
	}
	for name, write := range map[string]func(c *testserver.PlatformClient){
		"closed": func(c *testserver.PlatformClient) {
			for i := range int32(5) {
				c.Write(testserver.PlatformCall("serve", i+1, clip(key), nil))
			}
			c.Close()
		},
		"given up": func(c *testserver.PlatformClient) {
			for i := range int32(3) {
				c.Write(testserver.PlatformCall("serve", i+1, save(), make([]byte, 40000)))
			}
			for i := range int32(3) {
				c.Write(testserver.PlatformForget(i+4, i+1))
			}
		},
	} {
		c, before := w.client(), w.sent()
		w.turn()
		release := w.hold()
		write(c)
		time.Sleep(20 * time.Millisecond) // for loopback
		release()
		w.turn()
		w.ask(save(), nil) // behind them on the same connections
		w.ask(clip(key), nil)
		if n := w.sent() - before - 2; n != 0 {
			t.Errorf("%s: %d attempts", name, n)
		}
	}
}

// TestSlowWriter: a call that comes by and by is taken, and what stops in the middle is
// closed; 2.2 s after its beginning the first was closed too.
func TestSlowWriter(t *testing.T) {
	t.Parallel()
	w := open(t, nil)
	c, half := w.client(), w.client()
	b := testserver.PlatformCall("serve", 1, clip(key), nil)
	half.Write(b[:len(b)/2])
	for i := range b {
		if _, err := c.Write(b[i : i+1]); err != nil {
			t.Fatalf("after %d bytes: %v", i, err)
		}
		time.Sleep(3 * time.Second / time.Duration(len(b)))
	}
	if r, err := c.Result(soon); err != nil || r.Word != "served" {
		t.Errorf("%+v %v", r, err)
	}
	if _, err := half.Result(time.Second); err != io.EOF {
		t.Errorf("half a call: %v; an end is wanted", err)
	}
}

// TestReloadWithoutItsClass: a class goes with a new configuration while a request of it is
// out; the answer comes to its client. The router ended with a nil pointer.
func TestReloadWithoutItsClass(t *testing.T) {
	answers := make(chan func(), 4)
	wait := func(c *testserver.PlatformConn, q testserver.PlatformRequest) { answers <- func() { hits(c, q) } }
	w := open(t, map[string]handler{"s-000000c1": wait, "s-000000c2": wait})
	c := w.client()
	c.Ask(clip(key), nil)
	answer := <-answers
	w.settings = strings.Replace(testSettings, `"name":"clip"`, `"name":"film"`, 1)
	w.write(w.feed.Addr)
	w.n.Reload()
	w.turn()
	answer()
	if r, err := c.Result(soon); err != nil || r.Word != "served" {
		t.Errorf("%+v %v", r, err)
	}
	if r := w.ask(clip(key), nil); r.Word != "failed" {
		t.Errorf("a class that is gone: %+v", r)
	}
}

// large answers with so many bytes.
func large(n int) handler {
	return func(c *testserver.PlatformConn, q testserver.PlatformRequest) {
		if !q.Stop {
			c.Hit(q.ID, make([]byte, n))
		}
	}
}

// TestLeavingResetsNothing: a router that has drained shuts connections at rest and reads
// on: a request that comes in that moment is not sent on, and an answer that its client
// has not read yet is not lost by a reset.
func TestLeavingResetsNothing(t *testing.T) {
	t.Parallel()
	w := open(t, map[string]handler{"s-000000c1": large(200000), "s-000000c2": large(200000)})
	c := w.client()
	c.Ask(clip(key), nil)
	w.until("it is answered", func() bool {
		n := -1
		w.n.l.Call(soon, func() { n = len(w.n.reqs) + w.n.waiting })
		return n == 0 && w.sent() > 0
	})
	before := w.sent()
	w.n.Drain()
	shut := func() (yes bool) {
		w.n.l.Call(soon, func() {
			for c := range w.n.clients {
				yes = c.v.Shut > 0
			}
		})
		return yes
	}
	w.until("it is shut", shut)
	if _, err := c.Ask(clip(key), nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if r, err := c.Result(soon); err != nil || r.Word != "served" || len(r.Body) != 200000 {
		t.Errorf("%s of %d bytes, %v", r.Word, len(r.Body), err)
	}
	if _, err := c.Result(soon); err != io.EOF {
		t.Errorf("then %v; an end is wanted", err)
	}
	c.Close()
	w.ends()
	if n := w.sent(); n != before {
		t.Errorf("%d attempts after the shutdown", n-before)
	}
}

// TestFeedRefused: a feed that refuses is asked again soon, and not by all at once.
func TestFeedRefused(t *testing.T) {
	t.Parallel()
	w := open(t, nil)
	w.until("the feed is asked", func() bool { return w.tell.Load() != nil })
	w.feed.Close()
	var dials atomic.Int64
	w.n.l.Call(soon, func() {
		w.n.watch.dial = func(address string) (int, bool, error) { dials.Add(1); return w.n.l.Dial(address) }
	})
	w.say(nil)
	time.Sleep(3 * time.Second)
	if n := dials.Load(); n < 6 || n > 12 {
		t.Errorf("%d tries in 3 s", n)
	}
}

// ends waits for a router that drains, and fails where it doesn't end.
func (w *world) ends() {
	w.t.Helper()
	select {
	case err := <-w.done:
		if w.done <- err; err != nil {
			w.t.Error(err)
		}
	case <-time.After(soon):
		w.t.Error("it does not end")
	}
}

// TestDrainMoments: what has come in the very moment of SIGTERM is answered, once, and the
// router ends; a second signal and a new configuration change nothing.
func TestDrainMoments(t *testing.T) {
	b := testserver.PlatformCall("serve", 1, clip(key), nil)
	for _, c := range []struct {
		name string
		play func(w *world, c *testserver.PlatformClient)
		word string
	}{
		{"between accept and first read", func(w *world, c *testserver.PlatformClient) {
			release := w.hold()
			c.Write(b)
			w.n.Drain()
			time.Sleep(10 * time.Millisecond)
			release()
		}, "served"},
		{"half a request read", func(w *world, c *testserver.PlatformClient) {
			c.Write(b[:30])
			w.turn()
			w.n.Drain()
			time.Sleep(1200 * time.Millisecond) // past the least time of a drain
			c.Write(b[30:])
		}, "served"},
		{"two signals, and another configuration between", func(w *world, c *testserver.PlatformClient) {
			w.n.Drain()
			w.n.Reload()
			w.n.Drain()
			c.Write(b)
		}, "served"},
		{"an attempt out to a cache that hangs", func(w *world, c *testserver.PlatformClient) {
			c.Write(testserver.PlatformCall("serve", 1, clip("00000000000000aa"), nil))
			w.turn()
			w.n.Drain()
		}, "refused"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			on := func(pc *testserver.PlatformConn, q testserver.PlatformRequest) {
				if q.Fields["key"] != "00000000000000aa" {
					hits(pc, q)
				}
			}
			w := open(t, map[string]handler{"s-000000c1": on, "s-000000c2": on, "s-000000a1": on})
			cl := w.client()
			c.play(w, cl)
			if r, err := cl.Result(soon); err != nil || r.Word != c.word {
				t.Errorf("%+v %v", r, err)
			}
			if _, err := cl.Result(soon); err != io.EOF {
				t.Errorf("then %v; an end is wanted", err)
			}
			cl.Close()
			w.ends()
		})
	}
}

// TestDrainWithAnAnswerHalfWritten: its client reads slowly, and gets the whole of it.
func TestDrainWithAnAnswerHalfWritten(t *testing.T) {
	t.Parallel()
	w := open(t, map[string]handler{"s-000000c1": large(240000), "s-000000c2": large(240000)})
	c := w.client()
	c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	for range 30 { // more than the kernel holds
		c.Ask(clip(key), nil)
	}
	w.until("something waits", func() (yes bool) {
		w.n.l.Call(soon, func() { yes = w.n.waiting > 0 })
		return yes
	})
	w.n.Drain()
	time.Sleep(1500 * time.Millisecond)
	for i := range 30 {
		if r, err := c.Result(soon); err != nil || r.Word != "served" || len(r.Body) != 240000 {
			t.Fatalf("answer %d: %s of %d bytes, %v", i, r.Word, len(r.Body), err)
		}
	}
	c.Close()
	w.ends()
}

// TestOneTurn: a client's forget, or the end of its time, in the turn of the cache's answer:
// one final answer at most, and nothing is left behind. 200 at once.
func TestOneTurn(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			t.Parallel()
			answers := make(chan func(), 400)
			wait := func(c *testserver.PlatformConn, q testserver.PlatformRequest) {
				if !q.Stop {
					answers <- func() { hits(c, q) }
				}
			}
			w := open(t, map[string]handler{"s-000000c1": wait, "s-000000c2": wait})
			var clients []*testserver.PlatformClient
			for range 8 {
				c := w.client()
				clients = append(clients, c)
				for range 25 {
					c.Ask(clip(key, "wait", "700"), nil)
				}
			}
			w.until("as many are out as the gates let through", func() bool { return len(answers) >= 50 })
			w.turn()
			release := w.hold()
			for range len(answers) {
				(<-answers)()
			}
			for _, c := range clients {
				for i := range int32(25) {
					if !late {
						c.Write(testserver.PlatformForget(100+i, 1+i))
					}
				}
			}
			if late {
				time.Sleep(800 * time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond)
			release()
			w.turn()
			for _, c := range clients {
				seen := map[int32]bool{}
				for {
					r, err := c.Result(200 * time.Millisecond)
					if err != nil {
						break
					}
					if seen[r.Seq] {
						t.Fatalf("two answers to %d", r.Seq)
					}
					seen[r.Seq] = true
				}
				if late && len(seen) != 25 {
					t.Errorf("%d of 25 answered", len(seen))
				}
			}
			w.n.l.Call(soon, func() {
				if len(w.n.reqs) > 0 || w.n.waiting > 0 {
					t.Errorf("%d requests and %d bytes are left", len(w.n.reqs), w.n.waiting)
				}
				for id, m := range beliefs(w.n) {
					if m != 0 {
						t.Errorf("%v attempts are believed to be out at %s", m, id)
					}
				}
			})
		})
	}
}

func beliefs(n *Server) map[string]float64 {
	out := map[string]float64{}
	members, _ := n.core.Beliefs()
	for id, b := range members {
		out[id] = b.Held
	}
	return out
}

// TestCrowdWhileTheFeedIsDown: idle clients take all places there are while the feed
// refuses; who works is served, and the feed is found when it is back.
func TestCrowdWhileTheFeedIsDown(t *testing.T) {
	t.Parallel()
	w := openWith(t, nil)
	w.until("the feed is asked", func() bool { return w.tell.Load() != nil })
	address := w.feed.Addr
	w.feed.Close()
	w.say(nil)
	worker := w.client()
	ask := func() {
		t.Helper()
		worker.Ask(clip(key), nil)
		if r, err := worker.Result(soon); err != nil || r.Word != "served" {
			t.Fatalf("%+v %v", r, err)
		}
	}
	ask()
	for range 300 { // more than the configuration's descriptors
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
	}
	w.turn()
	ask()
	if r := w.ask(clip(key), nil); r.Word != "served" {
		t.Errorf("a new client: %+v", r)
	}
	before := w.asked.Load()
	again, err := testserver.NewPlatformFeedAt(address, func(net.Conn, uint64) { w.asked.Add(1); <-t.Context().Done() })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(again.Close)
	begin := time.Now()
	w.until("the feed is found again", func() bool { return w.asked.Load() > before })
	if d := time.Since(begin); d > 900*time.Millisecond {
		t.Errorf("found after %v", d)
	}
	w.n.l.Call(soon, func() {
		if n := len(w.n.clients); n > w.n.places.Clients {
			t.Errorf("%d clients, %d places", n, w.n.places.Clients)
		}
	})
}

// TestUnusableConfiguration: the field and the reason are named, nothing listens, and a
// reload keeps what there was.
func TestUnusableConfiguration(t *testing.T) {
	w := open(t, nil)
	for _, c := range []struct{ old, new, want string }{
		{`"idempotency":"guarded"`, `"idempotency":"sometimes"`, `class "note": unknown idempotency "sometimes"`},
		{`"idempotency":"guarded",`, ``, `classes[1] "note": idempotency is missing`},
		{`"window":2000`, `"window":0`, `classes[1] "note": window is 0`},
		{`"give_up":3000,"gain":2,"late`, `"give_up":-1,"gain":2,"late`, `classes[0] "clip": give_up is -1`},
		{`"max_attempts":6,`, ``, `limits: max_attempts is missing`},
		{`"name":"clip"`, `"name":"note"`, `class "note" is named twice`},
		{`"cold_from":0.2`, `"cold_from":7`, `cold share is not within 0 and 1`},
	} {
		w.settings = strings.Replace(testSettings, c.old, c.new, 1)
		w.write(w.feed.Addr)
		n, err := Open(w.file, "127.0.0.1:0", zap.NewNop())
		if err == nil {
			n.listener.close()
			t.Errorf("%s is taken", c.new)
		} else if !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v; wanted is %q, in one line", err, c.want)
		}
		w.n.Reload()
		w.turn()
		if r := w.ask(clip(key), nil); r.Word != "served" {
			t.Errorf("after a reload with %s: %+v", c.new, r)
		}
	}
}

// TestPurgeWhileTheDialIsUnderWay: an attempt that waits for its connection asks for no copy
// from before a purge that was told meanwhile. Who gave up what a connection was dialled
// for leaves no connection behind, once its member has gone.
func TestPurgeWhileTheDialIsUnderWay(t *testing.T) {
	t.Parallel()
	late := newLateMember(t)
	w := openWith(t, nil, `"connect_timeout":300`, `"connect_timeout":1500`, `"cancel":true`, `"cancel":false`)
	w.adopt(2, 0xd1, late.addr, 0, 0, 0)
	w.adopt(3, 0xc1, w.members["s-000000c1"].Addr, 1, 0, 0)
	w.adopt(4, 0xc2, w.members["s-000000c2"].Addr, 1, 0, 0)
	late.fill(t)
	c := w.client()
	c.Ask(clip(key), nil)
	w.turn()
	time.Sleep(100 * time.Millisecond)
	at := time.Now()
	var b []byte
	b = binary.BigEndian.AppendUint16(b, 17) // the group of clip's objects
	b = binary.BigEndian.AppendUint64(b, uint64(at.UnixMilli()))
	w.say(testserver.PlatformFrame(5, 4, b))
	time.Sleep(300 * time.Millisecond)
	late.let(t)
	var first []byte
	for len(first) == 0 { // what was dialled for the first try brings nothing any more
		_, first = late.take(t)
	}
	_, rest, ok := strings.Cut(string(first), "within=")
	within, _, _ := strings.Cut(rest, "\r")
	within, _, _ = strings.Cut(within, ",")
	if ms, err := strconv.Atoi(within); !ok || err != nil || ms > int(time.Since(at).Milliseconds()) {
		t.Errorf("%v ms after the purge it asks %q", time.Since(at).Milliseconds(), first)
	}
}

// TestConnectionOfOneThatIsGone: what a connection was dialled for is given up, its member
// goes, and then it comes up: it is not kept.
func TestConnectionOfOneThatIsGone(t *testing.T) {
	t.Parallel()
	late := newLateMember(t)
	w := openWith(t, nil, `"connect_timeout":300`, `"connect_timeout":1500`, `"cancel":true`, `"cancel":false`)
	w.adopt(2, 0xd1, late.addr, 0, 0, 0)
	w.adopt(3, 0xc1, w.members["s-000000c1"].Addr, 1, 0, 0)
	w.adopt(4, 0xc2, w.members["s-000000c2"].Addr, 1, 0, 0)
	late.fill(t)
	w.client().Ask(clip(key), nil)
	w.turn()
	w.adopt(5, 0xd1, late.addr, 2, 0, 0)
	w.n.l.Call(soon, func() {
		for _, r := range w.n.reqs {
			r.out.giveUp(spool.Cancelled)
		}
	})
	conns := func() (n int) {
		w.n.l.Call(soon, func() { n = w.n.conns })
		return n
	}
	late.let(t)
	w.until("the connection has come up and is closed", func() bool { return conns() <= 1 }) // 1: to the origin
	time.Sleep(1200 * time.Millisecond)
	if n := conns(); n > 1 {
		t.Errorf("%d connections are left", n)
	}
}
