package eventloop

import (
	"fmt"
	"runtime"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	defaultMaxPosted = 4096
	minEvents        = 512 // events that a poll can return at first; doubled after a poll that returns as many
	maxEvents        = 8192
	slowTurn         = 5    // ms; the time of a turn beyond this counts for SlowTime
	lagDecay         = 0.99 // factor of Lag in each turn
)

// slot is the state of a descriptor that is or was watched.
type slot struct {
	handler     Handler // nil: the descriptor is not watched
	generation  uint32  // number of the watch; events of an earlier watch of the same descriptor are dropped
	interest    Interest
	prioritized bool
	suspended   bool // temporarily removed from epoll, see suspend
}

// event returns the epoll event by which the slot's descriptor is watched.
func (s *slot) event(fd int) unix.EpollEvent {
	return unix.EpollEvent{Events: uint32(s.interest), Fd: int32(fd), Pad: s.tag()}
}

// tag returns the mark of the current watch in epoll events. It is never negative; the mark of
// wakefd is.
func (s *slot) tag() int32 { return int32(s.generation & 0x7fffffff) }

// Loop is an event loop. The zero value is not usable; see New.
type Loop struct {
	epfd             int
	wakefd           int    // an eventfd by which other threads wake the loop from a poll
	slots            []slot // by descriptor
	events           []unix.EpollEvent
	now              Millis // when the current turn began
	timers           timerHeap
	lastPoll         Millis // events that the last poll did not report happened after this time
	since            Millis // see EarliestArrival
	turns            uint64
	lag              Millis // see Lag
	slowTime         Millis // see SlowTime
	afterTurn        func() (more bool)
	moreAfterTurn    bool     // afterTurn has more to do: the next turn does not wait
	calls            Syscalls // nil: Kernel, called directly
	interruptedWaits int      // consecutive
	suspended        []suspension
	resumeTimer      Timer
	suspendFor       Millis // how long descriptors are suspended
	resumedAt        Millis // when resume last ran

	mu        sync.Mutex // guards the fields below
	posted    []func()
	spare     []func() // the memory of the previous posted calls, for reuse
	maxPosted int
	stopped   bool
	closed    bool
}

// New returns a loop whose queue holds at most maxPosted posted calls; 0 means 4096. Run closes
// the loop.
func New(maxPosted int) (*Loop, error) {
	if maxPosted <= 0 {
		maxPosted = defaultMaxPosted
	}
	epfd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("eventloop: epoll_create1: %w", err)
	}
	wakefd, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		unix.Close(epfd)
		return nil, fmt.Errorf("eventloop: eventfd: %w", err)
	}
	l := &Loop{epfd: epfd, wakefd: wakefd, events: make([]unix.EpollEvent, minEvents), maxPosted: maxPosted}
	l.now = Clock()
	l.lastPoll, l.since = l.now, l.now
	l.resumeTimer.F = l.resume
	event := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(wakefd), Pad: -1}
	if err := unix.EpollCtl(epfd, unix.EPOLL_CTL_ADD, wakefd, &event); err != nil {
		unix.Close(epfd)
		unix.Close(wakefd)
		return nil, fmt.Errorf("eventloop: epoll_ctl add eventfd %d: %w", wakefd, err)
	}
	return l, nil
}

// Now returns the time at which the current turn began.
func (l *Loop) Now() Millis { return l.now }

// Turns returns the number of turns so far.
func (l *Loop) Turns() uint64 { return l.turns }

// Lag returns a decaying maximum of the time of turns, in milliseconds.
func (l *Loop) Lag() Millis { return l.lag }

// SlowTime returns the total time of turns beyond 5 ms each, in milliseconds. In that time peers
// waited for the loop, not the loop for them.
func (l *Loop) SlowTime() Millis { return l.slowTime }

// AfterEachTurn sets a function that the loop calls at the end of each turn, after handlers,
// posted calls and timers. If f returns true it has more to do, and the next turn does not wait
// for events.
func (l *Loop) AfterEachTurn(f func() (more bool)) { l.afterTurn = f }

// Took returns how long the current turn has taken so far, in milliseconds.
func (l *Loop) Took() Millis { return Clock() - l.now }

