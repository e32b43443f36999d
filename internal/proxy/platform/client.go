package platform

import (
	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/thriftrpc"
	"indigospool/internal/proxy/limits"
)

// client is a client's connection. Times are on the loop's clock, in ms.
type client struct {
	server       *Server
	fd           int
	input        eventloop.Queue // of a message that has come in part
	output       eventloop.Queue
	open         map[int32]*request // requests without their final answer, by sequence number
	pending      []pendingCall      // calls that were read, and are not started
	lastSequence int32              // of the last call of serve
	activity     limits.ClientActivity
	closed       bool

	// From these two the time of a request is counted, see Server.startRequest.
	allReadAt   float64 // when a read last found nothing more
	unreadSince float64 // since when bytes may have come that no read has reached; 0: none may

	largeRead     bool            // so much came at once that the kernel may have held back more
	moreDataUntil float64         // by when that has come, if nothing comes before
	pendingTimer  eventloop.Timer // starts what is pending
}

// pendingCall is a call of serve that waits until all that came behind it has been read.
type pendingCall struct {
	thriftrpc.Call
	arrivedAfter float64 // the earliest moment at which its last byte may have come
	readAt       float64
}

// OnReady implements eventloop.Handler.
func (c *client) OnReady(ready eventloop.Ready) {
	switch {
	case ready.Ended(): // whatever it has sent before: nobody waits for an answer to it
		c.close()
		return
	case c.activity.ShutdownAt > 0:
		c.discardInput()
		return
	case ready.Writable() && c.output.Len() > 0:
		c.flush()
	}
	if !c.closed && ready.Readable() {
		c.receive()
		c.startPending()
	}
}

// openCalls is the number of calls without their final answer.
func (c *client) openCalls() int { return len(c.open) + len(c.pending) }

// answerPending reports whether an answer to the client, or a part of one, is still to be written.
func (c *client) answerPending() bool { return c.openCalls() > 0 || c.output.Len() > 0 }

// abandon tells the router that the client has given up a request.
func (c *client) abandon(req *request) {
	c.server.counts.Abandoned++
	c.server.trace("abandoned", req)
	c.server.detachClient(req)
	c.server.dispatch(spool.Gone{ID: req.ID})
}

// shutdownWrite ends a connection at rest from this side. What its client sends at that
// moment is read and discarded, so that the kernel resets nothing and the client knows to
// send it again elsewhere. The connection is closed when the client closes it, or when it
// overstays.
func (c *client) shutdownWrite() {
	c.activity.ShutdownAt = c.server.loop.Now()
	unix.Shutdown(c.fd, unix.SHUT_WR)
}

// close ends the connection, and abandons what is open on it.
func (c *client) close() {
	if c.closed {
		return
	}
	server := c.server
	c.closed = true
	server.counts.Closed++
	server.counts.Abandoned += uint64(len(c.pending))
	c.pending = nil
	server.loop.Forget(&c.pendingTimer)
	server.loop.Remove(c.fd)
	closeFD(c.fd)
	delete(server.clients, c)
	server.unsentBytes -= c.output.Len()
	c.input.Drop(&server.buffers)
	c.output.Drop(&server.buffers)
	abandoned := make([]*request, 0, len(c.open))
	for _, req := range c.open {
		abandoned = append(abandoned, req)
		req.client = nil // no attempt starts for any of them while the router handles the first
	}
	for _, req := range abandoned {
		c.abandon(req)
	}
}
