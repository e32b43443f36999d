package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

// ErrStreamUnusable is the error for malformed data or missing events. The connection must be
// closed.
var ErrStreamUnusable = errors.New("discovery: stream unusable")

// A frame consists of its length, an event number, a kind and a payload. Integers are
// big-endian.
const (
	lengthBytes      = 4
	numberBytes      = 8
	headerBytes      = lengthBytes + numberBytes + 1
	endpointBytes    = 27
	objectPurgeBytes = 16
	groupPurgeBytes  = 10
	maxEndpoints     = 20000
	maxFrameBytes    = headerBytes + endpointBytes*maxEndpoints
	maxRetainedBytes = 64 << 10 // capacity of a Decoder's buffer that is kept between frames
)

// frameKind is the kind of a frame.
type frameKind uint8

const (
	upToDateFrame frameKind = iota // the event with this number is the latest
	snapshotFrame
	deltaFrame
	objectPurgeFrame
	groupPurgeFrame
)

// String returns the name of the kind.
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

// Decoder decodes the data from a discovery server, over successive connections.
type Decoder struct {
	Zones, Kinds   []string // names from the settings, indexed by the numbers in frames
	LastNumber     uint64   // number of the last event; 0 if there was none
	UpToDateFrames uint64   // count of frames that said that LastNumber is the latest event

	buffer []byte // the first part of an incomplete frame
}

// Resume starts decoding a new connection and drops an incomplete frame. It returns the message
// to write first, which requests the events after the last one.
func (d *Decoder) Resume() []byte {
	d.buffer = d.buffer[:0]
	return binary.BigEndian.AppendUint64(nil, d.LastNumber)
}

// Decode decodes data from the connection and calls apply with each new event. A frame is
// applied completely or not at all. The error wraps ErrStreamUnusable; the connection must then
// be closed, but the events before the error have been applied.
func (d *Decoder) Decode(data []byte, apply func(Event)) error {
	d.buffer = append(d.buffer, data...)
	used := 0
	defer func() { d.discard(used) }()
	for len(d.buffer)-used >= lengthBytes {
		rest := d.buffer[used:]
		size := int64(binary.BigEndian.Uint32(rest)) + lengthBytes
		if size < headerBytes || size > maxFrameBytes {
			return fmt.Errorf("%w: frame of %d bytes after event %d, want %d to %d", ErrStreamUnusable, size, d.LastNumber, headerBytes, maxFrameBytes)
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

// discard drops the first used bytes of the buffer. Once the buffer is empty, it frees a
// capacity over maxRetainedBytes, such as a long endpoint list needs.
func (d *Decoder) discard(used int) {
	d.buffer = d.buffer[:copy(d.buffer, d.buffer[used:])]
	if len(d.buffer) == 0 && cap(d.buffer) > maxRetainedBytes {
		d.buffer = nil
	}
}

// decodeFrame decodes a frame without its length. The event is nil if the frame has no new one.
func (d *Decoder) decodeFrame(data []byte) (*Event, error) {
	number := binary.BigEndian.Uint64(data)
	kind := frameKind(data[numberBytes])
	payload := data[numberBytes+1:]
	switch {
	case kind > groupPurgeFrame:
		return nil, fmt.Errorf("%w: event %d has %v", ErrStreamUnusable, number, kind)
	case kind == upToDateFrame && number == d.LastNumber:
		d.UpToDateFrames++
		return nil, nil
	case number <= d.LastNumber:
		return nil, nil
	case kind == upToDateFrame, number != d.LastNumber+1 && kind != snapshotFrame:
		return nil, fmt.Errorf("%w: events are missing, got number %d after %d", ErrStreamUnusable, number, d.LastNumber)
	}
	if !payloadFits(kind, len(payload)) {
		return nil, fmt.Errorf("%w: event %d: %v with a payload of %d bytes", ErrStreamUnusable, number, kind, len(payload))
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

// payloadFits reports whether size is a valid payload size for a frame kind with an event.
func payloadFits(kind frameKind, size int) bool {
	switch kind {
	case objectPurgeFrame:
		return size == objectPurgeBytes
	case groupPurgeFrame:
		return size == groupPurgeBytes
	}
	return size%endpointBytes == 0
}

// decodeEndpoint decodes one endpoint of a list: id, address, port, state, zone, kind, cell,
// weight in thousandths, and start time.
func (d *Decoder) decodeEndpoint(data []byte) (Endpoint, error) {
	state, zone, kind := State(data[10]), int(data[11]), int(data[12])
	if state > Removed || zone >= len(d.Zones) || kind >= len(d.Kinds) {
		return Endpoint{}, fmt.Errorf("endpoint with unknown state %d, zone %d or kind %d", state, zone, kind)
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
