// Package memory writes what a router's decision module has learned as bytes, and
// reads it again: with a version, and sealed by a checksum, so that what is damaged
// or of another program is refused whole. It holds no state and decides nothing.
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

// Version is that of the form. Another one is refused: a successor that can't read
// it starts as new.
const Version = 1

const (
	magic   = "SPOOLM"
	headLen = len(magic) + 2 + 4 + 4 // version, length and checksum of what follows
)

var table = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged says that bytes are not what was written, whole.
var ErrCorrupt = errors.New("memory: it is damaged, or not whole")

// ErrVersion says that they are of another version of the form.
var ErrVersion = errors.New("memory: it is of another version")

// Encode writes a core's memory.
func Encode(m *engine.Memory) ([]byte, error) { return encode(m) }

// Decode reads a core's memory. Nothing of one that is refused is used.
func Decode(b []byte) (*engine.Memory, error) {
	m := &engine.Memory{}
	return m, decode(b, m)
}

// EncodeModule writes a module's memory, as journals keep it.
func EncodeModule(m *spool.Memory) ([]byte, error) { return encode(m) }

// DecodeModule reads it.
func DecodeModule(b []byte) (*spool.Memory, error) {
	m := &spool.Memory{}
	return m, decode(b, m)
}

func encode(v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("memory: %w", err)
	}
	out := append([]byte(magic), 0, 0)
	binary.LittleEndian.PutUint16(out[len(magic):], Version)
	out = binary.LittleEndian.AppendUint32(out, uint32(len(body)))
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(body, table))
	return append(out, body...), nil
}

func decode(b []byte, v any) error {
	if len(b) < headLen || string(b[:len(magic)]) != magic {
		return ErrCorrupt
	}
	if got := binary.LittleEndian.Uint16(b[len(magic):]); got != Version {
		return fmt.Errorf("%w: %d, this program reads %d", ErrVersion, got, Version)
	}
	body := b[headLen:]
	if int(binary.LittleEndian.Uint32(b[len(magic)+2:])) != len(body) || binary.LittleEndian.Uint32(b[len(magic)+6:]) != crc32.Checksum(body, table) {
		return ErrCorrupt
	}
	if err := cbor.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}
