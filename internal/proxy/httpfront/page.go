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

// esiPage is the response to a request of a class of pages while it is assembled. The response
// of a member is the template; fragments are included in it if the member requests ESI
// processing with Surrogate-Control. internal/protocol/esi decides what is fetched, dropped and
// sent. Each fragment is a request of its own to the module.
type esiPage struct {
	edge            *Edge
	request         *clientRequest // the client's request, which fetches the template
	assembly        *esi.Page
	esiOptions      esi.Options
	fragments       map[int]*clientRequest    // open requests for fragments
	fragmentObjects map[string]fragmentObject // the fragments' objects by URL, to match purges
	timer           eventloop.Timer
	headFields      []byte // fields of the template's head for the client
	compressed      []byte // body of a compressed template
	coding          coding // content coding of the template
	requestID       string // the client's X-Request-Id
	unprocessed     bool   // no ESI processing: the body is relayed, decompressed if the client needs that
	conditions      conditions
	status          int
	headSent        bool
	chunked         bool
	templateDone    bool // the template was received in full
	changed         bool // the page is in the edge's changedPages
	stopped         bool
	accounted       int64 // bytes charged to the memory budget
	contentLength   int64 // of an unprocessed body; -1 if unknown
	rejectErr       error // why the template cannot be assembled
}

// fragmentObject identifies a fragment's object to the module.
type fragmentObject struct {
	object string
	group  int
}

// conditions hold the parts of a client's request that concern the assembled page, and are not
// forwarded for the template and the fragments.
type conditions struct {
	head            bool // the method is HEAD
	ifNoneMatch     string
	ifModifiedSince int64 // Unix seconds
	first           int64 // first byte of the range; -1: the range is the final bytes
	last            int64 // last byte of the range, or the number of final bytes; -1: to the end
	hasRange        bool
	ifRange         string
	acceptsGzip     bool
	needWhole       bool // the response depends on the whole page
}

// coding is the content coding of a body.
type coding uint8

const (
	identity coding = iota
	gzipped
	unknownCoding
)

// pageClass returns the settings of a class of pages, or nil if the class is none.
func (e *Edge) pageClass(class string) *config.Class {
	if i, ok := e.guard.classIndex[class]; ok && e.settings.Classes[i].Pages {
		return &e.settings.Classes[i]
	}
	return nil
}

// startPage prepares the assembly of a page, if the request's class is one of pages. It keeps
// the conditions of the client's request, and composes a request for the whole template.
func (r *clientRequest) startPage(head *http1.Head) {
	if r.spec.Write || r.edge.pageClass(r.spec.Class) == nil {
		return
	}
	page := &esiPage{edge: r.edge, request: r, fragments: map[int]*clientRequest{}, fragmentObjects: map[string]fragmentObject{}}
	page.timer.F = page.onTimer
	page.conditions = parseConditions(head)
	page.esiOptions = esiOptionsOf(r.edge.settings)
	r.esiVars = &esi.Vars{Host: string(head.Host), Cookie: string(head.Get("cookie")), AcceptLanguage: string(head.Get("accept-language")),
		UserAgent: string(head.Get("user-agent")), Referer: string(head.Get("referer"))}
	if i := bytes.IndexByte(head.Path(), '?'); i >= 0 {
		r.esiVars.Query = string(head.Path()[i+1:])
	}
	r.target = string(head.Path())
	r.page, r.isHead = page, false
	page.requestID = string(head.Get("x-request-id"))
	r.forwardHead = appendPageRequest(r.forwardHead[:0], r.edge.name, r.target, r.esiVars.Host, page.requestID, -1)
}

