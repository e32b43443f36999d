package server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"indigospool/internal/protocol/fetchheader"
)

// The age of a copy counted from the receipt of the source's response, so that a copy from before a
// purge seemed to be from after it when the response was delayed (review case 9).
func TestAgeCountsFromRequestToSource(t *testing.T) {
	const delay = 300 * time.Millisecond
	tests := map[string]struct {
		field, value string
		age          time.Duration // that the source states
	}{
		"none":       {"X-Other", "1", 0},
		"Spool-Copy": {fetchheader.CopyField, "v=1, age=2000.0", 2 * time.Second},
		"Age":        {"Age", "2", 2 * time.Second},
		"malformed":  {fetchheader.CopyField, "v=1, age=-9000.0", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			source := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(delay)
				w.Header().Set(test.field, test.value)
				io.WriteString(w, "text")
			}))
			defer source.Close()
			r := newRig(t, "")
			fetch := func(maxAge time.Duration, mayFill bool) (status int, age time.Duration) {
				res, _, err := r.fetch("/still/1/a", mayFill, func(a *fetchheader.Attempt, _ *http.Request) {
					a.Age = float64(maxAge.Milliseconds())
					if mayFill {
						a.SourceAddress = source.Listener.Addr().String()
					}
				})
				if err != nil {
					t.Fatal(err)
				}
				copied, _ := fetchheader.ParseCopyVersion(res.Header.Get(fetchheader.CopyField))
				return res.StatusCode, time.Duration(copied.Age) * time.Millisecond
			}
			if status, age := fetch(time.Hour, allowFill); status != 200 || age < test.age+delay {
				t.Errorf("fill: status %d, age %v; want 200, %v or more", status, age, test.age+delay)
			}
			r.waitStored(1)
			if status, _ := fetch(test.age+delay, storedOnly); status != 504 {
				t.Errorf("a copy that may be older than %v got status %d, want 504", test.age+delay, status)
			}
			if status, _ := fetch(time.Hour, storedOnly); status != 200 {
				t.Errorf("a copy that is young enough got status %d, want 200", status)
			}
		})
	}
}
