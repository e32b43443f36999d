package indigospool

import (
	"fmt"
	"testing"
)

// TestSlowStartBudget holds a just started member to its share of what it can bear.
func TestSlowStartBudget(t *testing.T) {
	for _, id := range []string{"e2", "p2"} {
		rig := newRig(t, testSettings())
		sendTimeAt := func(n int) (work float64) {
			for i := range n {
				q, send, n := rig.requestFill("page", fmt.Sprint("o", rig.requests, i), 0)
				if send.Cache == id || send.Source == id {
					work += 100
				}
				rig.handle(Outcome{ID: q, Attempt: n, Cache: send.Cache, Result: OK, Took: 100, Last: true, Note: NoteFilled})
				rig.wait(20)
			}
			return work
		}
		warm := sendTimeAt(500) / 10000
		m := rig.router.members[id].Member
		m.ReadyAt = rig.now
		rig.handle(Members{Rows: []Member{m}})
		if cold := sendTimeAt(100) / 2000; cold > warm*0.5 || cold == 0 {
			t.Errorf("%s: %v a ms cold, %v warm", id, cold, warm)
		}
	}
}

// TestQueuedRequestsDoNotFloodColdCache guards against bursts at a cold cache:
// requests that waited for the link must not all hold a place at it. It should
// cover any wait that ends for many at once.
func TestQueuedRequestsDoNotFloodColdCache(t *testing.T) {
	rig := newRig(t, testSettings())
	for i := range 300 {
		id, send, n := rig.requestFill("page", fmt.Sprint("w", i), 0)
		rig.handle(Outcome{ID: id, Attempt: n, Cache: send.Cache, Result: OK, Took: 100, Last: true, Note: NoteFilled})
		rig.wait(20)
	}
	m := rig.router.members["e2"].Member
	m.ReadyAt = rig.now
	rig.handle(Members{Rows: []Member{m}})
	rig.wait(500)
	rig.router.link.limit = 0
	for i := range 60 {
		id, actions := rig.request("video", fmt.Sprint("c", i), i%9)
		for _, send := range sends(actions) {
			rig.handle(Outcome{ID: id, Cache: send.Cache, Result: Miss, Took: 1})
		}
	}
	rig.router.link.limit = 1000
	cold := 0
	for _, send := range sends(rig.wait(100)) {
		if send.Cache == "e2" {
			cold++
		}
	}
	if cold > 2 {
		t.Errorf("%d attempts at a cold cache at once", cold)
	}
}

// TestTypicalRateCountsServedRequests: the load that a warm cache is seen to bear is
// what it served, not what was thrown at it in an overload.
func TestTypicalRateCountsServedRequests(t *testing.T) {
	rig := newRig(t, testSettings())
	for i := range 300 {
		id, actions := rig.request("page", fmt.Sprint("w", i), 0)
		for n := 0; n < 6 && len(sends(actions)) > 0; n++ {
			actions = rig.handle(Outcome{ID: id, Attempt: n, Result: Rejected, Note: NoteSourceMiss, Took: 1})
		}
		rig.wait(20)
	}
	if rig.router.typicalRate[edge] > 0 {
		t.Errorf("caches that served nothing are thought to bear %v", rig.router.typicalRate[edge])
	}
}

// TestQueuedRequestsNeedSlowStartBudget: a request that arrives may go beyond a cold member's budget;
// one that was queued may not. Many routers let go at once what had gathered: seen as a parent
// that was asked for 4.6 times what it could give.
func TestQueuedRequestsNeedSlowStartBudget(t *testing.T) {
	rig := newRig(t, testSettings())
	member := rig.router.members["e2"]
	rig.wait(20000)
	member.ReadyAt = rig.now - 9000
	taken := 0
	for i := range 400 {
		request := &request{Request: Request{Object: fmt.Sprint("w", i)}, class: rig.router.classes["page"], hash: hashString(fmt.Sprint("w", i)), arrived: rig.now}
		request.jitterSeed = rig.router.newJitterSeed(request)
		member.tokens, member.refilled = -1, rig.now
		if rig.router.unavailableReason(member, request) != ReasonAccepted {
			continue
		}
		taken++
		if request.wasQueued = true; rig.router.unavailableReason(member, request) != ReasonSlowStartExhausted {
			t.Fatalf("%s was queued, and goes beyond the budget", request.Object)
		}
	}
	if taken < 10 || taken > 80 { // a third are its own, and a half of 0.6 of these
		t.Errorf("%d of 400 go beyond the budget", taken)
	}
}
