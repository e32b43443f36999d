package httpfront

import (
	"net/netip"

	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/esi"
	"indigospool/internal/protocol/http1"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/proxy/limits"
)

// client is a client's connection. Between requests it holds no buffer.
type client struct {
	e    *Edge
	fd   int
	left []byte          // read, and not yet taken
	out  eventloop.Queue // answered, and not yet written
	idle eventloop.Timer
	cur  *request // in hand; nil between requests
	part *part    // no connection: it asks for a fragment of a page; nil: it is one

	from           netip.Addr
	address        string      // from, as text
	flow           limits.Flow // of what is waited for from it
	wrote          int64       // bytes that the kernel has taken for it
	idled          int64       // of them, what it had acknowledged when its time to take some last ended
	seen           int64       // of them, what it had acknowledged when it was last looked at
	tailed         bool        // the kernel may hold some of an answer that is whole
	class          int         // in the scheduler, of its last request
	before, behind *client     // among those between requests
	booked         int64       // of the memory budget, for left
	queued         bool        // ready to take bytes, and waiting for its turn
	since          float64     // when it was queued
	idleAt         float64     // when it began to have nothing in hand
	movedAt        float64     // when it last took something of what waits for it
	blamed         bool        // its present request counts as a bad end

	gone    bool // closed
	eof     bool // the client sends no more
	stalled bool // it has taken nothing since the idle timer was armed
	last    bool // the connection ends with the present answer
	linger  bool // a fault was answered: what still comes is dropped
	reading bool // a request has begun to come and is not whole
	paused  bool // pipelined bytes reached the limit
}

// What is read ahead and answered is bounded by the settings; these are how
// much is read at once.
const readSize = 64 << 10

func (c *client) OnReady(r eventloop.Ready) {
	if r.Writable() && c.out.Len() > 0 {
		if c.out.Len() <= smallWrite {
			c.flush()
		} else if !c.queued {
			c.queued, c.since = true, c.e.l.Now()
			c.e.guard.watch(c, false) // it is the router that it waits for now
			c.e.guard.ready(c.class, c)
		}
	}
	if !c.gone && r.Readable() {
		c.read(r)
	}
}

func (c *client) read(r eventloop.Ready) {
	c.readOnce(r)
	c.book()
}

// book books what is read and not yet taken.
func (c *client) book() {
	if n := int64(cap(c.left)); n != c.booked {
		c.e.guard.mem.Add(limits.Heads, n-c.booked)
		c.booked = n
	}
}

// fresh forgets how it was waited for.
func (c *client) fresh() {
	delete(c.e.guard.slow, c)
	c.flow = limits.Flow{}
}

func (c *client) readOnce(r eventloop.Ready) {
	buf := c.e.scratch[:readSize]
	n, err := c.e.l.Read(c.fd, buf)
	switch {
	case eventloop.Retryable(err):
		if r.Hangup() && eventloop.NotReady(err) {
			c.lost()
		}
		return
	case err != nil:
		c.lost()
		return
	case n == 0:
		c.onEOF()
		return
	case c.linger:
		return
	}
	c.e.stats.InBytes += uint64(n)
	if c.flow.Waiting() && c.out.Len() == 0 {
		least, _ := c.judgedBy()
		c.flow.Moved(c.e.guard.now(), n, least)
	}
	data := buf[:n]
	if len(c.left) > 0 || c.cur != nil && c.cur.phase != takingBody {
		c.left = append(c.left, data...)
		if c.cur == nil || c.cur.phase == takingBody {
			c.takeLeft()
			return
		}
		if len(c.left) >= c.e.s.Limits.Pipelined {
			c.paused = true
			c.wants()
		}
		return
	}
	rest := c.take(data)
	if !c.gone && len(rest) > 0 {
		c.left = append(c.left[:0], rest...)
	}
}

