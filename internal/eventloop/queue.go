package eventloop

// Queue holds bytes that wait to be written or parsed. Its memory is lent by Buffers while any
// wait; the zero Queue is empty.
type Queue struct {
	buf []byte
	off int // bytes at the start of buf that were taken
}

// Len is how many bytes wait.
func (q *Queue) Len() int { return len(q.buf) - q.off }

// Cap is how many bytes of memory are lent to the queue.
func (q *Queue) Cap() int { return cap(q.buf) }

// Bytes returns what waits; it is valid until the next call.
func (q *Queue) Bytes() []byte { return q.buf[q.off:] }

// Add appends a copy of b.
func (q *Queue) Add(p *Buffers, b []byte) {
	q.Grow(p, len(b))
	q.buf = append(q.buf, b...)
}

// Grow ensures that Room has at least n bytes.
func (q *Queue) Grow(p *Buffers, n int) {
	if len(q.buf)+n <= cap(q.buf) {
		return
	}
	if q.Len()+n <= cap(q.buf) {
		waiting := copy(q.buf, q.buf[q.off:])
		q.buf = q.buf[:waiting]
	} else {
		larger := append(p.Get(q.Len()+n), q.buf[q.off:]...)
		p.Put(q.buf)
		q.buf = larger
	}
	q.off = 0
}

// Room returns the unused end of the memory, for a read of up to its length. The caller
// reports by Filled how much was read.
func (q *Queue) Room() []byte { return q.buf[len(q.buf):cap(q.buf)] }

// Filled counts n bytes of Room as waiting.
func (q *Queue) Filled(n int) { q.buf = q.buf[:len(q.buf)+n] }

// Take removes the first n bytes.
func (q *Queue) Take(p *Buffers, n int) {
	q.off += n
	if q.off == len(q.buf) {
		q.Drop(p)
	}
}

// Drop discards what waits and gives the memory back.
func (q *Queue) Drop(p *Buffers) {
	p.Put(q.buf)
	q.buf, q.off = nil, 0
}
