package store

import (
	"encoding/binary"
	"hash/crc32"
)

// Entries of the logs stand in blocks of 64 bytes, each entry with a mark and a checksum
// at its beginning, so that behind a damaged one the next is found again.
//
//	0  mark "SPL1"
//	4  CRC-32C of all behind it
//	8  blocks (2 bytes), kind (1), 5 free
//	16 the entry
const (
	blockLen       = 64
	entryHeaderLen = 16
	entryMark      = 0x314c5053
	entryAdd       = 1
	entryDrop      = 2
	entryPurge     = 3 // a purge
	maxPurgeText   = 4096
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// entry appends an entry with the payload.
func appendEntry(dst []byte, kind byte, payload []byte) []byte {
	n := (entryHeaderLen + len(payload) + blockLen - 1) / blockLen
	at := len(dst)
	dst = append(dst, make([]byte, n*blockLen)...)
	b := dst[at:]
	binary.LittleEndian.PutUint32(b, entryMark)
	binary.LittleEndian.PutUint16(b[8:], uint16(n))
	b[10] = kind
	copy(b[entryHeaderLen:], payload)
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[8:], castagnoli))
	return dst
}

// entries calls f for each entry in b, and says how many places were damaged, and whether
// entries follow one of them: a crash leaves the end torn of a log that is synced with each
// entry, and nothing before it.
func readEntries(b []byte, f func(kind byte, payload []byte)) (damaged int, within bool) {
	bad := false
	for at := 0; at < len(b); {
		n := entryLen(b[at:])
		if n == 0 {
			if !bad {
				damaged++
			}
			bad = true
			at += blockLen
			continue
		}
		within = within || damaged > 0
		bad = false
		f(b[at+10], b[at+entryHeaderLen:at+n])
		at += n
	}
	return damaged, within
}

// whole is the length of the entry that b begins with; 0: there is none that is whole.
func entryLen(b []byte) int {
	if len(b) < blockLen || binary.LittleEndian.Uint32(b) != entryMark {
		return 0
	}
	n := int(binary.LittleEndian.Uint16(b[8:])) * blockLen
	if n == 0 || n > len(b) || crc32.Checksum(b[8:n], castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return 0
	}
	return n
}
