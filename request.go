package indigospool

import "slices"

const (
	// copyRank is the rank of all cached copies. Copies of a higher rank would keep new copies out
	// of the cache for a long time.
	copyRank = 1
	// meanGain is the weight of one request in the moving averages of send and hit times.
	meanGain = 0.02
	// fillTimeRatioGain is the weight of one fill in Router.fillTimeRatio. The ratio of one fill is
	// its duration divided by its send time plus fillOverhead, limited to 1 to maxFillTimeRatio.
	fillTimeRatioGain = 0.05
	maxFillTimeRatio  = 4
	fillOverhead      = Millis(50)
)

// request is a client's request until it has ended and all its attempts have an outcome.
type request struct {
	Request
	class      *class
	hash       uint64 // hash of the object
	jitterSeed uint64
	arrived    Millis
	timerToken int64  // token of the deadline timer
	sendTime   Millis // expected time to send the answer to the client

	attempts      []attempt // in the order of their numbers
	localFailures int       // number of attempts that ended with LocalFailure

	ended     bool // it has its final answer, or the client no longer waits
	streaming bool // the answer has begun
	queued    bool // it waits for capacity or for its backoff
	wasQueued bool // it has been queued at least once

	fillTarget   *member // the cache that has no copy and is to be filled
	siblingTried bool    // a sibling has been tried as the source
	staleAllowed bool    // a stale copy is acceptable

	erroredAt *member // the cache that answered with an error, without a source involved
	invalid   bool    // a second cache answered with an error too

	executedBy     *member // target of the first attempt that may have run; nil: none
	executedMember Member  // its entry of the endpoint list when that attempt was sent
	executedAt     Millis  // when that attempt was sent

	rejected           bool   // the last attempt was rejected
	notBefore          Millis // time of the earliest next attempt
	rejectersNotBefore Millis // time of the earliest next attempt at a member that failed the request
}

// attempt is one attempt of a request.
type attempt struct {
	target       *member // the member that it is sent to
	source       *member // where the target fills from; the target itself for no fill
	sent         Millis
	expected     Millis  // expected duration
	outstanding  bool    // it has no outcome yet
	cancelled    bool    // cancelled by this router
	healthCheck  bool    // the target or the source was ejected when it was sent
	fill         bool    // it counts against the limit of the link into the zone
	cacheMissed  bool    // it involved only caches, and they had no copy
	localFailure bool    // it ended with LocalFailure
	stalled      bool    // the transfer waits for the client
	wasStalled   bool    // the transfer has waited for the client: its duration says nothing about members
	blamed       *member // the member that caused the failure; nil: none
}

// hasSource reports whether the target fills the object from another member.
func (a *attempt) hasSource() bool { return a.source != a.target }

// fillsFromSource reports whether the target fills the object from a parent or the origin.
func (a *attempt) fillsFromSource() bool { return a.hasSource() && a.source.role != edge }

// handleRequest registers a request and makes its first attempt.
func (r *Router) handleRequest(event Request) {
	class := r.classes[event.Class]
	if class == nil {
		r.emit(Fail{ID: event.ID})
		return
	}
	if r.requests[event.ID] != nil {
		return
	}
	request := &request{Request: event, class: class, hash: hashString(event.Object), arrived: r.now}
	request.jitterSeed = r.newJitterSeed(request)
	if event.Deadline <= 0 {
		request.Deadline = r.now + class.Deadline
	}
	request.sendTime = r.expectSendTime(event, class)
	r.requests[event.ID] = request
	r.arrivals = append(r.arrivals, request)
	r.startDeadlineTimer(request)
	r.meanSendTime += (request.sendTime - r.meanSendTime) * meanGain
	r.retryTokens = min(r.retryTokens+retryBudgetShare, retryBudgetBurst)
	r.recordPart(request)
	r.advance(request)
}

// expectSendTime returns the expected time to send the answer: the size divided by the transfer rate
// if both are known, else the average of the class. A send time computed from the size updates that
// average.
func (r *Router) expectSendTime(event Request, class *class) Millis {
	if !r.sizeKnown(event) {
		return class.meanSendTime
	}
	sendTime := event.KB / r.settings.FlowKBPerMs
	class.meanSendTime += (sendTime - class.meanSendTime) * meanGain
	return sendTime
}

// sizeKnown reports whether the send time can be computed from the size of the answer.
func (r *Router) sizeKnown(event Request) bool { return event.KB > 0 && r.settings.FlowKBPerMs > 0 }

// startDeadlineTimer requests a timer shortly before the request's deadline.
func (r *Router) startDeadlineTimer(request *request) {
	r.lastTimerToken++
	request.timerToken = r.lastTimerToken
	r.deadlineTimers[request.timerToken] = request
	r.emit(Wake{In: max(request.Deadline-r.now-2*r.settings.TimerResolution, 0), Token: request.timerToken})
}

