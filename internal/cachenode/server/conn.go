package server

import (
	"golang.org/x/sys/unix"

	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/http1"
)

const (
	// maxPipelinedBytes limits the pipelined input that a connection buffers while a request or its
	// response is under way. Above the limit it does not read until the response is written.
	maxPipelinedBytes = 64 << 10

	// maxHandledPerTurn is the number of requests of one connection that are handled in a turn of the
	// loop.
	maxHandledPerTurn = 64

	// maxRequestBodyBytes limits the bodies of all requests together.
	maxRequestBodyBytes = 64 << 20
)

// conn is a connection from a client: a router, another cache, or a user.
type conn struct {
	server             *Server
	fd                 int
	readBuffer         []byte
	writeBuffer        []byte
	head               http1.Head
	body               http1.Body
	request            *request // the current request; nil between requests
	closeAfterResponse bool
	closed             bool
	headParsed         bool // the head of the current request is parsed, its body is still being received
	idleTimer          eventloop.Timer

	processing    bool   // processInput is running
	lastTurn      uint64 // turn of the loop in which the last request was handled
	handledInTurn int    // requests handled in that turn
	turnTimer     eventloop.Timer
}

// OnReady implements eventloop.Handler.
func (c *conn) OnReady(r eventloop.Ready) {
	if r.Ended() && (c.request != nil || len(c.readBuffer) > maxPipelinedBytes) { // the client no longer waits for answers, so unread data does not matter
		c.close()
		return
	}
	if r.Writable() && len(c.writeBuffer) > 0 {
		c.flush()
	}
	if c.closed || !r.Readable() {
		return
	}
	n, err := c.server.loop.Read(c.fd, c.server.scratch)
	switch {
	case eventloop.Retryable(err):
		if r.Hangup() && eventloop.NotReady(err) {
			c.close()
		}
		return
	case err != nil || n == 0:
		c.close()
		return
	}
	c.readBuffer = append(c.readBuffer, c.server.scratch[:n]...)
	c.processInput()
}

// mustWait reports whether the next request can't be handled now: the one before is being handled,
// its response is not written yet, or the connection has had its share of this turn of the loop.
func (c *conn) mustWait() bool {
	if c.headParsed {
		return false
	}
	if c.request != nil || len(c.writeBuffer) > 0 || c.turnTimer.Armed() {
		return true
	}
	if turn := c.server.loop.Turns(); turn != c.lastTurn {
		c.handledInTurn, c.lastTurn = 0, turn
	}
	if c.handledInTurn >= maxHandledPerTurn {
		c.server.loop.Arm(&c.turnTimer, 0)
		return true
	}
	return false
}

// processInput parses the received bytes and handles the requests in them, one at a time. Calls from
// within, when a request is answered at once, have no effect.
func (c *conn) processInput() {
	if c.processing {
		return
	}
	c.processing = true
	c.processRequests()
	c.processing = false
	if !c.closed {
		c.server.loop.Want(c.fd, c.interest())
	}
}

func (c *conn) processRequests() {
	for !c.closed && len(c.readBuffer) > 0 {
		if c.closeAfterResponse && c.request == nil { // the client was told that the connection closes
			c.readBuffer = nil
			return
		}
		if c.mustWait() {
			return
		}
		if !c.headParsed {
			n, err := http1.ParseRequest(c.readBuffer, &c.head, http1.Limits{})
			if err != nil {
				c.closeAfterResponse = true
				c.respond(400, err.Error())
				return
			}
			if n == 0 {
				return
			}
			c.request = c.server.newRequest(c)
			if err := c.body.Start(&c.head, int64(c.server.cfg.MaxBodyBytes)); err != nil {
				c.closeAfterResponse = true
				c.respond(413, err.Error())
				return
			}
			c.readBuffer = c.readBuffer[n:]
			c.headParsed = true
		}
		for !c.body.Done() && len(c.readBuffer) > 0 {
			n, data, err := c.body.Next(c.readBuffer)
			if err != nil {
				c.closeAfterResponse = true
				c.respond(400, err.Error())
				return
			}
			if !c.request.appendBody(data) {
				c.closeAfterResponse = true
				c.respond(503, "too many bytes of request bodies are in memory: send the request again later")
				return
			}
			if c.readBuffer = c.readBuffer[n:]; n == 0 {
				return
			}
		}
		if !c.body.Done() {
			return
		}
		c.headParsed = false
		c.handledInTurn++
		c.server.loop.Disarm(&c.idleTimer)
		c.request.handle()
	}
	if !c.closed && c.headParsed && c.body.Done() {
		c.headParsed = false
		c.server.loop.Disarm(&c.idleTimer)
		c.request.handle()
	}
	if len(c.readBuffer) == 0 {
		c.readBuffer = nil
	}
}

// respond answers the current request with a short text.
func (c *conn) respond(status int, body string) {
	head := http1.AppendStatus(nil, status)
	head = http1.AppendFieldInt(head, "Content-Length", int64(len(body)))
	if c.closeAfterResponse {
		head = http1.AppendFieldString(head, "Connection", "close")
	}
	c.writeBuffer = append(append(append(c.writeBuffer, head...), "\r\n"...), body...)
	c.finishRequest()
}

// finishRequest ends the current request, sends what is left of its response, and goes on with
// the next one.
func (c *conn) finishRequest() {
	if req := c.request; req != nil {
		c.request = nil
		req.end()
	}
	c.flush()
	if c.closed {
		return
	}
	if c.closeAfterResponse && len(c.writeBuffer) == 0 {
		c.close()
		return
	}
	c.server.loop.Arm(&c.idleTimer, c.server.cfg.IdleTimeout)
	c.processInput()
}

// interest returns the events that the connection waits for. It is not read while much of its input
// must wait, except to learn of its end.
func (c *conn) interest() eventloop.Interest {
	want := eventloop.Read
	if len(c.readBuffer) > maxPipelinedBytes && c.mustWait() {
		want = eventloop.End
	}
	if len(c.writeBuffer) > 0 {
		want |= eventloop.Write
	}
	return want
}

// write sends data. What the socket does not take now is copied to writeBuffer.
func (c *conn) write(data []byte) {
	if len(c.writeBuffer) == 0 {
		n, err := c.server.loop.Write(c.fd, data)
		if err == nil {
			c.server.stats.Out += int64(n)
			data = data[n:]
		} else if !eventloop.Retryable(err) {
			c.close()
			return
		}
	}
	c.writeBuffer = append(c.writeBuffer, data...)
	c.flush()
}

// flush sends the contents of writeBuffer. When all of it is sent, it continues the response, or
// closes the connection after the last one.
func (c *conn) flush() {
	for len(c.writeBuffer) > 0 && !c.closed {
		n, err := c.server.loop.Write(c.fd, c.writeBuffer)
		if eventloop.Retryable(err) {
			c.server.loop.Want(c.fd, c.interest())
			return
		}
		if err != nil {
			c.close()
			return
		}
		c.server.stats.Out += int64(n)
		c.writeBuffer = c.writeBuffer[n:]
	}
	if c.closed {
		return
	}
	c.writeBuffer = nil
	c.server.loop.Want(c.fd, c.interest())
	switch {
	case c.request != nil:
		c.request.sendMore()
	case c.closeAfterResponse:
		c.close()
	default:
		c.processInput()
	}
}

func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.server.loop.Forget(&c.idleTimer)
	c.server.loop.Forget(&c.turnTimer)
	c.server.loop.Remove(c.fd)
	unix.Close(c.fd)
	delete(c.server.conns, c)
	if req := c.request; req != nil {
		c.request = nil
		req.end()
	}
}
