package store

import (
	"fmt"
	"testing"
)

// A fill that was in flight when the purge rules were retired is not committed, since a purge that
// covers it may have been discarded.
func TestFillAcrossRetiredRulesNotCommitted(t *testing.T) {
	s, _, err := Open(newCrashFS(), Options{MaxPurgeRules: 4})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	writer, err := s.Begin(Meta{Key: "/a", Object: "/a", Tags: []string{"t0"}}, 100)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		if _, err := s.Purge(Purge{Scope: ByTag, Text: fmt.Sprint("t", i)}); err != nil {
			t.Fatal(err)
		}
	}
	if len(s.purgeRules) != 0 {
		t.Fatalf("%d rules remain, want 0", len(s.purgeRules))
	}
	if _, err := writer.Write(bodyOf("/a", 1, 100)); err != nil {
		t.Fatal(err)
	}
	if stored, err := writer.Commit(); stored || err != nil {
		t.Errorf("stored %v, error %v; want false, nil", stored, err)
	}
	if s.Lookup("/a") != nil {
		t.Error("a purged object is served")
	}
}

// After a checkpoint each log has all purges: if the other one is completely corrupt, no purged
// object is served.
func TestPurgesInBothLogsAfterCheckpoint(t *testing.T) {
	for _, corrupt := range []string{purgeLogName, "index-000002.log"} {
		t.Run(corrupt, func(t *testing.T) {
			faulty := newFaultyStore(t, Options{})
			storeObject(t, faulty.Store, "/a", 1, 500)
			storeObject(t, faulty.Store, "/b", 1, 500)
			if err := faulty.purge("/b"); err != nil {
				t.Fatal(err)
			}
			faulty.restartAfterKill()
			file := faulty.fs.files[corrupt]
			if file == nil {
				t.Fatalf("the file is missing, there are %d others", len(faulty.fs.files))
			}
			for i := range file.data {
				file.data[i] ^= 0x55
			}
			faulty.restartAfterKill()
			faulty.expect("with one log corrupt", map[string]bool{"/a": corrupt == purgeLogName, "/b": false})
		})
	}
}
