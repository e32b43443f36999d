package indigospool

import (
	"fmt"
	"testing"
)

// TestFillsCheckEjectedParents: where caches are asked first for what they hold, every fill follows
// a look that missed, and no member has failed such a request: it may be the health check of an
// ejected parent while the location's link shows no shortage, or while an origin is ejected. Seen
// as parents that some late answers had ejected, and that stayed out for the rest of the day at two
// routers of three, while the origin had their fills and stopped.
func TestFillsCheckEjectedParents(t *testing.T) {
	for _, c := range []struct {
		name          string
		linkLimit     float64
		originEjected bool
		back          bool
	}{
		{"the link shows no shortage", initialLimit, false, true},
		{"the link is short", initialLimit / 2, false, false},
		{"the link is short and the origin is ejected", initialLimit / 2, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			rig := newRig(t, testSettings())
			first, second := rig.router.members["p1"], rig.router.members["p2"]
			rig.router.eject(first)
			rig.router.eject(second)
			if c.originEjected {
				rig.router.eject(rig.router.members["o1"])
			}
			rig.wait(initialCheckBackoff + tickInterval) // until health checks are due
			fills := map[string]int{}
			for i := range 200 {
				rig.router.link.limit = c.linkLimit
				id, send, attempt := rig.requestFill("page", fmt.Sprint("x", i), 0)
				source := rig.router.members[send.Source]
				fills[source.ID]++
				if source.ejected && source.role == parent && !source.checking {
					t.Fatalf("%s is ejected and asked, and that is no health check", source.ID)
				}
				rig.handle(Outcome{ID: id, Cache: send.Cache, Attempt: attempt, Result: OK, Note: NoteFilled, Last: true, Took: 50})
				rig.wait(50)
			}
			if back := !first.ejected && !second.ejected; back != c.back {
				t.Errorf("after 10 s in which all fills came well both parents are back: %v, want %v; asked %v", back, c.back, fills)
			}
		})
	}
}
