package configversion

import (
	"slices"
	"strings"

	"indigospool/internal/config"
)

// DeltaKind is the kind of change that a Delta makes.
type DeltaKind int

// The kinds, in the order in which they are applied. For a member that was restarted, a
// removal is also applied before its start.
const (
	DeltaDrains DeltaKind = iota
	DeltaStarts
	DeltaChanges
	DeltaRemovals
)

var deltaKindNames = [...]string{DeltaDrains: "drains", DeltaStarts: "starts", DeltaChanges: "changes", DeltaRemovals: "removals"}

// String returns the kind in lower case, as shown to operators.
func (k DeltaKind) String() string { return deltaKindNames[k] }

// Delta is one change of the member list. Deltas are applied in order.
type Delta struct {
	Kind    DeltaKind
	Members []config.Member
}

// Diff returns the changes from one member list to another, in the order in which they
// must be applied: drains first, so that leaving members get no new requests; then
// added and restarted members and other changes, so that there is capacity to take
// over; removals last. A member with another start number or address has lost its
// content, so it is removed before it is started again. Replacing the list by a
// snapshot would be simpler, but could not express that a start is new if the start
// number was reused.
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
		member.Place, before.Place = config.Place{}, config.Place{} // positions in the settings files are irrelevant
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

// withdrawsMember reports whether some member that serves by the old list no longer
// serves by the new one, or was restarted.
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

// isSame compares the fields that routers use, not the positions in the settings files.
func isSame(a, b config.Member) bool {
	return a.ID == b.ID && a.Zone == b.Zone && a.Kind == b.Kind && a.Cell == b.Cell && a.Size == b.Size &&
		a.Address == b.Address && a.State == b.State && a.Start == b.Start
}

// ApplyDeltas returns the list, sorted by id, that a router has after applying all
// deltas to old. Removed members are left out.
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
