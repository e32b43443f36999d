package httpfront

import (
	"net/netip"

	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/esi"
	"indigospool/internal/protocol/http1"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/proxy/limits"
)

// clientConn is a clientConn's connection. Between requests it holds no buffer.
type clientConn struct {
	edge      *Edge
	fd        int
	unparsed  []byte          // read, and not yet taken
	output    eventloop.Queue // answered, and not yet written
	idleTimer eventloop.Timer
	current   *clientRequest // in hand; nil between requests
	fragment  *pageFragment  // no connection: it asks for a fragment of a page; nil: it is one

	addr           netip.Addr
	addrText       string      // from, as text
	flow           limits.Flow // of what is waited for from it
	writtenBytes   int64       // bytes that the kernel has taken for it
	ackedAtTimeout int64       // of them, what it had acknowledged when its time to take some last ended
	ackedBytes     int64       // of them, what it had acknowledged when it was last looked at
	unreadTracked  bool        // the kernel may hold some of an answer that is whole
	schedulerClass int         // in the scheduler, of its last request
	prev, next     *clientConn // among those between requests
	accounted      int64       // of the memory budget, for left
	queued         bool        // ready to take bytes, and waiting for its turn
	queuedSince    float64     // when it was queued
	idleSince      float64     // when it began to have nothing in hand
	lastProgress   float64     // when it last took something of what waits for it
	badOutcome     bool        // its present request counts as a bad end

	closed             bool // closed
	eof                bool // the client sends no more
	noProgress         bool // it has taken nothing since the idle timer was armed
	closeAfterResponse bool // the connection ends with the present answer
	discardInput       bool // a fault was answered: what still comes is dropped
	receiving          bool // a request has begun to come and is not whole
	readPaused         bool // pipelined bytes reached the limit
}

// What is read ahead and answered is bounded by the settings; these are how
// much is read at once.
const readBytes = 64 << 10

func (c *clientConn) OnReady(ready eventloop.Ready) {
	if ready.Writable() && c.output.Len() > 0 {
		if c.output.Len() <= directWriteBytes {
			c.flush()
		} else if !c.queued {
			c.queued, c.queuedSince = true, c.edge.loop.Now()
			c.edge.guard.setAwaited(c, false) // it is the router that it waits for now
			c.edge.guard.enqueue(c.schedulerClass, c)
		}
	}
	if !c.closed && ready.Readable() {
		c.read(ready)
	}
}

func (c *clientConn) read(ready eventloop.Ready) {
	c.readOnce(ready)
	c.accountInput()
}

// accountInput books what is read and not yet taken.
func (c *clientConn) accountInput() {
	if n := int64(cap(c.unparsed)); n != c.accounted {
		c.edge.guard.memory.Add(limits.Heads, n-c.accounted)
		c.accounted = n
	}
}

// resetFlow forgets how it was waited for.
func (c *clientConn) resetFlow() {
	delete(c.edge.guard.awaited, c)
	c.flow = limits.Flow{}
}

func (c *clientConn) readOnce(ready eventloop.Ready) {
	buf := c.edge.scratch[:readBytes]
	n, err := c.edge.loop.Read(c.fd, buf)
	switch {
	case eventloop.Retryable(err):
		if ready.Hangup() && eventloop.NotReady(err) {
			c.disconnect()
		}
		return
	case err != nil:
		c.disconnect()
		return
	case n == 0:
		c.onEOF()
		return
	case c.discardInput:
		return
	}
	c.edge.stats.InBytes += uint64(n)
	if c.flow.Waiting() && c.output.Len() == 0 {
		least, _ := c.minRate()
		c.flow.Moved(c.edge.guard.peerTime(), n, least)
	}
	data := buf[:n]
	if len(c.unparsed) > 0 || c.current != nil && c.current.phase != receivingBody {
		c.unparsed = append(c.unparsed, data...)
		if c.current == nil || c.current.phase == receivingBody {
			c.parseUnparsed()
			return
		}
		if len(c.unparsed) >= c.edge.settings.Limits.Pipelined {
			c.readPaused = true
			c.updateInterest()
		}
		return
	}
	rest := c.parse(data)
	if !c.closed && len(rest) > 0 {
		c.unparsed = append(c.unparsed[:0], rest...)
	}
}

