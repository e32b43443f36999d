package scenario

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"indigospool/internal/testbed/trafficlog"
)

// reply is a router's response to one try.
type reply struct {
	status     int // 0: the router closes the connection without a response
	after      time.Duration
	retryAfter string
}

// A client repeats a write only if the write certainly does not take effect twice. The deadline
// of a repeat lies within the window after the first try that may have been executed.
func TestWritesRepeatedOnlyIfSafe(t *testing.T) {
	const window = 600 // ms for which servers discard repeats
	failed, refused := reply{status: 502}, reply{status: 503}
	refusedFor := reply{status: 503, retryAfter: "1"}
	for _, c := range []struct {
		name          string
		effect, group string
		replies       []reply // one for each try; the last one also for later tries
		tries         int
	}{
		{"failed early in the window", "guarded", "all", []reply{failed}, 3},
		{"closed without a response", "guarded", "all", []reply{{}}, 3},
		{"failed past the window", "guarded", "all", []reply{{status: 502, after: 700 * time.Millisecond}}, 1},
		{"told to wait past the window", "guarded", "all", []reply{{status: 502, retryAfter: "1"}}, 1},
		{"rejected after a try that may have been executed", "guarded", "all", []reply{failed, refusedFor}, 2},
		{"rejected each time", "guarded", "all", []reply{refusedFor}, 3},
		{"failed, repeats dropped in the zone only", "guarded", "zone", []reply{failed}, 1},
		{"rejected, repeats dropped in the zone only", "guarded", "zone", []reply{refused}, 3},
		{"failed, non-idempotent", "single-shot", "all", []reply{failed}, 1},
		{"failed after a rejection", "single-shot", "all", []reply{refused, failed}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var asked atomic.Int64
			var mu sync.Mutex
			var deadlines []float64 // see trafficlog.Now
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				span, _ := strconv.ParseFloat(r.Header.Get("Spool-Deadline"), 64)
				mu.Lock()
				deadlines = append(deadlines, trafficlog.Now()+span)
				mu.Unlock()
				answer := c.replies[min(int(asked.Add(1)), len(c.replies))-1]
				time.Sleep(answer.after)
				if answer.status == 0 {
					panic(http.ErrAbortHandler)
				}
				if answer.retryAfter != "" {
					w.Header().Set("Retry-After", answer.retryAfter)
				}
				w.WriteHeader(answer.status)
			}))
			defer server.Close()
			records := askOneWrite(strings.TrimPrefix(server.URL, "http://"),
				Class{Name: "order", Deadline: 2000, Write: true, Idempotency: c.effect, KeyScope: c.group, KeyWindow: window})
			if len(records) != c.tries || int(asked.Load()) != c.tries {
				t.Fatalf("%d tries, %d of them received by the router; want %d", len(records), asked.Load(), c.tries)
			}
			mayHaveRun := math.Inf(1)
			for i, ask := range records {
				if latest := mayHaveRun + window; ask.Limit > latest || deadlines[i] > latest {
					t.Errorf("try %d has its deadline %.0f ms after the first try that may have been executed, and at the router %.0f ms after it; want at most %d", i, ask.Limit-mayHaveRun, deadlines[i]-mayHaveRun, window)
				}
				if c.replies[min(i, len(c.replies)-1)].status != 503 {
					mayHaveRun = min(mayHaveRun, ask.Time)
				}
			}
		})
	}
	t.Run("no router accepts it", func(t *testing.T) {
		if n := len(askOneWrite("", Class{Name: "order", Deadline: 2000, Write: true, Idempotency: "single-shot"})); n != 3 {
			t.Errorf("%d tries of a write that no router accepts, want 3", n)
		}
	})
}

// askOneWrite has a client make one write to the router at an address (empty: the router is
// down) and returns the records of the client's tries.
func askOneWrite(address string, class Class) (asks []trafficlog.Record) {
	script := &Script{Day: DaySettings{Retries: 2, RetryWait: 20, MinTimeoutShare: 1, Groups: 1}, Classes: []Class{class}}
	script.Limits.AnswerSlack = 50
	day := &Day{script: script, trafficLog: trafficlog.NewKeeper(nil), routers: []*router{{endpoint: &routerEndpoint{name: "r1", zone: "z", addr: address}}}}
	var sequence atomic.Int64
	c := &clients{day: day, zone: "z", sequence: &sequence}
	c.request(context.Background(), &class, "/order/0/w1", rand.New(rand.NewPCG(1, 2)))
	for _, r := range day.trafficLog.Records() {
		if r.Event == trafficlog.RequestSent {
			asks = append(asks, r)
		}
	}
	return asks
}

// A client states the time that remains when it sends the request; the time spent waiting
// for a connection does not count.
func TestRemainingTimeStated(t *testing.T) {
	const delay, patience, slack = 200, 2000, 50
	left := make(chan float64, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		span, _ := strconv.ParseFloat(r.Header.Get("Spool-Deadline"), 64)
		left <- span
	}))
	defer server.Close()
	class := Class{Name: "order", Deadline: patience, Write: true, Idempotency: "single-shot"}
	script := &Script{Day: DaySettings{MinTimeoutShare: 1, Groups: 1}, Classes: []Class{class}}
	at := &routerEndpoint{name: "r1", zone: "z", addr: strings.TrimPrefix(server.URL, "http://")}
	c := &clients{day: &Day{script: script, trafficLog: trafficlog.NewKeeper(nil)}, zone: "z", sequence: new(atomic.Int64)}
	at.mu.Lock() // no connection is available
	done := make(chan response)
	go func() {
		done <- c.try(at, &class, "/order/0/w1", "k1", 0, math.Inf(1), rand.New(rand.NewPCG(1, 2)))
	}()
	time.Sleep(delay * time.Millisecond)
	at.mu.Unlock()
	if ans := <-done; !ans.complete {
		t.Fatalf("response %+v, want a complete one", ans)
	}
	if span := <-left; span > patience-delay+slack {
		t.Errorf("the router was told that %.0f ms remain after %d of %d ms have passed, want at most %d", span, delay, patience, patience-delay+slack)
	}
}
