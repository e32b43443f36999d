package httpfront

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/klauspost/compress/gzip"
	"github.com/pquerna/cachecontrol/cacheobject"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/esi"
	"indigospool/internal/protocol/http1"
	"indigospool/internal/proxy/limits"
)

// page is the answer to a request of a class of pages, on its way: the bytes of what a
// member answered, put together with fragments where the member says so
// (Surrogate-Control). What is fetched, given up and sent is internal/protocol/esi's to say; each
// fragment is a request of its own to the module.
type page struct {
	e       *Edge
	r       *request // the client's
	p       *esi.Page
	setup   esi.Setup
	parts   map[int]*request  // fragments that are out
	what    map[string]copyOf // fragments by their address, for purges
	timer   eventloop.Timer
	fields  []byte // of the template's head, that the client gets
	zipped  []byte // of a template that came compressed
	coding  coding
	trace   string // the client's X-Request-Id
	plain   bool   // nothing is put together: the answer goes on as it came
	asked   conditions
	status  int
	begun   bool // the head has gone out
	chunks  bool
	ended   bool // the template is whole
	dirty   bool
	gone    bool
	booked  int64
	left    int64 // of a length that was stated
	refused error // why the answer can't be a page
}

// copyOf is what the module knows a fragment as.
type copyOf struct {
	object string
	group  int
}

// conditions are what a client asks of the whole page, and not of what it is made of.
type conditions struct {
	head      bool
	match     string // If-None-Match
	since     int64  // If-Modified-Since, Unix seconds
	first     int64  // of a range; -1: the last bytes
	last      int64  // of a range; -1: to the end
	rng       bool
	ifRange   string
	gzip      bool // it takes that
	asksWhole bool
}

// coding is how content came.
type coding uint8

const (
	identity coding = iota
	gzipped
	unknownCoding
)

// pageClass is a class of pages; nil: it is none.
func (e *Edge) pageClass(class string) *config.Class {
	if i, ok := e.guard.classes[class]; ok && e.s.Classes[i].Pages {
		return &e.s.Classes[i]
	}
	return nil
}

// asPage has a request ask for a page: what the client wants of the whole is kept here,
// and members are asked for all of it.
func (r *request) asPage(h *http1.Head) {
	if r.q.Write || r.e.pageClass(r.q.Class) == nil {
		return
	}
	pg := &page{e: r.e, r: r, parts: map[int]*request{}, what: map[string]copyOf{}}
	pg.timer.F = pg.tick
	pg.asked = conditionsOf(h)
	pg.setup = setupOf(r.e.s)
	r.vars = &esi.Vars{Host: string(h.Host), Cookie: string(h.Get("cookie")), Language: string(h.Get("accept-language")),
		Agent: string(h.Get("user-agent")), Referer: string(h.Get("referer"))}
	if i := bytes.IndexByte(h.Path(), '?'); i >= 0 {
		r.vars.Query = string(h.Path()[i+1:])
	}
	r.target = string(h.Path())
	r.page, r.isHead = pg, false
	pg.trace = string(h.Get("x-request-id"))
	r.fwd = appendPageRequest(r.fwd[:0], r.e.name, r.target, r.vars.Host, pg.trace, -1)
}

func setupOf(s *config.Settings) esi.Setup {
	l := &s.Pages
	return esi.Setup{Parser: esi.Limits{Depth: l.Nesting, Tag: l.Tag, Held: l.HeldKB << 10, Nodes: l.Elements},
		Fragments: l.Fragments, Uses: l.Includes, Depth: l.Depth, Parallel: l.Parallel, Attempts: l.Attempts,
		Whole: int64(l.WholeKB) << 10, Piece: int64(l.PieceKB) << 10, Held: int64(l.HeldKB) << 10, Out: int64(l.MostMB) << 20,
		Reserve: l.Reserve, AsIs: l.Malformed == "as-is"}
}

