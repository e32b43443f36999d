package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sync is when what was written is made to last.
type Sync uint8

// The policies. Purges last before they are acknowledged under each of them, and nothing
// that did not last whole is ever given out: what they say is only how many of the newest
// copies a crash of the machine may take. A kill of the process takes none that were kept.
const (
	SyncPurges   Sync = iota // copies when the kernel gets to it
	SyncSegments             // when a segment is full, and at Close
	SyncObjects              // each copy before it is kept
)

// Settings is what a store is. Zero fields have the defaults.
type Options struct {
	MaxBytes      int64 // of bodies and heads on disk; default 1 GB
	SegmentBytes  int64 // of a file; default 64 MB, at most a quarter of Bytes
	Sync          Sync
	MaxPurgeRules int              // purges by tag and prefix that are looked through for each find; default 256
	Warn          func(string)     // what an operator should know
	Now           func() time.Time // for the backoff of what failed; nil: time.Now
}

func (s Options) filled() Options {
	if s.MaxBytes <= 0 {
		s.MaxBytes = 1 << 30
	}
	if s.SegmentBytes <= 0 {
		s.SegmentBytes = 64 << 20
	}
	s.SegmentBytes = min(max(s.SegmentBytes, 4096), max(s.MaxBytes/4, 4096))
	if s.MaxPurgeRules <= 0 {
		s.MaxPurgeRules = 256
	}
	if s.Warn == nil {
		s.Warn = func(string) {}
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	return s
}

// Meta is what is known of a copy beside its bytes.
type Meta struct {
	Key     string            `json:"k"`
	Object  string            `json:"o"` // what a purge names
	Group   int32             `json:"g,omitempty"`
	Tags    []string          `json:"t,omitempty"`
	Version int64             `json:"v,omitempty"` // the origin's; 0: not known
	Born    int64             `json:"b,omitempty"` // when the origin gave it, Unix ms: only for its age
	Fresh   int64             `json:"f,omitempty"` // ms; 0: until purged
	Rank    int               `json:"r,omitempty"` // 1 to 3: those of 3 go last
	Fields  map[string]string `json:"h,omitempty"` // of the answer's head
}

// Errors that callers tell apart.
var (
	ErrTooLarge = errors.New("store: larger than a segment may hold")
	ErrFormat   = errors.New("store: the folder is of another form")
	ErrClosed   = errors.New("store: closed")
	ErrCorrupt  = errors.New("store: damaged")
)

const (
	formatName = "format"
	formatText = "indigospool store 1\n"
	wordsName  = "purges.log"
)

func indexName(n int) string      { return fmt.Sprintf("index-%06d.log", n) }
func segmentName(n uint32) string { return fmt.Sprintf("seg-%08d.dat", n) }

// segment is a file of bodies.
type segment struct {
	n      uint32
	f      File  // nil: it could not be opened yet
	size   int64 // given out; of one that is not open, the most that it may be
	refs   int   // readers and writers
	dead   bool  // removed; closed with its last reader
	slots  []uint32
	live   int64
	synced bool

	syncing    sync.Mutex  // held during a sync, not with the store's lock
	syncFailed atomic.Bool // what was written and not synced before may be lost
	fault      error       // it could not be read or opened; tried again by retry
	retry      backoff
}

// floor is what of an object, group or tag is void.
type floor struct {
	plain   uint64 // of the last purge without a version: what began before it is void
	number  uint64 // of the last with one: so is what began before it and has none
	version int64  // and what has an older one, whenever it began
}

func (f floor) with(w *Purge) floor {
	if w.Version <= 0 {
		f.plain = max(f.plain, w.Number)
		return f
	}
	f.number, f.version = max(f.number, w.Number), max(f.version, w.Version)
	return f
}

// Store is an open store.
type Store struct {
	fs   FS
	s    Options
	lock io.Closer

	mu     sync.Mutex
	closed bool
	index  File
	indexN int
	indexL int64 // its length
	words  File
	wordsL int64
	slots  []place
	free   []uint32
	byHash map[uint64]uint32
	segs   map[uint32]*segment
	order  []uint32 // of segments, the oldest first
	active *segment
	nextN  uint32
	used   int64
	number uint64        // of the last purge
	latest atomic.Uint64 // the same
	newest atomic.Int64  // see Newest

	objects map[uint64]floor
	groups  map[int32]floor
	rules   []Purge // by tag and prefix
	plain   int     // of them, those without a version
	barrier uint64  // fills that began before this purge are not kept

	failure       *FaultError // of the disk's: nothing is kept until retry succeeds; nil: it works
	retry         backoff
	logBroken     bool     // the logs are to be written anew before they are added to; failure is set
	segmentBroken bool     // a new segment has to be begun; failure is set
	unread        bool     // what the folder holds could not be read yet; failure is set
	waiting       []Purge  // that came while it is unread
	overrun       bool     // there were more of them
	postponed     int      // purges at which settle is tried again; 0: it is not put off
	stale         []string // files that could not be removed yet
	ailing        atomic.Bool
	found         Recovered

	head   []byte // of FindNow
	caught bool   // see CaughtUp
	Stats  Stats
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
	s := &Store{fs: fs, s: set.filled(), unread: true, logBroken: true}
	s.reset()
	if err := s.attempt(); errors.Is(err, ErrFormat) || s.lock == nil && !passes(err) {
		s.release()
		return nil, Recovered{}, s.failure.Err
	}
	return s, s.found, nil
}

// reset forgets what an attempt to read the folder has found.
func (s *Store) reset() {
	for _, g := range s.segs {
		if g.f != nil {
			g.f.Close()
		}
	}
	s.slots, s.free, s.byHash = nil, nil, map[uint64]uint32{}
	s.segs, s.order, s.used, s.nextN = map[uint32]*segment{}, nil, 0, 1
	s.objects, s.groups = map[uint64]floor{}, map[int32]floor{}
	s.rules, s.plain = nil, 0
	s.number, s.indexN = 0, 0
	s.found = Recovered{}
}

func (s *Store) release() {
	for _, g := range s.segs {
		if g.f != nil {
			g.f.Close()
		}
	}
	if s.index != nil {
		s.index.Close()
	}
	if s.words != nil {
		s.words.Close()
	}
	if s.lock != nil {
		s.lock.Close()
	}
}

func readAll(f File) ([]byte, error) {
	n, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, n)
	m, err := f.ReadAt(b, 0)
	if err == io.EOF && int64(m) == n {
		err = nil
	}
	return b[:m], err
}

