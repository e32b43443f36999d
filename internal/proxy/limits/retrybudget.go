package limits

// RetryBudgetSettings bound the retries that clients make. A budget gains its share of a retry
// with each first attempt, up to its burst, and each retry costs one.
type RetryBudgetSettings struct {
	Share        float64 // of all clients' budget
	Burst        float64
	AddressShare float64 // of the budget of one client address
	AddressBurst float64
	Addresses    int // that are remembered, in each of two generations
}

// RetryBudget keeps clients' retries from amplifying an overload. All clients' budget counts
// only while the router is overloaded; that of one address counts always.
type RetryBudget struct {
	settings RetryBudgetSettings
	all      float64             // retries left to all clients
	recent   map[string]*float64 // retries left, by address
	older    map[string]*float64 // the generation before, which the next one replaces
}

// NewRetryBudget makes full budgets.
func NewRetryBudget(settings RetryBudgetSettings) *RetryBudget {
	return &RetryBudget{settings: settings, all: settings.Burst, recent: map[string]*float64{}}
}

// Admit reports whether a request is admitted, and charges the budgets.
func (r *RetryBudget) Admit(address string, retry, overloaded bool) bool {
	left := r.ofAddress(address)
	if !retry {
		r.all = min(r.all+r.settings.Share, r.settings.Burst)
		*left = min(*left+r.settings.AddressShare, r.settings.AddressBurst)
		return true
	}
	if *left < 1 || overloaded && r.all < 1 {
		return false
	}
	*left--
	r.all = max(r.all-1, 0)
	return true
}

// ofAddress returns the budget of one address, a full one if it is not remembered.
func (r *RetryBudget) ofAddress(address string) *float64 {
	if left := r.recent[address]; left != nil {
		return left
	}
	if len(r.recent) >= max(r.settings.Addresses, 1) {
		r.older, r.recent = r.recent, map[string]*float64{}
	}
	left := r.older[address]
	if left == nil {
		full := r.settings.AddressBurst
		left = &full
	}
	r.recent[address] = left
	return left
}
