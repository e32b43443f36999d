package eventloop

import (
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Intercept makes calls handle the loop's system calls on sockets; nil stands for Kernel. It
// must be called before Run or on the loop's goroutine.
func (l *Loop) Intercept(calls Syscalls) { l.calls = calls }

const (
	maxInterrupted = 4    // attempts at a call that is interrupted, before it is made later
	minSuspension  = 2.0  // ms for which a descriptor is suspended at first; doubled while the shortage lasts
	maxSuspension  = 16.0 // ms
)

// Read reads from a non-blocking descriptor.
//
// After a Retryable error the loop calls the handler of a watched descriptor when it is time to
// read again. After EAGAIN that is when the descriptor is ready. After other errors, such as a
// lack of kernel memory, the descriptor is ready already, and the handler is called after a
// short wait, so that the loop does not spin during a lasting shortage. The same applies to
// Write and WriteTwo, if the caller uses Want to wait for Write.
//
// Errors are the system's error numbers, unwrapped, so that Read does not allocate.
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

// Write writes to a non-blocking descriptor; see Read for errors.
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

// WriteTwo writes two slices in one system call; see Read for errors.
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

// retryNow reports whether a failed call is to be made again at once. It suspends the descriptor
// if the call is to be made later although the descriptor is ready.
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

// suspension is a watched descriptor that was removed from epoll for a short time.
type suspension struct {
	fd         int
	generation uint32
}

// suspend removes a watched descriptor from epoll for a short time, also for errors and
// hang-ups. For the handler its events are only delayed.
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
	if l.now-l.resumedAt > maxSuspension { // the previous shortage is over
		l.suspendFor = minSuspension
	}
	l.Arm(&l.resumeTimer, l.suspendFor)
}

// resume adds the suspended descriptors to epoll again. Those for which that fails stay
// suspended.
func (l *Loop) resume() {
	left := l.suspended[:0]
	l.resumedAt = l.now
	for _, entry := range l.suspended {
		s := &l.slots[entry.fd]
		if s.generation != entry.generation || !s.suspended {
			continue // removed since
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

// poll waits for events, for at most timeout ms; -1 is without limit. An interrupted wait
// returns no events. If waits are interrupted repeatedly, poll sleeps after each, so that the
// loop does not spin.
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

// PeerEnded reports whether the peer of a stream socket has closed its side or reset the connection,
// even if there are earlier bytes to be read.
func PeerEnded(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(fds, 0)
		if err != unix.EINTR {
			return err == nil && n > 0
		}
	}
}

// Idle reports whether a stream socket has nothing to be read: no bytes, no end and no error.
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
