package limits

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

var testRate = MinRate{Rate: 8, Grace: 4000, Step: 500}

// A peer that moves the least rate over each span is never cut, whatever the other
// side and the router do meanwhile, and however it spreads its bytes within the span.
func TestFlowAtMinRateNeverSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f Flow
		now, debt := 0.0, 0.0 // ms of its own delay since its bytes last paid for it
		f.StartWaiting(now)
		waited := true
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // the other side, or the router, holds things up for as long as it likes
				f.StopWaiting(now, &testRate)
				now += rapid.Float64Range(0, 60000).Draw(t, "other")
				waited = false
			case 1: // the router does not look for a while: charged is a step at most
				if waited {
					debt += testRate.Step
				}
				now += rapid.Float64Range(testRate.Step, 20000).Draw(t, "stall")
			default:
				if !waited {
					f.StartWaiting(now)
					waited = true
				}
				d := rapid.Float64Range(0, testRate.Step).Draw(t, "peer")
				now += d
				debt += d
			}
			if debt > testRate.Grace-testRate.Step-1 { // it keeps the rate: it moves what it owes for
				n := int(math.Ceil(debt * testRate.Rate))
				f.Moved(now, n, &testRate)
				debt = 0
			}
			if f.Slow(now, &testRate) {
				t.Fatalf("cut at %v with %v ms of its own", now, debt)
			}
		}
	})
}

// A peer that keeps below the rate is found slow, and not before its grace is used up;
// one byte a second is no way out.
func TestFlowBelowMinRateIsSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 0.8).Draw(t, "share") * testRate.Rate
		gap := rapid.Float64Range(1, 1500).Draw(t, "gap")
		var f Flow
		f.StartWaiting(0)
		next, part := gap, 0.0
		for now := 0.0; now < 60000; now += 250 {
			for next <= now {
				part += rate * gap
				f.Moved(next, int(part), &testRate)
				part -= math.Floor(part)
				next += gap
			}
			if f.Slow(now, &testRate) {
				if now < testRate.Grace {
					t.Fatalf("slow at %v, within its grace", now)
				}
				return
			}
		}
		t.Fatalf("%v bytes a ms every %v ms was never found slow", rate, gap)
	})
}

// Reading in bursts at just the least rate is allowed.
func TestFlowBurstsAtMinRate(t *testing.T) {
	var f Flow
	f.StartWaiting(0)
	for now := 250.0; now < 600000; now += 250 {
		if math.Mod(now, 3500) == 0 {
			f.Moved(now, int(3500*testRate.Rate), &testRate)
		}
		if f.Slow(now, &testRate) {
			t.Fatalf("slow at %v", now)
		}
	}
	if d := f.Due(&testRate); d <= 0 || d > testRate.Grace {
		t.Error(d)
	}
	if f = (Flow{}); f.Slow(1e9, &testRate) || !math.IsInf(f.Due(&testRate), 1) || f.Slow(1e9, &MinRate{}) {
		t.Error("a flow that nobody waits for is slow")
	}
}

// One slow member is cut; where most are slow at once none is, and once the others are
// well again the one is.
func TestMassSlowness(t *testing.T) {
	j := MassSlowness{Span: 5000, Share: 0.5, Least: 3}
	for _, m := range []string{"a", "b", "c", "d"} {
		j.ObserveGood(m, 1000)
	}
	if !j.MayCut("a", 1200) || !j.MayCut("b", 1300) {
		t.Error("two of four were not cut")
	}
	if j.MayCut("c", 1400) || j.MayCut("d", 1500) || j.Spared != 2 {
		t.Errorf("three of four were cut (%d spared)", j.Spared)
	}
	all := MassSlowness{Span: 5000, Share: 0.5, Least: 2}
	for _, m := range []string{"a", "b", "c"} { // told first, none of them is cut
		all.ObserveSlow(m, 1000)
	}
	if all.MayCut("a", 1000) || all.MayCut("b", 1000) {
		t.Error("all three are slow, and one was cut")
	}
	j.ObserveGood("a", 9000)
	j.ObserveGood("b", 9000)
	if !j.MayCut("c", 9100) {
		t.Error("one of three, once the others are well, was not cut")
	}
	one := MassSlowness{Span: 5000, Share: 0.5, Least: 3}
	if !one.MayCut("a", 1) || !one.MayCut("a", 2) {
		t.Error("the only member at work was not cut")
	}
}

