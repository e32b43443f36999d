package testserver

import "encoding/binary"

// An object's bytes follow from its key and the origin's version of it, so that
// a client can tell from any byte which version it belongs to, and a copy needs
// no memory for its bytes.

func seedOf(key string, version int64) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(key); i++ {
		h = (h ^ uint64(key[i])) * 1099511628211
	}
	return mix(h ^ uint64(version)*0x9e3779b97f4a7c15)
}

func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Content writes the bytes of a key's version that begin at an offset into dst.
func Content(dst []byte, key string, version, off int64) {
	if isText(key) {
		copy(dst, text(key, version)[off:])
		return
	}
	seed := seedOf(key, version)
	var word [8]byte
	for i := 0; i < len(dst); {
		at := off + int64(i)
		binary.LittleEndian.PutUint64(word[:], mix(seed+uint64(at>>3)))
		i += copy(dst[i:], word[at&7:])
	}
}

// Matches reports whether bytes at an offset are those of a key's version, and
// else the first that is not.
func Matches(b []byte, key string, version, off int64) (wrong int64, ok bool) {
	if isText(key) {
		want := text(key, version)
		for i := range b {
			if at := off + int64(i); at >= int64(len(want)) || b[i] != want[at] {
				return at, false
			}
		}
		return 0, true
	}
	seed := seedOf(key, version)
	var word [8]byte
	for i := 0; i < len(b); {
		at := off + int64(i)
		binary.LittleEndian.PutUint64(word[:], mix(seed+uint64(at>>3)))
		for _, w := range word[at&7:] {
			if i == len(b) {
				break
			}
			if b[i] != w {
				return off + int64(i), false
			}
			i++
		}
	}
	return 0, true
}

// SizeOf is the size in bytes of a key: from a quarter to about three times the
// mean, by the key alone.
func SizeOf(key string, meanKB float64) int64 {
	if isText(key) {
		return int64(len(text(key, 1)))
	}
	u := float64(seedOf(key, 0)>>11) / (1 << 53)
	factor := 0.25 + 1.5*u*u*1.5 // mean of u*u is a third: 0.25 + 0.75
	return max(int64(meanKB*1024*factor), 1)
}
