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
	for len(s.order) > 1 && s.used > s.s.MaxBytes-2*s.s.SegmentBytes {
		g := s.segs[s.order[0]]
		if !s.readable(g) { // its copies may be read later; without room, Begin gives it up
			return moved, false, nil
		}
		i, ok := s.worthy(g)
		if !ok {
			s.evict(g.n)
			continue
		}
		p := s.slots[i]
		if moved > 0 && moved+p.size() > most {
			return moved, true, nil
		}
		n, err := s.move(g, p)
		if moved += n; err != nil {
			return moved, false, err
		}
	}
	return moved, false, nil
}

// worthy is a copy of a segment that is to outlast it.
func (s *Store) worthy(g *segment) (uint32, bool) {
	for _, i := range g.slots {
		if p := &s.slots[i]; p.lens&flagUsed != 0 || p.rank() == 3 && p.lens&flagMoved == 0 {
			return i, true
		}
	}
	return 0, false
}

// move writes a copy anew, at the end. One that can't be read, or is void, goes.
func (s *Store) move(g *segment, p place) (int64, error) {
	b := make([]byte, int64(p.meta())+p.body())
	_, err := g.f.ReadAt(b, int64(p.off)*8)
	if errors.Is(err, io.EOF) {
		err = ErrCorrupt
	}
	if err != nil && !errors.Is(err, ErrCorrupt) {
		s.rest(g, err)
		return 0, nil
	}
	var m *Meta
	if err == nil {
		m, err = parseMeta(b[:p.meta()])
	}
	if err == nil && crc32.Checksum(b[p.meta():], castagnoli) != p.crc {
		err = ErrCorrupt
	}
	if err != nil || s.void(p.since, m) {
		if err != nil {
			s.Stats.Corrupt++
			s.s.Warn(fmt.Sprintf("store: a copy in %s at byte %d is given up: %v", segmentName(p.seg), int64(p.off)*8, err))
		}
		s.unput(p.hash)
		return 0, nil
	}
	w, err := s.begin(*m, p.meta(), p.body(), p.since)
	if err != nil {
		return 0, err
	}
	defer w.drop()
	if err := writeAt(w.g.f, b, int64(w.p.off)*8); err != nil {
		return 0, s.failSegment("write", w.g, err)
	}
	s.Stats.WrittenBytes += int64(len(b))
	if s.segs[w.g.n] != w.g || s.segs[g.n] != g {
		return 0, nil
	}
	w.p.crc = p.crc
	if err := s.append(s.index, &s.indexL, entry(nil, kindAdd, w.p.append(nil))); err != nil {
		return 0, s.failLog("write", indexName(s.indexN), err)
	}
	s.put(w.p)
	w.g.synced = false
	s.slots[s.byHash[p.hash]].lens |= flagChecked | flagMoved | p.lens&flagKnown
	s.Stats.Rewritten++
	return p.size(), nil
}

// rewrite writes the copies anew that stand in segments whose sync failed, as far as their
// checksums say that the kernel has them still.
func (s *Store) rewrite() error {
	for _, n := range append([]uint32(nil), s.order...) {
		g := s.segs[n]
		if g == nil || !s.distrusted(g) || g.fault != nil && !g.retry.due(s.s.Now()) {
			continue
		}
		g.fault = nil
		for len(g.slots) > 0 {
			if _, err := s.move(g, s.slots[g.slots[0]]); err != nil {
				return err
			}
			if s.segs[n] != g || g.fault != nil { // given up for room, or it can't be read now
				break
			}
		}
		if s.segs[n] == g && len(g.slots) == 0 {
			s.evict(n)
		}
	}
	return nil
}
