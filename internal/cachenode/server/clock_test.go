package server

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"indigospool/internal/protocol/fetchheader"
)

// The wall clock is stepped while the cache is down, and once more while it runs. An object whose
// freshness lifetime may be over is validated before it is served, and a purged one is not served.
func TestWallClockSteps(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 0, 3 * time.Second, time.Hour} {
		for _, down := range []time.Duration{0, 20 * time.Minute} { // real time that the cache was down
			t.Run(fmt.Sprint(step, " ", down), func(t *testing.T) { wallClockSteps(t, step, down) })
		}
	}
}

func wallClockSteps(t *testing.T, step, down time.Duration) {
	var requests atomic.Int32
	src := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		requests.Add(1)
		w.Header().Set("ETag", `"1"`)
		w.Header().Set("Cache-Control", "max-age=600, stale-if-error=600")
		if q.Header.Get("If-None-Match") != "" {
			w.WriteHeader(304)
			return
		}
		io.WriteString(w, "text")
	}))
	defer src.Close()
	r := newRig(t, fmt.Sprintf("(upstream %q)", src.Listener.Addr()))
	// get requests an object and returns the number of requests to the source. age is the maximum age of
	// the attempt in ms; with -1 the request has no attempt.
	get := func(path string, age float64) int {
		req, _ := http.NewRequest("GET", "http://"+r.server.Addr()+path, nil)
		if age >= 0 {
			a := fetchheader.Attempt{ID: "q", From: "r", Class: "still", Object: path, Group: -1, Keep: 2, Age: age, Source: "o", SourceAddress: src.Listener.Addr().String()}
			req.Header.Set(fetchheader.FillField, string(a.Append(nil)))
		}
		before := requests.Load()
		res, err := r.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		if b, _ := io.ReadAll(res.Body); res.StatusCode != 200 || !strings.HasPrefix(string(b), "text") {
			t.Fatalf("%s: status %s, body %q; want 200 and \"text\"", path, res.Status, b)
		}
		return int(requests.Load() - before)
	}
	for _, path := range []string{"/a", "/b", "/purged"} {
		get(path, -1)
	}
	r.waitStored(3)
	if code := r.purge(`{"object":"/purged"}`); code != 200 {
		t.Fatalf("the purge got status %d, want 200", code)
	}
	r.stop()
	readings := 0
	r.wallClock = func() time.Time {
		readings++
		at := time.Now().Add(down + step)
		step = -step // a second reading would see the opposite step
		return at
	}
	stepAtStart := step
	r.start()
	r.server.store.MarkPurgesCaughtUp()           // no purge was missed: only the age decides
	mayServe := down == 0                         // the objects are some ms old
	mustRevalidate := down > 0 || stepAtStart < 0 // too old, or generated in the future by the clock
	for path, age := range map[string]float64{"/a": -1, "/b": 600_000} {
		n := get(path, age)
		if n == 0 && (!mayServe || mustRevalidate) {
			t.Errorf("%s is served after %v without validation", path, down)
		}
		if again := get(path, age); again != 0 {
			t.Errorf("%s is requested %d times from the source again, want 0: it was validated just before", path, again)
		}
	}
	if n := get("/purged", -1); n == 0 {
		t.Error("a purged object is served after the restart")
	}
	if readings != 1 {
		t.Errorf("the wall clock was read %d times, want once", readings)
	}
}
