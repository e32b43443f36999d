// Package testserver provides the servers and clients that routers are tested against: caches,
// parents, the origin and the list service, with the faults that a scenario injects into them.
// The servers write what they receive and send to a traffic log.
//
// They read and write HTTP with Go's net/http and not with internal/protocol/http1, so that
// the router's parser is tested against another implementation. They make none of a router's
// decisions: a cache does what the Spool-Fill field says, as docs/protocol.md defines it.
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

// Class describes a class of requests to a test server.
type Class struct {
	Name   string  `json:"name"`
	KB     float64 `json:"kb"`    // mean object size
	Fresh  float64 `json:"fresh"` // lifetime of a copy, ms; 0: until purged
	Write  bool    `json:"write"`
	Window float64 `json:"window"` // used for writes with an idempotency key: how long repeats are dropped, ms
}

// Config configures a cache, parent or origin.
type Config struct {
	ID                     string   `json:"id"`
	Role                   string   `json:"role"` // box, parent or origin
	Zone                   string   `json:"zone"`
	Listen                 string   `json:"listen"`   // default 127.0.0.1:0
	Upstream               string   `json:"upstream"` // used by parents: the origin's address
	Start                  int64    `json:"start"`    // counts the starts of the process, from 1
	Cold                   bool     `json:"cold"`
	Bytes                  int64    `json:"bytes"`
	Capacity               float64  `json:"capacity"`  // sending time that it can serve, ms per ms; 0: no limit
	Flow                   float64  `json:"flow"`      // rate of one transfer to a client, KB per ms
	FillFlow               float64  `json:"fill_flow"` // rate of one transfer to a cache, KB per ms
	LinkIn                 float64  `json:"link_in"`   // rate of all incoming fills, KB per ms; 0: no limit
	Latency                float64  `json:"latency"`   // delay before each response, ms
	MaxFills               int      `json:"max_fills"`
	FillTimeout            float64  `json:"fill_wait"` // a fill fails after this time without data, ms
	CompleteAbandonedFills bool     `json:"run_on"`    // completes a fill whose client has disconnected
	WarmUpInitialShare     float64  `json:"cold_from"` // share of the capacity at the start of the warm-up
	WarmUpTime             float64  `json:"cold_time"` // duration of the warm-up, ms
	OverloadFactor         float64  `json:"fall"`      // a cold cache stops serving at this multiple of its capacity; 0: never
	OverloadTime           float64  `json:"fall_time"` // how long that load has to last, ms
	Limit                  int      `json:"limit"`     // used by origins: concurrent requests; more are rejected; 0: no limit
	Classes                []Class  `json:"classes"`
	Seed                   uint64   `json:"seed"`
	Feedback               []string `json:"feedback"` // load metrics in the order of the load field: inflight, util, x0, x1
}

func (c *Config) setDefaults() {
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	if c.Flow <= 0 {
		c.Flow = 4
	}
	if c.FillFlow <= 0 {
		c.FillFlow = 3 * c.Flow
	}
	if c.FillTimeout <= 0 {
		c.FillTimeout = 2000
	}
	if c.Bytes <= 0 {
		c.Bytes = 64 << 20
	}
	if c.Start == 0 {
		c.Start = 1
	}
	if c.OverloadTime <= 0 {
		c.OverloadTime = 3000
	}
}

// Server is a running cache, parent or origin.
type Server struct {
	cfg        Config
	trafficLog *trafficlog.Writer
	faults     *faults
	listener   net.Listener
	http       *http.Server
	client     *http.Client
	clientLink *Link // transfers to clients
	fillLink   *Link // transfers of fills from sources
	done       chan struct{}
	once       sync.Once

	mu       sync.Mutex
	cache    *httpcache.Cache
	fills    map[string]*fill
	classes  map[string]Class
	inflight int
	hitRatio float64 // moving average
	origin   *origin
}

