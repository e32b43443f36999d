package platform

import (
	"go.uber.org/zap"

	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/discovery"
	"indigospool/internal/proxy/limits"
)

// discoveryStream follows the discovery server of the configuration, over one connection after
// another. Where the server takes long until its first byte, an earlier connection is kept
// beside the one that was begun after it, and the first to send something is followed.
type discoveryStream struct {
	server   *Server
	decoder  discovery.Decoder
	current  *discoveryConn // the one begun last, or the one that has sent something; nil in a pause
	previous *discoveryConn // an earlier one that has not sent anything yet; nil: none
	timer    eventloop.Timer
	backoff  *limits.Backoff
	dial     func(address string) (fd int, inProgress bool, err error)
}

// discoveryConn is a connection to the discovery server.
type discoveryConn struct {
	stream    *discoveryStream
	fd        int
	request   []byte // what is still to be written of the first message
	startedAt eventloop.Millis
	alive     bool // it has sent something
}

// The discovery server sends something each second; a connection that is silent for longer
// is closed. The next one is begun within 2 s of a break and 4 s of a silence, and no later
// than half a second after the server has come back. All routers lose it at the same moment,
// and must not come back in step. Times are in ms.
const (
	streamSilence    = 1800  // without a byte
	firstPause       = 250   // at most, before the first attempt after a break
	basePause        = 150   // before the second attempt
	maxPause         = 500   // between two attempts
	stableAfter      = 1000  // of a connection, after which the backoff starts over
	firstByteTimeout = 10000 // for which a first byte is awaited, while other connections are begun
)

// init prepares the stream by the server's configuration. reconnect starts it.
func (d *discoveryStream) init(s *Server) {
	d.server = s
	d.decoder = discovery.Decoder{Zones: s.config.settings.Module.Zones, Kinds: s.config.settings.Kinds}
	d.dial = s.loop.Dial
	d.backoff = limits.NewBackoff(firstPause, basePause, maxPause, s.config.seed)
	d.timer.F = d.onTimer
}

// reconnect begins to follow the server of the configuration, in place of any other.
func (d *discoveryStream) reconnect() {
	d.closeConn(&d.previous)
	d.closeConn(&d.current)
	d.dialNext()
}

// dialNext begins another connection. Where that fails, the timer runs out after a pause.
func (d *discoveryStream) dialNext() {
	loop := d.server.loop
	loop.Arm(&d.timer, streamSilence)
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

// onTimer begins another connection after a silence, or after the pause that follows a break.
func (d *discoveryStream) onTimer() {
	if c := d.current; c != nil {
		d.server.log.Warn("discovery stream is silent", zap.String("feed", d.server.config.DiscoveryAddress),
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

// closeConn closes a connection, if there is one.
func (d *discoveryStream) closeConn(conn **discoveryConn) {
	c := *conn
	if c == nil {
		return
	}
	d.server.loop.Remove(c.fd)
	closeFD(c.fd)
	*conn = nil
}

// connEnded closes a connection that has ended, and has another one begun after a pause
// where it was the current one.
func (d *discoveryStream) connEnded(c *discoveryConn) {
	if c == d.previous {
		d.closeConn(&d.previous)
		return
	}
	d.closeConn(&d.current)
	d.server.loop.Arm(&d.timer, d.backoff.Next())
}

// connAlive makes a connection that has sent something the only one.
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
	loop.Arm(&d.timer, streamSilence)
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

// writeRequest writes what is left of the first message. False: the connection has ended.
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

// read applies the events in what has come.
func (c *discoveryConn) read() {
	stream, server := c.stream, c.stream.server
	size, err := server.loop.Read(c.fd, server.readBuffer)
	if eventloop.Retryable(err) {
		return
	}
	if err != nil || size == 0 {
		stream.connEnded(c)
		return
	}
	stream.connAlive(c)
	upToDate := stream.decoder.UpToDate
	if err := stream.decoder.Decode(server.readBuffer[:size], server.applyEvent); err != nil {
		server.log.Warn("discovery stream ended", zap.Error(err))
		stream.connEnded(c)
		return
	}
	if stream.decoder.UpToDate > upToDate {
		server.platformTime.MarkCurrent(eventloop.Clock())
	}
}