// esiOptionsOf converts the settings for pages.
func esiOptionsOf(settings *config.Settings) esi.Options {
	pages := &settings.Pages
	return esi.Options{Parser: esi.Limits{Depth: pages.Nesting, Tag: pages.Tag, BufferedBytes: pages.WaitingKB << 10, Elements: pages.Elements},
		Fragments: pages.Fragments, Includes: pages.Includes, Depth: pages.Depth, Parallel: pages.Parallel, Attempts: pages.Attempts,
		StreamThreshold: int64(pages.StreamThresholdKB) << 10, MaxBuffered: int64(pages.MaxBufferedKB) << 10, MaxWaiting: int64(pages.WaitingKB) << 10, MaxPage: int64(pages.MaxPageMB) << 20,
		Reserve: pages.Reserve, PassMalformed: pages.Malformed == "as-is"}
}

// appendPageRequest appends the head of a request for a template, or for the fragment of the
// given number if that is not negative. Of the client's request it contains the target, the host
// and the X-Request-Id only. Cookies are not forwarded, since caches share the copies between
// clients; the router fills in the variables that depend on them.
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

// parseConditions returns the conditions of a client's request.
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

// headAge returns the value of the Age field, in ms.
func headAge(head *http1.Head) float64 {
	seconds, err := strconv.ParseFloat(string(head.Get("age")), 64)
	if err != nil || !(seconds >= 0) {
		return 0
	}
	return seconds * 1000
}

// expiresFreshness returns how long a response is fresh by its Expires field, in ms, or -1
// without one. It measures from the Date field, by the origin's clock, and without that from
// now.
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

// parseMeta returns what a head states about freshness, validators, ESI and content coding. The
// current time is used only for an Expires field without a Date (RFC 9111, section 4.2.1).
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
		meta.LastModified = t.Unix()
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

// joinedValues returns the values of all lines of a field as one comma-separated list.
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

// requestsESI reports whether a Surrogate-Control value requests ESI/1.0 processing (Edge
// Architecture Specification 1.0, section 2.2: content="...", a list separated by spaces).
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

// isTemplateField reports whether a field of a template's head does not apply to the page.
func isTemplateField(name []byte) bool {
	switch strings.ToLower(string(name)) {
	case "content-length", "spool-load", "surrogate-control", "content-encoding":
		return true
	}
	return false
}

// isUnprocessedField reports whether a field is removed from the head of an unprocessed page.
func isUnprocessedField(name []byte) bool {
	return isRouterResponseField(name) || http1.EqualFold(name, "surrogate-control")
}

// isRecomputedField reports whether a field of a template's head is removed from an assembled
// page, or computed anew for it.
func isRecomputedField(name []byte) bool {
	switch strings.ToLower(string(name)) {
	case "etag", "last-modified", "cache-control", "expires", "age", "accept-ranges", "content-range", "content-md5", "digest", "content-digest", "repr-digest", "pragma", "spool-copy":
		return true
	}
	return isTemplateField(name)
}

// templateHead handles the head of the template's response.
func (pg *esiPage) templateHead(upstream *upstreamConn) {
	edge, request, head := pg.edge, pg.request, &upstream.head
	var meta esi.Meta
	meta, pg.coding = parseMeta(head, edge.date())
	pg.status = head.Status
	pg.unprocessed = !meta.ESI || head.Status != 200
	excluded := isRecomputedField
	if pg.unprocessed {
		excluded = isUnprocessedField
		if pg.coding != gzipped || pg.conditions.acceptsGzip { // relay the body without decompressing it
			pg.coding = identity
		} else {
			excluded = isTemplateField
		}
		pg.contentLength = -1
		if upstream.body.Kind() == http1.Length && pg.coding == identity {
			pg.contentLength = head.ContentLength
		}
	} else if pg.coding == unknownCoding {
		pg.rejectErr = fmt.Errorf("%w: content coding other than gzip", esi.ErrMalformed)
	}
	pg.headFields = append(appendEndToEnd(pg.headFields[:0], head, excluded), "Via: 1.1 "+edge.name+"\r\n"...)
	if pg.assembly == nil {
		var err error
		if pg.assembly, err = esi.NewPage(pg.esiOptions, request.esiVars, request.target, edge.loop.Now(), request.spec.Deadline); err != nil {
			pg.assembly, _ = esi.NewPage(pg.esiOptions, request.esiVars, "/", edge.loop.Now(), request.spec.Deadline)
		}
		edge.pages[pg] = struct{}{}
	}
	meta.ESI = !pg.unprocessed
	pg.assembly.TemplateHead(meta)
	pg.markChanged()
}

