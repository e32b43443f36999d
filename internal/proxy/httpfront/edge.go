// Package httpfront is the HTTP router: client and upstream connections on one event loop,
// which report what happens to the decision module and carry out what it decides. Bytes
// become events, actions become bytes.
//
// It owns the connections, the requests in flight and the connection pools. Where a request
// goes, whether it is retried and when it is given up is decided by the module, reached
// through internal/proxy/engine. It keeps to limits that the settings name, and never waits
// for anything but the loop: the list service and the admin listener run on goroutines of
// their own and post to it (watch.go, admin.go). client.go and upstream.go hold the two
// sides of a request; docs/protocol.md defines what is on the wire, docs/architecture.md
// the path of a request.
package httpfront

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/cli"
	"indigospool/internal/config"
	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/decisionlog/journal"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/http1"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/proxy/hotrestart"
	"indigospool/internal/proxy/limits"
	"indigospool/internal/wallclock"
)

// Stats counts what a router has done. They are read from the loop only.
type Stats struct {
	Accepted, Connections, Requests, Served, Refused, Failed, Malformed uint64
	Gone, Broken, Attempts, Connects, Reused, Dropped                   uint64
	InBytes, OutBytes, AcceptPauses, ConnectWaits                       uint64 // the last: attempts that could not be begun here
	HandedIn, HandedOut                                                 uint64 // connections, from a predecessor and to a successor
	Purges                                                              uint64 // heard of
	Fragments                                                           uint64 // asked for, of pages
	Held, Upstreams, MostHeld                                           int
}

// Edge is one router.
type Edge struct {
	s    *config.Settings
	core *engine.Core
	l    *eventloop.Loop
	log  *AccessLog
	name string

	started   time.Time // by the wall clock
	startedAt eventloop.Millis
	lfd       int
	listener  eventloop.Listener
	addr      string
	clients   map[*client]struct{}
	pages     map[*page]struct{}
	dirty     []*page // that something has come for in this turn
	reqs      map[string]*request
	pools     map[string]*pool
	seq       uint64
	scratch   []byte
	acts      []spool.Action
	queue     []spool.Event
	telling   bool
	draining  bool
	drainT    eventloop.Timer
	freeWakes []*wake
	free      []*request
	buffers   eventloop.Buffers // for bytes that wait to be written
	hbuf      []byte            // a head that is being written
	head      http1.Head        // of the request that is being taken
	stats     Stats
	probed    func(spool.Probed) // also hears of probes, in tests
	stopWatch func()
	stopAdmin func()
	adminFile *os.File // of its listener, for a successor

	inherited *hotrestart.Inherited // from a predecessor; nil: there was none
	followed  atomic.Bool           // that knows that this one serves, and has not ended
	behind    bool                  // as followed, as the loop knows it: it still passes connections on
	offered   *hotrestart.Server
	leaving   bool               // a successor has the memory, and does not serve yet
	since     []engine.Purge     // purges since then
	successor *hotrestart.Sender // it serves; nil: there is none
	guard     *guard
	journal   *journal.Writer // nil: none is kept
	versions  *Versions
	version   int64              // in use; 0: the file
	next      int64              // about to be
	young     map[string]float64 // members that were listed lately when the router began, and for how long (ms)
	listState atomic.Value       // string: what is known of the list service
	adminAddr atomic.Value       // string
}

// New makes a router from checked settings; it listens, and serves once Run is called.
func New(s *config.Settings, log *AccessLog) (*Edge, error) { return newEdge(s, log, nil) }

