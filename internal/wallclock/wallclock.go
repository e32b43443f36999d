// Package wallclock is the only place where routers, caches and control services read the wall
// clock: for timestamps, HTTP dates, and times that another process will read. The wall clock
// may be set at any time and must not be used for durations within a process, so the times that
// Now returns have no monotonic reading.
//
// Fault injection can step the clock of this process by Step.
//
// Where to go next: internal/testbed/faultinject, which steps it; internal/eventloop (Clock) for
// durations; internal/proxy/unixclock for the ages of times from the platform.
package wallclock

import (
	"sync/atomic"
	"time"
)

// stepped is the sum of all steps, in nanoseconds. It is global, like the machine's clock,
// because a fault must affect every reading in the process.
var stepped atomic.Int64

// Now returns the wall clock's time.
func Now() time.Time { return At(time.Now()) }

// At returns the wall clock's time at a moment that time.Now returned in this process.
func At(moment time.Time) time.Time {
	return moment.Round(0).Add(time.Duration(stepped.Load()))
}

// Step moves the wall clock of this process forward, or back if by is negative, for fault
// injection.
func Step(by time.Duration) { stepped.Add(int64(by)) }
