package node

import (
	"fmt"

	"go.uber.org/zap"

	spool "indigospool"
)

// Stats counts what passed, since the start.
type Stats struct {
	Requests, Bad, Served, Same, Refused, Failed, Gone, Attempts uint64
	Outcomes                                                     [int(spool.Miss) + 1]uint64
	Spoilt, Extra, Dials, Accepted, Closed, Events, NoConn       uint64
	Passed                                                       [int(spool.NoMember) + 1]uint64 // by spool.Reason
}

// belief is what the module holds of a member, beside what is out on the sockets.
type belief struct {
	Out     int     `json:"out"` // attempts on the sockets
	Room    float64 `json:"room"`
	Tardy   float64 `json:"tardy"`
	Faults  float64 `json:"faults"`
	Suspect bool    `json:"suspect,omitempty"`
}

// Line logs what passed and what is held, once each span in ms, for as long as it runs.
func (n *Node) Line(span float64) {
	n.core.Explain(func(l spool.Look) { n.stats.Passed[l.Why]++ })
	n.l.Ticker(span, func() {
		s := &n.stats
		m := n.core.Memory().Module
		believed := map[string]belief{}
		for _, k := range m.Members {
			if p := n.pools[k.Member.ID]; p != nil || k.Suspect {
				b := belief{Room: k.Gate.Room, Tardy: k.Gate.Tardy, Faults: k.Faults, Suspect: k.Suspect}
				if p != nil {
					b.Out = p.held
				}
				believed[k.Member.ID] = b
			}
		}
		n.log.Info("second", zap.Uint64("requests", s.Requests), zap.Uint64("bad", s.Bad), zap.Uint64("served", s.Served),
			zap.Uint64("refused", s.Refused), zap.Uint64("failed", s.Failed), zap.Uint64("gone", s.Gone),
			zap.Uint64("attempts", s.Attempts), zap.Uint64s("outcomes", s.Outcomes[:]), zap.Uint64s("passed", s.Passed[:]),
			zap.Uint64("spoilt", s.Spoilt), zap.Uint64("extra", s.Extra), zap.Uint64("dials", s.Dials),
			zap.Uint64("no_conn", s.NoConn), zap.Uint64("accepted", s.Accepted), zap.Uint64("events", s.Events),
			zap.Int("open", len(n.reqs)), zap.Int("clients", len(n.clients)), zap.Int("conns", n.conns),
			zap.Int("pools", len(n.pools)), zap.Int("lent_kb", n.bufs.Used>>10), zap.Int("waiting_kb", n.waiting>>10),
			zap.Float64("lag_ms", n.l.Lag()), zap.String("link", fmt.Sprintf("%+v", m.Link)), zap.String("members", fmt.Sprintf("%+v", believed)))
	})
}
