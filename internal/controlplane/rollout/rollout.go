// Package rollout decides how a control service brings a version of the configuration
// to its routers: in stages, and so that a version that routers reject, or that makes
// their service worse, goes no further. It is a state machine without I/O: events go
// in, actions come out, and time is the caller's.
//
// Versions themselves, and what a router makes of one that it is offered, are
// internal/controlplane/configversion's; streams and the service's disk are
// internal/controlplane/service's (docs/control.md).
package rollout

import (
	"fmt"
	"hash/fnv"
	"math"
	"sort"

	"indigospool/internal/controlplane/configversion"
)

// Settings are how a service brings a version to its routers. Zero
// fields mean the defaults.
type Settings struct {
	Stages           []float64            // shares of the routers, in rising order; a share too small for one means one; default 0, 0.1, 1
	MinStageTime     configversion.Millis // a stage lasts at least so long after its last router has accepted; default 30000
	AnswerTimeout    configversion.Millis // and is halted when routers have not answered for so long; default 120000
	MaxRejectedShare float64              // halted when more than this share of a stage's routers refuse; default 0: any
	MaxSilentShare   float64              // share of a stage's routers that may stay without an answer; default 0.05
	MaxServiceDrop   float64              // halted when service at its routers falls by more than this against the others; default 0.05
	ReofferAfter     configversion.Millis // a router that refused what is everybody's is offered it again after so long; default 60000
	MinRequests      float64              // requests that such a comparison needs on either side, before and since; default 200
}

func (s Settings) filled() Settings {
	if len(s.Stages) == 0 {
		s.Stages = []float64{0, 0.1, 1}
	}
	if s.MinStageTime <= 0 {
		s.MinStageTime = 30000
	}
	if s.AnswerTimeout <= 0 {
		s.AnswerTimeout = 120000
	}
	if s.MaxSilentShare <= 0 {
		s.MaxSilentShare = 0.05
	}
	if s.MaxServiceDrop <= 0 {
		s.MaxServiceDrop = 0.05
	}
	if s.ReofferAfter <= 0 {
		s.ReofferAfter = 60000
	}
	if s.MinRequests <= 0 {
		s.MinRequests = 200
	}
	return s
}

// What a rollout hears of.
type (
	// Push begins the rollout of a body. Force takes it to all at once.
	Push struct {
		Body  []byte
		Force bool
	}
	// Connected says that a router's stream has begun, and what it runs.
	Connected struct {
		Router  string
		Running int64
	}
	// Disconnected says that it has ended.
	Disconnected struct{ Router string }
	// Acked says that a router has accepted a version.
	Acked struct {
		Router string
		Number int64
	}
	// Nacked says that it has refused one.
	Nacked struct {
		Router  string
		Number  int64
		Reasons []string
	}
	// LoadReport is how many requests a router had since its last report, and how
	// many of them it served in time.
	LoadReport struct {
		Router           string
		InTime, Requests float64
	}
	// Halt stops the rollout under way by hand, if there is one.
	Halt struct{ Reason string }
	// Tick is time passing.
	Tick struct{}
)

// What a rollout wants done.
type (
	// Offer sends a version to a router that has a stream.
	Offer struct {
		Router  string
		Version configversion.Version
	}
	// Halted says that a rollout was stopped, and why. The old content follows
	// under a new number.
	Halted struct {
		Number int64
		Reason string
	}
	// StageStarted says that a stage has begun.
	StageStarted struct {
		Number  int64
		Stage   int
		Routers int
	}
	// NumberAhead says that a router has accepted a number that this service never
	// gave, as after a state was lost: later numbers are above it.
	NumberAhead struct {
		Router string
		Number int64
	}
	// Completed says that a version is everybody's.
	Completed struct{ Number int64 }
	// Persist asks for the state to be put on disk before any Offer after it is sent.
	Persist struct{ State State }
)

// State is what a service must not forget: numbers are never given twice.
type State struct {
	LastNumber int64 // highest number ever given
	Base       configversion.Version
	Next       configversion.Version // on its way; Number 0: none
	Stage      int
	HaltReason string // why the last rollout was halted; empty: it was not
}

// seat is a router as the service knows it.
type seat struct {
	joined  bool
	offered int64
	running int64 // last accepted
	refused int64
	reasons []string
	at      configversion.Millis // of the refusal
	before  tally                // of service, of late, when the present rollout began
	since   tally                // since then
}

// tally counts requests, and those that were served in time.
type tally struct{ served, asked float64 }

func (t tally) share() float64 { return t.served / max(t.asked, 1) }

func (t *tally) add(o tally) { t.served, t.asked = t.served+o.served, t.asked+o.asked }

// fade makes what was counted before weigh less than what comes.
func (t *tally) fade(keep float64) { t.served, t.asked = t.served*keep, t.asked*keep }

const keepOfBefore = 0.9 // a report: service of late is that of about the last ten

