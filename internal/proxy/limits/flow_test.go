package limits

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

var testRate = MinRate{Rate: 8, Grace: 4000, Step: 500}

// TestFlowAtMinRateNeverSlow: a peer that moves the minimum rate over each span is never cut,
// whatever the other side and the router do meanwhile, and however it spreads its bytes within
// the span.
func TestFlowAtMinRateNeverSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var flow Flow
		now, debt := 0.0, 0.0 // ms of its own delay since its bytes last paid for it
		flow.StartWaiting(now)
		waited := true
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // the other side, or the router, holds things up for as long as it likes
				flow.StopWaiting(now, &testRate)
				now += rapid.Float64Range(0, 60000).Draw(t, "other")
				waited = false
			case 1: // the router does not check for a while: charged is a step at most
				if waited {
					debt += testRate.Step
				}
				now += rapid.Float64Range(testRate.Step, 20000).Draw(t, "stall")
			default:
				if !waited {
					flow.StartWaiting(now)
					waited = true
				}
				d := rapid.Float64Range(0, testRate.Step).Draw(t, "peer")
				now += d
				debt += d
			}
			if debt > testRate.Grace-testRate.Step-1 { // it keeps the rate: it moves what it owes for
				n := int(math.Ceil(debt * testRate.Rate))
				flow.Moved(now, n, &testRate)
				debt = 0
			}
			if flow.Slow(now, &testRate) {
				t.Fatalf("cut at %v with %v ms of its own", now, debt)
			}
		}
	})
}

// TestFlowBelowMinRateIsSlow: a peer that keeps below the rate is found slow, and not before
// its grace is used up; one byte a second is no way out.
func TestFlowBelowMinRateIsSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 0.8).Draw(t, "share") * testRate.Rate
		gap := rapid.Float64Range(1, 1500).Draw(t, "gap")
		var flow Flow
		flow.StartWaiting(0)
		next, part := gap, 0.0
		for now := 0.0; now < 60000; now += 250 {
			for next <= now {
				part += rate * gap
				flow.Moved(next, int(part), &testRate)
				part -= math.Floor(part)
				next += gap
			}
			if flow.Slow(now, &testRate) {
				if now < testRate.Grace {
					t.Fatalf("slow at %v, within its grace", now)
				}
				return
			}
		}
		t.Fatalf("%v bytes a ms every %v ms was never found slow", rate, gap)
	})
}

// TestFlowBurstsAtMinRate: reading in bursts at just the minimum rate is allowed.
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
		t.Error("a flow that nobody waits for is slow")
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
