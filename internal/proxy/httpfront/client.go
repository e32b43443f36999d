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

// clientConn is a client connection. It holds no buffer between requests.
type clientConn struct {
	edge      *Edge
	fd        int
	unparsed  []byte          // input that was read, and not parsed yet
	output    eventloop.Queue // output that was not written yet
	idleTimer eventloop.Timer
	current   *clientRequest // the request that is arriving or in flight; nil between requests
	fragment  *pageFragment  // the fragment whose request this clientConn, without a socket, stands for; nil for a real connection

	addr           netip.Addr
	addrText       string      // addr as text
	flow           limits.Flow // rate at which the client sends or reads while the router waits for it
	writtenBytes   int64       // bytes written to the socket
	ackedAtTimeout int64       // bytes acknowledged by the client at the last write timeout
	ackedBytes     int64       // bytes acknowledged by the client at the last sweep
	unreadTracked  bool        // the client is in the guard's unreadClients
	schedulerClass int         // the scheduler's index for the class of the last request
	prev, next     *clientConn // neighbours in the guard's idleClients
	accounted      int64       // bytes charged to the memory budget for unparsed
	queued         bool        // the connection is writable, and in the scheduler's queue
	queuedSince    float64     // time at which queued was last set
	idleSince      float64     // time at which the connection became idle
	lastProgress   float64     // time at which the client last read pending output
	badOutcome     bool        // a bad outcome was recorded for the present request

	closed             bool
	eof                bool // the client has shut down its write side, and all that it sent was read
	peerEnded          bool // the client has shut down its write side or is gone, and half-closed connections are not served
	noProgress         bool // the client has read nothing since the idle timer was armed
	closeAfterResponse bool // the connection is closed after the present response
	discardInput       bool // further input is dropped, and the connection is about to close
	receiving          bool // a request has begun to arrive; cleared after its response
	readPaused         bool // reading is stopped: too much pipelined input, or a pause after a rejection
	inputHeld          bool // unparsed waits for the next turn of the loop, see guard.holdInput

	startedInTurn int    // number of requests started in the turn lastTurn
	lastTurn      uint64 // turn of the loop in which the last request was started
}

// readBytes is the most that is read from a client at once. The settings bound what is kept.
const readBytes = 64 << 10

const (
	retryAfter      = 1000     // ms, before jitter, that a rejected client is told to wait
	maxFreeRequests = 1024     // finished requests that are kept for reuse
	maxReusedBody   = 4 << 10  // bytes; a request with a larger body buffer is not reused
	maxReusedHead   = 4 << 10  // bytes; nor is one with a larger head buffer
	minBodyBytes    = 1 << 10  // bytes; smallest buffer for a body
	maxGrowingBody  = 64 << 10 // bytes; larger buffers are allocated for the announced length

	// maxStartedPerTurn is the number of requests of one client that are started in a turn of the
	// loop. A pipelined request is started when the one before it is answered, so only clients whose
	// requests the router answers by itself reach it.
	maxStartedPerTurn = 64
)

