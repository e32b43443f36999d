package platform

import (
	"slices"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/resp"
)

// memberConn is a connection to a member. Attempts move from queued to writing to awaiting.
// Times are on the loop's clock, in ms.
type memberConn struct {
	pool      *pool
	fd        int
	connected bool
	closed    bool
	closing   bool // takes no new attempts, and is closed after the last one
	input     eventloop.Queue
	output    eventloop.Queue

	queued     []*attempt      // not written at all
	writing    *attempt        // its frame is in output, not or partially written
	awaiting   []*attempt      // completely written, waiting for their answers
	encodedAt  float64         // when the frame of writing was encoded
	frameBytes int             // size of that frame
	frameTimer eventloop.Timer // expires maxFrameDelay after encodedAt

	lastUsed   float64 // when it was last written to or read from
	lastRead   float64
	idleBefore float64 // idle time before the oldest attempt in awaiting; 0 if the connection was new

	written      int       // number of attempts written
	recent       [4]string // ids of the requests written last; duplicate answers to them may still arrive
	connectTimer eventloop.Timer
}

// load returns the number of attempts that are queued or awaiting an answer.
func (c *memberConn) load() int { return len(c.awaiting) + len(c.queued) }

// idle reports whether the connection is established and has no attempt.
func (c *memberConn) idle() bool { return c.connected && c.load() == 0 }

