package learnedstate

import (
	"errors"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	spool "indigospool"
	"indigospool/internal/proxy/engine"
)

func gates(t *rapid.T) spool.GateMemory {
	f := rapid.Float64Range(-1e9, 1e9)
	return spool.GateMemory{Room: f.Draw(t, "room"), Tardy: f.Draw(t, "tardy"), Cut: f.Draw(t, "cut"), Next: f.Draw(t, "next")}
}

var memories = rapid.Custom(func(t *rapid.T) *engine.Memory {
	f := rapid.OneOf(rapid.Float64Range(-1e12, 1e12), rapid.Just(math.Pi), rapid.Just(0.1))
	name := rapid.StringN(1, 9, 40)
	m := &engine.Memory{Rev: rapid.Int64Min(0).Draw(t, "rev"), Module: &spool.Memory{At: f.Draw(t, "at"), Link: gates(t), Mean: f.Draw(t, "mean")}}
	o := m.Module
	for range rapid.IntRange(1, 4).Draw(t, "members") {
		id := name.Draw(t, "id")
		row := spool.Member{ID: id, Zone: name.Draw(t, "zone"), Kind: "box", State: spool.Draining, Size: f.Draw(t, "size"), ReadyAt: f.Draw(t, "ready")}
		m.Members = append(m.Members, engine.Known{Member: row, Address: name.Draw(t, "address"), Start: rapid.Int64().Draw(t, "start")})
		o.Members = append(o.Members, spool.MemberMemory{Member: row, Gate: gates(t), Gone: rapid.Bool().Draw(t, "gone"), Faults: f.Draw(t, "faults"), Tokens: f.Draw(t, "tokens")})
		o.Objects[0] = append(o.Objects[0], spool.ObjectMemory{Name: id, First: f.Draw(t, "first")})
		o.Typical = append(o.Typical, f.Draw(t, "typical"))
		o.Layout.Edges = append(o.Layout.Edges, id)
		o.Layout.Splits = append(o.Layout.Splits, rapid.Int().Draw(t, "split"))
	}
	o.Purges = map[string]float64{name.Draw(t, "object"): f.Draw(t, "purged")}
	o.Groups = map[int]float64{rapid.IntRange(-5, 5).Draw(t, "group"): f.Draw(t, "of group")}
	return m
})

// What is written is read again, to the last bit.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := memories.Draw(t, "memory")
		b, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(b)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("%v:\n%+v\n%+v", err, got, m)
		}
	})
}

// What is cut, changed or of another version is refused.
func TestRefused(t *testing.T) {
	b, err := Encode(memories.Example(1))
	if err != nil {
		t.Fatal(err)
	}
	for i := range b {
		if _, err := Decode(b[:i]); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("%d bytes: %v", i, err)
		}
		bad := append([]byte(nil), b...)
		bad[i] ^= 0x41
		if _, err := Decode(bad); !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrVersion) {
			t.Fatalf("byte %d changed: %v", i, err)
		}
	}
	if _, err := Decode(append(b, 0)); !errors.Is(err, ErrCorrupt) {
		t.Error(err)
	}
	b[len(magic)]++
	if _, err := Decode(b); !errors.Is(err, ErrVersion) {
		t.Error(err)
	}
}
