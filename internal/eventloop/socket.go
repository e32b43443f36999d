package eventloop

import (
	"net"

	"golang.org/x/sys/unix"
)

// Listen makes a non-blocking listening socket by way of net, for its parsing
// of addresses, and takes over its descriptor.
func Listen(address string) (int, string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return -1, "", err
	}
	defer ln.Close()
	f, err := ln.(*net.TCPListener).File()
	if err != nil {
		return -1, "", err
	}
	defer f.Close()
	fd, err := unix.FcntlInt(f.Fd(), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, "", err
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		unix.Close(fd)
		return -1, "", err
	}
	return fd, ln.Addr().String(), nil
}
