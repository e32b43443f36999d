package platform

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/testbed/faultinject"
	"indigospool/internal/testbed/testserver"
)

// The stricter terms: what a client is owed however late the loop, the kernel or a cache is.

const deadlineSlack = 150 * time.Millisecond // by which a deadline that is passed on may be late

// arrival is a request as a cache read it.
type arrival struct {
	testserver.PlatformRequest
	at time.Time
}

// recorder collects what caches read, and answers as answer says; nil: never.
type recorder struct {
	mu       sync.Mutex
	arrivals []arrival
	answer   handler
}

func (rec *recorder) on(c *testserver.PlatformConn, q testserver.PlatformRequest) {
	if q.Stop {
		return
	}
	rec.mu.Lock()
	rec.arrivals = append(rec.arrivals, arrival{q, time.Now()})
	rec.mu.Unlock()
	if rec.answer != nil {
		rec.answer(c, q)
	}
}

func (rec *recorder) all() []arrival {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return append([]arrival(nil), rec.arrivals...)
}

func (rec *recorder) everywhere() map[string]handler {
	return map[string]handler{"s-000000c1": rec.on, "s-000000c2": rec.on, "s-000000a1": rec.on}
}

// save is a keyed write, which any router may send to the origin only.
func save(changes ...string) map[string]string {
	return clip(key, append([]string{"class", "note", "once", fmt.Sprintf("%032x", ids.Add(1))}, changes...)...)
}

// warm has connections to members on which an attempt goes out at once.
func (w *world) warm() {
	w.t.Helper()
	for i := range 16 {
		w.ask(clip(fmt.Sprintf("%016x", i)), nil)
		w.ask(save(), nil)
	}
}

// holdThen is hold, with a call on the loop behind it in the same turn.
func (w *world) holdThen(then func()) (release func()) {
	w.t.Helper()
	in, out := make(chan struct{}), make(chan struct{})
	if err := w.n.l.Post(func() { close(in); <-out; then() }); err != nil {
		w.t.Fatal(err)
	}
	<-in
	return func() { close(out) }
}

// TestTimeInALongTurnCounts: a request that lay unread while the loop was busy has so much
// less time; one that comes to an idle loop, or in its first bytes long before its last,
// has all of it.
func TestTimeInALongTurnCounts(t *testing.T) {
	for name, play := range map[string]func(w *world) (sent time.Time){
		"busy loop": func(w *world) time.Time {
			c := w.client()
			w.turn()
			release := w.hold()
			sent := time.Now()
			c.Ask(clip(key, "wait", "2000"), nil)
			time.Sleep(600 * time.Millisecond)
			release()
			return sent
		},
		"connected while the loop was busy": func(w *world) time.Time {
			release := w.hold()
			c := w.client()
			sent := time.Now()
			c.Ask(clip(key, "wait", "2000"), nil)
			time.Sleep(600 * time.Millisecond)
			release()
			return sent
		},
		"idle loop": func(w *world) time.Time {
			c := w.client()
			time.Sleep(700 * time.Millisecond)
			sent := time.Now()
			c.Ask(clip(key, "wait", "2000"), nil)
			return sent
		},
		"its first half came long ago": func(w *world) time.Time {
			c := w.client()
			frame := testserver.PlatformCall("serve", 1, clip(key, "wait", "2000"), nil)
			c.Write(frame[:len(frame)/2])
			time.Sleep(700 * time.Millisecond)
			sent := time.Now()
			c.Write(frame[len(frame)/2:])
			return sent
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rec := &recorder{answer: hits}
			w := open(t, rec.everywhere())
			sent := play(w)
			w.until("a cache is asked", func() bool { return len(rec.all()) > 0 })
			first := rec.all()[0]
			wait, _ := strconv.Atoi(first.Fields["wait"])
			left := 2*time.Second - first.at.Sub(sent)
			passed := time.Duration(wait) * time.Millisecond
			if passed > left+deadlineSlack {
				t.Errorf("a wait of %v was passed on where the client had %v left", passed, left)
			}
			if passed < left-deadlineSlack {
				t.Errorf("a wait of %v was passed on where the client had %v left: time was taken from it", passed, left)
			}
		})
	}
}

