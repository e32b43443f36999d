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
