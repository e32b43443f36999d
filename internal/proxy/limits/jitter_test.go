package limits

import (
	"testing"
)

// TestJitter: waits are spread between the wait and half as much more, the same for a seed.
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
