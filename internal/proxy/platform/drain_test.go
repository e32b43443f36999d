package platform

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"indigospool/internal/testbed/testserver"
)

// TestDrain checks that a draining router answers requests that arrived before and after the
// signal, that isWell is no longer good, and that the router then stops.
func TestDrain(t *testing.T) {
	hold := make(chan func(), 4)
	wait := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if request.Cancel {
			return
		}
		hold <- func() { answerHit(conn, request) }
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": wait, "s-000000c2": wait})
	client := harness.dial()
	client.Ask(readFields(key), nil)
	answer := <-hold
	harness.server.Drain()
	harness.waitUntil("isWell is not good", func() bool { good, err := harness.dial().IsWell(); return !good && err == nil })
	later := harness.dial()
	later.Ask(readFields(key), nil)
	(<-hold)()
	if result, err := later.Result(waitTimeout); err != nil || result.Word != "served" {
		t.Errorf("a request after the signal: answer %+v, error %v; want served", result, err)
	}
	answer()
	if result, err := client.Result(waitTimeout); err != nil || result.Word != "served" {
		t.Errorf("a request before the signal: answer %+v, error %v; want served", result, err)
	}
	select {
	case err := <-harness.serveErr:
		if harness.serveErr <- err; err != nil {
			t.Error(err)
		}
	case <-time.After(waitTimeout):
		t.Error("the router did not stop in time")
	}
}

// waitStopped waits until a draining router has stopped.
func (h *testHarness) waitStopped() {
	h.t.Helper()
	select {
	case err := <-h.serveErr:
		if h.serveErr <- err; err != nil {
			h.t.Error(err)
		}
	case <-time.After(waitTimeout):
		h.t.Error("the router did not stop in time")
	}
}

// TestDrainRaces checks that a request that arrives at the same time as SIGTERM is answered once
// and that the router then stops, also with a second signal and a reload in between.
func TestDrainRaces(t *testing.T) {
	call := testserver.PlatformCall("serve", 1, readFields(key), nil)
	for _, test := range []struct {
		name string
		run  func(harness *testHarness, client *testserver.PlatformClient)
		word string
	}{
		{"signal between accept and first read", func(harness *testHarness, client *testserver.PlatformClient) {
			release := harness.blockLoop()
			client.Write(call)
			harness.server.Drain()
			time.Sleep(10 * time.Millisecond)
			release()
		}, "served"},
		{"signal after half a request", func(harness *testHarness, client *testserver.PlatformClient) {
			client.Write(call[:30])
			harness.waitTurn()
			harness.server.Drain()
			time.Sleep(1200 * time.Millisecond) // longer than the minimum duration of a drain
			client.Write(call[30:])
		}, "served"},
		{"reload between two signals", func(harness *testHarness, client *testserver.PlatformClient) {
			harness.server.Drain()
			harness.server.Reload()
			harness.server.Drain()
			client.Write(call)
		}, "served"},
		{"attempt in flight at a cache that hangs", func(harness *testHarness, client *testserver.PlatformClient) {
			client.Write(testserver.PlatformCall("serve", 1, readFields("00000000000000aa"), nil))
			harness.waitTurn()
			harness.server.Drain()
		}, "refused"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			on := func(pc *testserver.PlatformConn, request testserver.PlatformRequest) {
				if request.Fields["key"] != "00000000000000aa" {
					answerHit(pc, request)
				}
			}
			harness := newHarness(t, map[string]handler{"s-000000c1": on, "s-000000c2": on, "s-000000a1": on})
			client := harness.dial()
			test.run(harness, client)
			if result, err := client.Result(waitTimeout); err != nil || result.Word != test.word {
				t.Errorf("answer %+v, error %v; want %s", result, err, test.word)
			}
			if _, err := client.Result(waitTimeout); err != io.EOF {
				t.Errorf("after the answer: error %v, want EOF", err)
			}
			client.Close()
			harness.waitStopped()
		})
	}
}

// TestDrainWithPartialAnswer checks that a client that reads slowly gets all its answers from a
// draining router.
func TestDrainWithPartialAnswer(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, map[string]handler{"s-000000c1": answerLarge(240000), "s-000000c2": answerLarge(240000)})
	client := harness.dial()
	client.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	for range 30 { // more than the kernel buffers
		client.Ask(readFields(key), nil)
	}
	harness.waitUntil("answers are unsent", func() (yes bool) {
		harness.server.loop.Call(waitTimeout, func() { yes = harness.server.unsentBytes > 0 })
		return yes
	})
	harness.server.Drain()
	time.Sleep(1500 * time.Millisecond)
	for i := range 30 {
		if result, err := client.Result(waitTimeout); err != nil || result.Word != "served" || len(result.Body) != 240000 {
			t.Fatalf("answer %d: result %q of %d bytes, error %v; want served with 240000", i, result.Word, len(result.Body), err)
		}
	}
	client.Close()
	harness.waitStopped()
}