func newEdge(s *config.Settings, log *AccessLog, in *hotrestart.Inherited) (*Edge, error) {
	c, err := engine.New(s, uint64(s.Router.Seed))
	if err != nil {
		return nil, err
	}
	l, err := eventloop.New(0)
	if err != nil {
		return nil, err
	}
	e := &Edge{s: s, core: c, l: l, log: log, name: s.Router.Name, clients: map[*client]struct{}{}, pages: map[*page]struct{}{},
		reqs: map[string]*request{}, pools: map[string]*pool{}, scratch: make([]byte, 256<<10), started: wallclock.Now(), startedAt: eventloop.Clock()}
	e.listState.Store("none")
	e.drainT.F = e.drained
	e.guard = newGuard(e)
	e.buffers = newBuffers(e.guard)
	e.inherited = in
	var ok bool
	if e.lfd, e.addr, ok = inherit(in, s.Router.Listen); ok {
	} else if e.lfd, e.addr, err = eventloop.Listen(s.Router.Listen); err != nil {
		return nil, fmt.Errorf("edge: listen %s: %w; is the address free, and one of this machine?", s.Router.Listen, err)
	}
	e.listener.Take = func(fd int) { e.accepted(fd) }
	e.listener.MakeRoom = func() bool { return e.guard.closeIdle(limits.Descriptors) }
	if err := e.keepJournal(); err != nil {
		unix.Close(e.lfd)
		return nil, err
	}
	return e, nil
}

// keepJournal has the core record what the module is told and answers.
func (e *Edge) keepJournal() error {
	r := &e.s.Router
	if r.Journal == "" {
		return nil
	}
	w, err := journal.Open(r.Journal, journal.Options{Segment: int64(r.JournalPart), Total: int64(r.JournalTotal),
		Queue: r.JournalQueue, Skip: e.inherited != nil, Warn: func(text string) { e.log.Log.Warn(text) }})
	if err != nil {
		return err
	}
	w.Life(journal.Life{Name: e.name, Program: cli.Version(), Wall: wallclock.Now().UnixMilli(), Seed: uint64(r.Seed), Settings: config.Print(e.s)})
	e.journal, e.core.Recorder = w, recorder{e}
	return nil
}

// recorder is the journal as the core knows it.
type recorder struct{ e *Edge }

func (r recorder) Handled(now float64, ev spool.Event, acts []spool.Action) {
	r.e.journal.Handled(now, ev, acts)
}

func (r recorder) SettingsChanged(now float64, s *config.Settings, acts []spool.Action) {
	r.e.journal.Settings(now, r.e.next, func() string { return config.Print(s) }, acts)
}

// NewFrom makes a router that begins with a version. The router's own part of
// the settings is in the version's already.
func NewFrom(u *configversion.Activate, log *AccessLog) (*Edge, error) {
	return newFrom(u, nil, log, nil)
}

// newFrom makes a router that begins with a version or, where that is nil, with
// settings of its own, and takes over from in unless that is nil.
func newFrom(u *configversion.Activate, own *config.Settings, log *AccessLog, in *hotrestart.Inherited) (*Edge, error) {
	if u == nil {
		return newEdge(own, log, in)
	}
	e, err := newEdge(u.Settings, log, in)
	if err == nil {
		e.version, e.young = u.Version.Number, u.ListedFor
	}
	return e, err
}

// date is the time of day as it was when the router began, run on by the monotonic clock.
func (e *Edge) date() time.Time {
	return e.started.Add(time.Duration((eventloop.Clock() - e.startedAt) * float64(time.Millisecond)))
}

// Addr is where clients reach the router.
func (e *Edge) Addr() string { return e.addr }

// Run serves until Drain has ended or Stop is called.
func (e *Edge) Run() error {
	if err := e.listener.Start(e.l, e.lfd); err != nil {
		return err
	}
	e.l.AfterEachTurn(e.guard.after)
	e.l.Arm(&e.guard.sweepT, sweepEvery)
	e.l.Post(func() { e.remember(); e.begin() })
	if e.s.Router.List != "" {
		e.stopWatch = e.watch()
	}
	if e.s.Router.Admin != "" {
		stop, err := e.admin()
		if err != nil {
			e.l.Stop()
			e.l.Run()
			return err
		}
		e.stopAdmin = stop
	}
	if err := errors.Join(e.offer(), e.serves()); err != nil {
		e.l.Stop()
		e.l.Run()
		return err
	}
	err := e.l.Run()
	if e.offered != nil {
		e.offered.Close()
	}
	if e.successor != nil {
		e.successor.Close()
	}
	if e.journal != nil {
		if jerr := e.journal.Close(); jerr != nil {
			e.log.Log.Error("journal", zap.Error(jerr))
		}
	}
	if e.stopWatch != nil {
		e.stopWatch()
	}
	if e.stopAdmin != nil {
		e.stopAdmin()
	}
	e.closeAll()
	return err
}

