package limits

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// ReputationSettings define when a client address has a poor reputation.
type ReputationSettings struct {
	HalfLife    float64 // ms in which counts of outcomes decay to half
	MinBad      float64 // decayed count of bad outcomes below which an address is never poor
	BadWeight   float64 // good outcomes that make up for one bad outcome
	MaxInFlight int     // requests that all poor addresses together may have in flight
	Addresses   int     // kept in each of two generations
}

// DefaultReputation returns the settings that routers use: an address is poor from the third bad
// outcome on if more than one outcome in five is bad.
func DefaultReputation(maxInFlight int) ReputationSettings {
	return ReputationSettings{HalfLife: 60000, MinBad: 2.5, BadWeight: 4, MaxInFlight: maxInFlight, Addresses: 16384}
}

// forgottenBelow is the decayed count of bad outcomes below which an address is forgotten.
const forgottenBelow = 0.01

// Reputation records how client addresses have used the capacity given to them. A bad outcome is
// an answer that was not read or a request that never became complete: its capacity was lost to
// others. An address is poor while its bad outcomes outweigh the good ones. All poor addresses
// share a small capacity, so that clients which send requests and do not read the answers can
// harm others once, but not again. A client that reads slowly, over a slow link, has good
// outcomes and is never poor.
//
// Times are in milliseconds on the caller's clock.
type Reputation struct {
	settings ReputationSettings
	recent   map[string]*outcomes // by address
	older    map[string]*outcomes // the previous generation, dropped when recent is full
	reserved int                  // requests of poor addresses in flight
}

// outcomes counts the outcomes of an address, decayed until the time at.
type outcomes struct{ good, bad, at float64 }

// NewReputation returns a Reputation in which no address is poor.
func NewReputation(settings ReputationSettings) *Reputation {
	return &Reputation{settings: settings, recent: map[string]*outcomes{}}
}

// AddressRecord holds the outcomes of an address, for the successor of this router in a hot
// restart. It is encoded as JSON under its field names.
type AddressRecord struct {
	Address string
	Good    float64 // decayed count
	Bad     float64
}

// valid reports whether the counts are possible ones: finite, and with a bad outcome.
func (r AddressRecord) valid() bool {
	return r.Bad > 0 && r.Good >= 0 && !math.IsInf(r.Bad+r.Good, 0)
}

// Records returns the records of all addresses, those with the most bad outcomes first.
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

// Restore adds the records of a predecessor, up to the number of addresses that are kept. It
// ignores invalid ones.
func (r *Reputation) Restore(records []AddressRecord, now float64) {
	for _, record := range records {
		if record.valid() && len(r.recent) < r.settings.Addresses {
			r.recent[record.Address] = &outcomes{good: record.Good, bad: record.Bad, at: now}
		}
	}
}

// Adopt replaces the settings and keeps the outcomes.
func (r *Reputation) Adopt(settings ReputationSettings) { r.settings = settings }

// AddGood records a good outcome of an address. Addresses without bad outcomes are not kept.
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

// Poor reports whether the address has a poor reputation.
func (r *Reputation) Poor(address string, now float64) bool {
	known := r.decayed(address, now)
	return known != nil && known.bad >= r.settings.MinBad && known.bad*r.settings.BadWeight > known.good
}

// Any reports whether any address has a bad outcome.
func (r *Reputation) Any() bool { return len(r.recent)+len(r.older) > 0 }

// HasCapacity reports whether one more request of a poor address may be in flight.
func (r *Reputation) HasCapacity() bool { return r.reserved < r.settings.MaxInFlight }

// Excess returns by how many the requests of poor addresses in flight exceed MaxInFlight; it is
// negative while there are fewer.
func (r *Reputation) Excess() int { return r.reserved - r.settings.MaxInFlight }

// Reserve records one more request of a poor address in flight: a new one, or one whose address
// has become poor.
func (r *Reputation) Reserve() { r.reserved++ }

// Release records the end of a request for which Reserve was called.
func (r *Reputation) Release() { r.reserved-- }

// decayed returns the outcomes of the address, decayed until now, or nil if there are none.
func (r *Reputation) decayed(address string, now float64) *outcomes {
	known := r.recent[address]
	if known == nil {
		known = r.older[address]
		if known == nil {
			return nil
		}
		delete(r.older, address) // seen again: it survives its generation
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
