package limits

// Cause is the reason why a connection was closed, or a request rejected or shed.
type Cause uint8

// The causes.
const (
	None           Cause = iota
	SlowHead             // a request's head came too slowly
	SlowBody             // a request's body came too slowly
	SlowReader           // a client read its answer too slowly
	SlowMember           // a member sent its answer too slowly
	Overload             // as many requests are in flight as the router can serve now
	RetryLimit           // too many retries, by this client address or by all clients
	Memory               // the memory budget is used up
	PerAddress           // too many connections of one client address
	Descriptors          // no file descriptor is left for another connection
	PoorReputation       // the client address has wasted the capacity given to it
	numCauses
)

// causeNames are used in logs and counters, and documented there: they stay if the constants are
// renamed.
var causeNames = [numCauses]string{
	None:           "none",
	SlowHead:       "slow-head",
	SlowBody:       "slow-body",
	SlowReader:     "slow-reader",
	SlowMember:     "slow-member",
	Overload:       "overload",
	RetryLimit:     "repeats",
	Memory:         "memory",
	PerAddress:     "per-address",
	Descriptors:    "descriptors",
	PoorReputation: "standing",
}

// String returns the cause's name in logs and counters.
func (c Cause) String() string { return causeNames[c] }

// Counts counts events by cause.
type Counts [numCauses]uint64

// Map returns the counts that are not zero, by the names of their causes.
func (c *Counts) Map() map[string]uint64 {
	byName := map[string]uint64{}
	for cause, n := range c {
		if n > 0 {
			byName[Cause(cause).String()] = n
		}
	}
	return byName
}
