package platform

import (
	"slices"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/resp"
)

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
