package indigospool

import (
	"maps"
	"slices"
)

// The learned-state snapshot holds what a router has learned, so that its successor can start from it
// after a hot restart. Requests are not part of it: they stay with their router. The CBOR names of the
// fields are stored on disk and must not change.

// Snapshot is the learned state of a Router. Times are on the router's clock.
type Snapshot struct {
	At                    Millis              `cbor:"At"`      // time of the snapshot
	Members               []MemberSnapshot    `cbor:"Members"` // in the order of ids
	Classes               []ClassSnapshot     `cbor:"Classes"` // in the order of names
	ObjectDepths          [2][]ObjectSnapshot `cbor:"Objects"` // depths of objects: the current and the previous generation
	ObjectDepthsRotatedAt Millis              `cbor:"Turned"`  // start of the current generation
	ObjectPurges          map[string]Millis   `cbor:"Purges"`  // time of the last purge, by object
	GroupPurges           map[int]Millis      `cbor:"Groups"`  // time of the last purge, by group
	Link                  LimitSnapshot       `cbor:"Link"`    // concurrency limit of the link
	TypicalRate           []Millis            `cbor:"Typical"` // mean load of a warm member, by role
	RetryTokens           float64             `cbor:"Retries"` // retries left in the retry budget
	MeanSendTime          Millis              `cbor:"Mean"`    // mean send time
	FillTimeRatio         float64             `cbor:"Pace"`    // duration of fills as a multiple of their send time
	LastCleanup           Millis              `cbor:"LastSec"` // time of the last periodic cleanup
	WindowCost            []float64           `cbor:"Window"`  // cost by part index in the open window
	CostHistogram         []float64           `cbor:"Total"`   // cost by part index in the closed windows, with older ones discounted
	WindowRequests        int                 `cbor:"Seen"`    // part requests in the open window
	WindowOpenedAt        Millis              `cbor:"Opened"`  // start of the open window
	Layout                LayoutSnapshot      `cbor:"Layout"`  // the current layout
	PriorLayout           LayoutSnapshot      `cbor:"Prior"`   // the layout before the last change
	LayoutChangedAt       Millis              `cbor:"Moved"`   // time of the last change of the layout
}

// MemberSnapshot is the learned state of a member.
type MemberSnapshot struct {
	Member
	Limit        LimitSnapshot `cbor:"Gate"`    // concurrency limit
	Unavailable  bool          `cbor:"Gone"`    // draining, removed or no longer listed
	Ejected      bool          `cbor:"Suspect"` // ejected
	LastProgress Millis        `cbor:"Good"`    // time of the last sign of progress
	ProgressGap  Millis        `cbor:"Gap"`     // average time between two signs of progress
	FaultShare   float64       `cbor:"Faults"`  // share of faults, 0 to 1
	Outcomes     int           `cbor:"Judged"`  // number of outcomes since its start or last return
	GoodChecks   int           `cbor:"Wins"`    // successful health checks in a row
	NextCheck    Millis        `cbor:"TrialAt"` // time of the earliest next health check
	CheckBackoff Millis        `cbor:"Backoff"` // backoff of health checks
	ServedTime   Millis        `cbor:"Work"`    // send time of its answers since the last measurement of rates
	ServedRate   float64       `cbor:"Rate"`    // average of its send time per millisecond
	Tokens       Millis        `cbor:"Tokens"`  // slow-start tokens
	Refilled     Millis        `cbor:"Topped"`  // time of the last refill of the tokens
}

// LimitSnapshot is the learned state of a concurrency limit, without the transfers in flight.
type LimitSnapshot struct {
	Limit     float64 `cbor:"Room"`  // the limit
	SlowShare float64 `cbor:"Tardy"` // share of slow transfers, 0 to 1
	LoweredAt Millis  `cbor:"Cut"`   // when the limit was last lowered
	NextStart Millis  `cbor:"Next"`  // while the limit is below 1: the earliest start of the next transfer
}

// ClassSnapshot is the learned state of a class.
type ClassSnapshot struct {
	Name         string `cbor:"Name"`
	MeanSendTime Millis `cbor:"Mean"` // mean send time
	HitTime      Millis `cbor:"Took"` // mean duration of hits
}

