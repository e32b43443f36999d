package limits

import (
	"testing"
)

// TestMassSlowness checks that a slow member may be disconnected unless most members are slow at
// the same time, and may be again once the others are good.
func TestMassSlowness(t *testing.T) {
	slowness := MassSlowness{Window: 5000, Share: 0.5, MinActive: 3}
	for _, member := range []string{"a", "b", "c", "d"} {
		slowness.ObserveGood(member, 1000)
	}
	if !slowness.MayDisconnect("a", 1200) || !slowness.MayDisconnect("b", 1300) {
		t.Error("the first or the second slow member of four was not disconnected")
	}
	if slowness.MayDisconnect("c", 1400) || slowness.MayDisconnect("d", 1500) || slowness.Spared != 2 {
		t.Errorf("a third or fourth slow member of four was disconnected, or %d were spared, want 2", slowness.Spared)
	}
	all := MassSlowness{Window: 5000, Share: 0.5, MinActive: 2}
	for _, member := range []string{"a", "b", "c"} { // all are recorded before MayCut is called
		all.ObserveSlow(member, 1000)
	}
	if all.MayDisconnect("a", 1000) || all.MayDisconnect("b", 1000) {
		t.Error("all three members are slow, and the first or the second was disconnected")
	}
	slowness.ObserveGood("a", 9000)
	slowness.ObserveGood("b", 9000)
	if !slowness.MayDisconnect("c", 9100) {
		t.Error("one slow member of three was not disconnected once the others were good")
	}
	single := MassSlowness{Window: 5000, Share: 0.5, MinActive: 3}
	if !single.MayDisconnect("a", 1) || !single.MayDisconnect("a", 2) {
		t.Error("the only active member was not disconnected")
	}
}