// appendPageRequest writes the head by which members are asked for a page or a fragment:
// nothing of the client's but what the whole depends on by its address. Cookies stay
// here, where variables are filled in: a copy at a cache is everybody's.
func appendPageRequest(b []byte, name, target, host, trace string, id int) []byte {
	b = append(b, "GET "...)
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\n"...)
	if host == "" {
		host = name
	}
	b = http1.AppendFieldString(b, "Host", host)
	if trace != "" {
		if id >= 0 {
			trace += ".f" + strconv.Itoa(id)
		}
		b = http1.AppendFieldString(b, "X-Request-Id", trace)
	}
	b = http1.AppendFieldString(b, "Accept-Encoding", "gzip")
	b = http1.AppendFieldString(b, "Surrogate-Capability", name+`="ESI/1.0"`)
	return append(append(append(b, "Via: 1.1 "...), name...), "\r\n"...)
}

func conditionsOf(h *http1.Head) conditions {
	c := conditions{head: h.IsHead(), match: string(h.Get("if-none-match")), ifRange: string(h.Get("if-range"))}
	if v := h.Get("if-modified-since"); v != nil && c.match == "" {
		if t, err := http.ParseTime(string(v)); err == nil {
			c.since = t.Unix()
		}
	}
	if v := string(h.Get("range")); strings.HasPrefix(v, "bytes=") && !strings.Contains(v, ",") {
		from, to, ok := strings.Cut(v[len("bytes="):], "-")
		a, aerr := strconv.ParseUint(from, 10, 62)
		b, berr := strconv.ParseUint(to, 10, 62)
		switch {
		case !ok || aerr != nil && from != "" || berr != nil && to != "" || from == "" && to == "":
		case from == "":
			c.rng, c.first, c.last = true, -1, int64(b)
		case to == "":
			c.rng, c.first, c.last = true, int64(a), -1
		case a <= b:
			c.rng, c.first, c.last = true, int64(a), int64(b)
		}
	}
	for part := range strings.SplitSeq(joined(h, "accept-encoding"), ",") {
		word, q, _ := strings.Cut(part, ";")
		if word = strings.TrimSpace(word); strings.EqualFold(word, "gzip") || word == "*" {
			c.gzip = strings.Trim(strings.TrimPrefix(strings.ReplaceAll(q, " ", ""), "q=0"), ".0") != "" || !strings.Contains(q, "=")
		}
	}
	c.asksWhole = c.head || c.match != "" || c.since != 0 || c.rng
	return c
}

// ageOf is the age that a head states, in ms.
func ageOf(h *http1.Head) float64 {
	seconds, err := strconv.ParseFloat(string(h.Get("age")), 64)
	if err != nil || !(seconds >= 0) {
		return 0
	}
	return seconds * 1000
}

// expiresIn is for how long an answer is fresh by its field Expires, in ms; -1: it has none.
// Both times are the origin's where it gives them.
func expiresIn(h *http1.Head, clock time.Time) float64 {
	expires, err := http.ParseTime(string(h.Get("expires")))
	if err != nil {
		return -1
	}
	span := float64(expires.Sub(clock).Milliseconds())
	if made, err := http.ParseTime(string(h.Get("date"))); err == nil {
		span = float64(expires.Sub(made).Milliseconds()) - ageOf(h)
	}
	return max(span, 0)
}

// metaOf is what a head says of how long its answer may be kept. The clock is needed only for
// a head that says until when, and not when it was made (RFC 9111, section 4.2.1).
func metaOf(h *http1.Head, clock time.Time) (m esi.Meta, c coding) {
	m.Fresh = -1
	if cc, err := cacheobject.ParseResponseCacheControl(joined(h, "cache-control")); err == nil {
		if cc.MaxAge >= 0 {
			m.Fresh = max(float64(cc.MaxAge)*1000-ageOf(h), 0)
		}
		if cc.NoCachePresent {
			m.Fresh = 0
		}
		m.NoStore, m.Private = cc.NoStore, cc.PrivatePresent
	} else {
		m.Fresh = 0
	}
	if m.Fresh < 0 {
		m.Fresh = expiresIn(h, clock)
	}
	m.ETag = string(h.Get("etag"))
	if t, err := http.ParseTime(string(h.Get("last-modified"))); err == nil {
		m.Changed = t.Unix()
	}
	m.ESI = esiAsked(joined(h, "surrogate-control"))
	switch strings.ToLower(strings.TrimSpace(string(h.Get("content-encoding")))) {
	case "", "identity":
	case "gzip", "x-gzip":
		c = gzipped
	default:
		c = unknownCoding
	}
	return m, c
}

