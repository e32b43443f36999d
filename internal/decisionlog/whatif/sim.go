// Package whatif runs routers' cores in simulated time, before members that are
// modelled: arrivals and news come from the caller, a World answers attempts, the
// module decides all else. It is what a changed list or other settings are tried
// on (spool-replay's what-if, spool-fleet).
//
// It makes no decision of a router's and does no I/O but to read a journal that it
// is given. What it says of outcomes is a model's word, and never proof of a rule:
// proof is what passed on sockets (internal/testbed/invariants).
//
// sim.go is the clock and what a router's sockets would do; recorded.go a World
// learned from a journal; boxes.go a World of cache models; compare.go two runs
// side by side; risk.go the rules, as far as a run without sockets shows them.
package whatif

import (
	"container/heap"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/proxy/engine"
)

// Answer is how a modelled member deals with an attempt. Spans count from the
// moment of the attempt, in ms.
type Answer struct {
	Result     spool.Result
	Note       spool.Note
	FirstByte  float64 // the first byte of a streamed answer; only of OK
	Took       float64
	Unanswered bool // nothing is heard of it until it is called back or timed out
	Load       []float64
}

// MemberModel answers attempts. Now only goes forward over the calls of one Sim.
type MemberModel interface {
	// Attempt begins the n-th attempt of a request.
	Attempt(now float64, q *spool.Request, n int, s *spool.Send) Answer
	// AttemptEnded says that an attempt is over, also one that was called back.
	AttemptEnded(now float64, q *spool.Request, s *spool.Send, a *Answer, result spool.Result)
	// Update tells of members and purges, as the router is told them.
	Update(now float64, ev spool.Event)
}

// Watcher sees a run as it goes. Its functions may be nil.
type Watcher struct {
	AttemptSent  func(r *Router, state *RequestState, s *spool.Send, candidates []spool.Candidate)
	RequestWaits func(r *Router, state *RequestState, candidates []spool.Candidate) // nothing was sent, and it is not over
	AttemptEnded func(r *Router, state *RequestState, t *Attempt)                   // an attempt is over
	RequestEnded func(r *Router, state *RequestState)                               // a request is over
}

// End says how a request ended.
type End uint8

// The ends.
const (
	Open       End = iota
	Served         // a member's answer, whole
	Broken         // it broke off after it had begun
	Rejected       // the module turned it away
	Failed         // the module gave it up
	ClientLeft     // its client left
	Unfinished     // the run ended first
)

var endNames = [...]string{"open", "served", "broken", "refused", "failed", "left", "cut"}

func (e End) String() string { return endNames[e] }

// Attempt is one attempt of a request.
type Attempt struct {
	Send    spool.Send
	SentAt  float64 // when it was made
	Took    float64
	Result  spool.Result
	Done    bool
	started bool
	answer  Answer
}

// RequestState is a request that a router holds, or held.
type RequestState struct {
	Request      spool.Request
	ArrivedAt    float64
	EndedAt      float64
	End          End
	Attempts     []*Attempt
	Tag          any // the watcher's
	openAttempts int
	started      bool // the client has the first byte
}

// Router is one router of a Sim.
type Router struct {
	Core       *engine.Core
	Name       string
	Members    MemberModel
	requests   map[string]*RequestState
	candidates []spool.Candidate
	actions    []spool.Action
}

// Sim is a clock with routers.
type Sim struct {
	Now     float64
	Events  int64 // that modules were told
	Watch   Watcher
	Explain bool // looks are wanted
	routers []*Router
	queue   eventQueue
	seq     int64
}

// Add puts a router into the run.
func (s *Sim) Add(name string, c *engine.Core, members MemberModel) *Router {
	r := &Router{Core: c, Name: name, Members: members, requests: map[string]*RequestState{}}
	s.routers = append(s.routers, r)
	if s.Explain {
		c.Explain(func(l spool.Candidate) { r.candidates = append(r.candidates, l) })
	}
	return r
}

// Routers are those that were added, in their order.
func (s *Sim) Routers() []*Router { return s.routers }

// scheduled is something that comes due. One of tell and f is set.
type scheduled struct {
	time   float64
	seq    int64 // those of one time come in the order in which they were set
	router *Router
	event  spool.Event
	call   func()
}

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

// At has f run at a time, not before now.
func (s *Sim) At(t float64, f func()) { s.push(scheduled{time: t, call: f}) }

func (s *Sim) push(m scheduled) {
	s.seq++
	m.seq, m.time = s.seq, max(m.time, s.Now)
	heap.Push(&s.queue, m)
}

// RunTo lets time pass up to t, and everything happen that is due before or then.
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

// Handle tells a router's module an event, now, and does what it wants done.
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
	r.actions = nil // an action may lead to another event
	s.perform(r, acts)
	r.actions = acts[:0]
	if q, ok := ev.(spool.Request); ok {
		if state := r.requests[q.ID]; state != nil && state.End == Open && len(state.Attempts) == 0 && s.Watch.RequestWaits != nil {
			s.Watch.RequestWaits(r, state, candidatesOf(r.candidates, q.ID))
		}
	}
}

