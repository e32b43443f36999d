package indigospool

import "slices"

const (
	// copyRank is the rank of every copy that a cache is asked to keep: with a higher one for
	// some, new copies would be kept out for long.
	copyRank = 1
	// meanGain is the weight of one request in the mean times of all and of its class.
	meanGain = 0.02
	// fillTimeRatioGain is the weight of one fill in fillStretch. The time of a fill counts in
	// multiples, 1 to maxFillStretch, of its sending time and fillOverhead.
	fillTimeRatioGain = 0.05
	maxFillTimeRatio  = 4
	fillOverhead      = Millis(50)
)

// request is a client's request while it is in hand.
type request struct {
	Request
	class      *class
	hash       uint64 // of the object
	jitterSeed uint64
	arrived    Millis
	timerToken int64  // of its deadline's timer
	sendTime   Millis // expected time that the answer takes to send

	attempts      []attempt // in the order of their numbers
	localFailures int       // of these, those that could not be begun at this router

	ended     bool // it has its final answer, or the client has left
	streaming bool // the answer has begun
	queued    bool // it waits for capacity
	wasQueued bool // or has waited

	fillTarget   *member // the cache that has no copy and is to be filled
	siblingTried bool    // a sibling was asked as a source
	staleAllowed bool    // a copy past its fresh time will do

	erroredAt *member // the cache that answered with an error, no source being involved
	invalid   bool    // another cache did so too

	executedBy *member // where the first attempt went that may have run; nil: none
	executedAt Millis  // when that was sent

	rejected           bool   // the last attempt was rejected
	notBefore          Millis // no attempt is made before
	rejectersNotBefore Millis // the members that failed it are not asked before
}

// attempt is one attempt of a request.
type attempt struct {
	target       *member // the member that it is sent to
	source       *member // where the target fills from; the target itself: no fill
	sent         Millis
	expected     Millis // time that it is expected to take
	outstanding  bool   // no outcome has come
	cancelled    bool   // by this router
	healthCheck  bool   // the target or the source is ejected
	fill         bool   // it counts against the limit of the location's link
	cacheMissed  bool   // only caches were asked, and they had no copy
	localFailure bool   // it could not be begun at this router
	stalled      bool   // the answer waits for its client
	wasStalled   bool   // or has waited: how long it took says nothing about members
	blamed       *member
}

// hasSource reports whether the target is to fill the object from another member.
func (a *attempt) hasSource() bool { return a.source != a.target }

// fillsFromSource reports whether the target is to fill from a parent or the origin.
func (a *attempt) fillsFromSource() bool { return a.hasSource() && a.source.role != edge }

// handleRequest takes in a request and makes its first attempt.
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

// expectSendTime is how long an answer takes to send: by its size where that and the pace
// are stated, and then the class learns from it; else the mean of the class.
func (r *Router) expectSendTime(event Request, class *class) Millis {
	if !r.sizeKnown(event) {
		return class.meanSendTime
	}
	sendTime := event.KB / r.settings.FlowKBPerMs
	class.meanSendTime += (sendTime - class.meanSendTime) * meanGain
	return sendTime
}

// sizeKnown reports whether the time that the answer takes to send follows from its size.
func (r *Router) sizeKnown(event Request) bool { return event.KB > 0 && r.settings.FlowKBPerMs > 0 }

// startDeadlineTimer asks for a timer shortly before the request's deadline.
func (r *Router) startDeadlineTimer(request *request) {
	r.lastTimerToken++
	request.timerToken = r.lastTimerToken
	r.deadlineTimers[request.timerToken] = request
	r.emit(Wake{In: max(request.Deadline-r.now-2*r.settings.TimerResolution, 0), Token: request.timerToken})
}

// advance makes the next attempt of a request that has none out, queues it, or ends it.
// A warm cache is first asked for what it holds; only a miss is then filled, so that
// the faults and the bytes of fills are known for what they are.
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
	if target == nil { // budgets, health checks and capacity come back with the next ticks
		request.queued, request.wasQueued = true, true
		return
	}
	if !request.nextAttemptIsFree() {
		r.retryTokens--
	}
	r.send(request, target, source)
}

