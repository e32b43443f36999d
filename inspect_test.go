package indigospool

import (
	"slices"
	"testing"
)

// TestCandidates checks that every considered member is reported in the order of consideration, and
// that the last one is the chosen member.
func TestCandidates(t *testing.T) {
	rig := newRig(t, testSettings())
	rig.router.eject(rig.router.members["e1"])
	rig.router.eject(rig.router.members["e2"])
	var candidates []Candidate
	rig.router.Explain(func(candidate Candidate) { candidates = append(candidates, candidate) })
	reasons := map[string]Reason{}
	for range 40 { // enough that each ejected cache is the first choice for some of the objects
		candidates = nil
		id, actions := rig.request("page", string(rune('a'+rig.requests)), 0)
		send := rig.onlySend(actions)
		for _, candidate := range candidates {
			if candidate.Request != id || candidate.AsSource || candidate.Pass != 0 {
				t.Fatalf("candidate %+v, want a target of request %s in pass 0", candidate, id)
			}
			reasons[candidate.Member] = candidate.Reason
		}
		if last := candidates[len(candidates)-1]; last.Member != send.Cache || last.Reason != ReasonAccepted {
			t.Fatalf("sent to %s, the last candidate is %+v", send.Cache, last)
		}
		rig.handle(Outcome{ID: id, Cache: send.Cache, Result: OK, Took: 1, Last: true, Note: NoteHit})
	}
	if reasons["e1"] != ReasonEjected || reasons["e2"] != ReasonEjected || reasons["e3"] != ReasonAccepted {
		t.Errorf("reasons %v, want %d of e1 and e2, %d of e3", reasons, ReasonEjected, ReasonAccepted)
	}
	candidates = nil
	rig.router.Explain(nil)
	rig.request("page", "x", 0)
	if len(candidates) > 0 {
		t.Errorf("candidates reported after the function was removed: %v", candidates)
	}
}

// TestCandidateWithoutMember checks that a reason that concerns the request itself is reported without
// a member.
func TestCandidateWithoutMember(t *testing.T) {
	rig := newRig(t, testSettings())
	id, actions := rig.request("video", "x", 0)
	send := rig.onlySend(actions)
	rig.router.link.limit = 0
	var candidates []Candidate
	rig.router.Explain(func(candidate Candidate) { candidates = append(candidates, candidate) })
	rig.handle(Outcome{ID: id, Cache: send.Cache, Result: Miss})
	if !slices.Contains(candidates, Candidate{Request: id, AsSource: true, Reason: ReasonLinkAtLimit}) {
		t.Errorf("candidates %+v, want one without a member and with the reason %d", candidates, ReasonLinkAtLimit)
	}
}

// TestStatuses checks the reported status of members and of the link.
func TestStatuses(t *testing.T) {
	rig := newRig(t, testSettings())
	_, send, _ := rig.requestFill("page", "x", 0)
	source := rig.router.members[send.Source]
	rig.router.eject(source)
	source.faultShare, source.slowShare = 0.5, 0.25
	members, link := rig.router.Statuses()
	if len(members) != len(baseRows()) {
		t.Errorf("%d members, want %d", len(members), len(baseRows()))
	}
	if got, want := members[send.Cache], (Status{InFlight: 1, Limit: initialLimit}); got != want {
		t.Errorf("target: %+v, want %+v", got, want)
	}
	if got, want := members[send.Source], (Status{Limit: initialLimit, SlowShare: 0.25, FaultShare: 0.5, Ejected: true}); got != want {
		t.Errorf("source: %+v, want %+v", got, want)
	}
	if want := (Status{InFlight: 1, Limit: initialLimit}); link != want {
		t.Errorf("link: %+v, want %+v", link, want)
	}
}
