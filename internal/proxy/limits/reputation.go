package limits

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// ReputationSettings say when a client address is of poor reputation.
type ReputationSettings struct {
	HalfLife    float64 // half-life of what is recorded, in ms
	MinBad      float64 // bad outcomes, after their decay, below which an address is never poor
	BadWeight   float64 // good outcomes that outweigh a bad one
	MaxInFlight int     // requests that all poor addresses together may have in flight
	Addresses   int     // that are remembered, in each of two generations
}

// DefaultReputation returns the settings that routers use, with so many requests in flight for
// all poor addresses: one bad outcome in five makes an address poor, from the third on.
func DefaultReputation(most int) ReputationSettings {
	return ReputationSettings{HalfLife: 60000, MinBad: 2.5, BadWeight: 4, MaxInFlight: most, Addresses: 16384}
}

// forgottenBelow is how many bad outcomes, after their decay, are not remembered any more.
const forgottenBelow = 0.01

// Reputation is what client addresses have done with the capacity that they were given. A bad
// outcome is an answer that was not read, or a request that never became complete: others
// could have used its capacity. An address is poor while its bad outcomes outweigh its good
// ones, and all poor ones together share little capacity: the first wave of clients that ask
// and do not read may cost the others something, and the second does not. A client that only
// reads slowly, behind a thin link, has good outcomes and is never poor.
//
// Times are in milliseconds on the caller's clock.
type Reputation struct {
	settings ReputationSettings
	recent   map[string]*outcomes // by address
	older    map[string]*outcomes // the generation before, which the next one replaces
	reserved int                  // requests of poor addresses in flight
}

// outcomes are counts of requests that have decayed until a time.
type outcomes struct{ good, bad, at float64 }

// NewReputation makes a Reputation in which no address is poor.
func NewReputation(settings ReputationSettings) *Reputation {
	return &Reputation{settings: settings, recent: map[string]*outcomes{}}
}

// AddressRecord is what is known of an address, for the router that replaces this one. Its
// field names are keys of what a hot restart hands over.
type AddressRecord struct {
	Address string
	Good    float64 // outcomes, after their decay
	Bad     float64
}

// valid reports whether a record can have come from Records.
func (r AddressRecord) valid() bool {
	return r.Bad > 0 && r.Good >= 0 && !math.IsInf(r.Bad+r.Good, 0)
}

// Records returns what is known of all addresses, the worst first.
func (r *Reputation) Records(now float64) (records []AddressRecord) {
	for _, generation := range []map[string]*outcomes{r.older, r.recent} {
		for _, address := range slices.Sorted(maps.Keys(generation)) {
			if known := r.decayed(address, now); known != nil {
				records = append(records, AddressRecord{address, known.good, known.bad})
			}
		}
	}
	slices.SortStableFunc(records, func(a, b AddressRecord) int { return cmp.Compare(b.Bad, a.Bad) })
	return records
}

// Restore takes over what the router before this one knew. Invalid records are ignored.
func (r *Reputation) Restore(records []AddressRecord, now float64) {
	for _, record := range records {
		if record.valid() && len(r.recent) < r.settings.Addresses {
			r.recent[record.Address] = &outcomes{good: record.Good, bad: record.Bad, at: now}
		}
	}
}

// Adopt changes the settings. What is known of addresses stays.
func (r *Reputation) Adopt(settings ReputationSettings) { r.settings = settings }

// AddGood records a good outcome of an address. Addresses without a bad one are not remembered.
func (r *Reputation) AddGood(address string, now float64) {
	if known := r.decayed(address, now); known != nil {
		known.good++
	}
}

// AddBad records a bad outcome of an address.
func (r *Reputation) AddBad(address string, now float64) {
	known := r.decayed(address, now)
	if known == nil {
		if len(r.recent) >= max(r.settings.Addresses, 1) {
			r.older, r.recent = r.recent, map[string]*outcomes{}
		}
		known = &outcomes{at: now}
		r.recent[address] = known
	}
	known.bad++
}

// Poor reports whether the address is of poor reputation.
func (r *Reputation) Poor(address string, now float64) bool {
	known := r.decayed(address, now)
	return known != nil && known.bad >= r.settings.MinBad && known.bad*r.settings.BadWeight > known.good
}

// Any reports whether anything bad is known of any address.
func (r *Reputation) Any() bool { return len(r.recent)+len(r.older) > 0 }

// HasCapacity reports whether poor addresses may have one more request in flight.
func (r *Reputation) HasCapacity() bool { return r.reserved < r.settings.MaxInFlight }

// Excess is how many more requests poor addresses have in flight than they may; it is negative
// while they have fewer.
func (r *Reputation) Excess() int { return r.reserved - r.settings.MaxInFlight }

// Reserve records that a request of a poor address is in flight, or that the address of one
// that is has become poor.
func (r *Reputation) Reserve() { r.reserved++ }

// Release records that a request for which Reserve was called is over.
func (r *Reputation) Release() { r.reserved-- }

// decayed returns what is known of the address, decayed until now, or nil.
func (r *Reputation) decayed(address string, now float64) *outcomes {
	known := r.recent[address]
	if known == nil {
		known = r.older[address]
		if known == nil {
			return nil
		}
		delete(r.older, address) // met again: it is not forgotten with its generation
		r.recent[address] = known
	}
	if elapsed := now - known.at; elapsed > 0 {
		factor := math.Exp2(-elapsed / r.settings.HalfLife)
		known.good *= factor
		known.bad *= factor
		known.at = now
	}
	if known.bad < forgottenBelow {
		delete(r.recent, address)
		return nil
	}
	return known
}
