package store

import (
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
)

// Compact makes room before it is needed. It rewrites those objects of the oldest segment that
// were looked up since they were written, or have rank 3, to the active segment, and evicts the
// oldest segment. A call rewrites about maxBytes at most; more reports whether there is more to
// do. The owner of the store should call Compact between writes; otherwise Begin evicts segments
// with all their objects. The error is a FaultError.
func (s *Store) Compact(maxBytes int64) (rewritten int64, more bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.failure != nil {
		return 0, false, nil
	}
	for len(s.segmentOrder) > 1 && s.usedBytes > s.options.MaxBytes-2*s.options.SegmentBytes {
		seg := s.segments[s.segmentOrder[0]]
		if !s.segmentReadable(seg) { // its objects may be readable later; if room is needed before, Begin evicts it
			return rewritten, false, nil
		}
		slot, ok := s.objectToKeep(seg)
		if !ok {
			s.evict(seg.number)
			continue
		}
		loc := s.slots[slot]
		if rewritten > 0 && rewritten+loc.size() > maxBytes {
			return rewritten, true, nil
		}
		n, err := s.rewriteObject(seg, loc)
		rewritten += n
		if err != nil {
			return rewritten, false, err
		}
	}
	return rewritten, false, nil
}

// objectToKeep returns the slot of an object that must be rewritten before its segment is evicted.
func (s *Store) objectToKeep(seg *segment) (slot uint32, ok bool) {
	for _, slot := range seg.slots {
		loc := &s.slots[slot]
		if loc.has(flagUsed) || loc.rank() == maxRank && !loc.has(flagRewritten) {
			return slot, true
		}
	}
	return 0, false
}

// rewriteObject copies an object to the end of the active segment, and returns the number of bytes
// that it occupies there. A corrupt or purged object is dropped. If the object can't be read now,
// it stays in its segment.
func (s *Store) rewriteObject(seg *segment, loc location) (int64, error) {
	data, meta, err := readObject(seg, &loc)
	if err != nil && !errors.Is(err, ErrCorrupt) {
		s.suspendSegment(seg, err)
		return 0, nil
	}
	if err != nil {
		s.Stats.Corrupt++
		s.options.Warn(fmt.Sprintf("store: dropped the object in %s at offset %d: %v; it is fetched again when requested; if this repeats, check the disk", segmentName(loc.segment), loc.offset(), err))
	}
	if err != nil || s.purged(loc.sincePurge, meta) {
		s.removeLocation(loc.keyHash)
		return 0, nil
	}
	writer, err := s.reserve(*meta, loc.headLen(), loc.bodyLen(), loc.sincePurge)
	if err != nil {
		return 0, err
	}
	defer writer.release()
	if err := writeAt(writer.segment.file, data, writer.location.offset()); err != nil {
		return 0, s.failSegment("write", writer.segment, err)
	}
	s.Stats.WrittenBytes += int64(len(data))
	if s.segments[writer.segment.number] != writer.segment || s.segments[seg.number] != seg {
		return 0, nil // reserve has evicted one of the segments
	}
	writer.location.bodyCRC = loc.bodyCRC
	if err := s.appendAddEntry(&writer.location); err != nil {
		return 0, err
	}
	s.addLocation(writer.location)
	writer.segment.synced = false
	s.slots[s.byHash[loc.keyHash]].packed |= flagVerified | flagRewritten | loc.packed&flagConfirmed
	s.Stats.Rewritten++
	return loc.size(), nil
}

// readObject reads the head and the body of an object and verifies both.
func readObject(seg *segment, loc *location) (data []byte, meta *Meta, err error) {
	data = make([]byte, int64(loc.headLen())+loc.bodyLen())
	if _, err := seg.file.ReadAt(data, loc.offset()); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, nil, ErrCorrupt
		}
		return nil, nil, err
	}
	meta, err = parseHead(data[:loc.headLen()])
	if err != nil {
		return nil, nil, err
	}
	if crc32.Checksum(data[loc.headLen():], castagnoli) != loc.bodyCRC {
		return nil, nil, ErrCorrupt
	}
	return data, meta, nil
}

// rewriteUnsynced rewrites the objects of segments whose sync has failed, if their checksums show
// that the kernel still has the data, and evicts these segments.
func (s *Store) rewriteUnsynced() error {
	for _, number := range slices.Clone(s.segmentOrder) {
		seg := s.segments[number]
		if seg == nil || !s.objectsMayBeLost(seg) {
			continue
		}
		if seg.fault != nil && !seg.backoff.due(s.options.Now()) {
			continue
		}
		seg.fault = nil
		for len(seg.slots) > 0 {
			if _, err := s.rewriteObject(seg, s.slots[seg.slots[0]]); err != nil {
				return err
			}
			if s.segments[number] != seg || seg.fault != nil { // the segment was evicted for room, or can't be read now
				break
			}
		}
		if s.segments[number] == seg && len(seg.slots) == 0 {
			s.evict(number)
		}
	}
	return nil
}
