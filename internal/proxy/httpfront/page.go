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

// esiPage is the answer to a request of a class of pages, on its way: the bytes of what a
// member answered, put together with fragments where the member says so
// (Surrogate-Control). What is fetched, given up and sent is internal/protocol/esi's to say; each
// fragment is a request of its own to the module.
type esiPage struct {
	edge            *Edge
	request         *clientRequest // the client's
	assembly        *esi.Page
	esiSetup        esi.Setup
	fragments       map[int]*clientRequest    // fragments that are out
	fragmentObjects map[string]fragmentObject // fragments by their address, for purges
	timer           eventloop.Timer
	headFields      []byte // of the template's head, that the client gets
	compressed      []byte // of a template that came compressed
	coding          coding
	requestID       string // the client's X-Request-Id
	unprocessed     bool   // nothing is put together: the answer goes on as it came
	conditions      conditions
	status          int
	headSent        bool // the head has gone out
	chunked         bool
	templateDone    bool // the template is whole
	changed         bool
	closed          bool
	accounted       int64
	contentLength   int64 // of a length that was stated
	rejectErr       error // why the answer can't be a page
}

// fragmentObject is what the module knows a fragment as.
type fragmentObject struct {
	object string
	group  int
}

// conditions are what a client asks of the whole page, and not of what it is made of.
type conditions struct {
	head            bool
	ifNoneMatch     string // If-None-Match
	ifModifiedSince int64  // If-Modified-Since, Unix seconds
	first           int64  // of a range; -1: the last bytes
	last            int64  // of a range; -1: to the end
	hasRange        bool
	ifRange         string
	acceptsGzip     bool // it takes that
	needWhole       bool
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
	if i, ok := e.guard.classIndex[class]; ok && e.settings.Classes[i].Pages {
		return &e.settings.Classes[i]
	}
	return nil
}

// startPage has a request ask for a page: what the client wants of the whole is kept here,
// and members are asked for all of it.
func (r *clientRequest) startPage(head *http1.Head) {
	if r.spec.Write || r.edge.pageClass(r.spec.Class) == nil {
		return
	}
	page := &esiPage{edge: r.edge, request: r, fragments: map[int]*clientRequest{}, fragmentObjects: map[string]fragmentObject{}}
	page.timer.F = page.onTimer
	page.conditions = parseConditions(head)
	page.esiSetup = esiSetupOf(r.edge.settings)
	r.esiVars = &esi.Vars{Host: string(head.Host), Cookie: string(head.Get("cookie")), Language: string(head.Get("accept-language")),
		Agent: string(head.Get("user-agent")), Referer: string(head.Get("referer"))}
	if i := bytes.IndexByte(head.Path(), '?'); i >= 0 {
		r.esiVars.Query = string(head.Path()[i+1:])
	}
	r.target = string(head.Path())
	r.page, r.isHead = page, false
	page.requestID = string(head.Get("x-request-id"))
	r.forwardHead = appendPageRequest(r.forwardHead[:0], r.edge.name, r.target, r.esiVars.Host, page.requestID, -1)
}

func esiSetupOf(settings *config.Settings) esi.Setup {
	pages := &settings.Pages
	return esi.Setup{Parser: esi.Limits{Depth: pages.Nesting, Tag: pages.Tag, Held: pages.HeldKB << 10, Nodes: pages.Elements},
		Fragments: pages.Fragments, Uses: pages.Includes, Depth: pages.Depth, Parallel: pages.Parallel, Attempts: pages.Attempts,
		Whole: int64(pages.WholeKB) << 10, Piece: int64(pages.PieceKB) << 10, Held: int64(pages.HeldKB) << 10, Out: int64(pages.MostMB) << 20,
		Reserve: pages.Reserve, AsIs: pages.Malformed == "as-is"}
}

// appendPageRequest writes the head by which members are asked for a page or a fragment:
// nothing of the client's but what the whole depends on by its address. Cookies stay
// here, where variables are filled in: a copy at a cache is everybody's.
func appendPageRequest(b []byte, name, target, host, requestID string, fragment int) []byte {
	b = append(b, "GET "...)
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\n"...)
	if host == "" {
		host = name
	}
	b = http1.AppendFieldString(b, "Host", host)
	if requestID != "" {
		if fragment >= 0 {
			requestID += ".f" + strconv.Itoa(fragment)
		}
		b = http1.AppendFieldString(b, "X-Request-Id", requestID)
	}
	b = http1.AppendFieldString(b, "Accept-Encoding", "gzip")
	b = http1.AppendFieldString(b, "Surrogate-Capability", name+`="ESI/1.0"`)
	return append(append(append(b, "Via: 1.1 "...), name...), "\r\n"...)
}

