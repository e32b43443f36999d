// Package whatif simulates routers and their members, to show the effect of a changed endpoint
// list or of other settings. It is used by spool-replay and by internal/controlplane/endpointcheck.
// Members are the caches, parents and origins of the endpoint list. The caller supplies the
// requests and the updates, a MemberModel answers the attempts, and the routers' modules make
// the decisions.
//
// The package makes no routing decisions, and does no I/O except for reading a journal. Its
// outcomes are those of a model. They do not show that a router keeps the rules that
// internal/testbed/invariants defines; that package checks them against a log of real traffic.
//
// sim.go contains the simulated clock and the parts of a router outside its module, recorded.go
// a MemberModel built from a journal, boxes.go a MemberModel that simulates each cache,
// compare.go the comparison of two runs, and risk.go the rules that can be checked in a
// simulation.
package whatif

import (
	"container/heap"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/proxy/engine"
)

// Answer is a member's answer to an attempt. Times are in ms since the attempt was sent.
type Answer struct {
	Result     spool.Result
	Note       spool.Note
	FirstByte  float64 // time of the first byte, only with the result OK
	Took       float64 // time of the end
	Unanswered bool    // there is no answer until the attempt is cancelled or times out
	Load       []float64
}

// MemberModel simulates the members. Within one Sim, now never
// decreases from one call to the next.
type MemberModel interface {
	// Attempt returns the answer to attempt n of a request.
	Attempt(now float64, request *spool.Request, attempt int, send *spool.Send) Answer
	// AttemptEnded is called when an attempt has ended or was cancelled. For an attempt with the
	// result NotSent, Attempt was not called, and the answer is the zero value.
	AttemptEnded(now float64, request *spool.Request, send *spool.Send, answer *Answer, result spool.Result)
	// Update is called with each update of the members and each purge that a router receives.
	Update(now float64, ev spool.Event)
}

// Watcher observes a simulation. Its functions may be nil.
type Watcher struct {
	AttemptSent  func(r *Router, state *RequestState, send *spool.Send, candidates []spool.Candidate)
	RequestWaits func(r *Router, state *RequestState, candidates []spool.Candidate) // nothing was sent on arrival
	AttemptEnded func(r *Router, state *RequestState, attempt *Attempt)
	RequestEnded func(r *Router, state *RequestState)
}

// End is how a request ended.
type End uint8

// The values of End.
const (
	Open       End = iota // not ended
	Served                // a member's answer was complete
	Broken                // the answer broke off after its first byte; not produced at present
	Rejected              // by the module, with the action Refuse
	Failed                // by the module, with the action Fail
	ClientLeft            // the client has disconnected
	Unfinished            // the simulation ended first
)

var endNames = [...]string{"open", "served", "broken", "refused", "failed", "left", "cut"}

func (e End) String() string { return endNames[e] }

// Attempt is one attempt of a request.
type Attempt struct {
	Send    spool.Send
	SentAt  float64 // simulated time, ms
	Took    float64
	Result  spool.Result
	Done    bool
	started bool // its first byte was sent to the client
	answer  Answer
}

// RequestState is the state of a request in the simulation.
type RequestState struct {
	Request      spool.Request
	ArrivedAt    float64
	EndedAt      float64
	End          End
	Attempts     []*Attempt
	Tag          any // for use by the Watcher
	openAttempts int
	started      bool // the first byte was sent to the client
}

// Router is a router in a simulation.
type Router struct {
	Core       *engine.Core
	Name       string
	Members    MemberModel
	requests   map[string]*RequestState
	candidates []spool.Candidate // considered while the current event is handled
	actions    []spool.Action    // reused by Handle
}

// Sim is a simulation of routers with a common clock.
type Sim struct {
	Now     float64 // ms
	Events  int64   // number of events passed to Handle
	Watch   Watcher
	Explain bool // collect the candidates for Watch; set before Add
	routers []*Router
	queue   eventQueue
	seq     int64
}

// Add adds a router to the simulation.
func (s *Sim) Add(name string, c *engine.Core, members MemberModel) *Router {
	r := &Router{Core: c, Name: name, Members: members, requests: map[string]*RequestState{}}
	s.routers = append(s.routers, r)
	if s.Explain {
		c.Explain(func(l spool.Candidate) { r.candidates = append(r.candidates, l) })
	}
	return r
}

// Routers returns the routers in the order in which they were added.
func (s *Sim) Routers() []*Router { return s.routers }

