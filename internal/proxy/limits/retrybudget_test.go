package limits

import (
	"fmt"
	"testing"
)

// TestRetryBudget checks that, during an overload, the total number of retries is limited to a
// share of the first attempts; that retries from a single client address are limited whether or
// not there is an overload; and that the number of addresses kept is limited.
func TestRetryBudget(t *testing.T) {
	budget := NewRetryBudget(RetryBudgetSettings{Share: 0.25, Burst: 20, AddressShare: 0.5, AddressBurst: 10, Addresses: 100})
	admitted := 0
	for i := range 1000 { // one first attempt and three retries each; the arguments are address, retry, overloaded
		budget.Admit(fmt.Sprint(i%50), false, true)
		for range 3 {
			if budget.Admit(fmt.Sprint(i%50), true, true) {
				admitted++
			}
		}
	}
	if admitted < 250 || admitted > 250+20 {
		t.Errorf("%d retries admitted for 1000 first attempts, want 250 to 270", admitted)
	}
	admitted = 0
	for range 1000 {
		if budget.Admit("greedy", true, false) { // retries without a first attempt, and no overload
			admitted++
		}
	}
	if admitted != 10 {
		t.Errorf("%d retries admitted from an address without first attempts, want 10, its burst", admitted)
	}
	for i := range 100000 { // one first attempt from each of many addresses
		budget.Admit(fmt.Sprint("a", i), false, false)
	}
	if len(budget.recent)+len(budget.older) > 200 {
		t.Errorf("%d addresses are kept, want at most 200: two generations of 100", len(budget.recent)+len(budget.older))
	}
}
