package platform

import (
	"go.uber.org/zap"

	"indigospool/internal/eventloop"
)

// The times of a drain, in ms. The platform may kill a router with SIGKILL as soon as the
// longest deadline of a class plus killGracePeriod has passed since SIGTERM, which is soon if
// the deadlines are short. Clients continue to send requests on their connections until the
// router closes them.
const (
	killGracePeriod     = 700.0
	maxDrainDeadline    = 3000.0 // longer deadlines do not delay the kill further
	idleCloseDelay      = 900.0  // after SIGTERM, when the server starts to close idle connections
	idleCloseBeforeKill = 280.0  // before the kill, when it starts to do so at the latest
	minIdleCloseDelay   = 610.0  // but no earlier: clients connect for 400 ms after SIGTERM and send for 200 ms more
	answerMargin        = 120.0  // before the kill; the last answer is written by then
	drainLinger         = 40.0   // after the last answer, for clients to read it and close
	drainIdleTime       = 20.0   // a connection is idle after this time without a message or an answer
	drainTickInterval   = 10.0
)

// Drain makes the server finish all requests, including those that still arrive, and then
// stop. It may be called from any goroutine; a second call has no effect.
func (s *Server) Drain() {
	s.loop.Post(func() {
		if s.drainStarted == 0 {
			s.drain()
		}
	})
}

// drain computes the times of the drain and starts it.
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

// drainTick advances a drain. It accepts the connections left in the listener's backlog and
// stops listening. It shuts down idle connections for writing and keeps reading them until
// their clients close. It stops the server once no client is left, or when the time is over.
// A request that arrives late in the drain has only the remaining time for its answer.
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
		if final { // requests that have arrived by now are answered
			c.receive()
			c.startPending()
		}
		idle := c.input.Len() == 0 && now-c.activity.LastUsed > drainIdleTime // a client may send again right after an answer
		if !c.closed && !c.answerPending() && (final || idle) && eventloop.Idle(c.fd) {
			c.shutdownWrite()
		}
	}
	finished := len(s.clients) == 0 && len(s.requests) == 0
	if finished || now > s.lastAnswerBy+drainLinger && !s.anyAnswerPending() {
		s.loop.Stop()
	}
}

// answerInFlight makes the router answer each request in flight now, as if its deadline had
// passed: requests that arrived before the drain may have deadlines after the kill.
func (s *Server) answerInFlight() {
	for _, req := range s.requests {
		if req.client != nil && req.timer.Armed() {
			s.loop.Forget(&req.timer)
			req.timer.F()
		}
	}
}

// anyAnswerPending reports whether any client still waits for an answer or the rest of one.
// The server does not stop then, since the kill may come later than expected.
func (s *Server) anyAnswerPending() bool {
	for c := range s.clients {
		if !c.closed && c.answerPending() {
			return true
		}
	}
	return false
}
