package limits

// AdmissionSettings bound the requests in flight.
type AdmissionSettings struct {
	Target        float64 // ms that ready bytes may wait for the router
	QueueingShare float64 // part of its time until the deadline that a request may wait for its first attempt; 0: all of it
	Interval      float64 // ms over which the shortest wait counts
	MinInFlight   int     // requests in flight that are always allowed
	MaxInFlight   int     // requests in flight that are never exceeded
	Headroom      float64 // part of the limit that only requests of the highest rank may use
}

// normalized returns the settings with a Least between 1 and Most.
func (s AdmissionSettings) normalized() AdmissionSettings {
	s.MinInFlight = max(min(s.MinInFlight, s.MaxInFlight), 1)
	return s
}

// How fast the limit moves in an interval.
const (
	minCutFactor        = 0.5  // it falls to no less than this part
	maxCutFactor        = 0.9  // and at least to this one, once there is an overload
	growthFactor        = 1.05 // it grows by this factor, and by one request
	growthMinUse        = 0.8  // part of the limit that has to be in flight for it to grow
	minQueueingOverload = 1.1  // least relative wait where most requests wait for too long
)

// Admission is a limit on the requests in flight that adapts to two waits: of ready bytes for
// the router's own time, and of requests for their first attempt, while the decision module
// has no capacity for them.
//
// Of the first, as in CoDel (RFC 8289), the shortest in an interval counts: a burst is no
// overload, a queue that never empties is. The second is not one queue in order, so there
// most requests have to wait for too long: one cache whose requests do while others' do not
// gets nobody rejected. A request that has waited for so long is answered at the last moment
// or late, and a standing queue costs all requests that time.
//
// While either wait is above its target the limit falls by the ratio of target and wait, by a
// tenth to a half an interval, starting from what is in flight. Otherwise, if the limit is in
// use, it grows by a twentieth and one an interval.
type Admission struct {
	// LastWait is the shortest wait of ready bytes in the last interval, in ms.
	LastWait float64

	settings   AdmissionSettings
	limit      float64
	overloaded bool

	// Of the present interval:
	intervalEnds  float64
	minWait       float64 // ms; below 0: none was observed
	queueingSum   float64 // sum of the parts of their time that requests waited
	queued        int     // how many requests that is the sum of
	queuedTooLong int     // how many of them waited for more than Part
	maxInFlight   int
}

// NewAdmission makes an Admission whose limit is Most until there is an overload.
func NewAdmission(settings AdmissionSettings) *Admission {
	settings = settings.normalized()
	return &Admission{settings: settings, limit: float64(settings.MaxInFlight), minWait: -1}
}

// Adopt changes the settings. What was learned stays.
func (a *Admission) Adopt(settings AdmissionSettings) {
	settings = settings.normalized()
	if a.limit >= float64(a.settings.MaxInFlight) { // there was no overload
		a.limit = float64(settings.MaxInFlight)
	}
	a.settings = settings
	a.limit = min(a.limit, float64(settings.MaxInFlight))
}

// ObserveQueueing records which part of its time until the deadline a request has waited for
// its first attempt, from 0 to 1.
func (a *Admission) ObserveQueueing(part float64) {
	a.queueingSum += part
	a.queued++
	if part > a.settings.QueueingShare {
		a.queuedTooLong++
	}
}

// ObserveWait records how long ready bytes had to wait for the router, in ms.
func (a *Admission) ObserveWait(ms float64) {
	if a.minWait < 0 || ms < a.minWait {
		a.minWait = ms
	}
}

// Tick records how many requests are in flight, and adapts the limit at the end of each
// interval. It has to be called at least once an interval.
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

// adapt moves the limit by what was observed in the interval.
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

// relativeWait is the longer of the interval's two waits, each as a multiple of its target:
// above 1 the router is overloaded.
func (a *Admission) relativeWait() float64 {
	wait := a.minWait / a.settings.Target
	mostTooLong := 2*a.queuedTooLong > a.queued
	if a.settings.QueueingShare > 0 && mostTooLong {
		meanPart := a.queueingSum / float64(a.queued)
		wait = max(wait, meanPart/a.settings.QueueingShare, minQueueingOverload)
	}
	return wait
}

// Overloaded reports whether the router was found overloaded in the last interval.
func (a *Admission) Overloaded() bool { return a.overloaded }

// Limit is how many requests may be in flight.
func (a *Admission) Limit() int { return int(a.limit) }

// Admit reports whether one more request is admitted while inFlight are. rank is its priority
// among those of all classes, from 0 to 1: the limit for rank 0 is lower by the headroom.
func (a *Admission) Admit(inFlight int, rank float64) bool {
	limit := a.limit
	if limit < float64(a.settings.MaxInFlight) {
		limit *= 1 - a.settings.Headroom*(1-min(max(rank, 0), 1))
	}
	return float64(inFlight) < max(limit, float64(a.settings.MinInFlight))
}
