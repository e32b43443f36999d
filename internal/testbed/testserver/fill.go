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

// flight is a fill under way: what has come of it so far, for all who wait.
type flight struct {
	mu      sync.Mutex
	cond    chan struct{} // closed and renewed at each step
	ready   bool          // the source's head has come, or the fill has failed
	status  int           // 200, or how it failed
	detail  string
	behind  string // the source's Cache-Status
	version int64
	born    float64
	size    int64
	got     int64
	err     error
}

func (f *flight) step(do func()) {
	f.mu.Lock()
	do()
	close(f.cond)
	f.cond = make(chan struct{})
	f.mu.Unlock()
}

func (f *flight) until(ctx context.Context, ok func() bool) error {
	for {
		f.mu.Lock()
		if ok() {
			f.mu.Unlock()
			return nil
		}
		c := f.cond
		f.mu.Unlock()
		select {
		case <-c:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// wait returns once so many bytes have come, or the fill broke off.
func (f *flight) wait(ctx context.Context, n int64) (got int64, err error) {
	err = f.until(ctx, func() bool { return f.got >= n || f.got >= f.size || f.err != nil })
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil && f.got < n && f.got < f.size {
		err = f.err
	}
	return f.got, err
}

// detached is the visit for work that goes on without its client.
func (v *visit) detached() *visit {
	return &visit{s: v.s, r: v.r.WithContext(context.Background()), a: v.a, key: v.key, class: v.class, rec: v.rec}
}

// fetch begins a fill of the visit's key. It returns nil, having answered, when
// there is no place for one. A nil ctx is a fill that nobody waits for.
func (v *visit) fetch(a fetchheader.Attempt, ctx context.Context) *flight {
	s := v.s
	s.mu.Lock()
	place := s.box.BeginFill(trafficlog.Now(), v.key)
	if place == nil {
		s.mu.Unlock()
		if ctx != nil {
			v.refuse(http.StatusServiceUnavailable, fetchheader.CacheStatus{Fwd: "miss", Detail: fetchheader.NoPlace})
		}
		return nil
	}
	fl := &flight{cond: make(chan struct{})}
	if s.flights[v.key] == nil {
		s.flights[v.key] = fl
	}
	s.mu.Unlock()
	run := context.Background()
	if ctx != nil && !s.cfg.RunOn {
		run = ctx
	}
	go func() {
		c := v.fill(run, a, fl)
		s.mu.Lock()
		if s.flights[v.key] == fl {
			delete(s.flights, v.key)
		}
		s.box.EndFill(trafficlog.Now(), place, c)
		s.mu.Unlock()
	}()
	return fl
}

// fill gets the object from its source. It returns the copy when it came whole.
func (v *visit) fill(ctx context.Context, a fetchheader.Attempt, fl *flight) *httpcache.Copy {
	s := v.s
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {})
	defer stop()
	go func() { // the stand-in's own end ends its fills
		select {
		case <-s.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	fail := func(status int, detail string, err error) *httpcache.Copy {
		fl.step(func() { fl.ready, fl.status, fl.detail, fl.err = true, status, detail, err })
		return nil
	}
	address := a.SourceAddress
	sub := a
	sub.Via, sub.Source, sub.SourceAddress, sub.Held = s.cfg.ID, "", "", false
	sub.MayFetch = !a.Held
	if address == "" {
		address = s.cfg.Upstream
	}
	if address == "" {
		return fail(http.StatusServiceUnavailable, fetchheader.SourceUnreached, errors.New("no source"))
	}
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+address+v.r.URL.RequestURI(), nil)
	if err != nil {
		return fail(http.StatusServiceUnavailable, fetchheader.SourceUnreached, err)
	}
	req.Header.Set(fetchheader.FillField, string(sub.Append(nil)))
	for _, name := range []string{"X-Request-Id", "Range"} {
		if val := v.r.Header.Get(name); val != "" {
			req.Header.Set(name, val)
		}
	}
	if a.Held {
		req.Header.Set("Cache-Control", "only-if-cached")
	}
	asked := trafficlog.Now()
	idle := time.AfterFunc(time.Duration(s.cfg.FillWait)*time.Millisecond, cancel)
	defer idle.Stop()
	res, err := s.client.Do(req)
	if err != nil {
		return fail(http.StatusServiceUnavailable, fetchheader.SourceUnreached, err)
	}
	defer res.Body.Close()
	behind := strings.Join(res.Header.Values(fetchheader.StatusField), ", ")
	switch {
	case res.StatusCode == http.StatusGatewayTimeout && a.Held:
		return fail(http.StatusServiceUnavailable, fetchheader.SourceLacks, errors.New("the source lacks it"))
	case res.StatusCode == http.StatusServiceUnavailable && strings.Contains(behind, fetchheader.SourceUnreached),
		res.StatusCode == http.StatusServiceUnavailable && strings.Contains(behind, fetchheader.OriginFailed):
		return fail(http.StatusServiceUnavailable, fetchheader.OriginFailed, errors.New("the origin failed behind the source"))
	case res.StatusCode == http.StatusServiceUnavailable:
		return fail(http.StatusServiceUnavailable, fetchheader.SourceRefused, errors.New("the source refused"))
	case res.StatusCode != http.StatusOK && res.StatusCode != http.StatusPartialContent:
		return fail(http.StatusBadGateway, fetchheader.SourceRefused, errors.New(res.Status))
	}
	ver, err := fetchheader.ParseCopyVersion(res.Header.Get(fetchheader.CopyField))
	size, serr := strconv.ParseInt(res.Header.Get("Content-Length"), 10, 64)
	if err != nil || serr != nil {
		return fail(http.StatusBadGateway, fetchheader.SourceUnreached, errors.Join(err, serr))
	}
	// RFC 9111, section 4.2.3: what the answer took is part of the age
	born := asked - ver.Age
	fl.step(func() {
		fl.ready, fl.status, fl.behind = true, http.StatusOK, behind
		fl.version, fl.born, fl.size = ver.Number, born, size
	})
	buf := make([]byte, chunk)
	for got := int64(0); got < size; {
		n, err := res.Body.Read(buf[:min(chunk, size-got)])
		if n > 0 {
			idle.Reset(time.Duration(s.cfg.FillWait) * time.Millisecond)
			if at, ok := Matches(buf[:n], v.key, ver.Number, got); !ok {
				err = errors.New("byte " + strconv.FormatInt(at, 10) + " is of another version")
			} else if perr := s.in.Pass(ctx, n); perr != nil {
				err = perr
			} else {
				got += int64(n)
				fl.step(func() { fl.got = got })
			}
		}
		if err != nil && got < size {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			fl.step(func() { fl.err = err })
			return nil
		}
	}
	return &httpcache.Copy{Key: v.key, Object: a.Object, Group: a.Group, Bytes: size, Rank: a.Keep, Version: ver.Number,
		GeneratedAt: born, Lifetime: v.class.Fresh}
}

// follow answers from a fill under way.
func (v *visit) follow(fl *flight, joined bool) {
	if fl.until(v.r.Context(), func() bool { return fl.ready }) != nil {
		return
	}
	fl.mu.Lock()
	status, detail, version, born, size := fl.status, fl.detail, fl.version, fl.born, fl.size
	fl.mu.Unlock()
	h := fetchheader.CacheStatus{Cache: v.s.cfg.ID, Fwd: "miss", Stored: v.a.Keep > 0, Collapsed: joined}
	if status != http.StatusOK {
		h.Detail, h.Stored = detail, false
		v.refuse(status, h)
		return
	}
	if joined && v.a.Age > 0 && trafficlog.Now()-born > v.a.Age {
		// the fill that was joined brings a copy too old for this asker
		if own := v.fetch(v.a, v.r.Context()); own != nil {
			v.follow(own, false)
		}
		return
	}
	v.send(version, born, size, h, fl)
}

// passWrite takes a write to the origin by way of a cache, which keeps nothing.
func (v *visit) passWrite() {
	address := v.a.SourceAddress
	if address == "" {
		address = v.s.cfg.Upstream
	}
	if address == "" {
		v.refuse(http.StatusGatewayTimeout, fetchheader.CacheStatus{Fwd: "bypass"})
		return
	}
	req, err := http.NewRequestWithContext(v.r.Context(), v.r.Method, "http://"+address+v.r.URL.RequestURI(), v.r.Body)
	if err != nil {
		v.refuse(http.StatusBadGateway, fetchheader.CacheStatus{Fwd: "bypass"})
		return
	}
	req.ContentLength = v.r.ContentLength
	req.Header = v.r.Header.Clone()
	sub := v.a
	sub.Via, sub.Source, sub.SourceAddress = v.s.cfg.ID, "", ""
	req.Header.Set(fetchheader.FillField, string(sub.Append(nil)))
	res, err := v.s.client.Do(req)
	if err != nil {
		v.refuse(http.StatusBadGateway, fetchheader.CacheStatus{Fwd: "bypass", Detail: fetchheader.SourceUnreached})
		return
	}
	defer res.Body.Close()
	rec := v.rec
	rec.Status = res.StatusCode
	v.sent(rec)
	v.w.Header().Set(fetchheader.StatusField, fetchheader.CacheStatus{Cache: v.s.cfg.ID, Fwd: "bypass"}.String())
	v.w.WriteHeader(res.StatusCode)
	io.Copy(v.w, res.Body)
}