// takeLeft takes what was read before.
func (c *client) takeLeft() {
	if len(c.left) == 0 {
		return
	}
	data := c.left
	c.left = nil
	rest := c.take(data)
	if c.gone {
		return
	}
	if len(rest) > 0 {
		c.left = append(data[:0], rest...)
	}
	// a head or a body that is coming has limits of its own
	if c.paused && (c.cur == nil || c.cur.phase == takingBody || len(c.left) < c.e.s.Limits.Pipelined) {
		c.paused = false
		c.wants()
	}
}

// take takes requests from data until one is in hand, and returns what is left.
func (c *client) take(data []byte) []byte {
	for len(data) > 0 && !c.gone && !c.linger {
		if c.cur != nil {
			if c.cur.phase != takingBody {
				return data
			}
			n, err := c.cur.takeBody(data)
			if data = data[n:]; err != nil {
				c.fault(err)
				return nil
			}
			if c.cur != nil && c.cur.phase == takingBody {
				c.e.guard.watch(c, true)
				return data // more has to come
			}
			continue
		}
		if c.last {
			c.linger = true // the connection ends here: what follows is not looked at
			return nil
		}
		if c.out.Len() > 0 {
			return data // a slow client's earlier answer goes first
		}
		if !c.reading {
			c.reading = true
			c.e.guard.idle.remove(c)
			c.e.l.Arm(&c.idle, c.e.s.Limits.HeadTime)
		}
		n, err := c.e.core.Parse(data, &c.e.head)
		if err != nil {
			c.fault(err)
			return nil
		}
		if n == 0 {
			c.e.guard.watch(c, true)
			return data
		}
		data = data[n:]
		c.fresh()
		c.begin()
	}
	return data
}

// begin takes the request whose head has come.
func (c *client) begin() {
	e := c.e
	h := &e.head
	e.stats.Requests++
	r := e.newRequest(c)
	r.at, r.isHead, r.minor = e.l.Now(), h.IsHead(), h.Minor
	c.cur = r
	c.last = c.last || h.Close || e.draining && e.successor == nil
	q, err := e.core.Classify("", r.at, h)
	r.q = q
	if err != nil {
		t, ok := err.(*engine.Rejection)
		if !ok {
			t = &engine.Rejection{Status: 400, Detail: endMalformed.word(), Message: err.Error()}
		}
		r.path = string(clip(h.Target, 256))
		c.skipBody(h)
		r.why, r.turned = endNoRoute, t
		c.answer(r, t.Status, 0)
		return
	}
	if len(e.reqs) >= e.s.Limits.Held {
		c.skipBody(h)
		r.why = endHeld
		c.answer(r, 503, 1000)
		return
	}
	if cause := e.guard.admit(c, &r.q); cause != limits.None {
		e.guard.counts[cause]++
		c.skipBody(h)
		r.why = endLimit
		r.cause = cause
		e.stats.Refused++
		began := e.l.Took()
		c.answer(r, 503, 1000)
		e.guard.hold.AddCost((e.l.Took() - began) * 1.5) // it was read and looked at, too
		e.guard.holdBack(c)
		return
	}
	if e.guard.poor(c) {
		r.poor = true
		e.guard.standing.Reserve()
	}
	c.class = e.guard.class(r.q.Class)
	e.guard.mem.Add(limits.Requests, requestBytes)
	r.booked = requestBytes
	if r.asPage(h); r.page == nil {
		r.compose(h)
	}
	if err := r.body.Start(h, int64(e.s.Limits.Body)); err != nil {
		c.fault(err)
		return
	}
	if !r.body.Done() {
		r.phase = takingBody
		if h.Expect100 {
			c.write(continueAnswer)
		}
		return
	}
	r.ask()
}

// skipBody ends the connection after an answer to a request whose body is not read.
func (c *client) skipBody(h *http1.Head) {
	if h.Body != http1.NoBody {
		c.last, c.linger = true, true
	}
}

// clip returns at most n bytes.
func clip(b []byte, n int) []byte { return b[:min(len(b), n)] }

