package indigospool

import (
	"fmt"
	"testing"
)

// TestFillsCheckEjectedParents checks that a request whose lookup has missed may be the health check
// of an ejected parent if the link's limit is at least its initial value or an origin is ejected. Most
// fills follow such a lookup. When they were not used as health checks, parents that had been ejected for a few late
// answers stayed ejected for the rest of the day at two of three routers, and the origin failed under
// the fills that the parents no longer served.
func TestFillsCheckEjectedParents(t *testing.T) {
	for _, c := range []struct {
		name          string
		linkLimit     float64
		originEjected bool
		back          bool
	}{
		{"initial limit of the link", initialLimit, false, true},
		{"lower limit of the link", initialLimit / 2, false, false},
		{"lower limit of the link, origin ejected", initialLimit / 2, true, true},
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
					t.Fatalf("%s is ejected and receives a fill that is not a health check", source.ID)
				}
				rig.handle(Outcome{ID: id, Cache: send.Cache, Attempt: attempt, Result: OK, Note: NoteFilled, Last: true, Took: 50})
				rig.wait(50)
			}
			if back := !first.ejected && !second.ejected; back != c.back {
				t.Errorf("after 10 s of successful fills both parents have returned: %v, want %v; fills by source: %v", back, c.back, fills)
			}
		})
	}
}
