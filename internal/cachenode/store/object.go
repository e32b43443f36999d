package store

import (
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/cespare/xxhash/v2"
)

const (
	verifyBytes   = 1 << 20 // of a body that are read at a time
	minHeadBuffer = 4096
)

// CachedObject is an object that a lookup found, or that a Writer's Reader reads. Its body
// stays readable until Close, also when it is purged or evicted meanwhile: whoever reads on
// has to ask Purged.
type CachedObject struct {
	Meta
	Size          int64 // of the body, in bytes
	BeforeStart   bool  // it was stored before the start, and its source has not confirmed it since
	PurgesUnknown bool  // besides, a purge may have been missed meanwhile: only its source knows

	store      *Store
	segment    *segment
	bodyOffset int64
	sincePurge uint64
	closed     bool
	filling    bool // it is being written, or was when its reader began
}

// Lookup finds an object, and verifies its checksum: the first time since the start all of
// its body is read. nil: there is none that can be served.
func (s *Store) Lookup(key string) *CachedObject {
	keyHash := xxhash.Sum64String(key)
	seg, loc := s.locate(keyHash)
	if seg == nil {
		return nil
	}
	meta, err := s.readVerified(seg, &loc)
	s.mu.Lock()
	defer s.mu.Unlock()
	slot, ok := s.byHash[keyHash]
	unchanged := ok && s.slots[slot].segment == loc.segment && s.slots[slot].offset8 == loc.offset8
	switch {
	case err == nil && meta.Key != key: // another of the same hash
		s.Stats.Misses++
	case err == nil && s.purged(loc.sincePurge, meta):
		s.Stats.Purged++
		if unchanged {
			s.removeLocation(keyHash)
		}
	case err != nil && !errors.Is(err, ErrCorrupt): // it may be right, and is read again later
		s.Stats.Misses++
		s.suspendSegment(seg, err)
	case err != nil:
		s.Stats.Corrupt++
		if unchanged {
			s.options.Warn(fmt.Sprintf("store: an object in %s at byte %d is dropped: %v", segmentName(loc.segment), loc.offset(), err))
			s.removeLocation(keyHash)
			s.logDrop(keyHash)
		}
	default:
		if unchanged {
			s.slots[slot].packed |= flagVerified
		}
		s.Stats.Hits++
		return s.newCachedObject(&loc, seg, meta)
	}
	s.release(seg)
	return nil
}

// locate finds where an object is, and takes a reference to its segment; nil: nowhere that
// can be read. It takes mu itself.
func (s *Store) locate(keyHash uint64) (*segment, location) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot, ok := s.byHash[keyHash]
	if !ok || s.closed {
		s.Stats.Misses++
		return nil, location{}
	}
	loc := s.slots[slot]
	seg := s.segments[loc.segment]
	// segmentReadable may open the segment, and drop the object that lies behind its end
	if !s.segmentReadable(seg) || !s.slots[slot].live() {
		s.Stats.Misses++
		return nil, location{}
	}
	seg.refs++
	s.slots[slot].packed |= flagUsed
	return seg, loc
}

// readVerified reads an object's head, and its body unless it was verified since the start;
// without mu, since the disk takes its time.
func (s *Store) readVerified(seg *segment, loc *location) (*Meta, error) {
	meta, err := s.readMeta(seg, loc)
	if err != nil { // Renew may be writing it
		s.mu.Lock()
		meta, err = s.readMeta(seg, loc)
		s.mu.Unlock()
	}
	if err == nil && !loc.has(flagVerified) {
		err = verifyBody(seg.file, loc)
	}
	return meta, err
}

// verifyBody reads a body, and compares its checksum.
func verifyBody(file File, loc *location) error {
	buf := make([]byte, min(loc.bodyLen(), verifyBytes))
	sum := uint32(0)
	at := loc.bodyOffset()
	for left := loc.bodyLen(); left > 0; {
		n := min(left, int64(len(buf)))
		if _, err := file.ReadAt(buf[:n], at); err != nil {
			if errors.Is(err, io.EOF) {
				return ErrCorrupt
			}
			return err
		}
		sum = crc32.Update(sum, castagnoli, buf[:n])
		at += n
		left -= n
	}
	if sum != loc.bodyCRC {
		return ErrCorrupt
	}
	return nil
}

