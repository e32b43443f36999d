package indigospool

import (
	"fmt"
	"testing"
)

func TestSourceFollowsObject(t *testing.T) {
	a, b := newRig(t, testSettings()), newRig(t, testSettings())
	used := map[string]bool{}
	for i := range 20 {
		_, x, _ := a.requestFill("page", fmt.Sprint("o", i), 0)
		_, y, _ := b.requestFill("page", fmt.Sprint("o", i), 0)
		if x.Source != y.Source || x.Cache != y.Cache {
			t.Fatal("two routers differ")
		}
		used[x.Source] = true
	}
	if !used["p1"] || !used["p2"] || used["o1"] {
		t.Errorf("sources %v", used)
	}
	rig := newRig(t, testSettings(), row("e1", "z1", "box"), row("o1", "hub", "origin"))
	if _, send, _ := rig.requestFill("page", "x", 0); send.Source != "o1" {
		t.Error("with no parents, fills should come from the origin")
	}
}

// TestFailedFillTriesAnotherSource: the source is blamed, not the cache.
func TestFailedFillTriesAnotherSource(t *testing.T) {
	rig := newRig(t, testSettings())
	id, a, n := rig.requestFill("page", "x", 0)
	actions := rig.handle(Outcome{ID: id, Attempt: n, Cache: a.Cache, Result: Full, Took: 900, Note: NoteSourceUnreached})
	if b := rig.onlySend(actions); b.Source == a.Source || b.Cache != a.Cache {
		t.Errorf("filled from %s again", b.Source)
	}
	if rig.router.members[a.Cache].faultShare > 0 || rig.router.members[a.Source].faultShare == 0 {
		t.Error("the wrong member was blamed")
	}
}
