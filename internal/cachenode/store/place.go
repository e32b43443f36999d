package store

import (
	"encoding/binary"
)

// place is where a copy is, and what of it is kept in memory.
type place struct {
	hash   uint64 // of the key
	object uint64 // hash of what a purge names
	since  uint64 // number of the last purge when its fill began
	seg    uint32
	off    uint32 // in the segment, in units of 8 bytes
	lens   uint64 // 40 bits of body, 16 of meta, 2 of rank, flags
	crc    uint32 // of the body
	group  int32
}

const (
	flagChecked = 1 << 58 // its checksum was seen to be right since the start
	flagUsed    = 1 << 59 // it was found since it was written
	flagLive    = 1 << 60
	flagKnown   = 1 << 62 // it was kept, or found good by its source, since the start: no purge was missed
	flagMoved   = 1 << 61 // it was written anew once, and not found since
	mostBody    = 1<<40 - 1
	mostMeta    = 1<<16 - 1
)

func (p *place) body() int64 { return int64(p.lens & mostBody) }

func (p *place) meta() int { return int(p.lens >> 40 & mostMeta) }

func (p *place) rank() int { return int(p.lens >> 56 & 3) }

func (p *place) size() int64 { return align(int64(p.meta()) + p.body()) }

func (p *place) live() bool { return p.lens&flagLive != 0 }

func lensOf(body int64, meta, rank int) uint64 {
	return uint64(body) | uint64(meta)<<40 | uint64(rank&3)<<56
}

func align(n int64) int64 { return (n + 7) &^ 7 }

// append appends the payload of an add.
func (p *place) append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint64(b, p.hash)
	b = binary.LittleEndian.AppendUint64(b, p.object)
	b = binary.LittleEndian.AppendUint64(b, p.since)
	b = binary.LittleEndian.AppendUint32(b, p.seg)
	b = binary.LittleEndian.AppendUint32(b, p.off)
	b = binary.LittleEndian.AppendUint64(b, p.lens&(1<<58-1))
	b = binary.LittleEndian.AppendUint32(b, p.crc)
	return binary.LittleEndian.AppendUint32(b, uint32(p.group))
}

const addLen = 48

func readPlace(b []byte) (p place, ok bool) {
	if len(b) < addLen {
		return p, false
	}
	return place{hash: binary.LittleEndian.Uint64(b), object: binary.LittleEndian.Uint64(b[8:]), since: binary.LittleEndian.Uint64(b[16:]),
		seg: binary.LittleEndian.Uint32(b[24:]), off: binary.LittleEndian.Uint32(b[28:]), lens: binary.LittleEndian.Uint64(b[32:]) & (1<<58 - 1),
		crc: binary.LittleEndian.Uint32(b[40:]), group: int32(binary.LittleEndian.Uint32(b[44:]))}, true
}
