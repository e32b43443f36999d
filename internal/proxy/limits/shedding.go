package limits

import (
	"cmp"
	"slices"
)

// ShedCandidate is a request that holds memory.
type ShedCandidate struct {
	Index      int     // the caller's
	Bytes      int64   // that are free again once it is shed
	Weight     float64 // of its answer now: less once it is late
	Left       float64 // bytes that are still to move, or a guess
	Begun      bool    // its client has part of the answer: it can only be cut
	Idempotent bool    // whether a repeat is surely harmless; others are not shed
}

// ShedOrder sorts holders by who is shed first: those whose answer has not begun before
// those that have, and among them the least worth for the bytes still to move. Those
// whose repeat may do harm are left out.
func ShedOrder(list []ShedCandidate) []ShedCandidate {
	list = slices.DeleteFunc(list, func(h ShedCandidate) bool { return !h.Idempotent || h.Bytes <= 0 })
	slices.SortStableFunc(list, func(a, b ShedCandidate) int {
		if a.Begun != b.Begun {
			if a.Begun {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.Weight/(a.Left+1), b.Weight/(b.Left+1))
	})
	return list
}

// Shed is the first holders of the order that together give back so many bytes.
func Shed(list []ShedCandidate, need int64) []ShedCandidate {
	list = ShedOrder(list)
	for i := range list {
		if need <= 0 {
			return list[:i]
		}
		need -= list[i].Bytes
	}
	return list
}

// idleAfter is for how long, in ms, a connection has to be unused until it counts as idle:
// the request of one that was just made may be on its way.
const idleAfter = 200

// MayCloseIdle reports whether a connection that was unused for so long, in ms, may give way.
func MayCloseIdle(ms float64) bool { return ms >= idleAfter }

// stalledAnswerAfter is for how long, in ms, an answer has to wait for its client before it gives
// way to others.
const stalledAnswerAfter = 1000

// LongStalled is the places of those waits, in ms for a client, that give way to others: the
// longest first.
func LongStalled(waits []float64) (out []int) {
	for i, w := range waits {
		if w >= stalledAnswerAfter {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(waits[b], waits[a]) })
	return out
}
