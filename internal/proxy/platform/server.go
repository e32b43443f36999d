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

// Server is one router on the platform. All of it belongs to its loop's goroutine, except
// for the methods that say otherwise. Times are on the loop's clock, in ms.
type Server struct {
	loop       *eventloop.Loop
	config     *Config
	configFile string
	readConfig func(file string) (*Config, error) // ReadConfig, except in tests
	log        *zap.Logger
	counts     Counts

	engine        *engine.Core
	classes       map[string]*spool.Class // of the settings, by name
	pendingEvents []spool.Event           // that the router has not handled yet
	actions       []spool.Action          // of the event that is being handled
	dispatching   bool
	arriving      *request // that the event being handled begins: the next timer is its own
	tickTimer     eventloop.Timer

	listener          *listener
	codec             *thriftrpc.Codec
	clients           map[*client]struct{}
	requests          map[string]*request // in flight, by id
	pools             map[string]*pool    // by the member's id
	connectionLimits  limits.ConnectionQuota
	memberConnections int // open, or being dialled
	buffers           eventloop.Buffers
	readBuffer        []byte // of one read; nothing keeps it
	unsentBytes       int    // in the clients' output

	stream       discoveryStream
	platformTime unixclock.Clock // the platform's time, by the times in discovery events

	drainStarted  float64 // 0: it is not draining
	closeIdleFrom float64 // from when on connections at rest are closed
	lastAnswerBy  float64 // when the last answer is to have been written
}

const (
	cleanUpInterval = 200      // ms between looks at connections that overstay
	readBufferBytes = 64 << 10 // that one read takes at most
)

// Open reads the configuration file and listens at address, or at the configuration's own
// where address is empty. Serve runs the server. An error says what could not be used: the
// file, its settings, the endpoint list in it, or the address.
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
		pools:            map[string]*pool{},
		connectionLimits: limits.NewConnectionQuota(config.Limits.Sockets),
		readBuffer:       make([]byte, readBufferBytes),
	}
	server.buffers.Keep = server.maxBufferedBytes() / 2
	if server.engine, err = engine.NewFromModule(config.settings.Module, config.seed); err != nil {
		return nil, err
	}
	server.indexClasses()
	if server.loop, err = eventloop.New(0); err != nil {
		return nil, err
	}
	server.tickTimer.F = func() { server.dispatch(spool.Timer{}) }
	server.stream.init(server)
	known, err := decodeKnown(&server.stream.decoder, config)
	if err != nil {
		return nil, err
	}
	server.applyEvents(known)
	if server.listener, err = listen(server, address); err != nil {
		return nil, fmt.Errorf("platform: listen at %s: %w", address, err)
	}
	server.stream.reconnect()
	server.loop.Ticker(cleanUpInterval, server.cleanUp)
	return server, nil
}

// indexClasses has class answer by the settings as they are now.
func (s *Server) indexClasses() {
	s.classes = map[string]*spool.Class{}
	for i := range s.config.settings.Module.Classes {
		class := &s.config.settings.Module.Classes[i]
		s.classes[class.Name] = class
	}
}

// class is the settings of a class; nil: there is no such class.
func (s *Server) class(name string) *spool.Class { return s.classes[name] }

// Addr is the address and port at which the server listens.
func (s *Server) Addr() string { return s.listener.address }

// Serve runs the server until it has drained. An error is one of the event loop.
func (s *Server) Serve() error { return s.loop.Run() }

// cleanUp closes connections that overstay. One that is owed an answer is not shut down
// before it has that, whatever else it does, unless it takes nothing of what waits for it.
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
