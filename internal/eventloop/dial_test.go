package eventloop

import (
	"errors"
	"testing"

	"golang.org/x/sys/unix"
)

// TestDialFails checks that Dial returns the error of a failed system call, and repeats calls
// that are interrupted.
func TestDialFails(t *testing.T) {
	listener, address, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(listener)
	for _, c := range []struct {
		name            string
		socket, connect func() error
		want            error
	}{
		{"interrupted once", failTimes(1, unix.EINTR), failTimes(1, unix.EINTR), nil},
		{"interrupted always", nil, failAlways(unix.EINTR), unix.EINTR},
		{"no descriptor", failAlways(unix.ENFILE), nil, unix.ENFILE},
		{"no port", nil, failAlways(unix.EADDRNOTAVAIL), unix.EADDRNOTAVAIL},
		{"no route", nil, failAlways(unix.ENETUNREACH), unix.ENETUNREACH},
		{"refused", nil, failAlways(unix.ECONNREFUSED), unix.ECONNREFUSED},
	} {
		l := newLoop(t, &failingCalls{socket: c.socket, connect: c.connect})
		fd, _, err := l.Dial(address)
		if !errors.Is(err, c.want) || (err == nil) != (fd >= 0) {
			t.Errorf("%s: descriptor %d, error %v; want error %v, and a descriptor only without one", c.name, fd, err, c.want)
		}
		if fd >= 0 {
			unix.Close(fd)
		}
	}
}
