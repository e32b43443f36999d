// Package unixclock estimates the age of Unix times that the platform sends, using a clock that
// runs evenly, such as the monotonic one. It never reads the machine's wall clock, which may be
// stepped at any time or be wrong from the start; it uses only the times received.
//
// An event that contains a Unix time was created before it was sent, so the platform's clock
// showed at least that time when the event arrived. The latest such time, advanced by the
// caller's clock, is never ahead of the platform's clock, and an age computed from it never
// exceeds the true age. This is the safe direction for purges: an underestimated age costs a few
// fills, while an overestimated one would keep outdated copies in use.
//
// The package does no I/O; the caller passes the time of its own clock to each call.
//
// Where to go next: internal/proxy/platform (node.go), which uses it for the ages of purges and
// of members; internal/wallclock for times that other processes read.
package unixclock

// Millis is a time on the caller's clock, or a duration, in milliseconds.
type Millis = float64

// Clock is an estimate of the platform's Unix time. Its zero value has observed no time yet. It
// is not safe for concurrent use.
type Clock struct {
	seen         bool   // Observe was called
	offset       Millis // estimated Unix time minus the caller's clock; never decreases
	current      bool   // MarkCurrent was called
	currentSince Millis // when it was called last
}

// Observe records a Unix time, in milliseconds, that had arrived at now. A time ahead of the
// estimate moves the estimate forward; any other has no effect.
func (c *Clock) Observe(unix, now Millis) {
	if offset := unix - now; !c.seen || offset > c.offset {
		c.seen = true
		c.offset = offset
	}
}

// MarkCurrent records that all events had been received at now, so that later ones were created
// after now.
func (c *Clock) MarkCurrent(now Millis) {
	c.current = true
	c.currentSince = now
}

// Age returns the minimum age at now, in milliseconds, of the Unix time of an event that has just
// arrived. It is 0 before any Observe. It is negative for a time ahead of the estimate, such as
// that of an event created after now.
func (c *Clock) Age(unix, now Millis) Millis {
	if !c.seen {
		return 0
	}
	age := now + c.offset - unix
	if c.current { // created after currentSince, even if wrong times have moved the estimate too far
		age = min(age, now-c.currentSince)
	}
	return age
}
