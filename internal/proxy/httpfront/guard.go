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
	edge *Edge

	headRate, bodyRate, readRate, memberRate limits.MinRate
	massSlowness                             limits.MassSlowness
	scheduler                                *limits.DRR[readyConn]
	admission                                *limits.Admission
	retryBudget                              *limits.RetryBudget
	jitter                                   *limits.Jitter
	reputation                               *limits.Reputation
	readPause                                *limits.ReadPause
	pausedClients                            []pausedClient // in the order in which they are read again
	unread                                   limits.UnreadAccount
	unreadClients                            []*clientConn // that the kernel may hold some of a whole answer for
	memory                                   limits.Budget
	counts                                   limits.Counts

	classIndex       map[string]int // places of the scheduler's
	ranks            []float64      // of classes by priorityWeights, 0 to 1
	priorityWeights  []float64
	awaited          map[*clientConn]struct{} // clients that are waited for
	connectionsOf    map[netip.Addr]int       // connections of clients
	idleClients      idleList
	nextShedAt       float64         // when requests may be looked over again
	slowUpstreams    []*upstreamConn // in a sweep
	stalledUpstreams []*upstreamConn // in a sweep: their clients hold them up
	sweepTimer       eventloop.Timer
	resumeTimer      eventloop.Timer // connections that are held back
	maxClients       int             // connections that there are descriptors for
}

// readyConn is a connection that is ready to move bytes.
type readyConn interface {
	// transfer moves at most about room bytes; more says that it is ready for more.
	transfer(room int) (moved int, more bool)
	queuedAt() float64
}

const (
	sweepInterval = 250 // ms between looks at slow peers
	// memory that is booked for what is not a buffer, in bytes, measured as by
	// spool-bench idle: descriptions, their places in tables, and timers
	clientBytes         = 1 << 10
	upstreamBytes       = 2 << 10
	requestBytes        = 3 << 10
	reservedDescriptors = 24 // descriptors for what is no connection
)

func newGuard(edge *Edge) *guard {
	g := &guard{edge: edge, awaited: map[*clientConn]struct{}{}, connectionsOf: map[netip.Addr]int{}}
	g.idleClients.init()
	g.sweepTimer.F = g.sweep
	g.resumeTimer.F = g.resumeReading
	g.applySettings(edge.settings)
	return g
}

// applySettings goes by settings from now on. What was learned stays.
func (g *guard) applySettings(settings *config.Settings) {
	limit := &settings.Limits
	g.edge.listener.PerTurn = limit.AcceptPerTurn
	minRate := func(kbPerSecond, grace float64) limits.MinRate {
		return limits.MinRate{Rate: kbPerSecond * 1024 / 1000, Grace: grace, Step: 2 * sweepInterval}
	}
	g.headRate, g.bodyRate = minRate(limit.HeadRate, limit.HeadGrace), minRate(limit.ClientRate, limit.ClientGrace)
	g.readRate, g.memberRate = g.bodyRate, minRate(limit.MemberRate, limit.MemberGrace)
	g.massSlowness.Window, g.massSlowness.Share, g.massSlowness.MinWorking = 2*limit.MemberGrace+1000, limit.JuryShare, 2
	memoryBytes := int64(limit.MemoryMB * (1 << 20))
	g.memory.Total = memoryBytes - limits.UnaccountedMemory(memoryBytes)
	g.unread.Total, g.unread.Idle = int64(limit.SocketsMB*(1<<20)), limit.WriteIdle
	var weights []float64
	g.classIndex, g.ranks, g.priorityWeights = map[string]int{}, nil, nil
	for i := range settings.Classes {
		g.classIndex[settings.Classes[i].Name] = i
		weights = append(weights, settings.Classes[i].Weight)
		g.priorityWeights = append(g.priorityWeights, settings.Classes[i].Worth)
	}
	sorted := append([]float64(nil), g.priorityWeights...)
	sort.Float64s(sorted)
	for _, weight := range g.priorityWeights {
		g.ranks = append(g.ranks, float64(sort.SearchFloat64s(sorted, math.Nextafter(weight, math.Inf(1)))-1)/max(float64(len(sorted)-1), 1))
	}
	weights = append(weights, 1) // of no class
	previous := g.scheduler
	g.scheduler = limits.NewDRR[readyConn](int(limit.QuantumKB*1024), weights)
	for previous != nil && previous.Len() > 0 {
		conn, _, _, _ := previous.Next()
		g.scheduler.Push(len(weights)-1, conn)
	}
	if g.admission == nil {
		g.jitter = limits.NewJitter(uint64(settings.Router.Seed), 0.5)
		g.readPause = limits.NewReadPause(limits.DefaultReadPause())
		g.reputation = limits.NewReputation(limits.ReputationSettings{})
	}
	g.reputation.Adopt(limits.DefaultReputation(limit.Poor))
	admission := limits.AdmissionSettings{Target: limit.OverloadTarget, QueueingShare: limit.OverloadPart, Interval: 100, MinInFlight: limit.OverloadLeast, MaxInFlight: limit.Held, Headroom: 0.2}
	if g.admission == nil {
		g.admission = limits.NewAdmission(admission)
	}
	g.admission.Adopt(admission)
	g.retryBudget = limits.NewRetryBudget(limits.RetryBudgetSettings{Share: limit.RetryShare, Burst: 100, AddressShare: 1, AddressBurst: float64(limit.RetryBurst), Addresses: 4096})
	g.maxClients = limit.Connections
	var nofile unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &nofile) == nil && nofile.Cur < 1<<30 {
		// a request in hand needs a connection of its own and one to a member
		g.maxClients = min(g.maxClients, max((int(nofile.Cur)-reservedDescriptors)*3/5, 8))
	}
}

