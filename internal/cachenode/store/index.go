package store

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// put takes a place into the index, if its segment holds it.
func (s *Store) addPlace(p place) {
	g := s.segments[p.segment]
	if g == nil || g.file != nil && !g.holds(&p) { // one that is not open yet is seen when it is
		return
	}
	s.removePlace(p.keyHash)
	p.packed |= flagLive
	var i uint32
	if n := len(s.freeSlots); n > 0 {
		i = s.freeSlots[n-1]
		s.freeSlots = s.freeSlots[:n-1]
		s.slots[i] = p
	} else {
		i = uint32(len(s.slots))
		s.slots = append(s.slots, p)
	}
	s.byHash[p.keyHash] = i
	g.slots = append(g.slots, i)
	g.liveBytes += p.size()
}

func (s *Store) removePlace(hash uint64) {
	i, ok := s.byHash[hash]
	if !ok {
		return
	}
	p := &s.slots[i]
	if g := s.segments[p.segment]; g != nil {
		g.liveBytes -= p.size()
		for k, x := range g.slots {
			if x == i {
				g.slots[k] = g.slots[len(g.slots)-1]
				g.slots = g.slots[:len(g.slots)-1]
				break
			}
		}
	}
	delete(s.byHash, hash)
	*p = place{}
	s.freeSlots = append(s.freeSlots, i)
}

// recordDrop notes in the index log that a copy is none.
func (s *Store) logDrop(hash uint64) {
	if s.closed || s.logsBroken { // a log that is written anew has it no more
		return
	}
	b := appendEntry(nil, entryDrop, binary.LittleEndian.AppendUint64(nil, hash))
	if err := s.appendLog(s.indexLog, &s.indexLogLen, b); err != nil {
		s.failLog("write", indexName(s.indexNumber), err)
	}
}

// checkpoint writes both logs anew, of what there is, as new files in the place of the
// present ones. Until it has succeeded nothing is added to either.
func (s *Store) checkpoint() error {
	s.logsBroken = true
	previous := s.indexNumber
	s.indexNumber++ // each attempt has a name of its own
	name := indexName(s.indexNumber)
	var words, payload []byte
	for _, w := range s.lastingPurges() {
		payload = w.append(payload[:0])
		words = appendEntry(words, entryPurge, payload)
	}
	// the log of purges is not made anew before the index that has them lasts, nor the
	// index before the log: one of the two is whole at any time
	index, length, err := s.writeIndex(name, words)
	if err != nil {
		s.remove(name + ".new")
		s.remove(name)
		return s.failLog("write", name, err)
	}
	if s.indexLog != nil {
		s.indexLog.Close()
	}
	s.indexLog, s.indexLogLen = index, length
	s.remove(indexName(previous))
	temporary := fmt.Sprintf("%s.%06d.new", purgeLogName, s.indexNumber)
	log, err := s.replaceFile(temporary, purgeLogName, func(f File) error { return writeAt(f, words, 0) })
	if err != nil {
		s.remove(temporary)
		return s.failLog("write", purgeLogName, err)
	}
	if s.purgeLog != nil {
		s.purgeLog.Close()
	}
	s.purgeLog, s.purgeLogLen = log, int64(len(words))
	s.Stats.WrittenBytes += int64(len(words))
	s.logsBroken = false
	s.removeStale()
	return nil
}

// writeIndex writes an index log of the purges and all copies.
func (s *Store) writeIndex(name string, words []byte) (f File, length int64, err error) {
	f, err = s.replaceFile(name+".new", name, func(f File) error {
		b := slices.Clone(words)
		var payload []byte
		for i := range s.slots {
			if !s.slots[i].live() {
				continue
			}
			payload = s.slots[i].append(payload[:0])
			if b = appendEntry(b, entryAdd, payload); len(b) < 1<<20 {
				continue
			}
			if err := writeAt(f, b, length); err != nil {
				return err
			}
			length += int64(len(b))
			b = b[:0]
		}
		err := writeAt(f, b, length)
		length += int64(len(b))
		return err
	})
	s.Stats.WrittenBytes += length
	return f, length, err
}

// replace writes a new file under a temporary name, and puts it in a file's place once it
// lasts.
func (s *Store) replaceFile(temporary, name string, write func(File) error) (File, error) {
	f, err := s.fs.Open(temporary, true)
	if err != nil {
		return nil, err
	}
	if err = f.Truncate(0); err == nil {
		err = write(f)
	}
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.Rename(temporary, name)
	}
	if err == nil {
		err = s.fs.SyncDir()
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (s *Store) appendLog(f File, at *int64, b []byte) error {
	err := writeAt(f, b, *at)
	*at += int64(len(b))
	s.Stats.WrittenBytes += int64(len(b))
	return err
}
