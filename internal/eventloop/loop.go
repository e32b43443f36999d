package eventloop

import (
	"fmt"
	"runtime"
	"sync"

	"golang.org/x/sys/unix"
)

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