// fault answers what is not valid, and ends the connection.
func (c *client) fault(err error) {
	f, ok := err.(*http1.ProtocolError)
	if !ok {
		f = http1.ErrRequestLine
	}
	c.e.stats.Malformed++
	r := c.cur
	if r == nil {
		r = c.e.newRequest(c)
		r.at, r.minor = c.e.l.Now(), 1
		c.cur = r
	}
	r.why, r.path = endMalformed, f.Message
	c.last, c.linger = true, true
	c.left = nil
	c.answer(r, f.Status, 0)
}

// answer gives a final answer of the router's own.
func (c *client) answer(r *request, status int, after float64) {
	r.status = status
	if c.part != nil {
		c.part.failed(r.word())
		r.finish()
		return
	}
	b := http1.AppendStatus(c.e.hbuf[:0], status)
	b = http1.AppendFieldString(b, "Via", "1.1 "+c.e.name)
	if status == 405 {
		b = http1.AppendFieldString(b, "Allow", "GET, HEAD")
	}
	if after > 0 {
		b = http1.AppendFieldInt(b, "Retry-After", c.e.guard.jitter.After(after))
	}
	b = http1.AppendFieldString(b, "Cache-Status", c.e.name+"; fwd=miss; detail="+r.word())
	text := http1.StatusText(status) + "\n"
	if r.turned != nil {
		text = http1.StatusText(status) + ": " + r.turned.Message + "\n"
	}
	b = http1.AppendFieldString(b, "Content-Type", "text/plain")
	b = http1.AppendFieldInt(b, "Content-Length", int64(len(text)))
	b = c.appendConnection(b, r)
	b = append(b, "\r\n"...)
	if !r.isHead && (r.page == nil || !r.page.asked.head) {
		b = append(b, text...)
	}
	c.e.hbuf = b
	c.add(b)
	r.sent += int64(len(text))
	r.finish()
}

// appendConnection says whether the connection persists.
func (c *client) appendConnection(b []byte, r *request) []byte {
	switch {
	case c.last:
		return http1.AppendFieldString(b, "Connection", "close")
	case r.minor == 0:
		return http1.AppendFieldString(b, "Connection", "keep-alive")
	}
	return b
}

// write writes what waits and b in one call, and keeps what the socket does not take.
func (c *client) write(b []byte) {
	if c.gone {
		return
	}
	n, err := c.e.l.WriteTwo(c.fd, c.out.Bytes(), b)
	if eventloop.Retryable(err) {
		n, err = 0, nil
	}
	if err != nil {
		c.lost()
		return
	}
	c.e.stats.OutBytes += uint64(n)
	c.took(n)
	c.stalled = c.stalled && n == 0
	if k := min(n, c.out.Len()); k > 0 {
		c.out.Take(&c.e.buffers, k)
		n -= k
	}
	if b = b[n:]; len(b) > 0 {
		c.add(b)
		c.wants()
	}
}

func (c *client) add(b []byte) { c.out.Add(&c.e.buffers, b) }

// flush writes what waits. It reports whether all of it went out.
func (c *client) flush() bool {
	if c.part != nil {
		return true
	}
	for c.out.Len() > 0 && !c.gone {
		n, err := c.e.l.Write(c.fd, c.out.Bytes())
		if eventloop.Retryable(err) {
			c.wants()
			return false
		}
		if err != nil {
			c.lost()
			return false
		}
		c.e.stats.OutBytes += uint64(n)
		c.took(n)
		c.stalled = false
		c.out.Take(&c.e.buffers, n)
	}
	if c.gone {
		return false
	}
	c.flushed()
	return true
}

// flushed goes on after all that waited was written.
func (c *client) flushed() {
	c.wants()
	if r := c.cur; r != nil && r.phase == relaying {
		if r.page != nil {
			r.page.mark()
			return
		}
		r.resume()
		return
	}
	if c.cur == nil {
		c.next()
	}
}

// smallWrite is as much as is written at once, without waiting for a turn.
const smallWrite = 16 << 10

