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
	f         Config
	l         *eventloop.Loop
	listener  eventloop.Listener
	lfd       int
	addr      string
	st        *store.Store
	disk      *store.Threads
	Recovered store.Recovered
	warn      func(string)
	wall      time.Time // at the start
	mending   bool      // a thread tries again what failed on the disk
	began     time.Time
	conns     map[*conn]struct{}
	flights   map[string]*flight
	filling   int
	spare     map[string][]*source
	buf       []byte
	hits      float64
	stats     Stats
	stopped   chan struct{}

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
func Start(f Config, warn func(string)) (*Server, error) {
	return StartWithFS(store.Dir(f.Folder), f, warn)
}

// StartWithFS is Start with the store in a folder that fault injection gives.
func StartWithFS(folder store.FS, f Config, warn func(string)) (*Server, error) {
	return start(f, warn, folder, wallclock.Now)
}

// start is StartOn by a wall clock that tests replace. The clock is read once.
func start(f Config, warn func(string), folder store.FS, wallClock func() time.Time) (*Server, error) {
	if warn == nil {
		warn = func(string) {}
	}
	sync := map[string]store.Sync{"segments": store.SyncSegments, "copies": store.SyncObjects}[f.Sync]
	st, found, err := store.Open(folder, store.Options{MaxBytes: int64(f.CapacityMB * (1 << 20)), SegmentBytes: int64(f.SegmentMB * (1 << 20)), Sync: sync, Warn: warn})
	if err != nil {
		return nil, err
	}
	s := &Server{f: f, st: st, Recovered: found, warn: warn, conns: map[*conn]struct{}{}, flights: map[string]*flight{}, spare: map[string][]*source{},
		buf: make([]byte, 256<<10), stopped: make(chan struct{}), began: time.Now(), wall: wallClock()}
	if s.l, err = eventloop.New(8192); err != nil {
		st.Close()
		return nil, err
	}
	if s.lfd, s.addr, err = eventloop.Listen(f.Listen); err != nil {
		st.Close()
		return nil, fmt.Errorf("cache: %w", err)
	}
	s.disk = store.NewThreads(f.DiskThreads, f.DiskQueue, time.Duration(f.DiskTimeout)*time.Millisecond)
	return s, nil
}

// Intercept has the system calls on its sockets made by calls, for fault injection; nil has
// them made by the kernel. It is called before Run.
func (s *Server) Intercept(calls eventloop.Syscalls) { s.l.Intercept(calls) }

// Addr is where it listens.
func (s *Server) Addr() string { return s.addr }

// Stop ends it, from any goroutine.
func (s *Server) Stop() { s.l.Stop() }

// Run serves until Stop, and then makes what is kept last.
func (s *Server) Run() error {
	s.listener = eventloop.Listener{PerTurn: 64, Take: s.accepted}
	if err := s.listener.Start(s.l, s.lfd); err != nil {
		return err
	}
	s.l.AfterFunc(mendEvery, s.mend)
	err := s.l.Run()
	close(s.stopped)
	for c := range s.conns {
		unix.Close(c.fd)
	}
	unix.Close(s.lfd)
	s.disk.Close()
	return errors.Join(err, s.st.Close())
}

// mendEvery is how often, in ms, the store is given the occasion to try again what failed;
// whether it is time to is its own to say.
const mendEvery = 100

func (s *Server) mend() {
	if s.st.Faulty() && !s.mending {
		s.mending = s.disk.Submit(func() {
			s.st.Retry()
			s.post(func() { s.mending = false })
		})
	}
	s.l.AfterFunc(mendEvery, s.mend)
}

// now is the time by which copies' ages are told, Unix ms: as the clock was at the start,
// and from there on only forward.
func (s *Server) now() int64 { return s.wall.UnixMilli() + time.Since(s.began).Milliseconds() }

