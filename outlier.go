package indigospool

import "slices"

const (
	// An attempt is overdue after overdueBase plus overdueFactor times its expected duration.
	overdueBase   = Millis(300)
	overdueFactor = 1.5

	// A member is silent if it has silentOverdueCount overdue attempts and has made no progress for
	// cacheSilence or sourceSilence, and for silenceGapFactor times its average gap between signs of
	// progress. Caches pause for less than that; progress of sources is visible less often.
	cacheSilence       = Millis(450)
	sourceSilence      = Millis(900)
	silenceGapFactor   = 4
	silentOverdueCount = 3
	// A member with any overdue attempt is silent after singleOverdueSilence, and singleOverdueFactor
	// times the longest expected duration of its overdue attempts, since objects differ in size.
	singleOverdueSilence = Millis(1500)
	singleOverdueFactor  = 6

	// faultGain is the weight of one outcome in a member's fault share.
	faultGain = 0.12
	// assumedFaultShare is added to the fault shares of two members when a fault is split between
	// them, so that a member without faults gets a part of it.
	assumedFaultShare = 0.1
	// ejectionFaultShare is the fault share above which a member is ejected.
	ejectionFaultShare = 0.4

	// An ejected member gets one health check at a time, after a backoff that grows by
	// checkBackoffGrowth with each that fails.
	initialCheckBackoff = Millis(400)
	maxCheckBackoff     = Millis(4000)
	checkBackoffGrowth  = 1.5
	// goodChecksToReturn is the number of successful health checks in a row that end an ejection.
	goodChecksToReturn = 3

	// progressGapGain is the weight of one gap in a member's average gap between signs of progress.
	// Gaps count as at most maxProgressGap: in longer ones the member had nothing to do.
	progressGapGain = 0.1
	maxProgressGap  = Millis(2000)
)

// The weights of faults, by the certainty that the member is at fault.
const (
	certainFault  = 3.0  // it accepts no connections
	fault         = 1.0  // an attempt failed at it
	likelyFault   = 0.5  // an attempt failed at it or at its source
	overloadFault = 0.25 // it rejected an attempt for lack of capacity
)

// attributeOutcome attributes an outcome to the member that caused it.
func (r *Router) attributeOutcome(request *request, attempt *attempt, outcome Outcome) {
	switch outcome.Result {
	case OK:
		r.attributeSuccess(request, attempt, outcome)
	case Miss:
		r.attributeMiss(request, attempt)
	case Rejected:
		r.attributeRejection(attempt, outcome.Note)
	case Errored:
		r.attributeError(request, attempt)
	case ConnectFailed:
		r.blameMember(attempt, attempt.target, certainFault)
	case TimedOut, Reset: // one connection may break without a fault; a failed cache resets all, and then refuses new ones
		r.attributeTimeoutOrReset(attempt)
	}
}

// attributeSuccess records an answer for the target and, if the target was filled, for the source.
func (r *Router) attributeSuccess(request *request, attempt *attempt, outcome Outcome) {
	r.recordSuccess(attempt.target, attempt)
	attempt.target.servedTime += request.sendTime
	if attempt.hasSource() && outcome.Note != NoteHit {
		r.recordSuccess(attempt.source, attempt)
		attempt.source.servedTime += request.sendTime
		return
	}
	if attempt.target.role == edge {
		request.class.recordHit(outcome.Took, request.KB > 0)
	}
}

// attributeMiss records that the target answered and has to be filled.
func (r *Router) attributeMiss(request *request, attempt *attempt) {
	attempt.target.lastProgress = r.now
	if attempt.healthCheck { // a miss counts as a successful check: a cache that was ejected for long has few copies
		r.recordSuccess(attempt.target, attempt)
	}
	attempt.cacheMissed = attempt.source.role == edge
	if !attempt.hasSource() {
		request.fillTarget = attempt.target
	}
}

// attributeRejection attributes a rejection to the member that lacked capacity.
func (r *Router) attributeRejection(attempt *attempt, note Note) {
	switch {
	case note == NoteSourceRejected && attempt.source.role == origin, note == NoteSourceMiss:
		attempt.blamed = attempt.source // an origin that rejects fills, or a source without a copy, is not faulty
	case note == NoteOriginFailed:
		attempt.blamed = attempt.source
		for _, member := range r.byRole[origin] {
			r.recordFault(member, likelyFault)
		}
	case note == NoteSourceRejected, note == NoteSourceUnreachable:
		r.blameMember(attempt, attempt.source, fault)
	case note == NoteNoCapacity, r.settings.Detail == DetailAll:
		r.blameMember(attempt, attempt.target, overloadFault)
	default:
		r.splitFault(attempt, likelyFault)
	}
}

