package store

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"
)

// testClock is a clock that tests set.
type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

// retryAfterBackoff advances the clock by more than the longest backoff, and lets the store retry.
func (c *testClock) retryAfterBackoff(store *Store) {
	c.now = c.now.Add(2 * maxBackoff)
	store.Retry()
}

// faultyStore is a store on a crashFS with injected faults.
type faultyStore struct {
	*Store
	t         *testing.T
	fs        *crashFS
	clock     testClock
	options   Options
	warnings  strings.Builder
	recovered Recovered
}

func newFaultyStore(t *testing.T, options Options) *faultyStore {
	faulty := &faultyStore{t: t, fs: newCrashFS(), options: options, clock: testClock{time.Unix(1_700_000_000, 0)}}
	faulty.options.Warn = func(text string) { faulty.warnings.WriteString(text + "\n") }
	faulty.options.Now = faulty.clock.Now
	faulty.open()
	return faulty
}

func (f *faultyStore) open() {
	f.t.Helper()
	var err error
	if f.Store, f.recovered, err = Open(f.fs, f.options); err != nil {
		f.t.Fatalf("opening the store failed: %v", err)
	}
}

// injectFault makes operations on files whose name begins with prefix fail from now on. ops may list
// several operations, separated by spaces.
func (f *faultyStore) injectFault(ops, prefix string, errno syscall.Errno) {
	f.fs.fault = func(op, name string) error {
		if strings.HasPrefix(name, prefix) && strings.Contains(" "+ops+" ", " "+op+" ") {
			return errno
		}
		return nil
	}
}

func (f *faultyStore) endFault() { f.fs.fault = nil }

// restartAfterKill simulates a kill of the process and opens the store again, with the same faults.
func (f *faultyStore) restartAfterKill() {
	fault := f.fs.fault
	f.fs = f.fs.afterKill()
	f.fs.fault = fault
	f.open()
}

func (f *faultyStore) expect(what string, want map[string]bool) {
	f.t.Helper()
	for key, is := range want {
		if _, found := lookupChecked(f.t, f.Store, key); found != is {
			f.t.Errorf("%s: %s is found: %v, want %v", what, key, found, is)
		}
	}
}

func (f *faultyStore) purge(key string) error {
	_, err := f.Purge(Purge{Scope: ByObject, Text: key})
	return err
}

// A segment that temporarily can't be opened or read is not treated as corrupt. During the fault its
// objects are misses and the file is not changed, also across a restart. After the fault they are
// found, except for those that were purged.
func TestSegmentTemporarilyUnreadable(t *testing.T) {
	for _, ops := range []string{"open", "size", "read"} {
		t.Run(ops, func(t *testing.T) {
			faulty := newFaultyStore(t, Options{})
			for _, key := range []string{"/a", "/b", "/c"} {
				storeObject(t, faulty.Store, key, 1, 500)
			}
			faulty.injectFault(ops, "seg-", syscall.EIO)
			faulty.restartAfterKill()
			before := string(faulty.fs.files["seg-00000001.dat"].data)
			faulty.expect("during the fault", map[string]bool{"/a": false, "/b": false})
			if err := faulty.purge("/b"); err != nil {
				t.Errorf("a purge while a segment can't be read: %v", err)
			}
			faulty.restartAfterKill()
			faulty.expect("during the fault, after a restart", map[string]bool{"/a": false})
			if file := faulty.fs.files["seg-00000001.dat"]; file == nil || string(file.data) != before {
				t.Fatal("the segment was changed")
			}
			faulty.endFault()
			faulty.clock.retryAfterBackoff(faulty.Store)
			faulty.expect("afterwards", map[string]bool{"/a": true, "/b": false, "/c": true})
			faulty.restartAfterKill()
			faulty.expect("after a start", map[string]bool{"/a": true, "/b": false, "/c": true})
		})
	}
}