// schedulerClass is a schedulerClass's place in the scheduler.
func (g *guard) schedulerClass(name string) int {
	if i, ok := g.classIndex[name]; ok {
		return i
	}
	return len(g.classIndex)
}

// enqueue queues a connection that is enqueue to move bytes.
func (g *guard) enqueue(class int, conn readyConn) { g.scheduler.Push(class, conn) }

// afterTurn is the end of each turn of the loop: ready connections move bytes in their
// order, as many as a turn may, and what is over is shed.
func (g *guard) afterTurn() (more bool) {
	edge := g.edge
	edge.updatePages()
	if g.scheduler.Len() == 0 {
		g.admission.ObserveWait(edge.loop.Took())
	} else {
		bytesLeft := int(edge.settings.Limits.TurnKB * 1024)
		for bytesLeft > 0 {
			conn, class, room, ok := g.scheduler.Next()
			if !ok {
				break
			}
			g.admission.ObserveWait(edge.loop.Took() + edge.loop.Now() - conn.queuedAt())
			moved, more := conn.transfer(room)
			g.scheduler.Used(class, conn, moved, more)
			bytesLeft -= max(moved, 1024) // a call has its price too
		}
	}
	edge.updatePages()
	g.admission.Tick(edge.loop.Now(), len(edge.requests))
	g.readPause.Tick(edge.loop.Now())
	if g.memory.Full() {
		g.shedForMemory()
	}
	return g.scheduler.Len() > 0
}

// pausedClient is a connection that is not read until its time comes.
type pausedClient struct {
	client *clientConn
	until  float64
}

// pauseReading has a connection wait that was turned away.
func (g *guard) pauseReading(client *clientConn) {
	pause := g.readPause.Duration()
	if pause <= 0 || client.closed || client.closeAfterResponse || client.discardInput || client.current != nil || client.readPaused || len(client.unparsed) > 0 {
		return
	}
	client.readPaused = true
	client.updateInterest()
	g.pausedClients = append(g.pausedClients, pausedClient{client, g.edge.loop.Now() + pause})
	if !g.resumeTimer.Armed() {
		g.edge.loop.Arm(&g.resumeTimer, pause)
	}
}

// resumeReading has those read again whose time has come.
func (g *guard) resumeReading() {
	due, now := 0, g.edge.loop.Now()
	for ; due < len(g.pausedClients) && g.pausedClients[due].until <= now; due++ {
		if c := g.pausedClients[due].client; !c.closed && c.current == nil && c.readPaused {
			c.readPaused = false
			c.updateInterest()
		}
	}
	g.pausedClients = append(g.pausedClients[:0], g.pausedClients[due:]...)
	if len(g.pausedClients) > 0 {
		g.edge.loop.Arm(&g.resumeTimer, g.pausedClients[0].until-now)
	}
}