// Bytes are shared by weight among classes that have any to move, and evenly within a
// class; nobody is passed over, and a class that comes back has saved nothing up.
func TestDRR(t *testing.T) {
	const quantum = 1000
	d := NewDRR[int](quantum, []float64{4, 1})
	got := map[int]int{}
	class := func(i int) int { return i / 100 }
	for _, i := range []int{0, 1, 100, 101, 102} {
		d.Push(class(i), i)
	}
	total := 0
	for total < 1_000_000 {
		it, c, room, ok := d.Next()
		if !ok || room < 1 || room > quantum || c != class(it) {
			t.Fatal(it, c, room, ok)
		}
		got[it] += room
		total += room
		d.Used(c, it, room, true)
	}
	near := func(a, b int) bool { return math.Abs(float64(a-b)) <= 0.02*float64(b)+2*quantum }
	if !near(got[0]+got[1], 800_000) || !near(got[0], got[1]) || !near(got[100], got[101]) || !near(got[101], got[102]) {
		t.Errorf("%v", got)
	}
}

// Whatever comes and goes: each ready connection is served in its turn, at most a
// round of the others' quanta later, and none is served that is not ready.
func TestDRRServesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.1, 8), 1, 4).Draw(t, "weights")
		d := NewDRR[int](4096, weights)
		ready, class, waits := map[int]bool{}, map[int]int{}, map[int]int{}
		sum := 0.0
		for _, w := range weights {
			sum += w + 1
		}
		for i := range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				class[i] = rapid.IntRange(0, len(weights)-1).Draw(t, "class")
				ready[i] = true
				d.Push(class[i], i)
				continue
			}
			it, c, room, ok := d.Next()
			if ok != (len(ready) > 0) || ok && (!ready[it] || c != class[it] || room < 1) {
				t.Fatal(it, c, room, ok, ready)
			}
			if !ok {
				continue
			}
			n := rapid.IntRange(0, room).Draw(t, "moved")
			more := rapid.Bool().Draw(t, "more")
			d.Used(c, it, n, more)
			if delete(waits, it); !more {
				delete(ready, it)
			}
			for other := range ready {
				waits[other]++
				if float64(waits[other]) > 20*sum*float64(len(class)+1) {
					t.Fatalf("%d waits for ever", other)
				}
			}
		}
		if d.Len() != len(ready) {
			t.Fatalf("%d are ready, %d are booked", len(ready), d.Len())
		}
	})
}

// A small answer behind any number of large ones of another class waits for a
// quantum of each class, and not for theirs.
func TestDRRSmallBehindLarge(t *testing.T) {
	d := NewDRR[int](64<<10, []float64{1, 1})
	for i := range 1000 {
		d.Push(1, i)
	}
	moved := 0
	for range 50 {
		it, c, room, _ := d.Next()
		moved += room
		d.Used(c, it, room, true)
	}
	d.Push(0, -1)
	before := moved
	for {
		it, c, room, ok := d.Next()
		if !ok {
			t.Fatal("nobody is ready")
		}
		if it == -1 {
			break
		}
		moved += room
		d.Used(c, it, room, true)
	}
	if moved-before > 2*64<<10 {
		t.Errorf("the still waited for %d bytes", moved-before)
	}
}

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

// Repeats are a share of first tries once an overload lasts; one address can't take
// the others' share, and is bounded in calm times too.
func TestRetryBudget(t *testing.T) {
	r := NewRetryBudget(RetryBudgetSettings{Share: 0.25, Burst: 20, AddressShare: 0.5, AddressBurst: 10, Addresses: 100})
	went := 0
	for i := range 1000 {
		r.Admit(fmt.Sprint(i%50), false, true)
		for range 3 {
			if r.Admit(fmt.Sprint(i%50), true, true) {
				went++
			}
		}
	}
	if went < 250 || went > 250+20 {
		t.Errorf("%d repeats of 1000 first tries", went)
	}
	went = 0
	for range 1000 {
		if r.Admit("greedy", true, false) {
			went++
		}
	}
	if went != 10 {
		t.Errorf("one address made %d repeats at once", went)
	}
	for i := range 100000 { // addresses that come once are forgotten
		r.Admit(fmt.Sprint("a", i), false, false)
	}
	if len(r.recent)+len(r.older) > 200 {
		t.Errorf("%d addresses are remembered", len(r.recent)+len(r.older))
	}
}

