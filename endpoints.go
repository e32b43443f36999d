package indigospool

import (
	"cmp"
	"slices"
)

type role int

const (
	edge role = iota
	parent
	origin
	foreign // a cache of another zone
	roles
)

// member is a listed cache, parent or origin and what is known of it.
type member struct {
	Member
	concurrencyLimit
	role                          role
	hash                          uint64
	unavailable                   bool    // draining, removed or no longer listed
	lastProgress, progressGap     Millis  // last sign that it makes progress, and the usual time between two
	faultShare                    float64 // recent share of faults
	outcomes, goodChecks          int
	ejected, checking             bool // trial: its single trial is out
	nextCheck                     Millis
	checkBackoff                  Millis
	pendingTime                   Millis // expected time of what it holds for us
	overdue                       int    // overdue attempts at the last beat,
	overdueSince, overdueExpected Millis // the first of them, and the longest that one was expected to take
	silent                        bool   // a suspect for its silence alone
	servedTime                    Millis // sending time given to it since the last second
	servedRate                    float64
	tokens, refilled              Millis // cold: sending time that may be given now
}

// updateEndpoints follows the list of members. Drains and removals act at once, for
// sources as well; a new start makes a member cold, empty and unjudged.
func (r *Router) updateEndpoints(event Members) {
	if event.Lost {
		r.subscribed = false // asked again before long, not at once: discovery may be overrun
		return
	}
	r.subscribe()
	named := map[string]bool{}
	for _, row := range event.Rows {
		named[row.ID] = true
		current := r.members[row.ID]
		if current == nil || (row.State == Serving && row.ReadyAt != current.ReadyAt) {
			previous := current
			current = &member{concurrencyLimit: concurrencyLimit{limit: initialLimit}, lastProgress: r.now, checkBackoff: initialCheckBackoff, refilled: r.now}
			current.tokens = -r.meanSendTime * chance(r.seed^hashString(row.ID)) // neither full nor in step with others
			if previous != nil {
				// outstanding attempts point to it: start anew in place
				*previous, current = *current, previous
			} else {
				r.addMember(row.ID, current)
			}
		}
		current.Member, current.hash, current.role = row, hashString(row.ID), r.roleOf(row)
		current.unavailable = row.State != Serving
	}
	r.listed = slices.DeleteFunc(r.listed, func(current *member) bool { // ids of those removed never come again
		current.unavailable = current.unavailable || event.Full && !named[current.ID]
		over := current.unavailable && current.State != Draining && current.inFlight <= 0
		if over {
			delete(r.members, current.ID)
		}
		return over
	})
	r.groupByRole()
}

// subscribe asks for the subscription where there is none.
func (r *Router) subscribe() {
	if r.settings.OnRequest && !r.subscribed {
		r.subscribed = true
		r.emit(Watch{})
	}
}

func (r *Router) roleOf(m Member) role {
	switch {
	case m.Kind == r.settings.OriginKind && m.Kind != "":
		return origin
	case m.Kind == r.settings.ParentKind && m.Kind != "":
		return parent
	case m.Zone == r.settings.Zone:
		return edge
	}
	return foreign
}

// addMember takes in a member that was not known.
func (r *Router) addMember(id string, added *member) {
	added.ID = id
	r.members[id] = added
	at, _ := slices.BinarySearchFunc(r.listed, id, func(known *member, id string) int { return cmp.Compare(known.ID, id) })
	r.listed = slices.Insert(r.listed, at, added)
}

// groupByRole files members that are up by their role.
func (r *Router) groupByRole() {
	for k, list := range r.byRole { // made anew: layouts keep the lists that they were made of
		r.byRole[k] = make([]*member, 0, len(list)+1)
	}
	for _, member := range r.listed {
		if !member.unavailable {
			r.byRole[member.role] = append(r.byRole[member.role], member)
		}
	}
	r.updateLayout()
}
