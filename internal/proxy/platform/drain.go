package platform

import (
	"go.uber.org/zap"

	"indigospool/internal/eventloop"
)

// After SIGTERM the platform may kill a router the longest deadline of a class and a bit
// more later, which is soon where deadlines are short. Clients go on sending on the
// connections they have, until these end. Times are in ms.
const (
	killGracePeriod     = 700.0  // from the longest deadline to the kill
	maxDrainDeadline    = 3000.0 // what counts of a deadline at most
	idleCloseDelay      = 900.0  // for which clients may still come at least, where deadlines allow it
	idleCloseBeforeKill = 280.0  // before the kill, from when on connections at rest are closed
	minIdleCloseDelay   = 610.0  // no connection is closed before: clients come for 400, and ask for 200 more
	answerMargin        = 120.0  // before the kill, by when the last answer has been written
	drainLinger         = 40.0   // after that, for which clients may read it and close
	drainIdleTime       = 20.0   // without a message or an answer, after which a connection is at rest
	drainTickInterval   = 10.0   // between looks
)

// Drain has the server finish the requests in flight and those that still come, and then
// stop. It may be called from any goroutine; a second call changes nothing.
func (s *Server) Drain() {
	s.loop.Post(func() {
		if s.drainStarted == 0 {
			s.drain()
		}
	})
}

// drain sets the times of the drain, and begins it.
func (s *Server) drain() {
	longest := 0.0
	for _, class := range s.classes {
		longest = max(longest, class.Deadline)
	}
	s.drainStarted = s.loop.Now()
	kill := s.drainStarted + min(longest, maxDrainDeadline) + killGracePeriod
	s.lastAnswerBy = kill - answerMargin
	latestIdleClose := max(kill-idleCloseBeforeKill, s.drainStarted+minIdleCloseDelay)
	s.closeIdleFrom = min(s.drainStarted+idleCloseDelay, latestIdleClose, s.lastAnswerBy)
	s.log.Info("draining", zap.Int("open", len(s.requests)), zap.Float64("within", s.lastAnswerBy-s.drainStarted))
	s.loop.Ticker(drainTickInterval, s.drainTick)
}

// drainTick goes on with a drain. Connections that wait in the listener's queue are still
// accepted; those at rest are shut down and read until their clients close. The server stops
// once no client is left, or when there is no more time. A request that comes shortly before
// gets what time there is.
func (s *Server) drainTick() {
	now := s.loop.Now()
	if now < s.closeIdleFrom {
		return
	}
	s.listener.close()
	final := now >= s.lastAnswerBy
	if final {
		s.answerInFlight()
	}
	for c := range s.clients {
		if c.activity.ShutdownAt > 0 {
			continue
		}
		if final { // what has come by now is answered
			c.receive()
			c.startPending()
		}
		idle := c.input.Len() == 0 && now-c.activity.LastUsed > drainIdleTime // one that has just been answered may ask again
		if !c.closed && !c.answerPending() && (final || idle) && eventloop.Idle(c.fd) {
			c.shutdownWrite()
		}
	}
	finished := len(s.clients) == 0 && len(s.requests) == 0
	if finished || now > s.lastAnswerBy+drainLinger && !s.anyAnswerPending() {
		s.loop.Stop()
	}
}

// answerInFlight has the router give each request in flight its final answer now, as at its
// deadline: one that came before the drain may have a deadline beyond the kill.
func (s *Server) answerInFlight() {
	for _, req := range s.requests {
		if req.client != nil && req.timer.Armed() {
			s.loop.Forget(&req.timer)
			req.timer.F()
		}
	}
}

// anyAnswerPending reports whether a client still waits for an answer, or for the rest of one: to end
// then would lose it, while the kill that is due may come later than expected.
func (s *Server) anyAnswerPending() bool {
	for c := range s.clients {
		if !c.closed && c.answerPending() {
			return true
		}
	}
	return false
}
