package eventloop

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// ErrFull is returned by Post when the queue of posted calls is full.
var ErrFull = errors.New("eventloop: queue of posted calls is full")

// ErrStopped is returned by Post after Stop.
var ErrStopped = errors.New("eventloop: stopped")

// Post queues f to be called on the loop's goroutine in its next turn. It may be called from any
// goroutine and never blocks. If it returns an error, ErrFull or ErrStopped, f is not called.
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

// wake makes the loop's poll return. A failed write means that the eventfd's counter is at its
// maximum, and then poll returns too.
func (l *Loop) wake() {
	one := [8]byte{1}
	unix.Write(l.wakefd, one[:])
}

// runPosted runs the calls posted so far; what these post runs in the next turn.
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

// Call runs f on the loop's goroutine and waits until it has run. After limit it returns an
// error, and f may still run later. It returns the errors of Post. Call must not be called on
// the loop's own goroutine.
func (l *Loop) Call(limit time.Duration, f func()) error {
	done := make(chan struct{})
	err := l.Post(func() {
		f()
		close(done)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("eventloop: a posted call did not run within %v", limit)
	}
}
