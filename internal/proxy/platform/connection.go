package platform

import (
	"slices"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/resp"
)

// memberConn is one connection to a member. Attempts go through queued, writing and
// awaiting, in this order. Times are on the loop's clock, in ms.
type memberConn struct {
	pool      *pool
	fd        int
	connected bool
	closed    bool
	closing   bool // no new attempt goes to it
	input     eventloop.Queue
	output    eventloop.Queue

	queued     []*attempt // nothing of them is written
	writing    *attempt   // its frame is in output, and not completely written
	awaiting   []*attempt // completely written, and not answered
	encodedAt  float64    // when the frame of writing was made
	frameBytes int
	frameTimer eventloop.Timer // runs out when the rest of that frame would come too late

	lastUsed   float64 // when it was last written to or read from
	lastRead   float64
	idleBefore float64 // how long it was not used before what is awaiting on it; 0: it is new

	written      int       // attempts
	recent       [4]string // ids of the requests written last: second copies of their answers may yet come
	connectTimer eventloop.Timer
}

// load is the number of attempts that share the connection.
func (c *memberConn) load() int { return len(c.awaiting) + len(c.queued) }

// idle reports whether the connection is up and has no attempt.
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

// flush writes what is queued, one attempt after another, so that it is known of each
// whether any of it, or all of it, has been written.
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
			if c.closing && len(c.awaiting) == 0 { // what it was dialled for has been given up meanwhile
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
				continue // what the client has sent changes what there is to do here
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

// writeOutput writes until output is empty. False: the kernel takes no more for now, or
// the connection has ended.
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

// noteFrameWritten notes that the kernel has taken all of the frame that was being written.
func (c *memberConn) noteFrameWritten() {
	attempt := c.writing
	if attempt == nil {
		return
	}
	server := c.pool.server
	attempt.written = true
	attempt.writtenAt = eventloop.Clock()
	c.writing = nil
	server.loop.Disarm(&c.frameTimer)
	c.recent[c.written%len(c.recent)] = attempt.request.ID
	c.written++
	server.trace("attempt written", attempt.request, zap.Int("attempt", attempt.number), zap.Int("fd", c.fd))
	c.awaiting = append(c.awaiting, attempt)
}

// encode puts the frame of an attempt into output.
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

// requeueUnsent puts an attempt back into the queue of whose frame the kernel has taken
// nothing: it is encoded anew later, with the time left by then, if it may still start.
func (c *memberConn) requeueUnsent() {
	if c.writing == nil || c.output.Len() < c.frameBytes {
		return
	}
	c.output.Drop(&c.pool.server.buffers)
	c.queued = slices.Insert(c.queued, 0, c.writing)
	c.writing = nil
}

// maxFrameDelay is how long after a frame was encoded its last byte may be written, in ms:
// the time left that it names is too long by at most this.
const maxFrameDelay = 80

// armFrameTimer bounds the time in which the rest of a partially written frame may follow.
func (c *memberConn) armFrameTimer() {
	loop := c.pool.server.loop
	if c.writing != nil && !c.frameTimer.Armed() {
		loop.Arm(&c.frameTimer, c.encodedAt+maxFrameDelay-loop.Now())
	}
}

// abandonOverdueFrame gives up an attempt whose frame was written in part, where the time
// left that it names is too long by now. The connection is closed with it, as the member
// has a part of the frame. It reports whether there was such an attempt.
func (c *memberConn) abandonOverdueFrame() bool {
	a := c.writing
	if c.closed || a == nil || eventloop.Clock()-c.encodedAt < maxFrameDelay {
		return false
	}
	a.abandon(spool.TimedOut)
	return true
}

// cancel gives up an attempt that was written and has been detached, by STOP or by closing
// the connection. A connection on which nothing came since the write is not trusted with
// another attempt: its member may have failed. Where the request is to be retried, a STOP that
// may never arrive is not enough: a connection that the attempt had alone, or that has been
// silent since, is closed.
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
	case retried && silent, c.writing != nil: // behind a part of another frame, STOP would come late
		c.fail(spool.Cancelled)
	default:
		c.output.Add(&server.buffers, resp.AppendArray(nil, []byte("STOP"), []byte(attempt.request.ID)))
		c.flush()
	}
}

// fail closes the connection and finishes all attempts on it: those written completely with
// result, the others with ConnectFailed, as they cannot have run.
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

// closeLikelyStale looks at a connection that the member has ended. Where nothing was
// read from it since it was idle, the member may have forgotten it, and others that were idle
// as long: these are closed, here and at the members to which the attempts on it are retried,
// so that no request spends its attempts on them.
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

// close ends the connection and returns its buffers. It has no attempts by now.
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
