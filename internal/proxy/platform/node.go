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
	l    *eventloop.Loop
	cfg  *Config
	file string
	log  *zap.Logger
	core *engine.Core

	classes map[string]*spool.Class
	reqs    map[string]*request
	pools   map[string]*pool
	clients map[*client]struct{}
	codec   *thriftrpc.Codec
	bufs    eventloop.Buffers
	scratch []byte
	places  limits.Places
	conns   int // connections to members
	waiting int // bytes that wait for clients

	events []spool.Event // what the module is still to hear
	acts   []spool.Action
	busy   bool
	born   *request // the request that the module hears of now: the timer asked for is its
	beat   eventloop.Timer

	watch      watch
	clock      unixclock.Clock // of the platform, by the times that the feed has told
	listener   *listener
	readConfig func(file string) (*Config, error) // ReadConfig, but for tests

	drained float64 // since when it drains; 0: it does not
	leaveAt float64 // from when on connections at rest are shut
	goneBy  float64 // when the last answer is to have been written
	stats   Counts
}

// request is a client's request in hand.
type request struct {
	thriftrpc.Request
	c     *client // nil once it is over
	seq   int32
	until float64 // when its client stops waiting
	write bool    // as its class was when it came: settings may change meanwhile
	tries int
	out   *attempt

	rested float64         // a member has ended a connection that had rested so long, in ms; 0: none has
	timer  eventloop.Timer // the module's
}

// Open makes a router that listens; Serve runs it.
func Open(file, address string, log *zap.Logger) (*Server, error) {
	cfg, err := ReadConfig(file)
	if err != nil {
		return nil, err
	}
	if address == "" {
		address = cfg.Listen
	}
	n := &Server{cfg: cfg, file: file, log: log, reqs: map[string]*request{}, pools: map[string]*pool{},
		clients: map[*client]struct{}{}, codec: thriftrpc.NewCodec(), readConfig: ReadConfig, scratch: make([]byte, 64<<10),
		places: limits.NewPlaces(cfg.Limits.Sockets)}
	n.bufs.Keep = n.waitingBytes() / 2
	if n.core, err = engine.NewBare(cfg.settings.Module, cfg.seed); err != nil {
		return nil, err
	}
	n.setClasses()
	if n.l, err = eventloop.New(0); err != nil {
		return nil, err
	}
	n.beat.F = func() { n.tell(spool.Timer{}) }
	n.watch.reader = discovery.Decoder{Zones: cfg.settings.Module.Zones, Kinds: cfg.settings.Kinds}
	n.watch.node = n
	n.watch.dial = n.l.Dial
	n.watch.tries = limits.NewAgain(feedFirst, feedBase, feedMost, cfg.seed)
	var known []discovery.Event
	if err := n.watch.reader.DecodeKnown(cfg.Known, func(ev discovery.Event) { known = append(known, ev) }); err != nil {
		return nil, err
	}
	n.eventsOf(known)
	if n.listener, err = listen(n, address); err != nil {
		return nil, err
	}
	n.watch.connect()
	n.l.Ticker(sweepSpan, n.sweep)
	return n, nil
}

const sweepSpan = 200 // ms between looks at connections that overstay

// waitingBytes is how much may wait, and be held of what has come in part.
func (n *Server) waitingBytes() int {
	return limits.WaitingBytes(int(n.cfg.Limits.MemoryMB * (1 << 20)))
}

func (n *Server) setClasses() {
	n.classes = map[string]*spool.Class{}
	for i := range n.cfg.settings.Module.Classes {
		c := &n.cfg.settings.Module.Classes[i]
		n.classes[c.Name] = c
	}
}

func (n *Server) class(name string) *spool.Class { return n.classes[name] }

// Addr is where the router listens.
func (n *Server) Addr() string { return n.listener.address }

// Serve runs until it has drained.
func (n *Server) Serve() error { return n.l.Run() }

// Drain has the router finish what it has and what still comes, and then end. It may be
// called from any goroutine.
func (n *Server) Drain() {
	n.l.Post(func() {
		if n.drained == 0 {
			n.drain()
		}
	})
}

// Reload reads the configuration file again. It may be called from any goroutine.
func (n *Server) Reload() {
	n.l.Post(func() { n.reloadWithin(reloadTries) })
}

