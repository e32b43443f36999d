package node

import (
	"golang.org/x/sys/unix"

	"go.uber.org/zap"

	spool "indigospool"
	"indigospool/internal/front"
	"indigospool/internal/limits"
	"indigospool/internal/loop"
)

const errAgain = unix.EAGAIN

func closeFD(fd int) { unix.Close(fd) }

// listener takes clients' connections.
type listener struct {
	n       *Node
	fd      int
	address string
}

func listen(n *Node, address string) (*listener, error) {
	fd, bound, err := loop.Listen(address)
	if err != nil {
		return nil, err
	}
	ln := &listener{n: n, fd: fd, address: bound}
	return ln, n.l.Add(fd, loop.Read, ln)
}

// close takes who has connected already, and ends listening.
func (ln *listener) close() {
	if ln.fd < 0 {
		return
	}
	ln.OnReady(0)
	ln.n.l.Remove(ln.fd)
	closeFD(ln.fd)
	ln.fd = -1
}

const (
	acceptTurn  = 64 // connections that one turn takes
	acceptPause = 20 // ms without taking any, where no descriptor is to be had
)

// pause leaves who connects in the kernel's queue for a while: told of it in each turn, the
// loop would do nothing else.
func (ln *listener) pause() {
	l := ln.n.l
	l.Want(ln.fd, 0)
	l.Once(acceptPause, func() {
		if ln.fd >= 0 {
			l.Want(ln.fd, loop.Read)
		}
	})
}

// OnReady is the loop's.
func (ln *listener) OnReady(loop.Ready) {
	n := ln.n
	for range acceptTurn {
		fd, _, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err == unix.EMFILE || err == unix.ENFILE {
			if !n.yield() {
				ln.pause()
				return
			}
			continue
		}
		if err != nil {
			return
		}
		n.stats.Accepted++
		if len(n.clients) >= n.places.Clients && !n.yield() {
			closeFD(fd)
			continue
		}
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		c := &client{n: n, fd: fd, open: map[int32]*request{}, v: limits.Visitor{Since: n.l.Now()}}
		if err := n.l.Add(fd, loop.Read, c); err != nil {
			closeFD(fd)
			continue
		}
		n.l.First(fd)
		n.clients[c] = struct{}{}
	}
}

