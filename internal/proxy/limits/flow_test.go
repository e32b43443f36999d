package limits

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

var testRate = MinRate{Rate: 8, Grace: 4000, Step: 500}

// TestFlowAtMinRateNeverSlow checks that a peer which keeps the minimum rate is never found slow,
// however it spreads its bytes, and whatever delays the other side and the router cause.
func TestFlowAtMinRateNeverSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var flow Flow
		now, uncovered := 0.0, 0.0 // debt: ms for which the peer has not yet moved bytes
		flow.StartWaiting(now)
		waited := true
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // the other side or the router causes a delay of any length
				flow.StopWaiting(now, &testRate)
				now += rapid.Float64Range(0, 60000).Draw(t, "other")
				waited = false
			case 1: // the router does not check for a while: it charges at most Step
				if waited {
					uncovered += testRate.Step
				}
				now += rapid.Float64Range(testRate.Step, 20000).Draw(t, "stall")
			default:
				if !waited {
					flow.StartWaiting(now)
					waited = true
				}
				wait := rapid.Float64Range(0, testRate.Step).Draw(t, "peer")
				now += wait
				uncovered += wait
			}
			if uncovered > testRate.Grace-testRate.Step-1 { // the peer moves the bytes for all of its debt
				n := int(math.Ceil(uncovered * testRate.Rate))
				flow.Moved(now, n, &testRate)
				uncovered = 0
			}
			if flow.Slow(now, &testRate) {
				t.Fatalf("slow at %v with a debt of %v ms", now, uncovered)
			}
		}
	})
}

// TestFlowBelowMinRateIsSlow checks that a peer below the minimum rate is found slow, even if it
// moves a few bytes at a time, but not before its grace is over.
func TestFlowBelowMinRateIsSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 0.8).Draw(t, "share") * testRate.Rate
		gap := rapid.Float64Range(1, 1500).Draw(t, "gap")
		var flow Flow
		flow.StartWaiting(0)
		nextMove, bytesDue := gap, 0.0
		for now := 0.0; now < 60000; now += 250 {
			for nextMove <= now {
				bytesDue += rate * gap
				flow.Moved(nextMove, int(bytesDue), &testRate)
				bytesDue -= math.Floor(bytesDue)
				nextMove += gap
			}
			if flow.Slow(now, &testRate) {
				if now < testRate.Grace {
					t.Fatalf("slow at %v, within its grace", now)
				}
				return
			}
		}
		t.Fatalf("a peer of %v bytes per ms, every %v ms, was never found slow", rate, gap)
	})
}

// TestFlowBurstsAtMinRate checks that a peer may move bytes in bursts at just the minimum rate,
// and that a flow is not slow while the router does not wait or sets no rate.
func TestFlowBurstsAtMinRate(t *testing.T) {
	var flow Flow
	flow.StartWaiting(0)
	for now := 250.0; now < 600000; now += 250 {
		if math.Mod(now, 3500) == 0 {
			flow.Moved(now, int(3500*testRate.Rate), &testRate)
		}
		if flow.Slow(now, &testRate) {
			t.Fatalf("slow at %v", now)
		}
	}
	if d := flow.Due(&testRate); d <= 0 || d > testRate.Grace {
		t.Error(d)
	}
	if flow = (Flow{}); flow.Slow(1e9, &testRate) || !math.IsInf(flow.Due(&testRate), 1) || flow.Slow(1e9, &MinRate{}) {
		t.Error("a flow for which the router does not wait is slow")
	}
}

func BenchmarkFlow(b *testing.B) {
	var flow Flow
	now := 0.0
	for b.Loop() {
		now += 0.1
		flow.StartWaiting(now)
		flow.Moved(now, 100, &testRate)
		if flow.Slow(now, &testRate) {
			b.Fatal()
		}
	}
}
