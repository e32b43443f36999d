package indigospool

import "testing"

// TestPurges checks that attempts after a purge of an object or a group accept only copies younger than
// the purge, and that the class's maximum age applies again when the purge is complete.
func TestPurges(t *testing.T) {
	rig := newRig(t, testSettings())
	rig.handle(Purge{Object: "x", Group: 3, Age: 100})
	rig.now += 50
	id, actions := rig.request("video", "x", 0)
	if send := rig.onlySend(actions); send.Age <= 0 || send.Age >= 150 {
		t.Errorf("maximum age %v ms, want less than 150 ms", send.Age)
	}
	rig.now += 10
	actions = rig.handle(Outcome{ID: id, Result: Errored, Took: 10})
	if send := rig.onlySend(actions); send.Age <= 0 || send.Age >= 160 {
		t.Errorf("retry: maximum age %v ms, want less than 160 ms", send.Age)
	}
	rig.handle(Purge{Group: 0, Age: 0})
	if _, actions = rig.request("page", "y", 0); rig.onlySend(actions).Age <= 0 || rig.onlySend(actions).Age > 1 {
		t.Errorf("directly after the purge of a group: maximum age %v ms, want at most 1 ms", rig.onlySend(actions).Age)
	}
	rig.wait(7000)
	if _, actions = rig.request("page", "y", 0); rig.onlySend(actions).Age != 8000 {
		t.Errorf("after the purge is complete: maximum age %v ms, want 8000 ms", rig.onlySend(actions).Age)
	}
}
