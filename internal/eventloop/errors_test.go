package eventloop

import (
	"fmt"
	"os"
	"testing"

	"golang.org/x/sys/unix"
)

// TestErrorClasses: which errors are for later, which end a connection and which are this
// machine's own, plain and wrapped.
func TestErrorClasses(t *testing.T) {
	const later, broken, shortage = 1, 2, 4
	for err, want := range map[error]int{
		nil: 0, os.ErrInvalid: 0, unix.EBADF: 0,
		unix.EAGAIN: later | shortage, unix.EINTR: later | shortage, unix.ENOBUFS: later | shortage, unix.ENOMEM: later | shortage,
		unix.ECONNRESET: broken, unix.EPIPE: broken, unix.ETIMEDOUT: broken, unix.EHOSTUNREACH: broken, unix.ECONNREFUSED: broken,
		unix.ENETUNREACH: broken | shortage, unix.ECONNABORTED: broken | shortage,
		unix.EMFILE: shortage, unix.ENFILE: shortage, unix.EADDRNOTAVAIL: shortage, unix.EPERM: shortage, unix.ENOSPC: shortage,
	} {
		for _, err := range []error{err, fmt.Errorf("wrapped: %w", err)} {
			got := 0
			for bit, holds := range map[int]bool{later: Retryable(err), broken: Broken(err), shortage: IsLocalShortage(err)} {
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
