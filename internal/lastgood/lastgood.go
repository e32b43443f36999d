// Package lastgood keeps the last good version of a router's configuration on
// disk, in an embedded store (bbolt): a version is there whole or not at all,
// whatever byte a crash interrupts, and is checked by its sum when it is read.
// A store that is damaged is set aside under another name, never repaired and
// never deleted.
//
// It decides nothing about versions; internal/fleet does. It waits for the disk,
// and so is called from goroutines beside the loop only.
package lastgood

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"

	"indigospool/internal/fleet"
)

// ErrNone says that nothing was ever stored.
var ErrNone = errors.New("lastgood: no version is stored")

// A DamagedError says that the store could not be read, and where it is now.
type DamagedError struct {
	Path, Aside string
	Err         error
}

func (d *DamagedError) Error() string {
	return fmt.Sprintf("lastgood: %s is damaged (%v); it was set aside as %s, and an empty store begins in its place",
		d.Path, d.Err, d.Aside)
}

func (d *DamagedError) Unwrap() error { return d.Err }

// Store is an open store. Its methods are safe for concurrent use.
type Store struct {
	db   *bbolt.DB
	path string
	keep int
}

var (
	versions = []byte("versions")
	meta     = []byte("meta")
	form     = []byte("form")
)

const formNumber = 1 // of what stands in the buckets

// header stands before a body.
type header struct {
	Sum    string    `json:"sum"`
	Stored time.Time `json:"stored"` // the wall clock: the store outlives the machine's other clocks
}

// Open opens the store at path, and makes it where there is none. With a
// DamagedError the store that is returned is a new one. It fails where another
// process has the store open.
func Open(path string) (*Store, error) {
	s, err := open(path)
	if err == nil {
		return s, nil
	}
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("lastgood: %s is in use by another process: %w", path, err)
	}
	if errors.Is(err, os.ErrPermission) || errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("lastgood: %w", err)
	}
	aside := fmt.Sprintf("%s.damaged-%d", path, time.Now().UnixNano())
	if rerr := os.Rename(path, aside); rerr != nil {
		return nil, fmt.Errorf("lastgood: %s is damaged (%v) and can't be set aside: %w", path, err, rerr)
	}
	s, again := open(path)
	if again != nil {
		return nil, fmt.Errorf("lastgood: %w", again)
	}
	return s, &DamagedError{path, aside, err}
}

// open opens the store, reads every entry of it, and writes them anew into a
// file of its own that takes its place: so a page that is damaged where nobody
// looked, as in the list of free ones, can't harm what is stored later.
func open(path string) (s *Store, err error) {
	// a page that points past the file's end is a fault of memory in bbolt
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			s, err = nil, fmt.Errorf("%v", p)
		}
	}()
	st, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return create(path, path, nil)
	}
	if err != nil {
		return nil, err
	}
	if st.Size() == 0 {
		return nil, errors.New("the file is empty")
	}
	old, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: 2 * time.Second})
	if err != nil {
		return nil, err
	}
	defer closeQuietly(old)
	entries, err := readAll(old)
	if err != nil {
		return nil, err
	}
	tmp := path + ".new"
	os.Remove(tmp) // of an opening that was interrupted
	s, err = create(tmp, path, entries)
	if err != nil {
		return nil, err
	}
	if err := os.Rename(tmp, path); err != nil {
		closeQuietly(s.db)
		return nil, err
	}
	if dir, err := os.Open(filepath.Dir(path)); err == nil {
		dir.Sync()
		dir.Close()
	}
	return s, nil
}

type entry struct{ key, value []byte }

// readAll reads and checks every entry.
func readAll(db *bbolt.DB) (list []entry, err error) {
	err = db.View(func(tx *bbolt.Tx) error {
		m, b := tx.Bucket(meta), tx.Bucket(versions)
		if m == nil || b == nil {
			return errors.New("its buckets are missing")
		}
		if v := m.Get(form); len(v) != 1 || v[0] != formNumber {
			return fmt.Errorf("form %v, where %d is known", v, formNumber)
		}
		return b.ForEach(func(k, value []byte) error {
			if _, _, err := decode(k, value); err != nil {
				return err
			}
			if len(list) > 1000 {
				return errors.New("more entries than were ever stored")
			}
			list = append(list, entry{append([]byte(nil), k...), append([]byte(nil), value...)})
			return nil
		})
	})
	return list, err
}

