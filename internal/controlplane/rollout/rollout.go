// Package rollout decides how a control service rolls a version of the configuration
// out to its routers: in stages, halting the rollout if routers reject the version or
// if the share of requests that they serve in time drops. It is a state machine without
// I/O: it takes events and returns actions; the caller supplies the time.
//
// The package assigns version numbers and tracks the current stage and the status of
// each router. State is the part that must survive a crash. The contents of versions,
// and a router's decision to accept one, belong to internal/controlplane/configversion;
// streams and the service's disk to internal/controlplane/service (docs/control.md).
//
// The machine is in rollout.go, its events and actions are in events.go, the selection
// of a stage's routers is in stage.go, and the comparison of the in-time shares in
// comparison.go.
package rollout

import (
	"fmt"
	"slices"
	"strings"

	"indigospool/internal/controlplane/configversion"
)

// State is the persistent state of a rollout. Without it, a restarted service could
// assign a number twice.
type State struct {
	LastNumber int64                 // highest number ever assigned
	Base       configversion.Version // version for all routers; Number 0: none yet
	Next       configversion.Version // version being rolled out; Number 0: none
	Stage      int                   // stage of Next, counted from 0
	HaltReason string                // why the last rollout was halted; empty: not halted
}

// RouterStatus is the status of one router. It is encoded as JSON in the service's
// status.
type RouterStatus struct {
	Router      string
	Connected   bool     `json:"Joined"` // has an open stream
	Running     int64    // number of the last accepted version
	Rejected    int64    `json:"Refused"` // number of the rejected version, unless accepted since
	Reasons     []string // of the rejection
	InTimeShare float64  `json:"Served"` // share of its recent requests that were served in time; -1: not reported
}

// routerState is what the service knows about a router.
type routerState struct {
	connected  bool
	offered    int64                // number of the version last offered on the present stream; 0: none
	running    int64                // number of the last accepted version
	rejected   int64                // number of the rejected version; 0: none
	reasons    []string             // of the rejection
	rejectedAt configversion.Millis // when the version was rejected or last offered again
	before     requestCounts        // recent counts, from before the current rollout
	since      requestCounts        // counts since the current rollout began
}

// Rollout rolls versions out to routers in stages. It performs no I/O and is not safe
// for concurrent use.
type Rollout struct {
	settings     Settings
	state        State
	now          configversion.Millis
	lastAccepted configversion.Millis // when a router last accepted the version, or the stage began
	stageBegan   configversion.Millis
	routers      map[string]*routerState
	order        stageOrder
	actions      []any
}

// New returns a rollout that resumes from a state. A new service begins with the zero
// state.
func New(settings Settings, state State) *Rollout {
	return &Rollout{
		settings: settings.withDefaults(),
		state:    state,
		routers:  map[string]*routerState{},
		order:    newStageOrder(state.Next.Number),
	}
}

// State returns the state that must be persisted.
func (r *Rollout) State() State { return r.state }

// Status returns the status of all routers, sorted by name.
func (r *Rollout) Status() []RouterStatus {
	var list []RouterStatus
	for name, router := range r.routers {
		status := RouterStatus{
			Router:      name,
			Connected:   router.connected,
			Running:     router.running,
			Rejected:    router.rejected,
			Reasons:     router.reasons,
			InTimeShare: -1,
		}
		counts := router.before
		counts.add(router.since)
		if counts.requests > 0 {
			status.InTimeShare = counts.inTimeShare()
		}
		list = append(list, status)
	}
	slices.SortFunc(list, func(a, b RouterStatus) int { return strings.Compare(a.Router, b.Router) })
	return list
}

// Handle processes one of this package's events at time now. It appends the resulting
// actions to actions, in the order in which they must be executed.
func (r *Rollout) Handle(now configversion.Millis, event any, actions []any) []any {
	r.now = max(now, r.now)
	r.actions = actions
	switch event := event.(type) {
	case Push:
		r.push(event)
	case Halt:
		if r.inProgress() {
			r.halt(event.Reason)
		}
	case Connected:
		r.connected(event)
	case Disconnected:
		r.router(event.Router).connected = false
		r.order.invalidate()
	case Acked:
		r.acked(event)
	case Nacked:
		router := r.router(event.Router)
		router.rejected = event.Number
		router.reasons = event.Reasons
		router.rejectedAt = r.now
	case Tick:
		r.reoffer()
	case LoadReport:
		r.loadReport(event)
	}
	r.evaluate()
	actions, r.actions = r.actions, nil
	return actions
}

func (r *Rollout) emit(action any) { r.actions = append(r.actions, action) }

// inProgress reports whether a version is being rolled out.
func (r *Rollout) inProgress() bool { return r.state.Next.Number > 0 }

// router returns the state of a router, which is created if the router is new.
func (r *Rollout) router(name string) *routerState {
	router := r.routers[name]
	if router == nil {
		router = &routerState{}
		r.routers[name] = router
	}
	return router
}

func (r *Rollout) connected(event Connected) {
	router := r.router(event.Router)
	router.connected = true
	router.offered = 0
	router.running = max(event.Running, router.running)
	r.order.invalidate()
	if event.Running > r.state.LastNumber {
		r.state.LastNumber = event.Running
		r.emit(NumberAhead{event.Router, event.Running})
		r.emit(Persist{r.state})
	}
	r.offer(event.Router)
}

