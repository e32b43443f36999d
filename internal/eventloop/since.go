package eventloop

// Since is the earliest moment at which what the present turn tells of may have come: bytes,
// an end, a connection. A descriptor that the poll before did not tell of became ready after
// that poll, which may be long ago where the turn between took long; where the loop was
// waiting, it became ready now.
//
// It holds for a descriptor only if the turn before left nothing to be read on it.
func (l *Loop) Since() Millis { return l.since }

// pollTimeout is how long the next poll may wait. After a long turn it does not, so that what
// has come in that turn is told from what comes while the loop waits.
func (l *Loop) pollTimeout(wait int, began Millis) int {
	if began-l.lastPoll > slowTurn {
		return 0
	}
	return wait
}

// notePoll sets the moments that Since goes by, after a poll that began at began. One that
// was interrupted has looked at nothing: the process may have been stopped meanwhile.
func (l *Loop) notePoll(began Millis, interrupted bool) {
	unwatched := began - l.lastPoll // between two looks
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

// Since is the earliest moment at which the connection that is being taken may have come:
// it may have waited while accepting was paused, or behind others.
func (ln *Listener) Since() Millis { return ln.waitingSince }
