package indigospool

import "maps"

const (
	// anyCopyAge means that a copy of any age will do; 0 would mean the cache's default.
	anyCopyAge = Millis(1e9)
	// minCopyAge is the least age that is asked for, above 0 for the same reason.
	minCopyAge = Millis(0.05)
)

// maxCopyAge is the age of the oldest copy that will do. While a purge is under
// way it is less than the time since the purge; else it is the fresh time of the
// class, with its grace where a fill would have to wait. It is never 0, which
// would mean the cache's default.
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

// lastPurge is the time of the last purge of the request's object or of its group.
func (r *Router) lastPurge(request *request) (at Millis, purged bool) {
	at, purged = r.objectPurges[request.Object]
	groupAt, groupPurged := r.groupPurges[request.Group]
	if groupPurged && (!purged || groupAt > at) {
		return groupAt, true
	}
	return at, purged
}

// recordPurge remembers a purge of an object or, with no object, of a group.
func (r *Router) recordPurge(purge Purge) {
	at := r.now - purge.Age
	if purge.Object != "" {
		r.objectPurges[purge.Object] = max(r.objectPurges[purge.Object], at)
		return
	}
	r.groupPurges[purge.Group] = max(r.groupPurges[purge.Group], at)
}

// dropOldPurges drops the purges after which every cache has dropped older copies.
func (r *Router) dropOldPurges() {
	cutoff := r.now - r.settings.PurgeTime - r.settings.PurgeSlack
	maps.DeleteFunc(r.objectPurges, func(_ string, at Millis) bool { return at < cutoff })
	maps.DeleteFunc(r.groupPurges, func(_ int, at Millis) bool { return at < cutoff })
}
