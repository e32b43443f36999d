package indigospool

import (
	"fmt"
	"testing"
)

// TestDraining checks that a draining, a removed and a no longer listed member get no attempts, neither as
// target nor as source.
func TestDraining(t *testing.T) {
	for _, state := range []State{Draining, Removed} {
		rig := newRig(t, testSettings())
		for _, leaving := range []Member{{ID: "e2", Zone: "z1", Kind: "box"}, {ID: "p1", Zone: "hub", Kind: "parent"}} {
			leaving.State = state
			rig.handle(Members{Rows: []Member{leaving}})
		}
		for i := range 40 {
			id, send, attempt := rig.requestFill("page", fmt.Sprint("o", i), 0)
			if send.Cache == "e2" || send.Source == "p1" {
				t.Fatalf("fill of %s from %s, want neither e2 nor p1, in state %d", send.Cache, send.Source, state)
			}
			rig.handle(Outcome{ID: id, Attempt: attempt, Cache: send.Cache, Result: OK, Last: true, Note: NoteFilled})
		}
	}
	rig := newRig(t, testSettings())
	rig.handle(Members{Full: true, Rows: []Member{row("e1", "z1", "box"), row("o1", "hub", "origin")}})
	if _, send, _ := rig.requestFill("page", "x", 0); send.Cache != "e1" || send.Source != "o1" {
		t.Errorf("fill of %s from %s, want e1 from o1, the only members of the last snapshot", send.Cache, send.Source)
	}
}

// TestSubscription checks that the router subscribes once, and renews the subscription once after a failed
// call to discovery, but not immediately.
func TestSubscription(t *testing.T) {
	settings := testSettings()
	settings.WatchRequired, settings.PollInterval = true, 10000
	watches := func(actions []Action) (n int) {
		for _, a := range actions {
			if _, ok := a.(Watch); ok {
				n++
			}
		}
		return n
	}
	router, _ := New(settings, 1)
	if watches(router.Handle(0, Members{Full: true, Rows: baseRows()}, nil)) != 1 {
		t.Error("after the first list: want exactly one Watch")
	}
	if watches(router.Handle(1, Members{Lost: true}, nil)) != 0 || len(router.byRole[edge]) != 3 {
		t.Errorf("after a failed call to discovery: %d caches, want 3; or there was a Watch immediately", len(router.byRole[edge]))
	}
	if watches(router.Handle(1500, Timer{}, nil)) != 1 || watches(router.Handle(3000, Timer{}, nil)) != 0 {
		t.Error("after a lost subscription: want exactly one Watch with the next cleanup, and none with the one after it")
	}
}

// TestUnusualEndpointLists checks that every request gets a final answer with long, empty and
// incomplete endpoint lists, with a single router, and with an unknown number of routers.
func TestUnusualEndpointLists(t *testing.T) {
	var many []Member
	for i := range 400 {
		many = append(many, row(fmt.Sprint("e", i), fmt.Sprint("z", i%40), "box"), row(fmt.Sprint("p", i), "hub", "parent"))
	}
	for name, rows := range map[string][]Member{
		"long":         append(many, row("o1", "hub", "origin")),
		"empty":        {},
		"no cache":     {row("p1", "hub", "parent"), row("o1", "hub", "origin")},
		"no parent":    {row("e1", "z1", "box"), row("o1", "hub", "origin")},
		"all draining": {{ID: "e1", Zone: "z1", Kind: "box", State: Draining}},
	} {
		for _, routersByZone := range [][]int{{0, 1}, {0, 0}, nil} {
			settings := testSettings()
			settings.RoutersByZone = routersByZone
			rig := newRig(t, settings, rows...)
			open := map[string]bool{}
			removeAnswered := func(actions []Action) {
				for _, a := range actions {
					switch a := a.(type) {
					case Refuse:
						delete(open, a.ID)
					case Fail:
						delete(open, a.ID)
					}
				}
			}
			var actions []Action
			for i := range 40 {
				id, more := rig.request("video", fmt.Sprint("o", i), i%9)
				open[id] = true
				actions = append(actions, more...)
			}
			removeAnswered(actions)
			for range 2 { // outcomes with every result, then the same ones again as late duplicates
				for i, a := range sends(actions) {
					outcome := Outcome{ID: a.ID, Cache: a.Cache, Result: Result(i % 9), Took: 1, Last: i%9 == 0}
					if outcome.Last {
						delete(open, a.ID)
					}
					removeAnswered(rig.handle(outcome))
				}
			}
			for _, a := range rig.router.deadlineTimers { // until after the last deadline
				rig.now = max(rig.now, a.Deadline)
			}
			for token := int64(1); token <= rig.router.lastTimerToken; token++ {
				removeAnswered(rig.handle(Timer{Token: token}))
			}
			if len(open) > 0 {
				t.Errorf("%s, routers by zone %v: %d requests without an answer", name, routersByZone, len(open))
			}
		}
	}
}
