package indigospool

// siblingFillSpan is how long after a change of the layout the cache before it may still
// hold copies: about as long as popular ones stay.
const siblingFillSpan = Millis(20000)

// siblingSource is the cache that served the request before the layout changed, if it can
// fill the request's fill target: that spares the link to the parents. It is tried once.
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

// pickSource names where a miss is filled from: the parents in rendezvous order of the
// object, the origin where none of them is taken. Those that failed the request before
// come in a second pass.
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

// acceptsSource reports whether a member is taken as the source in a pass. With failedBefore
// the pass is the one for members that failed the request before.
func (r *Router) acceptsSource(request *request, member *member, pass int, failedBefore bool) bool {
	reason := r.sourceReason(request, member, failedBefore)
	return r.traceCandidate(request, member, true, pass, reason) == ReasonAccepted
}

// sourceReason says why a member is not taken as the source in a pass.
func (r *Router) sourceReason(request *request, member *member, failedBefore bool) Reason {
	failed := request.failedAt(member)
	switch {
	case failed && !failedBefore:
		return ReasonFailedBefore
	case !failed && failedBefore:
		return ReasonAlreadyConsidered
	case failed && member.role == origin: // there is nobody after it
		return ReasonAccepted
	}
	return r.unavailableReason(member, request)
}
