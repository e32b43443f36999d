package eventloop

import (
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

const (
	maxAcceptFailures = 16     // consecutive failures of single connections before the listener pauses
	acceptPause       = 20.0   // ms
	makeRoomPause     = 1000.0 // ms until the next call of MakeRoom after one that did not help
)

// A Listener accepts the connections of a listening socket, a bounded number in each turn of
// its loop. In a shortage, or if accept fails repeatedly, it pauses: connections wait in the
// kernel's queue, and the loop does not spin.
type Listener struct {
	// PerTurn bounds the calls of accept in one turn.
	PerTurn int
	// Take is called with the descriptor of each connection. The callee must close it.
	Take func(fd int)
	// MakeRoom, unless it is nil, is called if the process or the machine is out of
	// descriptors. It closes one that is not needed, or returns false if there is none.
	MakeRoom func() bool
	// Pauses counts how often accepting has paused.
	Pauses uint64

	loop         *Loop
	fd           int
	failures     int
	waitingSince Millis // see EarliestArrival; 0: the kernel's queue was empty
	nextMakeRoom Millis // when MakeRoom may be called again
	resumeTimer  Timer
}

// Start begins to accept the connections of a listening socket. The caller must close the socket
// after Stop.
func (ln *Listener) Start(l *Loop, fd int) error {
	ln.loop = l
	ln.fd = fd
	ln.resumeTimer.F = func() { ln.loop.Want(ln.fd, Read) }
	return l.Add(fd, Read, ln)
}

// Stop ends accepting. It may be called from Take, and more than once.
func (ln *Listener) Stop() {
	if ln.loop == nil || ln.fd < 0 {
		return
	}
	ln.loop.Forget(&ln.resumeTimer)
	ln.loop.Remove(ln.fd)
	ln.fd = -1
}

// OnReady implements Handler.
func (ln *Listener) OnReady(Ready) { ln.Accept() }

// Accept accepts waiting connections, with at most PerTurn calls of accept.
func (ln *Listener) Accept() {
	madeRoom := false
	if ln.waitingSince == 0 && ln.loop != nil {
		ln.waitingSince = ln.loop.EarliestArrival()
	}
	for range ln.PerTurn {
		if ln.fd < 0 { // stopped by Take
			return
		}
		fd, err := ln.loop.accept(ln.fd)
		if err == nil {
			ln.failures = 0
			if madeRoom { // MakeRoom helped, and may be called again at once
				ln.nextMakeRoom = 0
			}
			ln.Take(fd)
			continue
		}
		if err == unix.EAGAIN {
			ln.waitingSince = 0
			return
		}
		ln.failures++
		if concernsOneConnection(err) && ln.failures < maxAcceptFailures {
			continue
		}
		if !madeRoom && ln.makeRoom(err) {
			madeRoom = true
			continue
		}
		ln.pause()
		return
	}
}

// makeRoom calls MakeRoom after an error of accept that means that no descriptor is left. If the
// previous call did not help, as in a shortage of the whole machine, it waits for makeRoomPause
// before the next.
func (ln *Listener) makeRoom(err error) bool {
	noDescriptor := err == unix.EMFILE || err == unix.ENFILE
	if !noDescriptor || ln.MakeRoom == nil || ln.loop.Now() < ln.nextMakeRoom {
		return false
	}
	if !ln.MakeRoom() {
		return false
	}
	ln.nextMakeRoom = ln.loop.Now() + makeRoomPause
	return true
}

func (ln *Listener) pause() {
	ln.failures = 0
	ln.Pauses++
	ln.loop.Want(ln.fd, 0)
	ln.loop.Arm(&ln.resumeTimer, acceptPause)
}

func (l *Loop) accept(listener int) (int, error) {
	if l.calls == nil {
		return Kernel.Accept(listener)
	}
	return l.calls.Accept(listener)
}

// Listen creates a non-blocking listening TCP socket at address, as net.Listen parses it, and
// returns its descriptor, which the caller must close, and the address that it is bound to.
func Listen(address string) (fd int, bound string, err error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return -1, "", err // contains the operation and the address
	}
	defer ln.Close()
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		return -1, "", fmt.Errorf("eventloop: descriptor of the listener at %s: %w", address, err)
	}
	defer file.Close()
	fd, err = unix.FcntlInt(file.Fd(), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, "", fmt.Errorf("eventloop: duplicate the listener at %s: %w", address, err)
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		unix.Close(fd)
		return -1, "", fmt.Errorf("eventloop: make the listener at %s non-blocking: %w", address, err)
	}
	return fd, ln.Addr().String(), nil
}
