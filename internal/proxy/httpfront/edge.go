// Package httpfront is the HTTP router. It runs client and upstream connections on one event
// loop, reports to the decision module what happens on them, and carries out the actions that
// the module returns.
//
// The package owns the connections, the requests in flight and the connection pools. The
// decision module, reached through internal/proxy/engine, decides where a request goes,
// whether it is retried and when it is given up. The limits are those of the settings; guard.go
// enforces them. The loop never blocks: the list service and the admin listener have goroutines
// of their own and post to the loop (watch.go, admin.go). client.go and upstream.go hold the
// two sides of a request. docs/protocol.md defines the protocol on the wire, and
// docs/architecture.md describes the path of a request.
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

// Stats holds the counters of a router. They may be read on the loop only. Their names are
// part of the admin interface's /state.
type Stats struct {
	Accepted, Connections, Requests, Served, Refused, Failed, Malformed uint64
	Gone, Broken, Attempts, Connects, Reused, Dropped                   uint64
	InBytes, OutBytes, AcceptPauses, ConnectWaits                       uint64 // ConnectWaits: attempts that failed for want of local resources
	HandedIn, HandedOut                                                 uint64 // connections received from a predecessor, and passed to a successor
	Purges                                                              uint64 // received
	Fragments                                                           uint64 // requested for pages
	Held, Upstreams, MostHeld                                           int    // requests in flight, connections to members, most requests in flight
}

// Edge is an HTTP router between clients and caches. Its state belongs to the event loop.
type Edge struct {
	settings *config.Settings
	core     *engine.Core
	loop     *eventloop.Loop
	log      *AccessLog
	name     string

	startedDate   time.Time        // start of the router by the wall clock
	startedAt     eventloop.Millis // the same by the monotonic clock
	listenFD      int
	listener      eventloop.Listener
	addr          string
	clients       map[*clientConn]struct{}
	pages         map[*esiPage]struct{}
	changedPages  []*esiPage // to be updated at the end of this turn
	requests      map[string]*clientRequest
	pools         map[string]*connPool
	requestCount  uint64         // for request identifiers
	scratch       []byte         // read buffer shared by all connections
	actions       []spool.Action // reused by dispatch
	pendingEvents []spool.Event  // raised while dispatch runs
	dispatching   bool
	draining      bool
	drainTimer    eventloop.Timer
	freeTimers    []*moduleTimer
	freeRequests  []*clientRequest
	buffers       eventloop.Buffers // for output that waits to be written
	headBuffer    []byte            // reused for each message head that is written
	head          http1.Head        // reused for each request head that is parsed
	stats         Stats
	observeProbe  func(spool.Probed) // called with the result of each probe; set by tests
	stopWatch     func()
	stopAdmin     func()
	adminFile     *os.File // the admin listener, for a successor

	inherited            *hotrestart.Inherited // from a predecessor; nil without one
	predecessorReachable atomic.Bool           // config versions and purges can be sent to the predecessor: it was told that this router serves, and still runs
	predecessorRuns      bool                  // the predecessor may still pass connections; used only on the loop
	handoverServer       *hotrestart.Server
	handingOver          bool               // a successor has the learned state, but does not serve yet
	purgesDuringHandover []engine.Purge     // received since the successor got the learned state
	successor            *hotrestart.Sender // the successor that serves; nil without one
	guard                *guard
	journal              *journal.Writer // nil if no journal is kept
	configClient         *ConfigClient
	version              int64              // config version in use; 0 is the settings file
	nextVersion          int64              // config version that is being activated
	listedFor            map[string]float64 // ms for which recently added members had been listed when the router started
	listState            atomic.Value       // string: state of the discovery stream
	adminAddr            atomic.Value       // string
}

// New returns a router for checked settings. It listens at once, and serves when Run is called.
func New(settings *config.Settings, log *AccessLog) (*Edge, error) {
	return newEdge(settings, log, nil)
}

