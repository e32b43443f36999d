// Package unixclock tells how old a Unix time of the platform is, on a clock that runs
// evenly, such as the monotonic one. It never looks at the wall clock of the machine, which
// may be stepped at any time or be wrong from the start: it goes by evidence alone.
//
// An event that bears a Unix time was made before it was told, so the platform's clock was
// at least there when it came. The latest such time, carried on by the caller's clock, is
// never ahead of the platform's clock, and an age taken from it never over the true one: a
// purge that is taken as younger than it is costs a few fills, one that is taken as older
// lets old copies through.
//
// It does no I/O; times on the caller's clock come with each call.
package unixclock

// Millis is a time on the caller's clock, or a span of it, in milliseconds.
type Millis = float64

// Clock is an estimate of the platform's Unix time. Its zero value has no evidence yet.
type Clock struct {
	seen    bool
	offset  Millis // the estimate less the caller's clock; it only grows
	current bool
	since   Millis // when it was last certain that there was nothing new
}

// Observe says that something bears a Unix time in milliseconds and was there at now. A time
// that lies ahead of the estimate moves it forward; no other does anything.
func (c *Clock) Observe(unix, now Millis) {
	if offset := unix - now; !c.seen || offset > c.offset {
		c.seen, c.offset = true, offset
	}
}

// MarkCurrent says that at now there was nothing that had not been told: what is told later was
// made later.
func (c *Clock) MarkCurrent(now Millis) { c.current, c.since = true, now }

// Age is for how long, at now, the Unix time of something that has just been told surely
// lies back. It is negative for a time that lies ahead of the estimate, as that of something
// does which was made after now and seen since.
func (c *Clock) Age(unix, now Millis) Millis {
	if !c.seen {
		return 0
	}
	age := now + c.offset - unix
	if c.current { // not from before, whatever times that were wrong have made of the estimate
		age = min(age, now-c.since)
	}
	return age
}
