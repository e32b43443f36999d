package httpfront

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"sort"

	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/eventloop"
	"indigospool/internal/proxy/limits"
)

// guard carries out what internal/proxy/limits decides: it tells it what sockets do, and
// cuts, refuses and sheds what it names. The decisions are that package's.
type guard struct {
	e *Edge

	head, body, reader, member limits.MinRate
	jury                       limits.MassSlowness
	turns                      *limits.DRR[mover]
	adm                        *limits.Admission
	retries                    *limits.RetryBudget
	jitter                     *limits.Jitter
	standing                   *limits.Reputation
	hold                       *limits.ReadPause
	held                       []heldBack // in the order in which they are read again
	tails                      limits.UnreadAccount
	tailed                     []*client // that the kernel may hold some of a whole answer for
	mem                        limits.Budget
	counts                     limits.Counts

	classes   map[string]int // places of the scheduler's
	ranks     []float64      // of classes by worth, 0 to 1
	worth     []float64
	slow      map[*client]struct{} // clients that are waited for
	addresses map[netip.Addr]int   // connections of clients
	idle      idleList
	shedAt    float64     // when requests may be looked over again
	found     []*upstream // in a sweep
	stuck     []*upstream // in a sweep: their clients hold them up
	sweepT    eventloop.Timer
	holdT     eventloop.Timer // connections that are held back
	most      int             // connections that there are descriptors for
}

// mover is a connection that is ready to move bytes.
type mover interface {
	// move moves at most about room bytes; more says that it is ready for more.
	move(room int) (moved int, more bool)
	queuedAt() float64
}

const (
	sweepEvery = 250 // ms between looks at slow peers
	// memory that is booked for what is not a buffer, in bytes, measured as by
	// spool-bench idle: descriptions, their places in tables, and timers
	clientBytes   = 1 << 10
	upstreamBytes = 2 << 10
	requestBytes  = 3 << 10
	spareFiles    = 24 // descriptors for what is no connection
)

func newGuard(e *Edge) *guard {
	g := &guard{e: e, slow: map[*client]struct{}{}, addresses: map[netip.Addr]int{}}
	g.idle.init()
	g.sweepT.F = g.sweep
	g.holdT.F = g.release
	g.adopt(e.s)
	return g
}

// adopt goes by settings from now on. What was learned stays.
func (g *guard) adopt(s *config.Settings) {
	l := &s.Limits
	g.e.listener.PerTurn = l.AcceptPerTurn
	least := func(kbs, grace float64) limits.MinRate {
		return limits.MinRate{Rate: kbs * 1024 / 1000, Grace: grace, Step: 2 * sweepEvery}
	}
	g.head, g.body = least(l.HeadRate, l.HeadGrace), least(l.ClientRate, l.ClientGrace)
	g.reader, g.member = g.body, least(l.MemberRate, l.MemberGrace)
	g.jury.Window, g.jury.Share, g.jury.MinWorking = 2*l.MemberGrace+1000, l.JuryShare, 2
	total := int64(l.MemoryMB * (1 << 20))
	g.mem.Total = total - limits.UnaccountedMemory(total)
	g.tails.Total, g.tails.Idle = int64(l.SocketsMB*(1<<20)), l.WriteIdle
	var weights []float64
	g.classes, g.ranks, g.worth = map[string]int{}, nil, nil
	for i := range s.Classes {
		g.classes[s.Classes[i].Name] = i
		weights = append(weights, s.Classes[i].Weight)
		g.worth = append(g.worth, s.Classes[i].Worth)
	}
	sorted := append([]float64(nil), g.worth...)
	sort.Float64s(sorted)
	for _, w := range g.worth {
		g.ranks = append(g.ranks, float64(sort.SearchFloat64s(sorted, math.Nextafter(w, math.Inf(1)))-1)/max(float64(len(sorted)-1), 1))
	}
	weights = append(weights, 1) // of no class
	old := g.turns
	g.turns = limits.NewDRR[mover](int(l.QuantumKB*1024), weights)
	for old != nil && old.Len() > 0 {
		it, _, _, _ := old.Next()
		g.turns.Push(len(weights)-1, it)
	}
	if g.adm == nil {
		g.jitter = limits.NewJitter(uint64(s.Router.Seed), 0.5)
		g.hold = limits.NewReadPause(limits.DefaultReadPause())
		g.standing = limits.NewReputation(limits.ReputationSettings{})
	}
	g.standing.Adopt(limits.DefaultReputation(l.Poor))
	adm := limits.AdmissionSettings{Target: l.OverloadTarget, QueueingShare: l.OverloadPart, Interval: 100, MinInFlight: l.OverloadLeast, MaxInFlight: l.Held, Headroom: 0.2}
	if g.adm == nil {
		g.adm = limits.NewAdmission(adm)
	}
	g.adm.Adopt(adm)
	g.retries = limits.NewRetryBudget(limits.RetryBudgetSettings{Share: l.RetryShare, Burst: 100, AddressShare: 1, AddressBurst: float64(l.RetryBurst), Addresses: 4096})
	g.most = l.Connections
	var r unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) == nil && r.Cur < 1<<30 {
		// a request in hand needs a connection of its own and one to a member
		g.most = min(g.most, max((int(r.Cur)-spareFiles)*3/5, 8))
	}
}

