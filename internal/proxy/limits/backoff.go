package limits

import "math/rand/v2"

// Backoff spaces out tries that failed, so that many processes that lost the same service at
// once don't ask in step, and don't ask more often the longer it is away. The chance is
// from a seed. Spans are in milliseconds.
type Backoff struct {
	First    float64 // within which the first try after a loss falls, by chance
	Base     float64 // before the second, give or take half of it; each later one takes twice as long
	Most     float64 // no wait is longer
	rng      *rand.Rand
	attempts int
}

// NewBackoff begins with nothing lost.
func NewBackoff(first, base, most float64, seed uint64) *Backoff {
	return &Backoff{First: first, Base: base, Most: most, rng: rand.New(rand.NewPCG(seed, 0x5eed))}
}

// Next is how long to wait before the next try.
func (a *Backoff) Next() float64 {
	if a.attempts++; a.attempts == 1 {
		return a.First * a.rng.Float64()
	}
	span := min(a.Base*float64(uint64(1)<<min(a.attempts-2, 30)), a.Most)
	return min(span*(0.5+a.rng.Float64()), a.Most)
}

// Reset says that a try succeeded.
func (a *Backoff) Reset() { a.attempts = 0 }
