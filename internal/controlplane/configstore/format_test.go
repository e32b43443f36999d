package configstore

import (
	"compress/gzip"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// A store written at commit fccb504, with three versions and a service's state, is read
// with its times, and takes further versions.
func TestReadsStoreOfEarlierRelease(t *testing.T) {
	compressed, err := os.Open(filepath.Join("testdata", "fccb504.db.gz"))
	if err != nil {
		t.Fatal(err)
	}
	defer compressed.Close()
	unpacked, err := gzip.NewReader(compressed)
	if err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(unpacked)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "good.db")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	store, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	written := time.Date(2026, 11, 30, 12, 0, 0, 0, time.UTC)
	for number := int64(1); number <= 3; number++ {
		version, storedAt, err := store.Version(number)
		if err != nil || string(version.Body) != fmt.Sprintf("(version %d)", number) {
			t.Errorf("version %d: %q, %v", number, version.Body, err)
		}
		if want := written.Add(time.Duration(number) * time.Minute); !storedAt.Equal(want) {
			t.Errorf("version %d stored at %v, want %v", number, storedAt, want)
		}
	}
	if state, err := store.State(); err != nil || string(state) != `{"id":"0badcafe","last":3,"base":2,"next":3}` {
		t.Errorf("state %q, %v", state, err)
	}
	restored := store.Restored(written.Add(time.Hour))
	if restored.Err != nil || restored.Version.Number != 3 || restored.Age != 57*60_000 || len(restored.Earlier) != 2 {
		t.Errorf("restored %+v", restored)
	}
	if err := store.Put(version(4), written.Add(time.Hour)); err != nil {
		t.Error(err)
	}
	if last, _, err := store.Last(); err != nil || last.Number != 4 {
		t.Errorf("last %d, %v", last.Number, err)
	}
}
