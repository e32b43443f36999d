// Package rollout decides how a control service brings a version of the configuration
// to its routers: in stages, and so that a version that routers reject, or that makes
// their service worse, goes no further. It is a state machine without I/O: events go
// in, actions come out, and time is the caller's.
//
// The package owns the numbers of versions, the stage under way and what is known of
// each router; State is what of this must survive a crash. Versions themselves, and what
// a router makes of one that it is offered, are internal/controlplane/configversion's;
// streams and the service's disk are internal/controlplane/service's (docs/control.md).
//
// The machine is in rollout.go, its events and actions in events.go, who belongs to a
// stage in stage.go, the comparison of service in comparison.go.
package rollout

import (
	"fmt"
	"slices"
	"strings"

	"indigospool/internal/controlplane/configversion"
)

// State is what a service must not forget: numbers are never given twice.
type State struct {
	LastNumber int64                 // highest number ever given
	Base       configversion.Version // what all routers are offered; Number 0: none yet
	Next       configversion.Version // being rolled out; Number 0: none
	Stage      int                   // of Next, from 0
	HaltReason string                // why the last rollout was halted; empty: it was not
}

// RouterStatus is what is known of one router. Its JSON is that of the service's status.
type RouterStatus struct {
	Router      string
	Connected   bool     `json:"Joined"` // it has a stream
	Running     int64    // number of the version that it accepted last
	Rejected    int64    `json:"Refused"` // number of the version that it rejected, and has not accepted since
	Reasons     []string // of the rejection
	InTimeShare float64  `json:"Served"` // share of its requests of late that were served in time; -1: not reported
}

// routerState is a router as the service knows it.
type routerState struct {
	connected  bool
	offered    int64
	running    int64 // last accepted
	rejected   int64
	reasons    []string             // of the rejection
	rejectedAt configversion.Millis // or when it was offered again since
	before     requestCounts        // of late, when the present rollout began
	since      requestCounts        // since then
}

// Rollout brings versions to routers in stages, and halts by itself. It does no I/O, and
// is not safe for concurrent use.
type Rollout struct {
	settings     Settings
	state        State
	now          configversion.Millis
	lastAccepted configversion.Millis // when the stage's last router accepted, or the stage began
	stageBegan   configversion.Millis
	routers      map[string]*routerState
	order        stageOrder
	actions      []any
}

// New goes on from a state; the zero state is a new service's.
func New(settings Settings, state State) *Rollout {
	return &Rollout{
		settings: settings.withDefaults(),
		state:    state,
		routers:  map[string]*routerState{},
		order:    newStageOrder(state.Next.Number),
	}
}

// State is what must not be forgotten.
func (r *Rollout) State() State { return r.state }

// Status lists the routers by name.
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

// Handle takes one of the events of this package at the time now, and appends the
// actions that are to be done, in their order, to actions.
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

// router is what is known of a router, which may be a new one.
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

// push gives a body a number. One that is being rolled out is superseded: who has it
// is offered the new one first.
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

// setBase has a version be what all routers are offered, and ends a rollout under way.
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

// offer sends a router the version that is meant for it, unless it has been sent or is
// run already.
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

// reoffer offers the base to those who rejected it a while ago: a full disk, or another
// service that held the lease, may be of the past.
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

// stageResponses are what the routers of a stage have made of its version.
type stageResponses struct {
	accepted, rejected int
	firstRejection     string // which router rejected the version, and why
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
			result.firstRejection = name + " refuses it"
			if len(router.reasons) > 0 {
				result.firstRejection += ": " + router.reasons[0]
			}
		case router.running >= number:
			result.accepted++
		}
	}
	return result
}

// evaluate halts a rollout, or goes on to its next stage.
func (r *Rollout) evaluate() {
	if !r.inProgress() {
		return
	}
	stage := r.stageRouters()
	if len(stage) == 0 {
		return // the stage waits for a router
	}
	result := r.countResponses(stage)
	total := float64(len(stage))
	unanswered := float64(len(stage) - result.rejected - result.accepted)
	if float64(result.rejected) > r.settings.MaxRejectedShare*total {
		r.halt(fmt.Sprintf("%d of %d routers refuse it; %s", result.rejected, len(stage), result.firstRejection))
		return
	}
	tooManyUnanswered := unanswered > r.settings.MaxSilentShare*total
	if tooManyUnanswered && r.now-r.stageBegan >= r.settings.AnswerTimeout {
		r.halt(fmt.Sprintf("%.0f of %d routers have not answered in %.0f s", unanswered, len(stage), r.settings.AnswerTimeout/1000))
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

// completeStage goes on to the next stage, or ends the rollout.
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

// halt stops a rollout: the old content is offered to all under a new number,
// since a router never takes a lower one.
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
