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

// laggingSource is a source that has its copies since a given time: it has not received a purge
// made later.
type laggingSource struct {
	*httptest.Server
	generatedAt atomic.Int64 // Unix ms
}

func newLaggingSource(t *testing.T) *laggingSource {
	source := &laggingSource{}
	source.generatedAt.Store(time.Now().Add(-5 * time.Second).UnixMilli())
	source.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		age := max(time.Now().UnixMilli()-source.generatedAt.Load(), 0)
		w.Header().Set(fetchheader.CopyField, fetchheader.CopyVersion{Number: 1, Age: float64(age)}.String())
		w.Header().Set("Cache-Tag", "new")
		io.WriteString(w, "text")
	}))
	t.Cleanup(source.Close)
	return source
}

// A cache kept a copy from before a purge if its fill began after it, from a parent that had not
// received the purge yet, and served it until the next purge (review case 10).
func TestCopyFromBeforePurgeNotStored(t *testing.T) {
	for _, purge := range []string{`{"object":"/still/1/a"}`, `{"group":7}`, `{"tag":"new"}`, `{"prefix":"/still/"}`} {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprint(purge, " restart ", restart), func(t *testing.T) { copyFromBeforePurge(t, purge, restart) })
		}
	}
}

func copyFromBeforePurge(t *testing.T, purge string, restart bool) {
	source := newLaggingSource(t)
	r := newRig(t, "")
	hit := func(path string) bool {
		t.Helper()
		res, _, err := r.fetch(path, allowFill, func(a *fetchheader.Attempt, _ *http.Request) { a.SourceAddress = source.Listener.Addr().String() })
		if err != nil || res.StatusCode != 200 {
			t.Fatalf("%s: response %v, error %v; want status 200", path, res, err)
		}
		return strings.Contains(res.Header.Get(fetchheader.StatusField), "hit")
	}
	if code := r.purge(purge); code != 200 {
		t.Fatalf("the purge got status %d, want 200", code)
	}
	if restart {
		r.stop()
		r.start()
	}
	for range 3 {
		if hit("/still/1/a") {
			t.Fatal("a copy from before the purge is served from the store")
		}
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(30 * time.Millisecond)
	source.generatedAt.Store(time.Now().UnixMilli()) // the source has dropped its copy
	for range 2 {
		hit("/still/1/a")
		time.Sleep(30 * time.Millisecond)
	}
	if !hit("/still/1/a") {
		t.Error("a copy from after the purge is not stored")
	}
}
