package store

import (
	"bytes"
	"io"
	"math/rand/v2"
	"testing"
)

// bodyOf is the content of a key's version.
func bodyOf(key string, version int64, n int) []byte {
	rng := rand.New(rand.NewPCG(uint64(version), uint64(len(key))*31+uint64(key[len(key)-1])))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return b
}

func storeObject(t testing.TB, s *Store, key string, version int64, n int) bool {
	t.Helper()
	w, err := s.Begin(Meta{Key: key, Object: key, Group: int32(n % 3), Version: version, Born: version, Rank: 2}, int64(n))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(bodyOf(key, version, n)); err != nil {
		t.Fatal(err)
	}
	ok, err := w.Commit()
	if err != nil {
		t.Fatal(err)
	}
	return ok
}

// good reports whether a key is found, with the bytes of its version.
func lookupChecked(t testing.TB, s *Store, key string) (version int64, found bool) {
	t.Helper()
	c := s.Lookup(key)
	if c == nil {
		return 0, false
	}
	defer c.Close()
	b := make([]byte, c.Size)
	if _, err := c.ReadAt(b, 0); err != nil && err != io.EOF {
		t.Fatal(err)
	}
	if !bytes.Equal(b, bodyOf(key, c.Version, len(b))) || c.Key != key {
		t.Fatalf("%s is given out with bytes that it never had", key)
	}
	return c.Version, true
}
