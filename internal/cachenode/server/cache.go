// Package server is a cache, or a parent, as a program: it answers what Spool-Fill asks
// for (docs/protocol.md) from a store on disk (internal/cachenode/store), or fills it from
// the source that is named, on the router's event loop and parser.
//
// It owns client and source connections and the fills in flight, and decides nothing of a
// router's: where an object is looked up, where it is filled from and how long it may be
// used comes with each attempt. What may be stored at all, internal/cachenode/httpcache
// says. All of it runs on one loop but for the disk's work, which store.Threads does;
// nothing here waits for either.
package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"indigospool/internal/cachenode/httpcache"
	"indigospool/internal/cachenode/store"
	"indigospool/internal/config"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/protocol/http1"
	"indigospool/internal/wallclock"
)

// Settings is what a cache is: one settings file. Spans in ms.
type Settings struct {
	Cache Config `edn:"cache,required"`
}

// Config is the (cache ...) of a settings file.
type Config struct {
	Place                  config.Place
	Name                   string  `edn:"@,required"`
	Listen                 string  `edn:"listen" def:"127.0.0.1:0"`
	Upstream               string  `edn:"upstream"` // where a fill goes that names no source; of a parent: the origin
	Folder                 string  `edn:"folder,required"`
	CapacityMB             float64 `edn:"mb" def:"1024" min:"0.1"`
	SegmentMB              float64 `edn:"segment-mb" def:"64" min:"0.01"`
	Sync                   string  `edn:"sync" def:"purges" oneof:"purges segments copies"`
	DiskThreads            int     `edn:"threads" def:"4" min:"1"`       // for the disk
	DiskQueue              int     `edn:"queue" def:"512" min:"1"`       // jobs that wait for them
	DiskTimeout            float64 `edn:"patience" def:"2000" min:"10"`  // of a job, until the disk counts as one that hangs
	MaxFills               int     `edn:"fills" def:"256" min:"1"`       // at once
	FillTimeout            float64 `edn:"fill-wait" def:"2000" min:"10"` // a source that sends nothing
	ConnectTimeout         float64 `edn:"connect" def:"500" min:"10"`    // to a source
	IdleTimeout            float64 `edn:"idle" def:"60000" min:"10"`     // a connection without a request
	MaxConns               int     `edn:"connections" def:"20000" min:"1"`
	MaxBufferedBytes       int     `edn:"held" def:"1048576" min:"65536"` // bytes of a fill that wait for the disk or a reader
	MaxBodyBytes           int     `edn:"body" def:"1048576" min:"0"`     // bytes of a write
	CompleteAbandonedFills bool    `edn:"run-on"`                         // a fill whose askers have left runs on
}

// Server is a running cache.
type Server struct {
	cfg           Config
	loop          *eventloop.Loop
	listener      eventloop.Listener
	listenFD      int
	addr          string
	store         *store.Store
	disk          *store.Threads
	Recovered     store.Recovered
	warn          func(string)
	startWall     time.Time // at the start
	retrying      bool      // a thread tries again what failed on the disk
	startedAt     time.Time
	conns         map[*conn]struct{}
	fills         map[string]*fill
	fillsInFlight int
	idleSources   map[string][]*sourceConn
	scratch       []byte
	hitRatio      float64
	stats         Stats
	stopped       chan struct{}

	OnEvent func(Event) // called on the loop; set before Run
}

// Event is what passed on the cache's sockets, for who watches (Server.Watch).
type Event struct {
	What    string // recv: an attempt's whole head; sent: it is answered; done: all of the answer is out; left: its asker has closed
	Attempt *fetchheader.Attempt
	Method  string
	Target  string
	Key     string // key of a copy: target and range
	Header  http.Header
	Status  int
	Version int64
	Bytes   int64
	Hit     bool
}

// Stats counts what a cache has done.
type Stats struct {
	Requests, Hits, Looked, Fills, Joined, Refused, Kept, WithoutDisk uint64
	Behind, Renewed, Stale                                            uint64 // copies that a source found good; given out since it failed
	In, Out                                                           int64
}