// joined is the values of a field, which may stand in several lines.
func joined(h *http1.Head, name string) string {
	out := ""
	for i := range h.Fields {
		if f := &h.Fields[i]; http1.EqualFold(f.Name, name) {
			if out != "" {
				out += ", "
			}
			out += string(f.Value)
		}
	}
	return out
}

// esiAsked reports whether a Surrogate-Control has its receiver process ESI/1.0 (Edge
// Architecture Specification 1.0, section 2.2: content="...", a list by spaces).
func esiAsked(v string) bool {
	for part := range strings.SplitSeq(v, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		value, _, _ = strings.Cut(value, ";")
		if strings.EqualFold(strings.TrimSpace(name), "content") {
			for word := range strings.FieldsSeq(strings.Trim(strings.TrimSpace(value), `"`)) {
				if word == "ESI/1.0" {
					return true
				}
			}
		}
	}
	return false
}

// pageFields reports fields of a template's head that don't hold for the whole.
func pageFields(name []byte) bool {
	switch strings.ToLower(string(name)) {
	case "content-length", "spool-load", "surrogate-control", "content-encoding":
		return true
	}
	return false
}

func plainFields(name []byte) bool {
	return theirs(name) || http1.EqualFold(name, "surrogate-control")
}

func madeAnew(name []byte) bool {
	switch strings.ToLower(string(name)) {
	case "etag", "last-modified", "cache-control", "expires", "age", "accept-ranges", "content-range", "content-md5", "digest", "content-digest", "repr-digest", "pragma", "spool-copy":
		return true
	}
	return pageFields(name)
}

// head has the head of the template's answer.
func (pg *page) head(u *upstream) {
	e, r, h := pg.e, pg.r, &u.head
	var m esi.Meta
	m, pg.coding = metaOf(h, e.date())
	pg.status = h.Status
	pg.plain = !m.ESI || h.Status != 200
	except := madeAnew
	if pg.plain {
		except = plainFields
		if pg.coding != gzipped || pg.asked.gzip { // as it came
			pg.coding = identity
		} else {
			except = pageFields
		}
		pg.left = -1
		if u.body.Kind() == http1.Length && pg.coding == identity {
			pg.left = h.ContentLength
		}
	} else if pg.coding == unknownCoding {
		pg.refused = fmt.Errorf("%w: it has a content coding other than gzip", esi.ErrMalformed)
	}
	pg.fields = append(appendEndToEnd(pg.fields[:0], h, except), "Via: 1.1 "+e.name+"\r\n"...)
	if pg.p == nil {
		var err error
		if pg.p, err = esi.NewPage(pg.setup, r.vars, r.target, e.l.Now(), r.q.Deadline); err != nil {
			pg.p, _ = esi.NewPage(pg.setup, r.vars, "/", e.l.Now(), r.q.Deadline)
		}
		e.pages[pg] = struct{}{}
	}
	m.ESI = !pg.plain
	pg.p.Head(m)
	pg.mark()
}

// mark has the page be looked at when the turn of the loop ends.
func (pg *page) mark() {
	if !pg.dirty && !pg.gone {
		pg.dirty = true
		pg.e.dirty = append(pg.e.dirty, pg)
	}
}

// pump moves the pages on that something has come for.
func (e *Edge) pump() {
	for rounds := 0; len(e.dirty) > 0 && rounds < 64; rounds++ {
		list := e.dirty
		e.dirty = nil
		for _, pg := range list {
			pg.dirty = false
			pg.step()
		}
	}
}

