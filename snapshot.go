package indigospool

import (
	"maps"
	"slices"
)

// The learned-state snapshot holds what a router has learned, so that its successor can start from it
// after a hot restart. Requests are not part of it: they stay with their router. The CBOR names of the
// fields are stored on disk and must not change.

// Memory is the learned state of a Router. Times are on the router's clock.
type Memory struct {
	At      Millis            `cbor:"At"`      // time of the snapshot
	Members []MemberMemory    `cbor:"Members"` // in the order of ids
	Classes []ClassMemory     `cbor:"Classes"` // in the order of names
	Objects [2][]ObjectMemory `cbor:"Objects"` // depths of objects: the current and the previous generation
	Turned  Millis            `cbor:"Turned"`  // start of the current generation
	Purges  map[string]Millis `cbor:"Purges"`  // time of the last purge, by object
	Groups  map[int]Millis    `cbor:"Groups"`  // time of the last purge, by group
	Link    GateMemory        `cbor:"Link"`    // concurrency limit of the link
	Typical []Millis          `cbor:"Typical"` // mean load of a warm member, by role
	Retries float64           `cbor:"Retries"` // retries left in the retry budget
	Mean    Millis            `cbor:"Mean"`    // mean send time
	Pace    float64           `cbor:"Pace"`    // duration of fills as a multiple of their send time
	LastSec Millis            `cbor:"LastSec"` // time of the last periodic cleanup
	Window  []float64         `cbor:"Window"`  // cost by part index in the open window
	Total   []float64         `cbor:"Total"`   // discounted sum of the closed windows
	Seen    int               `cbor:"Seen"`    // part requests in the open window
	Opened  Millis            `cbor:"Opened"`  // start of the open window
	Layout  LayoutMemory      `cbor:"Layout"`  // the current layout
	Prior   LayoutMemory      `cbor:"Prior"`   // the layout before the last change
	Moved   Millis            `cbor:"Moved"`   // time of the last change of the layout
}

// MemberMemory is the learned state of a member.
type MemberMemory struct {
	Member
	Gate    GateMemory `cbor:"Gate"`    // concurrency limit
	Gone    bool       `cbor:"Gone"`    // draining, removed or no longer listed
	Suspect bool       `cbor:"Suspect"` // ejected
	Good    Millis     `cbor:"Good"`    // time of the last sign of progress
	Gap     Millis     `cbor:"Gap"`     // average time between two signs of progress
	Faults  float64    `cbor:"Faults"`  // share of faults, 0 to 1
	Judged  int        `cbor:"Judged"`  // number of outcomes since its start or last return
	Wins    int        `cbor:"Wins"`    // successful health checks in a row
	TrialAt Millis     `cbor:"TrialAt"` // time of the earliest next health check
	Backoff Millis     `cbor:"Backoff"` // backoff of health checks
	Work    Millis     `cbor:"Work"`    // send time of its answers since the last measurement of rates
	Rate    float64    `cbor:"Rate"`    // average of its send time per millisecond
	Tokens  Millis     `cbor:"Tokens"`  // slow-start tokens
	Topped  Millis     `cbor:"Topped"`  // time of the last refill of the tokens
}

// GateMemory is the learned state of a concurrency limit, without the transfers in flight.
type GateMemory struct {
	Room  float64 `cbor:"Room"`  // the limit
	Tardy float64 `cbor:"Tardy"` // share of slow transfers, 0 to 1
	Cut   Millis  `cbor:"Cut"`   // when the limit was last lowered
	Next  Millis  `cbor:"Next"`  // while the limit is below 1: the earliest start of the next transfer
}

// ClassMemory is the learned state of a class.
type ClassMemory struct {
	Name string `cbor:"Name"`
	Mean Millis `cbor:"Mean"` // mean send time
	Took Millis `cbor:"Took"` // mean duration of hits
}

// ObjectMemory is the depth of an object.
type ObjectMemory struct {
	Name  string  `cbor:"Name"`
	First float64 `cbor:"First"` // number of requests for the first part
	Parts float64 `cbor:"Parts"` // number of requests for any part
}

// LayoutMemory is a layout of part ranges.
type LayoutMemory struct {
	Edges  []string `cbor:"Edges"`  // ids of the caches
	Splits []int    `cbor:"Splits"` // upper ends of the ranges of all caches but the last
	Ranged bool     `cbor:"Ranged"` // whether parts are placed by ranges
}

// Recalled restores the learned state of a predecessor. It must come before the first endpoint list; a
// Router that already has members or requests ignores it.
type Recalled struct{ Memory *Memory }

// Retired reports that a successor has taken over (On), or that the successor did not start after all
// (not On). A router with a successor uses no slow-start tokens, since the successor uses them.
type Retired struct{ On bool }

func (Recalled) event() {}
func (Retired) event()  {}

// Memory returns a snapshot of the learned state.
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

// restore restores the learned state of a predecessor. Members that are no longer listed are removed
// with the first endpoint list. Classes that are not in the settings are ignored.
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

// snapshot returns the stored form of a member.
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

// restoreMember returns the member of a stored form.
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

// snapshot returns the stored form of a concurrency limit.
func (l *concurrencyLimit) snapshot() GateMemory {
	return GateMemory{Room: l.limit, Tardy: l.slowShare, Cut: l.loweredAt, Next: l.nextStart}
}

// concurrencyLimit returns the concurrency limit of a stored form.
func (g GateMemory) concurrencyLimit() concurrencyLimit {
	return concurrencyLimit{limit: g.Room, slowShare: g.Tardy, loweredAt: g.Cut, nextStart: g.Next}
}

// snapshot returns the stored form of a layout.
func (l layout) snapshot() LayoutMemory {
	stored := LayoutMemory{Splits: slices.Clone(l.splits), Ranged: l.ranged}
	for _, member := range l.caches {
		stored.Edges = append(stored.Edges, member.ID)
	}
	return stored
}

// restoreLayout returns the layout of a stored form. The layout is empty if one of its members is not
// known, or if the stored form is malformed.
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
