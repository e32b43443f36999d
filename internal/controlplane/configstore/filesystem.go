package configstore

import (
	"io"
	"os"

	"go.etcd.io/bbolt"
)

// FileSystem has the file operations of a store, so that tests and fault injection can
// make each of them fail.
type FileSystem interface {
	// OpenFile opens a file like os.OpenFile.
	OpenFile(path string, flag int, mode os.FileMode) (*os.File, error)
	// Stat describes the file at a path like os.Stat.
	Stat(path string) (os.FileInfo, error)
	// Read returns the rest of an open file.
	Read(file *os.File) ([]byte, error)
	// Write writes all of content.
	Write(file *os.File, content []byte) error
	// Sync returns once the content of a file is on disk.
	Sync(file *os.File) error
	// Rename renames a file and atomically replaces an existing one.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncFolder returns once the entries of a folder are on disk.
	SyncFolder(path string) error
	// Commit writes a transaction's pages to its file and syncs it.
	Commit(transaction *bbolt.Tx) error
}

// Disk is the FileSystem of the operating system.
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
