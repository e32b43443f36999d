package indigospool

import (
	"cmp"
	"slices"
)

const (
	// initialLimit is how many transfers may be in flight at first. From there the limit follows
	// what is answered in time.
	initialLimit = 32.0
	// minLimit is the least limit of one router's link or of a cache: with one transfer in flight
	// at most nothing could show that more are borne.
	minLimit = 2.0
	// minSharedLimit is the least limit of a location's link for all its routers together, which
	// may be many.
	minSharedLimit = 4.0
	// slowFraction is the part of the latency objective past which a transfer is slow.
	slowFraction = 0.6
	// maxSlowShare is the share of slow transfers from which a link is too full.
	maxSlowShare = 0.4
	// slowShareGain is the weight of one transfer in the share of slow ones.
	slowShareGain = 0.1
	// limitDecreaseFactor is what is left of a limit that is lowered.
	limitDecreaseFactor = 0.9
	// limitDecreaseInterval is the least time between two decreases: the transfers in flight are
	// slow for the same cause.
	limitDecreaseInterval = Millis(100)
	// minPacedLimit bounds the time between two transfers where the limit is a fraction.
	minPacedLimit = 0.05
	// picksBeforeSort is how many queued requests are picked one by one before all are sorted: most of
	// the time no more can go on.
	picksBeforeSort = 4
)

// concurrencyLimit bounds the transfers in flight over a link to as many as are answered in time.
type concurrencyLimit struct {
	inFlight  float64
	limit     float64 // transfers that may be in flight; below 1 a share of the time
	slowShare float64 // recent share of slow transfers
	loweredAt Millis  // when the limit was last lowered
	nextStart Millis  // while the limit is below 1: when the next transfer may start
}

// available reports whether one more transfer may start. A limit below 1 means one
// transfer for a part of the time.
func (l *concurrencyLimit) available(now Millis) bool {
	return l.inFlight < l.limit && now >= l.nextStart
}

// transfer is what a finished attempt says about the link it went over.
type transfer struct {
	slow       bool // it used up most of the latency objective
	succeeded  bool // nobody was blamed for a fault
	took       Millis
	sizeStated bool
}

// adjustLimit learns from a transfer how many at once a link bears, the location's or a
// cache's: a tenth fewer when too many are slow, else one more for each limit's worth. Some
// are slow for other reasons, such as size or a far source. The routers of the location share
// the least limit of its link, which matters where they are many.
func (r *Router) adjustLimit(limit *concurrencyLimit, transfer transfer) {
	gain := slowShareGain
	if !transfer.sizeStated { // large ones look slow: judge by as many as the limit, lest a few lower it
		gain = min(gain, 1/max(limit.limit, 1))
	}
	limit.slowShare -= limit.slowShare * gain
	if transfer.slow {
		limit.slowShare += gain
	}
	switch {
	case limit.slowShare > maxSlowShare:
		if transfer.slow && r.now-limit.loweredAt > limitDecreaseInterval {
			r.lowerLimit(limit)
		}
	case transfer.succeeded && limit.inFlight+2 >= limit.limit: // only what is used shows what is borne
		limit.limit += 1 / max(limit.limit, 1)
	}
	limit.nextStart = r.now + transfer.took*max(1/max(limit.limit, minPacedLimit)-1, 0)
}

// lowerLimit lowers a limit to a part of what is in flight.
func (r *Router) lowerLimit(limit *concurrencyLimit) {
	lowerBound := min(minLimit, minSharedLimit/r.settings.sharingRouters(edge))
	limit.limit = max(min(limit.limit, limit.inFlight+1)*limitDecreaseFactor, lowerBound)
	limit.loweredAt = r.now
}

// handleStall takes an answer that waits for its client out of what is in flight, and
// counts it again when it goes on: one slow client does not take up capacity that others
// could use.
func (r *Router) handleStall(stalled Stalled) {
	request, attempt := r.findAttempt(stalled.ID, stalled.Attempt)
	if request == nil || !attempt.outstanding || attempt.stalled == stalled.On {
		return
	}
	attempt.stalled, attempt.wasStalled = stalled.On, true
	if !stalled.On {
		r.countInFlight(attempt, 1)
		return
	}
	r.countInFlight(attempt, -1)
	r.admitQueued()
}

// countInFlight counts a stalled attempt in again (1), or out (-1).
func (r *Router) countInFlight(attempt *attempt, sign float64) {
	attempt.target.inFlight += sign
	attempt.target.pendingTime = max(attempt.target.pendingTime+sign*attempt.expected, 0)
	if attempt.fill {
		r.link.inFlight += sign
	}
}

// admitQueued lets queued requests go on, those of the highest priority first: where the
// link cannot serve all, the least valuable wait.
func (r *Router) admitQueued() {
	r.queue = r.queue[:0]
	for _, request := range r.arrivals {
		if request.queued && !request.ended {
			r.queue = append(r.queue, request)
		}
	}
	queue := r.queue
	for range picksBeforeSort {
		if len(queue) == 0 || r.allCachesFull() {
			break
		}
		first := r.highestPriority(queue)
		request := queue[first]
		queue = slices.Delete(queue, first, first+1)
		r.advance(request)
	}
	if r.allCachesFull() {
		queue = r.independentOfCaches(queue)
	}
	slices.SortStableFunc(queue, func(a, b *request) int { return cmp.Compare(r.priority(b), r.priority(a)) })
	for _, request := range queue {
		r.advance(request)
	}
}

// highestPriority is the index of the queued request of the highest priority; of equal
// ones the first.
func (r *Router) highestPriority(queue []*request) int {
	first, highest := 0, r.priority(queue[0])
	for i, request := range queue[1:] {
		if priority := r.priority(request); priority > highest {
			first, highest = i+1, priority
		}
	}
	return first
}

// independentOfCaches keeps the queued requests that can go on, or must end, while no cache
// takes anything. Else each transfer that ends would cost a look at all that wait.
func (r *Router) independentOfCaches(queue []*request) []*request {
	direct := r.settings.DirectAttempts && r.link.available(r.now)
	return slices.DeleteFunc(queue, func(request *request) bool {
		return request.fillTarget == nil && !direct && !request.isWrite() && !r.exhausted(request)
	})
}

// priority is a queued request's weight for the time that it takes to send: less for one
// that will be late, and for a client's repeat, which has waited before.
func (r *Router) priority(request *request) float64 {
	weight := request.class.PriorityWeight
	expectedEnd := r.now + request.sendTime*r.fillTimeRatio
	if request.Retry || expectedEnd > request.arrived+request.latencyObjective() {
		weight *= request.class.LateWeightShare
	}
	return weight / (request.sendTime + 1)
}

// allCachesFull reports whether no cache of the location takes a request now, whichever it is.
func (r *Router) allCachesFull() bool {
	return !slices.ContainsFunc(r.byRole[edge], func(member *member) bool {
		return !member.unavailable && !member.atLimit() && !(member.ejected && !r.healthCheckDue(member))
	})
}

// atLimit reports whether a member has as many transfers in flight as it is thought to bear.
func (m *member) atLimit() bool { return m.inFlight >= max(m.limit, minLimit) }
