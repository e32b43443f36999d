// Package indigospool decides, for a router in front of caches of large
// objects, where each request goes, where a missing object is filled from and
// when to give up.
//
// It is a pure state machine: Router.Handle takes one event and returns the
// actions that follow from it. It does no I/O, takes the time from its caller
// and draws no random numbers, so the same events give the same actions. It
// owns all routing decisions and what they remember; requests, connections
// and timers are its caller's.
//
// The interface (settings, events, actions) is in api.go, the dispatch of
// events in router.go. Each decision has a file of its own, with the values
// that tune it:
//
//   - request.go: the lifecycle of a request and of its attempts
//   - endpoints.go: the endpoint list, draining and removal
//   - placement.go, ranking.go: which cache serves a request (bounded-load
//     rendezvous hashing)
//   - rangesplit.go: which cache serves a part of an object (FlexSplit)
//   - fillsource.go: where a cache fills a missing object from
//   - admission.go: concurrency limits, and which queued request goes next
//   - outlier.go: faults, ejection, health checks and the return
//   - slowstart.go: how much a cache that warms up is given
//   - retry.go: retry budget, idempotency, backoff
//   - freshness.go: how old a copy may be, and purges
//   - snapshot.go: what a successor takes over after a restart
//   - inspect.go: why a member was not chosen, and what is known of it
package indigospool

import "slices"

// tickInterval is the time between two ticks: short against the time in which an
// attempt becomes overdue, long against the time that a look at all of them takes.
const tickInterval = Millis(25)

// cleanupInterval is the time between two runs of the periodic cleanup.
const cleanupInterval = Millis(1000)

// Router decides for one router. It is not safe for concurrent use.
type Router struct {
	settings    Settings
	seed        uint64 // differs between routers that would else do the same at once
	now         Millis
	started     bool // the first event has come
	actions     []Action
	onCandidate func(Candidate) // notified of each member that a choice looks at; may be nil

	// Endpoints.
	members    map[string]*member
	listed     []*member            // the same, by id
	byRole     [roleCount][]*member // those available, by id
	subscribed bool                 // discovery notifies of changes, or has been asked to

	// Requests.
	classes               map[string]*class
	requests              map[string]*request
	arrivals              []*request // in the order of arrival
	deadlineTimers        map[int64]*request
	lastTimerToken        int64
	meanSendTime          Millis  // recent mean over all requests
	highestPriorityWeight float64 // of any class

	// Admission.
	link          concurrencyLimit // of the fills of this router
	queue         []*request       // used by admitQueued alone, kept for its capacity
	fillTimeRatio float64          // recent time of fills as a multiple of their sending time

	// Retries, outlier detection and slow start.
	retryTokens    float64            // retries that the budget allows now
	overdueMembers []*member          // those with overdue attempts at the last tick
	typicalRate    [roleCount]float64 // sending time that a warm member is given, per millisecond
	lastCleanup    Millis             // when housekeeping was last done
	superseded     bool               // a successor spends the slow-start budgets

	// Purges.
	objectPurges map[string]Millis // time of the last purge, by object
	groupPurges  map[int]Millis    // and by group

	// Range split.
	objectDepths          [2]map[string]*objectDepth // the present and the past generation
	objectDepthsRotatedAt Millis                     // when the present generation began
	windowCost, totalCost []float64                  // by part index: the open window, and the discounted sum
	windowRequests        int                        // part requests in the open window
	windowOpenedAt        Millis
	layout, priorLayout   layout // the present one, and the one before the last change
	layoutChangedAt       Millis
}

// New returns a router that knows no endpoints yet. The seed sets it apart from
// routers that would otherwise do the same at once. The error is that of
// Settings.Valid.
func New(settings Settings, seed uint64) (*Router, error) {
	if err := settings.Valid(); err != nil {
		return nil, err
	}
	router := &Router{
		seed:           seed,
		members:        map[string]*member{},
		requests:       map[string]*request{},
		deadlineTimers: map[int64]*request{},
		link:           concurrencyLimit{limit: initialLimit},
		fillTimeRatio:  1,
		retryTokens:    retryBudgetBurst,
		objectPurges:   map[string]Millis{},
		groupPurges:    map[int]Millis{},
		objectDepths:   [2]map[string]*objectDepth{{}, {}},
	}
	router.applySettings(settings)
	router.meanSendTime = router.classes[settings.Classes[0].Name].meanSendTime
	return router, nil
}

// Handle takes one event at the time now and appends the actions that follow
// from it to dst. A time before that of an earlier event counts as that one.
func (r *Router) Handle(now Millis, event Event, dst []Action) []Action {
	r.now, r.actions = max(now, r.now), dst
	if !r.started {
		r.start()
	}
	switch event := event.(type) {
	case Members:
		r.updateEndpoints(event)
	case Request:
		r.handleRequest(event)
	case Outcome:
		r.handleOutcome(event)
	case Started:
		r.handleStarted(event)
	case Stalled:
		r.handleStall(event)
	case Gone:
		if request := r.requests[event.ID]; request != nil {
			r.endRequest(request)
		}
	case Purge:
		r.recordPurge(event)
	case Recalled:
		r.restore(event.Memory)
	case Retired:
		r.superseded = event.On
	case SettingsChanged:
		r.changeSettings(event.Settings)
	case Timer:
		r.handleTimer(event)
	}
	dst, r.actions = r.actions, nil
	return dst
}

// start begins the periodic work.
func (r *Router) start() {
	r.started = true
	r.windowOpenedAt, r.lastCleanup, r.objectDepthsRotatedAt = r.now, r.now, r.now
	r.emit(Wake{In: tickInterval})
}

// emit appends an action to those of the event in hand.
func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// handleTimer runs the tick, whose token is 0, or a request's deadline.
func (r *Router) handleTimer(timer Timer) {
	if timer.Token == 0 {
		r.tick()
		return
	}
	request := r.deadlineTimers[timer.Token]
	if request == nil {
		return
	}
	delete(r.deadlineTimers, timer.Token)
	if !request.ended && !request.streaming {
		r.reject(request)
	}
}

// tick does the periodic work: it ejects members that have become silent, cancels
// the attempts that wait on them, and admits queued requests.
func (r *Router) tick() {
	r.emit(Wake{In: tickInterval})
	r.arrivals = slices.DeleteFunc(r.arrivals, func(request *request) bool {
		return request.ended && !request.hasOutstanding()
	})
	r.ejectSilent()
	for _, request := range r.arrivals {
		if !request.ended && !request.streaming && !request.queued {
			r.cancelUnresponsive(request)
		}
	}
	r.admitQueued()
	if r.now-r.lastCleanup >= cleanupInterval {
		r.runCleanup()
	}
}

// runCleanup measures rates, closes a histogram window that is old, drops purges
// that are through, and subscribes again where the subscription was lost.
func (r *Router) runCleanup() {
	span := r.now - r.lastCleanup
	r.lastCleanup = r.now
	r.measureRates(span)
	if r.now-r.windowOpenedAt >= windowSpan {
		r.closeWindow()
	}
	r.dropOldPurges()
	r.subscribe()
}
