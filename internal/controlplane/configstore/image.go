package configstore

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"
)

// Names in the file. They are part of the stored form, and stay.
var (
	versionsBucket = []byte("versions") // entries of versions by their numbers
	metaBucket     = []byte("meta")
	statesBucket   = []byte("states")
	stateKey       = []byte("state") // in the states bucket: a service's state
	formatKey      = []byte("form")  // in the meta bucket: formNumber
)

const (
	formatVersion = 1    // of what stands in the buckets
	maxEntries    = 1000 // of versions; a store never held so many
)

// storeContents is all that a store holds.
type storeContents struct {
	versions []entry
	state    []byte // with its checksum; nil: none
}

// entry is a version as it is stored.
type entry struct{ key, value []byte }

// image is a store in memory, in the form of a file.
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

// readImage checks everything that a store's file holds, without the file: what
// fails here is damage, unless the error has an errno.
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

// load writes content into the image's file and reads it back by bbolt.
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

// encodeImage is the file, as bytes, of a store with these contents.
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

// readContents reads and checks every entry.
func readContents(db *bbolt.DB) (held storeContents, err error) {
	err = db.View(func(tx *bbolt.Tx) error {
		meta, versions, states := tx.Bucket(metaBucket), tx.Bucket(versionsBucket), tx.Bucket(statesBucket)
		if meta == nil || versions == nil || states == nil {
			return errors.New("its buckets are missing")
		}
		if form := meta.Get(formatKey); len(form) != 1 || form[0] != formatVersion {
			return fmt.Errorf("form %v, where %d is known", form, formatVersion)
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
				return errors.New("more entries than were ever stored")
			}
			held.versions = append(held.versions, entry{slices.Clone(key), slices.Clone(value)})
			return nil
		})
	})
	return held, err
}

// writeContents writes the contents of a new store.
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
