package service

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"indigospool/internal/config"
)

// However settings change, pieces put together are the text to the byte, and the
// pieces that differ lead from one text to the other.
func TestSplitAndJoinPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) []byte {
			if rapid.IntRange(0, 9).Draw(t, name+" is no settings") == 0 {
				return rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, name)
			}
			var s config.Settings
			if err := config.ReadVersion("x", string(settingsText(1, "")), nil, &s); err != nil {
				t.Fatal(err)
			}
			s.Members = nil
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 1, 12, rapid.ID).Draw(t, name) {
				id := fmt.Sprint("b", i)
				if rapid.IntRange(0, 5).Draw(t, "odd id") == 0 {
					id = fmt.Sprint(i, rapid.SampledFrom([]string{" a", ")", "\"", "(", "\n(x", "ä"}).Draw(t, "id"))
				}
				s.Members = append(s.Members, config.Member{ID: id, Zone: "z", Kind: "box", Address: "127.0.0.1:1", State: "serving",
					Size: float64(rapid.IntRange(1, 3).Draw(t, "size"))})
			}
			return Canonical(&s)
		}
		a, b := draw("a"), draw("b")
		pa, pb := splitPieces(a), splitPieces(b)
		if string(joinPieces(pa)) != string(a) || string(joinPieces(pb)) != string(b) {
			t.Fatalf("%q came back as %q", a, joinPieces(pa))
		}
		has := maps.Clone(pa)
		for name, text := range pb {
			if pieceVersion(has[name]) != pieceVersion(text) {
				has[name] = text
			}
		}
		for name := range pa {
			if _, is := pb[name]; !is {
				delete(has, name)
			}
		}
		if string(joinPieces(has)) != string(b) {
			t.Fatalf("from\n%q to\n%q came\n%q", a, b, joinPieces(has))
		}
	})
}

// A change of one member in canonical settings is one piece.
func TestOneMemberIsOnePiece(t *testing.T) {
	a, b := splitPieces(canonical(t, 12, "")), splitPieces(canonical(t, 13, ""))
	if len(a) < 12 || len(b) != len(a)+1 {
		t.Fatalf("%d and %d pieces", len(a), len(b))
	}
	for name := range a {
		if a[name] != b[name] {
			t.Errorf("piece %s differs", name)
		}
	}
}
