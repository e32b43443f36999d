// Package indigospool decides, for a router in front of caches of large objects, where each request
// is sent, where a missing object is filled from, and when a request is rejected.
//
// A Router is a deterministic state machine. Router.Handle takes an event and returns the actions
// that the caller has to carry out. The package does no I/O, takes the time from its caller and uses
// no random numbers, so the same events give the same actions. Requests on the wire, connections and
// timers belong to the caller.
//
// The interface (settings, events, actions) is in api.go, the dispatch of events in router.go. Each
// kind of decision has its own file, with its tuning constants:
//
//   - request.go: the lifecycle of requests and attempts
//   - endpoints.go: the endpoint list, draining and removal
//   - placement.go, ranking.go: which cache serves a request (rendezvous hashing with bounded loads)
//   - rangesplit.go: which cache serves a part of an object (FlexSplit)
//   - fillsource.go: where a cache fills a missing object from
//   - admission.go: concurrency limits, and the order of queued requests
//   - outlier.go: attribution of faults, ejection, health checks and return
//   - slowstart.go: how much traffic a member that warms up receives
//   - retry.go: retry budget, idempotency, backoff
//   - freshness.go: the maximum age of copies, and purges
//   - snapshot.go: the learned state that a successor restores after a hot restart
//   - inspect.go: why members were not chosen, and the learned state of each
package indigospool

import "slices"

// tickInterval is the time between two ticks. It is short compared to the time after which an
// attempt is overdue, and long compared to the time that an iteration over all attempts takes.
const tickInterval = Millis(25)

// cleanupInterval is the time between two runs of the periodic cleanup.
const cleanupInterval = Millis(1000)

// Router makes the decisions of one router process. It is not safe for concurrent use.
type Router struct {
	settings    Settings
	seed        uint64 // differs between routers, so that they don't act in lockstep
	now         Millis
	started     bool // whether an event has been handled
	actions     []Action
	onCandidate func(Candidate) // called for each member that is considered; may be nil

	// Endpoints.
	members    map[string]*member
	listed     []*member            // the members in the order of their ids
	byRole     [roleCount][]*member // the available members of each role, in the order of their ids
	subscribed bool                 // whether a Watch has been emitted and no call to discovery has failed since

	// Requests.
	classes               map[string]*class
	requests              map[string]*request
	arrivals              []*request // requests in the order of arrival
	deadlineTimers        map[int64]*request
	lastTimerToken        int64
	meanSendTime          Millis  // moving average of request.sendTime over all classes
	highestPriorityWeight float64 // highest Class.PriorityWeight

	// Admission.
	link          concurrencyLimit // of this router's fills over the link into the zone
	queue         []*request       // scratch space of admitQueued
	fillTimeRatio float64          // moving average of the duration of fills as a multiple of their send time

	// Retries, outlier detection and slow start.
	retryTokens    float64            // retries left in the retry budget
	overdueMembers []*member          // members with overdue attempts at the last tick
	typicalRate    [roleCount]float64 // mean load of a warm member of each role, as send time per millisecond
	lastCleanup    Millis             // time of the last periodic cleanup
	superseded     bool               // whether a successor has taken over and uses the slow-start budgets

	// Purges.
	objectPurges map[string]Millis // time of the last purge, by object
	groupPurges  map[int]Millis    // time of the last purge, by group

	// Range split.
	objectDepths              [2]map[string]*objectDepth // the current and the previous generation
	objectDepthsRotatedAt     Millis                     // start of the current generation
	windowCost, costHistogram []float64                  // cost by part index: in the open window; in the closed windows, with older ones discounted
	windowRequests            int                        // part requests in the open window
	windowOpenedAt            Millis
	layout, priorLayout       layout // the current layout, and the one before the last change
	layoutChangedAt           Millis
}

// New returns a Router without endpoints. Routers with different seeds spread their retries and
// slow-start attempts differently. The error is that of Settings.Valid.
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

// Handle handles an event at the time now and returns dst with the resulting actions appended. If now
// is before the time of an earlier event, the earlier event's time is used.
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

// start starts the periodic work.
func (r *Router) start() {
	r.started = true
	r.windowOpenedAt, r.lastCleanup, r.objectDepthsRotatedAt = r.now, r.now, r.now
	r.emit(Wake{In: tickInterval})
}

// emit appends an action to the result of the current Handle call.
func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// handleTimer handles a tick, which has the token 0, or the timer of a request's deadline.
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

// tick does the periodic work: it ejects members that have become silent, cancels the attempts
// that wait for them, and admits queued requests.
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

// runCleanup updates load averages, closes an expired histogram window, drops completed purges and
// renews a lost subscription.
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
