package indigospool

import (
	"cmp"
	"slices"
)

// role is what a member does for this router.
type role int

const (
	edge      role = iota // a cache of the router's location
	parent                // a cache that caches fill from
	origin                // where all objects come from
	otherZone             // a cache of another location: nothing is sent to it
	roleCount             // how many there are
)

// member is a listed cache, parent or origin and what is known of it.
type member struct {
	Member
	concurrencyLimit // of its transfers with this router
	role             role
	hash             uint64 // of its id
	unavailable      bool   // draining, removed or no longer listed
	pendingTime      Millis // expected time of the attempts in flight

	// Outlier detection.
	lastProgress Millis  // the last sign that it makes progress
	progressGap  Millis  // the usual time between two
	faultShare   float64 // recent share of faults, 0 to 1
	outcomes     int     // outcomes that say something about it, since its start or return
	ejected      bool
	silent       bool   // ejected for its silence alone
	checking     bool   // its health check is out
	nextCheck    Millis // no health check is sent before
	checkBackoff Millis
	goodChecks   int // good health checks in a row

	// Overdue attempts at the last tick.
	overdue         int
	overdueSince    Millis // when the first of them was sent
	overdueExpected Millis // the longest time that one of them was expected to take

	// Slow start.
	servedTime Millis  // sending time given to it since rates were measured
	servedRate float64 // recent sending time per millisecond
	tokens     Millis  // sending time that it may be given while it warms up; below 0: overdrawn
	refilled   Millis  // when tokens were last added
}

// updateEndpoints follows the endpoint list. Draining and removal act at once, for sources as
// well.
func (r *Router) updateEndpoints(event Members) {
	if event.Lost {
		r.subscribed = false // subscribed again before long, not at once: discovery may be overloaded
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

// updateMember takes in a row of the endpoint list. A new start makes a member one that is
// empty, warms up and has no record of faults.
func (r *Router) updateMember(row Member) {
	known := r.members[row.ID]
	switch {
	case known == nil:
		known = r.newMember(row.ID)
		r.addMember(row.ID, known)
	case row.State == Serving && row.ReadyAt != known.ReadyAt:
		*known = *r.newMember(row.ID) // in place: outstanding attempts point to it
	}
	known.Member, known.hash, known.role = row, hashString(row.ID), r.roleOf(row)
	known.unavailable = row.State != Serving
}

// newMember is a member of which nothing is known. Its token bucket is neither full nor in
// step with those of other routers.
func (r *Router) newMember(id string) *member {
	return &member{
		concurrencyLimit: concurrencyLimit{limit: initialLimit},
		lastProgress:     r.now,
		checkBackoff:     initialCheckBackoff,
		tokens:           -r.meanSendTime * hashFraction(r.seed^hashString(id)),
		refilled:         r.now,
	}
}

// dropIfRemoved drops a member that has been removed and has nothing in flight; ids of
// removed members are not used again.
func (r *Router) dropIfRemoved(member *member) bool {
	removed := member.unavailable && member.State != Draining && member.inFlight <= 0
	if removed {
		delete(r.members, member.ID)
	}
	return removed
}

// subscribe subscribes to the endpoint list where discovery does not notify by itself.
func (r *Router) subscribe() {
	if r.settings.WatchRequired && !r.subscribed {
		r.subscribed = true
		r.emit(Watch{})
	}
}

// roleOf is the role of a row of the endpoint list.
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

// addMember adds a member that was not known.
func (r *Router) addMember(id string, added *member) {
	added.ID = id
	r.members[id] = added
	at, _ := slices.BinarySearchFunc(r.listed, id, func(known *member, id string) int {
		return cmp.Compare(known.ID, id)
	})
	r.listed = slices.Insert(r.listed, at, added)
}

// groupByRole groups the available members by their role. Layouts keep the lists that they
// were made of, so these are made anew.
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
