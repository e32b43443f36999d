package indigospool

import (
	"fmt"
	"math/rand"
	"testing"
)

// TestFirstRequestsGoBeforeClientRetries checks that a client's retry, which has a reduced priority
// weight, is queued behind a first request. Otherwise retries could displace requests that can still
// be answered in time.
func TestFirstRequestsGoBeforeClientRetries(t *testing.T) {
	rig := newRig(t, testSettings())
	rig.router.link.limit = 0
	for _, retry := range []bool{true, false} {
		id := fmt.Sprint(retry)
		for _, send := range sends(rig.handle(Request{ID: id, Class: "video", Object: id, KB: 100, Retry: retry, Deadline: rig.now + 6000})) {
			rig.handle(Outcome{ID: id, Cache: send.Cache, Result: Miss, Took: 1})
		}
	}
	rig.router.link.limit = 1
	if s := sends(rig.wait(tickInterval)); len(s) != 1 || s[0].ID != "false" {
		t.Errorf("with a limit of one: attempts %v, want one for the first request", s)
	}
}

// TestMinLimitIsShared checks the lower bound of the link's limit. The fills of all routers of a zone
// share one link. If each of many routers kept minLimit fills in flight, they would overload a link
// that can carry ten. With many routers, each may therefore have a fill in flight only part of the
// time.
func TestMinLimitIsShared(t *testing.T) {
	for _, test := range []struct {
		routers int
		limit   float64 // limit of each router after a long shortage
	}{{1, minLimit}, {2, minLimit}, {20, minSharedLimit / 20}} {
		settings := testSettings()
		settings.RoutersByZone = []int{0, test.routers}
		rig := newRig(t, settings)
		for range 100 {
			rig.wait(200)
			rig.router.adjustLimit(&rig.router.link, transfer{slow: true, succeeded: true, took: 1000, sizeStated: true})
		}
		if limit := rig.router.link.limit; limit != test.limit {
			t.Errorf("%d routers: limit of %v fills per router, want %v", test.routers, limit, test.limit)
		}
		if test.limit < 1 && (rig.router.link.available(rig.now) || !rig.router.link.available(rig.now+20000)) {
			t.Errorf("limit of %v: a fill is allowed now: %v, 20 s later: %v; want false, true",
				test.limit, rig.router.link.available(rig.now), rig.router.link.available(rig.now+20000))
		}
	}
}

// TestOccasionalSlowTransfersDoNotLowerLimit checks that a random fifth of slow transfers does not
// lower the limit if sizes are not stated: they are large answers, not a sign of congestion. A long
// shortage still lowers the limit.
func TestOccasionalSlowTransfersDoNotLowerLimit(t *testing.T) {
	rig, rng := newRig(t, testSettings()), rand.New(rand.NewSource(5))
	lowest := initialLimit
	for range 5000 {
		rig.now += 5
		rig.router.adjustLimit(&rig.router.link, transfer{slow: rng.Float64() < 0.2, succeeded: true, took: 100})
		lowest = min(lowest, rig.router.link.limit)
	}
	if lowest < initialLimit*0.9 {
		t.Errorf("limit fell to %v with a fifth of slow transfers, want at least %v", lowest, initialLimit*0.9)
	}
	for range 400 {
		rig.now += 25
		rig.router.adjustLimit(&rig.router.link, transfer{slow: true, succeeded: true, took: 1000})
	}
	if rig.router.link.limit > minLimit+1 {
		t.Errorf("limit is %v after a long shortage, want at most %v", rig.router.link.limit, minLimit+1)
	}
}

// TestDistantSourceDoesNotLowerLimit checks that fills that wait long for a source and are then
// transferred quickly do not lower the link's limit while the wait is within the latency objective.
// Longer waits and slow transfers do. Otherwise only a few fills would be in flight where the sources
// are distant.
func TestDistantSourceDoesNotLowerLimit(t *testing.T) {
	for _, test := range []struct {
		took, waited Millis // the latency objective of a page of 500 KB is 450 ms
		lowered      bool
	}{{400, 350, false}, {400, 20, true}, {600, 500, true}} {
		rig := newRig(t, testSettings())
		for i := range 400 {
			id, actions := rig.request("page", fmt.Sprint("x", i), 0)
			if len(sends(actions)) == 0 {
				rig.wait(100)
				continue
			}
			send := sends(actions)[0]
			actions = rig.handle(Outcome{ID: id, Cache: send.Cache, Result: Miss})
			if rig.wait(test.took); len(sends(actions)) > 0 {
				rig.handle(Outcome{ID: id, Attempt: 1, Cache: send.Cache, Result: OK, Note: NoteFilled, Took: test.took, Waited: test.waited, Last: true})
			}
		}
		if lowered := rig.router.link.limit < initialLimit; lowered != test.lowered {
			t.Errorf("fills of %v ms with a wait of %v ms for the source: limit %v, lowered %v, want %v",
				test.took, test.waited, rig.router.link.limit, lowered, test.lowered)
		}
	}
}

// TestStalledTransfersUseNoCapacity checks that answers that wait for their clients don't count
// against a cache's concurrency limit and don't make the cache silent, and that they count again when
// they resume.
func TestStalledTransfersUseNoCapacity(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		settings := testSettings()
		router, err := New(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := Millis(1000)
		router.Handle(now, Members{Full: true, Rows: []Member{{ID: "b", Zone: settings.Zone, Kind: "box", Size: 1}, {ID: "o", Kind: settings.OriginKind}}}, nil)
		request := func(id string) (sent bool) {
			for _, a := range router.Handle(now, Request{ID: id, Class: settings.Classes[0].Name, Object: "o", Deadline: now + 60000}, nil) {
				if send, ok := a.(Send); ok && send.ID == id && send.Cache == "b" {
					sent = true
				}
			}
			return sent
		}
		for i := range int(initialLimit) {
			id := fmt.Sprint("slow", i)
			if !request(id) {
				t.Fatalf("request %d is not sent", i)
			}
			router.Handle(now, Started{ID: id, Cache: "b"}, nil)
			if stalled {
				router.Handle(now, Stalled{ID: id, On: true}, nil)
				router.Handle(now, Stalled{ID: id, On: true}, nil) // a repeated event has no effect
			}
		}
		for range 200 {
			now += 25
			router.Handle(now, Timer{}, nil)
		}
		if got := request("still"); got != stalled || router.members["b"].ejected == stalled {
			t.Errorf("transfers stalled: %v; another request sent: %v, want %v; cache ejected: %v, want %v",
				stalled, got, stalled, router.members["b"].ejected, !stalled)
		}
		for i := range int(initialLimit) {
			id := fmt.Sprint("slow", i)
			router.Handle(now, Stalled{ID: id}, nil)
			router.Handle(now, Outcome{ID: id, Cache: "b", Result: OK, Last: true, Took: 5000}, nil)
		}
		router.Handle(now, Outcome{ID: "still", Cache: "b", Result: OK, Last: true}, nil)
		if b := router.members["b"]; b.inFlight != 0 || b.pendingTime < 0 || b.pendingTime > 1e-6 {
			t.Errorf("transfers stalled: %v; at their end %v in flight, %v ms pending, want 0 of each", stalled, b.inFlight, b.pendingTime)
		}
	}
}
