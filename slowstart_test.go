package indigospool

import (
	"fmt"
	"testing"
)

// TestColdBudget holds a just started member to its share of what it can bear.
func TestColdBudget(t *testing.T) {
	for _, id := range []string{"e2", "p2"} {
		g := newRig(t, testSettings())
		ask := func(n int) (work float64) {
			for i := range n {
				q, s, n := g.fill("page", fmt.Sprint("o", g.n, i), 0)
				if s.Cache == id || s.Source == id {
					work += 100
				}
				g.do(Outcome{ID: q, Attempt: n, Cache: s.Cache, Result: OK, Took: 100, Last: true, Note: NoteFilled})
				g.wait(20)
			}
			return work
		}
		warm := ask(500) / 10000
		m := g.r.members[id].Member
		m.ReadyAt = g.now
		g.do(Members{Rows: []Member{m}})
		if cold := ask(100) / 2000; cold > warm*0.5 || cold == 0 {
			t.Errorf("%s: %v a ms cold, %v warm", id, cold, warm)
		}
	}
}

// TestColdCacheIsNotFloodedByWaiters guards against bursts at a cold cache:
// requests that waited for the link must not all hold a place at it. It should
// cover any wait that ends for many at once.
func TestColdCacheIsNotFloodedByWaiters(t *testing.T) {
	g := newRig(t, testSettings())
	for i := range 300 {
		id, s, n := g.fill("page", fmt.Sprint("w", i), 0)
		g.do(Outcome{ID: id, Attempt: n, Cache: s.Cache, Result: OK, Took: 100, Last: true, Note: NoteFilled})
		g.wait(20)
	}
	m := g.r.members["e2"].Member
	m.ReadyAt = g.now
	g.do(Members{Rows: []Member{m}})
	g.wait(500)
	g.r.link.limit = 0
	for i := range 60 {
		id, acts := g.ask("video", fmt.Sprint("c", i), i%9)
		for _, s := range sends(acts) {
			g.do(Outcome{ID: id, Cache: s.Cache, Result: Miss, Took: 1})
		}
	}
	g.r.link.limit = 1000
	cold := 0
	for _, s := range sends(g.wait(100)) {
		if s.Cache == "e2" {
			cold++
		}
	}
	if cold > 2 {
		t.Errorf("%d attempts at a cold cache at once", cold)
	}
}

// TestTypicalIsWhatWasServed: the load that a warm cache is seen to bear is
// what it served, not what was thrown at it in an overload.
func TestTypicalIsWhatWasServed(t *testing.T) {
	g := newRig(t, testSettings())
	for i := range 300 {
		id, acts := g.ask("page", fmt.Sprint("w", i), 0)
		for n := 0; n < 6 && len(sends(acts)) > 0; n++ {
			acts = g.do(Outcome{ID: id, Attempt: n, Result: Full, Note: NoteSourceLacks, Took: 1})
		}
		g.wait(20)
	}
	if g.r.typicalRate[edge] > 0 {
		t.Errorf("caches that served nothing are thought to bear %v", g.r.typicalRate[edge])
	}
}

// TestWhatWaitsNeedsBudget: a request that comes may go beyond a cold member's budget; one
// that has waited may not. Many routers let go at once what had gathered: seen as a parent
// that was asked for 4.6 times what it could give.
func TestWhatWaitsNeedsBudget(t *testing.T) {
	g := newRig(t, testSettings())
	member := g.r.members["e2"]
	g.wait(20000)
	member.ReadyAt = g.now - 9000
	taken := 0
	for i := range 400 {
		request := &request{Request: Request{Object: fmt.Sprint("w", i)}, class: g.r.classes["page"], hash: hashString(fmt.Sprint("w", i)), arrived: g.now}
		request.chanceSeed = g.r.chanceSeedOf(request)
		member.tokens, member.refilled = -1, g.now
		if g.r.unavailableReason(member, request) != Taken {
			continue
		}
		taken++
		if request.wasQueued = true; g.r.unavailableReason(member, request) != ColdSpent {
			t.Fatalf("%s has waited, and goes beyond the budget", request.Object)
		}
	}
	if taken < 10 || taken > 80 { // a third are its own, and a half of 0.6 of these
		t.Errorf("%d of 400 go beyond the budget", taken)
	}
}
