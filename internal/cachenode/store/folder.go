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
	// Sync returns when all written data is on disk.
	Sync() error
	Truncate(size int64) error
	// Size returns the length in bytes.
	Size() (int64, error)
	Close() error
}

// FS is the folder of a store. crashfs_test.go has an implementation for tests that loses
// unsynced data and whose calls fail.
type FS interface {
	// Open opens a file for reading and writing. With create it creates a missing file.
	Open(name string, create bool) (File, error)
	// Rename renames a file, and replaces an existing file of the new name.
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of the files.
	List() ([]string, error)
	// SyncDir returns when all creations, renames and removals of files are on disk.
	SyncDir() error
	// Lock locks the folder for this process until the lock is closed.
	Lock() (io.Closer, error)
}

const lockName = "lock"

// Dir is an FS for a folder of the operating system. Its value is the path.
type Dir string

type osFile struct{ *os.File }

// Size returns the file's length in bytes.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// ReadNow reads from the kernel's page cache and never waits for the disk (preadv2 with
// RWF_NOWAIT). It returns fewer bytes than requested, or an error, if it would have to wait.
func (f osFile) ReadNow(data []byte, off int64) (int, error) {
	raw, err := f.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	controlErr := raw.Control(func(fd uintptr) { n, err = unix.Preadv2(int(fd), [][]byte{data}, off, unix.RWF_NOWAIT) })
	return max(n, 0), errors.Join(err, controlErr)
}

// nonblockingReader is a File that can be read without waiting.
type nonblockingReader interface {
	ReadNow(data []byte, off int64) (int, error)
}

// Open implements FS.
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

// Rename implements FS.
func (d Dir) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(d), from), filepath.Join(string(d), to))
}

// Remove implements FS.
func (d Dir) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// List implements FS.
func (d Dir) List() (names []string, err error) {
	entries, err := os.ReadDir(string(d))
	for _, entry := range entries {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	return names, err
}

// SyncDir implements FS.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock implements FS. It creates a missing folder.
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
		return nil, fmt.Errorf("store: %s is in use by another process (%w); each process needs a folder of its own", string(d), err)
	}
	return f, nil
}

// readFile reads a whole file. It returns no data for one that does not exist.
func (s *Store) readFile(name string, exists bool) ([]byte, error) {
	if !exists {
		return nil, nil
	}
	file, err := s.fs.Open(name, false)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return readAll(file)
}

func readAll(file File) ([]byte, error) {
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	data := make([]byte, size)
	n, err := file.ReadAt(data, 0)
	if err == io.EOF && int64(n) == size {
		err = nil
	}
	return data[:n], err
}

// replaceFile writes and syncs a file under a temporary name, and then renames it to name, which
// replaces an existing file.
func (s *Store) replaceFile(temporary, name string, write func(File) error) (File, error) {
	file, err := s.fs.Open(temporary, true)
	if err != nil {
		return nil, err
	}
	if err := s.writeAndRename(file, temporary, name, write); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

func (s *Store) writeAndRename(file File, temporary, name string, write func(File) error) error {
	if err := file.Truncate(0); err != nil {
		return err
	}
	if err := write(file); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := s.fs.Rename(temporary, name); err != nil {
		return err
	}
	return s.fs.SyncDir()
}

// remove removes a file. If that fails, removeStale tries it again.
func (s *Store) remove(name string) {
	err := s.fs.Remove(name)
	if err == nil || errors.Is(err, os.ErrNotExist) {
		return
	}
	if len(s.staleFiles) < maxStaleFiles {
		s.staleFiles = append(s.staleFiles, name)
	}
}

// removeStale tries to remove the stale files.
func (s *Store) removeStale() {
	names := s.staleFiles
	s.staleFiles = nil
	for _, name := range names {
		s.remove(name)
	}
}

// writeAt writes all of data; a short write is an error.
func writeAt(file io.WriterAt, data []byte, off int64) error {
	n, err := file.WriteAt(data, off)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	return err
}
