package limits

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

var testRate = MinRate{Rate: 8, Grace: 4000, Step: 500} // bytes per ms; ms; ms

// TestFlowAtMinRateNeverSlow checks that a peer which keeps the minimum rate is never found slow,
// however it spreads its bytes, and however long the router waits for something else or makes no
// check.
func TestFlowAtMinRateNeverSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var flow Flow
		now, uncovered := 0.0, 0.0 // uncovered: ms charged to the peer that its bytes, at the minimum rate, do not cover yet
		flow.StartWaiting(now)
		waited := true
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // the router waits for something other than the peer, for any time
				flow.StopWaiting(now, &testRate)
				now += rapid.Float64Range(0, 60000).Draw(t, "other")
				waited = false
			case 1: // the router makes no check for at least Step: only Step of that time counts against the peer
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
			// Another Step could exceed Grace, with a margin of 1 ms, so the peer now moves enough bytes
			// for all of the time charged to it.
			if uncovered > testRate.Grace-testRate.Step-1 {
				n := int(math.Ceil(uncovered * testRate.Rate))
				flow.Moved(now, n, &testRate)
				uncovered = 0
			}
			if flow.Slow(now, &testRate) {
				t.Fatalf("slow at %v ms with %v ms not covered, want slow only above %v ms", now, uncovered, testRate.Grace)
			}
		}
	})
}

// TestFlowBelowMinRateIsSlow checks that a peer at no more than 80 % of the minimum rate is found
// slow, even if it keeps moving a few bytes at a time, but not in the first Grace ms.
func TestFlowBelowMinRateIsSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 0.8).Draw(t, "share") * testRate.Rate
		gap := rapid.Float64Range(1, 1500).Draw(t, "gap")
		var flow Flow
		flow.StartWaiting(0)
		nextMove, bytesDue := gap, 0.0 // bytesDue: not moved yet, with the fraction of a byte that is left over
		for now := 0.0; now < 60000; now += 250 {
			for nextMove <= now {
				bytesDue += rate * gap
				flow.Moved(nextMove, int(bytesDue), &testRate)
				bytesDue -= math.Floor(bytesDue)
				nextMove += gap
			}
			if flow.Slow(now, &testRate) {
				if now < testRate.Grace {
					t.Fatalf("slow at %v ms, want not before %v ms", now, testRate.Grace)
				}
				return
			}
		}
		t.Fatalf("a peer that moves %v bytes per ms, in bursts every %v ms, was not found slow within 60 s", rate, gap)
	})
}

// TestFlowBurstsAtMinRate checks that a peer that moves its bytes in bursts, at just the minimum
// rate, is not slow, and that a peer is slow only if the router waits for it and sets a rate.
func TestFlowBurstsAtMinRate(t *testing.T) {
	var flow Flow
	flow.StartWaiting(0)
	for now := 250.0; now < 600000; now += 250 {
		if math.Mod(now, 3500) == 0 {
			flow.Moved(now, int(3500*testRate.Rate), &testRate)
		}
		if flow.Slow(now, &testRate) {
			t.Fatalf("slow at %v ms although the peer keeps the minimum rate", now)
		}
	}
	if due := flow.Due(&testRate); due <= 0 || due > testRate.Grace {
		t.Errorf("Due is %v ms, want above 0 and at most %v ms", due, testRate.Grace)
	}
	if flow = (Flow{}); flow.Slow(1e9, &testRate) || !math.IsInf(flow.Due(&testRate), 1) || flow.Slow(1e9, &MinRate{}) {
		t.Error("a flow for which the router does not wait is slow, will be slow in a finite time, or is slow without a minimum rate")
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
			b.Fatal("a peer that moves 100 bytes every 0.1 ms is slow")
		}
	}
}