// OnReady implements eventloop.Handler.
func (c *memberConn) OnReady(ready eventloop.Ready) {
	if !c.connected {
		if !ready.Writable() {
			return
		}
		errno, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err != nil || errno != 0 {
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

// flush writes the queued attempts. It passes one frame at a time to the kernel, so that it is
// known for each attempt whether its frame was written not at all, in part or completely.
func (c *memberConn) flush() {
	server := c.pool.server
	if c.abandonOverdueFrame() {
		return
	}
	for !c.closed {
		if !c.writeOutput() {
			return
		}
		c.noteFrameWritten()
		if len(c.queued) == 0 {
			if c.closing && len(c.awaiting) == 0 { // the attempts for which it was dialled have been abandoned
				c.close()
				return
			}
			server.loop.Want(c.fd, eventloop.Read)
			return
		}
		next := c.queued[0]
		if client := next.request.client; client != nil && server.inLongTurn() {
			client.receiveInLongTurn()
			if c.closed || c.writing != nil || c.output.Len() > 0 || len(c.queued) == 0 || c.queued[0] != next {
				continue // messages of the client have changed the connection's state
			}
		}
		c.queued = slices.Delete(c.queued, 0, 1)
		if next.mustNotStart() {
			next.finish(spool.NotSent, spool.NoteNone, 0)
			continue
		}
		c.encode(next)
	}
}

// writeOutput writes until output is empty. It returns false if the kernel accepts no more for
// now or the connection has failed.
func (c *memberConn) writeOutput() bool {
	server := c.pool.server
	for c.output.Len() > 0 {
		size, err := server.loop.Write(c.fd, c.output.Bytes())
		if eventloop.Retryable(err) {
			server.loop.Want(c.fd, eventloop.Read|eventloop.Write)
			c.requeueUnsent()
			c.armFrameTimer()
			return false
		}
		if err != nil {
			c.fail(spool.Reset)
			return false
		}
		c.output.Take(&server.buffers, size)
	}
	return true
}

// noteFrameWritten records that the kernel has accepted the whole frame of writing, if there is
// one, and moves the attempt to awaiting.
func (c *memberConn) noteFrameWritten() {
	attempt := c.writing
	if attempt == nil {
		return
	}
	server := c.pool.server
	attempt.written = true
	attempt.request.sent = true
	attempt.writtenAt = eventloop.Clock()
	c.writing = nil
	server.loop.Disarm(&c.frameTimer)
	c.recent[c.written%len(c.recent)] = attempt.request.ID
	c.written++
	server.trace("attempt written", attempt.request, zap.Int("attempt", attempt.number), zap.Int("fd", c.fd))
	c.awaiting = append(c.awaiting, attempt)
}

// encode puts the frame of an attempt into output and makes it the one being written.
func (c *memberConn) encode(attempt *attempt) {
	server := c.pool.server
	now := server.loop.Now()
	if len(c.awaiting) == 0 {
		c.idleBefore = 0
		if c.written > 0 {
			c.idleBefore = now - c.lastUsed
		}
	}
	c.writing = attempt
	c.lastUsed = now
	c.encodedAt = eventloop.Clock()
	frame := attempt.encode(c.encodedAt)
	c.frameBytes = len(frame)
	c.output.Add(&server.buffers, frame)
}

// requeueUnsent moves the attempt being written back to the queue if the kernel has accepted
// nothing of its frame. It is encoded again later with the time then left, if it may still start.
func (c *memberConn) requeueUnsent() {
	if c.writing == nil || c.output.Len() < c.frameBytes {
		return
	}
	c.output.Drop(&c.pool.server.buffers)
	c.queued = slices.Insert(c.queued, 0, c.writing)
	c.writing = nil
}

// maxFrameDelay is the longest time, in ms, from the encoding of a frame to the writing of its
// last byte. It bounds the error of the frame's wait field, which counts from the encoding.
const maxFrameDelay = 80

// armFrameTimer limits the time for writing the rest of a partially written frame.
func (c *memberConn) armFrameTimer() {
	loop := c.pool.server.loop
	if c.writing != nil && !c.frameTimer.Armed() {
		loop.Arm(&c.frameTimer, c.encodedAt+maxFrameDelay-loop.Now())
	}
}

// abandonOverdueFrame abandons the attempt being written if its frame was encoded more than
// maxFrameDelay ago, since its wait field is then too long. This closes the connection, because
// the member has part of the frame. It reports whether there was such an attempt.
func (c *memberConn) abandonOverdueFrame() bool {
	a := c.writing
	if c.closed || a == nil || eventloop.Clock()-c.encodedAt < maxFrameDelay {
		return false
	}
	a.abandon(spool.TimedOut)
	return true
}

// cancel cancels an attempt that was written and has been detached, by sending STOP or by
// closing the connection. If nothing was read since the write, the member may have failed, and
// the connection takes no more attempts. If the request is going to be retried, STOP is not
// enough, as it may never arrive: the connection is closed if nothing was read since the write
// or if the attempt was the only one on it.
func (c *memberConn) cancel(attempt *attempt) {
	if c.closed {
		return
	}
	server := c.pool.server
	silent := c.lastRead <= attempt.writtenAt
	alone := c.load() == 0 && c.writing == nil
	if silent || c.writing != nil {
		c.closing = true
	}
	retried := attempt.request.client != nil
	server.trace("attempt cancelled", attempt.request, zap.Int("attempt", attempt.number), zap.Int("fd", c.fd),
		zap.Bool("silent", silent), zap.Bool("alone", alone))
	switch {
	case alone && (retried || c.closing):
		c.close()
	case retried && silent, c.writing != nil: // STOP would be delayed by the rest of another frame
		c.fail(spool.Cancelled)
	default:
		c.output.Add(&server.buffers, resp.AppendArray(nil, []byte("STOP"), []byte(attempt.request.ID)))
		c.flush()
	}
}

// fail closes the connection and finishes all its attempts: the completely written ones with
// result, the others with ConnectFailed, since the member cannot have executed them.
func (c *memberConn) fail(result spool.Result) {
	if c.closed {
		return
	}
	if result == spool.Reset {
		c.closeLikelyStale()
	}
	awaiting := slices.Clone(c.awaiting)
	unsent := slices.Clone(c.queued)
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

// closeLikelyStale is called when the member has closed the connection. If nothing was read
// since it was idle, the member has probably dropped it for being idle, and with it others that
// have been idle for as long. These are closed, here and at the members where the requests are
// retried, so that no request spends its attempts on stale connections.
func (c *memberConn) closeLikelyStale() {
	if c.idleBefore < minStaleIdle || len(c.awaiting) == 0 || c.lastRead > c.awaiting[0].writtenAt {
		return
	}
	idle := c.idleBefore * staleIdleFactor
	for _, a := range c.awaiting {
		if a.request.staleAfter == 0 || idle < a.request.staleAfter {
			a.request.staleAfter = idle
		}
	}
	c.pool.closeIdleFor(idle)
}

// close closes the connection and releases its buffers. No attempt may be left on it.
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
	c.pool.connections = slices.DeleteFunc(c.pool.connections, func(other *memberConn) bool { return other == c })
}
