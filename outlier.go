package indigospool

import "slices"

const (
	// An attempt is overdue after overdueBase and overdueStretch times its expected time.
	overdueBase   = Millis(300)
	overdueFactor = 1.5

	// A member with silentOverdueCount overdue attempts and no progress for so long is silent:
	// longer than the pauses that caches make.
	cacheSilence       = Millis(450)
	sourceSilence      = Millis(900) // of a source, whose progress shows less often
	silenceGapFactor   = 4           // and for this many of its usual gaps between signs of progress
	silentOverdueCount = 3
	// One overdue attempt is enough after so long a silence, and after so many times what it was
	// expected to take: objects differ in size.
	singleOverdueSilence = Millis(1500)
	singleOverdueFactor  = 6

	// faultGain is the weight of one outcome in a member's share of faults.
	faultGain = 0.12
	// assumedFaultShare is assumed of members that showed no fault, where one of two is at fault.
	assumedFaultShare = 0.1
	// ejectionFaultShare is the share of faults from which a member is ejected.
	ejectionFaultShare = 0.4

	// An ejected member gets one health check at a time, after a backoff that grows with each
	// that fails.
	initialCheckBackoff = Millis(400)
	maxCheckBackoff     = Millis(4000)
	checkBackoffGrowth  = 1.5
	// goodChecksToReturn is how many good health checks in a row end an ejection.
	goodChecksToReturn = 3

	// progressGapGain is the weight of one gap between two signs of progress in the usual one,
	// and maxProgressGap the longest that counts: longer ones mean that nothing was asked.
	progressGapGain = 0.1
	maxProgressGap  = Millis(2000)
)

// The weights of faults, by how surely they show that a member is at fault.
const (
	certainFault  = 3.0  // it accepts no connections
	fault         = 1.0  // an attempt failed at it
	likelyFault   = 0.5  // an attempt failed at it or behind it
	overloadFault = 0.25 // it rejected an attempt for want of capacity
)

// attributeOutcome attributes an outcome to the member that it says something about.
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
	case TimedOut, Reset: // a dying cache resets all, and then refuses; a connection may break by itself
		r.attributeTimeoutOrReset(attempt)
	}
}

// attributeSuccess records an answer for the target and, where it was filled, for the source.
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

// attributeMiss records that the target answered, and that it is to be filled.
func (r *Router) attributeMiss(request *request, attempt *attempt) {
	attempt.target.lastProgress = r.now
	if attempt.healthCheck { // it answers; a member that was out for long has few copies
		r.recordSuccess(attempt.target, attempt)
	}
	attempt.cacheMissed = attempt.source.role == edge
	if !attempt.hasSource() {
		request.fillTarget = attempt.target
	}
}

