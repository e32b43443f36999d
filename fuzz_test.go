package indigospool

import (
	"fmt"
	"testing"
)

// FuzzInvariants passes valid and unexpected sequences of events to a router and checks invariants of
// its actions. Servers are not simulated: the input determines the outcomes.
func FuzzInvariants(f *testing.F) {
	for _, seed := range [][]byte{
		{0, 1, 2, 3, 4, 5, 6, 7, 8, 9},
		[]byte("requests and outcomes in turn, with drains and purges between"),
		{1, 1, 1, 1, 12, 12, 12, 3, 3, 3, 24, 36, 48, 60, 5, 5, 6, 7, 2, 2, 2},
		{255, 254, 128, 127, 64, 200, 201, 202, 203, 204, 13, 26, 39, 52, 65},
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, in []byte) { newInvariantChecker(t, testSettings()).run(in) })
}

// TestInvariantsOverSettings runs the checks of FuzzInvariants with other settings.
func TestInvariantsOverSettings(t *testing.T) {
	in := make([]byte, 3000)
	h := uint64(1)
	for i := range in {
		h = mix(h + uint64(i))
		in[i] = byte(h)
	}
	for i, change := range []func(*Settings){
		func(*Settings) {},
		func(s *Settings) { s.DirectAttempts, s.SiblingScope = false, ScopeAll },
		func(s *Settings) { s.ParentKind, s.Detail, s.FlowKBPerMs = "", DetailOff, 0 },
		func(s *Settings) { s.MaxAttempts, s.CanCancel, s.WatchRequired = 1, false, true },
		func(s *Settings) {
			s.MaxAttempts, s.JoinFills, s.SizeIsCapacity, s.SiblingScope = 2, true, true, ScopeZone
		},
		func(s *Settings) {
			s.OverloadTime, s.WarmUpTime, s.TimerResolution, s.Zones, s.RoutersByZone = 0, 0, 0, nil, nil
		},
	} {
		settings := testSettings()
		change(&settings)
		t.Run(fmt.Sprint(i), func(t *testing.T) { newInvariantChecker(t, settings).run(in) })
	}
}

// invariantChecker passes events to a router and checks its actions against them.
type invariantChecker struct {
	t                *testing.T
	settings         Settings
	router           *Router
	now              Millis
	requests         map[string]*checkedRequest
	ids              []string
	unavailableSince map[string]Millis // time of the update that reported a member as draining or removed
	purgedAt         map[string]Millis // time of the last purge of an object
	wakes            []pendingTimer
}

type pendingTimer struct {
	at    Millis
	token int64
}

type checkedRequest struct {
	Request
	attempts, outstanding int
	sends                 map[int]Send
	ended                 bool
	mayHaveRun            bool // whether an attempt may have run
	idempotency           Idempotency
}

func newInvariantChecker(t *testing.T, settings Settings) *invariantChecker {
	router, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	checker := &invariantChecker{t: t, settings: settings, router: router, now: 1000, requests: map[string]*checkedRequest{}, unavailableSince: map[string]Millis{},
		purgedAt: map[string]Millis{}}
	checker.handle(Members{Full: true, Rows: baseRows()})
	return checker
}

func (w *invariantChecker) handle(ev Event) {
	for _, a := range w.router.Handle(w.now, ev, nil) {
		switch a := a.(type) {
		case Wake:
			if a.In < 0 {
				w.t.Fatalf("wake in the past: %+v", a)
			}
			w.wakes = append(w.wakes, pendingTimer{w.now + a.In, a.Token})
		case Refuse:
			w.checkFinalAnswer(a.ID, true)
		case Fail:
			w.checkFinalAnswer(a.ID, false)
		case Send:
			w.checkSend(a)
		case Cancel:
			if request := w.requests[a.ID]; !w.settings.CanCancel || request == nil || a.Attempt >= request.attempts {
				w.t.Fatalf("unexpected cancel: %+v", a)
			}
		}
	}
}

func (w *invariantChecker) checkFinalAnswer(id string, rejected bool) {
	request := w.requests[id]
	if request == nil || request.ended {
		w.t.Fatalf("final answer for %s, which is unknown or has one already", id)
	}
	if rejected && request.mayHaveRun && request.idempotency == NonIdempotent {
		w.t.Fatalf("%s is rejected although it may have run", id)
	}
	request.ended = true
}

