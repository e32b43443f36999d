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

// A version's entry has the key versionKey and the value
//
//	checksum of key and rest (32 bytes) | length of header (4 bytes, big endian) | header (JSON) | body
//
// The state of a service has the key stateKey and the value
//
//	checksum of key and rest (32 bytes) | text

const (
	keySize          = 8 // of a version's key
	headerLengthSize = 4
)

// header precedes a version's body in its entry.
type header struct {
	Sum    string    `json:"sum"`
	Stored time.Time `json:"stored"` // by the wall clock, since the store outlives other clocks of the machine
	bootReading
}

var errEntryTooShort = errors.New("configstore: an entry is too short")

// versionKey returns the key of a version. Keys sort in the order of the numbers.
func versionKey(number int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(number)) }

// checksum returns the checksum of an entry including its key. A version's own checksum
// covers only its body, but a corrupt number is as harmful as a corrupt body.
func checksum(key, rest []byte) [sha256.Size]byte {
	return sha256.Sum256(append(slices.Clone(key), rest...))
}

// addChecksum returns the value of an entry: the checksum followed by rest.
func addChecksum(key, rest []byte) []byte {
	sum := checksum(key, rest)
	return append(sum[:], rest...)
}

// verify checks an entry's checksum and returns the value without it.
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

// encodeVersion returns the value of a version's entry, stored at time now.
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

// decodeVersion checks and decodes a version's entry.
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
		return configversion.Version{}, stored, fmt.Errorf("configstore: version %d does not match its checksum", version.Number)
	}
	return version, stored, nil
}
