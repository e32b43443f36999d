package indigospool

const (
	// lookupMinAttempts is how many attempts must be left to spend one on a lookup: the fill
	// that follows it may have to be retried.
	lookupMinAttempts = 3
	// A cache with more pending than boundedLoadFactor times the mean of its peers, and
	// boundedLoadSlack mean sending times, passes requests on to the next in order.
	boundedLoadFactor = 1.25
	boundedLoadSlack  = 1.0
)

// chooseTarget names the target and the source of the next attempt; nil: none can be made
// now. The source is the target itself where that is only asked for what it holds.
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

// canFill reports whether a cache that missed a request is still the one to fill. One that
// warms up is not: that would hold a place at it.
func (r *Router) canFill(member *member) bool {
	return member != nil && !member.unavailable && !member.ejected && r.warmUpShare(member) >= 1
}

// canAffordLookup reports whether a request has attempts to spare for one that may find
// nothing.
func (r *Router) canAffordLookup(request *request) bool {
	return r.settings.MaxAttempts-request.countedAttempts() >= lookupMinAttempts
}

// chooseStaleCopy asks the fill target, once, for a copy past its fresh time: that is better
// now than a fill when the link is free again.
func (r *Router) chooseStaleCopy(request *request) (target, source *member) {
	if request.fillTarget == nil || request.staleAllowed || request.class.Grace <= 0 || !r.canAffordLookup(request) {
		return nil, nil
	}
	request.staleAllowed = true
	return request.fillTarget, request.fillTarget
}

// chooseFill has the fill target filled or, where no cache takes the request, has a parent or
// the origin answer it.
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

// chooseWriteTarget sends a write to the origin, directly where that takes attempts, else
// by a cache.
func (r *Router) chooseWriteTarget(request *request) (target, source *member) {
	originMember := r.rendezvousOf(origin, request)
	if originMember == nil {
		r.traceCandidate(request, nil, true, 0, NoMember)
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

// pickCache names the cache of a request: the one that the layout names or, where that is
// out, warming up or overloaded, the next in rendezvous order of the object. The first two
// passes leave out caches that failed the request before; the first of each two keeps to
// the load bound.
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

// cacheReason says why a cache is not taken in a pass.
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

// unavailableReason says why a member may not be given the request now. Taken: it is
// available, not ejected (or due for a health check), below its concurrency limit and, while
// it warms up, within its slow-start budget.
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

// capacity is a member's capacity as far as it is stated, else 1.
func (r *Router) capacity(member *member) float64 {
	if r.settings.SizeIsCapacity && member.Size > 0 {
		return member.Size
	}
	return 1
}

// loadBound is the pending time, by capacity, past which a cache passes requests on: a
// multiple of the mean of the caches in service, and some slack.
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

// rendezvousOf is the available member of a role that the object's rendezvous hash names;
// nil: there is none.
func (r *Router) rendezvousOf(role role, request *request) *member {
	return rendezvousBest(r.byRole[role], request.hash)
}
