package server

import (
	"golang.org/x/sys/unix"

	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/protocol/http1"
)

// responseHandler handles the response of a source.
type responseHandler interface {
	// receiveHead handles the head. If it returns false, the connection is closed, and no other
	// method is called.
	receiveHead(head *http1.Head) bool
	// receiveBody handles the next bytes of the body. It must not retain data.
	receiveBody(data []byte)
	// finish is called after the whole response.
	finish()
	// fail is called instead of finish if there is no complete response. status and detail are
	// for the response to the client.
	fail(status int, detail string)
}

// sourceConn is a connection to a source.
type sourceConn struct {
	server          *Server
	address         string
	fd              int
	handler         responseHandler // nil: the connection is idle
	writeBuffer     []byte          // rest of the request
	unparsed        []byte          // received bytes of an incomplete head or chunk
	headParsed      bool
	used            bool // a response was received on the connection, which may be reused
	connecting      bool
	requestStarted  bool // part of the request was sent
	localShortage   bool // connecting or sending failed for lack of a local resource, and is retried
	connectDeadline eventloop.Millis
	paused          bool // reading is paused
	head            http1.Head
	body            http1.Body
	timer           eventloop.Timer
}

// sendToSource sends a request on an idle connection to the address, or on a new one. The
// response goes to the handler.
func (s *Server) sendToSource(address string, message []byte, handler responseHandler) *sourceConn {
	for idle := s.idleSources[address]; len(idle) > 0; idle = s.idleSources[address] {
		sc := idle[len(idle)-1]
		s.setIdleSources(address, idle[:len(idle)-1])
		if !eventloop.Idle(sc.fd) {
			sc.close()
			continue
		}
		sc.handler, sc.writeBuffer, sc.headParsed, sc.unparsed = handler, message, false, nil
		sc.requestStarted, sc.localShortage = false, false
		s.loop.Arm(&sc.timer, s.cfg.FillTimeout)
		sc.flush()
		return sc
	}
	sc := &sourceConn{server: s, address: address, fd: -1, handler: handler, writeBuffer: message}
	sc.timer.F, sc.connectDeadline = sc.onTimer, s.loop.Now()+s.cfg.ConnectTimeout
	sc.dial()
	return sc
}

const (
	// dialRetryMillis is the delay of the next attempt to connect, in ms, after one that failed for
	// lack of a local resource.
	dialRetryMillis = 20

	// sourceIdleMillis is how long an idle connection to a source is kept, in ms.
	sourceIdleMillis = 5000
)

// setIdleSources sets the idle connections to an address. Nothing is kept of an address without any.
func (s *Server) setIdleSources(address string, idle []*sourceConn) {
	if len(idle) == 0 {
		delete(s.idleSources, address)
		return
	}
	s.idleSources[address] = idle
}

// dial begins to connect. It retries after a lack of a local resource, which says nothing about
// the source. Any other failure is reported in the next turn, as for a connection that is refused.
func (sc *sourceConn) dial() {
	loop := sc.server.loop
	fd, _, err := loop.Dial(sc.address)
	if err == nil {
		if err = loop.Add(fd, eventloop.Write, sc); err != nil {
			unix.Close(fd)
		}
	}
	switch {
	case err == nil:
		sc.fd, sc.connecting, sc.localShortage = fd, true, false
		loop.Arm(&sc.timer, sc.connectDeadline-loop.Now())
	case eventloop.IsLocalShortage(err):
		sc.localShortage = true
		loop.Arm(&sc.timer, dialRetryMillis)
	default:
		sc.connectDeadline = loop.Now()
		loop.Arm(&sc.timer, 0)
	}
}

// onTimer handles a timeout: of an idle connection, a retry of dial, or of the source.
func (sc *sourceConn) onTimer() {
	switch {
	case sc.handler == nil:
		sc.close()
	case sc.fd < 0 && sc.server.loop.Now() < sc.connectDeadline:
		sc.dial()
	default:
		sc.fail()
	}
}

// fail closes the connection and reports the failure to its handler.
func (sc *sourceConn) fail() {
	detail := fetchheader.SourceUnreached
	if sc.localShortage && !sc.requestStarted { // the source is not at fault: no request has reached it
		detail = fetchheader.NoPlace
	}
	handler := sc.handler
	sc.handler = nil
	sc.close()
	if handler != nil {
		if f, ok := handler.(*fill); ok {
			f.source = nil
		}
		handler.fail(503, detail)
	}
}

