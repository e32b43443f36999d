package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// Later reports that a call on a connection can be made again later: the connection is
// whole, and the call has moved nothing. Where it was made through a loop, its handler is
// told when to try.
func Later(err error) bool {
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

// NotReady reports that a call found its descriptor not ready: all that was told of it is
// dealt with. Of the errors that Later names, it is the ordinary one.
func NotReady(err error) bool { return err == unix.EAGAIN }

// Broken reports that a connection has ended, by its peer or by the network between.
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

// IsLocalShortage reports that accept, socket, connect or the watch of a descriptor failed for want
// of something on this process or machine that may be there again soon: descriptors, memory,
// ports, watches, a route, a firewall's leave. It says nothing of a peer.
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

// errnoOf is the system's error number in err. The plain number, which every call on a
// connection returns, is found without a search.
func errnoOf(err error) (unix.Errno, bool) {
	if errno, ok := err.(unix.Errno); ok {
		return errno, true
	}
	var errno unix.Errno
	ok := err != nil && errors.As(err, &errno)
	return errno, ok
}

// concernsOneConnection reports an error of accept that concerns the connection that would have
// been taken, as accept(2) lists them, or the call alone: the next call may succeed.
func concernsOneConnection(err error) bool {
	errno, _ := errnoOf(err)
	switch errno {
	case unix.ECONNABORTED, unix.EINTR, unix.EPERM, unix.EPROTO, unix.ENOPROTOOPT, unix.EOPNOTSUPP, unix.ENONET,
		unix.EHOSTDOWN, unix.EHOSTUNREACH, unix.ENETDOWN, unix.ENETUNREACH, unix.ETIMEDOUT:
		return true
	}
	return false
}
