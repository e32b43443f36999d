// Package learnedstate encodes snapshots of what a router has learned (latencies, capacities,
// outliers, purges) for its successor in a hot restart and for the journal. A snapshot has a
// version and a checksum; one that is corrupt or of another version is rejected as a whole.
//
// The package is a codec and keeps no state. Package hotrestart sends snapshots to a successor,
// package journal stores them in records, and package engine and the root module create and
// restore the state.
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

// Version is the version of the encoding. A successor that reads another version starts without
// learned state.
const Version = 1

// A snapshot is a header followed by the state in CBOR. The header, in little endian:
//
//	0  magic "SPOOLM"
//	6  version (2 bytes)
//	8  length of the CBOR (4 bytes)
//	12 CRC-32C of the CBOR (4 bytes)
const (
	magic          = "SPOOLM"
	versionOffset  = len(magic)
	lengthOffset   = versionOffset + 2
	checksumOffset = lengthOffset + 4
	headerBytes    = checksumOffset + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt means that a snapshot is corrupt or incomplete.
var ErrCorrupt = errors.New("learned state: corrupt or incomplete")

// ErrVersion means that a snapshot has another version of the encoding.
var ErrVersion = errors.New("learned state: of another version")

// Encode encodes an engine's learned state.
func Encode(state *engine.LearnedState) ([]byte, error) { return encode(state) }

// Decode decodes an engine's learned state. Its errors wrap ErrCorrupt or ErrVersion; the state
// must not be used then.
func Decode(snapshot []byte) (*engine.LearnedState, error) {
	state := &engine.LearnedState{}
	return state, decode(snapshot, state)
}

// EncodeModule encodes the decision module's learned state, as journals store it.
func EncodeModule(state *spool.Snapshot) ([]byte, error) { return encode(state) }

// DecodeModule decodes the decision module's learned state, with the errors of Decode.
func DecodeModule(snapshot []byte) (*spool.Snapshot, error) {
	state := &spool.Snapshot{}
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
	if len(snapshot) < headerBytes || string(snapshot[:versionOffset]) != magic {
		return ErrCorrupt
	}
	if version := binary.LittleEndian.Uint16(snapshot[versionOffset:]); version != Version {
		return fmt.Errorf("%w: got %d, want %d", ErrVersion, version, Version)
	}
	body := snapshot[headerBytes:]
	if int(binary.LittleEndian.Uint32(snapshot[lengthOffset:])) != len(body) {
		return ErrCorrupt
	}
	if binary.LittleEndian.Uint32(snapshot[checksumOffset:]) != crc32.Checksum(body, castagnoli) {
		return ErrCorrupt
	}
	if err := cbor.Unmarshal(body, state); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}
