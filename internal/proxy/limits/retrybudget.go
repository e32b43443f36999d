package limits

// RetryBudgetSettings bound the retries of clients. Each first attempt adds a share to the budget
// of all clients and to that of its client address, and each retry takes 1 from both.
type RetryBudgetSettings struct {
	Share        float64 // retries that a first attempt adds to the budget of all clients
	Burst        float64 // most retries that this budget holds
	AddressShare float64 // retries that a first attempt adds to the budget of its address
	AddressBurst float64 // most retries that this budget holds
	Addresses    int     // addresses kept in each of two generations
}

// RetryBudget keeps the retries of clients from amplifying an overload. The budget of one address
// always applies; that of all clients applies only while the router is overloaded.
type RetryBudget struct {
	settings RetryBudgetSettings
	all      float64             // retries left to all clients
	recent   map[string]*float64 // retries left, by address
	older    map[string]*float64 // the previous generation, dropped when recent is full
}

// NewRetryBudget returns a RetryBudget whose budgets are full.
func NewRetryBudget(settings RetryBudgetSettings) *RetryBudget {
	return &RetryBudget{settings: settings, all: settings.Burst, recent: map[string]*float64{}}
}

// Admit reports whether a request is admitted, and updates the budgets.
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

// ofAddress returns the budget of an address, a full one if the address is not kept.
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