func (c *client) queuedAt() float64 { return c.since }

// move writes what waits, in its turn.
func (c *client) move(room int) (moved int, more bool) {
	c.queued = false
	for c.out.Len() > 0 && !c.gone && moved < room {
		b := c.out.Bytes()
		n, err := c.e.l.Write(c.fd, b[:min(len(b), room-moved)])
		if eventloop.Retryable(err) {
			c.wants()
			return moved, false
		}
		if err != nil {
			c.lost()
			return moved, false
		}
		c.e.stats.OutBytes += uint64(n)
		c.took(n)
		c.stalled = false
		c.out.Take(&c.e.buffers, n)
		moved += n
	}
	switch {
	case c.gone:
		return moved, false
	case c.out.Len() > 0:
		c.queued = true
		return moved, true
	}
	c.flushed()
	return moved, false
}

// took books that the kernel took bytes for the client.
func (c *client) took(n int) { c.wrote += int64(n) }

// taken is how much the client's own side has acknowledged. The kernel takes megabytes
// at once, and nothing more until a good part of them is gone: what a steady reader
// takes can't be seen from writes.
func (c *client) taken() int64 {
	queued, err := unix.IoctlGetInt(c.fd, unix.TIOCOUTQ)
	if err != nil {
		return c.wrote
	}
	return c.wrote - int64(queued)
}

// judgedBy is the least rate that the client is held to now, and what it is cut for.
func (c *client) judgedBy() (*limits.MinRate, limits.Cause) {
	g := c.e.guard
	switch {
	case c.out.Len() > 0:
		return &g.reader, limits.SlowReader
	case c.cur != nil:
		return &g.body, limits.SlowBody
	}
	return &g.head, limits.SlowHead
}

// cutSlow ends the connection of a client that is too slow.
func (c *client) cutSlow(cause limits.Cause) {
	if c.part != nil {
		c = c.part.pg.r.c
	}
	c.e.guard.bad(c)
	if cause == limits.SlowReader {
		if c.cur != nil {
			c.cur.why, c.cur.cause = endLimit, cause
		}
		c.reset()
		return
	}
	c.fault(errTooSlow)
}

// wants tells the loop what is of interest.
func (c *client) wants() {
	if c.gone {
		return
	}
	want := eventloop.Interest(0)
	if !c.paused && !c.eof {
		want |= eventloop.Read
	}
	if c.out.Len() > 0 {
		want |= eventloop.Write
		if !c.queued {
			c.e.guard.watch(c, true)
		}
		if !c.idle.Armed() || !c.stalled {
			c.stalled = true
			c.e.l.Arm(&c.idle, c.e.s.Limits.WriteIdle)
		}
	}
	if c.out.Len() == 0 && !c.coming() {
		c.e.guard.watch(c, false)
	}
	c.e.l.Want(c.fd, want)
}

// coming reports that a request has begun to come, and is not whole.
func (c *client) coming() bool {
	return c.cur == nil && c.reading || c.cur != nil && c.cur.phase == takingBody
}

// done is called when the present answer is whole, written or waiting.
func (c *client) done() {
	c.cur, c.reading = nil, false
	if c.gone || c.part != nil {
		return
	}
	c.fresh()
	if c.out.Len() > 0 {
		c.flush() // and then goes on
		return
	}
	c.next()
}

// next goes on to the next request, or ends the connection.
func (c *client) next() {
	switch {
	case c.gone || c.cur != nil:
	case c.linger:
		unix.Shutdown(c.fd, unix.SHUT_WR)
		c.paused = false
		c.e.l.Arm(&c.idle, c.e.s.Limits.ShutdownLinger)
		c.wants()
	case !c.last && c.e.successor != nil && len(c.left) == 0 && c.pass():
	case c.last || c.e.draining && len(c.left) == 0 || c.eof && len(c.left) == 0:
		c.close()
	default:
		c.e.l.Arm(&c.idle, c.e.s.Limits.ClientIdle)
		c.stalled = false
		c.fresh()
		if len(c.left) > 0 {
			c.takeLeft()
		} else if cap(c.left) > 0 {
			c.left = nil
		}
		if !c.gone && c.cur == nil && !c.reading && c.out.Len() == 0 {
			c.e.guard.idle.add(c, c.e.l.Now())
			c.e.guard.tail(c)
		}
		c.book()
		if !c.gone && c.cur == nil && c.eof && c.out.Len() == 0 {
			c.close() // what is left will never be whole
		}
	}
}

