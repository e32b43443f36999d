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

const acceptTurn = 64 // connections that one turn takes

// listener takes clients' connections.
type listener struct {
	eventloop.Listener
	n       *Server
	fd      int
	address string
}

func listen(n *Server, address string) (*listener, error) {
	fd, bound, err := eventloop.Listen(address)
	if err != nil {
		return nil, err
	}
	ln := &listener{n: n, fd: fd, address: bound}
	ln.Listener = eventloop.Listener{PerTurn: acceptTurn, Take: ln.take, MakeRoom: n.yield}
	return ln, ln.Start(n.l, fd)
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
func (ln *listener) take(fd int) {
	n := ln.n
	n.stats.Accepted++
	if len(n.clients) >= n.places.Clients && !n.yield() {
		closeFD(fd)
		return
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &client{n: n, fd: fd, open: map[int32]*request{}, v: limits.Visitor{Since: n.l.Now()}}
	c.settle.F = c.begin
	if c.emptied = eventloop.Clock(); !eventloop.Quiet(fd) { // it may have waited in the queue
		c.behind = ln.Since()
	}
	if err := n.l.Add(fd, eventloop.Read, c); err != nil {
		closeFD(fd)
		return
	}
	n.l.First(fd)
	n.clients[c] = struct{}{}
}

// yield closes the connection that goes first where room is needed, if any may.
func (n *Server) yield() bool {
	var first *client
	for c := range n.clients {
		if c.out.Len() > 0 {
			continue // an answer is under way
		}
		c.v.Open = len(c.open) + len(c.unsent)
		var best *limits.Visitor
		if first != nil {
			best = &first.v
		}
		if c.v.Yields(best) && eventloop.Quiet(c.fd) { // what it has sent meanwhile was taken, and is owed an answer
			first = c
		}
	}
	if first != nil {
		first.close()
	}
	return first != nil
}

// client is a client's connection.
type client struct {
	n      *Server
	fd     int
	in     eventloop.Queue
	out    eventloop.Queue
	open   map[int32]*request
	unsent []unsent // calls that were read whole, and of which nothing has begun
	last   int32    // number of the last call of serve
	v      limits.Visitor
	closed bool

	// What Node.take counts a request's time from.
	emptied float64 // when a read last found nothing more
	behind  float64 // 0, or when bytes may have come that no read has reached yet

	large   bool            // so much came at once that the kernel may have held back more
	settled float64         // when that has come, if nothing comes before
	settle  eventloop.Timer // has what waited for that begin
}

// unsent is a call of serve that waits until all that came behind it has been read.
type unsent struct {
	thriftrpc.Call
	came float64 // the earliest moment at which its last byte may have come
	read float64 // when it was read
}

// owes reports whether the client has a request, or a part of an answer, to come.
func (c *client) owes() bool { return len(c.open) > 0 || len(c.unsent) > 0 || c.out.Len() > 0 }

// close ends a connection; what is open on it is given up.
func (c *client) close() {
	if c.closed {
		return
	}
	n := c.n
	c.closed = true
	n.stats.Closed++
	n.stats.Abandoned += uint64(len(c.unsent))
	c.unsent = nil
	n.l.Forget(&c.settle)
	n.l.Remove(c.fd)
	closeFD(c.fd)
	delete(n.clients, c)
	n.waiting -= c.out.Len()
	c.in.Drop(&n.bufs)
	c.out.Drop(&n.bufs)
	list := make([]*request, 0, len(c.open))
	for _, r := range c.open {
		list = append(list, r)
		r.c = nil // nothing more is begun for any of them while the module hears of one
	}
	for _, r := range list {
		c.giveUp(r)
	}
}

// shut ends a connection that is at rest, from this side. What its client sends in that
// moment is read and dropped, so that the kernel resets nothing and the client can tell:
// it sends that again elsewhere. The connection is closed when the client closes it, or
// when it overstays.
func (c *client) shut() {
	c.v.Shut = c.n.l.Now()
	unix.Shutdown(c.fd, unix.SHUT_WR)
}

// giveUp tells the module that the client has left a request.
func (c *client) giveUp(r *request) {
	c.n.stats.Abandoned++
	c.n.trace("gone", r)
	c.n.over(r)
	c.n.tell(spool.Gone{ID: r.ID})
}

// OnReady is the loop's.
func (c *client) OnReady(r eventloop.Ready) {
	switch {
	case r.Ended(): // whatever it has sent before: nobody waits for an answer to it
		c.close()
		return
	case c.v.Shut > 0:
		c.drop()
		return
	case r.Writable() && c.out.Len() > 0:
		c.flush()
	}
	if !c.closed && r.Readable() {
		c.receive()
		c.begin()
	}
}

// drop reads what comes after the connection was shut.
func (c *client) drop() {
	if size, err := c.n.l.Read(c.fd, c.n.scratch); !eventloop.Later(err) && (err != nil || size == 0) {
		c.close()
	}
}

const (
	readMost   = 256 << 10 // bytes that one turn reads of one client
	readLarge  = 64 << 10  // bytes in one turn, past which the kernel may have held back more at the client's side
	settleTime = 5.0       // ms in which that comes
	unsentMost = 100.0     // ms that a call waits for what comes behind it
	lateTurn   = 30.0      // ms into a turn, from which on clients are read again before anything begins
)

// late reports that the present turn began so long ago that clients may have left since.
func (n *Server) late() bool { return eventloop.Clock()-n.l.Now() > lateTurn }

// receive reads what has come. What gives up a request, or ends the connection, takes
// effect at once; calls are kept until begin, so that one that is given up behind others,
// however many, is not begun, and one that spoils its connection spoils what came along
// with it.
func (c *client) receive() {
	n := c.n
	came := c.behind
	if came == 0 {
		came = max(n.l.Since(), c.emptied)
	}
	for left := readMost; left > 0; {
		asked := eventloop.Clock()
		size, err := n.l.Read(c.fd, n.scratch)
		switch {
		case err == unix.EAGAIN:
			c.empty(asked, readMost-left)
			return
		case eventloop.Later(err):
			c.behind = came
			return
		case err != nil || size == 0:
			c.close()
			return
		}
		if c.parse(n.scratch[:size], came); c.closed {
			return
		}
		left -= size
		if size < len(n.scratch) && !n.late() { // an end that has come in a long turn is read behind it
			c.empty(asked, readMost-left)
			return
		}
	}
	c.behind = came
}

// empty notes that a read that began at asked has left nothing, after so many bytes.
func (c *client) empty(asked float64, size int) {
	c.emptied, c.behind = asked, 0
	if c.large = c.large || size > readLarge; c.large {
		c.settled = asked + settleTime
	}
}

// begin hands on the calls that were read, once nothing is left behind them that could
// give them up.
func (c *client) begin() {
	for !c.closed && len(c.unsent) > 0 {
		call := c.unsent[0]
		if now := eventloop.Clock(); c.expects(now) && now-call.read < unsentMost {
			c.n.l.Arm(&c.settle, settleTime)
			break
		}
		c.unsent = c.unsent[1:]
		c.serve(&call)
	}
	if len(c.unsent) == 0 {
		c.unsent, c.large = nil, false
	}
	c.flush()
}

// expects reports whether more is to come behind the calls that were read: it was not read
// yet, or the kernel may have held it back. At the end of a drain there is no time for it.
func (c *client) expects(now float64) bool {
	if c.n.drained > 0 && now >= c.n.goneBy {
		return false
	}
	return c.behind > 0 || c.large && (c.settled > now || c.in.Len() > 0)
}

// heed hears what the client has sent since the turn began, where that is long ago.
func (c *client) heed() {
	if c.closed || c.v.Shut > 0 || !c.n.late() || eventloop.Clock()-c.emptied < lateTurn {
		return
	}
	c.receive()
	if !c.closed && (len(c.unsent) > 0 || c.out.Len() > 0) {
		c.n.l.Arm(&c.settle, 0)
	}
}

// parse takes bytes that have come, and hears each message that is whole.
func (c *client) parse(data []byte, came float64) {
	n := c.n
	kept := c.in.Len() > 0
	if kept {
		c.in.Add(&n.bufs, data)
		data = c.in.Bytes()
	}
	used, err := c.messages(data, came)
	if err != nil {
		n.stats.Invalid++
		n.log.Debug("client closed", zap.Error(err))
		c.close()
	}
	if c.closed {
		return
	}
	rest := len(data) - used
	if kept {
		c.in.Take(&n.bufs, used)
	} else if rest > 0 {
		c.in.Add(&n.bufs, data[used:])
	}
	c.note(used, rest)
}

// note keeps what the limits go by, after a read that ended so many bytes of whole messages
// and left so many of one that is not.
func (c *client) note(used, rest int) {
	n := c.n
	if used > 0 {
		c.v.Last = n.l.Now()
	}
	if rest == 0 {
		c.v.Half = 0
		return
	}
	if c.v.Half == 0 || used > 0 {
		c.v.Begun = n.l.Now()
	}
	c.v.Half = n.l.Now()
	if n.bufs.Used > n.waitingBytes() {
		n.relieve()
	}
}

// messages hears all whole frames, and tells how many bytes they take.
func (c *client) messages(data []byte, came float64) (used int, err error) {
	for !c.closed {
		payload, size, err := thriftrpc.SplitFrame(data[used:])
		if err != nil || size == 0 {
			return used, err
		}
		call, err := c.n.codec.Parse(payload)
		if err != nil {
			return used, err
		}
		if err := c.hear(&call, came); err != nil {
			return used, err
		}
		c.v.Messages++
		used += size
	}
	return used, nil
}

// hear takes one message, and holds it to what a connection may do: numbers rise, and so
// many requests are open at once.
func (c *client) hear(call *thriftrpc.Call, came float64) error {
	n := c.n
	switch call.Method {
	case thriftrpc.MethodServe:
		if call.Seq <= c.last {
			return thriftrpc.ErrSequence
		}
		if c.last = call.Seq; len(c.open)+len(c.unsent) >= thriftrpc.MaxOpenCalls {
			return thriftrpc.ErrTooManyOpen
		}
		c.unsent = append(c.unsent, unsent{*call, came, eventloop.Clock()})
	case thriftrpc.MethodForget:
		c.forget(call.CancelledSeq)
	case thriftrpc.MethodIsWell:
		c.queue(n.codec.Health(call.Seq, n.drained == 0))
	default:
		n.stats.Invalid++
		c.queue(n.codec.UnknownMethod(call.Name, call.Seq))
	}
	return nil
}

// forget gives up a call; one that was not begun is not heard of by anybody.
func (c *client) forget(seq int32) {
	if r := c.open[seq]; r != nil {
		c.giveUp(r)
		return
	}
	at := slices.IndexFunc(c.unsent, func(u unsent) bool { return u.Seq == seq })
	if at >= 0 {
		c.unsent = slices.Delete(c.unsent, at, at+1)
		c.n.stats.Abandoned++
	}
}

// serve begins a request, or turns it down.
func (c *client) serve(call *unsent) {
	n := c.n
	q, err := thriftrpc.ParseRequest(&call.Call, n.class)
	if err == nil && n.reqs[q.ID] != nil {
		err = thriftrpc.ErrDuplicateID
	}
	if err != nil {
		n.stats.Invalid++
		n.log.Debug("request turned down", zap.Error(err))
		c.queue(n.codec.Failed(call.Seq))
		return
	}
	n.take(c, call.Seq, q, call.came)
}

// answer gives a request its final answer.
func (c *client) answer(r *request, frame []byte) {
	c.n.over(r)
	c.queue(frame)
	c.flush()
}

// relieve closes the client for which most bytes are kept, where those that are kept for
// clients take too much memory: answers that they don't read, and messages that don't come
// whole.
func (n *Server) relieve() {
	var most *client
	all := 0
	for c := range n.clients {
		if all += c.kept(); most == nil || c.kept() > most.kept() {
			most = c
		}
	}
	if all > n.waitingBytes() {
		most.close()
	}
}

// kept is how many bytes wait for the client, or for the rest of its message.
func (c *client) kept() int { return c.in.Len() + c.out.Len() }

// queue adds bytes for the client. One that asks and takes nothing is closed before
// what waits for all takes too much memory.
func (c *client) queue(b []byte) {
	n := c.n
	if c.closed {
		return
	}
	if c.out.Len() == 0 {
		c.v.Stuck = n.l.Now()
	}
	c.out.Add(&n.bufs, b)
	n.waiting += len(b)
	c.v.Last = n.l.Now()
}

func (c *client) flush() {
	n := c.n
	for !c.closed && c.out.Len() > 0 {
		k, err := n.l.Write(c.fd, c.out.Bytes())
		if eventloop.Later(err) {
			break
		}
		if err != nil {
			c.close()
			return
		}
		c.out.Take(&n.bufs, k)
		n.waiting -= k
		c.v.Stuck = n.l.Now()
	}
	if c.closed {
		return
	}
	want := eventloop.Read
	if c.out.Len() > 0 {
		want |= eventloop.Write
		if n.waiting > n.waitingBytes() {
			n.relieve()
		}
		if c.closed {
			return
		}
	} else {
		c.v.Stuck = 0
	}
	n.l.Want(c.fd, want)
}
