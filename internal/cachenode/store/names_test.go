package store

import (
	"fmt"
	"testing"
)

// Each value of an enumeration has a name of its own. Policies have those of the settings.
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
				t.Errorf("%T has the name %q, want %q", c.value, got, c.want)
			}
		})
	}
}

// An invalid purge is rejected with an error that says why, and gets no number.
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
		{Purge{Scope: ByTag}, `store: purge by tag: scope or text "" is invalid`},
		{Purge{Scope: byNumber, Text: "x"}, `store: purge by number: scope or text "x" is invalid`},
		{Purge{Scope: ByObject, Text: string(make([]byte, maxPurgeText+1))}, "store: purge by object: text of 4097 bytes, the limit is 4096"},
	} {
		t.Run(c.purge.Scope.String(), func(t *testing.T) {
			if _, err := s.Purge(c.purge); err == nil || err.Error() != c.want {
				t.Errorf("error %v, want %s", err, c.want)
			}
		})
	}
	if n := s.LastPurge(); n != 0 {
		t.Errorf("the last purge has number %d, want 0", n)
	}
}
