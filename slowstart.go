package indigospool

const (
	coldBurst   = 0.5  // of the fall time's budget may be spent at once
	coldSizeUse = 0.35 // load assumed of a stated capacity
	coldLent    = 0.5  // of the ordinary load may go to a cold member beyond budgets, times its warmth
)

// ordinary reports whether a member has a request on the ordinary path.
func (r *Router) ordinary(m *member, q *request) bool {
	if m.role == parent {
		return r.weighed(r.byRole[parent], q.hash).at(0) == m
	}
	return r.layout.owner(q) == m
}

// warmth is the part of its capacity that a member surely has.
func (r *Router) warmth(m *member) float64 {
	from, span := r.s.ColdFrom, r.s.ColdTime
	if m.role == parent {
		from, span = r.s.ParentColdFrom, r.s.ParentColdTime
	}
	if m.ReadyAt <= 0 || m.role == origin || span <= 0 || r.now-m.ReadyAt >= span {
		return 1
	}
	return from + (1-from)*max(r.now-m.ReadyAt, 0)/span
}

// cost is what a rule counts an attempt as: a cache, the mean sending time of
// the class; a parent, the own.
func (r *Router) cost(m *member, q *request) Millis {
	if m.role == parent {
		return q.work
	}
	return q.class.mean
}

// top refills a cold member's budget: this router's share of what it can bear,
// judged by what warm ones of the kind serve it, or by stated capacity.
func (r *Router) top(m *member) {
	base := r.typical[m.role]
	if r.s.SizesCompare {
		base = max(base, coldSizeUse*m.Size/r.s.sharers(m.role))
	}
	rate := base * r.warmth(m)
	if r.retired { // the budget is the successor's
		rate = 0
	}
	m.tokens = min(m.tokens+rate*(r.now-m.topped), rate*max(r.s.FallTime, 500)*coldBurst)
	m.topped = r.now
}
