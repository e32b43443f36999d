package limits

import "math"

// MinRate is the rate at which a peer has to move bytes while the router waits for it.
type MinRate struct {
	Rate  float64 // bytes a ms; 0: none is asked for
	Grace float64 // ms of delay that a peer may run up beyond what its bytes pay for
	Step  float64 // most ms charged between two checks: a longer gap is the router's own; 0: no limit
}

// Flow is one direction of one connection, measured as a token bucket of time: each ms in which
// the router waits for the peer costs one, each byte pays for the time that it may take at the
// minimum rate, and Grace is the most that can be saved. A peer that moves the minimum rate
// over each span of Grace is never found slow, however it spreads its bytes; one below it is,
// at the latest when Grace and what it paid for are used up. While the router waits for
// somebody else nothing is charged. The zero Flow is new.
//
// Times are in milliseconds on the caller's clock.
type Flow struct {
	owed       float64 // ms of the grace that are used up
	lastCharge float64
	waiting    bool
}

// StartWaiting records that from now on the router waits for the peer.
func (f *Flow) StartWaiting(now float64) {
	if !f.waiting {
		f.waiting = true
		f.lastCharge = now
	}
}

// StopWaiting records that from now on the router does not wait for the peer, but for the
// other side or for itself.
func (f *Flow) StopWaiting(now float64, limit *MinRate) {
	f.charge(now, limit)
	f.waiting = false
}

// Waiting reports whether the router waits for the peer.
func (f *Flow) Waiting() bool { return f.waiting }

// Moved records that the peer read, or sent, n bytes.
func (f *Flow) Moved(now float64, n int, limit *MinRate) {
	f.charge(now, limit)
	if limit.Rate > 0 {
		f.owed = max(f.owed-float64(n)/limit.Rate, 0)
	}
}

// Slow reports whether the peer has run up more than its grace. It has to be called at least
// every Step while the router waits for the peer.
func (f *Flow) Slow(now float64, limit *MinRate) bool {
	f.charge(now, limit)
	return limit.Rate > 0 && f.owed > limit.Grace
}

// Due is in how many ms the peer will be slow if nothing moves.
func (f *Flow) Due(limit *MinRate) float64 {
	if !f.waiting || limit.Rate <= 0 {
		return math.Inf(1)
	}
	return max(limit.Grace-f.owed, 0)
}

// charge charges the peer for the time since the last charge, if the router waited for it.
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
