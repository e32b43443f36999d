package limits

import (
	"testing"
)

// TestMassSlowness: one slow member is cut; where most are slow at once none is, and once the
// others are good again the one is.
func TestMassSlowness(t *testing.T) {
	slowness := MassSlowness{Window: 5000, Share: 0.5, MinWorking: 3}
	for _, member := range []string{"a", "b", "c", "d"} {
		slowness.ObserveGood(member, 1000)
	}
	if !slowness.MayCut("a", 1200) || !slowness.MayCut("b", 1300) {
		t.Error("two of four were not cut")
	}
	if slowness.MayCut("c", 1400) || slowness.MayCut("d", 1500) || slowness.Spared != 2 {
		t.Errorf("three of four were cut (%d spared)", slowness.Spared)
	}
	all := MassSlowness{Window: 5000, Share: 0.5, MinWorking: 2}
	for _, member := range []string{"a", "b", "c"} { // all are recorded first: none of them is cut
		all.ObserveSlow(member, 1000)
	}
	if all.MayCut("a", 1000) || all.MayCut("b", 1000) {
		t.Error("all three are slow, and one was cut")
	}
	slowness.ObserveGood("a", 9000)
	slowness.ObserveGood("b", 9000)
	if !slowness.MayCut("c", 9100) {
		t.Error("one of three, once the others are good, was not cut")
	}
	single := MassSlowness{Window: 5000, Share: 0.5, MinWorking: 3}
	if !single.MayCut("a", 1) || !single.MayCut("a", 2) {
		t.Error("the only member at work was not cut")
	}
}
