package limits

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBudgetRoom checks that hundreds of waiting answers together stay below the limit of the
// budget, that thousands exceed it at most by the minimum of each, and that a single answer may
// use its whole limit.
func TestBudgetRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(8<<20, 1<<30).Draw(t, "total")
		answers := rapid.Int64Range(1, total/(64<<10)).Draw(t, "answers")
		budget := Budget{Total: total}
		held := make([]int64, answers)
		for round := 0; round < 20; round++ { // each answer uses all its room, repeatedly
			for i := range held {
				if room := int64(budget.Room(256 << 10)); room > held[i] {
					budget.Add(Answers, room-held[i])
					held[i] = room
				}
			}
		}
		if answers <= roomDivisor && budget.Full() || float64(budget.Used()) > shedAbove*float64(total)+float64(answers*minRoom) {
			t.Fatalf("%d answers use %d of %d bytes; want no more than %v of the total plus the minimum of each, and not full with up to %d answers",
				answers, budget.Used(), total, shedAbove, roomDivisor)
		}
	})
	one := Budget{Total: 64 << 20}
	if got := one.Room(200 << 10); got != 200<<10 {
		t.Errorf("room of a single answer is %d bytes, want its limit of %d", got, 200<<10)
	}
	if got := (&Budget{}).Room(1 << 20); got != 1<<20 {
		t.Errorf("room in a budget without a limit is %d bytes, want %d", got, 1<<20)
	}
	one.Add(Bodies, 1<<30)
	if got := one.Room(1 << 20); got != minRoom {
		t.Errorf("room in an exceeded budget is %d bytes, want %d", got, minRoom)
	}
	if UnaccountedMemory(64<<20) != 24<<20 || UnaccountedMemory(4<<20) != 3<<20 || !MayCloseIdle(200) || MayCloseIdle(199) || !IsStalled(2000) || IsStalled(1999) {
		t.Errorf("unaccounted memory of 64 and 4 MiB: %d and %d bytes, want %d and %d; MayCloseIdle(200, 199): %v, %v, IsStalled(2000, 1999): %v, %v, want true, false of each",
			UnaccountedMemory(64<<20), UnaccountedMemory(4<<20), 24<<20, 3<<20, MayCloseIdle(200), MayCloseIdle(199), IsStalled(2000), IsStalled(1999))
	}
}