// TestNothingBeginsForOneWhoIsGone: a client closes or gives up while the loop is busy, and
// a repeat for it is due in that same turn.
func TestNothingBeginsForOneWhoIsGone(t *testing.T) {
	for name, leave := range map[string]func(c *testserver.PlatformClient, seq int32){
		"closes": func(c *testserver.PlatformClient, _ int32) { c.Close() },
		"resets": func(c *testserver.PlatformClient, _ int32) {
			(&testserver.PlatformConn{Conn: c.Conn}).Reset()
		},
		"gives up":          func(c *testserver.PlatformClient, seq int32) { c.Write(testserver.PlatformForget(seq+1, seq)) },
		"gives up and asks": func(c *testserver.PlatformClient, seq int32) { c.Write(testserver.PlatformForget(100, seq)); c.Well() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rec := &recorder{answer: hits}
			w := open(t, rec.everywhere())
			w.warm()
			rec.mu.Lock()
			rec.answer = nil
			rec.mu.Unlock()
			before := w.sent()
			c := w.client()
			seq, _ := c.Ask(clip(key), nil)
			w.until("an attempt is out", func() bool { return w.sent() == before+1 })
			release := w.holdThen(func() {
				for _, r := range w.n.reqs {
					r.out.giveUp(spool.TimedOut) // the module sends it again at once
				}
			})
			go leave(c, seq)
			time.Sleep(300 * time.Millisecond)
			release()
			w.turn()
			time.Sleep(50 * time.Millisecond) // for loopback
			if n := w.sent() - before; n != 1 {
				t.Errorf("%d attempts, the last of them 0.3 s after the client had left", n)
			}
		})
	}
}

// TestGoneBehindManyCalls: what ends calls stands behind more of them than one read takes.
func TestGoneBehindManyCalls(t *testing.T) {
	for name, leave := range map[string]func(c *testserver.PlatformClient){
		"closed":  func(c *testserver.PlatformClient) { c.Close() },
		"refused": func(c *testserver.PlatformClient) { c.Write([]byte{0xff, 0xff, 0xff, 0xff}) },
		"given up": func(c *testserver.PlatformClient) {
			for i := range int32(32) {
				c.Write(testserver.PlatformForget(i+100, i+1))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := open(t, nil)
			w.warm()
			before := w.sent()
			c := w.client()
			w.turn()
			release := w.hold()
			left := make(chan struct{})
			go func() { // into the kernel, which holds more of it back than it passes on
				for i := range int32(32) {
					c.Write(testserver.PlatformCall("serve", i+1, save(), make([]byte, 40000)))
				}
				leave(c)
				close(left)
			}()
			select {
			case <-left:
			case <-time.After(soon):
				t.Error("the kernel does not take so much")
			}
			release()
			time.Sleep(200 * time.Millisecond)
			w.turn()
			if n := w.sent() - before; n != 0 {
				t.Errorf("%d attempts for calls that were over before the first was read", n)
			}
		})
	}
}

// TestGoneWhileItsConnectionComesUp: attempts that wait for a connection to a member are not
// made for a client that has left, whether or not attempts are called off.
func TestGoneWhileItsConnectionComesUp(t *testing.T) {
	for _, cancels := range []string{"true", "false"} {
		t.Run(cancels, func(t *testing.T) {
			t.Parallel()
			late := newLateMember(t)
			w := openWith(t, nil, `"connect_timeout":300`, `"connect_timeout":1500`, `"cancel":true`, `"cancel":`+cancels)
			w.adopt(2, 0xd1, late.addr, 0, 0, 0)
			w.adopt(3, 0xc1, w.members["s-000000c1"].Addr, 1, 0, 0)
			w.adopt(4, 0xc2, w.members["s-000000c2"].Addr, 1, 0, 0)
			late.fill(t)
			closes, forgets := w.client(), w.client()
			closes.Ask(clip(key), nil)
			seq, _ := forgets.Ask(clip(key), nil)
			w.until("both are taken", func() (all bool) {
				w.n.l.Call(soon, func() { all = len(w.n.reqs) == 2 })
				return all
			})
			closes.Close()
			forgets.Write(testserver.PlatformForget(seq+1, seq))
			w.turn()
			if n := late.rest(t, 1500*time.Millisecond); n != 0 {
				t.Errorf("%d attempts came", n)
			}
		})
	}
}

