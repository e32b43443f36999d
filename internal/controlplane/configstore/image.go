package configstore

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"
)

// Names in the file. They are part of the stored format and must not change.
var (
	versionsBucket = []byte("versions") // versions by number
	metaBucket     = []byte("meta")
	statesBucket   = []byte("states")
	stateKey       = []byte("state") // in the states bucket: state of a service
	formatKey      = []byte("form")  // in the meta bucket: formatVersion
)

const (
	formatVersion = 1    // of the content of the buckets
	maxEntries    = 1000 // of versions; more than any limit allows
)

// storeContents is the complete content of a store.
type storeContents struct {
	versions []entry
	state    []byte // with its checksum; nil: none
}

// entry is a version's key and value in the file.
type entry struct{ key, value []byte }

// image is a store in memory, in the format of a file.
type image struct {
	file     *os.File
	db       *bbolt.DB
	contents storeContents
}

func (i *image) close() {
	closeIgnoringPanic(i.db)
	i.file.Close()
}

func createMemoryFile() (*os.File, error) {
	fd, err := unix.MemfdCreate("configstore", unix.MFD_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("memfd_create", err)
	}
	return os.NewFile(uintptr(fd), "store in memory"), nil
}

// readImage checks everything that a store's file contains, using a copy in memory. An
// error means that the content is corrupt, unless the error has an errno.
func readImage(content []byte) (*image, error) {
	if len(content) == 0 {
		return nil, errors.New("the file is empty")
	}
	file, err := createMemoryFile()
	if err != nil {
		return nil, err
	}
	loaded := &image{file: file}
	err = catchPageFault(func() error { return loaded.load(content) })
	if err != nil {
		loaded.close()
		return nil, err
	}
	return loaded, nil
}

// load writes content to the image's file and reads it through bbolt.
func (i *image) load(content []byte) error {
	if _, err := i.file.Write(content); err != nil {
		return err
	}
	var err error
	if i.db, err = openDatabase(i.file); err != nil {
		return err
	}
	i.contents, err = readContents(i.db)
	return err
}

// encodeImage returns the bytes of a store's file with these contents.
func encodeImage(held storeContents) ([]byte, error) {
	file, err := createMemoryFile()
	if err != nil {
		return nil, err
	}
	defer file.Close()
	db, err := openDatabase(file)
	if err != nil {
		return nil, err
	}
	defer closeIgnoringPanic(db)
	if err := db.Update(func(tx *bbolt.Tx) error { return writeContents(tx, held) }); err != nil {
		return nil, err
	}
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	content := make([]byte, info.Size())
	_, err = file.ReadAt(content, 0)
	return content, err
}

// readContents reads and checks all entries.
func readContents(db *bbolt.DB) (held storeContents, err error) {
	err = db.View(func(tx *bbolt.Tx) error {
		meta, versions, states := tx.Bucket(metaBucket), tx.Bucket(versionsBucket), tx.Bucket(statesBucket)
		if meta == nil || versions == nil || states == nil {
			return errors.New("buckets are missing")
		}
		if form := meta.Get(formatKey); len(form) != 1 || form[0] != formatVersion {
			return fmt.Errorf("format version %v, want %d", form, formatVersion)
		}
		if stored := states.Get(stateKey); stored != nil {
			if _, err := verify(stateKey, stored); err != nil {
				return err
			}
			held.state = slices.Clone(stored)
		}
		return versions.ForEach(func(key, value []byte) error {
			if _, _, err := decodeVersion(key, value); err != nil {
				return err
			}
			if len(held.versions) > maxEntries {
				return errors.New("more versions than any limit allows")
			}
			held.versions = append(held.versions, entry{slices.Clone(key), slices.Clone(value)})
			return nil
		})
	})
	return held, err
}

// writeContents writes the contents to a new store.
func writeContents(tx *bbolt.Tx, held storeContents) error {
	versions, err := tx.CreateBucketIfNotExists(versionsBucket)
	if err != nil {
		return err
	}
	for _, version := range held.versions {
		if err := versions.Put(version.key, version.value); err != nil {
			return err
		}
	}
	states, err := tx.CreateBucketIfNotExists(statesBucket)
	if err != nil {
		return err
	}
	if held.state != nil {
		if err := states.Put(stateKey, held.state); err != nil {
			return err
		}
	}
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return err
	}
	return meta.Put(formatKey, []byte{formatVersion})
}
