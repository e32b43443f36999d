// Package node is the router on the platform: clients come in by Thrift, caches are
// reached by RESP, and the control feed tells the list and the purges. Bytes become
// events of the decision module, and its actions become bytes again, on the loop, the
// core and the limits that the other front uses too.
//
// It never chooses a cache, a source, a repeat or a refusal, and judges nobody's health:
// it tells the module what happened and carries out what that decides. It writes no
// files and listens at one address only. Clients are in client.go, members in
// upstream.go, the feed in watch.go.
package platform

import (
	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/discovery"
	"indigospool/internal/protocol/thriftrpc"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/proxy/limits"
	"indigospool/internal/proxy/unixclock"
)

// Server is one router. All of it belongs to its loop's goroutine, but for the methods
// that say otherwise.
type Server struct {
	loop       *eventloop.Loop
	config     *Config
	configFile string
	log        *zap.Logger
	engine     *engine.Core

	classes           map[string]*spool.Class
	requests          map[string]*request
	pools             map[string]*pool
	clients           map[*client]struct{}
	codec             *thriftrpc.Codec
	buffers           eventloop.Buffers
	readBuffer        []byte
	connectionLimits  limits.Places
	memberConnections int // connections to members
	unsentBytes       int // bytes that wait for clients

	pendingEvents []spool.Event // what the module is still to hear
	actions       []spool.Action
	dispatching   bool
	arriving      *request // the request that the module hears of now: the timer asked for is its
	tickTimer     eventloop.Timer

	stream       discoveryStream
	platformTime unixclock.Clock // of the platform, by the times that the feed has told
	listener     *listener
	readConfig   func(file string) (*Config, error) // ReadConfig, but for tests

	drainStarted  float64 // since when it drains; 0: it does not
	closeIdleFrom float64 // from when on connections at rest are shut
	lastAnswerBy  float64 // when the last answer is to have been written
	counts        Counts
}

// Open makes a router that listens; Serve runs it.
func Open(configFile, address string, log *zap.Logger) (*Server, error) {
	config, err := ReadConfig(configFile)
	if err != nil {
		return nil, err
	}
	if address == "" {
		address = config.Listen
	}
	server := &Server{config: config, configFile: configFile, log: log, requests: map[string]*request{}, pools: map[string]*pool{},
		clients: map[*client]struct{}{}, codec: thriftrpc.NewCodec(), readConfig: ReadConfig, readBuffer: make([]byte, 64<<10),
		connectionLimits: limits.NewPlaces(config.Limits.Sockets)}
	server.buffers.Keep = server.maxBufferedBytes() / 2
	if server.engine, err = engine.NewBare(config.settings.Module, config.seed); err != nil {
		return nil, err
	}
	server.indexClasses()
	if server.loop, err = eventloop.New(0); err != nil {
		return nil, err
	}
	server.tickTimer.F = func() { server.dispatch(spool.Timer{}) }
	server.stream.decoder = discovery.Decoder{Zones: config.settings.Module.Zones, Kinds: config.settings.Kinds}
	server.stream.server = server
	server.stream.dial = server.loop.Dial
	server.stream.backoff = limits.NewAgain(firstPause, basePause, maxPause, config.seed)
	var known []discovery.Event
	if err := server.stream.decoder.DecodeKnown(config.Known, func(ev discovery.Event) { known = append(known, ev) }); err != nil {
		return nil, err
	}
	server.applyEvents(known)
	if server.listener, err = listen(server, address); err != nil {
		return nil, err
	}
	server.stream.reconnect()
	server.loop.Ticker(cleanUpInterval, server.cleanUp)
	return server, nil
}

const cleanUpInterval = 200 // ms between looks at connections that overstay

func (s *Server) indexClasses() {
	s.classes = map[string]*spool.Class{}
	for i := range s.config.settings.Module.Classes {
		c := &s.config.settings.Module.Classes[i]
		s.classes[c.Name] = c
	}
}

func (s *Server) class(name string) *spool.Class { return s.classes[name] }

// Addr is where the router listens.
func (s *Server) Addr() string { return s.listener.address }

// Serve runs until it has drained.
func (s *Server) Serve() error { return s.loop.Run() }

// sweep closes connections that overstay. One that is owed an answer is not shut before it
// has that, whatever else it does.
func (s *Server) cleanUp() {
	now := s.loop.Now()
	for client := range s.clients {
		switch client.activity.Open = len(client.open) + len(client.pending); {
		case !client.activity.Overstays(now):
		case client.activity.Shut > 0 || client.activity.Ignores(now):
			client.close()
		case !client.owesAnswer() && eventloop.Quiet(client.fd):
			client.shutdownWrite()
		}
	}
	for _, pool := range s.pools {
		pool.cleanUp(now)
	}
}
