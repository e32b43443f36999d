package indigospool

const (
	// slowStartBurst is the part of a budget over the fall time that may be spent at once: the rule
	// counts attempts over any such span, so a full one at its begin would come on top of the next.
	slowStartBurst = 0.5
	// minBurstSpan stands in for a fall time that is not stated or very short.
	minBurstSpan = Millis(500)
	// assumedUtilization is the load assumed of a stated capacity, where none was measured.
	assumedUtilization = 0.35
	// slowStartOverdraft is the part of its ordinary load, times its warm-up share, that a member
	// may be given beyond the budgets of all routers.
	slowStartOverdraft = 0.5
	// servedRateGain is the weight of one measurement in a member's rate.
	servedRateGain = 0.15
)

// warmUpShare is the part of its capacity that a member surely has: it grows from
// the least stated share to 1 over its warm-up time.
func (r *Router) warmUpShare(member *member) float64 {
	from, span := r.settings.WarmUpInitialShare, r.settings.WarmUpTime
	if member.role == parent {
		from, span = r.settings.ParentWarmUpInitialShare, r.settings.ParentWarmUpTime
	}
	if member.ReadyAt <= 0 || member.role == origin || span <= 0 || r.now-member.ReadyAt >= span {
		return 1
	}
	return from + (1-from)*max(r.now-member.ReadyAt, 0)/span
}

// slowStartAllows reports whether a member that warms up may be given a request: its
// token bucket has some left, or the request may overdraw it.
func (r *Router) slowStartAllows(member *member, request *request) bool {
	r.refillTokens(member)
	if member.tokens > 0 {
		return true
	}
	// The share of one of many routers is less than a request. So of what arrives and has its place
	// there each may go beyond its budget by one, with a chance such that all together bring half of
	// the ordinary load that the member can bear by then. Queued requests may not: many of them have
	// gathered.
	withinOverdraft := member.tokens > -r.slowStartCost(member, request)
	if request.wasQueued || !withinOverdraft || r.superseded || !r.isPrimary(member, request) {
		return false
	}
	return hashFraction(request.jitterSeed+member.hash) < slowStartOverdraft*r.warmUpShare(member)
}

// isPrimary reports whether a member is the first choice for a request while all are in service.
func (r *Router) isPrimary(member *member, request *request) bool {
	if member.role == parent {
		return r.byWeightedRendezvous(r.byRole[parent], request.hash).at(0) == member
	}
	return r.layout.owner(request) == member
}

// slowStartCost is what an attempt takes from a member's token bucket: at a cache
// the mean sending time of the class, at a parent the request's own.
func (r *Router) slowStartCost(member *member, request *request) Millis {
	if member.role == parent {
		return request.sendTime
	}
	return request.class.meanSendTime
}

// takeTokens takes the cost of an attempt from the token buckets of its target and
// source. Another cache as a source sends from what it holds and is charged nothing.
func (r *Router) takeTokens(request *request, attempt *attempt) {
	attempt.target.tokens -= r.slowStartCost(attempt.target, request)
	if attempt.fillsFromSource() {
		attempt.source.tokens -= r.slowStartCost(attempt.source, request)
	}
}

// returnTokens undoes takeTokens.
func (r *Router) returnTokens(request *request, attempt *attempt) {
	attempt.target.tokens += r.slowStartCost(attempt.target, request)
	if attempt.fillsFromSource() {
		attempt.source.tokens += r.slowStartCost(attempt.source, request)
	}
}

// refillTokens fills the token bucket of a member that warms up with this router's share
// of what the member can bear, judged by what warm members of its role are given or by its
// stated capacity.
func (r *Router) refillTokens(member *member) {
	base := r.typicalRate[member.role]
	if r.settings.SizeIsCapacity {
		base = max(base, assumedUtilization*member.Size/r.settings.sharingRouters(member.role))
	}
	rate := base * r.warmUpShare(member)
	if r.superseded { // the budget is the successor's
		rate = 0
	}
	burst := rate * max(r.settings.OverloadTime, minBurstSpan) * slowStartBurst
	member.tokens = min(member.tokens+rate*(r.now-member.refilled), burst)
	member.refilled = r.now
}

// measureRates updates the sending time that each member, and a warm one of each
// role, was given over the last span.
func (r *Router) measureRates(span Millis) {
	for role, list := range r.byRole {
		sum, warm := 0.0, 0
		for _, member := range list {
			member.servedRate += (member.servedTime/span - member.servedRate) * servedRateGain
			member.servedTime = 0
			if !member.ejected && r.warmUpShare(member) >= 1 {
				sum += member.servedRate
				warm++
			}
		}
		if warm > 0 {
			r.typicalRate[role] = sum / float64(warm)
		}
	}
}