func newEdge(settings *config.Settings, log *AccessLog, inherited *hotrestart.Inherited) (*Edge, error) {
	core, err := engine.New(settings, uint64(settings.Router.Seed))
	if err != nil {
		return nil, err
	}
	loop, err := eventloop.New(0)
	if err != nil {
		return nil, err
	}
	edge := &Edge{settings: settings, core: core, loop: loop, log: log, name: settings.Router.Name, clients: map[*clientConn]struct{}{}, pages: map[*esiPage]struct{}{},
		requests: map[string]*clientRequest{}, pools: map[string]*connPool{}, scratch: make([]byte, 256<<10), startedDate: wallclock.Now(), startedAt: eventloop.Clock()}
	edge.listState.Store("none")
	edge.drainTimer.F = edge.onDrainTimeout
	edge.guard = newGuard(edge)
	edge.buffers = newBuffers(edge.guard)
	edge.inherited = inherited
	var ok bool
	if edge.listenFD, edge.addr, ok = inheritListener(inherited, settings.Router.Listen); ok {
	} else if edge.listenFD, edge.addr, err = eventloop.Listen(settings.Router.Listen); err != nil {
		return nil, fmt.Errorf("edge: listen %s: %w; is the address free, and one of this machine?", settings.Router.Listen, err)
	}
	edge.listener.Take = func(fd int) { edge.onAccept(fd) }
	edge.listener.MakeRoom = func() bool { return edge.guard.closeIdle(limits.Descriptors) }
	if err := edge.openJournal(); err != nil {
		unix.Close(edge.listenFD)
		return nil, err
	}
	return edge, nil
}

// openJournal opens the journal, if the settings name one, and makes the core record in it
// the module's events and actions.
func (e *Edge) openJournal() error {
	router := &e.settings.Router
	if router.Journal == "" {
		return nil
	}
	writer, err := journal.Open(router.Journal, journal.Options{SegmentBytes: int64(router.JournalSegmentBytes), TotalBytes: int64(router.JournalTotalBytes),
		Queue: router.JournalQueue, SkipNumbers: e.inherited != nil, Warn: func(text string) { e.log.Log.Warn(text) }})
	if err != nil {
		return err
	}
	writer.RouterStarted(journal.RouterStart{Name: e.name, Program: cli.Version(), UnixMillis: wallclock.Now().UnixMilli(), Seed: uint64(router.Seed), Settings: config.Print(e.settings)})
	e.journal, e.core.Recorder = writer, recorder{e}
	return nil
}

// recorder writes to the journal what the core records.
type recorder struct{ edge *Edge }

func (r recorder) Handled(now float64, event spool.Event, actions []spool.Action) {
	r.edge.journal.Handled(now, event, actions)
}

func (r recorder) SettingsChanged(now float64, settings *config.Settings, actions []spool.Action) {
	r.edge.journal.Settings(now, r.edge.nextVersion, func() string { return config.Print(settings) }, actions)
}

// NewFromVersion returns a router that starts with a config version. The version's settings
// already include the local settings of the router.
func NewFromVersion(version *configversion.Activate, log *AccessLog) (*Edge, error) {
	return newFromVersion(version, nil, log, nil)
}

// newFromVersion returns a router that starts with a config version or, if version is nil, with
// its local settings. If inherited is not nil, the router takes over from that predecessor.
func newFromVersion(version *configversion.Activate, local *config.Settings, log *AccessLog, inherited *hotrestart.Inherited) (*Edge, error) {
	if version == nil {
		return newEdge(local, log, inherited)
	}
	e, err := newEdge(version.Settings, log, inherited)
	if err == nil {
		e.version, e.listedFor = version.Version.Number, version.ListedFor
	}
	return e, err
}

// date returns the wall-clock time at the router's start advanced by the monotonic clock, so
// that steps of the wall clock have no effect.
func (e *Edge) date() time.Time {
	return e.startedDate.Add(time.Duration((eventloop.Clock() - e.startedAt) * float64(time.Millisecond)))
}

// Addr returns the address at which the router accepts clients.
func (e *Edge) Addr() string { return e.addr }

