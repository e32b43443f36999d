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

// guard enforces the limits of internal/proxy/limits: it reports to that package what happens
// on the sockets, and closes connections and rejects or sheds requests as the package decides.
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
	pausedClients                            []pausedClient // sorted by the time at which reading resumes
	heldClients                              []*clientConn  // clients whose input is handled in the next turn
	unread                                   limits.UnreadAccount
	unreadClients                            []*clientConn // clients for which the kernel's send buffer may hold part of a finished response
	memory                                   limits.Budget
	counts                                   limits.Counts

	classIndex       map[string]int           // index of a class by its name, in ranks and in the scheduler
	ranks            []float64                // ranks of the classes, from 0 to 1, by priority weight
	priorityWeights  []float64                // priority weights of the classes
	awaited          map[*clientConn]struct{} // clients that the router waits for, to send or to read
	connectionsOf    map[netip.Addr]int       // number of connections by client address
	idleClients      idleList
	nextShedAt       float64         // earliest time of the next scan for requests to shed
	slowUpstreams    []*upstreamConn // reused by each sweep: members that send too slowly
	stalledUpstreams []*upstreamConn // reused by each sweep: paused because their clients do not read
	sweepTimer       eventloop.Timer
	resumeTimer      eventloop.Timer // expires at the end of the first pause in pausedClients
	maxClients       int             // client connections that the descriptor limit allows
}

// readyConn is a connection that is ready to read or write.
type readyConn interface {
	// transfer moves about room bytes at most. It returns the number of bytes moved, and whether
	// the connection is ready for more.
	transfer(room int) (moved int, more bool)
	// queuedAt returns the time at which the connection was given to the scheduler.
	queuedAt() float64
}

const (
	sweepInterval = 250 // ms between checks for slow peers
	shedInterval  = 50  // ms between scans of all requests for those to shed
	// Bytes charged to the memory budget for the state of a connection or a request without its
	// buffers: the structure, its map entries and its timers. See spool-bench idle.
	clientBytes         = 1 << 10
	upstreamBytes       = 2 << 10
	requestBytes        = 3 << 10
	reservedDescriptors = 24 // descriptors for files and sockets other than connections
)

func newGuard(edge *Edge) *guard {
	g := &guard{edge: edge, awaited: map[*clientConn]struct{}{}, connectionsOf: map[netip.Addr]int{}}
	g.idleClients.init()
	g.sweepTimer.F = g.sweep
	g.resumeTimer.F = g.resumeReading
	g.applySettings(edge.settings)
	return g
}

// applySettings applies settings, at the start and when they change. The learned limit of
// requests in flight and the reputation of addresses are kept.
func (g *guard) applySettings(settings *config.Settings) {
	limit := &settings.Limits
	g.edge.listener.PerTurn = limit.AcceptPerTurn
	minRate := func(kbPerSecond, grace float64) limits.MinRate {
		return limits.MinRate{Rate: kbPerSecond * 1024 / 1000, Grace: grace, Step: 2 * sweepInterval}
	}
	g.headRate, g.bodyRate = minRate(limit.HeadRate, limit.HeadGrace), minRate(limit.ClientRate, limit.ClientGrace)
	g.readRate, g.memberRate = g.bodyRate, minRate(limit.MemberRate, limit.MemberGrace)
	g.massSlowness.Window, g.massSlowness.Share, g.massSlowness.MinActive = 2*limit.MemberGrace+1000, limit.MassSlownessShare, 2
	memoryBytes := int64(limit.MemoryMB * (1 << 20))
	g.memory.Total = memoryBytes - limits.UnaccountedMemory(memoryBytes)
	g.unread.Total, g.unread.Idle = int64(limit.SocketsMB*(1<<20)), limit.WriteIdle
	var weights []float64
	g.classIndex, g.ranks, g.priorityWeights = map[string]int{}, nil, nil
	for i := range settings.Classes {
		g.classIndex[settings.Classes[i].Name] = i
		weights = append(weights, settings.Classes[i].TransferWeight)
		g.priorityWeights = append(g.priorityWeights, settings.Classes[i].PriorityWeight)
	}
	sorted := append([]float64(nil), g.priorityWeights...)
	sort.Float64s(sorted)
	for _, weight := range g.priorityWeights {
		g.ranks = append(g.ranks, float64(sort.SearchFloat64s(sorted, math.Nextafter(weight, math.Inf(1)))-1)/max(float64(len(sorted)-1), 1))
	}
	weights = append(weights, 1) // for connections without a class
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
	g.reputation.Adopt(limits.DefaultReputation(limit.PoorReputationRequests))
	admission := limits.AdmissionSettings{Target: limit.OverloadTarget, QueueingShare: limit.OverloadQueueingShare, Interval: 100, MinInFlight: limit.OverloadMinInFlight, MaxInFlight: limit.MaxRequests, Headroom: 0.2}
	if g.admission == nil {
		g.admission = limits.NewAdmission(admission)
	}
	g.admission.Adopt(admission)
	g.retryBudget = limits.NewRetryBudget(limits.RetryBudgetSettings{Share: limit.RetryShare, Burst: 100, AddressShare: 1, AddressBurst: float64(limit.RetryBurst), Addresses: 4096})
	g.maxClients = limit.Connections
	var nofile unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &nofile) == nil && nofile.Cur < 1<<30 {
		// Clients get 3 in 5 of the descriptors: a request in flight needs a connection to a
		// member as well as its own.
		g.maxClients = min(g.maxClients, max((int(nofile.Cur)-reservedDescriptors)*3/5, 8))
	}
}

