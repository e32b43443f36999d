package configstore

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/wallclock"
)

// An entry of a version has the key versionKey and the value
//
//	checksum of key and rest (32 bytes) | length of header (4 bytes, big endian) | header (JSON) | body
//
// and the state of a service has stateKey and the value: checksum (32 bytes) | text.

const (
	keySize          = 8 // of a version's key
	headerLengthSize = 4
)

// header stands before a version's body.
type header struct {
	Sum    string    `json:"sum"`
	Stored time.Time `json:"stored"` // the wall clock: the store outlives the machine's other clocks
	bootReading
}

var errEntryTooShort = errors.New("configstore: an entry is too short")

// versionKey is the key of a version: keys have the order of the numbers.
func versionKey(number int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(number)) }

// checksum is that of an entry with its key: a version's own sum covers
// its body only, and a damaged number is as bad as a damaged body.
func checksum(key, rest []byte) [sha256.Size]byte {
	return sha256.Sum256(append(slices.Clone(key), rest...))
}

// addChecksum is the value of an entry.
func addChecksum(key, rest []byte) []byte {
	sum := checksum(key, rest)
	return append(sum[:], rest...)
}

// verify checks an entry's checksum and takes it off.
func verify(key, value []byte) ([]byte, error) {
	if len(value) < sha256.Size {
		return nil, errEntryTooShort
	}
	sum, rest := value[:sha256.Size], value[sha256.Size:]
	if want := checksum(key, rest); string(sum) != string(want[:]) {
		return nil, fmt.Errorf("configstore: the entry with key %x does not match its checksum", key)
	}
	return rest, nil
}

// encodeVersion is the value of a version's entry that is stored now.
func (s *Store) encodeVersion(version configversion.Version, now time.Time) ([]byte, error) {
	text, err := json.Marshal(header{version.Sum, wallclock.At(now), s.bootReadingAt(now)})
	if err != nil {
		return nil, fmt.Errorf("configstore: encode version %d: %w", version.Number, err)
	}
	rest := binary.BigEndian.AppendUint32(nil, uint32(len(text)))
	rest = append(rest, text...)
	rest = append(rest, version.Body...)
	return addChecksum(versionKey(version.Number), rest), nil
}

// decodeVersion checks a version's entry and reads it.
func decodeVersion(key, value []byte) (version configversion.Version, stored header, err error) {
	rest, err := verify(key, value)
	if err != nil {
		return version, stored, err
	}
	if len(key) != keySize || len(rest) < headerLengthSize {
		return version, stored, errEntryTooShort
	}
	length := int(binary.BigEndian.Uint32(rest))
	rest = rest[headerLengthSize:]
	if length > len(rest) {
		return version, stored, errors.New("configstore: an entry's header is longer than the entry")
	}
	if err := json.Unmarshal(rest[:length], &stored); err != nil {
		return version, stored, fmt.Errorf("configstore: decode an entry's header: %w", err)
	}
	version = configversion.Version{
		Number: int64(binary.BigEndian.Uint64(key)),
		Sum:    stored.Sum,
		Body:   append([]byte(nil), rest[length:]...),
	}
	if configversion.Checksum(version.Body) != version.Sum {
		return configversion.Version{}, stored, fmt.Errorf("configstore: version %d does not match its sum", version.Number)
	}
	return version, stored, nil
}
