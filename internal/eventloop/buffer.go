package eventloop

// Buffers is a pool of buffers in size classes, which keeps a bounded number of unused bytes. It
// is not safe for concurrent use. Its fields must be set before the first Get.
type Buffers struct {
	// Keep bounds the unused bytes that the pool keeps, in all classes together.
	Keep int
	// Used is how many bytes of buffers are in use.
	Used int
	// Classes are the size classes in bytes, in increasing order; nil stands for 1, 4, 16, 64
	// and 256 KiB. Larger buffers are allocated by each Get and never kept.
	Classes []int
	// MayKeep, unless it is nil, decides instead of Keep whether Put keeps a buffer. Its
	// argument is how many bytes of the buffer's class would then be unused.
	MayKeep func(classBytes int) bool
	// Allocated, unless it is nil, is called with the size of each buffer that is allocated,
	// and with the negative size of each that Put does not keep.
	Allocated func(bytes int)

	unusedBytes int
	unused      [][][]byte // by class
}

var defaultClasses = [...]int{1 << 10, 4 << 10, 16 << 10, 64 << 10, 256 << 10}

// Get returns an empty buffer with a capacity of at least n bytes. The caller must return it by
// Put.
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

// Put returns a buffer to the pool; the caller must not use b any more. A nil b is ignored.
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

// mayKeep reports whether the pool keeps one more unused buffer of a class.
func (p *Buffers) mayKeep(class int) bool {
	size := p.Classes[class]
	if p.MayKeep != nil {
		return p.MayKeep((len(p.unused[class]) + 1) * size)
	}
	return p.unusedBytes+size <= p.Keep
}