// readFile reads a whole file. One that is not there is empty.
func (s *Store) readFile(name string, there bool) ([]byte, error) {
	if !there {
		return nil, nil
	}
	f, err := s.fs.Open(name, false)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return readAll(f)
}

// listing is the files of the folder by what they are.
type listing struct {
	has      map[string]bool
	segments []uint32
	indexes  []int
}

func (s *Store) list() (listing, error) {
	names, err := s.fs.List()
	l := listing{has: map[string]bool{}}
	for _, name := range names {
		l.has[name] = true
		var segment uint32
		var index int
		if _, err := fmt.Sscanf(name, "seg-%08d.dat", &segment); err == nil && segmentName(segment) == name {
			l.segments = append(l.segments, segment)
		}
		if _, err := fmt.Sscanf(name, "index-%06d.log", &index); err == nil && indexName(index) == name {
			l.indexes = append(l.indexes, index)
		}
	}
	sort.Ints(l.indexes)
	return l, err
}

// readFormat sees that the folder is of this form, and makes it one where it is new.
func (s *Store) readFormat(l listing) error {
	b, err := s.readFile(formatName, l.has[formatName])
	text := string(b)
	switch {
	case err != nil:
		return s.fail("read", formatName, err)
	case text == formatText:
		return nil
	case text != "" && (!strings.HasPrefix(formatText, text) || len(l.indexes)+len(l.segments) > 0): // but for a start that was killed in the middle
		return s.fail("read", formatName, fmt.Errorf("%w: %.40q, this program reads %q; empty the folder, or run the program that wrote it", ErrFormat, b, formatText))
	}
	f, err := s.fs.Open(formatName, true)
	if err != nil {
		return s.fail("create", formatName, err)
	}
	err = writeAt(f, []byte(formatText), 0)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return s.fail("write", formatName, err)
	}
	return nil
}

