package eventloop

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// ErrFull is returned by Post when the queue of posted calls is full.
var ErrFull = errors.New("loop: queue of posted calls is full")

// ErrStopped is returned by Post after Stop.
var ErrStopped = errors.New("loop: stopped")

// Post has f called by the loop's goroutine in its next turn. It may be called
// from any goroutine, never blocks, and fails when the queue is full.
func (l *Loop) Post(f func()) error {
	l.mu.Lock()
	if l.stopped {
		l.mu.Unlock()
		return ErrStopped
	}
	if len(l.posted) >= l.maxPosted {
		l.mu.Unlock()
		return ErrFull
	}
	first := len(l.posted) == 0
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	if first {
		l.wake()
	}
	return nil
}

func (l *Loop) wake() {
	one := [8]byte{1}
	unix.Write(l.wakefd, one[:]) // a full counter wakes the loop too
}

func (l *Loop) runPosted() {
	var count [8]byte
	unix.Read(l.wakefd, count[:])
	l.mu.Lock()
	l.posted, l.spare = l.spare[:0], l.posted
	l.mu.Unlock()
	for i, f := range l.spare {
		f()
		l.spare[i] = nil
	}
}

// Call runs f on the loop's goroutine and waits for it at most within limit.
func (l *Loop) Call(limit time.Duration, f func()) error {
	done := make(chan struct{})
	if err := l.Post(func() { f(); close(done) }); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("loop: a posted call did not run within %v", limit)
	}
}
