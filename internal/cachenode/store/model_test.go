package store

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// storedObject is the model's record of an object that was written.
type storedObject struct {
	meta  Meta
	body  []byte
	since int // number of purges made before its fill began
}

// model describes a store: all objects that were ever written under each key, the latest ones that
// must be found, and all purges.
type model struct {
	stored       map[string][]storedObject
	latest       map[string]*storedObject
	purges       []Purge
	acknowledged []bool
}

// purged reports whether an acknowledged purge covers an object or, with unacknowledged, any purge.
func (m *model) purged(object *storedObject, unacknowledged bool) bool {
	for i, purge := range m.purges {
		if !m.acknowledged[i] && !unacknowledged {
			continue
		}
		hit := purge.Scope == ByObject && purge.Text == object.meta.Object || purge.Scope == ByGroup && purge.Group == object.meta.Group ||
			purge.Scope == ByTag && slices.Contains(object.meta.Tags, purge.Text) || purge.Scope == ByPrefix && strings.HasPrefix(object.meta.Key, purge.Text)
		if !hit {
			continue
		}
		if purge.Version > 0 && object.meta.Version > 0 {
			if object.meta.Version < purge.Version {
				return true
			}
			continue
		}
		if object.since <= i {
			return true
		}
	}
	return false
}

// Random sequences of writes, purges, lookups and compactions run with kills of the process and
// crashes of the machine at any write. A crash loses any part of the unsynced data. Each object that
// is found was written, is complete, and is not covered by an acknowledged purge. After a kill, and
// after a crash if objects are synced, all stored objects are found, except for evicted ones.
func TestModel(t *testing.T) { checkModel(t, false) }

// The same as TestModel, with a disk that fails temporarily (ENOSPC, EIO, short writes, syncs that
// fail and lose pages), also during kills and crashes. After each fault the store works again by
// itself, and has lost only what a failed sync has lost.
func TestModelWithFaults(t *testing.T) { checkModel(t, true) }

func checkModel(t *testing.T, faults bool) {
	rapid.Check(t, func(t *rapid.T) {
		run := newModelRun(t, faults)
		for range run.rng.IntN(150) {
			run.step()
		}
	})
}

// openWriter is a fill in flight.
type openWriter struct {
	writer *Writer
	object storedObject
}

// modelRun has a store and the model that it is compared with.
type modelRun struct {
	t               *rapid.T
	rng             *rand.Rand
	options         Options
	noEviction      bool // the store is so large that no object is evicted
	faults          bool // the disk fails temporarily
	clock           testClock
	fs              *crashFS
	store           *Store
	expected        *model
	version         int64 // latest version of the origin
	lastGeneratedAt int64
	writers         []openWriter    // fills in flight
	revalidated     map[string]bool // keys revalidated since the last start: a crash may tear the heads
	mayLoseUnsynced bool            // unsynced objects may be lost
	mayLoseAny      bool            // any object may be lost
}

func newModelRun(t *rapid.T, faults bool) *modelRun {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5))
	r := &modelRun{t: t, rng: rng, faults: faults, lastGeneratedAt: 1000, revalidated: map[string]bool{},
		clock:    testClock{time.Unix(1_700_000_000, 0)},
		expected: &model{stored: map[string][]storedObject{}, latest: map[string]*storedObject{}}}
	r.options = Options{MaxBytes: 64 << 10, SegmentBytes: 8 << 10, Sync: Sync(rng.IntN(3)), MaxPurgeRules: 4}
	r.noEviction = rng.IntN(2) == 0
	if r.noEviction {
		r.options.MaxBytes = 64 << 20
		r.options.SegmentBytes = 32 << 10
	}
	r.options.Now = r.clock.Now
	r.fs = newCrashFS()
	r.fs.rng = rng
	var err error
	if r.store, _, err = Open(r.fs, r.options); err != nil {
		t.Fatal(err)
	}
	return r
}

// verify looks up all keys and checks the objects that are found. With allStored, the latest object
// of each key must be found unless it was purged.
func (r *modelRun) verify(allStored bool) {
	for i := range 40 {
		key := fmt.Sprintf("/k/%d", i)
		found := r.store.Lookup(key)
		if found == nil {
			if latest := r.expected.latest[key]; allStored && latest != nil && !r.expected.purged(latest, true) {
				r.t.Fatalf("%s is not found, although it is stored and not purged", key)
			}
			continue
		}
		r.verifyFound(key, found)
	}
}

