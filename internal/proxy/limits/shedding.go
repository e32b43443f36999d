package limits

import (
	"cmp"
	"slices"
)

// Times in ms after which connections and answers may be shed for others.
const (
	idleAfter          = 200  // a connection is unused; before that its first request may be on its way
	stalledAnswerAfter = 1000 // an answer waits for its client
	stalledAfter       = 2000 // a client reads nothing, which counts as a bad outcome
)

// ShedCandidate is a request that uses memory and may be shed.
type ShedCandidate struct {
	Index      int     // set by the caller to identify the request
	Bytes      int64   // freed when the request is shed
	Weight     float64 // priority weight of the answer now, which falls once it is late
	BytesLeft  float64 // bytes still to be moved, possibly an estimate
	Begun      bool    // the client has part of the answer, so the answer can only be truncated
	Idempotent bool    // the client may retry without harm; others are not shed
}

// ShedOrder sorts candidates by the order in which they are shed: answers that have not begun
// first, and in each group those with the least weight per byte still to be moved. It removes
// candidates that are not idempotent or free no memory. It reuses the memory of list.
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

// Shed returns the first candidates in ShedOrder that together free need bytes, or all of them.
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

// MayCloseIdle reports whether a connection that has been unused for the given ms may be closed
// for others.
func MayCloseIdle(ms float64) bool { return ms >= idleAfter }

// IsStalled reports whether a client that has read none of the bytes waiting for it for the
// given ms wastes its capacity.
func IsStalled(ms float64) bool { return ms >= stalledAfter }

// LongStalled returns the indexes of the answers that may be shed for others, the longest
// stalled first. waits holds how long each answer has waited for its client, in ms.
func LongStalled(waits []float64) (indexes []int) {
	for i, wait := range waits {
		if wait >= stalledAnswerAfter {
			indexes = append(indexes, i)
		}
	}
	slices.SortStableFunc(indexes, func(a, b int) int { return cmp.Compare(waits[b], waits[a]) })
	return indexes
}
