package platform

import (
	"go.uber.org/zap"

	spool "indigospool"
)

// Counts is what has passed since the start.
type Counts struct {
	Requests    uint64 // valid calls of serve
	Invalid     uint64 // malformed messages, and calls of serve that cannot be used
	Served      uint64 // answered with an object, or that the client's copy is current
	NotModified uint64 // of these, the ones whose copy is current
	Rejected    uint64 // answered Throttled
	Failed      uint64 // answered Broken by the router's decision
	Abandoned   uint64 // given up by the client, by forget or by closing

	Attempts uint64
	Outcomes [int(spool.LocalFailure) + 1]uint64 // of attempts, by spool.Result
	// PassedOver counts members that were looked at and not chosen, by spool.Reason.
	PassedOver [int(spool.NoMember) + 1]uint64

	Malformed uint64 // answers that cannot be used
	Unmatched uint64 // answers to no attempt that is in flight

	Dials        uint64 // connections to members that were begun, or tried to
	NoConnection uint64 // attempts for which there was no connection
	FailedDials  uint64 // connections that could not be begun
	Accepted     uint64 // clients' connections
	Closed       uint64 // of these, the ones that have ended
	Events       uint64 // discovery events
}

// LogCounts logs what has passed since the start and what is in flight, once each interval
// (in ms) until the server stops: what the router has recorded for each member that has
// something, beside the attempts in flight on the sockets. docs/operating.md names the keys.
func (s *Server) LogCounts(interval float64) {
	s.engine.Explain(func(look spool.Candidate) { s.counts.PassedOver[look.Reason]++ })
	s.loop.Ticker(interval, s.logCounts)
}

// memberCounts is one member in the line of counts.
type memberCounts struct {
	spool.Status
	Out int `json:"out"` // attempts in flight
}

func (s *Server) logCounts() {
	counts := &s.counts
	members, link := s.engine.Statuses()
	logged := map[string]memberCounts{}
	for id, belief := range members {
		if pool := s.pools[id]; pool != nil {
			logged[id] = memberCounts{belief, pool.inFlight}
		} else if belief.Ejected || belief.InFlight > 0 {
			logged[id] = memberCounts{Status: belief}
		}
	}
	s.log.Info("second",
		zap.Uint64("requests", counts.Requests),
		zap.Uint64("bad", counts.Invalid),
		zap.Uint64("served", counts.Served),
		zap.Uint64("same", counts.NotModified),
		zap.Uint64("refused", counts.Rejected),
		zap.Uint64("failed", counts.Failed),
		zap.Uint64("gone", counts.Abandoned),
		zap.Uint64("attempts", counts.Attempts),
		zap.Uint64s("outcomes", counts.Outcomes[:]),
		zap.Uint64s("passed", counts.PassedOver[:]),
		zap.Uint64("spoilt", counts.Malformed),
		zap.Uint64("extra", counts.Unmatched),
		zap.Uint64("dials", counts.Dials),
		zap.Uint64("no_conn", counts.NoConnection),
		zap.Uint64("no_dial", counts.FailedDials),
		zap.Uint64("accepted", counts.Accepted),
		zap.Uint64("closed", counts.Closed),
		zap.Uint64("events", counts.Events),
		zap.Int("open", len(s.requests)),
		zap.Int("clients", len(s.clients)),
		zap.Int("conns", s.memberConnections),
		zap.Int("pools", len(s.pools)),
		zap.Int("lent_kb", s.buffers.Used>>10),
		zap.Int("waiting_kb", s.unsentBytes>>10),
		zap.Float64("lag_ms", s.loop.Lag()),
		zap.Any("link", link),
		zap.Any("members", logged))
}