func (r *modelRun) verifyFound(key string, found *CachedObject) {
	defer found.Close()
	body := make([]byte, found.Size)
	n, err := found.ReadAt(body, 0)
	if int64(n) != found.Size && r.fs.fault != nil {
		return
	}
	if int64(n) != found.Size {
		r.t.Fatalf("%s: read %d of %d bytes, error %v", key, n, found.Size, err)
	}
	ok := false
	for i := range r.expected.stored[key] {
		object := &r.expected.stored[key][i]
		if bytes.Equal(object.body, body) && object.meta.Version == found.Version && object.meta.GeneratedAt == found.GeneratedAt {
			ok = true
			if r.expected.purged(object, false) {
				r.t.Fatalf("%s is served in version %d after an acknowledged purge of it", key, found.Version)
			}
		}
	}
	if !ok {
		r.t.Fatalf("%s is served with %d bytes in version %d, which were never written", key, found.Size, found.Version)
	}
}

// verifyRecovered verifies the store when the disk works. From then on the objects that were lost
// until now are not expected.
func (r *modelRun) verifyRecovered() {
	r.verify(r.noEviction && !r.mayLoseAny && (!r.mayLoseUnsynced || r.options.Sync == SyncObjects))
	for key, latest := range r.expected.latest {
		found := r.store.Lookup(key)
		if found == nil {
			r.expected.latest[key] = nil
			continue
		}
		if !r.revalidated[key] && (latest == nil || found.GeneratedAt != latest.meta.GeneratedAt) {
			for i := range r.expected.stored[key] {
				if r.expected.stored[key][i].meta.GeneratedAt == found.GeneratedAt {
					r.expected.latest[key] = &r.expected.stored[key][i]
				}
			}
		}
		found.Close()
	}
	r.mayLoseUnsynced, r.mayLoseAny, r.fs.lostBySync = false, false, false
}

// step performs a random operation.
func (r *modelRun) step() {
	r.clock.now = r.clock.now.Add(time.Duration(r.rng.IntN(100)) * time.Millisecond)
	r.mayLoseUnsynced = r.mayLoseUnsynced || r.fs.lostBySync
	r.mayLoseAny = r.mayLoseAny || r.store.unversionedRules >= 4*r.options.MaxPurgeRules && r.fs.fault != nil
	switch {
	case !r.faults || r.fs.stopped:
	case r.fs.fault == nil && r.rng.IntN(12) == 0:
		r.fs.fault = randomFault(r.rng)
	case r.fs.fault != nil && r.fs.writesLeft < 0 && r.rng.IntN(12) == 0:
		r.fs.fault = nil
		r.clock.retryAfterBackoff(r.store)
		if status := r.store.Status(); status.Fault != nil || status.LogsUnread || !status.PurgesDurable {
			r.t.Fatalf("the store does not work after the fault: %+v", status)
		}
		r.verifyRecovered()
	}
	if r.rng.IntN(30) == 0 {
		r.store.Retry()
	}
	if r.fs.stopped || r.rng.IntN(40) == 0 {
		r.restart()
		return
	}
	if r.rng.IntN(60) == 0 {
		r.fs.writesLeft = r.rng.IntN(20)
	}
	switch n := r.rng.IntN(10); {
	case n < 4:
		r.begin()
	case n < 8 && len(r.writers) > 0:
		r.commit()
	case n == 8:
		r.purge()
	case r.rng.IntN(3) == 0:
		r.revalidate()
	case r.rng.IntN(2) == 0:
		r.store.Compact(int64(r.rng.IntN(8 << 10)))
	default:
		if !r.fs.stopped {
			r.verify(false) // objects may be evicted, lost or unreadable
		}
	}
}

// restart kills the process or crashes the machine, possibly once more during the recovery.
func (r *modelRun) restart() {
	how := r.rng.IntN(3)
	fault := r.fs.fault
	r.mayLoseUnsynced = r.mayLoseUnsynced || r.fs.lostBySync
	switch how {
	case 0:
		r.fs = r.fs.afterKill()
	case 1:
		r.fs = r.fs.afterCrash(r.rng)
	default: // a crash during the recovery
		r.fs = r.fs.afterKill()
		r.fs.writesLeft = r.rng.IntN(30)
		if store, _, err := Open(r.fs, r.options); err == nil {
			r.store = store
			r.fs.writesLeft = -1
		}
		r.fs = r.fs.afterCrash(r.rng)
	}
	r.writers, r.revalidated = nil, map[string]bool{}
	r.mayLoseUnsynced = r.mayLoseUnsynced || how > 0
	r.fs.rng = r.rng
	if r.rng.IntN(2) == 0 {
		r.fs.fault = fault
	}
	var err error
	if r.store, _, err = Open(r.fs, r.options); err != nil {
		r.t.Fatalf("opening the store again failed: %v", err)
	}
	if r.fs.fault != nil {
		r.verify(false) // objects may be unreadable during the fault
		return
	}
	r.verifyRecovered()
}

