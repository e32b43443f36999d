package limits

import "math/rand/v2"

// Backoff computes the waits between attempts to reconnect to a lost service: exponential, with
// random jitter from a seed, so that many processes that lost it at once do not retry at the
// same time. Times are in milliseconds.
type Backoff struct {
	FirstWithin float64 // bound of the wait before the first attempt, which is uniform from 0
	Base        float64 // wait before the second attempt, plus or minus half of it; doubled for each later one
	Max         float64 // bound of each wait

	random   *rand.Rand
	attempts int // since the service was lost
}

// NewBackoff returns a Backoff; times are in milliseconds.
func NewBackoff(firstWithin, base, maxWait float64, seed uint64) *Backoff {
	return &Backoff{FirstWithin: firstWithin, Base: base, Max: maxWait, random: rand.New(rand.NewPCG(seed, 0x5eed))}
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

// Reset records that an attempt succeeded: the next call of Next is again the first after a
// loss.
func (b *Backoff) Reset() { b.attempts = 0 }