// closeAll closes what the loop's end has left.
func (e *Edge) closeAll() {
	for c := range e.clients {
		unix.Close(c.fd)
	}
	for _, p := range e.pools {
		for u := range p.all {
			unix.Close(u.fd)
		}
	}
	if e.lfd >= 0 {
		unix.Close(e.lfd)
	}
}

// Ready waits until the router runs and knows a list, for at most a few seconds.
func (e *Edge) Ready() error {
	for range 300 {
		known := false
		if err := e.Query(func(_ *Stats, c *engine.Core) { c.Members(func(spool.Member, string) { known = true }) }); err != nil {
			return err
		}
		if known {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("edge: no list of members after 3 s; is the list service reached?")
}

// Stop ends the router at once, from any goroutine.
func (e *Edge) Stop() { e.l.Stop() }

// Drain ends the router when what it holds is done, or after the settings'
// limit: no connection is accepted any more, idle ones are closed, and answers
// under way are finished. It may be called from any goroutine.
func (e *Edge) Drain() {
	e.l.Post(e.drainNow)
}

func (e *Edge) drainNow() {
	if e.draining {
		return
	}
	e.draining = true
	e.listener.Stop()
	unix.Close(e.lfd)
	e.lfd = -1
	e.l.Arm(&e.drainT, e.s.Limits.Drain)
	for c := range e.clients {
		c.drain()
	}
	e.checkDrained()
}

// checkDrained ends the router when it has drained. While its own predecessor still drains
// it stays: what that one passes on goes through here to the successor.
func (e *Edge) checkDrained() {
	if e.draining && len(e.clients) == 0 && !e.behind {
		e.l.Stop()
	}
}

func (e *Edge) drained() { e.l.Stop() }

// Query runs f on the loop with the router's counters and core.
func (e *Edge) Query(f func(*Stats, *engine.Core)) error {
	return e.l.Call(5*time.Second, func() {
		e.stats.Connections, e.stats.Held = uint64(len(e.clients)), len(e.reqs)
		e.stats.AcceptPauses, e.stats.Upstreams = e.listener.Pauses, 0
		for _, p := range e.pools {
			e.stats.Upstreams += len(p.all)
		}
		f(&e.stats, e.core)
	})
}

// shortPause is how long, in ms, a probe waits that could not be begun here.
const shortPause = 50

// accepted takes a connection from the listener.
func (e *Edge) accepted(fd int) {
	e.stats.Accepted++
	peer, err := unix.Getpeername(fd)
	if eventloop.Broken(err) { // it was reset before it was taken
		unix.Close(fd)
		return
	}
	e.adopt(fd, addressOf(peer), true)
}

// writeWhole writes a short answer to a connection that is about to be closed, as far as it
// can be written at once.
func (e *Edge) writeWhole(fd int, b []byte) {
	for len(b) > 0 {
		n, err := e.l.Write(fd, b)
		if err != nil {
			return
		}
		b = b[n:]
	}
}

// adopt takes a client's connection, unless as many are there as may be: then it is
// told so, and closed.
func (e *Edge) adopt(fd int, from netip.Addr, answer bool) *client {
	g := e.guard
	cause := limits.None
	switch {
	case g.addresses[from] >= e.s.Limits.PerAddress:
		cause = limits.PerAddress
	case g.full():
		cause = limits.Descriptors
	case g.mem.Full() && !g.closeIdle(limits.Memory):
		cause = limits.Memory
	}
	c := &client{e: e, fd: fd, from: from, address: from.String(), class: len(g.classes)}
	c.idle.F = c.onIdle
	if cause == limits.None {
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		if n := g.tails.Room(e.s.Limits.SocketKB * 1024); n > 0 {
			unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, n/2) // the kernel doubles it
		}
		if err := e.l.Add(fd, eventloop.Read, c); err != nil {
			cause = limits.Descriptors
		}
	}
	if cause != limits.None {
		g.counts[cause]++
		e.stats.Refused++
		if answer {
			e.writeWhole(fd, busyAnswer)
			e.l.Read(fd, e.scratch) // what is unread when it is closed would take the answer from it
		}
		unix.Close(fd)
		return nil
	}
	e.clients[c] = struct{}{}
	g.addresses[from]++
	g.mem.Add(limits.Connections, clientBytes)
	g.idle.add(c, e.l.Now())
	e.l.Arm(&c.idle, e.s.Limits.ClientIdle)
	return c
}

// addressOf is a peer's address, without its port.
func addressOf(sa unix.Sockaddr) netip.Addr {
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrFrom4(a.Addr)
	case *unix.SockaddrInet6:
		return netip.AddrFrom16(a.Addr).Unmap()
	}
	return netip.Addr{}
}

