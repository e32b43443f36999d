package configstore

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// ErrNoVersion reports that the store has no version, or none with the requested
// number.
var ErrNoVersion = errors.New("configstore: no version is stored")

// ErrLockReleased reports that the store's file was left to another process by
// ReleaseLock.
var ErrLockReleased = errors.New("configstore: the lock of the store is released to another process")

// ErrInUse reports that another process held the lock of the store's file for the whole
// time that Open waits.
var ErrInUse = errors.New("the file is in use by another process")

// ErrClosed reports that the store is closed.
var ErrClosed = errors.New("configstore: the store is closed")

// DamagedError reports that the store's file was read completely but is corrupt, and
// where it was moved.
type DamagedError struct {
	Path       string // of the store, which is empty now
	Quarantine string // path of the unchanged corrupt file
	Err        error  // the check that failed
}

// Error returns a message with both paths and the failed check.
func (d *DamagedError) Error() string {
	return fmt.Sprintf("configstore: %s is damaged (%v); it was quarantined as %s and replaced by an empty store",
		d.Path, d.Err, d.Quarantine)
}

// Unwrap returns the failed check.
func (d *DamagedError) Unwrap() error { return d.Err }

// FaultError reports that the store's file could not be read or written. It does not
// mean that the content is corrupt: the file stays in place, and the operation may be
// retried.
type FaultError struct {
	Op   string // the failed operation, such as "sync" or "rename"
	Path string // of the file that the operation was on
	Err  error
}

// Error returns a message with the operation, the file and the cause.
func (f *FaultError) Error() string {
	return fmt.Sprintf("configstore: %s %s: %v", f.Op, f.Path, f.Err)
}

// Unwrap returns the cause.
func (f *FaultError) Unwrap() error { return f.Err }

// isInvalidPath reports whether opening failed because the configured path is not a
// place where this process can have a store.
func isInvalidPath(err error) bool {
	for _, cause := range []error{os.ErrPermission, os.ErrNotExist, syscall.ENOTDIR, syscall.EISDIR} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// isSystemError reports whether an error comes from the operating system, so that it
// says nothing about the content of a file.
func isSystemError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}
