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
	block    = 64
	headLen  = 16
	mark     = 0x314c5053
	kindAdd  = 1
	kindDrop = 2
	kindWord = 3 // a purge
	mostText = 4096
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// entry appends an entry with the payload.
func entry(dst []byte, kind byte, payload []byte) []byte {
	n := (headLen + len(payload) + block - 1) / block
	at := len(dst)
	dst = append(dst, make([]byte, n*block)...)
	b := dst[at:]
	binary.LittleEndian.PutUint32(b, mark)
	binary.LittleEndian.PutUint16(b[8:], uint16(n))
	b[10] = kind
	copy(b[headLen:], payload)
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[8:], castagnoli))
	return dst
}

// entries calls f for each entry in b, and says how many places were damaged, and whether
// entries follow one of them: a crash leaves the end torn of a log that is synced with each
// entry, and nothing before it.
func entries(b []byte, f func(kind byte, payload []byte)) (damaged int, within bool) {
	bad := false
	for at := 0; at < len(b); {
		n := whole(b[at:])
		if n == 0 {
			if !bad {
				damaged++
			}
			bad = true
			at += block
			continue
		}
		within = within || damaged > 0
		bad = false
		f(b[at+10], b[at+headLen:at+n])
		at += n
	}
	return damaged, within
}

// whole is the length of the entry that b begins with; 0: there is none that is whole.
func whole(b []byte) int {
	if len(b) < block || binary.LittleEndian.Uint32(b) != mark {
		return 0
	}
	n := int(binary.LittleEndian.Uint16(b[8:])) * block
	if n == 0 || n > len(b) || crc32.Checksum(b[8:n], castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return 0
	}
	return n
}

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
func (p *place) meta() int   { return int(p.lens >> 40 & mostMeta) }
func (p *place) rank() int   { return int(p.lens >> 56 & 3) }
func (p *place) size() int64 { return align(int64(p.meta()) + p.body()) }
func (p *place) live() bool  { return p.lens&flagLive != 0 }

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

// Scope is what a purge names.
type Scope uint8

// The scopes.
const (
	ByObject Scope = iota + 1 // all copies of an object: Text
	ByGroup                   // of a group: Group
	ByTag                     // that carry a tag: Text
	ByPrefix                  // whose key begins so: Text
	byHash                    // of an object, by its hash: Text, 8 bytes
	byNumber                  // of nothing: it says only that numbers went so far
)

// Purge voids copies. Number is the store's own, in the order in which it took them.
// With a Version, copies of that and later ones of the origin's are good, whenever they
// were fetched, and all earlier ones void; with none, all whose fill began before it.
type Purge struct {
	Number  uint64
	Scope   Scope
	Text    string
	Group   int32
	Version int64
}

func (w *Purge) append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint64(b, w.Number)
	b = binary.LittleEndian.AppendUint64(b, uint64(w.Version))
	b = append(b, byte(w.Scope))
	b = binary.LittleEndian.AppendUint32(b, uint32(w.Group))
	b = binary.LittleEndian.AppendUint16(b, uint16(len(w.Text)))
	return append(b, w.Text...)
}

func readPurge(b []byte) (w Purge, ok bool) {
	if len(b) < 23 {
		return w, false
	}
	n := int(binary.LittleEndian.Uint16(b[21:]))
	if len(b) < 23+n {
		return w, false
	}
	return Purge{Number: binary.LittleEndian.Uint64(b), Version: int64(binary.LittleEndian.Uint64(b[8:])), Scope: Scope(b[16]),
		Group: int32(binary.LittleEndian.Uint32(b[17:])), Text: string(b[23 : 23+n])}, true
}
