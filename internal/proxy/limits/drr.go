package limits

const (
	minClassWeight = 0.01
	compactAfter   = 64 // served entries that a queue keeps at its head before it is compacted
)

// DRR is deficit round robin (Shreedhar and Varghese, 1995) over classes, and round robin over
// the ready connections within each: a class moves bytes in proportion to its weight while it
// has any to move, so that a small answer waits for one quantum of a large one and not for all
// of it. Each step costs O(1).
type DRR[T comparable] struct {
	quantum  int
	classes  []drrClass[T]
	ring     []int // classes with ready connections, the present one first
	credited bool  // the present class was given its quantum
	ready    int
}

type drrClass[T comparable] struct {
	weight  float64
	deficit float64 // bytes that it may still move in this round
	queue   []T     // ready connections, from head on
	head    int
	inRing  bool
}

// pop takes the first ready connection, of which there must be one.
func (c *drrClass[T]) pop() T {
	first := c.queue[c.head]
	var none T
	c.queue[c.head] = none
	c.head++
	if c.head > compactAfter && c.head*2 > len(c.queue) {
		left := copy(c.queue, c.queue[c.head:])
		c.queue = c.queue[:left]
		c.head = 0
	}
	return first
}

// NewDRR makes a scheduler of classes with the weights; a class of weight 1 moves quantum
// bytes a round. Weights below a hundredth count as that.
func NewDRR[T comparable](quantum int, weights []float64) *DRR[T] {
	d := &DRR[T]{quantum: max(quantum, 1)}
	for _, weight := range weights {
		d.classes = append(d.classes, drrClass[T]{weight: max(weight, minClassWeight)})
	}
	return d
}

// Len is how many connections are ready.
func (d *DRR[T]) Len() int { return d.ready }

// Push makes a connection ready. It must not be ready already. A class that is not known
// counts as the last.
func (d *DRR[T]) Push(class int, connection T) {
	if class < 0 || class >= len(d.classes) {
		class = len(d.classes) - 1
	}
	c := &d.classes[class]
	c.queue = append(c.queue, connection)
	d.ready++
	if !c.inRing {
		c.inRing = true
		c.deficit = 0
		d.ring = append(d.ring, class)
	}
}

// Next returns the connection whose turn it is, which is no longer ready, and how many bytes
// it may move now. Used must be called for it before the next Next. ok is false where none is
// ready.
func (d *DRR[T]) Next() (connection T, class, room int, ok bool) {
	for len(d.ring) > 0 {
		class = d.ring[0]
		c := &d.classes[class]
		if !d.credited {
			d.credited = true
			c.deficit += c.weight * float64(d.quantum)
		}
		if c.head >= len(c.queue) { // all are served: an idle class saves nothing up
			c.inRing = false
			c.deficit = 0
			c.queue, c.head = c.queue[:0], 0
			d.ring, d.credited = d.ring[1:], false
			continue
		}
		if c.deficit < 1 {
			d.ring, d.credited = append(d.ring[1:], class), false
			continue
		}
		d.ready--
		return c.pop(), class, int(min(c.deficit, float64(d.quantum))), true
	}
	return connection, 0, 0, false
}

// Used records how many bytes the connection that Next returned has moved, and whether it is
// ready for more.
func (d *DRR[T]) Used(class int, connection T, n int, more bool) {
	c := &d.classes[class]
	c.deficit -= float64(n)
	if more {
		c.queue = append(c.queue, connection)
		d.ready++
	}
}
