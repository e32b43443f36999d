package platform

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	spool "indigospool"
	"indigospool/internal/testbed/testserver"
)

// TestDeadlineCountsTimeInLongTurn checks that the deadline of a request includes the time for
// which it was unread while the loop was busy, but not time before its last byte was sent.
func TestDeadlineCountsTimeInLongTurn(t *testing.T) {
	for name, send := range map[string]func(harness *testHarness) (sent time.Time){
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
		"first half sent long before the second": func(harness *testHarness) time.Time {
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
			sent := send(harness)
			harness.waitUntil("a cache has received a request", func() bool { return len(rec.requests()) > 0 })
			first := rec.requests()[0]
			wait, _ := strconv.Atoi(first.Fields["wait"])
			left := 2*time.Second - first.arrivedAt.Sub(sent)
			passed := time.Duration(wait) * time.Millisecond
			if passed > left+deadlineSlack {
				t.Errorf("the attempt carries a time limit of %v, but the client had only %v left", passed, left)
			}
			if passed < left-deadlineSlack {
				t.Errorf("the attempt carries a time limit of %v, but the client had %v left", passed, left)
			}
		})
	}
}

// deadlineSlack is the tolerance for deadlines and answer times.
const deadlineSlack = 150 * time.Millisecond

// TestAlmostNoTimeLeft checks that requests with 1 to 30 ms left, which caches drop without an
// answer, are answered by the router, that they do not get the caches ejected, and that other
// requests are served meanwhile.
func TestAlmostNoTimeLeft(t *testing.T) {
	t.Parallel()
	ignoreShortWaits := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
		if wait, _ := strconv.Atoi(request.Fields["wait"]); wait > 30 {
			answerHit(conn, request)
		}
	}
	harness := newHarness(t, map[string]handler{"s-000000c1": ignoreShortWaits, "s-000000c2": ignoreShortWaits, "s-000000a1": ignoreShortWaits})
	harness.openConnections()
	short, normal := harness.dial(), harness.dial()
	const requests = 150
	sent := map[int32]time.Time{}
	var answered sync.WaitGroup
	var mu sync.Mutex
	answered.Go(func() {
		for range requests {
			result, err := short.Result(waitTimeout)
			if err != nil {
				t.Errorf("no answer to a request with little time: %v", err)
				return
			}
			mu.Lock()
			if d := time.Since(sent[result.Seq]); d > 30*time.Millisecond+deadlineSlack {
				t.Errorf("answered after %v, want at most %v", d, 30*time.Millisecond+deadlineSlack)
			}
			mu.Unlock()
		}
	})
	for i := range requests {
		fields := readFields(fmt.Sprintf("%016x", i), "wait", fmt.Sprint(1+i%30))
		if i%3 == 0 {
			fields = writeFields("wait", fmt.Sprint(1+i%30))
		}
		mu.Lock()
		seq, _ := short.Ask(fields, nil)
		sent[seq] = time.Now()
		mu.Unlock()
		normal.Ask(readFields(fmt.Sprintf("%016x", i)), nil)
		normal.Ask(writeFields(), nil)
		for range 2 {
			if result, err := normal.Result(waitTimeout); err != nil || result.Word != "served" {
				t.Errorf("a request with enough time: answer %+v, error %v; want served", result, err)
			}
		}
		time.Sleep(2 * time.Millisecond) // at most 32 calls may be open at once
	}
	answered.Wait()
	harness.server.loop.Call(waitTimeout, func() {
		members, _ := harness.server.engine.Statuses()
		for id, b := range members {
			if b.Ejected || b.InFlight != 0 {
				t.Errorf("%s is ejected or has attempts in flight: %+v", id, b)
			}
		}
	})
}

