package indigospool

import (
	"cmp"
	"slices"
)

const (
	initialLimit   = 32.0 // fills at once at first, and at least; then as many as come in within the aim
	minLimit       = 2.0
	minSharedLimit = 4.0 // the same for all routers of a location, which may be many
	slowFillPart   = 0.6 // a fill is tardy past this part of the aim
	maxSlowShare   = 0.4 // and the link too full at this share of tardy fills
)

// concurrencyLimit limits what is out over a link to what comes in on time.
type concurrencyLimit struct {
	inFlight, limit   float64 // what is out, and how much is thought to be borne
	slowShare         float64 // recent share that took most of the aim
	lowered, nextFree Millis  // when room was last lowered, and when its fraction is free again
}

// handleStall takes an answer that waits for its client out of what members and the link
// bear, and back when it goes on: one slow client keeps no place from others.
func (r *Router) handleStall(stalled Stalled) {
	request := r.requests[stalled.ID]
	if request == nil || stalled.Attempt < 0 || stalled.Attempt >= len(request.attempts) {
		return
	}
	attempt := &request.attempts[stalled.Attempt]
	if !attempt.outstanding || attempt.stalled == stalled.On {
		return
	}
	if attempt.stalled, attempt.wasStalled = stalled.On, true; !stalled.On {
		r.countInFlight(attempt, 1)
		return
	}
	r.countInFlight(attempt, -1)
	r.admitQueued()
}

// countInFlight counts an attempt in (1) or out (-1) of what is held.
func (r *Router) countInFlight(attempt *attempt, sign float64) {
	attempt.target.inFlight += sign
	attempt.target.pendingTime = max(attempt.target.pendingTime+sign*attempt.expected, 0)
	if attempt.fill {
		r.link.inFlight += sign
	}
}

// adjustLimit learns how many transfers at once a link bears, the location's or a
// cache's: a tenth less when too many of them use up most of the aim, else one
// more. A few may be late for other reasons: size, a far source. All routers of
// the location share the least room of its link; it binds where they are many.
func (r *Router) adjustLimit(request *request, limit *concurrencyLimit, slow, good bool, took Millis) {
	gain := 0.1
	if request.KB <= 0 { // large ones can't be told from slow ones: a roomful is looked at, lest a few cut it
		gain = min(gain, 1/max(limit.limit, 1))
	}
	if limit.slowShare -= limit.slowShare * gain; slow {
		limit.slowShare += gain
	}
	if limit.slowShare > maxSlowShare {
		if slow && r.now-limit.lowered > 100 {
			least := min(minLimit, minSharedLimit/r.settings.sharingRouters(edge))
			limit.limit, limit.lowered = max(min(limit.limit, limit.inFlight+1)*0.9, least), r.now
		}
	} else if good && limit.inFlight+2 >= limit.limit {
		limit.limit += 1 / max(limit.limit, 1)
	}
	limit.nextFree = r.now + took*max(1/max(limit.limit, 0.05)-1, 0)
}

// available reports whether one more transfer may start. Room for less than one is a
// place for a part of the time.
func (g *concurrencyLimit) available(now Millis) bool {
	return g.inFlight < g.limit && now >= g.nextFree
}

// admitQueued lets waiting requests go on, those first that earn most for their work:
// when the link cannot serve all, the least worth waits. Once no cache of the
// location takes anything, only those are looked at that could go on without one:
// else each place that becomes free costs a look at all who wait.
func (r *Router) admitQueued() {
	r.queue = r.queue[:0]
	for _, request := range r.arrivals {
		if request.queued && !request.ended {
			r.queue = append(r.queue, request)
		}
	}
	queue := r.queue
	for picks := 0; len(queue) > 0 && picks < 4 && !r.allCachesFull(); picks++ {
		first, highest := 0, r.priority(queue[0])
		for i, request := range queue[1:] {
			if priority := r.priority(request); priority > highest {
				first, highest = i+1, priority
			}
		}
		request := queue[first]
		queue = slices.Delete(queue, first, first+1)
		r.advance(request)
	}
	if r.allCachesFull() {
		direct := r.settings.Direct && r.link.available(r.now)
		queue = slices.DeleteFunc(queue, func(request *request) bool {
			return request.fillTarget == nil && !direct && !request.isWrite() && !r.exhausted(request)
		})
	}
	slices.SortStableFunc(queue, func(a, b *request) int { return cmp.Compare(r.priority(b), r.priority(a)) })
	for _, request := range queue {
		r.advance(request)
	}
}

// priority is a waiting request's worth for its work.
func (r *Router) priority(request *request) float64 {
	weight := request.class.Worth
	if request.Retry || r.now+request.sendTime*r.fillStretch > request.arrived+request.latencyObjective() { // a repeat has waited before
		weight *= request.class.LateWorth
	}
	return weight / (request.sendTime + 1)
}

// allCachesFull reports whether no cache of the location takes a request now, whichever it is.
func (r *Router) allCachesFull() bool {
	return !slices.ContainsFunc(r.byRole[edge], func(member *member) bool {
		return !member.unavailable && member.inFlight < max(member.limit, minLimit) && !(member.ejected && (member.checking || r.now < member.nextCheck))
	})
}
