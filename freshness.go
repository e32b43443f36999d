package indigospool

const (
	anyAge   = Millis(1e9) // "any age": 0 would mean the default
	leastAge = Millis(0.05)
)

// age is the oldest copy that will do: under the time since a purge until all
// caches have dropped older copies; else the fresh time, with the grace where
// a fill would have to wait. It is never 0, which would mean the default.
func (r *Router) age(q *request) Millis {
	age := anyAge
	if q.class.Fresh > 0 {
		age = q.class.Fresh
		if q.stale {
			age += q.class.Grace
		}
	}
	at, ok := r.purges[q.Object]
	if g, held := r.groups[q.Group]; held && (!ok || g > at) {
		at, ok = g, true
	}
	if ok && r.now < at+r.s.PurgeTakes+r.s.PurgeSlack {
		age = min(age, r.now-at-1)
	}
	return max(age, leastAge)
}
