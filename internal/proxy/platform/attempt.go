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

// attempt is one attempt to serve a request at one member. It is in flight from the router's
// decision until its outcome is dispatched. Times are on the loop's clock, in ms.
type attempt struct {
	server    *Server
	request   *request
	number    int // from 0, within the request
	decision  spool.Send
	decidedAt float64
	startBy   float64 // the latest time at which writing may begin; 0 for no limit
	deadline  float64
	timer     eventloop.Timer // expires at the deadline
	pool      *pool           // the pool that counts the attempt as in flight; nil before
	conn      *memberConn     // nil if the attempt is not on a connection
	written   bool            // the kernel has accepted the whole frame
	writtenAt float64
	finished  bool // the outcome was dispatched
}

// minTimeLeft is the least time until the deadline, in ms, with which an attempt is started.
const minTimeLeft = 1

// startAttempt starts the attempt that the router has decided on.
func (s *Server) startAttempt(req *request, decision spool.Send) {
	now := s.loop.Now()
	attempt := &attempt{server: s, request: req, number: req.attempts, decision: decision, decidedAt: now, deadline: req.deadline}
	req.attempts++
	req.inFlight = attempt
	s.counts.Attempts++
	s.trace("attempt started", req, zap.Int("attempt", attempt.number), zap.String("member", decision.Cache),
		zap.String("source", decision.Source), zap.Float64("within", decision.Timeout))
	if decision.Timeout > 0 {
		attempt.deadline = min(attempt.deadline, now+decision.Timeout)
	}
	if decision.Within > 0 {
		attempt.startBy = now + decision.Within
	}
	if attempt.deadline-now < minTimeLeft || attempt.mustNotStart() {
		attempt.finish(spool.NotSent, spool.NoteNone, 0)
		return
	}
	attempt.timer.F = func() { attempt.abandon(spool.TimedOut) }
	s.loop.Arm(&attempt.timer, attempt.deadline-now)
	attempt.assign(s.poolOf(decision.Cache))
}

// assign queues the attempt on a connection of the pool, or finishes it if there is none.
func (a *attempt) assign(p *pool) {
	a.pool = p
	p.inFlight++
	if idle := a.request.staleAfter; idle > 0 {
		p.closeIdleFor(idle)
	}
	conn, failure := p.pick(a.request.ID)
	if conn == nil {
		a.server.counts.NoConnection++
		a.finish(failure, spool.NoteNone, 0)
		return
	}
	a.conn = conn
	conn.queued = append(conn.queued, a)
	if conn.connected {
		conn.flush()
	}
}

// mustNotStart reports whether the attempt must not be written: its client has closed or given
// up, its member or source is no longer serving, or its time is over. It is checked again right
// before the frame is encoded, since a connection may be established long after the decision.
func (a *attempt) mustNotStart() bool {
	now := eventloop.Clock()
	switch {
	case a.request.client == nil:
		return true
	case now >= a.deadline || a.startBy > 0 && now > a.startBy:
		return true
	case !a.server.serving(a.decision.Cache):
		return true
	}
	return a.decision.Source != "" && !a.server.serving(a.decision.Source)
}

// serving reports whether a member takes new attempts.
func (s *Server) serving(id string) bool {
	member, ok := s.engine.Member(id)
	return ok && member.State == spool.Serving
}

// cancelPurged finishes the attempts for an object, or for a group if object is empty, that
// have not been written at all: the age of the copies that they accept was decided before the
// purge.
func (s *Server) cancelPurged(object string, group int) {
	var unwritten []*attempt
	for _, req := range s.requests {
		purged := req.Key == object || object == "" && req.Group == group
		a := req.inFlight
		if purged && a != nil && a.conn != nil && !a.written && a.conn.writing != a {
			unwritten = append(unwritten, a)
		}
	}
	for _, a := range unwritten {
		a.detach()
		a.finish(spool.NotSent, spool.NoteNone, 0)
	}
}

// abandon finishes the attempt with a result without waiting for its answer, and cancels it at
// the member. An answer that arrives later is ignored.
func (a *attempt) abandon(result spool.Result) {
	if a.finished {
		return
	}
	if result == spool.TimedOut && !a.written {
		result = spool.ConnectFailed // the member cannot have executed it
	}
	if conn := a.conn; conn != nil {
		partial := conn.writing == a
		a.detach()
		switch {
		case partial: // the connection is useless without the rest of the frame
			conn.fail(spool.Cancelled)
		case a.written:
			conn.cancel(a)
		}
	}
	a.finish(result, spool.NoteNone, 0)
}

