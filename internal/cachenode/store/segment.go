package store

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
)

// indexLogSlack is the length in bytes up to which an index log is not rewritten, however few of
// its entries are still needed.
const indexLogSlack = 1 << 20

// segment is a file with the heads and bodies of objects.
type segment struct {
	number  uint32
	file    File     // nil: the file could not be opened yet
	size    int64    // bytes in use or reserved; before the segment is opened, the largest possible size
	refs    int      // number of readers and writers
	evicted bool     // the file was removed, and is closed with the last reference
	slots   []uint32 // slots of its objects
	synced  bool     // no object was committed since the last sync

	syncMu     sync.Mutex  // held during a sync, without the store's mu
	syncFailed atomic.Bool // a sync has failed: data written before it may be lost
	fault      error       // why the segment could not be opened or read; segmentReadable tries again
	backoff    backoff
}

// errSyncFailed means that an earlier sync of a segment failed. The segment is not synced again,
// because the kernel has dropped the pages that it could not write.
var errSyncFailed = errors.New("an earlier sync of the segment failed")

func segmentName(number uint32) string { return fmt.Sprintf("seg-%08d.dat", number) }

// contains reports whether a location lies within the segment.
func (g *segment) contains(loc *location) bool {
	return loc.bodyOffset()+loc.bodyLen() <= g.size
}

// sync syncs the segment. The caller need not hold the store's mu. After a failure all later
// calls fail: the kernel marks pages that it could not write as clean, so that another sync would
// succeed without writing them.
func (g *segment) sync() error {
	g.syncMu.Lock()
	defer g.syncMu.Unlock()
	if g.syncFailed.Load() {
		return errSyncFailed
	}
	err := g.file.Sync()
	g.syncFailed.Store(err != nil)
	return err
}

// openSegment opens a segment written before the start. It drops objects that lie beyond the end
// of the file.
func (s *Store) openSegment(seg *segment) error {
	file, err := s.fs.Open(segmentName(seg.number), false)
	if err != nil {
		return err
	}
	size, err := file.Size()
	if err != nil {
		file.Close()
		return err
	}
	s.usedBytes += size - seg.size
	seg.file, seg.size = file, size
	for _, slot := range slices.Clone(seg.slots) {
		loc := s.slots[slot]
		if !seg.contains(&loc) {
			s.removeLocation(loc.keyHash)
		}
	}
	return nil
}

// rotate begins a new segment. It evicts the oldest segments if there is not enough room for it.
func (s *Store) rotate() error {
	if err := s.syncSegments(); err != nil {
		return err
	}
	s.active = nil
	s.evictEmpty()
	for len(s.segmentOrder) > 0 && s.usedBytes+s.options.SegmentBytes > s.options.MaxBytes {
		s.evict(s.segmentOrder[0])
	}
	s.removeStale()
	seg := &segment{number: s.nextSegment}
	s.nextSegment++
	if err := s.createSegment(seg); err != nil {
		return s.failSegment("create", seg, err)
	}
	s.active = seg
	s.segments[seg.number] = seg
	s.segmentOrder = append(s.segmentOrder, seg.number)
	if s.indexLogLen > indexLogSlack && s.indexLogLen > 3*blockLen*int64(len(s.byHash)+1) {
		return s.checkpoint() // two thirds of the log or more are entries of dropped objects
	}
	return nil
}

// createSegment creates the file of a segment and syncs the folder.
func (s *Store) createSegment(seg *segment) error {
	file, err := s.fs.Open(segmentName(seg.number), true)
	if err != nil {
		return err
	}
	if err := s.fs.SyncDir(); err != nil {
		file.Close()
		s.remove(segmentName(seg.number))
		return err
	}
	seg.file = file
	return nil
}

// syncSegments syncs all segments with unsynced objects, if the policy requires it. Segments whose
// sync has failed are skipped: rewriteUnsynced copies their objects to another segment.
func (s *Store) syncSegments() error {
	if s.options.Sync < SyncSegments {
		return nil
	}
	for _, number := range s.segmentOrder {
		seg := s.segments[number]
		if seg.synced || seg.syncFailed.Load() {
			continue
		}
		if err := seg.sync(); err != nil {
			return s.failSegment("sync", seg, err)
		}
		seg.synced = true
	}
	return nil
}

// evictEmpty removes segments without objects, readers and writers. Failed writes leave such
// segments behind.
func (s *Store) evictEmpty() {
	for _, number := range slices.Clone(s.segmentOrder) {
		if seg := s.segments[number]; len(seg.slots) == 0 && seg.refs == 0 {
			s.evict(number)
		}
	}
}

// evict removes a segment and drops its objects.
func (s *Store) evict(number uint32) {
	seg := s.segments[number]
	for _, slot := range slices.Clone(seg.slots) {
		s.removeLocation(s.slots[slot].keyHash)
		s.Stats.Evicted++
	}
	delete(s.segments, number)
	if i := slices.Index(s.segmentOrder, number); i >= 0 {
		s.segmentOrder = slices.Delete(s.segmentOrder, i, i+1)
	}
	s.usedBytes -= seg.size
	s.remove(segmentName(number))
	seg.evicted = true
	s.closeUnreferenced(seg)
}

// release releases a reference to a segment.
func (s *Store) release(seg *segment) {
	seg.refs--
	s.closeUnreferenced(seg)
}

// closeUnreferenced closes the file of an evicted segment that has no readers and writers.
func (s *Store) closeUnreferenced(seg *segment) {
	if seg.refs > 0 || !seg.evicted {
		return
	}
	if seg.file != nil {
		seg.file.Close()
	}
	seg.evicted = false
}

// objectsMayBeLost reports whether objects that were committed to a segment may be missing on disk
// although the policy requires that they are synced. That is so only with SyncSegments, after a
// sync has failed: SyncObjects syncs each object before it is committed, and SyncPurges does not
// sync objects. The caller need not hold mu.
func (s *Store) objectsMayBeLost(seg *segment) bool {
	return s.options.Sync == SyncSegments && seg.syncFailed.Load()
}

// suspendSegment records that a segment can't be read. Its objects are not served until the segment
// can be read again.
func (s *Store) suspendSegment(seg *segment, err error) {
	if seg.fault == nil {
		s.options.Warn(fmt.Sprintf("store: reading %s failed; its objects are not served until a retry succeeds: %v", segmentName(seg.number), err))
	}
	seg.fault = err
	seg.backoff.failed(s.options.Now())
	s.faulty.Store(true)
}

// segmentReadable reports whether the objects of a segment can be read. It retries a suspended
// segment whose backoff is over.
func (s *Store) segmentReadable(seg *segment) bool {
	if s.objectsMayBeLost(seg) {
		return false
	}
	if seg.fault == nil {
		return true
	}
	if !seg.backoff.due(s.options.Now()) {
		return false
	}
	if seg.file == nil {
		if err := s.openSegment(seg); err != nil {
			s.suspendSegment(seg, err)
			return false
		}
	}
	seg.fault = nil // if a read fails again, the segment is suspended again
	return true
}
