package discovery

import "testing"

// TestNames checks the names of states, which are those of the configuration, and of kinds,
// which are for logs.
func TestNames(t *testing.T) {
	for name, want := range map[string]State{"ready": Ready, "draining": Draining, "gone": Removed} {
		if got, ok := parseState(name); got != want || !ok || want.String() != name {
			t.Errorf("%s: state %v, %v", name, got, ok)
		}
	}
	if _, ok := parseState("unknown"); ok || (Removed+1).String() != "unknown" {
		t.Error("an unknown state is accepted")
	}
	for want, kind := range map[string]Kind{"purge": Purge, "snapshot": Snapshot, "delta": Delta, "unknown": Delta + 1} {
		if got := kind.String(); got != want {
			t.Errorf("kind %d: %q, want %q", kind, got, want)
		}
	}
	for want, kind := range map[string]frameKind{"up to date": upToDateFrame, "snapshot": snapshotFrame, "delta": deltaFrame,
		"object purge": objectPurgeFrame, "group purge": groupPurgeFrame, "unknown kind 9": 9} {
		if got := kind.String(); got != want {
			t.Errorf("frame kind %d: %q, want %q", kind, got, want)
		}
	}
}