// Run serves until a drain is complete or Stop is called.
func (e *Edge) Run() error {
	if err := e.listener.Start(e.loop, e.listenFD); err != nil {
		return err
	}
	e.loop.AfterEachTurn(e.guard.afterTurn)
	e.loop.Arm(&e.guard.sweepTimer, sweepInterval)
	e.loop.Post(func() { e.restoreLearnedState(); e.applyInitialMembers() })
	if e.settings.Router.DiscoveryAddress != "" {
		e.stopWatch = e.watchList()
	}
	if e.settings.Router.Admin != "" {
		stop, err := e.admin()
		if err != nil {
			e.loop.Stop()
			e.loop.Run()
			return err
		}
		e.stopAdmin = stop
	}
	if err := errors.Join(e.offerHandover(), e.announceServing()); err != nil {
		e.loop.Stop()
		e.loop.Run()
		return err
	}
	err := e.loop.Run()
	if e.handoverServer != nil {
		e.handoverServer.Close()
	}
	if e.successor != nil {
		e.successor.Close()
	}
	if e.journal != nil {
		if journalErr := e.journal.Close(); journalErr != nil {
			e.log.Log.Error("journal", zap.Error(journalErr))
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

// closeAll closes the sockets that are still open when the loop has ended.
func (e *Edge) closeAll() {
	for c := range e.clients {
		unix.Close(c.fd)
	}
	for _, p := range e.pools {
		for u := range p.connections {
			unix.Close(u.fd)
		}
	}
	if e.listenFD >= 0 {
		unix.Close(e.listenFD)
	}
}

// Ready waits until the router runs and has an endpoint list, for 3 s at most.
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
	return errors.New("edge: no endpoint list after 3 s; is the list service reachable?")
}

// Stop ends the router at once. It may be called from any goroutine.
func (e *Edge) Stop() { e.loop.Stop() }

// Drain begins a graceful shutdown: the router accepts no more connections, closes idle ones
// and finishes the requests in flight, up to the drain timeout of the settings. It may be
// called from any goroutine.
func (e *Edge) Drain() {
	e.loop.Post(e.drainNow)
}

func (e *Edge) drainNow() {
	if e.draining {
		return
	}
	e.draining = true
	e.listener.Stop()
	unix.Close(e.listenFD)
	e.listenFD = -1
	e.loop.Arm(&e.drainTimer, e.settings.Limits.DrainTimeout)
	for c := range e.clients {
		c.drain()
	}
	e.checkDrained()
}

// checkDrained ends the router when it has drained. If its own predecessor still drains, the
// router keeps running, since it passes that one's connections on to the successor.
func (e *Edge) checkDrained() {
	if e.draining && len(e.clients) == 0 && !e.predecessorRuns {
		e.loop.Stop()
	}
}

func (e *Edge) onDrainTimeout() { e.loop.Stop() }

// Query calls f on the loop with the router's counters and core.
func (e *Edge) Query(f func(*Stats, *engine.Core)) error {
	return e.loop.Call(5*time.Second, func() {
		e.stats.Connections, e.stats.Held = uint64(len(e.clients)), len(e.requests)
		e.stats.AcceptPauses, e.stats.Upstreams = e.listener.Pauses, 0
		for _, p := range e.pools {
			e.stats.Upstreams += len(p.connections)
		}
		f(&e.stats, e.core)
	})
}

// probeRetryInterval is the wait, in ms, before a probe is repeated that could not begin for
// want of local resources.
const probeRetryInterval = 50

// onAccept adds a connection that the listener has accepted.
func (e *Edge) onAccept(fd int) {
	e.stats.Accepted++
	peer, err := unix.Getpeername(fd)
	if eventloop.Broken(err) { // reset by the client before it was accepted
		unix.Close(fd)
		return
	}
	e.addClient(fd, addressOf(peer), true)
}

// writeBeforeClose writes a short response to a connection that is about to be closed. It drops
// what the socket does not take at once.
func (e *Edge) writeBeforeClose(fd int, b []byte) {
	for len(b) > 0 {
		n, err := e.loop.Write(fd, b)
		if err != nil {
			return
		}
		b = b[n:]
	}
}

// addClient adds a client connection. If a connection limit is reached, it closes the connection
// instead, after a 503 response if respond is set, and returns nil.
func (e *Edge) addClient(fd int, addr netip.Addr, respond bool) *clientConn {
	guard := e.guard
	cause := limits.None
	switch {
	case guard.connectionsOf[addr] >= e.settings.Limits.PerAddress:
		cause = limits.PerAddress
	case guard.connectionsFull():
		cause = limits.Descriptors
	case guard.memory.Full() && !guard.closeIdle(limits.Memory):
		cause = limits.Memory
	}
	client := &clientConn{edge: e, fd: fd, addr: addr, addrText: addr.String(), schedulerClass: len(guard.classIndex)}
	client.idleTimer.F = client.onIdleTimer
	if cause == limits.None {
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		if n := guard.unread.Room(e.settings.Limits.SocketKB * 1024); n > 0 {
			unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, n/2) // the kernel doubles it
		}
		if err := e.loop.Add(fd, eventloop.Read, client); err != nil {
			cause = limits.Descriptors
		}
	}
	if cause != limits.None {
		guard.counts[cause]++
		e.stats.Refused++
		if respond {
			e.writeBeforeClose(fd, busyResponse)
			e.loop.Read(fd, e.scratch) // closing with unread input would reset the connection and lose the response
		}
		unix.Close(fd)
		return nil
	}
	e.loop.Prioritize(fd)
	e.clients[client] = struct{}{}
	guard.connectionsOf[addr]++
	guard.memory.Add(limits.Connections, clientBytes)
	guard.idleClients.push(client, e.loop.Now())
	e.loop.Arm(&client.idleTimer, e.settings.Limits.ClientIdle)
	return client
}

// addressOf returns the address of a peer without its port.
func addressOf(sockaddr unix.Sockaddr) netip.Addr {
	switch a := sockaddr.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrFrom4(a.Addr)
	case *unix.SockaddrInet6:
		return netip.AddrFrom16(a.Addr).Unmap()
	}
	return netip.Addr{}
}