// OnReady writes pending output and reads input. Large output waits for its turn in the
// scheduler.
func (c *clientConn) OnReady(ready eventloop.Ready) {
	if ready.Ended() && !c.edge.settings.Limits.HalfClose {
		c.peerEnded = true
		switch {
		case c.current != nil: // the client no longer waits for the response, so unread input does not matter
			c.disconnect()
			return
		case c.readPaused:
			c.onEOF()
			return
		}
	}
	if ready.Writable() && c.output.Len() > 0 {
		if c.output.Len() <= directWriteBytes {
			c.flush()
		} else if !c.queued {
			c.queued, c.queuedSince = true, c.edge.loop.Now()
			c.edge.guard.setAwaited(c, false) // from here on the client waits for the router
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

// accountInput charges the unparsed input to the memory budget.
func (c *clientConn) accountInput() {
	if n := int64(cap(c.unparsed)); n != c.accounted {
		c.edge.guard.memory.Add(limits.Heads, n-c.accounted)
		c.accounted = n
	}
}

// resetFlow ends the rate check and clears its history.
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
		rate, _ := c.minRate()
		c.flow.Moved(c.edge.guard.peerTime(), n, rate)
	}
	data := buf[:n]
	switch {
	case c.mustWait():
		c.unparsed = append(c.unparsed, data...)
	case len(c.unparsed) > 0:
		c.unparsed = append(c.unparsed, data...)
		c.parseUnparsed()
	default:
		if rest := c.parse(data); !c.closed && len(rest) > 0 {
			c.unparsed = append(c.unparsed[:0], rest...)
		}
	}
	if !c.closed && !c.readPaused && c.readAheadFull() {
		c.readPaused = true
		c.updateInterest()
	}
}

// mustWait reports whether the next request can't be parsed now: the previous one is in flight, its
// response is not written yet, or the client has had its share of this turn of the loop.
func (c *clientConn) mustWait() bool {
	if c.current != nil {
		return c.current.phase != receivingBody
	}
	return c.inputHeld || c.output.Len() > 0
}

// readAheadFull reports whether no more input may be read until the next request is parsed. A head or
// a body that is arriving has limits of its own.
func (c *clientConn) readAheadFull() bool {
	return c.mustWait() && len(c.unparsed) >= c.edge.settings.Limits.ReadAheadBytes
}

// parseUnparsed parses input that was read earlier.
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
	if c.readPaused && !c.readAheadFull() {
		c.readPaused = false
		c.updateInterest()
	}
}

// parse parses requests from buf until one is in flight, and returns the rest of buf.
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
			if c.discardInput { // there was no memory for the body
				return nil
			}
			if c.current != nil && c.current.phase == receivingBody {
				c.edge.guard.setAwaited(c, true)
				return buf // incomplete
			}
			continue
		}
		if c.closeAfterResponse {
			c.discardInput = true // the client was told that the connection closes
			return nil
		}
		if c.mustWait() {
			return buf
		}
		if turn := c.edge.loop.Turns(); turn != c.lastTurn {
			c.startedInTurn, c.lastTurn = 0, turn
		}
		if c.startedInTurn >= maxStartedPerTurn {
			c.edge.guard.holdInput(c)
			return buf
		}
		if !c.receiving {
			c.receiving = true
			c.edge.guard.idleClients.remove(c)
			c.edge.loop.Arm(&c.idleTimer, c.edge.settings.Limits.HeadTimeout)
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
		c.startedInTurn++
		c.startRequest()
	}
	return buf
}

