package discovery

import (
	"encoding/binary"
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func frame(n uint64, kind frameKind, payload ...byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, n), byte(kind)), payload...)
}

func newDecoder() *Decoder {
	return &Decoder{Zones: []string{"a", "b"}, Kinds: []string{"box", "parent"}}
}

var row = []byte{0, 0xc4, 0x1f, 0x7a, 10, 1, 0, 9, 0x13, 0xba, 1, 1, 0, 0, 2, 0, 0, 0x0f, 0xa0, 0, 0, 1, 0x9a, 0, 0, 0, 5}

func TestFrames(t *testing.T) {
	purge := frame(2, objectPurgeFrame, 0x7f, 0x3a, 0x9c, 0x21, 0xe0, 0xb4, 0xd6, 0x55, 0, 0, 0, 0, 0, 0, 0, 9)
	group := frame(3, groupPurgeFrame, 0, 17, 0, 0, 0, 0, 0, 0, 0, 8)
	var got []Event
	decoder := newDecoder()
	all := append(append(append(frame(1, snapshotFrame, row...), frame(1, upToDateFrame)...), purge...), append(purge, group...)...)
	if err := decoder.Decode(all, func(e Event) { got = append(got, e) }); err != nil {
		t.Fatal(err)
	}
	want := []Event{{Number: 1, Kind: Snapshot, Endpoints: []Endpoint{{ID: "s-00c41f7a", Address: "10.1.0.9:5050", Zone: "b", Kind: "box", Cell: 2,
		State: Draining, Weight: 4, StartedAt: 0x019a00000005}}}, {Number: 2, Object: "7f3a9c21e0b4d655", PurgedAt: 9}, {Number: 3, Group: 17, PurgedAt: 8}}
	if !reflect.DeepEqual(got, want) || decoder.LastNumber != 3 {
		t.Errorf("got %+v", got)
	}
	for name, b := range map[string][]byte{
		"a gap": frame(5, groupPurgeFrame, 0, 17, 0, 0, 0, 0, 0, 0, 0, 8), "up to date with a later event": frame(4, upToDateFrame), "a truncated endpoint": frame(4, deltaFrame, row[1:]...),
		"a length that is too large": {0xff, 0xff, 0xff, 0xff}, "a length that is too small": {0, 0, 0, 3}, "an unknown kind": frame(4, 9),
		"an unknown state": frame(4, deltaFrame, append(append([]byte{}, row[:10]...), append([]byte{7}, row[11:]...)...)...),
	} {
		decoder := newDecoder()
		decoder.LastNumber = 3
		if err := decoder.Decode(b, func(e Event) { t.Errorf("%s: delivered %+v", name, e) }); !errors.Is(err, ErrStreamUnusable) || decoder.LastNumber != 3 {
			t.Errorf("%s: %v, last %d", name, err, decoder.LastNumber)
		}
	}
}

// TestReconnects checks that each event is delivered once and in order over any number of
// connections that end anywhere and repeat events.
func TestReconnects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		decoder, last := newDecoder(), uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "connections") {
			from := binary.BigEndian.Uint64(decoder.Resume())
			if from != last {
				t.Fatalf("resumed from event %d, want %d", from, last)
			}
			var stream []byte
			for n := from + 1; n < from+4; n++ {
				f := frame(n, groupPurgeFrame, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1)
				for range rapid.IntRange(1, 2).Draw(t, "times") {
					stream = append(stream, f...)
				}
			}
			stream = stream[:rapid.IntRange(0, len(stream)).Draw(t, "until")]
			for len(stream) > 0 {
				k := rapid.IntRange(1, len(stream)).Draw(t, "read")
				if err := decoder.Decode(stream[:k], func(e Event) {
					if e.Number != last+1 {
						t.Fatalf("event %d was delivered after event %d", e.Number, last)
					}
					last = e.Number
				}); err != nil {
					t.Fatal(err)
				}
				stream = stream[k:]
			}
		}
	})
}
