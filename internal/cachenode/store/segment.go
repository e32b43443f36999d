package store

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
)

// segment is a file of bodies.
type segment struct {
	n      uint32
	f      File  // nil: it could not be opened yet
	size   int64 // given out; of one that is not open, the most that it may be
	refs   int   // readers and writers
	dead   bool  // removed; closed with its last reader
	slots  []uint32
	live   int64
	synced bool

	syncing    sync.Mutex  // held during a sync, not with the store's lock
	syncFailed atomic.Bool // what was written and not synced before may be lost
	fault      error       // it could not be read or opened; tried again by retry
	retry      backoff
}

func segmentName(n uint32) string { return fmt.Sprintf("seg-%08d.dat", n) }

// holds reports whether a place lies within the segment.
func (g *segment) holds(p *place) bool {
	return int64(p.off)*8+int64(p.meta())+p.body() <= g.size
}

// sync syncs a segment. After a failure the kernel takes the pages for clean, and a later
// sync of them says nothing: it fails for good.
func (g *segment) sync() error {
	g.syncing.Lock()
	defer g.syncing.Unlock()
	if g.syncFailed.Load() {
		return errSyncFailed
	}
	err := g.f.Sync()
	g.syncFailed.Store(err != nil)
	return err
}

var errSyncFailed = errors.New("an earlier sync of it failed")

// open opens a segment of before. Places that lie behind its end are forgotten.
func (s *Store) open(g *segment) error {
	f, err := s.fs.Open(segmentName(g.n), false)
	if err != nil {
		return err
	}
	size, err := f.Size()
	if err != nil {
		f.Close()
		return err
	}
	s.used += size - g.size
	g.f, g.size = f, size
	for _, i := range append([]uint32(nil), g.slots...) {
		if p := s.slots[i]; !g.holds(&p) {
			s.unput(p.hash)
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

// distrusted reports whether what was kept in a segment may not be on disk although it was
// to be: its sync failed. With SyncCopies each copy had a sync of its own, and with
// SyncPurges none was promised.
func (s *Store) distrusted(g *segment) bool {
	return s.s.Sync == SyncSegments && g.syncFailed.Load()
}

// rest notes that a segment can't be read: its copies are not given out until it can.
func (s *Store) rest(g *segment, err error) {
	if g.fault == nil {
		s.s.Warn(fmt.Sprintf("store: %s can't be read, and is tried again: %v", segmentName(g.n), err))
	}
	g.fault = err
	g.retry.failed(s.s.Now())
	s.ailing.Store(true)
}

// readable reports whether copies of a segment can be read, and tries it again where its
// backoff is over.
func (s *Store) readable(g *segment) bool {
	if s.distrusted(g) {
		return false
	}
	if g.fault == nil {
		return true
	}
	if !g.retry.due(s.s.Now()) {
		return false
	}
	if g.f == nil {
		if err := s.open(g); err != nil {
			s.rest(g, err)
			return false
		}
	}
	g.fault = nil // a read that fails again is noted again
	return true
}
