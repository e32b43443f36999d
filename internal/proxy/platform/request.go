package platform

import (
	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/thriftrpc"
)

// request is a client's request in flight. Times are on the loop's clock, in ms.
type request struct {
	thriftrpc.Request
	client   *client // nil once it has its final answer or was given up
	sequence int32   // of the call
	deadline float64 // when its client stops waiting
	write    bool    // as its class was when it came: a reload may change that
	attempts int     // started so far
	inFlight *attempt

	// A member has ended a connection that was idle so long, in ms; 0: none has.
	staleAfter float64
	timer      eventloop.Timer // that the router has asked for
}

// startRequest hands a client's request to the router. Its time counts from the earliest
// moment at which its last byte may have come: it may have lain unread for a long turn of
// the loop.
func (s *Server) startRequest(client *client, sequence int32, call thriftrpc.Request, arrivedAfter float64) {
	req := &request{
		Request:  call,
		client:   client,
		sequence: sequence,
		deadline: arrivedAfter + call.TimeLeft,
		write:    s.classes[call.Class].Write,
	}
	if s.drainStarted > 0 {
		req.deadline = min(req.deadline, s.lastAnswerBy-drainTickInterval)
	}
	s.requests[call.ID] = req
	client.open[sequence] = req
	s.counts.Requests++
	s.trace("request started", req, zap.String("class", call.Class), zap.Float64("wait", call.TimeLeft),
		zap.String("once", call.IdempotencyKey), zap.Int("fd", client.fd))
	s.dispatch(spool.Request{
		ID:       call.ID,
		Class:    call.Class,
		Object:   call.Key,
		Deadline: req.deadline,
		Group:    call.Group,
		Part:     call.Part,
		Retry:    call.Retry,
		Write:    req.write,
	})
}

// trace logs a step of a request at debug level.
func (s *Server) trace(message string, req *request, fields ...zap.Field) {
	if entry := s.log.Check(zap.DebugLevel, message); entry != nil {
		entry.Write(append(fields, zap.String("id", req.ID), zap.Float64("left", req.deadline-s.loop.Now()))...)
	}
}

// detachClient ends a request towards its client. It is removed once it has no attempt in
// flight.
func (s *Server) detachClient(req *request) {
	if req.client != nil {
		delete(req.client.open, req.sequence)
		req.client = nil
	}
	if req.inFlight != nil {
		return
	}
	s.loop.Forget(&req.timer)
	if s.requests[req.ID] == req {
		delete(s.requests, req.ID)
	}
}
