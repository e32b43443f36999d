// Package configstore keeps the last known good versions of a router's configuration on
// disk, in an embedded store (bbolt), and a control service's state. What is put there
// is there completely or not at all, whatever byte a crash interrupts, and its checksum
// is verified when it is read. A store that is damaged is quarantined under another
// name, never repaired and never deleted.
//
// The package owns the store's file, its lock and its form. It decides nothing about
// versions: internal/controlplane/configversion does. Its methods wait for the disk, and
// so are called from goroutines beside the event loop only: by the agent and the service
// of internal/controlplane/service.
//
// Opening, faults and the lock are in store.go and file.go, what is stored and read in
// versions.go, the stored form in image.go and entry.go, transactions in transaction.go,
// the ages of versions in age.go.
package configstore

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"go.etcd.io/bbolt"

	"indigospool/internal/controlplane/configversion"
)

const (
	defaultMaxVersions = 8  // versions that are kept
	maxDeferred        = 64 // versions that are put while the lock is released
)

// Store is an open store. Its methods are safe for concurrent use.
//
// Where its file can't be written for now, it is read from memory, and each
// operation that writes first tries to write the complete file anew. Where it can't be
// read either, all operations fail with a FaultError until it can.
type Store struct {
	path        string
	maxVersions int // versions that are kept
	files       FileSystem
	bootClock   func() bootReading

	mu           sync.RWMutex // locked for writing while the file changes hands
	db           *bbolt.DB    // the file, or an image of it in memory; nil: neither
	file         *os.File     // with its lock; nil: there is none
	memory       *image       // what db is of, while the file can't be written
	lockReleased bool         // the file is another process's
	reacquiring  bool         // and is to be locked again
	deferred     []deferredVersion
	fault        error     // why the file can't be read or written for now
	faultSince   time.Time // when fault was first recorded
	closed       bool
}

// deferredVersion was put while the lock was released.
type deferredVersion struct {
	version configversion.Version
	put     time.Time
}

// Open opens the store at path, and makes it where there is none. With a
// DamagedError the store that is returned is a new one; with a FaultError it is the
// one that is there, as far as it can be read for now. No store is returned where
// another process has it open (ErrInUse), or the path is not one for a store.
func Open(path string) (*Store, error) { return OpenWithLimit(path, defaultMaxVersions) }

// OpenWithLimit is Open for a store that keeps limit versions.
func OpenWithLimit(path string, limit int) (*Store, error) { return OpenWith(Disk{}, path, limit) }

// OpenWith is OpenWithLimit by the operations of a file system.
func OpenWith(files FileSystem, path string, limit int) (*Store, error) {
	s := &Store{path: path, maxVersions: max(limit, 1), files: files, bootClock: readBootClock}
	err := s.load(lockTimeout)
	if err == nil {
		return s, nil
	}
	var fault *FaultError
	isFault := errors.As(err, &fault)
	isServing := s.db != nil && s.file != nil
	if isFault && (isServing || !isInvalidPath(err)) {
		return s, err
	}
	var damaged *DamagedError
	if errors.As(err, &damaged) {
		return s, err
	}
	s.closeFile()
	if isFault {
		return nil, fmt.Errorf("configstore: %s can't be a store: %w", path, fault.Err)
	}
	return nil, err
}

// Path is where the store's file is.
func (s *Store) Path() string { return s.path }

// load opens the store's file, checks every entry of it, and writes them anew into a
// file of its own that takes its place: so a page that is damaged where nobody
// looked, as in the list of free ones, can't harm what is stored later. Content that
// was read completely and fails its checks is quarantined. Where the new file can't be
// written, the old one stays, and is served from memory.
func (s *Store) load(wait time.Duration) error {
	err := s.read(wait)
	var damaged *DamagedError
	if err != nil && !errors.As(err, &damaged) {
		return s.recordFault(err)
	}
	rewriteErr := s.rewrite()
	switch {
	case rewriteErr == nil:
		return err
	case damaged != nil:
		return fmt.Errorf("%w; %w", err, rewriteErr)
	}
	return rewriteErr
}

