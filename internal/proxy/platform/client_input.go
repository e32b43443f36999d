package platform

import (
	"slices"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/thriftrpc"
)

const (
	maxReadPerTurn = 256 << 10 // bytes that one turn of the loop reads of one client
	largeReadBytes = 64 << 10  // bytes in one turn, above which the kernel may have held back more at the client's side
	moreDataDelay  = 5.0       // ms in which that comes
	maxPendingTime = 100.0     // ms that a call waits for what comes behind it
	longTurnTime   = 30.0      // ms into a turn, from which on clients are read again before anything is started
)

// inLongTurn reports whether the present turn of the loop began so long ago that clients may
// have closed or given up since.
func (s *Server) inLongTurn() bool { return eventloop.Clock()-s.loop.Now() > longTurnTime }

// receive reads what has come. What gives up a request or ends the connection takes effect
// at once. Calls are kept until startPending, so that a call that is given up behind others,
// however many, is not started, and a malformed message drops the calls that came with it.
func (c *client) receive() {
	server := c.server
	arrivedAfter := c.unreadSince
	if arrivedAfter == 0 {
		arrivedAfter = max(server.loop.EarliestArrival(), c.allReadAt)
	}
	for left := maxReadPerTurn; left > 0; {
		startedAt := eventloop.Clock()
		size, err := server.loop.Read(c.fd, server.readBuffer)
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
		c.parse(server.readBuffer[:size], arrivedAfter)
		if c.closed {
			return
		}
		left -= size
		if size < len(server.readBuffer) && !server.inLongTurn() { // in a long turn, an end that has come is read as well
			c.noteAllRead(startedAt, maxReadPerTurn-left)
			return
		}
	}
	c.unreadSince = arrivedAfter
}

// noteAllRead notes that a read that began at startedAt has left nothing unread, after so
// many bytes in this turn.
func (c *client) noteAllRead(startedAt float64, size int) {
	c.allReadAt = startedAt
	c.unreadSince = 0
	c.largeRead = c.largeRead || size > largeReadBytes
	if c.largeRead {
		c.moreDataUntil = startedAt + moreDataDelay
	}
}

// receiveInLongTurn reads what the client has sent since the turn began, where that is long ago.
func (c *client) receiveInLongTurn() {
	if c.closed || c.activity.ShutdownAt > 0 || !c.server.inLongTurn() || eventloop.Clock()-c.allReadAt < longTurnTime {
		return
	}
	c.receive()
	if !c.closed && (len(c.pending) > 0 || c.output.Len() > 0) {
		c.server.loop.Arm(&c.pendingTimer, 0)
	}
}

// discardInput reads what comes after shutdownWrite.
func (c *client) discardInput() {
	size, err := c.server.loop.Read(c.fd, c.server.readBuffer)
	if !eventloop.Retryable(err) && (err != nil || size == 0) {
		c.close()
	}
}

// parse handles each complete message in what has come, and keeps the rest in input.
func (c *client) parse(data []byte, arrivedAfter float64) {
	server := c.server
	buffered := c.input.Len() > 0
	if buffered {
		c.input.Add(&server.buffers, data)
		data = c.input.Bytes()
	}
	used, err := c.handleMessages(data, arrivedAfter)
	if err != nil {
		server.counts.Invalid++
		server.log.Debug("malformed message, connection closed", zap.Error(err))
		c.close()
	}
	if c.closed {
		return
	}
	rest := len(data) - used
	if buffered {
		c.input.Take(&server.buffers, used)
	} else if rest > 0 {
		c.input.Add(&server.buffers, data[used:])
	}
	c.updateActivity(used, rest)
}

// updateActivity notes what the limits go by, after a read that completed messages of so many
// bytes and left so many of the next one.
func (c *client) updateActivity(used, rest int) {
	server := c.server
	if used > 0 {
		c.activity.LastUsed = server.loop.Now()
	}
	if rest == 0 {
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

// handleMessages handles all complete frames, and returns how many bytes they take.
func (c *client) handleMessages(data []byte, arrivedAfter float64) (used int, err error) {
	for !c.closed {
		payload, size, err := thriftrpc.SplitFrame(data[used:])
		if err != nil || size == 0 {
			return used, err
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

// handleCall handles one message. Its error is a breach of the rules of a connection:
// sequence numbers rise, and the number of open calls is bounded.
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
		c.pending = append(c.pending, pendingCall{*call, arrivedAfter, eventloop.Clock()})
	case thriftrpc.MethodForget:
		c.cancelCall(call.CancelledSeq)
	case thriftrpc.MethodIsWell:
		c.queue(server.codec.Health(call.Seq, server.drainStarted == 0))
	default:
		server.counts.Invalid++
		c.queue(server.codec.UnknownMethod(call.Name, call.Seq))
	}
	return nil
}

// cancelCall gives up a call; one that is still pending never reaches the router.
func (c *client) cancelCall(seq int32) {
	if req := c.open[seq]; req != nil {
		c.abandon(req)
		return
	}
	index := slices.IndexFunc(c.pending, func(call pendingCall) bool { return call.Seq == seq })
	if index >= 0 {
		c.pending = slices.Delete(c.pending, index, index+1)
		c.server.counts.Abandoned++
	}
}

// startPending starts the calls that were read, once nothing is left behind them that could
// give them up.
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

// expectsMoreData reports whether more is to come behind the calls that were read: it was not
// read yet, or the kernel may have held it back. At the end of a drain nothing is waited for.
func (c *client) expectsMoreData(now float64) bool {
	if c.server.drainStarted > 0 && now >= c.server.lastAnswerBy {
		return false
	}
	return c.unreadSince > 0 || c.largeRead && (c.moreDataUntil > now || c.input.Len() > 0)
}

// startCall starts a request, or answers that its fields cannot be used.
func (c *client) startCall(call *pendingCall) {
	server := c.server
	request, err := thriftrpc.ParseRequest(&call.Call, server.class)
	if err == nil && server.requests[request.ID] != nil {
		err = thriftrpc.ErrDuplicateID
	}
	if err != nil {
		server.counts.Invalid++
		server.log.Debug("invalid request", zap.Error(err))
		c.queue(server.codec.Failed(call.Seq))
		return
	}
	server.startRequest(c, call.Seq, request, call.arrivedAfter)
}