func parseConditions(head *http1.Head) conditions {
	parsed := conditions{head: head.IsHead(), ifNoneMatch: string(head.Get("if-none-match")), ifRange: string(head.Get("if-range"))}
	if value := head.Get("if-modified-since"); value != nil && parsed.ifNoneMatch == "" {
		if t, err := http.ParseTime(string(value)); err == nil {
			parsed.ifModifiedSince = t.Unix()
		}
	}
	if value := string(head.Get("range")); strings.HasPrefix(value, "bytes=") && !strings.Contains(value, ",") {
		firstText, lastText, ok := strings.Cut(value[len("bytes="):], "-")
		first, firstErr := strconv.ParseUint(firstText, 10, 62)
		last, lastErr := strconv.ParseUint(lastText, 10, 62)
		switch {
		case !ok || firstErr != nil && firstText != "" || lastErr != nil && lastText != "" || firstText == "" && lastText == "":
		case firstText == "":
			parsed.hasRange, parsed.first, parsed.last = true, -1, int64(last)
		case lastText == "":
			parsed.hasRange, parsed.first, parsed.last = true, int64(first), -1
		case first <= last:
			parsed.hasRange, parsed.first, parsed.last = true, int64(first), int64(last)
		}
	}
	for part := range strings.SplitSeq(joinedValues(head, "accept-encoding"), ",") {
		word, q, _ := strings.Cut(part, ";")
		if word = strings.TrimSpace(word); strings.EqualFold(word, "gzip") || word == "*" {
			parsed.acceptsGzip = strings.Trim(strings.TrimPrefix(strings.ReplaceAll(q, " ", ""), "q=0"), ".0") != "" || !strings.Contains(q, "=")
		}
	}
	parsed.needWhole = parsed.head || parsed.ifNoneMatch != "" || parsed.ifModifiedSince != 0 || parsed.hasRange
	return parsed
}

// headAge is the age that a head states, in ms.
func headAge(head *http1.Head) float64 {
	seconds, err := strconv.ParseFloat(string(head.Get("age")), 64)
	if err != nil || !(seconds >= 0) {
		return 0
	}
	return seconds * 1000
}

// expiresFreshness is for how long an answer is fresh by its field Expires, in ms; -1: it has none.
// Both times are the origin's where it gives them.
func expiresFreshness(head *http1.Head, now time.Time) float64 {
	expires, err := http.ParseTime(string(head.Get("expires")))
	if err != nil {
		return -1
	}
	fresh := float64(expires.Sub(now).Milliseconds())
	if date, err := http.ParseTime(string(head.Get("date"))); err == nil {
		fresh = float64(expires.Sub(date).Milliseconds()) - headAge(head)
	}
	return max(fresh, 0)
}

// parseMeta is what a head says of how long its answer may be kept. The now is needed only for
// a head that says until when, and not when it was made (RFC 9111, section 4.2.1).
func parseMeta(head *http1.Head, now time.Time) (meta esi.Meta, contentCoding coding) {
	meta.Fresh = -1
	if control, err := cacheobject.ParseResponseCacheControl(joinedValues(head, "cache-control")); err == nil {
		if control.MaxAge >= 0 {
			meta.Fresh = max(float64(control.MaxAge)*1000-headAge(head), 0)
		}
		if control.NoCachePresent {
			meta.Fresh = 0
		}
		meta.NoStore, meta.Private = control.NoStore, control.PrivatePresent
	} else {
		meta.Fresh = 0
	}
	if meta.Fresh < 0 {
		meta.Fresh = expiresFreshness(head, now)
	}
	meta.ETag = string(head.Get("etag"))
	if t, err := http.ParseTime(string(head.Get("last-modified"))); err == nil {
		meta.Changed = t.Unix()
	}
	meta.ESI = requestsESI(joinedValues(head, "surrogate-control"))
	switch strings.ToLower(strings.TrimSpace(string(head.Get("content-encoding")))) {
	case "", "identity":
	case "gzip", "x-gzip":
		contentCoding = gzipped
	default:
		contentCoding = unknownCoding
	}
	return meta, contentCoding
}

