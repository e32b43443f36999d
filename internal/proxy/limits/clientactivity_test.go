package limits

import (
	"testing"
)

// TestClientActivityLingering checks the timeouts of an incomplete message and of a connection
// that was shut down, which is also the first to be closed for another.
func TestClientActivityLingering(t *testing.T) {
	for _, c := range []struct {
		name     string
		activity ClientActivity
		now      float64
		expired  bool
	}{
		{"bytes came recently", ClientActivity{PartialBegan: 1, LastPartial: 3000}, 5000, false},
		{"no bytes for too long", ClientActivity{PartialBegan: 1, LastPartial: 3000}, 5300, true},
		{"too long in total", ClientActivity{PartialBegan: 1, LastPartial: 8900}, 9000, true},
		{"shut down", ClientActivity{Messages: 1, ShutdownAt: 100}, 1000, false},
		{"shut down, and the client does not close", ClientActivity{Messages: 1, ShutdownAt: 100}, 1101, true},
	} {
		if got := c.activity.Expired(c.now); got != c.expired {
			t.Errorf("%s: Expired is %v at %v ms, want %v", c.name, got, c.now, c.expired)
		}
	}
	if shut, silent := (&ClientActivity{Messages: 3, LastUsed: 900, ShutdownAt: 950}), (&ClientActivity{AcceptedAt: 1}); !shut.ClosesBefore(silent) || silent.ClosesBefore(shut) {
		t.Errorf("closed first: shut down %v, silent %v; want true, false", shut.ClosesBefore(silent), silent.ClosesBefore(shut))
	}
}
