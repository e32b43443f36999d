package limits

// RetryBudgetSettings bound the repeats that clients make. A budget gains Share with each
// first try, up to Burst, and each repeat costs one.
type RetryBudgetSettings struct {
	Share, Burst               float64 // of all clients
	AddressShare, AddressBurst float64 // of one client address
	Addresses                  int     // that are remembered, in each of two generations
}

// RetryBudget keeps clients' repeats from amplifying an overload. All clients' budget
// counts only while the router is overloaded; that of one address counts always.
type RetryBudget struct {
	settings RetryBudgetSettings
	all      float64
	recent   map[string]*float64 // budgets by address
	older    map[string]*float64
}

// NewRetryBudget begins with full budgets.
func NewRetryBudget(s RetryBudgetSettings) *RetryBudget {
	return &RetryBudget{settings: s, all: s.Burst, recent: map[string]*float64{}}
}

// Admit reports whether a request may go on.
func (r *RetryBudget) Admit(address string, repeat, overloaded bool) bool {
	b := r.budget(address)
	if !repeat {
		r.all = min(r.all+r.settings.Share, r.settings.Burst)
		*b = min(*b+r.settings.AddressShare, r.settings.AddressBurst)
		return true
	}
	if *b < 1 || overloaded && r.all < 1 {
		return false
	}
	*b--
	r.all = max(r.all-1, 0)
	return true
}

func (r *RetryBudget) budget(address string) *float64 {
	if b := r.recent[address]; b != nil {
		return b
	}
	if len(r.recent) >= max(r.settings.Addresses, 1) {
		r.older, r.recent = r.recent, map[string]*float64{}
	}
	b := r.older[address]
	if b == nil {
		full := r.settings.AddressBurst
		b = &full
	}
	r.recent[address] = b
	return b
}
