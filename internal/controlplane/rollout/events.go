package rollout

import "indigospool/internal/controlplane/configversion"

// Events, which Rollout.Handle takes.
type (
	// Push begins the rollout of a body. Force takes it to all routers at once.
	Push struct {
		Body  []byte
		Force bool
	}
	// Connected says that a router's stream has begun, and which version it runs.
	Connected struct {
		Router  string
		Running int64
	}
	// Disconnected says that a router's stream has ended.
	Disconnected struct{ Router string }
	// Acked says that a router has accepted a version.
	Acked struct {
		Router string
		Number int64
	}
	// Nacked says that a router has rejected a version, and why.
	Nacked struct {
		Router  string
		Number  int64
		Reasons []string
	}
	// LoadReport is how many requests a router had since its last report, and how
	// many of them it served in time.
	LoadReport struct {
		Router           string
		InTime, Requests float64
	}
	// Halt stops the rollout under way by hand, if there is one.
	Halt struct{ Reason string }
	// Tick says that time has passed.
	Tick struct{}
)

// Actions, which Rollout.Handle wants done.
type (
	// Offer sends a version to a router that has a stream.
	Offer struct {
		Router  string
		Version configversion.Version
	}
	// Halted says that a rollout was stopped, and why. The old content follows
	// under a new number.
	Halted struct {
		Number int64
		Reason string
	}
	// StageStarted says that a stage, counted from 0, has begun with so many routers.
	StageStarted struct {
		Number  int64
		Stage   int
		Routers int
	}
	// NumberAhead says that a router has accepted a number that this service never
	// gave, as after a state was lost: later numbers are above it.
	NumberAhead struct {
		Router string
		Number int64
	}
	// Completed says that a version is what all routers are offered.
	Completed struct{ Number int64 }
	// Persist asks for the state to be put on disk before any Offer after it is sent.
	Persist struct{ State State }
)