// content takes bytes of the template, or of a fragment's answer.
func (pg *page) content(r *request, b []byte) {
	now := pg.e.l.Now()
	v := r.c.part
	switch {
	case r == pg.r && pg.coding == gzipped:
		pg.zip(&pg.zipped, b, func() { pg.fail(fmt.Errorf("%w: the page, compressed", esi.ErrTooMuch)) })
	case r == pg.r:
		pg.p.Template(b, now)
	case v.coding == gzipped:
		pg.zip(&v.zipped, b, func() { pg.dropped(r, "it is too long, compressed") })
	default:
		pg.p.Body(v.id, b, now)
	}
	pg.mark()
}

func (pg *page) zip(to *[]byte, b []byte, tooMuch func()) {
	if len(*to)+len(b) > pg.e.s.Pages.PieceKB<<10 {
		tooMuch()
		return
	}
	*to = append(*to, b...)
}

// unzip is content that came compressed; it is bounded as any.
func (pg *page) unzip(b []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	most := int64(pg.e.s.Pages.PieceKB) << 10
	out, err := io.ReadAll(io.LimitReader(z, most+1))
	if err == nil && int64(len(out)) > most {
		err = fmt.Errorf("%w: more than %d KB", esi.ErrTooMuch, most>>10)
	}
	return out, err
}

// whole ends the template's answer, or a fragment's.
func (pg *page) whole(r *request) {
	now := pg.e.l.Now()
	if r == pg.r {
		pg.ended = true
		if pg.coding == gzipped {
			b, err := pg.unzip(pg.zipped)
			if pg.zipped = nil; err != nil {
				pg.fail(fmt.Errorf("%w: %w", esi.ErrMalformed, err))
				return
			}
			pg.p.Template(b, now)
		}
		pg.p.TemplateEnd(now)
		pg.mark()
		return
	}
	v := r.c.part
	if v.coding == gzipped {
		b, err := pg.unzip(v.zipped)
		if v.zipped = nil; err != nil {
			pg.p.Failed(v.id, err.Error(), now)
			delete(pg.parts, v.id)
			pg.mark()
			return
		}
		pg.p.Body(v.id, b, now)
	}
	pg.p.End(v.id, now)
	delete(pg.parts, v.id)
	pg.mark()
}

// part is a fragment of a page, as what asks for it.
type part struct {
	pg     *page
	id     int
	coding coding
	zipped []byte
	over   bool
}

// fetch asks the module for a fragment.
func (pg *page) fetch(a esi.Act) {
	e, real := pg.e, pg.r.c
	now := e.l.Now()
	v := &part{pg: pg, id: a.ID}
	c := &client{e: e, fd: -1, part: v, from: real.from, address: real.address, class: real.class}
	r := e.newRequest(c)
	r.at, r.minor = now, 1
	c.cur = r
	h := http1.Head{Method: []byte("GET"), Target: []byte(a.URL), Minor: 1, Host: []byte(pg.r.vars.Host)}
	q, err := e.core.Classify("", now, &h)
	cause := ""
	switch {
	case err != nil:
		cause = err.Error()
	case q.Write:
		cause = "it is no object that may be asked for"
	case len(e.reqs) >= e.s.Limits.Held:
		cause = endHeld.word()
	}
	if cause != "" {
		pg.p.Failed(a.ID, cause, now)
		pg.mark()
		return
	}
	q.Deadline = min(q.Deadline, a.Until)
	r.q = q
	r.fwd = appendPageRequest(r.fwd[:0], e.name, a.URL, pg.r.vars.Host, pg.trace, a.ID)
	pg.parts[a.ID] = r
	pg.what[a.URL] = copyOf{q.Object, q.Group}
	e.guard.mem.Add(limits.Requests, requestBytes)
	r.booked = requestBytes
	e.stats.Fragments++
	r.ask()
}

// head is the head of a fragment's answer; false: it won't do.
func (v *part) head(u *upstream) bool {
	m, c := metaOf(&u.head, v.pg.e.date())
	v.coding = c
	if u.head.Status != 200 || c == unknownCoding {
		return false
	}
	v.pg.p.Begun(v.id, m, v.pg.e.l.Now())
	v.pg.mark()
	return true
}

// failed is that there is no answer for a fragment.
func (v *part) failed(cause string) {
	if v.over {
		return
	}
	v.over = true
	delete(v.pg.parts, v.id)
	if !v.pg.gone {
		v.pg.p.Failed(v.id, cause, v.pg.e.l.Now())
		v.pg.mark()
	}
}

