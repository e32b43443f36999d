package httpfront

import (
	"errors"

	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/protocol/http1"
	"indigospool/internal/proxy/limits"
)

// try is one attempt of a request.
type try struct {
	r             *request
	n             int
	cache, source string
	send          spool.Send
	sentAt        float64
	timer         eventloop.Timer // the attempt's time-out, until its answer has begun
	u             *upstream       // nil while it waits for a connection, and once it is over
	p             *pool
	written       bool // something of it may have reached the member
	done          bool // its outcome was told
	load          []float64
	result        spool.Result
	took          float64
}

// send makes an attempt that the module wants.
func (e *Edge) send(a *spool.Send) {
	r := e.reqs[a.ID]
	if r == nil {
		return
	}
	t := r.newTry()
	t.cache, t.source, t.send, t.sentAt = a.Cache, a.Source, *a, e.l.Now()
	e.stats.Attempts++
	if v := r.c.part; v != nil {
		v.attempted()
	}
	if t.n == 0 && r.q.Deadline > r.asked {
		e.guard.adm.ObserveQueueing((e.l.Now() - r.asked) / (r.q.Deadline - r.asked))
	}
	if r.phase != asked {
		t.end(spool.NotSent, spool.NoteNone, false)
		return
	}
	address := e.core.Address(a.Cache)
	left := r.q.Deadline - e.l.Now()
	if a.Timeout > 0 {
		left = min(left, a.Timeout)
	}
	e.l.Arm(&t.timer, left)
	t.p = e.pool(address, a.Cache)
	t.p.start(t)
	if a.Within > 0 && !t.written && !t.done { // its window ends while it waits for a connection
		id, n := a.ID, t.n
		e.l.AfterFunc(a.Within, func() { e.takeBack(func(t *try) bool { return t.send.ID == id && t.n == n }) })
	}
}

func (t *try) timedOut() {
	if t.done {
		return
	}
	result := spool.TimedOut
	switch {
	case t.u == nil: // it waited for a connection: nothing has run
		t.abandon()
		t.end(spool.Rejected, spool.NoteNoCapacity, false)
		return
	case !t.written && t.u.state == upConnecting:
		result = spool.ConnectFailed
	case !t.written: // connected, and not a byte of it could be written
		result = spool.LocalFailure
	}
	t.cut(result)
}

// cancel stops the wait for an attempt, unless its answer is the client's.
func (t *try) cancel() {
	if t.done || t.r.winner == t && t.r.phase == relaying {
		return
	}
	t.cut(spool.Cancelled)
}

// cut ends an attempt with its connection.
func (t *try) cut(result spool.Result) {
	if t.done {
		return
	}
	t.abandon()
	t.end(result, spool.NoteNone, t.r.phase == over || t.r.winner == t)
}

