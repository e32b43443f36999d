// Package wallclock is the one place where routers, boxes and control services read the
// wall clock: for stamps, for the dates of HTTP, and for times that are stored and read
// again by another process. Anybody may set that clock at any time, so no span is taken
// from it within one process: what it gives has no monotonic reading.
package wallclock

import (
	"sync/atomic"
	"time"
)

var stepped atomic.Int64 // nanoseconds

// Now is the wall clock.
func Now() time.Time { return At(time.Now()) }

// At is what the wall clock showed at a moment of this process that time.Now gave.
func At(moment time.Time) time.Time {
	return moment.Round(0).Add(time.Duration(stepped.Load()))
}

// Step sets the wall clock of this process forward, or back, as fault injection does.
func Step(by time.Duration) { stepped.Add(int64(by)) }
