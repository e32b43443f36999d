package httpfront

import "indigospool/internal/proxy/limits"

// outq is what waits to be written. Its memory is lent by the edge for as long
// as something waits.
type outq struct {
	buf []byte
	off int
}

func (q *outq) len() int      { return len(q.buf) - q.off }
func (q *outq) bytes() []byte { return q.buf[q.off:] }

// take drops what was written.
func (q *outq) take(e *Edge, n int) {
	if q.off += n; q.off == len(q.buf) {
		q.drop(e)
	}
}

// drop gives the memory back, and what waits is gone.
func (q *outq) drop(e *Edge) {
	e.giveBack(q.buf)
	q.buf, q.off = nil, 0
}

func (q *outq) add(e *Edge, b []byte) {
	if need := q.len() + len(b); len(q.buf)+len(b) > cap(q.buf) {
		if need <= cap(q.buf) {
			n := copy(q.buf, q.buf[q.off:])
			q.buf, q.off = q.buf[:n], 0
		} else {
			next := append(e.lend(need), q.buf[q.off:]...)
			e.giveBack(q.buf)
			q.buf, q.off = next, 0
		}
	}
	q.buf = append(q.buf, b...)
}

// The sizes of lent buffers, and how many of each are kept unused.
var lentSizes = [...]int{4 << 10, 16 << 10, 32 << 10, 64 << 10, 128 << 10, 256 << 10, 512 << 10}

const lentBytes = 4 << 20 // of each size, and no more than a part of the budget

func (g *guard) lentMost() int {
	if g.mem.Total > 0 {
		return min(lentBytes, int(g.mem.Total/32))
	}
	return lentBytes
}

// lend is an empty buffer for at least n bytes.
func (e *Edge) lend(n int) []byte {
	for i, size := range lentSizes {
		if n <= size {
			if k := len(e.lent[i]); k > 0 {
				b := e.lent[i][k-1]
				e.lent[i][k-1] = nil
				e.lent[i] = e.lent[i][:k-1]
				return b
			}
			e.guard.mem.Add(limits.Answers, int64(size))
			return make([]byte, 0, size)
		}
	}
	e.guard.mem.Add(limits.Answers, int64(n))
	return make([]byte, 0, n)
}

func (e *Edge) giveBack(b []byte) {
	for i, size := range lentSizes {
		if cap(b) == size {
			if (len(e.lent[i])+1)*size <= e.guard.lentMost() && !e.guard.mem.Full() {
				e.lent[i] = append(e.lent[i], b[:0])
				return
			}
			break
		}
	}
	e.guard.mem.Add(limits.Answers, -int64(cap(b)))
}
