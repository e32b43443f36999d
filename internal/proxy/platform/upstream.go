package platform

import (
	"math"
	"slices"
	"strconv"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/resp"
	"indigospool/internal/proxy/limits"
)

// attempt is one attempt of a request. It is out from when it is written whole until
// its outcome is told.
type attempt struct {
	in      *Server
	r       *request
	n       int
	send    spool.Send
	sent    float64 // when the module wanted it
	until   float64
	timer   eventloop.Timer
	p       *pool
	c       *conn
	begin   float64 // it must not begin to be written later; 0: no bound
	written bool    // whole, as far as the machine took it
	left    float64 // when that was
	done    bool
}

// send makes an attempt that the module wants.
func (n *Server) send(r *request, s spool.Send) {
	now := n.l.Now()
	a := &attempt{in: n, r: r, n: r.tries, send: s, sent: now, until: r.until}
	r.tries++
	r.out = a
	n.stats.Attempts++
	n.trace("send", r, zap.Int("try", a.n), zap.String("member", s.Cache), zap.String("source", s.Source), zap.Float64("within", s.Timeout))
	if s.Timeout > 0 {
		a.until = min(a.until, now+s.Timeout)
	}
	if s.Within > 0 {
		a.begin = now + s.Within
	}
	if a.until-now < 1 || a.moot() {
		a.end(spool.Moot, spool.NoteNone, 0)
		return
	}
	a.timer.F = func() { a.giveUp(spool.TimedOut) }
	n.l.Arm(&a.timer, a.until-now)
	p := n.pools[s.Cache]
	if p == nil {
		p = &pool{n: n, id: s.Cache, address: n.core.Address(s.Cache)}
		n.pools[s.Cache] = p
	}
	a.p = p
	p.held++
	if r.rested > 0 {
		p.closeRested(r.rested)
	}
	c, failure := p.pick(r.ID)
	if c == nil {
		n.stats.NoConnection++
		a.end(failure, spool.NoteNone, 0)
		return
	}
	a.c = c
	c.pend = append(c.pend, a)
	if c.up {
		c.flush()
	}
}

// moot reports whether an attempt must not begin, or not any more: its client has gone,
// its member or its source takes nothing new, or its time or that within which it might
// begin is over.
// A connection may come up long after the module's decision.
func (a *attempt) moot() bool {
	serves := func(id string) bool {
		m, ok := a.in.core.Member(id)
		return ok && m.State == spool.Serving
	}
	now := eventloop.Clock()
	return a.r.c == nil || now >= a.until || a.begin > 0 && now > a.begin || !serves(a.send.Cache) ||
		a.send.Source != "" && !serves(a.send.Source)
}

// purged takes back what has not begun to be written for an object, or for a group: the
// age of copies that it would ask for was decided before the purge.
func (n *Server) purged(object string, group int) {
	var list []*attempt
	for _, r := range n.reqs {
		if a := r.out; a != nil && a.c != nil && !a.written && a.c.writing != a &&
			(r.Key == object || object == "" && r.Group == group) {
			list = append(list, a)
		}
	}
	for _, a := range list {
		a.leave()
		a.end(spool.Moot, spool.NoteNone, 0)
	}
}

// giveUp ends the wait for an attempt: nothing of it comes back any more.
func (a *attempt) giveUp(result spool.Result) {
	if a.done {
		return
	}
	c := a.c
	if result == spool.TimedOut && !a.written {
		result = spool.ConnectFailed // nothing of it can have run
	}
	switch {
	case c == nil:
	case c.writing == a: // a part of it is there: the rest would have to follow
		a.leave()
		c.fail(spool.Cancelled)
	case a.written:
		a.leave()
		c.stop(a)
	default:
		a.leave()
	}
	a.end(result, spool.NoteNone, 0)
}

// leave takes the attempt off its connection.
func (a *attempt) leave() {
	c := a.c
	if c == nil {
		return
	}
	a.c = nil
	same := func(b *attempt) bool { return b == a }
	c.pend, c.open = slices.DeleteFunc(c.pend, same), slices.DeleteFunc(c.open, same)
	if c.writing == a {
		c.writing = nil
	}
}

