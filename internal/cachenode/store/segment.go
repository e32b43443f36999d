package store

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
)

// segment is a file of bodies.
type segment struct {
	number    uint32
	file      File  // nil: it could not be opened yet
	size      int64 // given out; of one that is not open, the most that it may be
	refs      int   // readers and writers
	evicted   bool  // removed; closed with its last reader
	slots     []uint32
	liveBytes int64
	synced    bool

	syncMu     sync.Mutex  // held during a sync, not with the store's lock
	syncFailed atomic.Bool // what was written and not synced before may be lost
	fault      error       // it could not be read or opened; tried again by retry
	backoff    backoff
}

func segmentName(n uint32) string { return fmt.Sprintf("seg-%08d.dat", n) }

// holds reports whether a place lies within the segment.
func (g *segment) holds(p *place) bool {
	return int64(p.offset8)*8+int64(p.metaLen())+p.bodyLen() <= g.size
}

// sync syncs a segment. After a failure the kernel takes the pages for clean, and a later
// sync of them says nothing: it fails for good.
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

var errSyncFailed = errors.New("an earlier sync of it failed")

// open opens a segment of before. Places that lie behind its end are forgotten.
func (s *Store) openSegment(g *segment) error {
	f, err := s.fs.Open(segmentName(g.number), false)
	if err != nil {
		return err
	}
	size, err := f.Size()
	if err != nil {
		f.Close()
		return err
	}
	s.usedBytes += size - g.size
	g.file, g.size = f, size
	for _, i := range append([]uint32(nil), g.slots...) {
		if p := s.slots[i]; !g.holds(&p) {
			s.removePlace(p.keyHash)
		}
	}
	return nil
}

// rotate begins a segment. The lock is held.
func (s *Store) rotate() error {
	if err := s.syncSegments(); err != nil {
		return err
	}
	s.active = nil
	for _, n := range append([]uint32(nil), s.segmentOrder...) { // of failures
		if g := s.segments[n]; len(g.slots) == 0 && g.refs == 0 {
			s.evict(n)
		}
	}
	for len(s.segmentOrder) > 0 && s.usedBytes+s.options.SegmentBytes > s.options.MaxBytes {
		s.evict(s.segmentOrder[0])
	}
	s.removeStale()
	g := &segment{number: s.nextSegment}
	s.nextSegment++
	f, err := s.fs.Open(segmentName(g.number), true)
	if err == nil {
		if err = s.fs.SyncDir(); err != nil {
			f.Close()
			s.remove(segmentName(g.number))
		}
	}
	if err != nil {
		return s.failSegment("create", g, err)
	}
	g.file = f
	s.active = g
	s.segments[g.number] = g
	s.segmentOrder = append(s.segmentOrder, g.number)
	if s.indexLogLen > 1<<20 && s.indexLogLen > 3*blockLen*int64(len(s.byHash)+1) {
		return s.checkpoint()
	}
	return nil
}

// syncSegments has what was kept last, where the policy says so. A segment whose sync has
// failed is not tried again: its copies are written anew (rewrite).
func (s *Store) syncSegments() error {
	if s.options.Sync < SyncSegments {
		return nil
	}
	for _, n := range s.segmentOrder {
		g := s.segments[n]
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
	g := s.segments[n]
	for _, i := range append([]uint32(nil), g.slots...) {
		s.removePlace(s.slots[i].keyHash)
		s.Stats.Evicted++
	}
	delete(s.segments, n)
	for i, x := range s.segmentOrder {
		if x == n {
			s.segmentOrder = append(s.segmentOrder[:i], s.segmentOrder[i+1:]...)
			break
		}
	}
	s.usedBytes -= g.size
	s.remove(segmentName(n))
	g.evicted = true
	s.unref(g, 0)
}

func (s *Store) unref(g *segment, n int) {
	if g.refs -= n; g.refs == 0 && g.evicted {
		if g.file != nil {
			g.file.Close()
		}
		g.evicted = false
	}
}

// distrusted reports whether what was kept in a segment may not be on disk although it was
// to be: its sync failed. With SyncCopies each copy had a sync of its own, and with
// SyncPurges none was promised.
func (s *Store) syncLost(g *segment) bool {
	return s.options.Sync == SyncSegments && g.syncFailed.Load()
}

// rest notes that a segment can't be read: its copies are not given out until it can.
func (s *Store) suspendSegment(g *segment, err error) {
	if g.fault == nil {
		s.options.Warn(fmt.Sprintf("store: %s can't be read, and is tried again: %v", segmentName(g.number), err))
	}
	g.fault = err
	g.backoff.failed(s.options.Now())
	s.faulty.Store(true)
}

// readable reports whether copies of a segment can be read, and tries it again where its
// backoff is over.
func (s *Store) segmentReadable(g *segment) bool {
	if s.syncLost(g) {
		return false
	}
	if g.fault == nil {
		return true
	}
	if !g.backoff.due(s.options.Now()) {
		return false
	}
	if g.file == nil {
		if err := s.openSegment(g); err != nil {
			s.suspendSegment(g, err)
			return false
		}
	}
	g.fault = nil // a read that fails again is noted again
	return true
}
