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

// gateMemory returns a random concurrency limit.
func gateMemory(t *rapid.T) spool.LimitSnapshot {
	number := rapid.Float64Range(-1e9, 1e9)
	return spool.LimitSnapshot{Limit: number.Draw(t, "room"), SlowShare: number.Draw(t, "tardy"), LoweredAt: number.Draw(t, "cut"), NextStart: number.Draw(t, "next")}
}

// learnedStates generates random states, with each field set.
var learnedStates = rapid.Custom(func(t *rapid.T) *engine.LearnedState {
	number := rapid.OneOf(rapid.Float64Range(-1e12, 1e12), rapid.Just(math.Pi), rapid.Just(0.1))
	name := rapid.StringN(1, 9, 40)
	state := &engine.LearnedState{Rev: rapid.Int64Min(0).Draw(t, "rev"), Module: &spool.Snapshot{At: number.Draw(t, "at"), Link: gateMemory(t), MeanSendTime: number.Draw(t, "mean")}}
	module := state.Module
	for range rapid.IntRange(1, 4).Draw(t, "members") {
		id := name.Draw(t, "id")
		row := spool.Member{ID: id, Zone: name.Draw(t, "zone"), Kind: "box", State: spool.Draining, Size: number.Draw(t, "size"), ReadyAt: number.Draw(t, "ready")}
		state.Members = append(state.Members, engine.ListedMember{Member: row, Address: name.Draw(t, "address"), Start: rapid.Int64().Draw(t, "start")})
		module.Members = append(module.Members, spool.MemberSnapshot{Member: row, Limit: gateMemory(t), Unavailable: rapid.Bool().Draw(t, "gone"), FaultShare: number.Draw(t, "faults"), Tokens: number.Draw(t, "tokens")})
		module.ObjectDepths[0] = append(module.ObjectDepths[0], spool.ObjectSnapshot{Name: id, FirstParts: number.Draw(t, "first")})
		module.TypicalRate = append(module.TypicalRate, number.Draw(t, "typical"))
		module.Layout.Caches = append(module.Layout.Caches, id)
		module.Layout.Splits = append(module.Layout.Splits, rapid.Int().Draw(t, "split"))
	}
	module.ObjectPurges = map[string]float64{name.Draw(t, "object"): number.Draw(t, "purged")}
	module.GroupPurges = map[int]float64{rapid.IntRange(-5, 5).Draw(t, "group"): number.Draw(t, "of group")}
	return state
})

// TestEncodeDecodeRoundTrip checks that decoding returns the encoded state without any change.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := learnedStates.Draw(t, "state")
		snapshot, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(snapshot)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("error %v, got\n%+v\nwant\n%+v", err, got, want)
		}
	})
}

// TestDecodeRejectsCorruptOrOtherVersion checks that Decode returns ErrCorrupt or ErrVersion for a
// snapshot that is truncated, changed in any byte, too long or of another version.
func TestDecodeRejectsCorruptOrOtherVersion(t *testing.T) {
	snapshot, err := Encode(learnedStates.Example(1))
	if err != nil {
		t.Fatal(err)
	}
	for i := range snapshot {
		if _, err := Decode(snapshot[:i]); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("truncated to %d bytes: %v, want ErrCorrupt", i, err)
		}
		changed := append([]byte(nil), snapshot...)
		changed[i] ^= 0x41
		if _, err := Decode(changed); !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrVersion) {
			t.Fatalf("byte %d changed: %v, want ErrCorrupt or ErrVersion", i, err)
		}
	}
	if _, err := Decode(append(snapshot, 0)); !errors.Is(err, ErrCorrupt) {
		t.Error(err)
	}
	snapshot[versionOffset]++
	if _, err := Decode(snapshot); !errors.Is(err, ErrVersion) {
		t.Error(err)
	}
}