// parseUnparsed takes what was read before.
func (c *clientConn) parseUnparsed() {
	if len(c.unparsed) == 0 {
		return
	}
	data := c.unparsed
	c.unparsed = nil
	rest := c.parse(data)
	if c.closed {
		return
	}
	if len(rest) > 0 {
		c.unparsed = append(data[:0], rest...)
	}
	// a head or a body that is coming has limits of its own
	if c.readPaused && (c.current == nil || c.current.phase == receivingBody || len(c.unparsed) < c.edge.settings.Limits.Pipelined) {
		c.readPaused = false
		c.updateInterest()
	}
}

// parse takes requests from buf until one is in hand, and returns what is left.
func (c *clientConn) parse(buf []byte) []byte {
	for len(buf) > 0 && !c.closed && !c.discardInput {
		if c.current != nil {
			if c.current.phase != receivingBody {
				return buf
			}
			n, err := c.current.receiveBody(buf)
			if buf = buf[n:]; err != nil {
				c.rejectInvalid(err)
				return nil
			}
			if c.current != nil && c.current.phase == receivingBody {
				c.edge.guard.setAwaited(c, true)
				return buf // more has to come
			}
			continue
		}
		if c.closeAfterResponse {
			c.discardInput = true // the connection ends here: what follows is not looked at
			return nil
		}
		if c.output.Len() > 0 {
			return buf // a slow client's earlier answer goes first
		}
		if !c.receiving {
			c.receiving = true
			c.edge.guard.idleClients.remove(c)
			c.edge.loop.Arm(&c.idleTimer, c.edge.settings.Limits.HeadTime)
		}
		n, err := c.edge.core.Parse(buf, &c.edge.head)
		if err != nil {
			c.rejectInvalid(err)
			return nil
		}
		if n == 0 {
			c.edge.guard.setAwaited(c, true)
			return buf
		}
		buf = buf[n:]
		c.resetFlow()
		c.startRequest()
	}
	return buf
}

// startRequest takes the request whose head has come.
func (c *clientConn) startRequest() {
	edge := c.edge
	head := &edge.head
	edge.stats.Requests++
	request := edge.newRequest(c)
	request.receivedAt, request.isHead, request.httpMinor = edge.loop.Now(), head.IsHead(), head.Minor
	c.current = request
	c.closeAfterResponse = c.closeAfterResponse || head.Close || edge.draining && edge.successor == nil
	spec, err := edge.core.Classify("", request.receivedAt, head)
	request.spec = spec
	if err != nil {
		rejection, ok := err.(*engine.Rejection)
		if !ok {
			rejection = &engine.Rejection{Status: 400, Detail: endMalformed.word(), Message: err.Error()}
		}
		request.logObject = string(clip(head.Target, 256))
		c.skipBody(head)
		request.end, request.routeError = endNoRoute, rejection
		c.respond(request, rejection.Status, 0)
		return
	}
	if len(edge.requests) >= edge.settings.Limits.Held {
		c.skipBody(head)
		request.end = endHeld
		c.respond(request, 503, 1000)
		return
	}
	if cause := edge.guard.admit(c, &request.spec); cause != limits.None {
		edge.guard.counts[cause]++
		c.skipBody(head)
		request.end = endLimit
		request.limitCause = cause
		edge.stats.Refused++
		began := edge.loop.Took()
		c.respond(request, 503, 1000)
		edge.guard.readPause.AddCost((edge.loop.Took() - began) * 1.5) // it was read and looked at, too
		edge.guard.pauseReading(c)
		return
	}
	if edge.guard.hasPoorReputation(c) {
		request.poorReputation = true
		edge.guard.reputation.Reserve()
	}
	c.schedulerClass = edge.guard.schedulerClass(request.spec.Class)
	edge.guard.memory.Add(limits.Requests, requestBytes)
	request.accounted = requestBytes
	if request.startPage(head); request.page == nil {
		request.composeForwardHead(head)
	}
	if err := request.body.Start(head, int64(edge.settings.Limits.Body)); err != nil {
		c.rejectInvalid(err)
		return
	}
	if !request.body.Done() {
		request.phase = receivingBody
		if head.Expect100 {
			c.write(continueResponse)
		}
		return
	}
	request.submit()
}

