package store

import (
	"fmt"
	"hash/crc32"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Writer writes an object. It is for one goroutine, and ends with Commit or Abort.
type Writer struct {
	store    *Store
	segment  *segment
	meta     Meta
	location location
	size     int64 // of the body, as it was announced
	written  int64
	crc      uint32 // of what was written
	done     bool
	err      error // a write failed, or was too long
}

// Begin begins an object with a body of size bytes, whose fill begins now: what is purged
// from here on covers it, unless its version says otherwise. Where room is needed, the oldest
// segments are evicted; Compact makes room ahead of that, and keeps what is used. The error
// is ErrTooLarge, ErrClosed or a FaultError.
func (s *Store) Begin(meta Meta, size int64) (*Writer, error) {
	return s.BeginSince(s.LastPurge(), meta, size)
}

// BeginSince is Begin for a fill that began when the last purge was since (LastPurge).
func (s *Store) BeginSince(since uint64, meta Meta, size int64) (*Writer, error) {
	head, err := encodeMeta(&meta)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	writer, err := s.reserve(meta, len(head), size, since)
	if err != nil {
		s.Stats.Refused++
		return nil, err
	}
	if err := writeAt(writer.segment.file, head, writer.location.offset()); err != nil {
		writer.release()
		s.Stats.Refused++
		return nil, s.failSegment("write", writer.segment, err)
	}
	s.Stats.WrittenBytes += int64(len(head))
	return writer, nil
}

// reserve reserves room at the end of the active segment.
func (s *Store) reserve(meta Meta, headLen int, size int64, since uint64) (*Writer, error) {
	if s.closed {
		return nil, ErrClosed
	}
	need := align(int64(headLen) + size)
	if size < 0 || size > maxBodyLen || headLen > maxMetaLen || need > s.options.SegmentBytes {
		return nil, fmt.Errorf("%w: %.80q has %d bytes and a head of %d, a segment %d", ErrTooLarge, meta.Key, size, headLen, s.options.SegmentBytes)
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
	return &Writer{store: s, segment: seg, meta: meta, location: loc, size: size}, nil
}

// Write writes the next bytes of the body. More than the announced size is an error, and a
// disk that fails a FaultError.
func (w *Writer) Write(data []byte) (int, error) {
	if w.done {
		return 0, ErrClosed
	}
	if w.written+int64(len(data)) > w.size {
		w.err = fmt.Errorf("store: %.80q is longer than the announced %d bytes", w.meta.Key, w.size)
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

// Commit stores the object. stored is false where a purge has overtaken it, a newer version
// is there, or its segment was evicted meanwhile; an error says that the body is incomplete,
// or the disk failed (FaultError).
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
	if err := store.logAdd(&w.location); err != nil {
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

// finishBody sees that the body is complete, and syncs it where the policy says so; without
// mu, since a sync takes its time.
func (w *Writer) finishBody() {
	if w.err == nil && w.written != w.size {
		w.err = fmt.Errorf("store: %.80q has %d bytes of %d", w.meta.Key, w.written, w.size)
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

// segmentLost reports whether what was written is gone: with an evicted segment, or one
// whose sync failed.
func (w *Writer) segmentLost() bool {
	return w.segment.evicted || w.segment.syncFailed.Load() || w.store.segments[w.segment.number] != w.segment
}

// superseded reports whether a purge covers the object, or a newer version of it was stored
// by a faster fill.
func (w *Writer) superseded() bool {
	store := w.store
	if w.location.sincePurge < store.fillBarrier || store.purged(w.location.sincePurge, &w.meta) {
		return true
	}
	slot, ok := store.byHash[w.location.keyHash]
	if !ok || w.meta.Version <= 0 {
		return false
	}
	loc := &store.slots[slot]
	present, err := store.readMeta(store.segments[loc.segment], loc)
	return err == nil && present.Key == w.meta.Key && present.Version > w.meta.Version
}

// Abort gives the object up.
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

// Reader returns an object that reads what was written so far, also while more is: up to the
// announced size, but no further than Write has returned for. It stays readable until its
// Close.
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
