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

// upstreamAttempt is one attempt of a request at a member. The routing module (package spool, run
// by engine.Core; "the module" in this package) decides on attempts and learns their outcomes.
type upstreamAttempt struct {
	request       *clientRequest
	number        int        // from 0
	cache, source string     // ids of the member that is sent the attempt, and of the one from which it fills; the same for no fill
	send          spool.Send // the module's action
	sentAt        float64
	timer         eventloop.Timer // timeout until the response begins
	upstream      *upstreamConn   // nil while the attempt waits for a connection, and once it is done
	pool          *connPool
	written       bool      // at least a part of the request was written, and may have reached the member
	done          bool      // the outcome was reported to the module
	load          []float64 // load report of the response
	result        spool.Result
	took          float64 // ms
}

// sendAttempt carries out a Send of the module.
func (e *Edge) sendAttempt(send *spool.Send) {
	request := e.requests[send.ID]
	if request == nil {
		return
	}
	attempt := request.newAttempt()
	attempt.cache, attempt.source, attempt.send, attempt.sentAt = send.Cache, send.Source, *send, e.loop.Now()
	e.stats.Attempts++
	if fragment := request.client.fragment; fragment != nil {
		fragment.countAttempt()
	}
	if attempt.number == 0 && request.spec.Deadline > request.submittedAt {
		e.guard.admission.ObserveQueueing((e.loop.Now() - request.submittedAt) / (request.spec.Deadline - request.submittedAt))
	}
	if request.phase != awaitingResponse {
		attempt.finish(spool.NotSent, spool.NoteNone, false)
		return
	}
	address := e.core.Address(send.Cache)
	timeout := request.spec.Deadline - e.loop.Now()
	if send.Timeout > 0 {
		timeout = min(timeout, send.Timeout)
	}
	e.loop.Arm(&attempt.timer, timeout)
	attempt.pool = e.poolFor(address, send.Cache)
	attempt.pool.assign(attempt)
	if send.Within > 0 && !attempt.written && !attempt.done { // give up if nothing of the request has been written within that time
		id, number := send.ID, attempt.number
		e.loop.AfterFunc(send.Within, func() {
			e.abandonUnwritten(func(other *upstreamAttempt) bool { return other.send.ID == id && other.number == number })
		})
	}
}

// timedOut ends the attempt when its response has not begun by the timeout.
func (a *upstreamAttempt) timedOut() {
	if a.done {
		return
	}
	result := spool.TimedOut
	switch {
	case a.upstream == nil: // no connection was free in time, so nothing was executed
		a.detach()
		a.finish(spool.Rejected, spool.NoteNoCapacity, false)
		return
	case !a.written && a.upstream.state == upConnecting:
		result = spool.ConnectFailed
	case !a.written: // connected, but nothing could be written
		result = spool.LocalFailure
	}
	a.abort(result)
}

// cancel cancels the attempt, unless its response is being relayed to the client.
func (a *upstreamAttempt) cancel() {
	if a.done || a.request.winner == a && a.request.phase == relaying {
		return
	}
	a.abort(spool.Cancelled)
}

// abort ends the attempt with the result, and closes its connection.
func (a *upstreamAttempt) abort(result spool.Result) {
	if a.done {
		return
	}
	a.detach()
	a.finish(result, spool.NoteNone, a.request.phase == finished || a.request.winner == a)
}

