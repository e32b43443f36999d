package platform

import (
	"math"

	"go.uber.org/zap"

	spool "indigospool"
)

// dispatch passes an event to the router and executes the actions that it returns. Events
// that the actions cause are queued and handled afterwards, in order.
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

// execute carries out one action. It ignores actions for requests that have ended.
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

// setTimer arms a timer for the router: its periodic tick (token 0), the timer of the request
// whose arrival is being handled, or a separate one.
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
