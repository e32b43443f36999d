package limits

import (
	"math/rand/v2"
	"testing"
)

// A queue in simulated time that gets up to four times what it can do: the limit finds
// a place at which the wait stays short and the server is busy, and comes back after.
func TestAdmissionAdapts(t *testing.T) {
	for _, load := range []float64{0.5, 0.9, 1.5, 2, 4} {
		a := NewAdmission(AdmissionSettings{Target: 5, Interval: 100, Least: 8, Most: 20000, Headroom: 0.2})
		rng := rand.New(rand.NewPCG(1, uint64(load*10)))
		const per = 0.1 // ms of work a request; 10 a ms is what the server can do
		now, busy, hold := 0.0, 0.0, 20.0
		var ends []float64 // of those in hand
		served, refused, waits := 0, 0, []float64{}
		for now < 60000 {
			now += rng.ExpFloat64() * per / load
			for len(ends) > 0 && ends[0] <= now {
				ends = ends[1:]
			}
			a.Tick(now, len(ends))
			if !a.Admit(len(ends), 1) {
				refused++
				busy = max(busy, now) + per*0.02 // a refusal is cheap, and not free
				continue
			}
			wait := max(busy-now, 0)
			busy = max(busy, now) + per
			a.ObserveWait(wait)
			ends = append(ends, busy+hold)
			if now > 20000 {
				served++
				waits = append(waits, wait)
			}
		}
		sum := 0.0
		for _, w := range waits {
			sum += w
		}
		share := float64(served) * per / 40000
		if load > 1 && (share < 0.85 || sum/float64(len(waits)) > 60) || load < 1 && refused > 0 {
			t.Errorf("load %v: %.2f of the time at work, %.1f ms of wait, %d refused, limit %d", load, share, sum/float64(len(waits)), refused, a.Limit())
		}
		for range 200 { // calm again
			now += 100
			a.ObserveWait(0)
			a.Tick(now, a.Limit())
		}
		if a.Limit() < 20000 || a.Overloaded() {
			t.Errorf("load %v: the limit stays at %d", load, a.Limit())
		}
	}
}

// A module that has places for few at a time, each for a while, and lets the others wait
// until they are nearly late: without a limit on that all answers come late, with it
// most places are used in time. With as many requests of
// another, idle cache beside it nobody is turned away.
func TestAdmissionQueueing(t *testing.T) {
	run := func(part float64, beside bool) (good, late, refused int) {
		a := NewAdmission(AdmissionSettings{Target: 20, Part: part, Interval: 100, Least: 64, Most: 20000, Headroom: 0.2})
		rng := rand.New(rand.NewPCG(7, 7))
		const places, takes, deadline = 64, 25.0, 500.0 // 2.56 a ms
		var queue []float64                             // when they came
		var busy []float64                              // when places are free again
		other := []float64{}
		arrive := 0.0
		for now := 0.0; now < 30000; now++ {
			for len(busy) > 0 && busy[0] <= now {
				busy = busy[1:]
			}
			for len(other) > 0 && other[0] <= now {
				other = other[1:]
			}
			a.Tick(now, len(queue)+len(busy)+len(other))
			for ; arrive < now; arrive += rng.ExpFloat64() / (4 * places / takes) {
				if !a.Admit(len(queue)+len(busy)+len(other), 1) {
					refused++
					continue
				}
				queue = append(queue, arrive)
			}
			for range 3 {
				if beside {
					a.ObserveQueueing(0)
					other = append(other, now+10)
				}
			}
			for len(queue) > 0 && now-queue[0] > deadline {
				queue = queue[1:]
				late++
			}
			for len(queue) > 0 && len(busy) < places {
				at := queue[0]
				queue = queue[1:]
				a.ObserveQueueing((now - at) / deadline)
				busy = append(busy, now+takes)
				if now+takes-at > deadline {
					late++
				} else if now > 5000 {
					good++
				}
			}
		}
		return good, late, refused
	}
	good, late, refused := run(0.25, false)
	if full := int(25000 * 64 / 25.0); good < full*9/10 || refused == 0 {
		t.Errorf("%d of %d good, %d late, %d refused", good, full, late, refused)
	}
	if g, l, r := run(0, false); g > good/2 {
		t.Errorf("without it %d are good, %d late, %d refused: this shows nothing", g, l, r)
	}
	if _, _, r := run(0.25, true); r > 0 {
		t.Errorf("%d were refused for one cache of two", r)
	}
}

// The worthiest are taken when the least are not; the least number is always allowed.
func TestAdmissionRank(t *testing.T) {
	a := NewAdmission(AdmissionSettings{Target: 5, Interval: 100, Least: 10, Most: 1000, Headroom: 0.3})
	if !a.Admit(999, 0) || a.Admit(1000, 1) {
		t.Error("without overload the limit is not the most")
	}
	for now := 0.0; now < 3000; now += 100 {
		a.ObserveWait(50)
		a.Tick(now, 200)
	}
	limit := a.Limit()
	if limit > 200 || limit < 10 || !a.Admit(limit*8/10, 1) || limit > 20 && a.Admit(limit*8/10, 0) {
		t.Errorf("limit %d", limit)
	}
	if !a.Admit(9, 0) {
		t.Error("below the least number one was turned away")
	}
}
