// Package lastgood keeps the last good versions of a router's configuration on
// disk, in an embedded store (bbolt), and for a control service what it must not
// forget. What is put there is there whole or not at all, whatever byte a crash
// interrupts, and is checked by its seal when it is read. A store that is damaged
// is set aside under another name, never repaired and never deleted.
//
// It decides nothing about versions; internal/controlplane/configversion does. It waits for the disk,
// and so is called from goroutines beside the loop only.
package configstore

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"go.etcd.io/bbolt"
	boltErrors "go.etcd.io/bbolt/errors"
	"golang.org/x/sys/unix"

	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/wallclock"
)

// ErrNoVersion says that nothing was ever stored.
var ErrNoVersion = errors.New("lastgood: no version is stored")

// A DamagedError says that the store was read whole and is not what was written,
// and where it is now.
type DamagedError struct {
	Path, Quarantine string
	Err              error
}

func (d *DamagedError) Error() string {
	return fmt.Sprintf("lastgood: %s is damaged (%v); it was set aside as %s, and an empty store begins in its place",
		d.Path, d.Err, d.Quarantine)
}

func (d *DamagedError) Unwrap() error { return d.Err }

// Store is an open store. Its methods are safe for concurrent use.
//
// Where its file can't be written for now, it is read from memory, and each
// operation that writes first tries to write the whole file anew. Where it can't be
// read either, all operations fail with a FaultError until it can.
type Store struct {
	path  string
	keep  int
	files FileSystem
	clock func() reading

	mu       sync.RWMutex // held for writing while the file changes hands
	db       *bbolt.DB    // the file, or an image of it in memory; nil: neither
	file     *os.File     // with its lock; nil: there is none
	memory   *image       // what db is of, while the file can't be written
	lent     bool         // the file is another process's
	wanted   bool         // and is to be regained
	late     []late       // put meanwhile
	fault    error        // why the file can't be read or written for now
	faultAt  time.Time    // since when
	released bool         // closed for good
}

type late struct {
	v   configversion.Version
	now time.Time
}

// ErrLockReleased says that the store's file is another process's for now.
var ErrLockReleased = errors.New("lastgood: the store is lent to another process")

// ErrClosed says that the store was closed.
var ErrClosed = errors.New("lastgood: the store is closed")

var (
	versions = []byte("versions")
	meta     = []byte("meta")
	states   = []byte("states")
	state    = []byte("state")
	form     = []byte("form")
)

const formNumber = 1 // of what stands in the buckets

const (
	defaultKeep = 8
	lockWait    = 2 * time.Second // for a process that is about to end
	maxLate     = 64              // versions that are put while the file is lent
)

// header stands before a body.
type header struct {
	Sum    string    `json:"sum"`
	Stored time.Time `json:"stored"` // the wall clock: the store outlives the machine's other clocks
	reading
}

// Open opens the store at path, and makes it where there is none. With a
// DamagedError the store that is returned is a new one; with a FaultError it is the
// one that is there, as far as it can be read for now. No store is returned where
// another process has it open, or the path is not one for a store.
func Open(path string) (*Store, error) { return OpenWithLimit(path, defaultKeep) }

// OpenWithLimit is Open for a store that keeps so many versions.
func OpenWithLimit(path string, keep int) (*Store, error) { return OpenWith(Disk{}, path, keep) }

// OpenWith is OpenWithLimit by the operations of a file system.
func OpenWith(files FileSystem, path string, keep int) (*Store, error) {
	s := &Store{path: path, keep: max(keep, 1), files: files, clock: clockNow}
	err := s.load(lockWait)
	var fault *FaultError
	if errors.As(err, &fault) && (s.db != nil && s.file != nil || !misplaced(err)) {
		return s, err
	}
	var damaged *DamagedError
	if err == nil || errors.As(err, &damaged) {
		return s, err
	}
	s.release()
	if fault != nil {
		return nil, fmt.Errorf("lastgood: %s can't be a store: %w", path, fault.Err)
	}
	return nil, err
}

