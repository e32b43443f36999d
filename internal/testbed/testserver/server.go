// Package testserver is what the router is tested against: caches, parents, the origin, the
// list service and clients, with the faults that a scenario injects into them. All of them
// write what they see to a traffic log.
//
// They read and write HTTP with Go's net/http and not with internal/protocol/http1, so that
// the router's parser is judged by another one. They decide nothing of a router's: a cache
// does what Spool-Fill says, as docs/protocol.md defines it.
package testserver

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"indigospool/internal/cachenode/httpcache"
	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/testbed/trafficlog"
)

// Class is what a stand-in knows of a class of requests.
type Class struct {
	Name   string  `json:"name"`
	KB     float64 `json:"kb"`    // mean size
	Fresh  float64 `json:"fresh"` // ms; 0: until purged
	Write  bool    `json:"write"`
	Window float64 `json:"window"` // of guarded writes: repeats are dropped for so long, ms
}

// Config is what a cache, parent or origin is.
type Config struct {
	ID       string   `json:"id"`
	Role     string   `json:"role"` // box, parent or origin
	Zone     string   `json:"zone"`
	Listen   string   `json:"listen"`   // 127.0.0.1:0 where empty
	Upstream string   `json:"upstream"` // of a parent: the origin's address
	Start    int64    `json:"start"`    // number of this start
	Cold     bool     `json:"cold"`
	Bytes    int64    `json:"bytes"`
	Capacity float64  `json:"capacity"` // sending time, ms a ms
	Flow     float64  `json:"flow"`     // KB a ms of one transfer to a client
	FillFlow float64  `json:"fill_flow"`
	LinkIn   float64  `json:"link_in"` // KB a ms; 0: no limit
	Latency  float64  `json:"latency"` // ms before each answer, of a source
	MaxFills int      `json:"max_fills"`
	FillWait float64  `json:"fill_wait"` // a fill is given up when nothing has come for so long
	RunOn    bool     `json:"run_on"`    // a fill whose client has left runs on
	ColdFrom float64  `json:"cold_from"`
	ColdTime float64  `json:"cold_time"`
	Fall     float64  `json:"fall"`
	FallTime float64  `json:"fall_time"`
	Limit    int      `json:"limit"` // of an origin: requests at once, more are refused; 0: none
	Classes  []Class  `json:"classes"`
	Seed     uint64   `json:"seed"`
	Feedback []string `json:"feedback"` // inflight, util, x0, x1
}

func (c *Config) fill() {
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	if c.Flow <= 0 {
		c.Flow = 4
	}
	if c.FillFlow <= 0 {
		c.FillFlow = 3 * c.Flow
	}
	if c.FillWait <= 0 {
		c.FillWait = 2000
	}
	if c.Bytes <= 0 {
		c.Bytes = 64 << 20
	}
	if c.Start == 0 {
		c.Start = 1
	}
	if c.FallTime <= 0 {
		c.FallTime = 3000
	}
}

// Server is a running stand-in.
type Server struct {
	cfg    Config
	tap    *trafficlog.Writer
	f      *faults
	ln     net.Listener
	http   *http.Server
	client *http.Client
	out    *Link // to clients
	in     *Link // fills from outside
	done   chan struct{}
	once   sync.Once

	mu       sync.Mutex
	box      *httpcache.Cache
	flights  map[string]*flight
	classes  map[string]Class
	inflight int
	hits     float64 // recent share
	origin   *origin
}

// Start begins to serve.
func Start(cfg Config, w *trafficlog.Writer) (*Server, error) {
	cfg.fill()
	s := &Server{cfg: cfg, tap: w, f: newFaults(cfg.Seed), done: make(chan struct{}),
		flights: map[string]*flight{}, classes: map[string]Class{}}
	for _, c := range cfg.Classes {
		s.classes[c.Name] = c
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("standin %s: %w", cfg.ID, err)
	}
	s.ln = ln
	s.box = httpcache.New(httpcache.Settings{Name: cfg.ID, Bytes: cfg.Bytes, Capacity: cfg.Capacity, WarmUpInitialShare: cfg.ColdFrom,
		WarmUpTime: cfg.ColdTime, OverloadFactor: cfg.Fall, OverloadTime: cfg.FallTime, MaxFills: cfg.MaxFills},
		trafficlog.Now(), !cfg.Cold)
	s.out = NewLink(func() float64 {
		if cfg.Capacity <= 0 {
			return 0
		}
		return s.box.Capacity(trafficlog.Now()) * cfg.Flow / s.f.slowness()
	})
	s.in = NewLink(func() float64 { return cfg.LinkIn })
	if cfg.Role == "origin" {
		s.origin = newOrigin()
	}
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true,
		IdleConnTimeout: 5 * time.Second, ResponseHeaderTimeout: time.Duration(cfg.FillWait) * time.Millisecond,
		DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext}}
	s.http = &http.Server{Handler: s, IdleTimeout: 5 * time.Minute}
	s.tap.Add(trafficlog.Record{Event: trafficlog.Started, Subject: cfg.ID, Role: cfg.Role, Addr: ln.Addr().String(), Start: cfg.Start,
		Cold: cfg.Cold, Work: cfg.Capacity, Note: cfg.Zone})
	go s.http.Serve(&gatedListener{Listener: ln, f: s.f, done: s.done})
	return s, nil
}