// end tells the module the outcome, once.
func (a *attempt) end(result spool.Result, note spool.Note, waited float64) {
	if a.done {
		return
	}
	r := a.r
	n := a.in
	a.done = true
	a.leave()
	n.l.Forget(&a.timer)
	if a.p != nil {
		a.p.held--
	}
	r.out = nil
	n.stats.Outcomes[result]++
	n.trace("outcome", r, zap.Int("try", a.n), zap.Int("result", int(result)), zap.Int("note", int(note)), zap.Bool("written", a.written))
	if a.send.Source != a.send.Cache {
		n.log.Debug("fill", zap.String("member", a.send.Cache), zap.String("source", a.send.Source), zap.String("class", r.Class),
			zap.Int("result", int(result)), zap.Int("note", int(note)), zap.Float64("took", n.l.Now()-a.sent),
			zap.Float64("waited", waited), zap.Float64("left", r.until-n.l.Now()))
	}
	last := r.c == nil
	if last {
		n.over(r)
	}
	n.tell(spool.Outcome{ID: r.ID, Cache: a.send.Cache, Attempt: a.n, Result: result,
		Took: n.l.Now() - a.sent, Last: last, Note: note, Waited: waited})
}

// pool is the connections to one member, by its id: another one may come to have its address.
type pool struct {
	n       *Server
	id      string
	address string
	conns   []*conn
	held    int // attempts
}

// pick is the connection for another attempt of a request, or how the attempt ends where
// there can be none. One request to a connection is the aim, since one spoilt answer ends
// all that share it.
func (p *pool) pick(id string) (c *conn, failure spool.Result) {
	n := p.n
	var idle, least *conn
	for _, c := range p.conns {
		load := len(c.open) + len(c.pend)
		if c.retired || load >= p.streams() || slices.Contains(c.recent[:], id) {
			continue
		}
		switch {
		case load == 0 && c.up && eventloop.Quiet(c.fd):
			if idle == nil || c.used > idle.used {
				idle = c
			}
		case load > 0 && (least == nil || load < len(least.open)+len(least.pend)):
			least = c
		}
	}
	if idle != nil {
		return idle, 0
	}
	failure = spool.LocalFailure // no place for a connection
	if len(p.conns) < n.places.PerMember(len(n.pools)) && (n.conns < n.places.Members || n.room()) {
		if c, failure = p.dial(); c != nil {
			return c, 0
		}
	}
	return least, failure
}

func (p *pool) streams() int {
	if s := p.n.cfg.settings.Streams; s > 0 {
		return s
	}
	return 1
}

const (
	forgetsAfter = 100 // ms; the least rest after which a member may have forgotten a connection
	likeRest     = 0.8 // of the rest after which one was forgotten: so may be others
)

// closeRested closes connections that were not used for so long.
func (p *pool) closeRested(span float64) {
	now := p.n.l.Now()
	for _, c := range slices.Clone(p.conns) {
		if len(c.open)+len(c.pend) == 0 && c.up && now-c.used >= span {
			c.close()
		}
	}
}

// room closes the connection to members that was idle longest, if there is one.
func (n *Server) room() bool {
	var first *conn
	for _, p := range n.pools {
		for _, c := range p.conns {
			if len(c.open)+len(c.pend) == 0 && c.up && (first == nil || c.used < first.used) {
				first = c
			}
		}
	}
	if first != nil {
		first.close()
	}
	return first != nil
}

// dial begins another connection, or tells how the attempt ends that wanted it.
func (p *pool) dial() (c *conn, failure spool.Result) {
	n := p.n
	n.stats.Dials++
	fd, _, err := n.l.Dial(p.address)
	if err != nil {
		return nil, p.failed(err)
	}
	c = &conn{p: p, fd: fd, used: n.l.Now()}
	if err := n.l.Add(fd, eventloop.Read|eventloop.Write, c); err != nil {
		closeFD(fd)
		return nil, p.failed(err)
	}
	c.timer.F = func() { c.fail(spool.ConnectFailed) }
	c.rest.F = func() { c.stale() }
	if t := n.cfg.settings.ConnectTimeout; t > 0 {
		n.l.Arm(&c.timer, t)
	}
	n.conns++
	p.conns = append(p.conns, c)
	return c, 0
}

// failed notes that a connection could not be begun, and tells whose fault that was.
func (p *pool) failed(err error) spool.Result {
	n := p.n
	if n.stats.FailedDials++; n.stats.FailedDials&(n.stats.FailedDials-1) == 0 { // the 1st, 2nd, 4th, 8th...
		n.log.Warn("no connection", zap.String("member", p.id), zap.String("address", p.address),
			zap.Uint64("times", n.stats.FailedDials), zap.Error(err))
	}
	if eventloop.Lacking(err) {
		return spool.LocalFailure
	}
	return spool.ConnectFailed
}

