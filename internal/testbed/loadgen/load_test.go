package loadgen

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"indigospool/internal/config"
)

func script(t testing.TB, text string) *Script {
	t.Helper()
	s := &Script{}
	if err := config.Read("load.edn", text, s); err != nil {
		t.Fatal(err)
	}
	return s
}

const classes = `(class still (path "/s/{group}/{object}") (share 0.6) (objects 500))
(class film (path "/v/{group}/{object}/{part}") (share 0.4) (objects 40) (parts 12) (stay 0.9) (gap 350))`

func drawSessions(s *Script) (out []Session) {
	for d := NewSessions(s); ; {
		one, ok := d.Next()
		if !ok {
			return out
		}
		out = append(out, one)
	}
}

// Each kind of arrivals gives the configured rate and shares of classes, in the order in which
// sessions begin, and the same sessions for the same seed.
func TestSessions(t *testing.T) {
	for _, kind := range []string{"steady", "poisson", "bursts", "waves"} {
		s := script(t, fmt.Sprintf(`(load x (targets "127.0.0.1:1") (length 400000) (seed 3)) (arrivals %s (rate 100) (burst 5) (period 10000)) %s`, kind, classes))
		list := drawSessions(s)
		if !reflect.DeepEqual(list, drawSessions(s)) {
			t.Errorf("%s: a second run with the same seed differs", kind)
		}
		count, last, parts := [2]float64{}, 0.0, 0
		var perSecond [400]float64
		for _, one := range list {
			if one[0].Due < last {
				t.Fatalf("%s: a session due at %v ms follows one due at %v ms, want them in order", kind, one[0].Due, last)
			}
			last = one[0].Due
			for i, r := range one {
				count[r.Class]++
				if r.Class == 1 && (!strings.HasSuffix(r.Path, fmt.Sprint("/", i)) || i > 0 && math.Abs(r.Due-one[i-1].Due-350) > 1e-6) {
					t.Fatalf("%s: request of part %d is %+v, want a path that ends in the part and 350 ms between parts", kind, i, r)
				}
				if strings.ContainsAny(r.Path, "{}") {
					t.Fatalf("%s: path is %s, want no placeholder in it", kind, r.Path)
				}
			}
			parts = max(parts, len(one))
			perSecond[min(int(one[0].Due/1000), 399)]++
		}
		if n := count[0] + count[1]; n < 36000 || n > 44000 || math.Abs(count[0]/n-0.6) > 0.04 || parts != 12 {
			t.Errorf("%s: %v requests, want 40000 within 10%%, 0.6 of them stills; longest session has %d parts, want 12", kind, count, parts)
		}
		mean, vary := float64(len(list))/400, 0.0
		for _, n := range perSecond {
			vary += (n - mean) * (n - mean) / 400
		}
		switch dispersion := vary / mean; { // index of dispersion: 0 for a steady flow, 1 for a Poisson process
		case kind == "steady" && dispersion > 0.1, kind == "poisson" && (dispersion < 0.7 || dispersion > 1.4),
			kind == "bursts" && dispersion < 2, kind == "waves" && dispersion < 2:
			t.Errorf("%s: index of dispersion of arrivals by the second is %.2f, want at most 0.1 (steady), 0.7 to 1.4 (poisson), at least 2 (bursts, waves)", kind, dispersion)
		}
	}
}

