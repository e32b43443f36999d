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
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"indigospool/internal/cachenode/store"
	"indigospool/internal/config"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/fetchheader"
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

	requestBodyBytes int64 // memory for the bodies of all requests

	hitRatio float64 // moving average
	stats    Stats
	stopped  chan struct{} // closed when the loop has stopped

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
	c.idleTimer.F, c.turnTimer.F = c.close, c.processInput
	if s.loop.Add(fd, eventloop.Read, c) != nil {
		unix.Close(fd)
		return
	}
	s.loop.Prioritize(fd)
	s.conns[c] = struct{}{}
	s.loop.Arm(&c.idleTimer, s.cfg.IdleTimeout)
}
