package store

import (
	"fmt"
)

// Number is that of the last purge. It never waits.
func (s *Store) LastPurge() uint64 { return s.announcedPurge.Load() }

// CaughtUp is that all purges that were made while the store was closed were told to it
// since: nothing of before the start is in doubt any more.
func (s *Store) PurgesCaughtUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.purgesCaughtUp = true
}

// VoidNow reports whether a purge voids by now what a fill brings that began when the last
// purge was a number. known is false where that can't be told without waiting.
func (s *Store) TryPurged(since uint64, m *Meta) (void, known bool) {
	if !s.mu.TryLock() {
		return false, false
	}
	defer s.mu.Unlock()
	return s.logsUnread || s.purged(since, m), true
}

// Purge voids copies. When it returns without an error it lasts, and its number orders
// it; with one it may or may not last, and holds here all the same. One that could not be
// made to last is when the disk works again, without being asked for anew, as long as this
// process lives; asking again does no harm, and is how a caller learns that it lasts.
func (s *Store) Purge(w Purge) (uint64, error) {
	if len(w.Text) > maxPurgeText {
		return 0, fmt.Errorf("store: a purge of %d bytes; %d are the most", len(w.Text), maxPurgeText)
	}
	if w.Scope < ByObject || w.Scope > ByPrefix || w.Scope != ByGroup && w.Text == "" {
		return 0, fmt.Errorf("store: a purge of scope %d of %.40q names nothing", w.Scope, w.Text)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, ErrClosed
	}
	if s.logsUnread {
		err := s.retryIfDue()
		if s.logsUnread {
			s.deferPurge(w)
			return 0, err
		}
	}
	s.lastPurge++
	s.announcedPurge.Store(s.lastPurge)
	w.Number = s.lastPurge
	s.applyPurge(w)
	if s.unversionedRules > s.settleThreshold() && s.settleRules() {
		if s.failure == nil {
			return w.Number, s.checkpoint()
		}
		s.logsBroken = true
	}
	if s.logsBroken { // it is among what is written anew
		if err := s.retryIfDue(); s.logsBroken {
			return w.Number, err
		}
		return w.Number, nil
	}
	return w.Number, s.logPurge(w)
}

// await remembers a purge until the logs are read. Fills see by Number that there was one;
// it has a higher one in the end.
func (s *Store) deferPurge(w Purge) {
	s.announcedPurge.Add(1)
	if len(s.pendingPurges) >= maxPendingPurges {
		s.pendingOverflow = true
		return
	}
	s.pendingPurges = append(s.pendingPurges, w)
}

// record writes a purge into both logs, and has it last. Both are written before the first
// sync: it takes the file system's records of both along.
func (s *Store) logPurge(w Purge) error {
	b := appendEntry(nil, entryPurge, w.append(nil))
	index := indexName(s.indexNumber)
	if err := s.appendLog(s.purgeLog, &s.purgeLogLen, b); err != nil {
		return s.failLog("write", purgeLogName, err)
	}
	if err := s.appendLog(s.indexLog, &s.indexLogLen, b); err != nil {
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
