package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// entryKind is the kind of an entry in a log.
type entryKind byte

const (
	entryAdd   entryKind = 1 // an object was stored: its location (index log)
	entryDrop  entryKind = 2 // an object was dropped: the hash of its key (index log)
	entryPurge entryKind = 3 // a purge (both logs)
)

// String returns the name of the kind.
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

// An entry occupies whole blocks and begins with a mark and a checksum, so that the reader finds
// the next entry after a corrupt one:
//
//	0  mark "SPL1"
//	4  CRC-32C of everything that follows
//	8  number of blocks (2 bytes), kind (1 byte), 5 unused bytes
//	16 payload, padded with zeros to the end of the last block
const (
	blockLen        = 64
	entryMark       = 0x314c5053
	entryChecksumAt = 4
	entryBlocksAt   = 8
	entryKindAt     = 10
	entryHeaderLen  = 16
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendEntry appends an encoded entry to log.
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

// readEntries calls visit for each valid entry of a log. It returns the number of corrupt places,
// and whether a valid entry follows one of them. A crash leaves at most the end of a log torn, if
// the log is synced after each entry, so a corrupt place before the end means that an entry was
// lost.
func readEntries(log []byte, visit func(kind entryKind, payload []byte)) (corrupt int, beforeEnd bool) {
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
		beforeEnd = beforeEnd || corrupt > 0
		inCorrupt = false
		visit(entryKind(log[at+entryKindAt]), log[at+entryHeaderLen:at+n])
		at += n
	}
	return corrupt, beforeEnd
}

// entryLen returns the length of the entry at the beginning of log, or 0 if there is no valid
// one.
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
