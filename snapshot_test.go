package indigospool

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// busy is a router that has been told many things, and has nothing in hand.
func busy(t *testing.T, seed uint64, steps int) (*Router, Millis) {
	t.Helper()
	s := testSettings()
	s.SizesCompare, s.ParentColdFrom, s.ParentColdTime = true, 0.06, 22000
	r, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 9))
	now := Millis(1000)
	rows := func() (out []Member) {
		for i := range 4 {
			out = append(out, Member{ID: fmt.Sprint("b", i), Zone: s.Zone, Kind: "box", Size: 10, State: State(rng.IntN(8) / 6), ReadyAt: Millis(rng.IntN(2)) * (now - 500)})
		}
		return append(out, Member{ID: "p0", Kind: s.ParentKind, Size: 20}, Member{ID: "p1", Kind: s.ParentKind, Size: 20, ReadyAt: now}, Member{ID: "o", Kind: s.OriginKind})
	}
	r.Handle(now, Members{Full: true, Rows: rows()}, nil)
	for i := range steps {
		now += Millis(rng.IntN(40))
		switch rng.IntN(12) {
		case 0:
			r.Handle(now, Timer{}, nil)
		case 1:
			r.Handle(now, Purge{Object: fmt.Sprint("o", rng.IntN(9)), Group: rng.IntN(3)}, nil)
		case 2:
			r.Handle(now, Purge{Group: rng.IntN(3)}, nil)
		case 3:
			if rng.IntN(8) == 0 {
				r.Handle(now, Members{Full: true, Rows: rows()}, nil)
			}
		}
		id := fmt.Sprint("q", i)
		class := s.Classes[rng.IntN(len(s.Classes))].Name
		acts := r.Handle(now, Request{ID: id, Class: class, Object: fmt.Sprint("o", rng.IntN(9)), Part: rng.IntN(12), Group: rng.IntN(3), KB: 30, Deadline: now + 900}, nil)
		for n := 0; n < 9; n++ {
			var send *Send
			for _, a := range acts {
				if s, ok := a.(Send); ok && s.ID == id {
					send = &s
				}
			}
			if send == nil {
				break
			}
			now += Millis(rng.IntN(30))
			results := []Result{OK, OK, Miss, Full, Errored, Reset, TimedOut}
			result := results[rng.IntN(len(results))]
			acts = r.Handle(now, Outcome{ID: id, Cache: send.Cache, Attempt: n, Result: result, Took: 12, Last: result == OK}, nil)
		}
		r.Handle(now, Gone{ID: id}, nil)
	}
	return r, now
}

// A successor that recalls what was learned knows the same, and decides the same of
// what comes from then on, one request after another.
func TestMemoryRoundTrip(t *testing.T) {
	for seed := range uint64(60) {
		a, now := busy(t, seed, 300)
		m := a.Memory()
		b, err := New(a.settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(now, Recalled{m}, nil)
		got := b.Memory()
		if got.At = m.At; !reflect.DeepEqual(got, m) {
			t.Fatalf("seed %d: knows\n%+v, not\n%+v", seed, got, m)
		}
		if !reflect.DeepEqual(a.Ranges(), b.Ranges()) {
			t.Fatalf("seed %d: ranges %v, not %v", seed, b.Ranges(), a.Ranges())
		}
		for _, k := range a.members { // trials that are out, and what is held, is the old one's
			k.checking, k.inFlight, k.pendingTime, k.overdue = false, 0, 0, 0
		}
		a.link.inFlight, a.arrivals, a.lastTimerToken, b.lastTimerToken = 0, nil, 0, 0
		rng := rand.New(rand.NewPCG(seed, 10))
		for i := range 400 {
			now += Millis(rng.IntN(30))
			id := fmt.Sprint("n", i)
			var ev Event = Request{ID: id, Class: a.settings.Classes[rng.IntN(len(a.settings.Classes))].Name, Object: fmt.Sprint("o", rng.IntN(9)), Part: rng.IntN(12), KB: 30, Deadline: now + 900}
			if rng.IntN(6) == 0 {
				ev = Timer{}
			}
			for n := range 8 {
				x, y := a.Handle(now, ev, nil), b.Handle(now, ev, nil)
				if !reflect.DeepEqual(x, y) {
					t.Fatalf("seed %d, step %d.%d: %+v gives %+v, and %+v to the one that had learned it", seed, i, n, ev, y, x)
				}
				var send *Send
				for _, act := range x {
					if s, ok := act.(Send); ok && s.ID == id {
						send = &s
					}
				}
				if send == nil {
					ev = Gone{ID: id}
					a.Handle(now, ev, nil)
					b.Handle(now, ev, nil)
					break
				}
				now += 3
				result := []Result{OK, Miss, Full, Reset}[rng.IntN(4)]
				ev = Outcome{ID: id, Cache: send.Cache, Attempt: n, Result: result, Took: 3, Last: result == OK}
			}
		}
	}
}

// What a cold member may still be given is given once: the retired router gives
// nothing more, and goes on where its successor never came up.
func TestRetired(t *testing.T) {
	s := testSettings()
	s.SizesCompare = true
	r, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := Millis(1000)
	r.Handle(now, Members{Full: true, Rows: []Member{{ID: "b", Zone: s.Zone, Kind: "box", Size: 50, ReadyAt: now}, {ID: "o", Kind: s.OriginKind}}}, nil)
	ask := func(i int) (cold bool) {
		id := fmt.Sprint("q", i)
		acts := r.Handle(now, Request{ID: id, Class: s.Classes[0].Name, Object: fmt.Sprint("o", i), Deadline: now + 900}, nil)
		r.Handle(now, Gone{ID: id}, nil)
		for _, a := range acts {
			if send, ok := a.(Send); ok {
				cold = cold || send.Cache == "b"
				r.Handle(now, Outcome{ID: id, Cache: send.Cache, Result: Cancelled, Last: true}, nil)
			}
		}
		return cold
	}
	given := func(from int) (n int) {
		for i := range 40 {
			now += 20
			if ask(from + i) {
				n++
			}
		}
		return n
	}
	if n := given(0); n == 0 {
		t.Fatal("a cold cache is never asked")
	}
	for r.members["b"].tokens > 0 && ask(1000+int(r.members["b"].tokens*1e6)) {
	}
	r.Handle(now, Retired{On: true}, nil)
	m := r.Memory()
	if n := given(100); n > 0 {
		t.Errorf("%d more by one that is retired", n)
	}
	r.Handle(now, Retired{}, nil)
	if n := given(200); n == 0 {
		t.Error("none by one whose successor never came up")
	}
	b, _ := New(s, 1)
	b.Handle(now, Recalled{m}, nil)
	b.Handle(now, Members{Full: true, Rows: []Member{m.Members[0].Member, m.Members[1].Member}}, nil)
	if tokens := b.members["b"].tokens; tokens != m.Members[0].Tokens || b.members["b"].ReadyAt != 1000 {
		t.Errorf("the successor has %v, told was %v", tokens, m.Members[0].Tokens)
	}
	b.Handle(now, Recalled{&Memory{Members: []MemberMemory{{Member: Member{ID: "x"}}}}}, nil)
	if b.members["x"] != nil {
		t.Error("a memory was recalled by one that has begun")
	}
}