// cutPart ends a request for a fragment that nobody wants any more.
func cutPart(r *request) {
	if r.why == 0 {
		r.why = endPage
	}
	r.e.stats.Gone--
	r.clientGone()
}

// dropped gives a fragment up that is out.
func (pg *page) dropped(r *request, cause string) {
	r.c.part.failed(cause)
	cutPart(r)
}

// attempted counts an attempt for a fragment.
func (v *part) attempted() {
	if !v.pg.gone {
		v.pg.p.Attempt()
	}
}

func (pg *page) tick() {
	pg.p.Tick(pg.e.l.Now())
	pg.mark()
}

// step does what the page wants, and sends what is ready.
func (pg *page) step() {
	if pg.gone || pg.p == nil {
		return
	}
	e := pg.e
	var tick float64
	for range 16 {
		var acts []esi.Act
		if acts, tick = pg.p.Do(e.l.Now()); len(acts) == 0 {
			break
		}
		for _, a := range acts {
			switch a.Kind {
			case esi.Fetch:
				pg.fetch(a)
			case esi.Drop:
				if r := pg.parts[a.ID]; r != nil {
					r.c.part.over = true
					delete(pg.parts, a.ID)
					cutPart(r)
				}
			case esi.Restart:
				pg.restart()
				return
			}
		}
	}
	pg.p.Busy(pg.r.c.out.Len() > 0, e.l.Now())
	pg.send()
	if pg.gone {
		return
	}
	pg.p.Busy(pg.r.c.out.Len() > 0, e.l.Now())
	if n := pg.p.Held() + int64(len(pg.zipped)); n != pg.booked {
		e.guard.mem.Add(limits.Answers, n-pg.booked)
		pg.booked = n
	}
	if tick > 0 {
		e.l.Arm(&pg.timer, max(tick-e.l.Now(), 0.1))
	}
	if pg.p.Room(-1) && !pg.ended {
		pg.r.resume()
	}
	for id, r := range pg.parts {
		if pg.p.Room(id) {
			r.resume()
		}
	}
}

// atOnce is how much of a page is given to its client's connection at a time: what has
// gone there can't be called back by a purge.
const atOnce = 32 << 10

// send gives the client what is ready.
func (pg *page) send() {
	c := pg.r.c
	err := pg.p.Err()
	if err == nil {
		err = pg.refused
	}
	if err != nil {
		pg.fail(err)
		return
	}
	if !pg.begun && pg.asked.asksWhole && !pg.plain {
		if !pg.p.Ready() && pg.p.Held() < int64(pg.e.s.Pages.HeldKB)<<10 {
			return
		}
	}
	for !c.gone && !pg.gone && c.out.Len() == 0 {
		ready, meta := pg.p.Ready(), esi.Meta{}
		if !pg.begun && ready && !pg.plain {
			meta = pg.p.Meta()
		}
		room := atOnce
		if !pg.begun && ready && !pg.plain { // all of it, so that its length can be said
			room = pg.e.s.Pages.HeldKB << 10
		}
		b := pg.p.Take(nil, room, pg.e.l.Now())
		if err := pg.p.Err(); err != nil {
			pg.fail(err)
			return
		}
		done := pg.p.Done()
		if len(b) == 0 && !done && !(pg.plain && !pg.begun) {
			return
		}
		if !pg.begun {
			if b = pg.begin(b, done, ready, meta); pg.gone || c.gone {
				return
			}
		}
		if pg.asked.head {
			b = nil
		}
		pg.write(b)
		if done {
			pg.finish()
			return
		}
		if len(b) == 0 && !pg.asked.head {
			return
		}
	}
}

