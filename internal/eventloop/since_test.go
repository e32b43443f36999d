package eventloop

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestEarliestArrival checks that events during a slow turn may have happened from that turn's
// poll on, and that events during a wait happened when the wait ended.
func TestEarliestArrival(t *testing.T) {
	l, err := New(0)
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(pair[0])
	defer unix.Close(pair[1])
	var since Millis
	l.Add(pair[0], Read, onReady(func(Ready) {
		since = l.EarliestArrival()
		var buf [8]byte
		unix.Read(pair[0], buf[:])
	}))
	turn := func() {
		t.Helper()
		if err := l.turn(); err != nil {
			t.Fatal(err)
		}
	}
	const span = 60 * time.Millisecond

	l.Post(func() { // a slow turn, with bytes that arrive at its end
		time.Sleep(span)
		unix.Write(pair[1], []byte("x"))
	})
	turn()
	polled := l.Now()
	turn()
	if since > polled || since < polled-slowTurn {
		t.Errorf("after a slow turn: EarliestArrival is %v ms after that turn's poll, want -5 to 0", since-polled)
	}

	waits := func(wait time.Duration) {
		t.Helper()
		sent := make(chan Millis, 1)
		time.AfterFunc(wait, func() {
			sent <- Clock()
			unix.Write(pair[1], []byte("x"))
		})
		for since = 0; since == 0; {
			if err := l.turn(); err != nil {
				t.Fatal(err)
			}
		}
		if early := <-sent - since; early > slowTurn {
			t.Errorf("in a wait of %v: EarliestArrival is %v ms before the bytes arrived, want at most %v ms", wait, early, slowTurn)
		}
	}
	waits(span)
	waits(5 * span)
}
