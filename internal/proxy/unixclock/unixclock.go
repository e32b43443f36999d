// Package unixclock estimates how old a Unix time of the platform is, by a clock that runs
// evenly, such as the monotonic one. It never reads the wall clock of the machine, which may be
// stepped at any time or be wrong from the start: it goes by evidence alone.
//
// An event that carries a Unix time was made before it was sent, so the platform's clock showed
// at least that time when the event arrived. The latest such time, carried on by the caller's
// clock, is never ahead of the platform's clock, and an age computed from it never exceeds the
// true one: a purge that is taken as younger than it is costs a few fills, one that is taken as
// older lets outdated copies through.
//
// It owns the estimate and nothing else, and does no I/O: times on the caller's clock come with
// each call.
//
// Where to go next: internal/proxy/platform (node.go), which computes the ages of purges and of
// members by it; internal/wallclock for times that other processes read.
package unixclock

// Millis is a time on the caller's clock, or a span of it, in milliseconds.
type Millis = float64

// Clock is an estimate of the platform's Unix time. Its zero value has no evidence yet. It
// belongs to one goroutine.
type Clock struct {
	seen         bool
	offset       Millis // the estimate less the caller's clock; it only grows
	current      bool   // MarkCurrent was called
	currentSince Millis // when it was called last
}

// Observe records that something carries a Unix time, in milliseconds, and had arrived at now.
// A time ahead of the estimate moves it forward; any other changes nothing.
func (c *Clock) Observe(unix, now Millis) {
	if offset := unix - now; !c.seen || offset > c.offset {
		c.seen = true
		c.offset = offset
	}
}

// MarkCurrent records that at now there was no event left to be received: what arrives later
// was made later.
func (c *Clock) MarkCurrent(now Millis) {
	c.current = true
	c.currentSince = now
}

// Age is how old, at now, the Unix time of something that has just arrived is at least, in
// milliseconds; 0 without evidence. It is negative for a time that lies ahead of the estimate,
// such as that of something which was made after now and has been observed since.
func (c *Clock) Age(unix, now Millis) Millis {
	if !c.seen {
		return 0
	}
	age := now + c.offset - unix
	if c.current { // it is not from before, however far wrong times have moved the estimate
		age = min(age, now-c.currentSince)
	}
	return age
}
