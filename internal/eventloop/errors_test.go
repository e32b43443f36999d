package eventloop

import (
	"fmt"
	"os"
	"testing"

	"golang.org/x/sys/unix"
)

// TestErrorClasses checks the classes of system errors, plain and wrapped.
func TestErrorClasses(t *testing.T) {
	const retryable, broken, shortage = 1, 2, 4
	for err, want := range map[error]int{
		nil: 0, os.ErrInvalid: 0, unix.EBADF: 0,
		unix.EAGAIN: retryable | shortage, unix.EINTR: retryable | shortage, unix.ENOBUFS: retryable | shortage, unix.ENOMEM: retryable | shortage,
		unix.ECONNRESET: broken, unix.EPIPE: broken, unix.ETIMEDOUT: broken, unix.EHOSTUNREACH: broken, unix.ECONNREFUSED: broken,
		unix.ENETUNREACH: broken | shortage, unix.ECONNABORTED: broken | shortage,
		unix.EMFILE: shortage, unix.ENFILE: shortage, unix.EADDRNOTAVAIL: shortage, unix.EPERM: shortage, unix.ENOSPC: shortage,
	} {
		for _, err := range []error{err, fmt.Errorf("wrapped: %w", err)} {
			got := 0
			for bit, holds := range map[int]bool{retryable: Retryable(err), broken: Broken(err), shortage: IsLocalShortage(err)} {
				if holds {
					got |= bit
				}
			}
			if got != want {
				t.Errorf("%v: IsLocalShortage, Broken, Retryable as bits: %03b, want %03b", err, got, want)
			}
		}
	}
}
