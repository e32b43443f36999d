package indigospool

import (
	"fmt"
	"testing"
)

// TestSlowStartBudget checks that a member that has just started receives less than half of the load
// of a warm one, but not nothing.
func TestSlowStartBudget(t *testing.T) {
	for _, id := range []string{"e2", "p2"} {
		rig := newRig(t, testSettings())
		sendTimeAt := func(requests int) (work float64) {
			for i := range requests {
				requestID, send, attempt := rig.requestFill("page", fmt.Sprint("o", rig.requests, i), 0)
				if send.Cache == id || send.Source == id {
					work += 100
				}
				rig.handle(Outcome{ID: requestID, Attempt: attempt, Cache: send.Cache, Result: OK, Took: 100, Last: true, Note: NoteFilled})
				rig.wait(20)
			}
			return work
		}
		warm := sendTimeAt(500) / 10000
		restarted := rig.router.members[id].Member
		restarted.ReadyAt = rig.now
		rig.handle(Members{Rows: []Member{restarted}})
		if cold := sendTimeAt(100) / 2000; cold > warm*0.5 || cold == 0 {
			t.Errorf("%s: load %v while cold, %v while warm; want above 0 and at most half of the warm load", id, cold, warm)
		}
	}
}

// TestQueuedRequestsDoNotFloodColdCache checks that requests that are queued for the link are not all
// sent to a cold cache when the link becomes available.
func TestQueuedRequestsDoNotFloodColdCache(t *testing.T) {
	rig := newRig(t, testSettings())
	for i := range 300 {
		id, send, attempt := rig.requestFill("page", fmt.Sprint("w", i), 0)
		rig.handle(Outcome{ID: id, Attempt: attempt, Cache: send.Cache, Result: OK, Took: 100, Last: true, Note: NoteFilled})
		rig.wait(20)
	}
	restarted := rig.router.members["e2"].Member
	restarted.ReadyAt = rig.now
	rig.handle(Members{Rows: []Member{restarted}})
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
		t.Errorf("%d attempts at a cold cache within 100 ms, want at most 2", cold)
	}
}

// TestTypicalRateCountsServedRequests checks that the measured load of warm caches counts only
// requests that they served, not those that they rejected in an overload.
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
		t.Errorf("typical rate is %v, want 0: the caches have served nothing", rig.router.typicalRate[edge])
	}
}

// TestQueuedRequestsNeedSlowStartBudget checks that a new request may overdraw the token bucket of a
// cold member and that a request that was queued may not. When many routers released their queued
// requests at the same time, a parent received 4.6 times the load that it could serve.
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
			t.Fatalf("request for %s was queued and overdraws the bucket", request.Object)
		}
	}
	if taken < 10 || taken > 80 { // it is the first choice for a third of them, of which it accepts half of 0.6
		t.Errorf("%d of 400 requests overdraw the bucket, want 10 to 80", taken)
	}
}