// drain ends the connection when nothing is in hand.
func (c *client) drain() {
	if c.cur == nil && !c.reading && c.out.Len() == 0 {
		if !c.pass() {
			c.close()
		}
		return
	}
	if c.e.successor != nil { // it goes on there, behind what is in hand
		return
	}
	c.last = true
}

func (c *client) onEOF() {
	c.eof = true
	switch {
	case c.linger || c.cur == nil && c.out.Len() == 0:
		c.close()
	case c.cur != nil && (c.cur.phase == takingBody || !c.e.s.Limits.HalfClose):
		c.lost()
	default:
		c.wants()
	}
}

func (c *client) onIdle() {
	switch {
	case c.gone:
	case c.linger:
		c.close()
	case c.out.Len() > 0:
		if at := c.taken(); at > c.idled { // the kernel takes nothing, and the client does
			c.idled = at
			c.e.l.Arm(&c.idle, c.e.s.Limits.WriteIdle)
			return
		}
		if c.stalled {
			if c.cur != nil {
				c.cur.why = endClientSlow
			}
			c.e.guard.bad(c)
			c.reset()
		}
	case c.cur != nil && c.cur.phase == takingBody, c.cur == nil && c.reading:
		c.fault(errTooSlow)
	case c.cur == nil:
		c.leave()
	}
}

// leave closes a connection that is idle for the router. Where the kernel still holds an
// answer that its client does not take, it is reset, and counts as one.
func (c *client) leave() {
	if c.taken() < c.wrote {
		c.e.guard.bad(c)
		c.reset()
		return
	}
	c.close()
}

var errTooSlow = &http1.ProtocolError{Status: 408, Message: "the request did not come whole within the limit"}

// reset ends the connection of a client that takes nothing: what the kernel still holds
// for it, up to megabytes, is dropped, and not kept until the kernel gives up in turn.
func (c *client) reset() {
	if c.part != nil {
		c = c.part.pg.r.c
	}
	if !c.gone {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.lost()
}

// lost ends a connection whose client has gone, or was cut off.
func (c *client) lost() {
	if c.gone {
		return
	}
	r := c.cur
	c.close()
	if r != nil {
		r.clientGone()
	}
}

func (c *client) close() {
	fd := c.fd
	if !c.detach() {
		return
	}
	unix.Close(fd)
	if c.e.draining {
		c.e.checkDrained()
	}
}

// detach has the router know nothing of the connection any more; its descriptor is
// the caller's. False: it did so before.
func (c *client) detach() bool {
	if c.gone {
		return false
	}
	c.gone = true
	c.e.l.Forget(&c.idle)
	c.e.l.Remove(c.fd)
	delete(c.e.clients, c)
	g := c.e.guard
	delete(g.slow, c)
	g.idle.remove(c)
	if g.addresses[c.from]--; g.addresses[c.from] <= 0 {
		delete(g.addresses, c.from)
	}
	c.left = nil
	c.book()
	g.mem.Add(limits.Connections, -clientBytes)
	c.out.Drop(&c.e.buffers)
	return true
}

var (
	continueAnswer = []byte("HTTP/1.1 100 Continue\r\n\r\n")
	busyAnswer     = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n" +
		"Content-Length: 0\r\n\r\n")
)

// phase is how far a request has come.
type phase uint8

const (
	takingBody phase = iota + 1
	asked            // the module has it
	relaying         // an attempt's answer is on its way to the client
	over
)

