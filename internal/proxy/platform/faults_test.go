package platform

import (
	"bytes"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"indigospool/internal/eventloop"
	"indigospool/internal/testbed/faultinject"
	"indigospool/internal/testbed/testserver"
)

// planFaults makes the router's system calls fail according to a plan: faults of the form
// call:error[:rate][:from-until], separated by semicolons. The error "short" transfers only a
// part of the bytes. The rate is the share of the calls that fail, or their number, such as 6x.
// The time span counts from planFaults. Package faultinject has the details.
func (h *testHarness) planFaults(plan string) (calls *faultinject.Syscalls) {
	h.t.Helper()
	h.server.loop.Call(waitTimeout, func() { calls = h.injectFaults(plan) })
	return calls
}

// injectFaults does the same as planFaults. It must be called on the loop.
func (h *testHarness) injectFaults(plan string) *faultinject.Syscalls {
	parsed, err := faultinject.Parse(plan)
	if err != nil {
		h.t.Error(err)
	}
	calls := faultinject.New(parsed, 1, faultinject.StartClock())
	h.server.loop.Intercept(calls)
	return calls
}

// TestInterruptedSystemCallsLoseNothing checks that temporary failures of reads and writes neither
// lose answers nor cause additional attempts.
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
			calls := harness.planFaults(plan)
			const requests = 30
			for range 4 {
				client := harness.dial()
				for range requests / 2 {
					client.Ask(readFields(key), nil)
					client.Ask(writeFields(), make([]byte, 30000))
				}
				for i := range requests {
					if result, err := client.Result(waitTimeout); err != nil || result.Word != "served" {
						t.Fatalf("answer %d: result %q, error %v; want served", i, result.Word, err)
					}
				}
			}
			if n := harness.requestsSent() - before; n != 4*requests {
				t.Errorf("%d attempts for %d requests, want one for each", n, 4*requests)
			}
			for _, call := range []faultinject.Call{faultinject.Read, faultinject.Write} {
				if _, failed := calls.Counts(call); failed == 0 {
					t.Errorf("no %s failed", call)
				}
			}
		})
	}
}

// TestBrokenConnections checks that any error that the kernel reports for a lost connection ends
// the connection, and that the request is served over another one.
func TestBrokenConnections(t *testing.T) {
	for _, errno := range []string{"ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "ECONNRESET", "EPIPE"} {
		t.Run(errno, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil)
			harness.openConnections()
			release := harness.blockLoop() // so that the first request has arrived when its connection is accepted
			done := make(chan testserver.PlatformResult, 1)
			client := harness.dial()
			client.Ask(readFields(key), nil)
			go func() {
				result, _ := client.Result(waitTimeout)
				done <- result
			}()
			release()
			if result := <-done; result.Word != "served" {
				t.Fatalf("the first request was answered %+v, want served", result)
			}
			for _, call := range []string{"write", "connect"} { // on the router's connection to a cache
				client := harness.dial()
				client.Ask(readFields(key), nil)
				if call == "write" { // the write that fails must be that of the next request
					client.Result(waitTimeout)
				}
				calls := harness.planFaults(call + ":" + errno + ":1x")
				if call == "write" {
					client.Ask(readFields(key), nil)
				}
				if result, err := client.Result(waitTimeout); err != nil || result.Word != "served" {
					t.Errorf("%s: answer %+v, error %v; want served", call, result, err)
				}
				// The request may be sent over an open connection, so that connect is not called.
				if _, failed := calls.Counts(faultinject.Call(call)); call == "write" && failed != 1 {
					t.Errorf("%d calls of %s failed, want 1", failed, call)
				}
			}
		})
	}
}

