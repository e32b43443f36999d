package platform

import (
	"go.uber.org/zap"

	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/discovery"
	"indigospool/internal/proxy/limits"
)

// discoveryStream receives events from the discovery server in the configuration, and
// reconnects after failures. If the server is slow to send its first byte, the stream keeps
// that connection while it dials another one, and then uses whichever sends data first.
type discoveryStream struct {
	server   *Server
	decoder  discovery.Decoder
	current  *discoveryConn // the connection in use, or the one dialled last; nil during a backoff
	previous *discoveryConn // an earlier connection on which nothing was received yet; nil if there is none
	timer    eventloop.Timer
	backoff  *limits.Backoff
	dial     func(address string) (fd int, inProgress bool, err error)
}

// discoveryConn is a connection to the discovery server.
type discoveryConn struct {
	stream    *discoveryStream
	fd        int
	request   []byte // the unwritten part of the first message
	startedAt eventloop.Millis
	alive     bool // data was received on the connection
}

// The timing of reconnects, in ms. The discovery server sends at least one frame per second.
// The next connection must be dialled within 2 s after a connection is closed, within 4 s after
// the server falls silent, and within 500 ms after the server is reachable again. The backoff
// is randomized because all routers lose the server at the same time and must not reconnect
// together.
const (
	silenceTimeout   = 1800  // the longest time without data
	maxFirstDelay    = 250   // before the first attempt after a connection is closed; a random part of it
	baseDelay        = 150   // before the second attempt, on average; doubled for each later one
	maxDelay         = 500   // between two attempts
	stableAfter      = 1000  // the age of a connection at which received data resets the backoff
	firstByteTimeout = 10000 // for the first byte, while other connections are dialled
)

// init prepares the stream from the server's configuration. reconnect starts it.
func (d *discoveryStream) init(s *Server) {
	d.server = s
	d.decoder = discovery.Decoder{Zones: s.config.settings.Module.Zones, Kinds: s.config.settings.Kinds}
	d.dial = s.loop.Dial
	d.backoff = limits.NewBackoff(maxFirstDelay, baseDelay, maxDelay, s.config.seed)
	d.timer.F = d.onTimer
}

// reconnect closes all connections and dials the discovery server in the configuration.
func (d *discoveryStream) reconnect() {
	d.closeConn(&d.previous)
	d.closeConn(&d.current)
	d.dialNext()
}

// dialNext dials another connection. If that fails, it sets the timer to try again.
func (d *discoveryStream) dialNext() {
	loop := d.server.loop
	loop.Arm(&d.timer, silenceTimeout)
	fd, _, err := d.dial(d.server.config.DiscoveryAddress)
	if err != nil {
		loop.Arm(&d.timer, d.backoff.Next())
		return
	}
	c := &discoveryConn{stream: d, fd: fd, request: d.decoder.Resume(), startedAt: loop.Now()}
	if err := loop.Add(fd, eventloop.Read|eventloop.Write, c); err != nil {
		closeFD(fd)
		loop.Arm(&d.timer, d.backoff.Next())
		return
	}
	d.current = c
}

// onTimer dials another connection, after silenceTimeout or after a backoff.
func (d *discoveryStream) onTimer() {
	if c := d.current; c != nil {
		d.server.log.Warn("no data from the discovery server, connecting again", zap.String("feed", d.server.config.DiscoveryAddress),
			zap.Uint64("last", d.decoder.LastNumber))
		if d.previous != nil && d.server.loop.Now()-d.previous.startedAt > firstByteTimeout {
			d.closeConn(&d.previous)
		}
		if d.previous == nil && !c.alive {
			d.previous = c
			d.current = nil
		}
	}
	d.closeConn(&d.current)
	d.dialNext()
}

// closeConn closes a connection, if there is one, and sets it to nil.
func (d *discoveryStream) closeConn(conn **discoveryConn) {
	c := *conn
	if c == nil {
		return
	}
	d.server.loop.Remove(c.fd)
	closeFD(c.fd)
	*conn = nil
}

// connEnded closes a connection that has ended or failed. If it was the current one, connEnded
// sets the timer to dial another one.
func (d *discoveryStream) connEnded(c *discoveryConn) {
	if c == d.previous {
		d.closeConn(&d.previous)
		return
	}
	d.closeConn(&d.current)
	d.server.loop.Arm(&d.timer, d.backoff.Next())
}

// connAlive makes a connection on which data was received the current one and closes any other.
func (d *discoveryStream) connAlive(c *discoveryConn) {
	loop := d.server.loop
	if c == d.previous {
		d.closeConn(&d.current)
		d.current = c
		d.previous = nil
	}
	d.closeConn(&d.previous)
	c.alive = true
	if loop.Now()-c.startedAt >= stableAfter {
		d.backoff.Reset()
	}
	loop.Arm(&d.timer, silenceTimeout)
}

// OnReady implements eventloop.Handler.
func (c *discoveryConn) OnReady(ready eventloop.Ready) {
	if ready.Writable() && len(c.request) > 0 && !c.writeRequest() {
		return
	}
	if ready.Readable() {
		c.read()
	}
}

// writeRequest writes the rest of the first message. It returns false if the connection has
// failed.
func (c *discoveryConn) writeRequest() bool {
	loop := c.stream.server.loop
	size, err := loop.Write(c.fd, c.request)
	if eventloop.Retryable(err) {
		return true
	}
	if err != nil {
		c.stream.connEnded(c)
		return false
	}
	c.request = c.request[size:]
	if len(c.request) == 0 {
		loop.Want(c.fd, eventloop.Read)
	}
	return true
}

// read reads the available data and applies the events in it.
func (c *discoveryConn) read() {
	stream, server := c.stream, c.stream.server
	buffer := server.borrowReadBuffer()
	defer server.returnReadBuffer(buffer)
	size, err := server.loop.Read(c.fd, buffer)
	if eventloop.Retryable(err) {
		return
	}
	if err != nil || size == 0 {
		stream.connEnded(c)
		return
	}
	stream.connAlive(c)
	upToDate := stream.decoder.UpToDateFrames
	if err := stream.decoder.Decode(buffer[:size], server.applyEvent); err != nil {
		server.log.Warn("discovery stream unusable, reconnecting", zap.Error(err))
		stream.connEnded(c)
		return
	}
	if stream.decoder.UpToDateFrames > upToDate {
		server.platformTime.MarkCurrent(eventloop.Clock())
	}
}
