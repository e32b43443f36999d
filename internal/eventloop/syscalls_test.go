package eventloop

import (
	"testing"

	"golang.org/x/sys/unix"
)

// failingCalls makes system calls fail with the errors that its functions return. If a function
// is nil or returns nil, the kernel makes the call. calls counts the calls of these functions.
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

// failAlways returns a function that fails every call with err.
func failAlways(err error) func() error { return func() error { return err } }

// failTimes returns a function that fails the first n calls with err.
func failTimes(n int, err error) func() error {
	return func() error {
		if n == 0 {
			return nil
		}
		n--
		return err
	}
}

// turnFor runs the loop for span ms, and returns the number of turns.
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

// newLoop returns a loop that uses calls, and whose turns the test runs itself.
func newLoop(t testing.TB, calls Syscalls) *Loop {
	t.Helper()
	l, err := New(0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.close)
	l.Intercept(calls)
	return l
}

// socketPair returns two connected stream sockets, which are closed when the test ends.
func socketPair(t testing.TB) (ours, theirs int) {
	t.Helper()
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		unix.Close(fds[0])
		unix.Close(fds[1])
	})
	return fds[0], fds[1]
}
