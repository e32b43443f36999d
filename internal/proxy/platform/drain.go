package platform

import (
	"go.uber.org/zap"

	"indigospool/internal/eventloop"
)

// A router that is told to end may be killed the longest deadline of a class after that,
// and a bit more, so soon where deadlines are short. Clients go on sending on the
// connections they have, until these end. Times are in ms.
const (
	killDelay        = 700.0  // from the longest deadline to the kill
	maxDrainDeadline = 3000.0 // what counts of a deadline at most
	drainIdleAfter   = 900.0  // how long clients may still come at least, where deadlines allow it
	drainClosing     = 280.0  // before the kill, connections at rest are being shut
	drainEarliest    = 610.0  // clients come for 400, and ask for 200 more: none is shut before
	drainMargin      = 120.0  // before the kill, the last answer has been written
	drainLinger      = 40.0   // after that, clients may read it and close
	drainIdle        = 20.0   // without a message or an answer, after which a connection is at rest
	drainInterval    = 10.0   // between looks
)

// drain begins to end: what there is and what still comes is finished.
func (s *Server) drain() {
	longest := 0.0
	for _, class := range s.classes {
		longest = max(longest, class.Deadline)
	}
	s.drainStarted = s.loop.Now()
	kill := s.drainStarted + min(longest, maxDrainDeadline) + killDelay
	s.lastAnswerBy = kill - drainMargin
	s.closeIdleFrom = min(s.drainStarted+drainIdleAfter, max(kill-drainClosing, s.drainStarted+drainEarliest), s.lastAnswerBy)
	s.log.Info("draining", zap.Int("open", len(s.requests)), zap.Float64("within", s.lastAnswerBy-s.drainStarted))
	s.loop.Ticker(drainInterval, s.drainTick)
}

// leave ends a router that has drained: who has connected meanwhile is still taken, those
// at rest are shut and read until they close, and it stops once nobody is left, or there is
// no more time. Requests that come shortly before are taken with what time there is.
func (s *Server) drainTick() {
	now := s.loop.Now()
	if now < s.closeIdleFrom {
		return
	}
	s.listener.close()
	final := now >= s.lastAnswerBy
	for client := range s.clients {
		if client.activity.Shut > 0 {
			continue
		}
		if final { // what has come by now is answered
			client.receive()
			client.startPending()
		}
		atRest := client.input.Len() == 0 && now-client.activity.Last > drainIdle // one that has just been answered may ask again
		if !client.closed && !client.owesAnswer() && (final || atRest) && eventloop.Quiet(client.fd) {
			client.shutdownWrite()
		}
	}
	if len(s.clients) == 0 && len(s.requests) == 0 || now > s.lastAnswerBy+drainLinger {
		s.loop.Stop()
	}
}

// Drain has the router finish what it has and what still comes, and then end. It may be
// called from any goroutine.
func (s *Server) Drain() {
	s.loop.Post(func() {
		if s.drainStarted == 0 {
			s.drain()
		}
	})
}
