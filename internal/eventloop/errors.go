package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// Retryable reports whether a failed call on a connection can be made again later: the
// connection is intact, and the call has moved no bytes. If the call was made through a Loop,
// the Loop calls the descriptor's handler when it is time to make it again.
func Retryable(err error) bool {
	errno, ok := errnoOf(err)
	if !ok {
		return false
	}
	switch errno {
	case unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ENOMEM, unix.ENOSR:
		return true
	}
	return false
}

// NotReady reports whether a call failed because its descriptor was not ready, which is the
// usual case of a Retryable error: everything that the loop has reported of the descriptor is
// handled. err must be the unwrapped error of Read, Write or WriteTwo.
func NotReady(err error) bool { return err == unix.EAGAIN }

// Broken reports whether an error, also a wrapped one, means that a connection was ended by its
// peer or by the network.
func Broken(err error) bool {
	errno, ok := errnoOf(err)
	if !ok {
		return false
	}
	switch errno {
	case unix.ECONNRESET, unix.EPIPE, unix.ECONNABORTED, unix.ECONNREFUSED, unix.ENOTCONN, unix.ESHUTDOWN,
		unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.EHOSTDOWN, unix.ENETUNREACH, unix.ENETDOWN, unix.ENETRESET, unix.EPROTO:
		return true
	}
	return false
}

// IsLocalShortage reports whether accept, socket, connect or Add failed, with a plain or wrapped
// error, because this process or machine lacks something that may be available again soon:
// descriptors, memory, ports, epoll watches, a route or a firewall's permission. Such an error
// says nothing about the peer.
func IsLocalShortage(err error) bool {
	errno, ok := errnoOf(err)
	if !ok {
		return false
	}
	switch errno {
	case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSR, unix.ENOSPC, unix.EAGAIN, unix.EINTR,
		unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENETDOWN, unix.ECONNABORTED, unix.EPERM, unix.EACCES:
		return true
	}
	return false
}

// errnoOf returns the system's error number in err. Calls on a connection return it unwrapped,
// so that case comes first and is fast.
func errnoOf(err error) (unix.Errno, bool) {
	if errno, ok := err.(unix.Errno); ok {
		return errno, true
	}
	var errno unix.Errno
	ok := err != nil && errors.As(err, &errno)
	return errno, ok
}

// concernsOneConnection reports whether an error of accept concerns only the connection that
// would have been accepted (accept(2) lists these errors) or only this call, so that the next
// call may succeed.
func concernsOneConnection(err error) bool {
	errno, _ := errnoOf(err)
	switch errno {
	case unix.ECONNABORTED, unix.EINTR, unix.EPERM, unix.EPROTO, unix.ENOPROTOOPT, unix.EOPNOTSUPP, unix.ENONET,
		unix.EHOSTDOWN, unix.EHOSTUNREACH, unix.ENETDOWN, unix.ENETUNREACH, unix.ETIMEDOUT:
		return true
	}
	return false
}
