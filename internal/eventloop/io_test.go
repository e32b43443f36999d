package eventloop

import (
	"fmt"
	"testing"

	"golang.org/x/sys/unix"
)

// TestReadWriteRetried checks that a read or write is repeated if it is interrupted or the kernel
// lacks memory, once or for 50 ms: the bytes arrive, and the loop does not spin meanwhile.
func TestReadWriteRetried(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EINTR, unix.ENOBUFS, unix.ENOMEM, unix.EAGAIN} {
		for _, span := range []string{"one call", "50 ms"} {
			t.Run(fmt.Sprintf("%v/%s", errno, span), func(t *testing.T) {
				calls := &failingCalls{}
				l := newLoop(t, calls)
				ours, theirs := socketPair(t)
				got, sent := "", false
				var buf [16]byte
				l.Add(ours, Read|Write, onReady(func(r Ready) {
					if !sent {
						n, err := l.Write(ours, []byte("ping"))
						if err != nil && !Retryable(err) {
							t.Fatalf("write: %v", err)
						}
						sent = n == 4
						if sent {
							l.Want(ours, Read)
						}
					}
					if n, err := l.Read(ours, buf[:]); err == nil {
						got += string(buf[:n])
					} else if !Retryable(err) {
						t.Fatalf("read: %v", err)
					}
				}))
				unix.Write(theirs, []byte("pong"))
				calls.read, calls.write = failTimes(1, errno), failTimes(1, errno)
				if span == "50 ms" {
					calls.read, calls.write = failAlways(errno), failAlways(errno)
				}
				if turns := turnFor(t, l, 50); turns > 30 && errno != unix.EAGAIN {
					t.Errorf("%d turns in 50 ms, want at most 30; %d system calls", turns, calls.calls)
				}
				calls.read, calls.write = nil, nil
				turnFor(t, l, 2*maxSuspension)
				n, _ := unix.Read(theirs, buf[:])
				if got != "pong" || n != 4 {
					t.Errorf("read %q, and the peer read %d bytes; want \"pong\" and 4", got, n)
				}
			})
		}
	}
}

// TestRemovedWhileSuspended guards against events for the wrong handler: a suspended descriptor
// is removed, and its number is watched again before the suspension ends.
func TestRemovedWhileSuspended(t *testing.T) {
	l := newLoop(t, &failingCalls{read: failAlways(unix.ENOBUFS)})
	ours, theirs := socketPair(t)
	events := 0
	var buf [1]byte
	l.Add(ours, Read, onReady(func(Ready) {
		l.Read(ours, buf[:])
		l.Remove(ours)
	}))
	unix.Write(theirs, []byte("x"))
	l.turn()
	if err := l.Add(ours, 0, onReady(func(Ready) { events++ })); err != nil {
		t.Fatal(err)
	}
	turnFor(t, l, 10)
	if events != 0 {
		t.Errorf("the new handler got %d events while it wanted none", events)
	}
	l.Want(ours, Read)
	turnFor(t, l, 1)
	if events == 0 {
		t.Error("the new handler got no event after Want(Read)")
	}
}

// TestWaitInterrupted checks that the loop does not spin while its waits are interrupted, and
// handles events afterwards.
func TestWaitInterrupted(t *testing.T) {
	l := newLoop(t, &failingCalls{wait: failAlways(unix.EINTR)})
	if turns := turnFor(t, l, 50); turns > 100 {
		t.Errorf("%d turns in 50 ms, want at most 100", turns)
	}
	l.Intercept(nil)
	ours, theirs := socketPair(t)
	events := 0
	l.Add(ours, Read, onReady(func(Ready) {
		events++
		l.Remove(ours)
	}))
	unix.Write(theirs, []byte("x"))
	turnFor(t, l, 5)
	if events != 1 {
		t.Errorf("%d events after the interruptions, want 1", events)
	}
}

// BenchmarkReadWrite compares a message through the loop with the kernel's calls alone.
func BenchmarkReadWrite(b *testing.B) {
	ours, theirs := socketPair(b)
	message, buf := make([]byte, 64), make([]byte, 4096)
	l := newLoop(b, nil)
	intercepted := newLoop(b, Kernel)
	for _, c := range []struct {
		name  string
		read  func(int, []byte) (int, error)
		write func(int, []byte) (int, error)
	}{
		{"kernel", Kernel.Read, Kernel.Write},
		{"loop", l.Read, l.Write},
		{"intercepted", intercepted.Read, intercepted.Write},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if n, err := c.write(ours, message); n != len(message) || err != nil {
					b.Fatalf("wrote %d bytes of %d: %v", n, len(message), err)
				}
				if n, err := c.read(theirs, buf); n != len(message) || err != nil {
					b.Fatalf("read %d bytes of %d: %v", n, len(message), err)
				}
			}
		})
	}
}