// reloadWithin reloads. Where the file cannot be read, which may pass, it is tried again.
func (n *Server) reloadWithin(tries int) {
	err := n.reload()
	if err == nil {
		return
	}
	n.log.Error("configuration kept as it was", zap.Error(err))
	var unread *os.PathError
	if errors.As(err, &unread) && tries > 1 {
		n.l.Once(reloadAgain, func() { n.reloadWithin(tries - 1) })
	}
}

const (
	reloadTries = 30  // of a file that cannot be read
	reloadAgain = 100 // ms between two
)

func (n *Server) reload() error {
	cfg, err := n.readConfig(n.file)
	if err != nil {
		return err
	}
	r := n.watch.reader
	var list []discovery.Event
	r.Zones, r.Kinds = cfg.settings.Module.Zones, cfg.settings.Kinds
	if err := r.DecodeKnown(cfg.Known, func(ev discovery.Event) { list = append(list, ev) }); err != nil {
		return err
	}
	if n.acts, err = n.core.ResettleBare(n.l.Now(), cfg.settings.Module, n.acts[:0]); err != nil {
		return err
	}
	moved := cfg.Feed != n.cfg.Feed
	n.cfg, n.watch.reader = cfg, r
	n.setClasses()
	acts := append([]spool.Action(nil), n.acts...)
	for _, a := range acts {
		n.carry(a)
	}
	n.eventsOf(list)
	if moved {
		n.watch.connect()
	}
	n.log.Info("configuration read", zap.String("feed", cfg.Feed), zap.Uint64("last", r.LastNumber))
	return nil
}

// eventsOf hands the events of a configuration on. The times of all of them are looked at
// first: the last tell how old the others are.
func (n *Server) eventsOf(list []discovery.Event) {
	for i := range list {
		n.saw(&list[i])
	}
	for _, ev := range list {
		n.event(ev)
	}
}

// saw shows the clock an event's times. They may lie behind the beginning of the turn in
// which it is read.
func (n *Server) saw(ev *discovery.Event) {
	now := eventloop.Clock()
	if !ev.Listed {
		n.clock.Saw(float64(ev.PurgedAt), now)
	}
	for i := range ev.Endpoints {
		if started := ev.Endpoints[i].StartedAt; started > 0 {
			n.clock.Saw(float64(started), now)
		}
	}
}

// event hands an event of the feed on to the module. How old what it tells is goes by the
// platform's own times alone: the wall clock of this machine may be anywhere.
func (n *Server) event(ev discovery.Event) {
	n.stats.Events++
	n.saw(&ev)
	now := n.l.Now()
	if !ev.Listed {
		n.tell(spool.Purge{Object: ev.Object, Group: ev.Group, Age: n.clock.Age(float64(ev.PurgedAt), now)})
		n.purged(ev.Object, ev.Group)
		return
	}
	news := engine.News{Rev: int64(ev.Number), How: "step"}
	if ev.Full {
		news.How = "full"
	}
	for _, r := range ev.Endpoints {
		row := engine.Row{ID: r.ID, Zone: r.Zone, Kind: r.Kind, Cell: r.Cell, State: memberStates[r.State],
			Size: r.Weight, Address: r.Address, Start: r.StartedAt}
		if r.StartedAt > 0 {
			row.UpMs = max(n.clock.Age(float64(r.StartedAt), now), justStarted)
		}
		news.Members = append(news.Members, row)
	}
	for _, e := range n.core.Apply(now, &news).Events {
		n.tell(e)
	}
	for _, r := range ev.Endpoints {
		n.changed(r.ID)
	}
	if ev.Full { // those that it does not name are gone
		n.core.Members(func(m spool.Member, _ string) { n.changed(m.ID) })
	}
}

// changed has what is kept of a member go by its row: a pool that it no longer fits is
// closed, and one that is gone is forgotten.
func (n *Server) changed(id string) {
	p := n.pools[id]
	if m, ok := n.core.Member(id); p != nil && (!ok || m.State != spool.Serving || n.core.Address(id) != p.address) {
		p.close()
	}
	n.core.Forget(id)
}

const justStarted = 0.001 // ms: 0 would mean long ago

var memberStates = map[string]string{"ready": "serving", "draining": "draining", "gone": "removed"}

