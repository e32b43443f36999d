package testserver

import "encoding/binary"

// The content of an object is a function of its key and version. A client can therefore check
// which version the bytes at any offset belong to, and a cache need not store them.

// seedOf returns the seed of the content of a key's version: an FNV-1a hash, mixed.
func seedOf(key string, version int64) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(key); i++ {
		h = (h ^ uint64(key[i])) * 1099511628211
	}
	return mix(h ^ uint64(version)*0x9e3779b97f4a7c15)
}

// mix is the finalizer of SplitMix64.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Content fills dst with the content of a key's version from an offset on.
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

// Matches reports whether b is the content of a key's version at an offset. If it is not, wrong
// is the offset of the first byte that differs.
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

// SizeOf returns the size of a key's content in bytes, which is the same for all versions. It is
// between 0.25 and 2.5 times the mean, except for text, whose size does not depend on the mean.
func SizeOf(key string, meanKB float64) int64 {
	if isText(key) {
		return int64(len(text(key, 1)))
	}
	u := float64(seedOf(key, 0)>>11) / (1 << 53)
	factor := 0.25 + 1.5*u*u*1.5 // the mean of u*u is 1/3, which makes the mean of factor 0.25 + 0.75 = 1
	return max(int64(meanKB*1024*factor), 1)
}
