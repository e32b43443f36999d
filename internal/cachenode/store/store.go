package store

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// Errors that callers can distinguish. A failure of the disk is a FaultError.
var (
	ErrTooLarge = errors.New("store: object does not fit in a segment")
	ErrFormat   = errors.New("store: the folder has another format")
	ErrClosed   = errors.New("store: closed")
	ErrCorrupt  = errors.New("store: corrupt data")
)

// Store is an open store. The caller of an unexported method must hold mu, unless the method's
// comment says otherwise.
type Store struct {
	fs      FS
	options Options
	lock    io.Closer // lock of the folder; nil: the folder could not be locked yet

	mu     sync.Mutex
	closed bool

	// The index, in memory and as a log (index.go).
	slots       []location        // locations of all objects; free slots are zero
	freeSlots   []uint32          // indices into slots
	byHash      map[uint64]uint32 // from the hash of a key to the index into slots
	indexLog    File
	indexNumber int // number in the name of the index log
	indexLogLen int64

	// Segments (segment.go).
	segments     map[uint32]*segment
	segmentOrder []uint32 // numbers of the segments, oldest first
	active       *segment // segment to which objects are appended; nil: the next object begins a new one
	nextSegment  uint32
	usedBytes    int64 // total size of the segments

	// Purges (purge.go, purgelog.go).
	purgeLog         File
	purgeLogLen      int64
	lastPurge        uint64               // number of the last purge
	announcedPurge   atomic.Uint64        // lastPurge plus the number of pending purges; read without mu
	objectPurges     map[uint64]watermark // by the hash of Meta.Object
	groupPurges      map[int32]watermark
	purgeRules       []Purge // purges by tag and prefix
	unversionedRules int     // number of purgeRules without a version
	retirePostponed  int     // number of unversioned rules above which retireUnversionedRules is tried again; 0: not postponed
	fillBarrier      uint64  // objects of fills that began before this purge are not committed
	purgeTimes       purgeTimes
	purgesCaughtUp   bool // MarkPurgesCaughtUp was called

	// Faults of the disk (fault.go).
	failure           *FaultError // no object is stored until a retry succeeds; nil: the disk works
	backoff           backoff     // of the retries after failure
	logsUnread        bool        // the folder could not be read yet; failure is set
	logsBroken        bool        // both logs must be rewritten before an entry is added; failure is set
	segmentBroken     bool        // a new segment must be begun; failure is set
	pendingPurges     []Purge     // purges made while logsUnread
	pendingOverflowed bool        // more purges were made meanwhile than pendingPurges can have
	staleFiles        []string    // files to remove, see removeStale
	faulty            atomic.Bool // see Faulty

	recovered     Recovered
	newestAtStart atomic.Int64 // see NewestAtStart
	headBuffer    []byte       // used by TryLookup

	// Stats has counters. While the store is in use, they must be read by Counts.
	Stats Stats
}

// Stats has counters since the store was opened. The JSON keys are those of the cache's state
// page.
type Stats struct {
	Stored       uint64 `json:"Kept"`    // objects committed
	Refused      uint64 `json:"Refused"` // writes rejected at their begin or commit
	Hits         uint64 `json:"Found"`   // lookups that found an object
	Misses       uint64 `json:"Missed"`  // lookups that found no object, or one that could not be read
	Purged       uint64 `json:"Void"`    // objects dropped because a purge covers them
	Corrupt      uint64 `json:"Damaged"` // objects dropped because a checksum did not match
	Evicted      uint64 `json:"Evicted"` // objects dropped with their segment
	Rewritten    uint64 `json:"Moved"`   // objects copied to a later segment
	WrittenBytes int64  `json:"Written"` // all bytes written to disk
	BodyBytes    int64  `json:"Bodies"`  // bytes in the bodies of committed objects
}

// Recovered describes what was found on disk when the store was opened. The JSON keys are
// those of the cache's state page.
type Recovered struct {
	Objects        int      `json:"Copies"`
	Bytes          int64    `json:"Bytes"` // total size of the objects' bodies
	Purges         int      `json:"Purges"`
	CorruptEntries int      `json:"Damaged"` // number of corrupt places in the logs
	Quarantined    []string `json:"Aside"`   // always empty; kept because the state page has the key
	DiscardReason  string   `json:"Cold"`    // why all objects stored before the start were dropped; empty: they were not
}

// Open opens the store in a folder, and initializes an empty folder. Corrupt entries and objects
// are dropped and counted. If the disk fails, Open nevertheless returns a store. Until the folder
// could be read, the store serves no object that was stored before the start; until it can be
// written, the store accepts no object. The store retries by itself, see Status and Retry. Open
// returns an error if the folder has another format (ErrFormat) or can't be locked.
func Open(fs FS, options Options) (*Store, Recovered, error) {
	store := &Store{fs: fs, options: options.withDefaults(), logsUnread: true, logsBroken: true}
	store.reset()
	store.recordPurgeTime(0) // the times of the purges in the logs are not known: all were made before now
	err := store.retryNow()
	if errors.Is(err, ErrFormat) || store.lock == nil && !transient(err) {
		store.closeFiles()
		return nil, Recovered{}, store.failure.Err
	}
	return store, store.recovered, nil
}

// Close syncs the committed objects and closes the store.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	defer s.closeFiles()
	if s.failure != nil { // a last retry, before the backoff is over
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

// Usage returns the number of objects and the total size of the segments in bytes.
func (s *Store) Usage() (objects int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byHash), s.usedBytes
}

// NewestAtStart returns the latest generation time (Unix ms) among the objects that were written
// last before the start, or 0 if there is none or it could not be read. If it lies in the future,
// the clock was set back. NewestAtStart never waits.
func (s *Store) NewestAtStart() int64 { return s.newestAtStart.Load() }
