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
	arrivedAt time.Time
}

// recorder collects what caches read, and answers as answer says; nil: never.
type recorder struct {
	mutex    sync.Mutex
	arrivals []arrival
	answer   handler
}

func (rec *recorder) handle(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
	if request.Stop {
		return
	}
	rec.mutex.Lock()
	rec.arrivals = append(rec.arrivals, arrival{request, time.Now()})
	rec.mutex.Unlock()
	if rec.answer != nil {
		rec.answer(conn, request)
	}
}

func (rec *recorder) requests() []arrival {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	return append([]arrival(nil), rec.arrivals...)
}

func (rec *recorder) handlers() map[string]handler {
	return map[string]handler{"s-000000c1": rec.handle, "s-000000c2": rec.handle, "s-000000a1": rec.handle}
}

// save is a keyed write, which any router may send to the origin only.
func writeFields(changes ...string) map[string]string {
	return readFields(key, append([]string{"class", "note", "once", fmt.Sprintf("%032x", ids.Add(1))}, changes...)...)
}

// warm has connections to members on which an attempt goes out at once.
func (w *testHarness) openConnections() {
	w.t.Helper()
	for i := range 16 {
		w.roundTrip(readFields(fmt.Sprintf("%016x", i)), nil)
		w.roundTrip(writeFields(), nil)
	}
}

// holdThen is hold, with a call on the loop behind it in the same turn.
func (w *testHarness) blockLoopThen(then func()) (release func()) {
	w.t.Helper()
	in, out := make(chan struct{}), make(chan struct{})
	if err := w.server.loop.Post(func() { close(in); <-out; then() }); err != nil {
		w.t.Fatal(err)
	}
	<-in
	return func() { close(out) }
}

