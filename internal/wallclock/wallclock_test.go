package wallclock

import (
	"strings"
	"testing"
	"time"
)

// TestStep checks that a step moves Now by the same duration, and that Now has no monotonic
// reading.
func TestStep(t *testing.T) {
	for _, by := range []time.Duration{3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		before := Now()
		Step(by)
		after := Now()
		Step(-by)
		if got := after.Sub(before) - by; got < 0 || got > time.Second {
			t.Errorf("a step of %v moved the clock by %v", by, after.Sub(before))
		}
		if strings.Contains(after.String(), "m=") {
			t.Errorf("%v has a monotonic reading, which a step does not move", after)
		}
	}
	if off := time.Since(Now()); off < -time.Second || off > time.Second {
		t.Errorf("after all steps were reversed the clock is off by %v", off)
	}
}
