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
	objectPurges map[string]int64 // purges of each
	groupPurges  map[int]int64
	executed     map[string]float64 // by key: when it first ran
}

func newOrigin() *origin {
	return &origin{objectPurges: map[string]int64{}, groupPurges: map[int]int64{}, executed: map[string]float64{}}
}

func (o *origin) purge(object string, group int) {
	if object != "" {
		o.objectPurges[object]++
	} else {
		o.groupPurges[group]++
	}
}

func (o *origin) version(object string, group int) int64 {
	return 1 + o.objectPurges[object] + o.groupPurges[group]
}

// serveOrigin answers from the source of all: it never lacks anything.
func (e *exchange) serveOrigin() {
	s := e.s
	s.mu.Lock()
	overLimit := s.cfg.Limit > 0 && s.inflight > s.cfg.Limit
	s.mu.Unlock()
	if overLimit {
		e.reject(http.StatusServiceUnavailable, fetchheader.CacheStatus{})
		return
	}
	if e.record.Write {
		e.executeWrite()
		return
	}
	s.mu.Lock()
	generatedAt := trafficlog.Now()
	version := s.origin.version(e.attempt.Object, e.attempt.Group)
	s.mu.Unlock()
	size := SizeOf(e.key, e.class.KB)
	if first, last, ok := byteRange(e.r); ok { // each range is an object of its own here
		size = last - first + 1
	}
	e.respond(version, generatedAt, size, fetchheader.CacheStatus{Cache: s.cfg.ID}, nil)
}

// executeWrite runs a write, or drops the repeat of one that was run within the window.
func (e *exchange) executeWrite() {
	s := e.s
	n, err := io.Copy(io.Discard, http.MaxBytesReader(e.w, e.r.Body, 64<<20))
	if err != nil { // a request that did not come whole is not run
		return
	}
	now := trafficlog.Now()
	s.mu.Lock()
	first, repeated := s.origin.executed[e.record.Key]
	dropped := e.record.Key != "" && repeated && now-first < e.class.Window
	if !dropped && e.record.Key != "" {
		s.origin.executed[e.record.Key] = now
	}
	s.mu.Unlock()
	record := e.record
	record.Event, record.Bytes = trafficlog.WriteExecuted, n
	if dropped {
		record.Note = "dropped"
	}
	s.trafficLog.Add(record)
	record.Status, record.Note = http.StatusOK, ""
	e.logAnswer(record)
	body := fmt.Sprintf("ran %s %s: %d bytes\n", e.r.Method, e.key, n)
	e.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(e.w, body)
}