// create makes a store in a file, with the entries.
func create(file, path string, entries []entry) (*Store, error) {
	db, err := bbolt.Open(file, 0o600, &bbolt.Options{Timeout: 2 * time.Second})
	if err != nil {
		return nil, err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(versions)
		if err != nil {
			return err
		}
		for _, e := range entries {
			if err := b.Put(e.key, e.value); err != nil {
				return err
			}
		}
		m, err := tx.CreateBucketIfNotExists(meta)
		if err != nil {
			return err
		}
		return m.Put(form, []byte{formNumber})
	})
	if err != nil {
		closeQuietly(db)
		return nil, err
	}
	return &Store{db: db, path: path, keep: 8}, nil
}

// closeQuietly closes what may be beyond closing.
func closeQuietly(db *bbolt.DB) {
	defer func() { recover() }()
	db.Close()
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// Path is where the store is.
func (s *Store) Path() string { return s.path }

func key(number int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(number)) }

// Put stores a version; when it returns without an error, the version survives
// any crash. Some before it are kept, the oldest go.
func (s *Store) Put(v fleet.Version, now time.Time) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("lastgood: %s: %v", s.path, p)
		}
	}()
	if v.Number <= 0 || fleet.SumOf(v.Body) != v.Sum {
		return fmt.Errorf("lastgood: version %d does not match its sum, and is not stored", v.Number)
	}
	h, err := json.Marshal(header{v.Sum, now})
	if err != nil {
		return err
	}
	rest := binary.BigEndian.AppendUint32(nil, uint32(len(h)))
	rest = append(append(rest, h...), v.Body...)
	seal := sealOf(key(v.Number), rest)
	value := append(seal[:], rest...)
	err = s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(versions)
		if err := b.Put(key(v.Number), value); err != nil {
			return err
		}
		for n := b.Stats().KeyN; n > s.keep; n-- {
			k, _ := b.Cursor().First()
			if err := b.Delete(k); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("lastgood: %s: %w", s.path, err)
	}
	return nil
}

// Last is the stored version with the highest number, and when it was stored.
func (s *Store) Last() (v fleet.Version, stored time.Time, err error) {
	defer func() {
		if p := recover(); p != nil {
			v, err = fleet.Version{}, fmt.Errorf("lastgood: %s: %v", s.path, p)
		}
	}()
	err = s.db.View(func(tx *bbolt.Tx) error {
		k, value := tx.Bucket(versions).Cursor().Last()
		if k == nil {
			return ErrNone
		}
		v, stored, err = decode(k, value)
		return err
	})
	return v, stored, err
}

// sealOf is the checksum of an entry with its key: a version's own sum covers
// its body only, and a damaged number is as bad as a damaged body.
func sealOf(k, rest []byte) [sha256.Size]byte {
	return sha256.Sum256(append(append([]byte(nil), k...), rest...))
}

func decode(k, value []byte) (v fleet.Version, stored time.Time, err error) {
	if len(k) != 8 || len(value) < sha256.Size+4 {
		return v, stored, errors.New("lastgood: an entry is too short")
	}
	seal, value := value[:sha256.Size], value[sha256.Size:]
	if want := sealOf(k, value); string(seal) != string(want[:]) {
		return v, stored, fmt.Errorf("lastgood: the entry with key %x does not match its seal", k)
	}
	n := int(binary.BigEndian.Uint32(value))
	if n > len(value)-4 {
		return v, stored, errors.New("lastgood: an entry's header is longer than the entry")
	}
	var h header
	if err := json.Unmarshal(value[4:4+n], &h); err != nil {
		return v, stored, fmt.Errorf("lastgood: an entry's header: %w", err)
	}
	v = fleet.Version{Number: int64(binary.BigEndian.Uint64(k)), Sum: h.Sum, Body: append([]byte(nil), value[4+n:]...)}
	if fleet.SumOf(v.Body) != v.Sum {
		return fleet.Version{}, stored, fmt.Errorf("lastgood: version %d does not match its sum", v.Number)
	}
	return v, h.Stored, nil
}

// History are the stored versions in the order of their numbers, with their ages
// by the wall clock, never below 0.
func (s *Store) History(now time.Time) (list []fleet.Aged, err error) {
	defer func() {
		if p := recover(); p != nil {
			list, err = nil, fmt.Errorf("lastgood: %s: %v", s.path, p)
		}
	}()
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(versions).ForEach(func(k, value []byte) error {
			v, stored, err := decode(k, value)
			list = append(list, fleet.Aged{Version: v, Age: max(float64(now.Sub(stored).Microseconds())/1000, 0)})
			return err
		})
	})
	return list, err
}

// Restored is the event with which a router's machine begins.
func (s *Store) Restored(now time.Time) fleet.Restored {
	list, err := s.History(now)
	if err == nil && len(list) == 0 {
		err = ErrNone
	}
	if err != nil {
		return fleet.Restored{Err: err}
	}
	last := list[len(list)-1]
	return fleet.Restored{Version: last.Version, Age: last.Age, Before: list[:len(list)-1]}
}
