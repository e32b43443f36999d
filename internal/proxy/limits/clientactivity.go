package limits

// After these times, in ms, a client's connection is closed.
const (
	silentTimeout  = 2200 // it has not sent a whole message yet
	partialTimeout = 2200 // a message has begun, and no more bytes of it come
	messageTimeout = 8000 // a message has begun, and is still incomplete although bytes come
	idleTimeout    = 6000 // it has no open request: clients close theirs earlier
	unreadTimeout  = 2500 // it reads nothing of an answer
	lingerTimeout  = 1000 // it was shut down, and its client does not close it
)

// ClientActivity is what is known of a client's connection. Times are on the caller's clock,
// in milliseconds.
type ClientActivity struct {
	AcceptedAt   float64 // when it was accepted
	LastUsed     float64 // when it last sent a whole message or was answered
	LastPartial  float64 // when the last bytes of an incomplete message came; 0: there is none
	PartialBegan float64 // when that message began
	ShutdownAt   float64 // since when nothing more is written to it; 0: it is not shut down
	StalledSince float64 // since when it has read nothing of what waits for it; 0: nothing waits
	OpenRequests int     // its open requests
	Messages     int     // whole messages so far
}

// Expired reports whether a connection is to be closed now: it sends nothing or half a
// message, does not read its answer, or was not used for long.
func (c *ClientActivity) Expired(now float64) bool {
	switch {
	case c.ShutdownAt > 0:
		return now-c.ShutdownAt > lingerTimeout
	case c.messageOverdue(now), c.NotReading(now):
		return true
	case c.OpenRequests > 0:
		return false
	case c.Messages == 0 && c.LastPartial == 0:
		return now-c.AcceptedAt > silentTimeout
	}
	return c.LastPartial == 0 && now-c.LastUsed > idleTimeout
}

// messageOverdue reports whether an incomplete message takes too long.
func (c *ClientActivity) messageOverdue(now float64) bool {
	return c.LastPartial > 0 && (now-c.LastPartial > partialTimeout || now-c.PartialBegan > messageTimeout)
}

// NotReading reports whether a connection reads nothing of what waits for it.
func (c *ClientActivity) NotReading(now float64) bool {
	return c.StalledSince > 0 && now-c.StalledSince > unreadTimeout
}

// ClosesBefore reports whether c is closed before other where a descriptor is needed for
// another connection: never one with an open request; of the others one that is shut down
// already, then one that never sent a message, then the one that was unused for longest. A
// nil other stands for none.
func (c *ClientActivity) ClosesBefore(other *ClientActivity) bool {
	switch {
	case c.OpenRequests > 0:
		return false
	case other == nil || other.OpenRequests > 0:
		return true
	case (c.ShutdownAt > 0) != (other.ShutdownAt > 0):
		return c.ShutdownAt > 0
	case (c.Messages == 0) != (other.Messages == 0):
		return c.Messages == 0
	}
	return max(c.LastUsed, c.AcceptedAt) < max(other.LastUsed, other.AcceptedAt)
}
