package eventloop

// A Timer calls its function once when due. The zero value is idle; it can be
// armed again after it was due or stopped. Set F before arming.
//
// Arming for later and disarming cost nothing: the timer keeps its place in the
// heap, and is looked at again when that comes due. Most timers are limits that
// are moved on all the time and seldom reached.
type Timer struct {
	F        func()
	heapKey  Millis // its place in the heap
	due      Millis // when it is to be called; never before due
	seq      uint64
	position int // place in the heap, from 1; 0: it has none
	armed    bool
}

// Armed reports whether the timer waits to come due.
func (t *Timer) Armed() bool { return t.armed }

// Arm has the timer come due after in; armed already, it is moved.
func (l *Loop) Arm(t *Timer, in Millis) {
	t.due = l.now + max(in, 0)
	if !t.armed {
		t.armed = true
		l.timers.armedCount++
	}
	if t.position > 0 && t.heapKey <= t.due {
		return
	}
	t.heapKey = t.due
	l.timers.seq++
	t.seq = l.timers.seq
	if t.position > 0 {
		l.timers.fix(t.position - 1)
		return
	}
	l.timers.push(t)
}

// Disarm stops a timer; it does nothing to one that is not armed. The loop may
// hold on to the timer until it would have come due; see Forget.
func (l *Loop) Disarm(t *Timer) {
	if t.armed {
		t.armed = false
		l.timers.armedCount--
	}
}

// Forget disarms a timer that will not be used again.
func (l *Loop) Forget(t *Timer) {
	l.Disarm(t)
	if t.position > 0 {
		l.timers.remove(t.position - 1)
	}
}

// AfterFunc calls f once after in. It allocates; use a Timer of your own on hot paths.
func (l *Loop) AfterFunc(in Millis, f func()) *Timer {
	t := &Timer{F: f}
	l.Arm(t, in)
	return t
}

// Ticker calls f every span until the returned function is called.
func (l *Loop) Ticker(span Millis, f func()) (stop func()) {
	t := &Timer{}
	t.F = func() {
		l.Arm(t, span)
		f()
	}
	l.Arm(t, span)
	return func() { l.Forget(t) }
}

// Timers is how many timers are armed.
func (l *Loop) Timers() int { return l.timers.armedCount }

// runTimers runs what is due at the time of the turn; what these arm waits for
// the next turn, so that none can hold the loop.
func (l *Loop) runTimers() {
	last := l.timers.seq
	for len(l.timers.list) > 0 {
		t := l.timers.list[0]
		if t.heapKey > l.now || t.seq > last {
			return
		}
		if t.armed && t.due > l.now {
			t.heapKey = t.due
			l.timers.down(0)
			continue
		}
		l.timers.remove(0)
		if t.armed {
			l.Disarm(t)
			t.F()
		}
	}
}

// timerHeap is a four-way heap by due time, equal times in the order of arming.
type timerHeap struct {
	list       []*Timer
	seq        uint64
	armedCount int
}

func (h *timerHeap) less(a, b *Timer) bool {
	return a.heapKey < b.heapKey || a.heapKey == b.heapKey && a.seq < b.seq
}

func (h *timerHeap) push(t *Timer) {
	h.list = append(h.list, t)
	t.position = len(h.list)
	h.up(len(h.list) - 1)
}

func (h *timerHeap) remove(i int) {
	t, n := h.list[i], len(h.list)-1
	if i != n {
		h.list[i] = h.list[n]
		h.list[i].position = i + 1
	}
	h.list[n] = nil
	h.list = h.list[:n]
	t.position = 0
	if i != n {
		h.fix(i)
	}
}

func (h *timerHeap) fix(i int) {
	if !h.up(i) {
		h.down(i)
	}
}

func (h *timerHeap) up(i int) (moved bool) {
	t := h.list[i]
	for i > 0 {
		p := (i - 1) / 4
		if !h.less(t, h.list[p]) {
			break
		}
		h.list[i] = h.list[p]
		h.list[i].position = i + 1
		i, moved = p, true
	}
	h.list[i] = t
	t.position = i + 1
	return moved
}

func (h *timerHeap) down(i int) {
	t, n := h.list[i], len(h.list)
	for {
		c := 4*i + 1
		if c >= n {
			break
		}
		for k := c + 1; k < min(c+4, n); k++ {
			if h.less(h.list[k], h.list[c]) {
				c = k
			}
		}
		if !h.less(h.list[c], t) {
			break
		}
		h.list[i] = h.list[c]
		h.list[i].position = i + 1
		i = c
	}
	h.list[i] = t
	t.position = i + 1
}
