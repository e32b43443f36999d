package eventloop

// A Timer calls its function once when it is due. The zero value is not armed. A Timer can be
// armed again after it was due or disarmed. F must be set before.
//
// Moving a timer to a later time and disarming it are cheap, because most timers are timeouts
// that are often postponed and seldom reached: the timer keeps its position in the heap, and the
// loop examines it again when that position comes first.
type Timer struct {
	// F is called on the loop's goroutine.
	F        func()
	heapKey  Millis // by which the heap is sorted; not after due while the timer is armed
	due      Millis // when F is to be called
	seq      uint64 // order of arming, for equal heapKeys
	position int    // in the heap, from 1; 0: not in the heap
	armed    bool
}

// Armed reports whether the timer is armed.
func (t *Timer) Armed() bool { return t.armed }

// Arm makes the timer due delay milliseconds after the beginning of the current turn. It moves a
// timer that is armed already. A negative delay counts as 0.
func (l *Loop) Arm(t *Timer, delay Millis) {
	t.due = l.now + max(delay, 0)
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

// Disarm stops a timer. It has no effect on one that is not armed. The loop may keep a reference
// to the timer until it would have been due; see Forget.
func (l *Loop) Disarm(t *Timer) {
	if t.armed {
		t.armed = false
		l.timers.armedCount--
	}
}

// Forget disarms a timer and removes the loop's reference to it. It is for timers that are not
// used again.
func (l *Loop) Forget(t *Timer) {
	l.Disarm(t)
	if t.position > 0 {
		l.timers.remove(t.position - 1)
	}
}

// AfterFunc calls f once, delay milliseconds after the beginning of the current turn. It
// allocates a Timer; hot paths should reuse their own.
func (l *Loop) AfterFunc(delay Millis, f func()) *Timer {
	t := &Timer{F: f}
	l.Arm(t, delay)
	return t
}

// Ticker calls f every period, in milliseconds, until the returned function is called.
func (l *Loop) Ticker(period Millis, f func()) (stop func()) {
	t := &Timer{}
	t.F = func() {
		l.Arm(t, period)
		f()
	}
	l.Arm(t, period)
	return func() { l.Forget(t) }
}

// Timers returns how many timers are armed.
func (l *Loop) Timers() int { return l.timers.armedCount }

// runTimers runs the timers that are due at the time of the turn. Timers armed meanwhile wait
// for the next turn, so that a timer which arms itself for now cannot keep the loop from its
// events.
func (l *Loop) runTimers() {
	lastSeq := l.timers.seq
	for len(l.timers.list) > 0 {
		t := l.timers.list[0]
		if t.heapKey > l.now || t.seq > lastSeq {
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

// timerHeap is a heap with four children per node, sorted by heapKey and then by the order of
// arming. container/heap would cost an interface call for each comparison. Four children keep
// the heap shallow, which suits arming, the most frequent change: it moves a timer up.
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
	t := h.list[i]
	last := len(h.list) - 1
	if i != last {
		h.list[i] = h.list[last]
		h.list[i].position = i + 1
	}
	h.list[last] = nil
	h.list = h.list[:last]
	t.position = 0
	if i != last {
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
		parent := (i - 1) / 4
		if !h.less(t, h.list[parent]) {
			break
		}
		h.list[i] = h.list[parent]
		h.list[i].position = i + 1
		i, moved = parent, true
	}
	h.list[i] = t
	t.position = i + 1
	return moved
}

func (h *timerHeap) down(i int) {
	t := h.list[i]
	n := len(h.list)
	for {
		child := 4*i + 1
		if child >= n {
			break
		}
		for sibling := child + 1; sibling < min(4*i+5, n); sibling++ {
			if h.less(h.list[sibling], h.list[child]) {
				child = sibling
			}
		}
		if !h.less(h.list[child], t) {
			break
		}
		h.list[i] = h.list[child]
		h.list[i].position = i + 1
		i = child
	}
	h.list[i] = t
	t.position = i + 1
}