// startRequest handles the request whose head was parsed: it classifies it, and then rejects
// it, reads its body or submits it to the module.
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
		c.closeIfBody(head)
		request.end, request.routeError = endNoRoute, rejection
		c.respond(request, rejection.Status, 0)
		return
	}
	if len(edge.requests) >= edge.settings.Limits.MaxRequests {
		c.closeIfBody(head)
		request.end = endHeld
		c.respond(request, 503, retryAfter)
		return
	}
	if cause := edge.guard.admit(c, &request.spec); cause != limits.None {
		edge.guard.counts[cause]++
		c.closeIfBody(head)
		request.end = endLimit
		request.limitCause = cause
		edge.stats.Refused++
		began := edge.loop.Took()
		c.respond(request, 503, retryAfter)
		edge.guard.readPause.AddCost((edge.loop.Took() - began) * 1.5) // half as much again for reading and parsing
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
	request.bodyLength = head.ContentLength
	if err := request.body.Start(head, int64(edge.settings.Limits.BodyBytes)); err != nil {
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

// closeIfBody has the connection closed after the response if the request has a body, which will
// not be read.
func (c *clientConn) closeIfBody(head *http1.Head) {
	if head.Body != http1.NoBody {
		c.closeAfterResponse, c.discardInput = true, true
	}
}

// clip returns the first n bytes of b at most.
func clip(b []byte, n int) []byte { return b[:min(len(b), n)] }

// rejectInvalid answers a request that is malformed, too large or too slow, and closes the
// connection.
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

// respond sends a final response of the router itself. If after is above 0, it becomes the
// Retry-After, in ms before jitter.
func (c *clientConn) respond(request *clientRequest, status int, after float64) {
	request.status = status
	if c.fragment != nil {
		c.fragment.fail(request.word())
		request.finish()
		return
	}
	response := http1.AppendStatus(c.edge.headBuffer[:0], status)
	response = http1.AppendFieldString(response, "Via", "1.1 "+c.edge.name)
	if status == 405 {
		response = http1.AppendFieldString(response, "Allow", "GET, HEAD")
	}
	if after > 0 {
		response = http1.AppendFieldInt(response, "Retry-After", c.edge.guard.jitter.After(after))
	}
	response = http1.AppendFieldString(response, "Cache-Status", c.edge.name+"; fwd=miss; detail="+request.word())
	text := http1.StatusText(status) + "\n"
	if request.routeError != nil {
		text = http1.StatusText(status) + ": " + request.routeError.Message + "\n"
	}
	response = http1.AppendFieldString(response, "Content-Type", "text/plain")
	response = http1.AppendFieldInt(response, "Content-Length", int64(len(text)))
	response = c.appendConnection(response, request)
	response = append(response, "\r\n"...)
	if !request.isHead && (request.page == nil || !request.page.conditions.head) {
		response = append(response, text...)
	}
	c.edge.headBuffer = response
	c.buffer(response)
	request.sentBytes += int64(len(text))
	request.finish()
}

// appendConnection appends the Connection field, where one is needed.
func (c *clientConn) appendConnection(b []byte, request *clientRequest) []byte {
	switch {
	case c.closeAfterResponse:
		return http1.AppendFieldString(b, "Connection", "close")
	case request.httpMinor == 0:
		return http1.AppendFieldString(b, "Connection", "keep-alive")
	}
	return b
}

// write writes the pending output and b in one call, and buffers what the socket does not take.
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

// buffer appends b to the pending output.
func (c *clientConn) buffer(b []byte) { c.output.Add(&c.edge.buffers, b) }

// flush writes the pending output. It reports whether all of it was written.
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

// onFlushed continues after all pending output was written: with the response's next bytes, or
// with the next request.
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

// directWriteBytes is the most output that is written without waiting for the scheduler.
const directWriteBytes = 16 << 10

func (c *clientConn) queuedAt() float64 { return c.queuedSince }

// transfer writes up to room bytes of the pending output.
func (c *clientConn) transfer(room int) (moved int, more bool) {
	c.queued = false
	for c.output.Len() > 0 && !c.closed && moved < room {
		pending := c.output.Bytes()
		n, err := c.edge.loop.Write(c.fd, pending[:min(len(pending), room-moved)])
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

// countWritten adds n bytes to those written to the socket.
func (c *clientConn) countWritten(n int) { c.writtenBytes += int64(n) }

// acknowledged returns how many of the written bytes the client's side has acknowledged. The
// progress of a steady reader does not show in writes: the kernel takes megabytes at once, and
// then nothing until much of its buffer is free.
func (c *clientConn) acknowledged() int64 {
	unacknowledged, err := unix.IoctlGetInt(c.fd, unix.TIOCOUTQ)
	if err != nil {
		return c.writtenBytes
	}
	return c.writtenBytes - int64(unacknowledged)
}

// minRate returns the rate that the client must keep now, and the cause to report if it does
// not.
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

// closeSlow closes the connection of a client that is too slow, and records a bad outcome.
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

// updateInterest registers with the loop the events that the connection waits for, and starts
// or stops the rate check accordingly.
func (c *clientConn) updateInterest() {
	if c.closed {
		return
	}
	want := eventloop.Interest(0)
	switch {
	case c.eof:
	case !c.readPaused:
		want |= eventloop.Read
	case !c.edge.settings.Limits.HalfClose:
		want |= eventloop.End
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

// partialRequest reports whether part of a request has arrived, but not all of it.
func (c *clientConn) partialRequest() bool {
	return c.current == nil && c.receiving || c.current != nil && c.current.phase == receivingBody
}

// onResponded is called when the present response is complete, though not necessarily written.
func (c *clientConn) onResponded() {
	c.current, c.receiving = nil, false
	if c.closed || c.fragment != nil {
		return
	}
	c.resetFlow()
	if c.output.Len() > 0 {
		c.flush() // onFlushed goes on to the next request
		return
	}
	c.nextRequest()
}

// nextRequest continues with the next request, hands the connection over to a successor, or
// closes it.
func (c *clientConn) nextRequest() {
	switch {
	case c.closed || c.current != nil:
	case c.discardInput:
		unix.Shutdown(c.fd, unix.SHUT_WR)
		c.readPaused = false
		c.edge.loop.Arm(&c.idleTimer, c.edge.settings.Limits.LingerTime)
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
		if !c.closed && c.current == nil && !c.receiving && !c.inputHeld && c.output.Len() == 0 {
			c.edge.guard.idleClients.push(c, c.edge.loop.Now())
			c.edge.guard.trackUnread(c)
		}
		c.accountInput()
		if !c.closed && c.current == nil && c.eof && c.output.Len() == 0 {
			c.close() // the rest of the input is an incomplete request
		}
	}
}

// drain closes the connection, or hands it over, as soon as no request is in flight.
func (c *clientConn) drain() {
	if c.current == nil && !c.receiving && !c.inputHeld && c.output.Len() == 0 {
		if !c.handOver() {
			c.close()
		}
		return
	}
	if c.edge.successor != nil { // nextRequest hands it over after the present response
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

// onIdleTimer closes a connection that has been idle or without progress for too long, and rejects
// a request that has not been received in time.
func (c *clientConn) onIdleTimer() {
	switch {
	case c.closed:
	case c.discardInput:
		c.close()
	case c.output.Len() > 0:
		if acknowledged := c.acknowledged(); acknowledged > c.ackedAtTimeout { // the client reads, though the socket accepts no more output yet
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

// closeIdle closes a connection without a request. If the kernel still holds part of a response
// that the client does not read, closeIdle resets the connection and records a bad outcome.
func (c *clientConn) closeIdle() {
	if c.acknowledged() < c.writtenBytes {
		c.edge.guard.recordBadOutcome(c)
		c.reset()
		return
	}
	c.close()
}

// errTooSlow ends a request that was not received in time. The message goes into the access log.
var errTooSlow = &http1.ProtocolError{Status: 408, Message: "the request did not come whole within the limit"}

// reset closes a connection with a TCP reset. For a client that does not read, this frees the
// kernel's send buffer, up to megabytes, which would otherwise be kept until TCP gives up.
func (c *clientConn) reset() {
	if c.fragment != nil {
		c = c.fragment.page.request.client
	}
	if !c.closed {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.disconnect()
}

// disconnect closes a connection whose client has left or was cut off, and ends its request.
func (c *clientConn) disconnect() {
	if c.closed {
		return
	}
	request := c.current
	c.close()
	if request != nil {
		request.clientGone()
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

// detach removes the connection from the router. The descriptor stays open, and now belongs to
// the caller. It reports false if the connection was removed before.
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

// phase is the state of a request.
type phase uint8

const (
	receivingBody    phase = iota + 1
	awaitingResponse       // submitted to the module
	relaying               // the response of an attempt is being relayed to the client
	finished               // ended for the client; attempts may still be open
)

// clientRequest is a request in flight.
type clientRequest struct {
	edge   *Edge
	client *clientConn
	body   http1.Body    // parser of the request's body
	spec   spool.Request // the request as passed to the module

	id           string
	receivedAt   float64
	submittedAt  float64 // time at which it was submitted to the module
	phase        phase
	isHead       bool   // the method is HEAD
	httpMinor    int    // minor version of the client's HTTP/1
	forwardHead  []byte // request line and fields as forwarded to members
	requestBody  []byte // body of a write
	bodyLength   int64  // its announced length; -1 if there is none
	attempts     []*upstreamAttempt
	openAttempts int              // attempts without an outcome
	winner       *upstreamAttempt // the attempt whose response is relayed; nil before
	inModule     bool             // the request was submitted to the module, and is in the edge's requests

	page    *esiPage // the page that the client requests; nil for a fragment and for a class without pages (see ownerPage)
	esiVars *esi.Vars
	target  string

	status         int
	limitCause     limits.Cause // the limit that ended the request
	accounted      int64        // bytes charged to the memory budget
	sentBytes      int64
	poorReputation bool              // the request uses capacity reserved for clients of poor reputation
	routeError     *engine.Rejection // why no class fits the request; nil if one does
	end            endReason
	logObject      string // object in the access log if no class fits

	firstAttempts [3]upstreamAttempt // saves allocations for the first attempts
	released      bool               // nothing refers to the request any more, and it may be reused
}

// newRequest returns an empty request. It reuses a released one if it can.
func (e *Edge) newRequest(client *clientConn) *clientRequest {
	n := len(e.freeRequests)
	if n == 0 {
		request := &clientRequest{edge: e, client: client}
		request.attempts = make([]*upstreamAttempt, 0, len(request.firstAttempts))
		request.forwardHead = make([]byte, 0, 512)
		for i := range request.firstAttempts {
			attempt := &request.firstAttempts[i]
			attempt.timer.F = attempt.timedOut
		}
		return request
	}
	request := e.freeRequests[n-1]
	e.freeRequests[n-1] = nil
	e.freeRequests = e.freeRequests[:n-1]
	clear(request.attempts)
	for i := range request.firstAttempts {
		attempt := &request.firstAttempts[i]
		*attempt = upstreamAttempt{timer: attempt.timer} // keeps the timer's function
	}
	*request = clientRequest{edge: e, client: client, firstAttempts: request.firstAttempts, forwardHead: request.forwardHead[:0], requestBody: request.requestBody[:0], attempts: request.attempts[:0]}
	return request
}

// newAttempt adds the next attempt to the request.
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

// receiveBody parses the body of a write. The whole body is kept, so that it can be sent again.
func (r *clientRequest) receiveBody(data []byte) (n int, err error) {
	for n < len(data) && !r.body.Done() {
		used, content, err := r.body.Next(data[n:])
		n += used
		if err != nil {
			return n, err
		}
		if !r.appendBody(content) {
			r.edge.guard.counts[limits.Memory]++
			r.shed(limits.Memory)
			return n, nil
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

// appendBody appends to the body that is kept. It returns false if the memory for bodies is used up.
func (r *clientRequest) appendBody(content []byte) bool {
	if need := len(r.requestBody) + len(content); need > cap(r.requestBody) {
		grown := r.bodyCapacity(need) - cap(r.requestBody)
		if !r.edge.guard.memory.HasRoomForBody(int64(grown)) {
			return false
		}
		larger := make([]byte, len(r.requestBody), cap(r.requestBody)+grown)
		copy(larger, r.requestBody)
		r.requestBody = larger
		r.accounted += int64(grown)
		r.edge.guard.memory.Add(limits.Bodies, int64(grown))
	}
	r.requestBody = append(r.requestBody, content...)
	return true
}

// bodyCapacity returns the capacity for a body of which need bytes have arrived. Up to maxGrowingBody
// it grows with them; then it is the whole length, if that was announced, so that a large body is
// copied only once.
func (r *clientRequest) bodyCapacity(need int) int {
	switch {
	case need <= maxGrowingBody:
		return min(max(2*cap(r.requestBody), need, minBodyBytes), maxGrowingBody)
	case r.bodyLength >= int64(need):
		return int(r.bodyLength)
	}
	return min(2*need, max(r.edge.settings.Limits.BodyBytes, need))
}

// composeForwardHead composes the head that is forwarded to members: the client's without
// hop-by-hop fields, framing, and the fields that the router sets itself.
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

// appendEndToEnd appends to dst the end-to-end fields of a head, except those that excluded reports.
func appendEndToEnd(dst []byte, head *http1.Head, excluded func(name []byte) bool) []byte {
	hasConnection := head.Has("connection")
	for i := range head.Fields {
		field := &head.Fields[i]
		if http1.HopByHop(field.Name) || excluded(field.Name) || hasConnection && head.ListedInConnection(field.Name) {
			continue
		}
		dst = append(dst, field.Name...)
		dst = append(dst, ": "...)
		dst = append(dst, field.Value...)
		dst = append(dst, "\r\n"...)
	}
	return dst
}

// isRouterRequestField reports whether a request field is set by the router, or is one that
// clients may not send to caches.
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

// submit submits the request to the module, unless its client has left.
func (r *clientRequest) submit() {
	edge := r.edge
	if r.client.peerEnded {
		r.client.disconnect()
		return
	}
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

// clientGone ends the request because its client has left, and tells the module so.
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
	r.phase = finished // first, since the module's actions may not respond any more
	r.edge.log.request(r)
	r.client.current = nil
	if r.page != nil {
		r.page.stop()
	}
	edge.dispatch(spool.Gone{ID: id})
	if winner != nil && winner.request == r && !winner.done && !r.released {
		winner.abort(spool.Cancelled)
	}
	r.releaseIfDone()
}

// reject answers 503: the module rejects the request, which may be retried safely.
func (r *clientRequest) reject(after float64) {
	if r.phase != awaitingResponse {
		return
	}
	r.edge.stats.Refused++
	r.end = endRefused
	r.client.respond(r, 503, after)
}

// fail answers 502, or 504 at the deadline: the module gave the request up, and it may have had
// effects.
func (r *clientRequest) fail() {
	if r.phase != awaitingResponse {
		return
	}
	r.edge.stats.Failed++
	r.end = endFailed
	status := 502
	if r.edge.loop.Now() >= r.spec.Deadline-2*r.edge.settings.Limits.TimerResolution {
		status = 504
	}
	r.client.respond(r, status, 0)
}

// anyWritten reports whether part of the request may have reached a member.
func (r *clientRequest) anyWritten() bool {
	for _, attempt := range r.attempts {
		if attempt.written {
			return true
		}
	}
	return false
}

// shed ends the request to relieve load: with a 503 response if none has begun, and else by
// resetting the connection.
func (r *clientRequest) shed(cause limits.Cause) {
	client, edge, id, inModule := r.client, r.edge, r.id, r.inModule
	r.end, r.limitCause = endLimit, cause
	switch r.phase {
	case receivingBody:
		client.closeAfterResponse, client.discardInput = true, true
		client.respond(r, 503, retryAfter)
	case awaitingResponse:
		edge.stats.Refused++
		client.respond(r, 503, retryAfter)
		if inModule {
			edge.dispatch(spool.Gone{ID: id}) // for the module it is as if the client had left
		}
	case relaying:
		client.reset()
	}
}

// finish ends the request for its client. Attempts may still be open.
func (r *clientRequest) finish() {
	if r.phase == finished {
		return
	}
	r.phase = finished
	r.edge.log.request(r)
	if r.page != nil {
		r.page.stop()
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

// releaseIfDone frees a finished request once it has no open attempts.
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
	if e := r.edge; len(e.freeRequests) < maxFreeRequests && cap(r.requestBody) <= maxReusedBody && cap(r.forwardHead) <= maxReusedHead {
		e.freeRequests = append(e.freeRequests, r) // newRequest clears it
	}
}