// moduleTimer is a timer that the module requested with a Wake.
type moduleTimer struct {
	timer eventloop.Timer
	edge  *Edge
	token int64
}

func (m *moduleTimer) fire() {
	token := m.token
	m.edge.freeTimers = append(m.edge.freeTimers, m)
	m.edge.dispatch(spool.Timer{Token: token})
}

func (e *Edge) startTimer(in float64, token int64) {
	var timer *moduleTimer
	if n := len(e.freeTimers); n > 0 {
		timer, e.freeTimers = e.freeTimers[n-1], e.freeTimers[:n-1]
	} else {
		timer = &moduleTimer{edge: e}
		timer.timer.F = timer.fire
	}
	timer.token = token
	e.loop.Arm(&timer.timer, in)
}

// dispatch gives the module an event and carries out the actions that it returns. Events that
// these actions raise are queued and handled afterwards.
func (e *Edge) dispatch(event spool.Event) {
	if e.dispatching {
		e.pendingEvents = append(e.pendingEvents, event)
		return
	}
	e.dispatching = true
	for {
		e.actions = e.core.Handle(e.loop.Now(), event, e.actions[:0])
		for i := range e.actions {
			e.execute(e.actions[i])
		}
		clear(e.actions)
		if len(e.pendingEvents) == 0 {
			break
		}
		event = e.pendingEvents[0]
		if e.pendingEvents = e.pendingEvents[1:]; len(e.pendingEvents) == 0 {
			e.pendingEvents = nil
		}
	}
	e.dispatching = false
}

// execute carries out an action of the module.
func (e *Edge) execute(action spool.Action) {
	switch a := action.(type) {
	case spool.Send:
		e.sendAttempt(&a)
	case spool.Refuse:
		if r := e.requests[a.ID]; r != nil {
			r.reject(a.After)
		}
	case spool.Fail:
		if r := e.requests[a.ID]; r != nil {
			r.fail()
		}
	case spool.Cancel:
		if r := e.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].cancel()
		}
	case spool.Wake:
		e.startTimer(a.In, a.Token)
	case spool.Probe:
		e.probe(a.Cache)
	case spool.Watch, spool.Fetch:
		// Nothing to do: watch.go keeps the discovery stream open as long as the router
		// runs, and the stream begins with a full snapshot.
	}
}

// prober is a probe in progress: a connection to a member that is opened and closed again.
type prober struct {
	edge     *Edge
	id       string
	fd       int // -1 while no socket could be opened
	timer    eventloop.Timer
	deadline eventloop.Millis
}

// probe checks whether a member accepts a connection within the connect timeout.
func (e *Edge) probe(id string) {
	p := &prober{edge: e, id: id, fd: -1, deadline: e.loop.Now() + e.settings.Limits.ConnectTimeout}
	p.timer.F = p.onTimer
	p.connect()
}

