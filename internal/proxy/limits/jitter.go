package limits

import "math/rand/v2"

// Jitter spreads the times at which rejected clients are asked to come again, so that those
// who were rejected together do not return together.
type Jitter struct {
	Part float64 // most that is added, as a part of the wait

	random *rand.Rand
}

// NewJitter makes a Jitter that draws from a seed.
func NewJitter(seed uint64, part float64) *Jitter {
	return &Jitter{Part: part, random: rand.New(rand.NewPCG(seed, 0x1177e4))}
}

// After turns a wait in ms into a Retry-After in whole seconds: no less than the wait, and
// more by up to Part of it, or by up to one second. A wait of 0 stays 0.
func (j *Jitter) After(ms float64) int64 {
	if ms <= 0 {
		return 0
	}
	added := j.random.Float64() * max(ms*j.Part, 1000)
	return int64((ms + 999 + added) / 1000)
}
