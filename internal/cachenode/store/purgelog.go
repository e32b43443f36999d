package store

import (
	"fmt"
)

const purgeLogName = "purges.log"

// LastPurge returns the number of the last purge, for BeginSince and TryPurged. It never waits.
func (s *Store) LastPurge() uint64 { return s.announcedPurge.Load() }

// MarkPurgesCaughtUp tells the store that it has received all purges made while it was closed.
// From then on no object has PurgesUnknown set.
func (s *Store) MarkPurgesCaughtUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.purgesCaughtUp = true
}

// TryPurged reports whether a purge covers the object of a fill that began when LastPurge returned
// since, by its generation time too. known is false if that can't be determined without waiting.
func (s *Store) TryPurged(since uint64, meta *Meta) (purged, known bool) {
	if !s.mu.TryLock() {
		return false, false
	}
	defer s.mu.Unlock()
	return s.logsUnread || s.purged(s.sinceGenerated(since, meta), meta), true
}

// Purge invalidates objects and returns the number of the purge. When it returns without an error,
// the purge is durable. If it returns a FaultError, the purge applies in this process, but may be
// lost if the process ends before the disk works again; the store writes it as soon as the disk
// does. The caller may repeat the purge to learn that it is durable.
func (s *Store) Purge(purge Purge) (uint64, error) {
	if len(purge.Text) > maxPurgeText {
		return 0, fmt.Errorf("store: purge by %v: text of %d bytes, the limit is %d", purge.Scope, len(purge.Text), maxPurgeText)
	}
	if purge.Scope < ByObject || purge.Scope > ByPrefix || purge.Scope != ByGroup && purge.Text == "" {
		return 0, fmt.Errorf("store: purge by %v: scope or text %.40q is invalid", purge.Scope, purge.Text)
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
	s.recordPurgeTime(s.lastPurge)
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
	if s.logsBroken { // the next checkpoint contains the purge
		err := s.retryIfDue()
		if s.logsBroken {
			return purge.Number, err
		}
		return purge.Number, nil
	}
	return purge.Number, s.appendPurgeEntry(purge)
}

// deferPurge keeps a purge until the logs are read. It increments what LastPurge returns, so that
// fills notice the purge; its final number is higher.
func (s *Store) deferPurge(purge Purge) {
	s.recordPurgeTime(s.announcedPurge.Load())
	s.announcedPurge.Add(1)
	if len(s.pendingPurges) >= maxPendingPurges {
		s.pendingOverflowed = true
		return
	}
	s.pendingPurges = append(s.pendingPurges, purge)
}

// appendPurgeEntry appends a purge to both logs and syncs them. It writes both before the first
// sync, so that this sync also covers the file system's metadata of the other log.
func (s *Store) appendPurgeEntry(purge Purge) error {
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

// encodeActivePurges returns the entries for the purges of a checkpoint.
func (s *Store) encodeActivePurges() []byte {
	var entries, payload []byte
	for _, purge := range s.activePurges() {
		payload = purge.appendTo(payload[:0])
		entries = appendEntry(entries, entryPurge, payload)
	}
	return entries
}