// TestDeadlineCountsTimeInLongTurn: a request that lay unread while the loop was busy has so much
// less time; one that comes to an idle loop, or in its first bytes long before its last,
// has all of it.
func TestDeadlineCountsTimeInLongTurn(t *testing.T) {
	for name, play := range map[string]func(harness *testHarness) (sent time.Time){
		"busy loop": func(harness *testHarness) time.Time {
			client := harness.dial()
			harness.waitTurn()
			release := harness.blockLoop()
			sent := time.Now()
			client.Ask(readFields(key, "wait", "2000"), nil)
			time.Sleep(600 * time.Millisecond)
			release()
			return sent
		},
		"connected while the loop was busy": func(harness *testHarness) time.Time {
			release := harness.blockLoop()
			client := harness.dial()
			sent := time.Now()
			client.Ask(readFields(key, "wait", "2000"), nil)
			time.Sleep(600 * time.Millisecond)
			release()
			return sent
		},
		"idle loop": func(harness *testHarness) time.Time {
			client := harness.dial()
			time.Sleep(700 * time.Millisecond)
			sent := time.Now()
			client.Ask(readFields(key, "wait", "2000"), nil)
			return sent
		},
		"its first half came long ago": func(harness *testHarness) time.Time {
			client := harness.dial()
			frame := testserver.PlatformCall("serve", 1, readFields(key, "wait", "2000"), nil)
			client.Write(frame[:len(frame)/2])
			time.Sleep(700 * time.Millisecond)
			sent := time.Now()
			client.Write(frame[len(frame)/2:])
			return sent
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rec := &recorder{answer: answerHit}
			harness := newHarness(t, rec.handlers())
			sent := play(harness)
			harness.waitUntil("a cache is asked", func() bool { return len(rec.requests()) > 0 })
			first := rec.requests()[0]
			wait, _ := strconv.Atoi(first.Fields["wait"])
			left := 2*time.Second - first.arrivedAt.Sub(sent)
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

// TestNothingStartsAfterClientCloses: a client closes or gives up while the loop is busy, and
// a repeat for it is due in that same turn.
func TestNothingStartsAfterClientCloses(t *testing.T) {
	for name, leave := range map[string]func(client *testserver.PlatformClient, seq int32){
		"closes": func(client *testserver.PlatformClient, _ int32) { client.Close() },
		"resets": func(client *testserver.PlatformClient, _ int32) {
			(&testserver.PlatformConn{Conn: client.Conn}).Reset()
		},
		"gives up": func(client *testserver.PlatformClient, seq int32) {
			client.Write(testserver.PlatformForget(seq+1, seq))
		},
		"gives up and asks": func(client *testserver.PlatformClient, seq int32) {
			client.Write(testserver.PlatformForget(100, seq))
			client.Well()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rec := &recorder{answer: answerHit}
			harness := newHarness(t, rec.handlers())
			harness.openConnections()
			rec.mutex.Lock()
			rec.answer = nil
			rec.mutex.Unlock()
			before := harness.requestsSent()
			client := harness.dial()
			seq, _ := client.Ask(readFields(key), nil)
			harness.waitUntil("an attempt is out", func() bool { return harness.requestsSent() == before+1 })
			release := harness.blockLoopThen(func() {
				for _, r := range harness.server.requests {
					r.inFlight.abandon(spool.TimedOut) // the module sends it again at once
				}
			})
			go leave(client, seq)
			time.Sleep(300 * time.Millisecond)
			release()
			harness.waitTurn()
			time.Sleep(50 * time.Millisecond) // for loopback
			if n := harness.requestsSent() - before; n != 1 {
				t.Errorf("%d attempts, the last of them 0.3 s after the client had left", n)
			}
		})
	}
}

// TestCloseBehindManyCalls: what ends calls stands behind more of them than one read takes.
func TestCloseBehindManyCalls(t *testing.T) {
	for name, leave := range map[string]func(client *testserver.PlatformClient){
		"closed":  func(client *testserver.PlatformClient) { client.Close() },
		"refused": func(client *testserver.PlatformClient) { client.Write([]byte{0xff, 0xff, 0xff, 0xff}) },
		"given up": func(client *testserver.PlatformClient) {
			for i := range int32(32) {
				client.Write(testserver.PlatformForget(i+100, i+1))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil)
			harness.openConnections()
			before := harness.requestsSent()
			client := harness.dial()
			harness.waitTurn()
			release := harness.blockLoop()
			left := make(chan struct{})
			go func() { // into the kernel, which holds more of it back than it passes on
				for i := range int32(32) {
					client.Write(testserver.PlatformCall("serve", i+1, writeFields(), make([]byte, 40000)))
				}
				leave(client)
				close(left)
			}()
			select {
			case <-left:
			case <-time.After(waitLimit):
				t.Error("the kernel does not take so much")
			}
			release()
			time.Sleep(200 * time.Millisecond)
			harness.waitTurn()
			if n := harness.requestsSent() - before; n != 0 {
				t.Errorf("%d attempts for calls that were over before the first was read", n)
			}
		})
	}
}

// TestClientClosesDuringDial: attempts that wait for a connection to a member are not
// made for a client that has left, whether or not attempts are called off.
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
			harness.waitUntil("both are taken", func() (all bool) {
				harness.server.loop.Call(waitLimit, func() { all = len(harness.server.requests) == 2 })
				return all
			})
			closes.Close()
			forgets.Write(testserver.PlatformForget(seq+1, seq))
			harness.waitTurn()
			if n := slow.countRequests(t, 1500*time.Millisecond); n != 0 {
				t.Errorf("%d attempts came", n)
			}
		})
	}
}

// TestPartialCallBehindCompleteCall: what comes of the second by halves takes no answer from the
// first.
func TestPartialCallBehindCompleteCall(t *testing.T) {
	t.Parallel()
	slow := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if !request.Stop && request.Fields["key"] == key {
			time.AfterFunc(2700*time.Millisecond, func() { answerHit(conn, request) })
		}
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": slow, "s-000000c2": slow, "s-000000a1": slow})
	client := harness.dial()
	client.Ask(readFields(key, "wait", "3000"), nil)
	half := testserver.PlatformCall("serve", 2, readFields(key), nil)
	client.Write(half[:len(half)/2])
	if result, err := client.Result(waitLimit); err != nil || result.Seq != 1 {
		t.Errorf("the whole call: %+v %v", result, err)
	}
	if _, err := client.Result(waitLimit); err != io.EOF {
		t.Errorf("then %v; an end is wanted", err)
	}
}

