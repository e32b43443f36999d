package indigospool

import "testing"

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
