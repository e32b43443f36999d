package rollout

import "indigospool/internal/controlplane/configversion"

// Settings are how a service brings a version to its routers. Zero
// fields mean the defaults.
type Settings struct {
	// Stages are shares of the routers, in rising order; a share too small for one router
	// means one. Default 0, 0.1, 1.
	Stages []float64
	// MinStageTime is how long a stage lasts at least after its last router has accepted.
	// Default 30000 ms.
	MinStageTime configversion.Millis
	// AnswerTimeout is how long after its begin a stage is halted when more routers than
	// MaxSilentShare have not answered. Default 120000 ms.
	AnswerTimeout configversion.Millis
	// MaxRejectedShare is the share of a stage's routers that may reject the version; it is
	// halted above that. Default 0: none.
	MaxRejectedShare float64
	// MaxSilentShare is the share of a stage's routers that may stay without an answer.
	// Default 0.05.
	MaxSilentShare float64
	// MaxInTimeDrop is by how much the share of requests served in time may fall at
	// routers that run the version, against the others; it is halted above that.
	// Default 0.05.
	MaxInTimeDrop float64
	// ReofferAfter is when a router that rejected what all routers run is offered it again.
	// Default 60000 ms.
	ReofferAfter configversion.Millis
	// MinRequests is how many requests such a comparison needs on either side, before the
	// rollout and since. Default 200.
	MinRequests float64
}

// withDefaults has the defaults in place of zero fields.
func (s Settings) withDefaults() Settings {
	if len(s.Stages) == 0 {
		s.Stages = []float64{0, 0.1, 1}
	}
	if s.MinStageTime <= 0 {
		s.MinStageTime = 30000
	}
	if s.AnswerTimeout <= 0 {
		s.AnswerTimeout = 120000
	}
	if s.MaxSilentShare <= 0 {
		s.MaxSilentShare = 0.05
	}
	if s.MaxInTimeDrop <= 0 {
		s.MaxInTimeDrop = 0.05
	}
	if s.ReofferAfter <= 0 {
		s.ReofferAfter = 60000
	}
	if s.MinRequests <= 0 {
		s.MinRequests = 200
	}
	return s
}
