package configversion

import (
	"errors"
	"strings"
	"testing"
)

func TestRestart(t *testing.T) {
	version := New(7, validBody)
	test := newMachineTest(t).handle(Restored{Version: version, Age: 5000})
	if !hasAction(test, func(u Activate) bool { return u.Version.Number == 7 && !u.Stale }) {
		t.Fatalf("%+v", test.actions)
	}
	test.offer("a", New(6, validBody)).wantRejected("older than 7") // from a service that lost its latest state
	test.advance(60000)
	if !hasAction(test, func(w Warn) bool { return strings.Contains(w.Text, "no service has confirmed it") }) || test.machine.Running() != 7 {
		t.Errorf("%+v", test.actions)
	}
	test.offer("a", New(8, validBody)).wantAccepted(8)

	test = newMachineTest(t).handle(Restored{Version: version, Age: 700000})
	if !hasAction(test, func(u Activate) bool { return u.Stale }) {
		t.Errorf("an old version is not reported as stale: %+v", test.actions)
	}
	test = newMachineTest(t).handle(Restored{Err: errors.New("damaged")})
	if !hasAction[Warn](test, nil) || hasAction[Activate](test, nil) {
		t.Errorf("%+v", test.actions)
	}
	test.offer("a", New(1, validBody)).wantRunning(1)
	test = newMachineTest(t).handle(Restored{Version: New(9, body("ddd", "ssss", ""))})
	if hasAction[Activate](test, nil) {
		t.Error("a version that fails the checks is run after a restart")
	}
	test.offer("a", New(8, validBody)).wantRejected("older than 9")
}

// After a restart, members that were added or restarted by one of the stored versions
// are known to be recent; members of the oldest stored version are not.
func TestListedForAfterRestart(t *testing.T) {
	with := func(n int, members string) Version {
		return New(int64(n), append(body("ss", "ssss", ""), members...))
	}
	const old = `(member old (zone z) (start 3) (address "127.0.0.1:3"))`
	const added, restarted = `(member added (zone z) (address "127.0.0.1:1"))`, `(member restarted (zone z) (start 2) (address "127.0.0.1:2"))`
	restoredAfter := func(step float64) Restored {
		return Restored{Version: with(5, old+added+restarted), Age: 100 + step, Earlier: []StoredVersion{
			{with(2, old), 9000 + step},
			{with(3, old+strings.Replace(restarted, "start 2", "start 1", 1)), 5000 + step},
			{with(4, old+added+restarted), 700 + step}}}
	}
	// Ages are based on the wall clock, which may have been stepped.
	for _, step := range []float64{0, 3000, -3000, 3.6e6, -3.6e6} {
		test := newMachineTest(t).handle(restoredAfter(step))
		if !hasAction(test, func(u Activate) bool {
			return len(u.ListedFor) == 3 && u.ListedFor["added"] == 600 && u.ListedFor["restarted"] == 600 && u.ListedFor["old"] == 8900
		}) {
			t.Errorf("a step of %v ms: listed for %v", step, listedForOf(test))
		}
	}
	// The age of a version that appears younger than its successor is not used.
	back := restoredAfter(0)
	back.Earlier[2].Age = -3.6e6
	if test := newMachineTest(t).handle(back); !hasAction(test, func(u Activate) bool {
		return u.ListedFor["added"] == 0 && u.ListedFor["restarted"] == 0 && u.ListedFor["old"] == 8900
	}) {
		t.Errorf("clock set back between two versions: listed for %v", listedForOf(test))
	}
}

// listedForOf returns ListedFor of the activated version.
func listedForOf(test *machineTest) map[string]Millis {
	for _, action := range test.actions {
		if activate, ok := action.(Activate); ok {
			return activate.ListedFor
		}
	}
	return nil
}