// Addr is where it serves.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// ID is its name.
func (s *Server) ID() string { return s.cfg.ID }

// Fault makes the stand-in suffer.
func (s *Server) Fault(x Fault) error { return s.f.set(trafficlog.Now(), x) }

// Purge drops the copies that are older than made, a time on the tap's clock.
// The origin makes a new version instead, and says itself when: the time is
// returned, and is what caches and routers are told.
func (s *Server) Purge(object string, group int, made float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.origin == nil {
		s.box.Purge(object, group, made)
		return made
	}
	s.origin.purge(object, group)
	rec := trafficlog.Record{Time: trafficlog.Now(), Event: trafficlog.Purge, Subject: s.cfg.ID, Object: object, Group: group}
	s.tap.Add(rec)
	return rec.Time
}

// Held is what a cache holds.
func (s *Server) Held() (bytes int64, copies int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.box.Usage()
}

// Kill ends it as SIGKILL would: connections are reset, nothing is finished.
func (s *Server) Kill() {
	s.once.Do(func() {
		close(s.done)
		s.http.Close()
		s.client.CloseIdleConnections()
	})
}

// ServeHTTP takes an attempt, or a word of control from the day.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/-/") && r.Header.Get(fetchheader.FillField) == "" {
		s.control(w, r)
		return
	}
	a, err := fetchheader.ParseAttempt(r.Header.Values(fetchheader.FillField))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.URL.RequestURI()
	if rg := r.Header.Get("Range"); rg != "" {
		key += " " + rg
	}
	class := s.classes[a.Class]
	v := &visit{s: s, w: w, r: r, a: a, key: key, class: class}
	v.rec = trafficlog.Record{Subject: s.cfg.ID, Role: s.cfg.Role, Start: s.cfg.Start, RouterRequest: a.ID, Attempt: a.Number, From: a.From,
		Via: a.Via, Source: a.Source, Class: a.Class, Object: a.Object, Group: a.Group,
		Key: r.Header.Get(fetchheader.IdempotencyKeyField), Write: r.Method != "GET" && r.Method != "HEAD",
		ID: r.Header.Get("X-Request-Id")}
	v.rec.Work = class.KB / s.cfg.Flow
	if s.cfg.Role == "parent" {
		v.rec.Work = float64(SizeOf(key, class.KB)) / 1024 / s.cfg.Flow
	}
	recv := v.rec
	recv.Event, recv.Note = trafficlog.AttemptReceived, "look"
	if a.Source != "" || a.MayFetch {
		recv.Note = "fill"
	}
	s.tap.Add(recv)
	s.mu.Lock()
	s.inflight++
	fallen := s.box.RecordAttempt(trafficlog.Now(), v.rec.Work)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inflight--
		s.mu.Unlock()
	}()
	if fallen {
		v.reset()
		return
	}
	stop := context.AfterFunc(r.Context(), func() {
		if !v.answered.Load() {
			left := v.rec
			left.Event = trafficlog.AttemptCanceled
			s.tap.Add(left)
		}
	})
	v.serve()
	if r.Context().Err() == nil { // else it is left to the record that it was left
		stop()
	}
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var err error
	switch r.URL.Path {
	case "/-/fault":
		var x Fault
		if err = json.NewDecoder(r.Body).Decode(&x); err == nil {
			err = s.Fault(x)
		}
	case "/-/purge":
		var x struct {
			Object string  `json:"object"`
			Group  int     `json:"group"`
			Made   float64 `json:"made"`
		}
		if err = json.NewDecoder(r.Body).Decode(&x); err == nil {
			x.Made = s.Purge(x.Object, x.Group, x.Made)
			json.NewEncoder(w).Encode(x)
			return
		}
	case "/-/state":
		bytes, copies := s.Held()
		s.mu.Lock()
		state := map[string]any{"id": s.cfg.ID, "role": s.cfg.Role, "bytes": bytes, "copies": copies,
			"fallen": s.box.Failed(), "warmth": s.box.CapacityShare(trafficlog.Now()), "hits": s.box.Hits, "misses": s.box.Misses,
			"fills": s.box.FillsInFlight(), "inflight": s.inflight, "in_bytes": s.in.Bytes(), "out_bytes": s.out.Bytes()}
		s.mu.Unlock()
		json.NewEncoder(w).Encode(state)
		return
	default:
		http.NotFound(w, r)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// load is the report in the order of the settings' feedback.
func (s *Server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var v []float64
	for _, name := range s.cfg.Feedback {
		switch name {
		case "inflight":
			v = append(v, float64(s.inflight))
		case "x0":
			v = append(v, s.hits)
		case "x1":
			v = append(v, float64(s.box.FillsInFlight()))
		default:
			v = append(v, min(float64(s.inflight)/max(s.cfg.Capacity, 1), 1))
		}
	}
	return fetchheader.FormatLoad(v)
}

// visit is one attempt at a stand-in.
type visit struct {
	s     *Server
	w     http.ResponseWriter
	r     *http.Request
	a     fetchheader.Attempt
	key   string
	class Class
	rec   trafficlog.Record

	answered atomic.Bool
}

// sent records that the attempt is answered.
func (v *visit) sent(rec trafficlog.Record) {
	v.answered.Store(true)
	rec.Event = trafficlog.AttemptAnswered
	v.s.tap.Add(rec)
}

// reset ends the attempt's connection; the attempt ends with it.
func (v *visit) reset() {
	if !v.answered.Swap(true) {
		rec := v.rec
		rec.Event, rec.Note = trafficlog.AttemptCanceled, "reset"
		v.s.tap.Add(rec)
	}
	if c, _, err := v.w.(http.Hijacker).Hijack(); err == nil {
		reset(c)
	}
}

// serve does what the attempt asks, under the faults of the moment.
func (v *visit) serve() {
	s, ctx := v.s, v.r.Context()
	if s.f.gate(ctx) != nil {
		return
	}
	if s.f.on(FastErrors) {
		v.refuse(http.StatusInternalServerError, fetchheader.CacheStatus{Fwd: "miss"})
		return
	}
	lost := s.f.on(AnswerLost)
	if lost {
		v.w = &lostWriter{header: http.Header{}, ctx: ctx}
	}
	if lat := s.cfg.Latency * s.f.slowness(); lat > 0 {
		if sleepUntil(ctx, trafficlog.Now()+lat) != nil {
			return
		}
	}
	switch {
	case s.origin != nil:
		v.atOrigin()
	case v.rec.Write:
		v.passWrite()
	default:
		v.atCache()
	}
	if lost { // the work is done, and nobody hears of it
		select {
		case <-ctx.Done():
		case <-s.done:
		case <-time.After(time.Minute):
		}
		v.reset()
	}
}

// lostWriter takes an answer that never reaches anyone.
type lostWriter struct {
	header http.Header
	ctx    context.Context
}

func (l *lostWriter) Header() http.Header         { return l.header }
func (l *lostWriter) Write(b []byte) (int, error) { return len(b), l.ctx.Err() }
func (l *lostWriter) WriteHeader(int)             {}
func (l *lostWriter) Flush()                      {}
func (l *lostWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	return nil, nil, http.ErrNotSupported
}

func (v *visit) refuse(status int, h fetchheader.CacheStatus) {
	h.Cache = v.s.cfg.ID
	v.w.Header().Set(fetchheader.StatusField, h.String())
	v.w.Header().Set(fetchheader.LoadField, v.s.load())
	rec := v.rec
	rec.Status, rec.Note = status, h.Detail
	v.sent(rec)
	v.w.Header().Set("Content-Length", "0")
	v.w.WriteHeader(status)
}

func (v *visit) atCache() {
	s := v.s
	now := trafficlog.Now()
	age := v.a.Age
	if age <= 0 {
		age = 1e15
	}
	if v.class.Fresh > 0 && v.a.Age <= 0 {
		age = v.class.Fresh
	}
	if v.r.Method == "HEAD" { // answered as GET is, without the body
		v.rec.Note = "head"
	}
	s.mu.Lock()
	c := s.box.Lookup(now, v.key, age, v.a.Keep)
	hit := 0.0
	if c != nil {
		hit = 1
	}
	s.hits += (hit - s.hits) * 0.02
	if c != nil {
		held := *c
		ageing := v.a.Renew && held.Lifetime > 0 && now-held.GeneratedAt > 0.8*held.Lifetime
		s.mu.Unlock()
		h := fetchheader.CacheStatus{Cache: s.cfg.ID, Hit: true}
		if held.Lifetime > 0 {
			h.HasTTL, h.TTL = true, (held.Lifetime-(now-held.GeneratedAt))/1000
			if h.TTL < 0 {
				h.TTL = min(h.TTL, -1)
			}
		}
		if ageing && v.a.Source != "" {
			go v.detached().fetch(v.a, nil)
		}
		v.send(held.Version, held.GeneratedAt, held.Bytes, h, nil)
		return
	}
	fl := s.flights[v.key]
	s.mu.Unlock()
	if v.a.Source == "" && !v.a.MayFetch { // a look
		v.refuse(http.StatusGatewayTimeout, fetchheader.CacheStatus{Fwd: "miss", Collapsed: fl != nil})
		return
	}
	if fl != nil && v.a.Join {
		v.follow(fl, true)
		return
	}
	if fl = v.fetch(v.a, v.r.Context()); fl != nil {
		v.follow(fl, false)
	}
}

// send answers with a copy; fl is the fill that it comes from, or nil.
func (v *visit) send(version int64, born float64, size int64, h fetchheader.CacheStatus, fl *flight) {
	s := v.s
	head := v.w.Header()
	status := h.String()
	if fl != nil && fl.behind != "" {
		status = fl.behind + ", " + status
	}
	now := trafficlog.Now()
	head.Set(fetchheader.StatusField, status)
	head.Set(fetchheader.LoadField, s.load())
	head.Set(fetchheader.CopyField, fetchheader.CopyVersion{Number: version, Age: max(now-born, 0)}.String())
	head.Set("Age", strconv.Itoa(int(max(now-born, 0)/1000)))
	head.Set("Content-Type", "application/octet-stream")
	if isText(v.key) {
		head.Set("Content-Type", "text/html")
		if isPage(v.key) {
			head.Set("Surrogate-Control", `content="ESI/1.0"`)
		}
	}
	head.Set("Content-Length", strconv.FormatInt(size, 10))
	code := http.StatusOK
	tag := fmt.Sprintf("\"v%d\"", version)
	head.Set("ETag", tag)
	if v.r.Header.Get("If-None-Match") == tag { // its asker has it
		head.Del("Content-Length")
		rec := v.rec
		rec.Status, rec.Version, rec.Created, rec.Hit = http.StatusNotModified, version, born, h.Hit
		v.sent(rec)
		v.w.WriteHeader(http.StatusNotModified)
		return
	}
	if first, last, ok := byteRange(v.r); ok {
		code = http.StatusPartialContent
		head.Set("Content-Range", fmt.Sprintf("bytes %d-%d/*", first, last))
	}
	rec := v.rec
	rec.Status, rec.Version, rec.Created, rec.Bytes, rec.Hit = code, version, born, size, h.Hit
	v.sent(rec)
	if v.r.Method == "HEAD" {
		v.w.WriteHeader(code)
		return
	}
	if code == http.StatusOK && v.mangled(version, size) {
		return
	}
	v.w.WriteHeader(code)
	v.body(version, size, fl)
}

// byteRange is the one range that a request asks for, first and last byte.
func byteRange(r *http.Request) (first, last int64, ok bool) {
	if n, err := fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-%d", &first, &last); err != nil || n != 2 || first < 0 || last < first {
		return 0, 0, false
	}
	return first, last, true
}