// read reads the store's file into memory and serves it from there.
func (s *Store) read(wait time.Duration) error {
	file, err := s.openAndLock(wait)
	if err != nil {
		return err
	}
	if file == nil {
		return s.serveEmpty()
	}
	content, err := s.files.Read(file)
	if err != nil {
		file.Close()
		return &FaultError{"read", s.path, err}
	}
	memory, err := readImage(content)
	if err == nil {
		s.serveImage(file, memory)
		return nil
	}
	defer file.Close()
	if isSystemError(err) {
		return &FaultError{"check", s.path, err}
	}
	quarantine := fmt.Sprintf("%s.damaged-%d", s.path, time.Now().UnixNano())
	if err := s.files.Rename(s.path, quarantine); err != nil {
		return &FaultError{"quarantine the damaged", s.path, err}
	}
	if err := s.serveEmpty(); err != nil {
		return err
	}
	return &DamagedError{s.path, quarantine, err}
}

// serveEmpty serves an empty store from memory, without a file.
func (s *Store) serveEmpty() error {
	content, err := encodeImage(storeContents{})
	if err != nil {
		return &FaultError{"check", s.path, err}
	}
	memory, err := readImage(content)
	if err != nil {
		return &FaultError{"check", s.path, err}
	}
	s.serveImage(nil, memory)
	return nil
}

func (s *Store) serveImage(file *os.File, memory *image) {
	s.file, s.memory, s.db = file, memory, memory.db
}

// rewrite writes what is served from memory into a new file, which takes the place of
// the store's and serves from then on.
func (s *Store) rewrite() error {
	content, err := encodeImage(s.memory.contents)
	if err != nil {
		return s.recordFault(&FaultError{"copy", s.path, err})
	}
	file, db, err := s.replaceFile(content)
	if file != nil {
		if s.file != nil {
			s.file.Close()
		}
		s.file = file
	}
	if err != nil {
		return s.recordFault(err)
	}
	s.memory.close()
	s.memory, s.db = nil, db
	s.fault = nil
	return nil
}

// recordFault records why the file can't be read or written for now, and returns it.
func (s *Store) recordFault(err error) error {
	if s.fault == nil {
		s.faultSince = time.Now()
	}
	s.fault = err
	return err
}

// Fault is why the store's file can't be read or written for now, and since when;
// nil: it can.
func (s *Store) Fault() (since time.Time, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.faultSince, s.fault
}

// Recover tries again, after a fault, to have the file read and written anew. It does
// nothing where there is none. It fails with a FaultError, or with ErrClosed,
// ErrLockReleased or a DamagedError.
func (s *Store) Recover() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == nil {
		return nil
	}
	return s.makeWritable()
}

// makeWritable makes the file such that it can be written: after a fault it is read
// again, and its pages are not trusted but written anew. Then what was deferred is
// stored.
func (s *Store) makeWritable() error {
	switch {
	case s.closed:
		return ErrClosed
	case s.lockReleased && !s.reacquiring:
		return ErrLockReleased
	case s.db == nil:
		err := s.load(0)
		if s.db == nil {
			return err
		}
		s.lockReleased, s.reacquiring = false, false
		if err != nil && s.memory == nil { // damage was quarantined, and the new store takes what comes
			return errors.Join(err, s.putDeferred())
		}
		if err != nil {
			return err
		}
	case s.memory != nil:
		if err := s.rewrite(); err != nil {
			return err
		}
	}
	return s.putDeferred()
}

// putDeferred stores what was put while the lock was released.
func (s *Store) putDeferred() error {
	for len(s.deferred) > 0 {
		oldest := s.deferred[0]
		if err := s.putLocked(oldest.version, oldest.put); err != nil {
			return err
		}
		s.deferred = s.deferred[1:]
	}
	s.deferred = nil
	return nil
}

// Close closes the store: its operations fail with ErrClosed from then on.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.closeFile()
}

// closeFile closes the file, and what is of it in memory.
func (s *Store) closeFile() (err error) {
	switch {
	case s.memory != nil:
		s.memory.close()
	case s.db != nil:
		err = s.db.Close()
	}
	if s.file != nil {
		s.file.Close() // bbolt has closed it already where it used it
	}
	s.db, s.memory, s.file = nil, nil, nil
	return err
}

// ReleaseLock closes the file, so that a process that takes over can open it. What is put
// from then on stays in memory, and survives no crash until ReacquireLock; the rest fails
// with ErrLockReleased.
func (s *Store) ReleaseLock() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lockReleased {
		return nil
	}
	s.lockReleased, s.reacquiring = true, false
	return s.closeFile()
}

// ReacquireLock opens the file again, and stores what was put meanwhile. It fails with
// ErrInUse as long as the other process has it, and may be retried; so does each
// operation that writes, from then on.
func (s *Store) ReacquireLock() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lockReleased {
		return nil
	}
	s.reacquiring = true
	return s.makeWritable()
}
