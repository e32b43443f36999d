package store

import (
	"math"
	"sort"
)

const (
	// sourceDelayMillis is how long the times of purges are remembered, in ms: a source may go on
	// sending copies from before a purge until it has received the purge itself.
	sourceDelayMillis = 60_000

	// purgeTimeStepMillis is the resolution of the remembered times, in ms. It limits their number.
	purgeTimeStepMillis = 10
)

// purgeTimes remembers when the last purges were received. A fill that begins after a purge may
// bring a copy from before it, if the source has not received the purge yet; the generation time
// of the copy tells.
type purgeTimes struct {
	entries []purgeTime // in the order of time
}

// purgeTime is the time of some purges. All purges received later than began have a number above
// last.
type purgeTime struct {
	began    int64 // when the first of them was received, Unix ms
	received int64 // when the last of them was received, Unix ms
	last     uint64
}

// record notes that a purge is received now. last is the number of the purge before it.
func (p *purgeTimes) record(now int64, last uint64) {
	expired := sort.Search(len(p.entries), func(i int) bool { return !p.entries[i].expired(now) })
	p.entries = p.entries[expired:]
	if n := len(p.entries); n > 0 && now-p.entries[n-1].began < purgeTimeStepMillis {
		p.entries[n-1].received = now
		return
	}
	p.entries = append(p.entries, purgeTime{began: now, received: now, last: last})
}

// lastBefore returns the number of a purge such that all remembered purges since the generation
// of a copy have higher numbers.
func (p *purgeTimes) lastBefore(now, generatedAt int64) uint64 {
	first := sort.Search(len(p.entries), func(i int) bool {
		return !p.entries[i].expired(now) && p.entries[i].received >= generatedAt
	})
	if first == len(p.entries) {
		return math.MaxUint64
	}
	return p.entries[first].last
}

func (t purgeTime) expired(now int64) bool { return t.received < now-sourceDelayMillis }

// sinceGenerated returns the number of the last purge before a copy was generated, for a copy whose
// fill began after the purge number since. It differs from since if a purge was received between
// the generation and the fill.
func (s *Store) sinceGenerated(since uint64, meta *Meta) uint64 {
	if s.options.AgeClock == nil {
		return since
	}
	return min(since, s.purgeTimes.lastBefore(s.options.AgeClock(), meta.GeneratedAt))
}

// recordPurgeTime records that a purge is received whose number will be above last.
func (s *Store) recordPurgeTime(last uint64) {
	if s.options.AgeClock != nil {
		s.purgeTimes.record(s.options.AgeClock(), last)
	}
}
