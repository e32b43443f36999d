package limits

// Timeouts after which a client's connection is closed, in ms.
const (
	firstMessageTimeout = 2200 // from accept until the first message begins
	partialTimeout      = 2200 // without further bytes of an incomplete message
	messageTimeout      = 8000 // from the beginning of a message to its end
	idleTimeout         = 6000 // without an open request; clients close idle connections earlier
	unreadTimeout       = 2500 // during which the client reads nothing of an answer
	lingerTimeout       = 1000 // from shutdown until the client closes its side
)

// ClientActivity describes the state of a client's connection. Times are on the caller's clock,
// in milliseconds.
type ClientActivity struct {
	AcceptedAt   float64
	LastUsed     float64 // when the last whole message came or the last answer was written
	LastPartial  float64 // when the last bytes of an incomplete message came; 0: there is none
	PartialBegan float64 // when that message began
	ShutdownAt   float64 // when the write side was shut down; 0: it is open
	StalledSince float64 // since when the client has read none of the bytes waiting for it; 0: none wait
	OpenRequests int
	Messages     int // whole messages so far
}

// Expired reports whether the connection is to be closed because one of the timeouts is over.
func (c *ClientActivity) Expired(now float64) bool {
	switch {
	case c.ShutdownAt > 0:
		return now-c.ShutdownAt > lingerTimeout
	case c.messageOverdue(now), c.NotReading(now):
		return true
	case c.OpenRequests > 0:
		return false
	case c.Messages == 0 && c.LastPartial == 0:
		return now-c.AcceptedAt > firstMessageTimeout
	}
	return c.LastPartial == 0 && now-c.LastUsed > idleTimeout
}

// messageOverdue reports whether an incomplete message has taken too long.
func (c *ClientActivity) messageOverdue(now float64) bool {
	return c.LastPartial > 0 && (now-c.LastPartial > partialTimeout || now-c.PartialBegan > messageTimeout)
}

// NotReading reports whether the client has read nothing of a waiting answer for too long.
func (c *ClientActivity) NotReading(now float64) bool {
	return c.StalledSince > 0 && now-c.StalledSince > unreadTimeout
}

// ClosesBefore reports whether c is closed rather than other to free a descriptor for a new
// connection. Connections with open requests are never closed for that; those that are shut
// down come first, then those that never sent a message, then the longest unused. If other is
// nil, c is closed unless it has open requests.
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