// skipBody ends the connection after an answer to a request whose body is not read.
func (c *clientConn) skipBody(head *http1.Head) {
	if head.Body != http1.NoBody {
		c.closeAfterResponse, c.discardInput = true, true
	}
}

// clip returns at most n bytes.
func clip(b []byte, n int) []byte { return b[:min(len(b), n)] }

// rejectInvalid answers what is not valid, and ends the connection.
func (c *clientConn) rejectInvalid(err error) {
	invalid, ok := err.(*http1.ProtocolError)
	if !ok {
		invalid = http1.ErrRequestLine
	}
	c.edge.stats.Malformed++
	request := c.current
	if request == nil {
		request = c.edge.newRequest(c)
		request.receivedAt, request.httpMinor = c.edge.loop.Now(), 1
		c.current = request
	}
	request.end, request.logObject = endMalformed, invalid.Message
	c.closeAfterResponse, c.discardInput = true, true
	c.unparsed = nil
	c.respond(request, invalid.Status, 0)
}

// respond gives a final respond of the router's own.
func (c *clientConn) respond(request *clientRequest, status int, after float64) {
	request.status = status
	if c.fragment != nil {
		c.fragment.fail(request.word())
		request.finish()
		return
	}
	b := http1.AppendStatus(c.edge.headBuffer[:0], status)
	b = http1.AppendFieldString(b, "Via", "1.1 "+c.edge.name)
	if status == 405 {
		b = http1.AppendFieldString(b, "Allow", "GET, HEAD")
	}
	if after > 0 {
		b = http1.AppendFieldInt(b, "Retry-After", c.edge.guard.jitter.After(after))
	}
	b = http1.AppendFieldString(b, "Cache-Status", c.edge.name+"; fwd=miss; detail="+request.word())
	text := http1.StatusText(status) + "\n"
	if request.routeError != nil {
		text = http1.StatusText(status) + ": " + request.routeError.Message + "\n"
	}
	b = http1.AppendFieldString(b, "Content-Type", "text/plain")
	b = http1.AppendFieldInt(b, "Content-Length", int64(len(text)))
	b = c.appendConnection(b, request)
	b = append(b, "\r\n"...)
	if !request.isHead && (request.page == nil || !request.page.conditions.head) {
		b = append(b, text...)
	}
	c.edge.headBuffer = b
	c.buffer(b)
	request.sentBytes += int64(len(text))
	request.finish()
}

// appendConnection says whether the connection persists.
func (c *clientConn) appendConnection(b []byte, request *clientRequest) []byte {
	switch {
	case c.closeAfterResponse:
		return http1.AppendFieldString(b, "Connection", "close")
	case request.httpMinor == 0:
		return http1.AppendFieldString(b, "Connection", "keep-alive")
	}
	return b
}

// write writes what waits and b in one call, and keeps what the socket does not take.
func (c *clientConn) write(b []byte) {
	if c.closed {
		return
	}
	n, err := c.edge.loop.WriteTwo(c.fd, c.output.Bytes(), b)
	if eventloop.Retryable(err) {
		n, err = 0, nil
	}
	if err != nil {
		c.disconnect()
		return
	}
	c.edge.stats.OutBytes += uint64(n)
	c.countWritten(n)
	c.noProgress = c.noProgress && n == 0
	if k := min(n, c.output.Len()); k > 0 {
		c.output.Take(&c.edge.buffers, k)
		n -= k
	}
	if b = b[n:]; len(b) > 0 {
		c.buffer(b)
		c.updateInterest()
	}
}