// schedulerClass returns the scheduler's index for a class, or for no class.
func (g *guard) schedulerClass(name string) int {
	if i, ok := g.classIndex[name]; ok {
		return i
	}
	return len(g.classIndex)
}

// enqueue gives a connection that is ready to read or write to the scheduler.
func (g *guard) enqueue(class int, conn readyConn) { g.scheduler.Push(class, conn) }

// afterTurn runs at the end of each turn of the loop. It lets ready connections transfer bytes
// in the scheduler's order, up to the limit of a turn, and sheds load when memory runs short.
func (g *guard) afterTurn() (more bool) {
	edge := g.edge
	g.resumeHeld()
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
			bytesLeft -= max(moved, 1024) // also charges for the system call
		}
	}
	edge.updatePages()
	g.admission.Tick(edge.loop.Now(), len(edge.requests))
	g.readPause.Tick(edge.loop.Now())
	if g.memory.Full() {
		g.shedForMemory()
	}
	return g.scheduler.Len() > 0 || len(g.heldClients) > 0
}

// holdInput leaves the unparsed input of a client to the next turn of the loop, so that one client
// whose requests cost the router little can't delay all others.
func (g *guard) holdInput(client *clientConn) {
	client.inputHeld = true
	g.idleClients.remove(client)
	g.heldClients = append(g.heldClients, client)
}

// resumeHeld goes on with the input that was held in the turns before.
func (g *guard) resumeHeld() {
	held, turn := g.heldClients, g.edge.loop.Turns()
	g.heldClients = nil
	for _, client := range held {
		switch {
		case client.closed:
		case client.lastTurn == turn:
			g.heldClients = append(g.heldClients, client)
		default:
			client.inputHeld = false
			client.parseUnparsed()
			client.accountInput()
		}
	}
}

// pausedClient is a connection whose reading is paused until the given time.
type pausedClient struct {
	client *clientConn
	until  float64
}

// pauseReading stops reading for a while from a client whose request was rejected.
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

// resumeReading resumes reading from the paused clients whose pause is over.
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

// admit decides whether a request whose head was received is admitted. It returns the limit
// that rejects it, or limits.None.
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

// hasPoorReputation reports whether the address of a client has a poor reputation.
func (g *guard) hasPoorReputation(c *clientConn) bool {
	return g.reputation.Any() && g.reputation.Poor(c.addrText, g.edge.loop.Now())
}

// recordBadOutcome records, once for each request, that the client wasted the capacity that
// it was given.
func (g *guard) recordBadOutcome(c *clientConn) {
	if !c.badOutcome {
		c.badOutcome = true
		g.reputation.AddBad(c.addrText, g.edge.loop.Now())
	}
}

// bufferRoom returns how many bytes of a response may be buffered for its client now.
func (g *guard) bufferRoom() int { return g.memory.Room(g.edge.settings.Limits.BufferBytes) }

// rank returns the rank of a class for admission, from 0 to 1; that of an unknown class is 0.
func (g *guard) rank(class string) float64 {
	if i, ok := g.classIndex[class]; ok {
		return g.ranks[i]
	}
	return 0
}

// peerTime returns the clock against which the rates of peers are measured. It excludes the
// excess of slow loop turns, so that peers are not charged for the router's own delays.
func (g *guard) peerTime() float64 { return g.edge.loop.Now() - g.edge.loop.SlowTime() }

