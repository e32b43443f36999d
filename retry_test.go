package indigospool

import (
	"fmt"
	"strconv"
	"testing"
)

// TestIdempotency checks, by class and result, whether a request is retried or fails after an attempt that
// may have run, and that its retry stays in the cell that remembers its idempotency key.
func TestIdempotency(t *testing.T) {
	cells := baseRows()
	cells[0].Cell, cells[1].Cell, cells[2].Cell = 1, 2, 2
	for _, test := range []struct {
		class  string
		result Result
		after  Millis
		sends  int
		fail   bool // the final answer must be a failure
	}{
		{"once", Reset, 1, 0, true},
		{"once", TimedOut, 1, 0, true},
		{"once", ConnectFailed, 1, 1, false},
		{"once", Rejected, 1, 1, false},
		{"save", Reset, 1, 1, false},
		{"save", Reset, 2100, 0, true},
		{"keyed", Reset, 2100, 0, true},
		{"page", Reset, 1, 1, false},
	} {
		rig := newRig(t, testSettings(), cells...)
		id, actions := rig.request(test.class, "x", 0)
		first := rig.onlySend(actions)
		rig.now += test.after
		actions = rig.handle(Outcome{ID: id, Cache: first.Cache, Result: test.result, Took: test.after})
		if got := len(sends(actions)); got != test.sends {
			t.Errorf("class %s, result %d after %v ms: %d attempts follow, want %d", test.class, test.result, test.after, got, test.sends)
		}
		if n, fail := finalAnswers(actions); test.sends == 0 && (n != 1 || fail != test.fail) {
			t.Errorf("class %s, result %d after %v ms: %d final answers, want 1; failed: %v, want %v", test.class, test.result, test.after, n, fail, test.fail)
		}
	}
	cell := map[string]int{"e1": 1, "e2": 2, "e3": 2}
	for i := range 20 { // a request whose key is remembered in the cell stays in the cell after it may have run
		rig := newRig(t, testSettings(), cells...)
		id, actions := rig.request("keyed", fmt.Sprint("x", i), 0)
		a := rig.onlySend(actions)
		for _, b := range sends(rig.handle(Outcome{ID: id, Cache: a.Cache, Result: Reset, Took: 1})) {
			if cell[b.Cache] != cell[a.Cache] || cell[b.Cache] == 0 {
				t.Fatalf("a request that may have run at %s was retried at %s, in another cell", a.Cache, b.Cache)
			}
		}
	}
}

// TestBackoffAfterRejection checks that a cache that rejects fills, where no other can be asked, gets
// the next attempt after a backoff. Otherwise a request would use up all its attempts within
// milliseconds. A cache that has not rejected the request is asked without backoff.
func TestBackoffAfterRejection(t *testing.T) {
	settings := testSettings()
	settings.DirectAttempts = false
	rig := newRig(t, settings, row("e1", "z1", "box"), row("e2", "z1", "box"), row("p1", "hub", "parent"), row("o1", "hub", "origin"))
	id, send, attempt := rig.requestFill("page", "x", 0)
	lastAttempt := map[string]Millis{}
	intervals := map[string][]Millis{}
	ended := false
	actions := []Action(nil)
	for began := rig.now; rig.now < began+1500 && !ended; {
		intervals[send.Cache] = append(intervals[send.Cache], rig.now-lastAttempt[send.Cache])
		lastAttempt[send.Cache] = rig.now
		for actions = rig.handle(Outcome{ID: id, Attempt: attempt, Cache: send.Cache, Result: Rejected, Took: 0.1, Note: NoteNoCapacity}); len(sends(actions)) == 0; actions = rig.wait(5) {
			if answers, _ := finalAnswers(actions); answers > 0 || rig.now >= began+1500 {
				ended = true
				break
			}
		}
		for attempt++; !ended; attempt++ {
			send = rig.onlySend(actions)
			if send.Source != send.Cache {
				break
			}
			actions = rig.handle(Outcome{ID: id, Attempt: attempt, Cache: send.Cache, Result: Miss, Took: 0.1})
		}
	}
	if len(intervals) != 2 {
		t.Fatalf("intervals between the attempts at each cache: %v, want attempts at both", intervals)
	}
	repeats := 0
	for id, list := range intervals {
		for i, since := range list {
			if i == 0 {
				continue
			}
			if repeats++; since < 20 {
				t.Errorf("%s is asked again after %v ms, want at least 20 ms", id, since)
			}
		}
	}
	if repeats == 0 {
		t.Errorf("intervals between the attempts at each cache: %v, want a second attempt at one of them", intervals)
	}
}

