package limits

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Whose requests end well is never poor, however slowly and unevenly they do; who
// wastes more than a tenth of his places is, and is forgiven in time; and no more than
// so many addresses are remembered.
func TestReputation(t *testing.T) {
	settings := ReputationSettings{Half: 60000, Least: 1.5, Weight: 10, Most: 4, Addresses: 64}
	rapid.Check(t, func(t *rapid.T) {
		s := NewReputation(settings)
		now, ends := 0.0, rapid.IntRange(30, 300).Draw(t, "ends")
		wasted := rapid.IntRange(2, 9).Draw(t, "one in")
		for i := range ends {
			now += rapid.Float64Range(0, 3000).Draw(t, "gap")
			s.AddGood("well", now)
			if i%wasted == 0 {
				s.AddBad("wasteful", now)
			} else {
				s.AddGood("wasteful", now)
			}
			if i%40 == 0 { // one in forty, as where a line breaks now and then
				s.AddBad("mostly well", now)
			} else {
				s.AddGood("mostly well", now)
			}
			s.AddBad(fmt.Sprint("passing ", i), now)
			if s.Poor("well", now) || s.Poor("unknown", now) || i > 20 && s.Poor("mostly well", now) {
				t.Fatalf("a good one is poor at %v", now)
			}
			if n := len(s.recent) + len(s.older); n > 2*64 {
				t.Fatalf("%d are remembered", n)
			}
		}
		if s.AddBad("wasteful", now); now < 60000 && !s.Poor("wasteful", now) {
			t.Fatalf("one in %d of its places was wasted, and it is not poor", wasted)
		}
		if s.Poor("wasteful", now+10*60000) {
			t.Fatal("it is not forgiven in ten half-lives")
		}
	})
	s := NewReputation(settings)
	for i := range 30 {
		for range i % 5 {
			s.AddBad(fmt.Sprint(i), 100)
			s.AddGood(fmt.Sprint(i), 100)
		}
	}
	next := NewReputation(settings)
	next.Restore(append(s.Records(200), AddressRecord{"nan", math.NaN(), 1}, AddressRecord{"inf", 0, math.Inf(1)}, AddressRecord{"below", -1, 1}), 7000)
	for i := range 30 {
		if a := fmt.Sprint(i); s.Poor(a, 200) != next.Poor(a, 7000) || s.Poor(a, 200) != (i%5 >= 2) {
			t.Errorf("%s: %v before, %v after", a, s.Poor(a, 200), next.Poor(a, 7000))
		}
	}
	if len(next.Records(7000)) != len(s.Records(200)) {
		t.Errorf("%d known, of %d", len(next.Records(7000)), len(s.Records(200)))
	}
	s = NewReputation(settings)
	for range 4 {
		if s.Reserve(); s.HasCapacity() != (s.Excess() < 0) {
			t.Error(s.HasCapacity(), s.Excess())
		}
	}
	if s.Reserve(); s.HasCapacity() || s.Excess() != 1 {
		t.Error(s.Excess())
	}
	if s.Release(); s.Excess() != 0 || s.Any() {
		t.Error(s.Excess())
	}
}
