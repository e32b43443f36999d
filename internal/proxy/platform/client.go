package platform

import (
	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/proxy/limits"
)

func closeFD(fd int) { unix.Close(fd) }

// client is a client's connection.
type client struct {
	server       *Server
	fd           int
	input        eventloop.Queue
	output       eventloop.Queue
	open         map[int32]*request
	pending      []pendingCall // calls that were read whole, and of which nothing has begun
	lastSequence int32         // number of the last call of serve
	activity     limits.Visitor
	closed       bool

	// What Node.take counts a request's time from.
	emptiedAt   float64 // when a read last found nothing more
	unreadSince float64 // 0, or when bytes may have come that no read has reached yet

	largeRead   bool            // so much came at once that the kernel may have held back more
	settledAt   float64         // when that has come, if nothing comes before
	settleTimer eventloop.Timer // has what waited for that begin
}

// owes reports whether the client has a request, or a part of an answer, to come.
func (c *client) owesAnswer() bool {
	return len(c.open) > 0 || len(c.pending) > 0 || c.output.Len() > 0
}

// close ends a connection; what is open on it is given up.
func (c *client) close() {
	if c.closed {
		return
	}
	server := c.server
	c.closed = true
	server.counts.Closed++
	server.counts.Abandoned += uint64(len(c.pending))
	c.pending = nil
	server.loop.Forget(&c.settleTimer)
	server.loop.Remove(c.fd)
	closeFD(c.fd)
	delete(server.clients, c)
	server.unsentBytes -= c.output.Len()
	c.input.Drop(&server.buffers)
	c.output.Drop(&server.buffers)
	list := make([]*request, 0, len(c.open))
	for _, r := range c.open {
		list = append(list, r)
		r.client = nil // nothing more is begun for any of them while the module hears of one
	}
	for _, r := range list {
		c.abandon(r)
	}
}

// shut ends a connection that is at rest, from this side. What its client sends in that
// moment is read and dropped, so that the kernel resets nothing and the client can tell:
// it sends that again elsewhere. The connection is closed when the client closes it, or
// when it overstays.
func (c *client) shutdownWrite() {
	c.activity.Shut = c.server.loop.Now()
	unix.Shutdown(c.fd, unix.SHUT_WR)
}

// giveUp tells the module that the client has left a request.
func (c *client) abandon(r *request) {
	c.server.counts.Abandoned++
	c.server.trace("gone", r)
	c.server.endForClient(r)
	c.server.dispatch(spool.Gone{ID: r.ID})
}

// OnReady is the loop's.
func (c *client) OnReady(ready eventloop.Ready) {
	switch {
	case ready.Ended(): // whatever it has sent before: nobody waits for an answer to it
		c.close()
		return
	case c.activity.Shut > 0:
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