// detach removes the attempt from its connection, which it closes, or from the queue of attempts
// that wait for a connection. The connection stays open if the attempt is pipelined behind
// others there.
func (a *upstreamAttempt) detach() {
	if upstream := a.upstream; upstream != nil && upstream.attempt != a { // pipelined: its response will be discarded
		a.upstream = nil
		for i := range upstream.pipelined {
			if upstream.pipelined[i] == a {
				upstream.pipelined[i] = nil
			}
		}
	} else if upstream != nil {
		a.upstream, upstream.attempt = nil, nil
		if a.written { // a reset stops the member at once, and leaves no port in TIME_WAIT
			unix.SetsockoptLinger(upstream.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		}
		upstream.close()
	} else if a.pool != nil {
		a.pool.removeWaiting(a)
	}
}

// finish reports the outcome of the attempt to the module. last reports that the request
// has ended.
func (a *upstreamAttempt) finish(result spool.Result, note spool.Note, last bool) {
	if a.done {
		return
	}
	edge, request := a.request.edge, a.request
	a.done, a.result = true, result
	edge.loop.Disarm(&a.timer)
	a.took = edge.loop.Now() - a.sentAt
	request.openAttempts--
	edge.dispatch(spool.Outcome{ID: a.send.ID, Cache: a.cache, Attempt: a.number, Result: result, Took: a.took,
		Last: last || request.phase == finished, Note: note, Load: a.load})
	request.releaseIfDone()
}

// connPool holds the connections to one address.
type connPool struct {
	edge        *Edge
	address     string
	member      string // the id of the member that the address was last used for
	connections map[*upstreamConn]struct{}
	idle        []*upstreamConn    // idle connections, the most recently used last; that one is reused first
	waiting     []*upstreamAttempt // attempts that wait for a connection, in order of arrival
}

// poolFor returns the pool for an address, which it creates if needed.
func (e *Edge) poolFor(address, member string) *connPool {
	pool := e.pools[address]
	if pool == nil {
		pool = &connPool{edge: e, address: address, connections: map[*upstreamConn]struct{}{}}
		e.pools[address] = pool
	}
	pool.member = member
	return pool
}

// assign gives the attempt an idle or a new connection, pipelines it behind others, or queues it
// until a connection is free.
func (p *connPool) assign(attempt *upstreamAttempt) {
	for n := len(p.idle); n > 0; n = len(p.idle) {
		upstream := p.idle[n-1]
		p.idle = p.idle[:n-1]
		// Unsolicited input would be taken for the response, and a request would be lost on
		// a connection that the member has closed. The loop may not have reported either yet.
		if !eventloop.Idle(upstream.fd) {
			upstream.close()
			continue
		}
		p.edge.loop.Disarm(&upstream.timer)
		p.edge.stats.Reused++
		upstream.start(attempt)
		return
	}
	if len(p.connections) >= p.edge.settings.Limits.MemberConnections {
		p.edge.guard.closeStalledUpstream(p)
		if u := p.pipelineCandidate(attempt); u != nil {
			u.pipeline(attempt)
		} else {
			p.waiting = append(p.waiting, attempt)
		}
		return
	}
	upstream, err := p.connect()
	if (errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE)) && p.freeDescriptor() {
		upstream, err = p.connect()
	}
	switch {
	case err == nil:
		upstream.start(attempt)
	case eventloop.IsLocalShortage(err): // a shortage on this machine must not count against the member
		p.edge.stats.ConnectWaits++
		attempt.finish(spool.LocalFailure, spool.NoteNone, false)
	default:
		attempt.finish(spool.ConnectFailed, spool.NoteNone, false)
	}
}

// freeDescriptor closes an idle connection, of a client or else to another member, to free its
// descriptor. It reports whether it found one.
func (p *connPool) freeDescriptor() bool {
	return p.edge.guard.closeIdle(limits.Descriptors) || p.edge.closeIdleUpstream(p)
}

// pipelineCandidate returns the connection with the fewest pipelined requests on which the
// attempt can be pipelined (RFC 9112, section 9.3.2), or nil if there is none. Only GETs are
// pipelined.
func (p *connPool) pipelineCandidate(attempt *upstreamAttempt) (best *upstreamConn) {
	depth := p.edge.settings.Limits.Pipeline - 1
	if depth < 1 || attempt.request.spec.Write || attempt.request.isHead {
		return nil
	}
	for u := range p.connections {
		if queued := len(u.pipelined); queued < depth && (u.state == upAwaitingHead || u.state == upRelayingBody) && u.output.Len() == 0 && !u.paused && !u.retired &&
			(best == nil || queued < len(best.pipelined)) {
			best = u
		}
	}
	return best
}