func (c *clientConn) buffer(b []byte) { c.output.Add(&c.edge.buffers, b) }

// flush writes what waits. It reports whether all of it went out.
func (c *clientConn) flush() bool {
	if c.fragment != nil {
		return true
	}
	for c.output.Len() > 0 && !c.closed {
		n, err := c.edge.loop.Write(c.fd, c.output.Bytes())
		if eventloop.Retryable(err) {
			c.updateInterest()
			return false
		}
		if err != nil {
			c.disconnect()
			return false
		}
		c.edge.stats.OutBytes += uint64(n)
		c.countWritten(n)
		c.noProgress = false
		c.output.Take(&c.edge.buffers, n)
	}
	if c.closed {
		return false
	}
	c.onFlushed()
	return true
}

// onFlushed goes on after all that waited was written.
func (c *clientConn) onFlushed() {
	c.updateInterest()
	if request := c.current; request != nil && request.phase == relaying {
		if request.page != nil {
			request.page.markChanged()
			return
		}
		request.resumeReading()
		return
	}
	if c.current == nil {
		c.nextRequest()
	}
}

// directWriteBytes is as much as is written at once, without waiting for a turn.
const directWriteBytes = 16 << 10

func (c *clientConn) queuedAt() float64 { return c.queuedSince }

// transfer writes what waits, in its turn.
func (c *clientConn) transfer(room int) (moved int, more bool) {
	c.queued = false
	for c.output.Len() > 0 && !c.closed && moved < room {
		b := c.output.Bytes()
		n, err := c.edge.loop.Write(c.fd, b[:min(len(b), room-moved)])
		if eventloop.Retryable(err) {
			c.updateInterest()
			return moved, false
		}
		if err != nil {
			c.disconnect()
			return moved, false
		}
		c.edge.stats.OutBytes += uint64(n)
		c.countWritten(n)
		c.noProgress = false
		c.output.Take(&c.edge.buffers, n)
		moved += n
	}
	switch {
	case c.closed:
		return moved, false
	case c.output.Len() > 0:
		c.queued = true
		return moved, true
	}
	c.onFlushed()
	return moved, false
}

// countWritten books that the kernel countWritten bytes for the client.
func (c *clientConn) countWritten(n int) { c.writtenBytes += int64(n) }

// acknowledged is how much the client's own side has acknowledged. The kernel takes megabytes
// at once, and nothing more until a good part of them is gone: what a steady reader
// takes can't be seen from writes.
func (c *clientConn) acknowledged() int64 {
	unacknowledged, err := unix.IoctlGetInt(c.fd, unix.TIOCOUTQ)
	if err != nil {
		return c.writtenBytes
	}
	return c.writtenBytes - int64(unacknowledged)
}

// minRate is the least rate that the client is held to now, and what it is cut for.
func (c *clientConn) minRate() (*limits.MinRate, limits.Cause) {
	guard := c.edge.guard
	switch {
	case c.output.Len() > 0:
		return &guard.readRate, limits.SlowReader
	case c.current != nil:
		return &guard.bodyRate, limits.SlowBody
	}
	return &guard.headRate, limits.SlowHead
}

// closeSlow ends the connection of a client that is too slow.
func (c *clientConn) closeSlow(cause limits.Cause) {
	if c.fragment != nil {
		c = c.fragment.page.request.client
	}
	c.edge.guard.recordBadOutcome(c)
	if cause == limits.SlowReader {
		if c.current != nil {
			c.current.end, c.current.limitCause = endLimit, cause
		}
		c.reset()
		return
	}
	c.rejectInvalid(errTooSlow)
}

