package limits

import (
	"testing"
)

// TestJitter checks that a wait of 4 s with half of it as jitter becomes 4 to 6 s, and that the
// values depend only on the seed.
func TestJitter(t *testing.T) {
	jitter, same := NewJitter(7, 0.5), NewJitter(7, 0.5)
	seen := map[int64]int{}
	for range 1000 {
		seconds, again := jitter.After(4000), same.After(4000)
		if seconds != again || seconds < 4 || seconds > 6 {
			t.Fatalf("%d s, and %d s with the same seed; want the same, 4 to 6 s", seconds, again)
		}
		seen[seconds]++
	}
	if len(seen) < 2 || jitter.After(0) != 0 || jitter.After(1) < 1 {
		t.Errorf("waits by seconds: %v, want several; of 0 and 1 ms: %d and %d s, want 0 and at least 1", seen, jitter.After(0), jitter.After(1))
	}
}
