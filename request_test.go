package indigospool

import "testing"

// TestOneFinalAnswer covers the paths on which a final answer could be lost or repeated.
func TestOneFinalAnswer(t *testing.T) {
	for _, test := range []struct {
		name string
		rows []Member
		run  func(rig *testRig, id string, actions []Action) []Action
		want int
	}{
		{"no members", []Member{}, func(rig *testRig, _ string, actions []Action) []Action {
			return append(append(actions, rig.wait(2996)...), rig.handle(Timer{Token: 1})...)
		}, 1},
		{"no answer", nil, func(rig *testRig, id string, actions []Action) []Action {
			actions = append(actions, rig.wait(2996)...)
			actions = append(actions, rig.handle(Timer{Token: 1})...)
			actions = append(actions, rig.handle(Outcome{ID: id, Result: TimedOut, Took: 3000})...)
			return append(actions, rig.handle(Timer{Token: 1})...)
		}, 1},
		{"attempts used up", nil, func(rig *testRig, id string, actions []Action) []Action {
			for i := range 20 {
				actions = append(actions, rig.handle(Outcome{ID: id, Attempt: i, Result: Errored, Took: 1})...)
			}
			return actions
		}, 1},
		{"client gone, outcome in the same batch", nil, func(rig *testRig, id string, actions []Action) []Action {
			actions = append(actions, rig.handle(Gone{ID: id})...)
			return append(actions, rig.handle(Outcome{ID: id, Result: Errored, Last: true})...)
		}, 0},
		{"served", nil, func(rig *testRig, id string, actions []Action) []Action {
			actions = append(actions, rig.handle(Outcome{ID: id, Result: OK, Last: true})...)
			actions = append(actions, rig.handle(Gone{ID: id})...)
			return append(actions, rig.handle(Timer{Token: 1})...)
		}, 0},
	} {
		rig := newRig(t, testSettings(), test.rows...)
		if test.rows != nil {
			rig = &testRig{t: t, router: rig.router, now: rig.now}
			rig.handle(Members{Full: true})
		}
		id, actions := rig.request("page", "x", 0)
		actions = test.run(rig, id, actions)
		if n, _ := finalAnswers(actions); n != test.want {
			t.Errorf("%s: %d final answers, want %d: %v", test.name, n, test.want, actions)
		}
		ended := false
		for _, a := range actions {
			if _, ok := a.(Send); ok && ended {
				t.Errorf("%s: attempt after the end of the request", test.name)
			}
			if _, ok := a.(Refuse); ok {
				ended = true
			}
		}
		if len(rig.router.requests) != 0 && test.want == 0 {
			t.Errorf("%s: the router holds %d requests, want 0", test.name, len(rig.router.requests))
		}
	}
	rig := newRig(t, testSettings())
	if n, _ := finalAnswers(rig.handle(Request{ID: "u", Class: "unheard", Deadline: 9000})); n != 1 {
		t.Errorf("request of an unknown class: %d final answers, want 1", n)
	}
}

// TestRejectionOnlyIfRetryIsSafe checks that a request is rejected only if the client can retry it
// safely. A write with an idempotency key that may have run must fail instead: caches remember the key
// for a limited time, and a client that was rejected and retried after that executed a write twice.
func TestRejectionOnlyIfRetryIsSafe(t *testing.T) {
	for _, test := range []struct {
		name   string
		class  string
		result Result
		after  Millis // time from each attempt to its outcome
		refuse bool   // whether the final answer is a rejection
	}{
		{"keyed, answers lost", "save", TimedOut, 901, false},
		{"keyed, connections reset at once", "save", Reset, 1, false},
		{"keyed, errors", "save", Errored, 1, false},
		{"keyed, rejected each time", "save", Rejected, 1, true},
		{"keyed, never reached", "save", ConnectFailed, 1, true},
		{"keyed in a cell, answers lost", "keyed", TimedOut, 901, false},
		{"not idempotent, answer lost", "once", TimedOut, 901, false},
		{"not idempotent, never reached", "once", ConnectFailed, 1, true},
		{"idempotent, answers lost", "page", TimedOut, 901, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			rig := newRig(t, testSettings())
			id, actions := rig.request(test.class, "x", 0)
			all := actions
			deadline := rig.now + 3000
			for attempt := 0; rig.now < deadline-5; {
				if len(sends(actions)) == 0 {
					actions = rig.wait(tickInterval)
					all = append(all, actions...)
					continue
				}
				send := rig.onlySend(actions)
				rig.now = min(rig.now+test.after, deadline-4)
				actions = rig.handle(Outcome{ID: id, Cache: send.Cache, Attempt: attempt, Result: test.result, Took: test.after})
				all = append(all, actions...)
				attempt++
			}
			rig.now = deadline - 4
			all = append(all, rig.handle(Timer{Token: 1})...)
			count, fail := finalAnswers(all)
			if count != 1 || fail == test.refuse {
				t.Errorf("%d final answers, failed: %v; want one, failed: %v; actions %v", count, fail, !test.refuse, all)
			}
		})
	}
}