// markChanged has the page updated at the end of the loop's turn.
func (pg *esiPage) markChanged() {
	if !pg.changed && !pg.stopped {
		pg.changed = true
		pg.edge.changedPages = append(pg.edge.changedPages, pg)
	}
}

// updatePages updates the changed pages, and those that these updates change, in 64 rounds at
// most.
func (e *Edge) updatePages() {
	for rounds := 0; len(e.changedPages) > 0 && rounds < 64; rounds++ {
		pages := e.changedPages
		e.changedPages = nil
		for _, page := range pages {
			page.changed = false
			page.update()
		}
	}
}

// receive handles bytes of the body of the template or of a fragment.
func (pg *esiPage) receive(request *clientRequest, content []byte) {
	now := pg.edge.loop.Now()
	fragment := request.client.fragment
	switch {
	case request == pg.request && pg.coding == gzipped:
		pg.appendCompressed(&pg.compressed, content, func() {
			pg.fail(fmt.Errorf("%w: compressed template of more than %d KB", esi.ErrLimit, pg.edge.settings.Pages.MaxBufferedKB))
		})
	case request == pg.request:
		pg.assembly.Template(content, now)
	case fragment.coding == gzipped:
		pg.appendCompressed(&fragment.compressed, content, func() { pg.dropFragment(request, "compressed body exceeds the limit") })
	default:
		pg.assembly.FragmentBody(fragment.id, content, now)
	}
	pg.markChanged()
}

// appendCompressed appends content to a compressed body, or calls onTooLarge if the body would
// exceed Pages.MaxBufferedKB.
func (pg *esiPage) appendCompressed(to *[]byte, content []byte, onTooLarge func()) {
	if len(*to)+len(content) > pg.edge.settings.Pages.MaxBufferedKB<<10 {
		onTooLarge()
		return
	}
	*to = append(*to, content...)
}

// decompress returns a decompressed body, or an error if it exceeds Pages.MaxBufferedKB.
func (pg *esiPage) decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	maxBytes := int64(pg.edge.settings.Pages.MaxBufferedKB) << 10
	content, err := io.ReadAll(io.LimitReader(reader, maxBytes+1))
	if err == nil && int64(len(content)) > maxBytes {
		err = fmt.Errorf("%w: more than %d KB decompressed", esi.ErrLimit, maxBytes>>10)
	}
	return content, err
}

// responseDone handles the end of the response for the template or a fragment.
func (pg *esiPage) responseDone(request *clientRequest) {
	now := pg.edge.loop.Now()
	if request == pg.request {
		pg.templateDone = true
		if pg.coding == gzipped {
			body, err := pg.decompress(pg.compressed)
			if pg.compressed = nil; err != nil {
				pg.fail(fmt.Errorf("%w: %w", esi.ErrMalformed, err))
				return
			}
			pg.assembly.Template(body, now)
		}
		pg.assembly.TemplateEnd(now)
		pg.markChanged()
		return
	}
	fragment := request.client.fragment
	if fragment.coding == gzipped {
		body, err := pg.decompress(fragment.compressed)
		if fragment.compressed = nil; err != nil {
			pg.assembly.FragmentFailed(fragment.id, err.Error(), now)
			delete(pg.fragments, fragment.id)
			pg.markChanged()
			return
		}
		pg.assembly.FragmentBody(fragment.id, body, now)
	}
	pg.assembly.FragmentEnd(fragment.id, now)
	delete(pg.fragments, fragment.id)
	pg.markChanged()
}