const chunk = 16 << 10

// body sends the bytes at the pace of the transfer, the cache's link and the
// fill behind it.
func (v *visit) body(version, size int64, fl *flight) {
	s, ctx := v.s, v.r.Context()
	buf := make([]byte, chunk)
	flush, _ := v.w.(http.Flusher)
	flow := s.cfg.Flow
	if v.a.Via != "" {
		flow = s.cfg.FillFlow
	}
	pace := trafficlog.Now()
	for off := int64(0); off < size; {
		n := int(min(chunk, size-off))
		if fl != nil {
			got, err := fl.wait(ctx, off+int64(n))
			if err != nil {
				v.reset()
				return
			}
			n = int(min(int64(n), got-off))
		}
		if s.f.gate(ctx) != nil {
			return
		}
		pace = max(pace, trafficlog.Now()-20) + float64(n)/1024/flow*s.f.slowness()
		if s.out.Pass(ctx, n) != nil || sleepUntil(ctx, pace) != nil {
			return
		}
		Content(buf[:n], v.key, version, off)
		if _, err := v.w.Write(buf[:n]); err != nil {
			return
		}
		if off += int64(n); flush != nil && off < size {
			flush.Flush()
		}
	}
	rec := v.rec
	rec.Event, rec.Bytes = trafficlog.AttemptDone, size
	s.tap.Add(rec)
}
