// Package indigospool decides, for a router in front of caches of large
// objects, where each request goes, where a missing object is filled from and
// when to give up. The interface (settings, events, actions) is in api.go;
// this file holds every decision. It does no I/O, takes time from the caller
// and leaves nothing to chance, so the same events give the same actions.
package indigospool

import (
	"maps"
	"slices"
)

const (
	tickSpan = Millis(25) // how often outstanding attempts are looked over
)

// Router decides for one router. It is not safe for concurrent use.
type Router struct {
	settings              Settings
	seed                  uint64
	now                   Millis
	started, subscribed   bool
	classes               map[string]*class
	members               map[string]*member
	listed                []*member        // the same, by id
	byRole                [roles][]*member // listed and up, by id
	requests              map[string]*request
	arrivals              []*request // as they came
	queue                 []*request // those that wait, while they are gone through
	overdueMembers        []*member  // those with overdue attempts at the last beat
	deadlineTimers        map[int64]*request
	lastTimerToken        int64
	retryTokens           float64          // further attempts that may be made
	highestWorth          float64          // of any class
	meanSendTime          Millis           // sending time of all requests
	link                  concurrencyLimit // fills
	fillStretch           float64          // recent time of fills over their sending time
	typicalRate           [roles]float64   // sending time a warm member is given, per millisecond
	lastSecond            Millis
	objectDepths          [2]map[string]*objectDepth // two generations
	objectsRotated        Millis
	objectPurges          map[string]Millis
	groupPurges           map[int]Millis
	windowCost, totalCost []float64 // cost by part index: the open window, and the discounted sum
	windowRequests        int
	windowOpened          Millis
	layout, priorLayout   layout // who holds what, and before the last change
	layoutChanged         Millis // when that was
	closing               bool   // a successor spends the cold budgets
	actions               []Action
	onLook                func(Look) // hears what choices look at; nil: nobody
}

// New returns a router. The seed sets it apart from others where all would do the same at once.
func New(s Settings, seed uint64) (*Router, error) {
	if err := s.Valid(); err != nil {
		return nil, err
	}
	r := &Router{seed: seed, retryTokens: retryBudgetBurst, link: concurrencyLimit{limit: initialLimit}, fillStretch: 1,
		members: map[string]*member{}, requests: map[string]*request{},
		deadlineTimers: map[int64]*request{}, objectDepths: [2]map[string]*objectDepth{{}, {}},
		objectPurges: map[string]Millis{}, groupPurges: map[int]Millis{}}
	r.applySettings(s)
	r.meanSendTime = r.classes[s.Classes[0].Name].meanSendTime
	return r, nil
}

// Handle takes one event at the time now and appends what is to be done.
func (r *Router) Handle(now Millis, event Event, dst []Action) []Action {
	r.now, r.actions = max(now, r.now), dst
	if !r.started {
		r.started, r.windowOpened, r.lastSecond, r.objectsRotated = true, r.now, r.now, r.now
		r.emit(Wake{In: tickSpan})
	}
	switch ev := event.(type) {
	case Members:
		r.updateEndpoints(ev)
	case Request:
		r.arrive(ev)
	case Outcome:
		r.handleOutcome(ev)
	case Started:
		if request := r.requests[ev.ID]; request != nil {
			request.streaming = true
		}
	case Stalled:
		r.handleStall(ev)
	case Gone:
		if request := r.requests[ev.ID]; request != nil {
			r.endRequest(request)
		}
	case Purge:
		at := r.now - ev.Age
		if ev.Object != "" {
			r.objectPurges[ev.Object] = max(r.objectPurges[ev.Object], at)
		} else {
			r.groupPurges[ev.Group] = max(r.groupPurges[ev.Group], at)
		}
	case Recalled:
		r.restore(ev.Memory)
	case Retired:
		r.closing = ev.On
	case Resettled:
		if ev.Settings.Valid() == nil {
			ev.Settings.Zone, ev.Settings.Me = r.settings.Zone, r.settings.Me
			r.applySettings(ev.Settings)
		}
	case Timer:
		if ev.Token == 0 {
			r.tick()
		} else if request := r.deadlineTimers[ev.Token]; request != nil {
			delete(r.deadlineTimers, ev.Token)
			if !request.ended && !request.streaming {
				r.reject(request)
			}
		}
	}
	dst, r.actions = r.actions, nil
	return dst
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// tick looks over what is out: a member with overdue attempts and no sign of
// life is silent, whatever the reason; what it holds is called back and tried
// elsewhere. Progress clears it, so slow answers alone do not.
func (r *Router) tick() {
	r.emit(Wake{In: tickSpan})
	r.arrivals = slices.DeleteFunc(r.arrivals, func(request *request) bool { return request.ended && !request.hasOutstanding() })
	for _, member := range r.overdueMembers {
		member.overdue = 0
	}
	clear(r.overdueMembers) // members that have gone are not held
	r.overdueMembers = r.overdueMembers[:0]
	for _, request := range r.arrivals {
		for i := range request.attempts {
			if attempt := &request.attempts[i]; attempt.overdue(r.now) {
				r.addOverdue(attempt.target, attempt)
				if attempt.source != attempt.target && attempt.target.lastProgress > attempt.sent {
					r.addOverdue(attempt.source, attempt)
				}
			}
		}
	}
	for _, member := range r.overdueMembers { // where nothing is asked, silence tells nothing
		if !member.unavailable && !member.ejected && r.isSilent(member) {
			r.eject(member)
			member.silent = true
		}
	}
	for _, request := range r.arrivals {
		if !request.ended && !request.streaming && !request.queued {
			r.cancelUnresponsive(request)
		}
	}
	r.admitQueued()
	if r.now-r.lastSecond >= 1000 {
		r.everySecond()
	}
}

// everySecond does what needs doing once a second: rates, shares, ages, discovery.
func (r *Router) everySecond() {
	span := r.now - r.lastSecond
	r.lastSecond = r.now
	for k, list := range r.byRole {
		sum, n := 0.0, 0
		for _, member := range list {
			member.servedRate += (member.servedTime/span - member.servedRate) * 0.15
			member.servedTime = 0
			if !member.ejected && r.warmUpShare(member) >= 1 {
				sum, n = sum+member.servedRate, n+1
			}
		}
		if n > 0 {
			r.typicalRate[k] = sum / float64(n)
		}
	}
	if r.now-r.windowOpened >= windowSpan {
		r.closeWindow()
	}
	old := r.now - r.settings.PurgeTakes - r.settings.PurgeSlack
	maps.DeleteFunc(r.objectPurges, func(_ string, at Millis) bool { return at < old })
	maps.DeleteFunc(r.groupPurges, func(_ int, at Millis) bool { return at < old })
	r.subscribe()
}