// read reads what is there. Purges stand in two logs: one that is damaged is made good by
// the other; where both are, a purge may be lost, and nothing of before is kept. A file
// that can't be read is no damaged one: then nothing is changed, and it is tried again;
// but segments may be missing meanwhile, and are opened later.
func (s *Store) read() error {
	s.reset()
	l, err := s.list()
	if err != nil {
		return s.fail("list", "", err)
	}
	if err := s.readFormat(l); err != nil {
		return err
	}
	words, err := s.readFile(wordsName, l.has[wordsName])
	if err != nil {
		return s.fail("read", wordsName, err)
	}
	var index []byte
	if len(l.indexes) > 0 {
		s.indexN = l.indexes[len(l.indexes)-1]
		if index, err = s.readFile(indexName(s.indexN), true); err != nil {
			return s.fail("read", indexName(s.indexN), err)
		}
	}
	for _, n := range l.segments {
		s.nextN = max(s.nextN, n+1)
		g := &segment{n: n, synced: true}
		if err := s.open(g); err != nil {
			g.size = s.s.SegmentBytes
			s.rest(g, err)
		}
		s.segs[n] = g
	}
	s.used = 0
	purges := s.replay(words, index, len(l.indexes) > 0)
	s.adopt(purges)
	for name := range l.has {
		if strings.HasSuffix(name, ".new") && len(s.stale) < mostStale {
			s.stale = append(s.stale, name)
		}
	}
	for _, n := range l.indexes { // they go once there is a log of this life
		if len(s.stale) < mostStale {
			s.stale = append(s.stale, indexName(n))
		}
	}
	s.unread = false
	return nil
}

// replay takes the copies of the index log, and returns the purges of both logs.
func (s *Store) replay(words, index []byte, indexed bool) (purges []Purge) {
	r := &s.found
	purge := func(b []byte) {
		if w, ok := readPurge(b); ok {
			purges = append(purges, w)
		}
	}
	damaged, within := entries(words, func(kind byte, payload []byte) {
		if kind == kindWord {
			purge(payload)
		}
	})
	r.CorruptEntries += damaged
	within = within || len(words) == 0 && indexed
	damaged, _ = entries(index, func(kind byte, payload []byte) {
		switch kind {
		case kindAdd:
			if p, ok := readPlace(payload); ok {
				s.put(p)
			}
		case kindDrop:
			if len(payload) >= 8 {
				s.unput(binary.LittleEndian.Uint64(payload))
			}
		case kindWord:
			purge(payload)
		}
	})
	r.CorruptEntries += damaged
	switch {
	case damaged > 0 && within:
		r.DiscardReason = "both logs are damaged: a purge may be lost"
	case !indexed && len(s.segs) > 0:
		r.DiscardReason = "there is no index"
	case s.overrun:
		r.DiscardReason = "more purges came than are remembered while the logs could not be read"
	}
	return purges
}

// adopt begins with what was read.
func (s *Store) adopt(purges []Purge) {
	r := &s.found
	newest := uint64(0)
	for i := range s.slots {
		if s.slots[i].live() {
			newest = max(newest, s.slots[i].since)
		}
	}
	for i := range purges {
		s.number = max(s.number, purges[i].Number)
	}
	if newest > s.number {
		r.DiscardReason = fmt.Sprintf("copies know of purge %d, the logs of %d", newest, s.number)
		s.number = newest
	}
	if r.DiscardReason != "" {
		s.s.Warn("store: nothing of before is kept: " + r.DiscardReason)
		s.slots, s.free, s.byHash = nil, nil, map[uint64]uint32{}
	}
	sort.SliceStable(purges, func(i, k int) bool { return purges[i].Number < purges[k].Number })
	for i := range purges {
		if i == 0 || purges[i] != purges[i-1] {
			s.apply(purges[i])
			r.Purges++
		}
	}
	s.number = max(s.number, s.latest.Load())
	for _, w := range s.waiting { // after all that were read, and all fills that began meanwhile
		s.number++
		w.Number = s.number
		s.apply(w)
	}
	s.waiting, s.overrun = nil, false
	s.latest.Store(s.number)
	for n, g := range s.segs { // what nothing stands in goes
		if len(g.slots) == 0 || r.DiscardReason != "" {
			if g.f != nil {
				g.f.Close()
			}
			delete(s.segs, n)
			s.remove(segmentName(n))
			continue
		}
		s.order = append(s.order, n)
		s.used += g.size
	}
	slices.Sort(s.order)
	for i := range s.slots {
		if s.slots[i].live() {
			r.Objects++
			r.Bytes += s.slots[i].body()
		}
	}
	s.newest.Store(s.newestBorn())
}

