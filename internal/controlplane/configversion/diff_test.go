package configversion

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"indigospool/internal/config"
)

// For any two lists, applying the deltas to one gives the other; drains come first, and
// a restarted member is removed before it is started.
func TestDiff(t *testing.T) {
	member := rapid.Custom(func(t *rapid.T) config.Member {
		return config.Member{Zone: "z", Kind: "box", Size: float64(rapid.IntRange(1, 2).Draw(t, "size")), Address: "127.0.0.1:1",
			State: rapid.SampledFrom([]string{"serving", "serving", "draining", "removed"}).Draw(t, "state"),
			Start: rapid.IntRange(0, 2).Draw(t, "start")}
	})
	list := func(t *rapid.T, name string) (out []config.Member) {
		for i := range 5 {
			if rapid.Bool().Draw(t, name) {
				m := member.Draw(t, name)
				m.ID = fmt.Sprint("m", i)
				out = append(out, m)
			}
		}
		return out
	}
	rapid.Check(t, func(t *rapid.T) {
		old, new := list(t, "old"), list(t, "new")
		deltas := Diff(old, new)
		got, want := ApplyDeltas(old, deltas), ApplyDeltas(nil, []Delta{{DeltaChanges, new}})
		if !slices.EqualFunc(got, want, isSame) {
			t.Fatalf("from %+v\nby %+v\nto %+v, want %+v", old, deltas, got, want)
		}
		for i, delta := range deltas {
			if delta.Kind == DeltaDrains && i != 0 {
				t.Fatalf("drains are delta %d: %+v", i, deltas)
			}
		}
		last := map[string]config.Member{}
		for _, member := range old {
			last[member.ID] = member
		}
		for _, delta := range deltas {
			for _, member := range delta.Members {
				if before, known := last[member.ID]; known && before.State == "serving" && member.State == "serving" && before.Start != member.Start {
					t.Fatalf("%s was restarted without being removed: %+v", member.ID, deltas)
				}
				last[member.ID] = member
			}
		}
	})
}
