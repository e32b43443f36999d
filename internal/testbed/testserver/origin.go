package testserver

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/testbed/trafficlog"
)

// origin is the state of an origin: the purges, which determine the version of each object, and
// the writes with an idempotency key that it has executed.
type origin struct {
	objectPurges map[string]int64   // number of purges by object
	groupPurges  map[int]int64      // number of purges by group
	executed     map[string]float64 // by idempotency key: when the write was executed
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

// serveOrigin answers as the origin, which has every object.
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
	if first, last, ok := byteRange(e.r); ok { // the content of a range is generated separately
		size = last - first + 1
	}
	e.respond(version, generatedAt, size, fetchheader.CacheStatus{Cache: s.cfg.ID}, nil)
}

// executeWrite executes a write, or drops it if one with the same idempotency key was executed
// within the class's window.
func (e *exchange) executeWrite() {
	s := e.s
	n, err := io.Copy(io.Discard, http.MaxBytesReader(e.w, e.r.Body, 64<<20))
	if err != nil { // an incomplete request is not executed
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
