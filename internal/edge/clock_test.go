package edge

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"indigospool/internal/http1"
)

// A wall clock that is stepped by an hour changes nothing of how long an answer is fresh whose
// origin says when it was made.
func TestFreshAfterClockStep(t *testing.T) {
	noon := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	for fields, want := range map[string][3]float64{ // with the clock an hour back, right, an hour ahead
		"Date: Tue, 01 Dec 2026 12:00:00 GMT\r\nExpires: Tue, 01 Dec 2026 12:01:00 GMT\r\n":            {60000, 60000, 60000},
		"Date: Tue, 01 Dec 2026 11:59:50 GMT\r\nAge: 10\r\nExpires: Tue, 01 Dec 2026 12:01:00 GMT\r\n": {60000, 60000, 60000},
		"Date: Tue, 01 Dec 2026 12:00:00 GMT\r\nExpires: Tue, 01 Dec 2026 11:00:00 GMT\r\n":            {0, 0, 0},
		"Date: Tue, 01 Dec 2026 12:00:00 GMT\r\nCache-Control: max-age=5\r\n":                          {5000, 5000, 5000},
		"Expires: Tue, 01 Dec 2026 12:01:00 GMT\r\n":                                                   {3660000, 60000, 0}, // nothing else is there to go by
		"Date: yesterday\r\nExpires: Tue, 01 Dec 2026 12:01:00 GMT\r\n":                                {3660000, 60000, 0},
		"Date: Tue, 01 Dec 2026 12:00:00 GMT\r\nLast-Modified: Tue, 01 Dec 2026 11:00:00 GMT\r\n":      {-1, -1, -1},
	} {
		var h http1.Head
		if _, err := http1.ParseResponse([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+fields+"\r\n"), &h, http1.Limits{}, false); err != nil {
			t.Fatal(err)
		}
		for i, step := range []time.Duration{-time.Hour, 0, time.Hour} {
			if m, _ := metaOf(&h, noon.Add(step)); m.Fresh != want[i] {
				t.Errorf("%q, clock stepped by %v: fresh for %v ms, want %v", fields, step, m.Fresh, want[i])
			}
		}
	}
}

// All spans of the router are on the loop's monotonic clock: the wall clock is read for the
// journal's stamp and, once, for dates.
func TestWallClockReadings(t *testing.T) {
	reads := regexp.MustCompile(`time\.(Now|Since|Until)\(`)
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
	if len(got) != 1 || got["edge.go"] != 3 {
		t.Errorf("%v, want the stamp, the start and the span since then in edge.go", got)
	}
}
