package eventloop

// Buffers is a pool of buffers by size class that keeps a bounded part of what is given back
// for use again. It belongs to one loop's goroutine. Set its fields before the first Lend.
type Buffers struct {
	// Keep is the most bytes kept unused, of all classes together.
	Keep int
	// Used is how many bytes are lent now.
	Used int
	// Classes are the size classes in bytes, the smallest first; nil stands for 1, 4, 16, 64
	// and 256 KiB. What is larger than the last is allocated for each loan and never kept.
	Classes []int
	// MayKeep, unless it is nil, decides instead of Keep whether a buffer that is given back
	// is kept, by the bytes of its class that would then be unused.
	MayKeep func(classBytes int) bool
	// Allocated, unless it is nil, is called with the bytes of each buffer that is allocated,
	// and with their negative for each that is given back and not kept.
	Allocated func(bytes int)

	unusedBytes int
	unused      [][][]byte // by class
}

var defaultClasses = [...]int{1 << 10, 4 << 10, 16 << 10, 64 << 10, 256 << 10}

// Get returns an empty buffer with a capacity of at least n bytes, to be given back.
func (p *Buffers) Get(n int) []byte {
	if p.unused == nil {
		p.init()
	}
	for i, size := range p.Classes {
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
		return p.allocate(size)
	}
	p.Used += n
	return p.allocate(n)
}

// Put ends a loan; the caller must not use b any more. A nil b is ignored.
func (p *Buffers) Put(b []byte) {
	if cap(b) == 0 {
		return
	}
	p.Used -= cap(b)
	for i, size := range p.Classes {
		if cap(b) == size && p.mayKeep(i) {
			p.unusedBytes += size
			p.unused[i] = append(p.unused[i], b[:0])
			return
		}
	}
	if p.Allocated != nil {
		p.Allocated(-cap(b))
	}
}

func (p *Buffers) init() {
	if p.Classes == nil {
		p.Classes = defaultClasses[:]
	}
	p.unused = make([][][]byte, len(p.Classes))
}

func (p *Buffers) allocate(n int) []byte {
	if p.Allocated != nil {
		p.Allocated(n)
	}
	return make([]byte, 0, n)
}

// mayKeep reports whether one more unused buffer of a class is kept.
func (p *Buffers) mayKeep(class int) bool {
	size := p.Classes[class]
	if p.MayKeep != nil {
		return p.MayKeep((len(p.unused[class]) + 1) * size)
	}
	return p.unusedBytes+size <= p.Keep
}
