package store

import (
	"encoding/binary"
)

// location is the part of an object that is kept in memory: where it is on disk, and what purges
// and eviction need. Lengths, rank and flags share a word, so that it takes 48 bytes.
type location struct {
	keyHash    uint64
	objectHash uint64 // of Meta.Object
	sincePurge uint64 // number of the last purge when its fill began, or when it was generated if a purge was received in between
	segment    uint32 // number of the segment
	offset8    uint32 // offset in the segment, in units of 8 bytes
	packed     uint64 // body length (40 bits), head length (16), rank (2), flags
	bodyCRC    uint32 // CRC-32C of the body
	group      int32
}

const (
	maxBodyLen = 1<<40 - 1
	maxHeadLen = 1<<16 - 1

	headLenShift = 40
	rankShift    = 56
	maxRank      = 3

	// Flags of packed. They are kept in memory only.
	flagVerified  = 1 << 58 // the checksum was verified since the start
	flagUsed      = 1 << 59 // the object was looked up since it was written
	flagLive      = 1 << 60 // the slot is in use
	flagRewritten = 1 << 61 // the object was rewritten by compaction
	flagConfirmed = 1 << 62 // the object was stored or confirmed by its source since the start, so no purge of it was missed
	storedBits    = 1<<58 - 1

	locationLen = 48 // on disk
)

func packLengths(bodyLen int64, headLen, rank int) uint64 {
	return uint64(bodyLen) | uint64(headLen)<<headLenShift | uint64(rank&maxRank)<<rankShift
}

func (l *location) bodyLen() int64 { return int64(l.packed & maxBodyLen) }

func (l *location) headLen() int { return int(l.packed >> headLenShift & maxHeadLen) }

func (l *location) rank() int { return int(l.packed >> rankShift & maxRank) }

// size returns the number of bytes that the object occupies in its segment.
func (l *location) size() int64 { return align(int64(l.headLen()) + l.bodyLen()) }

// offset returns the offset of the head in the segment. The body follows the head.
func (l *location) offset() int64 { return int64(l.offset8) * 8 }

func (l *location) bodyOffset() int64 { return l.offset() + int64(l.headLen()) }

func (l *location) live() bool { return l.packed&flagLive != 0 }

func (l *location) has(flag uint64) bool { return l.packed&flag != 0 }

// align rounds n up to a multiple of 8, the unit of offset8.
func align(n int64) int64 { return (n + 7) &^ 7 }

// appendTo appends the encoding of the location on disk.
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