// TestHalfACallBehindAWholeOne: what comes of the second by halves takes no answer from the
// first.
func TestHalfACallBehindAWholeOne(t *testing.T) {
	t.Parallel()
	slow := func(c *testserver.PlatformConn, q testserver.PlatformRequest) {
		if !q.Stop && q.Fields["key"] == key {
			time.AfterFunc(2700*time.Millisecond, func() { hits(c, q) })
		}
	}
	w := open(t, map[string]handler{"s-000000c1": slow, "s-000000c2": slow, "s-000000a1": slow})
	c := w.client()
	c.Ask(clip(key, "wait", "3000"), nil)
	half := testserver.PlatformCall("serve", 2, clip(key), nil)
	c.Write(half[:len(half)/2])
	if r, err := c.Result(soon); err != nil || r.Seq != 1 {
		t.Errorf("the whole call: %+v %v", r, err)
	}
	if _, err := c.Result(soon); err != io.EOF {
		t.Errorf("then %v; an end is wanted", err)
	}
}

// TestMemoryOfOthers: what waits for a client that takes no answers closes that one, and not
// another that is slow for a moment.
func TestMemoryOfOthers(t *testing.T) {
	t.Parallel()
	w := open(t, map[string]handler{"s-000000c1": large(240000), "s-000000c2": large(240000)})
	slow := func() *testserver.PlatformClient {
		c := w.client()
		c.Conn.(*net.TCPConn).SetReadBuffer(16 << 10)
		return c
	}
	room := func() (left int) {
		w.n.l.Call(soon, func() { left = w.n.waitingBytes() - w.n.waiting })
		return left
	}
	w.n.l.Call(soon, func() { w.n.cfg.Limits.MemoryMB = leastMemoryMB })
	never, other := slow(), slow()
	for i := 0; room() > 300000 && i < 60; i++ { // one by one, until the next answer would be too much
		if i == 30 {
			never = slow()
		}
		served := uint64(0)
		w.n.l.Call(soon, func() { served = w.n.stats.Served })
		never.Ask(clip(key), nil)
		w.until("it is served", func() (yes bool) {
			w.n.l.Call(soon, func() { yes = w.n.stats.Served > served })
			return yes
		})
	}
	if left := room(); left > 300000 {
		t.Fatalf("%d bytes may still wait", left)
	}
	const asked = 24
	for range asked {
		other.Ask(clip(key), nil)
	}
	time.Sleep(200 * time.Millisecond)
	for i := range asked {
		if r, err := other.Result(soon); err != nil || r.Word != "served" {
			t.Fatalf("answer %d: %s %v", i, r.Word, err)
		}
	}
	if left := room(); left < 0 {
		t.Errorf("%d bytes too much wait", -left)
	}
}

// TestDrainInTime: caches hang through the whole of a shutdown, deadlines are short, and
// clients go on sending on their connections: each request that was sent before the
// connection's end has its answer, and the router is gone in time.
func TestDrainInTime(t *testing.T) {
	for _, deadline := range []time.Duration{60 * time.Millisecond, 200 * time.Millisecond, time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			drainInTime(t, deadline)
		})
	}
}

