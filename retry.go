package indigospool

const (
	// Each request adds retryBudgetShare tokens to the retry budget, which holds at most
	// retryBudgetBurst: in a long outage retries add at most a quarter to the load.
	retryBudgetShare = 0.25
	retryBudgetBurst = 30.0
	// retryReserve is the number of tokens that are reserved for the classes of the highest priority
	// weight.
	retryReserve = 5.0
	// defaultMaxAttempts is used if Settings.MaxAttempts is not specified.
	defaultMaxAttempts = 4

	// rejectedBackoffStep, times the number of attempts made, is the backoff before a member that
	// rejected the request is asked again.
	rejectedBackoffStep = Millis(20)

	// The backoff after a LocalFailure doubles from initialLocalBackoff to maxLocalBackoff: short
	// shortages pass within milliseconds, and in longer ones a few attempts per second are enough.
	initialLocalBackoff = Millis(10)
	maxLocalBackoff     = Millis(160)
	// maxLocalFailures is the maximum number of attempts per request that end with LocalFailure.
	maxLocalFailures = 256

	// rejectionRetryAfter is the Retry-After of rejections, unless Settings.MaxRetryAfter is lower.
	rejectionRetryAfter = Millis(300)
	// The timeout of a write with an idempotency key is at most timeoutWindowFraction of the key's
	// window and timeoutDeadlineFraction of the time to the deadline. This leaves time for a retry
	// while the caches remember the key.
	timeoutWindowFraction   = 0.45
	timeoutDeadlineFraction = 0.5
	minTimeout              = Millis(1)
)

// exhausted reports whether a request may make no further attempt.
func (r *Router) exhausted(request *request) bool {
	switch {
	case request.invalid, r.deadlineReached(request), r.mustNotRunAgain(request):
		return true
	case request.countedAttempts() >= r.settings.MaxAttempts, request.localFailures >= maxLocalFailures:
		return true
	}
	return !request.nextAttemptIsFree() && r.retryTokens < r.retryTokensNeeded(request)
}

// retryTokensNeeded returns the number of tokens that the retry budget must hold for a retry of a
// request. The last retryReserve tokens are for the classes of the highest priority weight: in an
// overload the retries of other classes, which are more frequent, would use up the budget.
func (r *Router) retryTokensNeeded(request *request) float64 {
	if request.class.PriorityWeight < r.highestPriorityWeight {
		return 1 + retryReserve
	}
	return 1
}

// deadlineReached reports whether it is too late for an answer before the deadline.
func (r *Router) deadlineReached(request *request) bool {
	return request.Deadline-r.now <= 2*r.settings.TimerResolution
}

// mustNotRunAgain reports whether the request may have run and a retry could execute it twice.
func (r *Router) mustNotRunAgain(request *request) bool {
	if request.executedBy == nil {
		return false
	}
	switch request.class.Idempotency {
	case NonIdempotent:
		return true
	case IdempotentByKey:
		return r.now >= r.keyRememberedUntil(request)
	}
	return false
}

// keyRememberedUntil returns the time until which the caches are certain to remember the idempotency
// key of a request that may have run.
func (r *Router) keyRememberedUntil(request *request) Millis {
	return request.executedAt + request.class.KeyWindow - 2*r.settings.TimerResolution
}

// mayRunAt reports whether a request may be sent to a member. A request that may have run and is not
// idempotent may only be sent to members that remember its idempotency key: to those of the zone or
// cell in which it may have run. The member itself may have been restarted since, in another one.
func (q *request) mayRunAt(member *member) bool {
	if q.executedBy == nil || q.class.Idempotency == Idempotent {
		return true
	}
	executed := &q.executedMember
	if member == q.executedBy && member.ReadyAt == executed.ReadyAt {
		return true
	}
	sameZone := member.Zone == executed.Zone
	switch q.class.KeyScope {
	case ScopeAll:
		return true
	case ScopeZone:
		return sameZone
	case ScopeCell:
		return sameZone && member.Cell == executed.Cell
	}
	return false
}

// mayRetry reports whether the retry budget and the number of attempts allow a retry.
func (r *Router) mayRetry(request *request) bool {
	return r.retryTokens >= 1 && request.countedAttempts() < r.settings.MaxAttempts
}

// nextAttemptIsFree reports whether the next attempt takes no token from the retry budget: the first
// one, and those that follow a lookup without a copy or a LocalFailure.
func (q *request) nextAttemptIsFree() bool {
	if len(q.attempts) == 0 {
		return true
	}
	last := &q.attempts[len(q.attempts)-1]
	return last.cacheMissed || last.localFailure
}

// countedAttempts returns the number of attempts that count against Settings.MaxAttempts. Attempts
// that ended with LocalFailure reached no member and are not counted.
func (q *request) countedAttempts() int { return len(q.attempts) - q.localFailures }

// handleLocalFailure ends an attempt for which this router had no descriptor, port, buffer or route.
// The attempt says nothing about members, does not count against MaxAttempts and takes nothing from
// the budgets. An immediate retry would fail again, so the next attempt follows after a backoff. After
// two such attempts in a row at the same member it goes to another one, since a missing route or port
// may concern that member only.
func (r *Router) handleLocalFailure(request *request, attempt *attempt, last bool) {
	attempt.localFailure = true
	r.releaseAttempt(attempt)
	attempt.target.checking, attempt.source.checking = false, false
	r.returnTokens(request, attempt)
	request.clearExecution(attempt)
	if n := len(request.attempts); n > 1 {
		previous := &request.attempts[n-2]
		if previous.localFailure && previous.target == attempt.target {
			attempt.blamed = attempt.target
		}
	}
	backoff := min(initialLocalBackoff*float64(uint64(1)<<min(request.localFailures, 16)), maxLocalBackoff)
	r.backOff(request, backoff)
	request.localFailures++
	r.continueRequest(request, last)
}

// backOff delays the next attempt by 0.5 to 1.5 times backoff. The factor depends on the request, so
// that requests that failed at the same time are not retried at the same time.
func (r *Router) backOff(request *request, backoff Millis) {
	request.notBefore = r.now + backoff*(0.5+hashFraction(request.jitterSeed+uint64(len(request.attempts))))
}

// backOffFromShortage spreads the remaining attempts of a request over the time to its deadline. A
// shortage at the origin or at several sources persists if all rejected requests are retried at once.
func (r *Router) backOffFromShortage(request *request) {
	attemptsLeft := r.settings.MaxAttempts - request.countedAttempts() + 1
	r.backOff(request, (request.Deadline-r.now)/float64(2*max(attemptsLeft, 1)))
}

// keyedTimeout returns the timeout of a write with an idempotency key.
func (r *Router) keyedTimeout(request *request) Millis {
	timeout := min(request.class.KeyWindow*timeoutWindowFraction, (request.Deadline-r.now)*timeoutDeadlineFraction)
	return max(timeout, minTimeout)
}
