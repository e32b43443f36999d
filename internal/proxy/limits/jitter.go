package limits

import (
	"math/rand/v2"
)

// Jitter spreads when clients come again, so that those who were turned away together
// don't return together.
type Jitter struct {
	rng  *rand.Rand
	Part float64 // of the wait that is added at most
}

// NewJitter draws from a seed.
func NewJitter(seed uint64, part float64) *Jitter {
	return &Jitter{rng: rand.New(rand.NewPCG(seed, 0x1177e4)), Part: part}
}

// After is when a client may come again, in whole seconds: from the wait in ms on, up
// to Part of it, or one second, later. 0 stays 0.
func (j *Jitter) After(ms float64) int64 {
	if ms <= 0 {
		return 0
	}
	return int64((ms + 999 + j.rng.Float64()*max(ms*j.Part, 1000)) / 1000)
}
