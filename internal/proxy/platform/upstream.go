package platform

import (
	"math"
	"slices"
	"strconv"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/resp"
	"indigospool/internal/proxy/limits"
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

// pool is the connections to one member, by its id: another one may come to have its address.
type pool struct {
	server      *Server
	id          string
	address     string
	connections []*memberConn
	inFlight    int // attempts
}

// poolOf is the pool of a member, made where there is none yet.
func (s *Server) poolOf(id string) *pool {
	p := s.pools[id]
	if p == nil {
		p = &pool{server: s, id: id, address: s.engine.Address(id)}
		s.pools[id] = p
	}
	return p
}

// pick is the connection for another attempt of a request, or how the attempt ends where
// there can be none. One request to a connection is the aim, since one spoilt answer ends
// all that share it.
func (p *pool) pick(requestID string) (conn *memberConn, failure spool.Result) {
	server := p.server
	var idle, leastLoaded *memberConn
	for _, conn := range p.connections {
		load := len(conn.awaiting) + len(conn.queued)
		if conn.closing || load >= p.maxPerConnection() || slices.Contains(conn.recent[:], requestID) {
			continue
		}
		switch {
		case load == 0 && conn.connected && eventloop.Quiet(conn.fd):
			if idle == nil || conn.lastUsed > idle.lastUsed {
				idle = conn
			}
		case load > 0 && (leastLoaded == nil || load < len(leastLoaded.awaiting)+len(leastLoaded.queued)):
			leastLoaded = conn
		}
	}
	if idle != nil {
		return idle, 0
	}
	failure = spool.LocalFailure // no place for a connection
	if len(p.connections) < server.connectionLimits.PerMember(len(server.pools)) && (server.memberConnections < server.connectionLimits.Members || server.closeIdleMemberConn()) {
		if conn, failure = p.dial(); conn != nil {
			return conn, 0
		}
	}
	return leastLoaded, failure
}

func (p *pool) maxPerConnection() int {
	if s := p.server.config.settings.Streams; s > 0 {
		return s
	}
	return 1
}

const (
	minForgetAfter = 100 // ms; the least rest after which a member may have forgotten a connection
	forgetMargin   = 0.8 // of the rest after which one was forgotten: so may be others
)

// closeRested closes connections that were not used for so long.
func (p *pool) closeIdleFor(span float64) {
	now := p.server.loop.Now()
	for _, c := range slices.Clone(p.connections) {
		if len(c.awaiting)+len(c.queued) == 0 && c.connected && now-c.lastUsed >= span {
			c.close()
		}
	}
}

// room closes the connection to members that was idle longest, if there is one.
func (s *Server) closeIdleMemberConn() bool {
	var idlest *memberConn
	for _, pool := range s.pools {
		for _, conn := range pool.connections {
			if len(conn.awaiting)+len(conn.queued) == 0 && conn.connected && (idlest == nil || conn.lastUsed < idlest.lastUsed) {
				idlest = conn
			}
		}
	}
	if idlest != nil {
		idlest.close()
	}
	return idlest != nil
}

// dial begins another connection, or tells how the attempt ends that wanted it.
func (p *pool) dial() (c *memberConn, failure spool.Result) {
	server := p.server
	server.counts.Dials++
	fd, _, err := server.loop.Dial(p.address)
	if err != nil {
		return nil, p.dialFailed(err)
	}
	c = &memberConn{pool: p, fd: fd, lastUsed: server.loop.Now()}
	if err := server.loop.Add(fd, eventloop.Read|eventloop.Write, c); err != nil {
		closeFD(fd)
		return nil, p.dialFailed(err)
	}
	c.connectTimer.F = func() { c.fail(spool.ConnectFailed) }
	c.frameTimer.F = func() { c.abandonOverdueFrame() }
	if t := server.config.settings.ConnectTimeout; t > 0 {
		server.loop.Arm(&c.connectTimer, t)
	}
	server.memberConnections++
	p.connections = append(p.connections, c)
	return c, 0
}

// failed notes that a connection could not be begun, and tells whose fault that was.
func (p *pool) dialFailed(err error) spool.Result {
	server := p.server
	if server.counts.FailedDials++; server.counts.FailedDials&(server.counts.FailedDials-1) == 0 { // the 1st, 2nd, 4th, 8th...
		server.log.Warn("no connection", zap.String("member", p.id), zap.String("address", p.address),
			zap.Uint64("times", server.counts.FailedDials), zap.Error(err))
	}
	if eventloop.Lacking(err) {
		return spool.LocalFailure
	}
	return spool.ConnectFailed
}

// close ends the pool of a member that drains, is gone or is reached elsewhere: its
// connections go once nothing is open there, and what is sent to the id again gets others.
func (p *pool) close() {
	delete(p.server.pools, p.id)
	for _, c := range slices.Clone(p.connections) {
		if c.closing = true; len(c.awaiting)+len(c.queued) == 0 {
			c.close()
		}
	}
}

func (p *pool) cleanUp(now float64) {
	for _, c := range slices.Clone(p.connections) {
		if len(c.awaiting)+len(c.queued) == 0 && c.connected && limits.Rests(now-c.lastUsed, p.server.config.settings.ConnIdle) {
			c.close()
		}
	}
}

// conn is one connection to a member.
type memberConn struct {
	pool          *pool
	fd            int
	connected     bool
	closed        bool
	closing       bool // nothing new goes to it
	input, output eventloop.Queue
	queued        []*attempt      // not begun to be written
	writing       *attempt        // in out, and not whole at the member yet
	idleBefore    float64         // how long it was not used before what is open on it, in ms
	encodedAt     float64         // when its frame was made
	frameBytes    int             // of its frame, in bytes
	frameTimer    eventloop.Timer // when the rest of it would come too late
	awaiting      []*attempt      // written whole
	lastUsed      float64         // when it last was written to or read from
	lastRead      float64         // when it was last read from
	recent        [4]string       // requests that it had last: a copy of their answers may yet come
	answered      int
	connectTimer  eventloop.Timer
}

// OnReady is the loop's.
func (c *memberConn) OnReady(ready eventloop.Ready) {
	if !c.connected {
		if !ready.Writable() {
			return
		}
		if e, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || e != 0 {
			c.fail(spool.ConnectFailed)
			return
		}
		c.connected = true
		c.pool.server.loop.Forget(&c.connectTimer)
		c.lastRead = c.pool.server.loop.Now()
	}
	if ready.Readable() {
		c.read()
	}
	if !c.closed {
		c.flush()
	}
}

// flush writes what is pending, one attempt after another, so that it is known of each
// whether any of it, or all of it, went out.
func (c *memberConn) flush() {
	server := c.pool.server
	if c.abandonOverdueFrame() {
		return
	}
	for !c.closed {
		for c.output.Len() > 0 {
			written, err := server.loop.Write(c.fd, c.output.Bytes())
			if eventloop.Later(err) {
				server.loop.Want(c.fd, eventloop.Read|eventloop.Write)
				c.requeueUnsent()
				c.armFrameTimer()
				return
			}
			if err != nil {
				c.fail(spool.Reset)
				return
			}
			c.output.Take(&server.buffers, written)
		}
		if a := c.writing; a != nil {
			a.written, a.writtenAt, c.writing = true, eventloop.Clock(), nil
			server.loop.Disarm(&c.frameTimer)
			c.recent[c.answered%len(c.recent)] = a.request.ID
			c.answered++
			server.trace("written", a.request, zap.Int("try", a.number), zap.Int("fd", c.fd))
			c.awaiting = append(c.awaiting, a)
		}
		if len(c.queued) == 0 {
			if c.closing && len(c.awaiting) == 0 { // what it was dialled for has been given up meanwhile
				c.close()
				return
			}
			server.loop.Want(c.fd, eventloop.Read)
			return
		}
		a := c.queued[0]
		if r := a.request; r.client != nil && server.inLongTurn() {
			r.client.receiveInLongTurn()
			if c.closed || c.writing != nil || c.output.Len() > 0 || len(c.queued) == 0 || c.queued[0] != a {
				continue // what the client said has changed what there is to do here
			}
		}
		c.queued = slices.Delete(c.queued, 0, 1)
		if a.mustNotStart() {
			a.finish(spool.Moot, spool.NoteNone, 0)
			continue
		}
		if len(c.awaiting) == 0 {
			c.idleBefore = 0
			if c.answered > 0 {
				c.idleBefore = server.loop.Now() - c.lastUsed
			}
		}
		c.writing, c.lastUsed = a, server.loop.Now()
		c.encodedAt = eventloop.Clock()
		frame := a.encode(c.encodedAt)
		c.frameBytes = len(frame)
		c.output.Add(&server.buffers, frame)
	}
}

// takeBack has an attempt of which the machine has taken nothing wait again: its frame is
// made anew, if it is to begin at all by then.
func (c *memberConn) requeueUnsent() {
	if c.writing == nil || c.output.Len() < c.frameBytes {
		return
	}
	c.output.Drop(&c.pool.server.buffers)
	c.queued = slices.Insert(c.queued, 0, c.writing)
	c.writing = nil
}

// frameSlack is how long after a frame was made its last byte may leave, in ms: the time
// that it names as left is too long by so much at most.
const maxFrameDelay = 80

// restBy has the rest of a frame that was taken in part leave in time or not at all.
func (c *memberConn) armFrameTimer() {
	if l := c.pool.server.loop; c.writing != nil && !c.frameTimer.Armed() {
		l.Arm(&c.frameTimer, c.encodedAt+maxFrameDelay-l.Now())
	}
}

// stale gives up an attempt whose frame was taken in part, where the time that it names is
// too long by now. A part of it is there: the connection goes with it.
func (c *memberConn) abandonOverdueFrame() bool {
	a := c.writing
	if c.closed || a == nil || eventloop.Clock()-c.encodedAt < maxFrameDelay {
		return false
	}
	a.abandon(spool.TimedOut)
	return true
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

// stop gives up an attempt that was written. A connection on which nothing came since is
// not trusted with another: its member may have vanished. Where the request is to be
// sent again, a word that may never arrive is not enough: what it had alone is closed,
// and so is what has been silent since.
func (c *memberConn) cancel(a *attempt) {
	server := c.pool.server
	if c.closed {
		return
	}
	silent, alone := c.lastRead <= a.writtenAt, len(c.awaiting)+len(c.queued) == 0 && c.writing == nil
	if silent || c.writing != nil {
		c.closing = true
	}
	retried := a.request.client != nil
	server.trace("stop", a.request, zap.Int("try", a.number), zap.Int("fd", c.fd), zap.Bool("silent", silent), zap.Bool("alone", alone))
	switch {
	case alone && (retried || c.closing):
		c.close()
	case retried && silent, c.writing != nil: // behind a part of another, the word would come late
		c.fail(spool.Cancelled)
	default:
		c.output.Add(&server.buffers, resp.AppendArray(nil, []byte("STOP"), []byte(a.request.ID)))
		c.flush()
	}
}

// read takes answers.
func (c *memberConn) read() {
	server := c.pool.server
	buffer := server.readBuffer
	if c.input.Len() > 0 {
		buffer = c.input.Room()
	}
	size, err := server.loop.Read(c.fd, buffer)
	if eventloop.Later(err) {
		return
	}
	if err != nil || size == 0 {
		c.fail(spool.Reset)
		return
	}
	c.lastRead, c.lastUsed = server.loop.Now(), server.loop.Now()
	data, buffered := buffer[:size], c.input.Len() > 0
	if buffered {
		c.input.Filled(size)
		data = c.input.Bytes()
	}
	consumedTotal := 0
	for !c.closed {
		answer, consumed, want, err := resp.ReadAnswer(data[consumedTotal:])
		if err != nil {
			server.counts.Malformed++
			server.log.Debug("answer", zap.String("member", c.pool.id), zap.Error(err))
			c.failMalformed(nil)
			return
		}
		if consumed > 0 {
			c.handleAnswer(answer)
			consumedTotal += consumed
			continue
		}
		rest := data[consumedTotal:]
		if buffered {
			c.input.Take(&server.buffers, consumedTotal)
		} else if len(rest) > 0 {
			c.input.Add(&server.buffers, rest)
		}
		if len(rest) > 0 {
			c.input.Grow(&server.buffers, max(want-len(rest), 1))
		}
		break
	}
	if !c.closed && c.closing && len(c.awaiting)+len(c.queued) == 0 && c.writing == nil {
		c.close()
	}
}

var notesByHow = map[string]spool.Note{"cached": spool.NoteHit, "fetched": spool.NoteFilled,
	"fetched_root": spool.NoteFilledByOrigin, "merged": spool.NoteJoined, "past_fresh": spool.NoteStale,
	"up_refused": spool.NoteSourceRefused, "up_lost": spool.NoteSourceUnreached, "up_empty": spool.NoteSourceLacks,
	"fills_full": spool.NoteNoPlace, "root_failed": spool.NoteOriginFailed}

var resultsByWord = map[string]spool.Result{"HIT": spool.OK, "VALID": spool.OK, "NONE": spool.Miss, "SHED": spool.Full,
	"FAULT": spool.Errored, "LATE": spool.Moot}

// answer carries one answer to the module and, if it is the object, to the client.
func (c *memberConn) handleAnswer(answer resp.Answer) {
	server := c.pool.server
	index := slices.IndexFunc(c.awaiting, func(try *attempt) bool { return try.request.ID == string(answer.ID) })
	if index < 0 { // a second copy, or nobody's: what follows can be read all the same
		server.counts.Unmatched++
		return
	}
	try := c.awaiting[index]
	result, known := resultsByWord[string(answer.Word)]
	note, waited, entity, issued := spool.NoteNone, 0.0, false, false
	readable := resp.EachField(answer.Fields, func(name, value []byte) bool {
		switch string(name) {
		case "how":
			note = notesByHow[string(value)]
		case "delay":
			waited, _ = strconv.ParseFloat(string(value), 64)
		case "entity":
			entity = len(value) > 0
		case "issued":
			_, err := strconv.ParseInt(string(value), 10, 64)
			issued = err == nil
		}
		return true
	})
	notModified := string(answer.Word) == "VALID"
	req := try.request
	if result == spool.Errored || result == spool.Moot {
		server.log.Debug("answer", zap.String("member", c.pool.id), zap.ByteString("word", answer.Word),
			zap.ByteString("fields", answer.Fields), zap.Any("request", req.Request), zap.Any("send", try.decision))
	}
	if !known || !readable || result == spool.OK && !req.write && (!entity || !issued) || notModified && (req.ClientTag == "" || len(answer.Body) > 0) {
		server.counts.Malformed++
		server.log.Debug("answer", zap.String("member", c.pool.id), zap.ByteString("word", answer.Word), zap.ByteString("fields", answer.Fields))
		c.failMalformed(try)
		return
	}
	if result == spool.OK && req.client != nil {
		if server.counts.Served++; notModified {
			server.counts.NotModified++
		}
		client := req.client
		delete(client.open, req.sequence)
		req.client = nil
		client.queue(server.codec.Served(req.sequence, answer.Body, notModified))
		try.finish(result, note, waited)
		client.flush()
		return
	}
	try.finish(result, note, waited)
}

// spoil ends a connection on which an answer can't be used: that of a, or nil where it
// can't be told whose. It ran, and the member is alive. The others that share the
// connection are called off, since it is closed from here.
func (c *memberConn) failMalformed(a *attempt) {
	if a == nil && len(c.awaiting) > 0 {
		a = c.awaiting[0]
	}
	if a != nil {
		a.finish(spool.Errored, spool.NoteNone, 0)
	}
	c.fail(spool.Cancelled)
}

// fail ends a connection that is of no use, and all that is open on it: what had been
// written whole ends with result, the rest cannot have run.
func (c *memberConn) fail(result spool.Result) {
	if c.closed {
		return
	}
	if result == spool.Reset {
		c.closeLikelyForgotten()
	}
	awaiting, unsent := slices.Clone(c.awaiting), slices.Clone(c.queued)
	if c.writing != nil {
		unsent = append(unsent, c.writing)
	}
	c.awaiting, c.queued, c.writing = nil, nil, nil
	c.close()
	for _, a := range awaiting {
		a.conn = nil
		a.finish(result, spool.NoteNone, 0)
	}
	for _, a := range unsent {
		a.conn = nil
		a.finish(spool.ConnectFailed, spool.NoteNone, 0)
	}
}

// forgotten looks at a connection that the member has ended. Where nothing came on it since
// it rested, the member may have forgotten it, and others that rested as long: these are
// closed, here and wherever what was out on it is sent next, so that no request spends its
// attempts on them.
func (c *memberConn) closeLikelyForgotten() {
	if c.idleBefore < minForgetAfter || len(c.awaiting) == 0 || c.lastRead > c.awaiting[0].writtenAt {
		return
	}
	idle := c.idleBefore * forgetMargin
	for _, a := range c.awaiting {
		if a.request.forgottenAfter == 0 || idle < a.request.forgottenAfter {
			a.request.forgottenAfter = idle
		}
	}
	c.pool.closeIdleFor(idle)
}

func (c *memberConn) close() {
	if c.closed {
		return
	}
	server := c.pool.server
	c.closed = true
	server.loop.Remove(c.fd)
	closeFD(c.fd)
	server.loop.Forget(&c.connectTimer)
	server.loop.Forget(&c.frameTimer)
	c.input.Drop(&server.buffers)
	c.output.Drop(&server.buffers)
	server.memberConnections--
	c.pool.connections = slices.DeleteFunc(c.pool.connections, func(d *memberConn) bool { return d == c })
}
