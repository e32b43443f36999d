package store

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	bolt "go.etcd.io/bbolt"
)

// BenchmarkIndex writes and finds places in an index of 100,000: in bbolt, with a commit
// for each place as the store would need it (not synced), and in the store's own.
func BenchmarkIndex(b *testing.B) {
	const n = 100_000
	pl := func(i int) place {
		return place{keyHash: uint64(i) * 0x9e3779b97f4a7c15, segment: 1, offset8: uint32(i), packed: packLengths(0, 8, 1)}
	}
	b.Run("bbolt", func(b *testing.B) {
		file := filepath.Join(b.TempDir(), "index")
		db, err := bolt.Open(file, 0o600, &bolt.Options{NoSync: true, NoFreelistSync: true, FreelistType: bolt.FreelistMapType})
		if err != nil {
			b.Fatal(err)
		}
		defer db.Close()
		bucket := []byte("i")
		put := func(tx *bolt.Tx, i int) error {
			p := pl(i)
			k, err := tx.CreateBucketIfNotExists(bucket)
			if err != nil {
				return err
			}
			return k.Put(binary.BigEndian.AppendUint64(nil, p.keyHash), p.append(nil))
		}
		for i := 0; i < n; i += 1000 {
			if err := db.Update(func(tx *bolt.Tx) error {
				for k := range 1000 {
					if err := put(tx, i+k); err != nil {
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
				if err := db.Update(func(tx *bolt.Tx) error { return put(tx, i) }); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run("find", func(b *testing.B) {
			for b.Loop() {
				p := pl(rand.IntN(n))
				db.View(func(tx *bolt.Tx) error {
					if _, ok := readPlace(tx.Bucket(bucket).Get(binary.BigEndian.AppendUint64(nil, p.keyHash))); !ok {
						b.Fatal("it is gone")
					}
					return nil
				})
			}
		})
		if st, err := os.Stat(file); err == nil {
			b.Log(fmt.Sprintf("%d bytes of disk a place", st.Size()/n))
		}
	})
	b.Run("own", func(b *testing.B) {
		s, _, err := Open(Dir(b.TempDir()), Options{})
		if err != nil {
			b.Fatal(err)
		}
		defer s.Close()
		if err := s.rotate(); err != nil {
			b.Fatal(err)
		}
		s.active.size = 1 << 40
		put := func(i int) {
			p := pl(i)
			if err := s.appendLog(s.indexLog, &s.indexLogLen, appendEntry(nil, entryAdd, p.append(nil))); err != nil {
				b.Fatal(err)
			}
			s.addPlace(p)
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
				p := pl(rand.IntN(n))
				if _, ok := s.byHash[p.keyHash]; !ok {
					b.Fatal("it is gone")
				}
			}
		})
	})
}
