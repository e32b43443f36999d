package eventloop

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"
)

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
		t.Fatalf("read %q", s)
	}
	unix.Shutdown(fds[1], unix.SHUT_WR)
	if s := <-got; s != "eof" {
		t.Fatalf("read %q, want the half-close", s)
	}
}

// A handler that closes another's descriptor in the same turn must keep that
// other's event from reaching whoever gets the number next.
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
		t.Fatalf("%d handlers heard, want only the first", calls)
	}
}

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
		t.Fatalf("%d posted calls ran", ran)
	}
	l.Stop()
	if err := l.Post(func() {}); err != ErrStopped {
		t.Fatalf("after Stop: %v", err)
	}
	l.Run()
}

func TestPostFromMany(t *testing.T) {
	l := startLoop(t)
	var wg sync.WaitGroup
	sum, tries := 0, 200
	for range 8 {
		wg.Go(func() {
			for range tries {
				for l.Post(func() { sum++ }) == ErrFull {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	var got int
	if err := l.Call(5*time.Second, func() { got = sum }); err != nil {
		t.Fatal(err)
	}
	if got != 8*tries {
		t.Fatalf("%d calls ran, want %d", got, 8*tries)
	}
}

// Whatever is armed, moved and stopped, timers come due in order.
func TestTimersAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Loop{}
		fired := []int{}
		want := map[int]Millis{}
		timers := make([]Timer, 20)
		for i := range timers {
			timers[i].F = func() {
				if due, ok := want[i]; !ok || due > l.now {
					t.Fatalf("timer %d fired at %v, due %v (armed: %v)", i, l.now, due, ok)
				}
				delete(want, i)
				fired = append(fired, i)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(timers)-1).Draw(t, "timer")
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				in := float64(rapid.IntRange(0, 50).Draw(t, "in"))
				l.Arm(&timers[i], in)
				want[i] = l.now + in
			case 2:
				if rapid.Bool().Draw(t, "for good") {
					l.Forget(&timers[i])
				} else {
					l.Disarm(&timers[i])
				}
				delete(want, i)
			case 3:
				l.now += float64(rapid.IntRange(0, 20).Draw(t, "pass"))
				l.runTimers()
				for k, due := range want {
					if due <= l.now {
						t.Fatalf("timer %d, due %v, did not fire by %v", k, due, l.now)
					}
				}
			}
			if l.Timers() != len(want) {
				t.Fatalf("%d timers armed, want %d", l.Timers(), len(want))
			}
		}
	})
}

func TestTimersRunInOrder(t *testing.T) {
	l := startLoop(t)
	got := make(chan int, 3)
	l.Post(func() {
		for _, in := range []int{30, 10, 20} {
			l.AfterFunc(float64(in), func() { got <- in })
		}
	})
	for _, want := range []int{10, 20, 30} {
		if in := <-got; in != want {
			t.Fatalf("timer of %d ms came due before that of %d ms", in, want)
		}
	}
}

func BenchmarkTimers(b *testing.B) {
	l := &Loop{}
	timers := make([]Timer, 100_000)
	for i := range timers {
		timers[i].F = func() {}
		l.Arm(&timers[i], rand.Float64()*1000)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Arm(&timers[i%len(timers)], float64(i%997))
	}
}
