package platform

import (
	"go.uber.org/zap"

	"indigospool/internal/eventloop"
)

// A router that is told to end may be killed the longest deadline of a class after that,
// and a bit more, so soon where deadlines are short. Clients go on sending on the
// connections they have, until these end. Times are in ms.
const (
	killGrace    = 700.0  // from the longest deadline to the kill
	longestWait  = 3000.0 // what counts of a deadline at most
	drainLeast   = 900.0  // how long clients may still come at least, where deadlines allow it
	drainLeaving = 280.0  // before the kill, connections at rest are being shut
	drainComing  = 610.0  // clients come for 400, and ask for 200 more: none is shut before
	drainMargin  = 120.0  // before the kill, the last answer has been written
	drainLinger  = 40.0   // after that, clients may read it and close
	drainRest    = 20.0   // without a message or an answer, after which a connection is at rest
	drainStep    = 10.0   // between looks
)

// drain begins to end: what there is and what still comes is finished.
func (n *Server) drain() {
	longest := 0.0
	for _, class := range n.classes {
		longest = max(longest, class.Deadline)
	}
	n.drained = n.l.Now()
	kill := n.drained + min(longest, longestWait) + killGrace
	n.goneBy = kill - drainMargin
	n.leaveAt = min(n.drained+drainLeast, max(kill-drainLeaving, n.drained+drainComing), n.goneBy)
	n.log.Info("draining", zap.Int("open", len(n.reqs)), zap.Float64("within", n.goneBy-n.drained))
	n.l.Ticker(drainStep, n.leave)
}

// leave ends a router that has drained: who has connected meanwhile is still taken, those
// at rest are shut and read until they close, and it stops once nobody is left, or there is
// no more time. Requests that come shortly before are taken with what time there is.
func (n *Server) leave() {
	now := n.l.Now()
	if now < n.leaveAt {
		return
	}
	n.listener.close()
	last := now >= n.goneBy
	for c := range n.clients {
		if c.v.Shut > 0 {
			continue
		}
		if last { // what has come by now is answered
			c.receive()
			c.begin()
		}
		atRest := c.in.Len() == 0 && now-c.v.Last > drainRest // one that has just been answered may ask again
		if !c.closed && !c.owes() && (last || atRest) && eventloop.Quiet(c.fd) {
			c.shut()
		}
	}
	if len(n.clients) == 0 && len(n.reqs) == 0 || now > n.goneBy+drainLinger {
		n.l.Stop()
	}
}