// wake is a timer that the module asked for.
type wake struct {
	t     eventloop.Timer
	e     *Edge
	token int64
}

func (w *wake) due() {
	token := w.token
	w.e.freeWakes = append(w.e.freeWakes, w)
	w.e.tell(spool.Timer{Token: token})
}

func (e *Edge) wakeIn(in float64, token int64) {
	var w *wake
	if n := len(e.freeWakes); n > 0 {
		w, e.freeWakes = e.freeWakes[n-1], e.freeWakes[:n-1]
	} else {
		w = &wake{e: e}
		w.t.F = w.due
	}
	w.token = token
	e.l.Arm(&w.t, in)
}

// tell gives the module an event and carries out its actions; events that come
// of these wait their turn.
func (e *Edge) tell(ev spool.Event) {
	if e.telling {
		e.queue = append(e.queue, ev)
		return
	}
	e.telling = true
	for {
		e.acts = e.core.Handle(e.l.Now(), ev, e.acts[:0])
		for i := range e.acts {
			e.carryOut(e.acts[i])
		}
		clear(e.acts)
		if len(e.queue) == 0 {
			break
		}
		ev = e.queue[0]
		if e.queue = e.queue[1:]; len(e.queue) == 0 {
			e.queue = nil
		}
	}
	e.telling = false
}

// carryOut does what the module wants done.
func (e *Edge) carryOut(a spool.Action) {
	switch a := a.(type) {
	case spool.Send:
		e.send(&a)
	case spool.Refuse:
		if r := e.reqs[a.ID]; r != nil {
			r.refuse(a.After)
		}
	case spool.Fail:
		if r := e.reqs[a.ID]; r != nil {
			r.fail()
		}
	case spool.Cancel:
		if r := e.reqs[a.ID]; r != nil && a.Attempt < len(r.tries) {
			r.tries[a.Attempt].cancel()
		}
	case spool.Wake:
		e.wakeIn(a.In, a.Token)
	case spool.Probe:
		e.probe(a.Cache)
	case spool.Watch, spool.Fetch:
		// the list's stream is held open as long as the router runs, and begins
		// with the whole list: there is nothing to ask for (watch.go)
	}
}

// prober is a probe under way: a connection that is made and closed.
type prober struct {
	e     *Edge
	id    string
	fd    int // -1: it could not be begun yet
	timer eventloop.Timer
	until eventloop.Millis
}

// probe looks whether a member takes connections, within the time for connects.
func (e *Edge) probe(id string) {
	p := &prober{e: e, id: id, fd: -1, until: e.l.Now() + e.s.Limits.Connect}
	p.timer.F = p.due
	p.begin()
}