// load opens the store's file, checks every entry of it, and writes them anew into a
// file of its own that takes its place: so a page that is damaged where nobody
// looked, as in the list of free ones, can't harm what is stored later. Content that
// was read whole and fails its checks is set aside. Where the new file can't be
// written, the old one stays, and is served from memory.
func (s *Store) load(wait time.Duration) error {
	err := s.read(wait)
	var damaged *DamagedError
	if err != nil && !errors.As(err, &damaged) {
		return s.failed(err)
	}
	if rerr := s.renew(); rerr != nil && damaged != nil {
		return fmt.Errorf("%w; %w", err, rerr)
	} else if rerr != nil {
		return rerr
	}
	return err
}

// read reads the store's file into memory and serves it from there.
func (s *Store) read(wait time.Duration) error {
	file, err := s.openAndLock(wait)
	if err != nil {
		return err
	}
	if file == nil {
		return s.serveImage(nil, contents{})
	}
	content, err := s.files.Read(file)
	if err != nil {
		file.Close()
		return &FaultError{"read", s.path, err}
	}
	memory, err := readImage(content)
	if err == nil {
		s.file, s.memory, s.db = file, memory, memory.db
		return nil
	}
	defer file.Close()
	if passing(err) {
		return &FaultError{"check", s.path, err}
	}
	aside := fmt.Sprintf("%s.damaged-%d", s.path, time.Now().UnixNano())
	if err := s.files.Rename(s.path, aside); err != nil {
		return &FaultError{"set aside the damaged", s.path, err}
	}
	if err := s.serveImage(nil, contents{}); err != nil {
		return err
	}
	return &DamagedError{s.path, aside, err}
}

// serveImage serves contents from memory.
func (s *Store) serveImage(file *os.File, all contents) error {
	content, err := imageOf(all)
	if err != nil {
		return &FaultError{"check", s.path, err}
	}
	memory, err := readImage(content)
	if err != nil {
		return &FaultError{"check", s.path, err}
	}
	s.file, s.memory, s.db = file, memory, memory.db
	return nil
}

// renew writes what is served from memory into a new file, which takes the place of
// the store's and serves from then on.
func (s *Store) renew() error {
	content, err := imageOf(s.memory.all)
	if err != nil {
		return s.failed(&FaultError{"copy", s.path, err})
	}
	file, db, err := s.writeFresh(content)
	if file != nil {
		if s.file != nil {
			s.file.Close()
		}
		s.file = file
	}
	if err != nil {
		return s.failed(err)
	}
	s.memory.close()
	s.memory, s.db = nil, db
	s.fault = nil
	return nil
}

// failed books why the file can't be read or written for now.
func (s *Store) failed(err error) error {
	if s.fault == nil {
		s.faultAt = time.Now()
	}
	s.fault = err
	return err
}

// writable makes the file such that it can be written: after a fault it is read
// again, and its pages are not trusted but written anew.
func (s *Store) writable() error {
	switch {
	case s.released:
		return ErrClosed
	case s.lent && !s.wanted:
		return ErrLockReleased
	case s.db == nil:
		err := s.load(0)
		if s.db == nil {
			return err
		}
		s.lent, s.wanted = false, false
		if err != nil {
			if s.memory == nil { // damage was set aside, and the new store takes what comes
				err = errors.Join(err, s.putLate())
			}
			return err
		}
	case s.memory != nil:
		if err := s.renew(); err != nil {
			return err
		}
	}
	return s.putLate()
}

// putLate stores what was put while the file was lent.
func (s *Store) putLate() error {
	for len(s.late) > 0 {
		first := s.late[0]
		if err := s.put(first.v, first.now); err != nil {
			return err
		}
		s.late = s.late[1:]
	}
	s.late = nil
	return nil
}

// Fault is why the store's file can't be read or written for now, and since when;
// nil: it can.
func (s *Store) Fault() (since time.Time, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.faultAt, s.fault
}

// Recover tries again, after a fault, to have the file read and written anew. It does
// nothing where there is none.
func (s *Store) Recover() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == nil {
		return nil
	}
	return s.writable()
}

type entry struct{ key, value []byte }

// contents is all that a store holds.
type contents struct {
	versions []entry
	state    []byte // with its seal; nil: none
}

