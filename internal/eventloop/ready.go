package eventloop

import "golang.org/x/sys/unix"

// Interest is the set of events that are reported to a handler, besides errors and hang-ups,
// which always are.
type Interest uint32

// The interests, as epoll's event bits; they can be combined.
const (
	Read  Interest = unix.EPOLLIN | unix.EPOLLRDHUP // data, or the peer's half-close
	Write Interest = unix.EPOLLOUT                  // space to write, or a finished connect
	End   Interest = unix.EPOLLRDHUP                // the peer's half-close, without data before it
)

// Ready is the set of events that epoll reported for a descriptor.
type Ready uint32

// Readable reports whether there is data, the peer's half-close or an error to be read.
func (r Ready) Readable() bool {
	return r&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0
}

// Writable reports whether there is space to write, a finished connect or an error.
func (r Ready) Writable() bool { return r&(unix.EPOLLOUT|unix.EPOLLHUP|unix.EPOLLERR) != 0 }

// Ended reports whether the peer has closed its side, both sides are closed, or there is an
// error. Earlier bytes may still be there to be read.
func (r Ready) Ended() bool { return r&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 }

// Hangup reports whether both sides are closed or there is an error.
func (r Ready) Hangup() bool { return r&(unix.EPOLLHUP|unix.EPOLLERR) != 0 }

// A Handler is called when its descriptor is ready. Events are level-triggered: bytes that were
// not read are reported again in the next turn.
type Handler interface {
	// OnReady runs on the loop's goroutine and must not block.
	OnReady(Ready)
}
