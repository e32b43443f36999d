package limits

import (
	"math/rand/v2"
	"testing"
)

// TestAdmissionAdapts offers a simulated server up to four times the load that it can serve. In
// an overload the limit must keep the wait short and the server busy; without one nothing is
// rejected; and the limit must recover afterwards.
func TestAdmissionAdapts(t *testing.T) {
	for _, load := range []float64{0.5, 0.9, 1.5, 2, 4} {
		admission := NewAdmission(AdmissionSettings{Target: 5, Interval: 100, MinInFlight: 8, MaxInFlight: 20000, Headroom: 0.2})
		random := rand.New(rand.NewPCG(1, uint64(load*10)))
		const work = 0.1                  // ms per request: the server can serve 10 requests per ms
		now, busy, held := 0.0, 0.0, 20.0 // busy: when the server is free again; held: ms for which a served request stays in flight
		var ends []float64                // of the requests in flight
		served, rejected, waits := 0, 0, []float64{}
		for now < 60000 {
			now += random.ExpFloat64() * work / load
			for len(ends) > 0 && ends[0] <= now {
				ends = ends[1:]
			}
			admission.Tick(now, len(ends))
			if !admission.Admit(len(ends), 1) {
				rejected++
				busy = max(busy, now) + work*0.02 // a rejection costs 2 % of a request
				continue
			}
			wait := max(busy-now, 0)
			busy = max(busy, now) + work
			admission.ObserveWait(wait)
			ends = append(ends, busy+held)
			if now > 20000 {
				served++
				waits = append(waits, wait)
			}
		}
		sum := 0.0
		for _, wait := range waits {
			sum += wait
		}
		share := float64(served) * work / 40000
		if load > 1 && (share < 0.85 || sum/float64(len(waits)) > 60) || load < 1 && rejected > 0 {
			t.Errorf("load %v: busy for %.2f of the time, mean wait %.1f ms, %d rejected, limit %d; want at least 0.85 and at most 60 ms above load 1, and none rejected below", load, share, sum/float64(len(waits)), rejected, admission.Limit())
		}
		for range 200 { // no load
			now += 100
			admission.ObserveWait(0)
			admission.Tick(now, admission.Limit())
		}
		if admission.Limit() < 20000 || admission.Overloaded() {
			t.Errorf("load %v: limit %d 20 s after the load, overloaded: %v; want at least 20000, false", load, admission.Limit(), admission.Overloaded())
		}
	}
}

// TestAdmissionQueueing offers a cache with capacity for 64 requests at a time four times its
// load, so that the module lets requests wait until just before their deadline. Without a limit
// on that wait most answers come late; with one most capacity serves requests in time. With
// about as many requests for another, idle cache none is rejected.
func TestAdmissionQueueing(t *testing.T) {
	run := func(share float64, idleCache bool) (good, late, rejected int) {
		admission := NewAdmission(AdmissionSettings{Target: 20, QueueingShare: share, Interval: 100, MinInFlight: 64, MaxInFlight: 20000, Headroom: 0.2})
		random := rand.New(rand.NewPCG(7, 7))
		const capacity, takes, deadline = 64, 25.0, 500.0 // ms; 2.56 requests per ms
		var queue []float64                               // arrivals of the waiting requests
		var busy []float64                                // ends of the requests in service
		other := []float64{}                              // ends of the requests for the idle cache
		arrives := 0.0
		for now := 0.0; now < 30000; now++ {
			for len(busy) > 0 && busy[0] <= now {
				busy = busy[1:]
			}
			for len(other) > 0 && other[0] <= now {
				other = other[1:]
			}
			admission.Tick(now, len(queue)+len(busy)+len(other))
			for ; arrives < now; arrives += random.ExpFloat64() / (4 * capacity / takes) {
				if !admission.Admit(len(queue)+len(busy)+len(other), 1) {
					rejected++
					continue
				}
				queue = append(queue, arrives)
			}
			for range 3 {
				if idleCache {
					admission.ObserveQueueing(0)
					other = append(other, now+10)
				}
			}
			for len(queue) > 0 && now-queue[0] > deadline {
				queue = queue[1:]
				late++
			}
			for len(queue) > 0 && len(busy) < capacity {
				arrived := queue[0]
				queue = queue[1:]
				admission.ObserveQueueing((now - arrived) / deadline)
				busy = append(busy, now+takes)
				if now+takes-arrived > deadline {
					late++
				} else if now > 5000 {
					good++
				}
			}
		}
		return good, late, rejected
	}
	good, late, rejected := run(0.25, false)
	if full := int(25000 * 64 / 25.0); good < full*9/10 || rejected == 0 {
		t.Errorf("%d of %d in time, %d late, %d rejected; want at least 90 %% in time and some rejected", good, full, late, rejected)
	}
	if g, l, r := run(0, false); g > good/2 {
		t.Errorf("without a limit on the wait %d are in time, %d late, %d rejected: the test shows no difference", g, l, r)
	}
	if _, _, r := run(0.25, true); r > 0 {
		t.Errorf("%d were rejected although one of the two caches is idle, want 0", r)
	}
}

// TestAdmissionRank checks that requests of the highest rank are admitted when those of the
// lowest are not, and that MinInFlight requests are always admitted.
func TestAdmissionRank(t *testing.T) {
	admission := NewAdmission(AdmissionSettings{Target: 5, Interval: 100, MinInFlight: 10, MaxInFlight: 1000, Headroom: 0.3})
	if !admission.Admit(999, 0) || admission.Admit(1000, 1) {
		t.Error("without an overload: want a request admitted with 999 in flight and rejected with 1000, MaxInFlight")
	}
	for now := 0.0; now < 3000; now += 100 {
		admission.ObserveWait(50)
		admission.Tick(now, 200)
	}
	limit := admission.Limit()
	if limit > 200 || limit < 10 || !admission.Admit(limit*8/10, 1) || limit > 20 && admission.Admit(limit*8/10, 0) {
		t.Errorf("limit %d after an overload with 200 in flight, want 10 to 200; at 0.8 of it rank 1 is admitted: %v, want true; rank 0: %v, want false above a limit of 20",
			limit, admission.Admit(limit*8/10, 1), admission.Admit(limit*8/10, 0))
	}
	if !admission.Admit(9, 0) {
		t.Error("a request with 9 in flight was rejected, want it admitted below MinInFlight, 10")
	}
}
