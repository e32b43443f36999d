package configversion

import (
	"slices"
	"strings"

	"indigospool/internal/config"
)

// DeltaKind is what a Delta does to its members.
type DeltaKind int

// The kinds, in the order in which they are applied. Removals also come before starts
// where a member has started anew.
const (
	DeltaDrains DeltaKind = iota
	DeltaStarts
	DeltaChanges
	DeltaRemovals
)

var deltaKindNames = [...]string{DeltaDrains: "drains", DeltaStarts: "starts", DeltaChanges: "changes", DeltaRemovals: "removals"}

// String is the kind in lower case, as operators are shown it.
func (k DeltaKind) String() string { return deltaKindNames[k] }

// Delta is one change of the list of members, to be applied before the next.
type Delta struct {
	Kind    DeltaKind
	Members []config.Member
}

// Diff is what has changed from one list to another, in the order in which it is
// applied: drains come first, so that nothing new goes to who leaves; then new
// members, new starts and changes, so that there is somebody to take over;
// removals last. A member with another start number came back empty: it is
// removed before it is started. A snapshot of the list would do the same at
// once, but could not say that a start is new where the number was reused.
func Diff(old, new []config.Member) []Delta {
	oldByID := map[string]config.Member{}
	for _, member := range old {
		oldByID[member.ID] = member
	}
	listed := map[string]bool{}
	var drains, restarts, starts, changes, removals []config.Member
	for _, member := range new {
		listed[member.ID] = true
		before, known := oldByID[member.ID]
		member.Place, before.Place = config.Place{}, config.Place{} // where they stand in their files
		isRestart := before.Start != member.Start || before.Address != member.Address
		switch {
		case member.State == stateRemoved:
			if known && before.State != stateRemoved {
				removals = append(removals, member)
			}
		case member.State == stateDraining:
			if !known || !isSame(before, member) {
				drains = append(drains, member)
			}
		case !known:
			starts = append(starts, member)
		case isRestart:
			before.State = stateRemoved
			restarts = append(restarts, before)
			starts = append(starts, member)
		case !isSame(before, member):
			changes = append(changes, member)
		}
	}
	for _, member := range old {
		if !listed[member.ID] && member.State != stateRemoved {
			member.State, member.Place = stateRemoved, config.Place{}
			removals = append(removals, member)
		}
	}
	var deltas []Delta
	for _, delta := range []Delta{
		{DeltaDrains, drains}, {DeltaRemovals, restarts}, {DeltaStarts, starts}, {DeltaChanges, changes}, {DeltaRemovals, removals},
	} {
		if len(delta.Members) > 0 {
			slices.SortFunc(delta.Members, compareIDs)
			deltas = append(deltas, delta)
		}
	}
	return deltas
}

func compareIDs(a, b config.Member) int { return strings.Compare(a.ID, b.ID) }

// withdrawsMember reports whether a member takes nothing new by the new list that did
// by the old one, or has started anew.
func withdrawsMember(old, new []config.Member) bool {
	newByID := map[string]config.Member{}
	for _, member := range new {
		newByID[member.ID] = member
	}
	for _, before := range old {
		if before.State != stateServing {
			continue
		}
		member, listed := newByID[before.ID]
		if !listed || member.State != stateServing || member.Start != before.Start || member.Address != before.Address {
			return true
		}
	}
	return false
}

// isSame compares what routers go by, and not where members stand in their files.
func isSame(a, b config.Member) bool {
	return a.ID == b.ID && a.Zone == b.Zone && a.Kind == b.Kind && a.Cell == b.Cell && a.Size == b.Size &&
		a.Address == b.Address && a.State == b.State && a.Start == b.Start
}

// ApplyDeltas is the list after changes, by id: what a router goes by that has applied
// them all. Members that were removed are left out.
func ApplyDeltas(old []config.Member, deltas []Delta) []config.Member {
	byID := map[string]config.Member{}
	for _, member := range old {
		member.Place = config.Place{}
		if member.State != stateRemoved {
			byID[member.ID] = member
		}
	}
	for _, delta := range deltas {
		for _, member := range delta.Members {
			if member.State == stateRemoved {
				delete(byID, member.ID)
			} else {
				byID[member.ID] = member
			}
		}
	}
	list := make([]config.Member, 0, len(byID))
	for _, member := range byID {
		list = append(list, member)
	}
	slices.SortFunc(list, compareIDs)
	return list
}
