package limits

// AdmissionSettings are how many requests may be in hand. Spans are in ms.
type AdmissionSettings struct {
	Target   float64 // bytes may wait for the router so long
	Part     float64 // and a request for its first attempt, of its time until the deadline; 0: however long
	Interval float64 // over which the least wait counts
	Least    int     // requests in hand that are always allowed
	Most     int     // and that never are more
	Headroom float64 // part of the limit that only the worthiest requests may use
}

// Admission is a limit on the requests in hand that adapts to two waits: of ready bytes
// for the router's own time, and of requests for their first attempt, while the module
// has no place for them. Of the first, as in CoDel (RFC 8289), it is the least over an
// interval that counts: a burst is no overload, a queue that never empties is. The
// second is no queue in order, and there most have to wait for long, so that one cache
// whose requests do while others' do not turns nobody away. Who has waited so long is
// served at the last moment or late: a queue that stands costs all of them their time.
// While either is above its target the limit falls with the target's part of the wait,
// by a tenth to a half an interval, from what is in hand; else, where the limit is in
// use, it grows by a twentieth and one an interval.
type Admission struct {
	settings      AdmissionSettings
	limit         float64
	leastWait     float64 // wait in the present interval; below 0: none was seen
	queueingSum   float64 // sum of the parts of their time that requests waited, in the present interval
	queued        int     // how many those are
	queuedTooLong int     // and of how many it was too long
	mostInFlight  int     // in hand in the present interval
	intervalEnds  float64
	overloaded    bool
	LastWait      float64 // the least wait of the last interval
}

// NewAdmission begins without a limit below Most.
func NewAdmission(s AdmissionSettings) *Admission {
	s.Least = max(min(s.Least, s.Most), 1)
	return &Admission{settings: s, limit: float64(s.Most), leastWait: -1}
}

// Adopt goes by other settings from now on. What was learned stays.
func (a *Admission) Adopt(s AdmissionSettings) {
	s.Least = max(min(s.Least, s.Most), 1)
	if a.limit >= float64(a.settings.Most) {
		a.limit = float64(s.Most) // none was found
	}
	a.settings, a.limit = s, min(a.limit, float64(s.Most))
}

// ObserveQueueing says which part of its time until the deadline a request has waited for its
// first attempt.
func (a *Admission) ObserveQueueing(part float64) {
	a.queueingSum += part
	a.queued++
	if part > a.settings.Part {
		a.queuedTooLong++
	}
}

// ObserveWait says that ready bytes had to wait for the router.
func (a *Admission) ObserveWait(ms float64) {
	if a.leastWait < 0 || ms < a.leastWait {
		a.leastWait = ms
	}
}

// Tick says how many requests are in hand; it is to be called at least once an
// interval.
func (a *Admission) Tick(now float64, inHand int) {
	a.mostInFlight = max(a.mostInFlight, inHand)
	if now < a.intervalEnds {
		return
	}
	if a.intervalEnds > 0 {
		a.LastWait = max(a.leastWait, 0)
		wait := a.leastWait / a.settings.Target
		if a.settings.Part > 0 && 2*a.queuedTooLong > a.queued {
			wait = max(wait, a.queueingSum/float64(a.queued)/a.settings.Part, 1.1)
		}
		a.overloaded = wait > 1
		switch used := float64(a.mostInFlight); {
		case a.overloaded:
			a.limit = max(min(a.limit, used)*min(max(1/wait, 0.5), 0.9), float64(a.settings.Least))
		case used >= 0.8*a.limit:
			a.limit = min(a.limit*1.05+1, float64(a.settings.Most))
		}
	}
	a.intervalEnds, a.leastWait, a.mostInFlight = now+a.settings.Interval, -1, inHand
	a.queueingSum, a.queued, a.queuedTooLong = 0, 0, 0
}

// Overloaded reports whether the router was found overloaded in the last interval.
func (a *Admission) Overloaded() bool { return a.overloaded }

// Limit is how many requests may be in hand.
func (a *Admission) Limit() int { return int(a.limit) }

// Admit reports whether one more request may come in hand. rank is its worth among
// those of all classes, 0 the least and 1 the most: the limit of the least is lower by
// the headroom.
func (a *Admission) Admit(inHand int, rank float64) bool {
	limit := a.limit
	if limit < float64(a.settings.Most) {
		limit *= 1 - a.settings.Headroom*(1-min(max(rank, 0), 1))
	}
	return float64(inHand) < max(limit, float64(a.settings.Least))
}
