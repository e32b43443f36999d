package discovery

// Endpoint is one cache, parent or origin as told.
type Endpoint struct {
	ID, Address, Zone, Kind string
	Cell                    int
	State                   string // ready, draining or gone
	Weight                  float64
	StartedAt               int64 // Unix ms of its late start; 0: long ago
}

// Event is one numbered event: rows of the list, or a purge of an object or, without
// one, of a group.
type Event struct {
	Number    uint64
	Listed    bool // it is about the list
	Full      bool // the whole of it
	Endpoints []Endpoint
	Object    string
	Group     int
	PurgedAt  int64 // Unix ms of the purge
}
