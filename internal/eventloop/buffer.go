package eventloop

// Buffers is a pool of buffers by size class that keeps a bounded part of what is given back
// for use again. It belongs to one loop's goroutine.
type Buffers struct {
	Keep        int // most bytes kept unused, of all classes together
	Used        int // bytes that are lent now
	unusedBytes int
	unused      [len(bufferSizes)][][]byte
}

// bufferSizes are the size classes in bytes. What is larger than the last is allocated for
// each loan and never kept.
var bufferSizes = [...]int{1 << 10, 4 << 10, 16 << 10, 64 << 10, 256 << 10}

// Lend returns an empty buffer with a capacity of at least n bytes, to be given back.
func (p *Buffers) Lend(n int) []byte {
	for i, size := range bufferSizes {
		if n > size {
			continue
		}
		p.Used += size
		if last := len(p.unused[i]) - 1; last >= 0 {
			b := p.unused[i][last]
			p.unused[i][last] = nil
			p.unused[i] = p.unused[i][:last]
			p.unusedBytes -= size
			return b
		}
		return make([]byte, 0, size)
	}
	p.Used += n
	return make([]byte, 0, n)
}

// GiveBack ends a loan; the caller must not use b any more. A nil b is ignored.
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
