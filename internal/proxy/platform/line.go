package platform

import (
	"go.uber.org/zap"

	spool "indigospool"
)

// Counts says what passed, since the start.
type Counts struct {
	Requests, Invalid, Served, NotModified, Rejected, Failed, Abandoned, Attempts uint64
	Outcomes                                                                      [int(spool.LocalFailure) + 1]uint64
	Malformed, Unmatched, Dials, Accepted, Closed, Events                         uint64
	NoConnection, FailedDials                                                     uint64                          // no connection for an attempt; none could be begun
	PassedOver                                                                    [int(spool.NoMember) + 1]uint64 // by spool.Reason
}

// LogCounts logs what passed and what is held, once each span in ms, for as long as it runs:
// the module's belief of each member that has something, beside what is out on the sockets.
func (n *Server) LogCounts(span float64) {
	n.core.Explain(func(l spool.Look) { n.stats.PassedOver[l.Why]++ })
	n.l.Ticker(span, func() {
		s := &n.stats
		members, link := n.core.Beliefs()
		type row struct {
			spool.Belief
			Out int `json:"out"`
		}
		believed := map[string]row{}
		for id, b := range members {
			p := n.pools[id]
			if r := (row{Belief: b}); p != nil {
				r.Out = p.held
				believed[id] = r
			} else if b.Suspect || b.Held > 0 {
				believed[id] = r
			}
		}
		n.log.Info("second", zap.Uint64("requests", s.Requests), zap.Uint64("bad", s.Invalid), zap.Uint64("served", s.Served),
			zap.Uint64("same", s.NotModified), zap.Uint64("refused", s.Rejected), zap.Uint64("failed", s.Failed),
			zap.Uint64("gone", s.Abandoned), zap.Uint64("attempts", s.Attempts), zap.Uint64s("outcomes", s.Outcomes[:]),
			zap.Uint64s("passed", s.PassedOver[:]), zap.Uint64("spoilt", s.Malformed), zap.Uint64("extra", s.Unmatched),
			zap.Uint64("dials", s.Dials), zap.Uint64("no_conn", s.NoConnection), zap.Uint64("no_dial", s.FailedDials), zap.Uint64("accepted", s.Accepted),
			zap.Uint64("closed", s.Closed), zap.Uint64("events", s.Events), zap.Int("open", len(n.reqs)),
			zap.Int("clients", len(n.clients)), zap.Int("conns", n.conns), zap.Int("pools", len(n.pools)),
			zap.Int("lent_kb", n.bufs.Used>>10), zap.Int("waiting_kb", n.waiting>>10),
			zap.Float64("lag_ms", n.l.Lag()), zap.Any("link", link), zap.Any("members", believed))
	})
}