// TestDrainResetsNoConnection checks that a draining router shuts down idle connections for
// writing but still reads them: a request that arrives then starts no attempt, and an answer that
// the client has not read yet is not lost by a reset.
func TestDrainResetsNoConnection(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, map[string]handler{"s-000000c1": answerLarge(200000), "s-000000c2": answerLarge(200000)})
	client := harness.dial()
	client.Ask(readFields(key), nil)
	harness.waitUntil("the request is answered", func() bool {
		n := -1
		harness.server.loop.Call(waitTimeout, func() { n = len(harness.server.requests) + harness.server.unsentBytes })
		return n == 0 && harness.requestsSent() > 0
	})
	before := harness.requestsSent()
	harness.server.Drain()
	shut := func() (yes bool) {
		harness.server.loop.Call(waitTimeout, func() {
			for c := range harness.server.clients {
				yes = c.activity.ShutdownAt > 0
			}
		})
		return yes
	}
	harness.waitUntil("the connection is shut down for writing", shut)
	if _, err := client.Ask(readFields(key), nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if result, err := client.Result(waitTimeout); err != nil || result.Word != "served" || len(result.Body) != 200000 {
		t.Errorf("result %q of %d bytes, error %v; want served with 200000", result.Word, len(result.Body), err)
	}
	if _, err := client.Result(waitTimeout); err != io.EOF {
		t.Errorf("after the answer: error %v, want EOF", err)
	}
	client.Close()
	harness.waitStopped()
	if n := harness.requestsSent(); n != before {
		t.Errorf("%d attempts after the shutdown, want 0", n-before)
	}
}

// TestDrainMeetsDeadlines checks a drain while all caches hang, deadlines are short and clients
// continue to send requests: each request that was sent before its connection was closed is
// answered, and the router stops before it would be killed.
func TestDrainMeetsDeadlines(t *testing.T) {
	for _, deadline := range []time.Duration{60 * time.Millisecond, 200 * time.Millisecond, time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			testDrainWithDeadline(t, deadline)
		})
	}
}

// pendingAnswers has the send times of the requests without an answer, by client and sequence
// number.
type pendingAnswers struct {
	mutex  sync.Mutex
	sentAt map[string]time.Time
}

func (o *pendingAnswers) sent(client int, seq int32) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.sentAt[fmt.Sprint(client, " ", seq)] = time.Now()
}

func (o *pendingAnswers) answered(client int, seq int32) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.sentAt, fmt.Sprint(client, " ", seq))
}

// sendUntilClosed sends requests from one client, with a pause before each, until the connection
// is closed or 199 are sent, and reads the answers. It calls afterFive after the fifth request.
func (o *pendingAnswers) sendUntilClosed(client *testserver.PlatformClient, number int, pause time.Duration, wait string, afterFive func()) {
	reading := sync.WaitGroup{}
	defer reading.Wait()
	closed := make(chan struct{})
	reading.Go(func() {
		defer close(closed)
		for {
			result, err := client.Result(waitTimeout)
			if err != nil {
				return
			}
			o.answered(number, result.Seq)
		}
	})
	for seq := int32(1); seq < 200; seq++ {
		select {
		case <-closed:
			client.Close()
			return
		case <-time.After(pause):
		}
		o.sent(number, seq)
		if _, err := client.Ask(readFields(key, "wait", wait), nil); err != nil {
			client.Close()
			return
		}
		if seq == 5 {
			afterFive()
		}
	}
}

func testDrainWithDeadline(t *testing.T, deadline time.Duration) {
	wait := fmt.Sprint(deadline.Milliseconds())
	harness := newHarnessWith(t, (&recorder{}).handlers(), `"give_up":3000`, `"give_up":`+wait, `"aim":400`, `"aim":100`)
	pending := pendingAnswers{sentAt: map[string]time.Time{}}
	var clients sync.WaitGroup
	started := make(chan struct{})
	for i := range 8 {
		client := harness.dial()
		afterFive := func() {}
		if i == 0 {
			afterFive = func() { close(started) }
		}
		clients.Go(func() {
			pending.sendUntilClosed(client, i, deadline/12+time.Duration(5*i)*time.Millisecond, wait, afterFive)
		})
	}
	<-started
	signalled := time.Now()
	harness.server.Drain()
	harness.waitStopped()
	stopped := time.Now()
	clients.Wait()
	if took := stopped.Sub(signalled); took > deadline+700*time.Millisecond {
		t.Errorf("the router stopped %v after the signal, want at most 700 ms more than the deadline of %v", took, deadline)
	}
	for name, sent := range pending.sentAt {
		if before := stopped.Sub(sent); before > 50*time.Millisecond {
			t.Errorf("request %s, sent %v before the router stopped, has no answer, want one if sent more than 50 ms before", name, before)
		}
	}
}

// TestDrainAnswersRequestsWithLateDeadlines checks that a draining router answers requests whose
// deadlines are after the kill before it stops. In a benchmark, a router once closed the
// connections of 14 such requests in one shutdown without answering them.
func TestDrainAnswersRequestsWithLateDeadlines(t *testing.T) {
	t.Parallel()
	harness := newHarnessWith(t, (&recorder{}).handlers(), `"give_up":3000`, `"give_up":9000`)
	client := harness.dial()
	const requests = 10
	for range requests {
		if _, err := client.Ask(readFields(key, "wait", "9000"), nil); err != nil {
			t.Fatal(err)
		}
	}
	harness.waitUntil("all requests are in flight", func() (all bool) {
		harness.server.loop.Call(waitTimeout, func() { all = len(harness.server.requests) == requests })
		return all
	})
	signalled := time.Now()
	harness.server.Drain()
	for i := range requests {
		result, err := client.Result(waitTimeout)
		if err != nil {
			t.Fatalf("request %d of %d, %v after the signal: %v", i+1, requests, time.Since(signalled), err)
		}
		if result.Word != "refused" && result.Word != "failed" {
			t.Errorf("request %d: answer %+v, want refused or failed", i+1, result)
		}
	}
	if d := time.Since(signalled); d > (maxDrainDeadline+killGracePeriod)*time.Millisecond {
		t.Errorf("the last answer arrived %v after the signal", d)
	}
	client.Close()
	harness.waitStopped()
}
