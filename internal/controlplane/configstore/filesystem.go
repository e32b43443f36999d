package configstore

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	boltErrors "go.etcd.io/bbolt/errors"
	"golang.org/x/sys/unix"
)

// FileSystem makes the file operations of a store. Tests put one in its place that
// fails.
type FileSystem interface {
	OpenFile(path string, flag int, mode os.FileMode) (*os.File, error)
	Stat(path string) (os.FileInfo, error)
	Read(file *os.File) ([]byte, error) // the whole file
	Write(file *os.File, content []byte) error
	Sync(file *os.File) error
	Rename(from, to string) error
	Remove(path string) error
	SyncFolder(path string) error
	Commit(transaction *bbolt.Tx) error // writes the pages in place, and syncs them
}

// Disk is the operating system's FileSystem.
type Disk struct{}

// OpenFile implements FileSystem.
func (Disk) OpenFile(path string, flag int, mode os.FileMode) (*os.File, error) {
	return os.OpenFile(path, flag, mode)
}

// Stat implements FileSystem.
func (Disk) Stat(path string) (os.FileInfo, error) { return os.Stat(path) }

// Read implements FileSystem.
func (Disk) Read(file *os.File) ([]byte, error) { return io.ReadAll(file) }

// Write implements FileSystem.
func (Disk) Write(file *os.File, content []byte) error {
	_, err := file.Write(content)
	return err
}

// Sync implements FileSystem.
func (Disk) Sync(file *os.File) error { return file.Sync() }

// Rename implements FileSystem.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (Disk) Remove(path string) error { return os.Remove(path) }

// SyncFolder implements FileSystem.
func (Disk) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Commit implements FileSystem.
func (Disk) Commit(transaction *bbolt.Tx) error { return transaction.Commit() }

// A FaultError says that the store's file could not be read or written. It says
// nothing of what the file holds: that is left as it is, and the operation may be
// tried again.
type FaultError struct {
	Op, Path string
	Err      error
}

func (f *FaultError) Error() string {
	return fmt.Sprintf("lastgood: %s %s: %v", f.Op, f.Path, f.Err)
}

func (f *FaultError) Unwrap() error { return f.Err }

// misplaced reports whether an error of opening is one of the settings: the path
// names no place where this process may have a store.
func misplaced(err error) bool {
	for _, one := range []error{os.ErrPermission, os.ErrNotExist, syscall.ENOTDIR, syscall.EISDIR} {
		if errors.Is(err, one) {
			return true
		}
	}
	return false
}

const lockRetry = 20 * time.Millisecond

// lock takes the lock by which a store has one process, as bbolt does.
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
			return fmt.Errorf("lastgood: %s is in use by another process: %w", file.Name(), boltErrors.ErrTimeout)
		default:
			time.Sleep(lockRetry)
		}
	}
}

// openAndLock opens the store's file and takes its lock; nil where there is none.
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
		file.Close() // whoever had the lock has put another file in its place
	}
}

// isCurrent reports whether an open file is the one that stands at the store's path.
func (s *Store) isCurrent(file *os.File) (bool, error) {
	there, err := s.files.Stat(s.path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	opened, err := file.Stat()
	return err == nil && os.SameFile(there, opened), err
}

// writeFresh writes a whole new file in the place of the store's, and opens it. The
// file is returned, locked, once it stands there, also with an error: from then on
// its lock is the store's.
func (s *Store) writeFresh(content []byte) (*os.File, *bbolt.DB, error) {
	temporary := s.path + ".new"
	s.files.Remove(temporary) // of an opening that was interrupted
	file, err := s.files.OpenFile(temporary, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, nil, &FaultError{"create", temporary, err}
	}
	if err := s.fill(file, content); err != nil {
		file.Close()
		s.files.Remove(temporary)
		return nil, nil, err
	}
	if err := s.files.SyncFolder(filepath.Dir(s.path)); err != nil {
		return file, nil, &FaultError{"sync the folder of", s.path, err}
	}
	db, err := openFile(file)
	if err != nil {
		return file, nil, &FaultError{"open", s.path, err}
	}
	return file, db, nil
}

func (s *Store) fill(file *os.File, content []byte) error {
	if err := lock(file, 0); err != nil {
		return err
	}
	if err := s.files.Write(file, content); err != nil {
		return &FaultError{"write", file.Name(), err}
	}
	if err := s.files.Sync(file); err != nil {
		return &FaultError{"sync", file.Name(), err}
	}
	if s.file == nil { // there was none to lock
		if _, err := s.files.Stat(s.path); err == nil {
			return &FaultError{"create", s.path, os.ErrExist}
		}
	}
	if err := s.files.Rename(file.Name(), s.path); err != nil {
		return &FaultError{"rename", file.Name(), err}
	}
	return nil
}

// openFile has bbolt use a file that is open already.
func openFile(file *os.File) (*bbolt.DB, error) {
	return bbolt.Open(file.Name(), 0o600, &bbolt.Options{Timeout: time.Second,
		OpenFile: func(string, int, os.FileMode) (*os.File, error) { return file, nil }})
}

// An image is a store in memory, in the form of a file.
type image struct {
	file *os.File
	db   *bbolt.DB
	all  contents
}

func (i *image) close() {
	closeQuietly(i.db)
	i.file.Close()
}

func memoryFile() (*os.File, error) {
	fd, err := unix.MemfdCreate("lastgood", unix.MFD_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("memfd_create", err)
	}
	return os.NewFile(uintptr(fd), "store in memory"), nil
}

// readImage checks what a store's file holds, all of it, without the file: what
// fails here is damage, unless the error has an errno.
func readImage(content []byte) (i *image, err error) {
	if len(content) == 0 {
		return nil, errors.New("the file is empty")
	}
	file, err := memoryFile()
	if err != nil {
		return nil, err
	}
	i = &image{file: file}
	// a page that points past the file's end is a fault of memory in bbolt
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v", p)
		}
		if err != nil {
			i.close()
			i = nil
		}
	}()
	if _, err := file.Write(content); err != nil {
		return nil, err
	}
	if i.db, err = openFile(file); err != nil {
		return i, err
	}
	i.all, err = readAll(i.db)
	return i, err
}

// imageOf is the image of a store's contents, and its bytes.
func imageOf(all contents) ([]byte, error) {
	file, err := memoryFile()
	if err != nil {
		return nil, err
	}
	defer file.Close()
	db, err := openFile(file)
	if err != nil {
		return nil, err
	}
	defer closeQuietly(db)
	if err := db.Update(func(tx *bbolt.Tx) error { return writeAll(tx, all) }); err != nil {
		return nil, err
	}
	size, err := file.Stat()
	if err != nil {
		return nil, err
	}
	content := make([]byte, size.Size())
	_, err = file.ReadAt(content, 0)
	return content, err
}

// passing reports whether an error is of the operating system, and not of content.
func passing(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}
