package store

import (
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/cespare/xxhash/v2"
)

const (
	verifyBytes   = 1 << 20 // size of the reads by which a body is verified
	minHeadBuffer = 4096    // smallest length of Store.headBuffer in bytes
)

// CachedObject is an object that Lookup has found, or that Writer.Reader returns. Its body stays
// readable until Close, even if it is purged or evicted meanwhile. Use Purged to detect a purge.
type CachedObject struct {
	Meta
	Size          int64 // length of the body in bytes
	Unconfirmed   bool  // stored by an earlier run of the process, and not confirmed by its source in this run
	PurgesUnknown bool  // Unconfirmed, and a purge made while the store was closed may not have arrived: to be validated first

	store      *Store
	segment    *segment
	bodyOffset int64
	sincePurge uint64 // as in location
	closed     bool
	filling    bool // returned by Writer.Reader: its body was still being written
}

// Lookup returns the object of a key, or nil if there is none that can be served. The first
// lookup of an object since the start reads its whole body to verify the checksum.
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
	unchanged := ok && s.slots[slot].segment == loc.segment && s.slots[slot].offset8 == loc.offset8 // not replaced during the read
	switch {
	case err == nil && meta.Key != key: // another key with the same hash
		s.Stats.Misses++
	case err == nil && s.purged(loc.sincePurge, meta):
		s.Stats.Purged++
		if unchanged {
			s.removeLocation(keyHash)
		}
	case err != nil && !errors.Is(err, ErrCorrupt): // the object may be valid; reading it is tried again later
		s.Stats.Misses++
		s.suspendSegment(seg, err)
	case err != nil:
		s.Stats.Corrupt++
		if unchanged {
			s.options.Warn(fmt.Sprintf("store: dropped object %.80q (%s, offset %d): %v; it is fetched again when requested; if this repeats, check the disk", key, segmentName(loc.segment), loc.offset(), err))
			s.removeLocation(keyHash)
			s.appendDropEntry(keyHash)
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

// locate returns the location of an object and its segment, to which it adds a reference. The
// segment is nil if there is no object or it can't be read. The caller must not hold mu.
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
	// segmentReadable opens the segment if necessary, and then removes objects that lie beyond the
	// end of its file, so check that the object still exists.
	if !s.segmentReadable(seg) || !s.slots[slot].live() {
		s.Stats.Misses++
		return nil, location{}
	}
	seg.refs++
	s.slots[slot].packed |= flagUsed
	return seg, loc
}

// readVerified reads the head of an object, and verifies its body unless the body was verified
// since the start. The caller must not hold mu, since reading may take long.
func (s *Store) readVerified(seg *segment, loc *location) (*Meta, error) {
	meta, err := s.readHead(seg, loc)
	if err != nil { // the head may be half written by Revalidated, which holds mu: read it again with mu held
		s.mu.Lock()
		meta, err = s.readHead(seg, loc)
		s.mu.Unlock()
	}
	if err == nil && !loc.has(flagVerified) {
		err = verifyBody(seg.file, loc)
	}
	return meta, err
}

// verifyBody reads a body and verifies its checksum.
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

// newCachedObject returns a CachedObject for an object that was found. It takes over the
// caller's reference to the segment.
func (s *Store) newCachedObject(loc *location, seg *segment, meta *Meta) *CachedObject {
	unconfirmed := !loc.has(flagConfirmed)
	return &CachedObject{
		Meta:          *meta,
		Size:          loc.bodyLen(),
		Unconfirmed:   unconfirmed,
		PurgesUnknown: unconfirmed && !s.purgesCaughtUp,
		store:         s,
		segment:       seg,
		bodyOffset:    loc.bodyOffset(),
		sincePurge:    loc.sincePurge,
	}
}

// TryLookup is like Lookup but never waits, neither for the disk nor for another goroutine. If
// the result can't be determined without waiting, known is false, and Lookup must be used.
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
	if !ok || !loc.has(flagVerified) || seg.fault != nil || s.objectsMayBeLost(seg) {
		return nil, false
	}
	if cap(s.headBuffer) < loc.headLen() {
		s.headBuffer = make([]byte, max(loc.headLen(), minHeadBuffer))
	}
	head := s.headBuffer[:loc.headLen()]
	if n, err := file.ReadNow(head, loc.offset()); err != nil || n < len(head) {
		return nil, false
	}
	meta, err := parseHead(head)
	if err != nil || meta.Key != key || s.purged(loc.sincePurge, meta) {
		return nil, false // Lookup distinguishes these cases, counts them, and removes the object if necessary
	}
	loc.packed |= flagUsed
	seg.refs++
	s.Stats.Hits++
	return s.newCachedObject(loc, seg, meta), true
}

// ReadAt implements io.ReaderAt for the body.
func (c *CachedObject) ReadAt(data []byte, off int64) (int, error) {
	if off >= c.Size {
		return 0, io.EOF
	}
	short := int64(len(data)) > c.Size-off
	if short {
		data = data[:c.Size-off]
	}
	n, err := c.segment.file.ReadAt(data, c.bodyOffset+off)
	if c.bytesMayBeLost() { // checked after the read, since the sync may fail during the read
		return 0, errSyncFailed
	}
	if err == nil && short {
		err = io.EOF
	}
	return n, err
}

// TryReadAt reads from the body what it can without waiting for the disk, and returns the number
// of bytes. If there are fewer than requested, ReadAt must be used for the rest.
func (c *CachedObject) TryReadAt(data []byte, off int64) int {
	file, ok := c.segment.file.(nonblockingReader)
	if !ok || off >= c.Size {
		return 0
	}
	n, _ := file.ReadNow(data[:min(int64(len(data)), c.Size-off)], c.bodyOffset+off)
	if c.bytesMayBeLost() { // as in ReadAt
		return 0
	}
	return n
}

// bytesMayBeLost reports whether a failed sync may have lost bytes of the body. The body of a fill
// may be unsynced under any policy, so there any failed sync of the segment may have lost bytes.
func (c *CachedObject) bytesMayBeLost() bool {
	return c.segment.syncFailed.Load() && (c.filling || c.store.objectsMayBeLost(c.segment))
}

// Purged reports whether a purge covers the object, also one made after the lookup.
func (c *CachedObject) Purged() bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.purged(c.sincePurge, &c.Meta)
}

// Revalidated records that the source has confirmed the object. generatedAt is its new generation
// time in Unix ms. The head is overwritten in place; if a crash tears it, its checksum does not
// match and the object is dropped. Revalidated returns false without an error if the object was
// replaced, dropped or purged meanwhile, the new head has another length, or the store is closed or
// has failed before. It returns an error if the head can't be encoded or written.
func (c *CachedObject) Revalidated(generatedAt int64) (bool, error) {
	store := c.store
	meta := c.Meta
	meta.GeneratedAt = generatedAt
	head, err := encodeHead(&meta)
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
	if !current || len(head) != loc.headLen() || store.purged(loc.sincePurge, &meta) {
		return false, nil
	}
	if err := writeAt(c.segment.file, head, loc.offset()); err != nil {
		return false, store.failSegment("write", c.segment, err)
	}
	store.Stats.WrittenBytes += int64(len(head))
	loc.packed |= flagConfirmed
	c.GeneratedAt = generatedAt
	c.Unconfirmed = false
	c.PurgesUnknown = false
	return true, nil
}

// Close releases the object. It may be called more than once.
func (c *CachedObject) Close() {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.store.release(c.segment)
	}
}
