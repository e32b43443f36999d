package platform

import (
	"fmt"

	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/thriftrpc"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/proxy/limits"
	"indigospool/internal/proxy/unixclock"
)

// Server is a router on the platform: its clients call over Thrift, and its members (caches,
// parents and the origin) speak RESP. It may be used only on the event loop's goroutine, except
// for methods whose comment says otherwise. Times are on the loop's clock, in ms.
type Server struct {
	loop       *eventloop.Loop
	config     *Config
	configFile string
	readConfig func(file string) (*Config, error) // ReadConfig, except in tests
	log        *zap.Logger
	counts     Counts

	engine        *engine.Core
	classes       map[string]*spool.Class // the request classes in the settings, by name
	pendingEvents []spool.Event           // events not yet passed to the engine, and the one being handled
	actions       []spool.Action          // actions that the engine returned for the event being handled
	dispatching   bool                    // dispatch is running; events raised meanwhile are queued
	arriving      *request                // the request whose arrival is being dispatched, or nil; it gets the first timer that the engine requests
	tickTimer     eventloop.Timer

	listener          *listener
	codec             *thriftrpc.Codec
	clients           map[*client]struct{}
	requests          map[string]*request // requests in flight, by id
	endedWrites       endedWrites
	pools             map[string]*pool // by id of the member: a cache, a parent or the origin
	connectionLimits  limits.ConnectionQuota
	memberConnections int // member connections that are open or being dialled
	buffers           eventloop.Buffers
	readBuffer        []byte // reused by reads, see borrowReadBuffer; no reference to it may be kept
	unsentBytes       int    // bytes in the output queues of all clients
	bodyBytes         int    // bytes in the bodies of pending and open calls

	readBufferBorrowed bool

	stream       discoveryStream
	platformTime unixclock.Clock // the platform's time, estimated from timestamps in discovery events

	drainStarted  float64 // 0 if the server is not draining
	closeIdleFrom float64 // the time from which idle client connections are closed while draining
	lastAnswerBy  float64 // the time by which the last answer must be written while draining
}

const (
	cleanUpInterval = 200      // ms
	readBufferBytes = 64 << 10 // the most that one read returns
)

// Open reads the configuration file and listens at address, or at the address in the
// configuration if address is empty. Serve runs the server. An error names what could not be
// used: the file, its settings, its endpoint list, or the address.
func Open(configFile, address string, log *zap.Logger) (*Server, error) {
	config, err := ReadConfig(configFile)
	if err != nil {
		return nil, err
	}
	if address == "" {
		address = config.Listen
	}
	server := &Server{
		config:           config,
		configFile:       configFile,
		readConfig:       ReadConfig,
		log:              log,
		codec:            thriftrpc.NewCodec(),
		clients:          map[*client]struct{}{},
		requests:         map[string]*request{},
		endedWrites:      newEndedWrites(),
		pools:            map[string]*pool{},
		connectionLimits: limits.NewConnectionQuota(config.Limits.Sockets),
		readBuffer:       make([]byte, readBufferBytes),
	}
	server.buffers.Keep = server.maxBufferedBytes() / 2 // the pool keeps unused buffers up to half of the limit
	if server.engine, err = engine.NewFromModule(config.settings.Module, config.seed); err != nil {
		return nil, err
	}
	server.indexClasses()
	if server.loop, err = eventloop.New(0); err != nil {
		return nil, err
	}
	server.tickTimer.F = func() { server.dispatch(spool.Timer{}) }
	server.stream.init(server)
	initial, err := decodeKnown(&server.stream.decoder, config) // the discovery events in the configuration
	if err != nil {
		return nil, err
	}
	server.applyEvents(initial)
	if server.listener, err = listen(server, address); err != nil {
		return nil, fmt.Errorf("platform: listen at %s: %w", address, err)
	}
	server.stream.reconnect()
	server.loop.Ticker(cleanUpInterval, server.cleanUp)
	return server, nil
}

// indexClasses rebuilds the index of request classes by name from the current settings.
func (s *Server) indexClasses() {
	s.classes = map[string]*spool.Class{}
	for i := range s.config.settings.Module.Classes {
		class := &s.config.settings.Module.Classes[i]
		s.classes[class.Name] = class
	}
}

// class returns the settings of the named request class, or nil if there is none.
func (s *Server) class(name string) *spool.Class { return s.classes[name] }

// Addr returns the address and port at which the server listens.
func (s *Server) Addr() string { return s.listener.address }

// Serve runs the server until it has drained. It returns the error of the event loop, if any.
func (s *Server) Serve() error { return s.loop.Run() }

// cleanUp closes expired connections. An expired client connection is first shut down for
// writing, and closed by a later call when the client has not closed it in time. One with a
// pending answer is kept until the answer is written. A client that has stopped reading is
// closed at once.
func (s *Server) cleanUp() {
	now := s.loop.Now()
	for c := range s.clients {
		c.activity.OpenRequests = c.openCalls()
		switch {
		case !c.activity.Expired(now):
		case c.activity.ShutdownAt > 0 || c.activity.NotReading(now):
			c.close()
		case !c.answerPending() && eventloop.Idle(c.fd):
			c.shutdownWrite()
		}
	}
	for _, p := range s.pools {
		p.cleanUp(now)
	}
}
