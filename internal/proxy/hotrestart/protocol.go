package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Version is that of what is said on the socket; both sides must speak the same.
const Version = 2

// The kinds of messages, the first byte of each. Messages are whole (SOCK_SEQPACKET).
const (
	kHello   = 'h' // successor: version
	kRefuse  = 'x' // predecessor: why not
	kSockets = 's' // predecessor: what the descriptors with it are
	kMemory  = 'm' // predecessor: a part of the memory
	kPeers   = 'p' // predecessor: a part of what it knows of clients
	kVersion = 'v' // either: a part of a version of the settings
	kWhole   = 'w' // predecessor: all was given; either, later: the version was whole
	kReady   = 'r' // successor: it serves
	kNote    = 'n' // either: a note, as JSON
	kConns   = 'c' // predecessor: connections between requests
)

const (
	partBytes = 48 << 10
	mostFDs   = 64        // in a message; the kernel takes 253
	mostBytes = 256 << 20 // of a memory, or a version
	waiting   = 8192
	step      = 10 * time.Second // for each message up to the memory's end
)

// parts sends bytes as messages of a kind.
func parts(c *net.UnixConn, kind byte, b []byte) error {
	for len(b) > 0 {
		n := min(len(b), partBytes)
		if _, err := c.Write(append([]byte{kind}, b[:n]...)); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func receive(c *net.UnixConn) (b []byte, fds []int, err error) {
	buf, oob := make([]byte, partBytes+1), make([]byte, unix.CmsgSpace(4*mostFDs))
	n, on, flags, _, err := c.ReadMsgUnix(buf, oob)
	if err != nil {
		return nil, nil, err
	}
	if on > 0 {
		list, err := unix.ParseSocketControlMessage(oob[:on])
		if err != nil {
			return nil, nil, err
		}
		for i := range list {
			got, err := unix.ParseUnixRights(&list[i])
			if err != nil {
				return nil, nil, err
			}
			fds = append(fds, got...)
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
		}
	}
	if n == 0 || flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 {
		for _, fd := range fds {
			unix.Close(fd)
		}
		return nil, nil, errors.New("an empty or cut message")
	}
	return buf[:n], fds, nil
}

func sameUser(c *net.UnixConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	var cred *unix.Ucred
	var cerr error
	if err := raw.Control(func(fd uintptr) { cred, cerr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) }); err != nil || cerr != nil {
		return fmt.Errorf("handover: %w", errors.Join(err, cerr))
	}
	if int(cred.Uid) != os.Getuid() {
		return fmt.Errorf("handover: process %d of user %d asked; only this process's user may take over", cred.Pid, cred.Uid)
	}
	return nil
}
