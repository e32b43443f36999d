package indigospool

const (
	siblingFillSpan   = Millis(20000) // for so long after a move the cache before may still hold copies
	lookupMinAttempts = 3             // attempts that must be left to spend one on a look
	boundedLoadFactor = 1.25          // a cache that holds more than this times its peers' mean, and a little,
	boundedLoadSlack  = 1.0           // of mean sending times, passes requests to the next in order
)

// chooseTarget names the cache and the source of the next attempt; the source is the
// cache itself where it is only asked for what it holds.
func (r *Router) chooseTarget(request *request) (target, source *member) {
	if request.isWrite() {
		return r.chooseWrite(request)
	}
	if request.fillTarget == nil || request.fillTarget.unavailable || request.fillTarget.ejected || r.warmUpShare(request.fillTarget) < 1 { // cold: no place is held
		request.fillTarget = nil
		member := r.pickCache(request)
		if member != nil && r.warmUpShare(member) >= 1 && r.settings.MaxAttempts-request.countedAttempts() >= lookupMinAttempts {
			return member, member
		}
		request.fillTarget = member
	}
	if previous := r.priorLayout.owner(request); request.fillTarget != nil && !request.siblingTried && previous != nil && previous != request.fillTarget &&
		r.settings.Siblings != Nowhere && r.now-r.layoutChanged < siblingFillSpan && !previous.unavailable && !previous.ejected &&
		r.warmUpShare(previous) >= 1 && r.settings.MaxAttempts-request.countedAttempts() >= lookupMinAttempts {
		request.siblingTried = true // a range moved: fill past the thin link, from the cache before
		return request.fillTarget, previous
	}
	if !r.link.available(r.now) {
		r.traceLook(request, nil, true, 0, LinkFull)
		if request.fillTarget != nil && !request.staleAllowed && request.class.Grace > 0 && r.settings.MaxAttempts-request.countedAttempts() >= lookupMinAttempts {
			request.staleAllowed = true // better an old copy now than a full link
			return request.fillTarget, request.fillTarget
		}
		return nil, nil
	}
	source = r.pickSource(request)
	switch {
	case source == nil && request.fillTarget != nil && request.countedAttempts() == 0:
		return request.fillTarget, request.fillTarget
	case source == nil:
		return nil, nil
	case request.fillTarget != nil:
		return request.fillTarget, source
	case !r.settings.Direct || !request.mayRunAt(source):
		return nil, nil
	}
	if nearest := r.rendezvousOf(origin, request); nearest != nil && source.role == parent {
		return source, nearest
	}
	return source, source
}

// pickCache names the edge cache: the one of the ordinary path, or, where that
// is out, cold or overfull, the next by a hash of the object.
func (r *Router) pickCache(request *request) *member {
	primary, bound := r.layout.owner(request), r.loadBound()
	takes := func(member *member, pass int) bool {
		return r.traceLook(request, member, false, pass, r.cacheReason(member, request, pass, bound)) == Taken
	}
	var others *ranking
	for pass := range 4 { // first without those that failed it, first within bounds
		if primary != nil && takes(primary, pass) {
			return primary
		}
		if others == nil {
			others = byRendezvous(r.byRole[edge], request.hash)
		}
		for member := range others.members {
			if takes(member, pass) {
				return member
			}
		}
	}
	return nil
}

// cacheReason says why an edge cache is not taken in a pass.
func (r *Router) cacheReason(member *member, request *request, pass int, bound float64) Reason {
	switch {
	case pass&1 == 0 && member.pendingTime/r.capacity(member) > bound:
		return OverBound
	case request.failedAt(member) && (pass <= 1 || r.now < request.rejectersAfter):
		return LetDown
	case !request.failedAt(member) && pass > 1:
		return Passed
	case !request.mayRunAt(member):
		return NotGroup
	}
	return r.unavailableReason(member, request)
}

// capacity is a member's capacity as far as it is told.
func (r *Router) capacity(member *member) float64 {
	if r.settings.SizesCompare && member.Size > 0 {
		return member.Size
	}
	return 1
}

// loadBound is the load past which a cache passes requests on: the mean of the
// caches in service, and some room.
func (r *Router) loadBound() float64 {
	sum, size, n := 0.0, 0.0, 0.0
	for _, member := range r.byRole[edge] {
		if !member.ejected {
			sum, size, n = sum+member.pendingTime, size+r.capacity(member), n+1
		}
	}
	if n == 0 {
		return 0
	}
	return (boundedLoadFactor*sum + boundedLoadSlack*n*r.meanSendTime) / size
}

func (r *Router) chooseWrite(request *request) (target, source *member) {
	originServer := r.rendezvousOf(origin, request)
	if originServer == nil {
		r.traceLook(request, nil, true, 0, NoMember)
		return nil, nil
	}
	if r.settings.Direct && request.mayRunAt(originServer) && (!request.failedAt(originServer) || request.executedBy != nil) {
		return originServer, originServer
	}
	if member := r.pickCache(request); member != nil {
		return member, originServer
	}
	return nil, nil
}

func (r *Router) rendezvousOf(role role, request *request) *member {
	return rendezvousBest(r.byRole[role], request.hash)
}

// unavailableReason says why a member may not be given the request now. Taken: it is up, not
// a suspect (or due for its one trial), within its share, and within its budget
// while cold.
func (r *Router) unavailableReason(member *member, request *request) Reason {
	switch {
	case member.unavailable:
		return Out
	case member.ejected && (member.checking || r.now < member.nextCheck || request.countedAttempts() > 0):
		return Suspect
	case member.role == edge && member.inFlight >= max(member.limit, minLimit):
		return GateFull
	case r.warmUpShare(member) >= 1:
		return Taken
	}
	if r.refillTokens(member); member.tokens > 0 {
		return Taken
	}
	// The share of one of many routers is less than a request. So of what comes and has its place there
	// each may go beyond its budget by one, with a chance such that all bring half of the ordinary load
	// that it can bear by then. What waits is as much as has gathered, and may not.
	lent := !request.wasQueued && member.tokens > -r.slowStartCost(member, request) && !r.closing && r.isPrimary(member, request)
	if !lent || chance(request.chanceSeed+member.hash) >= slowStartOverdraft*r.warmUpShare(member) {
		return ColdSpent
	}
	return Taken
}
