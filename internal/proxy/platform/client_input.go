package platform

import (
	"bytes"
	"slices"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/thriftrpc"
)

const (
	maxReadPerTurn = 256 << 10 // bytes read from one client in one turn of the loop
	largeReadBytes = 64 << 10  // bytes in one turn, above which the client's kernel may hold back more
	moreDataDelay  = 5.0       // ms within which data that was held back arrives
	maxPendingTime = 100.0     // ms that a call waits for the data that follows it
	longTurnTime   = 30.0      // ms into a turn, after which clients are read again before an attempt is written

	// maxLocalAnswers is the number of answers without a request for which a client's input is held
	// back until the client has read them.
	maxLocalAnswers = 64

	// memoryRetryAfter is the time in ms after which a client may retry a call that was rejected for
	// lack of memory, unless the settings allow less.
	memoryRetryAfter = 300.0
)

// inLongTurn reports whether the current turn of the loop began so long ago that clients may
// have closed their connections or given up requests since.
func (s *Server) inLongTurn() bool { return eventloop.Clock()-s.loop.Now() > longTurnTime }

// receive reads and parses the available data. Calls of forget and the end of the connection
// take effect at once. Calls of serve are kept until startPending, so that a call is not
// started if it is followed by its cancellation, however many calls are in between, and a
// malformed message drops the calls that arrived with it.
func (c *client) receive() {
	if c.inputHeld && !c.parseHeld() {
		return
	}
	server := c.server
	buffer := server.borrowReadBuffer()
	defer server.returnReadBuffer(buffer)
	arrivedAfter := c.unreadSince
	if arrivedAfter == 0 {
		arrivedAfter = max(server.loop.EarliestArrival(), c.allReadAt)
	}
	for left := maxReadPerTurn; left > 0; {
		startedAt := eventloop.Clock()
		size, err := server.loop.Read(c.fd, buffer)
		switch {
		case err == unix.EAGAIN:
			c.noteAllRead(startedAt, maxReadPerTurn-left)
			return
		case eventloop.Retryable(err):
			c.unreadSince = arrivedAfter
			return
		case err != nil || size == 0:
			c.close()
			return
		}
		c.parse(buffer[:size], arrivedAfter)
		if c.closed {
			return
		}
		if c.inputHeld {
			c.unreadSince = arrivedAfter
			return
		}
		left -= size
		if size < len(buffer) && !server.inLongTurn() { // in a long turn, read on to see an end of the stream
			c.noteAllRead(startedAt, maxReadPerTurn-left)
			return
		}
	}
	c.unreadSince = arrivedAfter
}

// borrowReadBuffer returns a buffer for a read, until returnReadBuffer. While the messages of one read
// are handled, a long turn may read from another client: that read must not use the same buffer.
func (s *Server) borrowReadBuffer() []byte {
	if s.readBufferBorrowed {
		return s.buffers.Get(readBufferBytes)[:readBufferBytes]
	}
	s.readBufferBorrowed = true
	return s.readBuffer
}

func (s *Server) returnReadBuffer(buffer []byte) {
	if &buffer[0] == &s.readBuffer[0] {
		s.readBufferBorrowed = false
		return
	}
	s.buffers.Put(buffer)
}

// noteAllRead records that a read that began at startedAt left nothing unread. size is the
// number of bytes read in this turn.
func (c *client) noteAllRead(startedAt float64, size int) {
	c.allReadAt = startedAt
	c.unreadSince = 0
	c.largeRead = c.largeRead || size > largeReadBytes
	if c.largeRead {
		c.moreDataUntil = startedAt + moreDataDelay
	}
}

// receiveInLongTurn reads what the client has sent since a long turn began.
func (c *client) receiveInLongTurn() {
	if c.closed || c.parsing || c.activity.ShutdownAt > 0 || !c.server.inLongTurn() || eventloop.Clock()-c.allReadAt < longTurnTime {
		return
	}
	c.receive()
	if !c.closed && (len(c.pending) > 0 || c.output.Len() > 0) {
		c.server.loop.Arm(&c.pendingTimer, 0)
	}
}

