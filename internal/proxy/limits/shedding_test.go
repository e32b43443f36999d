package limits

import (
	"fmt"
	"testing"
)

// Idle connections go before requests, answers that have begun go last, the least
// worth for its bytes first, and what may do harm when it is repeated never.
func TestShed(t *testing.T) {
	b := Budget{Total: 1000}
	b.Add(Answers, 899)
	if idle, reqs := b.Excess(); idle+reqs != 0 || b.Full() {
		t.Error(idle, reqs)
	}
	b.Add(Heads, 20)
	if idle, reqs := b.Excess(); idle != 119 || reqs != 0 || !b.Full() {
		t.Error(idle, reqs)
	}
	b.Add(Bodies, 50)
	if idle, reqs := b.Excess(); idle != 169 || reqs != 169 || b.Used() != 969 || b.Map()["answers"] != 899 {
		t.Error(idle, reqs)
	}
	list := []ShedCandidate{
		{Index: 0, Bytes: 100, Weight: 1, Left: 10, Begun: true, Idempotent: true},
		{Index: 1, Bytes: 100, Weight: 1, Left: 10, Idempotent: true},
		{Index: 2, Bytes: 100, Weight: 1, Left: 1000, Idempotent: true},
		{Index: 3, Bytes: 100, Weight: 0.1, Left: 10, Idempotent: true},
		{Index: 4, Bytes: 100, Weight: 0, Left: 1e9},
		{Index: 5, Bytes: 0, Weight: 0, Left: 1e9, Idempotent: true},
	}
	want := []int{2, 3, 1, 0}
	for i, h := range ShedOrder(append([]ShedCandidate(nil), list...)) {
		if h.Index != want[i] {
			t.Errorf("place %d is of %d, not %d", i, h.Index, want[i])
		}
	}
	if got := Shed(append([]ShedCandidate(nil), list...), 150); len(got) != 2 {
		t.Errorf("%+v", got)
	}
	if got := Shed(append([]ShedCandidate(nil), list...), 1e6); len(got) != 4 {
		t.Errorf("%+v", got)
	}
}

// Answers that have waited for their clients for a second give way, the longest first.
func TestLongStalled(t *testing.T) {
	if got := fmt.Sprint(LongStalled([]float64{999, 1000, 5000, 0, 2000})); got != "[2 4 1]" || len(LongStalled(nil)) != 0 {
		t.Error(got)
	}
}