// abandon takes the attempt off its connection, which is closed, or out of the queue for one.
func (t *try) abandon() {
	if u := t.u; u != nil && u.t != t { // behind others: its answer will be passed over
		t.u = nil
		for i := range u.line {
			if u.line[i] == t {
				u.line[i] = nil
			}
		}
	} else if u != nil {
		t.u, u.t = nil, nil
		if t.written { // its member is to stop at once, and the port is free again
			unix.SetsockoptLinger(u.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		}
		u.close()
	} else if t.p != nil {
		t.p.forget(t)
	}
}

// end tells the module the attempt's outcome.
func (t *try) end(result spool.Result, note spool.Note, last bool) {
	if t.done {
		return
	}
	e, r := t.r.e, t.r
	t.done, t.result = true, result
	e.l.Disarm(&t.timer)
	t.took = e.l.Now() - t.sentAt
	r.open--
	e.tell(spool.Outcome{ID: t.send.ID, Cache: t.cache, Attempt: t.n, Result: result, Took: t.took,
		Last: last || r.phase == over, Note: note, Load: t.load})
	r.release()
}

// pool is the connections to one address.
type pool struct {
	e       *Edge
	address string
	member  string // the last that it was used for
	all     map[*upstream]struct{}
	idle    []*upstream // the last used is the first to be used again
	wait    []*try
}

func (e *Edge) pool(address, member string) *pool {
	p := e.pools[address]
	if p == nil {
		p = &pool{e: e, address: address, all: map[*upstream]struct{}{}}
		e.pools[address] = p
	}
	p.member = member
	return p
}

// start gives the attempt a connection, or has it wait for one.
func (p *pool) start(t *try) {
	for n := len(p.idle); n > 0; n = len(p.idle) {
		u := p.idle[n-1]
		p.idle = p.idle[:n-1]
		// what has come to it unasked would pass for the answer, and a request on one
		// that its member has closed would be lost; both may be known to the kernel only
		if !eventloop.Idle(u.fd) {
			u.close()
			continue
		}
		p.e.l.Disarm(&u.timer)
		p.e.stats.Reused++
		u.begin(t)
		return
	}
	if len(p.all) >= p.e.s.Limits.Upstream {
		p.e.guard.freePlace(p)
		if u := p.shortest(t); u != nil {
			u.follow(t)
		} else {
			p.wait = append(p.wait, t)
		}
		return
	}
	u, err := p.connect()
	if (errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE)) && p.makeRoom() {
		u, err = p.connect()
	}
	switch {
	case err == nil:
		u.begin(t)
	case eventloop.IsLocalShortage(err): // no word about the member
		p.e.stats.ConnectWaits++
		t.end(spool.LocalFailure, spool.NoteNone, false)
	default:
		t.end(spool.ConnectFailed, spool.NoteNone, false)
	}
}

// makeRoom closes a connection that is not in use, for its descriptor.
func (p *pool) makeRoom() bool {
	return p.e.guard.closeIdle(limits.Descriptors) || p.e.closeUnused(p)
}

// shortest is the connection on which a GET can follow others soonest (RFC
// 9112, section 9.3.2), nil where that is not allowed. Writes never follow.
func (p *pool) shortest(t *try) (best *upstream) {
	depth := p.e.s.Limits.Pipeline - 1
	if depth < 1 || t.r.q.Write || t.r.isHead {
		return nil
	}
	for u := range p.all {
		if n := len(u.line); n < depth && (u.state == upHead || u.state == upBody) && u.out.Len() == 0 && !u.held &&
			(best == nil || n < len(best.line)) {
			best = u
		}
	}
	return best
}

func (p *pool) forget(t *try) {
	for i, w := range p.wait {
		if w == t {
			p.wait = append(p.wait[:i], p.wait[i+1:]...)
			return
		}
	}
}

// next has an attempt that waits take a place that is free again. Where no connection can be
// had, and none is left that would become free, it is the turn of all that wait.
func (p *pool) next() {
	for len(p.wait) > 0 {
		t := p.wait[0]
		if p.wait = p.wait[1:]; len(p.wait) == 0 {
			p.wait = nil
		}
		if p.start(t); len(p.all) > 0 {
			return
		}
	}
}

func (p *pool) closeIdle() {
	for len(p.idle) > 0 {
		p.idle[len(p.idle)-1].close()
	}
}

// upState is what an upstream connection is at.
type upState uint8

const (
	upConnecting upState = iota
	upIdle
	upHead  // the attempt is written, its answer's head has not come whole
	upBody  // the body goes to the client
	upDrain // the rest of an answer that nobody wants, so that the connection can be kept
)

// upstream is a connection to a member.
type upstream struct {
	e       *Edge
	p       *pool
	fd      int
	state   upState
	t       *try
	line    []*try // GETs that follow it; nil for one whose answer nobody wants any more
	left    []byte // read, and not yet taken
	out     eventloop.Queue
	pending *try // whose bytes wait in out
	head    http1.Head
	body    http1.Body
	chunk   bool // the client gets chunks
	excess  bool // bytes came with the head, behind it
	held    bool // not read, since the client is slow
	timer   eventloop.Timer
	drain   int
	note    spool.Note
	flow    limits.Flow // of an answer's body
	heldAt  float64     // since when the client holds it up
	told    bool        // the module knows that
	queued  bool        // bytes have come, and wait for their turn
	since   float64     // when it was queued
}

