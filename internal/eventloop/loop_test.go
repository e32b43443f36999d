package eventloop

import (
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// startLoop returns a loop that runs on a goroutine of its own until the test ends.
func startLoop(t testing.TB) *Loop {
	l, err := New(64)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- l.Run() }()
	t.Cleanup(func() {
		l.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l
}

type onReady func(Ready)

func (f onReady) OnReady(r Ready) { f(r) }

// TestReadiness checks that data and the peer's half-close are reported.
func TestReadiness(t *testing.T) {
	l := startLoop(t)
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fds[1])
	got := make(chan string, 8)
	l.Call(5*time.Second, func() {
		l.Add(fds[0], Read, onReady(func(r Ready) {
			var b [16]byte
			n, _ := unix.Read(fds[0], b[:])
			if n <= 0 {
				l.Remove(fds[0])
				unix.Close(fds[0])
				got <- "eof"
				return
			}
			got <- string(b[:n])
		}))
	})
	unix.Write(fds[1], []byte("hi"))
	if s := <-got; s != "hi" {
		t.Fatalf("read %q, want \"hi\"", s)
	}
	unix.Shutdown(fds[1], unix.SHUT_WR)
	if s := <-got; s != "eof" {
		t.Fatalf("read %q, want the half-close", s)
	}
}

// TestRemovedInSameTurn guards against events for a reused descriptor: a handler removes another
// descriptor with an event in the same turn, and that event must be dropped.
func TestRemovedInSameTurn(t *testing.T) {
	l, err := New(0)
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	var pairs [2][2]int
	for i := range pairs {
		if pairs[i], err = unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0); err != nil {
			t.Fatal(err)
		}
		unix.Write(pairs[i][1], []byte("x"))
	}
	calls := 0
	for i := range pairs {
		l.Add(pairs[i][0], Read, onReady(func(Ready) {
			calls++
			for _, p := range pairs {
				l.Remove(p[0])
			}
		}))
	}
	if err := l.turn(); err != nil {
		t.Fatal(err)
	}
	if calls != 1 {
		t.Fatalf("%d handlers were called, want 1, since it removes the other descriptor", calls)
	}
}

// TestPostBounds checks that Post returns an error when the queue is full, and after Stop.
func TestPostBounds(t *testing.T) {
	l, err := New(2)
	if err != nil {
		t.Fatal(err)
	}
	ran := 0
	for range 2 {
		if err := l.Post(func() { ran++ }); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Post(func() {}); err != ErrFull {
		t.Fatalf("third post: %v, want ErrFull", err)
	}
	l.turn()
	if ran != 2 {
		t.Fatalf("%d posted calls ran, want 2", ran)
	}
	l.Stop()
	if err := l.Post(func() {}); err != ErrStopped {
		t.Fatalf("post after Stop: %v, want ErrStopped", err)
	}
	l.Run()
}

// TestPostFromMany checks that all calls posted by several goroutines run.
func TestPostFromMany(t *testing.T) {
	l := startLoop(t)
	var wg sync.WaitGroup
	sum, calls := 0, 200
	for range 8 {
		wg.Go(func() {
			for range calls {
				for l.Post(func() { sum++ }) == ErrFull {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	var got int
	deadline := time.Now().Add(5 * time.Second)
	err := l.Call(time.Until(deadline), func() { got = sum })
	for err == ErrFull && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
		err = l.Call(time.Until(deadline), func() { got = sum })
	}
	if err != nil {
		t.Fatal(err)
	}
	if got != 8*calls {
		t.Fatalf("%d calls ran, want %d", got, 8*calls)
	}
}
