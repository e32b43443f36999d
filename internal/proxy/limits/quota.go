package limits

const (
	reservedDescriptors = 24      // for the loop, the listener, the discovery stream, logs, and what the runtime opens
	minDescriptors      = 8       // that are shared out in any case
	clientShare         = 0.55    // of the shared descriptors; members' connections have the others
	minPerMember        = 2       // connections
	memberIdleShare     = 0.8     // of the time after which members close idle connections
	defaultMemberIdle   = 30000   // ms, where that time is not known
	waitingShare        = 0.3     // of the memory, for waiting bytes
	minWaitingBytes     = 4 << 20 // however small the memory is
)

// ConnectionQuota shares the descriptors of a router that may open few, beside those that it
// needs for itself.
type ConnectionQuota struct {
	Clients int // connections of clients
	Members int // connections to members
}

// NewConnectionQuota shares out so many descriptors.
func NewConnectionQuota(descriptors int) ConnectionQuota {
	shared := max(descriptors-reservedDescriptors, minDescriptors)
	clients := int(float64(shared) * clientShare)
	return ConnectionQuota{Clients: clients, Members: shared - clients}
}

// PerMember is how many connections one of so many members may have before its requests
// share them, so that a flood of requests to some leaves connections for the others.
func (q ConnectionQuota) PerMember(members int) int {
	return max(q.Members/max(members, 1), minPerMember)
}

// WaitingBytes is how many bytes may wait for clients and members that read slowly, in a
// process whose memory is so many bytes.
func WaitingBytes(memory int) int { return max(int(float64(memory)*waitingShare), minWaitingBytes) }

// MemberIdleExpired reports whether a connection to a member that was unused for idle ms is to
// be closed, before the member closes it after memberIdle ms; a memberIdle of 0 is not known.
func MemberIdleExpired(idle, memberIdle float64) bool {
	if memberIdle <= 0 {
		memberIdle = defaultMemberIdle
	}
	return idle > memberIdleShare*memberIdle
}
