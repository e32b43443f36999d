package store

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
)

// Meta is what is stored of an object beside its body.
type Meta struct {
	Key         string            `json:"k"`           // of the lookup
	Object      string            `json:"o"`           // that a purge names
	Group       int32             `json:"g,omitempty"` // that a purge names
	Tags        []string          `json:"t,omitempty"` // that a purge names
	Version     int64             `json:"v,omitempty"` // the origin's; 0: not known
	GeneratedAt int64             `json:"b,omitempty"` // when the origin generated it, Unix ms: only for its age
	Lifetime    int64             `json:"f,omitempty"` // for how long from Born, ms; 0: until it is purged
	Rank        int               `json:"r,omitempty"` // 1 to 3: those of 3 are evicted last
	Fields      map[string]string `json:"h,omitempty"` // of the response's head
}

// checksumLen is the length of the CRC-32C before the JSON of a head on disk.
const checksumLen = 4

// encodeMeta encodes a head as it is on disk: a checksum, and the JSON behind it.
func encodeMeta(meta *Meta) ([]byte, error) {
	text, err := json.Marshal(meta)
	if err != nil {
		return nil, fmt.Errorf("store: encode the head of %.80q: %w", meta.Key, err)
	}
	head := make([]byte, checksumLen, checksumLen+len(text))
	binary.LittleEndian.PutUint32(head, crc32.Checksum(text, castagnoli))
	return append(head, text...), nil
}

// parseMeta decodes a head; ErrCorrupt where its checksum is wrong.
func parseMeta(head []byte) (*Meta, error) {
	if len(head) < checksumLen || crc32.Checksum(head[checksumLen:], castagnoli) != binary.LittleEndian.Uint32(head) {
		return nil, ErrCorrupt
	}
	meta := &Meta{}
	if err := json.Unmarshal(head[checksumLen:], meta); err != nil {
		return nil, ErrCorrupt
	}
	return meta, nil
}

// readMeta reads a head from its segment; mu need not be held.
func (s *Store) readMeta(seg *segment, loc *location) (*Meta, error) {
	if seg.file == nil {
		return nil, seg.fault
	}
	head := make([]byte, loc.metaLen())
	if _, err := seg.file.ReadAt(head, loc.offset()); err != nil && err != io.EOF {
		return nil, err
	}
	return parseMeta(head)
}
