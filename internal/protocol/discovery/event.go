package discovery

// Kind is what an event is about.
type Kind uint8

// The kinds of an event.
const (
	Purge    Kind = iota // of an object or of a group
	Snapshot             // the complete endpoint list: endpoints that it lacks are removed
	Delta                // changes of the endpoint list
)

// String returns the kind in a word.
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

// The states of an endpoint, as frames number them.
const (
	Ready State = iota
	Draining
	Removed
)

// String returns the state's name in a configuration.
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

// parseState is the state with a name; false: there is none.
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
	Address   string // with a port
	Zone      string
	Kind      string
	Cell      int // the group that it belongs to
	State     State
	Weight    float64
	StartedAt int64 // Unix ms of a late start; 0: it has run for long
}

// Event is one numbered event.
type Event struct {
	Number    uint64
	Kind      Kind
	Endpoints []Endpoint // of a Snapshot or a Delta
	Object    string     // of a Purge: its key; "": the group is purged
	Group     int        // of a Purge without an object
	PurgedAt  int64      // of a Purge, in Unix ms
}
