package indigospool

const (
	overdueBase          = Millis(300) // an attempt is overdue after this and overdueStretch x its expected time
	overdueStretch       = 1.5
	cacheSilence         = Millis(450) // overdue and no sign of life for so long: silent (pauses are shorter)
	sourceSilence        = Millis(900) // the same for a source, which is heard of less often
	silenceGaps          = 4           // and for this many usual gaps between signs of life
	silentOverdueCount   = 3
	singleOverdueSilence = Millis(1500) // one overdue attempt is enough after so long a silence, and
	singleOverdueStretch = 6            // after so many times what it was expected to take: objects differ in size
	faultWeight          = 0.12         // weight of one outcome in the share of faults
	assumedFaultShare    = 0.1          // share of faults assumed of those that showed none
	ejectionFaultShare   = 0.4          // share of faults that makes a suspect
	initialCheckBackoff  = Millis(400)
	maxCheckBackoff      = Millis(4000)
	goodChecksToReturn   = 3 // good trials in a row that clear a suspect
)

func (r *Router) attributeOutcome(request *request, attempt *attempt, outcome Outcome) {
	fill := attempt.source != attempt.target
	switch outcome.Result {
	case OK:
		r.recordSuccess(attempt.target, attempt)
		attempt.target.servedTime += request.sendTime
		if fill && outcome.Note != NoteHit {
			r.recordSuccess(attempt.source, attempt)
			attempt.source.servedTime += request.sendTime
		} else if attempt.target.role == edge {
			request.class.hitTime += (outcome.Took - request.class.hitTime) * 0.02
			if request.KB <= 0 {
				request.class.meanSendTime += (outcome.Took - request.class.meanSendTime) * 0.02
			}
		}
	case Miss:
		if attempt.target.lastProgress = r.now; attempt.healthCheck { // it answers; one that was out for long has few copies
			r.recordSuccess(attempt.target, attempt)
		}
		if attempt.cacheMissed = attempt.source.role == edge; !fill {
			request.fillTarget = attempt.target
		}
	case Full:
		switch {
		case outcome.Note == NoteSourceRefused && attempt.source.role == origin, outcome.Note == NoteSourceLacks:
			attempt.blamed = attempt.source // it guards itself: no fault
		case outcome.Note == NoteOriginFailed:
			attempt.blamed = attempt.source
			for _, originServer := range r.byRole[origin] {
				r.recordFault(originServer, 0.5, nil)
			}
		case outcome.Note == NoteSourceRefused || outcome.Note == NoteSourceUnreached:
			r.recordFault(attempt.source, 1, attempt)
		case outcome.Note == NoteNoPlace || r.settings.Detail == DetailAll:
			r.recordFault(attempt.target, 0.25, attempt)
		default:
			r.splitFault(attempt, 0.5)
		}
	case Errored:
		// What two caches find fault with, and no source, no cache can use: the request ends, and
		// the first gets its blame back. Else a few such make suspects of a whole location.
		if member := request.erroredAt; !fill && member != nil && member != attempt.target {
			request.invalid, attempt.blamed = true, attempt.target
			member.faultShare = max((member.faultShare-faultWeight)/(1-faultWeight), 0)
			member.ejected = member.ejected && member.faultShare > ejectionFaultShare
		} else if r.splitFault(attempt, 1); !fill {
			request.erroredAt = attempt.target
		}
	case ConnectFailed:
		r.recordFault(attempt.target, 3, attempt)
	case TimedOut, Reset: // a dying cache resets all, and then refuses; a connection may break by itself
		if attempt.target.lastProgress <= attempt.sent { // with progress since, it was crowded out: nobody's fault
			r.recordFault(attempt.target, 1, attempt)
		} else if fill && attempt.source.lastProgress <= attempt.sent {
			r.recordFault(attempt.source, 0.5, attempt)
		}
	}
}

// recordSuccess books a sign of health. A suspect returns after good trials, with part
// of its traffic first, so that one that is cold or half well is not flooded.
func (r *Router) recordSuccess(member *member, attempt *attempt) {
	member.progressGap += (min(r.now-member.lastProgress, 2000) - member.progressGap) * 0.1
	member.lastProgress = r.now
	member.faultShare -= member.faultShare * faultWeight
	member.outcomes++
	if member.ejected && (attempt.healthCheck || attempt.source == member || member.silent) {
		member.nextCheck = r.now                                                           // the next trial may follow at once
		if member.goodChecks++; member.goodChecks >= goodChecksToReturn || member.silent { // silence is over with the first sign of life
			member.ejected, member.faultShare, member.outcomes = false, 0, 0
		}
	}
}

// splitFault blames a fault that the cache or the source may have: each in
// proportion to the faults it has shown elsewhere, so that one explains the
// other away.
func (r *Router) splitFault(attempt *attempt, weight float64) {
	if attempt.source == attempt.target {
		r.recordFault(attempt.target, weight, attempt)
		return
	}
	part := (attempt.target.faultShare + assumedFaultShare) / (attempt.target.faultShare + attempt.source.faultShare + 2*assumedFaultShare)
	r.recordFault(attempt.target, weight*part, nil)
	r.recordFault(attempt.source, weight*(1-part), nil)
	if attempt.blamed = attempt.target; part < 0.5 {
		attempt.blamed = attempt.source
	}
}

// recordFault books a fault of weight w; a, if named, is put down to the member.
func (r *Router) recordFault(member *member, weight float64, attempt *attempt) {
	if attempt != nil {
		attempt.blamed = member
	}
	member.faultShare += (1 - member.faultShare) * min(faultWeight*weight, 1)
	member.outcomes++
	member.goodChecks = 0
	if member.ejected {
		member.checkBackoff = min(member.checkBackoff*1.5, maxCheckBackoff)
		member.nextCheck = r.now + member.checkBackoff
	} else if member.faultShare > ejectionFaultShare && member.outcomes > 1 {
		r.eject(member)
	}
}

// eject takes the ordinary traffic from a member.
func (r *Router) eject(member *member) {
	member.ejected, member.goodChecks, member.checking, member.silent = true, 0, false, false
	member.checkBackoff = initialCheckBackoff
	member.nextCheck = r.now + member.checkBackoff
}

// isSilent reports whether a member with overdue attempts gives no sign of life.
func (r *Router) isSilent(member *member) bool {
	quiet := cacheSilence
	if member.role != edge {
		quiet = sourceSilence
	}
	still := r.now - max(member.lastProgress, member.overdueSince)
	return member.overdue >= silentOverdueCount && still > max(quiet, silenceGaps*member.progressGap) ||
		still > max(singleOverdueSilence, singleOverdueStretch*member.overdueExpected)
}

// addOverdue counts an overdue attempt of a member.
func (r *Router) addOverdue(member *member, attempt *attempt) {
	if member.overdue == 0 {
		member.overdueSince, member.overdueExpected = r.now, 0
		r.overdueMembers = append(r.overdueMembers, member)
	}
	member.overdue++
	member.overdueSince, member.overdueExpected = min(member.overdueSince, attempt.sent), max(member.overdueExpected, attempt.expected)
}

func (a *attempt) overdue(now Millis) bool {
	return a.outstanding && !a.wasStalled && now-a.sent > overdueBase+overdueStretch*a.expected
}