// advance makes the next attempt of a request that has none outstanding, or queues or ends the
// request. A warm cache is first asked for a cached copy only, and the object is filled after a
// miss: this keeps the faults and the traffic of fills apart from those of hits.
func (r *Router) advance(request *request) {
	request.queued = false
	if r.exhausted(request) {
		r.traceCandidate(request, nil, false, 0, ReasonAttemptsExhausted)
		r.reject(request)
		return
	}
	var target, source *member
	if r.now >= request.notBefore {
		target, source = r.chooseTarget(request)
	}
	if target == nil { // the next ticks advance the request again: tokens, health checks and capacity become available with time
		request.queued, request.wasQueued = true, true
		return
	}
	if !request.nextAttemptIsFree() {
		r.retryTokens--
	}
	r.send(request, target, source)
}

// send makes an attempt at a target that fills from source. There is no fill if source is the
// target.
func (r *Router) send(request *request, target, source *member) {
	attempt := r.newAttempt(request, target, source)
	r.emit(r.sendAction(request, &attempt))
	r.acquireAttempt(&attempt)
	r.takeTokens(request, &attempt)
	if request.executedBy == nil { // cleared if the outcome shows that the attempt did not run
		request.recordExecution(target, r.now)
	}
	request.attempts = append(request.attempts, attempt)
}

// newAttempt returns an attempt that is sent now.
func (r *Router) newAttempt(request *request, target, source *member) attempt {
	attempt := attempt{target: target, source: source, sent: r.now, outstanding: true}
	attempt.expected = request.class.hitTime
	if r.sizeKnown(request.Request) {
		attempt.expected = request.sendTime
	}
	attempt.healthCheck = target.ejected || source.ejected
	attempt.fill = !request.isWrite() && (target.role != edge || attempt.fillsFromSource())
	return attempt
}

// sendAction returns the action that starts an attempt.
func (r *Router) sendAction(request *request, attempt *attempt) Send {
	send := Send{
		ID:     request.ID,
		Cache:  attempt.target.ID,
		Source: attempt.source.ID,
		Keep:   copyRank,
		Age:    r.maxCopyAge(request),
		Join:   r.settings.JoinFills && attempt.hasSource(),
		Held:   attempt.hasSource() && attempt.source.role == edge,
	}
	keyed := request.class.Idempotency == IdempotentByKey
	if request.isWrite() {
		send.Keep, send.Join = 0, false
		if keyed {
			send.Timeout = r.keyedTimeout(request)
		}
	}
	if keyed && request.executedBy != nil { // the connection might be established only after the key has expired
		send.Within = max(r.keyRememberedUntil(request)-r.now, minCopyAge)
	}
	return send
}

// acquireAttempt counts an attempt as in flight at its target and, if it is a fill, on the link.
// For an ejected target or source the attempt is a health check.
func (r *Router) acquireAttempt(attempt *attempt) {
	if attempt.fill {
		r.link.inFlight++
	}
	attempt.target.inFlight++
	attempt.target.pendingTime += attempt.expected
	for _, member := range []*member{attempt.target, attempt.source} {
		if member.ejected {
			member.checking = true
			member.nextCheck = r.now + member.checkBackoff
		}
	}
}

// releaseAttempt undoes the in-flight counts of acquireAttempt.
func (r *Router) releaseAttempt(attempt *attempt) {
	attempt.target.inFlight = max(attempt.target.inFlight-1, 0)
	if attempt.fill {
		r.link.inFlight--
	}
}

// findAttempt returns the attempt with a number of the request with an id, or nil if there is none.
func (r *Router) findAttempt(id string, number int) (*request, *attempt) {
	request := r.requests[id]
	if request == nil || number < 0 || number >= len(request.attempts) {
		return nil, nil
	}
	return request, &request.attempts[number]
}

// handleOutcome ends an attempt. It attributes the outcome to a member, adjusts the concurrency
// limits and continues the request.
func (r *Router) handleOutcome(outcome Outcome) {
	request, attempt := r.findAttempt(outcome.ID, outcome.Attempt)
	if request == nil || !attempt.outstanding {
		return
	}
	attempt.outstanding = false
	if attempt.stalled { // handleStall has subtracted the attempt from the counts in flight, and releaseAttempt subtracts it again
		r.countInFlight(attempt, 1)
	}
	attempt.target.pendingTime = max(attempt.target.pendingTime-attempt.expected, 0)
	if outcome.Result == LocalFailure {
		r.handleLocalFailure(request, attempt, outcome.Last)
		return
	}
	r.attributeOutcome(request, attempt, outcome)
	shortage := attempt.showsShortage(outcome, request.rejected)
	if shortage {
		r.backOffFromShortage(request)
	}
	request.rejected = outcome.Result == Rejected
	if attempt.blamed == attempt.target {
		request.fillTarget = nil
		if request.rejected {
			request.rejectersNotBefore = r.now + rejectedBackoffStep*float64(len(request.attempts))
		}
	}
	r.releaseAttempt(attempt)
	r.learnFromTransfer(request, attempt, outcome, shortage)
	attempt.target.checking, attempt.source.checking = false, false
	if outcome.Result.NotExecuted() {
		request.clearExecution(attempt)
	}
	fill := attempt.fill
	r.continueRequest(request, outcome.Last)
	if fill || outcome.Result != Miss {
		r.admitQueued()
	}
}