// attributeError attributes an error. If two caches answer a request with an error and no source is
// involved, the request is considered invalid: it ends, and the fault recorded for the first cache is
// undone. Otherwise a few invalid requests would eject all caches of a zone.
func (r *Router) attributeError(request *request, attempt *attempt) {
	first := request.erroredAt
	if !attempt.hasSource() && first != nil && first != attempt.target {
		request.invalid = true
		attempt.blamed = attempt.target
		first.faultShare = max((first.faultShare-faultGain)/(1-faultGain), 0)
		first.ejected = first.ejected && first.faultShare > ejectionFaultShare
		return
	}
	r.splitFault(attempt, fault)
	if !attempt.hasSource() {
		request.erroredAt = attempt.target
	}
}

// attributeTimeoutOrReset attributes a broken connection or a timeout. A member that has made progress
// since the attempt was sent is not at fault: it served other attempts first.
func (r *Router) attributeTimeoutOrReset(attempt *attempt) {
	switch {
	case attempt.target.lastProgress <= attempt.sent:
		r.blameMember(attempt, attempt.target, fault)
	case attempt.hasSource() && attempt.source.lastProgress <= attempt.sent:
		r.blameMember(attempt, attempt.source, likelyFault)
	}
}

// recordSuccess records a success of a member. An ejected member returns only after several
// successful health checks in a row, so that a member that is warming up or partly failing is not
// flooded.
func (r *Router) recordSuccess(member *member, attempt *attempt) {
	member.progressGap += (min(r.now-member.lastProgress, maxProgressGap) - member.progressGap) * progressGapGain
	member.lastProgress = r.now
	member.faultShare -= member.faultShare * faultGain
	member.outcomes++
	if !member.ejected || !(attempt.healthCheck || attempt.source == member || member.silent) {
		return
	}
	member.nextCheck = r.now // the next health check may follow immediately
	member.goodChecks++
	if member.goodChecks >= goodChecksToReturn || member.silent { // the first answer ends an ejection for silence
		member.ejected, member.faultShare, member.outcomes = false, 0, 0
	}
}

// splitFault records a fault that either the target or the source has caused. It is split in
// proportion to their fault shares, so most of it goes to the member that has failed other attempts.
func (r *Router) splitFault(attempt *attempt, weight float64) {
	if !attempt.hasSource() {
		r.blameMember(attempt, attempt.target, weight)
		return
	}
	target, source := attempt.target, attempt.source
	targetShare := (target.faultShare + assumedFaultShare) / (target.faultShare + source.faultShare + 2*assumedFaultShare)
	r.recordFault(target, weight*targetShare)
	r.recordFault(source, weight*(1-targetShare))
	attempt.blamed = target
	if targetShare < 0.5 {
		attempt.blamed = source
	}
}

// blameMember records that a member caused the failure of an attempt.
func (r *Router) blameMember(attempt *attempt, member *member, weight float64) {
	attempt.blamed = member
	r.recordFault(member, weight)
}

// recordFault adds a fault to a member's fault share and ejects the member if the share is too high.
// For an ejected member it increases the backoff of the next health check.
func (r *Router) recordFault(member *member, weight float64) {
	member.faultShare += (1 - member.faultShare) * min(faultGain*weight, 1)
	member.outcomes++
	member.goodChecks = 0
	if member.ejected {
		member.checkBackoff = min(member.checkBackoff*checkBackoffGrowth, maxCheckBackoff)
		member.nextCheck = r.now + member.checkBackoff
	} else if member.faultShare > ejectionFaultShare && member.outcomes > 1 {
		r.eject(member)
	}
}

// eject stops the traffic to a member, except for health checks.
func (r *Router) eject(member *member) {
	member.ejected, member.silent = true, false
	member.goodChecks, member.checking = 0, false
	member.checkBackoff = initialCheckBackoff
	member.nextCheck = r.now + member.checkBackoff
}

// healthCheckDue reports whether an ejected member may be sent a health check. A health check is an
// ordinary request; one may be in flight at a time.
func (r *Router) healthCheckDue(member *member) bool {
	return !member.checking && r.now >= member.nextCheck
}

