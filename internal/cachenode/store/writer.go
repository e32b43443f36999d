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
	s     *Store
	g     *segment
	m     Meta
	p     place
	size  int64
	got   int64
	crc   uint32
	over  bool
	fault error
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
	w, err := s.begin(m, len(head), size, since)
	if err != nil {
		s.Stats.Refused++
		return nil, err
	}
	if err := writeAt(w.g.f, head, int64(w.p.off)*8); err != nil {
		w.drop()
		s.Stats.Refused++
		return nil, s.failSegment("write", w.g, err)
	}
	s.Stats.WrittenBytes += int64(len(head))
	return w, nil
}

// begin gives out room. The lock is held.
func (s *Store) begin(m Meta, head int, size int64, since uint64) (*Writer, error) {
	switch {
	case s.closed:
		return nil, ErrClosed
	case size < 0 || size > mostBody || head > mostMeta || align(int64(head)+size) > s.s.SegmentBytes:
		return nil, fmt.Errorf("%w: %.80q has %d bytes and a head of %d, a segment %d", ErrTooLarge, m.Key, size, head, s.s.SegmentBytes)
	}
	if err := s.mend(); err != nil {
		return nil, err
	}
	need := align(int64(head) + size)
	if s.active == nil || s.active.size+need > s.s.SegmentBytes {
		if err := s.rotate(); err != nil {
			return nil, err
		}
	}
	g := s.active
	w := &Writer{s: s, g: g, m: m, size: size, p: place{hash: xxhash.Sum64String(m.Key), object: xxhash.Sum64String(m.Object), since: since,
		seg: g.n, off: uint32(g.size / 8), lens: lensOf(size, head, m.Rank), group: m.Group}}
	g.size += need
	g.refs++
	s.used += need
	return w, nil
}

// Write writes the next bytes. What does not fit the size that was said is an error.
func (w *Writer) Write(b []byte) (int, error) {
	if w.over {
		return 0, ErrClosed
	}
	if w.got+int64(len(b)) > w.size {
		w.fault = fmt.Errorf("store: %.80q is longer than the %d bytes that were said", w.m.Key, w.size)
		return 0, w.fault
	}
	n, err := w.g.f.WriteAt(b, int64(w.p.off)*8+int64(w.p.meta())+w.got)
	w.crc = crc32.Update(w.crc, castagnoli, b[:n])
	w.got += int64(n)
	w.s.mu.Lock()
	w.s.Stats.WrittenBytes += int64(n)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err != nil {
		w.fault = w.s.failSegment("write", w.g, err)
	}
	w.s.mu.Unlock()
	return n, w.fault
}

// Commit keeps the copy. kept is false where a purge has overtaken it, or it was given up
// for room meanwhile; an error says that it did not come whole, or the disk failed.
func (w *Writer) Commit() (kept bool, err error) {
	s := w.s
	if w.over {
		return false, ErrClosed
	}
	if w.fault == nil && w.got != w.size {
		w.fault = fmt.Errorf("store: %.80q has %d bytes of %d", w.m.Key, w.got, w.size)
	}
	if w.fault == nil && s.s.Sync >= SyncObjects {
		if err := w.g.sync(); err != nil {
			s.mu.Lock()
			w.fault = s.failSegment("sync", w.g, err)
			s.mu.Unlock()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer w.drop()
	switch {
	case w.fault != nil:
		s.Stats.Refused++
		return false, w.fault
	case s.closed:
		return false, ErrClosed
	case s.failure != nil:
		return false, s.failure
	case w.g.dead || w.g.syncFailed.Load() || s.segs[w.g.n] != w.g, w.p.since < s.barrier, s.void(w.p.since, &w.m):
		s.Stats.Refused++
		return false, nil
	}
	if i, has := s.byHash[w.p.hash]; has && w.m.Version > 0 { // a slower fill of an older version
		if old, err := s.readMeta(s.segs[s.slots[i].seg], &s.slots[i]); err == nil && old.Key == w.m.Key && old.Version > w.m.Version {
			s.Stats.Refused++
			return false, nil
		}
	}
	w.p.crc = w.crc
	if err := s.append(s.index, &s.indexL, entry(nil, kindAdd, w.p.append(nil))); err != nil {
		return false, s.failLog("write", indexName(s.indexN), err)
	}
	if s.s.Sync >= SyncObjects {
		if err := s.index.Sync(); err != nil {
			return false, s.failLog("sync", indexName(s.indexN), err)
		}
	}
	s.put(w.p)
	w.g.synced = false
	s.slots[s.byHash[w.p.hash]].lens |= flagChecked | flagKnown
	s.Stats.Stored++
	s.Stats.BodyBytes += w.size
	return true, nil
}

// Abort gives the copy up.
func (w *Writer) Abort() {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	w.drop()
}

func (w *Writer) drop() {
	if !w.over {
		w.over = true
		w.s.unref(w.g, 1)
	}
}

// Copy reads what was written so far, also while more is: up to the Size that was said,
// no further than what Write has returned for. It stays readable until its Close.
func (w *Writer) Reader() *CachedObject {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	w.g.refs++
	return &CachedObject{Meta: w.m, Size: w.size, s: w.s, g: w.g, off: int64(w.p.off)*8 + int64(w.p.meta()), since: w.p.since, filling: true}
}
