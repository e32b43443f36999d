package platform

import (
	"go.uber.org/zap"

	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/discovery"
	"indigospool/internal/proxy/limits"
)

// watch follows the control feed of the configuration, over one connection after another.
// Where discovery is slow to say its first word, an earlier connection is kept beside the
// one that was begun after it, and the first to say something is followed.
type watch struct {
	node    *Server
	reader  discovery.Decoder
	follows *feedConn // the one that was begun last, or has said something
	awaits  *feedConn // an earlier one that has not said anything yet
	timer   eventloop.Timer
	tries   *limits.Again
	dial    func(address string) (fd int, inProgress bool, err error)
}

// feedConn is a connection to the feed.
type feedConn struct {
	watch *watch
	fd    int
	hello []byte // what is still to be written first
	began eventloop.Millis
	up    bool // it has said something
}

// The feed tells something each second; one that is silent for longer is left. It is
// asked again within 2 s of a break and 4 s of a silence, and no later than half a second
// after it has come back; all routers lose it in the same moment, and don't ask in step.
const (
	feedSilent = 1800  // ms without a byte
	feedFirst  = 250   // ms within which it is asked after a break
	feedBase   = 150   // ms before the second try
	feedMost   = 500   // ms between two tries at the most
	feedWhole  = 1000  // ms for which a connection lasts that counts as a success
	feedWord   = 10000 // ms for which a first word is awaited, while others are begun
)

// connect begins to follow the feed of the configuration, in place of any other.
func (w *watch) connect() {
	w.end(&w.awaits)
	w.end(&w.follows)
	w.begin()
}

// begin begins another connection.
func (w *watch) begin() {
	w.timer.F = w.late
	w.node.l.Arm(&w.timer, feedSilent)
	fd, _, err := w.dial(w.node.cfg.Feed)
	if err != nil {
		w.node.l.Arm(&w.timer, w.tries.In())
		return
	}
	c := &feedConn{watch: w, fd: fd, hello: w.reader.Resume(), began: w.node.l.Now()}
	if err := w.node.l.Add(fd, eventloop.Read|eventloop.Write, c); err != nil {
		closeFD(fd)
		w.node.l.Arm(&w.timer, w.tries.In())
		return
	}
	w.follows = c
}

// late goes on after a silence, or after the pause that follows a break.
func (w *watch) late() {
	if c := w.follows; c != nil {
		w.node.log.Warn("feed is silent", zap.String("feed", w.node.cfg.Feed), zap.Uint64("last", w.reader.LastNumber))
		if w.awaits != nil && w.node.l.Now()-w.awaits.began > feedWord {
			w.end(&w.awaits)
		}
		if w.awaits == nil && !c.up {
			w.awaits, w.follows = c, nil
		}
	}
	w.end(&w.follows)
	w.begin()
}

// end closes a connection, if there is one.
func (w *watch) end(which **feedConn) {
	if c := *which; c != nil {
		w.node.l.Remove(c.fd)
		closeFD(c.fd)
		*which = nil
	}
}

// broke leaves a connection, and has another one begun where it was the one followed.
func (w *watch) broke(c *feedConn) {
	if c == w.awaits {
		w.end(&w.awaits)
		return
	}
	w.end(&w.follows)
	w.node.l.Arm(&w.timer, w.tries.In())
}

// heard has a connection that said something be the only one.
func (w *watch) heard(c *feedConn) {
	if c == w.awaits {
		w.end(&w.follows)
		w.follows, w.awaits = c, nil
	}
	w.end(&w.awaits)
	c.up = true
	if w.node.l.Now()-c.began >= feedWhole {
		w.tries.Well()
	}
	w.node.l.Arm(&w.timer, feedSilent)
}

// OnReady is the loop's.
func (c *feedConn) OnReady(ready eventloop.Ready) {
	if ready.Writable() && len(c.hello) > 0 && !c.greet() {
		return
	}
	if ready.Readable() {
		c.read()
	}
}

// greet writes what is left of the first message. False: the connection has ended.
func (c *feedConn) greet() bool {
	written, err := c.watch.node.l.Write(c.fd, c.hello)
	if eventloop.Later(err) {
		return true
	}
	if err != nil {
		c.watch.broke(c)
		return false
	}
	if c.hello = c.hello[written:]; len(c.hello) == 0 {
		c.watch.node.l.Want(c.fd, eventloop.Read)
	}
	return true
}

// read takes what has come.
func (c *feedConn) read() {
	w, n := c.watch, c.watch.node
	size, err := n.l.Read(c.fd, n.scratch)
	if eventloop.Later(err) {
		return
	}
	if err != nil || size == 0 {
		w.broke(c)
		return
	}
	w.heard(c)
	idle := w.reader.UpToDate
	if err := w.reader.Decode(n.scratch[:size], n.event); err != nil {
		n.log.Warn("feed", zap.Error(err))
		w.broke(c)
		return
	}
	if w.reader.UpToDate > idle {
		n.clock.Current(eventloop.Clock())
	}
}