// Start opens the store and begins to listen; Run serves.
func Start(cfg Config, warn func(string)) (*Server, error) {
	return StartWithFS(store.Dir(cfg.Folder), cfg, warn)
}

// StartWithFS is Start with the store in a folder that fault injection gives.
func StartWithFS(fs store.FS, cfg Config, warn func(string)) (*Server, error) {
	return start(cfg, warn, fs, wallclock.Now)
}

// start is StartOn by a wall clock that tests replace. The clock is read once.
func start(cfg Config, warn func(string), fs store.FS, wallClock func() time.Time) (*Server, error) {
	if warn == nil {
		warn = func(string) {}
	}
	sync := map[string]store.Sync{"segments": store.SyncSegments, "copies": store.SyncObjects}[cfg.Sync]
	opened, recovered, err := store.Open(fs, store.Options{MaxBytes: int64(cfg.CapacityMB * (1 << 20)), SegmentBytes: int64(cfg.SegmentMB * (1 << 20)), Sync: sync, Warn: warn})
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, store: opened, Recovered: recovered, warn: warn, conns: map[*conn]struct{}{}, fills: map[string]*fill{}, idleSources: map[string][]*sourceConn{},
		scratch: make([]byte, 256<<10), stopped: make(chan struct{}), startedAt: time.Now(), startWall: wallClock()}
	if s.loop, err = eventloop.New(8192); err != nil {
		opened.Close()
		return nil, err
	}
	if s.listenFD, s.addr, err = eventloop.Listen(cfg.Listen); err != nil {
		opened.Close()
		return nil, fmt.Errorf("cache: %w", err)
	}
	s.disk = store.NewThreads(cfg.DiskThreads, cfg.DiskQueue, time.Duration(cfg.DiskTimeout)*time.Millisecond)
	return s, nil
}

// Intercept has the system calls on its sockets made by calls, for fault injection; nil has
// them made by the kernel. It is called before Run.
func (s *Server) Intercept(calls eventloop.Syscalls) { s.loop.Intercept(calls) }

// Addr is where it listens.
func (s *Server) Addr() string { return s.addr }

// Stop ends it, from any goroutine.
func (s *Server) Stop() { s.loop.Stop() }

// Run serves until Stop, and then makes what is kept last.
func (s *Server) Run() error {
	s.listener = eventloop.Listener{PerTurn: 64, Take: s.accept}
	if err := s.listener.Start(s.loop, s.listenFD); err != nil {
		return err
	}
	s.loop.AfterFunc(diskRetryMillis, s.retryDisk)
	err := s.loop.Run()
	close(s.stopped)
	for c := range s.conns {
		unix.Close(c.fd)
	}
	unix.Close(s.listenFD)
	s.disk.Close()
	return errors.Join(err, s.store.Close())
}

// diskRetryMillis is how often, in ms, the store is given the occasion to try again what failed;
// whether it is time to is its own to say.
const diskRetryMillis = 100

func (s *Server) retryDisk() {
	if s.store.Faulty() && !s.retrying {
		s.retrying = s.disk.Submit(func() {
			s.store.Retry()
			s.post(func() { s.retrying = false })
		})
	}
	s.loop.AfterFunc(diskRetryMillis, s.retryDisk)
}

// now is the time by which copies' ages are told, Unix ms: as the clock was at the start,
// and from there on only forward.
func (s *Server) now() int64 { return s.startWall.UnixMilli() + time.Since(s.startedAt).Milliseconds() }

