package store

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Errors that callers tell apart.
var (
	ErrTooLarge = errors.New("store: larger than a segment may hold")
	ErrFormat   = errors.New("store: the folder is of another form")
	ErrClosed   = errors.New("store: closed")
	ErrCorrupt  = errors.New("store: damaged")
)

const (
	formatName   = "format"
	formatText   = "indigospool store 1\n"
	purgeLogName = "purges.log"
)

func indexName(n int) string { return fmt.Sprintf("index-%06d.log", n) }

// Store is an open store.
type Store struct {
	fs      FS
	options Options
	lock    io.Closer

	mu             sync.Mutex
	closed         bool
	indexLog       File
	indexNumber    int
	indexLogLen    int64 // its length
	purgeLog       File
	purgeLogLen    int64
	slots          []place
	freeSlots      []uint32
	byHash         map[uint64]uint32
	segments       map[uint32]*segment
	segmentOrder   []uint32 // of segments, the oldest first
	active         *segment
	nextSegment    uint32
	usedBytes      int64
	lastPurge      uint64        // of the last purge
	announcedPurge atomic.Uint64 // the same
	newestAtStart  atomic.Int64  // see Newest

	objectPurges     map[uint64]watermark
	groupPurges      map[int32]watermark
	purgeRules       []Purge // by tag and prefix
	unversionedRules int     // of them, those without a version
	fillBarrier      uint64  // fills that began before this purge are not kept

	failure         *FaultError // of the disk's: nothing is kept until retry succeeds; nil: it works
	backoff         backoff
	logsBroken      bool     // the logs are to be written anew before they are added to; failure is set
	segmentBroken   bool     // a new segment has to be begun; failure is set
	logsUnread      bool     // what the folder holds could not be read yet; failure is set
	pendingPurges   []Purge  // that came while it is unread
	pendingOverflow bool     // there were more of them
	settlePostponed int      // purges at which settle is tried again; 0: it is not put off
	staleFiles      []string // files that could not be removed yet
	faulty          atomic.Bool
	recovered       Recovered

	headBuffer     []byte // of FindNow
	purgesCaughtUp bool   // see CaughtUp
	Stats          Stats
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

// Open opens a store, or begins one. What is damaged is dropped and said. Where the disk
// fails, the store is opened all the same: it gives out nothing of before until all of it
// could be read, keeps nothing until it can be written, and tries again by itself (Status,
// Mend).
func Open(fs FS, set Options) (*Store, Recovered, error) {
	s := &Store{fs: fs, options: set.withDefaults(), logsUnread: true, logsBroken: true}
	s.reset()
	if err := s.retryNow(); errors.Is(err, ErrFormat) || s.lock == nil && !transient(err) {
		s.closeFiles()
		return nil, Recovered{}, s.failure.Err
	}
	return s, s.recovered, nil
}

func (s *Store) closeFiles() {
	for _, g := range s.segments {
		if g.file != nil {
			g.file.Close()
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

// Close makes what is kept last, and ends the store.
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

// Counts is the counters now.
func (s *Store) Counts() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Stats
}

// Held is how many copies there are, and the bytes of disk in use.
func (s *Store) Usage() (copies int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byHash), s.usedBytes
}

// Newest is the time of birth, Unix ms, of the newest copy among those of before the start
// that were written last; 0: there is none, or it could not be read. One that lies in the
// future tells that the clock was stepped back. It never waits.
func (s *Store) Newest() int64 { return s.newestAtStart.Load() }
