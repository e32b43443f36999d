package server

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"indigospool/internal/cachenode/httpcache"
	"indigospool/internal/cachenode/store"
	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/protocol/http1"
)

// request is a request that is being handled.
type request struct {
	server        *Server
	conn          *conn
	attempt       fetchheader.Attempt
	fromClient    bool   // the request has no Spool-Fill: neither a router nor a cache has sent it
	method        string // empty: the request is invalid, and target is the error
	target        string
	key           string              // of the cached object: target and range, then the variant, if any
	header        http.Header         // only fields that the server uses
	body          []byte              // received so far
	object        *store.CachedObject // stored object that is being sent; nil during a fill
	stale         *store.CachedObject // stored object that must be validated before it is served
	unconditional bool                // stale objects were validated once: the next fill fetches the whole object
	fill          *fill               // fill that the request waits for
	forwarder     *writeForwarder     // of a write that was forwarded
	offset        int64               // number of body bytes sent or in writeBuffer
	size          int64               // of the response body
	headSent      bool
	pending       bool // a disk read or a later turn of the loop will continue the response
	ended         bool
	joined        bool   // the request has joined a fill of another request
	burstTurn     uint64 // last turn of the loop in which the request sent data
	burstBytes    int64  // bytes sent in that turn
	answered      bool   // the response has begun
	background    bool   // the request validates an object in the background, and has no client
}

// newRequest returns a request for the parsed head of c. It copies the fields that it keeps,
// since the head refers to the read buffer.
func (s *Server) newRequest(c *conn) *request {
	head := &c.head
	req := &request{server: s, conn: c, method: string(head.Method), target: string(head.Path()), header: http.Header{}}
	var attempts []string
	for i := range head.Fields {
		name := strings.ToLower(string(head.Fields[i].Name))
		switch name {
		case fillField:
			attempts = append(attempts, string(head.Fields[i].Value))
		case "range", "x-request-id", "accept-encoding", "cache-control", "idempotency-key", "if-none-match", "if-modified-since", "authorization", "content-type", "surrogate-capability", "host":
			req.header.Add(name, string(head.Fields[i].Value))
		}
	}
	req.key = req.target
	if byteRange := req.header.Get("Range"); byteRange != "" {
		req.key += " " + byteRange
	}
	c.closeAfterResponse = c.closeAfterResponse || head.Close
	if len(attempts) == 0 {
		req.fromClient = true
		req.attempt = fetchheader.Attempt{Object: req.target, Group: -1, Keep: 1, Join: true, MayFetch: true}
		return req
	}
	var err error
	if req.attempt, err = fetchheader.ParseAttempt(attempts); err != nil {
		req.method = "" // answered with 400 after its body is received
		req.target = err.Error()
	}
	return req
}

// appendBody appends to the body. It returns false if the bodies of all requests exceed their limit.
func (r *request) appendBody(data []byte) bool {
	s := r.server
	if need := len(r.body) + len(data); need > cap(r.body) {
		larger := min(max(2*cap(r.body), need), max(s.cfg.MaxBodyBytes, need))
		grown := int64(larger - cap(r.body))
		if s.requestBodyBytes+grown > maxRequestBodyBytes {
			return false
		}
		s.requestBodyBytes += grown
		r.body = append(make([]byte, 0, larger), r.body...)
	}
	r.body = append(r.body, data...)
	return true
}

var fillField = strings.ToLower(fetchheader.FillField)

func (r *request) handle() {
	s := r.server
	s.stats.Requests++
	r.emit("recv", 0, 0, 0, false)
	switch {
	case r.method == "":
		r.conn.respond(400, r.target)
	case strings.HasPrefix(r.target, "/-/"):
		r.handleControl()
	case r.method != "GET" && r.method != "HEAD":
		s.forwardWrite(r)
	default:
		r.lookup()
	}
}

// lookup looks up the object of the request in the store, on a thread if that may wait.
func (r *request) lookup() {
	s := r.server
	if object, known := s.store.TryLookup(r.key); known {
		r.lookupDone(object)
		return
	}
	ok := s.disk.Submit(func() {
		object := s.store.Lookup(r.key)
		s.post(func() { r.lookupDone(object) })
	})
	if !ok { // the disk hangs or is overloaded: continue as on a miss
		s.stats.WithoutDisk++
		r.lookupDone(nil)
	}
}

