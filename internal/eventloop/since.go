package eventloop

// EarliestArrival returns the earliest time at which the events of the current turn may have
// happened: the arrival of bytes, of an end or of a connection. A descriptor that the previous
// poll did not report became ready after that poll, which may be long ago if the previous turn
// was slow. If the loop was waiting, the descriptor became ready just now.
//
// The result applies to a descriptor only if the previous turn left nothing to be read on it.
func (l *Loop) EarliestArrival() Millis { return l.since }

// pollTimeout returns how long the next poll may wait, in ms; -1 is without limit. After a slow
// turn the poll does not wait, so that events during that turn can be distinguished from those
// that happen while the loop waits.
func (l *Loop) pollTimeout(wait int, began Millis) int {
	if began-l.lastPoll > slowTurn {
		return 0
	}
	return wait
}

// recordPoll updates the times for EarliestArrival after a poll that began at began. An
// interrupted poll has checked no descriptor, and the process may have been stopped during it.
func (l *Loop) recordPoll(began Millis, interrupted bool) {
	unwatched := began - l.lastPoll // time without a poll
	l.since = l.lastPoll
	switch {
	case interrupted:
	case unwatched > slowTurn:
		l.lastPoll = began
	default:
		l.since = l.now - unwatched
		l.lastPoll = l.now
	}
}

// EarliestArrival returns the earliest time at which the connection that is being accepted may
// have arrived: it may have waited in the kernel's queue behind others or during a pause.
func (ln *Listener) EarliestArrival() Millis { return ln.waitingSince }
