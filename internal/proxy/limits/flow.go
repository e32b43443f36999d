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

// MassSlowness keeps a judgement on members from being the router's own fault: where most of
// those that are at work are found slow within a short while, the cause is nearer to
// the router than to them, and none is cut.
type MassSlowness struct {
	Span  float64 // ms over which members are counted
	Share float64 // of those at work: from there on judgement is suspect
	Least int     // members at work below which one may always be cut

	lastGood, lastSlow map[string]float64 // when last seen so
	Spared             uint64             // cuts that were not made
}

// ObserveGood says that a member moved bytes at the least rate or more.
func (j *MassSlowness) ObserveGood(member string, now float64) { j.record(&j.lastGood, member, now) }

// ObserveSlow says that a member was found slow. All that are found so at a time are to be
// told before Cut is asked of one.
func (j *MassSlowness) ObserveSlow(member string, now float64) { j.record(&j.lastSlow, member, now) }

// MayCut reports whether a member that was found slow may be cut.
func (j *MassSlowness) MayCut(member string, now float64) bool {
	j.ObserveSlow(member, now)
	slow, working := 0, 0
	for id, at := range j.lastSlow {
		if now-at > j.Span {
			delete(j.lastSlow, id)
			continue
		}
		slow++
		working++
	}
	for id, at := range j.lastGood {
		if now-at > j.Span {
			delete(j.lastGood, id)
		} else if _, both := j.lastSlow[id]; !both {
			working++
		}
	}
	if working >= j.Least && float64(slow) > j.Share*float64(working) {
		j.Spared++
		return false
	}
	return true
}

func (j *MassSlowness) record(m *map[string]float64, member string, now float64) {
	if *m == nil {
		*m = map[string]float64{}
	}
	(*m)[member] = now
}
