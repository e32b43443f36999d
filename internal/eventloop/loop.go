// Package loop is an event loop on Linux's epoll: readiness of descriptors,
// timers, and calls posted from other threads. One goroutine, locked to its
// thread, runs it; everything but Post and Stop belongs to that goroutine.
//
// Handlers make their system calls on sockets through it, so that one place decides which
// errors are for later (Later), end a connection (Broken) or are this machine's own
// (IsLocalShortage), and tests can have any call fail (Intercept). It never reads or writes a
// descriptor of its own accord and never allocates on the path of an event. The clock is
// the system's monotonic one, in milliseconds, so that records of processes on one machine
// can be set side by side. Connections on top of it are in internal/proxy/httpfront.
package eventloop

import (
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point on the monotonic clock, or a span of it, in milliseconds.
type Millis = float64

// Interest says what a handler wants to hear of. Errors and hang-ups are always told.
type Interest uint32

// The interests, as epoll has them.
const (
	Read  Interest = unix.EPOLLIN | unix.EPOLLRDHUP
	Write Interest = unix.EPOLLOUT
)

// Ready is what is known of a descriptor.
type Ready uint32

// Readable reports data, a peer's half-close, or an error to be read.
func (r Ready) Readable() bool {
	return r&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0
}

// Writable reports room to write, a finished connect, or an error.
func (r Ready) Writable() bool { return r&(unix.EPOLLOUT|unix.EPOLLHUP|unix.EPOLLERR) != 0 }

// Ended reports that the peer has closed its direction, or more; bytes that came before
// may still be there to be read.
func (r Ready) Ended() bool { return r&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 }

// Hangup reports that both directions are closed, or an error.
func (r Ready) Hangup() bool { return r&(unix.EPOLLHUP|unix.EPOLLERR) != 0 }

// A Handler hears of its descriptor's readiness. Events are level-triggered:
// what was not read is told again in the next turn.
type Handler interface{ OnReady(Ready) }

// ErrFull is returned by Post when the queue of posted calls is full.
var ErrFull = errors.New("loop: queue of posted calls is full")

// ErrStopped is returned by Post after Stop.
var ErrStopped = errors.New("loop: stopped")

type slot struct {
	handler     Handler
	generation  uint32
	interest    Interest
	prioritized bool
	suspended   bool // epoll does not know of it for a while, see suspend
}

// event is what epoll is to be told of the slot's descriptor.
func (s *slot) event(fd int) unix.EpollEvent {
	return unix.EpollEvent{Events: uint32(s.interest), Fd: int32(fd), Pad: int32(s.generation & 0x7fffffff)}
}

// Loop is one event loop. The zero value is not usable; see New.
type Loop struct {
	epfd, wakefd     int
	slots            []slot // by descriptor
	events           []unix.EpollEvent
	now              Millis
	timers           timerHeap
	lastPoll         Millis // what the last poll did not tell of came later
	since            Millis // see Since
	turns            uint64
	lag              Millis // the longest turn of late, see Lag
	slowTotal        Millis // see Slow
	afterTurn        func() (more bool)
	moreAfterTurn    bool     // after has more to do: the next turn does not wait
	calls            Syscalls // nil: the kernel's, directly
	interruptedWaits int      // waits in a row
	suspended        []suspension
	resumeTimer      Timer
	suspendFor       Millis // how long descriptors are suspended
	resumedAt        Millis // when they were last watched again

	mu        sync.Mutex
	posted    []func()
	spare     []func()
	maxPosted int
	stopped   bool
	closed    bool
}

// New makes a loop whose queue of posted calls holds at most maxPost; 0 means 4096.
func New(maxPost int) (*Loop, error) {
	if maxPost <= 0 {
		maxPost = 4096
	}
	epfd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("loop: epoll_create1: %w", err)
	}
	wakefd, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		unix.Close(epfd)
		return nil, fmt.Errorf("loop: eventfd: %w", err)
	}
	l := &Loop{epfd: epfd, wakefd: wakefd, events: make([]unix.EpollEvent, 512), maxPosted: maxPost}
	l.now = Clock()
	l.lastPoll, l.since = l.now, l.now
	l.resumeTimer.F = l.resume
	ev := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(wakefd), Pad: -1}
	if err := unix.EpollCtl(epfd, unix.EPOLL_CTL_ADD, wakefd, &ev); err != nil {
		unix.Close(epfd)
		unix.Close(wakefd)
		return nil, fmt.Errorf("loop: epoll_ctl: %w", err)
	}
	return l, nil
}

// The system's monotonic clock where this process began to look, and the
// runtime's reading of the same clock, which needs no call into the kernel.
var clockBase, clockFrom = func() (Millis, time.Time) {
	var ts unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts) // cannot fail with this clock
	return float64(ts.Sec)*1e3 + float64(ts.Nsec)/1e6, time.Now()
}()

// Clock reads the monotonic clock in milliseconds.
func Clock() Millis { return clockBase + float64(time.Since(clockFrom).Nanoseconds())/1e6 }

// Now is the time at which the present turn began.
func (l *Loop) Now() Millis { return l.now }

// Turns counts the turns so far.
func (l *Loop) Turns() uint64 { return l.turns }

// Lag is a decaying maximum of how long turns take, in milliseconds.
func (l *Loop) Lag() Millis { return l.lag }

// Slow is how many milliseconds turns have taken in all beyond slowTurn each: time in
// which peers waited for the loop, and not it for them.
func (l *Loop) Slow() Millis { return l.slowTotal }

const slowTurn = 5 // ms

// AfterEachTurn has f called at the end of each turn, behind readiness, posted calls and
// timers. While it returns true there is more to do: the next turn does not wait.
func (l *Loop) AfterEachTurn(f func() (more bool)) { l.afterTurn = f }

