package limits

// Cause says why something was cut, refused or shed. The words stand in logs and
// counters.
type Cause uint8

// The causes.
const (
	None           Cause = iota
	SlowHead             // a request's head came too slowly
	SlowBody             // a request's body did
	SlowReader           // a client took its answer too slowly
	SlowMember           // a member sent its answer too slowly
	Overload             // as many requests in hand as the router bears now
	RetryLimit           // too many repeats, of this client or of all
	Memory               // the memory budget's edge
	PerAddress           // as many connections of one client address as may be
	Descriptors          // as many connections as there are descriptors for
	PoorReputation       // its address has wasted the places that it had
	causes
)

var causeNames = [causes]string{"none", "slow-head", "slow-body", "slow-reader", "slow-member", "overload", "repeats", "memory", "per-address", "descriptors", "standing"}

func (c Cause) String() string { return causeNames[c] }

// Counts counts by cause.
type Counts [causes]uint64

// Map is the counts that are not zero, by their words.
func (c *Counts) Map() map[string]uint64 {
	out := map[string]uint64{}
	for i, n := range c {
		if n > 0 {
			out[causeNames[i]] = n
		}
	}
	return out
}