// TestNothingStartsAfterClientCloses checks that a retry does not start if it is due in the same
// turn of the loop in which the client's close or cancellation arrives.
func TestNothingStartsAfterClientCloses(t *testing.T) {
	for name, leave := range map[string]func(client *testserver.PlatformClient, seq int32){
		"closes": func(client *testserver.PlatformClient, _ int32) { client.Close() },
		"resets": func(client *testserver.PlatformClient, _ int32) {
			(&testserver.PlatformConn{Conn: client.Conn}).Reset()
		},
		"cancels": func(client *testserver.PlatformClient, seq int32) {
			client.Write(testserver.PlatformForget(seq+1, seq))
		},
		"cancels and calls isWell": func(client *testserver.PlatformClient, seq int32) {
			client.Write(testserver.PlatformForget(100, seq))
			client.IsWell()
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
			harness.waitUntil("an attempt is in flight", func() bool { return harness.requestsSent() == before+1 })
			release := harness.blockLoopThen(func() {
				for _, r := range harness.server.requests {
					r.inFlight.abandon(spool.TimedOut) // the router retries it at once
				}
			})
			go leave(client, seq)
			time.Sleep(300 * time.Millisecond)
			release()
			harness.waitTurn()
			time.Sleep(50 * time.Millisecond) // for loopback
			if n := harness.requestsSent() - before; n != 1 {
				t.Errorf("%d attempts, want only the one before the client closed or cancelled", n)
			}
		})
	}
}

// TestAnswerTimeoutAndForgetInOneTurn checks 200 requests whose cancellation or timeout is
// handled in the same turn of the loop as the cache's answer: each gets at most one final answer,
// and nothing is left in flight.
func TestAnswerTimeoutAndForgetInOneTurn(t *testing.T) {
	for _, timeOut := range []bool{false, true} {
		t.Run(fmt.Sprint(timeOut), func(t *testing.T) {
			t.Parallel()
			answers := make(chan func(), 400)
			wait := func(conn *testserver.PlatformConn, request testserver.PlatformRequest) {
				if !request.Cancel {
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
			harness.waitUntil("50 attempts are in flight", func() bool { return len(answers) >= 50 })
			harness.waitTurn()
			release := harness.blockLoop()
			for range len(answers) {
				(<-answers)()
			}
			for _, client := range clients {
				for i := range int32(25) {
					if !timeOut {
						client.Write(testserver.PlatformForget(100+i, 1+i))
					}
				}
			}
			if timeOut {
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
						t.Fatalf("two answers to call %d", result.Seq)
					}
					seen[result.Seq] = true
				}
				if timeOut && len(seen) != 25 {
					t.Errorf("%d of 25 calls were answered, want all", len(seen))
				}
			}
			harness.checkNothingInFlight()
		})
	}
}

// checkNothingInFlight checks that the router has no requests, unsent bytes or attempts in flight.
func (h *testHarness) checkNothingInFlight() {
	h.t.Helper()
	h.server.loop.Call(waitTimeout, func() {
		if len(h.server.requests) > 0 || h.server.unsentBytes > 0 {
			h.t.Errorf("%d requests and %d unsent bytes are left, want none", len(h.server.requests), h.server.unsentBytes)
		}
		for id, inFlight := range inFlightByMember(h.server) {
			if inFlight != 0 {
				h.t.Errorf("%v attempts are recorded as in flight at %s, want 0", inFlight, id)
			}
		}
	})
}

// TestReadWithinRead checks that a read from one client while the messages of another are handled
// leaves these messages as they are, and that a client is not read while its own are handled.
func TestReadWithinRead(t *testing.T) {
	harness := newHarness(t, nil)
	client := harness.dial()
	harness.waitTurn()
	harness.server.loop.Call(waitTimeout, func() {
		outer := harness.server.borrowReadBuffer()
		inner := harness.server.borrowReadBuffer()
		if &outer[0] == &inner[0] || len(inner) != len(outer) {
			t.Error("two reads share a buffer")
		}
		harness.server.returnReadBuffer(inner)
		if third := harness.server.borrowReadBuffer(); &outer[0] == &third[0] {
			t.Error("a buffer is borrowed again before it was returned")
		} else {
			harness.server.returnReadBuffer(third)
		}
		harness.server.returnReadBuffer(outer)
		if again := harness.server.borrowReadBuffer(); &again[0] != &outer[0] {
			t.Error("the usual buffer is not used again")
		}
		harness.server.returnReadBuffer(outer)
	})
	release := harness.blockLoopThen(func() {
		for c := range harness.server.clients {
			c.parsing = true
			c.receiveInLongTurn()
			if c.parsing = false; len(c.pending) > 0 {
				t.Error("a client was read while its messages were handled")
			}
		}
	})
	client.Ask(readFields(key), nil)
	time.Sleep(2 * longTurnTime * time.Millisecond)
	release()
	if result, err := client.Result(waitTimeout); err != nil || result.Word != "served" {
		t.Errorf("answer %+v, error %v; want served", result, err)
	}
}
