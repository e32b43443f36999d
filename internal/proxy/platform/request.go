package platform

import (
	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/thriftrpc"
	"indigospool/internal/proxy/limits"
)

// request is a client's request in flight. Times are on the loop's clock, in ms.
type request struct {
	thriftrpc.Request
	client   *client // nil once the final answer was sent or the client has given up
	sequence int32   // the sequence number of the call
	deadline float64 // when the client stops waiting
	write    bool    // whether the class was for writes on arrival; a reload may change the class
	sent     bool    // whether a frame of an attempt was written
	attempts int     // number of attempts started
	inFlight *attempt

	idempotency spool.Idempotency // of the class on arrival

	// staleAfter is the shortest idle time, in ms, after which a member is likely to have
	// dropped a connection that an attempt of this request used; 0 if none has.
	staleAfter float64
	timer      eventloop.Timer // set by the router
}

// startRequest passes a client's request to the router. The deadline counts from arrivedAfter,
// the earliest time at which the last byte may have arrived, since the request may have been
// unread during a long turn of the loop.
func (s *Server) startRequest(client *client, sequence int32, call thriftrpc.Request, arrivedAfter float64) {
	req := &request{
		Request:  call,
		client:   client,
		sequence: sequence,
		deadline: arrivedAfter + call.TimeLeft,
		write:    s.classes[call.Class].Write,

		idempotency: s.classes[call.Class].Idempotency,
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

// detachClient ends a request for its client, and removes it unless an attempt is in flight.
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
		s.releaseBody(len(req.Body))
		if req.mayHaveEffects() {
			s.endedWrites.add(s.loop.Now(), req.ID)
		}
	}
}

// reserveBody reserves memory for the body of a call. It returns false if the bodies of all calls
// would exceed their limit.
func (s *Server) reserveBody(size int) bool {
	if size > 0 && s.bodyBytes+size > limits.BodyBytes(s.memoryBytes()) {
		return false
	}
	s.bodyBytes += size
	return true
}

// releaseBody releases the memory for the body of a call that has ended.
func (s *Server) releaseBody(size int) { s.bodyBytes -= size }
