package platform

import (
	"math"
	"slices"
	"strconv"

	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/resp"
)

// attempt is one attempt of a request. It is out from when it is written whole until
// its outcome is told.
type attempt struct {
	server    *Server
	request   *request
	number    int
	decision  spool.Send
	decidedAt float64 // when the module wanted it
	deadline  float64
	timer     eventloop.Timer
	pool      *pool
	conn      *memberConn
	startBy   float64 // it must not begin to be written later; 0: no bound
	written   bool    // whole, as far as the machine took it
	writtenAt float64 // when that was
	finished  bool
}

// send makes an attempt that the module wants.
func (s *Server) startAttempt(request *request, decision spool.Send) {
	now := s.loop.Now()
	try := &attempt{server: s, request: request, number: request.attempts, decision: decision, decidedAt: now, deadline: request.deadline}
	request.attempts++
	request.inFlight = try
	s.counts.Attempts++
	s.trace("send", request, zap.Int("try", try.number), zap.String("member", decision.Cache), zap.String("source", decision.Source), zap.Float64("within", decision.Timeout))
	if decision.Timeout > 0 {
		try.deadline = min(try.deadline, now+decision.Timeout)
	}
	if decision.Within > 0 {
		try.startBy = now + decision.Within
	}
	if try.deadline-now < 1 || try.mustNotStart() {
		try.finish(spool.Moot, spool.NoteNone, 0)
		return
	}
	try.timer.F = func() { try.abandon(spool.TimedOut) }
	s.loop.Arm(&try.timer, try.deadline-now)
	pool := s.poolOf(decision.Cache)
	try.pool = pool
	pool.inFlight++
	if request.forgottenAfter > 0 {
		pool.closeIdleFor(request.forgottenAfter)
	}
	conn, failure := pool.pick(request.ID)
	if conn == nil {
		s.counts.NoConnection++
		try.finish(failure, spool.NoteNone, 0)
		return
	}
	try.conn = conn
	conn.queued = append(conn.queued, try)
	if conn.connected {
		conn.flush()
	}
}

// moot reports whether an attempt must not begin, or not any more: its client has gone,
// its member or its source takes nothing new, or its time or that within which it might
// begin is over.
// A connection may come up long after the module's decision.
func (a *attempt) mustNotStart() bool {
	serves := func(id string) bool {
		m, ok := a.server.engine.Member(id)
		return ok && m.State == spool.Serving
	}
	now := eventloop.Clock()
	return a.request.client == nil || now >= a.deadline || a.startBy > 0 && now > a.startBy || !serves(a.decision.Cache) ||
		a.decision.Source != "" && !serves(a.decision.Source)
}

// purged takes back what has not begun to be written for an object, or for a group: the
// age of copies that it would ask for was decided before the purge.
func (s *Server) cancelPurged(object string, group int) {
	var list []*attempt
	for _, r := range s.requests {
		if a := r.inFlight; a != nil && a.conn != nil && !a.written && a.conn.writing != a &&
			(r.Key == object || object == "" && r.Group == group) {
			list = append(list, a)
		}
	}
	for _, a := range list {
		a.detach()
		a.finish(spool.Moot, spool.NoteNone, 0)
	}
}

// giveUp ends the wait for an attempt: nothing of it comes back any more.
func (a *attempt) abandon(result spool.Result) {
	if a.finished {
		return
	}
	c := a.conn
	if result == spool.TimedOut && !a.written {
		result = spool.ConnectFailed // nothing of it can have run
	}
	switch {
	case c == nil:
	case c.writing == a: // a part of it is there: the rest would have to follow
		a.detach()
		c.fail(spool.Cancelled)
	case a.written:
		a.detach()
		c.cancel(a)
	default:
		a.detach()
	}
	a.finish(result, spool.NoteNone, 0)
}

// leave takes the attempt off its connection.
func (a *attempt) detach() {
	c := a.conn
	if c == nil {
		return
	}
	a.conn = nil
	same := func(b *attempt) bool { return b == a }
	c.queued, c.awaiting = slices.DeleteFunc(c.queued, same), slices.DeleteFunc(c.awaiting, same)
	if c.writing == a {
		c.writing = nil
	}
}

// end tells the module the outcome, once.
func (a *attempt) finish(result spool.Result, note spool.Note, waited float64) {
	if a.finished {
		return
	}
	req := a.request
	server := a.server
	a.finished = true
	a.detach()
	server.loop.Forget(&a.timer)
	if a.pool != nil {
		a.pool.inFlight--
	}
	req.inFlight = nil
	server.counts.Outcomes[result]++
	server.trace("outcome", req, zap.Int("try", a.number), zap.Int("result", int(result)), zap.Int("note", int(note)), zap.Bool("written", a.written))
	if a.decision.Source != a.decision.Cache {
		server.log.Debug("fill", zap.String("member", a.decision.Cache), zap.String("source", a.decision.Source), zap.String("class", req.Class),
			zap.Int("result", int(result)), zap.Int("note", int(note)), zap.Float64("took", server.loop.Now()-a.decidedAt),
			zap.Float64("waited", waited), zap.Float64("left", req.deadline-server.loop.Now()))
	}
	last := req.client == nil
	if last {
		server.endForClient(req)
	}
	server.dispatch(spool.Outcome{ID: req.ID, Cache: a.decision.Cache, Attempt: a.number, Result: result,
		Took: server.loop.Now() - a.decidedAt, Last: last, Note: note, Waited: waited})
}

// frame is the attempt as the member reads it.
func (a *attempt) encode(now float64) []byte {
	decision, req := &a.decision, a.request
	fields := append([]byte("class="), req.Class...)
	fields = append(append(fields, ",key="...), req.Key...)
	fields = strconv.AppendInt(append(fields, ",part="...), int64(req.Part), 10)
	fields = strconv.AppendInt(append(fields, ",wait="...), int64(max(a.deadline-now, 1)), 10)
	if req.IdempotencyKey != "" {
		fields = append(append(fields, ",once="...), req.IdempotencyKey...)
	}
	if decision.Source != "" && decision.Source != decision.Cache {
		fields = append(append(fields, ",miss="...), decision.Source...)
	}
	if decision.Keep > 0 {
		fields = strconv.AppendInt(append(fields, ",prio="...), int64(decision.Keep), 10)
	}
	if decision.Age > 0 { // never rounded to 0, which would mean the default
		fields = strconv.AppendInt(append(fields, ",within="...), int64(max(min(decision.Age, math.MaxInt32), 1)), 10)
	}
	separator := ",f="
	for _, flag := range []struct {
		on   bool
		word string
	}{{decision.Join, "collapse"}, {decision.Held, "only-if-cached"}, {decision.Renew, "refresh"}} {
		if flag.on {
			fields = append(append(fields, separator...), flag.word...)
			separator = "+"
		}
	}
	if req.ClientTag != "" {
		fields = append(append(fields, ",mine="...), req.ClientTag...)
	}
	return resp.AppendArray(nil, []byte("REQ"), []byte(req.ID), fields, req.Body)
}