// request is a client's request in hand.
type request struct {
	e    *Edge
	c    *client
	body http1.Body
	q    spool.Request

	id      string
	at      float64
	asked   float64 // when the module got it
	phase   phase
	isHead  bool
	minor   int
	fwd     []byte // request line and fields, as sent on
	content []byte // of a write
	tries   []*try
	open    int // tries without an outcome
	winner  *try
	known   bool // the module has it

	page   *page // that it asks for; nil: its answer is no page
	vars   *esi.Vars
	target string

	status int
	cause  limits.Cause // of what a limit ended
	booked int64        // of the memory budget
	sent   int64
	poor   bool              // it holds a place of those of poor standing
	turned *engine.Rejection // no class took it; nil: one did
	why    endWord
	path   string // of what no class fits

	first [3]try // the memory of its first tries
	freed bool
}

// newRequest is an empty request, in the memory of one that is over if there is any.
func (e *Edge) newRequest(c *client) *request {
	n := len(e.free)
	if n == 0 {
		r := &request{e: e, c: c}
		r.tries = make([]*try, 0, len(r.first))
		r.fwd = make([]byte, 0, 512)
		for i := range r.first {
			t := &r.first[i]
			t.timer.F = t.timedOut
		}
		return r
	}
	r := e.free[n-1]
	e.free[n-1] = nil
	e.free = e.free[:n-1]
	clear(r.tries)
	for i := range r.first {
		t := &r.first[i]
		*t = try{timer: t.timer} // not armed, and keeps its function
	}
	*r = request{e: e, c: c, first: r.first, fwd: r.fwd[:0], content: r.content[:0], tries: r.tries[:0]}
	return r
}

// newTry is the next attempt of the request.
func (r *request) newTry() *try {
	var t *try
	if n := len(r.tries); n < len(r.first) {
		t = &r.first[n]
	} else {
		t = &try{}
		t.timer.F = t.timedOut
	}
	t.r, t.n = r, len(r.tries)
	r.tries = append(r.tries, t)
	r.open++
	return t
}

// takeBody takes a write's body, which is held whole so that it can be sent again.
func (r *request) takeBody(data []byte) (n int, err error) {
	for n < len(data) && !r.body.Done() {
		k, content, err := r.body.Next(data[n:])
		n += k
		if err != nil {
			return n, err
		}
		had := cap(r.content)
		r.content = append(r.content, content...)
		if more := int64(cap(r.content) - had); more > 0 {
			r.booked += more
			r.e.guard.mem.Add(limits.Bodies, more)
		}
		if k == 0 {
			break
		}
	}
	if r.body.Done() {
		r.ask()
	}
	return n, nil
}

// compose writes what of the head goes on to caches: all but what is for this
// connection only, framing, and what the router says itself.
func (r *request) compose(h *http1.Head) {
	b := http1.AppendRequestLine(r.fwd[:0], h.Method, h.Path())
	if h.Host != nil {
		b = http1.AppendField(b, "Host", h.Host)
	} else {
		b = http1.AppendFieldString(b, "Host", r.e.name)
	}
	b = appendEndToEnd(b, h, ours)
	b = append(b, "Via: 1.1 "...)
	b = append(b, r.e.name...)
	r.fwd = append(b, "\r\n"...)
}

