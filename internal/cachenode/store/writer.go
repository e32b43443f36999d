package store

import (
	"fmt"
	"hash/crc32"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Writer writes one object. It must be used by one goroutine at a time, and ended by Commit or
// Abort.
type Writer struct {
	store    *Store
	segment  *segment
	meta     Meta
	location location
	begunAt  uint64 // number of the last purge when the fill began
	size     int64  // announced length of the body
	written  int64
	crc      uint32 // checksum of the bytes written so far
	done     bool
	err      error // why the object can't be committed
}

// Begin begins to write an object with a body of size bytes, whose fill begins now. A purge made
// from now on covers the object, unless the purge has a version that the object has or exceeds.
// If there is not enough room, Begin evicts the oldest segments; regular calls of Compact make
// room before that, and keep used objects. The error is ErrTooLarge, ErrClosed or a FaultError.
func (s *Store) Begin(meta Meta, size int64) (*Writer, error) {
	return s.BeginSince(s.LastPurge(), meta, size)
}

// BeginSince is like Begin, for a fill that began earlier, when LastPurge returned since. A purge
// that was received after the source had generated the object covers it, too, even if the fill
// began later: the source had not received the purge yet.
func (s *Store) BeginSince(since uint64, meta Meta, size int64) (*Writer, error) {
	head, err := encodeHead(&meta)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	writer, err := s.reserve(meta, len(head), size, s.sinceGenerated(since, &meta))
	if err != nil {
		s.Stats.Refused++
		return nil, err
	}
	writer.begunAt = since
	if err := writeAt(writer.segment.file, head, writer.location.offset()); err != nil {
		writer.release()
		s.Stats.Refused++
		return nil, s.failSegment("write", writer.segment, err)
	}
	s.Stats.WrittenBytes += int64(len(head))
	return writer, nil
}

// reserve reserves room for an object at the end of the active segment. It begins a new segment
// if there is not enough.
func (s *Store) reserve(meta Meta, headLen int, size int64, since uint64) (*Writer, error) {
	if s.closed {
		return nil, ErrClosed
	}
	need := align(int64(headLen) + size)
	if size < 0 || size > maxBodyLen || headLen > maxHeadLen || need > s.options.SegmentBytes {
		return nil, fmt.Errorf("%w: %.80q has a body of %d bytes and a head of %d, the limit is %d", ErrTooLarge, meta.Key, size, headLen, s.options.SegmentBytes)
	}
	if err := s.retryIfDue(); err != nil {
		return nil, err
	}
	if s.active == nil || s.active.size+need > s.options.SegmentBytes {
		if err := s.rotate(); err != nil {
			return nil, err
		}
	}
	seg := s.active
	loc := location{
		keyHash:    xxhash.Sum64String(meta.Key),
		objectHash: xxhash.Sum64String(meta.Object),
		sincePurge: since,
		segment:    seg.number,
		offset8:    uint32(seg.size / 8),
		packed:     packLengths(size, headLen, meta.Rank),
		group:      meta.Group,
	}
	seg.size += need
	seg.refs++
	s.usedBytes += need
	return &Writer{store: s, segment: seg, meta: meta, location: loc, begunAt: since, size: size}, nil
}

// Write writes the next bytes of the body. It returns an error if the body exceeds its announced
// size, and a FaultError if the disk fails.
func (w *Writer) Write(data []byte) (int, error) {
	if w.done {
		return 0, ErrClosed
	}
	if w.written+int64(len(data)) > w.size {
		w.err = fmt.Errorf("store: write %.80q: body exceeds its announced size of %d bytes", w.meta.Key, w.size)
		return 0, w.err
	}
	n, err := w.segment.file.WriteAt(data, w.location.bodyOffset()+w.written)
	w.crc = crc32.Update(w.crc, castagnoli, data[:n])
	w.written += int64(n)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.Stats.WrittenBytes += int64(n)
	if err != nil {
		w.err = w.store.failSegment("write", w.segment, err)
	}
	return n, w.err
}

// Commit stores the object. stored is false if a purge covers it, a newer version is stored, or
// its segment was evicted meanwhile. An error means that the body is incomplete, the store is
// closed, or the disk has failed (FaultError).
func (w *Writer) Commit() (stored bool, err error) {
	if w.done {
		return false, ErrClosed
	}
	store := w.store
	w.finishBody()
	store.mu.Lock()
	defer store.mu.Unlock()
	defer w.release()
	switch {
	case w.err != nil:
		store.Stats.Refused++
		return false, w.err
	case store.closed:
		return false, ErrClosed
	case store.failure != nil:
		return false, store.failure
	case w.segmentLost(), w.superseded():
		store.Stats.Refused++
		return false, nil
	}
	w.location.bodyCRC = w.crc
	if err := store.appendAddEntry(&w.location); err != nil {
		return false, err
	}
	if store.options.Sync >= SyncObjects {
		if err := store.indexLog.Sync(); err != nil {
			return false, store.failLog("sync", indexName(store.indexNumber), err)
		}
	}
	store.addLocation(w.location)
	w.segment.synced = false
	store.slots[store.byHash[w.location.keyHash]].packed |= flagVerified | flagConfirmed
	store.Stats.Stored++
	store.Stats.BodyBytes += w.size
	return true, nil
}

// finishBody checks that the body is complete and syncs it, if the policy requires that. The
// caller must not hold mu, since a sync may take long.
func (w *Writer) finishBody() {
	if w.err == nil && w.written != w.size {
		w.err = fmt.Errorf("store: commit %.80q: body is incomplete, %d of %d bytes", w.meta.Key, w.written, w.size)
	}
	if w.err != nil || w.store.options.Sync < SyncObjects {
		return
	}
	if err := w.segment.sync(); err != nil {
		w.store.mu.Lock()
		defer w.store.mu.Unlock()
		w.err = w.store.failSegment("sync", w.segment, err)
	}
}

// segmentLost reports whether the object can't be committed because its segment was evicted or a
// sync of it failed.
func (w *Writer) segmentLost() bool {
	return w.segment.evicted || w.segment.syncFailed.Load() || w.store.segments[w.segment.number] != w.segment
}

// superseded reports whether a purge covers the object, or a faster fill has stored a newer
// version.
func (w *Writer) superseded() bool {
	store := w.store
	if w.begunAt < store.fillBarrier || store.purged(w.location.sincePurge, &w.meta) {
		return true
	}
	slot, ok := store.byHash[w.location.keyHash]
	if !ok || w.meta.Version <= 0 {
		return false
	}
	loc := &store.slots[slot]
	present, err := store.readHead(store.segments[loc.segment], loc)
	return err == nil && present.Key == w.meta.Key && present.Version > w.meta.Version
}

// Abort discards the object.
func (w *Writer) Abort() {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.release()
}

func (w *Writer) release() {
	if !w.done {
		w.done = true
		w.store.release(w.segment)
	}
}

// Reader returns an object that reads the body while it is written. Only bytes for which Write
// has returned may be read. The object stays readable until its Close.
func (w *Writer) Reader() *CachedObject {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.segment.refs++
	return &CachedObject{
		Meta:       w.meta,
		Size:       w.size,
		store:      w.store,
		segment:    w.segment,
		bodyOffset: w.location.bodyOffset(),
		sincePurge: w.location.sincePurge,
		filling:    true,
	}
}
