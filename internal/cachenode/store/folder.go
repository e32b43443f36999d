package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
	Close() error
}

// FS is the folder that a store is in. Tests put one in its place that loses what was
// not synced, fails and lies (crashfs_test.go).
type FS interface {
	Open(name string, create bool) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	SyncDir() error           // what was created, renamed and removed is on disk
	Lock() (io.Closer, error) // for one process alone
}

// Dir is a folder of the operating system's.
type Dir string

type osFile struct{ *os.File }

// Size is the file's length.
func (f osFile) Size() (int64, error) {
	st, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return st.Size(), nil
}

// ReadNow reads what the kernel has in memory, and never waits for the disk (preadv2 with
// RWF_NOWAIT): less than was asked for, or an error, says that it would have to.
func (f osFile) ReadNow(b []byte, off int64) (int, error) {
	raw, err := f.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	cerr := raw.Control(func(fd uintptr) { n, err = unix.Preadv2(int(fd), [][]byte{b}, off, unix.RWF_NOWAIT) })
	return max(n, 0), errors.Join(err, cerr)
}

// nowReader is a File that can be read without waiting.
type nowReader interface {
	ReadNow(b []byte, off int64) (int, error)
}

// Open opens a file to read and write.
func (d Dir) Open(name string, create bool) (File, error) {
	flags := os.O_RDWR
	if create {
		flags |= os.O_CREATE
	}
	f, err := os.OpenFile(filepath.Join(string(d), name), flags, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename puts a file in another's place.
func (d Dir) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(d), from), filepath.Join(string(d), to))
}

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// List is the names of the files.
func (d Dir) List() (names []string, err error) {
	list, err := os.ReadDir(string(d))
	for _, e := range list {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// SyncDir syncs the folder itself.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock makes the folder where there is none, and locks it.
func (d Dir) Lock() (io.Closer, error) {
	if err := os.MkdirAll(string(d), 0o700); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(string(d), lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("store: %s is in use by another process (%w); give each its own folder", string(d), err)
	}
	return f, nil
}

const lockName = "lock"

// remove removes a file; one that can't be is tried again later.
func (s *Store) remove(name string) {
	err := s.fs.Remove(name)
	if err == nil || errors.Is(err, os.ErrNotExist) {
		return
	}
	if len(s.staleFiles) < maxStaleFiles {
		s.staleFiles = append(s.staleFiles, name)
	}
}

// removeStale removes what could not be removed before.
func (s *Store) removeStale() {
	names := s.staleFiles
	s.staleFiles = nil
	for _, name := range names {
		s.remove(name)
	}
}

// writeAt writes all of b.
func writeAt(f io.WriterAt, b []byte, off int64) error {
	n, err := f.WriteAt(b, off)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	return err
}
