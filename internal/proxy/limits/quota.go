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