// admit decides whether a request whose head has come is taken into hand.
func (g *guard) admit(client *clientConn, spec *spool.Request) limits.Cause {
	switch {
	case g.memory.Full():
		return limits.Memory
	case g.hasPoorReputation(client) && !g.reputation.HasCapacity():
		return limits.PoorReputation
	case !g.retryBudget.Admit(client.addrText, spec.Retry, g.admission.Overloaded()):
		return limits.RetryLimit
	case !g.admission.Admit(len(g.edge.requests), g.rank(spec.Class)):
		return limits.Overload
	}
	return limits.None
}

// hasPoorReputation reports whether a client's address is of hasPoorReputation standing.
func (g *guard) hasPoorReputation(c *clientConn) bool {
	return g.reputation.Any() && g.reputation.Poor(c.addrText, g.edge.loop.Now())
}

// recordBadOutcome notes that the client has wasted the place that it had.
func (g *guard) recordBadOutcome(c *clientConn) {
	if !c.badOutcome {
		c.badOutcome = true
		g.reputation.AddBad(c.addrText, g.edge.loop.Now())
	}
}

// bufferRoom is how much of an answer may wait for its client now.
func (g *guard) bufferRoom() int { return g.memory.Room(g.edge.settings.Limits.Buffer) }

func (g *guard) rank(class string) float64 {
	if i, ok := g.classIndex[class]; ok {
		return g.ranks[i]
	}
	return 0
}

// peerTime is the time by which peers are judged: what turns of the loop took beyond the
// ordinary is not theirs.
func (g *guard) peerTime() float64 { return g.edge.loop.Now() - g.edge.loop.SlowTime() }

// closeStalledUpstream has the connection of a member give its place to an attempt that finds
// none, where one has waited for its client for long.
func (g *guard) closeStalledUpstream(p *connPool) {
	for _, u := range g.longStalled(p) {
		g.counts[limits.SlowReader]++
		u.attempt.request.client.closeSlow(limits.SlowReader)
		return
	}
}

// sweep looks at those that are waited for.
func (g *guard) sweep() {
	edge, now := g.edge, g.peerTime()
	edge.loop.Arm(&g.sweepTimer, sweepInterval)
	for client := range g.awaited {
		if client.output.Len() > 0 {
			acked := client.acknowledged()
			if acked > client.ackedBytes {
				client.lastProgress = now
			} else if limits.IsStalled(now - client.lastProgress) {
				g.recordBadOutcome(client)
			}
			client.flow.Moved(now, int(acked-client.ackedBytes), &g.readRate)
			client.ackedBytes = acked
		}
		if rate, cause := client.minRate(); client.flow.Slow(now, rate) {
			g.counts[cause]++
			client.closeSlow(cause)
		}
	}
	g.slowUpstreams = g.slowUpstreams[:0]
	for _, pool := range edge.pools {
		for upstream := range pool.connections {
			if upstream.paused && !upstream.stallReported && edge.loop.Now()-upstream.pausedAt >= sweepInterval {
				g.stalledUpstreams = append(g.stalledUpstreams, upstream)
			}
			if upstream.state == upRelayingBody && upstream.flow.Waiting() && upstream.flow.Slow(now, &g.memberRate) {
				g.slowUpstreams = append(g.slowUpstreams, upstream)
				g.massSlowness.ObserveSlow(pool.member, now)
			}
		}
	}
	for i, upstream := range g.stalledUpstreams {
		if g.stalledUpstreams[i] = nil; upstream.paused {
			upstream.reportStalled(true)
		}
	}
	g.stalledUpstreams = g.stalledUpstreams[:0]
	g.checkUnread(now)
	if g.reputation.Any() {
		g.shedPoorReputation()
	}
	for i, upstream := range g.slowUpstreams {
		if g.slowUpstreams[i] = nil; upstream.fd >= 0 && upstream.state == upRelayingBody && g.massSlowness.MayCut(upstream.pool.member, now) {
			g.counts[limits.SlowMember]++
			upstream.fail(spool.TimedOut)
		}
	}
}