// storedResponse returns a stored object as a response in the terms of RFC 9111.
func (s *Server) storedResponse(object *store.CachedObject) *httpcache.Response {
	response := &httpcache.Response{Status: 200, Header: http.Header{}, ResponseTime: float64(object.GeneratedAt), RequestTime: float64(object.GeneratedAt), WallTime: time.UnixMilli(object.GeneratedAt)}
	for name, value := range object.Fields {
		response.Header.Set(name, value)
	}
	return response
}

// explicitLifetime returns the freshness lifetime that the header of a response states, in ms,
// and 0 if it states none.
func explicitLifetime(response *httpcache.Response) int64 {
	if response.Header.Get("Expires") == "" && !strings.Contains(strings.ToLower(strings.Join(response.Header.Values("Cache-Control"), ",")), "max") {
		return 0
	}
	return max(int64(httpcache.Lifetime(response)), 1)
}

// ageUnknown reports whether the age of an object can't be determined. Ages of objects that were
// stored since the start are differences of monotonic time. That of an object stored before the
// start depends on the wall clock: if the object, or any other, seems to be generated after the
// start, the clock was set back by an unknown amount.
func (s *Server) ageUnknown(object *store.CachedObject) bool {
	start := s.startWall.UnixMilli()
	return object.Unconfirmed && (object.GeneratedAt > start || s.store.NewestAtStart() > start)
}

// renewAfter is the share of its lifetime after which an object is validated in the background,
// if the router allows it.
const renewAfter = 0.8

// permittedUse returns how an object may be used for the request: by the maximum age that the
// router states, or else by the headers of the object and of the request.
func (r *request) permittedUse(object *store.CachedObject) httpcache.Use {
	age := float64(r.server.now() - object.GeneratedAt)
	switch {
	case object.PurgesUnknown || r.server.ageUnknown(object):
		return httpcache.Revalidate
	case r.fromClient:
		if object.Lifetime <= 0 && r.header.Get("Cache-Control") == "" && r.header.Get("Pragma") == "" {
			return httpcache.Serve // no freshness information: fresh until it is purged
		}
		return httpcache.Decide(float64(r.server.now()), r.server.storedResponse(object), httpcache.Request{Method: r.method, Header: r.header}, 0)
	case r.attempt.Age > 0 && age > r.attempt.Age, r.attempt.Age <= 0 && object.Lifetime > 0 && age > float64(object.Lifetime):
		return httpcache.Revalidate
	case r.attempt.Renew && r.attempt.Source != "" && object.Lifetime > 0 && age > renewAfter*float64(object.Lifetime):
		return httpcache.ServeAndRevalidate
	}
	return httpcache.Serve
}

// revalidateInBackground validates the object of a request with its source while the object is
// served, unless a fill of it is in flight already.
func (s *Server) revalidateInBackground(req *request) {
	if s.fills[req.key] != nil || s.fillsInFlight >= s.cfg.MaxFills {
		return
	}
	renewal := &request{server: s, conn: &conn{server: s, fd: -1, closed: true}, attempt: req.attempt, fromClient: req.fromClient, method: "GET", target: req.target, key: req.key, header: req.header, background: true}
	s.disk.Submit(func() {
		object := s.store.Lookup(renewal.key)
		s.post(func() {
			switch {
			case object == nil:
			case s.fills[renewal.key] != nil:
				go object.Close()
			default:
				s.stats.Behind++
				renewal.stale = object
				s.startFill(renewal)
			}
		})
	})
}

// serveObject sends a stored object.
func (r *request) serveObject(object *store.CachedObject, cacheStatus fetchheader.CacheStatus) {
	s := r.server
	r.object, r.size = object, object.Size
	cacheStatus.Cache = s.cfg.Name
	if object.Lifetime > 0 {
		cacheStatus.HasTTL, cacheStatus.TTL = true, float64(object.Lifetime-(s.now()-object.GeneratedAt))/1000
	}
	r.sendHead(&object.Meta, object.Size, cacheStatus.String())
}

// variantsField is a field of the marker that is stored under the key of an object with several
// variants. Each variant is stored under that key followed by the suffix that request.variant
// returns. Variants differ by Accept-Encoding only, since the server sends no other field to sources
// that may select one.
const variantsField = "Spool-Variants"

// variant returns the suffix of the key under which the variant for the request is stored, and ""
// if the key has a suffix already.
func (r *request) variant() string {
	if strings.Contains(r.key, "\x00") {
		return ""
	}
	return httpcache.Variant("Accept-Encoding", r.header)
}