// joinedValues is the values of a field, which may stand in several lines.
func joinedValues(head *http1.Head, name string) string {
	values := ""
	for i := range head.Fields {
		if field := &head.Fields[i]; http1.EqualFold(field.Name, name) {
			if values != "" {
				values += ", "
			}
			values += string(field.Value)
		}
	}
	return values
}

// requestsESI reports whether a Surrogate-Control has its receiver process ESI/1.0 (Edge
// Architecture Specification 1.0, section 2.2: content="...", a list by spaces).
func requestsESI(value string) bool {
	for part := range strings.SplitSeq(value, ",") {
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

// isTemplateField reports fields of a template's head that don't hold for the whole.
func isTemplateField(name []byte) bool {
	switch strings.ToLower(string(name)) {
	case "content-length", "spool-load", "surrogate-control", "content-encoding":
		return true
	}
	return false
}

func isUnprocessedField(name []byte) bool {
	return isRouterResponseField(name) || http1.EqualFold(name, "surrogate-control")
}

func isRecomputedField(name []byte) bool {
	switch strings.ToLower(string(name)) {
	case "etag", "last-modified", "cache-control", "expires", "age", "accept-ranges", "content-range", "content-md5", "digest", "content-digest", "repr-digest", "pragma", "spool-copy":
		return true
	}
	return isTemplateField(name)
}

// templateHead has the templateHead of the template's answer.
func (pg *esiPage) templateHead(upstream *upstreamConn) {
	edge, request, head := pg.edge, pg.request, &upstream.head
	var meta esi.Meta
	meta, pg.coding = parseMeta(head, edge.date())
	pg.status = head.Status
	pg.unprocessed = !meta.ESI || head.Status != 200
	excluded := isRecomputedField
	if pg.unprocessed {
		excluded = isUnprocessedField
		if pg.coding != gzipped || pg.conditions.acceptsGzip { // as it came
			pg.coding = identity
		} else {
			excluded = isTemplateField
		}
		pg.contentLength = -1
		if upstream.body.Kind() == http1.Length && pg.coding == identity {
			pg.contentLength = head.ContentLength
		}
	} else if pg.coding == unknownCoding {
		pg.rejectErr = fmt.Errorf("%w: it has a content coding other than gzip", esi.ErrMalformed)
	}
	pg.headFields = append(appendEndToEnd(pg.headFields[:0], head, excluded), "Via: 1.1 "+edge.name+"\r\n"...)
	if pg.assembly == nil {
		var err error
		if pg.assembly, err = esi.NewPage(pg.esiSetup, request.esiVars, request.target, edge.loop.Now(), request.spec.Deadline); err != nil {
			pg.assembly, _ = esi.NewPage(pg.esiSetup, request.esiVars, "/", edge.loop.Now(), request.spec.Deadline)
		}
		edge.pages[pg] = struct{}{}
	}
	meta.ESI = !pg.unprocessed
	pg.assembly.Head(meta)
	pg.markChanged()
}

// markChanged has the page be looked at when the turn of the loop ends.
func (pg *esiPage) markChanged() {
	if !pg.changed && !pg.closed {
		pg.changed = true
		pg.edge.changedPages = append(pg.edge.changedPages, pg)
	}
}

// updatePages moves the pages on that something has come for.
func (e *Edge) updatePages() {
	for rounds := 0; len(e.changedPages) > 0 && rounds < 64; rounds++ {
		list := e.changedPages
		e.changedPages = nil
		for _, pg := range list {
			pg.changed = false
			pg.update()
		}
	}
}

// receive takes bytes of the template, or of a fragment's answer.
func (pg *esiPage) receive(request *clientRequest, b []byte) {
	now := pg.edge.loop.Now()
	fragment := request.client.fragment
	switch {
	case request == pg.request && pg.coding == gzipped:
		pg.appendCompressed(&pg.compressed, b, func() { pg.fail(fmt.Errorf("%w: the page, compressed", esi.ErrTooMuch)) })
	case request == pg.request:
		pg.assembly.Template(b, now)
	case fragment.coding == gzipped:
		pg.appendCompressed(&fragment.compressed, b, func() { pg.dropFragment(request, "it is too long, compressed") })
	default:
		pg.assembly.Body(fragment.id, b, now)
	}
	pg.markChanged()
}

func (pg *esiPage) appendCompressed(to *[]byte, b []byte, tooMuch func()) {
	if len(*to)+len(b) > pg.edge.settings.Pages.PieceKB<<10 {
		tooMuch()
		return
	}
	*to = append(*to, b...)
}

// decompress is content that came compressed; it is bounded as any.
func (pg *esiPage) decompress(b []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	most := int64(pg.edge.settings.Pages.PieceKB) << 10
	out, err := io.ReadAll(io.LimitReader(z, most+1))
	if err == nil && int64(len(out)) > most {
		err = fmt.Errorf("%w: more than %d KB", esi.ErrTooMuch, most>>10)
	}
	return out, err
}

// responseDone ends the template's answer, or a fragment's.
func (pg *esiPage) responseDone(request *clientRequest) {
	now := pg.edge.loop.Now()
	if request == pg.request {
		pg.templateDone = true
		if pg.coding == gzipped {
			b, err := pg.decompress(pg.compressed)
			if pg.compressed = nil; err != nil {
				pg.fail(fmt.Errorf("%w: %w", esi.ErrMalformed, err))
				return
			}
			pg.assembly.Template(b, now)
		}
		pg.assembly.TemplateEnd(now)
		pg.markChanged()
		return
	}
	fragment := request.client.fragment
	if fragment.coding == gzipped {
		b, err := pg.decompress(fragment.compressed)
		if fragment.compressed = nil; err != nil {
			pg.assembly.Failed(fragment.id, err.Error(), now)
			delete(pg.fragments, fragment.id)
			pg.markChanged()
			return
		}
		pg.assembly.Body(fragment.id, b, now)
	}
	pg.assembly.End(fragment.id, now)
	delete(pg.fragments, fragment.id)
	pg.markChanged()
}

// pageFragment is a pageFragment of a page, as what asks for it.
type pageFragment struct {
	page       *esiPage
	id         int
	coding     coding
	compressed []byte
	done       bool
}

// fetchFragment asks the module for action fragment.
func (pg *esiPage) fetchFragment(action esi.Act) {
	edge, real := pg.edge, pg.request.client
	now := edge.loop.Now()
	fragment := &pageFragment{page: pg, id: action.ID}
	client := &clientConn{edge: edge, fd: -1, fragment: fragment, addr: real.addr, addrText: real.addrText, schedulerClass: real.schedulerClass}
	request := edge.newRequest(client)
	request.receivedAt, request.httpMinor = now, 1
	client.current = request
	head := http1.Head{Method: []byte("GET"), Target: []byte(action.URL), Minor: 1, Host: []byte(pg.request.esiVars.Host)}
	spec, err := edge.core.Classify("", now, &head)
	cause := ""
	switch {
	case err != nil:
		cause = err.Error()
	case spec.Write:
		cause = "it is no object that may be asked for"
	case len(edge.requests) >= edge.settings.Limits.Held:
		cause = endHeld.word()
	}
	if cause != "" {
		pg.assembly.Failed(action.ID, cause, now)
		pg.markChanged()
		return
	}
	spec.Deadline = min(spec.Deadline, action.Until)
	request.spec = spec
	request.forwardHead = appendPageRequest(request.forwardHead[:0], edge.name, action.URL, pg.request.esiVars.Host, pg.requestID, action.ID)
	pg.fragments[action.ID] = request
	pg.fragmentObjects[action.URL] = fragmentObject{spec.Object, spec.Group}
	edge.guard.memory.Add(limits.Requests, requestBytes)
	request.accounted = requestBytes
	edge.stats.Fragments++
	request.submit()
}

// head is the head of a fragment's answer; false: it won't do.
func (v *pageFragment) head(upstream *upstreamConn) bool {
	meta, coding := parseMeta(&upstream.head, v.page.edge.date())
	v.coding = coding
	if upstream.head.Status != 200 || coding == unknownCoding {
		return false
	}
	v.page.assembly.Begun(v.id, meta, v.page.edge.loop.Now())
	v.page.markChanged()
	return true
}

// fail is that there is no answer for a fragment.
func (v *pageFragment) fail(cause string) {
	if v.done {
		return
	}
	v.done = true
	delete(v.page.fragments, v.id)
	if !v.page.closed {
		v.page.assembly.Failed(v.id, cause, v.page.edge.loop.Now())
		v.page.markChanged()
	}
}

// cancelFragment ends a request for a fragment that nobody wants any more.
func cancelFragment(r *clientRequest) {
	if r.end == 0 {
		r.end = endPage
	}
	r.edge.stats.Gone--
	r.clientGone()
}

// dropFragment gives a fragment up that is out.
func (pg *esiPage) dropFragment(request *clientRequest, cause string) {
	request.client.fragment.fail(cause)
	cancelFragment(request)
}

// countAttempt counts an attempt for a fragment.
func (v *pageFragment) countAttempt() {
	if !v.page.closed {
		v.page.assembly.Attempt()
	}
}

func (pg *esiPage) onTimer() {
	pg.assembly.Tick(pg.edge.loop.Now())
	pg.markChanged()
}

// update does what the page wants, and sends what is ready.
func (pg *esiPage) update() {
	if pg.closed || pg.assembly == nil {
		return
	}
	edge := pg.edge
	var tick float64
	for range 16 {
		var actions []esi.Act
		if actions, tick = pg.assembly.Do(edge.loop.Now()); len(actions) == 0 {
			break
		}
		for _, action := range actions {
			switch action.Kind {
			case esi.Fetch:
				pg.fetchFragment(action)
			case esi.Drop:
				if request := pg.fragments[action.ID]; request != nil {
					request.client.fragment.done = true
					delete(pg.fragments, action.ID)
					cancelFragment(request)
				}
			case esi.Restart:
				pg.restart()
				return
			}
		}
	}
	pg.assembly.Busy(pg.request.client.output.Len() > 0, edge.loop.Now())
	pg.send()
	if pg.closed {
		return
	}
	pg.assembly.Busy(pg.request.client.output.Len() > 0, edge.loop.Now())
	if n := pg.assembly.Held() + int64(len(pg.compressed)); n != pg.accounted {
		edge.guard.memory.Add(limits.Answers, n-pg.accounted)
		pg.accounted = n
	}
	if tick > 0 {
		edge.loop.Arm(&pg.timer, max(tick-edge.loop.Now(), 0.1))
	}
	if pg.assembly.Room(-1) && !pg.templateDone {
		pg.request.resumeReading()
	}
	for id, request := range pg.fragments {
		if pg.assembly.Room(id) {
			request.resumeReading()
		}
	}
}

// maxBufferedBytes is how much of a page is given to its client's connection at a time: what has
// gone there can't be called back by a purge.
const maxBufferedBytes = 32 << 10

// send gives the client what is ready.
func (pg *esiPage) send() {
	client := pg.request.client
	err := pg.assembly.Err()
	if err == nil {
		err = pg.rejectErr
	}
	if err != nil {
		pg.fail(err)
		return
	}
	if !pg.headSent && pg.conditions.needWhole && !pg.unprocessed {
		if !pg.assembly.Ready() && pg.assembly.Held() < int64(pg.edge.settings.Pages.HeldKB)<<10 {
			return
		}
	}
	for !client.closed && !pg.closed && client.output.Len() == 0 {
		ready, meta := pg.assembly.Ready(), esi.Meta{}
		if !pg.headSent && ready && !pg.unprocessed {
			meta = pg.assembly.Meta()
		}
		room := maxBufferedBytes
		if !pg.headSent && ready && !pg.unprocessed { // all of it, so that its length can be said
			room = pg.edge.settings.Pages.HeldKB << 10
		}
		b := pg.assembly.Take(nil, room, pg.edge.loop.Now())
		if err := pg.assembly.Err(); err != nil {
			pg.fail(err)
			return
		}
		done := pg.assembly.Done()
		if len(b) == 0 && !done && !(pg.unprocessed && !pg.headSent) {
			return
		}
		if !pg.headSent {
			if b = pg.writeHead(b, done, ready, meta); pg.closed || client.closed {
				return
			}
		}
		if pg.conditions.head {
			b = nil
		}
		pg.write(b)
		if done {
			pg.finish()
			return
		}
		if len(b) == 0 && !pg.conditions.head {
			return
		}
	}
}

// writeHead writes the head of the client's answer, and returns what of body belongs behind it.
func (pg *esiPage) writeHead(body []byte, done, ready bool, meta esi.Meta) []byte {
	pg.headSent = true
	request, client, edge := pg.request, pg.request.client, pg.edge
	status := pg.status
	length := int64(-1)
	var fields []byte
	switch {
	case pg.unprocessed:
		length = pg.contentLength
	default:
		if done {
			length = int64(len(body))
		}
		fields = http1.AppendFieldString(fields, "Cache-Control", cacheControl(meta, ready))
		if ready && meta.ETag != "" {
			fields = http1.AppendFieldString(fields, "ETag", meta.ETag)
		}
		if ready && meta.Changed > 0 {
			fields = http1.AppendFieldString(fields, "Last-Modified", time.Unix(meta.Changed, 0).UTC().Format(http.TimeFormat))
		}
		switch {
		case done && pg.notModified(meta):
			status, length, body = 304, -1, nil
		case done && pg.conditions.hasRange && (pg.conditions.ifRange == ""): // weak tags don't do for If-Range
			first, last, ok := pg.conditions.byteRange(int64(len(body)))
			if !ok {
				fields = http1.AppendFieldString(fields, "Content-Range", fmt.Sprintf("bytes */%d", len(body)))
				status, length, body = 416, 0, nil
			} else {
				fields = http1.AppendFieldString(fields, "Content-Range", fmt.Sprintf("bytes %d-%d/%d", first, last, len(body)))
				status, length, body = 206, last-first+1, body[first:last+1]
			}
		}
	}
	request.status = status
	out := http1.AppendStatus(edge.headBuffer[:0], status)
	out = append(append(out, pg.headFields...), fields...)
	switch {
	case length >= 0:
		out = http1.AppendFieldInt(out, "Content-Length", length)
	case status == 304 || status == 204:
	case request.httpMinor == 0:
		client.closeAfterResponse = true
	default:
		pg.chunked = !pg.conditions.head
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	}
	out = client.appendConnection(out, request)
	edge.headBuffer = append(out, "\r\n"...)
	client.buffer(edge.headBuffer)
	return body
}

// cacheControl is what a client and caches in front may do with the whole.
func cacheControl(meta esi.Meta, ready bool) string {
	value := ""
	if meta.Private {
		value = "private, "
	}
	switch {
	case meta.NoStore:
		return value + "no-store"
	case !ready || meta.Fresh < 1000: // what it is made of is not known yet
		return value + "no-cache"
	}
	return value + "max-age=" + strconv.FormatInt(int64(meta.Fresh/1000), 10)
}

// notModified reports whether the client has the page already (RFC 9110, section 13.2.2).
func (pg *esiPage) notModified(meta esi.Meta) bool {
	if pg.conditions.ifNoneMatch != "" {
		if meta.ETag == "" {
			return false
		}
		for tag := range strings.SplitSeq(pg.conditions.ifNoneMatch, ",") {
			if tag = strings.TrimSpace(tag); tag == "*" || strings.TrimPrefix(tag, "W/") == strings.TrimPrefix(meta.ETag, "W/") {
				return true
			}
		}
		return false
	}
	return pg.conditions.ifModifiedSince > 0 && meta.Changed > 0 && meta.Changed <= pg.conditions.ifModifiedSince
}

// byteRange is the first and last byte of a range in so many; false: none are in it.
func (c *conditions) byteRange(length int64) (first, last int64, ok bool) {
	switch {
	case c.first < 0:
		return max(length-c.last, 0), length - 1, length > 0 && c.last > 0
	case c.last < 0:
		return c.first, length - 1, c.first < length
	}
	return c.first, min(c.last, length-1), c.first < length
}

func (pg *esiPage) write(b []byte) {
	client := pg.request.client
	if len(b) > 0 {
		pg.request.sentBytes += int64(len(b))
		if pg.chunked {
			pg.edge.headBuffer = http1.AppendChunk(pg.edge.headBuffer[:0], b)
			client.buffer(pg.edge.headBuffer)
		} else {
			client.buffer(b)
		}
	}
	if client.output.Len() > 0 {
		client.flush()
	}
}

// finish ends a page that went out whole.
func (pg *esiPage) finish() {
	request := pg.request
	if pg.chunked {
		request.client.buffer(lastChunk)
	}
	request.end = endServed
	request.edge.stats.Served++
	pg.close()
	request.finish()
}

// close ends what is out for the page.
func (pg *esiPage) close() {
	if pg.closed {
		return
	}
	pg.closed = true
	edge := pg.edge
	edge.loop.Forget(&pg.timer)
	delete(edge.pages, pg)
	edge.guard.memory.Add(limits.Answers, -pg.accounted)
	pg.accounted = 0
	for id, request := range pg.fragments {
		delete(pg.fragments, id)
		request.client.fragment.done = true
		cancelFragment(request)
	}
	if winner := pg.request.winner; winner != nil && !winner.done && winner.request == pg.request {
		winner.abort(spool.Cancelled)
	}
}

// fail ends a page that can't be made: by an answer that says so, or, where some of it
// has gone out, by the end of the connection, which shows that it is not whole.
func (pg *esiPage) fail(err error) {
	if pg.closed {
		return
	}
	request, client, edge := pg.request, pg.request.client, pg.edge
	pg.close()
	if client.closed || request.phase == finished {
		return
	}
	edge.log.Log.Info("a page is not made", zap.String("page", request.target), zap.String("why", err.Error()))
	if pg.headSent {
		request.end = endBroken
		edge.stats.Broken++
		client.closeAfterResponse, client.discardInput = true, true
		if !pg.chunked {
			unix.SetsockoptLinger(client.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
			client.close()
		}
		request.finish()
		return
	}
	request.end = endPage
	edge.stats.Failed++
	status := 502
	if errors.Is(err, esi.ErrLate) || edge.loop.Now() >= request.spec.Deadline-2*edge.settings.Limits.TimerGrain {
		status = 504
	}
	client.respond(request, status, 0)
}

// restart asks for the page itself once more: it was purged before any of it went out.
func (pg *esiPage) restart() {
	request, edge := pg.request, pg.edge
	if winner := request.winner; winner != nil && !winner.done {
		winner.abort(spool.Cancelled)
	}
	delete(edge.requests, request.id)
	pg.templateDone, pg.compressed = false, nil
	pg.fragmentObjects = map[string]fragmentObject{}
	next := edge.newRequest(request.client)
	next.receivedAt, next.httpMinor, next.spec, next.esiVars, next.target, next.page = request.receivedAt, request.httpMinor, request.spec, request.esiVars, request.target, pg
	next.forwardHead = append(next.forwardHead[:0], request.forwardHead...)
	next.accounted, request.accounted = request.accounted, 0
	next.poorReputation, request.poorReputation = request.poorReputation, false
	request.page, request.inModule = nil, false
	request.phase = finished
	pg.request, request.client.current = next, next
	request.releaseIfDone()
	next.submit()
}

// purgePages tells pages what has become old. What has gone out already must be whole before
// the grace is over.
func (e *Edge) purgePages(purge spool.Purge) {
	purged := func(object string, group int) bool {
		return object == purge.Object || purge.Object == "" && group == purge.Group
	}
	until := e.loop.Now() - purge.Age + e.settings.Rules.PurgeSlack - 2*e.settings.Limits.TimerGrain
	for page := range e.pages {
		page.assembly.Purged(false, func(url string) bool {
			object, known := page.fragmentObjects[url]
			return known && purged(object.object, object.group)
		}, until, e.loop.Now())
		if purged(page.request.spec.Object, page.request.spec.Group) && !page.unprocessed && page.request.phase == relaying {
			page.assembly.Purged(true, nil, until, e.loop.Now())
		}
		page.markChanged()
	}
}

var errTemplateBroken = fmt.Errorf("%w: its own answer broke off", esi.ErrFragment)

// pageOrParent is the page that a request is for, as its template or a fragment.
func (r *clientRequest) pageOrParent() *esiPage {
	if r.client.fragment != nil {
		return r.client.fragment.page
	}
	return r.page
}

// full reports whether no more is to be read for a request of the page's now.
func (pg *esiPage) full(r *clientRequest) bool {
	if r == pg.request {
		return !pg.assembly.Room(-1)
	}
	return !pg.assembly.Room(r.client.fragment.id)
}

// responseBroken is that the answer of the template, or of a fragment, responseBroken off.
func (pg *esiPage) responseBroken(request *clientRequest) {
	pg.edge.stats.Broken--
	if request == pg.request {
		pg.fail(errTemplateBroken)
		return
	}
	request.client.fragment.fail("its answer broke off")
	request.finish()
}

// relayPageHead has the answer's head go to a page: from now on the attempt is the client's.
func (u *upstreamConn) relayPageHead() {
	request := u.attempt.request
	u.chunked, u.state = false, upRelayingBody
	if u.cancelOthers(); u.attempt == nil {
		return
	}
	if v := request.client.fragment; v == nil {
		request.page.templateHead(u)
	} else if !v.head(u) {
		v.fail("status " + strconv.Itoa(u.head.Status))
		cancelFragment(request)
		return
	}
	if u.attempt == nil {
		return
	}
	u.beginBody()
}
