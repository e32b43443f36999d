package store

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
)

// indexLogSlack is up to what length an index log is not made anew, whatever it has.
const indexLogSlack = 1 << 20

// segment is a file of heads and bodies.
type segment struct {
	number  uint32
	file    File     // nil: it could not be opened yet
	size    int64    // reserved; of one that is not open, the most that it may be
	refs    int      // readers and writers
	evicted bool     // removed; the file is closed with its last reference
	slots   []uint32 // of the objects in it
	synced  bool     // nothing was committed since its last sync

	syncMu     sync.Mutex  // held during a sync, without the store's mu
	syncFailed atomic.Bool // what was written and not synced before may be lost
	fault      error       // it could not be read or opened; segmentReadable tries again
	backoff    backoff
}

// errSyncFailed is that a segment is not synced again, since the kernel has dropped what it
// could not write.
var errSyncFailed = errors.New("an earlier sync of it failed")

func segmentName(number uint32) string { return fmt.Sprintf("seg-%08d.dat", number) }

// contains reports whether a location lies within the segment.
func (g *segment) contains(loc *location) bool {
	return loc.bodyOffset()+loc.bodyLen() <= g.size
}

// sync syncs the segment; the store's mu need not be held. After a failure the kernel takes
// the pages for clean, and a later sync that succeeds says nothing: it fails for good.
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

// openSegment opens a segment of before. Objects that lie behind its end are dropped.
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

// rotate begins a segment, for which the oldest ones are evicted as far as it needs room.
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
		return s.checkpoint() // two thirds of the log are of objects that are gone
	}
	return nil
}

// createSegment makes a segment's file, and syncs the folder.
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

// syncSegments syncs what was committed, where the policy says so. A segment whose sync has
// failed is not tried again: its objects are written anew (rewriteSyncLost).
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

// evictEmpty removes segments that nothing stands in and nobody writes to: failed writes
// leave them behind.
func (s *Store) evictEmpty() {
	for _, number := range slices.Clone(s.segmentOrder) {
		if seg := s.segments[number]; len(seg.slots) == 0 && seg.refs == 0 {
			s.evict(number)
		}
	}
}

// evict removes a segment, and drops its objects.
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

// release gives a reference back.
func (s *Store) release(seg *segment) {
	seg.refs--
	s.closeUnreferenced(seg)
}

// closeUnreferenced closes the file of an evicted segment that nobody reads or writes.
func (s *Store) closeUnreferenced(seg *segment) {
	if seg.refs > 0 || !seg.evicted {
		return
	}
	if seg.file != nil {
		seg.file.Close()
	}
	seg.evicted = false
}

// syncLost reports whether what was committed to a segment may not be on disk although the
// policy promised it: its sync failed. With SyncObjects each object had a sync of its own,
// and with SyncPurges none was promised. mu need not be held.
func (s *Store) syncLost(seg *segment) bool {
	return s.options.Sync == SyncSegments && seg.syncFailed.Load()
}

// suspendSegment notes that a segment can't be read: its objects are not served until it
// can.
func (s *Store) suspendSegment(seg *segment, err error) {
	if seg.fault == nil {
		s.options.Warn(fmt.Sprintf("store: %s can't be read, and is tried again: %v", segmentName(seg.number), err))
	}
	seg.fault = err
	seg.backoff.failed(s.options.Now())
	s.faulty.Store(true)
}

// segmentReadable reports whether objects of a segment can be read. One that is suspended is
// tried again where its backoff is over.
func (s *Store) segmentReadable(seg *segment) bool {
	if s.syncLost(seg) {
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
	seg.fault = nil // a read that fails again suspends it again
	return true
}