// updateInterest tells the loop what is of interest.
func (c *clientConn) updateInterest() {
	if c.closed {
		return
	}
	want := eventloop.Interest(0)
	if !c.readPaused && !c.eof {
		want |= eventloop.Read
	}
	if c.output.Len() > 0 {
		want |= eventloop.Write
		if !c.queued {
			c.edge.guard.setAwaited(c, true)
		}
		if !c.idleTimer.Armed() || !c.noProgress {
			c.noProgress = true
			c.edge.loop.Arm(&c.idleTimer, c.edge.settings.Limits.WriteIdle)
		}
	}
	if c.output.Len() == 0 && !c.partialRequest() {
		c.edge.guard.setAwaited(c, false)
	}
	c.edge.loop.Want(c.fd, want)
}

// partialRequest reports that a request has begun to come, and is not whole.
func (c *clientConn) partialRequest() bool {
	return c.current == nil && c.receiving || c.current != nil && c.current.phase == receivingBody
}

// onResponded is called when the present answer is whole, written or waiting.
func (c *clientConn) onResponded() {
	c.current, c.receiving = nil, false
	if c.closed || c.fragment != nil {
		return
	}
	c.resetFlow()
	if c.output.Len() > 0 {
		c.flush() // and then goes on
		return
	}
	c.nextRequest()
}

// nextRequest goes on to the nextRequest request, or ends the connection.
func (c *clientConn) nextRequest() {
	switch {
	case c.closed || c.current != nil:
	case c.discardInput:
		unix.Shutdown(c.fd, unix.SHUT_WR)
		c.readPaused = false
		c.edge.loop.Arm(&c.idleTimer, c.edge.settings.Limits.ShutdownLinger)
		c.updateInterest()
	case !c.closeAfterResponse && c.edge.successor != nil && len(c.unparsed) == 0 && c.handOver():
	case c.closeAfterResponse || c.edge.draining && len(c.unparsed) == 0 || c.eof && len(c.unparsed) == 0:
		c.close()
	default:
		c.edge.loop.Arm(&c.idleTimer, c.edge.settings.Limits.ClientIdle)
		c.noProgress = false
		c.resetFlow()
		if len(c.unparsed) > 0 {
			c.parseUnparsed()
		} else if cap(c.unparsed) > 0 {
			c.unparsed = nil
		}
		if !c.closed && c.current == nil && !c.receiving && c.output.Len() == 0 {
			c.edge.guard.idleClients.push(c, c.edge.loop.Now())
			c.edge.guard.trackUnread(c)
		}
		c.accountInput()
		if !c.closed && c.current == nil && c.eof && c.output.Len() == 0 {
			c.close() // what is left will never be whole
		}
	}
}

// drain ends the connection when nothing is in hand.
func (c *clientConn) drain() {
	if c.current == nil && !c.receiving && c.output.Len() == 0 {
		if !c.handOver() {
			c.close()
		}
		return
	}
	if c.edge.successor != nil { // it goes on there, behind what is in hand
		return
	}
	c.closeAfterResponse = true
}

func (c *clientConn) onEOF() {
	c.eof = true
	switch {
	case c.discardInput || c.current == nil && c.output.Len() == 0:
		c.close()
	case c.current != nil && (c.current.phase == receivingBody || !c.edge.settings.Limits.HalfClose):
		c.disconnect()
	default:
		c.updateInterest()
	}
}

func (c *clientConn) onIdleTimer() {
	switch {
	case c.closed:
	case c.discardInput:
		c.close()
	case c.output.Len() > 0:
		if acknowledged := c.acknowledged(); acknowledged > c.ackedAtTimeout { // the kernel takes nothing, and the client does
			c.ackedAtTimeout = acknowledged
			c.edge.loop.Arm(&c.idleTimer, c.edge.settings.Limits.WriteIdle)
			return
		}
		if c.noProgress {
			if c.current != nil {
				c.current.end = endClientSlow
			}
			c.edge.guard.recordBadOutcome(c)
			c.reset()
		}
	case c.current != nil && c.current.phase == receivingBody, c.current == nil && c.receiving:
		c.rejectInvalid(errTooSlow)
	case c.current == nil:
		c.closeIdle()
	}
}

