package limits

import (
	"testing"
)

// One slow member is cut; where most are slow at once none is, and once the others are
// well again the one is.
func TestMassSlowness(t *testing.T) {
	j := MassSlowness{Span: 5000, Share: 0.5, Least: 3}
	for _, m := range []string{"a", "b", "c", "d"} {
		j.ObserveGood(m, 1000)
	}
	if !j.MayCut("a", 1200) || !j.MayCut("b", 1300) {
		t.Error("two of four were not cut")
	}
	if j.MayCut("c", 1400) || j.MayCut("d", 1500) || j.Spared != 2 {
		t.Errorf("three of four were cut (%d spared)", j.Spared)
	}
	all := MassSlowness{Span: 5000, Share: 0.5, Least: 2}
	for _, m := range []string{"a", "b", "c"} { // told first, none of them is cut
		all.ObserveSlow(m, 1000)
	}
	if all.MayCut("a", 1000) || all.MayCut("b", 1000) {
		t.Error("all three are slow, and one was cut")
	}
	j.ObserveGood("a", 9000)
	j.ObserveGood("b", 9000)
	if !j.MayCut("c", 9100) {
		t.Error("one of three, once the others are well, was not cut")
	}
	one := MassSlowness{Span: 5000, Share: 0.5, Least: 3}
	if !one.MayCut("a", 1) || !one.MayCut("a", 2) {
		t.Error("the only member at work was not cut")
	}
}
