package httpfront

import (
	"indigospool/internal/eventloop"
	"indigospool/internal/proxy/limits"
)

const (
	maxKeptBytes = 4 << 20 // most unused bytes that are kept of each size class
	maxKeptShare = 32      // and no more than 1/32 of the memory budget
)

// newBuffers returns the buffers for output that waits to be written. All allocated buffers,
// whether in use or kept, are charged to the memory budget, and no more are kept while the
// budget is full.
func newBuffers(g *guard) eventloop.Buffers {
	return eventloop.Buffers{
		Classes:   []int{4 << 10, 16 << 10, 32 << 10, 64 << 10, 128 << 10, 256 << 10, 512 << 10},
		MayKeep:   func(classBytes int) bool { return classBytes <= g.maxKept() && !g.memory.Full() },
		Allocated: func(bytes int) { g.memory.Add(limits.Answers, int64(bytes)) },
	}
}

// maxKept returns the most unused bytes that are kept of each size class.
func (g *guard) maxKept() int {
	if g.memory.Total > 0 {
		return min(maxKeptBytes, int(g.memory.Total/maxKeptShare))
	}
	return maxKeptBytes
}
