package server

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"indigospool/internal/cachenode/store"
	"indigospool/internal/testbed/testserver"
)

// faultyDir is a folder whose operations fail with errno while errno is not 0. ENOSPC affects only
// the creation, writing and syncing of files.
type faultyDir struct {
	store.Dir
	errno atomic.Int32
}

func (d *faultyDir) fault() error {
	if errno := d.errno.Load(); errno != 0 {
		return syscall.Errno(errno)
	}
	return nil
}

func (d *faultyDir) Open(name string, create bool) (store.File, error) {
	if err := d.fault(); err != nil && (create || err != syscall.ENOSPC) {
		return nil, err
	}
	f, err := d.Dir.Open(name, create)
	if err != nil {
		return nil, err
	}
	return &faultyFile{f, d}, nil
}

func (d *faultyDir) SyncDir() error {
	if err := d.fault(); err != nil {
		return err
	}
	return d.Dir.SyncDir()
}

type faultyFile struct {
	store.File
	dir *faultyDir
}

// WriteAt writes only the first half of b if the folder fails.
func (f *faultyFile) WriteAt(b []byte, off int64) (int, error) {
	if err := f.dir.fault(); err != nil {
		n, _ := f.File.WriteAt(b[:len(b)/2], off)
		return n, err
	}
	return f.File.WriteAt(b, off)
}

func (f *faultyFile) ReadAt(b []byte, off int64) (int, error) {
	if err := f.dir.fault(); err != nil && err != syscall.ENOSPC {
		return 0, err
	}
	return f.File.ReadAt(b, off)
}

func (f *faultyFile) Sync() error {
	if err := f.dir.fault(); err != nil {
		return err
	}
	return f.File.Sync()
}

// state returns what GET /-/state reports about the store and the disk.
func (r *rig) state() (out struct {
	Copies int `json:"copies"`
	Disk   struct {
		Fault, File, Cause, Since string
		FaultMillis               int64 `json:"for_ms"`
		LogsUnread                bool  `json:"unread"` // the logs could not be read since the start
		PurgesDurable             bool  `json:"purges"` // purges can be acknowledged
	} `json:"disk"`
}) {
	r.t.Helper()
	res, err := r.client.Get("http://" + r.server.Addr() + "/-/state")
	if err != nil {
		r.t.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&out); err != nil {
		r.t.Fatal(err)
	}
	return out
}

// The folder of the store fails for a while, with or without a restart during the fault. Meanwhile
// requests are answered from the origin, purges are applied but not acknowledged, and the state
// page has the cause and the start of the fault. Afterwards the cache stores objects and
// acknowledges purges again, and the earlier purges are durable without being sent again.
func TestFolderFailsForAWhile(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, restart %v", errno, restart), func(t *testing.T) { checkFolderFails(t, errno, restart) })
		}
	}
}

func checkFolderFails(t *testing.T, errno syscall.Errno, restart bool) {
	r := newRig(t, "")
	r.stop()
	dir := &faultyDir{Dir: store.Dir(r.cfg.Folder)}
	r.fs = dir
	r.start()
	for _, name := range []string{"a", "b", "c"} {
		r.fetchVerified("/still/1/"+name, allowFill)
	}
	r.waitStored(3)
	dir.errno.Store(int32(errno))
	if restart {
		r.server.Stop()
		<-r.done // the error is expected: during the fault the store can't be closed cleanly
		r.start()
	}
	r.fetchVerified("/still/1/x", allowFill)
	if code := r.purge(`{"object":"/still/1/b"}`); code != 500 {
		t.Errorf("a purge that is not durable got status %d, want 500", code)
	}
	if res, _, _ := r.fetch("/still/1/b", storedOnly, nil); res.StatusCode != 504 {
		t.Errorf("a purged object got status %d, want 504 (not stored), although the purge was not acknowledged", res.StatusCode)
	}
	if st := r.state().Disk; st.Cause != errno.Error() || st.Since == "" || st.File == "" || st.PurgesDurable || st.LogsUnread != (restart && errno == syscall.EIO) {
		t.Errorf("state of the disk during the fault: %+v", st)
	}
	dir.errno.Store(0)
	for i := 0; !r.state().Disk.PurgesDurable; i++ { // the store must recover by itself: no object and no purge is sent meanwhile
		if time.Sleep(20 * time.Millisecond); i > 300 {
			t.Fatalf("the store does not work again after 6 s: %+v", r.state().Disk)
		}
	}
	if code := r.purge(`{"object":"/still/1/c"}`); code != 200 {
		t.Errorf("a purge after the fault got status %d, want 200", code)
	}
	r.fetchVerified("/still/1/d", allowFill)
	for i := 0; ; i++ {
		if res, _, _ := r.fetch("/still/1/d", storedOnly, nil); res.StatusCode == 200 {
			break
		}
		if time.Sleep(20 * time.Millisecond); i > 300 {
			t.Fatal("no object is stored after the fault")
		}
		r.fetchVerified("/still/1/d", allowFill)
	}
	r.server.Stop()
	<-r.done
	r.start()
	r.server.store.MarkPurgesCaughtUp() // otherwise objects from before the restart must be validated, and get 504
	for name, want := range map[string]int{"a": 200, "b": 504, "c": 504, "d": 200} {
		if res, _, _ := r.fetch("/still/1/"+name, storedOnly, nil); res.StatusCode != want {
			t.Errorf("after the fault and a restart /still/1/%s got status %d, want %d", name, res.StatusCode, want)
		}
	}
}

// A request that arrives after the answer to a purge does not join a fill that began before the
// purge, even if the purge was not acknowledged because the logs can't be read or written.
func TestNoJoinOfFillFromBeforePurge(t *testing.T) {
	for _, fault := range []string{"none", "writes fail", "logs unreadable at start"} {
		t.Run(fault, func(t *testing.T) {
			r := newRig(t, "")
			r.stop()
			dir := &faultyDir{Dir: store.Dir(r.cfg.Folder)}
			if r.fs = dir; fault == "logs unreadable at start" {
				dir.errno.Store(int32(syscall.EIO))
			}
			r.start()
			if err := r.origin.Fault(testserver.Fault{Kind: testserver.Slow, For: 5000, Factor: 2000}); err != nil { // 2000 times slower for 5 s: slow enough that the first fill is in flight at the purge
				t.Fatal(err)
			}
			first := make(chan error, 1)
			go func() {
				_, _, err := r.fetch("/film/1/slow", allowFill, nil)
				first <- err
			}()
			for st, _ := r.server.State(); st.Fills == 0; st, _ = r.server.State() {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond) // so that the origin begins to answer
			if fault == "writes fail" {
				dir.errno.Store(int32(syscall.ENOSPC))
			}
			madeAt := r.origin.Purge("/film/1/slow", 0, 0) // an origin ignores the group of a purge by object, and the time
			if code := r.purge(fmt.Sprintf(`{"object":"/film/1/slow","made":%f}`, madeAt)); code != 200 && fault == "none" {
				t.Fatalf("the purge got status %d, want 200", code)
			}
			if _, version := r.fetchVerified("/film/1/slow", allowFill); version < 2 {
				t.Errorf("got version %d after the purge, want 2 or later", version)
			}
			if err := <-first; err != nil {
				t.Errorf("the request before the purge: %v", err)
			}
			dir.errno.Store(0)
		})
	}
}