// scheduled is an event for a router or a function call that is due at a time. Either event or
// call is set.
type scheduled struct {
	time   float64
	seq    int64 // orders those with the same time
	router *Router
	event  spool.Event
	call   func()
}

// eventQueue implements heap.Interface.
type eventQueue []scheduled

func (d eventQueue) Len() int { return len(d) }
func (d eventQueue) Less(i, j int) bool {
	return d[i].time < d[j].time || d[i].time == d[j].time && d[i].seq < d[j].seq
}
func (d eventQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *eventQueue) Push(x any)   { *d = append(*d, x.(scheduled)) }
func (d *eventQueue) Pop() any {
	old := *d
	m := old[len(old)-1]
	old[len(old)-1] = scheduled{}
	*d = old[:len(old)-1]
	return m
}

// At schedules a function call at a time, or now if the time is in the past.
func (s *Sim) At(time float64, call func()) { s.push(scheduled{time: time, call: call}) }

func (s *Sim) push(m scheduled) {
	s.seq++
	m.seq, m.time = s.seq, max(m.time, s.Now)
	heap.Push(&s.queue, m)
}

// RunTo advances the clock to t and runs everything that is due by then.
func (s *Sim) RunTo(t float64) {
	for len(s.queue) > 0 && s.queue[0].time <= t {
		m := heap.Pop(&s.queue).(scheduled)
		s.Now = max(s.Now, m.time)
		if m.call != nil {
			m.call()
		} else {
			s.Handle(m.router, m.event)
		}
	}
	s.Now = max(s.Now, t)
}

// Handle passes an event to a router's module at the present time, and performs its actions.
func (s *Sim) Handle(r *Router, ev spool.Event) {
	s.Events++
	switch ev := ev.(type) {
	case spool.Request:
		if r.requests[ev.ID] != nil {
			return
		}
		state := &RequestState{Request: ev, ArrivedAt: s.Now}
		if ev.Deadline <= 0 {
			state.Request.Deadline = s.Now + r.classDeadline(ev.Class)
		}
		r.requests[ev.ID] = state
	case spool.Gone:
		if state := r.requests[ev.ID]; state != nil {
			s.endRequest(r, state, ClientLeft)
		} else {
			return
		}
	case spool.Members, spool.Purge:
		r.Members.Update(s.Now, ev)
	}
	r.candidates = r.candidates[:0]
	acts := r.Core.Handle(s.Now, ev, r.actions[:0])
	r.actions = nil // an action may call Handle again
	s.perform(r, acts)
	r.actions = acts[:0]
	if q, ok := ev.(spool.Request); ok {
		if state := r.requests[q.ID]; state != nil && state.End == Open && len(state.Attempts) == 0 && s.Watch.RequestWaits != nil {
			s.Watch.RequestWaits(r, state, candidatesOf(r.candidates, q.ID))
		}
	}
}

// ChangeSettings replaces the settings of a router.
func (s *Sim) ChangeSettings(r *Router, settings *config.Settings) error {
	acts, err := r.Core.ChangeSettings(s.Now, settings, nil)
	if err == nil {
		s.perform(r, acts)
	}
	return err
}

// classDeadline returns the default deadline of a class, in ms after the arrival of a request, or
// 0 for an unknown class. The Deadline of a Request is a point in time instead.
func (r *Router) classDeadline(class string) float64 {
	for i := range r.Core.Settings.Classes {
		if c := &r.Core.Settings.Classes[i]; c.Name == class {
			return c.Deadline
		}
	}
	return 0
}

// candidatesOf returns a copy of the candidates that were considered for a request.
func candidatesOf(candidates []spool.Candidate, id string) (out []spool.Candidate) {
	for _, l := range candidates {
		if l.Request == id {
			out = append(out, l)
		}
	}
	return out
}

// perform carries out a module's actions. Watch and Fetch are ignored, since the caller supplies
// the endpoint list.
func (s *Sim) perform(router *Router, actions []spool.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case spool.Send:
			s.send(router, a)
		case spool.Refuse:
			s.endRequestByID(router, a.ID, Rejected)
		case spool.Fail:
			s.endRequestByID(router, a.ID, Failed)
		case spool.Cancel:
			// an attempt whose answer is being sent to the client is not cancelled
			if state := router.requests[a.ID]; state != nil && a.Attempt < len(state.Attempts) {
				if t := state.Attempts[a.Attempt]; !t.Done && !t.started {
					s.endAttempt(router, state, a.Attempt, spool.Cancelled, spool.NoteNone)
				}
			}
		case spool.Wake:
			s.push(scheduled{time: s.Now + a.In, router: router, event: spool.Timer{Token: a.Token}})
		case spool.Probe:
			// a probe always succeeds after 1 ms
			s.push(scheduled{time: s.Now + 1, router: router, event: spool.Probed{Cache: a.Cache, OK: true}})
		}
	}
}