func (r *Rollout) acked(event Acked) {
	router := r.router(event.Router)
	router.running = max(router.running, event.Number)
	if router.rejected == event.Number {
		router.rejected, router.reasons = 0, nil
	}
	if event.Number == r.state.Next.Number {
		r.lastAccepted = r.now
	}
}

// push assigns the next number to a body and starts its rollout. It supersedes a
// rollout in progress: a router that already runs that version keeps it until the stage
// in which it is offered the new one.
func (r *Rollout) push(event Push) {
	r.state.LastNumber++
	version := configversion.New(r.state.LastNumber, event.Body)
	r.state.HaltReason = ""
	if r.state.Base.Number == 0 || event.Force {
		r.setBase(version)
		r.emit(Persist{r.state})
		r.offerAll()
		r.emit(Completed{version.Number})
		return
	}
	r.state.Next = version
	r.order = newStageOrder(version.Number)
	r.restartComparison()
	r.beginStage(0)
}

// setBase makes a version the one that all routers are offered, and ends the rollout in
// progress.
func (r *Rollout) setBase(version configversion.Version) {
	r.state.Base = version
	r.state.Next = configversion.Version{}
	r.state.Stage = 0
}

func (r *Rollout) beginStage(stage int) {
	r.state.Stage = stage
	r.lastAccepted = r.now
	r.stageBegan = r.now
	r.order.invalidate()
	r.emit(Persist{r.state})
	r.emit(StageStarted{r.state.Next.Number, stage, len(r.stageRouters())})
	r.offerAll()
}

func (r *Rollout) offerAll() {
	names := make([]string, 0, len(r.routers))
	for name := range r.routers {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		r.offer(name)
	}
}

// offer offers a router the version intended for it, unless that version was already
// offered on the present stream or is running.
func (r *Rollout) offer(name string) {
	router := r.routers[name]
	version := r.state.Base
	if r.inProgress() && r.isIncluded(name) {
		version = r.state.Next
	}
	isOffered := router.offered == version.Number
	isRunning := router.running >= version.Number && router.offered != 0
	if !router.connected || version.Number == 0 || isOffered || isRunning {
		return
	}
	router.offered = version.Number
	r.emit(Offer{name, version})
}

// reoffer repeats the offer of the base version to routers that rejected it at least
// ReofferAfter ago: the cause, such as a full disk or another service's lease, may have
// gone.
func (r *Rollout) reoffer() {
	for name, router := range r.routers {
		hasRejectedBase := router.rejected > 0 && router.rejected == r.state.Base.Number && router.running < router.rejected
		if router.connected && hasRejectedBase && r.now-router.rejectedAt >= r.settings.ReofferAfter {
			router.offered = 0
			router.rejectedAt = r.now
			r.offer(name)
		}
	}
}

// stageResponses counts the responses of a stage's routers to its version.
type stageResponses struct {
	accepted, rejected int
	firstRejection     string // the first rejecting router by name, and its reason
}

func (r *Rollout) countResponses(stage []string) (result stageResponses) {
	number := r.state.Next.Number
	for _, name := range stage {
		router := r.routers[name]
		switch {
		case router.rejected == number:
			result.rejected++
			if result.firstRejection != "" {
				continue
			}
			result.firstRejection = name + " rejected it"
			if len(router.reasons) > 0 {
				result.firstRejection += ": " + router.reasons[0]
			}
		case router.running >= number:
			result.accepted++
		}
	}
	return result
}

// evaluate halts the rollout if the version causes problems, or completes the stage
// once its conditions are met.
func (r *Rollout) evaluate() {
	if !r.inProgress() {
		return
	}
	stage := r.stageRouters()
	if len(stage) == 0 {
		return // wait for a router to connect
	}
	result := r.countResponses(stage)
	total := float64(len(stage))
	unanswered := float64(len(stage) - result.rejected - result.accepted)
	if float64(result.rejected) > r.settings.MaxRejectedShare*total {
		r.halt(fmt.Sprintf("%d of %d routers rejected it; %s", result.rejected, len(stage), result.firstRejection))
		return
	}
	tooManyUnanswered := unanswered > r.settings.MaxSilentShare*total
	if tooManyUnanswered && r.now-r.stageBegan >= r.settings.AnswerTimeout {
		r.halt(fmt.Sprintf("%.0f of %d routers have not answered within %.0f s", unanswered, len(stage), r.settings.AnswerTimeout/1000))
		return
	}
	if reason, dropped := r.inTimeShareDropped(stage); dropped {
		r.halt(reason)
		return
	}
	if !tooManyUnanswered && r.now-r.lastAccepted >= r.settings.MinStageTime {
		r.completeStage()
	}
}

// completeStage starts the next stage, or completes the rollout after the last one.
func (r *Rollout) completeStage() {
	if r.state.Stage+1 < len(r.settings.Stages) {
		r.beginStage(r.state.Stage + 1)
		return
	}
	number := r.state.Next.Number
	r.setBase(r.state.Next)
	r.restartComparison()
	r.emit(Persist{r.state})
	r.emit(Completed{number})
}

// halt stops the rollout. The old content is offered to all routers under a new number,
// since routers never accept a lower one.
func (r *Rollout) halt(reason string) {
	number := r.state.Next.Number
	r.restartComparison()
	r.state.LastNumber++
	r.setBase(configversion.New(r.state.LastNumber, r.state.Base.Body))
	r.state.HaltReason = reason
	r.emit(Halted{number, reason})
	r.emit(Persist{r.state})
	r.offerAll()
}