// put takes a place into the index, if its segment holds it.
func (s *Store) put(p place) {
	g := s.segs[p.seg]
	if g == nil || g.f != nil && !g.holds(&p) { // one that is not open yet is seen when it is
		return
	}
	s.unput(p.hash)
	p.lens |= flagLive
	var i uint32
	if n := len(s.free); n > 0 {
		i = s.free[n-1]
		s.free = s.free[:n-1]
		s.slots[i] = p
	} else {
		i = uint32(len(s.slots))
		s.slots = append(s.slots, p)
	}
	s.byHash[p.hash] = i
	g.slots = append(g.slots, i)
	g.live += p.size()
}

func (s *Store) unput(hash uint64) {
	i, ok := s.byHash[hash]
	if !ok {
		return
	}
	p := &s.slots[i]
	if g := s.segs[p.seg]; g != nil {
		g.live -= p.size()
		for k, x := range g.slots {
			if x == i {
				g.slots[k] = g.slots[len(g.slots)-1]
				g.slots = g.slots[:len(g.slots)-1]
				break
			}
		}
	}
	delete(s.byHash, hash)
	*p = place{}
	s.free = append(s.free, i)
}

// apply has a purge hold from now on.
func (s *Store) apply(w Purge) {
	switch w.Scope {
	case ByObject:
		h := xxhash.Sum64String(w.Text)
		s.objects[h] = s.objects[h].with(&w)
	case ByGroup:
		s.groups[w.Group] = s.groups[w.Group].with(&w)
	case byHash:
		if len(w.Text) == 8 {
			h := binary.LittleEndian.Uint64([]byte(w.Text))
			s.objects[h] = s.objects[h].with(&w)
		}
	case ByTag, ByPrefix:
		for i := range s.rules {
			if r := &s.rules[i]; r.Scope == w.Scope && r.Text == w.Text && (r.Version > 0) == (w.Version > 0) {
				r.Number, r.Version = max(r.Number, w.Number), max(r.Version, w.Version)
				return
			}
		}
		s.rules = append(s.rules, w)
		if w.Version <= 0 {
			s.plain++
		}
	}
}

// voids reports whether a floor voids a copy.
func (f floor) voids(since uint64, version int64) bool {
	if since < f.plain {
		return true
	}
	if version > 0 {
		return version < f.version
	}
	return since < f.number
}

// void reports whether a purge voids a copy.
func (s *Store) void(since uint64, m *Meta) bool {
	if f, ok := s.objects[xxhash.Sum64String(m.Object)]; ok && f.voids(since, m.Version) {
		return true
	}
	if f, ok := s.groups[m.Group]; ok && f.voids(since, m.Version) {
		return true
	}
	for i := range s.rules {
		w := &s.rules[i]
		f := floor{}.with(w)
		if f.voids(since, m.Version) && (w.Scope == ByPrefix && strings.HasPrefix(m.Key, w.Text) || w.Scope == ByTag && slices.Contains(m.Tags, w.Text)) {
			return true
		}
	}
	return false
}

// checkpoint writes both logs anew, of what there is, as new files in the place of the
// present ones. Until it has succeeded nothing is added to either.
func (s *Store) checkpoint() error {
	s.logBroken = true
	previous := s.indexN
	s.indexN++ // each attempt has a name of its own
	name := indexName(s.indexN)
	var words, payload []byte
	for _, w := range s.holding() {
		payload = w.append(payload[:0])
		words = entry(words, kindWord, payload)
	}
	// the log of purges is not made anew before the index that has them lasts, nor the
	// index before the log: one of the two is whole at any time
	index, length, err := s.writeIndex(name, words)
	if err != nil {
		s.remove(name + ".new")
		s.remove(name)
		return s.failLog("write", name, err)
	}
	if s.index != nil {
		s.index.Close()
	}
	s.index, s.indexL = index, length
	s.remove(indexName(previous))
	temporary := fmt.Sprintf("%s.%06d.new", wordsName, s.indexN)
	log, err := s.replace(temporary, wordsName, func(f File) error { return writeAt(f, words, 0) })
	if err != nil {
		s.remove(temporary)
		return s.failLog("write", wordsName, err)
	}
	if s.words != nil {
		s.words.Close()
	}
	s.words, s.wordsL = log, int64(len(words))
	s.Stats.WrittenBytes += int64(len(words))
	s.logBroken = false
	s.removeStale()
	return nil
}