// appendEndToEnd appends the fields of a head that are not for one connection
// only, but for those that except names.
func appendEndToEnd(b []byte, h *http1.Head, except func(name []byte) bool) []byte {
	named := h.Has("connection")
	for i := range h.Fields {
		f := &h.Fields[i]
		if http1.HopByHop(f.Name) || except(f.Name) || named && h.ListedInConnection(f.Name) {
			continue
		}
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	return b
}

// ours reports fields that a client may not set for the caches, or that are
// written anew.
func ours(name []byte) bool {
	switch len(name) {
	case 4:
		return http1.EqualFold(name, "host")
	case 6:
		return http1.EqualFold(name, "expect")
	case 10:
		return http1.EqualFold(name, "spool-fill") || http1.EqualFold(name, "spool-load") || http1.EqualFold(name, "spool-copy")
	case 13:
		return http1.EqualFold(name, "cache-control")
	case 14:
		return http1.EqualFold(name, "content-length")
	}
	return false
}

// ask gives the request to the module.
func (r *request) ask() {
	e := r.e
	r.phase = asked
	r.id = e.nextID()
	r.q.ID = r.id
	r.asked = e.l.Now()
	r.known = true
	e.reqs[r.id] = r
	e.stats.MostHeld = max(e.stats.MostHeld, len(e.reqs))
	if r.c.part == nil {
		e.l.Disarm(&r.c.idle)
	}
	e.tell(r.q)
}

// clientGone tells the module that nobody waits any more.
func (r *request) clientGone() {
	if r.phase == over {
		return
	}
	if r.why == 0 {
		r.why = endClientGone
	}
	r.e.stats.Gone++
	e, id, w := r.e, r.id, r.winner
	if !r.known {
		r.finish()
		return
	}
	if r.phase != relaying {
		w = nil
	}
	r.phase = over // before the module hears of it: nothing may be answered any more
	r.e.log.request(r)
	r.c.cur = nil
	if r.page != nil {
		r.page.leave()
	}
	e.tell(spool.Gone{ID: id})
	if w != nil && w.r == r && !w.done && !r.freed {
		w.cut(spool.Cancelled)
	}
	r.release()
}

// refuse is the module's final answer that a repeat is harmless.
func (r *request) refuse(after float64) {
	if r.phase != asked {
		return
	}
	r.e.stats.Refused++
	r.why = endRefused
	r.c.answer(r, 503, after)
}

// fail is the module's final answer that promises nothing.
func (r *request) fail() {
	if r.phase != asked {
		return
	}
	r.e.stats.Failed++
	r.why = endFailed
	status := 502
	if r.e.l.Now() >= r.q.Deadline-2*r.e.s.Limits.TimerGrain {
		status = 504
	}
	r.c.answer(r, status, 0)
}

// written reports whether something of the request may have reached a member.
func (r *request) written() bool {
	for _, t := range r.tries {
		if t.written {
			return true
		}
	}
	return false
}

// shed gives the request up for want of room: with an answer where it has none yet.
func (r *request) shed(cause limits.Cause) {
	c, e, id, known := r.c, r.e, r.id, r.known
	r.why, r.cause = endLimit, cause
	switch r.phase {
	case takingBody:
		c.last, c.linger = true, true
		c.answer(r, 503, 1000)
	case asked:
		e.stats.Refused++
		c.answer(r, 503, 1000)
		if known {
			e.tell(spool.Gone{ID: id}) // nobody waits for it any more
		}
	case relaying:
		c.reset()
	}
}

// finish ends the request for its client; attempts may still be out.
func (r *request) finish() {
	if r.phase == over {
		return
	}
	r.phase = over
	r.e.log.request(r)
	if r.page != nil {
		r.page.leave()
	}
	c := r.c
	if r.why == endServed && !c.blamed && c.part == nil {
		c.e.guard.standing.AddGood(c.address, c.e.l.Now())
	}
	c.blamed = false
	if c.cur == r {
		c.done()
	}
	r.release()
}

// release forgets a request that is over and has nothing out.
func (r *request) release() {
	if r.phase != over || r.open > 0 || r.freed {
		return
	}
	if r.known {
		r.known = false
		delete(r.e.reqs, r.id)
	}
	r.freed = true
	if r.poor {
		r.poor = false
		r.e.guard.standing.Release()
	}
	if r.booked > 0 {
		r.e.guard.mem.Add(limits.Requests, -requestBytes)
		r.e.guard.mem.Add(limits.Bodies, requestBytes-r.booked)
		r.booked = 0
	}
	if e := r.e; len(e.free) < 1024 && cap(r.content) <= 64<<10 {
		e.free = append(e.free, r) // it is made empty when it is used again
	}
}
