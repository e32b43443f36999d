package limits

// AdmissionSettings bound the requests in flight.
type AdmissionSettings struct {
	Target        float64 // ms that ready bytes may wait for the router
	QueueingShare float64 // share of its time until the deadline that a request may wait for its first attempt; 0: all
	Interval      float64 // ms over which waits are measured
	MinInFlight   int     // the limit never falls below this
	MaxInFlight   int     // the limit never rises above this
	Headroom      float64 // share of the limit that is reserved for requests of the highest rank
}

// normalized returns the settings with MinInFlight between 1 and MaxInFlight.
func (s AdmissionSettings) normalized() AdmissionSettings {
	s.MinInFlight = max(min(s.MinInFlight, s.MaxInFlight), 1)
	return s
}

// Changes of the limit in one interval.
const (
	minCutFactor        = 0.5  // smallest factor by which an overload cuts the limit
	maxCutFactor        = 0.9  // largest factor by which an overload cuts the limit
	growthFactor        = 1.05 // without an overload the limit grows by this factor and by one request
	growthMinUse        = 0.8  // share of the limit that must have been in flight for it to grow
	minQueueingOverload = 1.1  // smallest relative wait if most requests queue for too long
)

// Admission is a limit on the requests in flight that adapts to two waits: that of ready bytes
// for the router's event loop, and that of requests for their first attempt, while the decision
// module has no capacity for them.
//
// Of the first wait, the minimum over an interval counts, as in CoDel (RFC 8289): a burst is not an
// overload, but a queue that never empties is. The second wait has no single queue in order, so
// it counts only if more than half of the requests wait for too long: one overloaded cache among
// idle ones causes no rejections. A request that has waited for that long is answered just
// before its deadline or late, and a standing queue adds that time to every request.
//
// While either wait is above its target, each interval cuts the limit by the ratio of target to
// wait, by a tenth to a half, starting from the requests in flight if those are fewer.
// Otherwise, if the limit is in use, it grows by a twentieth and one request.
type Admission struct {
	// LastWait is the shortest wait of ready bytes in the last interval, in ms.
	LastWait float64

	settings   AdmissionSettings
	limit      float64
	overloaded bool

	// Of the current interval:
	intervalEnds  float64
	minWait       float64 // ms; below 0: none was observed
	queueingSum   float64 // sum of the shares observed by ObserveQueueing
	queued        int     // number of these observations
	queuedTooLong int     // number of those above QueueingShare
	maxInFlight   int
}

// NewAdmission returns an Admission whose limit is MaxInFlight until there is an overload.
func NewAdmission(settings AdmissionSettings) *Admission {
	settings = settings.normalized()
	return &Admission{settings: settings, limit: float64(settings.MaxInFlight), minWait: -1}
}

// Adopt replaces the settings and keeps the limit within their bounds.
func (a *Admission) Adopt(settings AdmissionSettings) {
	settings = settings.normalized()
	if a.limit >= float64(a.settings.MaxInFlight) { // no overload so far
		a.limit = float64(settings.MaxInFlight)
	}
	a.settings = settings
	a.limit = min(a.limit, float64(settings.MaxInFlight))
}

// ObserveQueueing records the share of its time until the deadline, from 0 to 1, that a request
// has waited for its first attempt.
func (a *Admission) ObserveQueueing(share float64) {
	a.queueingSum += share
	a.queued++
	if share > a.settings.QueueingShare {
		a.queuedTooLong++
	}
}

// ObserveWait records how long, in ms, ready bytes have waited for the router.
func (a *Admission) ObserveWait(ms float64) {
	if a.minWait < 0 || ms < a.minWait {
		a.minWait = ms
	}
}

// Tick records the number of requests in flight, and adapts the limit at the end of each
// interval. It must be called at least once per interval.
func (a *Admission) Tick(now float64, inFlight int) {
	a.maxInFlight = max(a.maxInFlight, inFlight)
	if now < a.intervalEnds {
		return
	}
	if a.intervalEnds > 0 { // an interval has passed
		a.adapt()
	}
	a.intervalEnds = now + a.settings.Interval
	a.minWait = -1
	a.maxInFlight = inFlight
	a.queueingSum, a.queued, a.queuedTooLong = 0, 0, 0
}

// adapt changes the limit by the observations of the interval.
func (a *Admission) adapt() {
	a.LastWait = max(a.minWait, 0)
	wait := a.relativeWait()
	a.overloaded = wait > 1
	used := float64(a.maxInFlight)
	switch {
	case a.overloaded:
		cut := min(max(1/wait, minCutFactor), maxCutFactor)
		a.limit = max(min(a.limit, used)*cut, float64(a.settings.MinInFlight))
	case used >= growthMinUse*a.limit:
		a.limit = min(a.limit*growthFactor+1, float64(a.settings.MaxInFlight))
	}
}

// relativeWait returns the larger of the interval's two waits, each divided by its target.
// Above 1 the router is overloaded.
func (a *Admission) relativeWait() float64 {
	wait := a.minWait / a.settings.Target
	mostTooLong := 2*a.queuedTooLong > a.queued
	if a.settings.QueueingShare > 0 && mostTooLong {
		meanShare := a.queueingSum / float64(a.queued)
		wait = max(wait, meanShare/a.settings.QueueingShare, minQueueingOverload)
	}
	return wait
}

// Overloaded reports whether the router was overloaded in the last interval.
func (a *Admission) Overloaded() bool { return a.overloaded }

// Limit returns how many requests may be in flight.
func (a *Admission) Limit() int { return int(a.limit) }

// Admit reports whether one more request is admitted when inFlight requests are in flight. rank
// is the priority of its class among all classes, from 0 to 1; once the limit is below
// MaxInFlight, the limit for requests of rank 0 is lower by Headroom.
func (a *Admission) Admit(inFlight int, rank float64) bool {
	limit := a.limit
	if limit < float64(a.settings.MaxInFlight) {
		limit *= 1 - a.settings.Headroom*(1-min(max(rank, 0), 1))
	}
	return float64(inFlight) < max(limit, float64(a.settings.MinInFlight))
}