// ChangeSettings has a router go by other settings.
func (s *Sim) ChangeSettings(r *Router, settings *config.Settings) error {
	acts, err := r.Core.ChangeSettings(s.Now, settings, nil)
	if err == nil {
		s.perform(r, acts)
	}
	return err
}

func (r *Router) classDeadline(class string) float64 {
	for i := range r.Core.Settings.Classes {
		if c := &r.Core.Settings.Classes[i]; c.Name == class {
			return c.Deadline
		}
	}
	return 0
}

// of are the looks that concern a request, in their own slice.
func candidatesOf(candidates []spool.Candidate, id string) (out []spool.Candidate) {
	for _, l := range candidates {
		if l.Request == id {
			out = append(out, l)
		}
	}
	return out
}

func (s *Sim) perform(r *Router, actions []spool.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case spool.Send:
			s.send(r, a)
		case spool.Refuse:
			s.endRequestByID(r, a.ID, Rejected)
		case spool.Fail:
			s.endRequestByID(r, a.ID, Failed)
		case spool.Cancel:
			if state := r.requests[a.ID]; state != nil && a.Attempt < len(state.Attempts) {
				if t := state.Attempts[a.Attempt]; !t.Done && !t.started {
					s.endAttempt(r, state, a.Attempt, spool.Cancelled, spool.NoteNone)
				}
			}
		case spool.Wake:
			s.push(scheduled{time: s.Now + a.In, router: r, event: spool.Timer{Token: a.Token}})
		case spool.Probe:
			s.push(scheduled{time: s.Now + 1, router: r, event: spool.Probed{Cache: a.Cache, OK: true}})
		}
	}
}

// send makes an attempt as the edge does: bounded by the request's time and the
// module's own limit.
func (s *Sim) send(r *Router, a spool.Send) {
	state := r.requests[a.ID]
	if state == nil {
		return
	}
	t := &Attempt{Send: a, SentAt: s.Now}
	n := len(state.Attempts)
	state.Attempts = append(state.Attempts, t)
	state.openAttempts++
	if s.Watch.AttemptSent != nil {
		s.Watch.AttemptSent(r, state, &t.Send, candidatesOf(r.candidates, a.ID))
	}
	if state.End != Open {
		s.At(s.Now, func() { s.endAttempt(r, state, n, spool.NotSent, spool.NoteNone) })
		return
	}
	t.answer = r.Members.Attempt(s.Now, &state.Request, n, &t.Send)
	timeout := state.Request.Deadline - s.Now
	if a.Timeout > 0 {
		timeout = min(timeout, a.Timeout)
	}
	if t.answer.Unanswered || t.answer.Took > timeout && !(t.answer.Result == spool.OK && t.answer.FirstByte <= timeout) {
		s.At(s.Now+timeout, func() { s.endAttempt(r, state, n, spool.TimedOut, spool.NoteNone) })
		return
	}
	if t.answer.Result == spool.OK {
		s.At(s.Now+min(t.answer.FirstByte, t.answer.Took), func() { s.startResponse(r, state, n) })
	}
	s.At(s.Now+t.answer.Took, func() { s.endAttempt(r, state, n, t.answer.Result, t.answer.Note) })
}

// startResponse is the first byte of an answer: it is the client's, the first to come wins.
func (s *Sim) startResponse(r *Router, state *RequestState, n int) {
	t := state.Attempts[n]
	if t.Done || state.End != Open || state.started {
		return
	}
	t.started, state.started = true, true
	s.Handle(r, spool.Started{ID: state.Request.ID, Cache: t.Send.Cache, Attempt: n})
}

// endAttempt ends an attempt, and tells the module.
func (s *Sim) endAttempt(r *Router, state *RequestState, n int, result spool.Result, note spool.Note) {
	t := state.Attempts[n]
	if t.Done {
		return
	}
	if result == spool.OK && !t.started { // another was faster, or the request is over
		result = spool.Cancelled
	}
	t.Done, t.Result, t.Took = true, result, s.Now-t.SentAt
	state.openAttempts--
	r.Members.AttemptEnded(s.Now, &state.Request, &t.Send, &t.answer, result)
	if s.Watch.AttemptEnded != nil {
		s.Watch.AttemptEnded(r, state, t)
	}
	last := state.End != Open
	if state.End == Open && t.started {
		end := Served
		if result != spool.OK {
			end = Broken
		}
		last = true
		s.endRequest(r, state, end)
	}
	ev := spool.Outcome{ID: state.Request.ID, Cache: t.Send.Cache, Attempt: n, Result: result, Took: t.Took, Last: last,
		Note: note, Load: t.answer.Load}
	s.At(s.Now, func() { s.Handle(r, ev) }) // after what is being carried out
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

func (s *Sim) release(r *Router, state *RequestState) {
	if state.End != Open && state.openAttempts == 0 {
		delete(r.requests, state.Request.ID)
	}
}

// Finish ends what routers still hold, as cut.
func (s *Sim) Finish() {
	for _, r := range s.routers {
		for _, state := range r.requests {
			s.endRequest(r, state, Unfinished)
		}
	}
}