// post has f run on the loop, from a thread.
func (s *Server) post(f func()) {
	for s.loop.Post(f) == eventloop.ErrFull {
		select {
		case <-s.stopped:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// State is the counters, from any goroutine.
func (s *Server) State() (out Stats, err error) {
	err = s.loop.Call(5*time.Second, func() { out = s.stats })
	return out, err
}

// accept takes a connection, unless as many are there as may be.
func (s *Server) accept(fd int) {
	if len(s.conns) >= s.cfg.MaxConns {
		unix.Close(fd)
		return
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &conn{server: s, fd: fd}
	c.idleTimer.F = c.close
	if s.loop.Add(fd, eventloop.Read, c) != nil {
		unix.Close(fd)
		return
	}
	s.conns[c] = struct{}{}
	s.loop.Arm(&c.idleTimer, s.cfg.IdleTimeout)
}

// conn is a connection of a router's or another cache's.
type conn struct {
	server             *Server
	fd                 int
	readBuffer         []byte
	writeBuffer        []byte
	head               http1.Head
	body               http1.Body
	request            *request // in hand; nil between requests
	closeAfterResponse bool
	closed             bool
	headParsed         bool // the head of the request in hand is parsed, its body comes
	idleTimer          eventloop.Timer
}

func (c *conn) OnReady(r eventloop.Ready) {
	if r.Writable() && len(c.writeBuffer) > 0 {
		c.flush()
	}
	if c.closed || !r.Readable() {
		return
	}
	n, err := c.server.loop.Read(c.fd, c.server.scratch)
	switch {
	case eventloop.Retryable(err):
		if r.Hangup() && eventloop.NotReady(err) {
			c.close()
		}
		return
	case err != nil || n == 0:
		c.close()
		return
	}
	c.readBuffer = append(c.readBuffer, c.server.scratch[:n]...)
	c.processInput()
}

// processInput takes what has come.
func (c *conn) processInput() {
	for !c.closed && len(c.readBuffer) > 0 {
		if c.request != nil && !c.headParsed {
			if len(c.readBuffer) > 64<<10 { // requests that wait behind the present one
				c.server.loop.Want(c.fd, 0)
			}
			return
		}
		if !c.headParsed {
			n, err := http1.ParseRequest(c.readBuffer, &c.head, http1.Limits{})
			if err != nil {
				c.closeAfterResponse = true
				c.respond(400, err.Error())
				return
			}
			if n == 0 {
				return
			}
			c.request = c.server.newRequest(c)
			if err := c.body.Start(&c.head, int64(c.server.cfg.MaxBodyBytes)); err != nil {
				c.closeAfterResponse = true
				c.respond(413, err.Error())
				return
			}
			c.readBuffer = c.readBuffer[n:]
			c.headParsed = true
		}
		for !c.body.Done() && len(c.readBuffer) > 0 {
			n, data, err := c.body.Next(c.readBuffer)
			if err != nil {
				c.closeAfterResponse = true
				c.respond(400, err.Error())
				return
			}
			c.request.body = append(c.request.body, data...)
			if c.readBuffer = c.readBuffer[n:]; n == 0 {
				return
			}
		}
		if !c.body.Done() {
			return
		}
		c.headParsed = false
		c.server.loop.Disarm(&c.idleTimer)
		c.request.handle()
	}
	if !c.closed && c.headParsed && c.body.Done() {
		c.headParsed = false
		c.server.loop.Disarm(&c.idleTimer)
		c.request.handle()
	}
	if len(c.readBuffer) == 0 {
		c.readBuffer = nil
	}
}

// respond is a short answer of the cache's own.
func (c *conn) respond(status int, body string) {
	head := http1.AppendStatus(nil, status)
	head = http1.AppendFieldInt(head, "Content-Length", int64(len(body)))
	if c.closeAfterResponse {
		head = http1.AppendFieldString(head, "Connection", "close")
	}
	c.writeBuffer = append(append(append(c.writeBuffer, head...), "\r\n"...), body...)
	c.finishRequest()
}

// finishRequest ends the request in hand.
func (c *conn) finishRequest() {
	if req := c.request; req != nil {
		c.request = nil
		req.end()
	}
	c.flush()
	if c.closed {
		return
	}
	if c.closeAfterResponse && len(c.writeBuffer) == 0 {
		c.close()
		return
	}
	c.server.loop.Arm(&c.idleTimer, c.server.cfg.IdleTimeout)
	c.server.loop.Want(c.fd, c.interest())
	if len(c.readBuffer) > 0 && !c.closeAfterResponse {
		c.processInput()
	}
}

func (c *conn) interest() eventloop.Interest {
	if len(c.writeBuffer) > 0 {
		return eventloop.Read | eventloop.Write
	}
	return eventloop.Read
}

// write writes what can be at once, and keeps the rest.
func (c *conn) write(data []byte) {
	if len(c.writeBuffer) == 0 {
		n, err := c.server.loop.Write(c.fd, data)
		if err == nil {
			c.server.stats.Out += int64(n)
			data = data[n:]
		} else if !eventloop.Retryable(err) {
			c.close()
			return
		}
	}
	c.writeBuffer = append(c.writeBuffer, data...)
	c.flush()
}

func (c *conn) flush() {
	for len(c.writeBuffer) > 0 && !c.closed {
		n, err := c.server.loop.Write(c.fd, c.writeBuffer)
		if eventloop.Retryable(err) {
			c.server.loop.Want(c.fd, eventloop.Read|eventloop.Write)
			return
		}
		if err != nil {
			c.close()
			return
		}
		c.server.stats.Out += int64(n)
		c.writeBuffer = c.writeBuffer[n:]
	}
	if c.closed {
		return
	}
	c.writeBuffer = nil
	c.server.loop.Want(c.fd, eventloop.Read)
	switch {
	case c.request != nil:
		c.request.sendMore()
	case c.closeAfterResponse:
		c.close()
	}
}

func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.server.loop.Forget(&c.idleTimer)
	c.server.loop.Remove(c.fd)
	unix.Close(c.fd)
	delete(c.server.conns, c)
	if req := c.request; req != nil {
		c.request = nil
		req.end()
	}
}

// request is a request in hand.
type request struct {
	server        *Server
	conn          *conn
	attempt       fetchheader.Attempt
	fromClient    bool // no Spool-Fill: a user's own request
	method        string
	target        string
	key           string
	header        http.Header // of the request, that matter
	body          []byte
	object        *store.CachedObject
	stale         *store.CachedObject // too old for it, unless its source says otherwise
	unconditional bool                // no conditions: it was asked with some already
	fill          *fill
	offset        int64
	size          int64
	headSent      bool
	pending       bool // a thread reads for it
	ended         bool
	joined        bool
	burstTurn     uint64 // of the loop, in which it wrote last
	burstBytes    int64  // bytes in it
	answered      bool   // it is answered
	background    bool   // nobody waits: a copy is renewed behind its answers
}

// newRequest takes a request's head, which is the connection's buffer's.
func (s *Server) newRequest(c *conn) *request {
	head := &c.head
	req := &request{server: s, conn: c, method: string(head.Method), target: string(head.Path()), header: http.Header{}}
	var attempts []string
	for i := range head.Fields {
		name := strings.ToLower(string(head.Fields[i].Name))
		switch name {
		case fillField:
			attempts = append(attempts, string(head.Fields[i].Value))
		case "range", "x-request-id", "accept-encoding", "cache-control", "idempotency-key", "if-none-match", "if-modified-since", "authorization", "content-type", "surrogate-capability", "host":
			req.header.Add(name, string(head.Fields[i].Value))
		}
	}
	req.key = req.target
	if byteRange := req.header.Get("Range"); byteRange != "" {
		req.key += " " + byteRange
	}
	c.closeAfterResponse = c.closeAfterResponse || head.Close
	if len(attempts) == 0 {
		req.fromClient = true
		req.attempt = fetchheader.Attempt{Object: req.target, Group: -1, Keep: 1, Join: true, MayFetch: true}
		return req
	}
	var err error
	if req.attempt, err = fetchheader.ParseAttempt(attempts); err != nil {
		req.method = "" // answered 400 once its body is here
		req.target = err.Error()
	}
	return req
}

var fillField = strings.ToLower(fetchheader.FillField)

func (r *request) handle() {
	s := r.server
	s.stats.Requests++
	r.emit("recv", 0, 0, 0, false)
	switch {
	case r.method == "":
		r.conn.respond(400, r.target)
	case strings.HasPrefix(r.target, "/-/"):
		r.handleControl()
	case r.method != "GET" && r.method != "HEAD":
		s.forwardWrite(r)
	default:
		r.lookup()
	}
}

// lookup looks for a copy.
func (r *request) lookup() {
	s := r.server
	if object, known := s.store.TryLookup(r.key); known {
		r.lookupDone(object)
		return
	}
	ok := s.disk.Submit(func() {
		object := s.store.Lookup(r.key)
		s.post(func() { r.lookupDone(object) })
	})
	if !ok { // the disk hangs, or is overloaded: as if nothing were held
		s.stats.WithoutDisk++
		r.lookupDone(nil)
	}
}

// storedResponse is a copy as RFC 9111 looks at it.
func (s *Server) storedResponse(object *store.CachedObject) *httpcache.Response {
	response := &httpcache.Response{Status: 200, Header: http.Header{}, ResponseTime: float64(object.GeneratedAt), RequestTime: float64(object.GeneratedAt), WallTime: time.UnixMilli(object.GeneratedAt)}
	for name, value := range object.Fields {
		response.Header.Set(name, value)
	}
	return response
}

// explicitLifetime is for how long an answer's own head says that it is fresh, ms; 0: it does not.
func explicitLifetime(response *httpcache.Response) int64 {
	if response.Header.Get("Expires") == "" && !strings.Contains(strings.ToLower(strings.Join(response.Header.Values("Cache-Control"), ",")), "max") {
		return 0
	}
	return max(int64(httpcache.Lifetime(response)), 1)
}

// ageUnknown reports whether the age of a copy can't be told. Within this process ages are
// spans of monotonic time. The stored time of a copy of before is only a hint: where it, or
// that of another, lies behind the start by the present clock, the clock was stepped back,
// by nobody knows how much.
func (s *Server) ageUnknown(object *store.CachedObject) bool {
	start := s.startWall.UnixMilli()
	return object.BeforeStart && (object.GeneratedAt > start || s.store.NewestAtStart() > start)
}

// permittedUse is what a copy may be used for: by the age that a router states, or else by what
// its head and the request say.
func (r *request) permittedUse(object *store.CachedObject) httpcache.Use {
	age := float64(r.server.now() - object.GeneratedAt)
	switch {
	case object.PurgesUnknown || r.server.ageUnknown(object):
		return httpcache.Revalidate
	case r.fromClient:
		if object.Lifetime <= 0 && r.header.Get("Cache-Control") == "" && r.header.Get("Pragma") == "" {
			return httpcache.Serve // nothing is said: until it is purged
		}
		return httpcache.Decide(float64(r.server.now()), r.server.storedResponse(object), httpcache.Request{Method: r.method, Header: r.header}, 0)
	case r.attempt.Age > 0 && age > r.attempt.Age, r.attempt.Age <= 0 && object.Lifetime > 0 && age > float64(object.Lifetime):
		return httpcache.Revalidate
	case r.attempt.Renew && r.attempt.Source != "" && object.Lifetime > 0 && age > 0.8*float64(object.Lifetime):
		return httpcache.ServeAndRevalidate
	}
	return httpcache.Serve
}

// revalidateInBackground asks a source about a copy that is served meanwhile, once for all who do.
func (s *Server) revalidateInBackground(req *request) {
	if s.fills[req.key] != nil || s.fillsInFlight >= s.cfg.MaxFills {
		return
	}
	renewal := &request{server: s, conn: &conn{server: s, fd: -1, closed: true}, attempt: req.attempt, fromClient: req.fromClient, method: "GET", target: req.target, key: req.key, header: req.header, background: true}
	s.disk.Submit(func() {
		object := s.store.Lookup(renewal.key)
		s.post(func() {
			switch {
			case object == nil:
			case s.fills[renewal.key] != nil:
				go object.Close()
			default:
				s.stats.Behind++
				renewal.stale = object
				s.startFill(renewal)
			}
		})
	})
}

// serveObject answers with a copy.
func (r *request) serveObject(object *store.CachedObject, cacheStatus fetchheader.CacheStatus) {
	s := r.server
	r.object, r.size = object, object.Size
	cacheStatus.Cache = s.cfg.Name
	if object.Lifetime > 0 {
		cacheStatus.HasTTL, cacheStatus.TTL = true, float64(object.Lifetime-(s.now()-object.GeneratedAt))/1000
	}
	r.sendHead(&object.Meta, object.Size, cacheStatus.String())
}

// variantsField marks, in the place of a copy, that there are several by what askers accept:
// each under the key with its variant behind it. Sources see of an asker's fields only
// Accept-Encoding, so that nothing else can make a difference.
const variantsField = "Spool-Variants"

func (r *request) variant() string {
	if strings.Contains(r.key, "\x00") {
		return ""
	}
	return httpcache.Variant("Accept-Encoding", r.header)
}

func variesByEncoding(vary string) bool {
	return strings.Contains(strings.ToLower(vary), "accept-encoding")
}

// lookupDone goes on with what the store has.
func (r *request) lookupDone(object *store.CachedObject) {
	s := r.server
	if r.ended {
		if object != nil {
			go object.Close()
		}
		return
	}
	if object != nil && object.Fields[variantsField] != "" { // what is held differs by what is accepted
		go object.Close()
		r.key += r.variant()
		r.lookup()
		return
	}
	if object != nil {
		use := r.permittedUse(object)
		if use == httpcache.Unsatisfied {
			go object.Close()
			r.respondEmpty(504, fetchheader.CacheStatus{Fwd: "miss"})
			return
		}
		if use == httpcache.ServeAndRevalidate {
			s.revalidateInBackground(r)
		}
		if use == httpcache.Fetch || use == httpcache.Revalidate {
			if r.stale != nil {
				go r.stale.Close()
			}
			r.stale, object = object, nil // it may be good still, or do where its source fails
		}
	}
	hit := 0.0
	if object != nil {
		hit = 1
	}
	s.hitRatio += (hit - s.hitRatio) * 0.02
	if object != nil {
		s.stats.Hits++
		r.serveObject(object, fetchheader.CacheStatus{Hit: true})
		return
	}
	inFlight := s.fills[r.key]
	if r.attempt.Source == "" && !r.attempt.MayFetch {
		s.stats.Looked++
		r.respondEmpty(504, fetchheader.CacheStatus{Fwd: "miss", Collapsed: inFlight != nil})
		return
	}
	if inFlight != nil && r.attempt.Join && inFlight.joinable() {
		s.stats.Joined++
		r.joined = true
		inFlight.addWaiter(r)
		return
	}
	s.startFill(r)
}

// emit tells who watches.
func (r *request) emit(what string, status int, version, bytes int64, hit bool) {
	r.answered = r.answered || what == "sent"
	if r.server.OnEvent != nil && !r.fromClient && r.method != "" {
		r.server.OnEvent(Event{what, &r.attempt, r.method, r.target, r.key, r.header, status, version, bytes, hit})
	}
}

// respondEmpty is an answer without a copy.
func (r *request) respondEmpty(status int, cacheStatus fetchheader.CacheStatus) {
	if r.ended {
		return
	}
	r.server.stats.Refused++
	r.emit("sent", status, 0, 0, false)
	cacheStatus.Cache = r.server.cfg.Name
	head := http1.AppendStatus(nil, status)
	head = http1.AppendFieldString(head, fetchheader.StatusField, cacheStatus.String())
	head = http1.AppendFieldString(head, fetchheader.LoadField, r.server.loadMetrics())
	head = http1.AppendFieldInt(head, "Content-Length", 0)
	r.conn.writeBuffer = append(append(r.conn.writeBuffer, head...), "\r\n"...)
	r.conn.finishRequest()
}

// loadMetrics is what routers hear with each answer: requests in hand, and the share of hits.
func (s *Server) loadMetrics() string {
	return fetchheader.FormatLoad([]float64{float64(len(s.conns)), s.hitRatio})
}

// sendHead writes an answer's head.
func (r *request) sendHead(meta *store.Meta, size int64, cacheStatus string) {
	r.headSent = true
	statusCode := 200
	if meta.Fields["Content-Range"] != "" {
		statusCode = 206
	}
	r.emit("sent", statusCode, meta.Version, size, r.fill == nil)
	head := http1.AppendStatus(nil, statusCode)
	head = http1.AppendFieldString(head, fetchheader.StatusField, cacheStatus)
	head = http1.AppendFieldString(head, fetchheader.LoadField, r.server.loadMetrics())
	age := max(r.server.now()-meta.GeneratedAt, 0)
	head = http1.AppendFieldString(head, fetchheader.CopyField, fetchheader.CopyVersion{Number: meta.Version, Age: float64(age)}.String())
	head = http1.AppendFieldInt(head, "Age", age/1000)
	for name, value := range meta.Fields {
		head = http1.AppendFieldString(head, name, value)
	}
	head = http1.AppendFieldInt(head, "Content-Length", size)
	if r.conn.closeAfterResponse {
		head = http1.AppendFieldString(head, "Connection", "close")
	}
	r.conn.writeBuffer = append(append(r.conn.writeBuffer, head...), "\r\n"...)
	if r.method == "HEAD" {
		r.conn.finishRequest()
		return
	}
	r.conn.flush()
}

const (
	chunkBytes   = 128 << 10 // read from disk at a time
	maxTurnBytes = 1 << 20   // written for one answer in a turn of the loop
)

// sendMore sends the next bytes, once those before are out.
func (r *request) sendMore() {
	if r.ended || !r.headSent || r.pending || len(r.conn.writeBuffer) > 0 {
		return
	}
	if r.offset >= r.size {
		r.emit("done", 200, 0, r.size, false)
		r.conn.finishRequest()
		return
	}
	if turn := r.server.loop.Turns(); turn != r.burstTurn {
		r.burstTurn, r.burstBytes = turn, 0
	}
	if r.burstBytes >= maxTurnBytes { // others have their turn first
		r.pending = true
		r.server.loop.AfterFunc(0, func() {
			r.pending, r.burstBytes = false, 0
			r.sendMore()
		})
		return
	}
	if r.fill != nil {
		r.fill.sendTo(r)
		return
	}
	r.readObject(r.object, min(r.size-r.offset, chunkBytes))
}

// readObject has a thread read the next bytes of a copy.
func (r *request) readObject(object *store.CachedObject, n int64) {
	if cached := object.TryReadAt(r.server.scratch[:n], r.offset); cached > 0 {
		r.offset += int64(cached)
		r.burstBytes += int64(cached)
		r.conn.write(r.server.scratch[:cached])
		return
	}
	r.pending = true
	offset := r.offset
	ok := r.server.disk.Submit(func() {
		data := make([]byte, n)
		got, err := object.ReadAt(data, offset)
		if int64(got) == n {
			err = nil
		}
		r.server.post(func() { r.readDone(data[:got], err) })
	})
	if !ok { // the disk hangs in the middle of an answer: that is seen by its length
		r.pending = false
		r.server.stats.WithoutDisk++
		r.conn.close()
	}
}

func (r *request) readDone(data []byte, err error) {
	r.pending = false
	if r.ended {
		return
	}
	if err != nil {
		r.server.warn("cache: a copy can't be read: " + err.Error())
		r.conn.close()
		return
	}
	r.offset += int64(len(data))
	r.conn.writeBuffer = append(r.conn.writeBuffer, data...)
	r.conn.flush()
}

// end lets go of what the visit holds.
func (r *request) end() {
	if r.ended {
		return
	}
	r.ended = true
	if !r.answered {
		r.emit("left", 0, 0, 0, false)
	}
	if r.stale != nil {
		go r.stale.Close()
		r.stale = nil
	}
	if r.object != nil {
		go r.object.Close() // the store may wait for a disk that hangs, and the loop must not
		r.object = nil
	}
	if r.fill != nil {
		r.fill.removeWaiter(r)
	}
}

// handleControl is what an operator or the list's purges say.
func (r *request) handleControl() {
	s := r.server
	switch r.target {
	case "/-/purge":
		var params struct {
			Object  string  `json:"object"`
			Group   int32   `json:"group"`
			Tag     string  `json:"tag"`
			Prefix  string  `json:"prefix"`
			Version int64   `json:"version"`
			Made    float64 `json:"made"`
		}
		if err := json.Unmarshal(r.body, &params); err != nil {
			r.conn.respond(400, "a purge is {\"object\": PATH}, group, tag or prefix: "+err.Error())
			return
		}
		purge := store.Purge{Scope: store.ByGroup, Group: params.Group, Version: params.Version}
		switch {
		case params.Object != "":
			purge.Scope, purge.Text = store.ByObject, params.Object
		case params.Tag != "":
			purge.Scope, purge.Text = store.ByTag, params.Tag
		case params.Prefix != "":
			purge.Scope, purge.Text = store.ByPrefix, params.Prefix
		}
		done := func(number uint64, err error) {
			if r.ended {
				return
			}
			if err != nil {
				r.conn.respond(500, err.Error())
				return
			}
			r.conn.respond(200, fmt.Sprintf("{\"number\":%d,\"made\":%v}\n", number, strconv.FormatFloat(params.Made, 'f', -1, 64)))
		}
		if !s.disk.Submit(func() {
			number, err := s.store.Purge(purge)
			s.post(func() { done(number, err) })
		}) {
			r.conn.respond(503, "the disk does not answer: the purge is not acknowledged; send it again")
		}
	case "/-/caught-up":
		if !s.disk.Submit(func() {
			s.store.PurgesCaughtUp()
			s.post(func() {
				if !r.ended {
					r.conn.respond(200, "")
				}
			})
		}) {
			r.conn.respond(503, "the disk does not answer: send it again")
		}
	case "/-/state":
		state := map[string]any{"name": s.cfg.Name, "fills": s.fillsInFlight, "stats": s.stats, "found": s.Recovered, "hung": s.disk.Hung(),
			"in_bytes": s.stats.In, "out_bytes": s.stats.Out, "hits": s.stats.Hits, "misses": s.stats.Looked + s.stats.Fills}
		respond := func() {
			if encoded, err := json.Marshal(state); err == nil && !r.ended {
				r.conn.respond(200, string(encoded)+"\n")
			}
		}
		if !s.disk.Submit(func() {
			state["copies"], state["bytes"] = s.store.Usage()
			state["store"] = s.store.Counts()
			status := s.store.Status()
			state["disk"], state["found"] = describeDisk(status), status.Found
			s.post(respond)
		}) {
			respond()
		}
	default:
		r.conn.respond(404, "known are /-/purge and /-/state\n")
	}
}

// diskState is how the disk is doing, as GET /-/state tells it.
type diskState struct {
	Fault              string `json:"fault,omitempty"` // the call that failed
	File               string `json:"file,omitempty"`
	Cause              string `json:"cause,omitempty"`
	Since              string `json:"since,omitempty"` // RFC 3339
	FaultMillis        int64  `json:"for_ms,omitempty"`
	LogsUnread         bool   `json:"unread"`     // nothing of before is given out: the logs could not be read yet
	PurgesDurable      bool   `json:"purges"`     // they can be acknowledged
	UnreadableSegments int    `json:"unreadable"` // segments whose copies are not given out for now
}

func describeDisk(status store.Status) diskState {
	out := diskState{LogsUnread: status.LogsUnread, PurgesDurable: status.PurgesDurable, UnreadableSegments: status.UnreadableSegments}
	if fault := status.Fault; fault != nil {
		out.Fault, out.File, out.Since, out.FaultMillis = fault.Op, fault.File, fault.Since.UTC().Format(time.RFC3339), status.FaultDuration.Milliseconds()
		out.Cause = fault.Err.Error()
	}
	return out
}

// storable reports whether an answer may be kept, by RFC 9111 and the attempt.
func (r *request) storable(head *http1.Head) bool {
	if r.attempt.Keep < 1 {
		return false
	}
	response := &httpcache.Response{Status: head.Status, Header: http.Header{}}
	if response.Status == 206 {
		response.Status = 200 // a part that is an object of its own, by its range
	}
	for i := range head.Fields {
		response.Header.Add(string(head.Fields[i].Name), string(head.Fields[i].Value))
	}
	_, ok := httpcache.Storable(httpcache.Request{Method: "GET", Header: r.header}, response)
	return ok
}
