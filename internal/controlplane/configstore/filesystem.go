package configstore

import (
	"io"
	"os"

	"go.etcd.io/bbolt"
)

// FileSystem makes the file operations of a store, so that tests and fault injection can
// have each of them fail.
type FileSystem interface {
	// OpenFile opens a file as os.OpenFile does.
	OpenFile(path string, flag int, mode os.FileMode) (*os.File, error)
	// Stat describes the file at a path as os.Stat does.
	Stat(path string) (os.FileInfo, error)
	// Read is the rest of an open file, up to its end.
	Read(file *os.File) ([]byte, error)
	// Write writes all of content.
	Write(file *os.File, content []byte) error
	// Sync returns once what was written to a file is on the disk.
	Sync(file *os.File) error
	// Rename puts a file in the place of another in one step.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncFolder returns once the names in a folder are on the disk.
	SyncFolder(path string) error
	// Commit writes a transaction's pages in place, and syncs them.
	Commit(transaction *bbolt.Tx) error
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
