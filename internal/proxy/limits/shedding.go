package limits

import (
	"cmp"
	"slices"
)

// After these times, in ms, something may be given up for others.
const (
	idleAfter          = 200  // an unused connection: the request of a new one may be on its way
	stalledAnswerAfter = 1000 // an answer that waits for its client
	stalledAfter       = 2000 // a client that reads nothing: that counts as a bad outcome
)

// ShedCandidate is a request that uses memory and may be shed.
type ShedCandidate struct {
	Index      int     // the caller's
	Bytes      int64   // that are free again once it is shed
	Weight     float64 // priority weight of its answer now: less once it is late
	BytesLeft  float64 // bytes that are still to be moved, or a guess
	Begun      bool    // its client has part of the answer: it can only be cut
	Idempotent bool    // a retry is surely harmless; others are not shed
}

// ShedOrder sorts candidates by what is shed first: those whose answer has not begun before
// those whose has, and among them the least weight for the bytes still to be moved. It leaves
// out those whose retry may do harm. The list's memory is used for the result.
func ShedOrder(list []ShedCandidate) []ShedCandidate {
	list = slices.DeleteFunc(list, func(c ShedCandidate) bool { return !c.Idempotent || c.Bytes <= 0 })
	slices.SortStableFunc(list, func(a, b ShedCandidate) int {
		if a.Begun != b.Begun {
			if a.Begun {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.Weight/(a.BytesLeft+1), b.Weight/(b.BytesLeft+1))
	})
	return list
}

// Shed returns the first candidates in ShedOrder that together give back need bytes, or all.
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

// MayCloseIdle reports whether a connection that was unused for so long, in ms, may be closed
// for others.
func MayCloseIdle(ms float64) bool { return ms >= idleAfter }

// IsStalled reports whether a client that has read nothing of what waits for it for so long,
// in ms, wastes its capacity.
func IsStalled(ms float64) bool { return ms >= stalledAfter }

// LongStalled returns the indexes of those answers that are given up for others, the longest
// stalled first, by how long each has waited for its client, in ms.
func LongStalled(waits []float64) (indexes []int) {
	for i, wait := range waits {
		if wait >= stalledAnswerAfter {
			indexes = append(indexes, i)
		}
	}
	slices.SortStableFunc(indexes, func(a, b int) int { return cmp.Compare(waits[b], waits[a]) })
	return indexes
}