// minUnreadBytes is how many bytes of an answer are worth a look at whether they are taken.
const minUnreadBytes = 16 << 10

// trackUnread notes that the kernel may hold some of an answer that is whole.
func (g *guard) trackUnread(c *clientConn) {
	if !c.unreadTracked && c.writtenBytes-c.ackedBytes >= minUnreadBytes {
		c.unreadTracked, c.lastProgress = true, g.peerTime()
		g.unreadClients = append(g.unreadClients, c)
	}
}

// checkUnread sees how much the kernel holds for clients, and cuts those of them that
// limits.UnreadAccount names.
func (g *guard) checkUnread(now float64) {
	var unread []limits.Unread
	var clients []*clientConn
	add := func(c *clientConn, bytes int64) {
		unread, clients = append(unread, limits.Unread{Index: len(clients), Bytes: bytes, StalledFor: now - c.lastProgress}), append(clients, c)
	}
	for c := range g.awaited { // looked at before
		if c.output.Len() > 0 {
			add(c, c.writtenBytes-c.ackedBytes)
		}
	}
	kept := g.unreadClients[:0]
	for _, client := range g.unreadClients {
		if client.closed {
			continue
		}
		if client.output.Len() == 0 {
			if acked := client.acknowledged(); acked > client.ackedBytes {
				client.ackedBytes, client.lastProgress = acked, now
			}
		}
		if client.writtenBytes == client.ackedBytes {
			client.unreadTracked = false
			continue
		}
		kept = append(kept, client)
		if client.output.Len() == 0 {
			add(client, client.writtenBytes-client.ackedBytes)
		}
	}
	clear(g.unreadClients[len(kept):])
	g.unreadClients = kept
	for _, over := range g.unread.Update(unread) {
		if c := clients[over.Index]; !c.closed {
			g.counts[limits.SlowReader]++
			c.closeSlow(limits.SlowReader)
		}
	}
}

// shedPoorReputation finds requests in hand of those who have become poor, and gives up what is
// too many of them: by limits.ShedOrder, of the answers that have begun only those that
// nobody takes.
func (g *guard) shedPoorReputation() {
	edge := g.edge
	var candidates []limits.ShedCandidate
	var requests []*clientRequest
	for _, request := range edge.requests {
		if request.phase == finished || !request.poorReputation && !g.hasPoorReputation(request.client) {
			continue
		}
		if !request.poorReputation {
			request.poorReputation = true
			g.reputation.Reserve()
		}
		winner := request.winner
		stalled := winner != nil && winner.upstream != nil && winner.upstream.paused && len(limits.LongStalled([]float64{edge.loop.Now() - winner.upstream.pausedAt})) > 0
		if request.phase == awaitingResponse && request.openAttempts == 0 || request.phase == relaying && stalled {
			candidates, requests = append(candidates, g.shedCandidate(len(requests), request)), append(requests, request)
		}
	}
	excess := g.reputation.Excess()
	for i, candidate := range limits.ShedOrder(candidates) {
		if i >= excess {
			return
		}
		if r := requests[candidate.Index]; r.client.current == r {
			g.counts[limits.PoorReputation]++
			r.shed(limits.PoorReputation)
		}
	}
}

// shedCandidate is a request as limits.ShedOrder looks at it.
func (g *guard) shedCandidate(index int, request *clientRequest) limits.ShedCandidate {
	client := request.client
	candidate := limits.ShedCandidate{Index: index, Bytes: requestBytes + int64(client.output.Cap()+cap(client.unparsed)+cap(request.requestBody)), Begun: request.phase == relaying,
		BytesLeft: max(request.spec.KB*1024-float64(request.sentBytes), 0), Idempotent: request.phase == receivingBody || !request.spec.Write || !request.anyWritten()}
	if i, ok := g.classIndex[request.spec.Class]; ok {
		class := &g.edge.settings.Classes[i]
		if candidate.Weight = class.Worth; g.edge.loop.Now()-request.receivedAt > class.Aim {
			candidate.Weight *= class.LateWorth
		}
	}
	return candidate
}

