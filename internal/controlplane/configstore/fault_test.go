package configstore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"indigospool/internal/controlplane/configversion"
)

// failingDisk is a file system in which operations fail a given number of times.
type failingDisk struct {
	Disk
	errno     syscall.Errno
	remaining map[string]int // failures still to come, by operation
}

func (f *failingDisk) fails(operation, path string) error {
	if f.remaining[operation] == 0 {
		return nil
	}
	f.remaining[operation]--
	return &os.PathError{Op: operation, Path: path, Err: f.errno}
}

func (f *failingDisk) OpenFile(path string, flag int, mode os.FileMode) (*os.File, error) {
	operation := "open"
	if flag&os.O_CREATE != 0 {
		operation = "create"
	}
	if err := f.fails(operation, path); err != nil {
		return nil, err
	}
	return f.Disk.OpenFile(path, flag, mode)
}

func (f *failingDisk) Stat(path string) (os.FileInfo, error) {
	if err := f.fails("stat", path); err != nil {
		return nil, err
	}
	return f.Disk.Stat(path)
}

func (f *failingDisk) Read(file *os.File) ([]byte, error) {
	if err := f.fails("read", file.Name()); err != nil {
		return make([]byte, 17), err
	}
	return f.Disk.Read(file)
}

// Write writes only half of the content when it fails.
func (f *failingDisk) Write(file *os.File, content []byte) error {
	if err := f.fails("write", file.Name()); err != nil {
		f.Disk.Write(file, content[:len(content)/2])
		return err
	}
	return f.Disk.Write(file, content)
}

func (f *failingDisk) Sync(file *os.File) error {
	if err := f.fails("sync", file.Name()); err != nil {
		return err
	}
	return f.Disk.Sync(file)
}

func (f *failingDisk) Rename(from, to string) error {
	if err := f.fails("rename", from); err != nil {
		return err
	}
	return f.Disk.Rename(from, to)
}

func (f *failingDisk) SyncFolder(path string) error {
	if err := f.fails("sync folder", path); err != nil {
		return err
	}
	return f.Disk.SyncFolder(path)
}

// Commit writes the pages if only their sync fails: in that case it is unknown whether
// they are on disk.
func (f *failingDisk) Commit(tx *bbolt.Tx) error {
	if err := f.fails("commit", tx.DB().Path()); err != nil {
		tx.Rollback()
		return err
	}
	if err := f.fails("page", tx.DB().Path()); err != nil {
		panic(err) // as bbolt does for an unreadable page
	}
	if err := f.fails("commit sync", tx.DB().Path()); err != nil {
		f.Disk.Commit(tx)
		return err
	}
	return f.Disk.Commit(tx)
}

var operations = []string{"open", "create", "stat", "read", "write", "sync", "rename", "sync folder", "commit", "commit sync", "page"}

// eachFault runs a test with each operation failing with each errno, once and five
// times.
func eachFault(t *testing.T, test func(t *testing.T, operation string, times int, disk *failingDisk)) {
	for _, operation := range operations {
		for _, errno := range []syscall.Errno{syscall.EIO, syscall.ENOSPC} {
			for _, times := range []int{1, 5} {
				t.Run(fmt.Sprintf("%s/%v/%d", operation, errno, times), func(t *testing.T) {
					disk := &failingDisk{errno: errno, remaining: map[string]int{}}
					test(t, operation, times, disk)
					if disk.remaining[operation] != 0 {
						t.Errorf("%d of the failures did not occur", disk.remaining[operation])
					}
				})
			}
		}
	}
}

// checkAcknowledged checks that a store has everything that was acknowledged, and that
// no file was quarantined.
func checkAcknowledged(t *testing.T, path string, acknowledged int64, text string) {
	t.Helper()
	os.WriteFile(path+".new", []byte("half of a copy"), 0o600) // left behind by a killed process
	store, err := Open(path)
	if err != nil {
		t.Fatalf("reopen: %v", err)
	}
	defer store.Close()
	if v, _, err := store.Last(); err != nil || v.Number < acknowledged || string(v.Body) != string(version(v.Number).Body) {
		t.Errorf("the store has version %d, but %d was acknowledged: %v", v.Number, acknowledged, err)
	}
	if state, err := store.State(); err != nil || string(state) != text {
		t.Errorf("the store has state %q, but %q was acknowledged: %v", state, text, err)
	}
	if quarantined, _ := filepath.Glob(path + ".damaged*"); len(quarantined) > 0 {
		t.Errorf("quarantined: %v", quarantined)
	}
}

// createStore creates a store with version 1 and a state, and returns its path.
func createStore(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "good.db")
	store, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Put(version(1), time.Now()); err != nil {
		t.Fatal(err)
	}
	if err := store.SaveState([]byte("state 1"), nil, time.Now()); err != nil {
		t.Fatal(err)
	}
	store.Close()
	return path
}

// retry repeats an operation until it succeeds. Each failure must be a complete
// FaultError.
func retry(t *testing.T, what string, operation func() error) {
	t.Helper()
	var err error
	for range 20 {
		if err = operation(); err == nil {
			return
		}
		var fault *FaultError
		if !errors.As(err, &fault) || fault.Op == "" || fault.Path == "" || fault.Err == nil {
			t.Fatalf("%s: %v is not a complete FaultError", what, err)
		}
	}
	t.Fatalf("%s still fails: %v", what, err)
}