// class is a class's place in the scheduler.
func (g *guard) class(name string) int {
	if i, ok := g.classes[name]; ok {
		return i
	}
	return len(g.classes)
}

// ready queues a connection that is ready to move bytes.
func (g *guard) ready(class int, m mover) { g.turns.Push(class, m) }

// after is the end of each turn of the loop: ready connections move bytes in their
// order, as many as a turn may, and what is over is shed.
func (g *guard) after() (more bool) {
	e := g.e
	e.pump()
	if g.turns.Len() == 0 {
		g.adm.ObserveWait(e.l.Took())
	} else {
		left := int(e.s.Limits.TurnKB * 1024)
		for left > 0 {
			it, class, room, ok := g.turns.Next()
			if !ok {
				break
			}
			g.adm.ObserveWait(e.l.Took() + e.l.Now() - it.queuedAt())
			n, more := it.move(room)
			g.turns.Used(class, it, n, more)
			left -= max(n, 1024) // a call has its price too
		}
	}
	e.pump()
	g.adm.Tick(e.l.Now(), len(e.reqs))
	g.hold.Tick(e.l.Now())
	if g.mem.Full() {
		g.shed()
	}
	return g.turns.Len() > 0
}

// heldBack is a connection that is not read until its time comes.
type heldBack struct {
	c     *client
	until float64
}

// holdBack has a connection wait that was turned away.
func (g *guard) holdBack(c *client) {
	ms := g.hold.Duration()
	if ms <= 0 || c.gone || c.last || c.linger || c.cur != nil || c.paused || len(c.left) > 0 {
		return
	}
	c.paused = true
	c.wants()
	g.held = append(g.held, heldBack{c, g.e.l.Now() + ms})
	if !g.holdT.Armed() {
		g.e.l.Arm(&g.holdT, ms)
	}
}

// release has those read again whose time has come.
func (g *guard) release() {
	n, now := 0, g.e.l.Now()
	for ; n < len(g.held) && g.held[n].until <= now; n++ {
		if c := g.held[n].c; !c.gone && c.cur == nil && c.paused {
			c.paused = false
			c.wants()
		}
	}
	g.held = append(g.held[:0], g.held[n:]...)
	if len(g.held) > 0 {
		g.e.l.Arm(&g.holdT, g.held[0].until-now)
	}
}

// admit decides whether a request whose head has come is taken into hand.
func (g *guard) admit(c *client, q *spool.Request) limits.Cause {
	switch {
	case g.mem.Full():
		return limits.Memory
	case g.poor(c) && !g.standing.HasCapacity():
		return limits.PoorReputation
	case !g.retries.Admit(c.address, q.Retry, g.adm.Overloaded()):
		return limits.RetryLimit
	case !g.adm.Admit(len(g.e.reqs), g.rank(q.Class)):
		return limits.Overload
	}
	return limits.None
}

// poor reports whether a client's address is of poor standing.
func (g *guard) poor(c *client) bool {
	return g.standing.Any() && g.standing.Poor(c.address, g.e.l.Now())
}

// bad notes that the client has wasted the place that it had.
func (g *guard) bad(c *client) {
	if !c.blamed {
		c.blamed = true
		g.standing.AddBad(c.address, g.e.l.Now())
	}
}

// room is how much of an answer may wait for its client now.
func (g *guard) room() int { return g.mem.Room(g.e.s.Limits.Buffer) }

func (g *guard) rank(class string) float64 {
	if i, ok := g.classes[class]; ok {
		return g.ranks[i]
	}
	return 0
}

// now is the time by which peers are judged: what turns of the loop took beyond the
// ordinary is not theirs.
func (g *guard) now() float64 { return g.e.l.Now() - g.e.l.SlowTime() }

