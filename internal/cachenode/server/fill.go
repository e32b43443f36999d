package server

import (
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"indigospool/internal/cachenode/httpcache"
	"indigospool/internal/cachenode/store"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/protocol/http1"
)

// flight is a fill under way: its bytes go to the disk, and from there to all who wait.
// Without a disk they stay in memory until those who wait have them.
type flight struct {
	s        *Server
	v        *visit // who asked first
	key      string
	src      *source
	who      map[*visit]bool
	meta     store.Meta
	size     int64
	status   string // Cache-Status of what is behind
	ready    bool
	marker   bool // it is one of several variants
	keep     bool
	w        *store.Writer
	since    uint64        // the last purge when it began
	asked    int64         // when that was, as Server.now
	starting bool          // a thread makes room for it
	doomed   *store.Writer // to be given up once the thread is done with it
	file     *store.CachedObject
	written  int64  // that can be read from the file
	queue    []byte // that waits for the disk
	writing  bool
	mem      []byte // without a disk: from memAt on
	memAt    int64
	dropped  bool // of mem, its beginning
	got      int64
	whole    bool
	over     bool
}

// fill begins a fill for a visit.
func (s *Server) fill(v *visit) {
	address := v.a.SourceAddress
	if address == "" {
		address = s.f.Upstream
	}
	switch {
	case v.behind && (address == "" || s.filling >= s.f.MaxFills):
		go v.old.Close()
		return
	case address == "":
		v.refuse(503, fetchheader.CacheStatus{Fwd: "miss", Detail: fetchheader.SourceUnreached})
		return
	case s.filling >= s.f.MaxFills:
		v.refuse(503, fetchheader.CacheStatus{Fwd: "miss"})
		return
	}
	s.stats.Fills++
	s.filling++
	fl := &flight{s: s, v: v, key: v.key, who: map[*visit]bool{}, since: s.st.LastPurge(), asked: s.now()}
	if present := s.flights[v.key]; present == nil || present.overtaken() {
		s.flights[v.key] = fl
	}
	if !v.behind {
		fl.add(v)
	}
	sub := v.a
	sub.Via, sub.Source, sub.SourceAddress, sub.Held = s.f.Name, "", "", false
	sub.MayFetch = !v.a.Held
	b := []byte("GET " + v.target + " HTTP/1.1\r\n")
	host := v.fields.Get("host")
	if host == "" {
		host = address
	}
	b = http1.AppendFieldString(b, "Host", host)
	b = append(b, fetchheader.FillField+": "...)
	b = append(sub.Append(b), "\r\n"...)
	for _, name := range []string{"X-Request-Id", "Range", "Accept-Encoding", "Surrogate-Capability"} {
		if val := v.fields.Get(name); val != "" {
			b = http1.AppendFieldString(b, name, val)
		}
	}
	if v.a.Held {
		b = http1.AppendFieldString(b, "Cache-Control", "only-if-cached")
	}
	if v.old != nil && !v.whole {
		for name, val := range httpcache.Conditions(s.answerOf(v.old)) {
			b = http1.AppendFieldString(b, name, val[0])
		}
	}
	b = append(b, "\r\n"...)
	fl.src = s.source(address, b, fl)
}

// joinable reports whether one more can have all of it, and no purge stands between.
func (fl *flight) joinable() bool {
	return !fl.over && !fl.dropped && (!fl.ready || fl.keep) && !fl.overtaken()
}

// overtaken reports whether a purge may void what the fill brings: one was made since it
// began. Before the answer's head its version and tags are not known, nor whether it does.
func (fl *flight) overtaken() bool {
	switch {
	case fl.since == fl.s.st.LastPurge():
		return false
	case !fl.ready:
		return true
	}
	void, known := fl.s.st.TryPurged(fl.since, &fl.meta)
	return void || !known
}

func (fl *flight) add(v *visit) {
	fl.who[v] = true
	v.fl = fl
	if fl.ready {
		fl.tell(v)
	}
}

