package eventloop

import (
	"fmt"
	"testing"

	"golang.org/x/sys/unix"
)

// failingCalls fails chosen calls; what has no error is the kernel's.
type failingCalls struct {
	KernelCalls
	accept, socket, connect, read, write, wait func() error
	calls                                      int
}

func (f *failingCalls) fails(call func() error) error {
	if call == nil {
		return nil
	}
	f.calls++
	return call()
}

func (f *failingCalls) Accept(listener int) (int, error) {
	if err := f.fails(f.accept); err != nil {
		return -1, err
	}
	return f.KernelCalls.Accept(listener)
}

func (f *failingCalls) Socket(family int) (int, error) {
	if err := f.fails(f.socket); err != nil {
		return -1, err
	}
	return f.KernelCalls.Socket(family)
}

func (f *failingCalls) Connect(fd int, to unix.Sockaddr) error {
	if err := f.fails(f.connect); err != nil {
		return err
	}
	return f.KernelCalls.Connect(fd, to)
}

func (f *failingCalls) Read(fd int, b []byte) (int, error) {
	if err := f.fails(f.read); err != nil {
		return 0, err
	}
	return f.KernelCalls.Read(fd, b)
}

func (f *failingCalls) Write(fd int, b []byte) (int, error) {
	if err := f.fails(f.write); err != nil {
		return 0, err
	}
	return f.KernelCalls.Write(fd, b)
}

func (f *failingCalls) Wait(epoll int, events []unix.EpollEvent, timeout int) (int, error) {
	if err := f.fails(f.wait); err != nil {
		return 0, err
	}
	return f.KernelCalls.Wait(epoll, events, timeout)
}

func failAlways(err error) func() error { return func() error { return err } }

// failTimes fails a number of calls.
func failTimes(n int, err error) func() error {
	return func() error {
		if n--; n >= 0 {
			return err
		}
		return nil
	}
}

// turnFor has the loop turn for a span of ms, and returns how many turns that made.
func turnFor(t *testing.T, l *Loop, span Millis) uint64 {
	t.Helper()
	before, over := l.Turns(), false
	l.AfterFunc(Clock()-l.Now()+span, func() { over = true })
	for !over {
		if err := l.turn(); err != nil {
			t.Fatal(err)
		}
	}
	return l.Turns() - before
}

func newLoop(t testing.TB, calls Syscalls) *Loop {
	l, err := New(0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.close)
	l.Intercept(calls)
	return l
}

func socketPair(t testing.TB) (ours, theirs int) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fds[0]); unix.Close(fds[1]) })
	return fds[0], fds[1]
}

// A read or write that is interrupted, or for which the kernel lacks memory, is made again:
// the bytes arrive, and the loop does not spin while the shortage lasts.
func TestReadWriteRetried(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EINTR, unix.ENOBUFS, unix.ENOMEM, unix.EAGAIN} {
		for _, for_ := range []string{"one call", "50 ms"} {
			t.Run(fmt.Sprintf("%v/%s", errno, for_), func(t *testing.T) {
				f := &failingCalls{}
				l := newLoop(t, f)
				ours, theirs := socketPair(t)
				got, sent := "", false
				var b [16]byte
				l.Add(ours, Read|Write, onReady(func(r Ready) {
					if !sent {
						n, err := l.Write(ours, []byte("ping"))
						if err != nil && !Later(err) {
							t.Fatalf("write: %v", err)
						}
						if sent = n == 4; sent {
							l.Want(ours, Read)
						}
					}
					if n, err := l.Read(ours, b[:]); err == nil {
						got += string(b[:n])
					} else if !Later(err) {
						t.Fatalf("read: %v", err)
					}
				}))
				unix.Write(theirs, []byte("pong"))
				if f.read, f.write = failTimes(1, errno), failTimes(1, errno); for_ == "50 ms" {
					f.read, f.write = failAlways(errno), failAlways(errno)
				}
				if turns := turnFor(t, l, 50); turns > 30 && errno != unix.EAGAIN {
					t.Errorf("%d turns in 50 ms, %d calls", turns, f.calls)
				}
				f.read, f.write = nil, nil
				turnFor(t, l, 2*longestSuspension)
				n, _ := unix.Read(theirs, b[:])
				if got != "pong" || n != 4 {
					t.Errorf("read %q, peer %d bytes", got, n)
				}
			})
		}
	}
}

// A descriptor that is suspended may be removed, and its number used anew, meanwhile.
func TestRemovedWhileSuspended(t *testing.T) {
	f := &failingCalls{read: failAlways(unix.ENOBUFS)}
	l := newLoop(t, f)
	ours, theirs := socketPair(t)
	heard := 0
	var b [1]byte
	l.Add(ours, Read, onReady(func(Ready) { l.Read(ours, b[:]); l.Remove(ours) }))
	unix.Write(theirs, []byte("x"))
	l.turn()
	if err := l.Add(ours, 0, onReady(func(Ready) { heard++ })); err != nil {
		t.Fatal(err)
	}
	turnFor(t, l, 10)
	if heard != 0 {
		t.Errorf("the next owner heard %d events that it did not want", heard)
	}
	l.Want(ours, Read)
	if turnFor(t, l, 1); heard == 0 {
		t.Error("the next owner hears nothing")
	}
}

func TestWaitInterrupted(t *testing.T) {
	l := newLoop(t, &failingCalls{wait: failAlways(unix.EINTR)})
	if turns := turnFor(t, l, 50); turns > 100 {
		t.Errorf("%d turns in 50 ms", turns)
	}
	l.Intercept(nil)
	ours, theirs := socketPair(t)
	heard := 0
	l.Add(ours, Read, onReady(func(Ready) { heard++; l.Remove(ours) }))
	unix.Write(theirs, []byte("x"))
	if turnFor(t, l, 5); heard != 1 {
		t.Errorf("heard %d times after the interruptions", heard)
	}
}

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
					b.Fatal(n, err)
				}
				if n, err := c.read(theirs, buf); n != len(message) || err != nil {
					b.Fatal(n, err)
				}
			}
		})
	}
}
