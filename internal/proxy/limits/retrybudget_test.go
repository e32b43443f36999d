package limits

import (
	"fmt"
	"testing"
)

// Repeats are a share of first tries once an overload lasts; one address can't take
// the others' share, and is bounded in calm times too.
func TestRetryBudget(t *testing.T) {
	r := NewRetryBudget(RetryBudgetSettings{Share: 0.25, Burst: 20, AddressShare: 0.5, AddressBurst: 10, Addresses: 100})
	went := 0
	for i := range 1000 {
		r.Admit(fmt.Sprint(i%50), false, true)
		for range 3 {
			if r.Admit(fmt.Sprint(i%50), true, true) {
				went++
			}
		}
	}
	if went < 250 || went > 250+20 {
		t.Errorf("%d repeats of 1000 first tries", went)
	}
	went = 0
	for range 1000 {
		if r.Admit("greedy", true, false) {
			went++
		}
	}
	if went != 10 {
		t.Errorf("one address made %d repeats at once", went)
	}
	for i := range 100000 { // addresses that come once are forgotten
		r.Admit(fmt.Sprint("a", i), false, false)
	}
	if len(r.recent)+len(r.older) > 200 {
		t.Errorf("%d addresses are remembered", len(r.recent)+len(r.older))
	}
}