// readAll reads and checks every entry.
func readAll(db *bbolt.DB) (all contents, err error) {
	err = db.View(func(tx *bbolt.Tx) error {
		m, b, st := tx.Bucket(meta), tx.Bucket(versions), tx.Bucket(states)
		if m == nil || b == nil || st == nil {
			return errors.New("its buckets are missing")
		}
		if v := m.Get(form); len(v) != 1 || v[0] != formNumber {
			return fmt.Errorf("form %v, where %d is known", v, formNumber)
		}
		if sealed := st.Get(state); sealed != nil {
			if _, err := unseal(state, sealed); err != nil {
				return err
			}
			all.state = append([]byte(nil), sealed...)
		}
		return b.ForEach(func(k, value []byte) error {
			if _, _, err := decode(k, value); err != nil {
				return err
			}
			if len(all.versions) > 1000 {
				return errors.New("more entries than were ever stored")
			}
			all.versions = append(all.versions, entry{append([]byte(nil), k...), append([]byte(nil), value...)})
			return nil
		})
	})
	return all, err
}

// writeAll writes the contents of a new store.
func writeAll(tx *bbolt.Tx, all contents) error {
	b, err := tx.CreateBucketIfNotExists(versions)
	if err != nil {
		return err
	}
	for _, e := range all.versions {
		if err := b.Put(e.key, e.value); err != nil {
			return err
		}
	}
	st, err := tx.CreateBucketIfNotExists(states)
	if err != nil {
		return err
	}
	if all.state != nil {
		if err := st.Put(state, all.state); err != nil {
			return err
		}
	}
	m, err := tx.CreateBucketIfNotExists(meta)
	if err != nil {
		return err
	}
	return m.Put(form, []byte{formNumber})
}

// closeQuietly closes what may be beyond closing.
func closeQuietly(db *bbolt.DB) {
	defer func() { recover() }()
	db.Close()
}

// Close closes the store.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = true
	return s.release()
}

// release closes the file, and what is of it in memory.
func (s *Store) release() (err error) {
	switch {
	case s.memory != nil:
		s.memory.close()
	case s.db != nil:
		err = s.db.Close()
	}
	if s.file != nil {
		s.file.Close() // bbolt has closed it already where it used it
	}
	s.db, s.memory, s.file = nil, nil, nil
	return err
}

// ReleaseLock closes the file, so that a process that takes over can open it. What is put
// from then on is kept in memory, and survives no crash until ReacquireLock; the rest fails
// with ErrLockReleased.
func (s *Store) ReleaseLock() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lent {
		return nil
	}
	s.lent, s.wanted = true, false
	return s.release()
}

// ReacquireLock opens the file again, and stores what was put meanwhile. It fails as long as
// the other process has it, and may be tried again; so does each operation that
// writes, from then on.
func (s *Store) ReacquireLock() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lent {
		return nil
	}
	s.wanted = true
	return s.writable()
}

// view and update run a transaction, where the file is not lent.
func (s *Store) view(f func(*bbolt.Tx) error) (err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.db == nil {
		return s.absent()
	}
	// a page of the file that can't be read is a fault of memory in bbolt
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = &FaultError{"read", s.path, fmt.Errorf("%v", p)}
		}
	}()
	return s.db.View(f)
}

// absent is why there is nothing to read from.
func (s *Store) absent() error {
	switch {
	case s.released:
		return ErrClosed
	case s.lent || s.fault == nil:
		return ErrLockReleased
	}
	return s.fault
}

func (s *Store) update(f func(*bbolt.Tx) error) error {
	if err := s.writable(); err != nil {
		return err
	}
	return s.commit(f)
}

// commit runs a transaction that writes. After one that fails, the file is read
// again, and written anew before the next.
func (s *Store) commit(f func(*bbolt.Tx) error) (err error) {
	var tx *bbolt.Tx
	// a page of the file that can't be read is a fault of memory in bbolt
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = &FaultError{"read", s.path, fmt.Errorf("%v", p)}
			s.abandon(tx)
			s.reread(err)
		}
	}()
	if tx, err = s.db.Begin(true); err != nil {
		return &FaultError{"begin to write", s.path, err}
	}
	if err := f(tx); err != nil {
		tx.Rollback()
		return err
	}
	if err := s.files.Commit(tx); err != nil {
		fault := &FaultError{"write", s.path, err}
		s.abandon(tx)
		s.reread(fault)
		return fault
	}
	return nil
}

