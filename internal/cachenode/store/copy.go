package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
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

// Number is that of the last purge. It never waits.
func (s *Store) LastPurge() uint64 { return s.latest.Load() }

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

// rotate begins a segment. The lock is held.
func (s *Store) rotate() error {
	if err := s.syncSegments(); err != nil {
		return err
	}
	s.active = nil
	for _, n := range append([]uint32(nil), s.order...) { // of failures
		if g := s.segs[n]; len(g.slots) == 0 && g.refs == 0 {
			s.evict(n)
		}
	}
	for len(s.order) > 0 && s.used+s.s.SegmentBytes > s.s.MaxBytes {
		s.evict(s.order[0])
	}
	s.removeStale()
	g := &segment{n: s.nextN}
	s.nextN++
	f, err := s.fs.Open(segmentName(g.n), true)
	if err == nil {
		if err = s.fs.SyncDir(); err != nil {
			f.Close()
			s.remove(segmentName(g.n))
		}
	}
	if err != nil {
		return s.failSegment("create", g, err)
	}
	g.f = f
	s.active = g
	s.segs[g.n] = g
	s.order = append(s.order, g.n)
	if s.indexL > 1<<20 && s.indexL > 3*block*int64(len(s.byHash)+1) {
		return s.checkpoint()
	}
	return nil
}

// syncSegments has what was kept last, where the policy says so. A segment whose sync has
// failed is not tried again: its copies are written anew (rewrite).
func (s *Store) syncSegments() error {
	if s.s.Sync < SyncSegments {
		return nil
	}
	for _, n := range s.order {
		g := s.segs[n]
		if g.synced || g.syncFailed.Load() {
			continue
		}
		if err := g.sync(); err != nil {
			return s.failSegment("sync", g, err)
		}
		g.synced = true
	}
	return nil
}

// evict gives up a segment. The lock is held.
func (s *Store) evict(n uint32) {
	g := s.segs[n]
	for _, i := range append([]uint32(nil), g.slots...) {
		s.unput(s.slots[i].hash)
		s.Stats.Evicted++
	}
	delete(s.segs, n)
	for i, x := range s.order {
		if x == n {
			s.order = append(s.order[:i], s.order[i+1:]...)
			break
		}
	}
	s.used -= g.size
	s.remove(segmentName(n))
	g.dead = true
	s.unref(g, 0)
}

