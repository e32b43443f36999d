package service

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"indigospool/internal/config"
)

// For any settings, joining the pieces gives the text to the byte, and the pieces that
// differ transform one text into the other.
func TestSplitAndJoinPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawText := func(name string) []byte {
			if rapid.IntRange(0, 9).Draw(t, name+" is not settings") == 0 {
				return rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, name)
			}
			var settings config.Settings
			if err := config.ReadVersion("x", string(settingsText(1, "")), nil, &settings); err != nil {
				t.Fatal(err)
			}
			settings.Members = nil
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 1, 12, rapid.ID).Draw(t, name) {
				id := fmt.Sprint("b", i)
				if rapid.IntRange(0, 5).Draw(t, "odd id") == 0 {
					id = fmt.Sprint(i, rapid.SampledFrom([]string{" a", ")", "\"", "(", "\n(x", "ä"}).Draw(t, "id"))
				}
				settings.Members = append(settings.Members, config.Member{ID: id, Zone: "z", Kind: "box", Address: "127.0.0.1:1", State: "serving",
					Size: float64(rapid.IntRange(1, 3).Draw(t, "size"))})
			}
			return Canonical(&settings)
		}
		from, to := drawText("a"), drawText("b")
		fromPieces, toPieces := splitPieces(from), splitPieces(to)
		if string(joinPieces(fromPieces)) != string(from) || string(joinPieces(toPieces)) != string(to) {
			t.Fatalf("%q came back as %q", from, joinPieces(fromPieces))
		}
		pieces := maps.Clone(fromPieces)
		for name, text := range toPieces {
			if pieceVersion(pieces[name]) != pieceVersion(text) {
				pieces[name] = text
			}
		}
		for name := range fromPieces {
			if _, is := toPieces[name]; !is {
				delete(pieces, name)
			}
		}
		if string(joinPieces(pieces)) != string(to) {
			t.Fatalf("from\n%q to\n%q came\n%q", from, to, joinPieces(pieces))
		}
	})
}

// In canonical settings, adding a member adds one piece and changes no other.
func TestOneMemberIsOnePiece(t *testing.T) {
	before, after := splitPieces(canonical(t, 12, "")), splitPieces(canonical(t, 13, ""))
	if len(before) < 12 || len(after) != len(before)+1 {
		t.Fatalf("%d and %d pieces", len(before), len(after))
	}
	for name := range before {
		if before[name] != after[name] {
			t.Errorf("piece %s differs", name)
		}
	}
}
