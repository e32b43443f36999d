package store

import (
	"bytes"
	"io"
	"math/rand/v2"
	"testing"
)

// bodyOf returns the body of a version of a key.
func bodyOf(key string, version int64, size int) []byte {
	rng := rand.New(rand.NewPCG(uint64(version), uint64(len(key))*31+uint64(key[len(key)-1])))
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	return data
}

// storeObject writes an object and reports whether it was stored. It is not if a purge covers it or
// a newer version is stored.
func storeObject(t testing.TB, store *Store, key string, version int64, size int) bool {
	t.Helper()
	writer, err := store.Begin(Meta{Key: key, Object: key, Group: int32(size % 3), Version: version, GeneratedAt: version, Rank: 2}, int64(size))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Write(bodyOf(key, version, size)); err != nil {
		t.Fatal(err)
	}
	ok, err := writer.Commit()
	if err != nil {
		t.Fatal(err)
	}
	return ok
}

// lookupChecked looks up a key, reports whether it is found, and checks that the body is that of
// the version.
func lookupChecked(t testing.TB, store *Store, key string) (version int64, found bool) {
	t.Helper()
	object := store.Lookup(key)
	if object == nil {
		return 0, false
	}
	defer object.Close()
	data := make([]byte, object.Size)
	if _, err := object.ReadAt(data, 0); err != nil && err != io.EOF {
		t.Fatal(err)
	}
	if !bytes.Equal(data, bodyOf(key, object.Version, len(data))) || object.Key != key {
		t.Fatalf("%s is served with a body that was never stored", key)
	}
	return object.Version, true
}