// pageFragment is the requester of a fragment of a page. It takes the place of a connection in
// the client of the fragment's request.
type pageFragment struct {
	page       *esiPage
	id         int
	coding     coding
	compressed []byte // body of a compressed fragment
	done       bool   // the fragment was received, has failed or is no longer needed
}

// fetchFragment submits a request for a fragment to the module.
func (pg *esiPage) fetchFragment(action esi.Action) {
	edge, pageClient := pg.edge, pg.request.client
	now := edge.loop.Now()
	fragment := &pageFragment{page: pg, id: action.ID}
	client := &clientConn{edge: edge, fd: -1, fragment: fragment, addr: pageClient.addr, addrText: pageClient.addrText, schedulerClass: pageClient.schedulerClass}
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
		cause = "the URL belongs to a class of writes"
	case len(edge.requests) >= edge.settings.Limits.MaxRequests:
		cause = endHeld.word()
	}
	if cause != "" {
		pg.assembly.FragmentFailed(action.ID, cause, now)
		pg.markChanged()
		return
	}
	spec.Deadline = min(spec.Deadline, action.Deadline)
	request.spec = spec
	request.forwardHead = appendPageRequest(request.forwardHead[:0], edge.name, action.URL, pg.request.esiVars.Host, pg.requestID, action.ID)
	pg.fragments[action.ID] = request
	pg.fragmentObjects[action.URL] = fragmentObject{spec.Object, spec.Group}
	edge.guard.memory.Add(limits.Requests, requestBytes)
	request.accounted = requestBytes
	edge.stats.Fragments++
	request.submit()
}

// head handles the head of a fragment's response. It reports false if the response cannot be
// included.
func (f *pageFragment) head(upstream *upstreamConn) bool {
	meta, coding := parseMeta(&upstream.head, f.page.edge.date())
	f.coding = coding
	if upstream.head.Status != 200 || coding == unknownCoding {
		return false
	}
	f.page.assembly.FragmentHead(f.id, meta, f.page.edge.loop.Now())
	f.page.markChanged()
	return true
}

// fail reports to the page's assembly that the fragment cannot be fetched.
func (f *pageFragment) fail(cause string) {
	if f.done {
		return
	}
	f.done = true
	delete(f.page.fragments, f.id)
	if !f.page.stopped {
		f.page.assembly.FragmentFailed(f.id, cause, f.page.edge.loop.Now())
		f.page.markChanged()
	}
}

// cancelFragment ends the request for a fragment that is no longer needed.
func cancelFragment(r *clientRequest) {
	if r.end == 0 {
		r.end = endPage
	}
	r.edge.stats.Gone-- // clientGone counts it, though no client has left
	r.clientGone()
}

// dropFragment fails a fragment, and cancels its request.
func (pg *esiPage) dropFragment(request *clientRequest, cause string) {
	request.client.fragment.fail(cause)
	cancelFragment(request)
}

// countAttempt counts an attempt for the fragment towards the page's limit.
func (f *pageFragment) countAttempt() {
	if !f.page.stopped {
		f.page.assembly.CountAttempt()
	}
}

func (pg *esiPage) onTimer() {
	pg.assembly.Tick(pg.edge.loop.Now())
	pg.markChanged()
}