// When a server stalls, each request due in the meantime counts the wait in its latency. A load
// that sent no further requests until the server answered would show the stall in one latency
// only (coordinated omission).
func TestNoCoordinatedOmission(t *testing.T) {
	var mu sync.Mutex
	begin := time.Now()
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		if d := time.Since(begin); d > 500*time.Millisecond && d < 1000*time.Millisecond {
			time.Sleep(1100*time.Millisecond - d) // holds the lock: all requests wait
		}
		mu.Unlock()
		w.Header().Set("Cache-Status", `"far"; fwd=miss, "near"; hit; ttl=5`)
		w.Write(make([]byte, 1000))
	}))
	defer h.Close()
	s := script(t, fmt.Sprintf(`(load x (targets %q) (length 2000) (warm 0) (conns 4)) (arrivals steady (rate 100)) (class c (path "/{object}") (aim 100))`,
		strings.TrimPrefix(h.URL, "http://")))
	begin = time.Now()
	r, err := Run(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	c := r.Classes[0]
	if c.Requests != 199 || c.InTime+c.Late != 199 || c.Hits != 199 || c.Broken > 0 {
		t.Fatalf("result %+v, want 199 requests, all complete and hits", c)
	}
	if c.Late < 35 || c.P90 < 200 { // about 60 of 199 were due during the stall and waited up to 600 ms
		t.Errorf("%d late, p90 %.0f ms, want at least 35 and 200 ms: the latencies do not include the wait from when requests were due", c.Late, c.P90)
	}
	dir := t.TempDir()
	for _, ending := range []string{"svg", "png"} {
		if err := r.Plot(filepath.Join(dir, "x"), ending); err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"x-latency.", "x-seconds."} {
			if st, err := os.Stat(filepath.Join(dir, name+ending)); err != nil || st.Size() < 500 {
				t.Errorf("plot %s%s: error %v, or smaller than 500 bytes", name, ending, err)
			}
		}
	}
	if err := r.Plot(filepath.Join(dir, "x"), "odd"); err == nil {
		t.Error("the unknown format \"odd\" was accepted, want an error")
	}
}

// Rejected, failed and broken responses are counted separately, and the number of requests is
// limited.
func TestOutcomes(t *testing.T) {
	n := 0
	var mu sync.Mutex
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		n++
		k := n % 4
		mu.Unlock()
		switch k {
		case 0:
			w.WriteHeader(503)
		case 1:
			w.WriteHeader(404)
		case 2:
			w.Header().Set("Content-Length", "10")
			w.Write([]byte("short"))
		}
	}))
	defer h.Close()
	s := script(t, fmt.Sprintf(`(load x (targets %q) (length 1000) (warm 0) (most 60)) (arrivals steady (rate 100)) (class c (path "/{object}"))`,
		strings.TrimPrefix(h.URL, "http://")))
	r, err := Run(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	c := r.Classes[0]
	if c.Requests != 60 || c.Refused != 15 || c.Failed != 15 || c.Broken != 15 || c.InTime+c.Late != 15 || r.Dropped != 39 {
		t.Errorf("result %+v, dropped %d; want 60 requests, 15 of each outcome, and 39 dropped", c, r.Dropped)
	}
}

func TestHits(t *testing.T) {
	for field, want := range map[string]bool{"": false, `"a"; hit`: true, `"a"; fwd=miss`: false, `"a"; hit, "b"; fwd=miss`: false,
		`"a"; fwd=miss, "b;x, y"; hit`: true, `"a"; hit=?0`: false, `"hit"; fwd=miss`: false, `"a";hit=?1;ttl=3`: true} {
		if isHit(field) != want {
			t.Errorf("isHit(%q) = %v, want %v", field, !want, want)
		}
	}
}

func TestFaults(t *testing.T) {
	for text, want := range map[string]string{
		`(load x) (class c (path "/{object}"))`:                                        "add (targets host:port ...)",
		`(load x (targets "10.0.0.1:80")) (class c (path "/{object}"))`:                "load goes to this machine only",
		`(load x (targets "127.0.0.1:1") (length 100)) (class c (path "/{object}"))`:   "leaves nothing of",
		`(load x (targets "127.0.0.1:1")) (class c (path "x"))`:                        "does not begin with /",
		`(load x (targets "127.0.0.1:1")) (class c (path "/{object}") (parts 3))`:      "don't go together",
		`(load x (targets "127.0.0.1:1"))`:                                             "no class has a share",
		`(load x (targets "127.0.0.1:1")) (arrivals odd) (class c (path "/{object}"))`: `"odd" is not known here`,
	} {
		s := &Script{}
		if err := config.Read("load.edn", text, s); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one that contains %q", text, err, want)
		}
	}
}
