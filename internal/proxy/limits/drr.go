package limits

// DRR is deficit round robin (Shreedhar and Varghese, 1995) over classes, and round
// robin over the ready connections within each: a class moves bytes in proportion to
// its weight while it has any to move, so that a still waits for a quantum of footage
// and not for all of it. Each step costs O(1).
type DRR[T comparable] struct {
	quantum int
	classes []drrClass[T]
	ring    []int // classes with ready connections, the present first
	charged bool  // the present class was given its quantum
	ready   int
}

type drrClass[T comparable] struct {
	weight  float64
	deficit float64
	queue   []T
	head    int
	inRing  bool // the ring
}

// NewDRR makes a scheduler of classes with the weights; a class of weight 1 moves
// quantum bytes a round. Weights below a hundredth count as that.
func NewDRR[T comparable](quantum int, weights []float64) *DRR[T] {
	d := &DRR[T]{quantum: max(quantum, 1)}
	for _, w := range weights {
		d.classes = append(d.classes, drrClass[T]{weight: max(w, 0.01)})
	}
	return d
}

// Len is how many connections are ready.
func (d *DRR[T]) Len() int { return d.ready }

// Push says that a connection is ready. It must not be ready already. A class that
// is not known counts as the last.
func (d *DRR[T]) Push(class int, it T) {
	if class < 0 || class >= len(d.classes) {
		class = len(d.classes) - 1
	}
	c := &d.classes[class]
	c.queue = append(c.queue, it)
	d.ready++
	if !c.inRing {
		c.inRing, c.deficit = true, 0
		d.ring = append(d.ring, class)
	}
}

// Next is the connection whose turn it is, no longer ready, and how many bytes it may
// move now. Used must be called for it before the next Next.
func (d *DRR[T]) Next() (it T, class, room int, ok bool) {
	for len(d.ring) > 0 {
		class = d.ring[0]
		c := &d.classes[class]
		if !d.charged {
			d.charged = true
			c.deficit += c.weight * float64(d.quantum)
		}
		if c.head >= len(c.queue) { // all that was ready is served: nothing is saved up
			c.inRing, c.deficit, c.queue, c.head = false, 0, c.queue[:0], 0
			d.ring, d.charged = d.ring[1:], false
			continue
		}
		if c.deficit < 1 {
			d.ring, d.charged = append(d.ring[1:], class), false
			continue
		}
		it = c.queue[c.head]
		var none T
		c.queue[c.head] = none
		if c.head++; c.head > 64 && c.head*2 > len(c.queue) {
			c.queue = c.queue[:copy(c.queue, c.queue[c.head:])]
			c.head = 0
		}
		d.ready--
		return it, class, int(min(c.deficit, float64(d.quantum))), true
	}
	return it, 0, 0, false
}

// Used says how many bytes the connection moved that Next named, and whether it is
// ready for more.
func (d *DRR[T]) Used(class int, it T, n int, more bool) {
	c := &d.classes[class]
	c.deficit -= float64(n)
	if more {
		c.queue = append(c.queue, it)
		d.ready++
	}
}
