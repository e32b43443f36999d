package indigospool

import "testing"

// TestOneFinalAnswer covers the paths on which an answer could be lost or
// given twice.
func TestOneFinalAnswer(t *testing.T) {
	for _, c := range []struct {
		name string
		rows []Member
		run  func(g *rig, id string, acts []Action) []Action
		want int
	}{
		{"no members", []Member{}, func(g *rig, _ string, acts []Action) []Action {
			return append(append(acts, g.wait(2996)...), g.do(Timer{Token: 1})...)
		}, 1},
		{"silence", nil, func(g *rig, id string, acts []Action) []Action {
			acts = append(acts, g.wait(2996)...)
			acts = append(acts, g.do(Timer{Token: 1})...)
			acts = append(acts, g.do(Outcome{ID: id, Result: TimedOut, Took: 3000})...)
			return append(acts, g.do(Timer{Token: 1})...)
		}, 1},
		{"attempts used up", nil, func(g *rig, id string, acts []Action) []Action {
			for i := range 20 {
				acts = append(acts, g.do(Outcome{ID: id, Attempt: i, Result: Errored, Took: 1})...)
			}
			return acts
		}, 1},
		{"client gone, outcome in the same batch", nil, func(g *rig, id string, acts []Action) []Action {
			acts = append(acts, g.do(Gone{ID: id})...)
			return append(acts, g.do(Outcome{ID: id, Result: Errored, Last: true})...)
		}, 0},
		{"served", nil, func(g *rig, id string, acts []Action) []Action {
			acts = append(acts, g.do(Outcome{ID: id, Result: OK, Last: true})...)
			acts = append(acts, g.do(Gone{ID: id})...)
			return append(acts, g.do(Timer{Token: 1})...)
		}, 0},
	} {
		g := newRig(t, testSettings(), c.rows...)
		if c.rows != nil {
			g = &rig{t: t, r: g.r, now: g.now}
			g.do(Members{Full: true})
		}
		id, acts := g.ask("page", "x", 0)
		acts = c.run(g, id, acts)
		if n, _ := finals(acts); n != c.want {
			t.Errorf("%s: %d final answers, want %d: %v", c.name, n, c.want, acts)
		}
		ended := false
		for _, a := range acts {
			if _, ok := a.(Send); ok && ended {
				t.Errorf("%s: a send after the end", c.name)
			}
			if _, ok := a.(Refuse); ok {
				ended = true
			}
		}
		if len(g.r.requests) != 0 && c.want == 0 {
			t.Errorf("%s: the request is still held", c.name)
		}
	}
	g := newRig(t, testSettings())
	if n, _ := finals(g.do(Request{ID: "u", Class: "unheard", Deadline: 9000})); n != 1 {
		t.Error("an unknown class gets no answer")
	}
}

// TestRefusalPromises: a refusal tells a client that a repeat is harmless. A keyed write of which
// an attempt may have run is harmless to repeat only within the window that the caches remember
// its key for, and no client is held to that: such a request fails. Seen as an effect that
// happened twice, the client having come back as told, past the window.
func TestRefusalPromises(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  string
		result Result
		after  Millis // each attempt's outcome comes so long after it
		refuse bool   // at the deadline, or when no attempt is left
	}{
		{"keyed, answers lost", "save", TimedOut, 901, false},
		{"keyed, connections reset at once", "save", Reset, 1, false},
		{"keyed, errors", "save", Errored, 1, false},
		{"keyed, turned away each time", "save", Full, 1, true},
		{"keyed, never reached", "save", ConnectFailed, 1, true},
		{"keyed in a cell, answers lost", "keyed", TimedOut, 901, false},
		{"not idempotent, answer lost", "once", TimedOut, 901, false},
		{"not idempotent, never reached", "once", ConnectFailed, 1, true},
		{"free, answers lost", "page", TimedOut, 901, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(t, testSettings())
			id, acts := g.ask(c.class, "x", 0)
			all := acts
			deadline := g.now + 3000
			for attempt := 0; g.now < deadline-5; {
				if len(sends(acts)) == 0 {
					acts = g.wait(tickSpan)
					all = append(all, acts...)
					continue
				}
				send := g.one(acts)
				g.now = min(g.now+c.after, deadline-4)
				acts = g.do(Outcome{ID: id, Cache: send.Cache, Attempt: attempt, Result: c.result, Took: c.after})
				all = append(all, acts...)
				attempt++
			}
			g.now = deadline - 4
			all = append(all, g.do(Timer{Token: 1})...)
			count, fail := finals(all)
			if count != 1 || fail == c.refuse {
				t.Errorf("%d final answers, failed %v; want one, failed %v: %v", count, fail, !c.refuse, all)
			}
		})
	}
}
