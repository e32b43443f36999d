package limits

import (
	"testing"
)

// TestBackoff: after a common loss processes try again at different times, at first soon and
// then less often, and never wait longer than Most.
func TestBackoff(t *testing.T) {
	first := map[float64]bool{}
	for seed := range uint64(100) {
		backoff := NewBackoff(250, 150, 500, seed)
		in := backoff.Next()
		if first[in] = true; in < 0 || in >= 250 {
			t.Errorf("seed %d: first after %v", seed, in)
		}
		last := 0.0
		for range 80 {
			if last = backoff.Next(); last < 75 || last > 500 {
				t.Fatalf("seed %d: then after %v", seed, last)
			}
		}
		if last < 250 {
			t.Errorf("seed %d: at last after %v", seed, last)
		}
		if backoff.Reset(); backoff.Next() >= 250 {
			t.Errorf("seed %d: after a success it does not begin anew", seed)
		}
	}
	if len(first) < 90 {
		t.Errorf("%d different waits of 100", len(first))
	}
}
