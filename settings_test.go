package indigospool

import "testing"

func TestSettingsThatContradict(t *testing.T) {
	for _, change := range []func(*Settings){
		func(s *Settings) { s.Classes = nil },
		func(s *Settings) { s.Classes = append(s.Classes, s.Classes[0]) },
		func(s *Settings) { s.ColdFrom = 2 },
		func(s *Settings) { s.ParentKind = s.OriginKind },
		func(s *Settings) { s.PurgeTakes = -1 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil {
			t.Errorf("no error for %+v", s)
		}
	}
}

// Other settings change what is asked for from now on, and nothing that was
// learned or promised: purges, cold members, requests in hand.
func TestResettled(t *testing.T) {
	s := testSettings()
	cold := row("e2", "z1", "box")
	cold.ReadyAt = 4900
	g := newRig(t, s, row("e1", "z1", "box"), cold, row("p1", "hub", "parent"), row("o1", "hub", "origin"))
	g.do(Purge{Object: "a"})
	_, acts := g.ask("once", "w", 0)
	if len(sends(acts)) != 1 {
		t.Fatalf("%+v", acts)
	}
	hand := sends(acts)[0]
	g.now += 100
	next := s
	next.Classes = append([]Class{{Name: "new", Aim: 100, Deadline: 1000, Worth: 1}}, s.Classes...)
	for i := range next.Classes {
		if next.Classes[i].Name == "once" {
			next.Classes[i].Effect = Free
		}
	}
	next.Zone, next.Me = "elsewhere", 9 // a router's own: they stay
	next.ColdTime, next.MaxAttempts = 2*s.ColdTime, 0
	g.do(Resettled{next})
	if g.r.settings.Zone != "z1" || g.r.settings.Me != 0 || g.r.settings.MaxAttempts != 4 {
		t.Errorf("zone %q, me %d, attempts %d", g.r.settings.Zone, g.r.settings.Me, g.r.settings.MaxAttempts)
	}
	if _, acts := g.ask("new", "x", 0); len(sends(acts)) != 1 {
		t.Errorf("the new class is not taken: %+v", acts)
	}
	_, acts = g.ask("page", "a", 0)
	if got := sends(acts); len(got) != 1 || got[0].Age >= 101 {
		t.Errorf("the purge is forgotten: %+v", got)
	}
	if w := g.r.warmUpShare(g.r.members["e2"]); w > 0.21 {
		t.Errorf("the cold member is warm by %v", w)
	}
	acts = g.do(Outcome{ID: hand.ID, Cache: hand.Cache, Result: Reset})
	if len(sends(acts)) != 0 || len(acts) != 1 {
		t.Errorf("a single-shot request in hand was sent again after its class had changed: %+v", acts)
	}
	if _, ok := acts[0].(Fail); !ok {
		t.Errorf("%+v", acts)
	}
	before := len(g.r.classes)
	g.do(Resettled{Settings{}})
	if len(g.r.classes) != before {
		t.Error("settings that contradict themselves were taken")
	}
	s.ParentKind, s.OriginKind = "box", "origin"
	g.do(Resettled{s})
	if len(g.r.byRole[parent]) != 2 || len(g.r.byRole[edge]) != 0 {
		t.Errorf("roles by the old kinds: %d parents, %d edges", len(g.r.byRole[parent]), len(g.r.byRole[edge]))
	}
}