// send makes an attempt at a target that fills from a source; the target itself: no fill.
func (r *Router) send(request *request, target, source *member) {
	attempt := r.newAttempt(request, target, source)
	r.emit(r.sendAction(request, &attempt))
	r.acquireAttempt(&attempt)
	r.takeTokens(request, &attempt)
	if request.executedBy == nil { // until its outcome shows that it did not run
		request.executedBy, request.executedAt = target, r.now
	}
	request.attempts = append(request.attempts, attempt)
}

// newAttempt is an attempt that is about to be sent.
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

// sendAction is the action that makes an attempt.
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
	if keyed && request.executedBy != nil { // a connection may come up after the key is forgotten
		send.Within = max(r.keyRememberedUntil(request)-r.now, minCopyAge)
	}
	return send
}

// acquireAttempt counts an attempt against its link, its target and, where one of its
// members is ejected, as that one's health check.
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

// releaseAttempt gives back what an attempt had in flight.
func (r *Router) releaseAttempt(attempt *attempt) {
	attempt.target.inFlight = max(attempt.target.inFlight-1, 0)
	if attempt.fill {
		r.link.inFlight--
	}
}

// findAttempt is an attempt by its request's id and its number; nil where there is none.
func (r *Router) findAttempt(id string, number int) (*request, *attempt) {
	request := r.requests[id]
	if request == nil || number < 0 || number >= len(request.attempts) {
		return nil, nil
	}
	return request, &request.attempts[number]
}

// handleOutcome ends an attempt: it attributes the outcome to the member that it says
// something about, adjusts limits and goes on with the request.
func (r *Router) handleOutcome(outcome Outcome) {
	request, attempt := r.findAttempt(outcome.ID, outcome.Attempt)
	if request == nil || !attempt.outstanding {
		return
	}
	attempt.outstanding = false
	if attempt.stalled { // counted out; counted in here, since it is released below
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

// showsShortage reports whether an attempt was rejected for a shortage behind all that could
// be asked instead: at the origin, or at the second source one after the other.
func (a *attempt) showsShortage(outcome Outcome, rejectedBefore bool) bool {
	if outcome.Result != Rejected {
		return false
	}
	if outcome.Note == NoteOriginFailed || a.target.role == origin {
		return true
	}
	return outcome.Note == NoteSourceRejected && (a.source.role == origin || rejectedBefore)
}

// learnFromTransfer adjusts the limit of the link that an attempt went over. The wait for a
// far source counts only as far as it uses up the latency objective.
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

// continueRequest goes on with a request after the end of an attempt. With last the
// request is over.
func (r *Router) continueRequest(request *request, last bool) {
	request.ended = request.ended || last
	if request.ended {
		r.removeIfDone(request)
	} else if !request.hasOutstanding() && !request.streaming {
		r.advance(request)
	}
}

// handleStarted notes that a request's answer has begun: it is final.
func (r *Router) handleStarted(started Started) {
	if request := r.requests[started.ID]; request != nil {
		request.streaming = true
	}
}

// reject gives the final answer: a rejection where a client's retry is surely harmless, else
// a failure. An attempt that may have run makes it a failure, also with an idempotency key:
// caches remember that for its window only, and the client may come back at any time.
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

// cancelAttempt cancels an attempt; its outcome is still to come.
func (r *Router) cancelAttempt(request *request, number int) {
	request.attempts[number].cancelled = true
	r.emit(Cancel{ID: request.ID, Attempt: number})
}

// removeIfDone drops a request that has ended and has no attempt outstanding, with its timer,
// which would else hold it until its deadline.
func (r *Router) removeIfDone(request *request) {
	if request.ended && !request.hasOutstanding() {
		delete(r.requests, request.ID)
		delete(r.deadlineTimers, request.timerToken)
	}
}

// clearExecution notes that an attempt did not run.
func (q *request) clearExecution(attempt *attempt) {
	if q.executedBy == attempt.target && q.executedAt == attempt.sent {
		q.executedBy = nil
	}
}

// latencyObjective is how long an answer may take and still have its full weight.
func (q *request) latencyObjective() Millis {
	return q.class.LatencyObjective + q.class.ObjectivePerSendTime*q.sendTime
}

// hasOutstanding reports whether an attempt has no outcome yet.
func (q *request) hasOutstanding() bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.outstanding })
}

// isWrite reports whether the request runs at the origin and its answer is not cached.
func (q *request) isWrite() bool { return q.class.Write || q.Write }
