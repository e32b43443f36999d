package indigospool

import (
	"slices"
)

const (
	rejectedBackoffStep = Millis(20) // one that turned a request away rests so long for each attempt
	retryBudgetShare    = 0.25
	retryBudgetBurst    = 30.0
	retryReserve        = 5.0         // of it, for the classes of the most worth
	initialLocalBackoff = Millis(10)  // backoff after an attempt that could not be begun here: shortages of a
	maxLocalBackoff     = Millis(160) // moment pass in some ms, others are asked about some times a second
	maxLocalFailures    = 256         // such attempts that one request may make
)

// exhausted reports whether a request may make no further attempt.
func (r *Router) exhausted(request *request) bool {
	late := request.executedBy != nil && (request.class.Effect == SingleShot ||
		request.class.Effect == Guarded && r.now >= request.executedAt+request.class.Window-2*r.settings.Tick)
	return request.invalid || request.Deadline-r.now <= 2*r.settings.Tick || request.countedAttempts() >= r.settings.MaxAttempts || request.localFailures >= maxLocalFailures || late ||
		!request.nextAttemptIsFree() && r.retryTokens < r.retryTokensNeeded(request)
}

// retryTokensNeeded is what the retry budget must hold for a further attempt of a request. What is left
// of it at last is for the classes that earn most: in an overload the many others would spend it all.
func (r *Router) retryTokensNeeded(request *request) float64 {
	if request.class.Worth < r.highestWorth {
		return 1 + retryReserve
	}
	return 1
}

// mayRunAt holds a guarded request that may have run to the group of caches that
// drops its repeats.
func (q *request) mayRunAt(member *member) bool {
	if q.executedBy == nil || q.class.Effect == Free {
		return true
	}
	near := member.Zone == q.executedBy.Zone
	return q.class.Group == Everywhere || member == q.executedBy || q.class.Group == Location && near ||
		q.class.Group == Cell && near && member.Cell == q.executedBy.Cell
}

// nextAttemptIsFree reports whether the next attempt costs nothing of the retries' budget.
func (q *request) nextAttemptIsFree() bool {
	if len(q.attempts) == 0 {
		return true
	}
	last := &q.attempts[len(q.attempts)-1]
	return last.cacheMissed || last.localFailure
}

// countedAttempts is how many attempts were made of those that a request may make: one that could not be
// begun here reached nobody.
func (q *request) countedAttempts() int { return len(q.attempts) - q.localFailures }

// failedAt reports whether the request was let down by the member before.
func (q *request) failedAt(member *member) bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool {
		return a.blamed == member || a.target == member && a.cancelled && a.source.role != parent
	})
}

// handleLocalFailure books an attempt that could not be begun here, for want of a descriptor, a port, a
// buffer or a route. It says nothing of members, spends no attempt and no budget, and would fail
// again at once: the next follows after a backoff, and after two at one member elsewhere, since
// want of a route may concern that one alone.
func (r *Router) handleLocalFailure(request *request, attempt *attempt, last bool) {
	attempt.localFailure = true
	attempt.target.inFlight = max(attempt.target.inFlight-1, 0)
	if attempt.fill {
		r.link.inFlight--
	}
	attempt.target.checking, attempt.source.checking = false, false
	attempt.target.tokens += r.slowStartCost(attempt.target, request)
	if attempt.source != attempt.target && attempt.source.role != edge {
		attempt.source.tokens += r.slowStartCost(attempt.source, request)
	}
	if request.executedBy == attempt.target && request.executedAt == attempt.sent {
		request.executedBy = nil
	}
	if n := len(request.attempts); n > 1 && request.attempts[n-2].localFailure && request.attempts[n-2].target == attempt.target {
		attempt.blamed = attempt.target
	}
	wait := min(initialLocalBackoff*float64(uint64(1)<<min(request.localFailures, 16)), maxLocalBackoff)
	request.notBefore = r.now + wait*(0.5+chance(request.chanceSeed+uint64(len(request.attempts))))
	request.localFailures++
	if request.ended = request.ended || last; request.ended {
		r.forget(request)
	} else if !request.hasOutstanding() && !request.streaming {
		r.advance(request)
	}
}

// cancelUnresponsive calls back attempts that wait on a silent or vanished member.
func (r *Router) cancelUnresponsive(request *request) {
	if !r.settings.Cancels || request.class.Effect != Free || r.retryTokens < 1 || request.countedAttempts() >= r.settings.MaxAttempts {
		return
	}
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if attempt.cancelled || !attempt.overdue(r.now) {
			continue
		}
		lost := func(member *member) bool {
			return (member.ejected || member.unavailable) && member.lastProgress <= attempt.sent
		}
		if lost(attempt.target) || attempt.source.role != edge && lost(attempt.source) && attempt.target.lastProgress > attempt.sent {
			attempt.cancelled = true
			r.emit(Cancel{ID: request.ID, Attempt: i})
		}
	}
}
