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
			t.Fatalf("%d answers fill %d of %d", answers, budget.Used(), total)
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