// begin writes the head of the client's answer, and returns what of b belongs behind it.
func (pg *page) begin(b []byte, done, ready bool, m esi.Meta) []byte {
	pg.begun = true
	r, c, e := pg.r, pg.r.c, pg.e
	status := pg.status
	length := int64(-1)
	var fields []byte
	switch {
	case pg.plain:
		length = pg.left
	default:
		if done {
			length = int64(len(b))
		}
		fields = http1.AppendFieldString(fields, "Cache-Control", cacheControl(m, ready))
		if ready && m.ETag != "" {
			fields = http1.AppendFieldString(fields, "ETag", m.ETag)
		}
		if ready && m.Changed > 0 {
			fields = http1.AppendFieldString(fields, "Last-Modified", time.Unix(m.Changed, 0).UTC().Format(http.TimeFormat))
		}
		switch {
		case done && pg.notChanged(m):
			status, length, b = 304, -1, nil
		case done && pg.asked.rng && (pg.asked.ifRange == ""): // weak tags don't do for If-Range
			from, to, ok := pg.asked.within(int64(len(b)))
			if !ok {
				fields = http1.AppendFieldString(fields, "Content-Range", fmt.Sprintf("bytes */%d", len(b)))
				status, length, b = 416, 0, nil
			} else {
				fields = http1.AppendFieldString(fields, "Content-Range", fmt.Sprintf("bytes %d-%d/%d", from, to, len(b)))
				status, length, b = 206, to-from+1, b[from:to+1]
			}
		}
	}
	r.status = status
	out := http1.AppendStatus(e.hbuf[:0], status)
	out = append(append(out, pg.fields...), fields...)
	switch {
	case length >= 0:
		out = http1.AppendFieldInt(out, "Content-Length", length)
	case status == 304 || status == 204:
	case r.minor == 0:
		c.last = true
	default:
		pg.chunks = !pg.asked.head
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	}
	out = c.appendConnection(out, r)
	e.hbuf = append(out, "\r\n"...)
	c.add(e.hbuf)
	return b
}

// cacheControl is what a client and caches in front may do with the whole.
func cacheControl(m esi.Meta, ready bool) string {
	out := ""
	if m.Private {
		out = "private, "
	}
	switch {
	case m.NoStore:
		return out + "no-store"
	case !ready || m.Fresh < 1000: // what it is made of is not known yet
		return out + "no-cache"
	}
	return out + "max-age=" + strconv.FormatInt(int64(m.Fresh/1000), 10)
}

// notChanged reports whether the client has the page already (RFC 9110, section 13.2.2).
func (pg *page) notChanged(m esi.Meta) bool {
	if pg.asked.match != "" {
		if m.ETag == "" {
			return false
		}
		for tag := range strings.SplitSeq(pg.asked.match, ",") {
			if tag = strings.TrimSpace(tag); tag == "*" || strings.TrimPrefix(tag, "W/") == strings.TrimPrefix(m.ETag, "W/") {
				return true
			}
		}
		return false
	}
	return pg.asked.since > 0 && m.Changed > 0 && m.Changed <= pg.asked.since
}

// within is the first and last byte of a range in so many; false: none are in it.
func (c *conditions) within(n int64) (from, to int64, ok bool) {
	switch {
	case c.first < 0:
		return max(n-c.last, 0), n - 1, n > 0 && c.last > 0
	case c.last < 0:
		return c.first, n - 1, c.first < n
	}
	return c.first, min(c.last, n-1), c.first < n
}

func (pg *page) write(b []byte) {
	c := pg.r.c
	if len(b) > 0 {
		pg.r.sent += int64(len(b))
		if pg.chunks {
			pg.e.hbuf = http1.AppendChunk(pg.e.hbuf[:0], b)
			c.add(pg.e.hbuf)
		} else {
			c.add(b)
		}
	}
	if c.out.Len() > 0 {
		c.flush()
	}
}

// finish ends a page that went out whole.
func (pg *page) finish() {
	r := pg.r
	if pg.chunks {
		r.c.add(lastChunk)
	}
	r.why = endServed
	r.e.stats.Served++
	pg.leave()
	r.finish()
}