// abandon closes the file with a transaction that failed. Where bbolt can't end that,
// it could not be closed either: then its memory stays, and only the lock goes.
func (s *Store) abandon(tx *bbolt.Tx) {
	db, file := s.db, s.file
	s.db, s.file = nil, nil
	defer func() {
		if recover() != nil {
			unix.Flock(int(file.Fd()), unix.LOCK_UN)
			file.Close()
		}
	}()
	if err := tx.Rollback(); err != nil && !errors.Is(err, boltErrors.ErrTxClosed) {
		panic(err)
	}
	db.Close()
}

// reread books a fault, and serves what the file holds from memory.
func (s *Store) reread(fault error) {
	s.failed(fault)
	if err := s.read(0); err != nil {
		s.failed(err)
	}
}

// Path is where the store is.
func (s *Store) Path() string { return s.path }

func key(number int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(number)) }

// Put stores a version; when it returns without an error, the version survives
// any crash. Some before it are kept, the oldest go.
func (s *Store) Put(v configversion.Version, now time.Time) error {
	if v.Number <= 0 || configversion.Checksum(v.Body) != v.Sum {
		return fmt.Errorf("lastgood: version %d does not match its sum, and is not stored", v.Number)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lent && !s.wanted {
		s.late = append(s.late, late{v, now})
		if len(s.late) > maxLate {
			s.late = s.late[1:] // the oldest, as trim has it
		}
		return nil
	}
	if err := s.writable(); err != nil {
		return err
	}
	return s.put(v, now)
}

func (s *Store) put(v configversion.Version, now time.Time) error {
	value, err := s.encode(v, now)
	if err != nil {
		return err
	}
	return s.commit(func(tx *bbolt.Tx) error {
		b := tx.Bucket(versions)
		if err := b.Put(key(v.Number), value); err != nil {
			return err
		}
		return s.trim(b, nil)
	})
}

// trim removes the oldest versions past those that are kept, but none of needed.
func (s *Store) trim(b *bbolt.Bucket, needed []configversion.Version) error {
	c := b.Cursor()
	var old [][]byte
	n := b.Stats().KeyN
	for k, _ := c.First(); k != nil && n > s.keep; k, _ = c.Next() {
		if slices.ContainsFunc(needed, func(v configversion.Version) bool { return string(key(v.Number)) == string(k) }) {
			continue
		}
		old = append(old, append([]byte(nil), k...))
		n--
	}
	for _, k := range old {
		if err := b.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// SaveState stores a service's state, and in the same step the versions that it
// speaks of, unless they are stored already; these are kept as long as a state
// names them.
func (s *Store) SaveState(text []byte, of []configversion.Version, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(versions)
		for _, v := range of {
			if v.Number <= 0 || holds(b, v) {
				continue
			}
			value, err := s.encode(v, now)
			if err != nil {
				return err
			}
			if err := b.Put(key(v.Number), value); err != nil {
				return err
			}
		}
		seal := sealOf(state, text)
		if err := tx.Bucket(states).Put(state, append(seal[:], text...)); err != nil {
			return err
		}
		return s.trim(b, of)
	})
}

// holds reports whether a version is stored as it is.
func holds(b *bbolt.Bucket, v configversion.Version) bool {
	value := b.Get(key(v.Number))
	if value == nil {
		return false
	}
	stored, _, err := decode(key(v.Number), value)
	return err == nil && stored.Sum == v.Sum
}

// State is what SaveState stored last, nil where it never did.
func (s *Store) State() (text []byte, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		sealed := tx.Bucket(states).Get(state)
		if sealed == nil {
			return nil
		}
		rest, err := unseal(state, sealed)
		text = append([]byte(nil), rest...)
		return err
	})
	return text, err
}

