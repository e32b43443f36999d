package indigospool

import (
	"maps"
	"slices"
)

// This file says what a Router has learned, so that a successor can go on from it.
// It decides nothing: it copies what state.go holds, but for requests in hand, which
// stay their router's.

// Memory is what a Router has learned. Times are on its clock; members are named by
// id. A zero Memory is nothing.
type Memory struct {
	At      Millis
	Members []MemberMemory // in the order of ids
	Classes []ClassMemory  // in the order of names
	Objects [2][]ObjectMemory
	Turned  Millis
	Purges  map[string]Millis
	Groups  map[int]Millis
	Link    GateMemory
	Typical []Millis
	Retries float64
	Mean    Millis
	Pace    float64
	LastSec Millis
	Window  []float64
	Total   []float64
	Seen    int
	Opened  Millis
	Layout  LayoutMemory
	Prior   LayoutMemory
	Moved   Millis
}

// MemberMemory is what is known of a member.
type MemberMemory struct {
	Member
	Gate           GateMemory
	Gone, Suspect  bool
	Good, Gap      Millis
	Faults         float64
	Judged, Wins   int
	TrialAt        Millis
	Backoff        Millis
	Work           Millis
	Rate           float64
	Tokens, Topped Millis
}

// GateMemory is a gate, but for what is out.
type GateMemory struct {
	Room, Tardy float64
	Cut, Next   Millis
}

// ClassMemory is what is seen of a class.
type ClassMemory struct {
	Name       string
	Mean, Took Millis
}

// ObjectMemory is what is remembered of an object.
type ObjectMemory struct {
	Name         string
	First, Parts float64
}

// LayoutMemory is who holds which parts.
type LayoutMemory struct {
	Edges  []string
	Splits []int
	Ranged bool
}

// Recalled says what a predecessor had learned. It comes first, before any list; a
// Router that has begun already passes it over.
type Recalled struct{ Memory *Memory }

// Retired says that a successor has, or (not On) after all has not, taken over: a
// router that is retired spends no cold budget any more, since the successor does.
type Retired struct{ On bool }

func (Recalled) event() {}
func (Retired) event()  {}

func (g *concurrencyLimit) snapshot() GateMemory {
	return GateMemory{Room: g.limit, Tardy: g.slowShare, Cut: g.lowered, Next: g.nextFree}
}

func (g GateMemory) concurrencyLimit() concurrencyLimit {
	return concurrencyLimit{limit: g.Room, slowShare: g.Tardy, lowered: g.Cut, nextFree: g.Next}
}

func (l layout) snapshot() LayoutMemory {
	m := LayoutMemory{Splits: slices.Clone(l.splits), Ranged: l.ranged}
	for _, e := range l.caches {
		m.Edges = append(m.Edges, e.ID)
	}
	return m
}

// Memory is a copy of what the router has learned.
func (r *Router) Memory() *Memory {
	memory := &Memory{At: r.now, Turned: r.objectsRotated, Purges: maps.Clone(r.objectPurges), Groups: maps.Clone(r.groupPurges), Link: r.link.snapshot(),
		Typical: slices.Clone(r.typicalRate[:]), Retries: r.retryTokens, Mean: r.meanSendTime, Pace: r.fillStretch, LastSec: r.lastSecond, Window: slices.Clone(r.windowCost),
		Total: slices.Clone(r.totalCost), Seen: r.windowRequests, Opened: r.windowOpened, Layout: r.layout.snapshot(), Prior: r.priorLayout.snapshot(), Moved: r.layoutChanged}
	for _, id := range slices.Sorted(maps.Keys(r.members)) {
		known := r.members[id]
		memory.Members = append(memory.Members, MemberMemory{Member: known.Member, Gate: known.concurrencyLimit.snapshot(), Gone: known.unavailable, Suspect: known.ejected, Good: known.lastProgress,
			Gap: known.progressGap, Faults: known.faultShare, Judged: known.outcomes, Wins: known.goodChecks, TrialAt: known.nextCheck, Backoff: known.checkBackoff, Work: known.servedTime, Rate: known.servedRate,
			Tokens: known.tokens, Topped: known.refilled})
	}
	for _, name := range slices.Sorted(maps.Keys(r.classes)) {
		c := r.classes[name]
		memory.Classes = append(memory.Classes, ClassMemory{Name: name, Mean: c.meanSendTime, Took: c.hitTime})
	}
	for i, objects := range r.objectDepths {
		for _, name := range slices.Sorted(maps.Keys(objects)) {
			o := objects[name]
			memory.Objects[i] = append(memory.Objects[i], ObjectMemory{Name: name, First: o.firstParts, Parts: o.parts})
		}
	}
	return memory
}

// restore goes on from a predecessor's memory. Members that are listed no more go with
// the first list; classes that are no more are passed over.
func (r *Router) restore(memory *Memory) {
	if memory == nil || len(r.members) > 0 || len(r.arrivals) > 0 {
		return
	}
	for _, known := range memory.Members {
		r.addMember(known.ID, &member{Member: known.Member, concurrencyLimit: known.Gate.concurrencyLimit(), role: r.roleOf(known.Member), hash: hashString(known.ID), unavailable: known.Gone,
			ejected: known.Suspect, lastProgress: known.Good, progressGap: known.Gap, faultShare: known.Faults, outcomes: known.Judged, goodChecks: known.Wins, nextCheck: known.TrialAt,
			checkBackoff: known.Backoff, servedTime: known.Work, servedRate: known.Rate, tokens: known.Tokens, refilled: known.Topped})
	}
	for _, c := range memory.Classes {
		if known := r.classes[c.Name]; known != nil {
			known.meanSendTime, known.hitTime = c.Mean, c.Took
		}
	}
	for i, list := range memory.Objects {
		for _, o := range list {
			r.objectDepths[i][o.Name] = &objectDepth{firstParts: o.First, parts: o.Parts}
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
	r.objectsRotated, r.link, r.retryTokens, r.meanSendTime, r.fillStretch, r.lastSecond = memory.Turned, memory.Link.concurrencyLimit(), memory.Retries, memory.Mean, memory.Pace, memory.LastSec
	r.windowCost, r.totalCost, r.windowRequests, r.windowOpened = slices.Clone(memory.Window), slices.Clone(memory.Total), memory.Seen, memory.Opened
	r.layout, r.priorLayout, r.layoutChanged = r.layoutOf(memory.Layout), r.layoutOf(memory.Prior), memory.Moved
}

// layoutOf is a layout whose members are known; one with a member that is not has
// none.
func (r *Router) layoutOf(m LayoutMemory) layout {
	l := layout{splits: slices.Clone(m.Splits), ranged: m.Ranged}
	for _, id := range m.Edges {
		k := r.members[id]
		if k == nil || len(m.Splits) >= max(len(m.Edges), 1) {
			return layout{}
		}
		l.caches = append(l.caches, k)
	}
	return l
}
