package eventloop

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// Dial begins to connect without waiting; inProgress: it is not connected yet. An error for
// which IsLocalShortage holds is this machine's, and no word about the peer.
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
		return -1, false, err
	}
	var to unix.Sockaddr
	family := unix.AF_INET
	if ip := parsed.Addr().Unmap(); ip.Is4() {
		to = &unix.SockaddrInet4{Port: int(parsed.Port()), Addr: ip.As4()}
	} else {
		family = unix.AF_INET6
		to = &unix.SockaddrInet6{Port: int(parsed.Port()), Addr: ip.As16()}
	}
	for try := 1; ; try++ {
		if fd, err = calls.Socket(family); err != unix.EINTR || try == interruptedAttempts {
			break
		}
	}
	if err != nil {
		return -1, false, err
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if inProgress, err = connect(calls, fd, to); err != nil {
		unix.Close(fd)
		return -1, false, err
	}
	return fd, inProgress, nil
}

// connect begins to connect a socket. Called again after an interruption, it finds whether
// the connection has been begun or made.
func connect(calls Syscalls, fd int, to unix.Sockaddr) (inProgress bool, err error) {
	for range interruptedAttempts {
		switch err = calls.Connect(fd, to); err {
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
