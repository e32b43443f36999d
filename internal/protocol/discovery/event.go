package discovery

// Kind is the kind of an event.
type Kind uint8

// The kinds of events.
const (
	Purge    Kind = iota // purge of an object or a group
	Snapshot             // complete endpoint list; endpoints that are not in it are removed
	Delta                // changes of the endpoint list
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Purge:
		return "purge"
	case Snapshot:
		return "snapshot"
	case Delta:
		return "delta"
	}
	return "unknown"
}

// State is the state of an endpoint.
type State uint8

// The states of an endpoint, with their numbers in frames.
const (
	Ready State = iota
	Draining
	Removed
)

// String returns the name of the state in a configuration.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Removed:
		return "gone"
	}
	return "unknown"
}

// parseState returns the state with a name, and false if there is none.
func parseState(name string) (state State, ok bool) {
	for state = Ready; state <= Removed; state++ {
		if state.String() == name {
			return state, true
		}
	}
	return 0, false
}

// Endpoint is one cache, parent or origin.
type Endpoint struct {
	ID        string
	Address   string // address and port
	Zone      string
	Kind      string
	Cell      int // the group of endpoints that it belongs to
	State     State
	Weight    float64
	StartedAt int64 // start time in Unix ms; 0 if it started long ago
}

// Event is a numbered event.
type Event struct {
	Number    uint64
	Kind      Kind
	Endpoints []Endpoint // for Snapshot and Delta
	Object    string     // for Purge: key of the object; empty if a group is purged
	Group     int        // for Purge without an object
	PurgedAt  int64      // for Purge, in Unix ms
}
