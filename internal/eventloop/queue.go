package eventloop

// Queue is a queue of bytes that wait to be written or parsed. Its memory comes from Buffers and
// is returned when the queue is empty. The zero Queue is empty. All calls must use the same
// Buffers.
type Queue struct {
	buf []byte
	off int // bytes at the start of buf that were removed
}

// Len returns how many bytes are queued.
func (q *Queue) Len() int { return len(q.buf) - q.off }

// Cap returns the size of the queue's memory in bytes.
func (q *Queue) Cap() int { return cap(q.buf) }

// Bytes returns the queued bytes; the slice is valid until the next call that changes the queue.
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

// Room returns the unused end of the memory, for the caller to read into. The caller then calls
// Filled with the number of bytes read.
func (q *Queue) Room() []byte { return q.buf[len(q.buf):cap(q.buf)] }

// Filled appends the first n bytes of Room to the queue.
func (q *Queue) Filled(n int) { q.buf = q.buf[:len(q.buf)+n] }

// Take removes the first n bytes.
func (q *Queue) Take(p *Buffers, n int) {
	q.off += n
	if q.off == len(q.buf) {
		q.Drop(p)
	}
}

// Drop removes all bytes and returns the memory.
func (q *Queue) Drop(p *Buffers) {
	p.Put(q.buf)
	q.buf, q.off = nil, 0
}