func (r *modelRun) begin() {
	if r.rng.IntN(3) == 0 {
		r.version++
	}
	r.lastGeneratedAt++
	key := fmt.Sprintf("/k/%d", r.rng.IntN(40))
	object := storedObject{meta: Meta{Key: key, Object: "/o/" + key[3:], Group: int32(r.rng.IntN(4)), Tags: []string{fmt.Sprint("t", r.rng.IntN(4))}, GeneratedAt: r.lastGeneratedAt,
		Rank: 1 + r.rng.IntN(3)}, body: make([]byte, r.rng.IntN(3000)), since: len(r.expected.purges)}
	if r.rng.IntN(2) == 0 {
		object.meta.Version = max(r.version-int64(r.rng.IntN(3)), 1)
	}
	for i := range object.body {
		object.body[i] = byte(r.rng.Uint32())
	}
	writer, err := r.store.Begin(object.meta, int64(len(object.body)))
	if err == nil {
		r.writers = append(r.writers, openWriter{writer, object})
		return
	}
	if fault := (*FaultError)(nil); !errors.Is(err, errStopped) && !(r.faults && errors.As(err, &fault)) {
		r.t.Fatal(err)
	}
}

func (r *modelRun) commit() {
	i := r.rng.IntN(len(r.writers))
	open := r.writers[i]
	r.writers = append(r.writers[:i], r.writers[i+1:]...)
	object := open.object
	key := object.meta.Key
	cut := len(object.body)
	if r.rng.IntN(8) == 0 {
		cut = r.rng.IntN(cut + 1)
	}
	open.writer.Write(object.body[:cut/2])
	open.writer.Write(object.body[cut/2 : cut])
	// The object may be stored even if Commit does not report it.
	r.expected.stored[key] = append(r.expected.stored[key], object)
	stored, err := open.writer.Commit()
	if stored {
		if cut < len(object.body) {
			r.t.Fatal("an incomplete object was stored")
		}
		r.expected.latest[key] = &object
	} else if err == nil && !r.expected.purged(&object, true) && r.noEviction && object.meta.Version == 0 && len(r.expected.purges) < 3 && !r.faults {
		r.t.Fatal("an object was not stored although no purge covers it")
	}
}

func (r *modelRun) purge() {
	purge := Purge{Scope: Scope(1 + r.rng.IntN(4))}
	switch purge.Scope {
	case ByObject:
		purge.Text = fmt.Sprintf("/o/%d", r.rng.IntN(40))
	case ByGroup:
		purge.Group = int32(r.rng.IntN(4))
	case ByTag:
		purge.Text = fmt.Sprint("t", r.rng.IntN(4))
	case ByPrefix:
		purge.Text = fmt.Sprintf("/k/%d", r.rng.IntN(10))
	}
	if r.rng.IntN(3) == 0 {
		purge.Version = r.version + 1
	}
	_, err := r.store.Purge(purge)
	r.expected.purges = append(r.expected.purges, purge)
	r.expected.acknowledged = append(r.expected.acknowledged, err == nil)
}

// revalidate records for a random object that its source has confirmed it.
func (r *modelRun) revalidate() {
	key := fmt.Sprintf("/k/%d", r.rng.IntN(40))
	found := r.store.Lookup(key)
	if found == nil {
		return
	}
	defer found.Close()
	r.lastGeneratedAt++
	for _, object := range r.expected.stored[key] {
		if object.meta.GeneratedAt == found.GeneratedAt { // after a kill or a crash the head may be the old one, the new one or torn
			object.meta.GeneratedAt = r.lastGeneratedAt
			r.expected.stored[key] = append(r.expected.stored[key], object)
			r.expected.latest[key], r.revalidated[key] = nil, true
			break
		}
	}
	found.Revalidated(r.lastGeneratedAt)
}

// randomFault returns a fault that makes some kinds of operations fail, some of the time.
func randomFault(rng *rand.Rand) func(op, name string) error {
	ops := map[string]bool{}
	for _, op := range []string{"open", "read", "write", "sync", "syncdir", "rename", "remove", "list", "size", "truncate"} {
		ops[op] = rng.IntN(2) == 0
	}
	errno := []syscall.Errno{syscall.ENOSPC, syscall.EIO}[rng.IntN(2)]
	prefix := []string{"", "", "seg-", "index-", purgeLogName}[rng.IntN(5)]
	quarters := 1 + rng.IntN(4) // probability of a failure, in quarters
	return func(op, name string) error {
		if ops[op] && strings.HasPrefix(name, prefix) && rng.IntN(4) < quarters {
			return errno
		}
		return nil
	}
}