// variesByEncoding reports whether a Vary field lists Accept-Encoding.
func variesByEncoding(vary string) bool {
	return strings.Contains(strings.ToLower(vary), "accept-encoding")
}

// hitRatioWeight is the weight of one lookup in the moving average Server.hitRatio.
const hitRatioWeight = 0.02

// lookupDone continues a request with the result of its lookup; nil is a miss. It serves the
// object, or joins or starts a fill.
func (r *request) lookupDone(object *store.CachedObject) {
	s := r.server
	if r.ended {
		if object != nil {
			go object.Close()
		}
		return
	}
	if object != nil && object.Fields[variantsField] != "" { // a marker: look up the variant
		go object.Close()
		r.key += r.variant()
		r.lookup()
		return
	}
	if object != nil {
		use := r.permittedUse(object)
		if use == httpcache.Unsatisfied {
			go object.Close()
			r.respondEmpty(504, fetchheader.CacheStatus{Fwd: "miss"})
			return
		}
		if use == httpcache.ServeAndRevalidate {
			s.revalidateInBackground(r)
		}
		if use == httpcache.Fetch || use == httpcache.Revalidate {
			if r.stale != nil {
				go r.stale.Close()
			}
			r.stale, object = object, nil // it may still be valid, or be served if its source fails
		}
	}
	hit := 0.0
	if object != nil {
		hit = 1
	}
	s.hitRatio += (hit - s.hitRatio) * hitRatioWeight
	if object != nil {
		s.stats.Hits++
		r.serveObject(object, fetchheader.CacheStatus{Hit: true})
		return
	}
	inFlight := s.fills[r.key]
	if r.attempt.Source == "" && !r.attempt.MayFetch {
		s.stats.Looked++
		r.respondEmpty(504, fetchheader.CacheStatus{Fwd: "miss", Collapsed: inFlight != nil})
		return
	}
	if inFlight != nil && r.attempt.Join && inFlight.joinable() {
		s.stats.Joined++
		r.joined = true
		inFlight.addWaiter(r)
		return
	}
	s.startFill(r)
}

// emit calls OnEvent, unless the request is invalid or was not sent by a router or a cache. The
// arguments are the fields of Event; those that a step does not have are 0 or false.
func (r *request) emit(what string, status int, version, bytes int64, hit bool) {
	r.answered = r.answered || what == "sent"
	if r.server.OnEvent != nil && !r.fromClient && r.method != "" {
		r.server.OnEvent(Event{what, &r.attempt, r.method, r.target, r.key, r.header, status, version, bytes, hit})
	}
}

// respondEmpty sends a response without an object.
func (r *request) respondEmpty(status int, cacheStatus fetchheader.CacheStatus) {
	if r.ended {
		return
	}
	r.server.stats.Refused++
	r.emit("sent", status, 0, 0, false)
	cacheStatus.Cache = r.server.cfg.Name
	head := http1.AppendStatus(nil, status)
	head = http1.AppendFieldString(head, fetchheader.StatusField, cacheStatus.String())
	head = http1.AppendFieldString(head, fetchheader.LoadField, r.server.loadMetrics())
	head = http1.AppendFieldInt(head, "Content-Length", 0)
	r.conn.writeBuffer = append(append(r.conn.writeBuffer, head...), "\r\n"...)
	r.conn.finishRequest()
}

// loadMetrics returns the load report for routers that each response contains: the number of client
// connections and the hit ratio.
func (s *Server) loadMetrics() string {
	return fetchheader.FormatLoad([]float64{float64(len(s.conns)), s.hitRatio})
}

// sendHead sends the head of a response with an object, and begins to send the body.
func (r *request) sendHead(meta *store.Meta, size int64, cacheStatus string) {
	r.headSent = true
	statusCode := 200
	if meta.Fields["Content-Range"] != "" {
		statusCode = 206
	}
	r.emit("sent", statusCode, meta.Version, size, r.fill == nil)
	head := http1.AppendStatus(nil, statusCode)
	head = http1.AppendFieldString(head, fetchheader.StatusField, cacheStatus)
	head = http1.AppendFieldString(head, fetchheader.LoadField, r.server.loadMetrics())
	age := max(r.server.now()-meta.GeneratedAt, 0)
	head = http1.AppendFieldString(head, fetchheader.CopyField, fetchheader.CopyVersion{Number: meta.Version, Age: float64(age)}.String())
	head = http1.AppendFieldInt(head, "Age", age/1000)
	for name, value := range meta.Fields {
		head = http1.AppendFieldString(head, name, value)
	}
	head = http1.AppendFieldInt(head, "Content-Length", size)
	if r.conn.closeAfterResponse {
		head = http1.AppendFieldString(head, "Connection", "close")
	}
	r.conn.writeBuffer = append(append(r.conn.writeBuffer, head...), "\r\n"...)
	if r.method == "HEAD" {
		r.conn.finishRequest()
		return
	}
	r.conn.flush()
}