// newCachedObject is an object that was found. Its segment has one more reference.
func (s *Store) newCachedObject(loc *location, seg *segment, meta *Meta) *CachedObject {
	beforeStart := !loc.has(flagConfirmed)
	return &CachedObject{
		Meta:          *meta,
		Size:          loc.bodyLen(),
		BeforeStart:   beforeStart,
		PurgesUnknown: beforeStart && !s.purgesCaughtUp,
		store:         s,
		segment:       seg,
		bodyOffset:    loc.bodyOffset(),
		sincePurge:    loc.sincePurge,
	}
}

// TryLookup is Lookup where the answer is known without waiting, for the disk or for another
// thread; known is false where it is not: then Lookup has it.
func (s *Store) TryLookup(key string) (object *CachedObject, known bool) {
	if !s.mu.TryLock() {
		return nil, false
	}
	defer s.mu.Unlock()
	slot, ok := s.byHash[xxhash.Sum64String(key)]
	if !ok || s.closed {
		s.Stats.Misses++
		return nil, true
	}
	loc := &s.slots[slot]
	seg := s.segments[loc.segment]
	file, ok := seg.file.(nonblockingReader)
	if !ok || !loc.has(flagVerified) || seg.fault != nil || s.syncLost(seg) {
		return nil, false
	}
	if cap(s.headBuffer) < loc.metaLen() {
		s.headBuffer = make([]byte, max(loc.metaLen(), minHeadBuffer))
	}
	head := s.headBuffer[:loc.metaLen()]
	if n, err := file.ReadNow(head, loc.offset()); err != nil || n < len(head) {
		return nil, false
	}
	meta, err := parseMeta(head)
	if err != nil || meta.Key != key || s.purged(loc.sincePurge, meta) {
		return nil, false // Lookup counts and drops it
	}
	loc.packed |= flagUsed
	seg.refs++
	s.Stats.Hits++
	return s.newCachedObject(loc, seg, meta), true
}

// ReadAt reads of the body, as io.ReaderAt.
func (c *CachedObject) ReadAt(data []byte, off int64) (int, error) {
	if off >= c.Size {
		return 0, io.EOF
	}
	short := int64(len(data)) > c.Size-off
	if short {
		data = data[:c.Size-off]
	}
	n, err := c.segment.file.ReadAt(data, c.bodyOffset+off)
	if c.syncLost() {
		return 0, errSyncFailed
	}
	if err == nil && short {
		err = io.EOF
	}
	return n, err
}

// TryReadAt reads of the body what is there without waiting for the disk, and returns its
// length; less than was asked for, down to none: ReadAt has the rest.
func (c *CachedObject) TryReadAt(data []byte, off int64) int {
	file, ok := c.segment.file.(nonblockingReader)
	if !ok || off >= c.Size {
		return 0
	}
	n, _ := file.ReadNow(data[:min(int64(len(data)), c.Size-off)], c.bodyOffset+off)
	if c.syncLost() {
		return 0
	}
	return n
}

// syncLost reports whether a sync has lost what may be bytes of the body.
func (c *CachedObject) syncLost() bool {
	return c.segment.syncFailed.Load() && (c.filling || c.store.syncLost(c.segment))
}

// Purged reports whether a purge covers the object by now.
func (c *CachedObject) Purged() bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.purged(c.sincePurge, &c.Meta)
}

// Revalidated says that the object's source has confirmed it: it is as if generated at born (Unix
// ms). The head is written over in place; one that a crash tears is dropped by its checksum.
// false: it is not the object of its key any more, or its head would not fit.
func (c *CachedObject) Revalidated(generatedAt int64) (bool, error) {
	store := c.store
	meta := c.Meta
	meta.GeneratedAt = generatedAt
	head, err := encodeMeta(&meta)
	if err != nil {
		return false, err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	slot, ok := store.byHash[xxhash.Sum64String(c.Key)]
	if !ok || store.closed || store.failure != nil {
		return false, nil
	}
	loc := &store.slots[slot]
	current := loc.segment == c.segment.number && loc.bodyOffset() == c.bodyOffset
	if !current || len(head) != loc.metaLen() || store.purged(loc.sincePurge, &meta) {
		return false, nil
	}
	if err := writeAt(c.segment.file, head, loc.offset()); err != nil {
		return false, store.failSegment("write", c.segment, err)
	}
	store.Stats.WrittenBytes += int64(len(head))
	loc.packed |= flagConfirmed
	c.GeneratedAt = generatedAt
	c.BeforeStart = false
	c.PurgesUnknown = false
	return true, nil
}

// Close ends reading.
func (c *CachedObject) Close() {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.store.release(c.segment)
	}
}