// While a log can't be read, no object stored before the start is served. Afterwards all are, except
// for those that were purged before or during the fault.
func TestLogTemporarilyUnreadable(t *testing.T) {
	for _, name := range []string{purgeLogName, "index-", formatName, ""} {
		for _, ops := range []string{"read", "open", "size", "list", "lock", "open read write sync syncdir rename"} {
			t.Run(name+" "+ops, func(t *testing.T) {
				faulty := newFaultyStore(t, Options{})
				for _, key := range []string{"/a", "/b", "/c", "/d"} {
					storeObject(t, faulty.Store, key, 1, 500)
				}
				if err := faulty.purge("/b"); err != nil {
					t.Fatal(err)
				}
				faulty.injectFault(ops, name, syscall.EIO)
				faulty.restartAfterKill()
				faulty.expect("during the fault", map[string]bool{"/b": false})
				acknowledged := faulty.purge("/c") == nil
				faulty.endFault()
				if acknowledged {
					faulty.restartAfterKill()
				}
				faulty.clock.retryAfterBackoff(faulty.Store)
				faulty.expect("afterwards", map[string]bool{"/a": true, "/b": false, "/c": false, "/d": true})
				faulty.restartAfterKill()
				faulty.expect("after a start", map[string]bool{"/a": true, "/b": false, "/c": false, "/d": true})
			})
		}
	}
}

// While the folder fails, writes and purges are rejected. After the fault the store works again by
// itself, and the purges that were not acknowledged are durable.
func TestRecoversFromFault(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
		for _, ops := range []string{"write", "sync", "open", "syncdir", "rename", "write sync open rename syncdir remove"} {
			for policy := SyncPurges; policy <= SyncObjects; policy++ {
				t.Run(fmt.Sprint(errno, " ", ops, " ", policy), func(t *testing.T) { checkRecoversFromFault(t, ops, errno, policy) })
			}
		}
	}
}

func checkRecoversFromFault(t *testing.T, ops string, errno syscall.Errno, policy Sync) {
	faulty := newFaultyStore(t, Options{Sync: policy, SegmentBytes: 4096, MaxBytes: 1 << 20})
	for _, key := range []string{"/a", "/b", "/c"} {
		storeObject(t, faulty.Store, key, 1, 2000)
	}
	faulty.injectFault(ops, "", errno)
	for range 3 {
		if writer, err := faulty.Begin(Meta{Key: "/x", Object: "/x"}, 3000); err == nil {
			writer.Write(bodyOf("/x", 0, 3000))
			writer.Commit()
		}
	}
	faulty.purge("/b")
	faulty.expect("during the fault", map[string]bool{"/b": false})
	faulty.endFault()
	faulty.clock.retryAfterBackoff(faulty.Store)
	if writer, err := faulty.Begin(Meta{Key: "/d"}, 0); err != nil {
		t.Fatalf("Begin after the fault: %v", err)
	} else {
		writer.Abort()
	}
	if !storeObject(t, faulty.Store, "/d", 1, 2000) {
		t.Error("/d is not stored after the fault")
	}
	if err := faulty.purge("/c"); err != nil {
		t.Errorf("a purge after the fault: %v", err)
	}
	want := map[string]bool{"/b": false, "/c": false, "/d": true}
	faulty.expect("after the fault", want)
	lost := faulty.fs.lostBySync
	faulty.fs = faulty.fs.afterCrash(faulty.fs.random())
	faulty.open()
	if policy < SyncObjects {
		delete(want, "/d") // a crash may lose it
	} else if !lost {
		want["/a"] = true
	}
	faulty.expect("after a crash", want)
}

// Errors and Status report what has failed, and since when. The delay between retries grows up to a
// limit.
func TestFaultReported(t *testing.T) {
	faulty := newFaultyStore(t, Options{})
	storeObject(t, faulty.Store, "/a", 1, 100)
	since := faulty.clock.now
	faulty.injectFault("write sync", "", syscall.ENOSPC)
	for range 3 {
		err := faulty.purge("/a")
		var fault *FaultError
		if !errors.As(err, &fault) || !errors.Is(err, syscall.ENOSPC) || fault.Since != since || fault.File == "" || fault.Op != "write" {
			t.Errorf("error %v, want a FaultError of a write with ENOSPC, a file and the time %v", err, since)
		}
		faulty.clock.now = faulty.clock.now.Add(time.Second)
	}
	if status := faulty.Status(); status.Fault == nil || status.PurgesDurable || status.FaultDuration != 3*time.Second || !faulty.Faulty() {
		t.Errorf("status %+v, want a fault since 3 s and purges that are not durable", status)
	}
	retries, fault := 0, faulty.fs.fault
	faulty.fs.fault = func(op, name string) error {
		if op == "write" {
			retries++
		}
		return fault(op, name)
	}
	for range 2000 {
		faulty.clock.now = faulty.clock.now.Add(10 * time.Millisecond)
		faulty.Retry()
	}
	if retries < 10 || retries > 12 {
		t.Errorf("%d retries in 20 s, want 10 to 12", retries)
	}
	faulty.endFault()
	faulty.clock.retryAfterBackoff(faulty.Store)
	if status := faulty.Status(); status.Fault != nil || !status.PurgesDurable || faulty.Faulty() {
		t.Errorf("status %+v after the fault, want none, and durable purges", status)
	}
	faulty.restartAfterKill()
	faulty.expect("after a retry has made the rejected purge durable", map[string]bool{"/a": false})
}