func TestJitter(t *testing.T) {
	a, b := NewJitter(7, 0.5), NewJitter(7, 0.5)
	seen := map[int64]int{}
	for range 1000 {
		x, y := a.After(4000), b.After(4000)
		if x != y || x < 4 || x > 6 {
			t.Fatal(x, y)
		}
		seen[x]++
	}
	if len(seen) < 2 || a.After(0) != 0 || a.After(1) < 1 {
		t.Error(seen)
	}
}

// Idle connections go before requests, answers that have begun go last, the least
// worth for its bytes first, and what may do harm when it is repeated never.
func TestShed(t *testing.T) {
	b := Budget{Total: 1000}
	b.Add(Answers, 899)
	if idle, reqs := b.Excess(); idle+reqs != 0 || b.Full() {
		t.Error(idle, reqs)
	}
	b.Add(Heads, 20)
	if idle, reqs := b.Excess(); idle != 119 || reqs != 0 || !b.Full() {
		t.Error(idle, reqs)
	}
	b.Add(Bodies, 50)
	if idle, reqs := b.Excess(); idle != 169 || reqs != 169 || b.Used() != 969 || b.Map()["answers"] != 899 {
		t.Error(idle, reqs)
	}
	list := []ShedCandidate{
		{Index: 0, Bytes: 100, Weight: 1, Left: 10, Begun: true, Idempotent: true},
		{Index: 1, Bytes: 100, Weight: 1, Left: 10, Idempotent: true},
		{Index: 2, Bytes: 100, Weight: 1, Left: 1000, Idempotent: true},
		{Index: 3, Bytes: 100, Weight: 0.1, Left: 10, Idempotent: true},
		{Index: 4, Bytes: 100, Weight: 0, Left: 1e9},
		{Index: 5, Bytes: 0, Weight: 0, Left: 1e9, Idempotent: true},
	}
	want := []int{2, 3, 1, 0}
	for i, h := range ShedOrder(append([]ShedCandidate(nil), list...)) {
		if h.Index != want[i] {
			t.Errorf("place %d is of %d, not %d", i, h.Index, want[i])
		}
	}
	if got := Shed(append([]ShedCandidate(nil), list...), 150); len(got) != 2 {
		t.Errorf("%+v", got)
	}
	if got := Shed(append([]ShedCandidate(nil), list...), 1e6); len(got) != 4 {
		t.Errorf("%+v", got)
	}
}

// Answers that have waited for their clients for a second give way, the longest first.
func TestLongStalled(t *testing.T) {
	if got := fmt.Sprint(LongStalled([]float64{999, 1000, 5000, 0, 2000})); got != "[2 4 1]" || len(LongStalled(nil)) != 0 {
		t.Error(got)
	}
}

func BenchmarkDRR(b *testing.B) {
	d := NewDRR[int](64<<10, []float64{2, 1, 1})
	for i := range 3000 {
		d.Push(i%3, i)
	}
	for b.Loop() {
		it, c, room, _ := d.Next()
		d.Used(c, it, room, true)
	}
}

func BenchmarkFlow(b *testing.B) {
	var f Flow
	now := 0.0
	for b.Loop() {
		now += 0.1
		f.StartWaiting(now)
		f.Moved(now, 100, &testRate)
		if f.Slow(now, &testRate) {
			b.Fatal()
		}
	}
}