func (p *pool) connect() (*upstream, error) {
	fd, inProgress, err := p.e.l.Dial(p.address)
	if err != nil {
		return nil, err
	}
	if n := p.e.s.Limits.SocketKB; n > 0 {
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, n*1024/2)
	}
	u := &upstream{e: p.e, p: p, fd: fd, state: upConnecting}
	u.timer.F = u.onTimer
	want := eventloop.Write
	if !inProgress {
		u.state, want = upIdle, eventloop.Read
	}
	if err := p.e.l.Add(fd, want, u); err != nil {
		unix.Close(fd)
		return nil, err
	}
	p.e.stats.Connects++
	p.all[u] = struct{}{}
	p.e.guard.mem.Add(limits.Connections, upstreamBytes)
	return u, nil
}

// closeUnused closes an unused connection to another address, for its descriptor.
func (e *Edge) closeUnused(but *pool) bool {
	for _, p := range e.pools {
		if p != but && len(p.idle) > 0 {
			p.idle[0].close() // the longest unused
			return true
		}
	}
	return false
}

// begin gives the connection an attempt; it is written once connected.
func (u *upstream) begin(t *try) {
	u.t, t.u, u.told = t, u, false
	if u.state == upConnecting {
		u.e.l.Arm(&u.timer, u.e.s.Limits.Connect)
		return
	}
	u.writeAttempt()
}

func (u *upstream) writeAttempt() {
	u.state = upHead
	u.left = nil
	u.put(u.t)
}

// follow writes an attempt behind others whose answers are still to come.
func (u *upstream) follow(t *try) {
	t.u = u
	u.line = append(u.line, t)
	u.put(t)
}

// put writes an attempt.
func (u *upstream) put(t *try) {
	r := t.r
	b := append(u.e.hbuf[:0], r.fwd...)
	a := fetchheader.NewAttempt(&t.send, &r.q, t.n, u.e.name, u.e.core.Address(t.source), max(r.q.Deadline-u.e.l.Now(), 1))
	b = append(b, fetchheader.FillField+": "...)
	b = a.Append(b)
	b = append(b, "\r\n"...)
	if a.Source == "" && !r.q.Write {
		b = append(b, "Cache-Control: only-if-cached\r\n"...)
	}
	if r.q.Write {
		b = http1.AppendFieldInt(b, "Content-Length", int64(len(r.content)))
	}
	b = append(b, "\r\n"...)
	u.e.hbuf = b
	n, err := u.e.l.WriteTwo(u.fd, b, r.content)
	switch {
	case eventloop.NotReady(err):
		n = 0
	case eventloop.Retryable(err):
		u.takeBack(t)
		return
	case err != nil:
		u.broke(spool.Reset)
		return
	}
	u.e.stats.OutBytes += uint64(n)
	t.written = n > 0
	if n == len(b)+len(r.content) {
		if !u.held {
			u.e.l.Want(u.fd, eventloop.Read)
		}
		return
	}
	u.pending = t
	u.out.Add(&u.e.buffers, b[min(n, len(b)):])
	u.out.Add(&u.e.buffers, r.content[max(n-len(b), 0):])
	u.flush()
}

// takeBack ends an attempt, the last on its connection, that could not be written for want of
// something on this machine. The connection is as it was before.
func (u *upstream) takeBack(t *try) {
	u.e.stats.ConnectWaits++
	t.u = nil
	if u.t == t {
		u.toIdle()
	} else {
		u.line = u.line[:len(u.line)-1]
	}
	t.end(spool.LocalFailure, spool.NoteNone, false)
}

