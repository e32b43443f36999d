package rollout

import "indigospool/internal/controlplane/configversion"

// Events, the input of Rollout.Handle.
type (
	// Push starts the rollout of a body. With Force it goes to all routers at once.
	Push struct {
		Body  []byte
		Force bool
	}
	// Connected reports that a router's stream has begun, and which version the router
	// runs.
	Connected struct {
		Router  string
		Running int64
	}
	// Disconnected reports that a router's stream has ended.
	Disconnected struct{ Router string }
	// Acked reports that a router accepted a version.
	Acked struct {
		Router string
		Number int64
	}
	// Nacked reports that a router rejected a version, and why.
	Nacked struct {
		Router  string
		Number  int64
		Reasons []string
	}
	// LoadReport has the number of requests at a router since its last report, and how
	// many of them were served in time.
	LoadReport struct {
		Router           string
		InTime, Requests float64
	}
	// Halt stops the rollout in progress, if there is one, on behalf of an operator.
	Halt struct{ Reason string }
	// Tick reports that time has passed.
	Tick struct{}
)

// Actions, the output of Rollout.Handle.
type (
	// Offer sends a version to a connected router.
	Offer struct {
		Router  string
		Version configversion.Version
	}
	// Halted reports that a rollout was stopped, and why. The old content follows under
	// a new number.
	Halted struct {
		Number int64
		Reason string
	}
	// StageStarted reports that a stage, counted from 0, has begun, with its number of
	// routers.
	StageStarted struct {
		Number  int64
		Stage   int
		Routers int
	}
	// NumberAhead reports that a router has accepted a number that this service never
	// assigned, for example because the service lost its state. Later numbers are
	// higher.
	NumberAhead struct {
		Router string
		Number int64
	}
	// Completed reports that a version is now offered to all routers.
	Completed struct{ Number int64 }
	// Persist writes the state to disk. Offers that follow must wait until it is there.
	Persist struct{ State State }
)
