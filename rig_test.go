package indigospool

import (
	"fmt"
	"testing"
)

// testRig is a router with a settable clock.
type testRig struct {
	t        *testing.T
	router   *Router
	now      Millis
	requests int
}

// testSettings returns settings of a zone of two routers, with classes of all kinds of idempotency.
func testSettings() Settings {
	return Settings{
		RouterIndex: 0, Routers: 2, Zone: "z1", Zones: []string{"hub", "z1"}, RoutersByZone: []int{0, 2},
		ParentKind: "parent", OriginKind: "origin", TimerResolution: 2, AnswerSlack: 8, DrainGrace: 500,
		WarmUpInitialShare: 0.2, WarmUpTime: 18000, OverloadFactor: 3, OverloadTime: 1000,
		ParentWarmUpInitialShare: 0.1, ParentWarmUpTime: 20000, ParentOverloadFactor: 2,
		PurgeTime: 6000, PurgeSlack: 300, DirectAttempts: true, Detail: DetailAll, FlowKBPerMs: 5,
		MaxAttempts: 6, MaxRetryAfter: 1000, CanCancel: true,
		Classes: []Class{
			{Name: "video", LatencyObjective: 400, ObjectivePerSendTime: 2, Deadline: 6000, PriorityWeight: 2, InParts: true},
			{Name: "page", LatencyObjective: 250, ObjectivePerSendTime: 2, Deadline: 3000, PriorityWeight: 1, Fresh: 8000, Grace: 8000},
			{Name: "save", LatencyObjective: 700, Deadline: 3000, PriorityWeight: 3, Idempotency: IdempotentByKey, KeyScope: ScopeAll, KeyWindow: 2000,
				Write: true},
			{Name: "once", LatencyObjective: 700, Deadline: 3000, PriorityWeight: 3, Idempotency: NonIdempotent},
			{Name: "keyed", LatencyObjective: 700, Deadline: 3000, PriorityWeight: 3, Idempotency: IdempotentByKey, KeyScope: ScopeCell, KeyWindow: 2000},
		},
	}
}

func row(id, zone, kind string) Member { return Member{ID: id, Zone: zone, Kind: kind} }

// baseRows returns the default endpoint list: three caches in the router's zone and one in another, two
// parents and the origin.
func baseRows() []Member {
	return []Member{row("e1", "z1", "box"), row("e2", "z1", "box"), row("e3", "z1", "box"), row("f1", "z2", "box"),
		row("p1", "hub", "parent"), row("p2", "hub", "parent"), row("o1", "hub", "origin")}
}

// newRig returns a rig whose router has the endpoint list rows, by default baseRows.
func newRig(t *testing.T, settings Settings, rows ...Member) *testRig {
	t.Helper()
	router, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	rig := &testRig{t: t, router: router, now: 5000}
	if rows == nil {
		rows = baseRows()
	}
	rig.handle(Members{Full: true, Rows: rows})
	return rig
}

func (g *testRig) handle(ev Event) []Action { return g.router.Handle(g.now, ev, nil) }

// wait advances the time and delivers the ticks that are due.
func (g *testRig) wait(span Millis) (actions []Action) {
	for end := g.now + span; g.now < end; {
		g.now = min(g.now+tickInterval, end)
		actions = append(actions, g.handle(Timer{})...)
	}
	return actions
}

// request makes a request and returns its id and the router's actions.
func (g *testRig) request(class, object string, part int) (string, []Action) {
	g.requests++
	id := fmt.Sprint("q", g.requests)
	timeout := 3000.0
	if c := g.router.classes[class]; c != nil {
		timeout = c.Deadline
	}
	return id, g.handle(Request{ID: id, Class: class, Object: object, Part: part, KB: 500, Deadline: g.now + timeout})
}

// sends returns the Send actions.
func sends(actions []Action) (out []Send) {
	for _, a := range actions {
		if send, ok := a.(Send); ok {
			out = append(out, send)
		}
	}
	return out
}

// finalAnswers returns the number of final answers, and whether any of them is a failure.
func finalAnswers(actions []Action) (n int, fail bool) {
	for _, a := range actions {
		switch a.(type) {
		case Refuse:
			n++
		case Fail:
			n, fail = n+1, true
		}
	}
	return n, fail
}

// onlySend returns the only Send action, and ends the test if there is not exactly one.
func (g *testRig) onlySend(actions []Action) Send {
	g.t.Helper()
	s := sends(actions)
	if len(s) != 1 {
		g.t.Fatalf("%d attempts, want 1: %v", len(s), actions)
	}
	return s[0]
}

// requestFill makes a request whose lookups all miss, and returns its id, its first attempt with a
// source that is not a cache, and the number of that attempt.
func (g *testRig) requestFill(class, object string, part int) (string, Send, int) {
	g.t.Helper()
	id, actions := g.request(class, object, part)
	for attempt := range 6 {
		send := g.onlySend(actions)
		if send.Source != send.Cache && g.router.members[send.Source].role != edge {
			return id, send, attempt
		}
		actions = g.handle(Outcome{ID: id, Attempt: attempt, Cache: send.Cache, Result: Miss, Took: 1})
	}
	g.t.Fatal("no fill after six lookups")
	return "", Send{}, 0
}
