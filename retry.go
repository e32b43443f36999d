package indigospool

import (
	"slices"
)

const (
	restStep     = Millis(20) // one that turned a request away rests so long for each attempt
	retryShare   = 0.25
	retryBurst   = 30.0
	retryReserve = 5.0         // of it, for the classes of the most worth
	localFirst   = Millis(10)  // backoff after an attempt that could not be begun here: shortages of a
	localLast    = Millis(160) // moment pass in some ms, others are asked about some times a second
	localMost    = 256         // such attempts that one request may make
)

// spent reports whether a request may make no further attempt.
func (r *Router) spent(q *request) bool {
	late := q.ran != nil && (q.class.Effect == SingleShot ||
		q.class.Effect == Guarded && r.now >= q.ranAt+q.class.Window-2*r.s.Tick)
	return q.unfit || q.Deadline-r.now <= 2*r.s.Tick || q.made() >= r.s.MaxAttempts || q.locals >= localMost || late ||
		!q.freely() && r.retries < r.retryPrice(q)
}

// retryPrice is what the retry budget must hold for a further attempt of a request. What is left
// of it at last is for the classes that earn most: in an overload the many others would spend it all.
func (r *Router) retryPrice(q *request) float64 {
	if q.class.Worth < r.mostWorth {
		return 1 + retryReserve
	}
	return 1
}

// allows holds a guarded request that may have run to the group of caches that
// drops its repeats.
func (q *request) allows(m *member) bool {
	if q.ran == nil || q.class.Effect == Free {
		return true
	}
	near := m.Zone == q.ran.Zone
	return q.class.Group == Everywhere || m == q.ran || q.class.Group == Location && near ||
		q.class.Group == Cell && near && m.Cell == q.ran.Cell
}

// freely reports whether the next attempt costs nothing of the retries' budget.
func (q *request) freely() bool {
	if len(q.tries) == 0 {
		return true
	}
	last := &q.tries[len(q.tries)-1]
	return last.lacked || last.local
}

// made is how many attempts were made of those that a request may make: one that could not be
// begun here reached nobody.
func (q *request) made() int { return len(q.tries) - q.locals }

// failed reports whether the request was let down by the member before.
func (q *request) failed(m *member) bool {
	return slices.ContainsFunc(q.tries, func(a attempt) bool {
		return a.blamed == m || a.at == m && a.called && a.src.role != parent
	})
}

// settleLocal books an attempt that could not be begun here, for want of a descriptor, a port, a
// buffer or a route. It says nothing of members, spends no attempt and no budget, and would fail
// again at once: the next follows after a backoff, and after two at one member elsewhere, since
// want of a route may concern that one alone.
func (r *Router) settleLocal(q *request, a *attempt, last bool) {
	a.local = true
	a.at.held = max(a.at.held-1, 0)
	if a.fill {
		r.link.held--
	}
	a.at.trial, a.src.trial = false, false
	a.at.tokens += r.cost(a.at, q)
	if a.src != a.at && a.src.role != edge {
		a.src.tokens += r.cost(a.src, q)
	}
	if q.ran == a.at && q.ranAt == a.sent {
		q.ran = nil
	}
	if n := len(q.tries); n > 1 && q.tries[n-2].local && q.tries[n-2].at == a.at {
		a.blamed = a.at
	}
	wait := min(localFirst*float64(uint64(1)<<min(q.locals, 16)), localLast)
	q.hold = r.now + wait*(0.5+chance(q.draw+uint64(len(q.tries))))
	q.locals++
	if q.over = q.over || last; q.over {
		r.drop(q)
	} else if !q.busy() && !q.stream {
		r.advance(q)
	}
}

// rescue calls back attempts that wait on a silent or vanished member.
func (r *Router) rescue(q *request) {
	if !r.s.Cancels || q.class.Effect != Free || r.retries < 1 || q.made() >= r.s.MaxAttempts {
		return
	}
	for i := range q.tries {
		a := &q.tries[i]
		if a.called || !a.overdue(r.now) {
			continue
		}
		lost := func(m *member) bool { return (m.suspect || m.gone) && m.good <= a.sent }
		if lost(a.at) || a.src.role != edge && lost(a.src) && a.at.good > a.sent {
			a.called = true
			r.do(Cancel{ID: q.ID, Attempt: i})
		}
	}
}
