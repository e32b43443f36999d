package store

import (
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// Tidy makes room ahead of need, so much of it at a time: of the segment that was written
// first, copies that were found since they were written, and those of rank 3, are written
// anew, and then it is given up. more: there is more to do. Whoever owns the store calls it
// between its writes; without, Begin gives up whole segments.
func (s *Store) Compact(most int64) (moved int64, more bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.failure != nil {
		return 0, false, nil
	}
	for len(s.segmentOrder) > 1 && s.usedBytes > s.options.MaxBytes-2*s.options.SegmentBytes {
		g := s.segments[s.segmentOrder[0]]
		if !s.segmentReadable(g) { // its copies may be read later; without room, Begin gives it up
			return moved, false, nil
		}
		i, ok := s.survivor(g)
		if !ok {
			s.evict(g.number)
			continue
		}
		p := s.slots[i]
		if moved > 0 && moved+p.size() > most {
			return moved, true, nil
		}
		n, err := s.rewriteObject(g, p)
		if moved += n; err != nil {
			return moved, false, err
		}
	}
	return moved, false, nil
}

// worthy is a copy of a segment that is to outlast it.
func (s *Store) survivor(g *segment) (uint32, bool) {
	for _, i := range g.slots {
		if p := &s.slots[i]; p.packed&flagUsed != 0 || p.rank() == 3 && p.packed&flagRewritten == 0 {
			return i, true
		}
	}
	return 0, false
}

// move writes a copy anew, at the end. One that can't be read, or is void, goes.
func (s *Store) rewriteObject(g *segment, p place) (int64, error) {
	b := make([]byte, int64(p.metaLen())+p.bodyLen())
	_, err := g.file.ReadAt(b, int64(p.offset8)*8)
	if errors.Is(err, io.EOF) {
		err = ErrCorrupt
	}
	if err != nil && !errors.Is(err, ErrCorrupt) {
		s.suspendSegment(g, err)
		return 0, nil
	}
	var m *Meta
	if err == nil {
		m, err = parseMeta(b[:p.metaLen()])
	}
	if err == nil && crc32.Checksum(b[p.metaLen():], castagnoli) != p.bodyCRC {
		err = ErrCorrupt
	}
	if err != nil || s.purged(p.sincePurge, m) {
		if err != nil {
			s.Stats.Corrupt++
			s.options.Warn(fmt.Sprintf("store: a copy in %s at byte %d is given up: %v", segmentName(p.segment), int64(p.offset8)*8, err))
		}
		s.removePlace(p.keyHash)
		return 0, nil
	}
	w, err := s.reserve(*m, p.metaLen(), p.bodyLen(), p.sincePurge)
	if err != nil {
		return 0, err
	}
	defer w.drop()
	if err := writeAt(w.segment.file, b, int64(w.place.offset8)*8); err != nil {
		return 0, s.failSegment("write", w.segment, err)
	}
	s.Stats.WrittenBytes += int64(len(b))
	if s.segments[w.segment.number] != w.segment || s.segments[g.number] != g {
		return 0, nil
	}
	w.place.bodyCRC = p.bodyCRC
	if err := s.appendLog(s.indexLog, &s.indexLogLen, appendEntry(nil, entryAdd, w.place.append(nil))); err != nil {
		return 0, s.failLog("write", indexName(s.indexNumber), err)
	}
	s.addPlace(w.place)
	w.segment.synced = false
	s.slots[s.byHash[p.keyHash]].packed |= flagVerified | flagRewritten | p.packed&flagConfirmed
	s.Stats.Rewritten++
	return p.size(), nil
}

// rewrite writes the copies anew that stand in segments whose sync failed, as far as their
// checksums say that the kernel has them still.
func (s *Store) rewriteSyncLost() error {
	for _, n := range append([]uint32(nil), s.segmentOrder...) {
		g := s.segments[n]
		if g == nil || !s.syncLost(g) || g.fault != nil && !g.backoff.due(s.options.Now()) {
			continue
		}
		g.fault = nil
		for len(g.slots) > 0 {
			if _, err := s.rewriteObject(g, s.slots[g.slots[0]]); err != nil {
				return err
			}
			if s.segments[n] != g || g.fault != nil { // given up for room, or it can't be read now
				break
			}
		}
		if s.segments[n] == g && len(g.slots) == 0 {
			s.evict(n)
		}
	}
	return nil
}