// yield closes the connection that goes first where room is needed, if any may.
func (n *Node) yield() bool {
	var first *client
	for c := range n.clients {
		c.v.Open = len(c.open)
		var best *limits.Visitor
		if first != nil {
			best = &first.v
		}
		if c.v.Yields(best) && loop.Quiet(c.fd) { // what it has sent meanwhile was taken, and is owed an answer
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
	n      *Node
	fd     int
	in     loop.Queue
	out    loop.Queue
	open   map[int32]*request
	last   int32 // number of the last call of serve
	v      limits.Visitor
	closed bool
}

// close ends a connection; what is open on it is given up.
func (c *client) close() {
	if c.closed {
		return
	}
	n := c.n
	c.closed = true
	n.stats.Closed++
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
	c.n.stats.Gone++
	c.n.trace("gone", r)
	c.n.over(r)
	c.n.tell(spool.Gone{ID: r.ID})
}

// OnReady is the loop's.
func (c *client) OnReady(r loop.Ready) {
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
		c.read()
	}
}

// drop reads what comes after the connection was shut.
func (c *client) drop() {
	if k, err := loop.ReadFD(c.fd, c.n.scratch); err != errAgain && (err != nil || k == 0) {
		c.close()
	}
}

// readMost is how many bytes are read of one client before the first call is begun.
const readMost = 256 << 10

// read takes what has come, all of it: a call that is given up behind others is not
// begun. Whole calls are looked at together before the first is handed on: one that
// spoils its connection spoils what came along with it.
func (c *client) read() {
	n := c.n
	var data []byte
	for {
		k, err := loop.ReadFD(c.fd, n.scratch)
		if err == errAgain && data != nil {
			break
		}
		if err == errAgain {
			return
		}
		if err != nil || k == 0 {
			c.close()
			return
		}
		if data = n.scratch[:k]; c.in.Len() > 0 || k == len(n.scratch) {
			c.in.Add(&n.bufs, data)
			data = c.in.Bytes()
		}
		if k < len(n.scratch) || len(data) > readMost {
			break
		}
	}
	calls, used, err := c.calls(data)
	if err != nil {
		n.stats.Bad++
		n.log.Debug("client closed", zap.Error(err))
		c.close()
		return
	}
	rest := len(data) - used
	if c.in.Len() > 0 {
		c.in.Take(&n.bufs, used)
	} else if rest > 0 {
		c.in.Add(&n.bufs, data[used:])
	}
	if rest == 0 {
		c.v.Half = 0
	} else {
		if c.v.Half == 0 || used > 0 {
			c.v.Begun = n.l.Now()
		}
		c.v.Half = n.l.Now()
	}
	if rest > 0 && n.bufs.Used > n.waitingBytes() { // too much is held of what has not come whole
		c.close()
		return
	}
	if len(calls) > 0 {
		c.v.Messages += len(calls)
		c.v.Last = n.l.Now()
	}
	for i := range calls {
		if c.closed {
			return
		}
		c.call(&calls[i])
	}
	c.flush()
}

// calls reads all whole frames, and holds them to what a connection may do: numbers
// rise, and so many requests are open at once.
func (c *client) calls(data []byte) (calls []front.Call, used int, err error) {
	open, last := len(c.open), c.last
	for {
		payload, size, err := front.Split(data[used:])
		if err != nil || size == 0 {
			return calls, used, err
		}
		call, err := c.n.codec.Parse(payload)
		if err != nil {
			return nil, 0, err
		}
		switch call.Verb {
		case front.Serve:
			if call.Seq <= last {
				return nil, 0, front.ErrNumber
			}
			if last = call.Seq; open >= front.MaxOpen {
				return nil, 0, front.ErrOpen
			}
			open++
		case front.Forget:
			if c.open[call.Of] != nil {
				open--
				break
			}
			for i := range calls { // given up before it was begun: nobody need hear of it
				if calls[i].Verb == front.Serve && calls[i].Seq == call.Of {
					calls[i].Verb = front.Nothing
					c.n.stats.Gone++
					open--
				}
			}
		}
		calls = append(calls, call)
		used += size
	}
}

// call does what one message asks for.
func (c *client) call(call *front.Call) {
	n := c.n
	switch call.Verb {
	case front.Forget:
		if r := c.open[call.Of]; r != nil {
			c.giveUp(r)
		}
	case front.IsWell:
		c.queue(n.codec.Well(call.Seq, n.drained == 0))
	case front.Nothing:
		c.last = call.Seq
	case front.Serve:
		c.last = call.Seq
		q, err := front.Check(call, n.class)
		if err == nil && n.reqs[q.ID] != nil {
			err = front.ErrTwice
		}
		if err != nil {
			n.stats.Bad++
			n.log.Debug("request turned down", zap.Error(err))
			c.queue(n.codec.Failed(call.Seq))
			return
		}
		n.take(c, call.Seq, q)
	default:
		n.stats.Bad++
		c.queue(n.codec.NoSuch(call.Name, call.Seq))
	}
}

// answer gives a request its final answer.
func (c *client) answer(r *request, frame []byte) {
	c.n.over(r)
	c.queue(frame)
	c.flush()
}

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
		k, err := loop.WriteFD(c.fd, c.out.Bytes())
		if err == errAgain {
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
	want := loop.Read
	if c.out.Len() > 0 {
		want |= loop.Write
		if n.waiting > n.waitingBytes() {
			c.close()
			return
		}
	} else {
		c.v.Stuck = 0
	}
	n.l.Want(c.fd, want)
}
