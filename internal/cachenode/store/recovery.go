package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"
)

const (
	formatName = "format"
	formatText = "indigospool store 1\n"

	// newestSample is the number of objects whose heads are read for NewestAtStart.
	newestSample = 64
)

// folderListing has the files of the folder by kind.
type folderListing struct {
	names    map[string]bool
	segments []uint32
	indexes  []int // numbers of the index logs, ascending
}

func (s *Store) listFolder() (folderListing, error) {
	names, err := s.fs.List()
	listing := folderListing{names: map[string]bool{}}
	for _, name := range names {
		listing.names[name] = true
		var segment uint32
		if _, err := fmt.Sscanf(name, "seg-%08d.dat", &segment); err == nil && segmentName(segment) == name {
			listing.segments = append(listing.segments, segment)
		}
		var index int
		if _, err := fmt.Sscanf(name, "index-%06d.log", &index); err == nil && indexName(index) == name {
			listing.indexes = append(listing.indexes, index)
		}
	}
	sort.Ints(listing.indexes)
	return listing, err
}

// reset discards what an earlier attempt to read the folder has found.
func (s *Store) reset() {
	for _, seg := range s.segments {
		if seg.file != nil {
			seg.file.Close()
		}
	}
	s.forgetObjects()
	s.segments = map[uint32]*segment{}
	s.segmentOrder = nil
	s.usedBytes = 0
	s.nextSegment = 1
	s.objectPurges = map[uint64]watermark{}
	s.groupPurges = map[int32]watermark{}
	s.purgeRules = nil
	s.unversionedRules = 0
	s.lastPurge = 0
	s.indexNumber = 0
	s.recovered = Recovered{}
}

func (s *Store) forgetObjects() {
	s.slots = nil
	s.freeSlots = nil
	s.byHash = map[uint64]uint32{}
}

// recover reads the folder. Each purge is in two logs, so that one log may be corrupt. If both
// are, a purge may be lost, and all objects stored before the start are dropped. A file that
// can't be read is not considered corrupt: recover then changes nothing and is retried later. If
// only a segment can't be read, recover goes on without it, and opens it later.
func (s *Store) recover() error {
	s.reset()
	listing, err := s.listFolder()
	if err != nil {
		return s.fail("list", "", err)
	}
	if err := s.checkFormat(listing); err != nil {
		return err
	}
	purgeLog, err := s.readFile(purgeLogName, listing.names[purgeLogName])
	if err != nil {
		return s.fail("read", purgeLogName, err)
	}
	indexed := len(listing.indexes) > 0
	var indexLog []byte
	if indexed {
		s.indexNumber = listing.indexes[len(listing.indexes)-1]
		indexLog, err = s.readFile(indexName(s.indexNumber), true)
		if err != nil {
			return s.fail("read", indexName(s.indexNumber), err)
		}
	}
	s.openSegments(listing.segments)
	purges := s.replayLogs(purgeLog, indexLog, indexed)
	s.discardIfOutdated(purges)
	s.applyRecovered(purges)
	s.dropEmptySegments()
	s.countRecovered()
	s.markStale(listing)
	s.logsUnread = false
	return nil
}

// checkFormat verifies the format of the folder, and writes it to a new folder.
func (s *Store) checkFormat(listing folderListing) error {
	data, err := s.readFile(formatName, listing.names[formatName])
	if err != nil {
		return s.fail("read", formatName, err)
	}
	text := string(data)
	if text == formatText {
		return nil
	}
	// In a folder without data, a truncated text means that a start was killed while it wrote the file.
	inUse := len(listing.indexes)+len(listing.segments) > 0
	if text != "" && (inUse || !strings.HasPrefix(formatText, text)) {
		return s.fail("read", formatName, fmt.Errorf("%w: %.40q, this program requires %q; empty the folder, or run the program that wrote it", ErrFormat, data, formatText))
	}
	file, err := s.fs.Open(formatName, true)
	if err != nil {
		return s.fail("create", formatName, err)
	}
	err = writeAt(file, []byte(formatText), 0)
	err = errors.Join(err, file.Sync(), file.Close())
	if err != nil {
		return s.fail("write", formatName, err)
	}
	return nil
}

// openSegments opens the segments written before the start. Those that can't be opened are
// suspended.
func (s *Store) openSegments(numbers []uint32) {
	for _, number := range numbers {
		s.nextSegment = max(s.nextSegment, number+1)
		seg := &segment{number: number, synced: true}
		if err := s.openSegment(seg); err != nil {
			seg.size = s.options.SegmentBytes
			s.suspendSegment(seg, err)
		}
		s.segments[number] = seg
	}
	s.usedBytes = 0 // dropEmptySegments adds the sizes of the segments that remain
}

