package httpfront

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/http1"
	"indigospool/internal/testbed/testserver"
	"indigospool/internal/wallclock"
)

// A step of the wall clock by an hour does not change how long a response with a Date field is
// fresh.
func TestFreshAfterClockStep(t *testing.T) {
	noon := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	for fields, want := range map[string][3]float64{ // with the clock an hour behind, correct, an hour ahead
		"Date: Tue, 01 Dec 2026 12:00:00 GMT\r\nExpires: Tue, 01 Dec 2026 12:01:00 GMT\r\n":            {60000, 60000, 60000},
		"Date: Tue, 01 Dec 2026 11:59:50 GMT\r\nAge: 10\r\nExpires: Tue, 01 Dec 2026 12:01:00 GMT\r\n": {60000, 60000, 60000},
		"Date: Tue, 01 Dec 2026 12:00:00 GMT\r\nExpires: Tue, 01 Dec 2026 11:00:00 GMT\r\n":            {0, 0, 0},
		"Date: Tue, 01 Dec 2026 12:00:00 GMT\r\nCache-Control: max-age=5\r\n":                          {5000, 5000, 5000},
		"Expires: Tue, 01 Dec 2026 12:01:00 GMT\r\n":                                                   {3660000, 60000, 0}, // without a Date, only the clock remains
		"Date: yesterday\r\nExpires: Tue, 01 Dec 2026 12:01:00 GMT\r\n":                                {3660000, 60000, 0},
		"Date: Tue, 01 Dec 2026 12:00:00 GMT\r\nLast-Modified: Tue, 01 Dec 2026 11:00:00 GMT\r\n":      {-1, -1, -1},
	} {
		var head http1.Head
		if _, err := http1.ParseResponse([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+fields+"\r\n"), &head, http1.Limits{}, false); err != nil {
			t.Fatal(err)
		}
		for i, step := range []time.Duration{-time.Hour, 0, time.Hour} {
			if m, _ := parseMeta(&head, noon.Add(step)); m.Fresh != want[i] {
				t.Errorf("%q, clock stepped by %v: fresh for %v ms, want %v", fields, step, m.Fresh, want[i])
			}
		}
	}
}

// Dates run on from the router's start by the monotonic clock, whatever the steps of the wall clock.
func TestDateFollowsMonotonicClock(t *testing.T) {
	edge := &Edge{startedDate: wallclock.Now(), startedAt: eventloop.Clock() - 5000}
	before := wallclock.Now()
	for _, step := range []time.Duration{time.Hour, -2 * time.Hour} {
		wallclock.Step(step)
		if late := edge.date().Sub(before).Seconds(); late < 4.9 || late > 6 {
			t.Errorf("wall clock stepped by %v: date is %v s after a start 5 s ago, want 4.9 to 6", step, late)
		}
	}
	wallclock.Step(time.Hour)
}

// Requests are served in time while the wall clock is stepped back and forth, even if the members
// hang for a moment.
func TestClockStepsDelayNoRequest(t *testing.T) {
	rig := newRig(t, 2, "(connections-per-address 5000)")
	for _, cache := range rig.caches { // for less than the module waits before it sends a hedged request
		cache.Fault(testserver.Fault{Kind: testserver.Hang, For: 100})
	}
	stop, stepped := make(chan struct{}), make(chan int)
	go func() {
		steps := []time.Duration{time.Hour, -2 * time.Hour, time.Hour, 3 * time.Second, -6 * time.Second, 3 * time.Second}
		for i := 0; ; i++ {
			select {
			case <-stop:
				for k := i; k%len(steps) != 0; k++ { // restore the clock
					wallclock.Step(steps[k%len(steps)])
				}
				stepped <- i
				return
			case <-time.After(5 * time.Millisecond):
				wallclock.Step(steps[i%len(steps)])
			}
		}
	}()
	began := time.Now()
	rig.twoRequestsEach()
	took := time.Since(began)
	close(stop)
	if n := <-stepped; n < 10 || took > 3*time.Second {
		t.Errorf("%d steps of the clock, want at least 10; all requests took %v, want at most 3 s", n, took)
	}
}

// The router measures time by the loop's monotonic clock. It reads the wall clock only for the
// journal's time stamp and, once, as the base of dates.
func TestWallClockReadings(t *testing.T) {
	reads := regexp.MustCompile(`(time|wallclock)\.(Now|At|Since|Until)\(`)
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]int{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if n := len(reads.FindAll(text, -1)); n > 0 && !strings.HasSuffix(file, "_test.go") {
			got[file] = n
		}
	}
	if len(got) != 1 || got["edge.go"] != 2 {
		t.Errorf("readings of the wall clock: %v; want the journal's stamp and the start, in edge.go", got)
	}
}
