package platform

import (
	"go.uber.org/zap"

	spool "indigospool"
)

// Counts are the server's counters since the start.
type Counts struct {
	Requests    uint64 // valid calls of serve
	Invalid     uint64 // malformed messages, calls of unknown methods and invalid calls of serve
	Served      uint64 // requests answered with an object or as not modified
	NotModified uint64 // of these, the requests answered as not modified
	Rejected    uint64 // requests answered with Throttled
	OverMemory  uint64 // calls answered with Throttled because there was no memory for their body
	Failed      uint64 // requests answered with Broken by the router's decision
	Abandoned   uint64 // requests given up by the client, by calling forget or by closing

	Attempts uint64
	Outcomes [int(spool.LocalFailure) + 1]uint64 // finished attempts, by spool.Result
	// PassedOver counts members that the router considered and did not choose, by spool.Reason.
	PassedOver [int(spool.ReasonNoMember) + 1]uint64

	Malformed uint64 // malformed answers from members
	Unmatched uint64 // answers that match no attempt in flight

	Dials        uint64 // dials of members
	NoConnection uint64 // attempts for which there was no connection
	FailedDials  uint64 // of these, the dials that failed at once
	Accepted     uint64 // client connections accepted
	Closed       uint64 // of these, the connections that have been closed
	Events       uint64 // discovery events
}

// LogCounts logs the counters and the numbers in flight every interval ms until the server
// stops. Each line has the router's status of every member that is in use or ejected, with
// the attempts in flight on its connections. docs/operating.md describes the keys.
func (s *Server) LogCounts(interval float64) {
	s.engine.Explain(func(look spool.Candidate) { s.counts.PassedOver[look.Reason]++ })
	s.loop.Ticker(interval, s.logCounts)
}

// memberCounts is the entry of one member in a log line.
type memberCounts struct {
	spool.Status
	Out int `json:"out"` // attempts in flight on the pool's connections
}

func (s *Server) logCounts() {
	counts := &s.counts
	members, link := s.engine.Statuses()
	logged := map[string]memberCounts{}
	for id, status := range members {
		if pool := s.pools[id]; pool != nil {
			logged[id] = memberCounts{status, pool.inFlight}
		} else if status.Ejected || status.InFlight > 0 {
			logged[id] = memberCounts{Status: status}
		}
	}
	s.log.Info("second",
		zap.Uint64("requests", counts.Requests),
		zap.Uint64("bad", counts.Invalid),
		zap.Uint64("served", counts.Served),
		zap.Uint64("same", counts.NotModified),
		zap.Uint64("refused", counts.Rejected),
		zap.Uint64("no_memory", counts.OverMemory),
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
		zap.Int("bodies_kb", s.bodyBytes>>10),
		zap.Float64("lag_ms", s.loop.Lag()),
		zap.Any("link", link),
		zap.Any("members", logged))
}