// attributeRejection records who was short of capacity.
func (r *Router) attributeRejection(attempt *attempt, note Note) {
	switch {
	case note == NoteSourceRejected && attempt.source.role == origin, note == NoteSourceMiss:
		attempt.blamed = attempt.source // it protects itself: no fault
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

// attributeError records an error. What two caches answer with an error, and no source is
// involved, no cache can serve: the request ends, and the first cache's fault is taken back.
// Else a few such requests would eject all caches of a location.
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

// attributeTimeoutOrReset records a lost connection or a timeout. A member that has made progress
// since the attempt was sent is not at fault: the attempt was crowded out.
func (r *Router) attributeTimeoutOrReset(attempt *attempt) {
	switch {
	case attempt.target.lastProgress <= attempt.sent:
		r.blameMember(attempt, attempt.target, fault)
	case attempt.hasSource() && attempt.source.lastProgress <= attempt.sent:
		r.blameMember(attempt, attempt.source, likelyFault)
	}
}

// recordSuccess records a sign of health. An ejected member returns after good health
// checks one after the other, so that one that is warming up or half well is not flooded.
func (r *Router) recordSuccess(member *member, attempt *attempt) {
	member.progressGap += (min(r.now-member.lastProgress, maxProgressGap) - member.progressGap) * progressGapGain
	member.lastProgress = r.now
	member.faultShare -= member.faultShare * faultGain
	member.outcomes++
	if !member.ejected || !(attempt.healthCheck || attempt.source == member || member.silent) {
		return
	}
	member.nextCheck = r.now // the next health check may follow at once
	member.goodChecks++
	if member.goodChecks >= goodChecksToReturn || member.silent { // silence ends with the first sign of life
		member.ejected, member.faultShare, member.outcomes = false, 0, 0
	}
}

// splitFault records a fault that the target or the source may have: on each in proportion
// to the faults it has shown elsewhere, so that one explains the other away.
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

// blameMember records that a member is to blame for an attempt.
func (r *Router) blameMember(attempt *attempt, member *member, weight float64) {
	attempt.blamed = member
	r.recordFault(member, weight)
}

// recordFault adds a fault to a member's share, and ejects it when that is too high. The
// failed health check of an ejected one makes the next come later.
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

// eject takes the ordinary traffic from a member; health checks are left.
func (r *Router) eject(member *member) {
	member.ejected, member.silent = true, false
	member.goodChecks, member.checking = 0, false
	member.checkBackoff = initialCheckBackoff
	member.nextCheck = r.now + member.checkBackoff
}

// healthCheckDue reports whether an ejected member may be sent a health check: an ordinary
// request, one at a time.
func (r *Router) healthCheckDue(member *member) bool {
	return !member.checking && r.now >= member.nextCheck
}

// mayCheckHealth reports whether a request may be an ejected member's health check: one that
// made no attempt, or, for a parent while the location's link has shown no shortage, one whose
// looks at caches have missed, which no member has failed. Most fills follow such a look, and each
// that goes past an ejected parent is one more for the origin. Where the link is short, they wait:
// fills from fewer sources bring more over it.
func (r *Router) mayCheckHealth(member *member, request *request) bool {
	if !r.healthCheckDue(member) {
		return false
	}
	if request.countedAttempts() == 0 {
		return true
	}
	return member.role == parent && request.nextAttemptIsFree() && (r.link.limit >= initialLimit || r.originEjected())
}

// originEjected reports whether an origin is ejected.
func (r *Router) originEjected() bool {
	return slices.ContainsFunc(r.byRole[origin], func(member *member) bool { return member.ejected })
}

// ejectSilent ejects members with overdue attempts and no sign of progress, whatever the
// cause. Progress clears a member, so slow answers alone do not eject it. A member that is
// asked nothing is not silent.
func (r *Router) ejectSilent() {
	r.countOverdue()
	for _, member := range r.overdueMembers {
		if !member.unavailable && !member.ejected && r.isSilent(member) {
			r.eject(member)
			member.silent = true
		}
	}
}

// countOverdue counts the overdue attempts of each member. One that waits for a fill counts
// for the source too, once the target has shown progress since.
func (r *Router) countOverdue() {
	for _, member := range r.overdueMembers {
		member.overdue = 0
	}
	clear(r.overdueMembers) // so that removed members can be collected
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

// addOverdue counts an overdue attempt of a member.
func (r *Router) addOverdue(member *member, attempt *attempt) {
	if member.overdue == 0 {
		member.overdueSince, member.overdueExpected = r.now, 0
		r.overdueMembers = append(r.overdueMembers, member)
	}
	member.overdue++
	member.overdueSince = min(member.overdueSince, attempt.sent)
	member.overdueExpected = max(member.overdueExpected, attempt.expected)
}

// isSilent reports whether a member with overdue attempts gives no sign of progress.
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

// isOverdue reports whether an attempt is out for much longer than expected. One that has
// waited for its client says nothing about members.
func (a *attempt) isOverdue(now Millis) bool {
	return a.outstanding && !a.wasStalled && now-a.sent > overdueBase+overdueFactor*a.expected
}

// cancelUnresponsive cancels the attempts of a request that wait on an ejected or
// unavailable member, so that they can be retried elsewhere while time is left.
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

// isUnresponsive reports whether an attempt waits on a member that will not answer.
func (a *attempt) isUnresponsive() bool {
	if a.target.unresponsiveSince(a.sent) {
		return true
	}
	return a.source.role != edge && a.source.unresponsiveSince(a.sent) && a.target.lastProgress > a.sent
}

// unresponsiveSince reports whether a member is out and has made no progress since a time.
func (m *member) unresponsiveSince(at Millis) bool {
	return (m.ejected || m.unavailable) && m.lastProgress <= at
}

// failedAt reports whether the request failed at a member before, or waited on it until
// the attempt was cancelled.
func (q *request) failedAt(member *member) bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool {
		return a.blamed == member || a.target == member && a.cancelled && a.source.role != parent
	})
}
