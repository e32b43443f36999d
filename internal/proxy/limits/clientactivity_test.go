package limits

import (
	"testing"
)

// TestClientActivityLingering: a message that comes in pieces is waited for, within a bound; a
// connection that was shut down is read for a while, and is the first to be closed.
func TestClientActivityLingering(t *testing.T) {
	for _, c := range []struct {
		name string
		v    ClientActivity
		now  float64
		over bool
	}{
		{"bytes came lately", ClientActivity{PartialBegan: 1, LastPartial: 3000}, 5000, false},
		{"none for long", ClientActivity{PartialBegan: 1, LastPartial: 3000}, 5300, true},
		{"for too long in all", ClientActivity{PartialBegan: 1, LastPartial: 8900}, 9000, true},
		{"shut", ClientActivity{Messages: 1, ShutdownAt: 100}, 1000, false},
		{"shut, and the client stays", ClientActivity{Messages: 1, ShutdownAt: 100}, 1101, true},
	} {
		if got := c.v.Expired(c.now); got != c.over {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	if shut, silent := (&ClientActivity{Messages: 3, LastUsed: 900, ShutdownAt: 950}), (&ClientActivity{AcceptedAt: 1}); !shut.ClosesBefore(silent) || silent.ClosesBefore(shut) {
		t.Error("one that was shut down is not closed first")
	}
}
