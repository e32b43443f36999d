package store

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Writer writes a copy. It is for one goroutine.
type Writer struct {
	store   *Store
	segment *segment
	meta    Meta
	place   place
	size    int64
	written int64
	crc     uint32
	done    bool
	err     error
}

// Begin begins a copy of so many bytes, whose fill begins now: what is purged from here on
// voids it, unless its version says better. Room is made for it by giving up the segment
// that was written first; of that, copies that were found since, and those of rank 3,
// are written anew.
func (s *Store) Begin(m Meta, size int64) (*Writer, error) {
	return s.BeginSince(s.LastPurge(), m, size)
}

// BeginSince is Begin for a fill that began when the last purge was a number.
func (s *Store) BeginSince(since uint64, m Meta, size int64) (*Writer, error) {
	meta, err := json.Marshal(&m)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	head := append(make([]byte, 4, 4+len(meta)), meta...)
	binary.LittleEndian.PutUint32(head, crc32.Checksum(meta, castagnoli))
	s.mu.Lock()
	defer s.mu.Unlock()
	w, err := s.reserve(m, len(head), size, since)
	if err != nil {
		s.Stats.Refused++
		return nil, err
	}
	if err := writeAt(w.segment.file, head, int64(w.place.offset8)*8); err != nil {
		w.drop()
		s.Stats.Refused++
		return nil, s.failSegment("write", w.segment, err)
	}
	s.Stats.WrittenBytes += int64(len(head))
	return w, nil
}

// begin gives out room. The lock is held.
func (s *Store) reserve(m Meta, head int, size int64, since uint64) (*Writer, error) {
	switch {
	case s.closed:
		return nil, ErrClosed
	case size < 0 || size > maxBodyLen || head > maxMetaLen || align(int64(head)+size) > s.options.SegmentBytes:
		return nil, fmt.Errorf("%w: %.80q has %d bytes and a head of %d, a segment %d", ErrTooLarge, m.Key, size, head, s.options.SegmentBytes)
	}
	if err := s.retryIfDue(); err != nil {
		return nil, err
	}
	need := align(int64(head) + size)
	if s.active == nil || s.active.size+need > s.options.SegmentBytes {
		if err := s.rotate(); err != nil {
			return nil, err
		}
	}
	g := s.active
	w := &Writer{store: s, segment: g, meta: m, size: size, place: place{keyHash: xxhash.Sum64String(m.Key), objectHash: xxhash.Sum64String(m.Object), sincePurge: since,
		segment: g.number, offset8: uint32(g.size / 8), packed: packLengths(size, head, m.Rank), group: m.Group}}
	g.size += need
	g.refs++
	s.usedBytes += need
	return w, nil
}

// Write writes the next bytes. What does not fit the size that was said is an error.
func (w *Writer) Write(b []byte) (int, error) {
	if w.done {
		return 0, ErrClosed
	}
	if w.written+int64(len(b)) > w.size {
		w.err = fmt.Errorf("store: %.80q is longer than the %d bytes that were said", w.meta.Key, w.size)
		return 0, w.err
	}
	n, err := w.segment.file.WriteAt(b, int64(w.place.offset8)*8+int64(w.place.metaLen())+w.written)
	w.crc = crc32.Update(w.crc, castagnoli, b[:n])
	w.written += int64(n)
	w.store.mu.Lock()
	w.store.Stats.WrittenBytes += int64(n)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err != nil {
		w.err = w.store.failSegment("write", w.segment, err)
	}
	w.store.mu.Unlock()
	return n, w.err
}

// Commit keeps the copy. kept is false where a purge has overtaken it, or it was given up
// for room meanwhile; an error says that it did not come whole, or the disk failed.
func (w *Writer) Commit() (kept bool, err error) {
	s := w.store
	if w.done {
		return false, ErrClosed
	}
	if w.err == nil && w.written != w.size {
		w.err = fmt.Errorf("store: %.80q has %d bytes of %d", w.meta.Key, w.written, w.size)
	}
	if w.err == nil && s.options.Sync >= SyncObjects {
		if err := w.segment.sync(); err != nil {
			s.mu.Lock()
			w.err = s.failSegment("sync", w.segment, err)
			s.mu.Unlock()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer w.drop()
	switch {
	case w.err != nil:
		s.Stats.Refused++
		return false, w.err
	case s.closed:
		return false, ErrClosed
	case s.failure != nil:
		return false, s.failure
	case w.segment.evicted || w.segment.syncFailed.Load() || s.segments[w.segment.number] != w.segment, w.place.sincePurge < s.fillBarrier, s.purged(w.place.sincePurge, &w.meta):
		s.Stats.Refused++
		return false, nil
	}
	if i, has := s.byHash[w.place.keyHash]; has && w.meta.Version > 0 { // a slower fill of an older version
		if old, err := s.readMeta(s.segments[s.slots[i].segment], &s.slots[i]); err == nil && old.Key == w.meta.Key && old.Version > w.meta.Version {
			s.Stats.Refused++
			return false, nil
		}
	}
	w.place.bodyCRC = w.crc
	if err := s.appendLog(s.indexLog, &s.indexLogLen, appendEntry(nil, entryAdd, w.place.append(nil))); err != nil {
		return false, s.failLog("write", indexName(s.indexNumber), err)
	}
	if s.options.Sync >= SyncObjects {
		if err := s.indexLog.Sync(); err != nil {
			return false, s.failLog("sync", indexName(s.indexNumber), err)
		}
	}
	s.addPlace(w.place)
	w.segment.synced = false
	s.slots[s.byHash[w.place.keyHash]].packed |= flagVerified | flagConfirmed
	s.Stats.Stored++
	s.Stats.BodyBytes += w.size
	return true, nil
}

// Abort gives the copy up.
func (w *Writer) Abort() {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.drop()
}

func (w *Writer) drop() {
	if !w.done {
		w.done = true
		w.store.unref(w.segment, 1)
	}
}

// Copy reads what was written so far, also while more is: up to the Size that was said,
// no further than what Write has returned for. It stays readable until its Close.
func (w *Writer) Reader() *CachedObject {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.segment.refs++
	return &CachedObject{Meta: w.meta, Size: w.size, store: w.store, segment: w.segment, bodyOffset: int64(w.place.offset8)*8 + int64(w.place.metaLen()), sincePurge: w.place.sincePurge, filling: true}
}