// TestMemoryLimitClosesLargestClient: what waits for a client that takes no answers closes that one, and not
// another that is slow for a moment.
func TestMemoryLimitClosesLargestClient(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, map[string]handler{"s-000000c1": answerLarge(240000), "s-000000c2": answerLarge(240000)})
	slow := func() *testserver.PlatformClient {
		client := harness.dial()
		client.Conn.(*net.TCPConn).SetReadBuffer(16 << 10)
		return client
	}
	room := func() (left int) {
		harness.server.loop.Call(waitLimit, func() { left = harness.server.maxBufferedBytes() - harness.server.unsentBytes })
		return left
	}
	harness.server.loop.Call(waitLimit, func() { harness.server.config.Limits.MemoryMB = minMemoryMB })
	never, other := slow(), slow()
	for i := 0; room() > 300000 && i < 60; i++ { // one by one, until the next answer would be too much
		if i == 30 {
			never = slow()
		}
		served := uint64(0)
		harness.server.loop.Call(waitLimit, func() { served = harness.server.counts.Served })
		never.Ask(readFields(key), nil)
		harness.waitUntil("it is served", func() (yes bool) {
			harness.server.loop.Call(waitLimit, func() { yes = harness.server.counts.Served > served })
			return yes
		})
	}
	if left := room(); left > 300000 {
		t.Fatalf("%d bytes may still wait", left)
	}
	const asked = 24
	for range asked {
		other.Ask(readFields(key), nil)
	}
	time.Sleep(200 * time.Millisecond)
	for i := range asked {
		if result, err := other.Result(waitLimit); err != nil || result.Word != "served" {
			t.Fatalf("answer %d: %s %v", i, result.Word, err)
		}
	}
	if left := room(); left < 0 {
		t.Errorf("%d bytes too much wait", -left)
	}
}

// TestDrainMeetsDeadlines: caches hang through the whole of a shutdown, deadlines are short, and
// clients go on sending on their connections: each request that was sent before the
// connection's end has its answer, and the router is gone in time.
func TestDrainMeetsDeadlines(t *testing.T) {
	for _, deadline := range []time.Duration{60 * time.Millisecond, 200 * time.Millisecond, time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			drainInTime(t, deadline)
		})
	}
}

