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
			t.Fatal(seconds, again)
		}
		seen[seconds]++
	}
	if len(seen) < 2 || jitter.After(0) != 0 || jitter.After(1) < 1 {
		t.Error(seen)
	}
}
