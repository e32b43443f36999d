// Package learnedstate encodes what a router has learned (latencies, capacities, outliers,
// purges) for the process that replaces it, and for the journal, with a version and a
// checksum: what is corrupt or of another version is rejected as a whole.
//
// It is a codec: it holds no state and decides nothing. Package hotrestart carries the bytes
// to a successor, package journal keeps them in records, and package engine and the root
// module take the state and restore it.
package learnedstate

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	spool "indigospool"
	"indigospool/internal/proxy/engine"
)

// Version is that of the encoding. A successor that reads another one starts without learned state.
const Version = 1

// A snapshot is a header, and the state as CBOR behind it:
//
//	0  magic "SPOOLM"
//	6  version (2 bytes, little endian as all of the header)
//	8  length of the CBOR (4 bytes)
//	12 its CRC-32C (4 bytes)
const (
	magic       = "SPOOLM"
	versionAt   = len(magic)
	lengthAt    = versionAt + 2
	checksumAt  = lengthAt + 4
	headerBytes = checksumAt + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt says that the bytes are not a complete snapshot, as it was encoded.
var ErrCorrupt = errors.New("learned state: corrupt or incomplete")

// ErrVersion says that the snapshot is of another version of the encoding.
var ErrVersion = errors.New("learned state: of another version")

// Encode encodes an engine's learned state.
func Encode(state *engine.LearnedState) ([]byte, error) { return encode(state) }

// Decode decodes an engine's learned state. The error is an ErrCorrupt or ErrVersion; the
// state is then not to be used.
func Decode(snapshot []byte) (*engine.LearnedState, error) {
	state := &engine.LearnedState{}
	return state, decode(snapshot, state)
}

// EncodeModule encodes the decision module's learned state, as journals keep it.
func EncodeModule(state *spool.Memory) ([]byte, error) { return encode(state) }

// DecodeModule decodes the decision module's learned state, with the errors of Decode.
func DecodeModule(snapshot []byte) (*spool.Memory, error) {
	state := &spool.Memory{}
	return state, decode(snapshot, state)
}

func encode(state any) ([]byte, error) {
	body, err := cbor.Marshal(state)
	if err != nil {
		return nil, fmt.Errorf("learned state: encode %T: %w", state, err)
	}
	snapshot := make([]byte, 0, headerBytes+len(body))
	snapshot = append(snapshot, magic...)
	snapshot = binary.LittleEndian.AppendUint16(snapshot, Version)
	snapshot = binary.LittleEndian.AppendUint32(snapshot, uint32(len(body)))
	snapshot = binary.LittleEndian.AppendUint32(snapshot, crc32.Checksum(body, castagnoli))
	return append(snapshot, body...), nil
}

func decode(snapshot []byte, state any) error {
	if len(snapshot) < headerBytes || string(snapshot[:versionAt]) != magic {
		return ErrCorrupt
	}
	if version := binary.LittleEndian.Uint16(snapshot[versionAt:]); version != Version {
		return fmt.Errorf("%w: %d, this program reads %d", ErrVersion, version, Version)
	}
	body := snapshot[headerBytes:]
	if int(binary.LittleEndian.Uint32(snapshot[lengthAt:])) != len(body) {
		return ErrCorrupt
	}
	if binary.LittleEndian.Uint32(snapshot[checksumAt:]) != crc32.Checksum(body, castagnoli) {
		return ErrCorrupt
	}
	if err := cbor.Unmarshal(body, state); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}
