package eventloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Dial begins to connect to address, an IP address and port, without blocking. If inProgress is
// true, fd becomes writable when the connection is made or has failed. The caller must close fd.
// An error for which IsLocalShortage returns true is due to this machine, not to the peer.
// Errors wrap the system's error number.
func (l *Loop) Dial(address string) (fd int, inProgress bool, err error) {
	var calls Syscalls = Kernel
	if l.calls != nil {
		calls = l.calls
	}
	return dial(calls, address)
}

func dial(calls Syscalls, address string) (fd int, inProgress bool, err error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return -1, false, fmt.Errorf("eventloop: dial: %w", err)
	}
	var to unix.Sockaddr
	family := unix.AF_INET
	if ip := parsed.Addr().Unmap(); ip.Is4() {
		to = &unix.SockaddrInet4{Port: int(parsed.Port()), Addr: ip.As4()}
	} else {
		family = unix.AF_INET6
		to = &unix.SockaddrInet6{Port: int(parsed.Port()), Addr: ip.As16()}
	}
	fd, err = socket(calls, family)
	if err != nil {
		return -1, false, fmt.Errorf("eventloop: socket for %s: %w", address, err)
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	inProgress, err = connect(calls, fd, to)
	if err != nil {
		unix.Close(fd)
		return -1, false, fmt.Errorf("eventloop: connect to %s: %w", address, err)
	}
	return fd, inProgress, nil
}

// socket creates a socket, and repeats the call if it is interrupted.
func socket(calls Syscalls, family int) (fd int, err error) {
	for range maxInterrupted {
		fd, err = calls.Socket(family)
		if err != unix.EINTR {
			break
		}
	}
	return fd, err
}

// connect begins to connect a socket, and repeats the call if it is interrupted: the repeated
// call returns whether the connection is in progress or made.
func connect(calls Syscalls, fd int, to unix.Sockaddr) (inProgress bool, err error) {
	for range maxInterrupted {
		err = calls.Connect(fd, to)
		switch err {
		case nil, unix.EISCONN:
			return false, nil
		case unix.EINPROGRESS, unix.EALREADY:
			return true, nil
		case unix.EINTR:
			continue
		}
		return false, err
	}
	return false, err
}
