package store

import (
	"fmt"
	"testing"
)

// The values of enumerations have names of their own: policies those of the settings.
func TestEnumerationNames(t *testing.T) {
	for _, c := range []struct {
		value fmt.Stringer
		want  string
	}{
		{SyncPurges, "purges"}, {SyncSegments, "segments"}, {SyncObjects, "copies"}, {Sync(9), "Sync(9)"},
		{ByObject, "object"}, {ByGroup, "group"}, {ByTag, "tag"}, {ByPrefix, "prefix"}, {byHash, "hash"}, {byNumber, "number"}, {Scope(9), "Scope(9)"},
		{entryAdd, "add"}, {entryDrop, "drop"}, {entryPurge, "purge"}, {entryKind(9), "entryKind(9)"},
	} {
		t.Run(c.want, func(t *testing.T) {
			if got := c.value.String(); got != c.want {
				t.Errorf("%T is called %q, not %q", c.value, got, c.want)
			}
		})
	}
}

// A purge that names nothing, or too much, is refused in words, and takes no number.
func TestInvalidPurgeRefused(t *testing.T) {
	s, _, err := Open(newCrashFS(), Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for _, c := range []struct {
		purge Purge
		want  string
	}{
		{Purge{Scope: ByTag}, `store: a purge by tag of "" names nothing`},
		{Purge{Scope: byNumber, Text: "x"}, `store: a purge by number of "x" names nothing`},
		{Purge{Scope: ByObject, Text: string(make([]byte, maxPurgeText+1))}, "store: a purge by object of 4097 bytes; 4096 are the most"},
	} {
		t.Run(c.purge.Scope.String(), func(t *testing.T) {
			if _, err := s.Purge(c.purge); err == nil || err.Error() != c.want {
				t.Errorf("%v, not %s", err, c.want)
			}
		})
	}
	if n := s.LastPurge(); n != 0 {
		t.Errorf("the last purge has number %d", n)
	}
}