// freePlace has the connection of a member give its place to an attempt that finds
// none, where one has waited for its client for long.
func (g *guard) freePlace(p *pool) {
	for _, u := range g.stuckAt(p) {
		g.counts[limits.SlowReader]++
		u.t.r.c.cutSlow(limits.SlowReader)
		return
	}
}

// sweep looks at those that are waited for.
func (g *guard) sweep() {
	e, now := g.e, g.now()
	e.l.Arm(&g.sweepT, sweepEvery)
	for c := range g.slow {
		if c.out.Len() > 0 {
			at := c.taken()
			if at > c.seen {
				c.movedAt = now
			} else if limits.IsStalled(now - c.movedAt) {
				g.bad(c)
			}
			c.flow.Moved(now, int(at-c.seen), &g.reader)
			c.seen = at
		}
		if least, cause := c.judgedBy(); c.flow.Slow(now, least) {
			g.counts[cause]++
			c.cutSlow(cause)
		}
	}
	g.found = g.found[:0]
	for _, p := range e.pools {
		for u := range p.all {
			if u.held && !u.told && e.l.Now()-u.heldAt >= sweepEvery {
				g.stuck = append(g.stuck, u)
			}
			if u.state == upBody && u.flow.Waiting() && u.flow.Slow(now, &g.member) {
				g.found = append(g.found, u)
				g.jury.ObserveSlow(p.member, now)
			}
		}
	}
	for i, u := range g.stuck {
		if g.stuck[i] = nil; u.held {
			u.stalled(true)
		}
	}
	g.stuck = g.stuck[:0]
	g.lookAtTails(now)
	if g.standing.Any() {
		g.judge()
	}
	for i, u := range g.found {
		if g.found[i] = nil; u.fd >= 0 && u.state == upBody && g.jury.MayCut(u.p.member, now) {
			g.counts[limits.SlowMember]++
			u.broke(spool.TimedOut)
		}
	}
}

// leastTail is how many bytes of an answer are worth a look at whether they are taken.
const leastTail = 16 << 10

// tail notes that the kernel may hold some of an answer that is whole.
func (g *guard) tail(c *client) {
	if !c.tailed && c.wrote-c.seen >= leastTail {
		c.tailed, c.movedAt = true, g.now()
		g.tailed = append(g.tailed, c)
	}
}

// lookAtTails sees how much the kernel holds for clients, and cuts those of them that
// limits.UnreadAccount names.
func (g *guard) lookAtTails(now float64) {
	var list []limits.Unread
	var who []*client
	add := func(c *client, bytes int64) {
		list, who = append(list, limits.Unread{Index: len(who), Bytes: bytes, StalledFor: now - c.movedAt}), append(who, c)
	}
	for c := range g.slow { // looked at before
		if c.out.Len() > 0 {
			add(c, c.wrote-c.seen)
		}
	}
	rest := g.tailed[:0]
	for _, c := range g.tailed {
		if c.gone {
			continue
		}
		if c.out.Len() == 0 {
			if at := c.taken(); at > c.seen {
				c.seen, c.movedAt = at, now
			}
		}
		if c.wrote == c.seen {
			c.tailed = false
			continue
		}
		rest = append(rest, c)
		if c.out.Len() == 0 {
			add(c, c.wrote-c.seen)
		}
	}
	clear(g.tailed[len(rest):])
	g.tailed = rest
	for _, t := range g.tails.Update(list) {
		if c := who[t.Index]; !c.gone {
			g.counts[limits.SlowReader]++
			c.cutSlow(limits.SlowReader)
		}
	}
}

// judge finds requests in hand of those who have become poor, and gives up what is
// too many of them: by limits.ShedOrder, of the answers that have begun only those that
// nobody takes.
func (g *guard) judge() {
	e := g.e
	var held []limits.ShedCandidate
	var list []*request
	for _, r := range e.reqs {
		if r.phase == over || !r.poor && !g.poor(r.c) {
			continue
		}
		if !r.poor {
			r.poor = true
			g.standing.Reserve()
		}
		t := r.winner
		stuck := t != nil && t.u != nil && t.u.held && len(limits.LongStalled([]float64{e.l.Now() - t.u.heldAt})) > 0
		if r.phase == asked && r.open == 0 || r.phase == relaying && stuck {
			held, list = append(held, g.holder(len(list), r)), append(list, r)
		}
	}
	excess := g.standing.Excess()
	for i, h := range limits.ShedOrder(held) {
		if i >= excess {
			return
		}
		if r := list[h.Index]; r.c.cur == r {
			g.counts[limits.PoorReputation]++
			r.shed(limits.PoorReputation)
		}
	}
}

