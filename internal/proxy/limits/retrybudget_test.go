package limits

import (
	"fmt"
	"testing"
)

// TestRetryBudget: retries are a share of first attempts once an overload lasts; one address
// cannot take the others' share, and is bounded in calm times too.
func TestRetryBudget(t *testing.T) {
	budget := NewRetryBudget(RetryBudgetSettings{Share: 0.25, Burst: 20, AddressShare: 0.5, AddressBurst: 10, Addresses: 100})
	admitted := 0
	for i := range 1000 {
		budget.Admit(fmt.Sprint(i%50), false, true)
		for range 3 {
			if budget.Admit(fmt.Sprint(i%50), true, true) {
				admitted++
			}
		}
	}
	if admitted < 250 || admitted > 250+20 {
		t.Errorf("%d retries of 1000 first attempts", admitted)
	}
	admitted = 0
	for range 1000 {
		if budget.Admit("greedy", true, false) {
			admitted++
		}
	}
	if admitted != 10 {
		t.Errorf("one address made %d retries at once", admitted)
	}
	for i := range 100000 { // addresses that come once are forgotten
		budget.Admit(fmt.Sprint("a", i), false, false)
	}
	if len(budget.recent)+len(budget.older) > 200 {
		t.Errorf("%d addresses are remembered", len(budget.recent)+len(budget.older))
	}
}
