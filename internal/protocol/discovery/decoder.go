// Package feed is the platform's control feed as bytes in memory: frames, and the
// events of the configuration's known, become rows of the list and purges in the order
// of their numbers, each once.
//
// It does no I/O and has no clock. Decoder holds the last number, drops repeats and
// tells a gap; internal/proxy/platform connects, and asks again from the last number.
package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

// ErrStreamUnusable says that a connection to the feed is of no further use: the rest of it
// can't be read, or events are missing.
var ErrStreamUnusable = errors.New("feed: broken")

const (
	headBytes = 4 + 8 + 1
	rowBytes  = 27
	maxRows   = 20000
	maxFrame  = headBytes + rowBytes*maxRows
	keepBytes = 64 << 10 // of room that a reader keeps
)

// The kinds of a frame.
const (
	nothing = iota
	wholeList
	changes
	objectPurge
	groupPurge
)

var states = [...]string{"ready", "draining", "gone"}

// Decoder takes the bytes of connections to the feed, one after another.
type Decoder struct {
	Zones, Kinds []string // as the settings list them
	LastNumber   uint64   // number of the last event
	UpToDate     uint64   // frames so far that told that there is nothing after it
	buf          []byte
}

// Resume starts on a new connection: what was half read is dropped. It returns what to
// write first.
func (r *Decoder) Resume() []byte {
	r.buf = r.buf[:0]
	return binary.BigEndian.AppendUint64(nil, r.LastNumber)
}

// Decode adds bytes and calls f with each new event. A frame is used whole or not at
// all, and an event only after the one before it. On an error the connection is to be
// closed; what was told before it counts.
func (r *Decoder) Decode(b []byte, f func(Event)) error {
	r.buf = append(r.buf, b...)
	used := 0
	defer func() { r.use(used) }()
	for len(r.buf)-used >= 4 {
		rest := r.buf[used:]
		n := int64(binary.BigEndian.Uint32(rest)) + 4
		if n < headBytes || n > maxFrame {
			return fmt.Errorf("%w: a frame of %d bytes", ErrStreamUnusable, n)
		}
		if int64(len(rest)) < n {
			return nil
		}
		ev, err := r.frame(rest[4:n])
		if err != nil {
			return err
		}
		used += int(n)
		if ev != nil {
			r.LastNumber = ev.Number
			f(*ev)
		}
	}
	return nil
}

// use drops what has been read, and the room of a long list once it is whole.
func (r *Decoder) use(n int) {
	r.buf = r.buf[:copy(r.buf, r.buf[n:])]
	if len(r.buf) == 0 && cap(r.buf) > keepBytes {
		r.buf = nil
	}
}

// frame reads what follows a frame's length; nil: it tells nothing new.
func (r *Decoder) frame(b []byte) (*Event, error) {
	ev := &Event{Number: binary.BigEndian.Uint64(b)}
	kind, b := b[8], b[9:]
	switch {
	case kind > groupPurge:
		return nil, fmt.Errorf("%w: event %d is of the unknown kind %d", ErrStreamUnusable, ev.Number, kind)
	case kind == nothing && ev.Number == r.LastNumber:
		r.UpToDate++
		return nil, nil
	case ev.Number <= r.LastNumber:
		return nil, nil
	case kind == nothing, ev.Number != r.LastNumber+1 && kind != wholeList:
		return nil, fmt.Errorf("%w: event %d follows %d", ErrStreamUnusable, ev.Number, r.LastNumber)
	}
	want := map[byte]int{objectPurge: 16, groupPurge: 10}[kind]
	if kind == wholeList || kind == changes {
		want = len(b) / rowBytes * rowBytes
	}
	if len(b) != want {
		return nil, fmt.Errorf("%w: event %d of kind %d has %d bytes", ErrStreamUnusable, ev.Number, kind, len(b))
	}
	switch kind {
	case objectPurge:
		ev.Object, ev.PurgedAt = fmt.Sprintf("%016x", binary.BigEndian.Uint64(b)), int64(binary.BigEndian.Uint64(b[8:]))
		return ev, nil
	case groupPurge:
		ev.Group, ev.PurgedAt = int(binary.BigEndian.Uint16(b)), int64(binary.BigEndian.Uint64(b[2:]))
		return ev, nil
	}
	ev.Listed, ev.Full = true, kind == wholeList
	ev.Endpoints = make([]Endpoint, 0, len(b)/rowBytes)
	for ; len(b) > 0; b = b[rowBytes:] {
		state, zone, kind := int(b[10]), int(b[11]), int(b[12])
		if state >= len(states) || zone >= len(r.Zones) || kind >= len(r.Kinds) {
			return nil, fmt.Errorf("%w: event %d has state %d, zone %d, kind %d", ErrStreamUnusable, ev.Number, state, zone, kind)
		}
		ip := netip.AddrFrom4([4]byte(b[4:8]))
		ev.Endpoints = append(ev.Endpoints, Endpoint{
			ID:      fmt.Sprintf("s-%08x", binary.BigEndian.Uint32(b)),
			Address: netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[8:])).String(),
			State:   states[state], Zone: r.Zones[zone], Kind: r.Kinds[kind],
			Cell:   int(binary.BigEndian.Uint16(b[13:])),
			Weight: float64(binary.BigEndian.Uint32(b[15:])) / 1000, StartedAt: int64(binary.BigEndian.Uint64(b[19:])),
		})
	}
	return ev, nil
}
