package configstore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"
)

const (
	lockRetryInterval = 20 * time.Millisecond // between attempts to lock the file
	lockTimeout       = 2 * time.Second       // time for a process that is ending to release the lock
)

// lock takes the flock that makes one process at a time the owner of a store; bbolt
// uses the same lock.
func lock(file *os.File, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for {
		err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, unix.EINTR):
		case !errors.Is(err, unix.EWOULDBLOCK):
			return &FaultError{"lock", file.Name(), err}
		case time.Now().After(deadline):
			return fmt.Errorf("configstore: lock %s: %w", file.Name(), ErrInUse)
		default:
			time.Sleep(lockRetryInterval)
		}
	}
}

// openAndLock opens the store's file and locks it. It returns nil if there is no file.
func (s *Store) openAndLock(wait time.Duration) (*os.File, error) {
	for {
		file, err := s.files.OpenFile(s.path, os.O_RDWR, 0)
		if errors.Is(err, os.ErrNotExist) {
			return nil, nil
		}
		if err != nil {
			return nil, &FaultError{"open", s.path, err}
		}
		if err := lock(file, wait); err != nil {
			file.Close()
			return nil, err
		}
		current, err := s.isCurrent(file)
		if err != nil {
			file.Close()
			return nil, &FaultError{"stat", s.path, err}
		}
		if current {
			return file, nil
		}
		file.Close() // the previous lock holder has replaced the file
	}
}

// isCurrent reports whether an open file is the one at the store's path.
func (s *Store) isCurrent(file *os.File) (bool, error) {
	current, err := s.files.Stat(s.path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	opened, err := file.Stat()
	return err == nil && os.SameFile(current, opened), err
}

// replaceFile writes a complete new file, renames it to the store's path and opens it.
// Once it is renamed, the locked file is returned even with an error: from then on its
// lock is the store's lock.
func (s *Store) replaceFile(content []byte) (*os.File, *bbolt.DB, error) {
	temporary := s.path + ".new"
	s.files.Remove(temporary) // left behind by an interrupted opening
	file, err := s.files.OpenFile(temporary, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, nil, &FaultError{"create", temporary, err}
	}
	if err := s.writeAndRename(file, content); err != nil {
		file.Close()
		s.files.Remove(temporary)
		return nil, nil, err
	}
	if err := s.files.SyncFolder(filepath.Dir(s.path)); err != nil {
		return file, nil, &FaultError{"sync folder of", s.path, err}
	}
	db, err := openDatabase(file)
	if err != nil {
		return file, nil, &FaultError{"open", s.path, err}
	}
	return file, db, nil
}

// writeAndRename locks, writes and syncs a temporary file, and then renames it to the
// store's path.
func (s *Store) writeAndRename(file *os.File, content []byte) error {
	if err := lock(file, 0); err != nil {
		return err
	}
	if err := s.files.Write(file, content); err != nil {
		return &FaultError{"write", file.Name(), err}
	}
	if err := s.files.Sync(file); err != nil {
		return &FaultError{"sync", file.Name(), err}
	}
	if s.file == nil { // no file was locked: an existing one belongs to another process
		if _, err := s.files.Stat(s.path); err == nil {
			return &FaultError{"create", s.path, os.ErrExist}
		}
	}
	if err := s.files.Rename(file.Name(), s.path); err != nil {
		return &FaultError{"rename", file.Name(), err}
	}
	return nil
}

// openDatabase makes bbolt use a file that is already open.
func openDatabase(file *os.File) (*bbolt.DB, error) {
	return bbolt.Open(file.Name(), 0o600, &bbolt.Options{
		Timeout:  time.Second,
		OpenFile: func(string, int, os.FileMode) (*os.File, error) { return file, nil },
	})
}

// closeIgnoringPanic closes a database that may be too damaged to be closed.
func closeIgnoringPanic(db *bbolt.DB) {
	defer func() { recover() }()
	db.Close()
}
