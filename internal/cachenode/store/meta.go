package store

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
)

// Meta is the metadata that is stored with an object, in the head before its body.
type Meta struct {
	Key         string            `json:"k"`           // for lookups, and for purges by prefix
	Object      string            `json:"o"`           // for purges by object
	Group       int32             `json:"g,omitempty"` // for purges by group
	Tags        []string          `json:"t,omitempty"` // for purges by tag
	Version     int64             `json:"v,omitempty"` // stated by the origin; 0: unknown
	GeneratedAt int64             `json:"b,omitempty"` // time at which the origin generated the object, Unix ms; used only for its age
	Lifetime    int64             `json:"f,omitempty"` // time from GeneratedAt during which the object is fresh, ms; 0: until it is purged
	Rank        int               `json:"r,omitempty"` // 1 to 3; objects of rank 3 are evicted last
	Fields      map[string]string `json:"h,omitempty"` // header fields of the response
}

// checksumLen is the length of the CRC-32C before the JSON of a head on disk.
const checksumLen = 4

// encodeHead returns the head of an object on disk: a checksum, followed by JSON.
func encodeHead(meta *Meta) ([]byte, error) {
	text, err := json.Marshal(meta)
	if err != nil {
		return nil, fmt.Errorf("store: encode the head of %.80q: %w", meta.Key, err)
	}
	head := make([]byte, checksumLen, checksumLen+len(text))
	binary.LittleEndian.PutUint32(head, crc32.Checksum(text, castagnoli))
	return append(head, text...), nil
}

// parseHead decodes a head. It returns ErrCorrupt if the checksum does not match.
func parseHead(head []byte) (*Meta, error) {
	if len(head) < checksumLen || crc32.Checksum(head[checksumLen:], castagnoli) != binary.LittleEndian.Uint32(head) {
		return nil, ErrCorrupt
	}
	meta := &Meta{}
	if err := json.Unmarshal(head[checksumLen:], meta); err != nil {
		return nil, ErrCorrupt
	}
	return meta, nil
}

// readHead reads the head of an object from its segment. The caller need not hold mu.
func (s *Store) readHead(seg *segment, loc *location) (*Meta, error) {
	if seg.file == nil {
		return nil, seg.fault
	}
	head := make([]byte, loc.headLen())
	if _, err := seg.file.ReadAt(head, loc.offset()); err != nil && err != io.EOF {
		return nil, err
	}
	return parseHead(head)
}