// tell begins the answer of one who waits.
func (fl *flight) tell(v *visit) {
	if v.joined && v.a.Age > 0 && float64(fl.s.now()-fl.meta.Born) > v.a.Age {
		fl.leave(v) // what the fill brings is too old for this one
		v.joined = false
		fl.s.fill(v)
		return
	}
	v.size = fl.size
	status := fetchheader.CacheStatus{Cache: fl.s.f.Name, Fwd: "miss", Stored: fl.keep, Collapsed: v.joined}.String()
	if fl.status != "" {
		status = fl.status + ", " + status
	}
	v.begin(&fl.meta, fl.size, status)
}

// leave is that one does not wait any more.
func (fl *flight) leave(v *visit) {
	delete(fl.who, v)
	v.fl = nil
	if len(fl.who) == 0 && !fl.whole && !(fl.s.f.CompleteAbandonedFills && fl.keep) {
		fl.fail(503, "")
	}
	fl.settle()
}

// head has the head of the source's answer; false: it ends the fill.
func (fl *flight) head(h *http1.Head) bool {
	s := fl.s
	fl.status = joinFields(h, fetchheader.StatusField)
	switch {
	case h.Status == 304 && fl.v.old != nil && !fl.v.whole:
		fl.renew(h)
		return false
	case h.Status == 504 && fl.v.a.Held:
		fl.fail(503, fetchheader.SourceLacks)
		return false
	case h.Status == 503 && (strings.Contains(fl.status, fetchheader.SourceUnreached) || strings.Contains(fl.status, fetchheader.OriginFailed)):
		fl.fail(503, fetchheader.OriginFailed)
		return false
	case h.Status == 503:
		fl.fail(503, fetchheader.SourceRefused)
		return false
	case h.Status != 200 && h.Status != 206 || h.Body != http1.Length:
		fl.fail(502, fetchheader.SourceRefused)
		return false
	}
	fl.size = h.ContentLength
	a := &fl.v.a
	ver, _ := fetchheader.ParseCopyVersion(string(h.Get("spool-copy")))
	fl.meta = store.Meta{Key: fl.key, Object: a.Object, Group: int32(a.Group), Version: ver.Number, Born: s.now() - int64(ver.Age), Rank: a.Keep, Fields: map[string]string{}}
	for i := range h.Fields {
		name := strings.ToLower(string(h.Fields[i].Name))
		switch name {
		case "content-type", "etag", "last-modified", "cache-control", "surrogate-control", "vary", "content-encoding", "content-range", "cache-tag":
			fl.meta.Fields[canonical[name]] = string(h.Fields[i].Value)
			if name == "cache-tag" {
				for tag := range strings.SplitSeq(string(h.Fields[i].Value), ",") {
					fl.meta.Tags = append(fl.meta.Tags, strings.TrimSpace(tag))
				}
			}
		}
	}
	fl.keep = fl.v.storable(h)
	fl.meta.Fresh = lifetime(fl.s.answerOf(&store.CachedObject{Meta: fl.meta}))
	if varies(fl.meta.Fields["Vary"]) && !strings.Contains(fl.key, "\x00") {
		mine := fl.v.variant()
		fl.meta.Key += mine
		fl.marker = fl.keep
		for v := range fl.who { // who accepts something else asks for it
			if other := v.variant(); other != mine {
				fl.leave(v)
				v.key, v.joined = v.key+other, false
				v.look()
			}
		}
		if fl.over {
			return false
		}
	}
	fl.ready = true
	if fl.keep {
		fl.starting = s.disk.Submit(func() {
			w, err := s.st.BeginSince(fl.since, fl.meta, fl.size)
			var c *store.CachedObject
			if err == nil {
				c = w.Reader()
			}
			s.post(func() { fl.started(w, c) })
		})
		fl.keep = fl.starting
	}
	for v := range fl.who {
		fl.tell(v)
	}
	return !fl.over
}

var canonical = map[string]string{"content-type": "Content-Type", "etag": "ETag", "last-modified": "Last-Modified", "cache-control": "Cache-Control",
	"surrogate-control": "Surrogate-Control", "vary": "Vary", "content-encoding": "Content-Encoding", "content-range": "Content-Range", "cache-tag": "Cache-Tag"}

