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
	"errors"
	"math"
	"os"

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

// request is a client's request in hand.
type request struct {
	thriftrpc.Request
	client   *client // nil once it is over
	sequence int32
	deadline float64 // when its client stops waiting
	write    bool    // as its class was when it came: settings may change meanwhile
	attempts int
	inFlight *attempt

	forgottenAfter float64         // a member has ended a connection that had rested so long, in ms; 0: none has
	timer          eventloop.Timer // the module's
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

// waitingBytes is how much may wait, and be held of what has come in part.
func (s *Server) maxBufferedBytes() int {
	return limits.WaitingBytes(int(s.config.Limits.MemoryMB * (1 << 20)))
}

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

// Drain has the router finish what it has and what still comes, and then end. It may be
// called from any goroutine.
func (s *Server) Drain() {
	s.loop.Post(func() {
		if s.drainStarted == 0 {
			s.drain()
		}
	})
}

// Reload reads the configuration file again. It may be called from any goroutine.
func (s *Server) Reload() {
	s.loop.Post(func() { s.reloadRetrying(reloadAttempts) })
}

// reloadWithin reloads. Where the file cannot be read, which may pass, it is tried again.
func (s *Server) reloadRetrying(tries int) {
	err := s.reload()
	if err == nil {
		return
	}
	s.log.Error("configuration kept as it was", zap.Error(err))
	var unread *os.PathError
	if errors.As(err, &unread) && tries > 1 {
		s.loop.Once(reloadPause, func() { s.reloadRetrying(tries - 1) })
	}
}

const (
	reloadAttempts = 30  // of a file that cannot be read
	reloadPause    = 100 // ms between two
)

func (s *Server) reload() error {
	config, err := s.readConfig(s.configFile)
	if err != nil {
		return err
	}
	decoder := s.stream.decoder
	var known []discovery.Event
	decoder.Zones, decoder.Kinds = config.settings.Module.Zones, config.settings.Kinds
	if err := decoder.DecodeKnown(config.Known, func(ev discovery.Event) { known = append(known, ev) }); err != nil {
		return err
	}
	if s.actions, err = s.engine.ResettleBare(s.loop.Now(), config.settings.Module, s.actions[:0]); err != nil {
		return err
	}
	moved := config.Feed != s.config.Feed
	s.config, s.stream.decoder = config, decoder
	s.indexClasses()
	acts := append([]spool.Action(nil), s.actions...)
	for _, action := range acts {
		s.execute(action)
	}
	s.applyEvents(known)
	if moved {
		s.stream.reconnect()
	}
	s.log.Info("configuration read", zap.String("feed", config.Feed), zap.Uint64("last", decoder.LastNumber))
	return nil
}

// eventsOf hands the events of a configuration on. The times of all of them are looked at
// first: the last tell how old the others are.
func (s *Server) applyEvents(list []discovery.Event) {
	for i := range list {
		s.observeTimes(&list[i])
	}
	for _, ev := range list {
		s.applyEvent(ev)
	}
}

// saw shows the clock an event's times. They may lie behind the beginning of the turn in
// which it is read.
func (s *Server) observeTimes(event *discovery.Event) {
	now := eventloop.Clock()
	if !event.Listed {
		s.platformTime.Saw(float64(event.PurgedAt), now)
	}
	for i := range event.Endpoints {
		if started := event.Endpoints[i].StartedAt; started > 0 {
			s.platformTime.Saw(float64(started), now)
		}
	}
}

// event hands an event of the feed on to the module. How old what it tells is goes by the
// platform's own times alone: the wall clock of this machine may be anywhere.
func (s *Server) applyEvent(event discovery.Event) {
	s.counts.Events++
	s.observeTimes(&event)
	now := s.loop.Now()
	if !event.Listed {
		s.dispatch(spool.Purge{Object: event.Object, Group: event.Group, Age: s.platformTime.Age(float64(event.PurgedAt), now)})
		s.cancelPurged(event.Object, event.Group)
		return
	}
	update := engine.News{Rev: int64(event.Number), How: "step"}
	if event.Full {
		update.How = "full"
	}
	for _, endpoint := range event.Endpoints {
		row := engine.Row{ID: endpoint.ID, Zone: endpoint.Zone, Kind: endpoint.Kind, Cell: endpoint.Cell, State: memberStateNames[endpoint.State],
			Size: endpoint.Weight, Address: endpoint.Address, Start: endpoint.StartedAt}
		if endpoint.StartedAt > 0 {
			row.UpMs = max(s.platformTime.Age(float64(endpoint.StartedAt), now), leastUptime)
		}
		update.Members = append(update.Members, row)
	}
	for _, e := range s.engine.Apply(now, &update).Events {
		s.dispatch(e)
	}
	for _, endpoint := range event.Endpoints {
		s.memberChanged(endpoint.ID)
	}
	if event.Full { // those that it does not name are gone
		s.engine.Members(func(m spool.Member, _ string) { s.memberChanged(m.ID) })
	}
}

// changed has what is kept of a member go by its row: a pool that it no longer fits is
// closed, and one that is gone is forgotten.
func (s *Server) memberChanged(id string) {
	p := s.pools[id]
	if m, ok := s.engine.Member(id); p != nil && (!ok || m.State != spool.Serving || s.engine.Address(id) != p.address) {
		p.close()
	}
	s.engine.Forget(id)
}

const leastUptime = 0.001 // ms: 0 would mean long ago

var memberStateNames = map[string]string{"ready": "serving", "draining": "draining", "gone": "removed"}

// tell gives the module an event and carries out its actions; what these bring about is
// told behind them, in order.
func (s *Server) dispatch(event spool.Event) {
	s.pendingEvents = append(s.pendingEvents, event)
	if s.dispatching {
		return
	}
	s.dispatching = true
	for i := 0; i < len(s.pendingEvents); i++ {
		event := s.pendingEvents[i]
		if request, ok := event.(spool.Request); ok {
			s.arriving = s.requests[request.ID]
		}
		s.actions = s.engine.Handle(s.loop.Now(), event, s.actions[:0])
		for _, action := range s.actions {
			s.execute(action)
		}
		s.arriving = nil
	}
	s.pendingEvents, s.dispatching = s.pendingEvents[:0], false
}

// carry carries out one action.
func (s *Server) execute(action spool.Action) {
	switch a := action.(type) {
	case spool.Send:
		if req := s.requests[a.ID]; req != nil {
			s.startAttempt(req, a)
		}
	case spool.Refuse:
		if req := s.requests[a.ID]; req != nil && req.client != nil {
			s.counts.Rejected++
			s.trace("refused", req, zap.Float64("after", a.After))
			req.client.answer(req, s.codec.Rejected(req.sequence, math.Floor(a.After)))
		}
	case spool.Fail:
		if req := s.requests[a.ID]; req != nil && req.client != nil {
			s.counts.Failed++
			s.trace("failed", req)
			req.client.answer(req, s.codec.Failed(req.sequence))
		}
	case spool.Cancel:
		if req := s.requests[a.ID]; req != nil && req.inFlight != nil && req.inFlight.number == a.Attempt {
			req.inFlight.abandon(spool.Cancelled)
		}
	case spool.Wake:
		s.setTimer(a)
	}
}

func (s *Server) setTimer(wake spool.Wake) {
	token := wake.Token
	switch {
	case token == 0:
		s.loop.Arm(&s.tickTimer, wake.In)
	case s.arriving != nil && s.arriving.timer.F == nil:
		s.arriving.timer.F = func() { s.dispatch(spool.Timer{Token: token}) }
		s.loop.Arm(&s.arriving.timer, wake.In)
	default:
		s.loop.Once(wake.In, func() { s.dispatch(spool.Timer{Token: token}) })
	}
}

// take hands a client's request to the module. Its time counts from the earliest moment at
// which its last byte may have come: it may have lain unread for a long turn of the loop.
func (s *Server) startRequest(c *client, sequence int32, call thriftrpc.Request, arrivedAfter float64) {
	req := &request{Request: call, client: c, sequence: sequence, deadline: arrivedAfter + call.TimeLeft, write: s.classes[call.Class].Write}
	if s.drainStarted > 0 {
		req.deadline = min(req.deadline, s.lastAnswerBy-drainInterval)
	}
	s.requests[call.ID], c.open[sequence] = req, req
	s.counts.Requests++
	s.trace("taken", req, zap.String("class", call.Class), zap.Float64("wait", call.TimeLeft), zap.String("once", call.IdempotencyKey), zap.Int("fd", c.fd))
	s.dispatch(spool.Request{ID: call.ID, Class: call.Class, Object: call.Key, Deadline: req.deadline, Group: call.Group,
		Part: call.Part, Retry: call.Retry, Write: req.write})
}

// trace logs a step of a request's way, where that is asked for.
func (s *Server) trace(message string, req *request, fields ...zap.Field) {
	if e := s.log.Check(zap.DebugLevel, message); e != nil {
		e.Write(append(fields, zap.String("id", req.ID), zap.Float64("left", req.deadline-s.loop.Now()))...)
	}
}

// over ends a request towards its client; it is forgotten when nothing is out for it.
func (s *Server) endForClient(r *request) {
	if r.client != nil {
		delete(r.client.open, r.sequence)
		r.client = nil
	}
	if r.inFlight == nil {
		s.loop.Forget(&r.timer)
		if s.requests[r.ID] == r {
			delete(s.requests, r.ID)
		}
	}
}

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
