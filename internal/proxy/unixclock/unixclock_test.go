package unixclock

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

const start = 1.76e12 // a Unix time in ms

// TestAge checks that ages follow the latest observed time, and that events which arrive after
// MarkCurrent are never older than that call.
func TestAge(t *testing.T) {
	var clock Clock
	if age := clock.Age(start, 50); age != 0 {
		t.Errorf("without an observed time: %v, want 0", age)
	}
	clock.Observe(start, 100)
	for _, c := range []struct{ unix, now, want Millis }{
		{start, 100, 0}, {start, 400, 300}, {start - 4000, 100, 4000}, {start + 3.6e6, 100, -3.6e6}, {start, 90, -10},
	} {
		if age := clock.Age(c.unix, c.now); age != c.want {
			t.Errorf("Age(%v, %v) = %v, want %v", c.unix, c.now, age, c.want)
		}
	}
	clock.Observe(start+500, 200) // 400 ms ahead of the estimate
	clock.Observe(start-3.6e6, 250)
	if age := clock.Age(start, 300); age != 600 {
		t.Errorf("after times ahead of and behind the estimate: %v, want 600", age)
	}
	clock.MarkCurrent(1000)
	clock.Observe(start+3.6e6, 1100) // a time that is wrong by an hour
	if age := clock.Age(start+1000, 1200); age != 200 {
		t.Errorf("arrived 200 ms after MarkCurrent: %v ms old, want 200", age)
	}
}

// TestAgeNeverOverstated checks for random delays that an age never exceeds the true one, and
// that it falls short of it by at most the smallest delay observed.
func TestAgeNeverOverstated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var clock Clock
		now, least := 0.0, math.Inf(1)
		for range rapid.IntRange(1, 50).Draw(t, "events") {
			now += rapid.Float64Range(0, 5000).Draw(t, "gap")
			if rapid.Bool().Draw(t, "current") {
				clock.MarkCurrent(now)
			}
			now += rapid.Float64Range(0, 500).Draw(t, "later")
			delay := rapid.Float64Range(0, 2000).Draw(t, "delay")
			made := math.Floor(start + now - delay)
			least = min(least, start+now-made)
			clock.Observe(made, now)
			if age := clock.Age(made, now); age > start+now-made+0.01 || !clock.current && age < start+now-made-least-0.01 {
				t.Fatalf("%v ms old, but the true age is %v ms", age, start+now-made)
			}
		}
	})
}
