package configstore

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"go.etcd.io/bbolt"
	boltErrors "go.etcd.io/bbolt/errors"
	"golang.org/x/sys/unix"
)

// pageFaultError is a panic of bbolt. It panics when a page of its memory-mapped file
// can't be read, or lies past the end of the file, both of which are memory faults.
type pageFaultError struct{ panicked any }

func (p *pageFaultError) Error() string { return fmt.Sprint(p.panicked) }

// catchPageFault calls an operation of bbolt and converts a panic into a
// pageFaultError.
func catchPageFault(operation func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if panicked := recover(); panicked != nil {
			err = &pageFaultError{panicked}
		}
	}()
	return operation()
}

// view runs a read transaction.
func (s *Store) view(read func(*bbolt.Tx) error) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.db == nil {
		return s.unavailable()
	}
	err := catchPageFault(func() error { return s.db.View(read) })
	var pageFault *pageFaultError
	if errors.As(err, &pageFault) {
		return &FaultError{"read", s.path, err}
	}
	return err
}

// unavailable returns the reason why the store can't be read.
func (s *Store) unavailable() error {
	switch {
	case s.closed:
		return ErrClosed
	case s.lockReleased || s.fault == nil:
		return ErrLockReleased
	}
	return s.fault
}

// commit runs a write transaction. If writing the file fails, the file is read again,
// and is rewritten before the next write.
func (s *Store) commit(write func(*bbolt.Tx) error) error {
	var tx *bbolt.Tx
	var failed bool // writing the file failed, not the write function
	err := catchPageFault(func() (err error) {
		if tx, err = s.db.Begin(true); err != nil {
			return &FaultError{"begin transaction on", s.path, err}
		}
		if err := write(tx); err != nil {
			tx.Rollback()
			return err
		}
		if err := s.files.Commit(tx); err != nil {
			failed = true
			return &FaultError{"write", s.path, err}
		}
		return nil
	})
	var pageFault *pageFaultError
	if errors.As(err, &pageFault) {
		failed = true
		err = &FaultError{"read", s.path, err}
	}
	if failed {
		s.abandon(tx)
		s.reread(err)
	}
	return err
}

// abandon closes the file after a failed transaction. If bbolt can't end that
// transaction, the database can't be closed either: its memory is leaked, and only the
// lock is released.
func (s *Store) abandon(tx *bbolt.Tx) {
	db, file := s.db, s.file
	s.db, s.file = nil, nil
	if !rollbackAndClose(db, tx) {
		unlockAndClose(file)
	}
}

// rollbackAndClose reports whether bbolt could end the transaction and close the file.
func rollbackAndClose(db *bbolt.DB, tx *bbolt.Tx) (closed bool) {
	defer func() {
		if recover() != nil {
			closed = false
		}
	}()
	if err := tx.Rollback(); err != nil && !errors.Is(err, boltErrors.ErrTxClosed) {
		return false
	}
	db.Close()
	return true
}

func unlockAndClose(file *os.File) {
	unix.Flock(int(file.Fd()), unix.LOCK_UN)
	file.Close()
}

// reread records a fault and serves the current content of the file from memory.
func (s *Store) reread(fault error) {
	s.recordFault(fault)
	if err := s.read(0); err != nil {
		s.recordFault(err)
	}
}
