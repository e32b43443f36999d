package limits

const (
	minClassWeight = 0.01
	compactAfter   = 64 // served entries at the head of a queue before it is compacted
)

// DRR is a scheduler by deficit round robin (Shreedhar and Varghese, 1995) over classes, and by
// round robin over the ready connections of each class. Classes with bytes to move share the
// throughput in proportion to their weights, and a small answer waits for one quantum of a large
// one rather than for all of it. Each step takes O(1).
type DRR[T comparable] struct {
	quantum  int // bytes
	classes  []drrClass[T]
	ring     []int // classes with ready connections, the current one first
	credited bool  // the current class has received its quantum
	ready    int   // ready connections of all classes
}

type drrClass[T comparable] struct {
	weight  float64
	deficit float64 // bytes that the class may still move in this round
	queue   []T     // ready connections, from head on
	head    int
	inRing  bool
}

// pop removes and returns the first ready connection. There must be one.
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

// NewDRR returns a scheduler of one class for each weight. A class of weight 1 moves quantum
// bytes per round. Weights below 0.01 count as 0.01.
func NewDRR[T comparable](quantum int, weights []float64) *DRR[T] {
	d := &DRR[T]{quantum: max(quantum, 1)}
	for _, weight := range weights {
		d.classes = append(d.classes, drrClass[T]{weight: max(weight, minClassWeight)})
	}
	return d
}

// Len returns how many connections are ready.
func (d *DRR[T]) Len() int { return d.ready }

// Push makes a connection ready. It must not be ready already. An unknown class stands for the
// last one.
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

// Next removes and returns the ready connection whose turn it is, its class, and how many bytes
// it may move now. The caller must call Used for it before it calls Next again. ok is false if
// no connection is ready.
func (d *DRR[T]) Next() (connection T, class, room int, ok bool) {
	for len(d.ring) > 0 {
		class = d.ring[0]
		c := &d.classes[class]
		if !d.credited {
			d.credited = true
			c.deficit += c.weight * float64(d.quantum)
		}
		if c.head >= len(c.queue) { // an idle class keeps no deficit
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

// Used records that the connection which Next returned has moved n bytes, and whether it is
// ready to move more.
func (d *DRR[T]) Used(class int, connection T, n int, more bool) {
	c := &d.classes[class]
	c.deficit -= float64(n)
	if more {
		c.queue = append(c.queue, connection)
		d.ready++
	}
}