func joinFields(h *http1.Head, name string) string {
	out := ""
	for i := range h.Fields {
		if strings.EqualFold(string(h.Fields[i].Name), name) {
			if out != "" {
				out += ", "
			}
			out += string(h.Fields[i].Value)
		}
	}
	return out
}

// renew is that the source has found the old copy still good: all who wait look again.
func (fl *flight) renew(h *http1.Head) {
	s, old := fl.s, fl.v.old
	fl.v.old = nil
	ver, err := fetchheader.ParseCopyVersion(string(h.Get("spool-copy")))
	if err != nil || old.Version != 0 && ver.Number < old.Version {
		ver.Age = 0
		if n, err := strconv.ParseInt(string(h.Get("age")), 10, 31); err == nil {
			ver.Age = float64(n) * 1000
		}
	}
	born := fl.asked - int64(ver.Age) // what it took is part of its age
	who := make([]*visit, 0, len(fl.who))
	for v := range fl.who {
		who = append(who, v)
		delete(fl.who, v)
		v.fl, v.joined = nil, false
	}
	fl.src = nil
	fl.forget()
	again := func(ok bool) {
		if ok {
			s.stats.Renewed++
		}
		for _, v := range who {
			if v.whole = true; !v.over { // once: what it says may be too old for this one all the same
				v.look()
			}
		}
	}
	if !s.disk.Submit(func() {
		ok, err := old.Renew(born)
		old.Close()
		s.post(func() { again(ok && err == nil) })
	}) {
		go old.Close()
		again(false)
	}
}

// started has room on disk for the fill, or none.
func (fl *flight) started(w *store.Writer, c *store.CachedObject) {
	fl.starting = false
	switch {
	case w == nil:
		fl.keep = false
		fl.mem, fl.queue = fl.queue, nil
	case fl.over:
		go func() { c.Close(); w.Abort() }()
		return
	default:
		fl.w, fl.file = w, c
		fl.write()
	}
	fl.wake()
	fl.settle()
}

// body takes the next bytes.
func (fl *flight) body(b []byte) {
	fl.got += int64(len(b))
	if fl.w != nil || fl.starting {
		fl.queue = append(fl.queue, b...)
		fl.write()
		return
	}
	fl.mem = append(fl.mem, b...)
	fl.wake()
}

// write has a thread write what waits.
func (fl *flight) write() {
	if fl.writing || fl.w == nil || len(fl.queue) == 0 {
		return
	}
	b, w := fl.queue, fl.w
	fl.queue = nil
	fl.writing = true
	if !fl.s.disk.Submit(func() {
		_, err := w.Write(b)
		fl.s.post(func() { fl.wrote(b, err) })
	}) {
		fl.wrote(b, store.ErrClosed)
	}
}

func (fl *flight) wrote(b []byte, err error) {
	fl.writing = false
	if w := fl.doomed; w != nil {
		fl.doomed = nil
		go w.Abort()
		fl.settle()
		return
	}
	if err != nil { // on without the disk: what it has not taken stays in memory
		fl.s.stats.WithoutDisk++
		if fl.w != nil {
			go fl.w.Abort()
		}
		fl.w, fl.keep = nil, false
		fl.memAt = fl.written
		fl.mem = append(append([]byte(nil), b...), fl.queue...)
		fl.queue = nil
	} else {
		fl.written += int64(len(b))
		fl.write()
	}
	fl.wake()
	fl.settle()
}

// wake has all who wait look for more.
func (fl *flight) wake() {
	for v := range fl.who {
		v.more()
	}
	if fl.src != nil {
		fl.src.pause(len(fl.queue)+len(fl.mem) > fl.s.f.MaxBufferedBytes)
	}
}

// feed gives one who waits the next bytes.
func (fl *flight) feed(v *visit) {
	switch {
	case v.off < fl.written:
		v.read(fl.file, min(fl.written-v.off, step))
	case fl.w == nil && !fl.starting && v.off >= fl.memAt && v.off < fl.memAt+int64(len(fl.mem)):
		b := fl.mem[v.off-fl.memAt:]
		b = b[:min(len(b), step)]
		v.off += int64(len(b))
		v.c.out = append(v.c.out, b...)
		fl.trim()
		v.c.flush()
	}
}