// begin begins to connect. What this machine lacks for it is no word about the member: it is
// tried again, as long as the time for connects lasts.
func (p *prober) begin() {
	e := p.e
	fd, _, err := e.l.Dial(e.core.Address(p.id))
	if err == nil {
		if err = e.l.Add(fd, eventloop.Write, p); err != nil {
			unix.Close(fd)
		}
	}
	switch {
	case err == nil:
		p.fd = fd
		e.l.Arm(&p.timer, p.until-e.l.Now())
	case eventloop.IsLocalShortage(err):
		e.l.Arm(&p.timer, shortPause)
	default:
		p.end(false)
	}
}

func (p *prober) due() {
	if p.fd < 0 && p.e.l.Now() < p.until {
		p.begin()
		return
	}
	p.end(false)
}

func (e *Edge) heard(p spool.Probed) {
	if e.probed != nil {
		e.probed(p)
	}
	e.tell(p)
}

func (p *prober) OnReady(eventloop.Ready) {
	soerr, err := unix.GetsockoptInt(p.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	p.end(err == nil && soerr == 0)
}

func (p *prober) end(ok bool) {
	p.e.l.Forget(&p.timer)
	if p.fd >= 0 {
		p.e.l.Remove(p.fd)
		unix.Close(p.fd)
	}
	p.e.heard(spool.Probed{Cache: p.id, OK: ok})
}

// news applies a line of the list service, or the settings' members.
func (e *Edge) news(n *engine.Update) engine.ApplyResult {
	a := e.core.Apply(e.l.Now(), n)
	for _, ev := range a.Events {
		switch ev := ev.(type) {
		case spool.Members:
			e.tell(ev)
			e.leaveDrained()
		case spool.Purge:
			e.stats.Purges++
			if e.leaving {
				e.since = append(e.since, engine.Purge{Object: ev.Object, Group: ev.Group, AgeMs: ev.Age})
			}
			e.tell(ev)
			e.recall(ev)
			e.purged(ev)
		}
	}
	return a
}

// leaveDrained closes unused connections to members that take nothing new, and
// takes back attempts there that have not been written yet: the wait for a
// connection must not outlast the grace. The module makes them anew elsewhere.
func (e *Edge) leaveDrained() {
	out := func(id string) bool {
		m, ok := e.core.Member(id)
		return ok && m.State != spool.Serving
	}
	for address, p := range e.pools {
		if out(p.member) {
			p.closeIdle()
		}
		if len(p.all)+len(p.wait) == 0 && e.core.Address(p.member) != address {
			delete(e.pools, address) // of an earlier start of the member
		}
	}
	e.takeBack(func(t *try) bool { return out(t.cache) || t.source != t.cache && out(t.source) })
}

// recall takes back attempts for what was purged that have not been written
// yet: the age that they state was settled before the purge.
func (e *Edge) recall(p spool.Purge) {
	e.takeBack(func(t *try) bool {
		return t.r.q.Object == p.Object || p.Object == "" && t.r.q.Group == p.Group
	})
}

func (e *Edge) takeBack(which func(*try) bool) {
	var back []*try
	for _, r := range e.reqs {
		for _, t := range r.tries {
			if !t.done && !t.written && which(t) {
				back = append(back, t)
			}
		}
	}
	for _, t := range back {
		t.abandon()
		t.end(spool.NotSent, spool.NoteNone, false)
	}
}

// nextID names a request: unlike any other of this router's, also of an earlier life.
func (e *Edge) nextID() string {
	e.seq++
	var b [48]byte
	id := append(b[:0], e.name...)
	id = append(id, '-')
	id = strconv.AppendInt(id, bootMillis, 36)
	id = append(id, '-')
	return string(strconv.AppendUint(id, e.seq, 36))
}

var bootMillis = int64(eventloop.Clock())
