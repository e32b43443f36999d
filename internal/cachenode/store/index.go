package store

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// checkpointBytes is the size of the writes by which a checkpoint writes an index log.
const checkpointBytes = 1 << 20

func indexName(number int) string { return fmt.Sprintf("index-%06d.log", number) }

// addLocation adds an object to the index in memory, unless its segment is missing or too short.
func (s *Store) addLocation(loc location) {
	seg := s.segments[loc.segment]
	if seg == nil || seg.file != nil && !seg.contains(&loc) { // openSegment checks the objects of a segment that is not open yet
		return
	}
	s.removeLocation(loc.keyHash)
	loc.packed |= flagLive
	var slot uint32
	if n := len(s.freeSlots); n > 0 {
		slot = s.freeSlots[n-1]
		s.freeSlots = s.freeSlots[:n-1]
		s.slots[slot] = loc
	} else {
		slot = uint32(len(s.slots))
		s.slots = append(s.slots, loc)
	}
	s.byHash[loc.keyHash] = slot
	seg.slots = append(seg.slots, slot)
}

// removeLocation removes an object from the index in memory, by the hash of its key.
func (s *Store) removeLocation(keyHash uint64) {
	slot, ok := s.byHash[keyHash]
	if !ok {
		return
	}
	loc := &s.slots[slot]
	if seg := s.segments[loc.segment]; seg != nil {
		if i := slices.Index(seg.slots, slot); i >= 0 {
			last := len(seg.slots) - 1
			seg.slots[i] = seg.slots[last]
			seg.slots = seg.slots[:last]
		}
	}
	delete(s.byHash, keyHash)
	*loc = location{}
	s.freeSlots = append(s.freeSlots, slot)
}

// appendAddEntry appends the location of an object to the index log.
func (s *Store) appendAddEntry(loc *location) error {
	return s.appendIndexLog(entryAdd, loc.appendTo(nil))
}

// appendDropEntry appends to the index log that an object was dropped.
func (s *Store) appendDropEntry(keyHash uint64) {
	if s.closed || s.logsBroken { // the rewritten log will not contain the object
		return
	}
	s.appendIndexLog(entryDrop, binary.LittleEndian.AppendUint64(nil, keyHash)) // an error is recorded in s.failure
}

func (s *Store) appendIndexLog(kind entryKind, payload []byte) error {
	if err := s.appendLog(s.indexLog, &s.indexLogLen, appendEntry(nil, kind, payload)); err != nil {
		return s.failLog("write", indexName(s.indexNumber), err)
	}
	return nil
}

// appendLog writes entries at the end of a log and advances end.
func (s *Store) appendLog(file File, end *int64, entries []byte) error {
	err := writeAt(file, entries, *end)
	*end += int64(len(entries))
	s.Stats.WrittenBytes += int64(len(entries))
	return err
}

// checkpoint replaces both logs by new files, written from memory. Until it has succeeded, no
// entry is added to either log.
//
// The purge log is replaced only after the new index log, which contains the same purges, is
// synced. So at any time one of the two logs is complete.
func (s *Store) checkpoint() error {
	s.logsBroken = true
	previous := s.indexNumber
	s.indexNumber++ // each attempt uses another name
	name := indexName(s.indexNumber)
	purges := s.encodeActivePurges()
	index, length, err := s.writeIndexLog(name, purges)
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
	log, err := s.replaceFile(temporary, purgeLogName, func(file File) error { return writeAt(file, purges, 0) })
	if err != nil {
		s.remove(temporary)
		return s.failLog("write", purgeLogName, err)
	}
	if s.purgeLog != nil {
		s.purgeLog.Close()
	}
	s.purgeLog, s.purgeLogLen = log, int64(len(purges))
	s.Stats.WrittenBytes += int64(len(purges))
	s.logsBroken = false
	s.removeStale()
	return nil
}

// writeIndexLog writes a new index log with the given purge entries and the locations of all
// objects.
func (s *Store) writeIndexLog(name string, purges []byte) (file File, length int64, err error) {
	file, err = s.replaceFile(name+".new", name, func(file File) error {
		entries := slices.Clone(purges)
		var payload []byte
		for i := range s.slots {
			if !s.slots[i].live() {
				continue
			}
			payload = s.slots[i].appendTo(payload[:0])
			entries = appendEntry(entries, entryAdd, payload)
			if len(entries) < checkpointBytes {
				continue
			}
			if err := writeAt(file, entries, length); err != nil {
				return err
			}
			length += int64(len(entries))
			entries = entries[:0]
		}
		err := writeAt(file, entries, length)
		length += int64(len(entries))
		return err
	})
	s.Stats.WrittenBytes += length
	return file, length, err
}
