package store

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"io"
)

// Meta is what is known of a copy beside its bytes.
type Meta struct {
	Key     string            `json:"k"`
	Object  string            `json:"o"` // what a purge names
	Group   int32             `json:"g,omitempty"`
	Tags    []string          `json:"t,omitempty"`
	Version int64             `json:"v,omitempty"` // the origin's; 0: not known
	Born    int64             `json:"b,omitempty"` // when the origin gave it, Unix ms: only for its age
	Fresh   int64             `json:"f,omitempty"` // ms; 0: until purged
	Rank    int               `json:"r,omitempty"` // 1 to 3: those of 3 go last
	Fields  map[string]string `json:"h,omitempty"` // of the answer's head
}

func (s *Store) readMeta(g *segment, p *place) (*Meta, error) {
	if g.file == nil {
		return nil, g.fault
	}
	b := make([]byte, p.metaLen())
	if _, err := g.file.ReadAt(b, int64(p.offset8)*8); err != nil && err != io.EOF {
		return nil, err
	}
	return parseMeta(b)
}

// parseMeta reads a head, which begins with its own checksum.
func parseMeta(b []byte) (*Meta, error) {
	if len(b) < 4 || crc32.Checksum(b[4:], castagnoli) != binary.LittleEndian.Uint32(b) {
		return nil, ErrCorrupt
	}
	m := &Meta{}
	if err := json.Unmarshal(b[4:], m); err != nil {
		return nil, ErrCorrupt
	}
	return m, nil
}
