package limits

import (
	"testing"
)

// TestBackoff: after a common loss processes ask at different times, at first soon and then
// less often, and never wait longer than the most.
func TestBackoff(t *testing.T) {
	first := map[float64]bool{}
	for seed := range uint64(100) {
		a := NewBackoff(250, 150, 500, seed)
		in := a.Next()
		if first[in] = true; in < 0 || in >= 250 {
			t.Errorf("seed %d: first after %v", seed, in)
		}
		last := 0.0
		for range 80 {
			if last = a.Next(); last < 75 || last > 500 {
				t.Fatalf("seed %d: then after %v", seed, last)
			}
		}
		if last < 250 {
			t.Errorf("seed %d: at last after %v", seed, last)
		}
		if a.Reset(); a.Next() >= 250 {
			t.Errorf("seed %d: after a success it does not begin anew", seed)
		}
	}
	if len(first) < 90 {
		t.Errorf("%d different waits of 100", len(first))
	}
}
