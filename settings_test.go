package indigospool

import "testing"

func TestInvalidSettings(t *testing.T) {
	for _, change := range []func(*Settings){
		func(s *Settings) { s.Classes = nil },
		func(s *Settings) { s.Classes = append(s.Classes, s.Classes[0]) },
		func(s *Settings) { s.WarmUpInitialShare = 2 },
		func(s *Settings) { s.ParentKind = s.OriginKind },
		func(s *Settings) { s.PurgeTime = -1 },
	} {
		settings := testSettings()
		change(&settings)
		if _, err := New(settings, 1); err == nil {
			t.Errorf("no error for %+v", settings)
		}
	}
}

// TestSettingsChange checks that new settings apply from then on and leave the state as it is: purges,
// members that warm up, and requests that have already arrived.
func TestSettingsChange(t *testing.T) {
	settings := testSettings()
	cold := row("e2", "z1", "box")
	cold.ReadyAt = 4900
	rig := newRig(t, settings, row("e1", "z1", "box"), cold, row("p1", "hub", "parent"), row("o1", "hub", "origin"))
	rig.handle(Purge{Object: "a"})
	_, actions := rig.request("once", "w", 0)
	if len(sends(actions)) != 1 {
		t.Fatalf("actions %+v, want one attempt", actions)
	}
	pending := sends(actions)[0]
	rig.now += 100
	next := settings
	next.Classes = append([]Class{{Name: "new", LatencyObjective: 100, Deadline: 1000, PriorityWeight: 1}}, settings.Classes...)
	for i := range next.Classes {
		if next.Classes[i].Name == "once" {
			next.Classes[i].Idempotency = Idempotent
		}
	}
	next.Zone, next.RouterIndex = "elsewhere", 9 // these are ignored
	next.WarmUpTime, next.MaxAttempts = 2*settings.WarmUpTime, 0
	rig.handle(SettingsChanged{next})
	if rig.router.settings.Zone != "z1" || rig.router.settings.RouterIndex != 0 || rig.router.settings.MaxAttempts != 4 {
		t.Errorf("zone %q, router index %d, maximum of %d attempts; want \"z1\", 0, 4", rig.router.settings.Zone, rig.router.settings.RouterIndex, rig.router.settings.MaxAttempts)
	}
	if _, actions := rig.request("new", "x", 0); len(sends(actions)) != 1 {
		t.Errorf("no attempt for a request of the new class: %+v", actions)
	}
	_, actions = rig.request("page", "a", 0)
	if got := sends(actions); len(got) != 1 || got[0].Age >= 101 {
		t.Errorf("attempts %+v, want one with a maximum age below 101 ms, since the object was purged", got)
	}
	if w := rig.router.warmUpShare(rig.router.members["e2"]); w > 0.21 {
		t.Errorf("warm-up share of the cold member is %v, want at most 0.21", w)
	}
	actions = rig.handle(Outcome{ID: pending.ID, Cache: pending.Cache, Result: Reset})
	if len(sends(actions)) != 0 || len(actions) != 1 {
		t.Errorf("a request that is not idempotent was retried after its class had changed: %+v", actions)
	}
	if _, ok := actions[0].(Fail); !ok {
		t.Errorf("action %+v, want a Fail", actions[0])
	}
	before := len(rig.router.classes)
	rig.handle(SettingsChanged{Settings{}})
	if len(rig.router.classes) != before {
		t.Error("invalid settings were applied")
	}
	settings.ParentKind, settings.OriginKind = "box", "origin"
	rig.handle(SettingsChanged{settings})
	if len(rig.router.byRole[parent]) != 2 || len(rig.router.byRole[edge]) != 0 {
		t.Errorf("roles after the kinds changed: %d parents, %d caches, want 2 and 0", len(rig.router.byRole[parent]), len(rig.router.byRole[edge]))
	}
}
