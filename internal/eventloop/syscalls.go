package eventloop

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// Syscalls are the system calls that a loop makes on sockets. Tests and fault injection replace
// them. Errors must be the system's error numbers, unwrapped, because the loop compares them.
type Syscalls interface {
	// Accept accepts a connection, non-blocking and close-on-exec.
	Accept(listener int) (fd int, err error)
	// Socket creates a stream socket, non-blocking and close-on-exec.
	Socket(family int) (fd int, err error)
	// Connect begins to connect a socket.
	Connect(fd int, to unix.Sockaddr) error
	// Read reads up to len(b) bytes; 0 without an error means that the peer has closed its side.
	Read(fd int, b []byte) (int, error)
	// Write writes b or its beginning.
	Write(fd int, b []byte) (int, error)
	// WriteTwo writes two slices, or the beginning of both together, in one call.
	WriteTwo(fd int, first, second []byte) (int, error)
	// Wait waits for events, for at most timeout milliseconds; -1 is without limit.
	Wait(epoll int, events []unix.EpollEvent, timeout int) (int, error)
}

// Kernel makes the kernel's system calls.
var Kernel KernelCalls

// KernelCalls makes the kernel's system calls; wrappers embed it. Calls on non-blocking
// descriptors are raw: they return at once, and telling Go's scheduler of a call that may block
// costs more than a small read.
type KernelCalls struct{}

var _ Syscalls = Kernel

// Accept is accept4(2).
func (KernelCalls) Accept(listener int) (int, error) {
	fd, _, errno := unix.RawSyscall6(unix.SYS_ACCEPT4, uintptr(listener), 0, 0, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0, 0)
	if errno != 0 {
		return -1, errno
	}
	return int(fd), nil
}

// Socket is socket(2).
func (KernelCalls) Socket(family int) (int, error) {
	return unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// Connect is connect(2).
func (KernelCalls) Connect(fd int, to unix.Sockaddr) error { return unix.Connect(fd, to) }

// Read is read(2).
func (KernelCalls) Read(fd int, b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	n, _, errno := unix.RawSyscall(unix.SYS_READ, uintptr(fd), uintptr(unsafe.Pointer(&b[0])), uintptr(len(b)))
	if errno != 0 {
		return 0, errno
	}
	return int(n), nil
}

// Write is send(2). If the peer has closed the connection it returns EPIPE, without a signal.
func (KernelCalls) Write(fd int, b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	n, _, errno := unix.RawSyscall6(unix.SYS_SENDTO, uintptr(fd), uintptr(unsafe.Pointer(&b[0])), uintptr(len(b)),
		unix.MSG_NOSIGNAL, 0, 0)
	if errno != 0 {
		return 0, errno
	}
	return int(n), nil
}

// WriteTwo is sendmsg(2). It does not allocate.
func (k KernelCalls) WriteTwo(fd int, first, second []byte) (int, error) {
	if len(first) == 0 {
		return k.Write(fd, second)
	}
	if len(second) == 0 {
		return k.Write(fd, first)
	}
	var iov [2]unix.Iovec
	iov[0].Base, iov[1].Base = &first[0], &second[0]
	iov[0].SetLen(len(first))
	iov[1].SetLen(len(second))
	var msg unix.Msghdr
	msg.Iov = &iov[0]
	msg.SetIovlen(2)
	n, _, errno := unix.RawSyscall(unix.SYS_SENDMSG, uintptr(fd), uintptr(unsafe.Pointer(&msg)), unix.MSG_NOSIGNAL)
	if errno != 0 {
		return 0, errno
	}
	return int(n), nil
}

// Wait is epoll_pwait(2). It first polls by a raw call. Only if nothing is ready does it make
// the call that may block, through Go's scheduler.
func (KernelCalls) Wait(epoll int, events []unix.EpollEvent, timeout int) (int, error) {
	n, _, errno := unix.RawSyscall6(unix.SYS_EPOLL_PWAIT, uintptr(epoll), uintptr(unsafe.Pointer(&events[0])),
		uintptr(len(events)), 0, 0, 0)
	if errno == 0 && n > 0 || timeout == 0 {
		if errno != 0 {
			return 0, errno
		}
		return int(n), nil
	}
	return unix.EpollWait(epoll, events, timeout)
}
