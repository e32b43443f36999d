package server

import (
	"strconv"
	"strings"

	"indigospool/internal/cachenode/httpcache"
	"indigospool/internal/cachenode/store"
	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/protocol/http1"
)

// fill is a fill in flight. Its body is written to the store, and the requests that wait for it
// read it from there. If it is not stored, or the disk fails, the body stays in memory until all
// waiters have it.
type fill struct {
	server          *Server
	initiator       *request // the request that started the fill
	key             string
	source          *sourceConn // nil when the response is complete or the fill has failed
	waiters         map[*request]bool
	meta            store.Meta
	size            int64  // of the body
	sourceStatus    string // Cache-Status of the source's response
	headReceived    bool
	isVariant       bool // the object is stored as a variant, and needs a marker under key
	storing         bool // the object is to be stored
	writer          *store.Writer
	sincePurge      uint64              // number of the last purge when the fill began
	startedAt       int64               // time at which the fill began, by Server.now
	reserving       bool                // a thread is creating the writer
	abortAfterWrite *store.Writer       // writer to abort when the write in progress on a thread has ended
	object          *store.CachedObject // reads what the writer has written
	written         int64               // number of bytes that can be read from object
	writeQueue      []byte              // received bytes that wait for the disk
	writing         bool                // a thread is writing
	memory          []byte              // received bytes that are not written to the store
	memoryOffset    int64               // offset in the body at which memory begins
	memoryTrimmed   bool                // the beginning of memory was discarded
	received        int64
	complete        bool // the whole body was received
	ended           bool // requests can't join the fill, and it doesn't count as in flight
}

// startFill starts a fill for a request. If there is no source, or MaxFills are in flight, the
// request is answered with 503.
func (s *Server) startFill(req *request) {
	address := req.attempt.SourceAddress
	if address == "" {
		address = s.cfg.Upstream
	}
	switch {
	case req.background && (address == "" || s.fillsInFlight >= s.cfg.MaxFills):
		go req.stale.Close()
		return
	case address == "":
		req.respondEmpty(503, fetchheader.CacheStatus{Fwd: "miss", Detail: fetchheader.SourceUnreached})
		return
	case s.fillsInFlight >= s.cfg.MaxFills:
		req.respondEmpty(503, fetchheader.CacheStatus{Fwd: "miss"})
		return
	}
	s.stats.Fills++
	s.fillsInFlight++
	f := &fill{server: s, initiator: req, key: req.key, waiters: map[*request]bool{}, sincePurge: s.store.LastPurge(), startedAt: s.now()}
	if current := s.fills[req.key]; current == nil || current.overtaken() {
		s.fills[req.key] = f
	}
	if !req.background {
		f.addWaiter(req)
	}
	sourceAttempt := req.attempt
	sourceAttempt.Via, sourceAttempt.Source, sourceAttempt.SourceAddress, sourceAttempt.Held = s.cfg.Name, "", "", false
	sourceAttempt.MayFetch = !req.attempt.Held
	message := []byte("GET " + req.target + " HTTP/1.1\r\n")
	host := req.header.Get("host")
	if host == "" {
		host = address
	}
	message = http1.AppendFieldString(message, "Host", host)
	message = append(message, fetchheader.FillField+": "...)
	message = append(sourceAttempt.Append(message), "\r\n"...)
	for _, name := range []string{"X-Request-Id", "Range", "Accept-Encoding", "Surrogate-Capability"} {
		if value := req.header.Get(name); value != "" {
			message = http1.AppendFieldString(message, name, value)
		}
	}
	if req.attempt.Held {
		message = http1.AppendFieldString(message, "Cache-Control", "only-if-cached")
	}
	if req.stale != nil && !req.unconditional {
		for name, value := range httpcache.ConditionalFields(s.storedResponse(req.stale)) {
			message = http1.AppendFieldString(message, name, value[0])
		}
	}
	message = append(message, "\r\n"...)
	f.source = s.sendToSource(address, message, f)
}

// joinable reports whether another request may join the fill: the whole body is still available,
// the object is not known to be unstorable, and no purge since the fill began may cover the object.
func (f *fill) joinable() bool {
	return !f.ended && !f.memoryTrimmed && (!f.headReceived || f.storing) && !f.overtaken()
}

// overtaken reports whether a purge that was made since the fill began may cover its object.
// Before the head of the response is received, any purge may: the version and the tags of the
// object are not known.
func (f *fill) overtaken() bool {
	switch {
	case f.sincePurge == f.server.store.LastPurge():
		return false
	case !f.headReceived:
		return true
	}
	purged, known := f.server.store.TryPurged(f.sincePurge, &f.meta)
	return purged || !known
}

// addWaiter adds a request that waits for the fill, and begins its response if possible.
func (f *fill) addWaiter(req *request) {
	f.waiters[req] = true
	req.fill = f
	if f.headReceived {
		f.sendResponse(req)
	}
}