// TestBackoffFromShortage checks that the retries of a write that the origin rejects are spread over
// the time to its deadline, at different times for different requests, and that a shortage at the
// origin lowers the limit of the link.
func TestBackoffFromShortage(t *testing.T) {
	rig := newRig(t, testSettings())
	var first []Millis
	for range 2 {
		id, actions := rig.request("save", "o"+strconv.Itoa(rig.requests), 0)
		begin, attempts, last := rig.now, 0, rig.now
		for rig.now < begin+3000 {
			for list := sends(actions); len(list) > 0; list = sends(actions) {
				if attempts == 1 {
					first = append(first, rig.now-begin)
				}
				attempts, last = attempts+1, rig.now
				actions = rig.handle(Outcome{ID: id, Cache: list[0].Cache, Attempt: attempts - 1, Result: Rejected, Note: NoteSourceRejected})
			}
			actions = rig.wait(tickInterval)
		}
		if attempts < 3 || attempts > 6 || last-begin < 1000 {
			t.Errorf("%d attempts, the last after %v ms; want 3 to 6, the last after at least 1000 ms", attempts, last-begin)
		}
	}
	if len(first) != 2 || first[0] == first[1] || min(first[0], first[1]) < 50 {
		t.Errorf("the second attempts follow after %v ms, want two different times of at least 50 ms", first)
	}
	before := rig.router.link.limit
	for i := range 40 {
		id, send, attempt := rig.requestFill("page", fmt.Sprint("s", i), 0)
		rig.handle(Outcome{ID: id, Cache: send.Cache, Attempt: attempt, Result: Rejected, Note: NoteOriginFailed, Took: 5})
		rig.wait(200)
		if rig.router.link.limit < before/2 {
			return
		}
	}
	t.Errorf("limit of the link is %v, want less than half of %v", rig.router.link.limit, before)
}

// TestRetryReserve checks that the last tokens of the retry budget are reserved for the classes of the
// highest priority weight. Without the reserve, reads used up the budget in an overload, and a third of
// the writes that the origin had rejected were not retried, with up to 2.9 s left to their deadlines of
// 3 s.
func TestRetryReserve(t *testing.T) {
	for _, test := range []struct {
		class   string
		budget  float64
		retries bool
	}{
		{"page", retryReserve + 1, true},
		{"page", retryReserve + 0.9, false},
		{"video", retryReserve + 0.9, false},
		{"save", retryReserve + 0.9, true},
		{"save", 1, true},
		{"save", 0.9, false},
		{"once", 1, true},
	} {
		t.Run(fmt.Sprint(test.class, "/", test.budget), func(t *testing.T) {
			rig := newRig(t, testSettings())
			id, actions := rig.request(test.class, "x", 0)
			first := rig.onlySend(actions)
			rig.router.retryTokens = test.budget
			actions = rig.handle(Outcome{ID: id, Cache: first.Cache, Result: ConnectFailed, Took: 1})
			if again := len(sends(actions)) == 1; again != test.retries {
				t.Errorf("retried: %v, want %v: %v", again, test.retries, actions)
			}
		})
	}
}

// TestLocalFailure checks that a request survives a period in which the machine has no descriptors,
// ports or buffers. When this was reported as NotSent, a request used up six attempts within 1 ms and
// was rejected with 3,000 ms left to its deadline.
func TestLocalFailure(t *testing.T) {
	for _, class := range []string{"page", "save", "once", "keyed"} {
		for _, shortage := range []Millis{1, 50, 2000} {
			t.Run(fmt.Sprint(class, "/", shortage), func(t *testing.T) {
				rig := newRig(t, testSettings())
				id, actions := rig.request(class, "x", 0)
				shortageEnd, sent := rig.now+shortage, map[Millis]int{}
				for attempt, arrived := 0, rig.now; rig.now < arrived+2900; {
					if count, _ := finalAnswers(actions); count > 0 {
						t.Fatalf("a final answer %.0f ms after the request: %v", rig.now-arrived, actions)
					}
					if len(sends(actions)) == 0 {
						actions = rig.wait(tickInterval)
						continue
					}
					send := rig.onlySend(actions)
					if sent[rig.now]++; sent[rig.now] > 1 {
						t.Fatalf("%d attempts at the same time, %.0f ms after the request", sent[rig.now], rig.now-arrived)
					}
					result := LocalFailure
					if rig.now >= shortageEnd {
						result = OK
					}
					actions = rig.handle(Outcome{ID: id, Cache: send.Cache, Attempt: attempt, Result: result, Last: result == OK})
					attempt++
					if result == OK {
						if late := rig.now - shortageEnd; late > 2*maxLocalBackoff {
							t.Errorf("served %.0f ms after the shortage, want at most %.0f ms", late, 2*maxLocalBackoff)
						}
						if attempt > 60 {
							t.Errorf("%d attempts, want at most 60", attempt)
						}
						return
					}
				}
				t.Error("the request is not served within 2900 ms")
			})
		}
	}
}

