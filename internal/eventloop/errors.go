package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// Retryable reports that a call on a connection can be made again later: the connection is
// intact, and the call has moved no bytes. If it was made through a Loop, the descriptor's
// handler is called when to make it again.
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

// NotReady reports that a call found its descriptor not ready: all that the loop has reported
// of it is dealt with. Of the errors for which Later holds, it is the ordinary one. err must
// be as Read, Write or WriteTwo returned it, not wrapped.
func NotReady(err error) bool { return err == unix.EAGAIN }

// Broken reports that a connection has ended, by its peer or by the network between. It holds
// for wrapped errors too.
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

// IsLocalShortage reports that accept, socket, connect or the watch of a descriptor failed
// because this process or machine lacks something that may be available again soon:
// descriptors, memory, ports, epoll watches, a route, a firewall's permission. It says nothing
// about the peer. It holds for wrapped errors too.
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

// errnoOf returns the system's error number in err. The plain number, which every call on a
// connection returns, is found without a search of wrapped errors.
func errnoOf(err error) (unix.Errno, bool) {
	if errno, ok := err.(unix.Errno); ok {
		return errno, true
	}
	var errno unix.Errno
	ok := err != nil && errors.As(err, &errno)
	return errno, ok
}

// concernsOneConnection reports an error of accept that concerns only the connection that
// would have been accepted, as accept(2) lists them, or only this call: the next may succeed.
func concernsOneConnection(err error) bool {
	errno, _ := errnoOf(err)
	switch errno {
	case unix.ECONNABORTED, unix.EINTR, unix.EPERM, unix.EPROTO, unix.ENOPROTOOPT, unix.EOPNOTSUPP, unix.ENONET,
		unix.EHOSTDOWN, unix.EHOSTUNREACH, unix.ENETDOWN, unix.ENETUNREACH, unix.ETIMEDOUT:
		return true
	}
	return false
}
