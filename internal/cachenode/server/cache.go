// Package server implements a cache or a parent as an HTTP server. It answers requests with
// Spool-Fill (docs/protocol.md) from a store on disk (internal/cachenode/store), or fetches the
// object from the source that the request names: the origin, a parent or another cache. It shares
// the event loop and the HTTP parser with the router.
//
// The server owns the connections to its clients and to sources, and the fills in flight. Routers
// decide where an object is looked up, from where it is filled and how old it may be, and send
// these decisions with each attempt. internal/cachenode/httpcache decides which responses may be
// stored. Everything runs on one event loop, except for disk operations, which run on the
// goroutines of store.Threads. The loop waits neither for them nor for the network.
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

// Settings is the content of a settings file. Durations are in ms.
type Settings struct {
	Cache Config `edn:"cache,required"`
}

// Config is the form (cache ...) of a settings file.
type Config struct {
	Place                  config.Place
	Name                   string  `edn:"@,required"`
	Listen                 string  `edn:"listen" def:"127.0.0.1:0"`
	Upstream               string  `edn:"upstream"` // address of the source for fills that name none; for a parent: the origin
	Folder                 string  `edn:"folder,required"`
	CapacityMB             float64 `edn:"mb" def:"1024" min:"0.1"`
	SegmentMB              float64 `edn:"segment-mb" def:"64" min:"0.01"`
	Sync                   string  `edn:"sync" def:"purges" oneof:"purges segments copies"`
	DiskThreads            int     `edn:"threads" def:"4" min:"1"`       // number of threads for disk operations
	DiskQueue              int     `edn:"queue" def:"512" min:"1"`       // limit of disk operations that wait for a thread
	DiskTimeout            float64 `edn:"patience" def:"2000" min:"10"`  // duration of an operation after which the disk is considered hung
	MaxFills               int     `edn:"fills" def:"256" min:"1"`       // limit of fills in flight
	FillTimeout            float64 `edn:"fill-wait" def:"2000" min:"10"` // time without data from a source after which a fill fails
	ConnectTimeout         float64 `edn:"connect" def:"500" min:"10"`    // for connections to sources
	IdleTimeout            float64 `edn:"idle" def:"60000" min:"10"`     // time without a request after which a client connection is closed
	MaxConns               int     `edn:"connections" def:"20000" min:"1"`
	MaxBufferedBytes       int     `edn:"held" def:"1048576" min:"65536"` // limit per fill of the bytes in memory that wait for the disk or a client
	MaxBodyBytes           int     `edn:"body" def:"1048576" min:"0"`     // limit of a request body
	CompleteAbandonedFills bool    `edn:"run-on"`                         // continue a fill after all its clients have left
}

// Server is a running cache.
type Server struct {
	cfg           Config
	loop          *eventloop.Loop
	listener      eventloop.Listener
	listenFD      int
	addr          string // of the listening socket
	store         *store.Store
	disk          *store.Threads
	Recovered     store.Recovered // what the store has found on disk at the start
	warn          func(string)    // receives messages for the operator
	startWall     time.Time       // wall-clock time at the start
	retrying      bool            // a thread is retrying what failed on the disk
	startedAt     time.Time       // the same moment as startWall, on the monotonic clock
	conns         map[*conn]struct{}
	fills         map[string]*fill // by key: the fill that requests may join
	fillsInFlight int
	idleSources   map[string][]*sourceConn // by address
	scratch       []byte                   // for reads on the loop
	hitRatio      float64                  // moving average
	stats         Stats
	stopped       chan struct{} // closed when the loop has stopped

	// OnEvent, if set, is called on the loop for each Event. It must be set before Run.
	OnEvent func(Event)
}

// Event is a step in the handling of an attempt, for Server.OnEvent.
type Event struct {
	What    string // recv: a request was received; sent: its response was begun; done: all of the response was sent; left: the client closed the connection before that
	Attempt *fetchheader.Attempt
	Method  string
	Target  string
	Key     string // key of the cached object: target and range
	Header  http.Header
	Status  int
	Version int64
	Bytes   int64
	Hit     bool
}

