package limits

// Cause says why a connection was cut, or a request rejected or shed.
type Cause uint8

// The causes.
const (
	None           Cause = iota
	SlowHead             // a request's head came too slowly
	SlowBody             // a request's body came too slowly
	SlowReader           // a client read its answer too slowly
	SlowMember           // a member sent its answer too slowly
	Overload             // as many requests are in flight as the router can serve now
	RetryLimit           // too many retries, of this client or of all
	Memory               // the memory budget is used up
	PerAddress           // as many connections of one client address as allowed
	Descriptors          // as many connections as there are descriptors for
	PoorReputation       // its address has wasted the capacity that it had
	numCauses
)

// causeNames stand in logs and counters, which pages name: they do not follow the constants.
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
