package eventloop

import "testing"

// TestBuffersKeepWithinBounds checks that Put keeps buffers within Keep, or as MayKeep decides,
// and that Allocated is called for those that are allocated and dropped.
func TestBuffersKeepWithinBounds(t *testing.T) {
	allocated := 0
	count := func(bytes int) { allocated += bytes }
	for _, c := range []struct {
		name  string
		pool  Buffers
		sizes []int // passed to Get
		used  int   // while all are in use
		kept  int   // after Put of all
		again int   // allocated when all are in use again
	}{
		{"default classes", Buffers{Keep: 8 << 10}, []int{1, 1 << 10, 4 << 10, 5 << 10}, 22 << 10, 6 << 10, 22 << 10},
		{"beyond the last class", Buffers{Keep: 1 << 20}, []int{300 << 10}, 300 << 10, 0, 300 << 10},
		{"own classes", Buffers{Keep: 100, Classes: []int{10, 100}}, []int{10, 11}, 110, 10, 110},
		{"kept by class", Buffers{Classes: []int{10, 100}, MayKeep: func(classBytes int) bool { return classBytes <= 20 }},
			[]int{10, 10, 10, 100}, 130, 20, 130},
	} {
		t.Run(c.name, func(t *testing.T) {
			allocated = 0
			pool := &c.pool
			pool.Allocated = count
			for range 2 {
				var buffers [][]byte
				for _, n := range c.sizes {
					b := pool.Get(n)
					if len(b) != 0 || cap(b) < n {
						t.Errorf("length %d and capacity %d for a Get of %d", len(b), cap(b), n)
					}
					buffers = append(buffers, b)
				}
				if pool.Used != c.used || allocated != c.again {
					t.Errorf("after Get: %d bytes in use, %d allocated; want %d, %d", pool.Used, allocated, c.used, c.again)
				}
				for _, b := range buffers {
					pool.Put(b)
				}
				if pool.Used != 0 || allocated != c.kept {
					t.Errorf("after Put: %d bytes in use, %d kept; want 0, %d", pool.Used, allocated, c.kept)
				}
			}
		})
	}
}
