package eventloop

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestTimersAgainstModel checks for random sequences of Arm, Disarm and Forget that timers run
// when they are due, and not earlier.
func TestTimersAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Loop{}
		fired := []int{}
		want := map[int]Millis{}
		timers := make([]Timer, 20)
		for i := range timers {
			timers[i].F = func() {
				if due, ok := want[i]; !ok || due > l.now {
					t.Fatalf("timer %d ran at %v ms, want not before %v ms, and only if armed: %v", i, l.now, due, ok)
				}
				delete(want, i)
				fired = append(fired, i)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(timers)-1).Draw(t, "timer")
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				in := float64(rapid.IntRange(0, 50).Draw(t, "in"))
				l.Arm(&timers[i], in)
				want[i] = l.now + in
			case 2:
				if rapid.Bool().Draw(t, "for good") {
					l.Forget(&timers[i])
				} else {
					l.Disarm(&timers[i])
				}
				delete(want, i)
			case 3:
				l.now += float64(rapid.IntRange(0, 20).Draw(t, "pass"))
				l.runTimers()
				for k, due := range want {
					if due <= l.now {
						t.Fatalf("timer %d, due at %v ms, did not run until %v ms", k, due, l.now)
					}
				}
			}
			if l.Timers() != len(want) {
				t.Fatalf("%d timers armed, want %d", l.Timers(), len(want))
			}
		}
	})
}

// TestTimersRunInOrder checks that timers run in the order in which they are due.
func TestTimersRunInOrder(t *testing.T) {
	l := startLoop(t)
	got := make(chan int, 3)
	l.Post(func() {
		for _, in := range []int{30, 10, 20} {
			l.AfterFunc(float64(in), func() { got <- in })
		}
	})
	for _, want := range []int{10, 20, 30} {
		if in := <-got; in != want {
			t.Fatalf("timer of %d ms ran before that of %d ms", in, want)
		}
	}
}

func BenchmarkTimers(b *testing.B) {
	l := &Loop{}
	timers := make([]Timer, 100_000)
	for i := range timers {
		timers[i].F = func() {}
		l.Arm(&timers[i], rand.Float64()*1000)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Arm(&timers[i%len(timers)], float64(i%997))
	}
}