// Start starts a server that writes to the traffic log w.
func Start(cfg Config, w *trafficlog.Writer) (*Server, error) {
	cfg.setDefaults()
	s := &Server{cfg: cfg, trafficLog: w, faults: newFaults(cfg.Seed), done: make(chan struct{}),
		fills: map[string]*fill{}, classes: map[string]Class{}}
	for _, c := range cfg.Classes {
		s.classes[c.Name] = c
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("testserver: %s: %w", cfg.ID, err)
	}
	s.listener = listener
	s.cache = httpcache.New(httpcache.Settings{Name: cfg.ID, Bytes: cfg.Bytes, Capacity: cfg.Capacity, WarmUpInitialShare: cfg.WarmUpInitialShare,
		WarmUpTime: cfg.WarmUpTime, OverloadFactor: cfg.OverloadFactor, OverloadTime: cfg.OverloadTime, MaxFills: cfg.MaxFills},
		trafficlog.Now(), !cfg.Cold)
	s.clientLink = NewLink(func() float64 {
		if cfg.Capacity <= 0 {
			return 0
		}
		return s.cache.Capacity(trafficlog.Now()) * cfg.Flow / s.faults.slowdown()
	})
	s.fillLink = NewLink(func() float64 { return cfg.LinkIn })
	if cfg.Role == "origin" {
		s.origin = newOrigin()
	}
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true,
		IdleConnTimeout: 5 * time.Second, ResponseHeaderTimeout: time.Duration(cfg.FillTimeout) * time.Millisecond,
		DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext}}
	s.http = &http.Server{Handler: s, IdleTimeout: 5 * time.Minute}
	s.trafficLog.Add(trafficlog.Record{Event: trafficlog.Started, Subject: cfg.ID, Role: cfg.Role, Addr: listener.Addr().String(), Start: cfg.Start,
		Cold: cfg.Cold, Work: cfg.Capacity, Note: cfg.Zone})
	go s.http.Serve(&faultListener{Listener: listener, faults: s.faults, done: s.done})
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// ID returns the ID that the server was configured with.
func (s *Server) ID() string { return s.cfg.ID }

// Fault injects a fault, which begins now and ends after its duration.
func (s *Server) Fault(fault Fault) error { return s.faults.set(trafficlog.Now(), fault) }

// Purge drops the copies that were generated before made, in ms on the clock of trafficlog.Now.
// An origin creates a new version instead and ignores made. Purge returns the time of the purge,
// which caches and routers are to be told: made, or for an origin the present time.
func (s *Server) Purge(object string, group int, made float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.origin == nil {
		s.cache.Purge(object, group, made)
		return made
	}
	s.origin.purge(object, group)
	record := trafficlog.Record{Time: trafficlog.Now(), Event: trafficlog.Purge, Subject: s.cfg.ID, Object: object, Group: group}
	s.trafficLog.Add(record)
	return record.Time
}

// Usage returns the size and the number of the copies that a cache holds.
func (s *Server) Usage() (bytes int64, copies int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cache.Usage()
}

// Kill stops the server as SIGKILL would: it closes all connections and completes no request.
func (s *Server) Kill() {
	s.once.Do(func() {
		close(s.done)
		s.http.Close()
		s.client.CloseIdleConnections()
	})
}

