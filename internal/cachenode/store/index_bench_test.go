package store

import (
	"encoding/binary"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	bolt "go.etcd.io/bbolt"
)

// BenchmarkIndex writes and finds locations in an index of 100,000 entries: in bbolt, with one
// unsynced commit for each write as the store would need it, and in the store's own index.
func BenchmarkIndex(b *testing.B) {
	const n = 100_000
	locationOf := func(i int) location {
		return location{keyHash: uint64(i) * 0x9e3779b97f4a7c15, segment: 1, offset8: uint32(i), packed: packLengths(0, 8, 1)}
	}
	b.Run("bbolt", func(b *testing.B) {
		file := filepath.Join(b.TempDir(), "index")
		database, err := bolt.Open(file, 0o600, &bolt.Options{NoSync: true, NoFreelistSync: true, FreelistType: bolt.FreelistMapType})
		if err != nil {
			b.Fatal(err)
		}
		defer database.Close()
		bucket := []byte("i")
		put := func(tx *bolt.Tx, i int) error {
			loc := locationOf(i)
			index, err := tx.CreateBucketIfNotExists(bucket)
			if err != nil {
				return err
			}
			return index.Put(binary.BigEndian.AppendUint64(nil, loc.keyHash), loc.appendTo(nil))
		}
		for i := 0; i < n; i += 1000 {
			if err := database.Update(func(tx *bolt.Tx) error {
				for index := range 1000 {
					if err := put(tx, i+index); err != nil {
						return err
					}
				}
				return nil
			}); err != nil {
				b.Fatal(err)
			}
		}
		b.Run("keep", func(b *testing.B) {
			for i := n; b.Loop(); i++ {
				if err := database.Update(func(tx *bolt.Tx) error { return put(tx, i) }); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run("find", func(b *testing.B) {
			for b.Loop() {
				loc := locationOf(rand.IntN(n))
				database.View(func(tx *bolt.Tx) error {
					if _, ok := readLocation(tx.Bucket(bucket).Get(binary.BigEndian.AppendUint64(nil, loc.keyHash))); !ok {
						b.Fatalf("the location of key hash %#x is missing", loc.keyHash)
					}
					return nil
				})
			}
		})
		if st, err := os.Stat(file); err == nil {
			b.Logf("%d bytes on disk per location", st.Size()/n)
		}
	})
	b.Run("own", func(b *testing.B) {
		store, _, err := Open(Dir(b.TempDir()), Options{})
		if err != nil {
			b.Fatal(err)
		}
		defer store.Close()
		if err := store.rotate(); err != nil {
			b.Fatal(err)
		}
		store.active.size = 1 << 40
		put := func(i int) {
			loc := locationOf(i)
			if err := store.appendLog(store.indexLog, &store.indexLogLen, appendEntry(nil, entryAdd, loc.appendTo(nil))); err != nil {
				b.Fatal(err)
			}
			store.addLocation(loc)
		}
		for i := range n {
			put(i)
		}
		b.Run("keep", func(b *testing.B) {
			for i := n; b.Loop(); i++ {
				put(i)
			}
		})
		b.Run("find", func(b *testing.B) {
			for b.Loop() {
				loc := locationOf(rand.IntN(n))
				if _, ok := store.byHash[loc.keyHash]; !ok {
					b.Fatalf("the location of key hash %#x is missing", loc.keyHash)
				}
			}
		})
	})
}