// tell gives the module an event and carries out its actions; what these bring about is
// told behind them, in order.
func (n *Server) tell(ev spool.Event) {
	n.events = append(n.events, ev)
	if n.busy {
		return
	}
	n.busy = true
	for i := 0; i < len(n.events); i++ {
		ev := n.events[i]
		if q, ok := ev.(spool.Request); ok {
			n.born = n.reqs[q.ID]
		}
		n.acts = n.core.Handle(n.l.Now(), ev, n.acts[:0])
		for _, a := range n.acts {
			n.carry(a)
		}
		n.born = nil
	}
	n.events, n.busy = n.events[:0], false
}

// carry carries out one action.
func (n *Server) carry(a spool.Action) {
	switch a := a.(type) {
	case spool.Send:
		if r := n.reqs[a.ID]; r != nil {
			n.send(r, a)
		}
	case spool.Refuse:
		if r := n.reqs[a.ID]; r != nil && r.c != nil {
			n.stats.Rejected++
			n.trace("refused", r, zap.Float64("after", a.After))
			r.c.answer(r, n.codec.Rejected(r.seq, math.Floor(a.After)))
		}
	case spool.Fail:
		if r := n.reqs[a.ID]; r != nil && r.c != nil {
			n.stats.Failed++
			n.trace("failed", r)
			r.c.answer(r, n.codec.Failed(r.seq))
		}
	case spool.Cancel:
		if r := n.reqs[a.ID]; r != nil && r.out != nil && r.out.n == a.Attempt {
			r.out.giveUp(spool.Cancelled)
		}
	case spool.Wake:
		n.wake(a)
	}
}

func (n *Server) wake(a spool.Wake) {
	token := a.Token
	switch {
	case token == 0:
		n.l.Arm(&n.beat, a.In)
	case n.born != nil && n.born.timer.F == nil:
		n.born.timer.F = func() { n.tell(spool.Timer{Token: token}) }
		n.l.Arm(&n.born.timer, a.In)
	default:
		n.l.Once(a.In, func() { n.tell(spool.Timer{Token: token}) })
	}
}

// take hands a client's request to the module. Its time counts from the earliest moment at
// which its last byte may have come: it may have lain unread for a long turn of the loop.
func (n *Server) take(c *client, seq int32, q thriftrpc.Request, came float64) {
	r := &request{Request: q, c: c, seq: seq, until: came + q.TimeLeft, write: n.classes[q.Class].Write}
	if n.drained > 0 {
		r.until = min(r.until, n.goneBy-drainStep)
	}
	n.reqs[q.ID], c.open[seq] = r, r
	n.stats.Requests++
	n.trace("taken", r, zap.String("class", q.Class), zap.Float64("wait", q.TimeLeft), zap.String("once", q.IdempotencyKey), zap.Int("fd", c.fd))
	n.tell(spool.Request{ID: q.ID, Class: q.Class, Object: q.Key, Deadline: r.until, Group: q.Group,
		Part: q.Part, Retry: q.Retry, Write: r.write})
}

// trace logs a step of a request's way, where that is asked for.
func (n *Server) trace(what string, r *request, fields ...zap.Field) {
	if e := n.log.Check(zap.DebugLevel, what); e != nil {
		e.Write(append(fields, zap.String("id", r.ID), zap.Float64("left", r.until-n.l.Now()))...)
	}
}

// over ends a request towards its client; it is forgotten when nothing is out for it.
func (n *Server) over(r *request) {
	if r.c != nil {
		delete(r.c.open, r.seq)
		r.c = nil
	}
	if r.out == nil {
		n.l.Forget(&r.timer)
		if n.reqs[r.ID] == r {
			delete(n.reqs, r.ID)
		}
	}
}

// sweep closes connections that overstay. One that is owed an answer is not shut before it
// has that, whatever else it does.
func (n *Server) sweep() {
	now := n.l.Now()
	for c := range n.clients {
		switch c.v.Open = len(c.open) + len(c.unsent); {
		case !c.v.Overstays(now):
		case c.v.Shut > 0 || c.v.Ignores(now):
			c.close()
		case !c.owes() && eventloop.Quiet(c.fd):
			c.shut()
		}
	}
	for _, p := range n.pools {
		p.sweep(now)
	}
}