// A fault while the store is opened loses nothing that was acknowledged.
func TestFaultWhileOpening(t *testing.T) {
	eachFault(t, func(t *testing.T, operation string, times int, disk *failingDisk) {
		path := createStore(t)
		disk.remaining[operation] = times
		store, err := OpenWith(disk, path, 8)
		if store == nil {
			t.Fatalf("no store: %v", err)
		}
		if err != nil {
			retry(t, "opening", store.Recover)
		}
		if since, fault := store.Fault(); fault != nil {
			t.Errorf("since %v: %v", since, fault)
		}
		if v, _, err := store.Last(); err != nil || v.Number != 1 {
			t.Errorf("version %d, %v", v.Number, err)
		}
		retry(t, "Put", func() error { return store.Put(version(2), time.Now()) })
		store.Close()
		checkAcknowledged(t, path, 2, "state 1")
	})
}

// A fault while the store is written loses nothing that was acknowledged. An unwritten
// version is reported by a FaultError until it is stored. A process killed in between
// leaves a valid store.
func TestFaultWhileWriting(t *testing.T) {
	eachFault(t, func(t *testing.T, operation string, times int, disk *failingDisk) {
		path := createStore(t)
		store, err := OpenWith(disk, path, 8)
		if err != nil {
			t.Fatal(err)
		}
		disk.remaining["commit"] = 1 // the other operations are used in recovering from it
		disk.remaining[operation] = times
		if err := store.Put(version(2), time.Now()); err == nil {
			t.Fatal("a version that was not written was acknowledged")
		}
		if since, fault := store.Fault(); fault == nil || time.Since(since) > time.Minute {
			t.Errorf("since %v: %v", since, fault)
		}
		copied, err := os.ReadFile(path) // the state after a kill
		if err != nil {
			t.Fatal(err)
		}
		retry(t, "Put", func() error { return store.Put(version(2), time.Now()) })
		retry(t, "Save", func() error {
			return store.SaveState([]byte("state 2"), []configversion.Version{version(2)}, time.Now())
		})
		if _, fault := store.Fault(); fault != nil {
			t.Errorf("fault after a successful write: %v", fault)
		}
		store.Close()
		checkAcknowledged(t, path, 2, "state 2")
		killed := filepath.Join(t.TempDir(), "good.db")
		if err := os.WriteFile(killed, copied, 0o600); err != nil {
			t.Fatal(err)
		}
		checkAcknowledged(t, killed, 1, "state 1")
	})
}

// While nothing can be written, the stored content remains readable.
func TestReadableWhileDeviceFull(t *testing.T) {
	path := createStore(t)
	disk := &failingDisk{errno: syscall.ENOSPC, remaining: map[string]int{"create": -1}}
	store, err := OpenWith(disk, path, 8)
	if store == nil || !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("%v, %v", store, err)
	}
	if restored := store.Restored(time.Now()); restored.Err != nil || restored.Version.Number != 1 {
		t.Errorf("%+v", restored)
	}
	if err := store.Put(version(2), time.Now()); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("Put: %v", err)
	}
	if _, err := Open(path); err == nil || !strings.Contains(err.Error(), "in use by another process") {
		t.Errorf("opened twice: %v", err)
	}
	disk.remaining["create"] = 0
	retry(t, "Put", func() error { return store.Put(version(2), time.Now()) })
	store.Close()
	checkAcknowledged(t, path, 2, "state 1")
}

// On a device that the kernel reports as full, bbolt's writes fail in the middle of a
// transaction.
func TestDeviceIsFull(t *testing.T) {
	path := createStore(t)
	store, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := int64(2); n <= 12; n++ { // creates free pages, so that the file need not grow
		if err := store.Put(version(n), time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	if err != nil {
		t.Skip(err)
	}
	defer full.Close()
	if err := unix.Dup3(int(full.Fd()), int(store.file.Fd()), unix.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	if err := store.Put(version(13), time.Now()); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("Put on a full device: %v", err)
	}
	retry(t, "Put", func() error { return store.Put(version(13), time.Now()) })
	store.Close()
	checkAcknowledged(t, path, 13, "state 1")
}

// A folder at the path of the temporary file prevents the rewrite, but loses nothing.
func TestTemporaryPathIsFolder(t *testing.T) {
	path := createStore(t)
	if err := os.MkdirAll(filepath.Join(path+".new", "taken"), 0o755); err != nil {
		t.Fatal(err)
	}
	store, err := Open(path)
	var damaged *DamagedError
	if errors.As(err, &damaged) {
		t.Errorf("reported as damaged: %v", err)
	}
	if store == nil {
		t.Fatal(err)
	}
	if text, err := store.State(); err != nil || string(text) != "state 1" {
		t.Errorf("state %q, %v", text, err)
	}
	store.Close()
	os.RemoveAll(path + ".new")
	checkAcknowledged(t, path, 1, "state 1")
}

// If a store can't be reacquired at once, the next write reacquires it and stores
// everything that was put meanwhile.
func TestReacquiredLater(t *testing.T) {
	path := createStore(t)
	disk := &failingDisk{errno: syscall.EIO, remaining: map[string]int{}}
	store, err := OpenWith(disk, path, 8)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.ReleaseLock(); err != nil {
		t.Fatal(err)
	}
	if err := store.Put(version(2), time.Now()); err != nil {
		t.Fatal(err)
	}
	disk.remaining["read"] = 3
	if err := store.ReacquireLock(); !errors.Is(err, syscall.EIO) {
		t.Fatalf("reacquired: %v", err)
	}
	retry(t, "Put", func() error { return store.Put(version(3), time.Now()) })
	if list, err := store.History(time.Now()); err != nil || len(list) != 3 {
		t.Errorf("%d versions, %v", len(list), err)
	}
	store.Close()
	checkAcknowledged(t, path, 3, "state 1")
}
