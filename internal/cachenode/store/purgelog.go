package store

import (
	"fmt"
)

const purgeLogName = "purges.log"

// LastPurge returns the number of the last purge, for BeginSince. It never waits.
func (s *Store) LastPurge() uint64 { return s.announcedPurge.Load() }

// PurgesCaughtUp says that the store was given all purges that were made while it was
// closed: no object of before the start has PurgesUnknown any more.
func (s *Store) PurgesCaughtUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.purgesCaughtUp = true
}

// TryPurged reports whether a purge covers by now what a fill brings that began after the
// purge since. known is false where that can't be seen without waiting.
func (s *Store) TryPurged(since uint64, meta *Meta) (purged, known bool) {
	if !s.mu.TryLock() {
		return false, false
	}
	defer s.mu.Unlock()
	return s.logsUnread || s.purged(since, meta), true
}

// Purge invalidates objects. When it returns without an error the purge lasts, and its
// number orders it. With a FaultError it may or may not last, and holds here all the same:
// once the disk works again it is made to last without being asked for again, as long as
// this process lives. Asking again does no harm, and is how a caller learns that it lasts.
func (s *Store) Purge(purge Purge) (uint64, error) {
	if len(purge.Text) > maxPurgeText {
		return 0, fmt.Errorf("store: a purge by %v of %d bytes; %d are the most", purge.Scope, len(purge.Text), maxPurgeText)
	}
	if purge.Scope < ByObject || purge.Scope > ByPrefix || purge.Scope != ByGroup && purge.Text == "" {
		return 0, fmt.Errorf("store: a purge by %v of %.40q names nothing", purge.Scope, purge.Text)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, ErrClosed
	}
	if s.logsUnread {
		err := s.retryIfDue()
		if s.logsUnread {
			s.deferPurge(purge)
			return 0, err
		}
	}
	s.lastPurge++
	s.announcedPurge.Store(s.lastPurge)
	purge.Number = s.lastPurge
	s.applyPurge(purge)
	if s.unversionedRules > s.retireThreshold() && s.retireUnversionedRules() {
		if s.failure == nil {
			return purge.Number, s.checkpoint()
		}
		s.logsBroken = true
	}
	if s.logsBroken { // it is among what a checkpoint writes
		err := s.retryIfDue()
		if s.logsBroken {
			return purge.Number, err
		}
		return purge.Number, nil
	}
	return purge.Number, s.logPurge(purge)
}

// deferPurge remembers a purge until the logs are read. Fills see by LastPurge that there
// was one; it has a higher number in the end.
func (s *Store) deferPurge(purge Purge) {
	s.announcedPurge.Add(1)
	if len(s.pendingPurges) >= maxPendingPurges {
		s.pendingOverflowed = true
		return
	}
	s.pendingPurges = append(s.pendingPurges, purge)
}

// logPurge writes a purge into both logs, and syncs them. Both are written before the first
// sync: it takes the file system's records of both along.
func (s *Store) logPurge(purge Purge) error {
	entry := appendEntry(nil, entryPurge, purge.appendTo(nil))
	index := indexName(s.indexNumber)
	if err := s.appendLog(s.purgeLog, &s.purgeLogLen, entry); err != nil {
		return s.failLog("write", purgeLogName, err)
	}
	if err := s.appendLog(s.indexLog, &s.indexLogLen, entry); err != nil {
		return s.failLog("write", index, err)
	}
	if err := s.purgeLog.Sync(); err != nil {
		return s.failLog("sync", purgeLogName, err)
	}
	if err := s.indexLog.Sync(); err != nil {
		return s.failLog("sync", index, err)
	}
	return nil
}

// encodeActivePurges encodes a checkpoint's purges as entries.
func (s *Store) encodeActivePurges() []byte {
	var entries, payload []byte
	for _, purge := range s.activePurges() {
		payload = purge.appendTo(payload[:0])
		entries = appendEntry(entries, entryPurge, payload)
	}
	return entries
}