// writeIndex writes an index log of the purges and all copies.
func (s *Store) writeIndex(name string, words []byte) (f File, length int64, err error) {
	f, err = s.replace(name+".new", name, func(f File) error {
		b := slices.Clone(words)
		var payload []byte
		for i := range s.slots {
			if !s.slots[i].live() {
				continue
			}
			payload = s.slots[i].append(payload[:0])
			if b = entry(b, kindAdd, payload); len(b) < 1<<20 {
				continue
			}
			if err := writeAt(f, b, length); err != nil {
				return err
			}
			length += int64(len(b))
			b = b[:0]
		}
		err := writeAt(f, b, length)
		length += int64(len(b))
		return err
	})
	s.Stats.WrittenBytes += length
	return f, length, err
}

// replace writes a new file under a temporary name, and puts it in a file's place once it
// lasts.
func (s *Store) replace(temporary, name string, write func(File) error) (File, error) {
	f, err := s.fs.Open(temporary, true)
	if err != nil {
		return nil, err
	}
	if err = f.Truncate(0); err == nil {
		err = write(f)
	}
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.Rename(temporary, name)
	}
	if err == nil {
		err = s.fs.SyncDir()
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Purge voids copies. When it returns without an error it lasts, and its number orders
// it; with one it may or may not last, and holds here all the same. One that could not be
// made to last is when the disk works again, without being asked for anew, as long as this
// process lives; asking again does no harm, and is how a caller learns that it lasts.
func (s *Store) Purge(w Purge) (uint64, error) {
	if len(w.Text) > mostText {
		return 0, fmt.Errorf("store: a purge of %d bytes; %d are the most", len(w.Text), mostText)
	}
	if w.Scope < ByObject || w.Scope > ByPrefix || w.Scope != ByGroup && w.Text == "" {
		return 0, fmt.Errorf("store: a purge of scope %d of %.40q names nothing", w.Scope, w.Text)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, ErrClosed
	}
	if s.unread {
		err := s.mend()
		if s.unread {
			s.await(w)
			return 0, err
		}
	}
	s.number++
	s.latest.Store(s.number)
	w.Number = s.number
	s.apply(w)
	if s.plain > s.settleAt() && s.settle() {
		if s.failure == nil {
			return w.Number, s.checkpoint()
		}
		s.logBroken = true
	}
	if s.logBroken { // it is among what is written anew
		if err := s.mend(); s.logBroken {
			return w.Number, err
		}
		return w.Number, nil
	}
	return w.Number, s.record(w)
}

// await remembers a purge until the logs are read. Fills see by Number that there was one;
// it has a higher one in the end.
func (s *Store) await(w Purge) {
	s.latest.Add(1)
	if len(s.waiting) >= mostWaiting {
		s.overrun = true
		return
	}
	s.waiting = append(s.waiting, w)
}

// record writes a purge into both logs, and has it last. Both are written before the first
// sync: it takes the file system's records of both along.
func (s *Store) record(w Purge) error {
	b := entry(nil, kindWord, w.append(nil))
	index := indexName(s.indexN)
	if err := s.append(s.words, &s.wordsL, b); err != nil {
		return s.failLog("write", wordsName, err)
	}
	if err := s.append(s.index, &s.indexL, b); err != nil {
		return s.failLog("write", index, err)
	}
	if err := s.words.Sync(); err != nil {
		return s.failLog("sync", wordsName, err)
	}
	if err := s.index.Sync(); err != nil {
		return s.failLog("sync", index, err)
	}
	return nil
}

func (s *Store) append(f File, at *int64, b []byte) error {
	err := writeAt(f, b, *at)
	*at += int64(len(b))
	s.Stats.WrittenBytes += int64(len(b))
	return err
}

// settleAt is how many purges by tag and prefix without a version there may be before they
// are settled.
func (s *Store) settleAt() int { return max(s.s.MaxPurgeRules, s.postponed) }

// settle looks through all copies for those that purges by tag or prefix void, and
// forgets these purges. Those with a version stay: older ones may still come. False: some
// copies can't be read for now, and the purges are kept for them; at four times as many
// purges, these copies are given up.
func (s *Store) settle() bool {
	var void []uint64
	unreadable := 0
	for i := range s.slots {
		p := &s.slots[i]
		if !p.live() {
			continue
		}
		m, err := s.readMeta(s.segs[p.seg], p)
		if err != nil && !errors.Is(err, ErrCorrupt) {
			unreadable++
		}
		if err != nil || s.void(p.since, m) {
			void = append(void, p.hash)
		}
	}
	if unreadable > 0 && s.plain < 4*s.s.MaxPurgeRules {
		s.postponed = min(2*s.plain, 4*s.s.MaxPurgeRules)
		return false
	}
	s.postponed = 0
	for _, h := range void {
		s.unput(h)
		s.Stats.Purged++
	}
	// what is left was looked at; a fill that is under way was not, and is not kept
	for i := range s.slots {
		if s.slots[i].live() {
			s.slots[i].since = s.number
		}
	}
	s.barrier = s.number
	s.rules, s.plain = slices.DeleteFunc(s.rules, func(w Purge) bool { return w.Version <= 0 }), 0
	for h, f := range s.objects {
		if f.plain = 0; f.version == 0 {
			delete(s.objects, h)
		} else {
			s.objects[h] = f
		}
	}
	for g, f := range s.groups {
		if f.plain = 0; f.version == 0 {
			delete(s.groups, g)
		} else {
			s.groups[g] = f
		}
	}
	return true
}

// holding is the purges that have to last: those that may void what is here, or what
// is being fetched.
func (s *Store) holding() []Purge {
	list := []Purge{{Number: s.number, Scope: byNumber}}
	add := func(f floor, w Purge) {
		if w.Number = f.plain; w.Number > 0 {
			list = append(list, w)
		}
		if w.Number, w.Version = f.number, f.version; w.Version > 0 {
			list = append(list, w)
		}
	}
	for h, f := range s.objects {
		add(f, Purge{Scope: byHash, Text: string(binary.LittleEndian.AppendUint64(nil, h))})
	}
	for g, f := range s.groups {
		add(f, Purge{Scope: ByGroup, Group: g})
	}
	return append(list, s.rules...)
}

func (s *Store) readMeta(g *segment, p *place) (*Meta, error) {
	if g.f == nil {
		return nil, g.fault
	}
	b := make([]byte, p.meta())
	if _, err := g.f.ReadAt(b, int64(p.off)*8); err != nil && err != io.EOF {
		return nil, err
	}
	return parseMeta(b)
}

// parseMeta reads a head, which begins with its own checksum.
func parseMeta(b []byte) (*Meta, error) {
	if len(b) < 4 || crc32.Checksum(b[4:], castagnoli) != binary.LittleEndian.Uint32(b) {
		return nil, ErrCorrupt
	}
	m := &Meta{}
	if err := json.Unmarshal(b[4:], m); err != nil {
		return nil, ErrCorrupt
	}
	return m, nil
}

// Counts is the counters now.
func (s *Store) Counts() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Stats
}

// Newest is the time of birth, Unix ms, of the newest copy among those of before the start
// that were written last; 0: there is none, or it could not be read. One that lies in the
// future tells that the clock was stepped back. It never waits.
func (s *Store) Newest() int64 { return s.newest.Load() }

// newestBorn looks for the newest among what was read.
func (s *Store) newestBorn() (newest int64) {
	if len(s.order) == 0 {
		return 0
	}
	g := s.segs[s.order[len(s.order)-1]]
	for _, i := range g.slots[max(len(g.slots)-64, 0):] {
		if m, err := s.readMeta(g, &s.slots[i]); err == nil {
			newest = max(newest, m.Born)
		}
	}
	return newest
}
