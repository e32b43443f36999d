package indigospool

import (
	"maps"
	"slices"
)

// The learned-state snapshot: what a router has learned, so that its successor can go on
// from it after a hot restart. Requests in hand stay with their router. The names of the
// types and fields here are the stored form; the comments beside them give the terms that
// the other files use.

// Memory is what a Router has learned. Times are on its clock; members are named by
// id. A zero Memory is nothing.
type Memory struct {
	At      Millis            // when it was taken
	Members []MemberMemory    // in the order of ids
	Classes []ClassMemory     // in the order of names
	Objects [2][]ObjectMemory // object depths: the present and the past generation
	Turned  Millis            // when the present generation began
	Purges  map[string]Millis // time of the last purge, by object
	Groups  map[int]Millis    // and by group
	Link    GateMemory        // the concurrency limit of the link
	Typical []Millis          // typical rates, by role
	Retries float64           // retries that the budget allows
	Mean    Millis            // mean sending time
	Pace    float64           // fill stretch
	LastSec Millis            // when housekeeping was last done
	Window  []float64         // cost by part index in the open window
	Total   []float64         // and the discounted sum
	Seen    int               // part requests in the open window
	Opened  Millis            // when that was opened
	Layout  LayoutMemory      // the present layout
	Prior   LayoutMemory      // the one before the last change
	Moved   Millis            // when that was
}

// MemberMemory is what is known of a member.
type MemberMemory struct {
	Member
	Gate           GateMemory // its concurrency limit
	Gone, Suspect  bool       // unavailable; ejected
	Good, Gap      Millis     // last progress; usual gap between two signs of it
	Faults         float64    // share of faults
	Judged, Wins   int        // outcomes; good health checks in a row
	TrialAt        Millis     // when the next health check may be sent
	Backoff        Millis     // backoff of health checks
	Work           Millis     // sending time given to it since rates were measured
	Rate           float64    // recent sending time per millisecond
	Tokens, Topped Millis     // slow-start tokens; when some were last added
}

// GateMemory is a concurrency limit, but for what is in flight.
type GateMemory struct {
	Room, Tardy float64 // the limit; the share of slow transfers
	Cut, Next   Millis  // when the limit was last lowered; when the next transfer may start
}

// ClassMemory is what is known of a class.
type ClassMemory struct {
	Name       string
	Mean, Took Millis // mean sending time; time of answers from cached copies
}

// ObjectMemory is how deep clients go into an object.
type ObjectMemory struct {
	Name         string
	First, Parts float64 // requests for its first part; for any part
}

// LayoutMemory is a layout of part ranges.
type LayoutMemory struct {
	Edges  []string // ids of the caches
	Splits []int    // the first index past each range but the last
	Ranged bool     // whether there are ranges
}

// Recalled is the event that restores what a predecessor had learned. It comes first, before
// any endpoint list; a Router that has begun already ignores it.
type Recalled struct{ Memory *Memory }

// Retired says that a successor has taken over or, with On false, that after all none has. A
// router that is closing spends no slow-start budget any more, since its successor does.
type Retired struct{ On bool }

func (Recalled) event() {}
func (Retired) event()  {}

// Memory returns a copy of what the router has learned.
func (r *Router) Memory() *Memory {
	memory := &Memory{
		At:      r.now,
		Turned:  r.objectDepthsRotatedAt,
		Purges:  maps.Clone(r.objectPurges),
		Groups:  maps.Clone(r.groupPurges),
		Link:    r.link.snapshot(),
		Typical: slices.Clone(r.typicalRate[:]),
		Retries: r.retryTokens,
		Mean:    r.meanSendTime,
		Pace:    r.fillTimeRatio,
		LastSec: r.lastCleanup,
		Window:  slices.Clone(r.windowCost),
		Total:   slices.Clone(r.totalCost),
		Seen:    r.windowRequests,
		Opened:  r.windowOpenedAt,
		Layout:  r.layout.snapshot(),
		Prior:   r.priorLayout.snapshot(),
		Moved:   r.layoutChangedAt,
	}
	for _, id := range slices.Sorted(maps.Keys(r.members)) {
		memory.Members = append(memory.Members, r.members[id].snapshot())
	}
	for _, name := range slices.Sorted(maps.Keys(r.classes)) {
		class := r.classes[name]
		memory.Classes = append(memory.Classes, ClassMemory{Name: name, Mean: class.meanSendTime, Took: class.hitTime})
	}
	for generation, depths := range r.objectDepths {
		for _, name := range slices.Sorted(maps.Keys(depths)) {
			depth := depths[name]
			object := ObjectMemory{Name: name, First: depth.firstParts, Parts: depth.parts}
			memory.Objects[generation] = append(memory.Objects[generation], object)
		}
	}
	return memory
}

