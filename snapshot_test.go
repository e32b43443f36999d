package indigospool

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// trainedRouter returns a router that has learned from many events and has no requests.
func trainedRouter(t *testing.T, seed uint64, steps int) (*Router, Millis) {
	t.Helper()
	settings := testSettings()
	settings.SizeIsCapacity, settings.ParentWarmUpInitialShare, settings.ParentWarmUpTime = true, 0.06, 22000
	router, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 9))
	now := Millis(1000)
	rows := func() (out []Member) {
		for i := range 4 {
			out = append(out, Member{ID: fmt.Sprint("b", i), Zone: settings.Zone, Kind: "box", Size: 10, State: State(rng.IntN(8) / 6), ReadyAt: Millis(rng.IntN(2)) * (now - 500)})
		}
		return append(out, Member{ID: "p0", Kind: settings.ParentKind, Size: 20}, Member{ID: "p1", Kind: settings.ParentKind, Size: 20, ReadyAt: now}, Member{ID: "o", Kind: settings.OriginKind})
	}
	router.Handle(now, Members{Full: true, Rows: rows()}, nil)
	for i := range steps {
		now += Millis(rng.IntN(40))
		switch rng.IntN(12) {
		case 0:
			router.Handle(now, Timer{}, nil)
		case 1:
			router.Handle(now, Purge{Object: fmt.Sprint("o", rng.IntN(9)), Group: rng.IntN(3)}, nil)
		case 2:
			router.Handle(now, Purge{Group: rng.IntN(3)}, nil)
		case 3:
			if rng.IntN(8) == 0 {
				router.Handle(now, Members{Full: true, Rows: rows()}, nil)
			}
		}
		id := fmt.Sprint("q", i)
		class := settings.Classes[rng.IntN(len(settings.Classes))].Name
		actions := router.Handle(now, Request{ID: id, Class: class, Object: fmt.Sprint("o", rng.IntN(9)), Part: rng.IntN(12), Group: rng.IntN(3), KB: 30, Deadline: now + 900}, nil)
		for attempt := 0; attempt < 9; attempt++ {
			var send *Send
			for _, a := range actions {
				if found, ok := a.(Send); ok && found.ID == id {
					send = &found
				}
			}
			if send == nil {
				break
			}
			now += Millis(rng.IntN(30))
			results := []Result{OK, OK, Miss, Rejected, Errored, Reset, TimedOut}
			result := results[rng.IntN(len(results))]
			actions = router.Handle(now, Outcome{ID: id, Cache: send.Cache, Attempt: attempt, Result: result, Took: 12, Last: result == OK}, nil)
		}
		router.Handle(now, Gone{ID: id}, nil)
	}
	return router, now
}

