package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point on the monotonic clock, or a span of it, in milliseconds.
type Millis = float64

// The system's monotonic clock where this process began to look, and the
// runtime's reading of the same clock, which needs no call into the kernel.
var clockBase, clockFrom = func() (Millis, time.Time) {
	var ts unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts) // cannot fail with this clock
	return float64(ts.Sec)*1e3 + float64(ts.Nsec)/1e6, time.Now()
}()

// Clock reads the monotonic clock in milliseconds.
func Clock() Millis { return clockBase + float64(time.Since(clockFrom).Nanoseconds())/1e6 }
