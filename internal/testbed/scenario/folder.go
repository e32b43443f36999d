package scenario

import (
	"os"

	"go.etcd.io/bbolt"

	"indigospool/internal/cachenode/store"
	"indigospool/internal/controlplane/configstore"
)

// faultyFolder is the folder of a cache node's store. During a folder-fault all writes and
// syncs in it fail.
type faultyFolder struct {
	store.FS
	faults *injector
}

// Open implements store.FS.
func (f faultyFolder) Open(name string, create bool) (store.File, error) {
	if err := f.faults.folderErr(); err != nil && create {
		return nil, &os.PathError{Op: "open", Path: name, Err: err}
	}
	file, err := f.FS.Open(name, create)
	if err != nil {
		return nil, err
	}
	return faultyFile{file, name, f.faults}, nil
}

// Rename implements store.FS.
func (f faultyFolder) Rename(from, to string) error {
	if err := f.faults.folderErr(); err != nil {
		return &os.LinkError{Op: "rename", Old: from, New: to, Err: err}
	}
	return f.FS.Rename(from, to)
}

// SyncDir implements store.FS.
func (f faultyFolder) SyncDir() error {
	if err := f.faults.folderErr(); err != nil {
		return &os.PathError{Op: "sync", Path: ".", Err: err}
	}
	return f.FS.SyncDir()
}

// faultyFile is a file in a faultyFolder. A write that fails has written the first half of
// its bytes.
type faultyFile struct {
	store.File
	name   string
	faults *injector
}

// WriteAt implements io.WriterAt.
func (f faultyFile) WriteAt(b []byte, offset int64) (int, error) {
	err := f.faults.folderErr()
	if err == nil {
		return f.File.WriteAt(b, offset)
	}
	n, _ := f.File.WriteAt(b[:len(b)/2], offset)
	return n, &os.PathError{Op: "write", Path: f.name, Err: err}
}

// Sync implements store.File.
func (f faultyFile) Sync() error {
	if err := f.faults.folderErr(); err != nil {
		return &os.PathError{Op: "sync", Path: f.name, Err: err}
	}
	return f.File.Sync()
}

// Truncate implements store.File.
func (f faultyFile) Truncate(size int64) error {
	if err := f.faults.folderErr(); err != nil {
		return &os.PathError{Op: "truncate", Path: f.name, Err: err}
	}
	return f.File.Truncate(size)
}

// ReadNow reads what the page cache holds, if the wrapped file supports it.
func (f faultyFile) ReadNow(b []byte, offset int64) (int, error) {
	now, ok := f.File.(interface {
		ReadNow(b []byte, offset int64) (int, error)
	})
	if !ok {
		return 0, nil
	}
	return now.ReadNow(b, offset)
}

// faultyFiles implements the file operations of a store of settings versions. They fail
// during a folder-fault as those of faultyFolder do.
type faultyFiles struct {
	configstore.Disk
	faults *injector
}

// OpenFile implements configstore.FileSystem.
func (f faultyFiles) OpenFile(path string, flag int, mode os.FileMode) (*os.File, error) {
	if err := f.faults.folderErr(); err != nil && flag&os.O_CREATE != 0 {
		return nil, &os.PathError{Op: "open", Path: path, Err: err}
	}
	return f.Disk.OpenFile(path, flag, mode)
}

// Write implements configstore.FileSystem.
func (f faultyFiles) Write(file *os.File, content []byte) error {
	err := f.faults.folderErr()
	if err == nil {
		return f.Disk.Write(file, content)
	}
	f.Disk.Write(file, content[:len(content)/2])
	return &os.PathError{Op: "write", Path: file.Name(), Err: err}
}

// Sync implements configstore.FileSystem.
func (f faultyFiles) Sync(file *os.File) error {
	if err := f.faults.folderErr(); err != nil {
		return &os.PathError{Op: "sync", Path: file.Name(), Err: err}
	}
	return f.Disk.Sync(file)
}

// Rename implements configstore.FileSystem.
func (f faultyFiles) Rename(from, to string) error {
	if err := f.faults.folderErr(); err != nil {
		return &os.LinkError{Op: "rename", Old: from, New: to, Err: err}
	}
	return f.Disk.Rename(from, to)
}

// SyncFolder implements configstore.FileSystem.
func (f faultyFiles) SyncFolder(path string) error {
	if err := f.faults.folderErr(); err != nil {
		return &os.PathError{Op: "sync", Path: path, Err: err}
	}
	return f.Disk.SyncFolder(path)
}

// Commit implements configstore.FileSystem.
func (f faultyFiles) Commit(transaction *bbolt.Tx) error {
	if err := f.faults.folderErr(); err != nil {
		path := transaction.DB().Path()
		transaction.Rollback()
		return &os.PathError{Op: "write", Path: path, Err: err}
	}
	return f.Disk.Commit(transaction)
}
