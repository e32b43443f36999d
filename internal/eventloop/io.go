package eventloop

import (
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Intercept has the loop's system calls on sockets made by calls; nil has them made by the
// kernel directly. It is called before Run, or on the loop.
func (l *Loop) Intercept(calls Syscalls) { l.calls = calls }

const (
	interruptedAttempts = 4    // of a call that is interrupted, before it counts as one for later
	firstSuspension     = 2.0  // ms, until a call is made again for which the kernel lacked memory;
	longestSuspension   = 16.0 // doubled up to this while the shortage lasts
)

// Read reads from a non-blocking descriptor.
//
// After an error for which Later holds, a watched descriptor's handler is told when to read
// again: for EAGAIN when it is ready, and where it is ready but the call could not be made,
// after a short wait, so that a shortage that lasts does not keep the loop turning. The same
// holds for Write and WriteTwo, whose callers want Write of the descriptor then.
func (l *Loop) Read(fd int, b []byte) (int, error) {
	for try := 1; ; try++ {
		n, err := l.read(fd, b)
		if err == nil || !l.retryNow(fd, try, err) {
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
	for try := 1; ; try++ {
		n, err := l.write(fd, b)
		if err == nil || !l.retryNow(fd, try, err) {
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
	for try := 1; ; try++ {
		n, err := l.writeTwo(fd, first, second)
		if err == nil || !l.retryNow(fd, try, err) {
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

// retryNow reports that a call that failed is made again at once. One that is to be made later
// though its descriptor is ready has its descriptor suspended.
func (l *Loop) retryNow(fd, try int, err error) bool {
	switch {
	case err == unix.EAGAIN || !Later(err):
		return false
	case err == unix.EINTR && try < interruptedAttempts:
		return true
	}
	l.suspend(fd)
	return false
}

// suspension is a watched descriptor that epoll is not to tell of for a while.
type suspension struct {
	fd         int
	generation uint32
}

// suspend takes a watched descriptor out of epoll for a short while, errors and hang-ups
// included. Its handler notices nothing but the delay.
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
	if l.suspendFor = min(2*l.suspendFor, longestSuspension); l.now-l.resumedAt > longestSuspension {
		l.suspendFor = firstSuspension
	}
	l.Arm(&l.resumeTimer, l.suspendFor)
}

// resume watches again what was suspended. What cannot be watched yet stays suspended.
func (l *Loop) resume() {
	left := l.suspended[:0]
	l.resumedAt = l.now
	for _, r := range l.suspended {
		s := &l.slots[r.fd]
		if s.generation != r.generation || !s.suspended {
			continue
		}
		event := s.event(r.fd)
		if err := unix.EpollCtl(l.epfd, unix.EPOLL_CTL_ADD, r.fd, &event); err != nil {
			left = append(left, r)
			continue
		}
		s.suspended = false
	}
	if l.suspended = left; len(left) > 0 {
		l.Arm(&l.resumeTimer, l.suspendFor)
	}
}

// poll waits for events. Waits that are interrupted time after time, with nothing to be
// done, are made further apart.
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
	if l.interruptedWaits++; l.interruptedWaits > interruptedAttempts {
		time.Sleep(time.Millisecond)
	}
	return 0, nil
}

// Quiet reports that a stream has neither bytes to be read, nor an end, nor an error.
func Quiet(fd int) bool {
	var b [1]byte
	for {
		_, _, errno := unix.RawSyscall6(unix.SYS_RECVFROM, uintptr(fd), uintptr(unsafe.Pointer(&b[0])), 1,
			unix.MSG_PEEK|unix.MSG_DONTWAIT, 0, 0)
		if errno != unix.EINTR {
			return errno == unix.EAGAIN
		}
	}
}