// showsShortage reports whether an attempt was rejected for lack of capacity that another member
// could not provide either: at the origin, or at a second source in a row.
func (a *attempt) showsShortage(outcome Outcome, rejectedBefore bool) bool {
	if outcome.Result != Rejected {
		return false
	}
	if outcome.Note == NoteOriginFailed || a.target.role == origin {
		return true
	}
	return outcome.Note == NoteSourceRejected && (a.source.role == origin || rejectedBefore)
}

// learnFromTransfer adjusts the concurrency limit of the link for a fill, else that of the target.
// The time that the target waited for its source is not counted, unless the wait alone exceeds the
// latency objective.
func (r *Router) learnFromTransfer(request *request, attempt *attempt, outcome Outcome, shortage bool) {
	if attempt.wasStalled {
		return
	}
	took := r.now - attempt.sent
	spent := max(took-outcome.Waited, slowFraction*outcome.Waited)
	transfer := transfer{
		slow:       spent > slowFraction*request.latencyObjective() || shortage,
		succeeded:  attempt.blamed == nil,
		took:       took,
		sizeStated: request.KB > 0,
	}
	switch {
	case attempt.fill:
		ratio := min(max(took/(request.sendTime+fillOverhead), 1), maxFillTimeRatio)
		r.fillTimeRatio += (ratio - r.fillTimeRatio) * fillTimeRatioGain
		r.adjustLimit(&r.link, transfer)
	case outcome.Result != Miss:
		r.adjustLimit(&attempt.target.concurrencyLimit, transfer)
	}
}

// continueRequest continues a request after the end of an attempt. If last is true, the request has ended.
func (r *Router) continueRequest(request *request, last bool) {
	request.ended = request.ended || last
	if request.ended {
		r.removeIfDone(request)
	} else if !request.hasOutstanding() && !request.streaming {
		r.advance(request)
	}
}

// handleStarted records that a request's answer has begun.
func (r *Router) handleStarted(started Started) {
	if request := r.requests[started.ID]; request != nil {
		request.streaming = true
	}
}

// reject gives the final answer: a rejection if a retry by the client is safe, else a failure. For a
// request that is not idempotent, an attempt that may have run makes it a failure, even with an
// idempotency key: caches remember the key for its window only, and the client may retry later.
func (r *Router) reject(request *request) {
	r.endRequest(request)
	if request.executedBy != nil && request.class.Idempotency != Idempotent {
		r.emit(Fail{ID: request.ID})
		return
	}
	r.emit(Refuse{ID: request.ID, After: min(rejectionRetryAfter, r.settings.MaxRetryAfter)})
}

// endRequest ends a request and cancels its outstanding attempts.
func (r *Router) endRequest(request *request) {
	if request.ended {
		return
	}
	request.ended = true
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if attempt.outstanding && !attempt.cancelled && r.settings.CanCancel {
			r.cancelAttempt(request, i)
		}
	}
	r.removeIfDone(request)
}

// cancelAttempt cancels an attempt. The attempt is outstanding until its outcome comes.
func (r *Router) cancelAttempt(request *request, number int) {
	request.attempts[number].cancelled = true
	r.emit(Cancel{ID: request.ID, Attempt: number})
}

// removeIfDone removes a request that has ended and has no outstanding attempts. Its timer is
// removed too, since it would keep the request in memory until the deadline.
func (r *Router) removeIfDone(request *request) {
	if request.ended && !request.hasOutstanding() {
		delete(r.requests, request.ID)
		delete(r.deadlineTimers, request.timerToken)
	}
}

// recordExecution records that an attempt that is sent now may run.
func (q *request) recordExecution(target *member, now Millis) {
	q.executedBy, q.executedMember, q.executedAt = target, target.Member, now
}

// clearExecution records that an attempt did not run.
func (q *request) clearExecution(attempt *attempt) {
	if q.executedBy == attempt.target && q.executedAt == attempt.sent {
		q.executedBy = nil
	}
}

// latencyObjective returns the time within which an answer has its full priority weight.
func (q *request) latencyObjective() Millis {
	return q.class.LatencyObjective + q.class.ObjectivePerSendTime*q.sendTime
}

// hasOutstanding reports whether any attempt has no outcome yet.
func (q *request) hasOutstanding() bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.outstanding })
}

// isWrite reports whether the request is executed by the origin and its answer is not cached.
func (q *request) isWrite() bool { return q.class.Write || q.Write }
