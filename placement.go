package indigospool

const (
	movedSpan   = Millis(20000) // for so long after a move the cache before may still hold copies
	looksNeed   = 3             // attempts that must be left to spend one on a look
	boundFactor = 1.25          // a cache that holds more than this times its peers' mean, and a little,
	boundSlack  = 1.0           // of mean sending times, passes requests to the next in order
)

// choose names the cache and the source of the next attempt; the source is the
// cache itself where it is only asked for what it holds.
func (r *Router) choose(q *request) (at, src *member) {
	if q.writes() {
		return r.chooseWrite(q)
	}
	if q.seat == nil || q.seat.gone || q.seat.suspect || r.warmth(q.seat) < 1 { // cold: no place is held
		q.seat = nil
		m := r.pickEdge(q)
		if m != nil && r.warmth(m) >= 1 && r.s.MaxAttempts-q.made() >= looksNeed {
			return m, m
		}
		q.seat = m
	}
	if old := r.prior.owner(q); q.seat != nil && !q.sibling && old != nil && old != q.seat &&
		r.s.Siblings != Nowhere && r.now-r.moved < movedSpan && !old.gone && !old.suspect &&
		r.warmth(old) >= 1 && r.s.MaxAttempts-q.made() >= looksNeed {
		q.sibling = true // a range moved: fill past the thin link, from the cache before
		return q.seat, old
	}
	if !r.link.free(r.now) {
		r.saw(q, nil, true, 0, LinkFull)
		if q.seat != nil && !q.stale && q.class.Grace > 0 && r.s.MaxAttempts-q.made() >= looksNeed {
			q.stale = true // better an old copy now than a full link
			return q.seat, q.seat
		}
		return nil, nil
	}
	src = r.source(q)
	switch {
	case src == nil && q.seat != nil && q.made() == 0:
		return q.seat, q.seat
	case src == nil:
		return nil, nil
	case q.seat != nil:
		return q.seat, src
	case !r.s.Direct || !q.allows(src):
		return nil, nil
	}
	if o := r.firstUp(origin, q); o != nil && src.role == parent {
		return src, o
	}
	return src, src
}

// pickEdge names the edge cache: the one of the ordinary path, or, where that
// is out, cold or overfull, the next by a hash of the object.
func (r *Router) pickEdge(q *request) *member {
	own, limit := r.layout.owner(q), r.bound()
	takes := func(m *member, pass int) bool {
		return r.saw(q, m, false, pass, r.unfit(m, q, pass, limit)) == Taken
	}
	var others *ranking
	for pass := range 4 { // first without those that failed it, first within bounds
		if own != nil && takes(own, pass) {
			return own
		}
		if others == nil {
			others = ranked(r.byRole[edge], q.hash)
		}
		for m := range others.members {
			if takes(m, pass) {
				return m
			}
		}
	}
	return nil
}

// unfit says why an edge cache is not taken in a pass.
func (r *Router) unfit(m *member, q *request, pass int, limit float64) Reason {
	switch {
	case pass&1 == 0 && m.out/r.size(m) > limit:
		return OverBound
	case q.failed(m) && (pass <= 1 || r.now < q.rest):
		return LetDown
	case !q.failed(m) && pass > 1:
		return Passed
	case !q.allows(m):
		return NotGroup
	}
	return r.bars(m, q)
}

// size is a member's capacity as far as it is told.
func (r *Router) size(m *member) float64 {
	if r.s.SizesCompare && m.Size > 0 {
		return m.Size
	}
	return 1
}

// bound is the load past which a cache passes requests on: the mean of the
// caches in service, and some room.
func (r *Router) bound() float64 {
	sum, size, n := 0.0, 0.0, 0.0
	for _, m := range r.byRole[edge] {
		if !m.suspect {
			sum, size, n = sum+m.out, size+r.size(m), n+1
		}
	}
	if n == 0 {
		return 0
	}
	return (boundFactor*sum + boundSlack*n*r.mean) / size
}

func (r *Router) chooseWrite(q *request) (at, src *member) {
	o := r.firstUp(origin, q)
	if o == nil {
		r.saw(q, nil, true, 0, NoMember)
		return nil, nil
	}
	if r.s.Direct && q.allows(o) && (!q.failed(o) || q.ran != nil) {
		return o, o
	}
	if m := r.pickEdge(q); m != nil {
		return m, o
	}
	return nil, nil
}

func (r *Router) firstUp(k role, q *request) *member { return best(r.byRole[k], q.hash) }

// bars says why a member may not be given the request now. Taken: it is up, not
// a suspect (or due for its one trial), within its share, and within its budget
// while cold.
func (r *Router) bars(m *member, q *request) Reason {
	switch {
	case m.gone:
		return Out
	case m.suspect && (m.trial || r.now < m.trialAt || q.made() > 0):
		return Suspect
	case m.role == edge && m.held >= max(m.room, leastRoom):
		return GateFull
	case r.warmth(m) >= 1:
		return Taken
	}
	if r.top(m); m.tokens > 0 {
		return Taken
	}
	// The share of one of many routers is less than a request. So of what comes and has its place there
	// each may go beyond its budget by one, with a chance such that all bring half of the ordinary load
	// that it can bear by then. What waits is as much as has gathered, and may not.
	lent := !q.waited && m.tokens > -r.cost(m, q) && !r.retired && r.ordinary(m, q)
	if !lent || chance(q.draw+m.hash) >= coldLent*r.warmth(m) {
		return ColdSpent
	}
	return Taken
}
