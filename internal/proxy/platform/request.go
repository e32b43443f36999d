package platform

import (
	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/thriftrpc"
)

// request is a client's request in hand.
type request struct {
	thriftrpc.Request
	client   *client // nil once it is over
	sequence int32
	deadline float64 // when its client stops waiting
	write    bool    // as its class was when it came: settings may change meanwhile
	attempts int
	inFlight *attempt

	forgottenAfter float64         // a member has ended a connection that had rested so long, in ms; 0: none has
	timer          eventloop.Timer // the module's
}

// take hands a client's request to the module. Its time counts from the earliest moment at
// which its last byte may have come: it may have lain unread for a long turn of the loop.
func (s *Server) startRequest(c *client, sequence int32, call thriftrpc.Request, arrivedAfter float64) {
	req := &request{Request: call, client: c, sequence: sequence, deadline: arrivedAfter + call.TimeLeft, write: s.classes[call.Class].Write}
	if s.drainStarted > 0 {
		req.deadline = min(req.deadline, s.lastAnswerBy-drainInterval)
	}
	s.requests[call.ID], c.open[sequence] = req, req
	s.counts.Requests++
	s.trace("taken", req, zap.String("class", call.Class), zap.Float64("wait", call.TimeLeft), zap.String("once", call.IdempotencyKey), zap.Int("fd", c.fd))
	s.dispatch(spool.Request{ID: call.ID, Class: call.Class, Object: call.Key, Deadline: req.deadline, Group: call.Group,
		Part: call.Part, Retry: call.Retry, Write: req.write})
}

// trace logs a step of a request's way, where that is asked for.
func (s *Server) trace(message string, req *request, fields ...zap.Field) {
	if e := s.log.Check(zap.DebugLevel, message); e != nil {
		e.Write(append(fields, zap.String("id", req.ID), zap.Float64("left", req.deadline-s.loop.Now()))...)
	}
}

// over ends a request towards its client; it is forgotten when nothing is out for it.
func (s *Server) endForClient(r *request) {
	if r.client != nil {
		delete(r.client.open, r.sequence)
		r.client = nil
	}
	if r.inFlight == nil {
		s.loop.Forget(&r.timer)
		if s.requests[r.ID] == r {
			delete(s.requests, r.ID)
		}
	}
}
