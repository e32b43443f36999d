package indigospool

import (
	"cmp"
	"slices"
)

const (
	// initialLimit is the initial number of transfers that may be in flight.
	initialLimit = 32.0
	// minLimit is the lowest limit of a cache, and of one router's fills over the link. With only one
	// transfer in flight there would be no evidence that a higher limit is possible.
	minLimit = 2.0
	// minSharedLimit is the lowest limit of the link into the zone for all routers of the zone
	// together, of which there may be many.
	minSharedLimit = 4.0
	// slowFraction is the fraction of the latency objective above which a transfer is slow.
	slowFraction = 0.6
	// maxSlowShare is the share of slow transfers above which a limit is lowered.
	maxSlowShare = 0.4
	// slowShareGain is the weight of one transfer in the moving share of slow transfers.
	slowShareGain = 0.1
	// limitDecreaseFactor is the factor by which a limit is lowered.
	limitDecreaseFactor = 0.9
	// limitDecreaseInterval is the minimum time between two decreases: transfers that were in flight
	// together are slow for the same reason.
	limitDecreaseInterval = Millis(100)
	// minPacedLimit is the lowest limit that is used to compute the pause between two transfers.
	minPacedLimit = 0.05
	// picksBeforeSort is the number of queued requests that are selected one by one before the rest
	// is sorted. Usually no more can be admitted.
	picksBeforeSort = 4
)

// concurrencyLimit is an adaptive limit on the transfers in flight over the link into the zone, or
// from one member. It rises and falls with the share of transfers that are slow.
type concurrencyLimit struct {
	inFlight  float64
	limit     float64 // maximum of inFlight; below 1: the share of time in which one transfer may be in flight
	slowShare float64 // moving share of slow transfers, 0 to 1
	loweredAt Millis  // when the limit was last lowered
	nextStart Millis  // while the limit is below 1: the earliest start of the next transfer
}

// available reports whether another transfer may start.
func (l *concurrencyLimit) available(now Millis) bool {
	return l.inFlight < l.limit && now >= l.nextStart
}

// transfer is a completed attempt as seen by the concurrency limit that it counted against.
type transfer struct {
	slow       bool // it took most of the latency objective, or was rejected for a shortage
	succeeded  bool // no member was blamed for a failure
	took       Millis
	sizeStated bool // the request stated the size of the answer
}

// adjustLimit adjusts the limit of the link or of a member after a transfer (additive increase,
// multiplicative decrease). A successful transfer adds 1/limit if the limit is nearly used up. A slow
// one lowers the limit if the share of slow transfers exceeds maxSlowShare: below that share,
// transfers are slow for other reasons, such as their size or a distant source.
func (r *Router) adjustLimit(limit *concurrencyLimit, transfer transfer) {
	gain := slowShareGain
	if !transfer.sizeStated { // large answers look slow: average over more transfers, so that a few don't lower the limit
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
	case transfer.succeeded && limit.inFlight+2 >= limit.limit: // an unused limit gives no evidence that a higher one is possible
		limit.limit += 1 / max(limit.limit, 1)
	}
	limit.nextStart = r.now + transfer.took*max(1/max(limit.limit, minPacedLimit)-1, 0)
}

// lowerLimit multiplies a limit, or the number in flight if that is lower, by limitDecreaseFactor. The
// result is at least minLimit, or this router's part of minSharedLimit if many routers share the zone.
func (r *Router) lowerLimit(limit *concurrencyLimit) {
	lowerBound := min(minLimit, minSharedLimit/r.settings.sharingRouters(edge))
	limit.limit = max(min(limit.limit, limit.inFlight+1)*limitDecreaseFactor, lowerBound)
	limit.loweredAt = r.now
}

// handleStall excludes a transfer that waits for its client from the counts in flight, and includes
// it again when it resumes. This keeps slow clients from using up the concurrency limits.
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

// countInFlight adds an attempt to the counts in flight (sign 1) or subtracts it (sign -1).
func (r *Router) countInFlight(attempt *attempt, sign float64) {
	attempt.target.inFlight += sign
	attempt.target.pendingTime = max(attempt.target.pendingTime+sign*attempt.expected, 0)
	if attempt.fill {
		r.link.inFlight += sign
	}
}

// admitQueued advances the queued requests in the order of their priority. If the capacity is not
// sufficient for all, those of the lowest priority stay queued.
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

// highestPriority returns the index of the first request of the highest priority.
func (r *Router) highestPriority(queue []*request) int {
	first, highest := 0, r.priority(queue[0])
	for i, request := range queue[1:] {
		if priority := r.priority(request); priority > highest {
			first, highest = i+1, priority
		}
	}
	return first
}

// independentOfCaches returns the queued requests that can be advanced or ended while no cache
// accepts requests. Without this filter the end of each transfer would cost an attempt to advance
// every queued request.
func (r *Router) independentOfCaches(queue []*request) []*request {
	direct := r.settings.DirectAttempts && r.link.available(r.now)
	return slices.DeleteFunc(queue, func(request *request) bool {
		return request.fillTarget == nil && !direct && !request.isWrite() && !r.exhausted(request)
	})
}

// priority returns the priority weight of a queued request per unit of send time. Requests that are
// expected to be late, and retries by clients, which are late already, have the reduced weight.
func (r *Router) priority(request *request) float64 {
	weight := request.class.PriorityWeight
	expectedEnd := r.now + request.sendTime*r.fillTimeRatio
	if request.Retry || expectedEnd > request.arrived+request.latencyObjective() {
		weight *= request.class.LateWeightShare
	}
	return weight / (request.sendTime + 1)
}

// allCachesFull reports whether no cache of the zone accepts any request now.
func (r *Router) allCachesFull() bool {
	return !slices.ContainsFunc(r.byRole[edge], func(member *member) bool {
		return !member.unavailable && !member.atLimit() && !(member.ejected && !r.healthCheckDue(member))
	})
}

// atLimit reports whether a member has reached its concurrency limit.
func (m *member) atLimit() bool { return m.inFlight >= max(m.limit, minLimit) }