// Whose requests end well is never poor, however slowly and unevenly they do; who
// wastes more than a tenth of his places is, and is forgiven in time; and no more than
// so many addresses are remembered.
func TestReputation(t *testing.T) {
	settings := ReputationSettings{Half: 60000, Least: 1.5, Weight: 10, Most: 4, Addresses: 64}
	rapid.Check(t, func(t *rapid.T) {
		s := NewReputation(settings)
		now, ends := 0.0, rapid.IntRange(30, 300).Draw(t, "ends")
		wasted := rapid.IntRange(2, 9).Draw(t, "one in")
		for i := range ends {
			now += rapid.Float64Range(0, 3000).Draw(t, "gap")
			s.AddGood("well", now)
			if i%wasted == 0 {
				s.AddBad("wasteful", now)
			} else {
				s.AddGood("wasteful", now)
			}
			if i%40 == 0 { // one in forty, as where a line breaks now and then
				s.AddBad("mostly well", now)
			} else {
				s.AddGood("mostly well", now)
			}
			s.AddBad(fmt.Sprint("passing ", i), now)
			if s.Poor("well", now) || s.Poor("unknown", now) || i > 20 && s.Poor("mostly well", now) {
				t.Fatalf("a good one is poor at %v", now)
			}
			if n := len(s.recent) + len(s.older); n > 2*64 {
				t.Fatalf("%d are remembered", n)
			}
		}
		if s.AddBad("wasteful", now); now < 60000 && !s.Poor("wasteful", now) {
			t.Fatalf("one in %d of its places was wasted, and it is not poor", wasted)
		}
		if s.Poor("wasteful", now+10*60000) {
			t.Fatal("it is not forgiven in ten half-lives")
		}
	})
	s := NewReputation(settings)
	for i := range 30 {
		for range i % 5 {
			s.AddBad(fmt.Sprint(i), 100)
			s.AddGood(fmt.Sprint(i), 100)
		}
	}
	next := NewReputation(settings)
	next.Restore(append(s.Records(200), AddressRecord{"nan", math.NaN(), 1}, AddressRecord{"inf", 0, math.Inf(1)}, AddressRecord{"below", -1, 1}), 7000)
	for i := range 30 {
		if a := fmt.Sprint(i); s.Poor(a, 200) != next.Poor(a, 7000) || s.Poor(a, 200) != (i%5 >= 2) {
			t.Errorf("%s: %v before, %v after", a, s.Poor(a, 200), next.Poor(a, 7000))
		}
	}
	if len(next.Records(7000)) != len(s.Records(200)) {
		t.Errorf("%d known, of %d", len(next.Records(7000)), len(s.Records(200)))
	}
	s = NewReputation(settings)
	for range 4 {
		if s.Reserve(); s.HasCapacity() != (s.Excess() < 0) {
			t.Error(s.HasCapacity(), s.Excess())
		}
	}
	if s.Reserve(); s.HasCapacity() || s.Excess() != 1 {
		t.Error(s.Excess())
	}
	if s.Release(); s.Excess() != 0 || s.Any() {
		t.Error(s.Excess())
	}
}

// Hundreds of answers that wait stay below the edge of the budget together, thousands
// pass it by their least at most, and one alone has all that it may.
func TestBudgetRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(8<<20, 1<<30).Draw(t, "total")
		n := rapid.Int64Range(1, total/(64<<10)).Draw(t, "answers")
		b := Budget{Total: total}
		held := make([]int64, n)
		for round := 0; round < 20; round++ { // each fills what it may, again and again
			for i := range held {
				if room := int64(b.Room(256 << 10)); room > held[i] {
					b.Add(Answers, room-held[i])
					held[i] = room
				}
			}
		}
		if n <= roomShare && b.Full() || float64(b.Used()) > shedAbove*float64(total)+float64(n*minRoom) {
			t.Fatalf("%d answers fill %d of %d", n, b.Used(), total)
		}
	})
	one := Budget{Total: 64 << 20}
	if got := one.Room(200 << 10); got != 200<<10 {
		t.Error(got)
	}
	if got := (&Budget{}).Room(1 << 20); got != 1<<20 {
		t.Error(got)
	}
	one.Add(Bodies, 1<<30)
	if got := one.Room(1 << 20); got != minRoom {
		t.Error(got)
	}
	if UnaccountedMemory(64<<20) != 24<<20 || UnaccountedMemory(4<<20) != 3<<20 || !MayCloseIdle(200) || MayCloseIdle(199) || !IsStalled(2000) || IsStalled(1999) {
		t.Error(UnaccountedMemory(64<<20), UnaccountedMemory(4<<20))
	}
}

