package store

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"
)

// An object that is being read stays readable after its segment was evicted, and reports a later
// purge.
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
		t.Error("the object was not evicted")
	}
	data := make([]byte, 10_000)
	if _, err := object.ReadAt(data, 0); err != nil && err != io.EOF || !bytes.Equal(data, bodyOf("/a", 1, 10_000)) {
		t.Error("the body can't be read after the eviction")
	}
	if object.Purged() {
		t.Error("the object is reported as purged without a purge")
	}
	store.Purge(Purge{Scope: ByPrefix, Text: "/"})
	if !object.Purged() {
		t.Error("the object is not reported as purged")
	}
	object.Close()
	if _, err := store.Begin(Meta{Key: "/big"}, 20_000); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v, want ErrTooLarge", err)
	}
}

// Compaction keeps an object that is looked up regularly, while many times the size of the store is
// written.
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
			t.Fatalf("the used object was evicted after %d others were stored", i)
		}
		for more := true; more; {
			if _, more, err = store.Compact(8 << 10); err != nil {
				t.Fatal(err)
			}
		}
	}
	if n, used := store.Usage(); n < 50 || used > 256<<10 {
		t.Errorf("%d objects, %d bytes; want 50 or more objects, %d bytes or less", n, used, 256<<10)
	}
}