// replayLogs adds the objects of the index log to the index and returns the purges of both logs.
// It sets DiscardReason if a purge may be lost.
func (s *Store) replayLogs(purgeLog, indexLog []byte, indexed bool) (purges []Purge) {
	addPurge := func(payload []byte) {
		if purge, ok := readPurge(payload); ok {
			purges = append(purges, purge)
		}
	}
	corrupt, purgeMayBeLost := readEntries(purgeLog, func(kind entryKind, payload []byte) {
		if kind == entryPurge {
			addPurge(payload)
		}
	})
	s.recovered.CorruptEntries += corrupt
	if len(purgeLog) == 0 && indexed {
		purgeMayBeLost = true
	}
	corrupt, _ = readEntries(indexLog, func(kind entryKind, payload []byte) {
		switch kind {
		case entryAdd:
			if loc, ok := readLocation(payload); ok {
				s.addLocation(loc)
			}
		case entryDrop:
			if len(payload) >= 8 {
				s.removeLocation(binary.LittleEndian.Uint64(payload))
			}
		case entryPurge:
			addPurge(payload)
		}
	})
	s.recovered.CorruptEntries += corrupt
	switch {
	case corrupt > 0 && purgeMayBeLost:
		s.recovered.DiscardReason = "both logs are corrupt: a purge may be lost"
	case !indexed && len(s.segments) > 0:
		s.recovered.DiscardReason = "the index log is missing"
	case s.pendingOverflowed:
		s.recovered.DiscardReason = "too many purges were made while the logs could not be read"
	}
	return purges
}

// discardIfOutdated drops all objects if a purge may be lost: replayLogs has set DiscardReason, or
// the fill of an object began after a purge that neither log has.
func (s *Store) discardIfOutdated(purges []Purge) {
	newestKnown := uint64(0)
	for i := range s.slots {
		if s.slots[i].live() {
			newestKnown = max(newestKnown, s.slots[i].sincePurge)
		}
	}
	for i := range purges {
		s.lastPurge = max(s.lastPurge, purges[i].Number)
	}
	if newestKnown > s.lastPurge {
		s.recovered.DiscardReason = fmt.Sprintf("an object was stored after purge %d, but the last purge in the logs is number %d", newestKnown, s.lastPurge)
		s.lastPurge = newestKnown
	}
	if s.recovered.DiscardReason != "" {
		s.options.Warn("store: dropping all objects stored before the start: " + s.recovered.DiscardReason)
		s.forgetObjects()
	}
}

// applyRecovered applies the purges of both logs, each once. Then it applies those made while the
// logs could not be read, with numbers after those that LastPurge has returned meanwhile.
func (s *Store) applyRecovered(purges []Purge) {
	sort.SliceStable(purges, func(i, k int) bool { return purges[i].Number < purges[k].Number })
	for i := range purges {
		if i == 0 || purges[i] != purges[i-1] {
			s.applyPurge(purges[i])
			s.recovered.Purges++
		}
	}
	s.lastPurge = max(s.lastPurge, s.announcedPurge.Load())
	for _, purge := range s.pendingPurges {
		s.lastPurge++
		purge.Number = s.lastPurge
		s.applyPurge(purge)
	}
	s.pendingPurges = nil
	s.pendingOverflowed = false
	s.announcedPurge.Store(s.lastPurge)
}

// dropEmptySegments removes the segments without objects, and orders the others by number.
func (s *Store) dropEmptySegments() {
	for number, seg := range s.segments {
		if len(seg.slots) == 0 || s.recovered.DiscardReason != "" {
			if seg.file != nil {
				seg.file.Close()
			}
			delete(s.segments, number)
			s.remove(segmentName(number))
			continue
		}
		s.segmentOrder = append(s.segmentOrder, number)
		s.usedBytes += seg.size
	}
	slices.Sort(s.segmentOrder)
}

func (s *Store) countRecovered() {
	for i := range s.slots {
		if s.slots[i].live() {
			s.recovered.Objects++
			s.recovered.Bytes += s.slots[i].bodyLen()
		}
	}
	s.newestAtStart.Store(s.newestGeneratedAt())
}

// newestGeneratedAt returns the latest generation time among the last objects of the last segment.
func (s *Store) newestGeneratedAt() (newest int64) {
	if len(s.segmentOrder) == 0 {
		return 0
	}
	seg := s.segments[s.segmentOrder[len(s.segmentOrder)-1]]
	for _, slot := range seg.slots[max(len(seg.slots)-newestSample, 0):] {
		if meta, err := s.readHead(seg, &s.slots[slot]); err == nil {
			newest = max(newest, meta.GeneratedAt)
		}
	}
	return newest
}

// markStale marks temporary files and the index logs of earlier processes for removal, which
// follows once this process has written an index log.
func (s *Store) markStale(listing folderListing) {
	mark := func(name string) {
		if len(s.staleFiles) < maxStaleFiles {
			s.staleFiles = append(s.staleFiles, name)
		}
	}
	for name := range listing.names {
		if strings.HasSuffix(name, ".new") {
			mark(name)
		}
	}
	for _, number := range listing.indexes {
		mark(indexName(number))
	}
}
