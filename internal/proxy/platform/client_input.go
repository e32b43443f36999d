package platform

import (
	"slices"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/thriftrpc"
)

const (
	maxReadPerTurn = 256 << 10 // bytes that one turn reads of one client
	largeReadBytes = 64 << 10  // bytes in one turn, past which the kernel may have held back more at the client's side
	settleDelay    = 5.0       // ms in which that comes
	maxPendingTime = 100.0     // ms that a call waits for what comes behind it
	longTurn       = 30.0      // ms into a turn, from which on clients are read again before anything begins
)

// late reports that the present turn began so long ago that clients may have left since.
func (s *Server) inLongTurn() bool { return eventloop.Clock()-s.loop.Now() > longTurn }

// unsent is a call of serve that waits until all that came behind it has been read.
type pendingCall struct {
	thriftrpc.Call
	arrivedAfter float64 // the earliest moment at which its last byte may have come
	readAt       float64 // when it was read
}

// receive reads what has come. What gives up a request, or ends the connection, takes
// effect at once; calls are kept until begin, so that one that is given up behind others,
// however many, is not begun, and one that spoils its connection spoils what came along
// with it.
func (c *client) receive() {
	server := c.server
	arrivedAfter := c.unreadSince
	if arrivedAfter == 0 {
		arrivedAfter = max(server.loop.Since(), c.emptiedAt)
	}
	for left := maxReadPerTurn; left > 0; {
		startedAt := eventloop.Clock()
		size, err := server.loop.Read(c.fd, server.readBuffer)
		switch {
		case err == unix.EAGAIN:
			c.noteEmptied(startedAt, maxReadPerTurn-left)
			return
		case eventloop.Later(err):
			c.unreadSince = arrivedAfter
			return
		case err != nil || size == 0:
			c.close()
			return
		}
		if c.parse(server.readBuffer[:size], arrivedAfter); c.closed {
			return
		}
		left -= size
		if size < len(server.readBuffer) && !server.inLongTurn() { // an end that has come in a long turn is read behind it
			c.noteEmptied(startedAt, maxReadPerTurn-left)
			return
		}
	}
	c.unreadSince = arrivedAfter
}

// empty notes that a read that began at asked has left nothing, after so many bytes.
func (c *client) noteEmptied(asked float64, size int) {
	c.emptiedAt, c.unreadSince = asked, 0
	if c.largeRead = c.largeRead || size > largeReadBytes; c.largeRead {
		c.settledAt = asked + settleDelay
	}
}

// heed hears what the client has sent since the turn began, where that is long ago.
func (c *client) receiveInLongTurn() {
	if c.closed || c.activity.Shut > 0 || !c.server.inLongTurn() || eventloop.Clock()-c.emptiedAt < longTurn {
		return
	}
	c.receive()
	if !c.closed && (len(c.pending) > 0 || c.output.Len() > 0) {
		c.server.loop.Arm(&c.settleTimer, 0)
	}
}

// drop reads what comes after the connection was shut.
func (c *client) discardInput() {
	if size, err := c.server.loop.Read(c.fd, c.server.readBuffer); !eventloop.Later(err) && (err != nil || size == 0) {
		c.close()
	}
}

// parse takes bytes that have come, and hears each message that is whole.
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
		server.log.Debug("client closed", zap.Error(err))
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
	c.noteProgress(used, rest)
}

// note keeps what the limits go by, after a read that ended so many bytes of whole messages
// and left so many of one that is not.
func (c *client) noteProgress(used, rest int) {
	server := c.server
	if used > 0 {
		c.activity.Last = server.loop.Now()
	}
	if rest == 0 {
		c.activity.Half = 0
		return
	}
	if c.activity.Half == 0 || used > 0 {
		c.activity.Begun = server.loop.Now()
	}
	c.activity.Half = server.loop.Now()
	if server.buffers.Used > server.maxBufferedBytes() {
		server.closeLargestBuffer()
	}
}

// messages hears all whole frames, and tells how many bytes they take.
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

// hear takes one message, and holds it to what a connection may do: numbers rise, and so
// many requests are open at once.
func (c *client) handleCall(call *thriftrpc.Call, arrivedAfter float64) error {
	server := c.server
	switch call.Method {
	case thriftrpc.MethodServe:
		if call.Seq <= c.lastSequence {
			return thriftrpc.ErrSequence
		}
		if c.lastSequence = call.Seq; len(c.open)+len(c.pending) >= thriftrpc.MaxOpenCalls {
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

// forget gives up a call; one that was not begun is not heard of by anybody.
func (c *client) cancelCall(seq int32) {
	if r := c.open[seq]; r != nil {
		c.abandon(r)
		return
	}
	at := slices.IndexFunc(c.pending, func(u pendingCall) bool { return u.Seq == seq })
	if at >= 0 {
		c.pending = slices.Delete(c.pending, at, at+1)
		c.server.counts.Abandoned++
	}
}

// begin hands on the calls that were read, once nothing is left behind them that could
// give them up.
func (c *client) startPending() {
	for !c.closed && len(c.pending) > 0 {
		call := c.pending[0]
		if now := eventloop.Clock(); c.expectsMore(now) && now-call.readAt < maxPendingTime {
			c.server.loop.Arm(&c.settleTimer, settleDelay)
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

// expects reports whether more is to come behind the calls that were read: it was not read
// yet, or the kernel may have held it back. At the end of a drain there is no time for it.
func (c *client) expectsMore(now float64) bool {
	if c.server.drainStarted > 0 && now >= c.server.lastAnswerBy {
		return false
	}
	return c.unreadSince > 0 || c.largeRead && (c.settledAt > now || c.input.Len() > 0)
}

// serve begins a request, or turns it down.
func (c *client) startCall(call *pendingCall) {
	server := c.server
	request, err := thriftrpc.ParseRequest(&call.Call, server.class)
	if err == nil && server.requests[request.ID] != nil {
		err = thriftrpc.ErrDuplicateID
	}
	if err != nil {
		server.counts.Invalid++
		server.log.Debug("request turned down", zap.Error(err))
		c.queue(server.codec.Failed(call.Seq))
		return
	}
	server.startRequest(c, call.Seq, request, call.arrivedAfter)
}
