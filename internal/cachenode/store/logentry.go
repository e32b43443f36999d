package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// entryKind is what an entry of the logs says.
type entryKind byte

const (
	entryAdd   entryKind = 1 // an object is at a location (index log)
	entryDrop  entryKind = 2 // the object of a key's hash is gone (index log)
	entryPurge entryKind = 3 // a purge (both logs)
)

// String names the kind.
func (k entryKind) String() string {
	switch k {
	case entryAdd:
		return "add"
	case entryDrop:
		return "drop"
	case entryPurge:
		return "purge"
	}
	return fmt.Sprintf("entryKind(%d)", byte(k))
}

// An entry takes whole blocks, and begins with a mark and a checksum, so that behind a
// corrupt one the next is found again:
//
//	0  mark "SPL1"
//	4  CRC-32C of all behind it
//	8  number of blocks (2 bytes), kind (1), 5 unused
//	16 payload, and zeros up to the end of the block
const (
	blockLen        = 64
	entryMark       = 0x314c5053
	entryChecksumAt = 4
	entryBlocksAt   = 8
	entryKindAt     = 10
	entryHeaderLen  = 16
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendEntry appends an entry to a log's bytes.
func appendEntry(log []byte, kind entryKind, payload []byte) []byte {
	blocks := (entryHeaderLen + len(payload) + blockLen - 1) / blockLen
	start := len(log)
	log = append(log, make([]byte, blocks*blockLen)...)
	entry := log[start:]
	binary.LittleEndian.PutUint32(entry, entryMark)
	binary.LittleEndian.PutUint16(entry[entryBlocksAt:], uint16(blocks))
	entry[entryKindAt] = byte(kind)
	copy(entry[entryHeaderLen:], payload)
	binary.LittleEndian.PutUint32(entry[entryChecksumAt:], crc32.Checksum(entry[entryBlocksAt:], castagnoli))
	return log
}

// readEntries calls visit for each entry of a log, and returns how many places are corrupt,
// and whether an entry follows one of them: of a log that is synced with each entry a crash
// leaves the end torn, and nothing before it.
func readEntries(log []byte, visit func(kind entryKind, payload []byte)) (corrupt int, before bool) {
	inCorrupt := false
	for at := 0; at < len(log); {
		n := entryLen(log[at:])
		if n == 0 {
			if !inCorrupt {
				corrupt++
			}
			inCorrupt = true
			at += blockLen
			continue
		}
		before = before || corrupt > 0
		inCorrupt = false
		visit(entryKind(log[at+entryKindAt]), log[at+entryHeaderLen:at+n])
		at += n
	}
	return corrupt, before
}

// entryLen is the length of the entry that a log's bytes begin with; 0: there is none, or it
// is corrupt.
func entryLen(log []byte) int {
	if len(log) < blockLen || binary.LittleEndian.Uint32(log) != entryMark {
		return 0
	}
	n := int(binary.LittleEndian.Uint16(log[entryBlocksAt:])) * blockLen
	if n == 0 || n > len(log) {
		return 0
	}
	if crc32.Checksum(log[entryBlocksAt:n], castagnoli) != binary.LittleEndian.Uint32(log[entryChecksumAt:]) {
		return 0
	}
	return n
}