// ObjectSnapshot is the depth of an object.
type ObjectSnapshot struct {
	Name       string  `cbor:"Name"`
	FirstParts float64 `cbor:"First"` // number of requests for the first part
	Parts      float64 `cbor:"Parts"` // number of requests for any part
}

// LayoutSnapshot is a layout of part ranges.
type LayoutSnapshot struct {
	Caches []string `cbor:"Edges"`  // ids of the caches
	Splits []int    `cbor:"Splits"` // exclusive upper ends of the ranges of all caches but the last
	Ranged bool     `cbor:"Ranged"` // whether parts are placed by ranges
}

// Recalled restores the learned state of a predecessor. It must come before the first endpoint list; a
// Router that already has members or requests ignores it.
type Recalled struct{ Memory *Snapshot }

// Retired reports that a successor has taken over (On), or that the successor did not start after all
// (not On). A router with a successor uses no slow-start tokens, since the successor uses them.
type Retired struct{ On bool }

func (Recalled) event() {}
func (Retired) event()  {}

// Snapshot returns a snapshot of the learned state.
func (r *Router) Snapshot() *Snapshot {
	snapshot := &Snapshot{
		At:                    r.now,
		ObjectDepthsRotatedAt: r.objectDepthsRotatedAt,
		ObjectPurges:          maps.Clone(r.objectPurges),
		GroupPurges:           maps.Clone(r.groupPurges),
		Link:                  r.link.snapshot(),
		TypicalRate:           slices.Clone(r.typicalRate[:]),
		RetryTokens:           r.retryTokens,
		MeanSendTime:          r.meanSendTime,
		FillTimeRatio:         r.fillTimeRatio,
		LastCleanup:           r.lastCleanup,
		WindowCost:            slices.Clone(r.windowCost),
		CostHistogram:         slices.Clone(r.costHistogram),
		WindowRequests:        r.windowRequests,
		WindowOpenedAt:        r.windowOpenedAt,
		Layout:                r.layout.snapshot(),
		PriorLayout:           r.priorLayout.snapshot(),
		LayoutChangedAt:       r.layoutChangedAt,
	}
	for _, id := range slices.Sorted(maps.Keys(r.members)) {
		snapshot.Members = append(snapshot.Members, r.members[id].snapshot())
	}
	for _, name := range slices.Sorted(maps.Keys(r.classes)) {
		class := r.classes[name]
		snapshot.Classes = append(snapshot.Classes, ClassSnapshot{Name: name, MeanSendTime: class.meanSendTime, HitTime: class.hitTime})
	}
	for generation, depths := range r.objectDepths {
		for _, name := range slices.Sorted(maps.Keys(depths)) {
			depth := depths[name]
			object := ObjectSnapshot{Name: name, FirstParts: depth.firstParts, Parts: depth.parts}
			snapshot.ObjectDepths[generation] = append(snapshot.ObjectDepths[generation], object)
		}
	}
	return snapshot
}

// restore restores the learned state of a predecessor. Members that are no longer listed are removed
// with the first endpoint list. Classes that are not in the settings are ignored.
func (r *Router) restore(snapshot *Snapshot) {
	if snapshot == nil || len(r.members) > 0 || len(r.arrivals) > 0 {
		return
	}
	for _, stored := range snapshot.Members {
		r.addMember(stored.ID, r.restoreMember(stored))
	}
	for _, stored := range snapshot.Classes {
		if class := r.classes[stored.Name]; class != nil {
			class.meanSendTime, class.hitTime = stored.MeanSendTime, stored.HitTime
		}
	}
	for generation, objects := range snapshot.ObjectDepths {
		for _, stored := range objects {
			r.objectDepths[generation][stored.Name] = &objectDepth{firstParts: stored.FirstParts, parts: stored.Parts}
		}
	}
	r.groupByRole()
	if len(snapshot.ObjectPurges) > 0 {
		r.objectPurges = maps.Clone(snapshot.ObjectPurges)
	}
	if len(snapshot.GroupPurges) > 0 {
		r.groupPurges = maps.Clone(snapshot.GroupPurges)
	}
	copy(r.typicalRate[:], snapshot.TypicalRate)
	r.objectDepthsRotatedAt = snapshot.ObjectDepthsRotatedAt
	r.link = snapshot.Link.concurrencyLimit()
	r.retryTokens = snapshot.RetryTokens
	r.meanSendTime = snapshot.MeanSendTime
	r.fillTimeRatio = snapshot.FillTimeRatio
	r.lastCleanup = snapshot.LastCleanup
	r.windowCost = slices.Clone(snapshot.WindowCost)
	r.costHistogram = slices.Clone(snapshot.CostHistogram)
	r.windowRequests = snapshot.WindowRequests
	r.windowOpenedAt = snapshot.WindowOpenedAt
	r.layout = r.restoreLayout(snapshot.Layout)
	r.priorLayout = r.restoreLayout(snapshot.PriorLayout)
	r.layoutChangedAt = snapshot.LayoutChangedAt
}