// TestLocalFailureUsesNoBudget checks that an attempt that ends with LocalFailure leaves the counts in
// flight, the retry budget and the fault shares of the members unchanged.
func TestLocalFailureUsesNoBudget(t *testing.T) {
	rig := newRig(t, testSettings())
	id, send, attempt := rig.requestFill("page", "x", 0)
	at, source := rig.router.members[send.Cache], rig.router.members[send.Source]
	retries := rig.router.retryTokens
	before := [...]float64{at.inFlight, rig.router.link.inFlight, at.faultShare, source.faultShare}
	rig.handle(Outcome{ID: id, Cache: send.Cache, Attempt: attempt, Result: LocalFailure})
	after := [...]float64{at.inFlight + 1, rig.router.link.inFlight + 1, at.faultShare, source.faultShare}
	if before != after || rig.router.retryTokens != retries || at.ejected || source.ejected {
		t.Errorf("in flight at the cache and on the link, fault shares of the cache and the source: %v before, %v after; retry tokens %v before, %v after; ejected: cache %v, source %v",
			before, after, retries, rig.router.retryTokens, at.ejected, source.ejected)
	}
}

// TestLocalFailureRetriesElsewhere checks that a request goes to another member after repeated local
// failures, since a missing route or port may concern one member only.
func TestLocalFailureRetriesElsewhere(t *testing.T) {
	rig := newRig(t, testSettings())
	id, actions := rig.request("page", "x", 0)
	first := rig.onlySend(actions).Cache
	for attempt := range 8 {
		for len(sends(actions)) == 0 {
			actions = rig.wait(tickInterval)
		}
		if send := rig.onlySend(actions); send.Cache != first {
			return
		}
		actions = rig.handle(Outcome{ID: id, Cache: first, Attempt: attempt, Result: LocalFailure})
	}
	t.Errorf("eight attempts, all of them at %s, want one at another cache", first)
}

// TestKeyScope checks for each scope that a request with an idempotency key that may have run is only
// sent to members that remember the key.
func TestKeyScope(t *testing.T) {
	executed := &member{Member: Member{ID: "a", Zone: "z1", Cell: 1}}
	sameCell := &member{Member: Member{ID: "b", Zone: "z1", Cell: 1}}
	otherCell := &member{Member: Member{ID: "c", Zone: "z1", Cell: 2}}
	otherZone := &member{Member: Member{ID: "d", Zone: "z2", Cell: 1}}
	for _, test := range []struct {
		group Scope
		want  [4]bool // in the order of the members above
	}{
		{ScopeNone, [4]bool{true, false, false, false}},
		{ScopeCell, [4]bool{true, true, false, false}},
		{ScopeZone, [4]bool{true, true, true, false}},
		{ScopeAll, [4]bool{true, true, true, true}},
	} {
		request := &request{class: &class{Class: Class{Idempotency: IdempotentByKey, KeyScope: test.group}}}
		request.recordExecution(executed, 0)
		var got [4]bool
		for i, member := range []*member{executed, sameCell, otherCell, otherZone} {
			got[i] = request.mayRunAt(member)
		}
		if got != test.want {
			t.Errorf("scope %d: may run at the same cache, in its cell, in its zone, elsewhere: %v, want %v", test.group, got, test.want)
		}
	}
}

// A request with an idempotency key was sent on to the cell of a restarted cache, though it may have
// run while the cache was in another cell, whose caches remember the key.
func TestKeyScopeOfRestartedCache(t *testing.T) {
	settings := testSettings()
	settings.DirectAttempts = false
	rows := baseRows()
	for i := range rows {
		rows[i].Cell = i % 2 // e1 and e3 in cell 0, e2 in cell 1
	}
	for _, moved := range []bool{false, true} {
		rig := newRig(t, settings, rows...)
		id, actions := rig.request("keyed", "object", 0)
		first := rig.onlySend(actions).Cache
		cells := map[string]int{}
		var restarted Member
		for _, member := range rows {
			cells[member.ID] = member.Cell
			if member.ID == first {
				restarted = member
			}
		}
		restarted.ReadyAt = rig.now
		if moved {
			restarted.Cell = 1 - restarted.Cell
		}
		rig.handle(Members{Rows: []Member{restarted}})
		actions = rig.handle(Outcome{ID: id, Attempt: 0, Cache: first, Result: Reset, Took: 1})
		for attempt := 1; attempt < 5; attempt++ {
			actions = append(actions, rig.wait(200)...)
			for _, send := range sends(actions) {
				if cells[send.Cache] != cells[first] || moved && send.Cache == first {
					t.Errorf("moved %v: sent to %s in cell %d after it may have run at %s in cell %d", moved, send.Cache, cells[send.Cache], first, cells[first])
				}
				actions = rig.handle(Outcome{ID: id, Attempt: attempt, Cache: send.Cache, Result: Reset, Took: 1})
			}
		}
	}
}
