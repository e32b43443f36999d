package indigospool

import (
	"cmp"
	"slices"
)

// role is the role of a member for this router.
type role int

const (
	edge      role = iota // a cache in the router's zone
	parent                // a cache that other caches fill from
	origin                // the origin of all objects
	otherZone             // a cache in another zone, which this router does not use
	roleCount
)

// member is an entry of the endpoint list with its learned state.
type member struct {
	Member
	concurrencyLimit // for this router's attempts at the member
	role             role
	hash             uint64 // hash of the id
	unavailable      bool   // draining, removed or no longer listed
	pendingTime      Millis // sum of the expected durations of the attempts in flight

	// Outlier detection.
	lastProgress Millis  // time of the last sign of progress: a success, or a miss when it was the target
	progressGap  Millis  // moving average of the time between two signs of progress
	faultShare   float64 // moving share of faults, 0 to 1
	outcomes     int     // number of outcomes recorded since its start or last return
	ejected      bool
	silent       bool   // ejected only because it was silent
	checking     bool   // a health check is in flight
	nextCheck    Millis // time of the earliest next health check
	checkBackoff Millis
	goodChecks   int // successful health checks in a row

	// Overdue attempts at the last tick.
	overdue         int    // number of them
	overdueSince    Millis // when the first of them was sent
	overdueExpected Millis // longest expected duration of any of them

	// Slow start.
	servedTime Millis  // send time of its answers since the last measurement of rates
	servedRate float64 // moving average of its send time per millisecond
	tokens     Millis  // send time in its token bucket while it warms up; negative if overdrawn
	refilled   Millis  // time of the last refill
}

// updateEndpoints applies an update of the endpoint list. Draining and removal take effect
// immediately, also for members that are used as sources.
func (r *Router) updateEndpoints(event Members) {
	if event.Lost {
		r.subscribed = false // the next cleanup renews the subscription: discovery may be overloaded now
		return
	}
	r.subscribe()
	listed := map[string]bool{}
	for _, row := range event.Rows {
		listed[row.ID] = true
		r.updateMember(row)
	}
	r.listed = slices.DeleteFunc(r.listed, func(member *member) bool {
		if event.Full && !listed[member.ID] {
			member.unavailable = true
		}
		return r.dropIfRemoved(member)
	})
	r.groupByRole()
}

// updateMember adds or updates a member. A member that has been restarted loses its learned state and
// warms up again.
func (r *Router) updateMember(row Member) {
	known := r.members[row.ID]
	switch {
	case known == nil:
		known = r.newMember(row.ID)
		r.addMember(row.ID, known)
	case row.State == Serving && row.ReadyAt != known.ReadyAt:
		*known = *r.newMember(row.ID) // replaced in place, since outstanding attempts point to it
	}
	known.Member, known.hash, known.role = row, hashString(row.ID), r.roleOf(row)
	known.unavailable = row.State != Serving
}

// newMember returns a member without learned state. Its token bucket starts at a negative value that
// differs between routers, so that they don't all send to the member at the same time.
func (r *Router) newMember(id string) *member {
	return &member{
		concurrencyLimit: concurrencyLimit{limit: initialLimit},
		lastProgress:     r.now,
		checkBackoff:     initialCheckBackoff,
		tokens:           -r.meanSendTime * hashFraction(r.seed^hashString(id)),
		refilled:         r.now,
	}
}

// dropIfRemoved forgets a member that has been removed and has no attempts in flight, and
// reports whether it did. The ids of removed members are not reused.
func (r *Router) dropIfRemoved(member *member) bool {
	removed := member.unavailable && member.State != Draining && member.inFlight <= 0
	if removed {
		delete(r.members, member.ID)
	}
	return removed
}

// subscribe subscribes to the endpoint list if discovery requires it and there is no subscription.
func (r *Router) subscribe() {
	if r.settings.WatchRequired && !r.subscribed {
		r.subscribed = true
		r.emit(Watch{})
	}
}

// roleOf returns the role of an entry of the endpoint list.
func (r *Router) roleOf(row Member) role {
	switch {
	case row.Kind == r.settings.OriginKind && row.Kind != "":
		return origin
	case row.Kind == r.settings.ParentKind && row.Kind != "":
		return parent
	case row.Zone == r.settings.Zone:
		return edge
	}
	return otherZone
}

// addMember adds a new member.
func (r *Router) addMember(id string, added *member) {
	added.ID = id
	r.members[id] = added
	at, _ := slices.BinarySearchFunc(r.listed, id, func(known *member, id string) int {
		return cmp.Compare(known.ID, id)
	})
	r.listed = slices.Insert(r.listed, at, added)
}

// groupByRole groups the available members by role. It allocates new lists, since layouts refer to the
// previous ones.
func (r *Router) groupByRole() {
	for role, list := range r.byRole {
		r.byRole[role] = make([]*member, 0, len(list)+1)
	}
	for _, member := range r.listed {
		if !member.unavailable {
			r.byRole[member.role] = append(r.byRole[member.role], member)
		}
	}
	r.updateLayout()
}
