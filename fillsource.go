package indigospool

// pickSource names where a miss is filled from: the parents by a hash of the
// object, the origin where none is up.
func (r *Router) pickSource(request *request) *member {
	parents := r.byWeightedRendezvous(r.byRole[parent], request.hash)
	for pass, failedBefore := range []bool{false, true} {
		for parentServer := range parents.members {
			if r.takesSource(request, parentServer, pass, failedBefore) {
				return parentServer
			}
		}
		for _, originServer := range r.byRole[origin] {
			if r.takesSource(request, originServer, pass, failedBefore) {
				return originServer
			}
		}
	}
	return nil
}

// takesSource reports whether a member is taken as the source in a pass; again: in the one
// for those that failed the request before.
func (r *Router) takesSource(request *request, member *member, pass int, failedBefore bool) bool {
	why := LetDown
	if request.failedAt(member) == failedBefore {
		why = r.unavailableReason(member, request)
	} else if failedBefore {
		why = Passed
	}
	if failedBefore && request.failedAt(member) && member.role == origin {
		why = Taken
	}
	return r.traceLook(request, member, true, pass, why) == Taken
}