// update carries out the actions of the page's assembly, and sends what is ready.
func (pg *esiPage) update() {
	if pg.stopped || pg.assembly == nil {
		return
	}
	edge := pg.edge
	var tick float64
	for range 16 {
		var actions []esi.Action
		if actions, tick = pg.assembly.Actions(edge.loop.Now()); len(actions) == 0 {
			break
		}
		for _, action := range actions {
			switch action.Kind {
			case esi.Fetch:
				pg.fetchFragment(action)
			case esi.Cancel:
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
	pg.assembly.SetClientBusy(pg.request.client.output.Len() > 0, edge.loop.Now())
	pg.send()
	if pg.stopped {
		return
	}
	pg.assembly.SetClientBusy(pg.request.client.output.Len() > 0, edge.loop.Now())
	if n := pg.assembly.Waiting() + int64(len(pg.compressed)); n != pg.accounted {
		edge.guard.memory.Add(limits.Answers, n-pg.accounted)
		pg.accounted = n
	}
	if tick > 0 {
		edge.loop.Arm(&pg.timer, max(tick-edge.loop.Now(), 0.1))
	}
	if pg.assembly.CanRead(-1) && !pg.templateDone {
		pg.request.resumeReading()
	}
	for id, request := range pg.fragments {
		if pg.assembly.CanRead(id) {
			request.resumeReading()
		}
	}
}

// maxSendBytes is the most of a page that is given to the client's connection at a time,
// since a purge can no longer replace those bytes.
const maxSendBytes = 32 << 10

// send gives the client's connection the part of the page that is ready, whenever its previous
// output is written.
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
		if !pg.assembly.Ready() && pg.assembly.Waiting() < int64(pg.edge.settings.Pages.WaitingKB)<<10 {
			return
		}
	}
	for !client.closed && !pg.stopped && client.output.Len() == 0 {
		ready, meta := pg.assembly.Ready(), esi.Meta{}
		if !pg.headSent && ready && !pg.unprocessed {
			meta = pg.assembly.Meta()
		}
		room := maxSendBytes
		if !pg.headSent && ready && !pg.unprocessed { // the whole page, so that the head can state its length
			room = pg.edge.settings.Pages.WaitingKB << 10
		}
		body := pg.assembly.Take(nil, room, pg.edge.loop.Now())
		if err := pg.assembly.Err(); err != nil {
			pg.fail(err)
			return
		}
		done := pg.assembly.Done()
		if len(body) == 0 && !done && !(pg.unprocessed && !pg.headSent) {
			return
		}
		if !pg.headSent {
			if body = pg.writeHead(body, done, ready, meta); pg.stopped || client.closed {
				return
			}
		}
		if pg.conditions.head {
			body = nil
		}
		pg.write(body)
		if done {
			pg.finish()
			return
		}
		if len(body) == 0 && !pg.conditions.head {
			return
		}
	}
}

// writeHead writes the head of the client's response, and returns the part of body to send after
// it. done is set if body is the whole page, ready if meta is final.
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
		if ready && meta.LastModified > 0 {
			fields = http1.AppendFieldString(fields, "Last-Modified", time.Unix(meta.LastModified, 0).UTC().Format(http.TimeFormat))
		}
		switch {
		case done && pg.notModified(meta):
			status, length, body = 304, -1, nil
		case done && pg.conditions.hasRange && (pg.conditions.ifRange == ""): // the page's tag is weak, so If-Range never matches
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

// cacheControl returns the Cache-Control value of an assembled page.
func cacheControl(meta esi.Meta, ready bool) string {
	value := ""
	if meta.Private {
		value = "private, "
	}
	switch {
	case meta.NoStore:
		return value + "no-store"
	case !ready || meta.Fresh < 1000: // not ready: a fragment with a shorter lifetime may follow
		return value + "no-cache"
	}
	return value + "max-age=" + strconv.FormatInt(int64(meta.Fresh/1000), 10)
}

// notModified reports whether the client already has this page (RFC 9110, section 13.2.2).
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
	return pg.conditions.ifModifiedSince > 0 && meta.LastModified > 0 && meta.LastModified <= pg.conditions.ifModifiedSince
}

// byteRange returns the first and the last byte of the requested range of a page of the given
// length. It reports false if the range is not satisfiable.
func (c *conditions) byteRange(length int64) (first, last int64, ok bool) {
	switch {
	case c.first < 0:
		return max(length-c.last, 0), length - 1, length > 0 && c.last > 0
	case c.last < 0:
		return c.first, length - 1, c.first < length
	}
	return c.first, min(c.last, length-1), c.first < length
}

// write gives bytes of the body to the client's connection.
func (pg *esiPage) write(content []byte) {
	client := pg.request.client
	if len(content) > 0 {
		pg.request.sentBytes += int64(len(content))
		if pg.chunked {
			pg.edge.headBuffer = http1.AppendChunk(pg.edge.headBuffer[:0], content)
			client.buffer(pg.edge.headBuffer)
		} else {
			client.buffer(content)
		}
	}
	if client.output.Len() > 0 {
		client.flush()
	}
}

// finish ends a page that was given to the client's connection in full.
func (pg *esiPage) finish() {
	request := pg.request
	if pg.chunked {
		request.client.buffer(lastChunk)
	}
	request.end = endServed
	request.edge.stats.Served++
	pg.stop()
	request.finish()
}

// stop ends the assembly, and cancels the open requests for the template and the fragments.
func (pg *esiPage) stop() {
	if pg.stopped {
		return
	}
	pg.stopped = true
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

// fail ends a page that cannot be assembled. It sends an error response or, if the head was
// sent, closes the connection so that the client sees an incomplete body.
func (pg *esiPage) fail(err error) {
	if pg.stopped {
		return
	}
	request, client, edge := pg.request, pg.request.client, pg.edge
	pg.stop()
	if client.closed || request.phase == finished {
		return
	}
	edge.log.Log.Info("page assembly failed", zap.String("page", request.target), zap.String("why", err.Error()))
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
	if errors.Is(err, esi.ErrDeadline) || edge.loop.Now() >= request.spec.Deadline-2*edge.settings.Limits.TimerResolution {
		status = 504
	}
	client.respond(request, status, 0)
}

// restart requests the template again, since it was purged before any of the page was sent. A
// new request takes the place of the present one.
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

// purgePages reports a purge to the pages that contain a purged object. A page of which part
// was sent must be complete before the grace time of purges ends.
func (e *Edge) purgePages(purge spool.Purge) {
	purged := func(object string, group int) bool {
		return object == purge.Object || purge.Object == "" && group == purge.Group
	}
	until := e.loop.Now() - purge.Age + e.settings.Rules.PurgeSlack - 2*e.settings.Limits.TimerResolution
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

var errTemplateBroken = fmt.Errorf("%w: response for the template incomplete", esi.ErrFragment)

// ownerPage returns the page whose template or fragment the request fetches, or nil. In contrast,
// the field page is set only in the client's own request, which fetches the template.
func (r *clientRequest) ownerPage() *esiPage {
	if r.client.fragment != nil {
		return r.client.fragment.page
	}
	return r.page
}

// full reports whether reading for a request of the page must pause, since its buffer is full.
func (pg *esiPage) full(r *clientRequest) bool {
	if r == pg.request {
		return !pg.assembly.CanRead(-1)
	}
	return !pg.assembly.CanRead(r.client.fragment.id)
}

// responseBroken handles a response for the template or a fragment that ended early.
func (pg *esiPage) responseBroken(request *clientRequest) {
	pg.edge.stats.Broken-- // the upstream counted it; fail counts it again if the client is affected
	if request == pg.request {
		pg.fail(errTemplateBroken)
		return
	}
	request.client.fragment.fail("response incomplete")
	request.finish()
}

// relayPageHead gives the head of the response to the page that its request belongs to. The
// attempt thereby becomes the winner.
func (u *upstreamConn) relayPageHead() {
	request := u.attempt.request
	u.chunked, u.state = false, upRelayingBody
	if u.cancelOthers(); u.attempt == nil {
		return
	}
	if fragment := request.client.fragment; fragment == nil {
		request.page.templateHead(u)
	} else if !fragment.head(u) {
		fragment.fail("status " + strconv.Itoa(u.head.Status))
		cancelFragment(request)
		return
	}
	if u.attempt == nil {
		return
	}
	u.beginBody()
}
