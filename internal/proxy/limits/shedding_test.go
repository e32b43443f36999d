package limits

import (
	"fmt"
	"testing"
)

// TestShed checks that idle connections are closed before requests are shed, that requests are
// shed by weight per byte with answers that have begun last, and that non-idempotent ones never
// are.
func TestShed(t *testing.T) {
	budget := Budget{Total: 1000}
	budget.Add(Answers, 899)
	if idle, requests := budget.Excess(); idle+requests != 0 || budget.Full() {
		t.Errorf("899 of 1000 bytes used: excess of %d and %d bytes, full: %v; want 0, 0, false", idle, requests, budget.Full())
	}
	budget.Add(Heads, 20)
	if idle, requests := budget.Excess(); idle != 119 || requests != 0 || !budget.Full() {
		t.Errorf("919 of 1000 bytes used: excess of %d and %d bytes, full: %v; want 119, 0, true", idle, requests, budget.Full())
	}
	budget.Add(Bodies, 50)
	if idle, requests := budget.Excess(); idle != 169 || requests != 169 || budget.Used() != 969 || budget.Map()["answers"] != 899 {
		t.Errorf("excess of %d and %d bytes, %d used, of them %d for answers; want 169, 169, 969, 899", idle, requests, budget.Used(), budget.Map()["answers"])
	}
	list := []ShedCandidate{
		{Index: 0, Bytes: 100, Weight: 1, BytesLeft: 10, Begun: true, Idempotent: true},
		{Index: 1, Bytes: 100, Weight: 1, BytesLeft: 10, Idempotent: true},
		{Index: 2, Bytes: 100, Weight: 1, BytesLeft: 1000, Idempotent: true},
		{Index: 3, Bytes: 100, Weight: 0.1, BytesLeft: 10, Idempotent: true},
		{Index: 4, Bytes: 100, Weight: 0, BytesLeft: 1e9},
		{Index: 5, Bytes: 0, Weight: 0, BytesLeft: 1e9, Idempotent: true},
	}
	want := []int{2, 3, 1, 0}
	for i, candidate := range ShedOrder(append([]ShedCandidate(nil), list...)) {
		if candidate.Index != want[i] {
			t.Errorf("position %d has candidate %d, want %d", i, candidate.Index, want[i])
		}
	}
	if got := Shed(append([]ShedCandidate(nil), list...), 150); len(got) != 2 {
		t.Errorf("shed for 150 bytes: %+v, want two candidates", got)
	}
	if got := Shed(append([]ShedCandidate(nil), list...), 1e6); len(got) != 4 {
		t.Errorf("shed for 1e6 bytes: %+v, want all four that may be shed", got)
	}
}

// TestLongStalled checks that answers which have waited for their clients for a second are
// returned, the longest stalled first.
func TestLongStalled(t *testing.T) {
	if got := fmt.Sprint(LongStalled([]float64{999, 1000, 5000, 0, 2000})); got != "[2 4 1]" || len(LongStalled(nil)) != 0 {
		t.Errorf("indexes %s, want [2 4 1]; %v of an empty list, want none", got, LongStalled(nil))
	}
}
