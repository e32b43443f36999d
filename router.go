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
	beatSpan = Millis(25) // how often outstanding attempts are looked over
)

// Router decides for one router. It is not safe for concurrent use.
type Router struct {
	s              Settings
	seed           uint64
	now            Millis
	started, asked bool
	classes        map[string]*class
	members        map[string]*member
	listed         []*member        // the same, by id
	byRole         [roles][]*member // listed and up, by id
	open           map[string]*request
	order          []*request // as they came
	wait           []*request // those that wait, while they are gone through
	awaited        []*member  // those with overdue attempts at the last beat
	timers         map[int64]*request
	token          int64
	retries        float64        // further attempts that may be made
	mostWorth      float64        // of any class
	mean           Millis         // sending time of all requests
	link           gate           // fills
	pace           float64        // recent time of fills over their sending time
	typical        [roles]float64 // sending time a warm member is given, per millisecond
	lastSec        Millis
	objects        [2]map[string]*object // two generations
	turned         Millis
	purges         map[string]Millis
	groups         map[int]Millis
	window, total  []float64 // cost by part index: the open window, and the discounted sum
	seen           int
	opened         Millis
	layout, prior  layout // who holds what, and before the last change
	moved          Millis // when that was
	retired        bool   // a successor spends the cold budgets
	acts           []Action
	looker         func(Look) // hears what choices look at; nil: nobody
}

// New returns a router. The seed sets it apart from others where all would do the same at once.
func New(s Settings, seed uint64) (*Router, error) {
	if err := s.Valid(); err != nil {
		return nil, err
	}
	r := &Router{seed: seed, retries: retryBurst, link: gate{room: firstRoom}, pace: 1,
		members: map[string]*member{}, open: map[string]*request{},
		timers: map[int64]*request{}, objects: [2]map[string]*object{{}, {}},
		purges: map[string]Millis{}, groups: map[int]Millis{}}
	r.adopt(s)
	r.mean = r.classes[s.Classes[0].Name].mean
	return r, nil
}

// Handle takes one event at the time now and appends what is to be done.
func (r *Router) Handle(now Millis, ev Event, dst []Action) []Action {
	r.now, r.acts = max(now, r.now), dst
	if !r.started {
		r.started, r.opened, r.lastSec, r.turned = true, r.now, r.now, r.now
		r.do(Wake{In: beatSpan})
	}
	switch ev := ev.(type) {
	case Members:
		r.list(ev)
	case Request:
		r.arrive(ev)
	case Outcome:
		r.settle(ev)
	case Started:
		if q := r.open[ev.ID]; q != nil {
			q.stream = true
		}
	case Stalled:
		r.stall(ev)
	case Gone:
		if q := r.open[ev.ID]; q != nil {
			r.close(q)
		}
	case Purge:
		at := r.now - ev.Age
		if ev.Object != "" {
			r.purges[ev.Object] = max(r.purges[ev.Object], at)
		} else {
			r.groups[ev.Group] = max(r.groups[ev.Group], at)
		}
	case Recalled:
		r.recall(ev.Memory)
	case Retired:
		r.retired = ev.On
	case Resettled:
		if ev.Settings.Valid() == nil {
			ev.Settings.Zone, ev.Settings.Me = r.s.Zone, r.s.Me
			r.adopt(ev.Settings)
		}
	case Timer:
		if ev.Token == 0 {
			r.beat()
		} else if q := r.timers[ev.Token]; q != nil {
			delete(r.timers, ev.Token)
			if !q.over && !q.stream {
				r.finish(q)
			}
		}
	}
	dst, r.acts = r.acts, nil
	return dst
}

func (r *Router) do(a Action) { r.acts = append(r.acts, a) }

// beat looks over what is out: a member with overdue attempts and no sign of
// life is silent, whatever the reason; what it holds is called back and tried
// elsewhere. Progress clears it, so slow answers alone do not.
func (r *Router) beat() {
	r.do(Wake{In: beatSpan})
	r.order = slices.DeleteFunc(r.order, func(q *request) bool { return q.over && !q.busy() })
	for _, m := range r.awaited {
		m.late = 0
	}
	clear(r.awaited) // members that have gone are not held
	r.awaited = r.awaited[:0]
	for _, q := range r.order {
		for i := range q.tries {
			if a := &q.tries[i]; a.overdue(r.now) {
				r.awaits(a.at, a)
				if a.src != a.at && a.at.good > a.sent {
					r.awaits(a.src, a)
				}
			}
		}
	}
	for _, m := range r.awaited { // where nothing is asked, silence tells nothing
		if !m.gone && !m.suspect && r.silent(m) {
			r.accuse(m)
			m.silent = true
		}
	}
	for _, q := range r.order {
		if !q.over && !q.stream && !q.parked {
			r.rescue(q)
		}
	}
	r.pump()
	if r.now-r.lastSec >= 1000 {
		r.second()
	}
}

// second does what needs doing once a second: rates, shares, ages, discovery.
func (r *Router) second() {
	span := r.now - r.lastSec
	r.lastSec = r.now
	for k, list := range r.byRole {
		sum, n := 0.0, 0
		for _, m := range list {
			m.rate += (m.work/span - m.rate) * 0.15
			m.work = 0
			if !m.suspect && r.warmth(m) >= 1 {
				sum, n = sum+m.rate, n+1
			}
		}
		if n > 0 {
			r.typical[k] = sum / float64(n)
		}
	}
	if r.now-r.opened >= windowSpan {
		r.closeWindow()
	}
	old := r.now - r.s.PurgeTakes - r.s.PurgeSlack
	maps.DeleteFunc(r.purges, func(_ string, at Millis) bool { return at < old })
	maps.DeleteFunc(r.groups, func(_ int, at Millis) bool { return at < old })
	r.watch()
}
