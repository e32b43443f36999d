package store

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The first retry after a failure follows after minBackoff, and the delay doubles with each retry up
// to maxBackoff. So the store recovers quickly from a short fault, and does not keep trying a disk
// that stays full.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

const (
	maxPendingPurges = 4096 // limit of Store.pendingPurges
	maxStaleFiles    = 64   // limit of Store.staleFiles; the next Open finds the others again
	probeLen         = 4096 // bytes that are written and synced to check that a new segment works
)

// FaultError means that an operation on the disk failed. It does not mean that data is corrupt: the
// store rejects calls that need the disk, keeps the files, and retries by itself.
type FaultError struct {
	Op    string    // operation, such as "write" or "sync"
	File  string    // name in the store's folder; empty: the folder itself
	Since time.Time // time of the first failure since the store last worked
	Err   error     // cause
}

// Error returns the operation, the file, the cause and the time of the first failure.
func (e *FaultError) Error() string {
	file := e.File
	if file == "" {
		file = "the folder"
	}
	return fmt.Sprintf("store: %s %s: %v (failing since %s, will be retried)", e.Op, file, e.Err, e.Since.UTC().Format(time.RFC3339))
}

// Unwrap returns the cause.
func (e *FaultError) Unwrap() error { return e.Err }

// transient reports whether the cause of a failed lock may go away by itself. That is not so if
// another process has the lock, or permissions are missing.
func transient(err error) bool {
	for _, errno := range []syscall.Errno{unix.EIO, unix.ENOSPC, unix.EDQUOT, unix.EMFILE, unix.ENFILE, unix.ENOMEM, unix.EINTR} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// backoff determines when a failed operation is retried.
type backoff struct {
	wait time.Duration
	next time.Time // time of the next retry
}

// failed records a failure. All failures before the next retry count as one. If the last retry was
// long ago, the delay begins at minBackoff again.
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
	FaultDuration      time.Duration // time since Fault.Since
	LogsUnread         bool          // the logs could not be read yet: no object stored before the start is served
	PurgesDurable      bool          // purges can be made durable and acknowledged
	UnreadableSegments int           // number of segments whose objects are not served for now
	Found              Recovered     // what was found at the start; zero until the logs could be read
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
		if seg.fault != nil || s.objectsMayBeLost(seg) {
			status.UnreadableSegments++
		}
	}
	return status
}

// Faulty reports whether Retry has something to retry. It never waits.
func (s *Store) Faulty() bool { return s.faulty.Load() }

// Retry retries failed operations whose backoff is over. Begin and Purge do so as well, but the
// owner of the store should call Retry periodically so that recovery does not depend on them.
func (s *Store) Retry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	err := s.retryIfDue()
	if err == nil {
		err = s.rewriteUnsynced()
	}
	faulty := err != nil || s.failure != nil
	for _, seg := range s.segments {
		if !s.segmentReadable(seg) {
			faulty = true
		}
	}
	s.faulty.Store(faulty)
}

// fail records a failure of the disk and returns it as a FaultError.
func (s *Store) fail(op, file string, err error) error {
	now := s.options.Now()
	fault := &FaultError{Op: op, File: file, Since: now, Err: err}
	if s.failure != nil {
		fault.Since = s.failure.Since
	} else {
		s.options.Warn(fault.Error() + "; no objects are stored until a retry succeeds")
	}
	s.failure = fault
	s.backoff.failed(now)
	s.faulty.Store(true)
	return fault
}

// failLog is like fail, for the logs. Their content is no longer trusted: a checkpoint must rewrite
// them before a purge is acknowledged or an object is stored.
func (s *Store) failLog(op, file string, err error) error {
	s.logsBroken = true
	return s.fail(op, file, err)
}

// failSegment is like fail, for a segment. The next object is written to a new segment.
func (s *Store) failSegment(op string, seg *segment, err error) error {
	s.segmentBroken = true
	if s.active == seg {
		s.active = nil
	}
	return s.fail(op, segmentName(seg.number), err)
}

// retryIfDue retries if the backoff is over. It returns nil if the disk works, and the failure
// otherwise.
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
	s.options.Warn(fmt.Sprintf("store: the disk works again, %v after the first failure; last error: %v", s.options.Now().Sub(s.failure.Since).Round(time.Millisecond), s.failure.Err))
	s.failure = nil
	return s.rewriteUnsynced()
}

// retryNow tries once to make the store work again. The content of files that have failed is not
// trusted: the logs are rewritten from memory, and a new segment is begun.
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

// probeSegment begins a new segment and checks that it can be written and synced.
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
