package limits

// ConnectionQuota shares the descriptors of a router that may hold few: so many for clients'
// connections, so many for those to members, and some kept back for what else a
// process needs. The spans are in milliseconds.
type ConnectionQuota struct{ Clients, Members int }

const (
	reservedDescriptors = 24   // the loop, the listener, the feed, logs, and what the runtime opens
	clientShare         = 0.55 // of the others; what is left goes to members
	silentTimeout       = 2200 // a connection that has not sent a whole message
	partTimeout         = 2200 // a message that has begun, and of which nothing more comes
	messageTimeout      = 8000 // a message that has begun and comes by and by
	idleTimeout         = 6000 // a connection without an open request: clients close theirs earlier
	unreadTimeout       = 2500 // an answer of which nothing is taken
	lingerTimeout       = 1000 // a connection that was shut, and that its client does not close
	memberIdleShare     = 0.8  // of the time after which members close idle connections
	defaultMemberIdle   = 30000
	waitingShare        = 0.3 // of the memory that waiting bytes may take
	minWaitingBytes     = 4 << 20
)

// NewConnectionQuota shares out so many descriptors.
func NewConnectionQuota(descriptors int) ConnectionQuota {
	n := max(descriptors-reservedDescriptors, 8)
	c := int(float64(n) * clientShare)
	return ConnectionQuota{Clients: c, Members: n - c}
}

// PerMember is how many connections one of so many members may have before its requests
// share them: a flood to some leaves room for the others.
func (p ConnectionQuota) PerMember(members int) int { return max(p.Members/max(members, 1), 2) }

// WaitingBytes is how much may wait for clients and members that read slowly, of a
// memory of so many bytes.
func WaitingBytes(memory int) int { return max(int(float64(memory)*waitingShare), minWaitingBytes) }

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
