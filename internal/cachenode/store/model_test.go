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

// storedObject is what the model knows of an object that was stored.
type storedObject struct {
	meta  Meta
	body  []byte
	since int // purges that were made before its fill began
}

// model is a store as a map: every object that was ever stored under each key, and all
// purges.
type model struct {
	stored       map[string][]storedObject
	latest       map[string]*storedObject
	purges       []Purge
	acknowledged []bool
}

// purged reports whether a purge covers an object; maybe: also one that was not acknowledged.
func (m *model) purged(object *storedObject, maybe bool) bool {
	for i, purge := range m.purges {
		if !m.acknowledged[i] && !maybe {
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

// Any sequence of writes, purges, lookups and compactions, with the process killed or the
// machine stopped at any write, and anything that was not synced lost, in part or in any
// order: what is found is an object that was stored, complete, and no acknowledged purge
// covers it; after a kill, and after a crash where objects are synced, all that was stored is
// found but for what was evicted.
func TestModel(t *testing.T) { checkModel(t, false) }

// The same with a disk that fails for a while, again and again (ENOSPC, EIO, short writes,
// syncs that fail and lose their pages), and with kills and crashes meanwhile: besides, the
// store works again by itself afterwards, and has lost nothing but what a sync lost.
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

// modelRun is a store, and the model that it is held against.
type modelRun struct {
	t        *rapid.T
	rng      *rand.Rand
	options  Options
	roomy    bool // nothing is evicted
	faults   bool
	clock    testClock
	fs       *crashFS
	store    *Store
	expected *model
	version  int64
	born     int64
	writers  []openWriter
	renewed  map[string]bool // since the last start: a crash may tear their heads
	lossy    bool            // objects may be lost that are not synced
	gaveUp   bool            // any object may be lost
}

func newModelRun(t *rapid.T, faults bool) *modelRun {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5))
	r := &modelRun{t: t, rng: rng, faults: faults, born: 1000, renewed: map[string]bool{},
		clock:    testClock{time.Unix(1_700_000_000, 0)},
		expected: &model{stored: map[string][]storedObject{}, latest: map[string]*storedObject{}}}
	r.options = Options{MaxBytes: 64 << 10, SegmentBytes: 8 << 10, Sync: Sync(rng.IntN(3)), MaxPurgeRules: 4}
	r.roomy = rng.IntN(2) == 0
	if r.roomy {
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

// verify looks up all keys; mustAll: what was stored last and not purged has to be there.
func (r *modelRun) verify(mustAll bool) {
	for i := range 40 {
		key := fmt.Sprintf("/k/%d", i)
		found := r.store.Lookup(key)
		if found == nil {
			if latest := r.expected.latest[key]; mustAll && latest != nil && !r.expected.purged(latest, true) {
				r.t.Fatalf("%s is gone", key)
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
		r.t.Fatalf("%s: %d bytes of %d, %v", key, n, found.Size, err)
	}
	ok := false
	for i := range r.expected.stored[key] {
		object := &r.expected.stored[key][i]
		if bytes.Equal(object.body, body) && object.meta.Version == found.Version && object.meta.GeneratedAt == found.GeneratedAt {
			ok = true
			if r.expected.purged(object, false) {
				r.t.Fatalf("%s is served in version %d after a purge that was acknowledged", key, found.Version)
			}
		}
	}
	if !ok {
		r.t.Fatalf("%s is served as it never was: %d bytes, version %d", key, found.Size, found.Version)
	}
}

// settled verifies what is there once the disk works; what was lost is not missed from here
// on.
func (r *modelRun) settled() {
	r.verify(r.roomy && !r.gaveUp && (!r.lossy || r.options.Sync == SyncObjects))
	for key, latest := range r.expected.latest {
		found := r.store.Lookup(key)
		if found == nil {
			r.expected.latest[key] = nil
			continue
		}
		if !r.renewed[key] && (latest == nil || found.GeneratedAt != latest.meta.GeneratedAt) {
			for i := range r.expected.stored[key] {
				if r.expected.stored[key][i].meta.GeneratedAt == found.GeneratedAt {
					r.expected.latest[key] = &r.expected.stored[key][i]
				}
			}
		}
		found.Close()
	}
	r.lossy, r.gaveUp, r.fs.lostBySync = false, false, false
}

// step is one of everything that may happen.
func (r *modelRun) step() {
	r.clock.now = r.clock.now.Add(time.Duration(r.rng.IntN(100)) * time.Millisecond)
	r.lossy = r.lossy || r.fs.lostBySync
	r.gaveUp = r.gaveUp || r.store.unversionedRules >= 4*r.options.MaxPurgeRules && r.fs.fault != nil
	switch {
	case !r.faults || r.fs.stopped:
	case r.fs.fault == nil && r.rng.IntN(12) == 0:
		r.fs.fault = randomFault(r.rng)
	case r.fs.fault != nil && r.fs.writesLeft < 0 && r.rng.IntN(12) == 0:
		r.fs.fault = nil
		r.clock.retryAfterBackoff(r.store)
		if status := r.store.Status(); status.Fault != nil || status.LogsUnread || !status.PurgesDurable {
			r.t.Fatalf("it does not work again: %+v", status)
		}
		r.settled()
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
		r.renew()
	case r.rng.IntN(2) == 0:
		r.store.Compact(int64(r.rng.IntN(8 << 10)))
	default:
		if !r.fs.stopped {
			r.verify(false)
		}
	}
}

// restart kills the process, or stops the machine, also while it recovers.
func (r *modelRun) restart() {
	how := r.rng.IntN(3)
	fault := r.fs.fault
	r.lossy = r.lossy || r.fs.lostBySync
	switch how {
	case 0:
		r.fs = r.fs.afterKill()
	case 1:
		r.fs = r.fs.afterCrash(r.rng)
	default: // the recovery is stopped too
		r.fs = r.fs.afterKill()
		r.fs.writesLeft = r.rng.IntN(30)
		if store, _, err := Open(r.fs, r.options); err == nil {
			r.store = store
			r.fs.writesLeft = -1
		}
		r.fs = r.fs.afterCrash(r.rng)
	}
	r.writers, r.renewed = nil, map[string]bool{}
	r.lossy = r.lossy || how > 0
	r.fs.rng = r.rng
	if r.rng.IntN(2) == 0 {
		r.fs.fault = fault
	}
	var err error
	if r.store, _, err = Open(r.fs, r.options); err != nil {
		r.t.Fatalf("it does not open again: %v", err)
	}
	if r.fs.fault != nil {
		r.verify(false)
		return
	}
	r.settled()
}

func (r *modelRun) begin() {
	if r.rng.IntN(3) == 0 {
		r.version++
	}
	r.born++
	key := fmt.Sprintf("/k/%d", r.rng.IntN(40))
	object := storedObject{meta: Meta{Key: key, Object: "/o/" + key[3:], Group: int32(r.rng.IntN(4)), Tags: []string{fmt.Sprint("t", r.rng.IntN(4))}, GeneratedAt: r.born,
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
	// it may last although it was not said to
	r.expected.stored[key] = append(r.expected.stored[key], object)
	stored, err := open.writer.Commit()
	if stored {
		if cut < len(object.body) {
			r.t.Fatal("an incomplete object was stored")
		}
		r.expected.latest[key] = &object
	} else if err == nil && !r.expected.purged(&object, true) && r.roomy && object.meta.Version == 0 && len(r.expected.purges) < 3 && !r.faults {
		r.t.Fatal("an object was not stored, and no purge covers it")
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

// renew has an object's source confirm it.
func (r *modelRun) renew() {
	key := fmt.Sprintf("/k/%d", r.rng.IntN(40))
	found := r.store.Lookup(key)
	if found == nil {
		return
	}
	defer found.Close()
	r.born++
	for _, object := range r.expected.stored[key] {
		if object.meta.GeneratedAt == found.GeneratedAt { // the new head may last or not, or be torn by a kill
			object.meta.GeneratedAt = r.born
			r.expected.stored[key] = append(r.expected.stored[key], object)
			r.expected.latest[key], r.renewed[key] = nil, true
			break
		}
	}
	found.Revalidated(r.born)
}

// randomFault has some of the calls fail, some of the time.
func randomFault(rng *rand.Rand) func(op, name string) error {
	ops := map[string]bool{}
	for _, op := range []string{"open", "read", "write", "sync", "syncdir", "rename", "remove", "list", "size", "truncate"} {
		ops[op] = rng.IntN(2) == 0
	}
	errno := []syscall.Errno{syscall.ENOSPC, syscall.EIO}[rng.IntN(2)]
	prefix := []string{"", "", "seg-", "index-", purgeLogName}[rng.IntN(5)]
	often := 1 + rng.IntN(4) // in four
	return func(op, name string) error {
		if ops[op] && strings.HasPrefix(name, prefix) && rng.IntN(4) < often {
			return errno
		}
		return nil
	}
}
