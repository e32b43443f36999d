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
	for _, g := range s.segs {
		if g.f != nil {
			g.f.Close()
		}
	}
	s.slots, s.free, s.byHash = nil, nil, map[uint64]uint32{}
	s.segs, s.order, s.used, s.nextN = map[uint32]*segment{}, nil, 0, 1
	s.objects, s.groups = map[uint64]floor{}, map[int32]floor{}
	s.rules, s.plain = nil, 0
	s.number, s.indexN = 0, 0
	s.found = Recovered{}
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
type listing struct {
	has      map[string]bool
	segments []uint32
	indexes  []int
}

func (s *Store) list() (listing, error) {
	names, err := s.fs.List()
	l := listing{has: map[string]bool{}}
	for _, name := range names {
		l.has[name] = true
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
func (s *Store) readFormat(l listing) error {
	b, err := s.readFile(formatName, l.has[formatName])
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
func (s *Store) read() error {
	s.reset()
	l, err := s.list()
	if err != nil {
		return s.fail("list", "", err)
	}
	if err := s.readFormat(l); err != nil {
		return err
	}
	words, err := s.readFile(wordsName, l.has[wordsName])
	if err != nil {
		return s.fail("read", wordsName, err)
	}
	var index []byte
	if len(l.indexes) > 0 {
		s.indexN = l.indexes[len(l.indexes)-1]
		if index, err = s.readFile(indexName(s.indexN), true); err != nil {
			return s.fail("read", indexName(s.indexN), err)
		}
	}
	for _, n := range l.segments {
		s.nextN = max(s.nextN, n+1)
		g := &segment{n: n, synced: true}
		if err := s.open(g); err != nil {
			g.size = s.s.SegmentBytes
			s.rest(g, err)
		}
		s.segs[n] = g
	}
	s.used = 0
	purges := s.replay(words, index, len(l.indexes) > 0)
	s.adopt(purges)
	for name := range l.has {
		if strings.HasSuffix(name, ".new") && len(s.stale) < mostStale {
			s.stale = append(s.stale, name)
		}
	}
	for _, n := range l.indexes { // they go once there is a log of this life
		if len(s.stale) < mostStale {
			s.stale = append(s.stale, indexName(n))
		}
	}
	s.unread = false
	return nil
}

// replay takes the copies of the index log, and returns the purges of both logs.
func (s *Store) replay(words, index []byte, indexed bool) (purges []Purge) {
	r := &s.found
	purge := func(b []byte) {
		if w, ok := readPurge(b); ok {
			purges = append(purges, w)
		}
	}
	damaged, within := entries(words, func(kind byte, payload []byte) {
		if kind == kindWord {
			purge(payload)
		}
	})
	r.CorruptEntries += damaged
	within = within || len(words) == 0 && indexed
	damaged, _ = entries(index, func(kind byte, payload []byte) {
		switch kind {
		case kindAdd:
			if p, ok := readPlace(payload); ok {
				s.put(p)
			}
		case kindDrop:
			if len(payload) >= 8 {
				s.unput(binary.LittleEndian.Uint64(payload))
			}
		case kindWord:
			purge(payload)
		}
	})
	r.CorruptEntries += damaged
	switch {
	case damaged > 0 && within:
		r.DiscardReason = "both logs are damaged: a purge may be lost"
	case !indexed && len(s.segs) > 0:
		r.DiscardReason = "there is no index"
	case s.overrun:
		r.DiscardReason = "more purges came than are remembered while the logs could not be read"
	}
	return purges
}

// adopt begins with what was read.
func (s *Store) adopt(purges []Purge) {
	r := &s.found
	newest := uint64(0)
	for i := range s.slots {
		if s.slots[i].live() {
			newest = max(newest, s.slots[i].since)
		}
	}
	for i := range purges {
		s.number = max(s.number, purges[i].Number)
	}
	if newest > s.number {
		r.DiscardReason = fmt.Sprintf("copies know of purge %d, the logs of %d", newest, s.number)
		s.number = newest
	}
	if r.DiscardReason != "" {
		s.s.Warn("store: nothing of before is kept: " + r.DiscardReason)
		s.slots, s.free, s.byHash = nil, nil, map[uint64]uint32{}
	}
	sort.SliceStable(purges, func(i, k int) bool { return purges[i].Number < purges[k].Number })
	for i := range purges {
		if i == 0 || purges[i] != purges[i-1] {
			s.apply(purges[i])
			r.Purges++
		}
	}
	s.number = max(s.number, s.latest.Load())
	for _, w := range s.waiting { // after all that were read, and all fills that began meanwhile
		s.number++
		w.Number = s.number
		s.apply(w)
	}
	s.waiting, s.overrun = nil, false
	s.latest.Store(s.number)
	for n, g := range s.segs { // what nothing stands in goes
		if len(g.slots) == 0 || r.DiscardReason != "" {
			if g.f != nil {
				g.f.Close()
			}
			delete(s.segs, n)
			s.remove(segmentName(n))
			continue
		}
		s.order = append(s.order, n)
		s.used += g.size
	}
	slices.Sort(s.order)
	for i := range s.slots {
		if s.slots[i].live() {
			r.Objects++
			r.Bytes += s.slots[i].body()
		}
	}
	s.newest.Store(s.newestBorn())
}

// newestBorn looks for the newest among what was read.
func (s *Store) newestBorn() (newest int64) {
	if len(s.order) == 0 {
		return 0
	}
	g := s.segs[s.order[len(s.order)-1]]
	for _, i := range g.slots[max(len(g.slots)-64, 0):] {
		if m, err := s.readMeta(g, &s.slots[i]); err == nil {
			newest = max(newest, m.Born)
		}
	}
	return newest
}