// Took is how long the present turn has taken so far.
func (l *Loop) Took() Millis { return Clock() - l.now }

// Add begins to watch a descriptor, which stays the caller's to close.
func (l *Loop) Add(fd int, want Interest, h Handler) error {
	if fd < 0 {
		return fmt.Errorf("loop: cannot watch descriptor %d", fd)
	}
	for fd >= len(l.slots) {
		l.slots = append(l.slots, make([]slot, max(64, len(l.slots)))...)
	}
	s := &l.slots[fd]
	if s.handler != nil {
		return fmt.Errorf("loop: descriptor %d is watched already", fd)
	}
	s.generation++
	s.interest, s.prioritized, s.suspended = want, false, false
	event := s.event(fd)
	if err := unix.EpollCtl(l.epfd, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		return fmt.Errorf("loop: epoll_ctl add %d: %w", fd, err)
	}
	s.handler = h
	return nil
}

// Prioritize has a watched descriptor's events handed out before those of others in each
// turn: who has gone is heard of before anything is begun for him.
func (l *Loop) Prioritize(fd int) { l.slots[fd].prioritized = true }

// Want changes what is wanted of a watched descriptor. It costs nothing when
// nothing changes.
func (l *Loop) Want(fd int, want Interest) error {
	if fd < 0 || fd >= len(l.slots) || l.slots[fd].handler == nil {
		return fmt.Errorf("loop: descriptor %d is not watched", fd)
	}
	s := &l.slots[fd]
	if s.interest == want {
		return nil
	}
	before := s.interest
	s.interest = want
	if s.suspended { // the new interest holds once it is watched again
		return nil
	}
	event := s.event(fd)
	if err := unix.EpollCtl(l.epfd, unix.EPOLL_CTL_MOD, fd, &event); err != nil {
		s.interest = before
		return fmt.Errorf("loop: epoll_ctl mod %d: %w", fd, err)
	}
	return nil
}

// Remove ends the watch; events of this turn that still name the descriptor
// are dropped. Call it before closing.
func (l *Loop) Remove(fd int) {
	if fd < 0 || fd >= len(l.slots) || l.slots[fd].handler == nil {
		return
	}
	l.slots[fd].handler = nil
	l.slots[fd].generation++
	unix.EpollCtl(l.epfd, unix.EPOLL_CTL_DEL, fd, nil) // a closed descriptor is gone already
}

// Post has f called by the loop's goroutine in its next turn. It may be called
// from any goroutine, never blocks, and fails when the queue is full.
func (l *Loop) Post(f func()) error {
	l.mu.Lock()
	if l.stopped {
		l.mu.Unlock()
		return ErrStopped
	}
	if len(l.posted) >= l.maxPosted {
		l.mu.Unlock()
		return ErrFull
	}
	first := len(l.posted) == 0
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	if first {
		l.wake()
	}
	return nil
}

func (l *Loop) wake() {
	one := [8]byte{1}
	unix.Write(l.wakefd, one[:]) // a full counter wakes the loop too
}

// Stop ends Run after the present turn, from any goroutine.
func (l *Loop) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.stopped = true
		l.wake()
	}
}

// Run turns the loop until Stop, on a thread of its own, and then closes it.
func (l *Loop) Run() error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer l.close()
	for {
		l.mu.Lock()
		stopped := l.stopped
		l.mu.Unlock()
		if stopped {
			return nil
		}
		if err := l.turn(); err != nil {
			return err
		}
	}
}

func (l *Loop) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed, l.stopped = true, true
		unix.Close(l.epfd)
		unix.Close(l.wakefd)
	}
}

// turn waits for events until the next timer is due, and hands them out:
// readiness first, then posted calls, then timers.
func (l *Loop) turn() error {
	wait := -1
	if l.moreAfterTurn {
		wait = 0
	} else if len(l.timers.list) > 0 {
		wait = max(int(l.timers.list[0].heapKey-Clock()+0.999), 0)
	}
	began := Clock()
	n, err := l.poll(l.pollTimeout(wait, began))
	if err != nil {
		return fmt.Errorf("loop: epoll_wait: %w", err)
	}
	l.now = Clock()
	l.notePoll(began, l.interruptedWaits > 0)
	l.turns++
	posts := false
	for _, first := range [...]bool{true, false} {
		for i := 0; i < n; i++ {
			ev := &l.events[i]
			if int(ev.Fd) == l.wakefd {
				posts = true
				continue
			}
			s := &l.slots[ev.Fd]
			if s.handler != nil && int32(s.generation&0x7fffffff) == ev.Pad && s.prioritized == first {
				s.handler.OnReady(Ready(ev.Events))
			}
		}
	}
	if posts {
		l.runPosted()
	}
	l.runTimers()
	if l.afterTurn != nil {
		l.moreAfterTurn = l.afterTurn()
	}
	took := Clock() - l.now
	l.slowTotal += max(took-slowTurn, 0)
	l.lag = max(took, l.lag*0.99)
	if n == len(l.events) && n < 8192 {
		l.events = make([]unix.EpollEvent, 2*n)
	}
	return nil
}

func (l *Loop) runPosted() {
	var count [8]byte
	unix.Read(l.wakefd, count[:])
	l.mu.Lock()
	l.posted, l.spare = l.spare[:0], l.posted
	l.mu.Unlock()
	for i, f := range l.spare {
		f()
		l.spare[i] = nil
	}
}

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

// Call runs f on the loop's goroutine and waits for it at most within limit.
func (l *Loop) Call(limit time.Duration, f func()) error {
	done := make(chan struct{})
	if err := l.Post(func() { f(); close(done) }); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("loop: a posted call did not run within %v", limit)
	}
}
