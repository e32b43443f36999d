package eventloop

// EarliestArrival is the earliest time at which the events of the present turn may have happened: the
// arrival of bytes, of an end or of a connection. A descriptor that the previous poll did not
// report became ready after that poll, which may be long ago if the turn between took long; if
// the loop was waiting, it became ready now.
//
// It holds for a descriptor only if the previous turn left nothing to be read on it.
func (l *Loop) EarliestArrival() Millis { return l.since }

// pollTimeout is how long the next poll may wait, in ms; -1 is without limit. After a slow
// turn it does not wait, so that events of that turn are told apart from those that happen
// while the loop waits.
func (l *Loop) pollTimeout(wait int, began Millis) int {
	if began-l.lastPoll > slowTurn {
		return 0
	}
	return wait
}

// recordPoll sets the times that Since is computed from, after a poll that began at began. An
// interrupted poll has looked at nothing: the process may have been stopped meanwhile.
func (l *Loop) recordPoll(began Millis, interrupted bool) {
	unwatched := began - l.lastPoll // time between two polls
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

// EarliestArrival is the earliest time at which the connection that is being accepted may have arrived:
// it may have waited while accepting was paused, or behind others.
func (ln *Listener) EarliestArrival() Millis { return ln.waitingSince }