// ServeHTTP handles an attempt, or a control request of a scenario (/-/fault, /-/purge, /-/state).
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/-/") && r.Header.Get(fetchheader.FillField) == "" {
		s.control(w, r)
		return
	}
	attempt, err := fetchheader.ParseAttempt(r.Header.Values(fetchheader.FillField))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.URL.RequestURI()
	if rg := r.Header.Get("Range"); rg != "" {
		key += " " + rg
	}
	class := s.classes[attempt.Class]
	e := &exchange{s: s, w: w, r: r, attempt: attempt, key: key, class: class}
	e.record = trafficlog.Record{Subject: s.cfg.ID, Role: s.cfg.Role, Start: s.cfg.Start, RouterRequest: attempt.ID, Attempt: attempt.Number, From: attempt.From,
		Via: attempt.Via, Source: attempt.Source, Class: attempt.Class, Object: attempt.Object, Group: attempt.Group,
		Key: r.Header.Get(fetchheader.IdempotencyKeyField), Write: r.Method != "GET" && r.Method != "HEAD",
		ID: r.Header.Get("X-Request-Id")}
	e.record.Work = class.KB / s.cfg.Flow
	if s.cfg.Role == "parent" {
		e.record.Work = float64(SizeOf(key, class.KB)) / 1024 / s.cfg.Flow
	}
	received := e.record
	received.Event, received.Note = trafficlog.AttemptReceived, "look"
	if attempt.Source != "" || attempt.MayFetch {
		received.Note = "fill"
	}
	s.trafficLog.Add(received)
	s.mu.Lock()
	s.inflight++
	overloaded := s.cache.RecordAttempt(trafficlog.Now(), e.record.Work)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inflight--
		s.mu.Unlock()
	}()
	if overloaded {
		e.reset()
		return
	}
	stop := context.AfterFunc(r.Context(), func() {
		if !e.answered.Load() {
			canceled := e.record
			canceled.Event = trafficlog.AttemptCanceled
			s.trafficLog.Add(canceled)
		}
	})
	e.serve()
	if r.Context().Err() == nil { // otherwise the callback logs the cancellation
		stop()
	}
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var err error
	switch r.URL.Path {
	case "/-/fault":
		var fault Fault
		if err = json.NewDecoder(r.Body).Decode(&fault); err == nil {
			err = s.Fault(fault)
		}
	case "/-/purge":
		var purge struct {
			Object string  `json:"object"`
			Group  int     `json:"group"`
			Made   float64 `json:"made"`
		}
		if err = json.NewDecoder(r.Body).Decode(&purge); err == nil {
			purge.Made = s.Purge(purge.Object, purge.Group, purge.Made)
			json.NewEncoder(w).Encode(purge)
			return
		}
	case "/-/state":
		bytes, copies := s.Usage()
		s.mu.Lock()
		state := map[string]any{"id": s.cfg.ID, "role": s.cfg.Role, "bytes": bytes, "copies": copies,
			"fallen": s.cache.Failed(), "warmth": s.cache.CapacityShare(trafficlog.Now()), "hits": s.cache.Hits, "misses": s.cache.Misses,
			"fills": s.cache.FillsInFlight(), "inflight": s.inflight, "in_bytes": s.fillLink.Bytes(), "out_bytes": s.clientLink.Bytes()}
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

// loadField returns the value of the load field, with the metrics in the order of
// Config.Feedback.
func (s *Server) loadField() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var values []float64
	for _, name := range s.cfg.Feedback {
		switch name {
		case "inflight":
			values = append(values, float64(s.inflight))
		case "x0":
			values = append(values, s.hitRatio)
		case "x1":
			values = append(values, float64(s.cache.FillsInFlight()))
		default:
			values = append(values, min(float64(s.inflight)/max(s.cfg.Capacity, 1), 1))
		}
	}
	return fetchheader.FormatLoad(values)
}

// exchange is one attempt and its response.
type exchange struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	attempt fetchheader.Attempt
	key     string
	class   Class
	record  trafficlog.Record

	answered atomic.Bool
}

// logAnswer marks the attempt as answered and logs the response.
func (e *exchange) logAnswer(record trafficlog.Record) {
	e.answered.Store(true)
	record.Event = trafficlog.AttemptAnswered
	e.s.trafficLog.Add(record)
}

// reset resets the attempt's connection. It logs the attempt as canceled unless the attempt has
// been answered.
func (e *exchange) reset() {
	if !e.answered.Swap(true) {
		record := e.record
		record.Event, record.Note = trafficlog.AttemptCanceled, "reset"
		e.s.trafficLog.Add(record)
	}
	if c, _, err := e.w.(http.Hijacker).Hijack(); err == nil {
		resetConn(c)
	}
}

