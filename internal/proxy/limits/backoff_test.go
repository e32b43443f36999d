package limits

import (
	"testing"
)

// TestBackoff checks that processes which lose a service together reconnect at different times,
// soon at first and then less often, and never wait longer than Max.
func TestBackoff(t *testing.T) {
	first := map[float64]bool{}
	for seed := range uint64(100) {
		backoff := NewBackoff(250, 150, 500, seed)
		in := backoff.Next()
		if first[in] = true; in < 0 || in >= 250 {
			t.Errorf("seed %d: first wait of %v ms, want 0 to 250 ms", seed, in)
		}
		last := 0.0
		for range 80 {
			if last = backoff.Next(); last < 75 || last > 500 {
				t.Fatalf("seed %d: later wait of %v ms, want 75 to 500 ms", seed, last)
			}
		}
		if last < 250 {
			t.Errorf("seed %d: last wait of %v ms, want at least 250 ms", seed, last)
		}
		if backoff.Reset(); backoff.Next() >= 250 {
			t.Errorf("seed %d: Reset does not restart the waits", seed)
		}
	}
	if len(first) < 90 {
		t.Errorf("%d different first waits of 100 seeds, want at least 90", len(first))
	}
}
