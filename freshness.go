package indigospool

const (
	anyCopyAge = Millis(1e9) // "any age": 0 would mean the default
	minCopyAge = Millis(0.05)
)

// maxCopyAge is the oldest copy that will do: under the time since a purge until all
// caches have dropped older copies; else the fresh time, with the grace where
// a fill would have to wait. It is never 0, which would mean the default.
func (r *Router) maxCopyAge(request *request) Millis {
	maxAge := anyCopyAge
	if request.class.Fresh > 0 {
		maxAge = request.class.Fresh
		if request.staleAllowed {
			maxAge += request.class.Grace
		}
	}
	purgedAt, known := r.objectPurges[request.Object]
	if groupPurge, purged := r.groupPurges[request.Group]; purged && (!known || groupPurge > purgedAt) {
		purgedAt, known = groupPurge, true
	}
	if known && r.now < purgedAt+r.settings.PurgeTakes+r.settings.PurgeSlack {
		maxAge = min(maxAge, r.now-purgedAt-1)
	}
	return max(maxAge, minCopyAge)
}
