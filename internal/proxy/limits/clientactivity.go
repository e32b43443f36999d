package limits

// ClientActivity is what is known of a client's connection. Times are on the caller's clock.
type ClientActivity struct {
	Since    float64 // when it came
	Last     float64 // when it last sent a whole message or was answered
	Half     float64 // when the last bytes of a part of one came; 0: it has sent no part
	Begun    float64 // when that part began
	Shut     float64 // since when nothing more is written to it; 0: it is not shut
	Stuck    float64 // since when it has taken nothing of what waits for it; 0: nothing waits
	Open     int     // its open requests
	Messages int     // whole ones so far
}

// Expired reports whether a connection is to be closed now: it says nothing, says half
// of something, takes no answer, or was not used for long.
func (v *ClientActivity) Expired(now float64) bool {
	switch {
	case v.Shut > 0:
		return now-v.Shut > lingerTimeout
	case v.Half > 0 && (now-v.Half > partTimeout || now-v.Begun > messageTimeout), v.NotReading(now):
		return true
	case v.Open > 0:
		return false
	case v.Messages == 0 && v.Half == 0:
		return now-v.Since > silentTimeout
	}
	return v.Half == 0 && now-v.Last > idleTimeout
}

// NotReading reports whether a connection takes nothing of what waits for it.
func (v *ClientActivity) NotReading(now float64) bool {
	return v.Stuck > 0 && now-v.Stuck > unreadTimeout
}

// ClosesBefore reports whether v goes before w where room is needed for another connection:
// never one with an open request; of the others one that was shut already, then one that
// never spoke, then the one that was longest without use.
func (v *ClientActivity) ClosesBefore(w *ClientActivity) bool {
	switch {
	case v.Open > 0:
		return false
	case w == nil || w.Open > 0:
		return true
	case (v.Shut > 0) != (w.Shut > 0):
		return v.Shut > 0
	case (v.Messages == 0) != (w.Messages == 0):
		return v.Messages == 0
	}
	return max(v.Last, v.Since) < max(w.Last, w.Since)
}

// MemberIdleExpired reports whether an idle connection to a member is closed before the member
// closes it, told that members do so after span; 0: not told.
func MemberIdleExpired(idle, span float64) bool {
	if span <= 0 {
		span = defaultMemberIdle
	}
	return idle > memberIdleShare*span
}
