package store

import (
	"errors"
	"fmt"
	"testing"
)

// Two bits of every byte of every file are flipped, one at a time, and every file is truncated at
// every length. Each time the objects that are served have the right bodies, no purged object is
// served, and most others are.
func TestEveryByteCorrupted(t *testing.T) {
	fs := newCrashFS()
	options := Options{MaxBytes: 1 << 20, SegmentBytes: 8 << 10}
	store, _, err := Open(fs, options)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 12 {
		storeObject(t, store, fmt.Sprint("/k/", i), 1, 40+i*7)
	}
	for i := range 4 {
		if _, err := store.Purge(Purge{Scope: ByObject, Text: fmt.Sprint("/k/", i)}); err != nil {
			t.Fatal(err)
		}
	}
	storeObject(t, store, "/k/20", 1, 100)
	if _, err := store.Purge(Purge{Scope: ByObject, Text: "/k/4"}); err != nil { // the last entry of both logs
		t.Fatal(err)
	}
	names, _ := fs.List()
	found, tries := 0, 0
	try := func(damage, name string, data []byte) {
		tries++
		killed := fs.afterKill()
		killed.files[name].data = data
		store, _, err := Open(killed, options)
		if errors.Is(err, ErrFormat) {
			return // the corruption is reported, and nothing is served
		}
		if err != nil {
			t.Fatalf("%s: opening the store failed: %v", damage, err)
		}
		for i := range 21 {
			if _, is := lookupChecked(t, store, fmt.Sprint("/k/", i)); is {
				if i < 5 {
					t.Fatalf("%s: /k/%d is served after its purge", damage, i)
				}
				found++
			}
		}
	}
	for _, name := range names {
		data := fs.files[name].data
		for i := range data {
			for _, bit := range []byte{1, 0x80} {
				flipped := append([]byte(nil), data...)
				flipped[i] ^= bit
				try(fmt.Sprintf("byte %d of %s flipped", i, name), name, flipped)
			}
			try(fmt.Sprintf("%s cut at %d", name, i), name, append([]byte(nil), data[:i]...))
		}
	}
	if share := float64(found) / float64(8*tries); share < 0.6 {
		t.Errorf("a share of %.2f of the objects that were not purged is found in %d cases, want 0.6 or more", share, tries)
	} else {
		t.Logf("a share of %.2f of the objects that were not purged is found in %d cases", share, tries)
	}
}