// restore goes on from what a predecessor had learned. Members that are not listed any more
// go with the first endpoint list; classes that are not declared any more are left out.
func (r *Router) restore(memory *Memory) {
	if memory == nil || len(r.members) > 0 || len(r.arrivals) > 0 {
		return
	}
	for _, stored := range memory.Members {
		r.addMember(stored.ID, r.restoreMember(stored))
	}
	for _, stored := range memory.Classes {
		if class := r.classes[stored.Name]; class != nil {
			class.meanSendTime, class.hitTime = stored.Mean, stored.Took
		}
	}
	for generation, objects := range memory.Objects {
		for _, stored := range objects {
			r.objectDepths[generation][stored.Name] = &objectDepth{firstParts: stored.First, parts: stored.Parts}
		}
	}
	r.groupByRole()
	if len(memory.Purges) > 0 {
		r.objectPurges = maps.Clone(memory.Purges)
	}
	if len(memory.Groups) > 0 {
		r.groupPurges = maps.Clone(memory.Groups)
	}
	copy(r.typicalRate[:], memory.Typical)
	r.objectDepthsRotatedAt = memory.Turned
	r.link = memory.Link.concurrencyLimit()
	r.retryTokens = memory.Retries
	r.meanSendTime = memory.Mean
	r.fillTimeRatio = memory.Pace
	r.lastCleanup = memory.LastSec
	r.windowCost = slices.Clone(memory.Window)
	r.totalCost = slices.Clone(memory.Total)
	r.windowRequests = memory.Seen
	r.windowOpenedAt = memory.Opened
	r.layout = r.restoreLayout(memory.Layout)
	r.priorLayout = r.restoreLayout(memory.Prior)
	r.layoutChangedAt = memory.Moved
}

// snapshot is the stored form of a member.
func (m *member) snapshot() MemberMemory {
	return MemberMemory{
		Member:  m.Member,
		Gate:    m.concurrencyLimit.snapshot(),
		Gone:    m.unavailable,
		Suspect: m.ejected,
		Good:    m.lastProgress,
		Gap:     m.progressGap,
		Faults:  m.faultShare,
		Judged:  m.outcomes,
		Wins:    m.goodChecks,
		TrialAt: m.nextCheck,
		Backoff: m.checkBackoff,
		Work:    m.servedTime,
		Rate:    m.servedRate,
		Tokens:  m.tokens,
		Topped:  m.refilled,
	}
}

// restoreMember is the member of a stored form.
func (r *Router) restoreMember(stored MemberMemory) *member {
	return &member{
		Member:           stored.Member,
		concurrencyLimit: stored.Gate.concurrencyLimit(),
		role:             r.roleOf(stored.Member),
		hash:             hashString(stored.ID),
		unavailable:      stored.Gone,
		ejected:          stored.Suspect,
		lastProgress:     stored.Good,
		progressGap:      stored.Gap,
		faultShare:       stored.Faults,
		outcomes:         stored.Judged,
		goodChecks:       stored.Wins,
		nextCheck:        stored.TrialAt,
		checkBackoff:     stored.Backoff,
		servedTime:       stored.Work,
		servedRate:       stored.Rate,
		tokens:           stored.Tokens,
		refilled:         stored.Topped,
	}
}

// snapshot is the stored form of a concurrency limit; what is in flight is not stored.
func (l *concurrencyLimit) snapshot() GateMemory {
	return GateMemory{Room: l.limit, Tardy: l.slowShare, Cut: l.loweredAt, Next: l.nextStart}
}

// concurrencyLimit is the limit of a stored form.
func (g GateMemory) concurrencyLimit() concurrencyLimit {
	return concurrencyLimit{limit: g.Room, slowShare: g.Tardy, loweredAt: g.Cut, nextStart: g.Next}
}

// snapshot is the stored form of a layout.
func (l layout) snapshot() LayoutMemory {
	stored := LayoutMemory{Splits: slices.Clone(l.splits), Ranged: l.ranged}
	for _, member := range l.caches {
		stored.Edges = append(stored.Edges, member.ID)
	}
	return stored
}

// restoreLayout is the layout of a stored form; an empty one where a member of it is not
// known, or the form is malformed.
func (r *Router) restoreLayout(stored LayoutMemory) layout {
	restored := layout{splits: slices.Clone(stored.Splits), ranged: stored.Ranged}
	for _, id := range stored.Edges {
		member := r.members[id]
		if member == nil || len(stored.Splits) >= max(len(stored.Edges), 1) {
			return layout{}
		}
		restored.caches = append(restored.caches, member)
	}
	return restored
}
