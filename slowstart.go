package indigospool

const (
	// slowStartBurst is the capacity of a token bucket as a fraction of the tokens that are added in
	// Settings.OverloadTime. A member fails if it is overloaded over any period of that length, so a
	// whole bucket used at the start of the period would be too much in addition to its refill.
	slowStartBurst = 0.5
	// minBurstSpan is the lower bound of the OverloadTime that is used for the burst.
	minBurstSpan = Millis(500)
	// assumedUtilization is the assumed load of members, as a fraction of their capacity, if none was
	// measured.
	assumedUtilization = 0.35
	// slowStartOverdraft is the load that a member may receive beyond the budgets of all routers, as a
	// fraction of its ordinary load times its warm-up share.
	slowStartOverdraft = 0.5
	// servedRateGain is the weight of one measurement in a member's average rate.
	servedRateGain = 0.15
)

// warmUpShare returns the fraction of its capacity that a member has at least. It grows linearly from
// the initial share to 1 over the warm-up time.
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

// slowStartAllows reports whether a member that warms up may receive a request: its token bucket is
// not empty, or the request may overdraw it.
func (r *Router) slowStartAllows(member *member, request *request) bool {
	r.refillTokens(member)
	if member.tokens > 0 {
		return true
	}
	// With many routers, the share of one router is less than one request. A new request whose first
	// choice is this member may therefore overdraw the bucket by up to one request. The probability is
	// such that all routers together add half of the ordinary load that the member can bear at this
	// time. Requests that were queued may not, since many of them are released at once.
	withinOverdraft := member.tokens > -r.slowStartCost(member, request)
	if request.wasQueued || !withinOverdraft || r.superseded || !r.isPrimary(member, request) {
		return false
	}
	return hashFraction(request.jitterSeed+member.hash) < slowStartOverdraft*r.warmUpShare(member)
}

// isPrimary reports whether a member is the first choice for a request when all members can serve it.
func (r *Router) isPrimary(member *member, request *request) bool {
	if member.role == parent {
		return r.byWeightedRendezvous(r.byRole[parent], request.hash).at(0) == member
	}
	return r.layout.owner(request) == member
}

// slowStartCost returns the tokens that an attempt takes from a member's bucket: at a cache the mean
// send time of the class, at a parent the send time of the request.
func (r *Router) slowStartCost(member *member, request *request) Millis {
	if member.role == parent {
		return request.sendTime
	}
	return request.class.meanSendTime
}

// takeTokens takes the cost of an attempt from the token buckets of its target and its source. A
// cache that is the source has a copy already and is not charged.
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

// refillTokens refills the token bucket of a member that warms up. The rate is the member's warm-up
// share of the load that this router sends to a warm member of the same role, or of this router's
// part of the assumed load if capacities are known and that is more.
func (r *Router) refillTokens(member *member) {
	base := r.typicalRate[member.role]
	if r.settings.SizeIsCapacity {
		base = max(base, assumedUtilization*member.Size/r.settings.sharingRouters(member.role))
	}
	rate := base * r.warmUpShare(member)
	if r.superseded { // the successor uses the budget
		rate = 0
	}
	burst := rate * max(r.settings.OverloadTime, minBurstSpan) * slowStartBurst
	member.tokens = min(member.tokens+rate*(r.now-member.refilled), burst)
	member.refilled = r.now
}

// measureRates updates the load averages of each member and of the warm members of each role, as send
// time per millisecond over the last span.
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
