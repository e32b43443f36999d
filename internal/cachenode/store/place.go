package store

import (
	"encoding/binary"
)

// place is where a copy is, and what of it is kept in memory.
type place struct {
	keyHash    uint64 // of the key
	objectHash uint64 // hash of what a purge names
	sincePurge uint64 // number of the last purge when its fill began
	segment    uint32
	offset8    uint32 // in the segment, in units of 8 bytes
	packed     uint64 // 40 bits of body, 16 of meta, 2 of rank, flags
	bodyCRC    uint32 // of the body
	group      int32
}

const (
	flagVerified  = 1 << 58 // its checksum was seen to be right since the start
	flagUsed      = 1 << 59 // it was found since it was written
	flagLive      = 1 << 60
	flagConfirmed = 1 << 62 // it was kept, or found good by its source, since the start: no purge was missed
	flagRewritten = 1 << 61 // it was written anew once, and not found since
	maxBodyLen    = 1<<40 - 1
	maxMetaLen    = 1<<16 - 1
)

func (p *place) bodyLen() int64 { return int64(p.packed & maxBodyLen) }

func (p *place) metaLen() int { return int(p.packed >> 40 & maxMetaLen) }

func (p *place) rank() int { return int(p.packed >> 56 & 3) }

func (p *place) size() int64 { return align(int64(p.metaLen()) + p.bodyLen()) }

func (p *place) live() bool { return p.packed&flagLive != 0 }

func packLengths(body int64, meta, rank int) uint64 {
	return uint64(body) | uint64(meta)<<40 | uint64(rank&3)<<56
}

func align(n int64) int64 { return (n + 7) &^ 7 }

// append appends the payload of an add.
func (p *place) append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint64(b, p.keyHash)
	b = binary.LittleEndian.AppendUint64(b, p.objectHash)
	b = binary.LittleEndian.AppendUint64(b, p.sincePurge)
	b = binary.LittleEndian.AppendUint32(b, p.segment)
	b = binary.LittleEndian.AppendUint32(b, p.offset8)
	b = binary.LittleEndian.AppendUint64(b, p.packed&(1<<58-1))
	b = binary.LittleEndian.AppendUint32(b, p.bodyCRC)
	return binary.LittleEndian.AppendUint32(b, uint32(p.group))
}

const placeLen = 48

func readPlace(b []byte) (p place, ok bool) {
	if len(b) < placeLen {
		return p, false
	}
	return place{keyHash: binary.LittleEndian.Uint64(b), objectHash: binary.LittleEndian.Uint64(b[8:]), sincePurge: binary.LittleEndian.Uint64(b[16:]),
		segment: binary.LittleEndian.Uint32(b[24:]), offset8: binary.LittleEndian.Uint32(b[28:]), packed: binary.LittleEndian.Uint64(b[32:]) & (1<<58 - 1),
		bodyCRC: binary.LittleEndian.Uint32(b[40:]), group: int32(binary.LittleEndian.Uint32(b[44:]))}, true
}