const (
	chunkBytes   = 128 << 10 // limit of a read from the disk
	maxTurnBytes = 1 << 20   // limit of the bytes that one response sends in a turn of the loop
)

// sendMore sends the next bytes of the body, if those before have left writeBuffer.
func (r *request) sendMore() {
	if r.ended || !r.headSent || r.pending || len(r.conn.writeBuffer) > 0 {
		return
	}
	if r.offset >= r.size {
		r.emit("done", 200, 0, r.size, false)
		r.conn.finishRequest()
		return
	}
	if turn := r.server.loop.Turns(); turn != r.burstTurn {
		r.burstTurn, r.burstBytes = turn, 0
	}
	if r.burstBytes >= maxTurnBytes { // continue in the next turn
		r.pending = true
		r.server.loop.AfterFunc(0, func() {
			r.pending, r.burstBytes = false, 0
			r.sendMore()
		})
		return
	}
	if r.fill != nil {
		r.fill.sendTo(r)
		return
	}
	r.readObject(r.object, min(r.size-r.offset, chunkBytes))
}

// readObject reads the next n bytes of an object and sends them. It reads them on a thread unless
// the kernel has them in memory.
func (r *request) readObject(object *store.CachedObject, n int64) {
	if cached := object.TryReadAt(r.server.scratch[:n], r.offset); cached > 0 {
		r.offset += int64(cached)
		r.burstBytes += int64(cached)
		r.conn.write(r.server.scratch[:cached])
		return
	}
	r.pending = true
	offset := r.offset
	ok := r.server.disk.Submit(func() {
		data := make([]byte, n)
		got, err := object.ReadAt(data, offset)
		if int64(got) == n {
			err = nil
		}
		r.server.post(func() { r.readDone(data[:got], err) })
	})
	if !ok { // the disk hangs in the middle of a response: the client sees that it is shorter than Content-Length
		r.pending = false
		r.server.stats.WithoutDisk++
		r.conn.close()
	}
}

// readDone sends the bytes that a thread has read.
func (r *request) readDone(data []byte, err error) {
	r.pending = false
	if r.ended {
		return
	}
	if err != nil {
		r.server.warn(fmt.Sprintf("cache: reading stored object %.80q at offset %d failed: %v; the connection is closed", r.key, r.offset, err))
		r.conn.close()
		return
	}
	r.offset += int64(len(data))
	r.conn.writeBuffer = append(r.conn.writeBuffer, data...)
	r.conn.flush()
}

// end releases the objects of the request and removes it from its fill. It has no effect if the
// request has ended already.
func (r *request) end() {
	if r.ended {
		return
	}
	r.ended = true
	r.server.requestBodyBytes -= int64(cap(r.body))
	r.body = nil
	if !r.answered {
		r.emit("left", 0, 0, 0, false)
	}
	if r.stale != nil {
		go r.stale.Close()
		r.stale = nil
	}
	if r.object != nil {
		go r.object.Close() // on another goroutine: Close waits for the store's lock, which may be held while the disk hangs
		r.object = nil
	}
	if r.fill != nil {
		r.fill.removeWaiter(r)
	}
	if r.forwarder != nil {
		r.forwarder.cancelUnsent()
	}
}

// storable reports whether a response may be stored, by RFC 9111 and the rank that the attempt
// asks for.
func (r *request) storable(head *http1.Head) bool {
	if r.attempt.Keep < 1 {
		return false
	}
	response := &httpcache.Response{Status: head.Status, Header: http.Header{}}
	if response.Status == 206 {
		response.Status = 200 // a range is stored as an object of its own
	}
	for i := range head.Fields {
		response.Header.Add(string(head.Fields[i].Name), string(head.Fields[i].Value))
	}
	_, ok := httpcache.Storable(httpcache.Request{Method: "GET", Header: r.header}, response)
	return ok
}