// Turning away takes about its share of the time, however many ask again at once; where
// few do nobody is held, and a hold ends with its reason.
func TestReadPause(t *testing.T) {
	const cost, conns = 0.01, 1500 // ms a refusal
	for _, rate := range []float64{0.5, 10, 100} {
		h := NewReadPause(ReadPauseSettings{Share: 0.05, Interval: 100, Most: 200})
		var back []float64 // when each connection is read again, in order
		spent, now := 0.0, 0.0
		for ; now < 20000; now++ {
			for range int(rate) + 1 { // that ask, of those that are read
				for len(back) > 0 && back[0] <= now {
					back = back[1:]
				}
				if len(back) >= conns || rate < 1 && int(now)%2 == 1 {
					continue
				}
				h.AddCost(cost)
				if now > 5000 {
					spent += cost
				}
				if ms := h.Duration(); ms > 0 {
					back = append(back, now+ms)
				}
			}
			h.Tick(now)
		}
		share := spent / 15000
		if share > 0.12 || rate < 1 && h.Duration() > 0 || rate > 50 && (h.Duration() == 0 || share < 0.02) {
			t.Errorf("%v a ms: %.3f of the time, held for %v ms", rate, share, h.Duration())
		}
		for range 12 {
			now += 100
			h.Tick(now)
		}
		if h.Duration() > 0 {
			t.Errorf("%v a ms: still held for %v ms, for nothing", rate, h.Duration())
		}
	}
}

// What the kernel holds: who takes something is never cut before it idles, who idles
// always is, and past the limit it comes down to 0.80 unless only those are left who take.
func TestUnreadAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tails := UnreadAccount{Total: 1 << 20, Idle: 20_000}
		var list []Unread
		for i := range rapid.IntRange(0, 60).Draw(t, "clients") {
			list = append(list, Unread{Index: i, Bytes: rapid.Int64Range(0, 200<<10).Draw(t, "bytes"), Still: rapid.Float64Range(0, 25_000).Draw(t, "still")})
		}
		all := append([]Unread(nil), list...)
		cut := tails.Update(list)
		gone, left, moving := map[int]bool{}, tails.Held, int64(0)
		for _, c := range cut {
			if gone[c.Index] {
				t.Fatalf("%d is cut twice", c.Index)
			}
			gone[c.Index] = true
			left -= c.Bytes
		}
		for _, c := range all {
			switch {
			case c.Bytes == 0 && gone[c.Index]:
				t.Fatalf("%+v is cut, and holds nothing", c)
			case c.Bytes > 0 && c.Still >= tails.Idle && !gone[c.Index]:
				t.Fatalf("%+v is left", c)
			case !IsStalled(c.Still) && gone[c.Index]:
				t.Fatalf("%+v takes something, and is cut", c)
			case !IsStalled(c.Still):
				moving += c.Bytes
			case tails.Held < 900<<10 && c.Still < tails.Idle && gone[c.Index]:
				t.Fatalf("%+v is cut although there is room", c)
			}
		}
		if left > max(moving, 922<<10) {
			t.Fatalf("%d bytes are left, %d of them of those who take some", left, moving)
		}
	})
	free := UnreadAccount{}
	if cut := free.Update([]Unread{{Bytes: 1 << 40, Still: -1}}); len(cut) > 0 || free.Room(0) != 0 || free.Room(512<<10) != 512<<10 {
		t.Error("no limit is set, and one is kept")
	}
	big := UnreadAccount{Total: 160 << 20, Held: 48 << 20}
	if n := big.Room(512 << 10); n != 384<<10 {
		t.Errorf("room of %d", n)
	}
	half := UnreadAccount{Total: 64 << 20, Held: 32 << 20}
	if n := half.Room(512 << 10); n != 128<<10 {
		t.Errorf("room of %d", n)
	}
}

