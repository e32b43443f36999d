package configversion

import (
	"sort"

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
// told: drains come first, so that nothing new goes to who leaves; then new
// members, new starts and changes, so that there is somebody to take over;
// removals last. A member with another start number came back empty: it is told
// as removed before it is told as started. A full list would do the same at
// once, but could not say that a start is new where the number was reused.
func Diff(old, new []config.Member) (steps []Delta) {
	was := map[string]config.Member{}
	for _, m := range old {
		was[m.ID] = m
	}
	is := map[string]bool{}
	var drains, gone, starts, changes, removals []config.Member
	for _, m := range new {
		is[m.ID] = true
		o, known := was[m.ID]
		m.Place, o.Place = config.Place{}, config.Place{}
		switch {
		case m.State == "removed":
			if known && o.State != "removed" {
				removals = append(removals, m)
			}
		case m.State == "draining":
			if !known || !same(o, m) {
				drains = append(drains, m)
			}
		case !known:
			starts = append(starts, m)
		case o.Start != m.Start || o.Address != m.Address:
			o.State = "removed"
			gone = append(gone, o)
			starts = append(starts, m)
		case !same(o, m):
			changes = append(changes, m)
		}
	}
	for _, o := range old {
		if !is[o.ID] && o.State != "removed" {
			o.State, o.Place = "removed", config.Place{}
			removals = append(removals, o)
		}
	}
	add := func(kind DeltaKind, list []config.Member) {
		if len(list) > 0 {
			sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
			steps = append(steps, Delta{kind, list})
		}
	}
	add(DeltaDrains, drains)
	add(DeltaRemovals, gone)
	add(DeltaStarts, starts)
	add(DeltaChanges, changes)
	add(DeltaRemovals, removals)
	return steps
}

// takesAway reports whether a member takes nothing new by the new list that did
// by the old one, or has started anew.
func takesAway(old, new []config.Member) bool {
	is := map[string]config.Member{}
	for _, m := range new {
		is[m.ID] = m
	}
	for _, o := range old {
		m, listed := is[o.ID]
		if o.State == "serving" && (!listed || m.State != "serving" || m.Start != o.Start || m.Address != o.Address) {
			return true
		}
	}
	return false
}

func same(a, b config.Member) bool {
	return a.ID == b.ID && a.Zone == b.Zone && a.Kind == b.Kind && a.Cell == b.Cell && a.Size == b.Size &&
		a.Address == b.Address && a.State == b.State && a.Start == b.Start
}

// ApplyDeltas is a list after the steps, by id: what a router that was told them all
// goes by. Members that are gone are left out.
func ApplyDeltas(old []config.Member, steps []Delta) []config.Member {
	by := map[string]config.Member{}
	for _, m := range old {
		m.Place = config.Place{}
		if m.State != "removed" {
			by[m.ID] = m
		}
	}
	for _, s := range steps {
		for _, m := range s.Members {
			if m.State == "removed" {
				delete(by, m.ID)
			} else {
				by[m.ID] = m
			}
		}
	}
	out := make([]config.Member, 0, len(by))
	for _, m := range by {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
