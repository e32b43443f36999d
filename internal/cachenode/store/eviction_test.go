package store

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"
)

// An object that is being read stays readable when its segment is evicted, and says that it
// is purged once it is.
func TestReadWhileEvicted(t *testing.T) {
	store, _, err := Open(Dir(t.TempDir()), Options{MaxBytes: 64 << 10, SegmentBytes: 16 << 10})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	storeObject(t, store, "/a", 1, 10_000)
	object := store.Lookup("/a")
	for i := range 20 {
		storeObject(t, store, fmt.Sprint("/x", i), 1, 10_000)
	}
	if _, ok := lookupChecked(t, store, "/a"); ok {
		t.Error("it was not evicted")
	}
	data := make([]byte, 10_000)
	if _, err := object.ReadAt(data, 0); err != nil && err != io.EOF || !bytes.Equal(data, bodyOf("/a", 1, 10_000)) {
		t.Error("its bytes are gone for its reader")
	}
	if object.Purged() {
		t.Error("it is purged, and there was no purge")
	}
	store.Purge(Purge{Scope: ByPrefix, Text: "/"})
	if !object.Purged() {
		t.Error("a purge does not cover it")
	}
	object.Close()
	if _, err := store.Begin(Meta{Key: "/big"}, 20_000); !errors.Is(err, ErrTooLarge) {
		t.Error(err)
	}
}

// Compaction keeps what is found again and again, over many times the room.
func TestCompactKeepsUsedObjects(t *testing.T) {
	store, _, err := Open(Dir(t.TempDir()), Options{MaxBytes: 256 << 10, SegmentBytes: 16 << 10})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	storeObject(t, store, "/hot", 1, 3000)
	for i := range 400 {
		storeObject(t, store, fmt.Sprint("/x", i), 1, 3000)
		if _, ok := lookupChecked(t, store, "/hot"); !ok {
			t.Fatalf("it is gone after %d others", i)
		}
		for more := true; more; {
			if _, more, err = store.Compact(8 << 10); err != nil {
				t.Fatal(err)
			}
		}
	}
	if n, used := store.Usage(); n < 50 || used > 256<<10 {
		t.Errorf("%d copies, %d bytes", n, used)
	}
}
