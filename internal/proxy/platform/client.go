package platform

import (
	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/thriftrpc"
	"indigospool/internal/proxy/limits"
)

// client is a connection from a client. Times are on the loop's clock, in ms.
type client struct {
	server       *Server
	fd           int
	input        eventloop.Queue // the first part of an incomplete message
	output       eventloop.Queue
	open         map[int32]*request // started requests without a final answer, by sequence number
	pending      []pendingCall      // calls that were read but not started
	lastSequence int32              // sequence number of the last call of serve
	parsing      bool               // parse is running: the connection must not be read from within
	localAnswers int                // answers without a request that were queued since the output was last empty
	inputHeld    bool               // input may have complete messages that wait until the client has read answers
	activity     limits.ClientActivity
	closed       bool

	// The deadline of a request is counted from these times, see Server.startRequest.
	allReadAt   float64 // start of the last read that left nothing unread
	unreadSince float64 // earliest arrival of bytes that may be unread; 0 if there are none

	largeRead     bool            // so much data arrived at once that the kernel may have held back more
	moreDataUntil float64         // after a large read, the time until which more data is expected
	pendingTimer  eventloop.Timer // resumes the input and starts the pending calls
}

// pendingCall is a call of serve that waits until the data that follows it has been read.
type pendingCall struct {
	thriftrpc.Call
	arrivedAfter float64 // the earliest time at which its last byte may have arrived
	readAt       float64
	overMemory   bool // there was no memory for the body, which was dropped
}

// OnReady implements eventloop.Handler.
func (c *client) OnReady(ready eventloop.Ready) {
	switch {
	case ready.Ended(): // the client no longer waits for answers, so unread data does not matter
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

// openCalls returns the number of calls, and so of requests, without a final answer.
func (c *client) openCalls() int { return len(c.open) + len(c.pending) }

// answerPending reports whether an answer to the client, or a part of one, is still to be written,
// or may be once its input is handled.
func (c *client) answerPending() bool {
	return c.openCalls() > 0 || c.output.Len() > 0 || c.inputHeld
}

// abandon tells the router that the client has given up a request.
func (c *client) abandon(req *request) {
	c.server.counts.Abandoned++
	c.server.trace("abandoned", req)
	c.server.detachClient(req)
	c.server.dispatch(spool.Gone{ID: req.ID})
}

// shutdownWrite shuts down an idle connection for writing. Data that the client still sends is
// read and discarded: the kernel then does not reset the connection, and the client knows to
// send its requests again elsewhere. The connection is closed when the client closes it or
// when it expires.
func (c *client) shutdownWrite() {
	c.activity.ShutdownAt = c.server.loop.Now()
	unix.Shutdown(c.fd, unix.SHUT_WR)
}

// close closes the connection and abandons its open requests.
func (c *client) close() {
	if c.closed {
		return
	}
	server := c.server
	c.closed = true
	server.counts.Closed++
	server.counts.Abandoned += uint64(len(c.pending))
	for i := range c.pending {
		server.releaseBody(len(c.pending[i].Body))
	}
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
		req.client = nil // while the router handles the first, no attempt may start for the others
	}
	for _, req := range abandoned {
		c.abandon(req)
	}
}