// sendResponse sends the head of the response to a waiter. A request that has joined the fill, and
// accepts no object of this age, starts a fill of its own.
func (f *fill) sendResponse(req *request) {
	if req.joined && req.attempt.Age > 0 && float64(f.server.now()-f.meta.GeneratedAt) > req.attempt.Age {
		f.removeWaiter(req)
		req.joined = false
		f.server.startFill(req)
		return
	}
	req.size = f.size
	status := fetchheader.CacheStatus{Cache: f.server.cfg.Name, Fwd: "miss", Stored: f.storing, Collapsed: req.joined}.String()
	if f.sourceStatus != "" {
		status = f.sourceStatus + ", " + status
	}
	req.sendHead(&f.meta, f.size, status)
}

// removeWaiter removes a request. Without waiters the fill is aborted, unless
// CompleteAbandonedFills is set and the object is to be stored.
func (f *fill) removeWaiter(req *request) {
	delete(f.waiters, req)
	req.fill = nil
	if len(f.waiters) == 0 && !f.complete && !(f.server.cfg.CompleteAbandonedFills && f.storing) {
		f.fail(503, "")
	}
	f.finalize()
}

// receiveHead implements responseHandler. If the response has an object, it begins to store it and
// to answer the waiters. Otherwise it ends the fill and returns false.
func (f *fill) receiveHead(head *http1.Head) bool {
	s := f.server
	f.sourceStatus = joinFields(head, fetchheader.StatusField)
	switch {
	case head.Status == 304 && f.initiator.stale != nil && !f.initiator.unconditional:
		f.revalidated(head)
		return false
	case head.Status == 504 && f.initiator.attempt.Held:
		f.fail(503, fetchheader.SourceLacks)
		return false
	case head.Status == 503 && (strings.Contains(f.sourceStatus, fetchheader.SourceUnreached) || strings.Contains(f.sourceStatus, fetchheader.OriginFailed)):
		f.fail(503, fetchheader.OriginFailed)
		return false
	case head.Status == 503:
		f.fail(503, fetchheader.SourceRefused)
		return false
	case head.Status != 200 && head.Status != 206 || head.Body != http1.Length:
		f.fail(502, fetchheader.SourceRefused)
		return false
	}
	f.size = head.ContentLength
	attempt := &f.initiator.attempt
	version, generatedAt := f.sourceVersion(head, 0)
	f.meta = store.Meta{Key: f.key, Object: attempt.Object, Group: int32(attempt.Group), Version: version, GeneratedAt: generatedAt, Rank: attempt.Keep, Fields: map[string]string{}}
	for i := range head.Fields {
		name := strings.ToLower(string(head.Fields[i].Name))
		switch name {
		case "content-type", "etag", "last-modified", "cache-control", "surrogate-control", "vary", "content-encoding", "content-range", "cache-tag":
			f.meta.Fields[storedFields[name]] = string(head.Fields[i].Value)
			if name == "cache-tag" {
				for tag := range strings.SplitSeq(string(head.Fields[i].Value), ",") {
					f.meta.Tags = append(f.meta.Tags, strings.TrimSpace(tag))
				}
			}
		}
	}
	f.storing = f.initiator.storable(head)
	f.meta.Lifetime = explicitLifetime(f.server.storedResponse(&store.CachedObject{Meta: f.meta}))
	if variesByEncoding(f.meta.Fields["Vary"]) && !strings.Contains(f.key, "\x00") {
		ownVariant := f.initiator.variant()
		f.meta.Key += ownVariant
		f.isVariant = f.storing
		for req := range f.waiters { // requests for other variants look these up
			if variant := req.variant(); variant != ownVariant {
				f.removeWaiter(req)
				req.key, req.joined = req.key+variant, false
				req.lookup()
			}
		}
		if f.ended {
			return false
		}
	}
	f.headReceived = true
	if f.storing {
		f.reserving = s.disk.Submit(func() {
			writer, err := s.store.BeginSince(f.sincePurge, f.meta, f.size)
			var object *store.CachedObject
			if err == nil {
				object = writer.Reader()
			}
			s.post(func() { f.writerReady(writer, object) })
		})
		f.storing = f.reserving
	}
	for req := range f.waiters {
		f.sendResponse(req)
	}
	return !f.ended
}

// storedFields are the header fields that are stored with an object, by their names in lower case.
var storedFields = map[string]string{"content-type": "Content-Type", "etag": "ETag", "last-modified": "Last-Modified", "cache-control": "Cache-Control",
	"surrogate-control": "Surrogate-Control", "vary": "Vary", "content-encoding": "Content-Encoding", "content-range": "Content-Range", "cache-tag": "Cache-Tag"}