// TestAcceptErrors checks that the loop does not spin while accept fails, and that clients in the
// backlog are served afterwards.
func TestAcceptErrors(t *testing.T) {
	for _, errno := range []string{"ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPERM", "ECONNABORTED", "EINTR", "EPROTO", "EINVAL"} {
		t.Run(errno, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil)
			idle := harness.dial()
			calls := harness.planFaults("accept:" + errno + ":1:0ms-400ms; connect:" + errno + ":0.0001")
			began := time.Now()
			client := harness.dial()
			client.Ask(readFields(key), nil)
			if result, err := client.Result(waitTimeout); err != nil || result.Word != "served" {
				t.Fatalf("answer %+v, error %v; want served", result, err)
			}
			if elapsed := time.Since(began); elapsed > time.Second {
				t.Errorf("served after %v, want at most %v", elapsed, time.Second)
			}
			if _, failed := calls.Counts(faultinject.Accept); failed == 0 || failed > 500 {
				t.Errorf("accept failed %d times in 0.4 s, want 1 to 500", failed)
			}
			idle.Close()
		})
	}
}

// TestLocalFailures checks that requests are served if the router's machine lacks the resources
// for new connections for a time that is shorter than the requests' deadlines, and that the router
// backs off meanwhile.
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
					var calls *faultinject.Syscalls
					release := harness.blockLoopThen(func() { calls = harness.injectFaults(plan) }) // so that all requests have arrived when the faults begin
					const clients, requestsEach = 4, 25
					var busy sync.WaitGroup
					for range clients {
						client := harness.dial()
						for i := range requestsEach {
							client.Ask(readFields(fmt.Sprintf("%016x", i), "wait", "3000"), nil)
						}
						busy.Go(func() {
							for range requestsEach {
								if result, err := client.Result(waitTimeout); err != nil || result.Word != "served" {
									t.Errorf("answer %+v, error %v; want served", result, err)
									return
								}
							}
						})
					}
					release()
					busy.Wait()
					made, failed := calls.Counts(faultinject.Call(call))
					if failed == 0 {
						t.Errorf("no %s failed", call)
					}
					if limit := 100 * 40; failed > limit { // 40 for each request
						t.Errorf("%d of %d calls of %s failed, want at most %d: the router does not back off", failed, made, call, limit)
					}
				})
			}
		}
	}
}

// stallingSyscalls writes only the first 20 bytes of the first attempt. For the time span from
// then on, writes to the connection of that attempt fail with EAGAIN.
type stallingSyscalls struct {
	eventloop.KernelCalls
	fd    int // the connection of the first attempt; 0 before that attempt
	until time.Time
	span  time.Duration
}

func (s *stallingSyscalls) Write(fd int, b []byte) (int, error) {
	switch {
	case s.fd == 0 && bytes.Contains(b, []byte("REQ")):
		s.fd, s.until = fd, time.Now().Add(s.span)
		return s.KernelCalls.Write(fd, b[:20])
	case s.fd == fd && time.Now().Before(s.until):
		return 0, unix.EAGAIN
	}
	return s.KernelCalls.Write(fd, b)
}

// TestPartiallyWrittenFrame checks that the router does not finish writing the frame of a stalled
// attempt once the time limit encoded in it exceeds the client's remaining time by more than
// deadlineSlack, and that both requests are served nevertheless.
func TestPartiallyWrittenFrame(t *testing.T) {
	for _, span := range []time.Duration{40 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(span.String(), func(t *testing.T) {
			t.Parallel()
			rec := &recorder{answer: answerHit}
			harness := newHarness(t, rec.handlers())
			harness.openConnections()
			before := len(rec.requests())
			harness.server.loop.Call(waitTimeout, func() { harness.server.loop.Intercept(&stallingSyscalls{span: span}) })
			client := harness.dial()
			sent := time.Now()
			for range 2 {
				client.Ask(readFields(key, "wait", "2000"), nil)
			}
			for range 2 {
				if result, err := client.Result(waitTimeout); err != nil || result.Word != "served" {
					t.Fatalf("answer %+v, error %v; want served", result, err)
				}
			}
			time.Sleep(time.Until(sent.Add(span + 100*time.Millisecond)))
			for _, attempt := range rec.requests()[before:] {
				wait, _ := strconv.Atoi(attempt.Fields["wait"])
				forwarded, remaining := time.Duration(wait)*time.Millisecond, 2*time.Second-attempt.arrivedAt.Sub(sent)
				if forwarded > remaining+deadlineSlack {
					t.Errorf("the attempt carries a time limit of %v, but the client had only %v left", forwarded, remaining)
				}
			}
		})
	}
}
