package eventloop

import (
	"net"

	"golang.org/x/sys/unix"
)

const (
	acceptFailures = 16     // in a row that concern one connection each, before accepting pauses
	acceptPause    = 20.0   // ms without accepting where something lacks
	makeRoomPause  = 1000.0 // ms until room is asked for again that was of no use
)

// A Listener takes the connections of a listening socket, a bounded number in each turn of
// its loop. Where something lacks, and where calls fail time after time, it pauses: who
// connects waits in the kernel's queue, and the loop does not turn for it.
type Listener struct {
	// PerTurn is how many calls of accept one turn makes at most.
	PerTurn int
	// Take is given each connection's descriptor, to be closed by it.
	Take func(fd int)
	// MakeRoom, unless it is nil, closes a descriptor that can be done without, where none
	// is to be had; false: there is none.
	MakeRoom func() bool
	// Pauses counts how often accepting has paused.
	Pauses uint64

	loop         *Loop
	fd           int
	failures     int
	waitingSince Millis // see Since; 0: the queue was found empty
	noRoomBefore Millis // no room is asked for before
	resumeTimer  Timer
}

// Start begins to take the connections of a listening socket, which stays the caller's to
// close after Stop.
func (ln *Listener) Start(l *Loop, fd int) error {
	ln.loop, ln.fd = l, fd
	ln.resumeTimer.F = func() { ln.loop.Want(ln.fd, Read) }
	return l.Add(fd, Read, ln)
}

// Stop ends it.
func (ln *Listener) Stop() {
	if ln.loop == nil || ln.fd < 0 {
		return
	}
	ln.loop.Forget(&ln.resumeTimer)
	ln.loop.Remove(ln.fd)
	ln.fd = -1
}

// OnReady is the loop's.
func (ln *Listener) OnReady(Ready) { ln.Accept() }

// Accept takes connections that wait, as many as one turn may.
func (ln *Listener) Accept() {
	asked := false
	if ln.waitingSince == 0 && ln.loop != nil {
		ln.waitingSince = ln.loop.Since()
	}
	for range ln.PerTurn {
		if ln.fd < 0 { // stopped by Take
			return
		}
		fd, err := ln.loop.accept(ln.fd)
		if err == nil {
			ln.failures = 0
			if asked { // room was of use
				ln.noRoomBefore = 0
			}
			ln.Take(fd)
			continue
		}
		if err == unix.EAGAIN {
			ln.waitingSince = 0
			return
		}
		if ln.failures++; concernsOneConnection(err) && ln.failures < acceptFailures {
			continue
		}
		if !asked && ln.makeRoom(err) {
			asked = true
			continue
		}
		ln.pause()
		return
	}
}

// makeRoom has a descriptor closed where none is to be had. Where that was of no use, as in
// a shortage of the whole machine, it is not done again for a while.
func (ln *Listener) makeRoom(err error) bool {
	if err != unix.EMFILE && err != unix.ENFILE || ln.MakeRoom == nil || ln.loop.Now() < ln.noRoomBefore || !ln.MakeRoom() {
		return false
	}
	ln.noRoomBefore = ln.loop.Now() + makeRoomPause
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
