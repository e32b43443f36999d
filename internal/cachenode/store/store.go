package store

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// Errors that callers decide by. A disk that fails is a FaultError.
var (
	ErrTooLarge = errors.New("store: larger than a segment may hold")
	ErrFormat   = errors.New("store: the folder has another format")
	ErrClosed   = errors.New("store: closed")
	ErrCorrupt  = errors.New("store: corrupt")
)

// Store is an open store. Its methods that are not exported expect mu to be held, but for
// those that say otherwise.
type Store struct {
	fs      FS
	options Options
	lock    io.Closer // of the folder; nil: it could not be locked yet

	mu     sync.Mutex
	closed bool

	// The index, in memory and as a log (index.go).
	slots       []location        // of all objects; freed ones are zero
	freeSlots   []uint32          // indices of slots
	byHash      map[uint64]uint32 // hash of the key: index of slots
	indexLog    File
	indexNumber int // of the index log's name
	indexLogLen int64

	// Segments (segment.go).
	segments     map[uint32]*segment
	segmentOrder []uint32 // their numbers, the oldest first
	active       *segment // that is written to; nil: the next object begins one
	nextSegment  uint32
	usedBytes    int64 // of all segments

	// Purges (purge.go, purgelog.go).
	purgeLog         File
	purgeLogLen      int64
	lastPurge        uint64               // number of the last purge
	announcedPurge   atomic.Uint64        // the same, and those that are pending: read without mu
	objectPurges     map[uint64]watermark // by the hash of the object's name
	groupPurges      map[int32]watermark
	purgeRules       []Purge // by tag and prefix
	unversionedRules int     // of them, those without a version
	retirePostponed  int     // number of unversioned rules at which settleRules is tried again; 0: it is not postponed
	fillBarrier      uint64  // fills that began before this purge are not committed
	purgesCaughtUp   bool    // see PurgesCaughtUp

	// Faults of the disk (fault.go).
	failure           *FaultError // nothing is stored until a retry succeeds; nil: the disk works
	backoff           backoff     // of the retries
	logsUnread        bool        // the folder could not be read yet; failure is set
	logsBroken        bool        // both logs are to be written anew before anything is added; failure is set
	segmentBroken     bool        // a new segment has to be begun; failure is set
	pendingPurges     []Purge     // that came while logsUnread
	pendingOverflowed bool        // there were more of them than are remembered
	staleFiles        []string    // that are to be removed
	faulty            atomic.Bool // see Faulty

	recovered     Recovered
	newestAtStart atomic.Int64 // see Newest
	headBuffer    []byte       // of TryLookup

	// Stats counts; to be read by Counts while the store is in use.
	Stats Stats
}

// Stats counts what a store has done since it was opened. Its JSON keys are those of the
// cache's state page.
type Stats struct {
	Stored       uint64 `json:"Kept"`    // objects committed
	Refused      uint64 `json:"Refused"` // writes not begun, or not committed
	Hits         uint64 `json:"Found"`   // lookups that found an object
	Misses       uint64 `json:"Missed"`  // lookups that found none, or one that could not be read
	Purged       uint64 `json:"Void"`    // objects dropped because a purge covers them
	Corrupt      uint64 `json:"Damaged"` // objects dropped because their checksum was wrong
	Evicted      uint64 `json:"Evicted"` // objects dropped with their segment
	Rewritten    uint64 `json:"Moved"`   // objects written anew into a later segment
	WrittenBytes int64  `json:"Written"` // all bytes written to disk
	BodyBytes    int64  `json:"Bodies"`  // of them, the bodies of committed objects
}

// Recovered is what was found on disk when the store was opened. Its JSON keys are those
// of the cache's state page.
type Recovered struct {
	Objects        int      `json:"Copies"`
	Bytes          int64    `json:"Bytes"` // of their bodies
	Purges         int      `json:"Purges"`
	CorruptEntries int      `json:"Damaged"` // places in the logs that could not be read
	Quarantined    []string `json:"Aside"`   // always empty; the state page has the key
	DiscardReason  string   `json:"Cold"`    // why no object of before the start is served; empty: they are
}

// Open opens the store in a folder, or makes one of an empty folder. What is corrupt is
// dropped and counted. Where the disk fails, the store is opened all the same: it serves
// nothing of before until all of it could be read, stores nothing until it can be written,
// and retries by itself (Status, Retry). An error is ErrFormat, or that the folder can't be
// locked.
func Open(fs FS, options Options) (*Store, Recovered, error) {
	store := &Store{fs: fs, options: options.withDefaults(), logsUnread: true, logsBroken: true}
	store.reset()
	err := store.retryNow()
	if errors.Is(err, ErrFormat) || store.lock == nil && !transient(err) {
		store.closeFiles()
		return nil, Recovered{}, store.failure.Err
	}
	return store, store.recovered, nil
}

// Close syncs what was committed, and ends the store.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	defer s.closeFiles()
	if s.failure != nil { // once more, whatever its backoff
		return errors.Join(s.retryNow(), s.syncSegments())
	}
	return errors.Join(s.syncSegments(), s.indexLog.Sync())
}

func (s *Store) closeFiles() {
	for _, seg := range s.segments {
		if seg.file != nil {
			seg.file.Close()
		}
	}
	if s.indexLog != nil {
		s.indexLog.Close()
	}
	if s.purgeLog != nil {
		s.purgeLog.Close()
	}
	if s.lock != nil {
		s.lock.Close()
	}
}

// Counts returns the counters.
func (s *Store) Counts() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Stats
}

// Usage returns the number of objects, and the bytes of disk that segments take.
func (s *Store) Usage() (objects int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byHash), s.usedBytes
}

// NewestAtStart returns when the newest object of before the start was generated (Unix ms), among
// those that were written last; 0: there is none, or it could not be read. A time in the
// future shows that the clock was set back. It never waits.
func (s *Store) NewestAtStart() int64 { return s.newestAtStart.Load() }
