package eventloop

import (
	"fmt"
	"os"
	"testing"

	"golang.org/x/sys/unix"
)

func TestErrorClasses(t *testing.T) {
	const later, broken, lacking = 1, 2, 4
	for err, want := range map[error]int{
		nil: 0, os.ErrInvalid: 0, unix.EBADF: 0,
		unix.EAGAIN: later | lacking, unix.EINTR: later | lacking, unix.ENOBUFS: later | lacking, unix.ENOMEM: later | lacking,
		unix.ECONNRESET: broken, unix.EPIPE: broken, unix.ETIMEDOUT: broken, unix.EHOSTUNREACH: broken, unix.ECONNREFUSED: broken,
		unix.ENETUNREACH: broken | lacking, unix.ECONNABORTED: broken | lacking,
		unix.EMFILE: lacking, unix.ENFILE: lacking, unix.EADDRNOTAVAIL: lacking, unix.EPERM: lacking, unix.ENOSPC: lacking,
	} {
		for _, err := range []error{err, fmt.Errorf("wrapped: %w", err)} {
			got := 0
			for bit, holds := range map[int]bool{later: Later(err), broken: Broken(err), lacking: IsLocalShortage(err)} {
				if holds {
					got |= bit
				}
			}
			if got != want {
				t.Errorf("%v: conditions %03b, want %03b", err, got, want)
			}
		}
	}
}