// trim drops of memory what all who wait have.
func (fl *flight) trim() {
	least := fl.memAt + int64(len(fl.mem))
	for v := range fl.who {
		least = min(least, v.off)
	}
	if n := least - fl.memAt; n > 0 {
		fl.mem, fl.memAt, fl.dropped = append([]byte(nil), fl.mem[n:]...), least, true
	}
	if fl.src != nil {
		fl.src.pause(len(fl.queue)+len(fl.mem) > fl.s.f.MaxBufferedBytes)
	}
}

// end is that the source's answer is whole.
func (fl *flight) end() {
	fl.whole, fl.src = true, nil
	fl.settle()
}

// settle keeps a copy that is whole, and forgets the flight once nobody needs it.
func (fl *flight) settle() {
	if fl.whole && fl.w != nil && !fl.writing && len(fl.queue) == 0 {
		w := fl.w
		fl.w = nil
		s := fl.s
		commit := func() {
			ok, err := w.Commit()
			if ok && fl.marker {
				s.mark(fl.key, fl.meta, fl.since)
			}
			if err == nil {
				s.st.Compact(256 << 10)
			}
			s.post(func() {
				if ok {
					s.stats.Kept++
				}
				fl.forget()
			})
		}
		if !s.disk.Submit(commit) {
			go w.Abort()
			fl.forget()
		}
		return
	}
	if fl.whole && fl.w == nil && !fl.starting && !fl.keep {
		fl.forget()
	}
	if fl.over && len(fl.who) == 0 && fl.file != nil && !fl.writing {
		go fl.file.Close()
		fl.file = nil
	}
}

// mark keeps the word, on a thread, that a key has variants.
func (s *Server) mark(key string, of store.Meta, since uint64) {
	of.Key, of.Fields, of.Fresh = key, map[string]string{variants: of.Fields["Vary"]}, 0
	if w, err := s.st.BeginSince(since, of, 0); err == nil {
		w.Commit()
	}
}

// forget ends the flight for those who come; those who wait still read from it.
func (fl *flight) forget() {
	if fl.over {
		return
	}
	fl.over = true
	if v := fl.v; v.behind && v.old != nil {
		go v.old.Close()
		v.old = nil
	}
	fl.s.filling--
	if fl.s.flights[fl.key] == fl {
		delete(fl.s.flights, fl.key)
	}
	fl.settle()
}

// fail ends the flight without a whole answer.
func (fl *flight) fail(status int, detail string) {
	if fl.over {
		return
	}
	if fl.src != nil {
		src := fl.src
		fl.src = nil
		src.close()
	}
	if fl.w != nil {
		if fl.writing {
			fl.doomed = fl.w
		} else {
			go fl.w.Abort()
		}
		fl.w = nil
	}
	fl.forget()
	for v := range fl.who {
		delete(fl.who, v)
		v.fl = nil
		switch old := v.old; {
		case v.begun:
			v.c.close() // it is seen by the length
		case old != nil && !old.PurgesUnknown && !fl.s.ageUnknown(old) && v.a.Age <= 0 && httpcache.OnError(float64(fl.s.now()), fl.s.answerOf(old), 0):
			v.old = nil
			fl.s.stats.Stale++
			v.serve(old, fetchheader.CacheStatus{Hit: true, Detail: detail})
		default:
			v.refuse(status, fetchheader.CacheStatus{Fwd: "miss", Detail: detail})
		}
	}
	fl.settle()
}

// taker is what a source's answer goes to.
type taker interface {
	head(h *http1.Head) bool
	body(b []byte)
	end()
	fail(status int, detail string)
}

// source is a connection to a source.
type source struct {
	s       *Server
	address string
	fd      int
	to      taker
	out     []byte
	left    []byte
	headed  bool
	used    bool // an answer came on it before
	connect bool
	sent    bool             // some of the request has left
	lacked  bool             // something lacks here for what is to be done
	until   eventloop.Millis // time to connect
	paused  bool
	h       http1.Head
	b       http1.Body
	timer   eventloop.Timer
}

