package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

// ErrStreamUnusable says that a connection is to be closed: the rest of it cannot be read,
// or events are missing.
var ErrStreamUnusable = errors.New("discovery: stream unusable")

// A frame is its length, an event's number, a kind and a payload, all numbers big-endian.
const (
	lengthBytes      = 4
	numberBytes      = 8
	headerBytes      = lengthBytes + numberBytes + 1
	endpointBytes    = 27
	objectPurgeBytes = 16
	groupPurgeBytes  = 10
	maxEndpoints     = 20000
	maxFrameBytes    = headerBytes + endpointBytes*maxEndpoints
	maxRetainedBytes = 64 << 10 // of the buffer of a Decoder, between frames
)

// frameKind is the kind of a frame.
type frameKind uint8

const (
	upToDateFrame frameKind = iota // there is no event after the number
	snapshotFrame
	deltaFrame
	objectPurgeFrame
	groupPurgeFrame
)

// String returns the kind in words.
func (k frameKind) String() string {
	switch k {
	case upToDateFrame:
		return "up to date"
	case snapshotFrame:
		return "snapshot"
	case deltaFrame:
		return "delta"
	case objectPurgeFrame:
		return "object purge"
	case groupPurgeFrame:
		return "group purge"
	}
	return fmt.Sprintf("unknown kind %d", uint8(k))
}

// Decoder reads the connections to the discovery server, one after another.
type Decoder struct {
	Zones, Kinds []string // the names of what frames number, by the settings
	LastNumber   uint64   // of the last event; 0: there was none
	UpToDate     uint64   // frames so far that said that there is no later event

	buffer []byte // a frame that has come in part
}

// Resume starts on a new connection: a frame that has come in part is dropped. It returns
// what to write first, which asks for the events after the last one.
func (d *Decoder) Resume() []byte {
	d.buffer = d.buffer[:0]
	return binary.BigEndian.AppendUint64(nil, d.LastNumber)
}

// Decode adds bytes of the connection and calls apply with each new event. A frame is used
// as a whole or not at all, and an event only after the one before it. On an error, which
// wraps ErrStreamUnusable, the connection is to be closed; events before it count.
func (d *Decoder) Decode(data []byte, apply func(Event)) error {
	d.buffer = append(d.buffer, data...)
	used := 0
	defer func() { d.discard(used) }()
	for len(d.buffer)-used >= lengthBytes {
		rest := d.buffer[used:]
		size := int64(binary.BigEndian.Uint32(rest)) + lengthBytes
		if size < headerBytes || size > maxFrameBytes {
			return fmt.Errorf("%w: a frame of %d bytes after event %d, want %d to %d", ErrStreamUnusable, size, d.LastNumber, headerBytes, maxFrameBytes)
		}
		if int64(len(rest)) < size {
			return nil
		}
		event, err := d.decodeFrame(rest[lengthBytes:size])
		if err != nil {
			return err
		}
		used += int(size)
		if event != nil {
			d.LastNumber = event.Number
			apply(*event)
		}
	}
	return nil
}

// discard drops what has been used, and the capacity that a long list took once all is used.
func (d *Decoder) discard(used int) {
	d.buffer = d.buffer[:copy(d.buffer, d.buffer[used:])]
	if len(d.buffer) == 0 && cap(d.buffer) > maxRetainedBytes {
		d.buffer = nil
	}
}

// decodeFrame reads what follows a frame's length; nil: it has no new event.
func (d *Decoder) decodeFrame(data []byte) (*Event, error) {
	number := binary.BigEndian.Uint64(data)
	kind := frameKind(data[numberBytes])
	payload := data[numberBytes+1:]
	switch {
	case kind > groupPurgeFrame:
		return nil, fmt.Errorf("%w: event %d is of %v", ErrStreamUnusable, number, kind)
	case kind == upToDateFrame && number == d.LastNumber:
		d.UpToDate++
		return nil, nil
	case number <= d.LastNumber:
		return nil, nil
	case kind == upToDateFrame, number != d.LastNumber+1 && kind != snapshotFrame:
		return nil, fmt.Errorf("%w: event %d follows %d", ErrStreamUnusable, number, d.LastNumber)
	}
	if !payloadFits(kind, len(payload)) {
		return nil, fmt.Errorf("%w: event %d, %v, has %d bytes", ErrStreamUnusable, number, kind, len(payload))
	}
	event := &Event{Number: number}
	switch kind {
	case objectPurgeFrame:
		event.Object = fmt.Sprintf("%016x", binary.BigEndian.Uint64(payload))
		event.PurgedAt = int64(binary.BigEndian.Uint64(payload[8:]))
		return event, nil
	case groupPurgeFrame:
		event.Group = int(binary.BigEndian.Uint16(payload))
		event.PurgedAt = int64(binary.BigEndian.Uint64(payload[2:]))
		return event, nil
	case snapshotFrame:
		event.Kind = Snapshot
	case deltaFrame:
		event.Kind = Delta
	}
	event.Endpoints = make([]Endpoint, 0, len(payload)/endpointBytes)
	for ; len(payload) > 0; payload = payload[endpointBytes:] {
		endpoint, err := d.decodeEndpoint(payload[:endpointBytes])
		if err != nil {
			return nil, fmt.Errorf("%w: event %d: %w", ErrStreamUnusable, number, err)
		}
		event.Endpoints = append(event.Endpoints, endpoint)
	}
	return event, nil
}

// payloadFits reports whether a frame of a kind with an event may have a payload of so many bytes.
func payloadFits(kind frameKind, size int) bool {
	switch kind {
	case objectPurgeFrame:
		return size == objectPurgeBytes
	case groupPurgeFrame:
		return size == groupPurgeBytes
	}
	return size%endpointBytes == 0
}

// decodeEndpoint reads one endpoint of a list: id, address, port, state, zone, kind, cell,
// weight in thousandths, and time of its late start.
func (d *Decoder) decodeEndpoint(data []byte) (Endpoint, error) {
	state, zone, kind := State(data[10]), int(data[11]), int(data[12])
	if state > Removed || zone >= len(d.Zones) || kind >= len(d.Kinds) {
		return Endpoint{}, fmt.Errorf("an endpoint has state %d, zone %d, kind %d", state, zone, kind)
	}
	ip := netip.AddrFrom4([4]byte(data[4:8]))
	return Endpoint{
		ID:        fmt.Sprintf("s-%08x", binary.BigEndian.Uint32(data)),
		Address:   netip.AddrPortFrom(ip, binary.BigEndian.Uint16(data[8:])).String(),
		State:     state,
		Zone:      d.Zones[zone],
		Kind:      d.Kinds[kind],
		Cell:      int(binary.BigEndian.Uint16(data[13:])),
		Weight:    float64(binary.BigEndian.Uint32(data[15:])) / 1000,
		StartedAt: int64(binary.BigEndian.Uint64(data[19:])),
	}, nil
}
