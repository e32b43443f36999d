package indigospool

import (
	"fmt"
	"testing"
)

// TestSourceDependsOnObject checks that routers choose the same target and source for an object, that
// objects are distributed over the parents, and that the origin is the source if there are no parents.
func TestSourceDependsOnObject(t *testing.T) {
	first, second := newRig(t, testSettings()), newRig(t, testSettings())
	used := map[string]bool{}
	for i := range 20 {
		_, firstSend, _ := first.requestFill("page", fmt.Sprint("o", i), 0)
		_, secondSend, _ := second.requestFill("page", fmt.Sprint("o", i), 0)
		if firstSend.Source != secondSend.Source || firstSend.Cache != secondSend.Cache {
			t.Fatalf("two routers chose different targets or sources: %+v and %+v", firstSend, secondSend)
		}
		used[firstSend.Source] = true
	}
	if !used["p1"] || !used["p2"] || used["o1"] {
		t.Errorf("sources used: %v, want both parents and not the origin", used)
	}
	rig := newRig(t, testSettings(), row("e1", "z1", "box"), row("o1", "hub", "origin"))
	if _, send, _ := rig.requestFill("page", "x", 0); send.Source != "o1" {
		t.Errorf("without parents the source is %s, want o1, the origin", send.Source)
	}
}

// TestFailedFillTriesAnotherSource checks that a failed fill is retried from another source, and that
// the fault is attributed to the first source, not to the cache.
func TestFailedFillTriesAnotherSource(t *testing.T) {
	rig := newRig(t, testSettings())
	id, first, attempt := rig.requestFill("page", "x", 0)
	actions := rig.handle(Outcome{ID: id, Attempt: attempt, Cache: first.Cache, Result: Rejected, Took: 900, Note: NoteSourceUnreachable})
	if second := rig.onlySend(actions); second.Source == first.Source || second.Cache != first.Cache {
		t.Errorf("the retry fills %s from %s, want %s from a source other than %s", second.Cache, second.Source, first.Cache, first.Source)
	}
	if rig.router.members[first.Cache].faultShare > 0 || rig.router.members[first.Source].faultShare == 0 {
		t.Errorf("fault share of the cache %v, want 0; of the source %v, want above 0",
			rig.router.members[first.Cache].faultShare, rig.router.members[first.Source].faultShare)
	}
}

// TestFillFromSibling checks that, after a range has moved, its new cache is first filled from the
// previous one, once per request, and only while that may still have copies.
func TestFillFromSibling(t *testing.T) {
	for _, test := range []struct {
		name    string
		change  func(rig *testRig, previous *member)
		sibling bool
	}{
		{"just moved", func(*testRig, *member) {}, true},
		{"moved long ago", func(rig *testRig, _ *member) { rig.now += siblingFillSpan }, false},
		{"ejected", func(rig *testRig, previous *member) { rig.router.eject(previous) }, false},
		{"siblings are no sources", func(rig *testRig, _ *member) { rig.router.settings.SiblingScope = ScopeNone }, false},
		{"no attempts to spare", func(rig *testRig, _ *member) { rig.router.settings.MaxAttempts = 3 }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := testSettings()
			settings.SiblingScope = ScopeZone
			rig := newRig(t, settings)
			caches := rig.router.byRole[edge]
			rig.router.layout = layout{caches: caches, splits: []int{1, 2}, ranged: true}
			rig.router.priorLayout = layout{caches: caches, splits: []int{2, 3}, ranged: true}
			rig.router.layoutChangedAt = rig.now
			test.change(rig, caches[0])
			id, actions := rig.request("video", "x", 1)
			send := rig.onlySend(actions)
			if send.Cache != caches[1].ID {
				t.Fatalf("lookup %+v, want one at %s", send, caches[1].ID)
			}
			send = rig.onlySend(rig.handle(Outcome{ID: id, Cache: send.Cache, Result: Miss}))
			sibling := send.Source == caches[0].ID && send.Held
			if send.Cache != caches[1].ID || sibling != test.sibling {
				t.Fatalf("fill %+v, want the target %s; from the sibling %s: %v, want %v", send, caches[1].ID, caches[0].ID, sibling, test.sibling)
			}
			if !sibling {
				return
			}
			send = rig.onlySend(rig.handle(Outcome{ID: id, Cache: send.Cache, Attempt: 1, Result: Miss}))
			if send.Cache != caches[1].ID || send.Held || rig.router.members[send.Source].role != parent {
				t.Errorf("after a miss at the sibling: %+v, want a fill of %s from a parent", send, caches[1].ID)
			}
		})
	}
}
