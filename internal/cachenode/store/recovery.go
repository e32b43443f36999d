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

	// newestSample is how many of the last objects are read for Newest.
	newestSample = 64
)

// folderListing is the files of the folder by what they are.
type folderListing struct {
	names    map[string]bool
	segments []uint32
	indexes  []int // ascending
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

// reset forgets what an attempt to read the folder has found.
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

// recover reads the folder. Purges stand in two logs: where one is corrupt the other has
// them; where both are, a purge may be lost, and no object of before is served. A file that
// can't be read is not corrupt: then nothing is changed, and all is tried again later, but
// for segments, which may be missing meanwhile and are opened when they can be.
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

// checkFormat sees that the folder is of this format, and makes it one where it is new.
func (s *Store) checkFormat(listing folderListing) error {
	data, err := s.readFile(formatName, listing.names[formatName])
	if err != nil {
		return s.fail("read", formatName, err)
	}
	text := string(data)
	if text == formatText {
		return nil
	}
	// a truncated one in a folder without data is of a start that was killed in the middle
	inUse := len(listing.indexes)+len(listing.segments) > 0
	if text != "" && (inUse || !strings.HasPrefix(formatText, text)) {
		return s.fail("read", formatName, fmt.Errorf("%w: %.40q, this program reads %q; empty the folder, or run the program that wrote it", ErrFormat, data, formatText))
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

// openSegments opens the segments of before. One that can't be opened is suspended.
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
	s.usedBytes = 0 // dropEmptySegments adds up those that stay
}

// replayLogs takes the objects of the index log into the index, and returns the purges of
// both logs.
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
		s.recovered.DiscardReason = "both logs are damaged: a purge may be lost"
	case !indexed && len(s.segments) > 0:
		s.recovered.DiscardReason = "there is no index"
	case s.pendingOverflowed:
		s.recovered.DiscardReason = "more purges came than are remembered while the logs could not be read"
	}
	return purges
}

// discardIfOutdated drops all objects where a purge may be lost: by what replayLogs found,
// or because an object knows of a later purge than the logs.
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
		s.recovered.DiscardReason = fmt.Sprintf("copies know of purge %d, the logs of %d", newestKnown, s.lastPurge)
		s.lastPurge = newestKnown
	}
	if s.recovered.DiscardReason != "" {
		s.options.Warn("store: no object of before the start is served: " + s.recovered.DiscardReason)
		s.forgetObjects()
	}
}

// applyRecovered applies the purges of both logs, each once, and then those that came while
// the logs could not be read: after all fills that began meanwhile.
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

// dropEmptySegments removes the segments of before that hold no object, and orders the others.
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

// newestGeneratedAt looks for the newest object among the last of the last segment.
func (s *Store) newestGeneratedAt() (newest int64) {
	if len(s.segmentOrder) == 0 {
		return 0
	}
	seg := s.segments[s.segmentOrder[len(s.segmentOrder)-1]]
	for _, slot := range seg.slots[max(len(seg.slots)-newestSample, 0):] {
		if meta, err := s.readMeta(seg, &s.slots[slot]); err == nil {
			newest = max(newest, meta.GeneratedAt)
		}
	}
	return newest
}

// markStale has temporary files and the index logs of before removed, once there is an index
// log of this process.
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
