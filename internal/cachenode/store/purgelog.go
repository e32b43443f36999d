package store

import (
	"fmt"
)

// Number is that of the last purge. It never waits.
func (s *Store) LastPurge() uint64 { return s.latest.Load() }

// CaughtUp is that all purges that were made while the store was closed were told to it
// since: nothing of before the start is in doubt any more.
func (s *Store) PurgesCaughtUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caught = true
}

// VoidNow reports whether a purge voids by now what a fill brings that began when the last
// purge was a number. known is false where that can't be told without waiting.
func (s *Store) TryPurged(since uint64, m *Meta) (void, known bool) {
	if !s.mu.TryLock() {
		return false, false
	}
	defer s.mu.Unlock()
	return s.unread || s.void(since, m), true
}

// Purge voids copies. When it returns without an error it lasts, and its number orders
// it; with one it may or may not last, and holds here all the same. One that could not be
// made to last is when the disk works again, without being asked for anew, as long as this
// process lives; asking again does no harm, and is how a caller learns that it lasts.
func (s *Store) Purge(w Purge) (uint64, error) {
	if len(w.Text) > mostText {
		return 0, fmt.Errorf("store: a purge of %d bytes; %d are the most", len(w.Text), mostText)
	}
	if w.Scope < ByObject || w.Scope > ByPrefix || w.Scope != ByGroup && w.Text == "" {
		return 0, fmt.Errorf("store: a purge of scope %d of %.40q names nothing", w.Scope, w.Text)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, ErrClosed
	}
	if s.unread {
		err := s.mend()
		if s.unread {
			s.await(w)
			return 0, err
		}
	}
	s.number++
	s.latest.Store(s.number)
	w.Number = s.number
	s.apply(w)
	if s.plain > s.settleAt() && s.settle() {
		if s.failure == nil {
			return w.Number, s.checkpoint()
		}
		s.logBroken = true
	}
	if s.logBroken { // it is among what is written anew
		if err := s.mend(); s.logBroken {
			return w.Number, err
		}
		return w.Number, nil
	}
	return w.Number, s.record(w)
}

// await remembers a purge until the logs are read. Fills see by Number that there was one;
// it has a higher one in the end.
func (s *Store) await(w Purge) {
	s.latest.Add(1)
	if len(s.waiting) >= mostWaiting {
		s.overrun = true
		return
	}
	s.waiting = append(s.waiting, w)
}

// record writes a purge into both logs, and has it last. Both are written before the first
// sync: it takes the file system's records of both along.
func (s *Store) record(w Purge) error {
	b := entry(nil, kindWord, w.append(nil))
	index := indexName(s.indexN)
	if err := s.append(s.words, &s.wordsL, b); err != nil {
		return s.failLog("write", wordsName, err)
	}
	if err := s.append(s.index, &s.indexL, b); err != nil {
		return s.failLog("write", index, err)
	}
	if err := s.words.Sync(); err != nil {
		return s.failLog("sync", wordsName, err)
	}
	if err := s.index.Sync(); err != nil {
		return s.failLog("sync", index, err)
	}
	return nil
}