// close ends the pool of a member that drains, is gone or is reached elsewhere: its
// connections go once nothing is open there, and what is sent to the id again gets others.
func (p *pool) close() {
	delete(p.n.pools, p.id)
	for _, c := range slices.Clone(p.conns) {
		if c.retired = true; len(c.open)+len(c.pend) == 0 {
			c.close()
		}
	}
}

func (p *pool) sweep(now float64) {
	for _, c := range slices.Clone(p.conns) {
		if len(c.open)+len(c.pend) == 0 && c.up && limits.Rests(now-c.used, p.n.cfg.settings.ConnIdle) {
			c.close()
		}
	}
}

// conn is one connection to a member.
type conn struct {
	p       *pool
	fd      int
	up      bool
	closed  bool
	retired bool // nothing new goes to it
	in, out eventloop.Queue
	pend    []*attempt      // not begun to be written
	writing *attempt        // in out, and not whole at the member yet
	rested  float64         // how long it was not used before what is open on it, in ms
	framed  float64         // when its frame was made
	size    int             // of its frame, in bytes
	rest    eventloop.Timer // when the rest of it would come too late
	open    []*attempt      // written whole
	used    float64         // when it last was written to or read from
	heard   float64         // when it was last read from
	recent  [4]string       // requests that it had last: a copy of their answers may yet come
	at      int
	timer   eventloop.Timer
}

// OnReady is the loop's.
func (c *conn) OnReady(r eventloop.Ready) {
	if !c.up {
		if !r.Writable() {
			return
		}
		if e, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || e != 0 {
			c.fail(spool.ConnectFailed)
			return
		}
		c.up = true
		c.p.n.l.Forget(&c.timer)
		c.heard = c.p.n.l.Now()
	}
	if r.Readable() {
		c.read()
	}
	if !c.closed {
		c.flush()
	}
}

// flush writes what is pending, one attempt after another, so that it is known of each
// whether any of it, or all of it, went out.
func (c *conn) flush() {
	n := c.p.n
	if c.stale() {
		return
	}
	for !c.closed {
		for c.out.Len() > 0 {
			k, err := n.l.Write(c.fd, c.out.Bytes())
			if eventloop.Later(err) {
				n.l.Want(c.fd, eventloop.Read|eventloop.Write)
				c.takeBack()
				c.restBy()
				return
			}
			if err != nil {
				c.fail(spool.Reset)
				return
			}
			c.out.Take(&n.bufs, k)
		}
		if a := c.writing; a != nil {
			a.written, a.left, c.writing = true, eventloop.Clock(), nil
			n.l.Disarm(&c.rest)
			c.recent[c.at%len(c.recent)] = a.r.ID
			c.at++
			n.trace("written", a.r, zap.Int("try", a.n), zap.Int("fd", c.fd))
			c.open = append(c.open, a)
		}
		if len(c.pend) == 0 {
			if c.retired && len(c.open) == 0 { // what it was dialled for has been given up meanwhile
				c.close()
				return
			}
			n.l.Want(c.fd, eventloop.Read)
			return
		}
		a := c.pend[0]
		if r := a.r; r.c != nil && n.late() {
			r.c.heed()
			if c.closed || c.writing != nil || c.out.Len() > 0 || len(c.pend) == 0 || c.pend[0] != a {
				continue // what the client said has changed what there is to do here
			}
		}
		c.pend = slices.Delete(c.pend, 0, 1)
		if a.moot() {
			a.end(spool.Moot, spool.NoteNone, 0)
			continue
		}
		if len(c.open) == 0 {
			c.rested = 0
			if c.at > 0 {
				c.rested = n.l.Now() - c.used
			}
		}
		c.writing, c.used = a, n.l.Now()
		c.framed = eventloop.Clock()
		frame := a.frame(c.framed)
		c.size = len(frame)
		c.out.Add(&n.bufs, frame)
	}
}

// takeBack has an attempt of which the machine has taken nothing wait again: its frame is
// made anew, if it is to begin at all by then.
func (c *conn) takeBack() {
	if c.writing == nil || c.out.Len() < c.size {
		return
	}
	c.out.Drop(&c.p.n.bufs)
	c.pend = slices.Insert(c.pend, 0, c.writing)
	c.writing = nil
}

// frameSlack is how long after a frame was made its last byte may leave, in ms: the time
// that it names as left is too long by so much at most.
const frameSlack = 80

// restBy has the rest of a frame that was taken in part leave in time or not at all.
func (c *conn) restBy() {
	if l := c.p.n.l; c.writing != nil && !c.rest.Armed() {
		l.Arm(&c.rest, c.framed+frameSlack-l.Now())
	}
}

