package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point on the monotonic clock, or a span of it, in milliseconds.
type Millis = float64

// clockBase is the system's monotonic clock when this process started, and startedAt is the Go
// runtime's reading of the same clock at that time. Clock adds the time since startedAt, which
// the runtime reads without a system call.
var clockBase, startedAt = func() (Millis, time.Time) {
	var ts unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts) // cannot fail with this clock
	return float64(ts.Sec)*1e3 + float64(ts.Nsec)/1e6, time.Now()
}()

// Clock returns the system's monotonic clock in milliseconds.
func Clock() Millis { return clockBase + float64(time.Since(startedAt).Nanoseconds())/1e6 }