// setAwaited has a client's flow follow whether it is awaited for.
func (g *guard) setAwaited(client *clientConn, awaited bool) {
	if awaited == client.flow.Waiting() {
		return
	}
	if awaited {
		client.flow.StartWaiting(g.peerTime())
		g.awaited[client] = struct{}{}
		client.lastProgress = g.peerTime()
		if client.output.Len() > 0 {
			client.ackedBytes = client.acknowledged()
		}
		return
	}
	rate, _ := client.minRate()
	client.flow.StopWaiting(g.peerTime(), rate)
	delete(g.awaited, client)
}

// shedForMemory gives memory back: idle connections, the longest unused first, and at the very
// edge requests, by limits.ShedOrder.
func (g *guard) shedForMemory() {
	idleExcess, requestExcess := g.memory.Excess()
	for idleExcess > 0 && g.closeIdle(limits.Memory) {
		idleExcess -= clientBytes
	}
	edge := g.edge
	if idleExcess <= 0 || edge.loop.Now() < g.nextShedAt { // looking over all of them has its price
		return
	}
	g.nextShedAt = edge.loop.Now() + 50
	for _, upstream := range g.longStalled(slices.Collect(maps.Values(edge.pools))...) {
		if idleExcess <= 0 {
			return
		}
		if upstream.paused && upstream.attempt != nil {
			c := upstream.attempt.request.client
			idleExcess -= clientBytes + upstreamBytes + requestBytes + int64(c.output.Cap())
			g.counts[limits.Memory]++
			c.closeSlow(limits.SlowReader)
		}
	}
	if requestExcess = min(requestExcess, idleExcess); requestExcess <= 0 {
		return
	}
	var candidates []limits.ShedCandidate
	var requests []*clientRequest
	for c := range edge.clients {
		r := c.current
		if r == nil {
			continue
		}
		candidates, requests = append(candidates, g.shedCandidate(len(requests), r)), append(requests, r)
	}
	for _, candidate := range limits.Shed(candidates, requestExcess) {
		if r := requests[candidate.Index]; r.client.current == r {
			g.counts[limits.Memory]++
			r.shed(limits.Memory)
		}
	}
}

// longStalled is the connections to members that wait for their clients for long, in the
// order in which they give way.
func (g *guard) longStalled(pools ...*connPool) (stalled []*upstreamConn) {
	var paused []*upstreamConn
	var waits []float64
	for _, p := range pools {
		for u := range p.connections {
			if u.paused && u.attempt != nil {
				paused, waits = append(paused, u), append(waits, g.edge.loop.Now()-u.pausedAt)
			}
		}
	}
	for _, i := range limits.LongStalled(waits) {
		stalled = append(stalled, paused[i])
	}
	return stalled
}

// closeIdle closes the connection that is unused for longest; false: none is.
func (g *guard) closeIdle(cause limits.Cause) bool {
	client := g.idleClients.oldest()
	if client == nil || !limits.MayCloseIdle(g.edge.loop.Now()-client.idleSince) {
		return false
	}
	g.counts[cause]++
	client.closeIdle()
	return true
}

// connectionsFull reports that a connection more can't be had, with those that are idle gone.
func (g *guard) connectionsFull() bool {
	return len(g.edge.clients) >= g.maxClients && !g.closeIdle(limits.Descriptors)
}

// idleList is the clients between requests, the longest unused first.
type idleList struct{ root clientConn }

func (l *idleList) init() { l.root.prev, l.root.next = &l.root, &l.root }

func (l *idleList) push(client *clientConn, now float64) {
	client.idleSince = now
	if client.next != nil {
		l.remove(client)
	}
	client.prev, client.next = l.root.prev, &l.root
	client.prev.next, l.root.prev = client, client
}

func (l *idleList) remove(c *clientConn) {
	if c.next == nil {
		return
	}
	c.prev.next, c.next.prev = c.next, c.prev
	c.prev, c.next = nil, nil
}

func (l *idleList) oldest() *clientConn {
	if l.root.next == &l.root {
		return nil
	}
	return l.root.next
}