func drainInTime(t *testing.T, deadline time.Duration) {
	wait := fmt.Sprint(deadline.Milliseconds())
	w := openWith(t, (&recorder{}).everywhere(), `"give_up":3000`, `"give_up":`+wait, `"aim":400`, `"aim":100`)
	var mu sync.Mutex
	owed := map[string]time.Time{}
	var busy sync.WaitGroup
	begun := make(chan struct{})
	for i := range 8 {
		c := w.client()
		busy.Go(func() {
			sent := sync.WaitGroup{}
			defer sent.Wait()
			over := make(chan struct{})
			sent.Go(func() {
				defer close(over)
				for {
					r, err := c.Result(soon)
					if err != nil {
						return
					}
					mu.Lock()
					delete(owed, fmt.Sprint(i, " ", r.Seq))
					mu.Unlock()
				}
			})
			for seq := int32(1); seq < 200; seq++ {
				select {
				case <-over:
					c.Close()
					return
				case <-time.After(deadline/12 + time.Duration(5*i)*time.Millisecond):
				}
				name := fmt.Sprint(i, " ", seq)
				mu.Lock()
				owed[name] = time.Now()
				mu.Unlock()
				if _, err := c.Ask(clip(key, "wait", wait), nil); err != nil {
					c.Close()
					return
				}
				if seq == 5 && i == 0 {
					close(begun)
				}
			}
		})
	}
	<-begun
	at := time.Now()
	w.n.Drain()
	w.ends()
	gone := time.Now()
	busy.Wait()
	if d := gone.Sub(at); d > deadline+700*time.Millisecond {
		t.Errorf("it ended %v after the signal; deadlines are %v", d, deadline)
	}
	for name, sent := range owed {
		if before := gone.Sub(sent); before > 50*time.Millisecond {
			t.Errorf("request %s, sent %v before the end, has no answer", name, before)
		}
	}
}

// faults has the router's system calls fail by a plan, from now on.
func (w *world) faults(plan string) (calls *faultinject.Syscalls) {
	w.t.Helper()
	w.n.l.Call(soon, func() { calls = w.fail(plan) })
	return calls
}

// fail is faults, called on the loop.
func (w *world) fail(plan string) *faultinject.Syscalls {
	parsed, err := faultinject.Parse(plan)
	if err != nil {
		w.t.Error(err)
	}
	calls := faultinject.New(parsed, 1, faultinject.Since())
	w.n.l.Intercept(calls)
	return calls
}

// TestInterruptedCallsLoseNothing: reads and writes that fail for a moment cost no request
// its answer, and no cache a second attempt.
func TestInterruptedCallsLoseNothing(t *testing.T) {
	for _, plan := range []string{
		"read:EINTR:0.3; write:EINTR:0.3; wait:EINTR:0.3",
		"read:EINTR:6x; write:EINTR:6x",
		"read:ENOMEM:0.2; write:ENOBUFS:0.2",
		"read:ENOBUFS:1:0ms-100ms; write:ENOMEM:1:0ms-200ms",
		"read:short:0.5; write:short:0.5",
	} {
		t.Run(plan, func(t *testing.T) {
			t.Parallel()
			w := open(t, map[string]handler{"s-000000c1": large(100000), "s-000000c2": large(100000)})
			w.warm()
			before := w.sent()
			s := w.faults(plan)
			const asked = 30
			for range 4 {
				c := w.client()
				for range asked / 2 {
					c.Ask(clip(key), nil)
					c.Ask(save(), make([]byte, 30000))
				}
				for i := range asked {
					if r, err := c.Result(soon); err != nil || r.Word != "served" {
						t.Fatalf("answer %d: %s %v", i, r.Word, err)
					}
				}
			}
			if n := w.sent() - before; n != 4*asked {
				t.Errorf("%d attempts for %d requests", n, 4*asked)
			}
			for _, call := range []faultinject.Call{faultinject.Read, faultinject.Write} {
				if _, failed := s.Counts(call); failed == 0 {
					t.Errorf("no %s failed", call)
				}
			}
		})
	}
}

