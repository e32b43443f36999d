package indigospool

import "maps"

const (
	// anyCopyAge, 11.6 days, is the maximum age that accepts all copies. An age of 0 would mean the
	// cache's own default.
	anyCopyAge = Millis(1e9)
	// minCopyAge is the lowest maximum age. It is above 0 because 0 would mean the cache's default.
	minCopyAge = Millis(0.05)
)

// maxCopyAge returns the maximum age of a copy for a request: the class's Fresh, plus its Grace if a
// stale copy is acceptable, or no limit if Fresh is 0. For PurgeTime plus PurgeSlack after a purge, until
// all caches must have applied it, a copy must also be at least 1 ms younger than the purge.
func (r *Router) maxCopyAge(request *request) Millis {
	maxAge := anyCopyAge
	if request.class.Fresh > 0 {
		maxAge = request.class.Fresh
		if request.staleAllowed {
			maxAge += request.class.Grace
		}
	}
	purgedAt, purged := r.lastPurge(request)
	if purged && r.now < purgedAt+r.settings.PurgeTime+r.settings.PurgeSlack {
		maxAge = min(maxAge, r.now-purgedAt-1)
	}
	return max(maxAge, minCopyAge)
}

// lastPurge returns the time of the last purge of the request's object or of its group. purged is false
// if there is none.
func (r *Router) lastPurge(request *request) (at Millis, purged bool) {
	at, purged = r.objectPurges[request.Object]
	groupAt, groupPurged := r.groupPurges[request.Group]
	if groupPurged && (!purged || groupAt > at) {
		return groupAt, true
	}
	return at, purged
}

// recordPurge records a purge of an object or, if Object is empty, of a group.
func (r *Router) recordPurge(purge Purge) {
	at := r.now - purge.Age
	if purge.Object != "" {
		r.objectPurges[purge.Object] = max(r.objectPurges[purge.Object], at)
		return
	}
	r.groupPurges[purge.Group] = max(r.groupPurges[purge.Group], at)
}

// dropOldPurges removes the purges that are older than PurgeTime plus PurgeSlack, which all caches must
// have applied.
func (r *Router) dropOldPurges() {
	cutoff := r.now - r.settings.PurgeTime - r.settings.PurgeSlack
	maps.DeleteFunc(r.objectPurges, func(_ string, at Millis) bool { return at < cutoff })
	maps.DeleteFunc(r.groupPurges, func(_ int, at Millis) bool { return at < cutoff })
}
