package store

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A folder can be used by one process only. Open rejects a folder of another format and doesn't
// change it.
func TestFolderLockAndFormat(t *testing.T) {
	dir := t.TempDir()
	store, _, err := Open(Dir(dir), Options{})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(Dir(dir), Options{}); err == nil || !strings.Contains(err.Error(), dir) {
		t.Errorf("second Open of the folder: error %v, want one that names %s", err, dir)
	}
	storeObject(t, store, "/a", 1, 5000)
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Begin(Meta{Key: "/b"}, 1); !errors.Is(err, ErrClosed) {
		t.Errorf("Begin after Close: error %v, want ErrClosed", err)
	}
	store, recovered, err := Open(Dir(dir), Options{})
	if err != nil || recovered.Objects != 1 || recovered.Bytes != 5000 {
		t.Fatalf("recovered %+v, error %v; want 1 object of 5000 bytes", recovered, err)
	}
	if _, ok := lookupChecked(t, store, "/a"); !ok {
		t.Error("/a is missing after the folder was opened again")
	}
	store.Close()
	if err := os.WriteFile(filepath.Join(dir, formatName), []byte("indigospool store 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	before, _ := os.ReadDir(dir)
	_, _, err = Open(Dir(dir), Options{})
	if after, _ := os.ReadDir(dir); !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), "empty the folder") || len(after) != len(before) {
		t.Errorf("folder of another format: error %v, %d files, before %d; want ErrFormat and no change", err, len(after), len(before))
	}
}

// The disk becomes full during a fill. The incomplete object is not stored, earlier ones are found,
// new ones are rejected with a warning, and purges apply.
func TestDiskFull(t *testing.T) {
	fs := newCrashFS()
	warnings := ""
	store, _, err := Open(fs, Options{Warn: func(text string) { warnings += text }})
	if err != nil {
		t.Fatal(err)
	}
	storeObject(t, store, "/a", 1, 1000)
	storeObject(t, store, "/b", 1, 1000)
	writer, err := store.Begin(Meta{Key: "/c", Object: "/c"}, 2000)
	if err != nil {
		t.Fatal(err)
	}
	writer.Write(bodyOf("/c", 0, 2000)[:1000])
	fs.writesUntilFull = 0
	if _, err := writer.Write(bodyOf("/c", 0, 2000)[1000:]); !errors.Is(err, errNoSpace) {
		t.Fatalf("a write to the full disk: error %v, want %v", err, errNoSpace)
	}
	if ok, err := writer.Commit(); ok || err == nil {
		t.Fatalf("commit of an incomplete object: stored %v, error %v; want false and an error", ok, err)
	}
	if _, err := store.Begin(Meta{Key: "/d"}, 10); !errors.Is(err, errNoSpace) || !strings.Contains(warnings, "no objects are stored") {
		t.Errorf("Begin on the full disk: error %v, want %v; warnings %q, want \"no objects are stored\"", err, errNoSpace, warnings)
	}
	if _, err := store.Purge(Purge{Scope: ByObject, Text: "/b"}); err == nil {
		t.Error("a purge is acknowledged although it could not be written")
	}
	for key, want := range map[string]bool{"/a": true, "/b": false, "/c": false} {
		if _, ok := lookupChecked(t, store, key); ok != want {
			t.Errorf("%s is found: %v, want %v", key, ok, want)
		}
	}
	killed := fs.afterKill()
	if store, _, err = Open(killed, Options{}); err != nil {
		t.Fatal(err)
	}
	if _, ok := lookupChecked(t, store, "/a"); !ok {
		t.Error("/a is missing after the restart")
	}
	if _, ok := lookupChecked(t, store, "/c"); ok {
		t.Error("an incomplete object is served")
	}
	storeObject(t, store, "/d", 1, 10)
}