// closeIdle closes a connection that is idle for the router. Where the kernel still holds an
// answer that its client does not take, it is reset, and counts as one.
func (c *clientConn) closeIdle() {
	if c.acknowledged() < c.writtenBytes {
		c.edge.guard.recordBadOutcome(c)
		c.reset()
		return
	}
	c.close()
}

var errTooSlow = &http1.ProtocolError{Status: 408, Message: "the request did not come whole within the limit"}

// reset ends the connection of a client that takes nothing: what the kernel still holds
// for it, up to megabytes, is dropped, and not kept until the kernel gives up in turn.
func (c *clientConn) reset() {
	if c.fragment != nil {
		c = c.fragment.page.request.client
	}
	if !c.closed {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.disconnect()
}

// disconnect ends a connection whose client has gone, or was cut off.
func (c *clientConn) disconnect() {
	if c.closed {
		return
	}
	r := c.current
	c.close()
	if r != nil {
		r.clientGone()
	}
}

func (c *clientConn) close() {
	fd := c.fd
	if !c.detach() {
		return
	}
	unix.Close(fd)
	if c.edge.draining {
		c.edge.checkDrained()
	}
}

// detach has the router know nothing of the connection any more; its descriptor is
// the caller's. False: it did so before.
func (c *clientConn) detach() bool {
	if c.closed {
		return false
	}
	c.closed = true
	c.edge.loop.Forget(&c.idleTimer)
	c.edge.loop.Remove(c.fd)
	delete(c.edge.clients, c)
	guard := c.edge.guard
	delete(guard.awaited, c)
	guard.idleClients.remove(c)
	if guard.connectionsOf[c.addr]--; guard.connectionsOf[c.addr] <= 0 {
		delete(guard.connectionsOf, c.addr)
	}
	c.unparsed = nil
	c.accountInput()
	guard.memory.Add(limits.Connections, -clientBytes)
	c.output.Drop(&c.edge.buffers)
	return true
}

var (
	continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")
	busyResponse     = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n" +
		"Content-Length: 0\r\n\r\n")
)

// phase is how far a request has come.
type phase uint8

const (
	receivingBody    phase = iota + 1
	awaitingResponse       // the module has it
	relaying               // an attempt's answer is on its way to the client
	finished
)

// clientRequest is a client's clientRequest in hand.
type clientRequest struct {
	edge   *Edge
	client *clientConn
	body   http1.Body
	spec   spool.Request

	id           string
	receivedAt   float64
	submittedAt  float64 // when the module got it
	phase        phase
	isHead       bool
	httpMinor    int
	forwardHead  []byte // request line and fields, as sent on
	requestBody  []byte // of a write
	attempts     []*upstreamAttempt
	openAttempts int // tries without an outcome
	winner       *upstreamAttempt
	inModule     bool // the module has it

	page    *esiPage // that it asks for; nil: its answer is no page
	esiVars *esi.Vars
	target  string

	status         int
	limitCause     limits.Cause // of what a limit ended
	accounted      int64        // of the memory budget
	sentBytes      int64
	poorReputation bool              // it holds a place of those of poor standing
	routeError     *engine.Rejection // no class took it; nil: one did
	end            endReason
	logObject      string // of what no class fits

	firstAttempts [3]upstreamAttempt // the memory of its first tries
	released      bool
}

