package limits

import "math"

// MinRate is the minimum rate at which a peer must move bytes while the router waits for it.
type MinRate struct {
	Rate  float64 // bytes per ms; 0: no minimum
	Grace float64 // ms by which a peer may fall behind the minimum rate
	Step  float64 // most ms charged between two checks, since the router itself causes longer gaps; 0: no limit
}

// Flow measures one direction of a connection by a token bucket of time. Each ms in which the
// router waits for the peer takes one ms from the bucket, each byte moved returns the time that
// it takes at the minimum rate, and the bucket holds at most Grace. A peer that keeps the
// minimum rate over every span of Grace is never slow, however it spreads its bytes; a slower
// one is slow at the latest when the bucket is empty. Nothing is charged while the router waits
// for something else. The zero Flow has a full bucket.
//
// Times are in milliseconds on the caller's clock.
type Flow struct {
	owed       float64 // ms taken from the bucket and not returned
	lastCharge float64
	waiting    bool
}

// StartWaiting records that the router waits for the peer from now on.
func (f *Flow) StartWaiting(now float64) {
	if !f.waiting {
		f.waiting = true
		f.lastCharge = now
	}
}

// StopWaiting records that from now on the router does not wait for the peer, but waits for
// something else or does its own work.
func (f *Flow) StopWaiting(now float64, limit *MinRate) {
	f.charge(now, limit)
	f.waiting = false
}

// Waiting reports whether the router waits for the peer.
func (f *Flow) Waiting() bool { return f.waiting }

// Moved records that the peer has read or sent n bytes.
func (f *Flow) Moved(now float64, n int, limit *MinRate) {
	f.charge(now, limit)
	if limit.Rate > 0 {
		f.owed = max(f.owed-float64(n)/limit.Rate, 0)
	}
}

// Slow reports whether the peer is behind the minimum rate by more than Grace. It must be called
// at least every Step while the router waits for the peer.
func (f *Flow) Slow(now float64, limit *MinRate) bool {
	f.charge(now, limit)
	return limit.Rate > 0 && f.owed > limit.Grace
}

// Due returns the time in ms until the peer is slow if it moves nothing, or +Inf if the router
// does not wait for it or sets no minimum rate.
func (f *Flow) Due(limit *MinRate) float64 {
	if !f.waiting || limit.Rate <= 0 {
		return math.Inf(1)
	}
	return max(limit.Grace-f.owed, 0)
}

// charge takes the time since the last charge from the bucket if the router waited for the peer.
func (f *Flow) charge(now float64, limit *MinRate) {
	if f.waiting && now > f.lastCharge {
		spent := now - f.lastCharge
		if limit.Step > 0 {
			spent = min(spent, limit.Step)
		}
		f.owed += spent
	}
	f.lastCharge = max(f.lastCharge, now)
}
