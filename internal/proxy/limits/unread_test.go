package limits

import (
	"testing"

	"pgregory.net/rapid"
)

// What the kernel holds: who takes something is never cut before it idles, who idles
// always is, and past the limit it comes down to 0.80 unless only those are left who take.
func TestUnreadAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tails := UnreadAccount{Total: 1 << 20, Idle: 20_000}
		var list []Unread
		for i := range rapid.IntRange(0, 60).Draw(t, "clients") {
			list = append(list, Unread{Index: i, Bytes: rapid.Int64Range(0, 200<<10).Draw(t, "bytes"), Still: rapid.Float64Range(0, 25_000).Draw(t, "still")})
		}
		all := append([]Unread(nil), list...)
		cut := tails.Update(list)
		gone, left, moving := map[int]bool{}, tails.Held, int64(0)
		for _, c := range cut {
			if gone[c.Index] {
				t.Fatalf("%d is cut twice", c.Index)
			}
			gone[c.Index] = true
			left -= c.Bytes
		}
		for _, c := range all {
			switch {
			case c.Bytes == 0 && gone[c.Index]:
				t.Fatalf("%+v is cut, and holds nothing", c)
			case c.Bytes > 0 && c.Still >= tails.Idle && !gone[c.Index]:
				t.Fatalf("%+v is left", c)
			case !IsStalled(c.Still) && gone[c.Index]:
				t.Fatalf("%+v takes something, and is cut", c)
			case !IsStalled(c.Still):
				moving += c.Bytes
			case tails.Held < 900<<10 && c.Still < tails.Idle && gone[c.Index]:
				t.Fatalf("%+v is cut although there is room", c)
			}
		}
		if left > max(moving, 922<<10) {
			t.Fatalf("%d bytes are left, %d of them of those who take some", left, moving)
		}
	})
	free := UnreadAccount{}
	if cut := free.Update([]Unread{{Bytes: 1 << 40, Still: -1}}); len(cut) > 0 || free.Room(0) != 0 || free.Room(512<<10) != 512<<10 {
		t.Error("no limit is set, and one is kept")
	}
	big := UnreadAccount{Total: 160 << 20, Held: 48 << 20}
	if n := big.Room(512 << 10); n != 384<<10 {
		t.Errorf("room of %d", n)
	}
	half := UnreadAccount{Total: 64 << 20, Held: 32 << 20}
	if n := half.Room(512 << 10); n != 128<<10 {
		t.Errorf("room of %d", n)
	}
}
