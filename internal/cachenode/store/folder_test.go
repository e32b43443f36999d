package store

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A folder serves one process; one of another format is refused, and left as it is.
func TestFolderLockAndFormat(t *testing.T) {
	dir := t.TempDir()
	store, _, err := Open(Dir(dir), Options{})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(Dir(dir), Options{}); err == nil || !strings.Contains(err.Error(), dir) {
		t.Errorf("a second process: %v", err)
	}
	storeObject(t, store, "/a", 1, 5000)
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Begin(Meta{Key: "/b"}, 1); !errors.Is(err, ErrClosed) {
		t.Error(err)
	}
	store, recovered, err := Open(Dir(dir), Options{})
	if err != nil || recovered.Objects != 1 || recovered.Bytes != 5000 {
		t.Fatal(recovered, err)
	}
	if _, ok := lookupChecked(t, store, "/a"); !ok {
		t.Error("it is gone")
	}
	store.Close()
	if err := os.WriteFile(filepath.Join(dir, formatName), []byte("indigospool store 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	before, _ := os.ReadDir(dir)
	_, _, err = Open(Dir(dir), Options{})
	if after, _ := os.ReadDir(dir); !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), "empty the folder") || len(after) != len(before) {
		t.Error(err)
	}
}

// The disk is full in the middle of a fill: nothing incomplete is stored, what was there is
// found, more is refused and warned of, and purges still hold.
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
		t.Fatal(err)
	}
	if ok, err := writer.Commit(); ok || err == nil {
		t.Fatal(ok, err)
	}
	if _, err := store.Begin(Meta{Key: "/d"}, 10); !errors.Is(err, errNoSpace) || !strings.Contains(warnings, "no objects are stored") {
		t.Error(err, warnings)
	}
	if _, err := store.Purge(Purge{Scope: ByObject, Text: "/b"}); err == nil {
		t.Error("a purge that does not last is acknowledged")
	}
	for key, want := range map[string]bool{"/a": true, "/b": false, "/c": false} {
		if _, ok := lookupChecked(t, store, key); ok != want {
			t.Errorf("%s: %v", key, ok)
		}
	}
	killed := fs.afterKill()
	if store, _, err = Open(killed, Options{}); err != nil {
		t.Fatal(err)
	}
	if _, ok := lookupChecked(t, store, "/a"); !ok {
		t.Error("/a is gone after the start")
	}
	if _, ok := lookupChecked(t, store, "/c"); ok {
		t.Error("an incomplete object is served")
	}
	storeObject(t, store, "/d", 1, 10)
}
