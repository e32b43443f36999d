package limits

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// ReputationSettings say when a client address is of poor standing.
type ReputationSettings struct {
	Half      float64 // ms after which what was noted counts half
	Least     float64 // bad ends, after their decay, below which an address is never poor
	Weight    float64 // good ends that outweigh a bad one
	Most      int     // requests that all poor addresses together may have in hand
	Addresses int     // that are remembered, in each of two generations
}

// DefaultReputation is what routers go by, with so many places for all poor addresses: one
// end in five that is bad makes an address poor, from the third on.
func DefaultReputation(most int) ReputationSettings {
	return ReputationSettings{Half: 60000, Least: 2.5, Weight: 4, Most: most, Addresses: 16384}
}

// Reputation is what client addresses have done with the places that they were given.
// A bad end is an answer that was not taken, or a request that never came whole: its
// place was lost to others. An address is poor while its bad ends outweigh its good
// ones, and all poor ones together share a few places: the first wave of those who
// ask and don't take may cost the others something, and the second does not. Who only
// reads slowly, behind a thin link, ends well and is never poor.
type Reputation struct {
	settings      ReputationSettings
	recent, older map[string]*outcomes
	reserved      int // that poor addresses have in hand
}

type outcomes struct{ good, bad, at float64 }

// NewReputation begins with every address well thought of.
func NewReputation(s ReputationSettings) *Reputation {
	return &Reputation{settings: s, recent: map[string]*outcomes{}}
}

// AddressRecord is what is known of an address, for a successor.
type AddressRecord struct {
	Address   string
	Good, Bad float64 // ends, after their decay
}

// Records is what is known of all addresses, the worst first.
func (s *Reputation) Records(now float64) (list []AddressRecord) {
	for _, m := range []map[string]*outcomes{s.older, s.recent} {
		for _, address := range slices.Sorted(maps.Keys(m)) {
			if r := s.decayed(address, now); r != nil {
				list = append(list, AddressRecord{address, r.good, r.bad})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b AddressRecord) int { return cmp.Compare(b.Bad, a.Bad) })
	return list
}

// Restore goes on from what a predecessor knew. What makes no sense is passed over.
func (s *Reputation) Restore(list []AddressRecord, now float64) {
	for _, k := range list {
		if k.Bad > 0 && k.Good >= 0 && !math.IsInf(k.Bad+k.Good, 0) && len(s.recent) < s.settings.Addresses {
			s.recent[k.Address] = &outcomes{good: k.Good, bad: k.Bad, at: now}
		}
	}
}

// Adopt goes by other settings from now on.
func (s *Reputation) Adopt(x ReputationSettings) { s.settings = x }

// AddGood says that a request of the address ended well.
func (s *Reputation) AddGood(address string, now float64) {
	if r := s.decayed(address, now); r != nil { // of whom nothing bad is known there is nothing to keep
		r.good++
	}
}

// AddBad says that one ended badly.
func (s *Reputation) AddBad(address string, now float64) {
	r := s.decayed(address, now)
	if r == nil {
		if len(s.recent) >= max(s.settings.Addresses, 1) {
			s.older, s.recent = s.recent, map[string]*outcomes{}
		}
		r = &outcomes{at: now}
		s.recent[address] = r
	}
	r.bad++
}

// Poor reports whether the address is of poor standing.
func (s *Reputation) Poor(address string, now float64) bool {
	r := s.decayed(address, now)
	return r != nil && r.bad >= s.settings.Least && r.bad*s.settings.Weight > r.good
}

// Any reports whether anything bad is known of anybody.
func (s *Reputation) Any() bool { return len(s.recent)+len(s.older) > 0 }

// HasCapacity reports whether poor addresses may have one more request in hand.
func (s *Reputation) HasCapacity() bool { return s.reserved < s.settings.Most }

// Excess is how many more they have in hand than they may.
func (s *Reputation) Excess() int { return s.reserved - s.settings.Most }

// Reserve says that a request of a poor address is in hand, or that one's is that has
// become poor.
func (s *Reputation) Reserve() { s.reserved++ }

// Release says that such a request is over.
func (s *Reputation) Release() { s.reserved-- }

// stalledAfter is how long, in ms, a client may take nothing of what waits for it until
// that counts as a bad end.
const stalledAfter = 2000

// IsStalled reports whether a client that has taken nothing for so long, in ms, holds its
// place for nothing.
func IsStalled(ms float64) bool { return ms >= stalledAfter }

// decayed is what is known of the address, with its age counted in.
func (s *Reputation) decayed(address string, now float64) *outcomes {
	r := s.recent[address]
	if r == nil {
		if r = s.older[address]; r == nil {
			return nil
		}
		delete(s.older, address) // so that it is not forgotten with those that are not met again
		s.recent[address] = r
	}
	if span := now - r.at; span > 0 {
		part := math.Exp2(-span / s.settings.Half)
		r.good, r.bad, r.at = r.good*part, r.bad*part, now
	}
	if r.bad < 0.01 {
		delete(s.recent, address)
		return nil
	}
	return r
}
