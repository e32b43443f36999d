// Package configstore stores the last known good versions of a router's configuration,
// and the state of a control service, in an embedded database file (bbolt). Writes are
// atomic even if a crash interrupts them at any byte, and checksums are verified on
// reading. A corrupt file is quarantined under another name, never repaired and never
// deleted.
//
// The package handles the file, its lock and its format. Decisions about versions are
// made by internal/controlplane/configversion. All methods may block on disk I/O, so
// they must not be called on the event loop; the callers are the agent and the service
// of internal/controlplane/service.
//
// Opening, faults and the lock are in store.go and file.go, reading and writing of
// versions in versions.go, the stored format in image.go and entry.go, transactions in
// transaction.go, and the ages of versions in age.go.
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
	defaultMaxVersions = 8  // stored versions
	maxDeferred        = 64 // versions put while the lock is released
)

// Store is an open store. Its methods are safe for concurrent use.
//
// While the file can't be written, the store serves reads from memory, and each write
// first tries to rewrite the complete file. While the file can't be read either, all
// operations fail with a FaultError.
type Store struct {
	path        string
	maxVersions int // stored versions
	files       FileSystem
	bootClock   func() bootReading

	mu           sync.RWMutex // held exclusively for writes and while the file is replaced or closed
	db           *bbolt.DB    // of the file or of its image in memory; nil: neither is available
	file         *os.File     // the locked file; nil: there is none
	memory       *image       // the image that db uses while the file can't be written; nil: db uses the file
	lockReleased bool         // ReleaseLock gave the file to another process
	reacquiring  bool         // ReacquireLock was called, but has not succeeded yet
	deferred     []deferredVersion
	fault        error     // why the file can't be read or written; nil: it can
	faultSince   time.Time // when fault was first recorded
	closed       bool
}

// deferredVersion is a version that was put while the lock was released.
type deferredVersion struct {
	version configversion.Version
	put     time.Time
}

// Open opens the store at path, or creates it. With a DamagedError it returns a new,
// empty store; with a FaultError it returns the existing store, as far as it can be
// read for now. It returns no store if another process has the file open (ErrInUse), or
// if path can't hold a store.
func Open(path string) (*Store, error) { return OpenWithLimit(path, defaultMaxVersions) }

// OpenWithLimit is like Open, for a store that keeps limit versions.
func OpenWithLimit(path string, limit int) (*Store, error) { return OpenWith(Disk{}, path, limit) }

// OpenWith is like OpenWithLimit, with the operations of the given file system.
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
		return nil, fmt.Errorf("configstore: no store can be opened at %s: %w", path, fault.Err)
	}
	return nil, err
}

// Path returns the path of the store's file.
func (s *Store) Path() string { return s.path }

// load opens the store's file, checks every entry and rewrites them into a new file
// that replaces it. Thus a corrupt page that the check does not reach, for example in
// bbolt's list of free pages, can't damage versions stored later. A file that was read
// completely but fails its checks is quarantined. If the new file can't be written, the
// old one stays, and the store is served from memory.
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

// read reads the store's file into memory and serves the store from there.
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
		return &FaultError{"quarantine damaged file", s.path, err}
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

// rewrite writes the content served from memory to a new file, which replaces the
// store's file. From then on the store is served from that file.
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

// recordFault records why the file can't be read or written, and returns the error.
func (s *Store) recordFault(err error) error {
	if s.fault == nil {
		s.faultSince = time.Now()
	}
	s.fault = err
	return err
}

// Fault returns why the store's file can't be read or written, and since when; the
// error is nil if there is no fault.
func (s *Store) Fault() (since time.Time, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.faultSince, s.fault
}

// Recover tries to read and rewrite the file after a fault. Without a fault it does
// nothing. It fails with a FaultError, ErrClosed, ErrLockReleased or a DamagedError.
func (s *Store) Recover() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == nil {
		return nil
	}
	return s.makeWritable()
}

// makeWritable prepares the file for writing: after a fault it reads the file again if
// necessary and rewrites it completely, since its pages can't be trusted. Then it
// stores the deferred versions.
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
		if err != nil && s.memory == nil { // the corrupt file was quarantined; the new store is writable
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

// putDeferred stores the versions that were put while the lock was released.
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

// Close closes the store. Later operations fail with ErrClosed.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.closeFile()
}

// closeFile closes the file and its image in memory.
func (s *Store) closeFile() (err error) {
	switch {
	case s.memory != nil:
		s.memory.close()
	case s.db != nil:
		err = s.db.Close()
	}
	if s.file != nil {
		s.file.Close() // already closed by bbolt if db used it
	}
	s.db, s.memory, s.file = nil, nil, nil
	return err
}

// ReleaseLock closes the file, so that a successor process can open it. Versions put
// after that stay in memory until ReacquireLock, and are lost in a crash; other
// operations fail with ErrLockReleased.
func (s *Store) ReleaseLock() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lockReleased {
		return nil
	}
	s.lockReleased, s.reacquiring = true, false
	return s.closeFile()
}

// ReacquireLock opens the file again and stores the versions that were put meanwhile.
// While the other process has the file open, it fails with ErrInUse and may be retried;
// from the first call on, each write retries it as well.
func (s *Store) ReacquireLock() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lockReleased {
		return nil
	}
	s.reacquiring = true
	return s.makeWritable()
}