// TestSnapshotRoundTrip checks that a successor that restores a snapshot has the same learned state as
// its predecessor and makes the same decisions from then on.
func TestSnapshotRoundTrip(t *testing.T) {
	for seed := range uint64(60) {
		predecessor, now := trainedRouter(t, seed, 300)
		snapshot := predecessor.Snapshot()
		successor, err := New(predecessor.settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		successor.Handle(now, Recalled{snapshot}, nil)
		got := successor.Snapshot()
		if got.At = snapshot.At; !reflect.DeepEqual(got, snapshot) {
			t.Fatalf("seed %d: learned state\n%+v, want\n%+v", seed, got, snapshot)
		}
		if !reflect.DeepEqual(predecessor.Ranges(), successor.Ranges()) {
			t.Fatalf("seed %d: ranges %v, want %v", seed, successor.Ranges(), predecessor.Ranges())
		}
		for _, known := range predecessor.members { // health checks and attempts in flight are not part of a snapshot
			known.checking, known.inFlight, known.pendingTime, known.overdue = false, 0, 0, 0
		}
		predecessor.link.inFlight, predecessor.arrivals, predecessor.lastTimerToken, successor.lastTimerToken = 0, nil, 0, 0
		rng := rand.New(rand.NewPCG(seed, 10))
		for i := range 400 {
			now += Millis(rng.IntN(30))
			id := fmt.Sprint("n", i)
			var ev Event = Request{ID: id, Class: predecessor.settings.Classes[rng.IntN(len(predecessor.settings.Classes))].Name, Object: fmt.Sprint("o", rng.IntN(9)), Part: rng.IntN(12), KB: 30, Deadline: now + 900}
			if rng.IntN(6) == 0 {
				ev = Timer{}
			}
			for attempt := range 8 {
				want, got := predecessor.Handle(now, ev, nil), successor.Handle(now, ev, nil)
				if !reflect.DeepEqual(want, got) {
					t.Fatalf("seed %d, step %d.%d: %+v gives %+v at the successor, %+v at the predecessor", seed, i, attempt, ev, got, want)
				}
				var send *Send
				for _, act := range want {
					if found, ok := act.(Send); ok && found.ID == id {
						send = &found
					}
				}
				if send == nil {
					ev = Gone{ID: id}
					predecessor.Handle(now, ev, nil)
					successor.Handle(now, ev, nil)
					break
				}
				now += 3
				result := []Result{OK, Miss, Rejected, Reset}[rng.IntN(4)]
				ev = Outcome{ID: id, Cache: send.Cache, Attempt: attempt, Result: result, Took: 3, Last: result == OK}
			}
		}
	}
}

// TestSuccessorSpendsSlowStartBudget checks that a slow-start budget is used only once: a router with a
// successor uses no tokens, and uses them again if the successor did not start.
func TestSuccessorSpendsSlowStartBudget(t *testing.T) {
	settings := testSettings()
	settings.SizeIsCapacity = true
	router, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := Millis(1000)
	router.Handle(now, Members{Full: true, Rows: []Member{{ID: "b", Zone: settings.Zone, Kind: "box", Size: 50, ReadyAt: now}, {ID: "o", Kind: settings.OriginKind}}}, nil)
	requestIsSentToCold := func(i int) (cold bool) {
		id := fmt.Sprint("q", i)
		actions := router.Handle(now, Request{ID: id, Class: settings.Classes[0].Name, Object: fmt.Sprint("o", i), Deadline: now + 900}, nil)
		router.Handle(now, Gone{ID: id}, nil)
		for _, a := range actions {
			if send, ok := a.(Send); ok {
				cold = cold || send.Cache == "b"
				router.Handle(now, Outcome{ID: id, Cache: send.Cache, Result: Cancelled, Last: true}, nil)
			}
		}
		return cold
	}
	sentToCold := func(from int) (n int) {
		for i := range 40 {
			now += 20
			if requestIsSentToCold(from + i) {
				n++
			}
		}
		return n
	}
	if n := sentToCold(0); n == 0 {
		t.Fatal("no request is sent to a cold cache")
	}
	for router.members["b"].tokens > 0 && requestIsSentToCold(1000+int(router.members["b"].tokens*1e6)) {
	}
	router.Handle(now, Retired{On: true}, nil)
	snapshot := router.Snapshot()
	if n := sentToCold(100); n > 0 {
		t.Errorf("a router with a successor sent %d requests to a cold cache, want 0", n)
	}
	router.Handle(now, Retired{}, nil)
	if n := sentToCold(200); n == 0 {
		t.Error("a router whose successor did not start sends nothing to a cold cache")
	}
	successor, _ := New(settings, 1)
	successor.Handle(now, Recalled{snapshot}, nil)
	successor.Handle(now, Members{Full: true, Rows: []Member{snapshot.Members[0].Member, snapshot.Members[1].Member}}, nil)
	if tokens := successor.members["b"].tokens; tokens != snapshot.Members[0].Tokens || successor.members["b"].ReadyAt != 1000 {
		t.Errorf("the successor has %v tokens, the snapshot %v; ReadyAt is %v, want 1000", tokens, snapshot.Members[0].Tokens, successor.members["b"].ReadyAt)
	}
	successor.Handle(now, Recalled{&Snapshot{Members: []MemberSnapshot{{Member: Member{ID: "x"}}}}}, nil)
	if successor.members["x"] != nil {
		t.Error("a router that already has members restored a snapshot")
	}
}

// TestStoredFieldNames checks the CBOR names of all fields: a successor must be able to restore the
// snapshot of a predecessor of another version.
func TestStoredFieldNames(t *testing.T) {
	limit := map[string]any{"Room": 1.5, "Tardy": 2.5, "Cut": 3.5, "Next": 4.5}
	layout := map[string]any{"Edges": []any{"b"}, "Splits": []any{uint64(7)}, "Ranged": true}
	stored := map[string]any{
		"At": 1.25, "Turned": 2.25, "Typical": []any{3.25}, "Retries": 4.25, "Mean": 5.25, "Pace": 6.25, "LastSec": 7.25,
		"Window": []any{8.25}, "Total": []any{9.25}, "Seen": uint64(10), "Opened": 11.25, "Moved": 12.25,
		"Purges": map[any]any{"o": 13.25}, "Groups": map[any]any{uint64(3): 14.25},
		"Link": limit, "Layout": layout, "Prior": layout,
		"Members": []any{map[string]any{
			"ID": "b", "Zone": "z1", "Kind": "box", "Cell": uint64(2), "State": uint64(1), "Size": 15.25, "ReadyAt": 16.25,
			"Gate": limit, "Gone": true, "Suspect": true, "Good": 17.25, "Gap": 18.25, "Faults": 19.25, "Judged": uint64(20),
			"Wins": uint64(21), "TrialAt": 22.25, "Backoff": 23.25, "Work": 24.25, "Rate": 25.25, "Tokens": 26.25, "Topped": 27.25,
		}},
		"Classes": []any{map[string]any{"Name": "page", "Mean": 28.25, "Took": 29.25}},
		"Objects": []any{[]any{map[string]any{"Name": "o", "First": 30.25, "Parts": 31.25}}, []any{}},
	}
	encoded, err := cbor.Marshal(stored)
	if err != nil {
		t.Fatal(err)
	}
	wantLimit := LimitSnapshot{Limit: 1.5, SlowShare: 2.5, LoweredAt: 3.5, NextStart: 4.5}
	wantLayout := LayoutSnapshot{Caches: []string{"b"}, Splits: []int{7}, Ranged: true}
	want := Snapshot{
		At: 1.25, ObjectDepthsRotatedAt: 2.25, TypicalRate: []Millis{3.25}, RetryTokens: 4.25, MeanSendTime: 5.25, FillTimeRatio: 6.25, LastCleanup: 7.25,
		WindowCost: []float64{8.25}, CostHistogram: []float64{9.25}, WindowRequests: 10, WindowOpenedAt: 11.25, LayoutChangedAt: 12.25,
		ObjectPurges: map[string]Millis{"o": 13.25}, GroupPurges: map[int]Millis{3: 14.25},
		Link: wantLimit, Layout: wantLayout, PriorLayout: wantLayout,
		Members: []MemberSnapshot{{
			Member: Member{ID: "b", Zone: "z1", Kind: "box", Cell: 2, State: Draining, Size: 15.25, ReadyAt: 16.25},
			Limit:  wantLimit, Unavailable: true, Ejected: true, LastProgress: 17.25, ProgressGap: 18.25, FaultShare: 19.25, Outcomes: 20,
			GoodChecks: 21, NextCheck: 22.25, CheckBackoff: 23.25, ServedTime: 24.25, ServedRate: 25.25, Tokens: 26.25, Refilled: 27.25,
		}},
		Classes:      []ClassSnapshot{{Name: "page", MeanSendTime: 28.25, HitTime: 29.25}},
		ObjectDepths: [2][]ObjectSnapshot{{{Name: "o", FirstParts: 30.25, Parts: 31.25}}, {}},
	}
	var got Snapshot
	if err := cbor.Unmarshal(encoded, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, want %+v; error %v", got, want, err)
	}
	reencoded, err := cbor.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var asStored, asEncoded map[string]any
	if err := cbor.Unmarshal(encoded, &asStored); err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(reencoded, &asEncoded); err != nil || !reflect.DeepEqual(asEncoded, asStored) {
		t.Errorf("encoded %v, want %v; error %v", asEncoded, asStored, err)
	}
}
