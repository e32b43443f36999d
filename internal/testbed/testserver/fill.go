package testserver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"indigospool/internal/cachenode/httpcache"
	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/testbed/trafficlog"
)

// fill is the state of a fill in progress. Several exchanges may wait for it.
type fill struct {
	mu           sync.Mutex
	changed      chan struct{} // closed and replaced at each update
	ready        bool          // the source's header has arrived, or the fill has failed before
	status       int           // 200, or the status of the failure
	detail       string        // Cache-Status detail of the failure
	sourceStatus string        // Cache-Status field of the source's response
	version      int64
	generatedAt  float64
	size         int64 // bytes
	received     int64 // bytes received so far
	err          error
}

// update runs do under the lock and wakes the waiting exchanges.
func (f *fill) update(do func()) {
	f.mu.Lock()
	do()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
}

// waitUntil waits until the condition, which is evaluated under the lock, holds.
func (f *fill) waitUntil(ctx context.Context, condition func() bool) error {
	for {
		f.mu.Lock()
		if condition() {
			f.mu.Unlock()
			return nil
		}
		changed := f.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// waitForBytes waits until n bytes or the whole object have been received, or the fill has
// failed. It returns the number of bytes received.
func (f *fill) waitForBytes(ctx context.Context, n int64) (received int64, err error) {
	err = f.waitUntil(ctx, func() bool { return f.received >= n || f.received >= f.size || f.err != nil })
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil && f.received < n && f.received < f.size {
		err = f.err
	}
	return f.received, err
}

// detached returns a copy of the exchange without the client's response and context, for a fill
// in the background.
func (e *exchange) detached() *exchange {
	return &exchange{s: e.s, r: e.r.WithContext(context.Background()), attempt: e.attempt, key: e.key, class: e.class, record: e.record}
}

// startFill starts a fill of the exchange's key. If the limit of concurrent fills is reached, it
// rejects the attempt and returns nil. A nil ctx starts a fill in the background, for which no
// client waits and which is not rejected with a response.
func (e *exchange) startFill(attempt fetchheader.Attempt, ctx context.Context) *fill {
	s := e.s
	s.mu.Lock()
	slot := s.cache.BeginFill(trafficlog.Now(), e.key)
	if slot == nil {
		s.mu.Unlock()
		if ctx != nil {
			e.reject(http.StatusServiceUnavailable, fetchheader.CacheStatus{Fwd: "miss", Detail: fetchheader.NoPlace})
		}
		return nil
	}
	f := &fill{changed: make(chan struct{})}
	if s.fills[e.key] == nil {
		s.fills[e.key] = f
	}
	s.mu.Unlock()
	fillCtx := context.Background()
	if ctx != nil && !s.cfg.CompleteAbandonedFills {
		fillCtx = ctx
	}
	go func() {
		received := e.runFill(fillCtx, attempt, f)
		s.mu.Lock()
		if s.fills[e.key] == f {
			delete(s.fills, e.key)
		}
		s.cache.EndFill(trafficlog.Now(), slot, received)
		s.mu.Unlock()
	}()
	return f
}

// runFill fetches the object from its source. It returns the copy, or nil if the fill failed.
func (e *exchange) runFill(ctx context.Context, attempt fetchheader.Attempt, f *fill) *httpcache.Copy {
	s := e.s
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {})
	defer stop()
	go func() { // Kill cancels the fill
		select {
		case <-s.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	fail := func(status int, detail string, err error) *httpcache.Copy {
		f.update(func() { f.ready, f.status, f.detail, f.err = true, status, detail, err })
		return nil
	}
	address := attempt.SourceAddress
	next := attempt
	next.Via, next.Source, next.SourceAddress, next.Held = s.cfg.ID, "", "", false
	next.MayFetch = !attempt.Held
	if address == "" {
		address = s.cfg.Upstream
	}
	if address == "" {
		return fail(http.StatusServiceUnavailable, fetchheader.SourceUnreached, errors.New("no source address is given"))
	}
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+address+e.r.URL.RequestURI(), nil)
	if err != nil {
		return fail(http.StatusServiceUnavailable, fetchheader.SourceUnreached, err)
	}
	req.Header.Set(fetchheader.FillField, string(next.Append(nil)))
	for _, name := range []string{"X-Request-Id", "Range"} {
		if value := e.r.Header.Get(name); value != "" {
			req.Header.Set(name, value)
		}
	}
	if attempt.Held {
		req.Header.Set("Cache-Control", "only-if-cached")
	}
	sentAt := trafficlog.Now()
	idleTimer := time.AfterFunc(time.Duration(s.cfg.FillTimeout)*time.Millisecond, cancel)
	defer idleTimer.Stop()
	res, err := s.client.Do(req)
	if err != nil {
		return fail(http.StatusServiceUnavailable, fetchheader.SourceUnreached, err)
	}
	defer res.Body.Close()
	sourceStatus := strings.Join(res.Header.Values(fetchheader.StatusField), ", ")
	switch {
	case res.StatusCode == http.StatusGatewayTimeout && attempt.Held:
		return fail(http.StatusServiceUnavailable, fetchheader.SourceLacks, errors.New("the source does not have the object"))
	case res.StatusCode == http.StatusServiceUnavailable && strings.Contains(sourceStatus, fetchheader.SourceUnreached),
		res.StatusCode == http.StatusServiceUnavailable && strings.Contains(sourceStatus, fetchheader.OriginFailed):
		return fail(http.StatusServiceUnavailable, fetchheader.OriginFailed, errors.New("the origin failed behind the source"))
	case res.StatusCode == http.StatusServiceUnavailable:
		return fail(http.StatusServiceUnavailable, fetchheader.SourceRefused, errors.New("the source rejected the request"))
	case res.StatusCode != http.StatusOK && res.StatusCode != http.StatusPartialContent:
		return fail(http.StatusBadGateway, fetchheader.SourceRefused, errors.New(res.Status))
	}
	version, err := fetchheader.ParseCopyVersion(res.Header.Get(fetchheader.CopyField))
	size, sizeErr := strconv.ParseInt(res.Header.Get("Content-Length"), 10, 64)
	if err != nil || sizeErr != nil {
		return fail(http.StatusBadGateway, fetchheader.SourceUnreached, errors.Join(err, sizeErr))
	}
	// RFC 9111, section 4.2.3: the response delay is part of the age.
	generatedAt := sentAt - version.Age
	f.update(func() {
		f.ready, f.status, f.sourceStatus = true, http.StatusOK, sourceStatus
		f.version, f.generatedAt, f.size = version.Number, generatedAt, size
	})
	buf := make([]byte, chunkSize)
	for received := int64(0); received < size; {
		n, err := res.Body.Read(buf[:min(chunkSize, size-received)])
		if n > 0 {
			idleTimer.Reset(time.Duration(s.cfg.FillTimeout) * time.Millisecond)
			if at, ok := Matches(buf[:n], e.key, version.Number, received); !ok {
				err = errors.New("byte " + strconv.FormatInt(at, 10) + " differs from the content of the version")
			} else if linkErr := s.fillLink.Pass(ctx, n); linkErr != nil {
				err = linkErr
			} else {
				received += int64(n)
				f.update(func() { f.received = received })
			}
		}
		if err != nil && received < size {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			f.update(func() { f.err = err })
			return nil
		}
	}
	return &httpcache.Copy{Key: e.key, Object: attempt.Object, Group: attempt.Group, Bytes: size, Rank: attempt.Keep, Version: version.Number,
		GeneratedAt: generatedAt, Lifetime: e.class.Fresh}
}

// serveFill answers from a fill in progress. joined says whether another attempt started the fill.
func (e *exchange) serveFill(f *fill, joined bool) {
	if f.waitUntil(e.r.Context(), func() bool { return f.ready }) != nil {
		return
	}
	f.mu.Lock()
	status, detail, version, generatedAt, size := f.status, f.detail, f.version, f.generatedAt, f.size
	f.mu.Unlock()
	h := fetchheader.CacheStatus{Cache: e.s.cfg.ID, Fwd: "miss", Stored: e.attempt.Keep > 0, Collapsed: joined}
	if status != http.StatusOK {
		h.Detail, h.Stored = detail, false
		e.reject(status, h)
		return
	}
	if joined && e.attempt.Age > 0 && trafficlog.Now()-generatedAt > e.attempt.Age {
		// The copy of the joined fill is too old for this attempt.
		if own := e.startFill(e.attempt, e.r.Context()); own != nil {
			e.serveFill(own, false)
		}
		return
	}
	e.respond(version, generatedAt, size, h, f)
}

// forwardWrite forwards a write towards the origin and stores nothing.
func (e *exchange) forwardWrite() {
	address := e.attempt.SourceAddress
	if address == "" {
		address = e.s.cfg.Upstream
	}
	if address == "" {
		e.reject(http.StatusGatewayTimeout, fetchheader.CacheStatus{Fwd: "bypass"})
		return
	}
	req, err := http.NewRequestWithContext(e.r.Context(), e.r.Method, "http://"+address+e.r.URL.RequestURI(), e.r.Body)
	if err != nil {
		e.reject(http.StatusBadGateway, fetchheader.CacheStatus{Fwd: "bypass"})
		return
	}
	req.ContentLength = e.r.ContentLength
	req.Header = e.r.Header.Clone()
	next := e.attempt
	next.Via, next.Source, next.SourceAddress = e.s.cfg.ID, "", ""
	req.Header.Set(fetchheader.FillField, string(next.Append(nil)))
	res, err := e.s.client.Do(req)
	if err != nil {
		e.reject(http.StatusBadGateway, fetchheader.CacheStatus{Fwd: "bypass", Detail: fetchheader.SourceUnreached})
		return
	}
	defer res.Body.Close()
	record := e.record
	record.Status = res.StatusCode
	e.logAnswer(record)
	e.w.Header().Set(fetchheader.StatusField, fetchheader.CacheStatus{Cache: e.s.cfg.ID, Fwd: "bypass"}.String())
	e.w.WriteHeader(res.StatusCode)
	io.Copy(e.w, res.Body)
}