// TestBrokenConnections: what the kernel says of a connection that was lost between is told
// as its end, and the request is served over another.
func TestBrokenConnections(t *testing.T) {
	for _, errno := range []string{"ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "ECONNRESET", "EPIPE"} {
		t.Run(errno, func(t *testing.T) {
			t.Parallel()
			w := open(t, nil)
			w.warm()
			release := w.hold()
			done := make(chan testserver.PlatformResult, 1)
			c := w.client()
			c.Ask(clip(key), nil)
			go func() {
				r, _ := c.Result(soon)
				done <- r
			}()
			release()
			if r := <-done; r.Word != "served" {
				t.Fatalf("%+v", r)
			}
			for _, call := range []string{"write", "connect"} { // of a router's connection to a cache
				c := w.client()
				c.Ask(clip(key), nil)
				if call == "write" {
					c.Result(soon)
				}
				s := w.faults(call + ":" + errno + ":1x")
				if call == "write" {
					c.Ask(clip(key), nil)
				}
				if r, err := c.Result(soon); err != nil || r.Word != "served" {
					t.Errorf("%s: %+v %v", call, r, err)
				}
				if _, failed := s.Counts(faultinject.Call(call)); call == "write" && failed != 1 {
					t.Errorf("%d calls of %s failed", failed, call)
				}
			}
		})
	}
}

// TestAcceptFailing: whatever accept says for a while, the loop does not turn for it, and
// who waits in the queue is served afterwards.
func TestAcceptFailing(t *testing.T) {
	for _, errno := range []string{"ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPERM", "ECONNABORTED", "EINTR", "EPROTO", "EINVAL"} {
		t.Run(errno, func(t *testing.T) {
			t.Parallel()
			w := open(t, nil)
			idle := w.client()
			s := w.faults("accept:" + errno + ":1:0ms-400ms; connect:" + errno + ":0.0001")
			began := time.Now()
			c := w.client()
			c.Ask(clip(key), nil)
			if r, err := c.Result(soon); err != nil || r.Word != "served" {
				t.Fatalf("%+v %v", r, err)
			}
			if d := time.Since(began); d > time.Second {
				t.Errorf("served after %v", d)
			}
			if _, failed := s.Counts(faultinject.Accept); failed == 0 || failed > 500 {
				t.Errorf("accept failed %d times in 0.4 s", failed)
			}
			idle.Close()
		})
	}
}

// TestLocalFailures: a connection that cannot be begun on this machine for a moment refuses
// nobody who has time left.
func TestLocalFailures(t *testing.T) {
	calls := map[string][]string{
		"socket":  {"ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"},
		"connect": {"EADDRNOTAVAIL", "EAGAIN", "ENETUNREACH", "ENOBUFS"},
	}
	for call, errnos := range calls {
		for _, errno := range errnos {
			for _, often := range []string{"1x", "1:0ms-50ms", "1:0ms-2000ms"} {
				plan := call + ":" + errno + ":" + often
				t.Run(plan, func(t *testing.T) {
					t.Parallel()
					w := open(t, nil)
					var s *faultinject.Syscalls
					release := w.holdThen(func() { s = w.fail(plan) }) // all is asked in that moment
					const clients, each = 4, 25
					var busy sync.WaitGroup
					for range clients {
						c := w.client()
						for i := range each {
							c.Ask(clip(fmt.Sprintf("%016x", i), "wait", "3000"), nil)
						}
						busy.Go(func() {
							for range each {
								if r, err := c.Result(soon); err != nil || r.Word != "served" {
									t.Errorf("%+v %v", r, err)
									return
								}
							}
						})
					}
					release()
					busy.Wait()
					made, failed := s.Counts(faultinject.Call(call))
					if failed == 0 {
						t.Errorf("no %s failed", call)
					}
					if most := 100 * 40; failed > most {
						t.Errorf("%d of %d calls of %s failed: it does not back off", failed, made, call)
					}
				})
			}
		}
	}
}

// halting takes only the first bytes of the first attempt that is written, and nothing more
// on its connection for a while.
type halting struct {
	eventloop.KernelCalls
	fd    int
	until time.Time
	span  time.Duration
}

func (h *halting) Write(fd int, b []byte) (int, error) {
	switch {
	case h.fd == 0 && bytes.Contains(b, []byte("REQ")):
		h.fd, h.until = fd, time.Now().Add(h.span)
		return h.KernelCalls.Write(fd, b[:20])
	case h.fd == fd && time.Now().Before(h.until):
		return 0, unix.EAGAIN
	}
	return h.KernelCalls.Write(fd, b)
}