// mayCheckHealth reports whether a request may be the health check of an ejected member. A request
// without attempts may. For a parent, a request whose lookups at caches have missed may too: most
// fills follow such a lookup, and fills that avoid an ejected parent add load at the origin. This
// holds only while the link's limit is at least initialLimit or an origin is ejected: over a
// congested link, fills from fewer sources achieve more.
func (r *Router) mayCheckHealth(member *member, request *request) bool {
	if !r.healthCheckDue(member) {
		return false
	}
	if request.countedAttempts() == 0 {
		return true
	}
	return member.role == parent && request.nextAttemptIsFree() && (r.link.limit >= initialLimit || r.originEjected())
}

// originEjected reports whether any origin is ejected.
func (r *Router) originEjected() bool {
	return slices.ContainsFunc(r.byRole[origin], func(member *member) bool { return member.ejected })
}

// ejectSilent ejects members that have overdue attempts and make no progress, whatever the cause. Slow
// answers alone don't eject a member, since each answer is progress. A member without attempts is not
// silent.
func (r *Router) ejectSilent() {
	r.countOverdue()
	for _, member := range r.overdueMembers {
		if !member.unavailable && !member.ejected && r.isSilent(member) {
			r.eject(member)
			member.silent = true
		}
	}
}

// countOverdue counts the overdue attempts of each member. A fill counts for its source too if the
// target has made progress since the attempt was sent.
func (r *Router) countOverdue() {
	for _, member := range r.overdueMembers {
		member.overdue = 0
	}
	clear(r.overdueMembers) // so that removed members can be garbage-collected
	r.overdueMembers = r.overdueMembers[:0]
	for _, request := range r.arrivals {
		for i := range request.attempts {
			attempt := &request.attempts[i]
			if !attempt.isOverdue(r.now) {
				continue
			}
			r.addOverdue(attempt.target, attempt)
			if attempt.hasSource() && attempt.target.lastProgress > attempt.sent {
				r.addOverdue(attempt.source, attempt)
			}
		}
	}
}

// addOverdue adds an overdue attempt to the counts of a member.
func (r *Router) addOverdue(member *member, attempt *attempt) {
	if member.overdue == 0 {
		member.overdueSince, member.overdueExpected = r.now, 0
		r.overdueMembers = append(r.overdueMembers, member)
	}
	member.overdue++
	member.overdueSince = min(member.overdueSince, attempt.sent)
	member.overdueExpected = max(member.overdueExpected, attempt.expected)
}

// isSilent reports whether a member with overdue attempts has made no progress for too long.
func (r *Router) isSilent(member *member) bool {
	maxSilence := cacheSilence
	if member.role != edge {
		maxSilence = sourceSilence
	}
	silence := r.now - max(member.lastProgress, member.overdueSince)
	if member.overdue >= silentOverdueCount && silence > max(maxSilence, silenceGapFactor*member.progressGap) {
		return true
	}
	return silence > max(singleOverdueSilence, singleOverdueFactor*member.overdueExpected)
}

// isOverdue reports whether an attempt is outstanding for much longer than expected. An attempt that
// has waited for its client is never overdue, since its duration says nothing about members.
func (a *attempt) isOverdue(now Millis) bool {
	return a.outstanding && !a.wasStalled && now-a.sent > overdueBase+overdueFactor*a.expected
}

// cancelUnresponsive cancels the overdue attempts of a request that wait for an ejected or unavailable
// member, so that the request can be retried elsewhere before its deadline.
func (r *Router) cancelUnresponsive(request *request) {
	if !r.settings.CanCancel || request.class.Idempotency != Idempotent || !r.mayRetry(request) {
		return
	}
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if !attempt.cancelled && attempt.isOverdue(r.now) && attempt.isUnresponsive() {
			r.cancelAttempt(request, i)
		}
	}
}

// isUnresponsive reports whether an attempt waits for a member that is not expected to answer.
func (a *attempt) isUnresponsive() bool {
	if a.target.unresponsiveSince(a.sent) {
		return true
	}
	return a.source.role != edge && a.source.unresponsiveSince(a.sent) && a.target.lastProgress > a.sent
}

// unresponsiveSince reports whether a member is ejected or unavailable and has made no progress since
// the time at.
func (m *member) unresponsiveSince(at Millis) bool {
	return (m.ejected || m.unavailable) && m.lastProgress <= at
}

// failedAt reports whether a member has failed the request before: it was blamed for an attempt, or
// an attempt at it was cancelled that was not a fill from a parent.
func (q *request) failedAt(member *member) bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool {
		return a.blamed == member || a.target == member && a.cancelled && a.source.role != parent
	})
}