func (u *upstream) flush() {
	for u.out.Len() > 0 {
		n, err := u.e.l.Write(u.fd, u.out.Bytes())
		if eventloop.Retryable(err) {
			u.e.l.Want(u.fd, eventloop.Read|eventloop.Write)
			return
		}
		if err != nil {
			u.broke(spool.Reset)
			return
		}
		u.e.stats.OutBytes += uint64(n)
		u.out.Take(&u.e.buffers, n)
		u.pending.written = true
	}
	u.pending = nil
	u.e.l.Want(u.fd, eventloop.Read)
}

func (u *upstream) onTimer() {
	switch u.state {
	case upConnecting:
		u.broke(spool.ConnectFailed)
	case upBody:
		if u.queued { // its bytes have come: it is the router that is late
			u.e.l.Arm(&u.timer, u.e.s.Limits.BodyIdle)
			return
		}
		u.broke(spool.TimedOut)
	default:
		u.close()
	}
}

func (u *upstream) OnReady(r eventloop.Ready) {
	if u.state == upConnecting {
		if !r.Writable() {
			return
		}
		soerr, err := unix.GetsockoptInt(u.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err != nil || soerr != 0 {
			u.broke(spool.ConnectFailed)
			return
		}
		u.e.l.Disarm(&u.timer)
		if u.t == nil {
			u.toIdle()
			return
		}
		u.writeAttempt()
		return
	}
	if r.Writable() && u.out.Len() > 0 {
		if u.flush(); u.fd < 0 {
			return
		}
	}
	if !r.Readable() {
		return
	}
	if u.state != upBody {
		u.read(r.Hangup(), min(headRead, u.e.guard.room()))
		return
	}
	if !u.queued {
		u.queued, u.since = true, u.e.l.Now()
		u.flow.StopWaiting(u.e.guard.now(), &u.e.guard.member) // it is the router that it waits for now
		u.e.guard.ready(u.t.r.c.class, u)
	}
}

// headRead is as much as is read at once where an answer's head is to come: small
// answers are whole with it.
const headRead = 128 << 10

func (u *upstream) queuedAt() float64 { return u.since }

// move passes on a part of a body, in its turn.
func (u *upstream) move(room int) (moved int, more bool) {
	u.queued = false
	if u.fd < 0 || u.state != upBody && u.state != upDrain || u.held {
		return 0, false
	}
	if u.t != nil {
		room = min(room, u.e.guard.room()-u.t.r.c.out.Len())
	}
	room = max(room, leastRead)
	n := u.read(false, room)
	if n >= room && u.fd >= 0 && u.state == upBody && !u.held {
		u.queued, u.since = true, u.e.l.Now()
		return n, true
	}
	if u.fd >= 0 && u.state == upBody && !u.held {
		u.flow.StartWaiting(u.e.guard.now())
	}
	return max(n, 0), false
}

// leastRead is the least that is asked of a socket at once.
const leastRead = 4 << 10

// broke ends the connection, and its attempt with the result.
func (u *upstream) broke(result spool.Result) {
	t := u.t
	u.t = nil
	if t == nil {
		u.close()
		return
	}
	t.u = nil
	r := t.r
	started := r.winner == t && r.phase == relaying
	if started {
		// the answer has begun, and no other copy may be spliced to it: the
		// client's connection ends, and by the framing it sees that this is not
		// whole. It is not reset, which would take from it what it has not read
		// yet, unless its end alone would pass for the answer's
		r.why = endBroken
		r.e.stats.Broken++
		c := r.c
		if pg := r.pageOf(); pg != nil {
			t.end(result, spool.NoteNone, true)
			u.close()
			pg.broke(r)
			return
		}
		c.last, c.linger = true, true
		if u.body.Kind() != http1.Length && !u.chunk {
			unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
			c.close()
		}
		r.finish()
	}
	t.end(result, spool.NoteNone, started)
	u.close() // only now: a place that becomes free lets another attempt begin
}

func (u *upstream) close() {
	if u.fd < 0 {
		return
	}
	u.e.l.Forget(&u.timer)
	u.e.l.Remove(u.fd)
	unix.Close(u.fd)
	u.fd = -1
	p := u.p
	delete(p.all, u)
	u.e.guard.mem.Add(limits.Connections, -upstreamBytes)
	for i, x := range p.idle {
		if x == u {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			break
		}
	}
	u.left = nil
	u.out.Drop(&u.e.buffers)
	line := u.line
	u.line = nil
	for _, t := range line {
		if t != nil { // nothing was run for it that matters: only GETs follow
			t.u = nil
			t.end(spool.NotSent, spool.NoteNone, false)
		}
	}
	p.next()
}

// advance goes on to the answer that follows, or keeps the connection for
// another attempt.
func (u *upstream) advance() {
	if len(u.line) == 0 {
		u.toIdle()
		return
	}
	u.e.l.Disarm(&u.timer)
	u.t, u.state, u.told = u.line[0], upHead, false
	if u.line = u.line[1:]; len(u.line) == 0 {
		u.line = nil
	}
	if len(u.p.wait) > 0 {
		u.p.next()
	}
}

// toIdle keeps the connection for another attempt.
func (u *upstream) toIdle() {
	u.t, u.state, u.held = nil, upIdle, false
	if m, ok := u.e.core.Member(u.p.member); ok && m.State != spool.Serving {
		u.close()
		return
	}
	u.left = nil
	u.e.l.Want(u.fd, eventloop.Read)
	u.p.idle = append(u.p.idle, u)
	u.e.l.Arm(&u.timer, u.e.s.Limits.UpstreamIdle)
	if len(u.p.wait) > 0 {
		u.p.next()
	}
}

// read takes what has come, at most so many bytes, and returns how many that were.
func (u *upstream) read(hangup bool, most int) int {
	buf := u.e.scratch
	k := copy(buf, u.left)
	n, err := u.e.l.Read(u.fd, buf[k:min(k+most, len(buf))])
	if eventloop.Retryable(err) {
		if hangup && eventloop.NotReady(err) {
			u.broke(spool.Reset)
		}
		return 0
	}
	if err != nil || n == 0 {
		if err == nil && u.state == upBody && u.body.End() {
			u.finishBody(false)
			return 0
		}
		u.broke(spool.Reset)
		return 0
	}
	u.e.stats.InBytes += uint64(n)
	if u.state == upIdle { // nothing was asked: whatever it is, it answers nothing
		u.close()
		return n
	}
	if u.state == upBody {
		u.flow.Moved(u.e.guard.now(), n, &u.e.guard.member)
	}
	u.take(buf[:k+n])
	return n
}

// take takes bytes of an answer. What it leaves is kept only of heads and of
// chunk framing, and so is bounded.
func (u *upstream) take(data []byte) {
	for u.fd >= 0 {
		switch u.state {
		case upHead:
			n, err := http1.ParseResponse(data, &u.head, http1.Limits{}, u.t != nil && u.t.r.isHead)
			if err != nil {
				u.broke(spool.Errored)
				return
			}
			if n == 0 {
				u.left = append(u.left[:0], data...)
				return
			}
			data = data[n:]
			if u.head.Status < 200 {
				continue // 100 and 103: the answer is still to come
			}
			u.excess = len(data) > 0 && len(u.line) == 0
			if u.t == nil { // nobody wants it any more
				u.body.Start(&u.head, 0)
				u.unwanted()
			} else {
				u.answered()
			}
			if len(data) == 0 && u.fd >= 0 && u.state == upBody {
				u.t.r.c.flush() // the head goes out at once, however late the body is
				if u.fd < 0 || u.t == nil {
					return
				}
			}
		case upBody:
			rest, whole := u.relay(data)
			if u.fd < 0 || u.state != upBody {
				return
			}
			if whole {
				u.finishBody(len(rest) > 0 && len(u.line) == 0)
				data = rest
				break
			}
			u.left = u.left[:0]
			return
		case upDrain:
			for len(data) > 0 && !u.body.Done() {
				n, _, err := u.body.Next(data)
				if u.drain -= n; err != nil || n == 0 || u.drain < 0 {
					u.close()
					return
				}
				data = data[n:]
			}
			if !u.body.Done() {
				u.left = u.left[:0]
				return
			}
			if len(data) > 0 && len(u.line) == 0 || u.head.Close {
				u.close()
				return
			}
			u.advance()
		default: // idle or closed by what the answer led to
			if len(data) > 0 {
				u.close()
			}
			return
		}
		if len(data) == 0 {
			u.left = u.left[:0]
			return
		}
	}
}

const drainLimit = 64 << 10 // of an answer that nobody wants; beyond it the connection is closed

// answered has an answer's head: it becomes the client's, or an outcome.
func (u *upstream) answered() {
	t := u.t
	r := t.r
	if v := u.head.Get("spool-load"); v != nil {
		t.load = fetchheader.ParseLoad(t.load, v)
	}
	result, note := fetchheader.ClassifyResponse(&u.head, t.send.Source == t.cache && !r.q.Write, r.q.Write)
	u.body.Start(&u.head, 0)
	if result == spool.OK && r.phase == asked {
		u.relayHead(note)
		return
	}
	if result == spool.OK { // another attempt was first, or the client has its answer
		result = spool.NotSent
		if t.written {
			result = spool.Cancelled
		}
	}
	t.u, u.t = nil, nil
	u.unwanted()
	t.end(result, note, false)
}

// unwanted passes over the rest of an answer that is nobody's.
func (u *upstream) unwanted() {
	u.state, u.drain = upDrain, drainLimit
	switch {
	case u.body.Kind() == http1.UntilClose, u.body.Done() && (u.head.Close || u.excess):
		u.close()
	case u.body.Done():
		u.advance()
	default:
		u.e.l.Arm(&u.timer, u.e.s.Limits.BodyIdle)
	}
}

// relayHead begins the client's answer: from now on the attempt is the client's.
func (u *upstream) relayHead(note spool.Note) {
	t, e := u.t, u.e
	r := t.r
	c := r.c
	r.phase, r.winner = relaying, t
	r.status = u.head.Status
	e.l.Disarm(&t.timer)
	u.note = note
	if r.pageOf() != nil {
		u.pageHead()
		return
	}
	b := http1.AppendStatus(e.hbuf[:0], u.head.Status)
	b = appendEndToEnd(b, &u.head, theirs)
	b = append(b, "Via: 1.1 "...)
	b = append(b, e.name...)
	b = append(b, "\r\n"...)
	u.chunk = false
	switch {
	case u.body.Kind() == http1.Length || u.head.ContentLength >= 0 && u.body.Kind() == http1.NoBody:
		if u.head.Status != 204 {
			b = http1.AppendFieldInt(b, "Content-Length", u.head.ContentLength)
		}
	case u.body.Kind() == http1.NoBody:
		if !r.isHead && u.head.Status != 204 && u.head.Status != 304 {
			b = http1.AppendFieldInt(b, "Content-Length", 0)
		}
	case r.minor == 0:
		c.last = true
	default:
		u.chunk = true
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	b = c.appendConnection(b, r)
	e.hbuf = append(b, "\r\n"...)
	c.add(e.hbuf)
	u.state = upBody
	if u.won(); u.t != nil {
		u.beginBody()
	}
}

// won ends the other attempts of the request, and tells the module that this one's
// answer has begun.
func (u *upstream) won() {
	t := u.t
	for _, other := range t.r.tries {
		if other != t {
			other.cut(spool.Cancelled)
		}
	}
	u.e.tell(spool.Started{ID: t.r.id, Cache: t.cache, Attempt: t.n})
}

// beginBody waits for the body of the answer whose head has come.
func (u *upstream) beginBody() {
	if u.body.Done() {
		u.finishBody(u.excess)
		return
	}
	u.e.l.Arm(&u.timer, u.e.s.Limits.BodyIdle)
	u.flow = limits.Flow{}
	u.flow.StartWaiting(u.e.guard.now())
}

// relay passes content on to the client. Once as much waits as may, the member
// is not read until the client has taken some.
func (u *upstream) relay(data []byte) (rest []byte, whole bool) {
	c := u.t.r.c
	r := u.t.r
	for len(data) > 0 && !u.body.Done() {
		n, content, err := u.body.Next(data)
		if err != nil {
			u.broke(spool.Errored)
			return nil, false
		}
		if n == 0 {
			break
		}
		data = data[n:]
		if pg := r.pageOf(); pg != nil {
			if pg.content(r, content); u.t == nil {
				return nil, false
			}
			continue
		}
		r.sent += int64(len(content))
		if u.chunk {
			u.e.hbuf = http1.AppendChunk(u.e.hbuf[:0], content)
			c.add(u.e.hbuf)
		} else if len(content) > 2048 && c.out.Len() <= 4096 {
			c.write(content)
		} else {
			c.add(content)
		}
		if u.t == nil || c.gone { // the client has gone, and with it the attempt
			return nil, false
		}
	}
	if u.body.Done() {
		return data, true
	}
	u.e.l.Arm(&u.timer, u.e.s.Limits.BodyIdle)
	pg := r.pageOf()
	if pg == nil && c.out.Len() > 0 {
		c.flush()
	}
	if u.t != nil && u.fd >= 0 && (pg != nil && pg.holds(r) || pg == nil &&
		(c.out.Len() >= u.e.guard.room() || c.out.Len() > 0 && u.e.guard.mem.Full())) {
		u.held, u.heldAt = true, u.e.l.Now()
		u.flow.StopWaiting(u.e.guard.now(), &u.e.guard.member)
		u.e.l.Disarm(&u.timer) // the client holds things up, not the member
		u.e.l.Want(u.fd, 0)
	}
	return data, false
}

// resume reads on when the client has taken what waited.
func (r *request) resume() {
	t := r.winner
	if t == nil || t.u == nil || !t.u.held {
		return
	}
	u := t.u
	u.held = false
	u.stalled(false)
	u.flow.StartWaiting(u.e.guard.now())
	u.e.l.Arm(&u.timer, u.e.s.Limits.BodyIdle)
	u.e.l.Want(u.fd, eventloop.Read)
}

// stalled tells the module whether the answer waits for its client.
func (u *upstream) stalled(on bool) {
	if t := u.t; t != nil && u.told != on {
		u.told = on
		u.e.tell(spool.Stalled{ID: t.send.ID, Attempt: t.n, On: on})
	}
}

// theirs reports fields of an answer that are for the router, or written anew.
func theirs(name []byte) bool {
	return http1.EqualFold(name, "content-length") || http1.EqualFold(name, "spool-load")
}

var lastChunk = []byte(http1.LastChunk)

// finishBody has the whole answer. More bytes than it may have end the
// connection: they belong to no request.
func (u *upstream) finishBody(excess bool) {
	t := u.t
	r := t.r
	if u.chunk {
		r.c.add(lastChunk)
	}
	pg := r.pageOf()
	if pg == nil {
		r.e.stats.Served++
	}
	if r.page == nil {
		r.why = endServed
	}
	u.e.guard.jury.ObserveGood(u.p.member, u.e.guard.now())
	t.u, u.t = nil, nil
	keep := !excess && !u.head.Close && u.body.Kind() != http1.UntilClose
	note := u.note
	if keep {
		u.advance()
	} else {
		u.close()
	}
	t.end(spool.OK, note, true)
	if pg != nil {
		pg.whole(r)
	}
	if r.page == nil {
		r.finish()
	}
}
