package platform

import (
	"math"

	"go.uber.org/zap"

	spool "indigospool"
)

// dispatch has the router handle an event, and executes its actions. Events that these bring
// about are handled after it, in order.
func (s *Server) dispatch(event spool.Event) {
	s.pendingEvents = append(s.pendingEvents, event)
	if s.dispatching {
		return
	}
	s.dispatching = true
	for i := 0; i < len(s.pendingEvents); i++ {
		event := s.pendingEvents[i]
		if request, ok := event.(spool.Request); ok {
			s.arriving = s.requests[request.ID]
		}
		s.actions = s.engine.Handle(s.loop.Now(), event, s.actions[:0])
		for _, action := range s.actions {
			s.execute(action)
		}
		s.arriving = nil
	}
	s.pendingEvents = s.pendingEvents[:0]
	s.dispatching = false
}

// execute carries out one action. One for a request that has ended meanwhile does nothing.
func (s *Server) execute(action spool.Action) {
	switch a := action.(type) {
	case spool.Send:
		if req := s.requests[a.ID]; req != nil {
			s.startAttempt(req, a)
		}
	case spool.Refuse:
		if req := s.requests[a.ID]; req != nil && req.client != nil {
			s.counts.Rejected++
			s.trace("rejected", req, zap.Float64("after", a.After))
			req.client.answer(req, s.codec.Rejected(req.sequence, math.Floor(a.After)))
		}
	case spool.Fail:
		if req := s.requests[a.ID]; req != nil && req.client != nil {
			s.counts.Failed++
			s.trace("failed", req)
			req.client.answer(req, s.codec.Failed(req.sequence))
		}
	case spool.Cancel:
		if req := s.requests[a.ID]; req != nil && req.inFlight != nil && req.inFlight.number == a.Attempt {
			req.inFlight.abandon(spool.Cancelled)
		}
	case spool.Wake:
		s.setTimer(a)
	}
}

// setTimer sets a timer that the router has asked for: its tick, the one of the request that
// it handles now, or another one.
func (s *Server) setTimer(wake spool.Wake) {
	token := wake.Token
	if token == 0 {
		s.loop.Arm(&s.tickTimer, wake.In)
		return
	}
	expire := func() { s.dispatch(spool.Timer{Token: token}) }
	if s.arriving != nil && s.arriving.timer.F == nil {
		s.arriving.timer.F = expire
		s.loop.Arm(&s.arriving.timer, wake.In)
		return
	}
	s.loop.AfterFunc(wake.In, expire)
}
