package indigospool

// source names where a miss is filled from: the parents by a hash of the
// object, the origin where none is up.
func (r *Router) source(q *request) *member {
	parents := r.weighed(r.byRole[parent], q.hash)
	for pass, again := range []bool{false, true} {
		for p := range parents.members {
			if r.supplies(q, p, pass, again) {
				return p
			}
		}
		for _, o := range r.byRole[origin] {
			if r.supplies(q, o, pass, again) {
				return o
			}
		}
	}
	return nil
}

// supplies reports whether a member is taken as the source in a pass; again: in the one
// for those that failed the request before.
func (r *Router) supplies(q *request, p *member, pass int, again bool) bool {
	why := LetDown
	if q.failed(p) == again {
		why = r.bars(p, q)
	} else if again {
		why = Passed
	}
	if again && q.failed(p) && p.role == origin {
		why = Taken
	}
	return r.saw(q, p, true, pass, why) == Taken
}