// The objects of a segment whose sync has failed are rewritten if the kernel still has their data,
// and dropped otherwise, also if the segment can't be read at first.
func TestSyncOfSegmentFails(t *testing.T) {
	for seed := range uint64(20) {
		faulty := newFaultyStore(t, Options{Sync: SyncSegments, SegmentBytes: 4096, MaxBytes: 1 << 20})
		faulty.fs.rng = rand.New(rand.NewPCG(seed, 1))
		storeObject(t, faulty.Store, "/a", 1, 1500)
		storeObject(t, faulty.Store, "/b", 1, 1500)
		reader, buf := faulty.Lookup("/a"), make([]byte, 1500)
		faulty.injectFault("sync read", "seg-", syscall.EIO)
		if _, err := faulty.Begin(Meta{Key: "/c"}, 3000); !errors.Is(err, syscall.EIO) {
			t.Fatal(err)
		}
		faulty.expect("during the fault", map[string]bool{"/a": false, "/b": false})
		faulty.endFault()
		if n, err := reader.ReadAt(buf, 0); err == nil || n > 0 {
			t.Errorf("seed %d: a reader got data that a failed sync may have lost", seed)
		}
		faulty.injectFault("read", "seg-", syscall.EIO)
		faulty.clock.retryAfterBackoff(faulty.Store)
		faulty.endFault()
		faulty.clock.retryAfterBackoff(faulty.Store)
		status, lost := faulty.Status(), faulty.Stats.Corrupt
		if status.Fault != nil || status.UnreadableSegments > 0 || lost+faulty.Stats.Rewritten != 2 {
			t.Errorf("seed %d: status %+v, %d objects lost, %d rewritten; want no fault, and 2 together", seed, status, lost, faulty.Stats.Rewritten)
		}
		faulty.expect("afterwards", map[string]bool{"/a": faulty.Lookup("/a") != nil, "/b": faulty.Lookup("/b") != nil}) // checks the bodies
		if n, _ := faulty.Usage(); n != 2-int(lost) {
			t.Errorf("seed %d: %d objects, want %d", seed, n, 2-int(lost))
		}
	}
}

// A start that was killed while it wrote the format file can be repeated. In a folder with objects a
// truncated format file means another format.
func TestFormatTruncatedByKill(t *testing.T) {
	faulty := newFaultyStore(t, Options{})
	storeObject(t, faulty.Store, "/a", 1, 100)
	full := faulty.fs.afterKill()
	for n := range len(formatText) {
		text := []byte(formatText[:n])
		faulty.fs = newCrashFS()
		faulty.fs.files[formatName] = &crashFile{data: text, synced: text}
		faulty.fs.durable[formatName] = faulty.fs.files[formatName]
		faulty.open()
		storeObject(t, faulty.Store, "/a", 1, 100)
		faulty.restartAfterKill()
		faulty.expect(fmt.Sprintf("format file truncated to %d bytes", n), map[string]bool{"/a": true})
		full.files[formatName].data = text
		if _, _, err := Open(full.afterKill(), faulty.options); n > 0 && !errors.Is(err, ErrFormat) {
			t.Errorf("folder with objects, format file truncated to %d bytes: error %v, want ErrFormat", n, err)
		}
	}
}

// The number of purges that are kept while the logs can't be read is limited. If it is exceeded, all
// objects stored before the start are dropped.
func TestPendingPurgesBounded(t *testing.T) {
	faulty := newFaultyStore(t, Options{})
	storeObject(t, faulty.Store, "/a", 1, 100)
	faulty.injectFault("read", "", syscall.EIO)
	faulty.restartAfterKill()
	for i := range maxPendingPurges + 1 {
		if faulty.purge(fmt.Sprint("/x", i)) == nil {
			t.Fatal("a purge was acknowledged although the logs can't be read")
		}
	}
	faulty.endFault()
	faulty.clock.retryAfterBackoff(faulty.Store)
	if status := faulty.Status(); status.Found.DiscardReason == "" || len(faulty.pendingPurges) > 0 {
		t.Errorf("status %+v, %d pending purges; want a DiscardReason and none", status, len(faulty.pendingPurges))
	}
	faulty.expect("after more purges than are kept", map[string]bool{"/a": false})
}
