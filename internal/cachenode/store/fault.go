package store

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The first retry of what failed comes after minBackoff, each later one after twice as long,
// up to maxBackoff: a fault of a moment is over soon, and a disk that stays full is not asked
// all the time.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Bounds of what is kept in memory while the disk fails.
const (
	maxPendingPurges = 4096 // purges that came before the logs could be read
	maxStaleFiles    = 64   // files to remove; more are found again by the next Open
	probeLen         = 4096 // bytes that are written and synced to see whether a new segment works
)

// FaultError says that a call to the disk failed. Nothing is corrupt by it: the store refuses
// what needs the disk, leaves the files in their place, and retries by itself.
type FaultError struct {
	Op    string    // the operation, such as "write" or "sync"
	File  string    // its name in the store's folder; empty: the folder itself
	Since time.Time // of the first failure since the store last worked
	Err   error     // the cause
}

// Error names operation, file, cause, and since when.
func (e *FaultError) Error() string {
	file := e.File
	if file == "" {
		file = "the folder"
	}
	return fmt.Sprintf("store: %s %s: %v (failing since %s, tried again)", e.Op, file, e.Err, e.Since.UTC().Format(time.RFC3339))
}

// Unwrap returns the cause.
func (e *FaultError) Unwrap() error { return e.Err }

// transient reports whether a lock failed for a reason that may pass by itself, and is not
// held by another process or forbidden.
func transient(err error) bool {
	for _, errno := range []syscall.Errno{unix.EIO, unix.ENOSPC, unix.EDQUOT, unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.EINTR} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// backoff is when something that failed is tried again.
type backoff struct {
	wait time.Duration
	next time.Time
}

// failed notes a failure. Several before the next retry count as one; one long after the
// last retry begins anew at minBackoff.
func (b *backoff) failed(now time.Time) {
	switch {
	case now.Before(b.next):
		return
	case now.Sub(b.next) > 2*maxBackoff:
		b.wait = 0
	}
	b.wait = min(max(2*b.wait, minBackoff), maxBackoff)
	b.next = now.Add(b.wait)
}

func (b *backoff) due(now time.Time) bool { return !now.Before(b.next) }

// Status is the state of the disk, for operators.
type Status struct {
	Fault              *FaultError   // nil: the disk works
	FaultDuration      time.Duration // since Fault.Since
	LogsUnread         bool          // the logs could not be read yet: no object of before the start is served
	PurgesDurable      bool          // purges can be acknowledged
	UnreadableSegments int           // segments whose objects are not served for now
	Found              Recovered     // at the start, once the logs could be read
}

// Status returns the state of the disk.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{Fault: s.failure, LogsUnread: s.logsUnread, PurgesDurable: !s.logsUnread && !s.logsBroken, Found: s.recovered}
	if s.failure != nil {
		status.FaultDuration = s.options.Now().Sub(s.failure.Since)
	}
	for _, seg := range s.segments {
		if seg.fault != nil || s.syncLost(seg) {
			status.UnreadableSegments++
		}
	}
	return status
}

// Faulty reports whether there is something for Retry to try again. It never waits.
func (s *Store) Faulty() bool { return s.faulty.Load() }

// Retry tries again what failed, where its backoff is over. Begin and Purge do as well;
// whoever owns the store calls it periodically, so that it needs neither.
func (s *Store) Retry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	err := s.retryIfDue()
	if err == nil {
		err = s.rewriteSyncLost()
	}
	faulty := err != nil || s.failure != nil
	for _, seg := range s.segments {
		if !s.segmentReadable(seg) {
			faulty = true
		}
	}
	s.faulty.Store(faulty)
}

// fail notes that the disk failed, and returns the FaultError for the caller.
func (s *Store) fail(op, file string, err error) error {
	now := s.options.Now()
	fault := &FaultError{Op: op, File: file, Since: now, Err: err}
	if s.failure != nil {
		fault.Since = s.failure.Since
	} else {
		s.options.Warn(fault.Error() + "; nothing more is stored until it succeeds")
	}
	s.failure = fault
	s.backoff.failed(now)
	s.faulty.Store(true)
	return fault
}

// failLog is fail for the logs: their content is not trusted any more, and a checkpoint
// writes them anew before anything else is acknowledged.
func (s *Store) failLog(op, file string, err error) error {
	s.logsBroken = true
	return s.fail(op, file, err)
}

// failSegment is fail for a segment: the next object goes into a new one.
func (s *Store) failSegment(op string, seg *segment, err error) error {
	s.segmentBroken = true
	if s.active == seg {
		s.active = nil
	}
	return s.fail(op, segmentName(seg.number), err)
}

// retryIfDue tries again where the backoff is over. nil: the disk works.
func (s *Store) retryIfDue() error {
	if s.failure == nil {
		return nil
	}
	if !s.backoff.due(s.options.Now()) {
		return s.failure
	}
	if err := s.retryNow(); err != nil {
		return err
	}
	s.options.Warn(fmt.Sprintf("store: the disk works again after %v; it had failed: %v", s.options.Now().Sub(s.failure.Since).Round(time.Millisecond), s.failure.Err))
	s.failure = nil
	return s.rewriteSyncLost()
}

// retryNow does once what has to succeed before the store works. Nothing of what failed is
// trusted: the logs and the segment are new files, written from memory.
func (s *Store) retryNow() error {
	if s.lock == nil {
		lock, err := s.fs.Lock()
		if err != nil {
			return s.fail("lock", "", err)
		}
		s.lock = lock
	}
	if s.logsUnread {
		if err := s.recover(); err != nil {
			return err
		}
	}
	if s.logsBroken {
		if err := s.checkpoint(); err != nil {
			return err
		}
	}
	if s.segmentBroken {
		return s.probeSegment()
	}
	return nil
}

// probeSegment begins a segment, and sees that it can be written and synced.
func (s *Store) probeSegment() error {
	s.active = nil
	if err := s.rotate(); err != nil {
		return err
	}
	seg := s.active
	err := writeAt(seg.file, make([]byte, probeLen), 0)
	if err == nil {
		err = seg.file.Sync()
	}
	if err != nil {
		err = s.failSegment("write", seg, err)
		s.evict(seg.number)
		return err
	}
	s.segmentBroken = false
	return nil
}