// joinFields joins the values of all fields of a name into one list.
func joinFields(head *http1.Head, name string) string {
	joined := ""
	for i := range head.Fields {
		if strings.EqualFold(string(head.Fields[i].Name), name) {
			if joined != "" {
				joined += ", "
			}
			joined += string(head.Fields[i].Value)
		}
	}
	return joined
}

// sourceVersion returns the version of the object that a response states, and the earliest time at
// which the object may have been generated. The time that the response took counts as age (RFC
// 9111, 4.2.3): the source may have generated the object as soon as it received the request. The age
// is that of Spool-Copy, unless its version is below minVersion, or else that of Age.
func (f *fill) sourceVersion(head *http1.Head, minVersion int64) (version, generatedAt int64) {
	field := head.Get("spool-copy")
	stated, err := fetchheader.ParseCopyVersion(string(field))
	if field == nil || err != nil || stated.Number < minVersion {
		stated.Age = 0
		if seconds, err := strconv.ParseInt(string(head.Get("age")), 10, 31); err == nil {
			stated.Age = float64(seconds) * 1000
		}
	}
	return stated.Number, f.startedAt - max(int64(stated.Age), 0)
}

// revalidated handles a 304: the stale object of the initiator is still valid. It ends the fill,
// updates the generation time of the object, and lets all waiters look it up again.
func (f *fill) revalidated(head *http1.Head) {
	s, stale := f.server, f.initiator.stale
	f.initiator.stale = nil
	_, generatedAt := f.sourceVersion(head, stale.Version)
	waiters := make([]*request, 0, len(f.waiters))
	for req := range f.waiters {
		waiters = append(waiters, req)
		delete(f.waiters, req)
		req.fill, req.joined = nil, false
	}
	f.source = nil
	f.unregister()
	lookupAgain := func(ok bool) {
		if ok {
			s.stats.Renewed++
		}
		for _, req := range waiters {
			if req.unconditional = true; !req.ended { // validated only once: the object may still be too old for this request
				req.lookup()
			}
		}
	}
	if !s.disk.Submit(func() {
		ok, err := stale.Revalidated(generatedAt)
		stale.Close()
		s.post(func() { lookupAgain(ok && err == nil) })
	}) {
		go stale.Close()
		lookupAgain(false)
	}
}

// writerReady continues a fill after the thread has created its writer. The writer is nil if the
// store has rejected the object: the fill goes on in memory.
func (f *fill) writerReady(writer *store.Writer, object *store.CachedObject) {
	f.reserving = false
	switch {
	case writer == nil:
		f.storing = false
		f.memory, f.writeQueue = f.writeQueue, nil
	case f.ended:
		go func() { object.Close(); writer.Abort() }()
		return
	default:
		f.writer, f.object = writer, object
		f.writeQueued()
	}
	f.sendToWaiters()
	f.finalize()
}

// receiveBody implements responseHandler. It queues data for the store, or keeps it in memory.
func (f *fill) receiveBody(data []byte) {
	f.received += int64(len(data))
	if f.writer != nil || f.reserving {
		f.writeQueue = append(f.writeQueue, data...)
		f.writeQueued()
		return
	}
	f.memory = append(f.memory, data...)
	f.sendToWaiters()
}

// writeQueued writes the queued bytes on a thread, unless it is writing already.
func (f *fill) writeQueued() {
	if f.writing || f.writer == nil || len(f.writeQueue) == 0 {
		return
	}
	data, writer := f.writeQueue, f.writer
	f.writeQueue = nil
	f.writing = true
	if !f.server.disk.Submit(func() {
		_, err := writer.Write(data)
		f.server.post(func() { f.writeDone(data, err) })
	}) {
		f.writeDone(data, store.ErrClosed)
	}
}

// writeDone continues a fill after a thread has written data.
func (f *fill) writeDone(data []byte, err error) {
	f.writing = false
	if writer := f.abortAfterWrite; writer != nil {
		f.abortAfterWrite = nil
		go writer.Abort()
		f.finalize()
		return
	}
	if err != nil { // go on without the disk: the bytes that are not written stay in memory
		f.server.stats.WithoutDisk++
		if f.writer != nil {
			go f.writer.Abort()
		}
		f.writer, f.storing = nil, false
		f.memoryOffset = f.written
		f.memory = append(append([]byte(nil), data...), f.writeQueue...)
		f.writeQueue = nil
	} else {
		f.written += int64(len(data))
		f.writeQueued()
	}
	f.sendToWaiters()
	f.finalize()
}

// sendToWaiters continues the responses of all waiters. It pauses the source while more than
// MaxBufferedBytes are in memory.
func (f *fill) sendToWaiters() {
	for req := range f.waiters {
		req.sendMore()
	}
	if f.source != nil {
		f.source.pause(len(f.writeQueue)+len(f.memory) > f.server.cfg.MaxBufferedBytes)
	}
}