// stale gives up an attempt whose frame was taken in part, where the time that it names is
// too long by now. A part of it is there: the connection goes with it.
func (c *conn) stale() bool {
	a := c.writing
	if c.closed || a == nil || eventloop.Clock()-c.framed < frameSlack {
		return false
	}
	a.giveUp(spool.TimedOut)
	return true
}

// frame is the attempt as the member reads it.
func (a *attempt) frame(now float64) []byte {
	s, r := &a.send, a.r
	f := append([]byte("class="), r.Class...)
	f = append(append(f, ",key="...), r.Key...)
	f = strconv.AppendInt(append(f, ",part="...), int64(r.Part), 10)
	f = strconv.AppendInt(append(f, ",wait="...), int64(max(a.until-now, 1)), 10)
	if r.IdempotencyKey != "" {
		f = append(append(f, ",once="...), r.IdempotencyKey...)
	}
	if s.Source != "" && s.Source != s.Cache {
		f = append(append(f, ",miss="...), s.Source...)
	}
	if s.Keep > 0 {
		f = strconv.AppendInt(append(f, ",prio="...), int64(s.Keep), 10)
	}
	if s.Age > 0 { // never rounded to 0, which would mean the default
		f = strconv.AppendInt(append(f, ",within="...), int64(max(min(s.Age, math.MaxInt32), 1)), 10)
	}
	sep := ",f="
	for _, w := range []struct {
		on   bool
		word string
	}{{s.Join, "collapse"}, {s.Held, "only-if-cached"}, {s.Renew, "refresh"}} {
		if w.on {
			f = append(append(f, sep...), w.word...)
			sep = "+"
		}
	}
	if r.ClientTag != "" {
		f = append(append(f, ",mine="...), r.ClientTag...)
	}
	return resp.AppendArray(nil, []byte("REQ"), []byte(r.ID), f, r.Body)
}

// stop gives up an attempt that was written. A connection on which nothing came since is
// not trusted with another: its member may have vanished. Where the request is to be
// sent again, a word that may never arrive is not enough: what it had alone is closed,
// and so is what has been silent since.
func (c *conn) stop(a *attempt) {
	n := c.p.n
	if c.closed {
		return
	}
	silent, alone := c.heard <= a.left, len(c.open)+len(c.pend) == 0 && c.writing == nil
	if silent || c.writing != nil {
		c.retired = true
	}
	again := a.r.c != nil
	n.trace("stop", a.r, zap.Int("try", a.n), zap.Int("fd", c.fd), zap.Bool("silent", silent), zap.Bool("alone", alone))
	switch {
	case alone && (again || c.retired):
		c.close()
	case again && silent, c.writing != nil: // behind a part of another, the word would come late
		c.fail(spool.Cancelled)
	default:
		c.out.Add(&n.bufs, resp.AppendArray(nil, []byte("STOP"), []byte(a.r.ID)))
		c.flush()
	}
}

// read takes answers.
func (c *conn) read() {
	n := c.p.n
	room := n.scratch
	if c.in.Len() > 0 {
		room = c.in.Room()
	}
	k, err := n.l.Read(c.fd, room)
	if eventloop.Later(err) {
		return
	}
	if err != nil || k == 0 {
		c.fail(spool.Reset)
		return
	}
	c.heard, c.used = n.l.Now(), n.l.Now()
	data, own := room[:k], c.in.Len() > 0
	if own {
		c.in.Filled(k)
		data = c.in.Bytes()
	}
	used := 0
	for !c.closed {
		ans, size, want, err := resp.ReadAnswer(data[used:])
		if err != nil {
			n.stats.Malformed++
			n.log.Debug("answer", zap.String("member", c.p.id), zap.Error(err))
			c.spoil(nil)
			return
		}
		if size > 0 {
			c.answer(ans)
			used += size
			continue
		}
		rest := data[used:]
		if own {
			c.in.Take(&n.bufs, used)
		} else if len(rest) > 0 {
			c.in.Add(&n.bufs, rest)
		}
		if len(rest) > 0 {
			c.in.Grow(&n.bufs, max(want-len(rest), 1))
		}
		break
	}
	if !c.closed && c.retired && len(c.open)+len(c.pend) == 0 && c.writing == nil {
		c.close()
	}
}

var notes = map[string]spool.Note{"cached": spool.NoteHit, "fetched": spool.NoteFilled,
	"fetched_root": spool.NoteFilledByOrigin, "merged": spool.NoteJoined, "past_fresh": spool.NoteStale,
	"up_refused": spool.NoteSourceRefused, "up_lost": spool.NoteSourceUnreached, "up_empty": spool.NoteSourceLacks,
	"fills_full": spool.NoteNoPlace, "root_failed": spool.NoteOriginFailed}

