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
	gate
	role           role
	hash           uint64
	gone           bool    // draining, removed or no longer listed
	good, gap      Millis  // last sign that it makes progress, and the usual time between two
	faults         float64 // recent share of faults
	judged, wins   int
	suspect, trial bool // trial: its single trial is out
	trialAt        Millis
	backoff        Millis
	out            Millis // expected time of what it holds for us
	late           int    // overdue attempts at the last beat,
	asked, due     Millis // the first of them, and the longest that one was expected to take
	silent         bool   // a suspect for its silence alone
	work           Millis // sending time given to it since the last second
	rate           float64
	tokens, topped Millis // cold: sending time that may be given now
}

// list follows the list of members. Drains and removals act at once, for
// sources as well; a new start makes a member cold, empty and unjudged.
func (r *Router) list(ev Members) {
	if ev.Lost {
		r.asked = false // asked again before long, not at once: discovery may be overrun
		return
	}
	r.watch()
	named := map[string]bool{}
	for _, row := range ev.Rows {
		named[row.ID] = true
		m := r.members[row.ID]
		if m == nil || (row.State == Serving && row.ReadyAt != m.ReadyAt) {
			old := m
			m = &member{gate: gate{room: firstRoom}, good: r.now, backoff: firstTrial, topped: r.now}
			m.tokens = -r.mean * chance(r.seed^hashString(row.ID)) // neither full nor in step with others
			if old != nil {
				// outstanding attempts point to it: start anew in place
				*old, m = *m, old
			} else {
				r.enlist(row.ID, m)
			}
		}
		m.Member, m.hash, m.role = row, hashString(row.ID), r.roleOf(row)
		m.gone = row.State != Serving
	}
	r.listed = slices.DeleteFunc(r.listed, func(m *member) bool { // ids of those removed never come again
		m.gone = m.gone || ev.Full && !named[m.ID]
		over := m.gone && m.State != Draining && m.held <= 0
		if over {
			delete(r.members, m.ID)
		}
		return over
	})
	r.file()
}

// watch asks for the subscription where there is none.
func (r *Router) watch() {
	if r.s.OnRequest && !r.asked {
		r.asked = true
		r.do(Watch{})
	}
}

func (r *Router) roleOf(m Member) role {
	switch {
	case m.Kind == r.s.OriginKind && m.Kind != "":
		return origin
	case m.Kind == r.s.ParentKind && m.Kind != "":
		return parent
	case m.Zone == r.s.Zone:
		return edge
	}
	return foreign
}

// enlist takes in a member that was not known.
func (r *Router) enlist(id string, m *member) {
	m.ID = id
	r.members[id] = m
	at, _ := slices.BinarySearchFunc(r.listed, id, func(k *member, id string) int { return cmp.Compare(k.ID, id) })
	r.listed = slices.Insert(r.listed, at, m)
}

// file files members that are up by their role.
func (r *Router) file() {
	for k, list := range r.byRole { // made anew: layouts keep the lists that they were made of
		r.byRole[k] = make([]*member, 0, len(list)+1)
	}
	for _, m := range r.listed {
		if !m.gone {
			r.byRole[m.role] = append(r.byRole[m.role], m)
		}
	}
	r.refit()
}
