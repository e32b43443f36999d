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
type discoveryStream struct {
	server   *Server
	decoder  discovery.Decoder
	current  *discoveryConn // the one that was begun last, or has said something
	previous *discoveryConn // an earlier one that has not said anything yet
	timer    eventloop.Timer
	backoff  *limits.Again
	dial     func(address string) (fd int, inProgress bool, err error)
}

// feedConn is a connection to the feed.
type discoveryConn struct {
	stream    *discoveryStream
	fd        int
	request   []byte // what is still to be written first
	startedAt eventloop.Millis
	alive     bool // it has said something
}

// The feed tells something each second; one that is silent for longer is left. It is
// asked again within 2 s of a break and 4 s of a silence, and no later than half a second
// after it has come back; all routers lose it in the same moment, and don't ask in step.
const (
	streamSilence    = 1800  // ms without a byte
	firstPause       = 250   // ms within which it is asked after a break
	basePause        = 150   // ms before the second try
	maxPause         = 500   // ms between two tries at the most
	stableAfter      = 1000  // ms for which a connection lasts that counts as a success
	firstByteTimeout = 10000 // ms for which a first word is awaited, while others are begun
)

// connect begins to follow the feed of the configuration, in place of any other.
func (w *discoveryStream) reconnect() {
	w.closeConn(&w.previous)
	w.closeConn(&w.current)
	w.dialNext()
}

// begin begins another connection.
func (w *discoveryStream) dialNext() {
	w.timer.F = w.onTimer
	w.server.loop.Arm(&w.timer, streamSilence)
	fd, _, err := w.dial(w.server.config.Feed)
	if err != nil {
		w.server.loop.Arm(&w.timer, w.backoff.In())
		return
	}
	c := &discoveryConn{stream: w, fd: fd, request: w.decoder.Resume(), startedAt: w.server.loop.Now()}
	if err := w.server.loop.Add(fd, eventloop.Read|eventloop.Write, c); err != nil {
		closeFD(fd)
		w.server.loop.Arm(&w.timer, w.backoff.In())
		return
	}
	w.current = c
}

// late goes on after a silence, or after the pause that follows a break.
func (w *discoveryStream) onTimer() {
	if c := w.current; c != nil {
		w.server.log.Warn("feed is silent", zap.String("feed", w.server.config.Feed), zap.Uint64("last", w.decoder.LastNumber))
		if w.previous != nil && w.server.loop.Now()-w.previous.startedAt > firstByteTimeout {
			w.closeConn(&w.previous)
		}
		if w.previous == nil && !c.alive {
			w.previous, w.current = c, nil
		}
	}
	w.closeConn(&w.current)
	w.dialNext()
}

// end closes a connection, if there is one.
func (w *discoveryStream) closeConn(which **discoveryConn) {
	if c := *which; c != nil {
		w.server.loop.Remove(c.fd)
		closeFD(c.fd)
		*which = nil
	}
}

// broke leaves a connection, and has another one begun where it was the one followed.
func (w *discoveryStream) connEnded(c *discoveryConn) {
	if c == w.previous {
		w.closeConn(&w.previous)
		return
	}
	w.closeConn(&w.current)
	w.server.loop.Arm(&w.timer, w.backoff.In())
}

// heard has a connection that said something be the only one.
func (w *discoveryStream) connAlive(c *discoveryConn) {
	if c == w.previous {
		w.closeConn(&w.current)
		w.current, w.previous = c, nil
	}
	w.closeConn(&w.previous)
	c.alive = true
	if w.server.loop.Now()-c.startedAt >= stableAfter {
		w.backoff.Well()
	}
	w.server.loop.Arm(&w.timer, streamSilence)
}

// OnReady is the loop's.
func (c *discoveryConn) OnReady(ready eventloop.Ready) {
	if ready.Writable() && len(c.request) > 0 && !c.writeRequest() {
		return
	}
	if ready.Readable() {
		c.read()
	}
}

// greet writes what is left of the first message. False: the connection has ended.
func (c *discoveryConn) writeRequest() bool {
	written, err := c.stream.server.loop.Write(c.fd, c.request)
	if eventloop.Later(err) {
		return true
	}
	if err != nil {
		c.stream.connEnded(c)
		return false
	}
	if c.request = c.request[written:]; len(c.request) == 0 {
		c.stream.server.loop.Want(c.fd, eventloop.Read)
	}
	return true
}

// read takes what has come.
func (c *discoveryConn) read() {
	w, server := c.stream, c.stream.server
	size, err := server.loop.Read(c.fd, server.readBuffer)
	if eventloop.Later(err) {
		return
	}
	if err != nil || size == 0 {
		w.connEnded(c)
		return
	}
	w.connAlive(c)
	idle := w.decoder.UpToDate
	if err := w.decoder.Decode(server.readBuffer[:size], server.applyEvent); err != nil {
		server.log.Warn("feed", zap.Error(err))
		w.connEnded(c)
		return
	}
	if w.decoder.UpToDate > idle {
		server.platformTime.Current(eventloop.Clock())
	}
}