// holder is a request as limits.ShedOrder looks at it.
func (g *guard) holder(index int, r *request) limits.ShedCandidate {
	c := r.c
	h := limits.ShedCandidate{Index: index, Bytes: requestBytes + int64(c.out.Cap()+cap(c.left)+cap(r.content)), Begun: r.phase == relaying,
		BytesLeft: max(r.q.KB*1024-float64(r.sent), 0), Idempotent: r.phase == takingBody || !r.q.Write || !r.written()}
	if i, ok := g.classes[r.q.Class]; ok {
		k := &g.e.s.Classes[i]
		if h.Weight = k.Worth; g.e.l.Now()-r.at > k.Aim {
			h.Weight *= k.LateWorth
		}
	}
	return h
}

// watch has a client's flow follow whether it is waited for.
func (g *guard) watch(c *client, waited bool) {
	if waited == c.flow.Waiting() {
		return
	}
	if waited {
		c.flow.StartWaiting(g.now())
		g.slow[c] = struct{}{}
		c.movedAt = g.now()
		if c.out.Len() > 0 {
			c.seen = c.taken()
		}
		return
	}
	least, _ := c.judgedBy()
	c.flow.StopWaiting(g.now(), least)
	delete(g.slow, c)
}

// shed gives memory back: idle connections, the longest unused first, and at the very
// edge requests, by limits.ShedOrder.
func (g *guard) shed() {
	idle, requests := g.mem.Excess()
	for idle > 0 && g.closeIdle(limits.Memory) {
		idle -= clientBytes
	}
	e := g.e
	if idle <= 0 || e.l.Now() < g.shedAt { // looking over all of them has its price
		return
	}
	g.shedAt = e.l.Now() + 50
	for _, u := range g.stuckAt(slices.Collect(maps.Values(e.pools))...) {
		if idle <= 0 {
			return
		}
		if u.held && u.t != nil {
			c := u.t.r.c
			idle -= clientBytes + upstreamBytes + requestBytes + int64(c.out.Cap())
			g.counts[limits.Memory]++
			c.cutSlow(limits.SlowReader)
		}
	}
	if requests = min(requests, idle); requests <= 0 {
		return
	}
	var held []limits.ShedCandidate
	var list []*request
	for c := range e.clients {
		r := c.cur
		if r == nil {
			continue
		}
		held, list = append(held, g.holder(len(list), r)), append(list, r)
	}
	for _, h := range limits.Shed(held, requests) {
		if r := list[h.Index]; r.c.cur == r {
			g.counts[limits.Memory]++
			r.shed(limits.Memory)
		}
	}
}

// stuckAt is the connections to members that wait for their clients for long, in the
// order in which they give way.
func (g *guard) stuckAt(pools ...*pool) (list []*upstream) {
	var all []*upstream
	var waits []float64
	for _, p := range pools {
		for u := range p.all {
			if u.held && u.t != nil {
				all, waits = append(all, u), append(waits, g.e.l.Now()-u.heldAt)
			}
		}
	}
	for _, i := range limits.LongStalled(waits) {
		list = append(list, all[i])
	}
	return list
}

// closeIdle closes the connection that is unused for longest; false: none is.
func (g *guard) closeIdle(cause limits.Cause) bool {
	c := g.idle.oldest()
	if c == nil || !limits.MayCloseIdle(g.e.l.Now()-c.idleAt) {
		return false
	}
	g.counts[cause]++
	c.leave()
	return true
}

// full reports that a connection more can't be had, with those that are idle gone.
func (g *guard) full() bool {
	return len(g.e.clients) >= g.most && !g.closeIdle(limits.Descriptors)
}

// idleList is the clients between requests, the longest unused first.
type idleList struct{ root client }

func (l *idleList) init() { l.root.before, l.root.behind = &l.root, &l.root }

func (l *idleList) add(c *client, now float64) {
	c.idleAt = now
	if c.behind != nil {
		l.remove(c)
	}
	c.before, c.behind = l.root.before, &l.root
	c.before.behind, l.root.before = c, c
}

func (l *idleList) remove(c *client) {
	if c.behind == nil {
		return
	}
	c.before.behind, c.behind.before = c.behind, c.before
	c.before, c.behind = nil, nil
}

func (l *idleList) oldest() *client {
	if l.root.behind == &l.root {
		return nil
	}
	return l.root.behind
}
