package limits

import "math"

// MinRate is the least rate at which a peer has to move bytes while it is the one that
// is waited for. A zero Rate asks for none.
type MinRate struct {
	Rate  float64 // bytes a ms
	Grace float64 // ms of its own delay that a peer may run up beyond what its bytes pay for
	Step  float64 // most that is charged between two looks: a longer gap is the router's own
}

// Flow is one direction of one connection, as a bucket of time: each ms in which the
// peer is waited for costs one, each byte pays for the time that it may take at the
// least rate, and Grace is the most that can be saved. A peer that moves the least
// rate over each span of Grace is never found slow, however it spreads its bytes; one
// below it is, at the latest when Grace and what it paid for are used up. While
// somebody else holds things up nothing is charged. The zero Flow is new.
type Flow struct {
	owed       float64 // ms that are used up of the grace
	lastCharge float64
	waiting    bool
}

// StartWaiting says that from now on the peer is waited for.
func (f *Flow) StartWaiting(now float64) {
	if !f.waiting {
		f.waiting, f.lastCharge = true, now
	}
}

// StopWaiting says that from now on it is not: the other side, or the router, holds things up.
func (f *Flow) StopWaiting(now float64, l *MinRate) {
	f.charge(now, l)
	f.waiting = false
}

// Waiting reports whether the peer is waited for.
func (f *Flow) Waiting() bool { return f.waiting }

// Moved says that the peer took, or sent, so many bytes.
func (f *Flow) Moved(now float64, n int, l *MinRate) {
	f.charge(now, l)
	if l.Rate > 0 {
		f.owed = max(f.owed-float64(n)/l.Rate, 0)
	}
}

// Slow reports whether the peer has run up more than its grace. It is to be asked at
// least every Step while the peer is waited for.
func (f *Flow) Slow(now float64, l *MinRate) bool {
	f.charge(now, l)
	return l.Rate > 0 && f.owed > l.Grace
}

// Due is in how many ms the peer will be slow if nothing moves.
func (f *Flow) Due(l *MinRate) float64 {
	if !f.waiting || l.Rate <= 0 {
		return math.Inf(1)
	}
	return max(l.Grace-f.owed, 0)
}

func (f *Flow) charge(now float64, l *MinRate) {
	if f.waiting && now > f.lastCharge {
		spent := now - f.lastCharge
		if l.Step > 0 {
			spent = min(spent, l.Step)
		}
		f.owed += spent
	}
	f.lastCharge = max(f.lastCharge, now)
}
