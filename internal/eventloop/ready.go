package eventloop

import "golang.org/x/sys/unix"

// Interest says what a handler wants to hear of. Errors and hang-ups are always told.
type Interest uint32

// The interests, as epoll has them.
const (
	Read  Interest = unix.EPOLLIN | unix.EPOLLRDHUP
	Write Interest = unix.EPOLLOUT
)

// Ready is what is known of a descriptor.
type Ready uint32

// Readable reports data, a peer's half-close, or an error to be read.
func (r Ready) Readable() bool {
	return r&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0
}

// Writable reports room to write, a finished connect, or an error.
func (r Ready) Writable() bool { return r&(unix.EPOLLOUT|unix.EPOLLHUP|unix.EPOLLERR) != 0 }

// Ended reports that the peer has closed its direction, or more; bytes that came before
// may still be there to be read.
func (r Ready) Ended() bool { return r&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 }

// Hangup reports that both directions are closed, or an error.
func (r Ready) Hangup() bool { return r&(unix.EPOLLHUP|unix.EPOLLERR) != 0 }

// A Handler hears of its descriptor's readiness. Events are level-triggered:
// what was not read is told again in the next turn.
type Handler interface{ OnReady(Ready) }
