package indigospool

import (
	"slices"
)

const (
	copyRank            = 1 // one rank for all: a higher one would keep new copies out for long
	rejectionRetryAfter = Millis(300)
)

// request is a request in hand.
type request struct {
	Request
	class                      *class
	hash, chanceSeed           uint64
	arrived                    Millis
	timerToken                 int64  // of its deadline's timer
	sendTime                   Millis // own sending time, as told or as its class takes
	attempts                   []attempt
	localFailures              int // of these, the ones that could not be begun here
	ended, queued, streaming   bool
	wasQueued                  bool    // it was parked
	fillTarget                 *member // the cache that missed it and is to be filled
	siblingTried, staleAllowed bool    // a sibling was asked; an old copy will do
	erroredAt                  *member // the cache whose error it had, with no source involved
	invalid                    bool    // another one's too
	executedBy                 *member // where the first attempt that may have run went
	executedAt                 Millis
	rejected                   bool   // the last attempt was turned away
	notBefore                  Millis // nobody is asked before
	rejectersAfter             Millis // those that turned it away are not asked again before
}

// attempt is one attempt of a request.
type attempt struct {
	target, source           *member
	sent, expected           Millis
	outstanding, healthCheck bool
	fill                     bool // it takes room on the location's link
	cancelled                bool // cancelled by us
	cacheMissed              bool // only a cache was asked, which had no copy
	localFailure             bool // it could not be begun here
	blamed                   *member
	stalled                  bool // it waits for its client now
	wasStalled               bool // or did: how long it took tells nothing of members
}

func (r *Router) arrive(event Request) {
	class := r.classes[event.Class]
	if class == nil {
		r.emit(Fail{ID: event.ID})
	}
	if class == nil || r.requests[event.ID] != nil {
		return
	}
	request := &request{Request: event, class: class, hash: hashString(event.Object), arrived: r.now}
	request.chanceSeed = r.chanceSeed(request)
	if event.Deadline <= 0 {
		request.Deadline = r.now + class.Deadline
	}
	request.sendTime = class.meanSendTime
	if event.KB > 0 && r.settings.FlowKBPerMs > 0 {
		request.sendTime = event.KB / r.settings.FlowKBPerMs
		class.meanSendTime += (request.sendTime - class.meanSendTime) * 0.02
	}
	r.requests[event.ID] = request
	r.arrivals = append(r.arrivals, request)
	r.lastTimerToken++
	r.deadlineTimers[r.lastTimerToken], request.timerToken = request, r.lastTimerToken
	r.emit(Wake{In: max(request.Deadline-r.now-2*r.settings.Tick, 0), Token: r.lastTimerToken})
	r.meanSendTime += (request.sendTime - r.meanSendTime) * 0.02
	r.retryTokens = min(r.retryTokens+retryBudgetShare, retryBudgetBurst)
	r.recordPart(request)
	r.advance(request)
}

// advance makes the next attempt of a request that has none out, or ends it.
// A warm cache is first asked for what it holds; only a miss is then filled,
// so that faults and bytes of fills are known for what they are.
func (r *Router) advance(request *request) {
	request.queued = false
	free := request.nextAttemptIsFree()
	if r.exhausted(request) {
		r.traceLook(request, nil, false, 0, NoBudget)
		r.reject(request)
		return
	}
	var target, source *member
	if r.now >= request.notBefore {
		target, source = r.chooseTarget(request)
	}
	if target == nil {
		request.queued, request.wasQueued = true, true // budgets, trials and the link's room come back with the next beats
		return
	}
	if !free {
		r.retryTokens--
	}
	attempt := attempt{target: target, source: source, sent: r.now, expected: request.class.hitTime, outstanding: true}
	if request.KB > 0 && r.settings.FlowKBPerMs > 0 {
		attempt.expected = request.sendTime
	}
	attempt.healthCheck = target.ejected || source.ejected
	attempt.fill = target.role != edge || source != target && source.role != edge
	send := Send{ID: request.ID, Cache: target.ID, Source: source.ID, Keep: copyRank, Age: r.maxCopyAge(request)}
	send.Join, send.Held = r.settings.Joins && source != target, source.role == edge && source != target
	if request.isWrite() {
		send.Keep, send.Join, attempt.fill = 0, false, false
		if request.class.Effect == Guarded { // leave time for a repeat while it is remembered
			send.Timeout = max(min(request.class.Window*0.45, (request.Deadline-r.now)*0.5), 1)
		}
	}
	if request.executedBy != nil && request.class.Effect == Guarded { // a connection may come up past its window
		send.Within = max(request.executedAt+request.class.Window-2*r.settings.Tick-r.now, minCopyAge)
	}
	if attempt.fill {
		r.link.inFlight++
	}
	target.inFlight++
	target.pendingTime += attempt.expected
	for _, member := range []*member{target, source} {
		if member.ejected {
			member.checking, member.nextCheck = true, r.now+member.checkBackoff
		}
	}
	if target.tokens -= r.slowStartCost(target, request); source != target && source.role != edge {
		source.tokens -= r.slowStartCost(source, request)
	}
	if request.executedBy == nil {
		request.executedBy, request.executedAt = target, r.now // until its outcome proves otherwise
	}
	request.attempts = append(request.attempts, attempt)
	r.emit(send)
}

