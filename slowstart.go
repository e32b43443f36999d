package indigospool

const (
	slowStartBurst     = 0.5  // of the fall time's budget may be spent at once
	assumedUtilization = 0.35 // load assumed of a stated capacity
	slowStartOverdraft = 0.5  // of the ordinary load may go to a cold member beyond budgets, times its warmth
)

// isPrimary reports whether a member has a request on the ordinary path.
func (r *Router) isPrimary(member *member, request *request) bool {
	if member.role == parent {
		return r.byWeightedRendezvous(r.byRole[parent], request.hash).at(0) == member
	}
	return r.layout.owner(request) == member
}

// warmUpShare is the part of its capacity that a member surely has.
func (r *Router) warmUpShare(member *member) float64 {
	from, span := r.settings.ColdFrom, r.settings.ColdTime
	if member.role == parent {
		from, span = r.settings.ParentColdFrom, r.settings.ParentColdTime
	}
	if member.ReadyAt <= 0 || member.role == origin || span <= 0 || r.now-member.ReadyAt >= span {
		return 1
	}
	return from + (1-from)*max(r.now-member.ReadyAt, 0)/span
}

// slowStartCost is what a rule counts an attempt as: a cache, the mean sending time of
// the class; a parent, the own.
func (r *Router) slowStartCost(member *member, request *request) Millis {
	if member.role == parent {
		return request.sendTime
	}
	return request.class.meanSendTime
}

// refillTokens refills a cold member's budget: this router's share of what it can bear,
// judged by what warm ones of the kind serve it, or by stated capacity.
func (r *Router) refillTokens(member *member) {
	base := r.typicalRate[member.role]
	if r.settings.SizesCompare {
		base = max(base, assumedUtilization*member.Size/r.settings.sharingRouters(member.role))
	}
	rate := base * r.warmUpShare(member)
	if r.closing { // the budget is the successor's
		rate = 0
	}
	member.tokens = min(member.tokens+rate*(r.now-member.refilled), rate*max(r.settings.FallTime, 500)*slowStartBurst)
	member.refilled = r.now
}
