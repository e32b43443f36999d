package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
)

// reset forgets what an attempt to read the folder has found.
func (s *Store) reset() {
	for _, g := range s.segments {
		if g.file != nil {
			g.file.Close()
		}
	}
	s.slots, s.freeSlots, s.byHash = nil, nil, map[uint64]uint32{}
	s.segments, s.segmentOrder, s.usedBytes, s.nextSegment = map[uint32]*segment{}, nil, 0, 1
	s.objectPurges, s.groupPurges = map[uint64]watermark{}, map[int32]watermark{}
	s.purgeRules, s.unversionedRules = nil, 0
	s.lastPurge, s.indexNumber = 0, 0
	s.recovered = Recovered{}
}

func readAll(f File) ([]byte, error) {
	n, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, n)
	m, err := f.ReadAt(b, 0)
	if err == io.EOF && int64(m) == n {
		err = nil
	}
	return b[:m], err
}

// readFile reads a whole file. One that is not there is empty.
func (s *Store) readFile(name string, there bool) ([]byte, error) {
	if !there {
		return nil, nil
	}
	f, err := s.fs.Open(name, false)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return readAll(f)
}

// listing is the files of the folder by what they are.
type folderListing struct {
	names    map[string]bool
	segments []uint32
	indexes  []int
}

func (s *Store) listFolder() (folderListing, error) {
	names, err := s.fs.List()
	l := folderListing{names: map[string]bool{}}
	for _, name := range names {
		l.names[name] = true
		var segment uint32
		var index int
		if _, err := fmt.Sscanf(name, "seg-%08d.dat", &segment); err == nil && segmentName(segment) == name {
			l.segments = append(l.segments, segment)
		}
		if _, err := fmt.Sscanf(name, "index-%06d.log", &index); err == nil && indexName(index) == name {
			l.indexes = append(l.indexes, index)
		}
	}
	sort.Ints(l.indexes)
	return l, err
}

// readFormat sees that the folder is of this form, and makes it one where it is new.
func (s *Store) readFormat(l folderListing) error {
	b, err := s.readFile(formatName, l.names[formatName])
	text := string(b)
	switch {
	case err != nil:
		return s.fail("read", formatName, err)
	case text == formatText:
		return nil
	case text != "" && (!strings.HasPrefix(formatText, text) || len(l.indexes)+len(l.segments) > 0): // but for a start that was killed in the middle
		return s.fail("read", formatName, fmt.Errorf("%w: %.40q, this program reads %q; empty the folder, or run the program that wrote it", ErrFormat, b, formatText))
	}
	f, err := s.fs.Open(formatName, true)
	if err != nil {
		return s.fail("create", formatName, err)
	}
	err = writeAt(f, []byte(formatText), 0)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return s.fail("write", formatName, err)
	}
	return nil
}

// read reads what is there. Purges stand in two logs: one that is damaged is made good by
// the other; where both are, a purge may be lost, and nothing of before is kept. A file
// that can't be read is no damaged one: then nothing is changed, and it is tried again;
// but segments may be missing meanwhile, and are opened later.
func (s *Store) recover() error {
	s.reset()
	l, err := s.listFolder()
	if err != nil {
		return s.fail("list", "", err)
	}
	if err := s.readFormat(l); err != nil {
		return err
	}
	words, err := s.readFile(purgeLogName, l.names[purgeLogName])
	if err != nil {
		return s.fail("read", purgeLogName, err)
	}
	var index []byte
	if len(l.indexes) > 0 {
		s.indexNumber = l.indexes[len(l.indexes)-1]
		if index, err = s.readFile(indexName(s.indexNumber), true); err != nil {
			return s.fail("read", indexName(s.indexNumber), err)
		}
	}
	for _, n := range l.segments {
		s.nextSegment = max(s.nextSegment, n+1)
		g := &segment{number: n, synced: true}
		if err := s.openSegment(g); err != nil {
			g.size = s.options.SegmentBytes
			s.suspendSegment(g, err)
		}
		s.segments[n] = g
	}
	s.usedBytes = 0
	purges := s.replayLogs(words, index, len(l.indexes) > 0)
	s.adoptRecovered(purges)
	for name := range l.names {
		if strings.HasSuffix(name, ".new") && len(s.staleFiles) < maxStaleFiles {
			s.staleFiles = append(s.staleFiles, name)
		}
	}
	for _, n := range l.indexes { // they go once there is a log of this life
		if len(s.staleFiles) < maxStaleFiles {
			s.staleFiles = append(s.staleFiles, indexName(n))
		}
	}
	s.logsUnread = false
	return nil
}

