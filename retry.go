package indigospool

const (
	// Each request adds retryBudgetShare of a retry to the budget, which holds retryBudgetBurst at
	// most: in an outage retries add a quarter to the load and no more.
	retryBudgetShare = 0.25
	retryBudgetBurst = 30.0
	// retryReserve is the part of the budget that is kept for the classes of the highest worth.
	retryReserve = 5.0
	// defaultMaxAttempts stands in where the settings state none.
	defaultMaxAttempts = 4

	// rejectedBackoffStep is the backoff, for each attempt made, before a member that rejected the
	// request is asked again.
	rejectedBackoffStep = Millis(20)

	// After an attempt that could not be begun at this router the backoff doubles from
	// initialLocalBackoff to maxLocalBackoff: shortages of a moment pass in some milliseconds, and
	// in others a few attempts a second do.
	initialLocalBackoff = Millis(10)
	maxLocalBackoff     = Millis(160)
	// maxLocalFailures is how many such attempts one request may make.
	maxLocalFailures = 256

	// rejectionRetryAfter is the time after which a rejected client is advised to retry.
	rejectionRetryAfter = Millis(300)
	// timeoutWindowFraction and timeoutDeadlinePart bound the timeout of an attempt with an idempotency
	// key, so that time is left for a retry while the key is remembered.
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

// retryTokensNeeded is what the retry budget must hold for a retry of a request. The last of it
// is for the classes of the highest worth: in an overload the many others would spend it all.
func (r *Router) retryTokensNeeded(request *request) float64 {
	if request.class.PriorityWeight < r.highestPriorityWeight {
		return 1 + retryReserve
	}
	return 1
}

// deadlineReached reports whether no answer can be in time any more.
func (r *Router) deadlineReached(request *request) bool {
	return request.Deadline-r.now <= 2*r.settings.TimerResolution
}

// mustNotRunAgain reports whether a request may have run, and a retry could run it twice.
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

// keyRememberedUntil is how long the caches surely know the idempotency key of a request
// that may have run.
func (r *Router) keyRememberedUntil(request *request) Millis {
	return request.executedAt + request.class.KeyWindow - 2*r.settings.TimerResolution
}

// mayRunAt holds a request with an idempotency key that may have run to the group of
// caches that remember the key.
func (q *request) mayRunAt(member *member) bool {
	if q.executedBy == nil || q.class.Idempotency == Idempotent || member == q.executedBy {
		return true
	}
	sameZone := member.Zone == q.executedBy.Zone
	switch q.class.KeyScope {
	case ScopeAll:
		return true
	case ScopeZone:
		return sameZone
	case ScopeCell:
		return sameZone && member.Cell == q.executedBy.Cell
	}
	return false
}

// mayRetry reports whether the budget and the number of attempts allow a retry.
func (r *Router) mayRetry(request *request) bool {
	return r.retryTokens >= 1 && request.countedAttempts() < r.settings.MaxAttempts
}

// nextAttemptIsFree reports whether the next attempt takes nothing from the retry budget.
func (q *request) nextAttemptIsFree() bool {
	if len(q.attempts) == 0 {
		return true
	}
	last := &q.attempts[len(q.attempts)-1]
	return last.cacheMissed || last.localFailure
}

// countedAttempts is how many of the attempts that it may make a request has made. One
// that could not be begun at this router reached nobody and is not counted.
func (q *request) countedAttempts() int { return len(q.attempts) - q.localFailures }

// handleLocalFailure records an attempt that could not be begun at this router, for want of a
// descriptor, a port, a buffer or a route. It says nothing about members, takes no attempt and no
// budget, and would fail again at once: the next follows after a backoff and, after two at one
// member, elsewhere, since want of a route may concern that member alone.
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

// backOff holds a request back for a half to one and a half of a time, by chance: requests
// that failed together are not to come back together.
func (r *Router) backOff(request *request, backoff Millis) {
	request.notBefore = r.now + backoff*(0.5+hashFraction(request.jitterSeed+uint64(len(request.attempts))))
}

// backOffFromShortage spreads the attempts that a request has left over the time it has left.
// What is short behind all members that could be asked instead is still short when it is
// asked for again at once, by all.
func (r *Router) backOffFromShortage(request *request) {
	attemptsLeft := r.settings.MaxAttempts - request.countedAttempts() + 1
	r.backOff(request, (request.Deadline-r.now)/float64(2*max(attemptsLeft, 1)))
}

// keyedTimeout is the timeout of an attempt with an idempotency key: it leaves time for a
// retry while the key is remembered.
func (r *Router) keyedTimeout(request *request) Millis {
	timeout := min(request.class.KeyWindow*timeoutWindowFraction, (request.Deadline-r.now)*timeoutDeadlineFraction)
	return max(timeout, minTimeout)
}
