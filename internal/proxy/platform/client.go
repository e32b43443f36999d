package platform

import (
	"slices"

	"golang.org/x/sys/unix"

	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/thriftrpc"
	"indigospool/internal/proxy/limits"
)

func closeFD(fd int) { unix.Close(fd) }

const acceptsPerTurn = 64 // connections that one turn takes

// listener takes clients' connections.
type listener struct {
	eventloop.Listener
	server  *Server
	fd      int
	address string
}

func listen(server *Server, address string) (*listener, error) {
	fd, bound, err := eventloop.Listen(address)
	if err != nil {
		return nil, err
	}
	ln := &listener{server: server, fd: fd, address: bound}
	ln.Listener = eventloop.Listener{PerTurn: acceptsPerTurn, Take: ln.acceptClient, MakeRoom: server.closeIdleClient}
	return ln, ln.Start(server.loop, fd)
}

// close takes who has connected already, and ends listening.
func (ln *listener) close() {
	if ln.fd < 0 {
		return
	}
	ln.Accept()
	ln.Stop()
	closeFD(ln.fd)
	ln.fd = -1
}

// take begins to hear a client.
func (ln *listener) acceptClient(fd int) {
	server := ln.server
	server.counts.Accepted++
	if len(server.clients) >= server.connectionLimits.Clients && !server.closeIdleClient() {
		closeFD(fd)
		return
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &client{server: server, fd: fd, open: map[int32]*request{}, activity: limits.Visitor{Since: server.loop.Now()}}
	c.settleTimer.F = c.startPending
	if c.emptiedAt = eventloop.Clock(); !eventloop.Quiet(fd) { // it may have waited in the queue
		c.unreadSince = ln.Since()
	}
	if err := server.loop.Add(fd, eventloop.Read, c); err != nil {
		closeFD(fd)
		return
	}
	server.loop.First(fd)
	server.clients[c] = struct{}{}
}

// yield closes the connection that goes first where room is needed, if any may.
func (s *Server) closeIdleClient() bool {
	var idlest *client
	for client := range s.clients {
		if client.output.Len() > 0 {
			continue // an answer is under way
		}
		client.activity.Open = len(client.open) + len(client.pending)
		var idlestActivity *limits.Visitor
		if idlest != nil {
			idlestActivity = &idlest.activity
		}
		if client.activity.Yields(idlestActivity) && eventloop.Quiet(client.fd) { // what it has sent meanwhile was taken, and is owed an answer
			idlest = client
		}
	}
	if idlest != nil {
		idlest.close()
	}
	return idlest != nil
}

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

// unsent is a call of serve that waits until all that came behind it has been read.
type pendingCall struct {
	thriftrpc.Call
	arrivedAfter float64 // the earliest moment at which its last byte may have come
	readAt       float64 // when it was read
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

// drop reads what comes after the connection was shut.
func (c *client) discardInput() {
	if size, err := c.server.loop.Read(c.fd, c.server.readBuffer); !eventloop.Later(err) && (err != nil || size == 0) {
		c.close()
	}
}

const (
	maxReadPerTurn = 256 << 10 // bytes that one turn reads of one client
	largeReadBytes = 64 << 10  // bytes in one turn, past which the kernel may have held back more at the client's side
	settleDelay    = 5.0       // ms in which that comes
	maxPendingTime = 100.0     // ms that a call waits for what comes behind it
	longTurn       = 30.0      // ms into a turn, from which on clients are read again before anything begins
)

// late reports that the present turn began so long ago that clients may have left since.
func (s *Server) inLongTurn() bool { return eventloop.Clock()-s.loop.Now() > longTurn }

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

// answer gives a request its final answer.
func (c *client) answer(r *request, frame []byte) {
	c.server.endForClient(r)
	c.queue(frame)
	c.flush()
}

// relieve closes the client for which most bytes are kept, where those that are kept for
// clients take too much memory: answers that they don't read, and messages that don't come
// whole.
func (s *Server) closeLargestBuffer() {
	var largest *client
	total := 0
	for client := range s.clients {
		if total += client.bufferedBytes(); largest == nil || client.bufferedBytes() > largest.bufferedBytes() {
			largest = client
		}
	}
	if total > s.maxBufferedBytes() {
		largest.close()
	}
}

// kept is how many bytes wait for the client, or for the rest of its message.
func (c *client) bufferedBytes() int { return c.input.Len() + c.output.Len() }

// queue adds bytes for the client. One that asks and takes nothing is closed before
// what waits for all takes too much memory.
func (c *client) queue(b []byte) {
	server := c.server
	if c.closed {
		return
	}
	if c.output.Len() == 0 {
		c.activity.Stuck = server.loop.Now()
	}
	c.output.Add(&server.buffers, b)
	server.unsentBytes += len(b)
	c.activity.Last = server.loop.Now()
}

func (c *client) flush() {
	server := c.server
	for !c.closed && c.output.Len() > 0 {
		written, err := server.loop.Write(c.fd, c.output.Bytes())
		if eventloop.Later(err) {
			break
		}
		if err != nil {
			c.close()
			return
		}
		c.output.Take(&server.buffers, written)
		server.unsentBytes -= written
		c.activity.Stuck = server.loop.Now()
	}
	if c.closed {
		return
	}
	interest := eventloop.Read
	if c.output.Len() > 0 {
		interest |= eventloop.Write
		if server.unsentBytes > server.maxBufferedBytes() {
			server.closeLargestBuffer()
		}
		if c.closed {
			return
		}
	} else {
		c.activity.Stuck = 0
	}
	server.loop.Want(c.fd, interest)
}