// Stats has counters since the start. GET /-/state returns them under their field names.
type Stats struct {
	Requests    uint64
	Hits        uint64
	Looked      uint64 // misses of requests that allow no fill
	Fills       uint64 // fills started
	Joined      uint64 // requests that joined a fill in flight
	Refused     uint64 // responses without an object
	Kept        uint64 // objects stored by fills
	WithoutDisk uint64 // operations that went on without the disk, because it hung, was overloaded or failed

	Behind  uint64 // validations in the background
	Renewed uint64 // stored objects that their source has confirmed
	Stale   uint64 // stale objects served because their source failed

	In, Out int64 // bytes received from sources, and sent to clients
}

// Start opens the store and begins to listen. Requests are served by Run. warn, if not nil,
// receives messages for the operator.
func Start(cfg Config, warn func(string)) (*Server, error) {
	return StartWithFS(store.Dir(cfg.Folder), cfg, warn)
}

// StartWithFS is like Start, with the store in fs instead of cfg.Folder. Fault injection uses it.
func StartWithFS(fs store.FS, cfg Config, warn func(string)) (*Server, error) {
	return start(cfg, warn, fs, wallclock.Now)
}

// start is like StartWithFS, with a wall clock that tests can replace. It reads the clock once.
func start(cfg Config, warn func(string), fs store.FS, wallClock func() time.Time) (*Server, error) {
	if warn == nil {
		warn = func(string) {}
	}
	sync := map[string]store.Sync{"segments": store.SyncSegments, "copies": store.SyncObjects}[cfg.Sync]
	s := &Server{cfg: cfg, warn: warn, conns: map[*conn]struct{}{}, fills: map[string]*fill{}, idleSources: map[string][]*sourceConn{},
		scratch: make([]byte, 256<<10), stopped: make(chan struct{}), startedAt: time.Now(), startWall: wallClock()}
	opened, recovered, err := store.Open(fs, store.Options{MaxBytes: int64(cfg.CapacityMB * (1 << 20)), SegmentBytes: int64(cfg.SegmentMB * (1 << 20)), Sync: sync, Warn: warn, AgeClock: s.now})
	if err != nil {
		return nil, err
	}
	s.store, s.Recovered = opened, recovered
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

// Intercept replaces the system calls on the server's sockets, for fault injection; nil restores
// those of the kernel. It must be called before Run.
func (s *Server) Intercept(calls eventloop.Syscalls) { s.loop.Intercept(calls) }

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// Stop makes Run return. It may be called from any goroutine.
func (s *Server) Stop() { s.loop.Stop() }

// Run serves requests until Stop is called. It then closes all connections and the store, which
// syncs the stored objects.
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

// diskRetryMillis is the interval of the calls of Store.Retry, in ms. The store itself decides,
// by its backoff, whether to retry.
const diskRetryMillis = 100

// retryDisk lets the store retry what failed on the disk, on a thread, and schedules its next call.
func (s *Server) retryDisk() {
	if s.store.Faulty() && !s.retrying {
		s.retrying = s.disk.Submit(func() {
			s.store.Retry()
			s.post(func() { s.retrying = false })
		})
	}
	s.loop.AfterFunc(diskRetryMillis, s.retryDisk)
}

// now returns the time from which the ages of objects are computed, in Unix ms: the wall clock
// at the start plus the monotonic time since then. It never goes back.
func (s *Server) now() int64 { return s.startWall.UnixMilli() + time.Since(s.startedAt).Milliseconds() }

// post runs f on the loop. It is called on other goroutines, and waits while the queue of the
// loop is full.
func (s *Server) post(f func()) {
	for s.loop.Post(f) == eventloop.ErrFull {
		select {
		case <-s.stopped:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// State returns the counters. It may be called from any goroutine.
func (s *Server) State() (out Stats, err error) {
	err = s.loop.Call(5*time.Second, func() { out = s.stats })
	return out, err
}

// accept takes a new connection, or closes it if there are MaxConns already.
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

// maxPipelinedBytes limits the pipelined input that a connection buffers while it handles a
// request. Above the limit it does not read until the request is answered.
const maxPipelinedBytes = 64 << 10

// conn is a connection from a client: a router, another cache, or a user.
type conn struct {
	server             *Server
	fd                 int
	readBuffer         []byte
	writeBuffer        []byte
	head               http1.Head
	body               http1.Body
	request            *request // the current request; nil between requests
	closeAfterResponse bool
	closed             bool
	headParsed         bool // the head of the current request is parsed, its body is still being received
	idleTimer          eventloop.Timer
}

// OnReady implements eventloop.Handler.
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

// processInput parses the received bytes and handles the requests in them, one at a time.
func (c *conn) processInput() {
	for !c.closed && len(c.readBuffer) > 0 {
		if c.request != nil && !c.headParsed {
			if len(c.readBuffer) > maxPipelinedBytes {
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

// respond answers the current request with a short text.
func (c *conn) respond(status int, body string) {
	head := http1.AppendStatus(nil, status)
	head = http1.AppendFieldInt(head, "Content-Length", int64(len(body)))
	if c.closeAfterResponse {
		head = http1.AppendFieldString(head, "Connection", "close")
	}
	c.writeBuffer = append(append(append(c.writeBuffer, head...), "\r\n"...), body...)
	c.finishRequest()
}

// finishRequest ends the current request, sends what is left of its response, and goes on with
// the next one.
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

// write sends data. What the socket does not take now is copied to writeBuffer.
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

// flush sends the contents of writeBuffer. When all of it is sent, it continues the response, or
// closes the connection after the last one.
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

// request is a request that is being handled.
type request struct {
	server        *Server
	conn          *conn
	attempt       fetchheader.Attempt
	fromClient    bool   // the request has no Spool-Fill: neither a router nor a cache has sent it
	method        string // empty: the request is invalid, and target is the error
	target        string
	key           string              // of the cached object: target and range, then the variant, if any
	header        http.Header         // only fields that the server uses
	body          []byte              // received so far
	object        *store.CachedObject // stored object that is being sent; nil during a fill
	stale         *store.CachedObject // stored object that must be validated before it is served
	unconditional bool                // stale objects were validated once: the next fill fetches the whole object
	fill          *fill               // fill that the request waits for
	offset        int64               // number of body bytes sent or in writeBuffer
	size          int64               // of the response body
	headSent      bool
	pending       bool // a disk read or a later turn of the loop will continue the response
	ended         bool
	joined        bool   // the request has joined a fill of another request
	burstTurn     uint64 // last turn of the loop in which the request sent data
	burstBytes    int64  // bytes sent in that turn
	answered      bool   // the response has begun
	background    bool   // the request validates an object in the background, and has no client
}

// newRequest returns a request for the parsed head of c. It copies the fields that it keeps,
// since the head refers to the read buffer.
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
		req.method = "" // answered with 400 after its body is received
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

// lookup looks up the object of the request in the store, on a thread if that may wait.
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
	if !ok { // the disk hangs or is overloaded: continue as on a miss
		s.stats.WithoutDisk++
		r.lookupDone(nil)
	}
}

// storedResponse returns a stored object as a response in the terms of RFC 9111.
func (s *Server) storedResponse(object *store.CachedObject) *httpcache.Response {
	response := &httpcache.Response{Status: 200, Header: http.Header{}, ResponseTime: float64(object.GeneratedAt), RequestTime: float64(object.GeneratedAt), WallTime: time.UnixMilli(object.GeneratedAt)}
	for name, value := range object.Fields {
		response.Header.Set(name, value)
	}
	return response
}

// explicitLifetime returns the freshness lifetime that the header of a response states, in ms,
// and 0 if it states none.
func explicitLifetime(response *httpcache.Response) int64 {
	if response.Header.Get("Expires") == "" && !strings.Contains(strings.ToLower(strings.Join(response.Header.Values("Cache-Control"), ",")), "max") {
		return 0
	}
	return max(int64(httpcache.Lifetime(response)), 1)
}

// ageUnknown reports whether the age of an object can't be determined. Ages of objects that were
// stored since the start are differences of monotonic time. That of an object stored before the
// start depends on the wall clock: if the object, or any other, seems to be generated after the
// start, the clock was set back by an unknown amount.
func (s *Server) ageUnknown(object *store.CachedObject) bool {
	start := s.startWall.UnixMilli()
	return object.Unconfirmed && (object.GeneratedAt > start || s.store.NewestAtStart() > start)
}

// renewAfter is the share of its lifetime after which an object is validated in the background,
// if the router allows it.
const renewAfter = 0.8

// permittedUse returns how an object may be used for the request: by the maximum age that the
// router states, or else by the headers of the object and of the request.
func (r *request) permittedUse(object *store.CachedObject) httpcache.Use {
	age := float64(r.server.now() - object.GeneratedAt)
	switch {
	case object.PurgesUnknown || r.server.ageUnknown(object):
		return httpcache.Revalidate
	case r.fromClient:
		if object.Lifetime <= 0 && r.header.Get("Cache-Control") == "" && r.header.Get("Pragma") == "" {
			return httpcache.Serve // no freshness information: fresh until it is purged
		}
		return httpcache.Decide(float64(r.server.now()), r.server.storedResponse(object), httpcache.Request{Method: r.method, Header: r.header}, 0)
	case r.attempt.Age > 0 && age > r.attempt.Age, r.attempt.Age <= 0 && object.Lifetime > 0 && age > float64(object.Lifetime):
		return httpcache.Revalidate
	case r.attempt.Renew && r.attempt.Source != "" && object.Lifetime > 0 && age > renewAfter*float64(object.Lifetime):
		return httpcache.ServeAndRevalidate
	}
	return httpcache.Serve
}

// revalidateInBackground validates the object of a request with its source while the object is
// served, unless a fill of it is in flight already.
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

// serveObject sends a stored object.
func (r *request) serveObject(object *store.CachedObject, cacheStatus fetchheader.CacheStatus) {
	s := r.server
	r.object, r.size = object, object.Size
	cacheStatus.Cache = s.cfg.Name
	if object.Lifetime > 0 {
		cacheStatus.HasTTL, cacheStatus.TTL = true, float64(object.Lifetime-(s.now()-object.GeneratedAt))/1000
	}
	r.sendHead(&object.Meta, object.Size, cacheStatus.String())
}

// variantsField is a field of the marker that is stored under the key of an object with several
// variants. Each variant is stored under that key followed by the suffix that request.variant
// returns. Variants differ by Accept-Encoding only, since the server sends no other field to sources
// that may select one.
const variantsField = "Spool-Variants"

// variant returns the suffix of the key under which the variant for the request is stored, and ""
// if the key has a suffix already.
func (r *request) variant() string {
	if strings.Contains(r.key, "\x00") {
		return ""
	}
	return httpcache.Variant("Accept-Encoding", r.header)
}

// variesByEncoding reports whether a Vary field lists Accept-Encoding.
func variesByEncoding(vary string) bool {
	return strings.Contains(strings.ToLower(vary), "accept-encoding")
}

// hitRatioWeight is the weight of one lookup in the moving average Server.hitRatio.
const hitRatioWeight = 0.02

// lookupDone continues a request with the result of its lookup; nil is a miss. It serves the
// object, or joins or starts a fill.
func (r *request) lookupDone(object *store.CachedObject) {
	s := r.server
	if r.ended {
		if object != nil {
			go object.Close()
		}
		return
	}
	if object != nil && object.Fields[variantsField] != "" { // a marker: look up the variant
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
			r.stale, object = object, nil // it may still be valid, or be served if its source fails
		}
	}
	hit := 0.0
	if object != nil {
		hit = 1
	}
	s.hitRatio += (hit - s.hitRatio) * hitRatioWeight
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

// emit calls OnEvent, unless the request is invalid or was not sent by a router or a cache. The
// arguments are the fields of Event; those that a step does not have are 0 or false.
func (r *request) emit(what string, status int, version, bytes int64, hit bool) {
	r.answered = r.answered || what == "sent"
	if r.server.OnEvent != nil && !r.fromClient && r.method != "" {
		r.server.OnEvent(Event{what, &r.attempt, r.method, r.target, r.key, r.header, status, version, bytes, hit})
	}
}

// respondEmpty sends a response without an object.
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

// loadMetrics returns the load report for routers that each response contains: the number of client
// connections and the hit ratio.
func (s *Server) loadMetrics() string {
	return fetchheader.FormatLoad([]float64{float64(len(s.conns)), s.hitRatio})
}

// sendHead sends the head of a response with an object, and begins to send the body.
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
	chunkBytes   = 128 << 10 // limit of a read from the disk
	maxTurnBytes = 1 << 20   // limit of the bytes that one response sends in a turn of the loop
)

// sendMore sends the next bytes of the body, if those before have left writeBuffer.
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
	if r.burstBytes >= maxTurnBytes { // continue in the next turn
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

// readObject reads the next n bytes of an object and sends them. It reads them on a thread unless
// the kernel has them in memory.
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
	if !ok { // the disk hangs in the middle of a response: the client sees that it is shorter than Content-Length
		r.pending = false
		r.server.stats.WithoutDisk++
		r.conn.close()
	}
}

// readDone sends the bytes that a thread has read.
func (r *request) readDone(data []byte, err error) {
	r.pending = false
	if r.ended {
		return
	}
	if err != nil {
		r.server.warn(fmt.Sprintf("cache: reading stored object %.80q at offset %d failed: %v; the connection is closed", r.key, r.offset, err))
		r.conn.close()
		return
	}
	r.offset += int64(len(data))
	r.conn.writeBuffer = append(r.conn.writeBuffer, data...)
	r.conn.flush()
}

// end releases the objects of the request and removes it from its fill. It has no effect if the
// request has ended already.
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
		go r.object.Close() // on another goroutine: Close waits for the store's lock, which may be held while the disk hangs
		r.object = nil
	}
	if r.fill != nil {
		r.fill.removeWaiter(r)
	}
}

// handleControl handles requests to /-/: purges, and the state for operators.
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
			r.conn.respond(400, "malformed purge, want {\"object\": PATH}, or group, tag or prefix: "+err.Error())
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
			r.conn.respond(503, "the disk hangs or is overloaded: the purge is not acknowledged; send it again")
		}
	case "/-/caught-up":
		if !s.disk.Submit(func() {
			s.store.MarkPurgesCaughtUp()
			s.post(func() {
				if !r.ended {
					r.conn.respond(200, "")
				}
			})
		}) {
			r.conn.respond(503, "the disk hangs or is overloaded: send the request again")
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
		r.conn.respond(404, "not found; the control paths are /-/purge, /-/caught-up and /-/state\n")
	}
}

// diskState is the state of the disk in the answer to GET /-/state.
type diskState struct {
	Fault              string `json:"fault,omitempty"` // operation that failed
	File               string `json:"file,omitempty"`
	Cause              string `json:"cause,omitempty"`
	Since              string `json:"since,omitempty"` // RFC 3339
	FaultMillis        int64  `json:"for_ms,omitempty"`
	LogsUnread         bool   `json:"unread"`     // objects stored before the start are not served: the logs could not be read yet
	PurgesDurable      bool   `json:"purges"`     // purges can be acknowledged
	UnreadableSegments int    `json:"unreadable"` // number of segments whose objects are not served for now
}

func describeDisk(status store.Status) diskState {
	out := diskState{LogsUnread: status.LogsUnread, PurgesDurable: status.PurgesDurable, UnreadableSegments: status.UnreadableSegments}
	if fault := status.Fault; fault != nil {
		out.Fault, out.File, out.Since, out.FaultMillis = fault.Op, fault.File, fault.Since.UTC().Format(time.RFC3339), status.FaultDuration.Milliseconds()
		out.Cause = fault.Err.Error()
	}
	return out
}

// storable reports whether a response may be stored, by RFC 9111 and the rank that the attempt
// asks for.
func (r *request) storable(head *http1.Head) bool {
	if r.attempt.Keep < 1 {
		return false
	}
	response := &httpcache.Response{Status: head.Status, Header: http.Header{}}
	if response.Status == 206 {
		response.Status = 200 // a range is stored as an object of its own
	}
	for i := range head.Fields {
		response.Header.Add(string(head.Fields[i].Name), string(head.Fields[i].Value))
	}
	_, ok := httpcache.Storable(httpcache.Request{Method: "GET", Header: r.header}, response)
	return ok
}