// TestFrameTakenInPart: the rest of an attempt leaves while the deadline that it names still
// holds, or not at all; and a request that shared the connection is served too.
func TestFrameTakenInPart(t *testing.T) {
	for _, span := range []time.Duration{40 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(span.String(), func(t *testing.T) {
			t.Parallel()
			rec := &recorder{answer: hits}
			w := open(t, rec.everywhere())
			w.warm()
			before := len(rec.all())
			w.n.l.Call(soon, func() { w.n.l.Intercept(&halting{span: span}) })
			c := w.client()
			sent := time.Now()
			for range 2 {
				c.Ask(clip(key, "wait", "2000"), nil)
			}
			for range 2 {
				if r, err := c.Result(soon); err != nil || r.Word != "served" {
					t.Fatalf("%+v %v", r, err)
				}
			}
			time.Sleep(time.Until(sent.Add(span + 100*time.Millisecond)))
			for _, a := range rec.all()[before:] {
				wait, _ := strconv.Atoi(a.Fields["wait"])
				passed, left := time.Duration(wait)*time.Millisecond, 2*time.Second-a.at.Sub(sent)
				if passed > left+deadlineSlack {
					t.Errorf("a wait of %v was passed on where the client had %v left", passed, left)
				}
			}
		})
	}
}

// TestAlmostNoTimeLeft: requests with 1 to 30 ms left, which caches drop without a word, are
// answered, and cost the caches no trust: the others are served meanwhile and afterwards.
func TestAlmostNoTimeLeft(t *testing.T) {
	t.Parallel()
	curt := func(c *testserver.PlatformConn, q testserver.PlatformRequest) {
		if wait, _ := strconv.Atoi(q.Fields["wait"]); wait > 30 {
			hits(c, q)
		}
	}
	w := open(t, map[string]handler{"s-000000c1": curt, "s-000000c2": curt, "s-000000a1": curt})
	w.warm()
	hasty, usual := w.client(), w.client()
	const asked = 150
	sent := map[int32]time.Time{}
	var answered sync.WaitGroup
	var mu sync.Mutex
	answered.Go(func() {
		for range asked {
			r, err := hasty.Result(soon)
			if err != nil {
				t.Errorf("one with little time: %v", err)
				return
			}
			mu.Lock()
			if d := time.Since(sent[r.Seq]); d > 30*time.Millisecond+deadlineSlack {
				t.Errorf("answered after %v", d)
			}
			mu.Unlock()
		}
	})
	for i := range asked {
		fields := clip(fmt.Sprintf("%016x", i), "wait", fmt.Sprint(1+i%30))
		if i%3 == 0 {
			fields = save("wait", fmt.Sprint(1+i%30))
		}
		mu.Lock()
		seq, _ := hasty.Ask(fields, nil)
		sent[seq] = time.Now()
		mu.Unlock()
		usual.Ask(clip(fmt.Sprintf("%016x", i)), nil)
		usual.Ask(save(), nil)
		for range 2 {
			if r, err := usual.Result(soon); err != nil || r.Word != "served" {
				t.Errorf("a usual one: %+v %v", r, err)
			}
		}
		time.Sleep(2 * time.Millisecond) // 32 may be open at once
	}
	answered.Wait()
	w.n.l.Call(soon, func() {
		members, _ := w.n.core.Beliefs()
		for id, b := range members {
			if b.Suspect || b.Held != 0 {
				t.Errorf("%s is held for suspect, or for busy: %+v", id, b)
			}
		}
	})
}