// source sends a request on a kept connection, or a new one.
func (s *Server) source(address string, request []byte, to taker) *source {
	for list := s.spare[address]; len(list) > 0; list = s.spare[address] {
		src := list[len(list)-1]
		s.spare[address] = list[:len(list)-1]
		if !eventloop.Idle(src.fd) {
			src.close()
			continue
		}
		src.to, src.out, src.headed, src.left = to, request, false, nil
		src.sent, src.lacked = false, false
		s.l.Arm(&src.timer, s.f.FillTimeout)
		src.flush()
		return src
	}
	src := &source{s: s, address: address, fd: -1, to: to, out: request}
	src.timer.F, src.until = src.late, s.l.Now()+s.f.ConnectTimeout
	src.begin()
	return src
}

// dialPause is how long, in ms, a connection waits that cannot be begun for want of something
// on this machine.
const dialPause = 20

// begin begins to connect. That it cannot be done is told later, as for any connection; what
// lacks here is no word about the source, and it is tried again.
func (src *source) begin() {
	l := src.s.l
	fd, _, err := l.Dial(src.address)
	if err == nil {
		if err = l.Add(fd, eventloop.Write, src); err != nil {
			unix.Close(fd)
		}
	}
	switch {
	case err == nil:
		src.fd, src.connect, src.lacked = fd, true, false
		l.Arm(&src.timer, src.until-l.Now())
	case eventloop.IsLocalShortage(err):
		src.lacked = true
		l.Arm(&src.timer, dialPause)
	default:
		src.until = l.Now()
		l.Arm(&src.timer, 0)
	}
}

func (src *source) late() {
	switch {
	case src.to == nil:
		src.close()
	case src.fd < 0 && src.s.l.Now() < src.until:
		src.begin()
	default:
		src.broke()
	}
}

// broke ends the connection, and what waits for its answer.
func (src *source) broke() {
	detail := fetchheader.SourceUnreached
	if src.lacked && !src.sent { // nothing was asked of the source
		detail = fetchheader.NoPlace
	}
	to := src.to
	src.to = nil
	src.close()
	if to != nil {
		if fl, ok := to.(*flight); ok {
			fl.src = nil
		}
		to.fail(503, detail)
	}
}

func (src *source) close() {
	src.to = nil
	src.s.l.Forget(&src.timer)
	if src.fd < 0 {
		return
	}
	src.s.l.Remove(src.fd)
	unix.Close(src.fd)
	src.fd = -1
	list := src.s.spare[src.address]
	for i, x := range list {
		if x == src {
			src.s.spare[src.address] = append(list[:i], list[i+1:]...)
			break
		}
	}
}

// pause stops reading while too much waits here.
func (src *source) pause(on bool) {
	if on == src.paused || src.fd < 0 {
		return
	}
	src.paused = on
	if on {
		src.s.l.Disarm(&src.timer)
		src.s.l.Want(src.fd, 0)
		return
	}
	src.s.l.Arm(&src.timer, src.s.f.FillTimeout)
	src.s.l.Want(src.fd, eventloop.Read)
}

func (src *source) flush() {
	for len(src.out) > 0 {
		n, err := src.s.l.Write(src.fd, src.out)
		if eventloop.Retryable(err) {
			src.lacked = src.lacked || !eventloop.NotReady(err)
			src.s.l.Want(src.fd, eventloop.Read|eventloop.Write)
			return
		}
		if err != nil {
			src.broke()
			return
		}
		src.out, src.sent = src.out[n:], true
		src.s.l.Arm(&src.timer, src.s.f.FillTimeout) // the source has had nothing to answer before
	}
	src.s.l.Want(src.fd, eventloop.Read)
}