// Rollout brings versions to routers in stages, and stops by itself. Like the
// Machine it does no I/O, and is not safe for concurrent use.
type Rollout struct {
	set     Settings
	st      State
	now     configversion.Millis
	since   configversion.Millis // when the stage's last router accepted, or the stage began
	began   configversion.Millis // of the stage
	routers map[string]*seat
	out     []any

	limit  float64 // routers whose place is at most this are in the stage; NaN: to be found anew
	places map[string]float64
}

// New goes on from a state; the zero state is a new service's.
func New(s Settings, st State) *Rollout {
	return &Rollout{set: s.filled(), st: st, routers: map[string]*seat{}, limit: math.NaN(), places: map[string]float64{}}
}

// State is what must not be forgotten.
func (r *Rollout) State() State { return r.st }

// RouterStatus is what is known of one router.
type RouterStatus struct {
	Router      string
	Connected   bool `json:"Joined"`
	Running     int64
	Rejected    int64 `json:"Refused"`
	Reasons     []string
	InTimeShare float64 `json:"Served"` // share of its requests of late that were served in time; -1: not reported
}

// Status lists the routers by name.
func (r *Rollout) Status() []RouterStatus {
	var out []RouterStatus
	for id, s := range r.routers {
		served, all := -1.0, s.before
		if all.add(s.since); all.asked > 0 {
			served = all.share()
		}
		out = append(out, RouterStatus{id, s.joined, s.running, s.refused, s.reasons, served})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Router < out[j].Router })
	return out
}

// Handle takes one of the events above at the time now and appends what is to be done.
func (r *Rollout) Handle(now configversion.Millis, ev any, dst []any) []any {
	r.now, r.out = max(now, r.now), dst
	switch ev := ev.(type) {
	case Push:
		r.push(ev)
	case Halt:
		if r.st.Next.Number > 0 {
			r.halt(ev.Reason)
		}
	case Connected:
		s := r.seat(ev.Router)
		s.joined, s.offered, s.running = true, 0, max(ev.Running, s.running)
		r.limit = math.NaN()
		if ev.Running > r.st.LastNumber {
			r.st.LastNumber = ev.Running
			r.do(NumberAhead{ev.Router, ev.Running})
			r.do(Persist{r.st})
		}
		r.offer(ev.Router)
	case Disconnected:
		r.seat(ev.Router).joined = false
		r.limit = math.NaN()
	case Acked:
		s := r.seat(ev.Router)
		s.running = max(s.running, ev.Number)
		if s.refused == ev.Number {
			s.refused, s.reasons = 0, nil
		}
		if ev.Number == r.st.Next.Number {
			r.since = r.now
		}
	case Nacked:
		s := r.seat(ev.Router)
		s.refused, s.reasons, s.at = ev.Number, ev.Reasons, r.now
	case Tick:
		r.again()
	case LoadReport:
		s, t := r.seat(ev.Router), tally{max(ev.InTime, 0), max(ev.Requests, 0)}
		if r.st.Next.Number > 0 {
			s.since.add(t)
		} else {
			s.before.fade(keepOfBefore)
			s.before.add(t)
		}
	}
	r.judge()
	dst, r.out = r.out, nil
	return dst
}

func (r *Rollout) seat(id string) *seat {
	s := r.routers[id]
	if s == nil {
		s = &seat{}
		r.routers[id] = s
	}
	return s
}

func (r *Rollout) do(a any) { r.out = append(r.out, a) }

// push gives a body a number. One that is on its way is superseded: who has it
// is offered the new one first.
func (r *Rollout) push(ev Push) {
	r.st.LastNumber++
	v := configversion.New(r.st.LastNumber, ev.Body)
	r.st.HaltReason = ""
	if r.st.Base.Number == 0 || ev.Force {
		r.st.Base, r.st.Next, r.st.Stage = v, configversion.Version{}, 0
		r.do(Persist{r.st})
		r.offerAll()
		r.do(Completed{v.Number})
		return
	}
	r.st.Next = v
	r.places = map[string]float64{}
	r.compare()
	r.begin(0)
}

// compare has service counted anew: what was counted is of before.
func (r *Rollout) compare() {
	for _, s := range r.routers {
		s.before.add(s.since)
		s.since = tally{}
	}
}

// begin begins a stage.
func (r *Rollout) begin(stage int) {
	r.st.Stage = stage
	r.since, r.began, r.limit = r.now, r.now, math.NaN()
	r.do(Persist{r.st})
	r.do(StageStarted{r.st.Next.Number, stage, len(r.inStage())})
	r.offerAll()
}

func (r *Rollout) offerAll() {
	ids := make([]string, 0, len(r.routers))
	for id := range r.routers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		r.offer(id)
	}
}

// offer sends a router what is its, unless it has been sent or is run already.
func (r *Rollout) offer(id string) {
	s := r.routers[id]
	v := r.st.Base
	if r.st.Next.Number > 0 && r.included(id) {
		v = r.st.Next
	}
	if !s.joined || v.Number == 0 || s.offered == v.Number || s.running >= v.Number && s.offered != 0 {
		return
	}
	s.offered = v.Number
	r.do(Offer{id, v})
}