// discardInput reads and discards data that arrives after shutdownWrite.
func (c *client) discardInput() {
	size, err := c.server.loop.Read(c.fd, c.server.readBuffer)
	if !eventloop.Retryable(err) && (err != nil || size == 0) {
		c.close()
	}
}

// resumeInput handles input that was held back, and starts the pending calls.
func (c *client) resumeInput() {
	if c.inputHeld {
		c.receive()
	}
	c.startPending()
}

// holdsBack reports whether the client has so many answers to read that no more of its messages are
// handled. Otherwise a client that sends health checks at full speed would take the whole time of the
// loop, and one that reads no answers would take memory without end.
func (c *client) holdsBack() bool { return c.localAnswers >= maxLocalAnswers }

// parseHeld handles the messages that were held back. It reports whether the client's connection
// can be read again.
func (c *client) parseHeld() bool {
	if c.holdsBack() {
		return false
	}
	c.inputHeld = false
	c.parse(nil, c.unreadSince)
	return !c.closed && !c.inputHeld
}

// parse handles the complete messages in the buffered input and data, and keeps the rest in
// input.
func (c *client) parse(data []byte, arrivedAfter float64) {
	server := c.server
	c.parsing = true
	defer func() { c.parsing = false }()
	used, data, err := c.handleBuffered(data, arrivedAfter)
	if err == nil && !c.closed && c.input.Len() == 0 {
		var direct int
		direct, err = c.handleMessages(data, arrivedAfter)
		used += direct
		data = data[direct:]
	}
	if err != nil {
		server.counts.Invalid++
		server.log.Debug("malformed message, connection closed", zap.Error(err))
		c.close()
	}
	if c.closed {
		return
	}
	if len(data) > 0 {
		c.input.Add(&server.buffers, data)
	}
	c.updateActivity(used, c.input.Len())
}

// handleBuffered handles the complete messages in input. It completes the last one with bytes from
// data, and returns the size of the messages and the rest of data. It takes no more from data, so
// that input never needs a buffer that is much larger than a message.
func (c *client) handleBuffered(data []byte, arrivedAfter float64) (used int, rest []byte, err error) {
	server := c.server
	for c.input.Len() > 0 {
		missing := min(thriftrpc.MissingBytes(c.input.Bytes()), len(data))
		c.input.Add(&server.buffers, data[:missing])
		data = data[missing:]
		size, err := c.handleMessages(c.input.Bytes(), arrivedAfter)
		used += size
		if err != nil || c.closed {
			return used, data, err
		}
		c.input.Take(&server.buffers, size)
		if size == 0 && (missing == 0 || len(data) == 0) { // incomplete, or held back
			break
		}
	}
	return used, data, nil
}

// updateActivity updates the times by which connections expire, after a read that completed
// messages of used bytes and left rest bytes of an incomplete one. It enforces the memory limit.
func (c *client) updateActivity(used, rest int) {
	server := c.server
	if used > 0 {
		c.activity.LastUsed = server.loop.Now()
	}
	if rest == 0 || c.inputHeld {
		c.activity.LastPartial = 0
		return
	}
	if c.activity.LastPartial == 0 || used > 0 {
		c.activity.PartialBegan = server.loop.Now()
	}
	c.activity.LastPartial = server.loop.Now()
	if server.buffers.Used > server.maxBufferedBytes() {
		server.closeLargestBuffer()
	}
}

// handleMessages handles all complete frames in data and returns their size. It stops early and
// sets inputHeld if the client has to read answers first.
func (c *client) handleMessages(data []byte, arrivedAfter float64) (used int, err error) {
	for !c.closed {
		payload, size, err := thriftrpc.SplitFrame(data[used:])
		if err != nil || size == 0 {
			return used, err
		}
		if c.holdsBack() {
			c.inputHeld = true
			return used, nil
		}
		call, err := c.server.codec.Parse(payload)
		if err != nil {
			return used, err
		}
		if err := c.handleCall(&call, arrivedAfter); err != nil {
			return used, err
		}
		c.activity.Messages++
		used += size
	}
	return used, nil
}

