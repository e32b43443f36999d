package limits

import "math/rand/v2"

// Backoff spaces out attempts to reach a lost service, so that many processes that lost it at
// once do not try in step, and try less often the longer it is away. Chance is drawn from a
// seed. Times are in milliseconds.
type Backoff struct {
	FirstWithin float64 // the first attempt after a loss follows at a random time within this
	Base        float64 // wait before the second, plus or minus half of it; doubled for each later one
	Max         float64 // longest wait

	random   *rand.Rand
	attempts int // since the loss
}

// NewBackoff makes a Backoff that has lost nothing; times are in milliseconds.
func NewBackoff(first, base, most float64, seed uint64) *Backoff {
	return &Backoff{FirstWithin: first, Base: base, Max: most, random: rand.New(rand.NewPCG(seed, 0x5eed))}
}

// Next returns how long to wait before the next attempt, in milliseconds.
func (b *Backoff) Next() float64 {
	b.attempts++
	if b.attempts == 1 {
		return b.FirstWithin * b.random.Float64()
	}
	doublings := min(b.attempts-2, 30)
	wait := min(b.Base*float64(uint64(1)<<doublings), b.Max)
	return min(wait*(0.5+b.random.Float64()), b.Max)
}

// Reset records that an attempt succeeded: the next Next is again the first after a loss.
func (b *Backoff) Reset() { b.attempts = 0 }