// leave ends what is out for the page.
func (pg *page) leave() {
	if pg.gone {
		return
	}
	pg.gone = true
	e := pg.e
	e.l.Forget(&pg.timer)
	delete(e.pages, pg)
	e.guard.mem.Add(limits.Answers, -pg.booked)
	pg.booked = 0
	for id, r := range pg.parts {
		delete(pg.parts, id)
		r.c.part.over = true
		cutPart(r)
	}
	if w := pg.r.winner; w != nil && !w.done && w.r == pg.r {
		w.cut(spool.Cancelled)
	}
}

// fail ends a page that can't be made: by an answer that says so, or, where some of it
// has gone out, by the end of the connection, which shows that it is not whole.
func (pg *page) fail(err error) {
	if pg.gone {
		return
	}
	r, c, e := pg.r, pg.r.c, pg.e
	pg.leave()
	if c.gone || r.phase == over {
		return
	}
	e.log.Log.Info("a page is not made", zap.String("page", r.target), zap.String("why", err.Error()))
	if pg.begun {
		r.why = endBroken
		e.stats.Broken++
		c.last, c.linger = true, true
		if !pg.chunks {
			unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
			c.close()
		}
		r.finish()
		return
	}
	r.why = endPage
	e.stats.Failed++
	status := 502
	if errors.Is(err, esi.ErrLate) || e.l.Now() >= r.q.Deadline-2*e.s.Limits.TimerGrain {
		status = 504
	}
	c.answer(r, status, 0)
}

// restart asks for the page itself once more: it was purged before any of it went out.
func (pg *page) restart() {
	r, e := pg.r, pg.e
	if w := r.winner; w != nil && !w.done {
		w.cut(spool.Cancelled)
	}
	delete(e.reqs, r.id)
	pg.ended, pg.zipped = false, nil
	pg.what = map[string]copyOf{}
	next := e.newRequest(r.c)
	next.at, next.minor, next.q, next.vars, next.target, next.page = r.at, r.minor, r.q, r.vars, r.target, pg
	next.fwd = append(next.fwd[:0], r.fwd...)
	next.booked, r.booked = r.booked, 0
	next.poor, r.poor = r.poor, false
	r.page, r.known = nil, false
	r.phase = over
	pg.r, r.c.cur = next, next
	r.release()
	next.ask()
}

// purged tells pages what has become old. What has gone out already must be whole before
// the grace is over.
func (e *Edge) purged(p spool.Purge) {
	hit := func(object string, group int) bool {
		return object == p.Object || p.Object == "" && group == p.Group
	}
	until := e.l.Now() - p.Age + e.s.Rules.PurgeSlack - 2*e.s.Limits.TimerGrain
	for pg := range e.pages {
		pg.p.Purged(false, func(url string) bool { w, ok := pg.what[url]; return ok && hit(w.object, w.group) }, until, e.l.Now())
		if hit(pg.r.q.Object, pg.r.q.Group) && !pg.plain && pg.r.phase == relaying {
			pg.p.Purged(true, nil, until, e.l.Now())
		}
		pg.mark()
	}
}

var errTemplate = fmt.Errorf("%w: its own answer broke off", esi.ErrFragment)

// pageOf is the page that a request is for, as its template or a fragment.
func (r *request) pageOf() *page {
	if r.c.part != nil {
		return r.c.part.pg
	}
	return r.page
}

// holds reports whether no more is to be read for a request of the page's now.
func (pg *page) holds(r *request) bool {
	if r == pg.r {
		return !pg.p.Room(-1)
	}
	return !pg.p.Room(r.c.part.id)
}

// broke is that the answer of the template, or of a fragment, broke off.
func (pg *page) broke(r *request) {
	pg.e.stats.Broken--
	if r == pg.r {
		pg.fail(errTemplate)
		return
	}
	r.c.part.failed("its answer broke off")
	r.finish()
}

// pageHead has the answer's head go to a page: from now on the attempt is the client's.
func (u *upstream) pageHead() {
	r := u.t.r
	u.chunk, u.state = false, upBody
	if u.won(); u.t == nil {
		return
	}
	if v := r.c.part; v == nil {
		r.page.head(u)
	} else if !v.head(u) {
		v.failed("status " + strconv.Itoa(u.head.Status))
		cutPart(r)
		return
	}
	if u.t == nil {
		return
	}
	u.beginBody()
}