// replay takes the copies of the index log, and returns the purges of both logs.
func (s *Store) replayLogs(words, index []byte, indexed bool) (purges []Purge) {
	r := &s.recovered
	purge := func(b []byte) {
		if w, ok := readPurge(b); ok {
			purges = append(purges, w)
		}
	}
	damaged, within := readEntries(words, func(kind byte, payload []byte) {
		if kind == entryPurge {
			purge(payload)
		}
	})
	r.CorruptEntries += damaged
	within = within || len(words) == 0 && indexed
	damaged, _ = readEntries(index, func(kind byte, payload []byte) {
		switch kind {
		case entryAdd:
			if p, ok := readPlace(payload); ok {
				s.addPlace(p)
			}
		case entryDrop:
			if len(payload) >= 8 {
				s.removePlace(binary.LittleEndian.Uint64(payload))
			}
		case entryPurge:
			purge(payload)
		}
	})
	r.CorruptEntries += damaged
	switch {
	case damaged > 0 && within:
		r.DiscardReason = "both logs are damaged: a purge may be lost"
	case !indexed && len(s.segments) > 0:
		r.DiscardReason = "there is no index"
	case s.pendingOverflow:
		r.DiscardReason = "more purges came than are remembered while the logs could not be read"
	}
	return purges
}

// adopt begins with what was read.
func (s *Store) adoptRecovered(purges []Purge) {
	r := &s.recovered
	newest := uint64(0)
	for i := range s.slots {
		if s.slots[i].live() {
			newest = max(newest, s.slots[i].sincePurge)
		}
	}
	for i := range purges {
		s.lastPurge = max(s.lastPurge, purges[i].Number)
	}
	if newest > s.lastPurge {
		r.DiscardReason = fmt.Sprintf("copies know of purge %d, the logs of %d", newest, s.lastPurge)
		s.lastPurge = newest
	}
	if r.DiscardReason != "" {
		s.options.Warn("store: nothing of before is kept: " + r.DiscardReason)
		s.slots, s.freeSlots, s.byHash = nil, nil, map[uint64]uint32{}
	}
	sort.SliceStable(purges, func(i, k int) bool { return purges[i].Number < purges[k].Number })
	for i := range purges {
		if i == 0 || purges[i] != purges[i-1] {
			s.applyPurge(purges[i])
			r.Purges++
		}
	}
	s.lastPurge = max(s.lastPurge, s.announcedPurge.Load())
	for _, w := range s.pendingPurges { // after all that were read, and all fills that began meanwhile
		s.lastPurge++
		w.Number = s.lastPurge
		s.applyPurge(w)
	}
	s.pendingPurges, s.pendingOverflow = nil, false
	s.announcedPurge.Store(s.lastPurge)
	for n, g := range s.segments { // what nothing stands in goes
		if len(g.slots) == 0 || r.DiscardReason != "" {
			if g.file != nil {
				g.file.Close()
			}
			delete(s.segments, n)
			s.remove(segmentName(n))
			continue
		}
		s.segmentOrder = append(s.segmentOrder, n)
		s.usedBytes += g.size
	}
	slices.Sort(s.segmentOrder)
	for i := range s.slots {
		if s.slots[i].live() {
			r.Objects++
			r.Bytes += s.slots[i].bodyLen()
		}
	}
	s.newestAtStart.Store(s.newestBorn())
}

// newestBorn looks for the newest among what was read.
func (s *Store) newestBorn() (newest int64) {
	if len(s.segmentOrder) == 0 {
		return 0
	}
	g := s.segments[s.segmentOrder[len(s.segmentOrder)-1]]
	for _, i := range g.slots[max(len(g.slots)-64, 0):] {
		if m, err := s.readMeta(g, &s.slots[i]); err == nil {
			newest = max(newest, m.Born)
		}
	}
	return newest
}