// handleOutcome books an outcome, blames the part that failed and goes on.
func (r *Router) handleOutcome(outcome Outcome) {
	request := r.requests[outcome.ID]
	if request == nil || outcome.Attempt < 0 || outcome.Attempt >= len(request.attempts) || !request.attempts[outcome.Attempt].outstanding {
		return
	}
	attempt := &request.attempts[outcome.Attempt]
	attempt.outstanding = false
	if attempt.stalled {
		r.countInFlight(attempt, 1) // and lets it go below
	}
	attempt.target.pendingTime = max(attempt.target.pendingTime-attempt.expected, 0)
	if outcome.Result == LocalFailure {
		r.handleLocalFailure(request, attempt, outcome.Last)
		return
	}
	r.attributeOutcome(request, attempt, outcome)
	behind := outcome.Result == Full && (outcome.Note == NoteOriginFailed || attempt.target.role == origin ||
		outcome.Note == NoteSourceRefused && (attempt.source.role == origin || request.rejected))
	if behind {
		// What is short is behind all that could be asked instead, and is no longer so when asked
		// again at once, by all: what is left of attempts is spread over what is left of time.
		spread := (request.Deadline - r.now) / float64(2*max(r.settings.MaxAttempts-request.countedAttempts()+1, 1))
		request.notBefore = r.now + spread*(0.5+chance(request.chanceSeed+uint64(len(request.attempts))))
	}
	request.rejected = outcome.Result == Full
	if attempt.blamed == attempt.target {
		if request.fillTarget = nil; outcome.Result == Full {
			request.rejectersAfter = r.now + rejectedBackoffStep*float64(len(request.attempts))
		}
	}
	slow := max(r.now-attempt.sent-outcome.Waited, slowFillPart*outcome.Waited) > slowFillPart*request.latencyObjective() || behind // or far away
	if attempt.target.inFlight = max(attempt.target.inFlight-1, 0); attempt.fill {
		r.link.inFlight--
	}
	switch {
	case attempt.wasStalled:
	case attempt.fill:
		r.fillStretch += (min(max((r.now-attempt.sent)/(request.sendTime+50), 1), 4) - r.fillStretch) * 0.05
		r.adjustLimit(request, &r.link, slow, attempt.blamed == nil, r.now-attempt.sent)
	case outcome.Result != Miss:
		r.adjustLimit(request, &attempt.target.concurrencyLimit, slow, attempt.blamed == nil, r.now-attempt.sent)
	}
	attempt.target.checking, attempt.source.checking = false, false
	if outcome.Result.RanNot() && request.executedBy == attempt.target && request.executedAt == attempt.sent {
		request.executedBy = nil
	}
	if request.ended = request.ended || outcome.Last; request.ended {
		r.forget(request)
	} else if !request.hasOutstanding() && !request.streaming {
		r.advance(request)
	}
	if attempt.fill || outcome.Result != Miss {
		r.admitQueued()
	}
}

// reject gives the final answer: a refusal where a repeat is surely harmless. It is not where an
// attempt may have run: caches drop the repeats of a guarded request for a window only, and what
// was refused may come back at any time.
func (r *Router) reject(request *request) {
	r.endRequest(request)
	if request.executedBy != nil && request.class.Effect != Free {
		r.emit(Fail{ID: request.ID})
		return
	}
	r.emit(Refuse{ID: request.ID, After: min(rejectionRetryAfter, r.settings.MaxRetryAfter)})
}

// endRequest ends a request and calls back what is still out for it.
func (r *Router) endRequest(request *request) {
	if request.ended {
		return
	}
	request.ended = true
	for i := range request.attempts {
		if attempt := &request.attempts[i]; attempt.outstanding && !attempt.cancelled && r.settings.Cancels {
			attempt.cancelled = true
			r.emit(Cancel{ID: request.ID, Attempt: i})
		}
	}
	r.forget(request)
}

// forget forgets a request that is over and has nothing out.
func (r *Router) forget(request *request) {
	if request.ended && !request.hasOutstanding() {
		delete(r.requests, request.ID)
		delete(r.deadlineTimers, request.timerToken) // else each is held for its client's whole patience
	}
}

// latencyObjective is how long an answer may take and still earn its worth.
func (q *request) latencyObjective() Millis { return q.class.Aim + q.class.AimStretch*q.sendTime }

func (q *request) hasOutstanding() bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.outstanding })
}

func (q *request) isWrite() bool { return q.class.Write || q.Write }
