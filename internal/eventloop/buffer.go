package eventloop

// Buffers lends memory by classes of size and keeps a bounded part of what comes back.
// Used counts all that is out. It belongs to one loop.
type Buffers struct {
	Keep        int // bytes kept unused, of all classes together
	Used        int // bytes lent
	unusedBytes int
	unused      [len(bufferSizes)][][]byte
}

var bufferSizes = [...]int{1 << 10, 4 << 10, 16 << 10, 64 << 10, 256 << 10}

// Lend is an empty buffer with room for at least n bytes.
func (p *Buffers) Lend(n int) []byte {
	for i, size := range bufferSizes {
		if n > size {
			continue
		}
		p.Used += size
		if k := len(p.unused[i]); k > 0 {
			b := p.unused[i][k-1]
			p.unused[i][k-1] = nil
			p.unused[i] = p.unused[i][:k-1]
			p.unusedBytes -= size
			return b
		}
		return make([]byte, 0, size)
	}
	p.Used += n
	return make([]byte, 0, n)
}

// GiveBack ends a loan; b is not to be used any more.
func (p *Buffers) GiveBack(b []byte) {
	if cap(b) == 0 {
		return
	}
	p.Used -= cap(b)
	for i, size := range bufferSizes {
		if cap(b) == size && p.unusedBytes+size <= p.Keep {
			p.unusedBytes += size
			p.unused[i] = append(p.unused[i], b[:0])
		}
	}
}

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