var results = map[string]spool.Result{"HIT": spool.OK, "VALID": spool.OK, "NONE": spool.Miss, "SHED": spool.Full,
	"FAULT": spool.Errored, "LATE": spool.Moot}

// answer carries one answer to the module and, if it is the object, to the client.
func (c *conn) answer(ans resp.Answer) {
	n := c.p.n
	i := slices.IndexFunc(c.open, func(a *attempt) bool { return a.r.ID == string(ans.ID) })
	if i < 0 { // a second copy, or nobody's: what follows can be read all the same
		n.stats.Unmatched++
		return
	}
	a := c.open[i]
	result, known := results[string(ans.Word)]
	note, waited, entity, issued := spool.NoteNone, 0.0, false, false
	whole := resp.EachField(ans.Fields, func(name, value []byte) bool {
		switch string(name) {
		case "how":
			note = notes[string(value)]
		case "delay":
			waited, _ = strconv.ParseFloat(string(value), 64)
		case "entity":
			entity = len(value) > 0
		case "issued":
			_, err := strconv.ParseInt(string(value), 10, 64)
			issued = err == nil
		}
		return true
	})
	same := string(ans.Word) == "VALID"
	r := a.r
	if result == spool.Errored || result == spool.Moot {
		n.log.Debug("answer", zap.String("member", c.p.id), zap.ByteString("word", ans.Word),
			zap.ByteString("fields", ans.Fields), zap.Any("request", r.Request), zap.Any("send", a.send))
	}
	if !known || !whole || result == spool.OK && !r.write && (!entity || !issued) || same && (r.ClientTag == "" || len(ans.Body) > 0) {
		n.stats.Malformed++
		n.log.Debug("answer", zap.String("member", c.p.id), zap.ByteString("word", ans.Word), zap.ByteString("fields", ans.Fields))
		c.spoil(a)
		return
	}
	if result == spool.OK && r.c != nil {
		if n.stats.Served++; same {
			n.stats.NotModified++
		}
		client := r.c
		delete(client.open, r.seq)
		r.c = nil
		client.queue(n.codec.Served(r.seq, ans.Body, same))
		a.end(result, note, waited)
		client.flush()
		return
	}
	a.end(result, note, waited)
}

// spoil ends a connection on which an answer can't be used: that of a, or nil where it
// can't be told whose. It ran, and the member is alive. The others that share the
// connection are called off, since it is closed from here.
func (c *conn) spoil(a *attempt) {
	if a == nil && len(c.open) > 0 {
		a = c.open[0]
	}
	if a != nil {
		a.end(spool.Errored, spool.NoteNone, 0)
	}
	c.fail(spool.Cancelled)
}

// fail ends a connection that is of no use, and all that is open on it: what had been
// written whole ends with result, the rest cannot have run.
func (c *conn) fail(result spool.Result) {
	if c.closed {
		return
	}
	if result == spool.Reset {
		c.forgotten()
	}
	open, rest := slices.Clone(c.open), slices.Clone(c.pend)
	if c.writing != nil {
		rest = append(rest, c.writing)
	}
	c.open, c.pend, c.writing = nil, nil, nil
	c.close()
	for _, a := range open {
		a.c = nil
		a.end(result, spool.NoteNone, 0)
	}
	for _, a := range rest {
		a.c = nil
		a.end(spool.ConnectFailed, spool.NoteNone, 0)
	}
}

// forgotten looks at a connection that the member has ended. Where nothing came on it since
// it rested, the member may have forgotten it, and others that rested as long: these are
// closed, here and wherever what was out on it is sent next, so that no request spends its
// attempts on them.
func (c *conn) forgotten() {
	if c.rested < forgetsAfter || len(c.open) == 0 || c.heard > c.open[0].left {
		return
	}
	span := c.rested * likeRest
	for _, a := range c.open {
		if a.r.rested == 0 || span < a.r.rested {
			a.r.rested = span
		}
	}
	c.p.closeRested(span)
}

func (c *conn) close() {
	if c.closed {
		return
	}
	n := c.p.n
	c.closed = true
	n.l.Remove(c.fd)
	closeFD(c.fd)
	n.l.Forget(&c.timer)
	n.l.Forget(&c.rest)
	c.in.Drop(&n.bufs)
	c.out.Drop(&n.bufs)
	n.conns--
	c.p.conns = slices.DeleteFunc(c.p.conns, func(d *conn) bool { return d == c })
}
