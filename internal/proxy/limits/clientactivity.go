package limits

// Timeouts after which a client's connection is closed, in ms.
const (
	firstMessageTimeout = 2200 // from accept until the first message begins
	partialTimeout      = 2200 // since the last bytes of an incomplete message
	messageTimeout      = 8000 // from the first byte of a message to its last
	idleTimeout         = 6000 // without an open request; longer than clients keep idle connections, so that they close first
	unreadTimeout       = 2500 // during which the client reads none of the bytes that wait for it
	lingerTimeout       = 1000 // from shutdown until the client closes its side
)

// ClientActivity describes the state of a client's connection. A message is any call that the
// client sends: a request, the cancellation of one, or a health check. An open request is one that
// has not been answered. Times are on the caller's clock, in milliseconds.
type ClientActivity struct {
	AcceptedAt   float64
	LastUsed     float64 // when the last whole message was read or the last answer was passed on to be written
	LastPartial  float64 // when the last bytes of an incomplete message came; 0: there is none
	PartialBegan float64 // when the first bytes of that message came
	ShutdownAt   float64 // when the write side was shut down; 0: it is open
	StalledSince float64 // since when answer bytes wait and none of them could be written; 0: none wait
	OpenRequests int
	Messages     int // whole messages so far
}

// Expired reports whether the connection is to be closed because one of the timeouts is over. After
// the shutdown only lingerTimeout applies. firstMessageTimeout and idleTimeout don't apply while
// requests are open.
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

// messageOverdue reports whether an incomplete message has received no bytes for longer than
// partialTimeout, or is still incomplete after messageTimeout.
func (c *ClientActivity) messageOverdue(now float64) bool {
	return c.LastPartial > 0 && (now-c.LastPartial > partialTimeout || now-c.PartialBegan > messageTimeout)
}

// NotReading reports whether answer bytes wait for the client and it has read none of them for
// longer than unreadTimeout.
func (c *ClientActivity) NotReading(now float64) bool {
	return c.StalledSince > 0 && now-c.StalledSince > unreadTimeout
}

// ClosesBefore reports whether c comes before other in the order in which connections are closed
// to free descriptors for new ones: first those that are shut down, then those that never sent a
// message, then the others, the longest unused first. Connections with open requests are never
// closed for this. If other is nil, ClosesBefore reports whether c has no open requests.
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