// connect starts the connection. A shortage of local resources says nothing about the member,
// so connect is repeated after one until the connect timeout.
func (p *prober) connect() {
	edge := p.edge
	fd, _, err := edge.loop.Dial(edge.core.Address(p.id))
	if err == nil {
		if err = edge.loop.Add(fd, eventloop.Write, p); err != nil {
			unix.Close(fd)
		}
	}
	switch {
	case err == nil:
		p.fd = fd
		edge.loop.Arm(&p.timer, p.deadline-edge.loop.Now())
	case eventloop.IsLocalShortage(err):
		edge.loop.Arm(&p.timer, probeRetryInterval)
	default:
		p.finish(false)
	}
}

func (p *prober) onTimer() {
	if p.fd < 0 && p.edge.loop.Now() < p.deadline {
		p.connect()
		return
	}
	p.finish(false)
}

func (e *Edge) probeDone(probed spool.Probed) {
	if e.observeProbe != nil {
		e.observeProbe(probed)
	}
	e.dispatch(probed)
}

func (p *prober) OnReady(eventloop.Ready) {
	socketErr, err := unix.GetsockoptInt(p.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	p.finish(err == nil && socketErr == 0)
}

func (p *prober) finish(ok bool) {
	p.edge.loop.Forget(&p.timer)
	if p.fd >= 0 {
		p.edge.loop.Remove(p.fd)
		unix.Close(p.fd)
	}
	p.edge.probeDone(spool.Probed{Cache: p.id, OK: ok})
}

// applyUpdate applies an update of the list service, or the members of the settings.
func (e *Edge) applyUpdate(update *engine.Update) engine.ApplyResult {
	result := e.core.Apply(e.loop.Now(), update)
	for _, event := range result.Events {
		switch ev := event.(type) {
		case spool.Members:
			e.dispatch(ev)
			e.abandonUnavailable()
		case spool.Purge:
			e.stats.Purges++
			if e.handingOver {
				e.purgesDuringHandover = append(e.purgesDuringHandover, engine.Purge{Object: ev.Object, Group: ev.Group, AgeMs: ev.Age})
			}
			e.dispatch(ev)
			e.abandonPurged(ev)
			e.purgePages(ev)
		}
	}
	return result
}

// abandonUnavailable closes idle connections to members that no longer serve or have another address,
// and ends the attempts to them that are not written yet: these could otherwise reach a member after
// its drain grace, or another process that has its former address. The module decides again.
func (e *Edge) abandonUnavailable() {
	drained := func(id string) bool {
		m, ok := e.core.Member(id)
		return ok && m.State != spool.Serving
	}
	for address, pool := range e.pools {
		moved := e.core.Address(pool.member) != address
		if moved {
			pool.retire()
		}
		if drained(pool.member) {
			pool.closeIdle()
		}
		if moved && len(pool.connections)+len(pool.waiting) == 0 {
			delete(e.pools, address)
		}
	}
	e.abandonUnwritten(func(t *upstreamAttempt) bool {
		moved := t.pool != nil && e.core.Address(t.cache) != t.pool.address
		return moved || drained(t.cache) || t.source != t.cache && drained(t.source)
	})
}

// abandonPurged ends the attempts for purged objects that are not written yet: the greatest age
// of a copy that they accept was computed before the purge.
func (e *Edge) abandonPurged(purge spool.Purge) {
	e.abandonUnwritten(func(t *upstreamAttempt) bool {
		return t.request.spec.Object == purge.Object || purge.Object == "" && t.request.spec.Group == purge.Group
	})
}

// abandonUnwritten ends the matching attempts of which no byte was written. The module may
// repeat such attempts safely.
func (e *Edge) abandonUnwritten(match func(*upstreamAttempt) bool) {
	var unwritten []*upstreamAttempt
	for _, request := range e.requests {
		for _, attempt := range request.attempts {
			if !attempt.done && !attempt.written && match(attempt) {
				unwritten = append(unwritten, attempt)
			}
		}
	}
	for _, attempt := range unwritten {
		attempt.detach()
		attempt.finish(spool.NotSent, spool.NoteNone, false)
	}
}

// nextID returns a request identifier that is unique across restarts of the router.
func (e *Edge) nextID() string {
	e.requestCount++
	var b [48]byte
	id := append(b[:0], e.name...)
	id = append(id, '-')
	id = strconv.AppendInt(id, bootMillis, 36)
	id = append(id, '-')
	return string(strconv.AppendUint(id, e.requestCount, 36))
}

var bootMillis = int64(eventloop.Clock())
