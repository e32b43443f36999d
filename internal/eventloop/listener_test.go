package eventloop

import (
	"fmt"
	"testing"

	"golang.org/x/sys/unix"
)

// TestListenerSurvivesAcceptErrors checks for each error of accept, once or for 100 ms, that the
// loop does not spin, that MakeRoom is called only when descriptors run out, and that all
// connections are accepted once accept succeeds.
func TestListenerSurvivesAcceptErrors(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.EPERM, unix.ENETUNREACH,
		unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EINVAL, unix.ETIMEDOUT} {
		for _, fails := range []struct {
			span  string
			calls func() error
		}{{"one call", failTimes(1, errno)}, {"100 ms", failAlways(errno)}} {
			t.Run(fmt.Sprintf("%v/%s", errno, fails.span), func(t *testing.T) {
				calls := &failingCalls{accept: fails.calls}
				l := newLoop(t, calls)
				fd, address, err := Listen("127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer unix.Close(fd)
				accepted, makeRoomCalls := 0, 0
				ln := &Listener{PerTurn: 64, Take: func(fd int) { accepted++; unix.Close(fd) },
					MakeRoom: func() bool { makeRoomCalls++; return true }}
				if err := ln.Start(l, fd); err != nil {
					t.Fatal(err)
				}
				defer ln.Stop()
				for range 10 {
					client, _, err := l.Dial(address)
					if err != nil {
						t.Fatal(err)
					}
					defer unix.Close(client)
				}
				if turns := turnFor(t, l, 100); turns > 50 || calls.calls > 200 {
					t.Errorf("%d turns and %d calls in 100 ms, want at most 50 and 200", turns, calls.calls)
				}
				if makeRoomCalls > 1 || makeRoomCalls == 1 && errno != unix.EMFILE && errno != unix.ENFILE {
					t.Errorf("MakeRoom was called %d times, want at most once, and only if descriptors run out", makeRoomCalls)
				}
				calls.accept = nil
				turnFor(t, l, 30)
				if accepted != 10 {
					t.Errorf("%d connections were accepted, want 10", accepted)
				}
			})
		}
	}
}