// TestForgottenConnections: caches reset what comes on a connection that was idle for a
// while; a request finds a fresh one before its attempts are spent.
func TestForgottenConnections(t *testing.T) {
	t.Parallel()
	const forgets = 200 * time.Millisecond
	var mu sync.Mutex
	last, held := map[*testserver.PlatformConn]time.Time{}, true
	on := func(c *testserver.PlatformConn, q testserver.PlatformRequest) {
		mu.Lock()
		defer mu.Unlock()
		before, known := last[c]
		last[c] = time.Now()
		switch {
		case q.Stop:
		case known && time.Since(before) > forgets:
			c.Reset()
		case held: // so that each gets a connection of its own
			time.AfterFunc(150*time.Millisecond, func() { hits(c, q) })
		default:
			hits(c, q)
		}
	}
	w := open(t, map[string]handler{"s-000000c1": on, "s-000000c2": on, "s-000000a1": on})
	ask := func(count int, what func(i int) map[string]string) {
		c := w.client()
		for i := range count {
			c.Ask(what(i), nil)
		}
		for range count {
			if r, err := c.Result(soon); err != nil || r.Word != "served" {
				t.Errorf("%+v %v", r, err)
			}
		}
	}
	mixed := func(i int) map[string]string {
		if i%2 == 0 {
			return save("wait", "2500")
		}
		return clip(fmt.Sprintf("%016x", i), "wait", "2500")
	}
	ask(32, mixed)
	mu.Lock()
	held = false
	mu.Unlock()
	conns := 0
	w.n.l.Call(soon, func() { conns = w.n.conns })
	time.Sleep(forgets + 100*time.Millisecond)
	before := w.sent()
	ask(1, func(int) map[string]string { return save("wait", "2500") })
	ask(1, func(int) map[string]string { return clip(key, "wait", "2500") })
	if n := w.sent() - before; n > 4 {
		t.Errorf("%d attempts for two requests, over %d connections that were forgotten", n, conns)
	}
	ask(16, mixed)
}

// TestReloadTwice: of two reloads in quick succession the second file holds, requests in
// hand are answered, and its feed is asked from the last number.
func TestReloadTwice(t *testing.T) {
	t.Parallel()
	slow := func(c *testserver.PlatformConn, q testserver.PlatformRequest) {
		if !q.Stop {
			time.AfterFunc(150*time.Millisecond, func() { hits(c, q) })
		}
	}
	w := open(t, map[string]handler{"s-000000c1": slow, "s-000000c2": slow, "s-000000a1": slow})
	w.until("the first feed is asked", func() bool { return w.asked.Load() == 1 })
	for round := range 5 {
		c := w.client()
		for range 10 {
			c.Ask(clip(key), nil)
			c.Ask(save(), nil)
		}
		w.until("they are taken", func() (all bool) {
			w.n.l.Call(soon, func() { all = len(w.n.reqs) == 20 })
			return all
		})
		first, second := w.newFeed(), w.newFeed()
		w.settings = strings.Replace(testSettings, `"name":"clip"`, `"name":"film"`, 1)
		w.write(first.Addr)
		w.n.Reload()
		time.Sleep(time.Duration(round*20) * time.Millisecond)
		w.settings = testSettings
		w.write(second.Addr)
		w.n.Reload()
		w.turn()
		for range 20 {
			if r, err := c.Result(soon); err != nil || r.Word != "served" {
				t.Errorf("round %d: %+v %v", round, r, err)
			}
		}
		if r := w.ask(clip(key), nil); r.Word != "served" {
			t.Errorf("round %d, afterwards: %+v", round, r)
		}
		feed := ""
		w.n.l.Call(soon, func() { feed = w.n.cfg.Feed })
		if feed != second.Addr {
			t.Errorf("round %d: the feed is %s, not %s", round, feed, second.Addr)
		}
	}
	w.until("the last feed is asked", func() bool { return w.asked.Load() >= 2 && w.last.Load() == 1 })
}

// TestReloadWhileFilesFail: a file that cannot be read for a moment is read a moment later.
func TestReloadWhileFilesFail(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENFILE, unix.EMFILE, unix.EIO, unix.ENOMEM} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			t.Parallel()
			w := open(t, nil)
			left := 3
			w.n.l.Call(soon, func() {
				w.n.readConfig = func(file string) (*Config, error) {
					if left--; left >= 0 {
						return nil, &os.PathError{Op: "open", Path: file, Err: errno}
					}
					return ReadConfig(file)
				}
			})
			second := w.newFeed()
			w.write(second.Addr)
			w.n.Reload()
			w.until("the new file holds", func() (yes bool) {
				w.n.l.Call(soon, func() { yes = w.n.cfg.Feed == second.Addr })
				return yes
			})
		})
	}
}
