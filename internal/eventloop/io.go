package eventloop

import (
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Intercept has the loop's system calls on sockets made by calls; nil has them made by the
// kernel directly. Call it before Run, or on the loop's goroutine.
func (l *Loop) Intercept(calls Syscalls) { l.calls = calls }

const (
	maxInterrupted = 4    // of a call that is interrupted, before it is left for later
	minSuspension  = 2.0  // ms, until a call for which the kernel lacked memory is made again;
	maxSuspension  = 16.0 // ms, up to which that is doubled while the shortage lasts
)

// Read reads from a non-blocking descriptor.
//
// After an error for which Later holds, a watched descriptor's handler is called when to read
// again: after EAGAIN when the descriptor is ready, and where it is ready but the call could
// not be made, after a short wait, so that a lasting shortage does not keep the loop spinning.
// The same holds for Write and WriteTwo, whose callers Want Write of the descriptor then.
//
// Errors are the system's own numbers, unwrapped, so that the hot path allocates nothing.
func (l *Loop) Read(fd int, b []byte) (int, error) {
	for attempt := 1; ; attempt++ {
		n, err := l.read(fd, b)
		if err == nil || !l.retryNow(fd, attempt, err) {
			return n, err
		}
	}
}

func (l *Loop) read(fd int, b []byte) (int, error) {
	if l.calls == nil {
		return Kernel.Read(fd, b)
	}
	return l.calls.Read(fd, b)
}

// Write writes to a non-blocking descriptor; see Read for what follows an error.
func (l *Loop) Write(fd int, b []byte) (int, error) {
	for attempt := 1; ; attempt++ {
		n, err := l.write(fd, b)
		if err == nil || !l.retryNow(fd, attempt, err) {
			return n, err
		}
	}
}

func (l *Loop) write(fd int, b []byte) (int, error) {
	if l.calls == nil {
		return Kernel.Write(fd, b)
	}
	return l.calls.Write(fd, b)
}

// WriteTwo writes two pieces in one call; see Read for what follows an error.
func (l *Loop) WriteTwo(fd int, first, second []byte) (int, error) {
	for attempt := 1; ; attempt++ {
		n, err := l.writeTwo(fd, first, second)
		if err == nil || !l.retryNow(fd, attempt, err) {
			return n, err
		}
	}
}

func (l *Loop) writeTwo(fd int, first, second []byte) (int, error) {
	if l.calls == nil {
		return Kernel.WriteTwo(fd, first, second)
	}
	return l.calls.WriteTwo(fd, first, second)
}

// retryNow reports that a failed call is to be made again at once. If it is to be made later
// although its descriptor is ready, the descriptor is suspended.
func (l *Loop) retryNow(fd, attempt int, err error) bool {
	switch {
	case err == unix.EAGAIN || !Retryable(err):
		return false
	case err == unix.EINTR && attempt < maxInterrupted:
		return true
	}
	l.suspend(fd)
	return false
}

// suspension is a watched descriptor that is out of epoll for a while.
type suspension struct {
	fd         int
	generation uint32
}

// suspend takes a watched descriptor out of epoll for a short while, errors and hang-ups
// included. Its handler notices only the delay.
func (l *Loop) suspend(fd int) {
	if fd < 0 || fd >= len(l.slots) || l.slots[fd].handler == nil || l.slots[fd].suspended {
		return
	}
	s := &l.slots[fd]
	unix.EpollCtl(l.epfd, unix.EPOLL_CTL_DEL, fd, nil)
	s.suspended = true
	l.suspended = append(l.suspended, suspension{fd, s.generation})
	if l.resumeTimer.Armed() {
		return
	}
	l.suspendFor = min(2*l.suspendFor, maxSuspension)
	if l.now-l.resumedAt > maxSuspension { // the shortage before is over
		l.suspendFor = minSuspension
	}
	l.Arm(&l.resumeTimer, l.suspendFor)
}

// resume watches the suspended descriptors again. Those that epoll cannot take yet stay
// suspended.
func (l *Loop) resume() {
	left := l.suspended[:0]
	l.resumedAt = l.now
	for _, entry := range l.suspended {
		s := &l.slots[entry.fd]
		if s.generation != entry.generation || !s.suspended {
			continue // removed meanwhile
		}
		event := s.event(entry.fd)
		if err := unix.EpollCtl(l.epfd, unix.EPOLL_CTL_ADD, entry.fd, &event); err != nil {
			left = append(left, entry)
			continue
		}
		s.suspended = false
	}
	l.suspended = left
	if len(left) > 0 {
		l.Arm(&l.resumeTimer, l.suspendFor)
	}
}

// poll waits for events, for timeout ms at most; -1 is without limit. An interrupted wait
// returns none. Where waits are interrupted time after time, it sleeps between them, so that
// the loop does not spin.
func (l *Loop) poll(timeout int) (n int, err error) {
	if l.calls == nil {
		n, err = Kernel.Wait(l.epfd, l.events, timeout)
	} else {
		n, err = l.calls.Wait(l.epfd, l.events, timeout)
	}
	if err != unix.EINTR {
		l.interruptedWaits = 0
		return n, err
	}
	l.interruptedWaits++
	if l.interruptedWaits > maxInterrupted {
		time.Sleep(time.Millisecond)
	}
	return 0, nil
}

// Idle reports that a stream socket has neither bytes to be read, nor an end, nor an error.
func Idle(fd int) bool {
	var b [1]byte
	for {
		_, _, errno := unix.RawSyscall6(unix.SYS_RECVFROM, uintptr(fd), uintptr(unsafe.Pointer(&b[0])), 1,
			unix.MSG_PEEK|unix.MSG_DONTWAIT, 0, 0)
		if errno != unix.EINTR {
			return errno == unix.EAGAIN
		}
	}
}
