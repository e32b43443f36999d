package configstore

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// ErrNoVersion says that the store holds no version, or none with the number asked for.
var ErrNoVersion = errors.New("configstore: no version is stored")

// ErrLockReleased says that the store's file was left to another process by ReleaseLock.
var ErrLockReleased = errors.New("configstore: the store is locked by another process for now")

// ErrInUse says that another process had the store's file locked for as long as Open
// waits.
var ErrInUse = errors.New("the file is in use by another process")

// ErrClosed says that the store was closed.
var ErrClosed = errors.New("configstore: the store is closed")

// DamagedError says that the store's file was read completely and is not what was
// written, and where it is now.
type DamagedError struct {
	Path       string // of the store; an empty one stands there now
	Quarantine string // path of the damaged file, as it was found
	Err        error  // the check that failed
}

// Error names both paths and the check that failed.
func (d *DamagedError) Error() string {
	return fmt.Sprintf("configstore: %s is damaged (%v); it was quarantined as %s, and an empty store begins in its place",
		d.Path, d.Err, d.Quarantine)
}

// Unwrap is the check that failed.
func (d *DamagedError) Unwrap() error { return d.Err }

// FaultError says that the store's file could not be read or written. It says
// nothing about what the file holds: that is left as it is, and the operation may be
// retried.
type FaultError struct {
	Op   string // what was attempted, as "sync" or "rename"
	Path string // of the file that it was attempted on
	Err  error
}

// Error names the operation, the file and the cause.
func (f *FaultError) Error() string {
	return fmt.Sprintf("configstore: %s %s: %v", f.Op, f.Path, f.Err)
}

// Unwrap is the cause.
func (f *FaultError) Unwrap() error { return f.Err }

// isInvalidPath reports whether an error of opening is one of the settings: the path
// names no place where this process may have a store.
func isInvalidPath(err error) bool {
	for _, cause := range []error{os.ErrPermission, os.ErrNotExist, syscall.ENOTDIR, syscall.EISDIR} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// isSystemError reports whether an error is the operating system's, and so says nothing
// about the content of a file.
func isSystemError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}