func (sc *sourceConn) close() {
	sc.handler = nil
	sc.server.loop.Forget(&sc.timer)
	if sc.fd < 0 {
		return
	}
	sc.server.loop.Remove(sc.fd)
	unix.Close(sc.fd)
	sc.fd = -1
	idle := sc.server.idleSources[sc.address]
	for i, other := range idle {
		if other == sc {
			sc.server.setIdleSources(sc.address, append(idle[:i], idle[i+1:]...))
			break
		}
	}
}

// pause stops or resumes reading. The timeout does not run while reading is paused.
func (sc *sourceConn) pause(paused bool) {
	if paused == sc.paused || sc.fd < 0 {
		return
	}
	sc.paused = paused
	if paused {
		sc.server.loop.Disarm(&sc.timer)
		sc.server.loop.Want(sc.fd, 0)
		return
	}
	sc.server.loop.Arm(&sc.timer, sc.server.cfg.FillTimeout)
	sc.server.loop.Want(sc.fd, eventloop.Read)
}

// flush sends the rest of the request.
func (sc *sourceConn) flush() {
	for len(sc.writeBuffer) > 0 {
		n, err := sc.server.loop.Write(sc.fd, sc.writeBuffer)
		if eventloop.Retryable(err) {
			sc.localShortage = sc.localShortage || !eventloop.NotReady(err)
			sc.server.loop.Want(sc.fd, eventloop.Read|eventloop.Write)
			return
		}
		if err != nil {
			sc.fail()
			return
		}
		sc.writeBuffer, sc.requestStarted = sc.writeBuffer[n:], true
		sc.server.loop.Arm(&sc.timer, sc.server.cfg.FillTimeout) // the timeout begins with the last bytes sent
	}
	sc.server.loop.Want(sc.fd, eventloop.Read)
}

// OnReady implements eventloop.Handler.
func (sc *sourceConn) OnReady(r eventloop.Ready) {
	if sc.connecting {
		if !r.Writable() {
			return
		}
		if socketErr, err := unix.GetsockoptInt(sc.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || socketErr != 0 {
			sc.fail()
			return
		}
		sc.connecting = false
		sc.server.loop.Arm(&sc.timer, sc.server.cfg.FillTimeout)
		sc.flush()
		return
	}
	if r.Writable() && len(sc.writeBuffer) > 0 {
		if sc.flush(); sc.fd < 0 {
			return
		}
	}
	if !r.Readable() || sc.paused {
		return
	}
	buffered := copy(sc.server.scratch, sc.unparsed)
	n, err := sc.server.loop.Read(sc.fd, sc.server.scratch[buffered:])
	if eventloop.Retryable(err) {
		if r.Hangup() && eventloop.NotReady(err) {
			sc.fail()
		}
		return
	}
	if err != nil || n == 0 || sc.handler == nil { // an idle connection must not receive anything
		sc.fail()
		return
	}
	sc.server.stats.In += int64(n)
	sc.server.loop.Arm(&sc.timer, sc.server.cfg.FillTimeout)
	sc.parse(sc.server.scratch[:buffered+n])
}

// parse passes the received bytes to the handler. It keeps those of an incomplete head or chunk in
// unparsed. After a complete response the connection becomes idle, or is closed.
func (sc *sourceConn) parse(data []byte) {
	for !sc.headParsed {
		n, err := http1.ParseResponse(data, &sc.head, http1.Limits{}, false) // false: no request to a source is a HEAD
		if err != nil {
			sc.fail()
			return
		}
		if n == 0 {
			sc.unparsed = append(sc.unparsed[:0:0], data...)
			return
		}
		data = data[n:]
		sc.unparsed = nil
		if sc.head.Status < 200 {
			continue
		}
		sc.headParsed = true
		sc.body.Start(&sc.head, 0)
		closing := sc.head.Close
		if !sc.handler.receiveHead(&sc.head) {
			sc.close()
			return
		}
		sc.used = !closing
	}
	for !sc.body.Done() && len(data) > 0 {
		n, content, err := sc.body.Next(data)
		if err != nil {
			sc.fail()
			return
		}
		if data = data[n:]; len(content) > 0 && sc.handler != nil {
			sc.handler.receiveBody(content)
		}
		if sc.handler == nil || sc.fd < 0 {
			return
		}
		if n == 0 {
			break
		}
	}
	if !sc.body.Done() {
		sc.unparsed = append(sc.unparsed[:0:0], data...)
		return
	}
	handler := sc.handler
	sc.handler = nil
	if len(data) > 0 || sc.head.Close || sc.body.Kind() == http1.UntilClose {
		sc.close()
	} else {
		sc.server.loop.Arm(&sc.timer, sourceIdleMillis)
		sc.server.setIdleSources(sc.address, append(sc.server.idleSources[sc.address], sc))
	}
	handler.finish()
}