// serve handles the attempt, subject to the active faults.
func (e *exchange) serve() {
	s, ctx := e.s, e.r.Context()
	if s.faults.waitWhileStopped(ctx) != nil {
		return
	}
	if s.faults.active(FastErrors) {
		e.reject(http.StatusInternalServerError, fetchheader.CacheStatus{Fwd: "miss"})
		return
	}
	discard := s.faults.active(AnswerLost)
	if discard {
		e.w = &discardWriter{header: http.Header{}, ctx: ctx}
	}
	if latency := s.cfg.Latency * s.faults.slowdown(); latency > 0 {
		if sleepUntil(ctx, trafficlog.Now()+latency) != nil {
			return
		}
	}
	switch {
	case s.origin != nil:
		e.serveOrigin()
	case e.record.Write:
		e.forwardWrite()
	default:
		e.serveCache()
	}
	if discard { // the work is done, but the client gets no response
		select {
		case <-ctx.Done():
		case <-s.done:
		case <-time.After(time.Minute):
		}
		e.reset()
	}
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct {
	header http.Header
	ctx    context.Context
}

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(b []byte) (int, error) { return len(b), w.ctx.Err() }
func (l *discardWriter) WriteHeader(int)             {}
func (l *discardWriter) Flush()                      {}
func (l *discardWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	return nil, nil, http.ErrNotSupported
}

func (e *exchange) reject(status int, h fetchheader.CacheStatus) {
	h.Cache = e.s.cfg.ID
	e.w.Header().Set(fetchheader.StatusField, h.String())
	e.w.Header().Set(fetchheader.LoadField, e.s.loadField())
	record := e.record
	record.Status, record.Note = status, h.Detail
	e.logAnswer(record)
	e.w.Header().Set("Content-Length", "0")
	e.w.WriteHeader(status)
}

func (e *exchange) serveCache() {
	s := e.s
	now := trafficlog.Now()
	maxAge := e.attempt.Age
	if maxAge <= 0 {
		maxAge = 1e15
	}
	if e.class.Fresh > 0 && e.attempt.Age <= 0 {
		maxAge = e.class.Fresh
	}
	if e.r.Method == "HEAD" { // answered like GET, without the body
		e.record.Note = "head"
	}
	s.mu.Lock()
	found := s.cache.Lookup(now, e.key, maxAge, e.attempt.Keep)
	hit := 0.0
	if found != nil {
		hit = 1
	}
	s.hitRatio += (hit - s.hitRatio) * 0.02
	if found != nil {
		cached := *found
		renew := e.attempt.Renew && cached.Lifetime > 0 && now-cached.GeneratedAt > 0.8*cached.Lifetime
		s.mu.Unlock()
		h := fetchheader.CacheStatus{Cache: s.cfg.ID, Hit: true}
		if cached.Lifetime > 0 {
			h.HasTTL, h.TTL = true, (cached.Lifetime-(now-cached.GeneratedAt))/1000
			if h.TTL < 0 {
				h.TTL = min(h.TTL, -1)
			}
		}
		if renew && e.attempt.Source != "" {
			go e.detached().startFill(e.attempt, nil)
		}
		e.respond(cached.Version, cached.GeneratedAt, cached.Bytes, h, nil)
		return
	}
	current := s.fills[e.key]
	s.mu.Unlock()
	if e.attempt.Source == "" && !e.attempt.MayFetch { // a lookup without a fill
		e.reject(http.StatusGatewayTimeout, fetchheader.CacheStatus{Fwd: "miss", Collapsed: current != nil})
		return
	}
	if current != nil && e.attempt.Join {
		e.serveFill(current, true)
		return
	}
	if current = e.startFill(e.attempt, e.r.Context()); current != nil {
		e.serveFill(current, false)
	}
}

// respond answers with a copy. source is the fill that the copy comes from, or nil if the copy
// is complete.
func (e *exchange) respond(version int64, generatedAt float64, size int64, h fetchheader.CacheStatus, source *fill) {
	s := e.s
	header := e.w.Header()
	status := h.String()
	if source != nil && source.sourceStatus != "" {
		status = source.sourceStatus + ", " + status
	}
	now := trafficlog.Now()
	header.Set(fetchheader.StatusField, status)
	header.Set(fetchheader.LoadField, s.loadField())
	header.Set(fetchheader.CopyField, fetchheader.CopyVersion{Number: version, Age: max(now-generatedAt, 0)}.String())
	header.Set("Age", strconv.Itoa(int(max(now-generatedAt, 0)/1000)))
	header.Set("Content-Type", "application/octet-stream")
	if isText(e.key) {
		header.Set("Content-Type", "text/html")
		if isPage(e.key) {
			header.Set("Surrogate-Control", `content="ESI/1.0"`)
		}
	}
	header.Set("Content-Length", strconv.FormatInt(size, 10))
	code := http.StatusOK
	etag := fmt.Sprintf("\"v%d\"", version)
	header.Set("ETag", etag)
	if e.r.Header.Get("If-None-Match") == etag { // the client has this version
		header.Del("Content-Length")
		record := e.record
		record.Status, record.Version, record.Created, record.Hit = http.StatusNotModified, version, generatedAt, h.Hit
		e.logAnswer(record)
		e.w.WriteHeader(http.StatusNotModified)
		return
	}
	if first, last, ok := byteRange(e.r); ok {
		code = http.StatusPartialContent
		header.Set("Content-Range", fmt.Sprintf("bytes %d-%d/*", first, last))
	}
	record := e.record
	record.Status, record.Version, record.Created, record.Bytes, record.Hit = code, version, generatedAt, size, h.Hit
	e.logAnswer(record)
	if e.r.Method == "HEAD" {
		e.w.WriteHeader(code)
		return
	}
	if code == http.StatusOK && e.respondMalformed(version, size) {
		return
	}
	e.w.WriteHeader(code)
	e.writeBody(version, size, source)
}

// byteRange returns the first and last byte of a request's range. It accepts a single range
// with both ends.
func byteRange(r *http.Request) (first, last int64, ok bool) {
	if n, err := fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-%d", &first, &last); err != nil || n != 2 || first < 0 || last < first {
		return 0, 0, false
	}
	return first, last, true
}

