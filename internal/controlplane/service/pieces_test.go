package service

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"indigospool/internal/config"
)

// For any text, joining its pieces gives the same text. Replacing, adding and removing the
// pieces that differ between two texts transforms the first text into the second.
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
			t.Fatalf("pieces of %q joined: %q; pieces of %q joined: %q; want the same texts", from, joinPieces(fromPieces), to, joinPieces(toPieces))
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
			t.Fatalf("first text\n%q updated to\n%q, want the second text\n%q", from, joinPieces(pieces), to)
		}
	})
}

// In canonical settings, adding a member adds one piece and changes no other.
func TestOneMemberIsOnePiece(t *testing.T) {
	before, after := splitPieces(canonical(t, 12, "")), splitPieces(canonical(t, 13, ""))
	if len(before) < 12 || len(after) != len(before)+1 {
		t.Fatalf("%d pieces with 12 members, %d with 13; want at least 12 and one more", len(before), len(after))
	}
	for name := range before {
		if before[name] != after[name] {
			t.Errorf("piece %s was changed by adding a member: %q, want %q", name, after[name], before[name])
		}
	}
}
