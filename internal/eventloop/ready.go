package eventloop

import "golang.org/x/sys/unix"

// Interest is the set of events that a handler wants. Errors and hang-ups are always reported.
type Interest uint32

// The interests, as epoll's event bits; they can be combined.
const (
	Read  Interest = unix.EPOLLIN | unix.EPOLLRDHUP // data, or the peer's end
	Write Interest = unix.EPOLLOUT                  // space to write, or a finished connect
)

// Ready is the set of events that epoll reported for a descriptor.
type Ready uint32

// Readable reports data, a peer's half-close, or an error to be read.
func (r Ready) Readable() bool {
	return r&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0
}

// Writable reports space to write, a finished connect, or an error.
func (r Ready) Writable() bool { return r&(unix.EPOLLOUT|unix.EPOLLHUP|unix.EPOLLERR) != 0 }

// Ended reports that the peer has closed its direction, or both are closed, or an error; bytes
// that came before may still be there to be read.
func (r Ready) Ended() bool { return r&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 }

// Hangup reports that both directions are closed, or an error.
func (r Ready) Hangup() bool { return r&(unix.EPOLLHUP|unix.EPOLLERR) != 0 }

// A Handler is called with its descriptor's readiness. Events are level-triggered: what was
// not read is reported again in the next turn.
type Handler interface {
	// OnReady runs on the loop's goroutine and must not block.
	OnReady(Ready)
}