// post has f run on the loop, from a thread.
func (s *Server) post(f func()) {
	for s.l.Post(f) == eventloop.ErrFull {
		select {
		case <-s.stopped:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// State is the counters, from any goroutine.
func (s *Server) State() (out Stats, err error) {
	err = s.l.Call(5*time.Second, func() { out = s.stats })
	return out, err
}

// accepted takes a connection, unless as many are there as may be.
func (s *Server) accepted(fd int) {
	if len(s.conns) >= s.f.MaxConns {
		unix.Close(fd)
		return
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &conn{s: s, fd: fd}
	c.idle.F = c.close
	if s.l.Add(fd, eventloop.Read, c) != nil {
		unix.Close(fd)
		return
	}
	s.conns[c] = struct{}{}
	s.l.Arm(&c.idle, s.f.IdleTimeout)
}

// conn is a connection of a router's or another cache's.
type conn struct {
	s     *Server
	fd    int
	in    []byte
	out   []byte
	head  http1.Head
	body  http1.Body
	v     *visit // in hand; nil between requests
	last  bool
	gone  bool
	taken bool // the head of the request in hand is parsed, its body comes
	idle  eventloop.Timer
}

func (c *conn) OnReady(r eventloop.Ready) {
	if r.Writable() && len(c.out) > 0 {
		c.flush()
	}
	if c.gone || !r.Readable() {
		return
	}
	n, err := c.s.l.Read(c.fd, c.s.buf)
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
	c.in = append(c.in, c.s.buf[:n]...)
	c.next()
}

// next takes what has come.
func (c *conn) next() {
	for !c.gone && len(c.in) > 0 {
		if c.v != nil && !c.taken {
			if len(c.in) > 64<<10 { // requests that wait behind the present one
				c.s.l.Want(c.fd, 0)
			}
			return
		}
		if !c.taken {
			n, err := http1.ParseRequest(c.in, &c.head, http1.Limits{})
			if err != nil {
				c.last = true
				c.answer(400, err.Error())
				return
			}
			if n == 0 {
				return
			}
			c.v = c.s.visit(c)
			if err := c.body.Start(&c.head, int64(c.s.f.MaxBodyBytes)); err != nil {
				c.last = true
				c.answer(413, err.Error())
				return
			}
			c.in = c.in[n:]
			c.taken = true
		}
		for !c.body.Done() && len(c.in) > 0 {
			n, data, err := c.body.Next(c.in)
			if err != nil {
				c.last = true
				c.answer(400, err.Error())
				return
			}
			c.v.content = append(c.v.content, data...)
			if c.in = c.in[n:]; n == 0 {
				return
			}
		}
		if !c.body.Done() {
			return
		}
		c.taken = false
		c.s.l.Disarm(&c.idle)
		c.v.handle()
	}
	if !c.gone && c.taken && c.body.Done() {
		c.taken = false
		c.s.l.Disarm(&c.idle)
		c.v.handle()
	}
	if len(c.in) == 0 {
		c.in = nil
	}
}

// answer is a short answer of the cache's own.
func (c *conn) answer(status int, text string) {
	b := http1.AppendStatus(nil, status)
	b = http1.AppendFieldInt(b, "Content-Length", int64(len(text)))
	if c.last {
		b = http1.AppendFieldString(b, "Connection", "close")
	}
	c.out = append(append(append(c.out, b...), "\r\n"...), text...)
	c.done()
}

// done ends the request in hand.
func (c *conn) done() {
	if v := c.v; v != nil {
		c.v = nil
		v.end()
	}
	c.flush()
	if c.gone {
		return
	}
	if c.last && len(c.out) == 0 {
		c.close()
		return
	}
	c.s.l.Arm(&c.idle, c.s.f.IdleTimeout)
	c.s.l.Want(c.fd, c.want())
	if len(c.in) > 0 && !c.last {
		c.next()
	}
}

func (c *conn) want() eventloop.Interest {
	if len(c.out) > 0 {
		return eventloop.Read | eventloop.Write
	}
	return eventloop.Read
}

// write writes what can be at once, and keeps the rest.
func (c *conn) write(b []byte) {
	if len(c.out) == 0 {
		n, err := c.s.l.Write(c.fd, b)
		if err == nil {
			c.s.stats.Out += int64(n)
			b = b[n:]
		} else if !eventloop.Retryable(err) {
			c.close()
			return
		}
	}
	c.out = append(c.out, b...)
	c.flush()
}

func (c *conn) flush() {
	for len(c.out) > 0 && !c.gone {
		n, err := c.s.l.Write(c.fd, c.out)
		if eventloop.Retryable(err) {
			c.s.l.Want(c.fd, eventloop.Read|eventloop.Write)
			return
		}
		if err != nil {
			c.close()
			return
		}
		c.s.stats.Out += int64(n)
		c.out = c.out[n:]
	}
	if c.gone {
		return
	}
	c.out = nil
	c.s.l.Want(c.fd, eventloop.Read)
	switch {
	case c.v != nil:
		c.v.more()
	case c.last:
		c.close()
	}
}

func (c *conn) close() {
	if c.gone {
		return
	}
	c.gone = true
	c.s.l.Forget(&c.idle)
	c.s.l.Remove(c.fd)
	unix.Close(c.fd)
	delete(c.s.conns, c)
	if v := c.v; v != nil {
		c.v = nil
		v.end()
	}
}

// visit is a request in hand.
type visit struct {
	s       *Server
	c       *conn
	a       fetchheader.Attempt
	plain   bool // no Spool-Fill: a user's own request
	method  string
	target  string
	key     string
	fields  http.Header // of the request, that matter
	content []byte
	copy    *store.CachedObject
	old     *store.CachedObject // too old for it, unless its source says otherwise
	whole   bool                // no conditions: it was asked with some already
	fl      *flight
	off     int64
	size    int64
	begun   bool
	busy    bool // a thread reads for it
	over    bool
	joined  bool
	turn    uint64 // of the loop, in which it wrote last
	burst   int64  // bytes in it
	told    bool   // it is answered
	behind  bool   // nobody waits: a copy is renewed behind its answers
}

// visit takes a request's head, which is the connection's buffer's.
func (s *Server) visit(c *conn) *visit {
	h := &c.head
	v := &visit{s: s, c: c, method: string(h.Method), target: string(h.Path()), fields: http.Header{}}
	var fills []string
	for i := range h.Fields {
		name := strings.ToLower(string(h.Fields[i].Name))
		switch name {
		case fillField:
			fills = append(fills, string(h.Fields[i].Value))
		case "range", "x-request-id", "accept-encoding", "cache-control", "idempotency-key", "if-none-match", "if-modified-since", "authorization", "content-type", "surrogate-capability", "host":
			v.fields.Add(name, string(h.Fields[i].Value))
		}
	}
	v.key = v.target
	if r := v.fields.Get("Range"); r != "" {
		v.key += " " + r
	}
	c.last = c.last || h.Close
	if len(fills) == 0 {
		v.plain = true
		v.a = fetchheader.Attempt{Object: v.target, Group: -1, Keep: 1, Join: true, MayFetch: true}
		return v
	}
	var err error
	if v.a, err = fetchheader.ParseAttempt(fills); err != nil {
		v.method = "" // answered 400 once its body is here
		v.target = err.Error()
	}
	return v
}

var fillField = strings.ToLower(fetchheader.FillField)

func (v *visit) handle() {
	s := v.s
	s.stats.Requests++
	v.seen("recv", 0, 0, 0, false)
	switch {
	case v.method == "":
		v.c.answer(400, v.target)
	case strings.HasPrefix(v.target, "/-/"):
		v.control()
	case v.method != "GET" && v.method != "HEAD":
		s.pass(v)
	default:
		v.look()
	}
}

// look looks for a copy.
func (v *visit) look() {
	s := v.s
	if c, known := s.st.TryLookup(v.key); known {
		v.found(c)
		return
	}
	ok := s.disk.Submit(func() {
		c := s.st.Lookup(v.key)
		s.post(func() { v.found(c) })
	})
	if !ok { // the disk hangs, or is overloaded: as if nothing were held
		s.stats.WithoutDisk++
		v.found(nil)
	}
}

// answerOf is a copy as RFC 9111 looks at it.
func (s *Server) answerOf(c *store.CachedObject) *httpcache.Answer {
	a := &httpcache.Answer{Status: 200, Head: http.Header{}, Came: float64(c.Born), Asked: float64(c.Born), Wall: time.UnixMilli(c.Born)}
	for name, value := range c.Fields {
		a.Head.Set(name, value)
	}
	return a
}

// lifetime is for how long an answer's own head says that it is fresh, ms; 0: it does not.
func lifetime(a *httpcache.Answer) int64 {
	if a.Head.Get("Expires") == "" && !strings.Contains(strings.ToLower(strings.Join(a.Head.Values("Cache-Control"), ",")), "max") {
		return 0
	}
	return max(int64(httpcache.Lifetime(a)), 1)
}

// ageUnknown reports whether the age of a copy can't be told. Within this process ages are
// spans of monotonic time. The stored time of a copy of before is only a hint: where it, or
// that of another, lies behind the start by the present clock, the clock was stepped back,
// by nobody knows how much.
func (s *Server) ageUnknown(c *store.CachedObject) bool {
	start := s.wall.UnixMilli()
	return c.BeforeStart && (c.Born > start || s.st.Newest() > start)
}

// use is what a copy may be used for: by the age that a router states, or else by what
// its head and the request say.
func (v *visit) use(c *store.CachedObject) httpcache.Use {
	age := float64(v.s.now() - c.Born)
	switch {
	case c.PurgesUnknown || v.s.ageUnknown(c):
		return httpcache.Revalidate
	case v.plain:
		if c.Fresh <= 0 && v.fields.Get("Cache-Control") == "" && v.fields.Get("Pragma") == "" {
			return httpcache.Serve // nothing is said: until it is purged
		}
		return httpcache.Decide(float64(v.s.now()), v.s.answerOf(c), httpcache.Asking{Method: v.method, Head: v.fields}, 0)
	case v.a.Age > 0 && age > v.a.Age, v.a.Age <= 0 && c.Fresh > 0 && age > float64(c.Fresh):
		return httpcache.Revalidate
	case v.a.Renew && v.a.Source != "" && c.Fresh > 0 && age > 0.8*float64(c.Fresh):
		return httpcache.ServeRenew
	}
	return httpcache.Serve
}

// renewBehind asks a source about a copy that is served meanwhile, once for all who do.
func (s *Server) renewBehind(v *visit) {
	if s.flights[v.key] != nil || s.filling >= s.f.MaxFills {
		return
	}
	d := &visit{s: s, c: &conn{s: s, fd: -1, gone: true}, a: v.a, plain: v.plain, method: "GET", target: v.target, key: v.key, fields: v.fields, behind: true}
	s.disk.Submit(func() {
		c := s.st.Lookup(d.key)
		s.post(func() {
			switch {
			case c == nil:
			case s.flights[d.key] != nil:
				go c.Close()
			default:
				s.stats.Behind++
				d.old = c
				s.fill(d)
			}
		})
	})
}

// serve answers with a copy.
func (v *visit) serve(c *store.CachedObject, h fetchheader.CacheStatus) {
	s := v.s
	v.copy, v.size = c, c.Size
	h.Cache = s.f.Name
	if c.Fresh > 0 {
		h.HasTTL, h.TTL = true, float64(c.Fresh-(s.now()-c.Born))/1000
	}
	v.begin(&c.Meta, c.Size, h.String())
}

// variants marks, in the place of a copy, that there are several by what askers accept:
// each under the key with its variant behind it. Sources see of an asker's fields only
// Accept-Encoding, so that nothing else can make a difference.
const variants = "Spool-Variants"

func (v *visit) variant() string {
	if strings.Contains(v.key, "\x00") {
		return ""
	}
	return httpcache.Variant("Accept-Encoding", v.fields)
}

func varies(vary string) bool {
	return strings.Contains(strings.ToLower(vary), "accept-encoding")
}

// found goes on with what the store has.
func (v *visit) found(c *store.CachedObject) {
	s := v.s
	if v.over {
		if c != nil {
			go c.Close()
		}
		return
	}
	if c != nil && c.Fields[variants] != "" { // what is held differs by what is accepted
		go c.Close()
		v.key += v.variant()
		v.look()
		return
	}
	if c != nil {
		use := v.use(c)
		if use == httpcache.Unsatisfied {
			go c.Close()
			v.refuse(504, fetchheader.CacheStatus{Fwd: "miss"})
			return
		}
		if use == httpcache.ServeRenew {
			s.renewBehind(v)
		}
		if use == httpcache.Fetch || use == httpcache.Revalidate {
			if v.old != nil {
				go v.old.Close()
			}
			v.old, c = c, nil // it may be good still, or do where its source fails
		}
	}
	hit := 0.0
	if c != nil {
		hit = 1
	}
	s.hits += (hit - s.hits) * 0.02
	if c != nil {
		s.stats.Hits++
		v.serve(c, fetchheader.CacheStatus{Hit: true})
		return
	}
	fl := s.flights[v.key]
	if v.a.Source == "" && !v.a.MayFetch {
		s.stats.Looked++
		v.refuse(504, fetchheader.CacheStatus{Fwd: "miss", Collapsed: fl != nil})
		return
	}
	if fl != nil && v.a.Join && fl.joinable() {
		s.stats.Joined++
		v.joined = true
		fl.add(v)
		return
	}
	s.fill(v)
}

// seen tells who watches.
func (v *visit) seen(what string, status int, version, bytes int64, hit bool) {
	v.told = v.told || what == "sent"
	if v.s.OnEvent != nil && !v.plain && v.method != "" {
		v.s.OnEvent(Event{what, &v.a, v.method, v.target, v.key, v.fields, status, version, bytes, hit})
	}
}

// refuse is an answer without a copy.
func (v *visit) refuse(status int, h fetchheader.CacheStatus) {
	if v.over {
		return
	}
	v.s.stats.Refused++
	v.seen("sent", status, 0, 0, false)
	h.Cache = v.s.f.Name
	b := http1.AppendStatus(nil, status)
	b = http1.AppendFieldString(b, fetchheader.StatusField, h.String())
	b = http1.AppendFieldString(b, fetchheader.LoadField, v.s.load())
	b = http1.AppendFieldInt(b, "Content-Length", 0)
	v.c.out = append(append(v.c.out, b...), "\r\n"...)
	v.c.done()
}

// load is what routers hear with each answer: requests in hand, and the share of hits.
func (s *Server) load() string {
	return fetchheader.FormatLoad([]float64{float64(len(s.conns)), s.hits})
}

// begin writes an answer's head.
func (v *visit) begin(m *store.Meta, size int64, status string) {
	v.begun = true
	code := 200
	if m.Fields["Content-Range"] != "" {
		code = 206
	}
	v.seen("sent", code, m.Version, size, v.fl == nil)
	b := http1.AppendStatus(nil, code)
	b = http1.AppendFieldString(b, fetchheader.StatusField, status)
	b = http1.AppendFieldString(b, fetchheader.LoadField, v.s.load())
	age := max(v.s.now()-m.Born, 0)
	b = http1.AppendFieldString(b, fetchheader.CopyField, fetchheader.CopyVersion{Number: m.Version, Age: float64(age)}.String())
	b = http1.AppendFieldInt(b, "Age", age/1000)
	for name, value := range m.Fields {
		b = http1.AppendFieldString(b, name, value)
	}
	b = http1.AppendFieldInt(b, "Content-Length", size)
	if v.c.last {
		b = http1.AppendFieldString(b, "Connection", "close")
	}
	v.c.out = append(append(v.c.out, b...), "\r\n"...)
	if v.method == "HEAD" {
		v.c.done()
		return
	}
	v.c.flush()
}

const (
	step    = 128 << 10 // read from disk at a time
	perTurn = 1 << 20   // written for one answer in a turn of the loop
)

// more sends the next bytes, once those before are out.
func (v *visit) more() {
	if v.over || !v.begun || v.busy || len(v.c.out) > 0 {
		return
	}
	if v.off >= v.size {
		v.seen("done", 200, 0, v.size, false)
		v.c.done()
		return
	}
	if turn := v.s.l.Turns(); turn != v.turn {
		v.turn, v.burst = turn, 0
	}
	if v.burst >= perTurn { // others have their turn first
		v.busy = true
		v.s.l.AfterFunc(0, func() {
			v.busy, v.burst = false, 0
			v.more()
		})
		return
	}
	if v.fl != nil {
		v.fl.feed(v)
		return
	}
	v.read(v.copy, min(v.size-v.off, step))
}

// read has a thread read the next bytes of a copy.
func (v *visit) read(c *store.CachedObject, n int64) {
	if k := c.TryReadAt(v.s.buf[:n], v.off); k > 0 {
		v.off += int64(k)
		v.burst += int64(k)
		v.c.write(v.s.buf[:k])
		return
	}
	v.busy = true
	at := v.off
	ok := v.s.disk.Submit(func() {
		b := make([]byte, n)
		k, err := c.ReadAt(b, at)
		if int64(k) == n {
			err = nil
		}
		v.s.post(func() { v.have(b[:k], err) })
	})
	if !ok { // the disk hangs in the middle of an answer: that is seen by its length
		v.busy = false
		v.s.stats.WithoutDisk++
		v.c.close()
	}
}

func (v *visit) have(b []byte, err error) {
	v.busy = false
	if v.over {
		return
	}
	if err != nil {
		v.s.warn("cache: a copy can't be read: " + err.Error())
		v.c.close()
		return
	}
	v.off += int64(len(b))
	v.c.out = append(v.c.out, b...)
	v.c.flush()
}

// end lets go of what the visit holds.
func (v *visit) end() {
	if v.over {
		return
	}
	v.over = true
	if !v.told {
		v.seen("left", 0, 0, 0, false)
	}
	if v.old != nil {
		go v.old.Close()
		v.old = nil
	}
	if v.copy != nil {
		go v.copy.Close() // the store may wait for a disk that hangs, and the loop must not
		v.copy = nil
	}
	if v.fl != nil {
		v.fl.leave(v)
	}
}

// control is what an operator or the list's purges say.
func (v *visit) control() {
	s := v.s
	switch v.target {
	case "/-/purge":
		var x struct {
			Object  string  `json:"object"`
			Group   int32   `json:"group"`
			Tag     string  `json:"tag"`
			Prefix  string  `json:"prefix"`
			Version int64   `json:"version"`
			Made    float64 `json:"made"`
		}
		if err := json.Unmarshal(v.content, &x); err != nil {
			v.c.answer(400, "a purge is {\"object\": PATH}, group, tag or prefix: "+err.Error())
			return
		}
		w := store.Purge{Scope: store.ByGroup, Group: x.Group, Version: x.Version}
		switch {
		case x.Object != "":
			w.Scope, w.Text = store.ByObject, x.Object
		case x.Tag != "":
			w.Scope, w.Text = store.ByTag, x.Tag
		case x.Prefix != "":
			w.Scope, w.Text = store.ByPrefix, x.Prefix
		}
		done := func(n uint64, err error) {
			if v.over {
				return
			}
			if err != nil {
				v.c.answer(500, err.Error())
				return
			}
			v.c.answer(200, fmt.Sprintf("{\"number\":%d,\"made\":%v}\n", n, strconv.FormatFloat(x.Made, 'f', -1, 64)))
		}
		if !s.disk.Submit(func() {
			n, err := s.st.Purge(w)
			s.post(func() { done(n, err) })
		}) {
			v.c.answer(503, "the disk does not answer: the purge is not acknowledged; send it again")
		}
	case "/-/caught-up":
		if !s.disk.Submit(func() {
			s.st.PurgesCaughtUp()
			s.post(func() {
				if !v.over {
					v.c.answer(200, "")
				}
			})
		}) {
			v.c.answer(503, "the disk does not answer: send it again")
		}
	case "/-/state":
		out := map[string]any{"name": s.f.Name, "fills": s.filling, "stats": s.stats, "found": s.Recovered, "hung": s.disk.Hung(),
			"in_bytes": s.stats.In, "out_bytes": s.stats.Out, "hits": s.stats.Hits, "misses": s.stats.Looked + s.stats.Fills}
		tell := func() {
			if b, err := json.Marshal(out); err == nil && !v.over {
				v.c.answer(200, string(b)+"\n")
			}
		}
		if !s.disk.Submit(func() {
			out["copies"], out["bytes"] = s.st.Usage()
			out["store"] = s.st.Counts()
			disk := s.st.Status()
			out["disk"], out["found"] = describe(disk), disk.Found
			s.post(tell)
		}) {
			tell()
		}
	default:
		v.c.answer(404, "known are /-/purge and /-/state\n")
	}
}

// diskState is how the disk is doing, as GET /-/state tells it.
type diskState struct {
	Fault      string `json:"fault,omitempty"` // the call that failed
	File       string `json:"file,omitempty"`
	Cause      string `json:"cause,omitempty"`
	Since      string `json:"since,omitempty"` // RFC 3339
	ForMS      int64  `json:"for_ms,omitempty"`
	Unread     bool   `json:"unread"`     // nothing of before is given out: the logs could not be read yet
	Purges     bool   `json:"purges"`     // they can be acknowledged
	Unreadable int    `json:"unreadable"` // segments whose copies are not given out for now
}

func describe(status store.Status) diskState {
	out := diskState{Unread: status.LogsUnread, Purges: status.PurgesDurable, Unreadable: status.UnreadableSegments}
	if fault := status.Fault; fault != nil {
		out.Fault, out.File, out.Since, out.ForMS = fault.Op, fault.File, fault.Since.UTC().Format(time.RFC3339), status.FaultDuration.Milliseconds()
		out.Cause = fault.Err.Error()
	}
	return out
}

// storable reports whether an answer may be kept, by RFC 9111 and the attempt.
func (v *visit) storable(h *http1.Head) bool {
	if v.a.Keep < 1 {
		return false
	}
	a := &httpcache.Answer{Status: h.Status, Head: http.Header{}}
	if a.Status == 206 {
		a.Status = 200 // a part that is an object of its own, by its range
	}
	for i := range h.Fields {
		a.Head.Add(string(h.Fields[i].Name), string(h.Fields[i].Value))
	}
	_, ok := httpcache.Storable(httpcache.Asking{Method: "GET", Head: v.fields}, a)
	return ok
}