func drainInTime(t *testing.T, deadline time.Duration) {
	wait := fmt.Sprint(deadline.Milliseconds())
	harness := newHarnessWith(t, (&recorder{}).handlers(), `"give_up":3000`, `"give_up":`+wait, `"aim":400`, `"aim":100`)
	var mu sync.Mutex
	owed := map[string]time.Time{}
	var busy sync.WaitGroup
	begun := make(chan struct{})
	for i := range 8 {
		client := harness.dial()
		busy.Go(func() {
			sent := sync.WaitGroup{}
			defer sent.Wait()
			over := make(chan struct{})
			sent.Go(func() {
				defer close(over)
				for {
					result, err := client.Result(waitLimit)
					if err != nil {
						return
					}
					mu.Lock()
					delete(owed, fmt.Sprint(i, " ", result.Seq))
					mu.Unlock()
				}
			})
			for seq := int32(1); seq < 200; seq++ {
				select {
				case <-over:
					client.Close()
					return
				case <-time.After(deadline/12 + time.Duration(5*i)*time.Millisecond):
				}
				name := fmt.Sprint(i, " ", seq)
				mu.Lock()
				owed[name] = time.Now()
				mu.Unlock()
				if _, err := client.Ask(readFields(key, "wait", wait), nil); err != nil {
					client.Close()
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
	harness.server.Drain()
	harness.waitStopped()
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
func (w *testHarness) planFaults(plan string) (calls *faultinject.Syscalls) {
	w.t.Helper()
	w.server.loop.Call(waitLimit, func() { calls = w.injectFaults(plan) })
	return calls
}

// fail is faults, called on the loop.
func (w *testHarness) injectFaults(plan string) *faultinject.Syscalls {
	parsed, err := faultinject.Parse(plan)
	if err != nil {
		w.t.Error(err)
	}
	calls := faultinject.New(parsed, 1, faultinject.Since())
	w.server.loop.Intercept(calls)
	return calls
}

// TestInterruptedSystemCallsLoseNothing: reads and writes that fail for a moment cost no request
// its answer, and no cache a second attempt.
func TestInterruptedSystemCallsLoseNothing(t *testing.T) {
	for _, plan := range []string{
		"read:EINTR:0.3; write:EINTR:0.3; wait:EINTR:0.3",
		"read:EINTR:6x; write:EINTR:6x",
		"read:ENOMEM:0.2; write:ENOBUFS:0.2",
		"read:ENOBUFS:1:0ms-100ms; write:ENOMEM:1:0ms-200ms",
		"read:short:0.5; write:short:0.5",
	} {
		t.Run(plan, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, map[string]handler{"s-000000c1": answerLarge(100000), "s-000000c2": answerLarge(100000)})
			harness.openConnections()
			before := harness.requestsSent()
			s := harness.planFaults(plan)
			const asked = 30
			for range 4 {
				client := harness.dial()
				for range asked / 2 {
					client.Ask(readFields(key), nil)
					client.Ask(writeFields(), make([]byte, 30000))
				}
				for i := range asked {
					if result, err := client.Result(waitLimit); err != nil || result.Word != "served" {
						t.Fatalf("answer %d: %s %v", i, result.Word, err)
					}
				}
			}
			if n := harness.requestsSent() - before; n != 4*asked {
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
			harness := newHarness(t, nil)
			harness.openConnections()
			release := harness.blockLoop()
			done := make(chan testserver.PlatformResult, 1)
			client := harness.dial()
			client.Ask(readFields(key), nil)
			go func() {
				result, _ := client.Result(waitLimit)
				done <- result
			}()
			release()
			if result := <-done; result.Word != "served" {
				t.Fatalf("%+v", result)
			}
			for _, call := range []string{"write", "connect"} { // of a router's connection to a cache
				client := harness.dial()
				client.Ask(readFields(key), nil)
				if call == "write" {
					client.Result(waitLimit)
				}
				s := harness.planFaults(call + ":" + errno + ":1x")
				if call == "write" {
					client.Ask(readFields(key), nil)
				}
				if result, err := client.Result(waitLimit); err != nil || result.Word != "served" {
					t.Errorf("%s: %+v %v", call, result, err)
				}
				if _, failed := s.Counts(faultinject.Call(call)); call == "write" && failed != 1 {
					t.Errorf("%d calls of %s failed", failed, call)
				}
			}
		})
	}
}

// TestAcceptErrors: whatever accept says for a while, the loop does not turn for it, and
// who waits in the queue is served afterwards.
func TestAcceptErrors(t *testing.T) {
	for _, errno := range []string{"ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPERM", "ECONNABORTED", "EINTR", "EPROTO", "EINVAL"} {
		t.Run(errno, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil)
			idle := harness.dial()
			s := harness.planFaults("accept:" + errno + ":1:0ms-400ms; connect:" + errno + ":0.0001")
			began := time.Now()
			client := harness.dial()
			client.Ask(readFields(key), nil)
			if result, err := client.Result(waitLimit); err != nil || result.Word != "served" {
				t.Fatalf("%+v %v", result, err)
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
					harness := newHarness(t, nil)
					var s *faultinject.Syscalls
					release := harness.blockLoopThen(func() { s = harness.injectFaults(plan) }) // all is asked in that moment
					const clients, each = 4, 25
					var busy sync.WaitGroup
					for range clients {
						client := harness.dial()
						for i := range each {
							client.Ask(readFields(fmt.Sprintf("%016x", i), "wait", "3000"), nil)
						}
						busy.Go(func() {
							for range each {
								if result, err := client.Result(waitLimit); err != nil || result.Word != "served" {
									t.Errorf("%+v %v", result, err)
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
type stallingSyscalls struct {
	eventloop.KernelCalls
	fd    int
	until time.Time
	span  time.Duration
}

func (h *stallingSyscalls) Write(fd int, b []byte) (int, error) {
	switch {
	case h.fd == 0 && bytes.Contains(b, []byte("REQ")):
		h.fd, h.until = fd, time.Now().Add(h.span)
		return h.KernelCalls.Write(fd, b[:20])
	case h.fd == fd && time.Now().Before(h.until):
		return 0, unix.EAGAIN
	}
	return h.KernelCalls.Write(fd, b)
}

// TestPartiallyWrittenFrame: the rest of an attempt leaves while the deadline that it names still
// holds, or not at all; and a request that shared the connection is served too.
func TestPartiallyWrittenFrame(t *testing.T) {
	for _, span := range []time.Duration{40 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(span.String(), func(t *testing.T) {
			t.Parallel()
			rec := &recorder{answer: answerHit}
			harness := newHarness(t, rec.handlers())
			harness.openConnections()
			before := len(rec.requests())
			harness.server.loop.Call(waitLimit, func() { harness.server.loop.Intercept(&stallingSyscalls{span: span}) })
			client := harness.dial()
			sent := time.Now()
			for range 2 {
				client.Ask(readFields(key, "wait", "2000"), nil)
			}
			for range 2 {
				if result, err := client.Result(waitLimit); err != nil || result.Word != "served" {
					t.Fatalf("%+v %v", result, err)
				}
			}
			time.Sleep(time.Until(sent.Add(span + 100*time.Millisecond)))
			for _, a := range rec.requests()[before:] {
				wait, _ := strconv.Atoi(a.Fields["wait"])
				passed, left := time.Duration(wait)*time.Millisecond, 2*time.Second-a.arrivedAt.Sub(sent)
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
	curt := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if wait, _ := strconv.Atoi(request.Fields["wait"]); wait > 30 {
			answerHit(conn, request)
		}
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": curt, "s-000000c2": curt, "s-000000a1": curt})
	harness.openConnections()
	hasty, usual := harness.dial(), harness.dial()
	const asked = 150
	sent := map[int32]time.Time{}
	var answered sync.WaitGroup
	var mu sync.Mutex
	answered.Go(func() {
		for range asked {
			result, err := hasty.Result(waitLimit)
			if err != nil {
				t.Errorf("one with little time: %v", err)
				return
			}
			mu.Lock()
			if d := time.Since(sent[result.Seq]); d > 30*time.Millisecond+deadlineSlack {
				t.Errorf("answered after %v", d)
			}
			mu.Unlock()
		}
	})
	for i := range asked {
		fields := readFields(fmt.Sprintf("%016x", i), "wait", fmt.Sprint(1+i%30))
		if i%3 == 0 {
			fields = writeFields("wait", fmt.Sprint(1+i%30))
		}
		mu.Lock()
		seq, _ := hasty.Ask(fields, nil)
		sent[seq] = time.Now()
		mu.Unlock()
		usual.Ask(readFields(fmt.Sprintf("%016x", i)), nil)
		usual.Ask(writeFields(), nil)
		for range 2 {
			if result, err := usual.Result(waitLimit); err != nil || result.Word != "served" {
				t.Errorf("a usual one: %+v %v", result, err)
			}
		}
		time.Sleep(2 * time.Millisecond) // 32 may be open at once
	}
	answered.Wait()
	harness.server.loop.Call(waitLimit, func() {
		members, _ := harness.server.engine.Beliefs()
		for id, b := range members {
			if b.Suspect || b.Held != 0 {
				t.Errorf("%s is held for suspect, or for busy: %+v", id, b)
			}
		}
	})
}

// TestConnectionsClosedByIdleMember: caches reset what comes on a connection that was idle for a
// while; a request finds a fresh one before its attempts are spent.
func TestConnectionsClosedByIdleMember(t *testing.T) {
	t.Parallel()
	const forgets = 200 * time.Millisecond
	var mu sync.Mutex
	last, held := map[*testserver.PlatformConn]time.Time{}, true
	on := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		mu.Lock()
		defer mu.Unlock()
		before, known := last[conn]
		last[conn] = time.Now()
		switch {
		case request.Stop:
		case known && time.Since(before) > forgets:
			conn.Reset()
		case held: // so that each gets a connection of its own
			time.AfterFunc(150*time.Millisecond, func() { answerHit(conn, request) })
		default:
			answerHit(conn, request)
		}
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": on, "s-000000c2": on, "s-000000a1": on})
	ask := func(count int, what func(i int) map[string]string) {
		client := harness.dial()
		for i := range count {
			client.Ask(what(i), nil)
		}
		for range count {
			if result, err := client.Result(waitLimit); err != nil || result.Word != "served" {
				t.Errorf("%+v %v", result, err)
			}
		}
	}
	mixed := func(i int) map[string]string {
		if i%2 == 0 {
			return writeFields("wait", "2500")
		}
		return readFields(fmt.Sprintf("%016x", i), "wait", "2500")
	}
	ask(32, mixed)
	mu.Lock()
	held = false
	mu.Unlock()
	conns := 0
	harness.server.loop.Call(waitLimit, func() { conns = harness.server.memberConnections })
	time.Sleep(forgets + 100*time.Millisecond)
	before := harness.requestsSent()
	ask(1, func(int) map[string]string { return writeFields("wait", "2500") })
	ask(1, func(int) map[string]string { return readFields(key, "wait", "2500") })
	if n := harness.requestsSent() - before; n > 4 {
		t.Errorf("%d attempts for two requests, over %d connections that were forgotten", n, conns)
	}
	ask(16, mixed)
}

// TestReloadTwice: of two reloads in quick succession the second file holds, requests in
// hand are answered, and its feed is asked from the last number.
func TestReloadTwice(t *testing.T) {
	t.Parallel()
	slow := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if !request.Stop {
			time.AfterFunc(150*time.Millisecond, func() { answerHit(conn, request) })
		}
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": slow, "s-000000c2": slow, "s-000000a1": slow})
	harness.waitUntil("the first feed is asked", func() bool { return harness.discoveryConnections.Load() == 1 })
	for round := range 5 {
		client := harness.dial()
		for range 10 {
			client.Ask(readFields(key), nil)
			client.Ask(writeFields(), nil)
		}
		harness.waitUntil("they are taken", func() (all bool) {
			harness.server.loop.Call(waitLimit, func() { all = len(harness.server.requests) == 20 })
			return all
		})
		first, second := harness.newDiscovery(), harness.newDiscovery()
		harness.settings = strings.Replace(testSettings, `"name":"clip"`, `"name":"film"`, 1)
		harness.writeConfig(first.Addr)
		harness.server.Reload()
		time.Sleep(time.Duration(round*20) * time.Millisecond)
		harness.settings = testSettings
		harness.writeConfig(second.Addr)
		harness.server.Reload()
		harness.waitTurn()
		for range 20 {
			if result, err := client.Result(waitLimit); err != nil || result.Word != "served" {
				t.Errorf("round %d: %+v %v", round, result, err)
			}
		}
		if result := harness.roundTrip(readFields(key), nil); result.Word != "served" {
			t.Errorf("round %d, afterwards: %+v", round, result)
		}
		feed := ""
		harness.server.loop.Call(waitLimit, func() { feed = harness.server.config.Feed })
		if feed != second.Addr {
			t.Errorf("round %d: the feed is %s, not %s", round, feed, second.Addr)
		}
	}
	harness.waitUntil("the last feed is asked", func() bool { return harness.discoveryConnections.Load() >= 2 && harness.lastResumed.Load() == 1 })
}

// TestReloadWhileFilesFail: a file that cannot be read for a moment is read a moment later.
func TestReloadWhileFilesFail(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENFILE, unix.EMFILE, unix.EIO, unix.ENOMEM} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil)
			left := 3
			harness.server.loop.Call(waitLimit, func() {
				harness.server.readConfig = func(file string) (*Config, error) {
					if left--; left >= 0 {
						return nil, &os.PathError{Op: "open", Path: file, Err: errno}
					}
					return ReadConfig(file)
				}
			})
			second := harness.newDiscovery()
			harness.writeConfig(second.Addr)
			harness.server.Reload()
			harness.waitUntil("the new file holds", func() (yes bool) {
				harness.server.loop.Call(waitLimit, func() { yes = harness.server.config.Feed == second.Addr })
				return yes
			})
		})
	}
}
