package limits

import (
	"testing"
)

func TestJitter(t *testing.T) {
	a, b := NewJitter(7, 0.5), NewJitter(7, 0.5)
	seen := map[int64]int{}
	for range 1000 {
		x, y := a.After(4000), b.After(4000)
		if x != y || x < 4 || x > 6 {
			t.Fatal(x, y)
		}
		seen[x]++
	}
	if len(seen) < 2 || a.After(0) != 0 || a.After(1) < 1 {
		t.Error(seen)
	}
}
