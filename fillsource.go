package indigospool

// siblingFillSpan is the time after a change of the layout in which the previous cache of a part is
// tried as a source. Caches keep popular copies for about that long.
const siblingFillSpan = Millis(20000)

// siblingSource returns the cache that was the first choice for the request before the layout changed,
// or nil if the fill target cannot be filled from it. A fill from a sibling saves capacity on the link
// to the parents. It is tried once per request.
func (r *Router) siblingSource(request *request) *member {
	previous := r.priorLayout.owner(request)
	switch {
	case request.fillTarget == nil, previous == nil, previous == request.fillTarget:
		return nil
	case request.siblingTried, r.settings.SiblingScope == ScopeNone, r.now-r.layoutChangedAt >= siblingFillSpan:
		return nil
	case previous.unavailable, previous.ejected, r.warmUpShare(previous) < 1:
		return nil
	case !r.canAffordLookup(request):
		return nil
	}
	return previous
}

// pickSource returns the source of a fill: the first parent in rendezvous order of the object that
// accepts the request, else an origin, else nil. Members that have failed the request before are
// considered in a second pass.
func (r *Router) pickSource(request *request) *member {
	parents := r.byWeightedRendezvous(r.byRole[parent], request.hash)
	for pass, failedBefore := range []bool{false, true} {
		for member := range parents.members {
			if r.acceptsSource(request, member, pass, failedBefore) {
				return member
			}
		}
		for _, member := range r.byRole[origin] {
			if r.acceptsSource(request, member, pass, failedBefore) {
				return member
			}
		}
	}
	return nil
}

// acceptsSource reports whether a member is accepted as the source in a pass. If failedBefore, the pass
// considers only members that have failed the request before.
func (r *Router) acceptsSource(request *request, member *member, pass int, failedBefore bool) bool {
	reason := r.sourceReason(request, member, failedBefore)
	return r.traceCandidate(request, member, true, pass, reason) == ReasonAccepted
}

// sourceReason returns ReasonAccepted if a member is accepted as the source in a pass, else why it is
// not.
func (r *Router) sourceReason(request *request, member *member, failedBefore bool) Reason {
	failed := request.failedAt(member)
	switch {
	case failed && !failedBefore:
		return ReasonFailedBefore
	case !failed && failedBefore:
		return ReasonAlreadyConsidered
	case failed && member.role == origin: // there is no other source after the origin
		return ReasonAccepted
	}
	return r.unavailableReason(member, request)
}
