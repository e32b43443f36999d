package indigospool

import (
	"slices"
	"testing"
)

// TestLooks: a choice reports every member that it looked at, in that order, and the last one is
// the member that was taken.
func TestLooks(t *testing.T) {
	rig := newRig(t, testSettings())
	rig.router.eject(rig.router.members["e1"])
	rig.router.eject(rig.router.members["e2"])
	var looks []Look
	rig.router.Explain(func(look Look) { looks = append(looks, look) })
	reasons := map[string]Reason{}
	for range 40 { // so many that each ejected cache comes first for some
		looks = nil
		id, actions := rig.request("page", string(rune('a'+rig.requests)), 0)
		send := rig.onlySend(actions)
		for _, look := range looks {
			if look.Request != id || look.Source || look.Pass != 0 {
				t.Fatalf("%+v", look)
			}
			reasons[look.Member] = look.Why
		}
		if last := looks[len(looks)-1]; last.Member != send.Cache || last.Why != Taken {
			t.Fatalf("sent to %s, the last look is %+v", send.Cache, last)
		}
		rig.handle(Outcome{ID: id, Cache: send.Cache, Result: OK, Took: 1, Last: true, Note: NoteHit})
	}
	if reasons["e1"] != Suspect || reasons["e2"] != Suspect || reasons["e3"] != Taken {
		t.Errorf("reasons %v", reasons)
	}
	looks = nil
	rig.router.Explain(nil)
	rig.request("page", "x", 0)
	if len(looks) > 0 {
		t.Errorf("looks after the end: %v", looks)
	}
}

// TestLookOfFullLink: what concerns the request as such names no member.
func TestLookOfFullLink(t *testing.T) {
	rig := newRig(t, testSettings())
	id, actions := rig.request("video", "x", 0)
	send := rig.onlySend(actions)
	rig.router.link.limit = 0
	var looks []Look
	rig.router.Explain(func(look Look) { looks = append(looks, look) })
	rig.handle(Outcome{ID: id, Cache: send.Cache, Result: Miss})
	if !slices.Contains(looks, Look{Request: id, Source: true, Why: LinkFull}) {
		t.Errorf("looks %+v", looks)
	}
}

// TestBeliefs: what is known of members and of the link is reported as it is.
func TestBeliefs(t *testing.T) {
	rig := newRig(t, testSettings())
	_, send, _ := rig.requestFill("page", "x", 0)
	source := rig.router.members[send.Source]
	rig.router.eject(source)
	source.faultShare, source.slowShare = 0.5, 0.25
	members, link := rig.router.Beliefs()
	if len(members) != len(baseRows()) {
		t.Errorf("%d members", len(members))
	}
	if got, want := members[send.Cache], (Belief{Held: 1, Room: initialLimit}); got != want {
		t.Errorf("target: %+v, want %+v", got, want)
	}
	if got, want := members[send.Source], (Belief{Room: initialLimit, Tardy: 0.25, Faults: 0.5, Suspect: true}); got != want {
		t.Errorf("source: %+v, want %+v", got, want)
	}
	if want := (Belief{Held: 1, Room: initialLimit}); link != want {
		t.Errorf("link: %+v, want %+v", link, want)
	}
}
