package limits

import "math/rand/v2"

// Jitter adds random time to the Retry-After of rejected clients, so that clients which were
// rejected at the same time do not retry at the same time.
type Jitter struct {
	Share float64 // longest added time, as a share of the wait

	random *rand.Rand
}

// NewJitter returns a Jitter whose random numbers come from a seed.
func NewJitter(seed uint64, share float64) *Jitter {
	return &Jitter{Share: share, random: rand.New(rand.NewPCG(seed, 0x1177e4))}
}

// After converts a wait in ms into a Retry-After in whole seconds. It adds up to Share of the
// wait, or up to one second if that is longer, and rounds up. A wait of 0 stays 0.
func (j *Jitter) After(ms float64) int64 {
	if ms <= 0 {
		return 0
	}
	added := j.random.Float64() * max(ms*j.Share, 1000)
	return int64((ms + 999 + added) / 1000)
}