// Version is a stored version by its number.
func (s *Store) Version(number int64) (v configversion.Version, stored time.Time, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		value := tx.Bucket(versions).Get(key(number))
		if value == nil {
			return ErrNoVersion
		}
		var h header
		v, h, err = decode(key(number), value)
		stored = h.Stored
		return err
	})
	return v, stored, err
}

func (s *Store) encode(v configversion.Version, now time.Time) ([]byte, error) {
	h, err := json.Marshal(header{v.Sum, wallclock.At(now), s.readAt(now)})
	if err != nil {
		return nil, err
	}
	rest := binary.BigEndian.AppendUint32(nil, uint32(len(h)))
	rest = append(append(rest, h...), v.Body...)
	seal := sealOf(key(v.Number), rest)
	return append(seal[:], rest...), nil
}

// unseal checks an entry's seal and takes it off.
func unseal(k, value []byte) ([]byte, error) {
	if len(value) < sha256.Size {
		return nil, errors.New("lastgood: an entry is too short")
	}
	seal, rest := value[:sha256.Size], value[sha256.Size:]
	if want := sealOf(k, rest); string(seal) != string(want[:]) {
		return nil, fmt.Errorf("lastgood: the entry with key %x does not match its seal", k)
	}
	return rest, nil
}

// Last is the stored version with the highest number, and when it was stored.
func (s *Store) Last() (v configversion.Version, stored time.Time, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		k, value := tx.Bucket(versions).Cursor().Last()
		if k == nil {
			return ErrNoVersion
		}
		var h header
		v, h, err = decode(k, value)
		stored = h.Stored
		return err
	})
	return v, stored, err
}

// sealOf is the checksum of an entry with its key: a version's own sum covers
// its body only, and a damaged number is as bad as a damaged body.
func sealOf(k, rest []byte) [sha256.Size]byte {
	return sha256.Sum256(append(append([]byte(nil), k...), rest...))
}

func decode(k, value []byte) (v configversion.Version, h header, err error) {
	if value, err = unseal(k, value); err != nil {
		return v, h, err
	}
	if len(k) != 8 || len(value) < 4 {
		return v, h, errors.New("lastgood: an entry is too short")
	}
	n := int(binary.BigEndian.Uint32(value))
	if n > len(value)-4 {
		return v, h, errors.New("lastgood: an entry's header is longer than the entry")
	}
	if err := json.Unmarshal(value[4:4+n], &h); err != nil {
		return v, h, fmt.Errorf("lastgood: an entry's header: %w", err)
	}
	v = configversion.Version{Number: int64(binary.BigEndian.Uint64(k)), Sum: h.Sum, Body: append([]byte(nil), value[4+n:]...)}
	if configversion.Checksum(v.Body) != v.Sum {
		return configversion.Version{}, h, fmt.Errorf("lastgood: version %d does not match its sum", v.Number)
	}
	return v, h, nil
}

// History are the stored versions in the order of their numbers, with their ages
// by the wall clock, never below 0.
func (s *Store) History(now time.Time) (list []configversion.StoredVersion, err error) {
	list, headers, err := s.all()
	for i := range list {
		list[i].Age = max(float64(wallclock.At(now).Sub(headers[i].Stored).Microseconds())/1000, 0)
	}
	return list, err
}

// all are the stored versions in the order of their numbers, without their ages.
func (s *Store) all() (list []configversion.StoredVersion, headers []header, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		return tx.Bucket(versions).ForEach(func(k, value []byte) error {
			v, h, err := decode(k, value)
			list, headers = append(list, configversion.StoredVersion{Version: v}), append(headers, h)
			return err
		})
	})
	return list, headers, err
}

// Restored is the event with which a router's machine begins. The wall clock counts
// for the ages in it only where nothing else tells them.
func (s *Store) Restored(now time.Time) configversion.Restored {
	list, headers, err := s.all()
	if err == nil && len(list) == 0 {
		err = ErrNoVersion
	}
	if err != nil {
		return configversion.Restored{Err: err}
	}
	for i, age := range s.ages(headers, now) {
		list[i].Age = age
	}
	last := list[len(list)-1]
	return configversion.Restored{Version: last.Version, Age: last.Age, Earlier: list[:len(list)-1]}
}