// closeStalledUpstream closes one connection of the pool whose client has not read for long,
// if there is one, so that an attempt that waits for a connection can take its place.
func (g *guard) closeStalledUpstream(p *connPool) {
	for _, u := range g.longStalled(p) {
		g.counts[limits.SlowReader]++
		u.attempt.request.client.closeSlow(limits.SlowReader)
		return
	}
}

// sweep checks, every sweepInterval, the rates of all peers that the router waits for.
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
		if g.slowUpstreams[i] = nil; upstream.fd >= 0 && upstream.state == upRelayingBody && g.massSlowness.MayDisconnect(upstream.pool.member, now) {
			g.counts[limits.SlowMember]++
			upstream.fail(spool.TimedOut)
		}
	}
}

// minUnreadBytes is the least number of unacknowledged bytes for which a client is tracked.
const minUnreadBytes = 16 << 10

// trackUnread tracks a client whose response was written in full, but may still be in the
// kernel's send buffer in part.
func (g *guard) trackUnread(c *clientConn) {
	if !c.unreadTracked && c.writtenBytes-c.ackedBytes >= minUnreadBytes {
		c.unreadTracked, c.lastProgress = true, g.peerTime()
		g.unreadClients = append(g.unreadClients, c)
	}
}

// checkUnread reports to limits.UnreadAccount how much the kernel holds for each client, and
// closes the clients that it selects.
func (g *guard) checkUnread(now float64) {
	var unread []limits.Unread
	var clients []*clientConn
	add := func(c *clientConn, bytes int64) {
		unread, clients = append(unread, limits.Unread{Index: len(clients), Bytes: bytes, StalledFor: now - c.lastProgress}), append(clients, c)
	}
	for c := range g.awaited { // sweep has updated ackedBytes of these
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
	for _, excess := range g.unread.Update(unread) {
		if c := clients[excess.Index]; !c.closed {
			g.counts[limits.SlowReader]++
			c.closeSlow(limits.SlowReader)
		}
	}
}

// shedPoorReputation counts the requests in flight whose client's reputation has become poor,
// and sheds those beyond the limit in limits.ShedOrder. Of the responses that have begun it
// sheds only those that their clients do not read.
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

// shedCandidate describes a request for limits.ShedOrder.
func (g *guard) shedCandidate(index int, request *clientRequest) limits.ShedCandidate {
	client := request.client
	candidate := limits.ShedCandidate{Index: index, Bytes: requestBytes + int64(client.output.Cap()+cap(client.unparsed)+cap(request.requestBody)), Begun: request.phase == relaying,
		BytesLeft: max(request.spec.KB*1024-float64(request.sentBytes), 0), Idempotent: request.phase == receivingBody || !request.spec.Write || !request.anyWritten()}
	if i, ok := g.classIndex[request.spec.Class]; ok {
		class := &g.edge.settings.Classes[i]
		if candidate.Weight = class.PriorityWeight; g.edge.loop.Now()-request.receivedAt > class.LatencyObjective {
			candidate.Weight *= class.LateWeightShare
		}
	}
	return candidate
}

// setAwaited starts or stops the rate check of a client, as the router begins or ceases to
// wait for it.
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

// shedForMemory frees memory. It closes idle connections first, starting with the longest
// unused, then connections whose clients have not read for long, and last it sheds requests in
// limits.ShedOrder.
func (g *guard) shedForMemory() {
	idleExcess, requestExcess := g.memory.Excess()
	for idleExcess > 0 && g.closeIdle(limits.Memory) {
		idleExcess -= clientBytes
	}
	edge := g.edge
	if idleExcess <= 0 || edge.loop.Now() < g.nextShedAt { // the scan of all requests is costly
		return
	}
	g.nextShedAt = edge.loop.Now() + shedInterval
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

// longStalled returns the connections to members that were paused long ago because their
// clients do not read, in the order in which they are closed.
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

// closeIdle closes the longest unused client connection. It reports false if there is none.
func (g *guard) closeIdle(cause limits.Cause) bool {
	client := g.idleClients.oldest()
	if client == nil || !limits.MayCloseIdle(g.edge.loop.Now()-client.idleSince) {
		return false
	}
	g.counts[cause]++
	client.closeIdle()
	return true
}

// connectionsFull reports whether no further client connection can be accepted, even after
// closing an idle one.
func (g *guard) connectionsFull() bool {
	return len(g.edge.clients) >= g.maxClients && !g.closeIdle(limits.Descriptors)
}

// idleList is a ring of the clients between requests, the longest unused first.
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
