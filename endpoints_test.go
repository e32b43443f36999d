package indigospool

import (
	"fmt"
	"testing"
)

func TestDrains(t *testing.T) {
	for _, state := range []State{Draining, Removed} {
		g := newRig(t, testSettings())
		for _, r := range []Member{{ID: "e2", Zone: "z1", Kind: "box"}, {ID: "p1", Zone: "hub", Kind: "parent"}} {
			r.State = state
			g.do(Members{Rows: []Member{r}})
		}
		for i := range 40 {
			id, s, n := g.fill("page", fmt.Sprint("o", i), 0)
			if s.Cache == "e2" || s.Source == "p1" {
				t.Fatalf("sent to %s from %s", s.Cache, s.Source)
			}
			g.do(Outcome{ID: id, Attempt: n, Cache: s.Cache, Result: OK, Last: true, Note: NoteFilled})
		}
	}
	g := newRig(t, testSettings())
	g.do(Members{Full: true, Rows: []Member{row("e1", "z1", "box"), row("o1", "hub", "origin")}})
	if _, s, _ := g.fill("page", "x", 0); s.Cache != "e1" || s.Source != "o1" {
		t.Error("a member missing from a full list is still used")
	}
}

func TestOnRequestDiscovery(t *testing.T) {
	s := testSettings()
	s.OnRequest, s.AskWithin = true, 10000
	watches := func(acts []Action) (n int) {
		for _, a := range acts {
			if _, ok := a.(Watch); ok {
				n++
			}
		}
		return n
	}
	r, _ := New(s, 1)
	if watches(r.Handle(0, Members{Full: true, Rows: baseRows()}, nil)) != 1 {
		t.Error("the first list is not followed by a subscription")
	}
	if watches(r.Handle(1, Members{Lost: true}, nil)) != 0 || len(r.byRole[edge]) != 3 {
		t.Error("a failed call is repeated at once, or the list was lost with it")
	}
	if watches(r.Handle(1500, Timer{}, nil)) != 1 || watches(r.Handle(3000, Timer{}, nil)) != 0 {
		t.Error("a lost subscription is not asked for again, once")
	}
}

// TestListsOfAllKinds: long lists, none, one hub, a router alone and routers
// that were not counted all leave a router that answers every request.
func TestListsOfAllKinds(t *testing.T) {
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
		for _, seats := range [][]int{{0, 1}, {0, 0}, nil} {
			s := testSettings()
			s.RoutersByZone = seats
			g := newRig(t, s, rows...)
			open := map[string]bool{}
			book := func(acts []Action) {
				for _, a := range acts {
					switch a := a.(type) {
					case Refuse:
						delete(open, a.ID)
					case Fail:
						delete(open, a.ID)
					}
				}
			}
			var acts []Action
			for i := range 40 {
				id, more := g.ask("video", fmt.Sprint("o", i), i%9)
				open[id] = true
				acts = append(acts, more...)
			}
			book(acts)
			for range 2 { // answers of every kind, then again, as lost ones that come late
				for i, a := range sends(acts) {
					out := Outcome{ID: a.ID, Cache: a.Cache, Result: Result(i % 9), Took: 1, Last: i%9 == 0}
					if out.Last {
						delete(open, a.ID)
					}
					book(g.do(out))
				}
			}
			for _, a := range g.r.deadlineTimers { // every deadline comes
				g.now = max(g.now, a.Deadline)
			}
			for token := int64(1); token <= g.r.lastTimerToken; token++ {
				book(g.do(Timer{Token: token}))
			}
			if len(open) > 0 {
				t.Errorf("%s, seats %v: %d requests without an answer", name, seats, len(open))
			}
		}
	}
}
