// Package wallclock is the one place where routers, caches and control services read the wall
// clock: for timestamps, for the dates of HTTP, and for times that are stored and read again by
// another process. That clock may be set at any time, so no span is computed from it within one
// process: what Now returns has no monotonic reading.
//
// It owns the offset by which fault injection steps the clock of this process.
//
// Where to go next: internal/testbed/faultinject, which steps it; internal/eventloop (Clock) for
// spans; internal/proxy/unixclock for the age of the platform's times.
package wallclock

import (
	"sync/atomic"
	"time"
)

// stepped is what Step has added, in nanoseconds. It is the package's only state, and global
// as the machine's clock is: a fault must reach every reading in the process.
var stepped atomic.Int64

// Now returns the time of the wall clock.
func Now() time.Time { return At(time.Now()) }

// At returns what the wall clock showed at a moment of this process, given as time.Now returned
// it.
func At(moment time.Time) time.Time {
	return moment.Round(0).Add(time.Duration(stepped.Load()))
}

// Step sets the wall clock of this process forward, or back if by is negative, for fault
// injection.
func Step(by time.Duration) { stepped.Add(int64(by)) }