func (s *Store) unref(g *segment, n int) {
	if g.refs -= n; g.refs == 0 && g.dead {
		if g.f != nil {
			g.f.Close()
		}
		g.dead = false
	}
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

// Copy is a copy that was found. Its bytes stay readable until Close, also when it is
// purged or given up for room meanwhile: who reads on has to ask Void.
type CachedObject struct {
	Meta
	Size          int64
	BeforeStart   bool // it is of before the start, and its source has not found it good since
	PurgesUnknown bool // besides, a purge may have been missed meanwhile: only its source knows
	s             *Store
	g             *segment
	off           int64
	since         uint64
	over          bool

	filling bool // it is being written, or was when its reader began
}

// Find finds a copy whose bytes are known to be right: the first time since the start
// all of them are read. nil: there is none.
func (s *Store) Lookup(key string) *CachedObject {
	hash := xxhash.Sum64String(key)
	s.mu.Lock()
	i, ok := s.byHash[hash]
	if !ok || s.closed {
		s.Stats.Misses++
		s.mu.Unlock()
		return nil
	}
	p := s.slots[i]
	g := s.segs[p.seg]
	if !s.readable(g) || !s.slots[i].live() { // the latter where it lies behind the end of a segment that was opened just now
		s.Stats.Misses++
		s.mu.Unlock()
		return nil
	}
	g.refs++
	s.slots[i].lens |= flagUsed
	s.mu.Unlock()

	m, err := s.readMeta(g, &p)
	if err != nil { // it may be being renewed
		s.mu.Lock()
		m, err = s.readMeta(g, &p)
		s.mu.Unlock()
	}
	if err == nil && p.lens&flagChecked == 0 {
		err = check(g.f, &p)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k, still := s.byHash[hash]
	same := still && s.slots[k].seg == p.seg && s.slots[k].off == p.off
	switch {
	case err == nil && m.Key != key: // another of the same hash
		s.Stats.Misses++
	case err == nil && s.void(p.since, m):
		s.Stats.Purged++
		if same {
			s.unput(hash)
		}
	case err != nil && !errors.Is(err, ErrCorrupt): // it may be right, and is read again later
		s.Stats.Misses++
		s.rest(g, err)
	case err != nil:
		s.Stats.Corrupt++
		if same {
			s.s.Warn(fmt.Sprintf("store: a copy in %s at byte %d is not given out: %v", segmentName(p.seg), int64(p.off)*8, err))
			s.unput(hash)
			s.recordDrop(hash)
		}
	default:
		if same {
			s.slots[k].lens |= flagChecked
		}
		s.Stats.Hits++
		return s.copyOf(&p, g, m)
	}
	s.unref(g, 1)
	return nil
}

// copyOf is a copy that was found. Its segment has one more reader.
func (s *Store) copyOf(p *place, g *segment, m *Meta) *CachedObject {
	before := p.lens&flagKnown == 0
	return &CachedObject{Meta: *m, Size: p.body(), s: s, g: g, off: int64(p.off)*8 + int64(p.meta()), since: p.since, BeforeStart: before, PurgesUnknown: before && !s.caught}
}

// recordDrop notes in the index log that a copy is none.
func (s *Store) recordDrop(hash uint64) {
	if s.closed || s.logBroken { // a log that is written anew has it no more
		return
	}
	b := entry(nil, kindDrop, binary.LittleEndian.AppendUint64(nil, hash))
	if err := s.append(s.index, &s.indexL, b); err != nil {
		s.failLog("write", indexName(s.indexN), err)
	}
}

// FindNow is Find where the answer is known without waiting, for the disk or for another
// thread; known is false where it is not: then Find has it.
func (s *Store) TryLookup(key string) (c *CachedObject, known bool) {
	if !s.mu.TryLock() {
		return nil, false
	}
	defer s.mu.Unlock()
	i, ok := s.byHash[xxhash.Sum64String(key)]
	if !ok || s.closed {
		s.Stats.Misses++
		return nil, true
	}
	p := &s.slots[i]
	g := s.segs[p.seg]
	f, can := g.f.(nowReader)
	if !can || p.lens&flagChecked == 0 || g.fault != nil || s.distrusted(g) {
		return nil, false
	}
	if cap(s.head) < p.meta() {
		s.head = make([]byte, max(p.meta(), 4096))
	}
	b := s.head[:p.meta()]
	if n, err := f.ReadNow(b, int64(p.off)*8); err != nil || n < len(b) {
		return nil, false
	}
	m, err := parseMeta(b)
	if err != nil || m.Key != key || s.void(p.since, m) {
		return nil, false // to be told, and dropped, by Find
	}
	p.lens |= flagUsed
	g.refs++
	s.Stats.Hits++
	return s.copyOf(p, g, m), true
}

// ReadNow reads of the copy's bytes what is there without a wait for the disk; fewer than
// were asked for, down to none: ReadAt has the rest.
func (c *CachedObject) TryReadAt(b []byte, off int64) int {
	f, can := c.g.f.(nowReader)
	if !can || off >= c.Size {
		return 0
	}
	n, _ := f.ReadNow(b[:min(int64(len(b)), c.Size-off)], c.off+off)
	if c.unsure() {
		return 0
	}
	return n
}

// CaughtUp is that all purges that were made while the store was closed were told to it
// since: nothing of before the start is in doubt any more.
func (s *Store) PurgesCaughtUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caught = true
}

// Renew says that the copy's source has found it still good: it was born so much later
// (Unix ms). It is written over its head in place; one that a crash tears is dropped by its
// checksum. False: it is not the copy of its key any more, or its head would not fit.
func (c *CachedObject) Renew(born int64) (bool, error) {
	s := c.s
	m := c.Meta
	m.Born = born
	meta, err := json.Marshal(&m)
	if err != nil {
		return false, fmt.Errorf("store: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.byHash[xxhash.Sum64String(c.Key)]
	if !ok || s.closed || s.failure != nil {
		return false, nil
	}
	p := &s.slots[i]
	at := int64(p.off) * 8
	if p.seg != c.g.n || at+int64(p.meta()) != c.off || 4+len(meta) != p.meta() || s.void(p.since, &m) {
		return false, nil
	}
	head := append(make([]byte, 4, 4+len(meta)), meta...)
	binary.LittleEndian.PutUint32(head, crc32.Checksum(meta, castagnoli))
	if err := writeAt(c.g.f, head, at); err != nil {
		return false, s.failSegment("write", c.g, err)
	}
	s.Stats.WrittenBytes += int64(len(head))
	p.lens |= flagKnown
	c.Born, c.BeforeStart, c.PurgesUnknown = born, false, false
	return true, nil
}

// check reads a body, and compares its checksum.
func check(f File, p *place) error {
	buf := make([]byte, min(p.body(), 1<<20))
	sum, at := uint32(0), int64(p.off)*8+int64(p.meta())
	for left := p.body(); left > 0; {
		n := min(left, int64(len(buf)))
		if _, err := f.ReadAt(buf[:n], at); err != nil {
			if errors.Is(err, io.EOF) {
				err = ErrCorrupt
			}
			return err
		}
		sum = crc32.Update(sum, castagnoli, buf[:n])
		at, left = at+n, left-n
	}
	if sum != p.crc {
		return ErrCorrupt
	}
	return nil
}

// ReadAt reads of the copy's bytes.
func (c *CachedObject) ReadAt(b []byte, off int64) (int, error) {
	if off >= c.Size {
		return 0, io.EOF
	}
	short := int64(len(b)) > c.Size-off
	if short {
		b = b[:c.Size-off]
	}
	n, err := c.g.f.ReadAt(b, c.off+off)
	if c.unsure() {
		return 0, errSyncFailed
	}
	if err == nil && short {
		err = io.EOF
	}
	return n, err
}

// unsure reports whether a sync has lost what may be the copy's bytes.
func (c *CachedObject) unsure() bool {
	return c.g.syncFailed.Load() && (c.filling || c.s.distrusted(c.g))
}

// Void reports whether a purge voids the copy by now.
func (c *CachedObject) Purged() bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	return c.s.void(c.since, &c.Meta)
}

// VoidNow reports whether a purge voids by now what a fill brings that began when the last
// purge was a number. known is false where that can't be told without waiting.
func (s *Store) TryPurged(since uint64, m *Meta) (void, known bool) {
	if !s.mu.TryLock() {
		return false, false
	}
	defer s.mu.Unlock()
	return s.unread || s.void(since, m), true
}

// Close ends reading.
func (c *CachedObject) Close() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if !c.over {
		c.over = true
		c.s.unref(c.g, 1)
	}
}

// Held is how many copies there are, and the bytes of disk in use.
func (s *Store) Usage() (copies int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byHash), s.used
}

// Close makes what is kept last, and ends the store.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	defer s.release()
	if s.failure != nil { // once more, whatever its backoff
		return errors.Join(s.attempt(), s.syncSegments())
	}
	return errors.Join(s.syncSegments(), s.index.Sync())
}

// Copy reads what was written so far, also while more is: up to the Size that was said,
// no further than what Write has returned for. It stays readable until its Close.
func (w *Writer) Reader() *CachedObject {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	w.g.refs++
	return &CachedObject{Meta: w.m, Size: w.size, s: w.s, g: w.g, off: int64(w.p.off)*8 + int64(w.p.meta()), since: w.p.since, filling: true}
}