// newRequest is an empty request, in the memory of one that is over if there is any.
func (e *Edge) newRequest(client *clientConn) *clientRequest {
	n := len(e.freeRequests)
	if n == 0 {
		request := &clientRequest{edge: e, client: client}
		request.attempts = make([]*upstreamAttempt, 0, len(request.firstAttempts))
		request.forwardHead = make([]byte, 0, 512)
		for i := range request.firstAttempts {
			t := &request.firstAttempts[i]
			t.timer.F = t.timedOut
		}
		return request
	}
	request := e.freeRequests[n-1]
	e.freeRequests[n-1] = nil
	e.freeRequests = e.freeRequests[:n-1]
	clear(request.attempts)
	for i := range request.firstAttempts {
		t := &request.firstAttempts[i]
		*t = upstreamAttempt{timer: t.timer} // not armed, and keeps its function
	}
	*request = clientRequest{edge: e, client: client, firstAttempts: request.firstAttempts, forwardHead: request.forwardHead[:0], requestBody: request.requestBody[:0], attempts: request.attempts[:0]}
	return request
}

// newAttempt is the next attempt of the request.
func (r *clientRequest) newAttempt() *upstreamAttempt {
	var attempt *upstreamAttempt
	if n := len(r.attempts); n < len(r.firstAttempts) {
		attempt = &r.firstAttempts[n]
	} else {
		attempt = &upstreamAttempt{}
		attempt.timer.F = attempt.timedOut
	}
	attempt.request, attempt.number = r, len(r.attempts)
	r.attempts = append(r.attempts, attempt)
	r.openAttempts++
	return attempt
}

// receiveBody takes a write's body, which is held whole so that it can be sent again.
func (r *clientRequest) receiveBody(data []byte) (n int, err error) {
	for n < len(data) && !r.body.Done() {
		used, content, err := r.body.Next(data[n:])
		n += used
		if err != nil {
			return n, err
		}
		oldCap := cap(r.requestBody)
		r.requestBody = append(r.requestBody, content...)
		if grown := int64(cap(r.requestBody) - oldCap); grown > 0 {
			r.accounted += grown
			r.edge.guard.memory.Add(limits.Bodies, grown)
		}
		if used == 0 {
			break
		}
	}
	if r.body.Done() {
		r.submit()
	}
	return n, nil
}

// composeForwardHead writes what of the head goes on to caches: all but what is for this
// connection only, framing, and what the router says itself.
func (r *clientRequest) composeForwardHead(head *http1.Head) {
	b := http1.AppendRequestLine(r.forwardHead[:0], head.Method, head.Path())
	if head.Host != nil {
		b = http1.AppendField(b, "Host", head.Host)
	} else {
		b = http1.AppendFieldString(b, "Host", r.edge.name)
	}
	b = appendEndToEnd(b, head, isRouterRequestField)
	b = append(b, "Via: 1.1 "...)
	b = append(b, r.edge.name...)
	r.forwardHead = append(b, "\r\n"...)
}

// appendEndToEnd appends the fields of a head that are not for one connection
// only, but for those that excluded names.
func appendEndToEnd(b []byte, head *http1.Head, excluded func(name []byte) bool) []byte {
	hasConnection := head.Has("connection")
	for i := range head.Fields {
		field := &head.Fields[i]
		if http1.HopByHop(field.Name) || excluded(field.Name) || hasConnection && head.ListedInConnection(field.Name) {
			continue
		}
		b = append(b, field.Name...)
		b = append(b, ": "...)
		b = append(b, field.Value...)
		b = append(b, "\r\n"...)
	}
	return b
}

// isRouterRequestField reports fields that a client may not set for the caches, or that are
// written anew.
func isRouterRequestField(name []byte) bool {
	switch len(name) {
	case 4:
		return http1.EqualFold(name, "host")
	case 6:
		return http1.EqualFold(name, "expect")
	case 10:
		return http1.EqualFold(name, "spool-fill") || http1.EqualFold(name, "spool-load") || http1.EqualFold(name, "spool-copy")
	case 13:
		return http1.EqualFold(name, "cache-control")
	case 14:
		return http1.EqualFold(name, "content-length")
	}
	return false
}

// submit gives the request to the module.
func (r *clientRequest) submit() {
	edge := r.edge
	r.phase = awaitingResponse
	r.id = edge.nextID()
	r.spec.ID = r.id
	r.submittedAt = edge.loop.Now()
	r.inModule = true
	edge.requests[r.id] = r
	edge.stats.MostHeld = max(edge.stats.MostHeld, len(edge.requests))
	if r.client.fragment == nil {
		edge.loop.Disarm(&r.client.idleTimer)
	}
	edge.dispatch(r.spec)
}

