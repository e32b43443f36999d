package testserver

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/testbed/trafficlog"
)

// origin is what the origin knows: the version of each object, and which
// guarded writes it ran of late.
type origin struct {
	objects map[string]int64 // purges of each
	groups  map[int]int64
	seen    map[string]float64 // by key: when it first ran
}

func newOrigin() *origin {
	return &origin{objects: map[string]int64{}, groups: map[int]int64{}, seen: map[string]float64{}}
}

func (o *origin) purge(object string, group int) {
	if object != "" {
		o.objects[object]++
	} else {
		o.groups[group]++
	}
}

func (o *origin) version(object string, group int) int64 {
	return 1 + o.objects[object] + o.groups[group]
}

// atOrigin answers from the source of all: it never lacks anything.
func (v *visit) atOrigin() {
	s := v.s
	s.mu.Lock()
	full := s.cfg.Limit > 0 && s.inflight > s.cfg.Limit
	s.mu.Unlock()
	if full {
		v.refuse(http.StatusServiceUnavailable, fetchheader.CacheStatus{})
		return
	}
	if v.rec.Write {
		v.run()
		return
	}
	s.mu.Lock()
	born := trafficlog.Now()
	version := s.origin.version(v.a.Object, v.a.Group)
	s.mu.Unlock()
	size := SizeOf(v.key, v.class.KB)
	if first, last, ok := byteRange(v.r); ok { // each range is an object of its own here
		size = last - first + 1
	}
	v.send(version, born, size, fetchheader.CacheStatus{Cache: s.cfg.ID}, nil)
}

// run runs a write, or drops the repeat of one that was run within the window.
func (v *visit) run() {
	s := v.s
	n, err := io.Copy(io.Discard, http.MaxBytesReader(v.w, v.r.Body, 64<<20))
	if err != nil { // a request that did not come whole is not run
		return
	}
	now := trafficlog.Now()
	s.mu.Lock()
	first, again := s.origin.seen[v.rec.Key]
	drop := v.rec.Key != "" && again && now-first < v.class.Window
	if !drop && v.rec.Key != "" {
		s.origin.seen[v.rec.Key] = now
	}
	s.mu.Unlock()
	rec := v.rec
	rec.Event, rec.Bytes = trafficlog.WriteExecuted, n
	if drop {
		rec.Note = "dropped"
	}
	s.tap.Add(rec)
	rec.Status, rec.Note = http.StatusOK, ""
	v.sent(rec)
	body := fmt.Sprintf("ran %s %s: %d bytes\n", v.r.Method, v.key, n)
	v.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(v.w, body)
}