// sendTo sends the next bytes of the body to a waiter, from the store or from memory.
func (f *fill) sendTo(req *request) {
	switch {
	case req.offset < f.written:
		req.readObject(f.object, min(f.written-req.offset, chunkBytes))
	case f.writer == nil && !f.reserving && req.offset >= f.memoryOffset && req.offset < f.memoryOffset+int64(len(f.memory)):
		data := f.memory[req.offset-f.memoryOffset:]
		data = data[:min(len(data), chunkBytes)]
		req.offset += int64(len(data))
		req.conn.writeBuffer = append(req.conn.writeBuffer, data...)
		f.trimMemory()
		req.conn.flush()
	}
}

// trimMemory discards the bytes of memory that all waiters have.
func (f *fill) trimMemory() {
	lowest := f.memoryOffset + int64(len(f.memory))
	for req := range f.waiters {
		lowest = min(lowest, req.offset)
	}
	if trimmed := lowest - f.memoryOffset; trimmed > 0 {
		f.memory, f.memoryOffset, f.memoryTrimmed = append([]byte(nil), f.memory[trimmed:]...), lowest, true
	}
	if f.source != nil {
		f.source.pause(len(f.writeQueue)+len(f.memory) > f.server.cfg.MaxBufferedBytes)
	}
}

// finish implements responseHandler. The body is complete.
func (f *fill) finish() {
	f.complete, f.source = true, nil
	f.finalize()
}

// compactBytes limits what the store rewrites by compaction after each stored object.
const compactBytes = 256 << 10

// finalize commits the object when all of its body is written, and then ends the fill. When the fill
// has ended and has no waiters, finalize closes the object. Called earlier, it has no effect.
func (f *fill) finalize() {
	if f.complete && f.writer != nil && !f.writing && len(f.writeQueue) == 0 {
		writer := f.writer
		f.writer = nil
		s := f.server
		commit := func() {
			ok, err := writer.Commit()
			if ok && f.isVariant {
				s.storeVariantsMarker(f.key, f.meta, f.sincePurge)
			}
			if err == nil {
				s.store.Compact(compactBytes)
			}
			s.post(func() {
				if ok {
					s.stats.Kept++
				}
				f.unregister()
			})
		}
		if !s.disk.Submit(commit) {
			go writer.Abort()
			f.unregister()
		}
		return
	}
	if f.complete && f.writer == nil && !f.reserving && !f.storing {
		f.unregister()
	}
	if f.ended && len(f.waiters) == 0 && f.object != nil && !f.writing {
		go f.object.Close()
		f.object = nil
	}
}

// storeVariantsMarker stores the marker of a key with variants, see variantsField. It runs on a
// thread.
func (s *Server) storeVariantsMarker(key string, meta store.Meta, sincePurge uint64) {
	meta.Key, meta.Fields, meta.Lifetime = key, map[string]string{variantsField: meta.Fields["Vary"]}, 0
	if writer, err := s.store.BeginSince(sincePurge, meta, 0); err == nil {
		writer.Commit()
	}
}

// unregister ends the fill: no request can join it any more. Its waiters go on reading the body.
func (f *fill) unregister() {
	if f.ended {
		return
	}
	f.ended = true
	if req := f.initiator; req.background && req.stale != nil {
		go req.stale.Close()
		req.stale = nil
	}
	f.server.fillsInFlight--
	if f.server.fills[f.key] == f {
		delete(f.server.fills, f.key)
	}
	f.finalize()
}

// fail ends the fill before its body is complete. Waiters whose response has begun lose their
// connection. The others get their stale object, if it may be served on errors, or the status.
func (f *fill) fail(status int, detail string) {
	if f.ended {
		return
	}
	if f.source != nil {
		source := f.source
		f.source = nil
		source.close()
	}
	if f.writer != nil {
		if f.writing {
			f.abortAfterWrite = f.writer
		} else {
			go f.writer.Abort()
		}
		f.writer = nil
	}
	f.unregister()
	for req := range f.waiters {
		delete(f.waiters, req)
		req.fill = nil
		switch stale := req.stale; {
		case req.headSent:
			req.conn.close() // the client sees that the body is shorter than Content-Length
		case stale != nil && !stale.PurgesUnknown && !f.server.ageUnknown(stale) && req.attempt.Age <= 0 && httpcache.ServableOnError(float64(f.server.now()), f.server.storedResponse(stale), 0):
			req.stale = nil
			f.server.stats.Stale++
			req.serveObject(stale, fetchheader.CacheStatus{Hit: true, Detail: detail})
		default:
			req.respondEmpty(status, fetchheader.CacheStatus{Fwd: "miss", Detail: detail})
		}
	}
	f.finalize()
}