func (w *invariantChecker) checkSend(send Send) {
	request := w.requests[send.ID]
	switch {
	case request == nil || request.ended:
		w.t.Fatalf("attempt after the end of the request: %+v", send)
	case request.outstanding > 0:
		w.t.Fatalf("two attempts in flight: %+v", send)
	case request.attempts >= w.settings.MaxAttempts:
		w.t.Fatalf("more than %d attempts: %+v", w.settings.MaxAttempts, send)
	case send.Age <= 0 || send.Source == "" || send.Timeout < 0:
		w.t.Fatalf("malformed Send: %+v", send)
	case request.idempotency == NonIdempotent && request.mayHaveRun:
		w.t.Fatalf("%s is retried although it may have run", send.ID)
	}
	for _, id := range []string{send.Cache, send.Source} {
		if at, ok := w.unavailableSince[id]; ok && w.now > at+w.settings.DrainGrace {
			w.t.Fatalf("%s is used %v ms after it was reported as unavailable", id, w.now-at)
		}
	}
	if at, ok := w.purgedAt[request.Object]; ok && w.now < at+w.settings.PurgeTime && send.Age > max(w.now-at, minCopyAge) {
		w.t.Fatalf("maximum age %v ms accepts a copy from before the purge %v ms ago", send.Age, w.now-at)
	}
	member := w.router.members[send.Cache]
	if member == nil || member.role == otherZone || member.role != edge && !w.settings.DirectAttempts {
		w.t.Fatalf("attempt at %s, which takes none", send.Cache)
	}
	request.sends[request.attempts] = send
	request.attempts, request.outstanding = request.attempts+1, request.outstanding+1
	request.mayHaveRun = true
}

// run converts each byte of the input to an event, then checks that every request is answered.
func (w *invariantChecker) run(in []byte) {
	classes := []string{"video", "page", "save", "once", "keyed"}
	for i, code := range in {
		switch arg := int(code / 12); code % 12 {
		case 0, 1, 2:
			class := w.router.classes[classes[arg%5]]
			request := &checkedRequest{Request: Request{ID: fmt.Sprint("q", i), Class: class.Name, Object: fmt.Sprint("o", arg%4),
				Part: arg - 2, KB: float64(arg * 50), Group: arg % 2, Deadline: w.now + class.Deadline/2},
				sends: map[int]Send{}, idempotency: class.Idempotency}
			w.requests[request.ID] = request
			w.ids = append(w.ids, request.ID)
			w.handle(request.Request)
		case 3, 4, 5, 6:
			w.finishAttempt(arg, Result(int(code)%9))
		case 7:
			if len(w.ids) > 0 {
				request := w.requests[w.ids[arg%len(w.ids)]]
				request.ended = true
				w.handle(Gone{ID: request.ID})
			}
		case 8:
			w.changeEndpoint(arg)
		case 9:
			object := fmt.Sprint("o", arg%4)
			w.purgedAt[object] = max(w.purgedAt[object], w.now-float64(arg))
			w.handle(Purge{Object: object, Age: float64(arg)})
		case 10: // events about unknown requests, timers and members
			w.handle(Outcome{ID: fmt.Sprint("q", arg), Attempt: arg + 50, Result: Errored})
			w.handle(Timer{Token: 1 << 60})
			w.handle(Members{Lost: true})
			w.handle(Probed{Cache: "nowhere"})
			w.handle(Started{ID: "never"})
			w.handle(Message{From: arg})
		case 11:
			w.advanceTime(float64(arg * 20))
		}
	}
	w.advanceTime(20000)
	for _, id := range w.ids {
		if !w.requests[id].ended {
			w.t.Fatalf("%s got no final answer", id)
		}
	}
}

// changeEndpoint changes the state of one endpoint, for some arguments several times in one update.
func (w *invariantChecker) changeEndpoint(arg int) {
	row := baseRows()[arg%7]
	row.State = State(arg % 3)
	if row.State == Serving {
		row.ReadyAt = w.now
		delete(w.unavailableSince, row.ID)
	} else if _, ok := w.unavailableSince[row.ID]; !ok {
		w.unavailableSince[row.ID] = w.now
	}
	rows := []Member{row}
	if arg > 13 { // the endpoint drains, is removed and is restarted in one update
		rows = rows[:0]
		for _, state := range []State{Draining, Removed, Serving} {
			row.State, row.ReadyAt = state, w.now
			rows = append(rows, row)
		}
		delete(w.unavailableSince, row.ID)
	}
	w.handle(Members{Rows: rows})
}

// finishAttempt ends the first outstanding attempt of a request that arg selects.
func (w *invariantChecker) finishAttempt(arg int, result Result) {
	for offset := range w.ids {
		request := w.requests[w.ids[(arg+offset)%len(w.ids)]]
		for number := range request.attempts {
			send, ok := request.sends[number]
			if !ok {
				continue
			}
			delete(request.sends, number)
			request.outstanding--
			request.mayHaveRun = !result.NotExecuted()
			last := request.ended || result == OK
			request.ended = last
			w.handle(Outcome{ID: request.ID, Attempt: number, Cache: send.Cache, Result: result, Took: 5, Last: last, Note: Note(arg % 11)})
			return
		}
	}
}

// advanceTime advances the time and delivers the timers that come due.
func (w *invariantChecker) advanceTime(span Millis) {
	for end := w.now + span; ; {
		next := -1
		for i, timer := range w.wakes {
			if timer.at <= end && (next < 0 || timer.at < w.wakes[next].at) {
				next = i
			}
		}
		if next < 0 {
			w.now = end
			return
		}
		timer := w.wakes[next]
		w.wakes = append(w.wakes[:next], w.wakes[next+1:]...)
		w.now = max(w.now, timer.at)
		w.handle(Timer{Token: timer.token})
	}
}