const chunkSize = 16 << 10 // bytes

// writeBody sends the body no faster than the rate of the transfer, the server's link and the
// fill that it comes from allow.
func (e *exchange) writeBody(version, size int64, source *fill) {
	s, ctx := e.s, e.r.Context()
	buf := make([]byte, chunkSize)
	flush, _ := e.w.(http.Flusher)
	flow := s.cfg.Flow
	if e.attempt.Via != "" {
		flow = s.cfg.FillFlow
	}
	pace := trafficlog.Now()
	for off := int64(0); off < size; {
		n := int(min(chunkSize, size-off))
		if source != nil {
			received, err := source.waitForBytes(ctx, off+int64(n))
			if err != nil {
				e.reset()
				return
			}
			n = int(min(int64(n), received-off))
		}
		if s.faults.waitWhileStopped(ctx) != nil {
			return
		}
		// A transfer that was held up makes up for at most 20 ms.
		pace = max(pace, trafficlog.Now()-20) + float64(n)/1024/flow*s.faults.slowdown()
		if s.clientLink.Pass(ctx, n) != nil || sleepUntil(ctx, pace) != nil {
			return
		}
		Content(buf[:n], e.key, version, off)
		if _, err := e.w.Write(buf[:n]); err != nil {
			return
		}
		if off += int64(n); flush != nil && off < size {
			flush.Flush()
		}
	}
	record := e.record
	record.Event, record.Bytes = trafficlog.AttemptDone, size
	s.trafficLog.Add(record)
}