// snapshot returns the stored form of a member.
func (m *member) snapshot() MemberSnapshot {
	return MemberSnapshot{
		Member:       m.Member,
		Limit:        m.concurrencyLimit.snapshot(),
		Unavailable:  m.unavailable,
		Ejected:      m.ejected,
		LastProgress: m.lastProgress,
		ProgressGap:  m.progressGap,
		FaultShare:   m.faultShare,
		Outcomes:     m.outcomes,
		GoodChecks:   m.goodChecks,
		NextCheck:    m.nextCheck,
		CheckBackoff: m.checkBackoff,
		ServedTime:   m.servedTime,
		ServedRate:   m.servedRate,
		Tokens:       m.tokens,
		Refilled:     m.refilled,
	}
}

// restoreMember returns the member of a stored form.
func (r *Router) restoreMember(stored MemberSnapshot) *member {
	return &member{
		Member:           stored.Member,
		concurrencyLimit: stored.Limit.concurrencyLimit(),
		role:             r.roleOf(stored.Member),
		hash:             hashString(stored.ID),
		unavailable:      stored.Unavailable,
		ejected:          stored.Ejected,
		lastProgress:     stored.LastProgress,
		progressGap:      stored.ProgressGap,
		faultShare:       stored.FaultShare,
		outcomes:         stored.Outcomes,
		goodChecks:       stored.GoodChecks,
		nextCheck:        stored.NextCheck,
		checkBackoff:     stored.CheckBackoff,
		servedTime:       stored.ServedTime,
		servedRate:       stored.ServedRate,
		tokens:           stored.Tokens,
		refilled:         stored.Refilled,
	}
}

// snapshot returns the stored form of a concurrency limit.
func (l *concurrencyLimit) snapshot() LimitSnapshot {
	return LimitSnapshot{Limit: l.limit, SlowShare: l.slowShare, LoweredAt: l.loweredAt, NextStart: l.nextStart}
}

// concurrencyLimit returns the concurrency limit of a stored form.
func (l LimitSnapshot) concurrencyLimit() concurrencyLimit {
	return concurrencyLimit{limit: l.Limit, slowShare: l.SlowShare, loweredAt: l.LoweredAt, nextStart: l.NextStart}
}

// snapshot returns the stored form of a layout.
func (l layout) snapshot() LayoutSnapshot {
	stored := LayoutSnapshot{Splits: slices.Clone(l.splits), Ranged: l.ranged}
	for _, member := range l.caches {
		stored.Caches = append(stored.Caches, member.ID)
	}
	return stored
}

// restoreLayout returns the layout of a stored form. The layout is empty if one of its members is not
// known, or if the stored form is malformed.
func (r *Router) restoreLayout(stored LayoutSnapshot) layout {
	restored := layout{splits: slices.Clone(stored.Splits), ranged: stored.Ranged}
	for _, id := range stored.Caches {
		member := r.members[id]
		if member == nil || len(stored.Splits) >= max(len(stored.Caches), 1) {
			return layout{}
		}
		restored.caches = append(restored.caches, member)
	}
	return restored
}