// send sends an attempt. It times out at the request's deadline or after Send.Timeout, whichever
// is earlier, unless the first byte of an OK answer or the end of another answer has arrived by then.
func (s *Sim) send(r *Router, send spool.Send) {
	state := r.requests[send.ID]
	if state == nil {
		return
	}
	attempt := &Attempt{Send: send, SentAt: s.Now}
	number := len(state.Attempts)
	state.Attempts = append(state.Attempts, attempt)
	state.openAttempts++
	if s.Watch.AttemptSent != nil {
		s.Watch.AttemptSent(r, state, &attempt.Send, candidatesOf(r.candidates, send.ID))
	}
	if state.End != Open { // the request has ended, but has open attempts
		s.At(s.Now, func() { s.endAttempt(r, state, number, spool.NotSent, spool.NoteNone) })
		return
	}
	attempt.answer = r.Members.Attempt(s.Now, &state.Request, number, &attempt.Send)
	timeout := state.Request.Deadline - s.Now
	if send.Timeout > 0 {
		timeout = min(timeout, send.Timeout)
	}
	if attempt.answer.Unanswered || attempt.answer.Took > timeout && !(attempt.answer.Result == spool.OK && attempt.answer.FirstByte <= timeout) {
		s.At(s.Now+timeout, func() { s.endAttempt(r, state, number, spool.TimedOut, spool.NoteNone) })
		return
	}
	if attempt.answer.Result == spool.OK {
		s.At(s.Now+min(attempt.answer.FirstByte, attempt.answer.Took), func() { s.startResponse(r, state, number) })
	}
	s.At(s.Now+attempt.answer.Took, func() { s.endAttempt(r, state, number, attempt.answer.Result, attempt.answer.Note) })
}

// startResponse handles the first byte of an answer. The first answer to arrive is sent to the
// client.
func (s *Sim) startResponse(r *Router, state *RequestState, number int) {
	attempt := state.Attempts[number]
	if attempt.Done || state.End != Open || state.started {
		return
	}
	attempt.started, state.started = true, true
	s.Handle(r, spool.Started{ID: state.Request.ID, Cache: attempt.Send.Cache, Attempt: number})
}

// endAttempt ends an attempt and schedules its Outcome.
func (s *Sim) endAttempt(r *Router, state *RequestState, number int, result spool.Result, note spool.Note) {
	attempt := state.Attempts[number]
	if attempt.Done {
		return
	}
	if result == spool.OK && !attempt.started { // another attempt was faster, or the request has ended
		result = spool.Cancelled
	}
	attempt.Done, attempt.Result, attempt.Took = true, result, s.Now-attempt.SentAt
	state.openAttempts--
	r.Members.AttemptEnded(s.Now, &state.Request, &attempt.Send, &attempt.answer, result)
	if s.Watch.AttemptEnded != nil {
		s.Watch.AttemptEnded(r, state, attempt)
	}
	last := state.End != Open
	if state.End == Open && attempt.started {
		end := Served
		if result != spool.OK {
			end = Broken
		}
		last = true
		s.endRequest(r, state, end)
	}
	ev := spool.Outcome{ID: state.Request.ID, Cache: attempt.Send.Cache, Attempt: number, Result: result, Took: attempt.Took, Last: last,
		Note: note, Load: attempt.answer.Load}
	s.At(s.Now, func() { s.Handle(r, ev) }) // after the current actions
	s.release(r, state)
}

func (s *Sim) endRequestByID(r *Router, id string, e End) {
	if state := r.requests[id]; state != nil {
		s.endRequest(r, state, e)
	}
}

func (s *Sim) endRequest(r *Router, state *RequestState, e End) {
	if state.End != Open {
		return
	}
	state.End, state.EndedAt = e, s.Now
	if s.Watch.RequestEnded != nil {
		s.Watch.RequestEnded(r, state)
	}
	s.release(r, state)
}

// release deletes a request that has ended and has no open attempts.
func (s *Sim) release(r *Router, state *RequestState) {
	if state.End != Open && state.openAttempts == 0 {
		delete(r.requests, state.Request.ID)
	}
}

// Finish ends all open requests as Unfinished.
func (s *Sim) Finish() {
	for _, r := range s.routers {
		for _, state := range r.requests {
			s.endRequest(r, state, Unfinished)
		}
	}
}
