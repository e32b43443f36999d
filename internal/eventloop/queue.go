package eventloop

// Queue is bytes that wait, in lent memory for as long as there are any.
type Queue struct {
	buf []byte
	off int
}

// Len is how many bytes wait.
func (q *Queue) Len() int { return len(q.buf) - q.off }

// Bytes is what waits; valid until the next call.
func (q *Queue) Bytes() []byte { return q.buf[q.off:] }

// Add appends a copy of b.
func (q *Queue) Add(p *Buffers, b []byte) {
	q.Grow(p, len(b))
	q.buf = append(q.buf, b...)
}

// Grow makes room for n more bytes.
func (q *Queue) Grow(p *Buffers, n int) {
	if len(q.buf)+n <= cap(q.buf) {
		return
	}
	if q.Len()+n <= cap(q.buf) {
		q.buf = q.buf[:copy(q.buf, q.buf[q.off:])]
	} else {
		next := append(p.Lend(q.Len()+n), q.buf[q.off:]...)
		p.GiveBack(q.buf)
		q.buf = next
	}
	q.off = 0
}

// Room is the unused end of the memory, for a read of up to its length; Filled tells
// how much was read.
func (q *Queue) Room() []byte { return q.buf[len(q.buf):cap(q.buf)] }

// Filled counts n bytes of Room as waiting.
func (q *Queue) Filled(n int) { q.buf = q.buf[:len(q.buf)+n] }

// Take drops the first n bytes.
func (q *Queue) Take(p *Buffers, n int) {
	if q.off += n; q.off == len(q.buf) {
		q.Drop(p)
	}
}

// Drop gives the memory back, and what waits is gone.
func (q *Queue) Drop(p *Buffers) {
	p.GiveBack(q.buf)
	q.buf, q.off = nil, 0
}