// handleCall handles one message. It returns an error if the message violates a rule of the
// connection: sequence numbers increase, and the number of open calls is limited.
func (c *client) handleCall(call *thriftrpc.Call, arrivedAfter float64) error {
	server := c.server
	switch call.Method {
	case thriftrpc.MethodServe:
		if call.Seq <= c.lastSequence {
			return thriftrpc.ErrSequence
		}
		c.lastSequence = call.Seq
		if c.openCalls() >= thriftrpc.MaxOpenCalls {
			return thriftrpc.ErrTooManyOpen
		}
		pending := pendingCall{Call: *call, arrivedAfter: arrivedAfter, readAt: eventloop.Clock()}
		if server.reserveBody(len(call.Body)) {
			pending.Body = bytes.Clone(call.Body)
		} else {
			pending.Body, pending.overMemory = nil, true
		}
		c.pending = append(c.pending, pending)
	case thriftrpc.MethodForget:
		c.cancelCall(call.CancelledSeq)
	case thriftrpc.MethodIsWell:
		c.queueLocal(server.codec.Health(call.Seq, server.drainStarted == 0))
	default:
		server.counts.Invalid++
		c.queueLocal(server.codec.UnknownMethod(call.Name, call.Seq))
	}
	return nil
}

// cancelCall cancels a call for the client. A pending call is dropped and never reaches the
// router.
func (c *client) cancelCall(seq int32) {
	if req := c.open[seq]; req != nil {
		c.abandon(req)
		return
	}
	index := slices.IndexFunc(c.pending, func(call pendingCall) bool { return call.Seq == seq })
	if index >= 0 {
		c.server.releaseBody(len(c.pending[index].Body))
		c.pending = slices.Delete(c.pending, index, index+1)
		c.server.counts.Abandoned++
	}
}

// startPending starts the pending calls, unless more data is expected that may cancel them.
func (c *client) startPending() {
	for !c.closed && len(c.pending) > 0 {
		call := c.pending[0]
		now := eventloop.Clock()
		if c.expectsMoreData(now) && now-call.readAt < maxPendingTime {
			c.server.loop.Arm(&c.pendingTimer, moreDataDelay)
			break
		}
		c.pending = c.pending[1:]
		c.startCall(&call)
	}
	if len(c.pending) == 0 {
		c.pending, c.largeRead = nil, false
	}
	c.flush()
}

// expectsMoreData reports whether more data may follow the pending calls: data that has not
// been read yet, or that the client's kernel may have held back. At the end of a drain there
// is no time to wait for it.
func (c *client) expectsMoreData(now float64) bool {
	if c.server.drainStarted > 0 && now >= c.server.lastAnswerBy {
		return false
	}
	return c.unreadSince > 0 || c.largeRead && (c.moreDataUntil > now || c.input.Len() > 0)
}

// startCall starts a request, or answers Broken if its fields are invalid, or Throttled if there was
// no memory for its body.
func (c *client) startCall(call *pendingCall) {
	server := c.server
	request, err := thriftrpc.ParseRequest(&call.Call, server.class)
	if err == nil && (server.requests[request.ID] != nil || server.endedWrites.contains(server.loop.Now(), request.ID)) {
		err = thriftrpc.ErrDuplicateID
	}
	if err != nil {
		server.counts.Invalid++
		server.log.Debug("invalid request", zap.Error(err))
		server.releaseBody(len(call.Body))
		c.queue(server.codec.Failed(call.Seq))
		return
	}
	if call.overMemory {
		server.counts.OverMemory++
		c.queueLocal(server.codec.Rejected(call.Seq, min(memoryRetryAfter, server.config.settings.Module.MaxRetryAfter)))
		return
	}
	server.startRequest(c, call.Seq, request, call.arrivedAfter)
}