func (p *connPool) removeWaiting(attempt *upstreamAttempt) {
	for i, w := range p.waiting {
		if w == attempt {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

// assignWaiting assigns a connection that has become free to the first waiting attempt. If the
// pool has no connection afterwards, none can become free later either, so assignWaiting goes on
// with the next waiting attempt. An attempt fails if no connection can be opened for it.
func (p *connPool) assignWaiting() {
	for len(p.waiting) > 0 {
		attempt := p.waiting[0]
		if p.waiting = p.waiting[1:]; len(p.waiting) == 0 {
			p.waiting = nil
		}
		if p.assign(attempt); len(p.connections) > 0 {
			return
		}
	}
}

// closeIdle closes all idle connections of the pool.
func (p *connPool) closeIdle() {
	for len(p.idle) > 0 {
		p.idle[len(p.idle)-1].close()
	}
}

// retire closes the connections of the pool as soon as they are idle: its member has another address,
// and another process may use this one.
func (p *connPool) retire() {
	p.closeIdle()
	for u := range p.connections {
		u.retired = true
	}
}

// upstreamState is the state of an upstream connection.
type upstreamState uint8

const (
	upConnecting upstreamState = iota
	upIdle
	upAwaitingHead // the attempt is written, and its response's head is incomplete
	upRelayingBody // the response's body is relayed to the client
	upDiscarding   // the rest of an unwanted response is read, so that the connection can be kept
)

// upstreamConn is a connection to a member.
type upstreamConn struct {
	edge          *Edge
	pool          *connPool
	fd            int
	state         upstreamState
	attempt       *upstreamAttempt
	pipelined     []*upstreamAttempt // GETs that follow attempt; nil entries are abandoned, and their responses discarded
	unparsed      []byte             // input that was read, and not parsed yet
	output        eventloop.Queue    // output that was not written yet
	writing       *upstreamAttempt   // the attempt whose request is in output
	head          http1.Head
	body          http1.Body
	chunked       bool // the body is sent to the client in chunks
	extraBytes    bool // bytes followed the head in the same read, and no pipelined response is due; excess if the response has no body
	paused        bool // not read, since the client is slow
	timer         eventloop.Timer
	discardBudget int // bytes of the unwanted response that may still be read
	note          spool.Note
	flow          limits.Flow // rate at which the member sends the body
	pausedAt      float64     // time at which paused was last set
	stallReported bool        // the module was told that the response is stalled
	queued        bool        // the connection is readable, and in the scheduler's queue
	queuedSince   float64     // time at which queued was last set
	retired       bool        // closed after the present attempt: the member has another address
}

// connect opens a connection to the pool's address.
func (p *connPool) connect() (*upstreamConn, error) {
	fd, inProgress, err := p.edge.loop.Dial(p.address)
	if err != nil {
		return nil, err
	}
	if n := p.edge.settings.Limits.SocketKB; n > 0 {
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, n*1024/2)
	}
	upstream := &upstreamConn{edge: p.edge, pool: p, fd: fd, state: upConnecting}
	upstream.timer.F = upstream.onTimer
	want := eventloop.Write
	if !inProgress {
		upstream.state, want = upIdle, eventloop.Read
	}
	if err := p.edge.loop.Add(fd, want, upstream); err != nil {
		unix.Close(fd)
		return nil, err
	}
	p.edge.stats.Connects++
	p.connections[upstream] = struct{}{}
	p.edge.guard.memory.Add(limits.Connections, upstreamBytes)
	return upstream, nil
}

// closeIdleUpstream closes an idle connection of another pool than except, to free its
// descriptor.
func (e *Edge) closeIdleUpstream(except *connPool) bool {
	for _, p := range e.pools {
		if p != except && len(p.idle) > 0 {
			p.idle[0].close() // the longest unused
			return true
		}
	}
	return false
}

// start gives the connection an attempt, which is written as soon as it is connected.
func (u *upstreamConn) start(attempt *upstreamAttempt) {
	u.attempt, attempt.upstream, u.stallReported = attempt, u, false
	if u.state == upConnecting {
		u.edge.loop.Arm(&u.timer, u.edge.settings.Limits.ConnectTimeout)
		return
	}
	u.writeAttempt()
}

func (u *upstreamConn) writeAttempt() {
	u.state = upAwaitingHead
	u.unparsed = nil
	u.writeRequest(u.attempt)
}

// pipeline writes an attempt behind others whose responses are outstanding.
func (u *upstreamConn) pipeline(attempt *upstreamAttempt) {
	attempt.upstream = u
	u.pipelined = append(u.pipelined, attempt)
	u.writeRequest(attempt)
}

// writeRequest writes the request of an attempt.
func (u *upstreamConn) writeRequest(attempt *upstreamAttempt) {
	request := attempt.request
	head := append(u.edge.headBuffer[:0], request.forwardHead...)
	fill := fetchheader.NewAttempt(&attempt.send, &request.spec, attempt.number, u.edge.name, u.edge.core.Address(attempt.source), max(request.spec.Deadline-u.edge.loop.Now(), 1))
	head = append(head, fetchheader.FillField+": "...)
	head = fill.Append(head)
	head = append(head, "\r\n"...)
	if fill.Source == "" && !request.spec.Write {
		head = append(head, "Cache-Control: only-if-cached\r\n"...)
	}
	if request.spec.Write {
		head = http1.AppendFieldInt(head, "Content-Length", int64(len(request.requestBody)))
	}
	head = append(head, "\r\n"...)
	u.edge.headBuffer = head
	n, err := u.edge.loop.WriteTwo(u.fd, head, request.requestBody)
	switch {
	case eventloop.NotReady(err):
		n = 0
	case eventloop.Retryable(err):
		u.withdraw(attempt)
		return
	case err != nil:
		u.fail(spool.Reset)
		return
	}
	u.edge.stats.OutBytes += uint64(n)
	attempt.written = n > 0
	if n == len(head)+len(request.requestBody) {
		if !u.paused {
			u.edge.loop.Want(u.fd, eventloop.Read)
		}
		return
	}
	u.writing = attempt
	u.output.Add(&u.edge.buffers, head[min(n, len(head)):])
	u.output.Add(&u.edge.buffers, request.requestBody[max(n-len(head), 0):])
	u.flush()
}

// withdraw ends the last attempt on the connection with LocalFailure, because nothing of it could
// be written for lack of local resources. The connection can be used again.
func (u *upstreamConn) withdraw(attempt *upstreamAttempt) {
	u.edge.stats.ConnectWaits++
	attempt.upstream = nil
	if u.attempt == attempt {
		u.makeIdle()
	} else {
		u.pipelined = u.pipelined[:len(u.pipelined)-1]
	}
	attempt.finish(spool.LocalFailure, spool.NoteNone, false)
}

// flush writes the pending output.
func (u *upstreamConn) flush() {
	for u.output.Len() > 0 {
		n, err := u.edge.loop.Write(u.fd, u.output.Bytes())
		if eventloop.Retryable(err) {
			u.edge.loop.Want(u.fd, eventloop.Read|eventloop.Write)
			return
		}
		if err != nil {
			u.fail(spool.Reset)
			return
		}
		u.edge.stats.OutBytes += uint64(n)
		u.output.Take(&u.edge.buffers, n)
		u.writing.written = true
	}
	u.writing = nil
	u.edge.loop.Want(u.fd, eventloop.Read)
}

func (u *upstreamConn) onTimer() {
	switch u.state {
	case upConnecting:
		u.fail(spool.ConnectFailed)
	case upRelayingBody:
		if u.queued { // input is waiting: the router is late, not the member
			u.edge.loop.Arm(&u.timer, u.edge.settings.Limits.BodyIdle)
			return
		}
		u.fail(spool.TimedOut)
	default:
		u.close()
	}
}

// OnReady completes the connect, writes pending output and reads input. Bodies wait for their
// turn in the scheduler.
func (u *upstreamConn) OnReady(ready eventloop.Ready) {
	if u.state == upConnecting {
		if !ready.Writable() {
			return
		}
		socketErr, err := unix.GetsockoptInt(u.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err != nil || socketErr != 0 {
			u.fail(spool.ConnectFailed)
			return
		}
		u.edge.loop.Disarm(&u.timer)
		if u.attempt == nil {
			u.makeIdle()
			return
		}
		u.writeAttempt()
		return
	}
	if ready.Writable() && u.output.Len() > 0 {
		if u.flush(); u.fd < 0 {
			return
		}
	}
	if !ready.Readable() {
		return
	}
	if u.state != upRelayingBody {
		u.read(ready.Hangup(), min(headReadBytes, u.edge.guard.bufferRoom()))
		return
	}
	if !u.queued {
		u.queued, u.queuedSince = true, u.edge.loop.Now()
		u.flow.StopWaiting(u.edge.guard.peerTime(), &u.edge.guard.memberRate) // until transfer reads, the router does not wait for the member
		u.edge.guard.enqueue(u.attempt.request.client.schedulerClass, u)
	}
}

// headReadBytes is the most that is read at once while a head is awaited, enough for the whole
// of a small response.
const headReadBytes = 128 << 10

func (u *upstreamConn) queuedAt() float64 { return u.queuedSince }

// transfer reads and relays about room bytes of a body.
func (u *upstreamConn) transfer(room int) (moved int, more bool) {
	u.queued = false
	if u.fd < 0 || u.state != upRelayingBody && u.state != upDiscarding || u.paused {
		return 0, false
	}
	if u.attempt != nil {
		room = min(room, u.edge.guard.bufferRoom()-u.attempt.request.client.output.Len())
	}
	room = max(room, minReadBytes)
	n := u.read(false, room)
	if n >= room && u.fd >= 0 && u.state == upRelayingBody && !u.paused {
		u.queued, u.queuedSince = true, u.edge.loop.Now()
		return n, true
	}
	if u.fd >= 0 && u.state == upRelayingBody && !u.paused {
		u.flow.StartWaiting(u.edge.guard.peerTime())
	}
	return max(n, 0), false
}

// minReadBytes is the least number of bytes that transfer reads at once.
const minReadBytes = 4 << 10

// fail closes the connection, and ends its attempt with the result.
func (u *upstreamConn) fail(result spool.Result) {
	attempt := u.attempt
	u.attempt = nil
	if attempt == nil {
		u.close()
		return
	}
	attempt.upstream = nil
	request := attempt.request
	started := request.winner == attempt && request.phase == relaying
	if started {
		// The response has begun, and cannot be continued from another copy, so the client's
		// connection is closed. The framing shows the client that the body is incomplete. A
		// reset could discard bytes that the client has not read yet, so it is used only for
		// a body that ends with the connection, which would otherwise seem complete.
		request.end = endBroken
		request.edge.stats.Broken++
		client := request.client
		if page := request.ownerPage(); page != nil {
			attempt.finish(result, spool.NoteNone, true)
			u.close()
			page.responseBroken(request)
			return
		}
		client.closeAfterResponse, client.discardInput = true, true
		if u.body.Kind() != http1.Length && !u.chunked {
			unix.SetsockoptLinger(client.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
			client.close()
		}
		request.finish()
	}
	attempt.finish(result, spool.NoteNone, started)
	u.close() // last, since the free connection slot starts another attempt
}

// close closes the connection, ends its pipelined attempts, and lets waiting attempts take its
// place in the pool.
func (u *upstreamConn) close() {
	if u.fd < 0 {
		return
	}
	u.edge.loop.Forget(&u.timer)
	u.edge.loop.Remove(u.fd)
	unix.Close(u.fd)
	u.fd = -1
	pool := u.pool
	delete(pool.connections, u)
	u.edge.guard.memory.Add(limits.Connections, -upstreamBytes)
	for i, idle := range pool.idle {
		if idle == u {
			pool.idle = append(pool.idle[:i], pool.idle[i+1:]...)
			break
		}
	}
	u.unparsed = nil
	u.output.Drop(&u.edge.buffers)
	pipelined := u.pipelined
	u.pipelined = nil
	for _, attempt := range pipelined {
		// A request that was written may have reached the member. It is reported as NotSent all
		// the same, so that the module retries it: only GETs are pipelined, and repeating a GET
		// is safe.
		if attempt != nil {
			attempt.upstream = nil
			attempt.finish(spool.NotSent, spool.NoteNone, false)
		}
	}
	pool.assignWaiting()
}

// nextResponse continues with the response to the next pipelined attempt, or makes the
// connection idle.
func (u *upstreamConn) nextResponse() {
	if len(u.pipelined) == 0 {
		u.makeIdle()
		return
	}
	u.edge.loop.Disarm(&u.timer)
	u.attempt, u.state, u.stallReported = u.pipelined[0], upAwaitingHead, false
	if u.pipelined = u.pipelined[1:]; len(u.pipelined) == 0 {
		u.pipelined = nil
	}
	if len(u.pool.waiting) > 0 {
		u.pool.assignWaiting()
	}
}

// makeIdle keeps the connection for another attempt, unless the member no longer serves.
func (u *upstreamConn) makeIdle() {
	u.attempt, u.state, u.paused = nil, upIdle, false
	if m, ok := u.edge.core.Member(u.pool.member); u.retired || ok && m.State != spool.Serving {
		u.close()
		return
	}
	u.unparsed = nil
	u.edge.loop.Want(u.fd, eventloop.Read)
	u.pool.idle = append(u.pool.idle, u)
	u.edge.loop.Arm(&u.timer, u.edge.settings.Limits.MemberIdle)
	if len(u.pool.waiting) > 0 {
		u.pool.assignWaiting()
	}
}

// read reads and parses maxBytes at most, and returns the number of bytes read.
func (u *upstreamConn) read(hangup bool, maxBytes int) int {
	buf := u.edge.scratch
	kept := copy(buf, u.unparsed)
	n, err := u.edge.loop.Read(u.fd, buf[kept:min(kept+maxBytes, len(buf))])
	if eventloop.Retryable(err) {
		if hangup && eventloop.NotReady(err) {
			u.fail(spool.Reset)
		}
		return 0
	}
	if err != nil || n == 0 {
		if err == nil && u.state == upRelayingBody && u.body.End() {
			u.finishBody(false)
			return 0
		}
		u.fail(spool.Reset)
		return 0
	}
	u.edge.stats.InBytes += uint64(n)
	if u.state == upIdle { // unsolicited input
		u.close()
		return n
	}
	if u.state == upRelayingBody {
		u.flow.Moved(u.edge.guard.peerTime(), n, &u.edge.guard.memberRate)
	}
	u.parse(buf[:kept+n])
	return n
}

// parse parses bytes of responses. It keeps only the bytes of an incomplete head for later, so the
// amount is bounded; http1.Body keeps the state within the framing of a body.
func (u *upstreamConn) parse(buf []byte) {
	for u.fd >= 0 {
		switch u.state {
		case upAwaitingHead:
			n, err := http1.ParseResponse(buf, &u.head, http1.Limits{}, u.attempt != nil && u.attempt.request.isHead)
			if err != nil {
				u.fail(spool.Errored)
				return
			}
			if n == 0 {
				u.unparsed = append(u.unparsed[:0], buf...)
				return
			}
			buf = buf[n:]
			if u.head.Status < 200 {
				continue // interim responses such as 100 and 103
			}
			u.extraBytes = len(buf) > 0 && len(u.pipelined) == 0
			if u.attempt == nil { // its attempt was abandoned
				u.body.Start(&u.head, 0)
				u.discardResponse()
			} else {
				u.handleHead()
			}
			if len(buf) == 0 && u.fd >= 0 && u.state == upRelayingBody {
				u.attempt.request.client.flush() // do not hold the head back until the body arrives
				if u.fd < 0 || u.attempt == nil {
					return
				}
			}
		case upRelayingBody:
			rest, complete := u.relayBody(buf)
			if u.fd < 0 || u.state != upRelayingBody {
				return
			}
			if complete {
				u.finishBody(len(rest) > 0 && len(u.pipelined) == 0)
				buf = rest
				break
			}
			u.unparsed = u.unparsed[:0]
			return
		case upDiscarding:
			for len(buf) > 0 && !u.body.Done() {
				n, _, err := u.body.Next(buf)
				if u.discardBudget -= n; err != nil || n == 0 || u.discardBudget < 0 {
					u.close()
					return
				}
				buf = buf[n:]
			}
			if !u.body.Done() {
				u.unparsed = u.unparsed[:0]
				return
			}
			if len(buf) > 0 && len(u.pipelined) == 0 || u.head.Close {
				u.close()
				return
			}
			u.nextResponse()
		default: // handling the response made the connection idle, or closed it
			if len(buf) > 0 {
				u.close()
			}
			return
		}
		if len(buf) == 0 {
			u.unparsed = u.unparsed[:0]
			return
		}
	}
}

// maxDiscardBytes is the most that is read of an unwanted response to keep its connection. A
// connection with more to read is closed.
const maxDiscardBytes = 64 << 10

// handleHead handles the head of a response: it begins the client's response, or ends the
// attempt.
func (u *upstreamConn) handleHead() {
	attempt := u.attempt
	request := attempt.request
	if value := u.head.Get("spool-load"); value != nil {
		attempt.load = fetchheader.ParseLoad(attempt.load, value)
	}
	result, note := fetchheader.ClassifyResponse(&u.head, attempt.send.Source == attempt.cache && !request.spec.Write, request.spec.Write)
	u.body.Start(&u.head, 0)
	if result == spool.OK && request.phase == awaitingResponse {
		u.relayHead(note)
		return
	}
	if result == spool.OK { // another attempt won, or the client was answered already
		result = spool.NotSent // the member responded before the request was written
		if attempt.written {
			result = spool.Cancelled
		}
	}
	attempt.upstream, u.attempt = nil, nil
	u.discardResponse()
	attempt.finish(result, note, false)
}

// discardResponse reads and drops the rest of an unwanted response, or closes the connection.
func (u *upstreamConn) discardResponse() {
	u.state, u.discardBudget = upDiscarding, maxDiscardBytes
	switch {
	case u.body.Kind() == http1.UntilClose, u.body.Done() && (u.head.Close || u.extraBytes):
		u.close()
	case u.body.Done():
		u.nextResponse()
	default:
		u.edge.loop.Arm(&u.timer, u.edge.settings.Limits.BodyIdle)
	}
}

// relayHead makes the connection's attempt the winner of its request, and begins the response to
// the client with the head of the attempt's response.
func (u *upstreamConn) relayHead(note spool.Note) {
	attempt, edge := u.attempt, u.edge
	request := attempt.request
	client := request.client
	request.phase, request.winner = relaying, attempt
	request.status = u.head.Status
	edge.loop.Disarm(&attempt.timer)
	u.note = note
	if request.ownerPage() != nil {
		u.relayPageHead()
		return
	}
	head := http1.AppendStatus(edge.headBuffer[:0], u.head.Status)
	head = appendEndToEnd(head, &u.head, isRouterResponseField)
	head = append(head, "Via: 1.1 "...)
	head = append(head, edge.name...)
	head = append(head, "\r\n"...)
	u.chunked = false
	switch {
	case u.body.Kind() == http1.Length || u.head.ContentLength >= 0 && u.body.Kind() == http1.NoBody:
		if u.head.Status != 204 {
			head = http1.AppendFieldInt(head, "Content-Length", u.head.ContentLength)
		}
	case u.body.Kind() == http1.NoBody:
		if !request.isHead && u.head.Status != 204 && u.head.Status != 304 {
			head = http1.AppendFieldInt(head, "Content-Length", 0)
		}
	case request.httpMinor == 0:
		client.closeAfterResponse = true
	default:
		u.chunked = true
		head = append(head, "Transfer-Encoding: chunked\r\n"...)
	}
	head = client.appendConnection(head, request)
	edge.headBuffer = append(head, "\r\n"...)
	client.buffer(edge.headBuffer)
	u.state = upRelayingBody
	if u.cancelOthers(); u.attempt != nil {
		u.beginBody()
	}
}

// cancelOthers cancels the other attempts of the request, and tells the module that the
// response of this one has begun.
func (u *upstreamConn) cancelOthers() {
	attempt := u.attempt
	for _, other := range attempt.request.attempts {
		if other != attempt {
			other.abort(spool.Cancelled)
		}
	}
	u.edge.dispatch(spool.Started{ID: attempt.request.id, Cache: attempt.cache, Attempt: attempt.number})
}

// beginBody starts to wait for the body of a response whose head was handled.
func (u *upstreamConn) beginBody() {
	if u.body.Done() {
		u.finishBody(u.extraBytes)
		return
	}
	u.edge.loop.Arm(&u.timer, u.edge.settings.Limits.BodyIdle)
	u.flow = limits.Flow{}
	u.flow.StartWaiting(u.edge.guard.peerTime())
}

// relayBody relays content to the client. When the client's buffer is full, it pauses reading
// from the member until the client has read. It returns the bytes that follow the body, and
// whether the body is complete.
func (u *upstreamConn) relayBody(buf []byte) (rest []byte, complete bool) {
	client := u.attempt.request.client
	request := u.attempt.request
	for len(buf) > 0 && !u.body.Done() {
		n, content, err := u.body.Next(buf)
		if err != nil {
			u.fail(spool.Errored)
			return nil, false
		}
		if n == 0 {
			break
		}
		buf = buf[n:]
		if page := request.ownerPage(); page != nil {
			if page.receive(request, content); u.attempt == nil {
				return nil, false
			}
			continue
		}
		request.sentBytes += int64(len(content))
		if u.chunked {
			u.edge.headBuffer = http1.AppendChunk(u.edge.headBuffer[:0], content)
			client.buffer(u.edge.headBuffer)
		} else if len(content) > 2048 && client.output.Len() <= 4096 {
			client.write(content) // avoids copying the content into the buffer
		} else {
			client.buffer(content)
		}
		if u.attempt == nil || client.closed { // the client has left, which ended the attempt
			return nil, false
		}
	}
	if u.body.Done() {
		return buf, true
	}
	u.edge.loop.Arm(&u.timer, u.edge.settings.Limits.BodyIdle)
	page := request.ownerPage()
	if page == nil && client.output.Len() > 0 {
		client.flush()
	}
	if u.attempt != nil && u.fd >= 0 && (page != nil && page.full(request) || page == nil &&
		(client.output.Len() >= u.edge.guard.bufferRoom() || client.output.Len() > 0 && u.edge.guard.memory.Full())) {
		u.paused, u.pausedAt = true, u.edge.loop.Now()
		u.flow.StopWaiting(u.edge.guard.peerTime(), &u.edge.guard.memberRate)
		u.edge.loop.Disarm(&u.timer) // the client is slow, not the member
		u.edge.loop.Want(u.fd, 0)
	}
	return buf, false
}

// resumeReading resumes reading from the member after the client has read the buffered output.
func (r *clientRequest) resumeReading() {
	attempt := r.winner
	if attempt == nil || attempt.upstream == nil || !attempt.upstream.paused {
		return
	}
	u := attempt.upstream
	u.paused = false
	u.reportStalled(false)
	u.flow.StartWaiting(u.edge.guard.peerTime())
	u.edge.loop.Arm(&u.timer, u.edge.settings.Limits.BodyIdle)
	u.edge.loop.Want(u.fd, eventloop.Read)
}

// reportStalled tells the module whether the response is stalled by its client.
func (u *upstreamConn) reportStalled(on bool) {
	if attempt := u.attempt; attempt != nil && u.stallReported != on {
		u.stallReported = on
		u.edge.dispatch(spool.Stalled{ID: attempt.send.ID, Attempt: attempt.number, On: on})
	}
}

// isRouterResponseField reports whether a response field is meant for the router, or set by it.
func isRouterResponseField(name []byte) bool {
	return http1.EqualFold(name, "content-length") || http1.EqualFold(name, "spool-load")
}

var lastChunk = []byte(http1.LastChunk)

// finishBody handles the end of a response. excess reports that bytes follow the response that
// belong to no request; the connection is then closed.
//
// ownerPage returns the page also for the request of a fragment. request.page is nil for that
// request, which ends here like one without a page; the page itself ends the request for its
// template.
func (u *upstreamConn) finishBody(excess bool) {
	attempt := u.attempt
	request := attempt.request
	if u.chunked {
		request.client.buffer(lastChunk)
	}
	page := request.ownerPage()
	if page == nil {
		request.edge.stats.Served++
	}
	if request.page == nil {
		request.end = endServed
	}
	u.edge.guard.massSlowness.ObserveGood(u.pool.member, u.edge.guard.peerTime())
	attempt.upstream, u.attempt = nil, nil
	keep := !excess && !u.head.Close && u.body.Kind() != http1.UntilClose
	note := u.note
	if keep {
		u.nextResponse()
	} else {
		u.close()
	}
	attempt.finish(spool.OK, note, true)
	if page != nil {
		page.responseDone(request)
	}
	if request.page == nil {
		request.finish()
	}
}
