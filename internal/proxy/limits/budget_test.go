package limits

import (
	"testing"

	"pgregory.net/rapid"
)

// Hundreds of answers that wait stay below the edge of the budget together, thousands
// pass it by their least at most, and one alone has all that it may.
func TestBudgetRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(8<<20, 1<<30).Draw(t, "total")
		n := rapid.Int64Range(1, total/(64<<10)).Draw(t, "answers")
		b := Budget{Total: total}
		held := make([]int64, n)
		for round := 0; round < 20; round++ { // each fills what it may, again and again
			for i := range held {
				if room := int64(b.Room(256 << 10)); room > held[i] {
					b.Add(Answers, room-held[i])
					held[i] = room
				}
			}
		}
		if n <= roomShare && b.Full() || float64(b.Used()) > shedAbove*float64(total)+float64(n*minRoom) {
			t.Fatalf("%d answers fill %d of %d", n, b.Used(), total)
		}
	})
	one := Budget{Total: 64 << 20}
	if got := one.Room(200 << 10); got != 200<<10 {
		t.Error(got)
	}
	if got := (&Budget{}).Room(1 << 20); got != 1<<20 {
		t.Error(got)
	}
	one.Add(Bodies, 1<<30)
	if got := one.Room(1 << 20); got != minRoom {
		t.Error(got)
	}
	if UnaccountedMemory(64<<20) != 24<<20 || UnaccountedMemory(4<<20) != 3<<20 || !MayCloseIdle(200) || MayCloseIdle(199) || !IsStalled(2000) || IsStalled(1999) {
		t.Error(UnaccountedMemory(64<<20), UnaccountedMemory(4<<20))
	}
}
