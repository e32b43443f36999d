package limits

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestReputation checks that an address with good outcomes is never poor, that one with more
// than a tenth of bad outcomes is, until these have decayed, that the number of addresses is
// bounded, and that a successor which restores the records classifies addresses alike.
func TestReputation(t *testing.T) {
	settings := ReputationSettings{HalfLife: 60000, MinBad: 1.5, BadWeight: 10, MaxInFlight: 4, Addresses: 64}
	rapid.Check(t, func(t *rapid.T) {
		reputation := NewReputation(settings)
		now, steps := 0.0, rapid.IntRange(30, 300).Draw(t, "ends")
		wasted := rapid.IntRange(2, 9).Draw(t, "one in")
		for i := range steps {
			now += rapid.Float64Range(0, 3000).Draw(t, "gap")
			reputation.AddGood("good", now)
			if i%wasted == 0 {
				reputation.AddBad("wasteful", now)
			} else {
				reputation.AddGood("wasteful", now)
			}
			if i%40 == 0 { // one in forty, as with occasional network failures
				reputation.AddBad("mostly good", now)
			} else {
				reputation.AddGood("mostly good", now)
			}
			reputation.AddBad(fmt.Sprint("passing ", i), now)
			if reputation.Poor("good", now) || reputation.Poor("unknown", now) || i > 20 && reputation.Poor("mostly good", now) {
				t.Fatalf("at %v ms poor is: good address %v, unknown %v, mostly good %v; want false of each, of the last after 20 steps", now,
					reputation.Poor("good", now), reputation.Poor("unknown", now), reputation.Poor("mostly good", now))
			}
			if n := len(reputation.recent) + len(reputation.older); n > 2*64 {
				t.Fatalf("%d addresses are kept, want at most 128", n)
			}
		}
		if reputation.AddBad("wasteful", now); now < 60000 && !reputation.Poor("wasteful", now) {
			t.Fatalf("an address with one bad outcome in %d is not poor", wasted)
		}
		if reputation.Poor("wasteful", now+10*60000) {
			t.Fatal("an address is still poor after ten half-lives")
		}
	})
	checkRestored(t, settings)
	checkReserved(t, settings)
}

// checkRestored restores a Reputation's records, and some invalid ones, and checks that both
// classify all addresses alike.
func checkRestored(t *testing.T, settings ReputationSettings) {
	t.Helper()
	reputation := NewReputation(settings)
	for i := range 30 {
		for range i % 5 {
			reputation.AddBad(fmt.Sprint(i), 100)
			reputation.AddGood(fmt.Sprint(i), 100)
		}
	}
	next := NewReputation(settings)
	next.Restore(append(reputation.Records(200), AddressRecord{"nan", math.NaN(), 1}, AddressRecord{"inf", 0, math.Inf(1)}, AddressRecord{"below", -1, 1}), 7000)
	for i := range 30 {
		if address := fmt.Sprint(i); reputation.Poor(address, 200) != next.Poor(address, 7000) || reputation.Poor(address, 200) != (i%5 >= 2) {
			t.Errorf("address %s: poor is %v before the restore, %v after; want %v", address, reputation.Poor(address, 200), next.Poor(address, 7000), i%5 >= 2)
		}
	}
	if len(next.Records(7000)) != len(reputation.Records(200)) {
		t.Errorf("%d records after the restore, want %d", len(next.Records(7000)), len(reputation.Records(200)))
	}
}

// checkReserved checks the capacity that poor addresses share, of four requests.
func checkReserved(t *testing.T, settings ReputationSettings) {
	t.Helper()
	reputation := NewReputation(settings)
	for range 4 {
		if reputation.Reserve(); reputation.HasCapacity() != (reputation.Excess() < 0) {
			t.Errorf("at most four requests: capacity left %v, excess %d; want capacity if the excess is negative", reputation.HasCapacity(), reputation.Excess())
		}
	}
	if reputation.Reserve(); reputation.HasCapacity() || reputation.Excess() != 1 {
		t.Errorf("five requests: capacity left %v, excess %d; want false, 1", reputation.HasCapacity(), reputation.Excess())
	}
	if reputation.Release(); reputation.Excess() != 0 || reputation.Any() {
		t.Errorf("four requests: excess %d, Any is %v; want 0, false", reputation.Excess(), reputation.Any())
	}
}
