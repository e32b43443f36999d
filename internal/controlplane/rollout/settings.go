package rollout

import "indigospool/internal/controlplane/configversion"

// Settings configures rollouts. Zero fields are set to the defaults.
type Settings struct {
	// Stages are the stages' shares of the routers, in ascending order. A stage has at least
	// one router. Default 0, 0.1, 1.
	Stages []float64
	// MinStageTime is the minimum time from the last acceptance in a stage to the next stage.
	// Default 30000 ms.
	MinStageTime configversion.Millis
	// AnswerTimeout is how long a stage may take until all its routers but MaxSilentShare
	// have answered; after that the rollout is halted. Default 120000 ms.
	AnswerTimeout configversion.Millis
	// MaxRejectedShare is the share of a stage's routers that may reject the version; above
	// it, the rollout is halted. Default 0: none.
	MaxRejectedShare float64
	// MaxSilentShare is the share of a stage's routers that need not answer. Default 0.05.
	MaxSilentShare float64
	// MaxInTimeDrop is how much the share of requests served in time may drop at routers that
	// run the version, compared with the others; above it, the rollout is halted. Default
	// 0.05.
	MaxInTimeDrop float64
	// ReofferAfter is the time after which a router that rejected the version of all routers
	// is offered it again. Default 60000 ms.
	ReofferAfter configversion.Millis
	// MinRequests is the number of requests that this comparison needs on both sides, before
	// the rollout and since it began. Default 200.
	MinRequests float64
}

// withDefaults returns the settings with defaults for zero fields.
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