// clientGone tells the module that nobody waits any more.
func (r *clientRequest) clientGone() {
	if r.phase == finished {
		return
	}
	if r.end == 0 {
		r.end = endClientGone
	}
	r.edge.stats.Gone++
	edge, id, winner := r.edge, r.id, r.winner
	if !r.inModule {
		r.finish()
		return
	}
	if r.phase != relaying {
		winner = nil
	}
	r.phase = finished // before the module hears of it: nothing may be answered any more
	r.edge.log.request(r)
	r.client.current = nil
	if r.page != nil {
		r.page.close()
	}
	edge.dispatch(spool.Gone{ID: id})
	if winner != nil && winner.request == r && !winner.done && !r.released {
		winner.abort(spool.Cancelled)
	}
	r.releaseIfDone()
}

// reject is the module's final answer that a repeat is harmless.
func (r *clientRequest) reject(after float64) {
	if r.phase != awaitingResponse {
		return
	}
	r.edge.stats.Refused++
	r.end = endRefused
	r.client.respond(r, 503, after)
}

// fail is the module's final answer that promises nothing.
func (r *clientRequest) fail() {
	if r.phase != awaitingResponse {
		return
	}
	r.edge.stats.Failed++
	r.end = endFailed
	status := 502
	if r.edge.loop.Now() >= r.spec.Deadline-2*r.edge.settings.Limits.TimerGrain {
		status = 504
	}
	r.client.respond(r, status, 0)
}

// anyWritten reports whether something of the request may have reached a member.
func (r *clientRequest) anyWritten() bool {
	for _, t := range r.attempts {
		if t.written {
			return true
		}
	}
	return false
}

// shed gives the request up for want of room: with an answer where it has none yet.
func (r *clientRequest) shed(cause limits.Cause) {
	client, edge, id, known := r.client, r.edge, r.id, r.inModule
	r.end, r.limitCause = endLimit, cause
	switch r.phase {
	case receivingBody:
		client.closeAfterResponse, client.discardInput = true, true
		client.respond(r, 503, 1000)
	case awaitingResponse:
		edge.stats.Refused++
		client.respond(r, 503, 1000)
		if known {
			edge.dispatch(spool.Gone{ID: id}) // nobody waits for it any more
		}
	case relaying:
		client.reset()
	}
}

// finish ends the request for its client; attempts may still be out.
func (r *clientRequest) finish() {
	if r.phase == finished {
		return
	}
	r.phase = finished
	r.edge.log.request(r)
	if r.page != nil {
		r.page.close()
	}
	client := r.client
	if r.end == endServed && !client.badOutcome && client.fragment == nil {
		client.edge.guard.reputation.AddGood(client.addrText, client.edge.loop.Now())
	}
	client.badOutcome = false
	if client.current == r {
		client.onResponded()
	}
	r.releaseIfDone()
}

// releaseIfDone forgets a request that is over and has nothing out.
func (r *clientRequest) releaseIfDone() {
	if r.phase != finished || r.openAttempts > 0 || r.released {
		return
	}
	if r.inModule {
		r.inModule = false
		delete(r.edge.requests, r.id)
	}
	r.released = true
	if r.poorReputation {
		r.poorReputation = false
		r.edge.guard.reputation.Release()
	}
	if r.accounted > 0 {
		r.edge.guard.memory.Add(limits.Requests, -requestBytes)
		r.edge.guard.memory.Add(limits.Bodies, requestBytes-r.accounted)
		r.accounted = 0
	}
	if e := r.edge; len(e.freeRequests) < 1024 && cap(r.requestBody) <= 64<<10 {
		e.freeRequests = append(e.freeRequests, r) // it is made empty when it is used again
	}
}