// Add begins to watch a descriptor, which the caller must close after Remove. An error for which
// IsLocalShortage returns true means that no more descriptors can be watched now.
func (l *Loop) Add(fd int, want Interest, h Handler) error {
	if fd < 0 {
		return fmt.Errorf("eventloop: cannot watch descriptor %d", fd)
	}
	for fd >= len(l.slots) {
		l.slots = append(l.slots, make([]slot, max(64, len(l.slots)))...)
	}
	s := &l.slots[fd]
	if s.handler != nil {
		return fmt.Errorf("eventloop: descriptor %d is watched already", fd)
	}
	s.generation++
	s.interest, s.prioritized, s.suspended = want, false, false
	event := s.event(fd)
	if err := unix.EpollCtl(l.epfd, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		return fmt.Errorf("eventloop: epoll_ctl add %d: %w", fd, err)
	}
	s.handler = h
	return nil
}

// Prioritize makes the loop handle a watched descriptor's events before those of others in each
// turn, so that the end of a client's connection is known before work for that client begins.
func (l *Loop) Prioritize(fd int) { l.slots[fd].prioritized = true }

// Want changes the events that are reported of a watched descriptor. It makes no system call if
// nothing changes.
func (l *Loop) Want(fd int, want Interest) error {
	if fd < 0 || fd >= len(l.slots) || l.slots[fd].handler == nil {
		return fmt.Errorf("eventloop: descriptor %d is not watched", fd)
	}
	s := &l.slots[fd]
	if s.interest == want {
		return nil
	}
	before := s.interest
	s.interest = want
	if s.suspended { // resume watches it with the new interest
		return nil
	}
	event := s.event(fd)
	if err := unix.EpollCtl(l.epfd, unix.EPOLL_CTL_MOD, fd, &event); err != nil {
		s.interest = before
		return fmt.Errorf("eventloop: epoll_ctl mod %d: %w", fd, err)
	}
	return nil
}

// Remove ends the watch of a descriptor and drops its remaining events of this turn. It must be
// called before the descriptor is closed. It has no effect on a descriptor that is not watched.
func (l *Loop) Remove(fd int) {
	if fd < 0 || fd >= len(l.slots) || l.slots[fd].handler == nil {
		return
	}
	l.slots[fd].handler = nil
	l.slots[fd].generation++
	unix.EpollCtl(l.epfd, unix.EPOLL_CTL_DEL, fd, nil) // an error, as for a closed fd, has no consequence
}

// Stop ends Run after the current turn. It may be called from any goroutine.
func (l *Loop) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.stopped = true
		l.wake()
	}
}

// Run runs the loop until Stop, locked to one thread, and then closes it. It returns an error
// only if epoll itself fails.
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

// turn waits for events, until the next timer is due, and then runs handlers, posted calls,
// timers and afterTurn, in this order.
func (l *Loop) turn() error {
	wait := l.untilTimer()
	began := Clock()
	n, err := l.poll(l.pollTimeout(wait, began))
	if err != nil {
		return fmt.Errorf("eventloop: epoll_wait: %w", err)
	}
	l.now = Clock()
	l.recordPoll(began, l.interruptedWaits > 0)
	l.turns++
	if l.dispatch(l.events[:n]) {
		l.runPosted()
	}
	l.runTimers()
	if l.afterTurn != nil {
		l.moreAfterTurn = l.afterTurn()
	}
	took := Clock() - l.now
	l.slowTime += max(took-slowTurn, 0)
	l.lag = max(took, l.lag*lagDecay)
	if n == len(l.events) && n < maxEvents {
		l.events = make([]unix.EpollEvent, 2*n)
	}
	return nil
}

// untilTimer returns how long a poll may wait before a timer is due or afterTurn has more to do,
// in whole ms, rounded up so that the timer is due when the wait ends; -1 is without limit.
func (l *Loop) untilTimer() int {
	if l.moreAfterTurn {
		return 0
	}
	if len(l.timers.list) == 0 {
		return -1
	}
	return max(int(l.timers.list[0].heapKey-Clock()+0.999), 0)
}

// dispatch calls the handlers of events, those of prioritized descriptors first, and reports
// whether calls were posted.
func (l *Loop) dispatch(events []unix.EpollEvent) (posted bool) {
	for _, prioritized := range [...]bool{true, false} {
		for i := range events {
			event := &events[i]
			if int(event.Fd) == l.wakefd {
				posted = true
				continue
			}
			s := &l.slots[event.Fd]
			if s.handler != nil && s.tag() == event.Pad && s.prioritized == prioritized {
				s.handler.OnReady(Ready(event.Events))
			}
		}
	}
	return posted
}
