// Package feed is the platform's control feed as bytes in memory: frames, and the
// events of the configuration's known, become rows of the list and purges in the order
// of their numbers, each once.
//
// It does no I/O and has no clock. Decoder holds the last number, drops repeats and
// tells a gap; internal/proxy/platform connects, and asks again from the last number.
package discovery

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"regexp"
)

// ErrStreamUnusable says that a connection to the feed is of no further use: the rest of it
// can't be read, or events are missing.
var ErrStreamUnusable = errors.New("feed: broken")

// Endpoint is one cache, parent or origin as told.
type Endpoint struct {
	ID, Address, Zone, Kind string
	Cell                    int
	State                   string // ready, draining or gone
	Weight                  float64
	StartedAt               int64 // Unix ms of its late start; 0: long ago
}

// Event is one numbered event: rows of the list, or a purge of an object or, without
// one, of a group.
type Event struct {
	Number    uint64
	Listed    bool // it is about the list
	Full      bool // the whole of it
	Endpoints []Endpoint
	Object    string
	Group     int
	PurgedAt  int64 // Unix ms of the purge
}

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

type knownEvent struct {
	N       uint64 `json:"n"`
	Members *struct {
		Snapshot  bool `json:"snapshot"`
		Endpoints []struct {
			Name    string  `json:"name"`
			Address string  `json:"address"`
			Zone    string  `json:"zone"`
			Type    string  `json:"type"`
			Group   int     `json:"group"`
			Status  string  `json:"status"`
			Weight  float64 `json:"weight"`
			Since   float64 `json:"since_ms"`
		} `json:"endpoints"`
	} `json:"members"`
	Purge *struct {
		Key   string  `json:"key"`
		Group int     `json:"group"`
		At    float64 `json:"at"`
	} `json:"purge"`
}

var memberID = regexp.MustCompile(`^[A-Za-z0-9_.:-]{1,64}$`)

// DecodeKnown reads the configuration's known and calls f with the events past the last one,
// all of them or, on an error, none.
func (r *Decoder) DecodeKnown(raw []byte, f func(Event)) error {
	var k struct {
		N      uint64       `json:"n"`
		Events []knownEvent `json:"events"`
	}
	if err := json.Unmarshal(raw, &k); err != nil {
		return fmt.Errorf("feed: known: %w", err)
	}
	var list []Event
	first := r.LastNumber == 0
	for _, e := range k.Events {
		if e.N <= r.LastNumber {
			continue
		}
		ev := Event{Number: e.N}
		switch {
		case e.Members != nil:
			ev.Listed, ev.Full = true, e.Members.Snapshot || first && len(list) == 0
			for _, m := range e.Members.Endpoints {
				if _, err := netip.ParseAddrPort(m.Address); err != nil || !memberID.MatchString(m.Name) ||
					m.Status != states[0] && m.Status != states[1] && m.Status != states[2] {
					return fmt.Errorf("feed: known: event %d: member %.40q at %.40q is %.20q", e.N, m.Name, m.Address, m.Status)
				}
				ev.Endpoints = append(ev.Endpoints, Endpoint{ID: m.Name, Address: m.Address, Zone: m.Zone, Kind: m.Type, Cell: m.Group,
					State: m.Status, Weight: m.Weight, StartedAt: int64(m.Since)})
			}
		case e.Purge != nil:
			ev.Object, ev.Group, ev.PurgedAt = e.Purge.Key, e.Purge.Group, int64(e.Purge.At)
		default:
			return fmt.Errorf("feed: known: event %d tells nothing", e.N)
		}
		list = append(list, ev)
	}
	for _, ev := range list {
		r.LastNumber = max(r.LastNumber, ev.Number)
		f(ev)
	}
	r.LastNumber = max(r.LastNumber, k.N)
	return nil
}