// again offers what is everybody's to those who refused it a while ago: a full
// disk, or another service in charge, may be of the past.
func (r *Rollout) again() {
	for id, s := range r.routers {
		if s.joined && s.refused > 0 && s.refused == r.st.Base.Number && s.running < s.refused && r.now-s.at >= r.set.ReofferAfter {
			s.offered, s.at = 0, r.now
			r.offer(id)
		}
	}
}

// place is where a router stands in the order of a version's stages, from 0 to
// 1: another for each version, so that not always the same go first.
func (r *Rollout) place(id string) float64 {
	if p, ok := r.places[id]; ok {
		return p
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%s", r.st.Next.Number, id)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	p := float64(x>>11) / (1 << 53)
	r.places[id] = p
	return p
}

// included reports whether a router is in the present stage, or in one before:
// the stage's share of the routers with a stream, those that stand first.
func (r *Rollout) included(id string) bool {
	share := r.set.Stages[min(r.st.Stage, len(r.set.Stages)-1)]
	if share >= 1 {
		return true
	}
	if math.IsNaN(r.limit) {
		var all []float64
		for other, s := range r.routers {
			if s.joined {
				all = append(all, r.place(other))
			}
		}
		sort.Float64s(all)
		r.limit = -1
		if n := max(int(math.Ceil(share*float64(len(all)))), 1); n <= len(all) {
			r.limit = all[n-1]
		}
	}
	return r.place(id) <= r.limit
}

// inStage are the routers with a stream that are in the present stage.
func (r *Rollout) inStage() (ids []string) {
	for id, s := range r.routers {
		if s.joined && r.included(id) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// judge halts a rollout, or goes on to its next stage.
func (r *Rollout) judge() {
	n := r.st.Next.Number
	if n == 0 {
		return
	}
	ids := r.inStage()
	if len(ids) == 0 {
		return // nobody is there to tell: the stage waits
	}
	refused, accepted, why := 0, 0, ""
	for _, id := range ids {
		s := r.routers[id]
		switch {
		case s.refused == n:
			if refused++; why == "" {
				why = fmt.Sprintf("%s refuses it", id)
				if len(s.reasons) > 0 {
					why += ": " + s.reasons[0]
				}
			}
		case s.running >= n:
			accepted++
		}
	}
	total := float64(len(ids))
	silent := float64(len(ids) - refused - accepted)
	switch {
	case float64(refused) > r.set.MaxRejectedShare*total:
		r.halt(fmt.Sprintf("%d of %d routers refuse it; %s", refused, len(ids), why))
	case silent > r.set.MaxSilentShare*total && r.now-r.began >= r.set.AnswerTimeout:
		r.halt(fmt.Sprintf("%.0f of %d routers have not answered in %.0f s", silent, len(ids), r.set.AnswerTimeout/1000))
	case r.fell(ids, n):
	case silent <= r.set.MaxSilentShare*total && r.now-r.since >= r.set.MinStageTime:
		if r.st.Stage+1 < len(r.set.Stages) {
			r.begin(r.st.Stage + 1)
			return
		}
		r.st.Base, r.st.Next, r.st.Stage = r.st.Next, configversion.Version{}, 0
		r.compare()
		r.do(Persist{r.st})
		r.do(Completed{n})
	}
}

// fell halts a rollout when service at those who run the version has fallen
// against what it was before by more than it has at those who don't: zones
// differ, and what befalls all of them is not the version's doing.
func (r *Rollout) fell(ids []string, n int64) bool {
	in := map[string]bool{}
	for _, id := range ids {
		in[id] = true
	}
	var mine, others change
	for id, s := range r.routers {
		switch {
		case !s.joined || s.before.asked == 0 || s.since.asked == 0:
		case in[id] && s.running >= n:
			mine.add(s)
		case !in[id]:
			others.add(s)
		}
	}
	if min(mine.asked, mine.askedBefore, others.asked, others.askedBefore) < r.set.MinRequests {
		return false
	}
	if mine.fall()-max(others.fall(), 0) <= r.set.MaxServiceDrop {
		return false
	}
	r.halt(fmt.Sprintf("service in time at routers that run it is %.1f points of a hundred less than before, at the others %.1f",
		100*mine.fall(), 100*others.fall()))
	return true
}

// change is how service has changed at several routers: each one's own change
// counts by its requests since.
type change struct{ sum, asked, askedBefore float64 }

func (c *change) add(s *seat) {
	c.sum += (s.before.share() - s.since.share()) * s.since.asked
	c.asked += s.since.asked
	c.askedBefore += s.before.asked
}

func (c *change) fall() float64 { return c.sum / max(c.asked, 1) }

// halt stops a rollout: the old content is offered to all under a new number,
// since a router never takes a lower one.
func (r *Rollout) halt(why string) {
	number := r.st.Next.Number
	r.compare()
	r.st.LastNumber++
	r.st.Base, r.st.Next, r.st.Stage, r.st.HaltReason = configversion.New(r.st.LastNumber, r.st.Base.Body), configversion.Version{}, 0, why
	r.do(Halted{number, why})
	r.do(Persist{r.st})
	r.offerAll()
}
