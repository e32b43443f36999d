package store

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"
)

// A copy that is being read stays readable when its segment is given up, and says that it
// is void once it is.
func TestReadWhileEvicted(t *testing.T) {
	s, _, err := Open(Dir(t.TempDir()), Options{MaxBytes: 64 << 10, SegmentBytes: 16 << 10})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	storeObject(t, s, "/a", 1, 10_000)
	c := s.Lookup("/a")
	for i := range 20 {
		storeObject(t, s, fmt.Sprint("/x", i), 1, 10_000)
	}
	if _, ok := lookupChecked(t, s, "/a"); ok {
		t.Error("it was not given up")
	}
	b := make([]byte, 10_000)
	if _, err := c.ReadAt(b, 0); err != nil && err != io.EOF || !bytes.Equal(b, bodyOf("/a", 1, 10_000)) {
		t.Error("its bytes are gone for its reader")
	}
	if c.Purged() {
		t.Error("it is void, and nobody said so")
	}
	s.Purge(Purge{Scope: ByPrefix, Text: "/"})
	if !c.Purged() {
		t.Error("a purge does not void it")
	}
	c.Close()
	if _, err := s.Begin(Meta{Key: "/big"}, 20_000); !errors.Is(err, ErrTooLarge) {
		t.Error(err)
	}
}

// Tidying keeps what was found, and what ranks high, over many times the room.
func TestCompactKeepsUsedObjects(t *testing.T) {
	s, _, err := Open(Dir(t.TempDir()), Options{MaxBytes: 256 << 10, SegmentBytes: 16 << 10})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	storeObject(t, s, "/hot", 1, 3000)
	for i := range 400 {
		storeObject(t, s, fmt.Sprint("/x", i), 1, 3000)
		if _, ok := lookupChecked(t, s, "/hot"); !ok {
			t.Fatalf("it is gone after %d others", i)
		}
		for more := true; more; {
			if _, more, err = s.Compact(8 << 10); err != nil {
				t.Fatal(err)
			}
		}
	}
	if n, used := s.Usage(); n < 50 || used > 256<<10 {
		t.Errorf("%d copies, %d bytes", n, used)
	}
}
