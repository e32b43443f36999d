package store

import (
	"encoding/binary"
)

// location is where an object is on disk, and what of it is kept in memory: 48 bytes each,
// so lengths, rank and flags share a word.
type location struct {
	keyHash    uint64
	objectHash uint64 // of Meta.Object
	sincePurge uint64 // number of the last purge when its fill began
	segment    uint32 // its number
	offset8    uint32 // in the segment, in units of 8 bytes
	packed     uint64 // body length (40 bits), head length (16), rank (2), flags
	bodyCRC    uint32 // CRC-32C of the body
	group      int32
}

const (
	maxBodyLen = 1<<40 - 1
	maxMetaLen = 1<<16 - 1

	metaLenShift = 40
	rankShift    = 56
	maxRank      = 3

	// Flags of packed are of this process alone, and not on disk.
	flagVerified  = 1 << 58 // its checksum was right since the start
	flagUsed      = 1 << 59 // it was found since it was written
	flagLive      = 1 << 60 // the slot is in use
	flagRewritten = 1 << 61 // it was written anew once, and not found since
	flagConfirmed = 1 << 62 // it was stored, or confirmed by its source, since the start: no purge was missed
	storedBits    = 1<<58 - 1

	locationLen = 48 // on disk
)

func packLengths(bodyLen int64, metaLen, rank int) uint64 {
	return uint64(bodyLen) | uint64(metaLen)<<metaLenShift | uint64(rank&maxRank)<<rankShift
}

func (l *location) bodyLen() int64 { return int64(l.packed & maxBodyLen) }

func (l *location) metaLen() int { return int(l.packed >> metaLenShift & maxMetaLen) }

func (l *location) rank() int { return int(l.packed >> rankShift & maxRank) }

// size is what it takes of its segment.
func (l *location) size() int64 { return align(int64(l.metaLen()) + l.bodyLen()) }

// offset is where its head begins in the segment; the body is behind it.
func (l *location) offset() int64 { return int64(l.offset8) * 8 }

func (l *location) bodyOffset() int64 { return l.offset() + int64(l.metaLen()) }

func (l *location) live() bool { return l.packed&flagLive != 0 }

func (l *location) has(flag uint64) bool { return l.packed&flag != 0 }

// align rounds up to the units of offset8.
func align(n int64) int64 { return (n + 7) &^ 7 }

// appendTo appends it as it is on disk.
func (l *location) appendTo(data []byte) []byte {
	data = binary.LittleEndian.AppendUint64(data, l.keyHash)
	data = binary.LittleEndian.AppendUint64(data, l.objectHash)
	data = binary.LittleEndian.AppendUint64(data, l.sincePurge)
	data = binary.LittleEndian.AppendUint32(data, l.segment)
	data = binary.LittleEndian.AppendUint32(data, l.offset8)
	data = binary.LittleEndian.AppendUint64(data, l.packed&storedBits)
	data = binary.LittleEndian.AppendUint32(data, l.bodyCRC)
	return binary.LittleEndian.AppendUint32(data, uint32(l.group))
}

func readLocation(data []byte) (loc location, ok bool) {
	if len(data) < locationLen {
		return location{}, false
	}
	return location{
		keyHash:    binary.LittleEndian.Uint64(data),
		objectHash: binary.LittleEndian.Uint64(data[8:]),
		sincePurge: binary.LittleEndian.Uint64(data[16:]),
		segment:    binary.LittleEndian.Uint32(data[24:]),
		offset8:    binary.LittleEndian.Uint32(data[28:]),
		packed:     binary.LittleEndian.Uint64(data[32:]) & storedBits,
		bodyCRC:    binary.LittleEndian.Uint32(data[40:]),
		group:      int32(binary.LittleEndian.Uint32(data[44:])),
	}, true
}
