package limits

import (
	"cmp"
	"slices"
)

// Unread is what the kernel still holds of answers for a client: written, and not taken.
type Unread struct {
	Index int     // the caller's
	Bytes int64   // that the kernel holds
	Still float64 // ms since the client has taken some
}

// UnreadAccount is the accounting of what the kernel holds for clients, which no budget of the
// process's memory sees. A Most of 0 is no limit.
type UnreadAccount struct {
	Total int64   // bytes for all clients together
	Idle  float64 // ms after which who takes nothing is cut in any case
	Held  int64   // at the last look
	Peak  int64   // that was ever held at a look
}

// Update takes what is held for each client now, and returns those that are cut: who takes
// nothing for Idle, and past 0.90 of Most who takes nothing for long enough to count as
// one that wastes his place (Unmoved), the most bytes for the longest time first, down to
// 0.80. Who takes something, however little, is left to the least rate.
func (t *UnreadAccount) Update(list []Unread) (cut []Unread) {
	t.Held = 0
	for _, c := range list {
		t.Held += c.Bytes
	}
	t.Peak = max(t.Peak, t.Held)
	left := t.Held
	list = slices.DeleteFunc(list, func(c Unread) bool {
		if c.Still < t.Idle && c.Bytes > 0 {
			return false
		}
		if c.Bytes > 0 {
			cut = append(cut, c)
			left -= c.Bytes
		}
		return true
	})
	if t.Total <= 0 || float64(left) < shedAbove*float64(t.Total) {
		return cut
	}
	list = slices.DeleteFunc(list, func(c Unread) bool { return !IsStalled(c.Still) })
	slices.SortStableFunc(list, func(a, b Unread) int {
		return cmp.Compare(float64(b.Bytes)*b.Still, float64(a.Bytes)*a.Still)
	})
	for _, c := range list {
		if float64(left) <= shedDownTo*float64(t.Total) {
			break
		}
		cut = append(cut, c)
		left -= c.Bytes
	}
	return cut
}

// Room is how much the kernel may hold for a connection that is new: a part of what is
// free, as Budget.Room, at most most and at least leastSocket.
func (t *UnreadAccount) Room(most int) int {
	if most <= minSocketBytes {
		return most // 0: no limit is set
	}
	b := Budget{Total: t.Total, sum: t.Held}
	return max(b.Room(most), minSocketBytes)
}

// minSocketBytes gives a client that is 50 ms away 2.5 MB a second.
const minSocketBytes = 128 << 10