// detach removes the attempt from its connection, if it has one.
func (a *attempt) detach() {
	conn := a.conn
	if conn == nil {
		return
	}
	a.conn = nil
	isThis := func(other *attempt) bool { return other == a }
	conn.queued = slices.DeleteFunc(conn.queued, isThis)
	conn.awaiting = slices.DeleteFunc(conn.awaiting, isThis)
	if conn.writing == a {
		conn.writing = nil
	}
}

// finish dispatches the outcome of the attempt, unless that was done before. queuedFor is the
// time in ms for which the member reports that the attempt was queued there.
func (a *attempt) finish(result spool.Result, note spool.Note, queuedFor float64) {
	if a.finished {
		return
	}
	server, req := a.server, a.request
	a.finished = true
	a.detach()
	server.loop.Forget(&a.timer)
	if a.pool != nil {
		a.pool.inFlight--
	}
	req.inFlight = nil
	server.counts.Outcomes[result]++
	a.logOutcome(result, note, queuedFor)
	last := req.client == nil
	if last {
		server.detachClient(req)
	}
	server.dispatch(spool.Outcome{
		ID:      req.ID,
		Cache:   a.decision.Cache,
		Attempt: a.number,
		Result:  result,
		Took:    server.loop.Now() - a.decidedAt,
		Last:    last,
		Note:    note,
		Waited:  queuedFor,
	})
}

func (a *attempt) logOutcome(result spool.Result, note spool.Note, queuedFor float64) {
	server, req := a.server, a.request
	server.trace("attempt finished", req, zap.Int("attempt", a.number), zap.Int("result", int(result)),
		zap.Int("note", int(note)), zap.Bool("written", a.written))
	if a.decision.Source != a.decision.Cache {
		server.log.Debug("fill", zap.String("member", a.decision.Cache), zap.String("source", a.decision.Source),
			zap.String("class", req.Class), zap.Int("result", int(result)), zap.Int("note", int(note)),
			zap.Float64("took", server.loop.Now()-a.decidedAt), zap.Float64("waited", queuedFor),
			zap.Float64("left", req.deadline-server.loop.Now()))
	}
}

// encode returns the attempt's frame. Its wait field is the time from now to the deadline.
func (a *attempt) encode(now float64) []byte {
	decision, req := &a.decision, a.request
	fields := append([]byte("class="), req.Class...)
	fields = append(append(fields, ",key="...), req.Key...)
	fields = strconv.AppendInt(append(fields, ",part="...), int64(req.Part), 10)
	fields = strconv.AppendInt(append(fields, ",wait="...), int64(max(a.deadline-now, minTimeLeft)), 10)
	if req.IdempotencyKey != "" {
		fields = append(append(fields, ",once="...), req.IdempotencyKey...)
	}
	if decision.Source != "" && decision.Source != decision.Cache {
		fields = append(append(fields, ",miss="...), decision.Source...)
	}
	if decision.Keep > 0 {
		fields = strconv.AppendInt(append(fields, ",prio="...), int64(decision.Keep), 10)
	}
	if decision.Age > 0 { // not rounded down to 0, which would mean the default
		fields = strconv.AppendInt(append(fields, ",within="...), int64(max(min(decision.Age, math.MaxInt32), 1)), 10)
	}
	fields = appendFlags(fields, decision)
	if req.ClientTag != "" {
		fields = append(append(fields, ",mine="...), req.ClientTag...)
	}
	return resp.AppendArray(nil, []byte("REQ"), []byte(req.ID), fields, req.Body)
}

// appendFlags appends the field f with the flags that are set, if any.
func appendFlags(fields []byte, decision *spool.Send) []byte {
	separator := ",f="
	for _, flag := range []struct {
		set  bool
		name string
	}{
		{decision.Join, "collapse"},
		{decision.Held, "only-if-cached"},
		{decision.Renew, "refresh"},
	} {
		if flag.set {
			fields = append(append(fields, separator...), flag.name...)
			separator = "+"
		}
	}
	return fields
}
