package indigospool

const (
	// lookupMinAttempts is the number of attempts that a request must have left for a lookup: the fill
	// after a miss may have to be retried.
	lookupMinAttempts = 3
	// A cache whose pending time exceeds boundedLoadFactor times the mean of all caches plus
	// boundedLoadSlack mean send times is skipped in favor of the next in rendezvous order.
	boundedLoadFactor = 1.25
	boundedLoadSlack  = 1.0
)

// chooseTarget returns the target and the source of the next attempt, or nil if none is possible now.
// The source is the target itself for a lookup, which is only answered from a cached copy.
func (r *Router) chooseTarget(request *request) (target, source *member) {
	if request.isWrite() {
		return r.chooseWriteTarget(request)
	}
	if !r.canFill(request.fillTarget) {
		picked := r.pickCache(request)
		if picked != nil && r.warmUpShare(picked) >= 1 && r.canAffordLookup(request) {
			request.fillTarget = nil
			return picked, picked
		}
		request.fillTarget = picked
	}
	if sibling := r.siblingSource(request); sibling != nil {
		request.siblingTried = true
		return request.fillTarget, sibling
	}
	if !r.link.available(r.now) {
		r.traceCandidate(request, nil, true, 0, ReasonLinkAtLimit)
		return r.chooseStaleCopy(request)
	}
	return r.chooseFill(request)
}

// canFill reports whether the fill target of a request is still usable. A cache that warms up is not:
// requests that are queued for the link would bypass its slow-start budget when they are admitted.
func (r *Router) canFill(member *member) bool {
	return member != nil && !member.unavailable && !member.ejected && r.warmUpShare(member) >= 1
}

// canAffordLookup reports whether a request has enough attempts left for a lookup that may miss.
func (r *Router) canAffordLookup(request *request) bool {
	return r.settings.MaxAttempts-request.countedAttempts() >= lookupMinAttempts
}

// chooseStaleCopy chooses a lookup at the fill target that accepts a stale copy, once per request. A
// stale copy now is better than a fill when the link is available again.
func (r *Router) chooseStaleCopy(request *request) (target, source *member) {
	if request.fillTarget == nil || request.staleAllowed || request.class.Grace <= 0 || !r.canAffordLookup(request) {
		return nil, nil
	}
	request.staleAllowed = true
	return request.fillTarget, request.fillTarget
}

// chooseFill chooses a fill of the fill target. If no cache accepts the request, it chooses a direct
// attempt at a parent or the origin.
func (r *Router) chooseFill(request *request) (target, source *member) {
	source = r.pickSource(request)
	switch {
	case source == nil && request.fillTarget != nil && request.countedAttempts() == 0:
		return request.fillTarget, request.fillTarget
	case source == nil:
		return nil, nil
	case request.fillTarget != nil:
		return request.fillTarget, source
	case !r.settings.DirectAttempts || !request.mayRunAt(source):
		return nil, nil
	}
	originMember := r.rendezvousOf(origin, request)
	if originMember != nil && source.role == parent {
		return source, originMember
	}
	return source, source
}

// chooseWriteTarget chooses the target and the source of a write, which the origin executes: the
// origin itself if direct attempts are possible, else a cache that forwards it.
func (r *Router) chooseWriteTarget(request *request) (target, source *member) {
	originMember := r.rendezvousOf(origin, request)
	if originMember == nil {
		r.traceCandidate(request, nil, true, 0, ReasonNoMember)
		return nil, nil
	}
	if r.settings.DirectAttempts && request.mayRunAt(originMember) && (!request.failedAt(originMember) || request.executedBy != nil) {
		return originMember, originMember
	}
	cache := r.pickCache(request)
	if cache == nil {
		return nil, nil
	}
	return cache, originMember
}

// pickCache returns the cache for a request: its owner in the layout or, if that does not accept the
// request, the first one in rendezvous order that does. The first two passes skip caches that have
// failed the request before, the last two consider only those. The first and third pass skip caches
// above the load bound.
func (r *Router) pickCache(request *request) *member {
	primary, bound := r.layout.owner(request), r.loadBound()
	accepts := func(member *member, pass int) bool {
		return r.traceCandidate(request, member, false, pass, r.cacheReason(member, request, pass, bound)) == ReasonAccepted
	}
	var others *ranking
	for pass := range 4 {
		if primary != nil && accepts(primary, pass) {
			return primary
		}
		if others == nil {
			others = byRendezvous(r.byRole[edge], request.hash)
		}
		for member := range others.members {
			if accepts(member, pass) {
				return member
			}
		}
	}
	return nil
}

// cacheReason returns ReasonAccepted if a cache is accepted in a pass, else why it is not.
func (r *Router) cacheReason(member *member, request *request, pass int, bound float64) Reason {
	withinBound, withFailed := pass%2 == 0, pass >= 2
	switch {
	case withinBound && member.pendingTime/r.capacity(member) > bound:
		return ReasonOverLoadBound
	case request.failedAt(member) && (!withFailed || r.now < request.rejectersNotBefore):
		return ReasonFailedBefore
	case !request.failedAt(member) && withFailed:
		return ReasonAlreadyConsidered
	case !request.mayRunAt(member):
		return ReasonOutsideKeyScope
	}
	return r.unavailableReason(member, request)
}

// unavailableReason returns ReasonAccepted if a member can take the request now: it is in service,
// not ejected (or the request may be its health check), below its concurrency limit and, while it
// warms up, within its slow-start budget. Otherwise it returns why it can't.
func (r *Router) unavailableReason(member *member, request *request) Reason {
	switch {
	case member.unavailable:
		return ReasonUnavailable
	case member.ejected && !r.mayCheckHealth(member, request):
		return ReasonEjected
	case member.role == edge && member.atLimit():
		return ReasonAtConcurrencyLimit
	case r.warmUpShare(member) < 1 && !r.slowStartAllows(member, request):
		return ReasonSlowStartExhausted
	}
	return ReasonAccepted
}

// capacity returns a member's capacity if it is known, else 1.
func (r *Router) capacity(member *member) float64 {
	if r.settings.SizeIsCapacity && member.Size > 0 {
		return member.Size
	}
	return 1
}

// loadBound returns the pending time per unit of capacity above which a cache is skipped. It is
// computed from the caches that are in service and not ejected.
func (r *Router) loadBound() float64 {
	pending, capacity, caches := 0.0, 0.0, 0.0
	for _, member := range r.byRole[edge] {
		if !member.ejected {
			pending += member.pendingTime
			capacity += r.capacity(member)
			caches++
		}
	}
	if caches == 0 {
		return 0
	}
	return (boundedLoadFactor*pending + boundedLoadSlack*caches*r.meanSendTime) / capacity
}

// rendezvousOf returns the available member of a role that is first in rendezvous order of the
// object, or nil if there is none.
func (r *Router) rendezvousOf(role role, request *request) *member {
	return rendezvousBest(r.byRole[role], request.hash)
}
