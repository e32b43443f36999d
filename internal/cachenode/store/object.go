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
	store         *Store
	segment       *segment
	bodyOffset    int64
	sincePurge    uint64
	closed        bool

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
	g := s.segments[p.segment]
	if !s.segmentReadable(g) || !s.slots[i].live() { // the latter where it lies behind the end of a segment that was opened just now
		s.Stats.Misses++
		s.mu.Unlock()
		return nil
	}
	g.refs++
	s.slots[i].packed |= flagUsed
	s.mu.Unlock()

	m, err := s.readMeta(g, &p)
	if err != nil { // it may be being renewed
		s.mu.Lock()
		m, err = s.readMeta(g, &p)
		s.mu.Unlock()
	}
	if err == nil && p.packed&flagVerified == 0 {
		err = verifyBody(g.file, &p)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k, still := s.byHash[hash]
	same := still && s.slots[k].segment == p.segment && s.slots[k].offset8 == p.offset8
	switch {
	case err == nil && m.Key != key: // another of the same hash
		s.Stats.Misses++
	case err == nil && s.purged(p.sincePurge, m):
		s.Stats.Purged++
		if same {
			s.removePlace(hash)
		}
	case err != nil && !errors.Is(err, ErrCorrupt): // it may be right, and is read again later
		s.Stats.Misses++
		s.suspendSegment(g, err)
	case err != nil:
		s.Stats.Corrupt++
		if same {
			s.options.Warn(fmt.Sprintf("store: a copy in %s at byte %d is not given out: %v", segmentName(p.segment), int64(p.offset8)*8, err))
			s.removePlace(hash)
			s.logDrop(hash)
		}
	default:
		if same {
			s.slots[k].packed |= flagVerified
		}
		s.Stats.Hits++
		return s.cachedObject(&p, g, m)
	}
	s.unref(g, 1)
	return nil
}

// copyOf is a copy that was found. Its segment has one more reader.
func (s *Store) cachedObject(p *place, g *segment, m *Meta) *CachedObject {
	before := p.packed&flagConfirmed == 0
	return &CachedObject{Meta: *m, Size: p.bodyLen(), store: s, segment: g, bodyOffset: int64(p.offset8)*8 + int64(p.metaLen()), sincePurge: p.sincePurge, BeforeStart: before, PurgesUnknown: before && !s.purgesCaughtUp}
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
	g := s.segments[p.segment]
	f, can := g.file.(nowReader)
	if !can || p.packed&flagVerified == 0 || g.fault != nil || s.syncLost(g) {
		return nil, false
	}
	if cap(s.headBuffer) < p.metaLen() {
		s.headBuffer = make([]byte, max(p.metaLen(), 4096))
	}
	b := s.headBuffer[:p.metaLen()]
	if n, err := f.ReadNow(b, int64(p.offset8)*8); err != nil || n < len(b) {
		return nil, false
	}
	m, err := parseMeta(b)
	if err != nil || m.Key != key || s.purged(p.sincePurge, m) {
		return nil, false // to be told, and dropped, by Find
	}
	p.packed |= flagUsed
	g.refs++
	s.Stats.Hits++
	return s.cachedObject(p, g, m), true
}

// check reads a body, and compares its checksum.
func verifyBody(f File, p *place) error {
	buf := make([]byte, min(p.bodyLen(), 1<<20))
	sum, at := uint32(0), int64(p.offset8)*8+int64(p.metaLen())
	for left := p.bodyLen(); left > 0; {
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
	if sum != p.bodyCRC {
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
	n, err := c.segment.file.ReadAt(b, c.bodyOffset+off)
	if c.syncLost() {
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
	f, can := c.segment.file.(nowReader)
	if !can || off >= c.Size {
		return 0
	}
	n, _ := f.ReadNow(b[:min(int64(len(b)), c.Size-off)], c.bodyOffset+off)
	if c.syncLost() {
		return 0
	}
	return n
}

// unsure reports whether a sync has lost what may be the copy's bytes.
func (c *CachedObject) syncLost() bool {
	return c.segment.syncFailed.Load() && (c.filling || c.store.syncLost(c.segment))
}

// Void reports whether a purge voids the copy by now.
func (c *CachedObject) Purged() bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.purged(c.sincePurge, &c.Meta)
}

// Renew says that the copy's source has found it still good: it was born so much later
// (Unix ms). It is written over its head in place; one that a crash tears is dropped by its
// checksum. False: it is not the copy of its key any more, or its head would not fit.
func (c *CachedObject) Renew(born int64) (bool, error) {
	s := c.store
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
	at := int64(p.offset8) * 8
	if p.segment != c.segment.number || at+int64(p.metaLen()) != c.bodyOffset || 4+len(meta) != p.metaLen() || s.purged(p.sincePurge, &m) {
		return false, nil
	}
	head := append(make([]byte, 4, 4+len(meta)), meta...)
	binary.LittleEndian.PutUint32(head, crc32.Checksum(meta, castagnoli))
	if err := writeAt(c.segment.file, head, at); err != nil {
		return false, s.failSegment("write", c.segment, err)
	}
	s.Stats.WrittenBytes += int64(len(head))
	p.packed |= flagConfirmed
	c.Born, c.BeforeStart, c.PurgesUnknown = born, false, false
	return true, nil
}

// Close ends reading.
func (c *CachedObject) Close() {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.store.unref(c.segment, 1)
	}
}
