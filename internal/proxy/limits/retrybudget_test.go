package limits

import (
	"fmt"
	"testing"
)

// TestRetryBudget checks that retries are bounded to a share of first attempts in an overload,
// that those of one address are bounded even without one, and that the number of addresses is
// bounded.
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
		t.Errorf("%d retries admitted for 1000 first attempts, want 250 to 270", admitted)
	}
	admitted = 0
	for range 1000 {
		if budget.Admit("greedy", true, false) {
			admitted++
		}
	}
	if admitted != 10 {
		t.Errorf("%d retries of one address admitted at once, want 10", admitted)
	}
	for i := range 100000 { // addresses with one request each are forgotten
		budget.Admit(fmt.Sprint("a", i), false, false)
	}
	if len(budget.recent)+len(budget.older) > 200 {
		t.Errorf("%d addresses are kept, want at most 200", len(budget.recent)+len(budget.older))
	}
}
