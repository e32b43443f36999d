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

// Close ends reading.
func (c *CachedObject) Close() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if !c.over {
		c.over = true
		c.s.unref(c.g, 1)
	}
}
