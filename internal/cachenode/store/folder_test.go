package store

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A folder serves one process; one of another form is refused, and left as it is.
func TestFolderLockAndFormat(t *testing.T) {
	dir := t.TempDir()
	s, _, err := Open(Dir(dir), Options{})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(Dir(dir), Options{}); err == nil || !strings.Contains(err.Error(), dir) {
		t.Errorf("a second process: %v", err)
	}
	storeObject(t, s, "/a", 1, 5000)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Begin(Meta{Key: "/b"}, 1); !errors.Is(err, ErrClosed) {
		t.Error(err)
	}
	s, r, err := Open(Dir(dir), Options{})
	if err != nil || r.Objects != 1 || r.Bytes != 5000 {
		t.Fatal(r, err)
	}
	if _, ok := lookupChecked(t, s, "/a"); !ok {
		t.Error("it is gone")
	}
	s.Close()
	if err := os.WriteFile(filepath.Join(dir, formatName), []byte("indigospool store 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	before, _ := os.ReadDir(dir)
	_, _, err = Open(Dir(dir), Options{})
	if after, _ := os.ReadDir(dir); !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), "empty the folder") || len(after) != len(before) {
		t.Error(err)
	}
}

// The disk is full in the middle of a fill: nothing half is kept, what was there is
// found, more is refused in words, and purges still hold.
func TestDiskFull(t *testing.T) {
	fs := newCrashFS()
	said := ""
	s, _, err := Open(fs, Options{Warn: func(w string) { said += w }})
	if err != nil {
		t.Fatal(err)
	}
	storeObject(t, s, "/a", 1, 1000)
	storeObject(t, s, "/b", 1, 1000)
	w, err := s.Begin(Meta{Key: "/c", Object: "/c"}, 2000)
	if err != nil {
		t.Fatal(err)
	}
	w.Write(bodyOf("/c", 0, 2000)[:1000])
	fs.full = 0
	if _, err := w.Write(bodyOf("/c", 0, 2000)[1000:]); !errors.Is(err, errNoSpace) {
		t.Fatal(err)
	}
	if ok, err := w.Commit(); ok || err == nil {
		t.Fatal(ok, err)
	}
	if _, err := s.Begin(Meta{Key: "/d"}, 10); !errors.Is(err, errNoSpace) || !strings.Contains(said, "nothing more is kept") {
		t.Error(err, said)
	}
	if _, err := s.Purge(Purge{Scope: ByObject, Text: "/b"}); err == nil {
		t.Error("a purge that does not last is acknowledged")
	}
	for key, want := range map[string]bool{"/a": true, "/b": false, "/c": false} {
		if _, ok := lookupChecked(t, s, key); ok != want {
			t.Errorf("%s: %v", key, ok)
		}
	}
	n := fs.killed()
	if s, _, err = Open(n, Options{}); err != nil {
		t.Fatal(err)
	}
	if _, ok := lookupChecked(t, s, "/a"); !ok {
		t.Error("/a is gone after the start")
	}
	if _, ok := lookupChecked(t, s, "/c"); ok {
		t.Error("half a copy is given out")
	}
	storeObject(t, s, "/d", 1, 10)
}