func (src *source) OnReady(r eventloop.Ready) {
	if src.connect {
		if !r.Writable() {
			return
		}
		if soerr, err := unix.GetsockoptInt(src.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || soerr != 0 {
			src.broke()
			return
		}
		src.connect = false
		src.s.l.Arm(&src.timer, src.s.f.FillTimeout)
		src.flush()
		return
	}
	if r.Writable() && len(src.out) > 0 {
		if src.flush(); src.fd < 0 {
			return
		}
	}
	if !r.Readable() || src.paused {
		return
	}
	k := copy(src.s.buf, src.left)
	n, err := src.s.l.Read(src.fd, src.s.buf[k:])
	if eventloop.Retryable(err) {
		if r.Hangup() && eventloop.NotReady(err) {
			src.broke()
		}
		return
	}
	if err != nil || n == 0 || src.to == nil { // unasked bytes on a kept one, too
		src.broke()
		return
	}
	src.s.stats.In += int64(n)
	src.s.l.Arm(&src.timer, src.s.f.FillTimeout)
	src.take(src.s.buf[:k+n])
}

func (src *source) take(data []byte) {
	for !src.headed {
		n, err := http1.ParseResponse(data, &src.h, http1.Limits{}, false)
		if err != nil {
			src.broke()
			return
		}
		if n == 0 {
			src.left = append(src.left[:0:0], data...)
			return
		}
		data = data[n:]
		src.left = nil
		if src.h.Status < 200 {
			continue
		}
		src.headed = true
		src.b.Start(&src.h, 0)
		keep := src.h.Close
		if !src.to.head(&src.h) {
			src.close()
			return
		}
		src.used = !keep
	}
	for !src.b.Done() && len(data) > 0 {
		n, content, err := src.b.Next(data)
		if err != nil {
			src.broke()
			return
		}
		if data = data[n:]; len(content) > 0 && src.to != nil {
			src.to.body(content)
		}
		if src.to == nil || src.fd < 0 {
			return
		}
		if n == 0 {
			break
		}
	}
	if !src.b.Done() {
		src.left = append(src.left[:0:0], data...)
		return
	}
	to := src.to
	src.to = nil
	if len(data) > 0 || src.h.Close || src.b.Kind() == http1.UntilClose {
		src.close()
	} else {
		src.s.l.Arm(&src.timer, 5000)
		src.s.spare[src.address] = append(src.s.spare[src.address], src)
	}
	to.end()
}

// passing is a write on its way to the origin: nothing of it is kept.
type passing struct {
	v      *visit
	status int
	b      []byte
}

// pass takes a write to the source that the attempt names.
func (s *Server) pass(v *visit) {
	address := v.a.SourceAddress
	if address == "" {
		address = s.f.Upstream
	}
	if address == "" || v.plain {
		v.refuse(504, fetchheader.CacheStatus{Fwd: "bypass"})
		return
	}
	sub := v.a
	sub.Via, sub.Source, sub.SourceAddress = s.f.Name, "", ""
	b := []byte(v.method + " " + v.target + " HTTP/1.1\r\n")
	b = http1.AppendFieldString(b, "Host", address)
	b = append(b, fetchheader.FillField+": "...)
	b = append(sub.Append(b), "\r\n"...)
	for _, name := range []string{"X-Request-Id", fetchheader.IdempotencyKeyField, "Content-Type"} {
		if val := v.fields.Get(name); val != "" {
			b = http1.AppendFieldString(b, name, val)
		}
	}
	b = http1.AppendFieldInt(b, "Content-Length", int64(len(v.content)))
	s.source(address, append(append(b, "\r\n"...), v.content...), &passing{v: v})
}

func (p *passing) head(h *http1.Head) bool {
	p.status = h.Status
	return true
}

func (p *passing) body(b []byte) {
	if len(p.b)+len(b) <= 1<<20 {
		p.b = append(p.b, b...)
	}
}

func (p *passing) end() {
	if p.v.over {
		return
	}
	p.v.seen("sent", p.status, 0, 0, false)
	b := http1.AppendStatus(nil, p.status)
	b = http1.AppendFieldString(b, fetchheader.StatusField, fetchheader.CacheStatus{Cache: p.v.s.f.Name, Fwd: "bypass"}.String())
	b = http1.AppendFieldString(b, fetchheader.LoadField, p.v.s.load())
	b = http1.AppendFieldInt(b, "Content-Length", int64(len(p.b)))
	p.v.c.out = append(append(append(p.v.c.out, b...), "\r\n"...), p.b...)
	p.v.c.done()
}

func (p *passing) fail(_ int, detail string) {
	status := 502
	if detail == fetchheader.NoPlace { // nothing was run
		status = 503
	}
	if !p.v.over {
		p.v.refuse(status, fetchheader.CacheStatus{Fwd: "bypass", Detail: detail})
	}
}
