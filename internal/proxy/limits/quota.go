package limits

const (
	reservedDescriptors = 24      // for the loop, the listener, the discovery stream, logs and the Go runtime
	minDescriptors      = 8       // divided between clients and members even if fewer are left
	clientShare         = 0.55    // of the descriptors not reserved; the others are for members
	minPerMember        = 2       // connections
	memberIdleShare     = 0.8     // of the time after which members close idle connections
	defaultMemberIdle   = 30000   // ms, if that time is unknown
	waitingShare        = 0.3     // of the memory, for waiting bytes
	minWaitingBytes     = 4 << 20 // however small the memory is
	bodyShare           = 0.10    // of the memory, for the bodies of requests in flight
	minBodyBytes        = 2 << 20 // however small the memory is
)

// ConnectionQuota divides the file descriptors of a router between its clients and members.
type ConnectionQuota struct {
	Clients int // connections of clients
	Members int // connections to members
}

// NewConnectionQuota divides descriptors, without those that the router needs for itself.
func NewConnectionQuota(descriptors int) ConnectionQuota {
	shared := max(descriptors-reservedDescriptors, minDescriptors)
	clients := int(float64(shared) * clientShare)
	return ConnectionQuota{Clients: clients, Members: shared - clients}
}

// PerMember returns how many connections the router may open to one of the given number of
// members. Further requests share these, so that many requests to some members leave connections
// for the others.
func (q ConnectionQuota) PerMember(members int) int {
	return max(q.Members/max(members, 1), minPerMember)
}

// WaitingBytes returns how many bytes may wait for clients and members that read slowly, in a
// process with the given memory in bytes.
func WaitingBytes(memory int) int { return max(int(float64(memory)*waitingShare), minWaitingBytes) }

// BodyBytes returns how many bytes the bodies of all requests in flight may have together, in a
// process with the given memory in bytes.
func BodyBytes(memory int) int { return max(int(float64(memory)*bodyShare), minBodyBytes) }

// MemberIdleExpired reports whether a connection to a member that has been unused for idle ms is
// to be closed. The member itself closes it after memberIdle ms; 0 means that this time is
// unknown. The router closes it earlier, so that it sends no request on a connection that the
// member is closing.
func MemberIdleExpired(idle, memberIdle float64) bool {
	if memberIdle <= 0 {
		memberIdle = defaultMemberIdle
	}
	return idle > memberIdleShare*memberIdle
}