func TestConnectionQuota(t *testing.T) {
	for _, n := range []int{32, 256, 1024} {
		p := NewConnectionQuota(n)
		if p.Clients+p.Members > n || p.Clients < n/10 || p.Members < 2 || n >= 256 && p.Clients < n/3 {
			t.Errorf("%d descriptors: %+v", n, p)
		}
		if k := p.PerMember(4); k < 1 || k*4 > max(p.Members, 8) {
			t.Errorf("%d descriptors: %d to a member of 4", n, k)
		}
	}
	now := 100000.0
	for _, c := range []struct {
		name string
		v    ClientActivity
		goes bool
	}{
		{"just came", ClientActivity{Since: now - 1000}, false},
		{"says nothing", ClientActivity{Since: now - 2500}, true},
		{"says half", ClientActivity{Since: now - 9000, Last: now - 3000, Half: now - 2500, Messages: 3, Open: 1}, true},
		{"waits for an answer", ClientActivity{Since: now - 9000, Last: now - 9000, Messages: 3, Open: 1}, false},
		{"takes no answer", ClientActivity{Since: now - 9000, Last: now, Stuck: now - 3000, Messages: 3, Open: 1}, true},
		{"between two requests", ClientActivity{Since: now - 9000, Last: now - 3900, Messages: 3}, false},
		{"asked once and stays", ClientActivity{Since: now - 9000, Last: now - 8000, Messages: 1}, true},
	} {
		if c.v.Expired(now) != c.goes {
			t.Errorf("%s: goes is %v", c.name, !c.goes)
		}
	}
	busy, silent := &ClientActivity{Open: 1, Messages: 9}, &ClientActivity{Since: 500}
	early, late := &ClientActivity{Last: 100, Messages: 2}, &ClientActivity{Last: 200, Messages: 2}
	if busy.ClosesBefore(nil) || !silent.ClosesBefore(early) || early.ClosesBefore(silent) || !early.ClosesBefore(late) || late.ClosesBefore(early) || !late.ClosesBefore(busy) {
		t.Error("the wrong one yields")
	}
}

// TestBackoff: after a common loss processes ask at different times, at first soon and then
// less often, and never wait longer than the most.
func TestBackoff(t *testing.T) {
	first := map[float64]bool{}
	for seed := range uint64(100) {
		a := NewBackoff(250, 150, 500, seed)
		in := a.Next()
		if first[in] = true; in < 0 || in >= 250 {
			t.Errorf("seed %d: first after %v", seed, in)
		}
		last := 0.0
		for range 80 {
			if last = a.Next(); last < 75 || last > 500 {
				t.Fatalf("seed %d: then after %v", seed, last)
			}
		}
		if last < 250 {
			t.Errorf("seed %d: at last after %v", seed, last)
		}
		if a.Reset(); a.Next() >= 250 {
			t.Errorf("seed %d: after a success it does not begin anew", seed)
		}
	}
	if len(first) < 90 {
		t.Errorf("%d different waits of 100", len(first))
	}
}

// TestClientActivityLingering: a message that comes by and by is waited for, within a bound; a
// connection that was shut is read for a while, and is the first to yield.
func TestClientActivityLingering(t *testing.T) {
	for _, c := range []struct {
		name string
		v    ClientActivity
		now  float64
		over bool
	}{
		{"bytes came lately", ClientActivity{Begun: 1, Half: 3000}, 5000, false},
		{"none for long", ClientActivity{Begun: 1, Half: 3000}, 5300, true},
		{"for too long in all", ClientActivity{Begun: 1, Half: 8900}, 9000, true},
		{"shut", ClientActivity{Messages: 1, Shut: 100}, 1000, false},
		{"shut, and the client stays", ClientActivity{Messages: 1, Shut: 100}, 1101, true},
	} {
		if got := c.v.Expired(c.now); got != c.over {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	if shut, silent := (&ClientActivity{Messages: 3, Last: 900, Shut: 950}), (&ClientActivity{Since: 1}); !shut.ClosesBefore(silent) || silent.ClosesBefore(shut) {
		t.Error("one that was shut does not yield first")
	}
}
