package limits

import (
	"testing"
)

// TestConnectionQuota checks that clients and members both get descriptors, however few there
// are, which client connections expire, and in which order they are closed for others.
func TestConnectionQuota(t *testing.T) {
	for _, descriptors := range []int{32, 256, 1024} {
		quota := NewConnectionQuota(descriptors)
		if quota.Clients+quota.Members > descriptors || quota.Clients < descriptors/10 || quota.Members < 2 || descriptors >= 256 && quota.Clients < descriptors/3 {
			t.Errorf("%d descriptors: %+v, want a sum of at most %d, Clients at least a tenth (with 256 or more a third), Members at least 2",
				descriptors, quota, descriptors)
		}
		if each := quota.PerMember(4); each < 1 || each*4 > max(quota.Members, 8) {
			t.Errorf("%d descriptors: %d connections to each of 4 members, want at least 1 and in total at most %d", descriptors, each, max(quota.Members, 8))
		}
	}
	now := 100000.0
	for _, c := range []struct {
		name     string
		activity ClientActivity
		expired  bool
	}{
		{"just accepted", ClientActivity{AcceptedAt: now - 1000}, false},
		{"sends nothing", ClientActivity{AcceptedAt: now - 2500}, true},
		{"sends an incomplete message", ClientActivity{AcceptedAt: now - 9000, LastUsed: now - 3000, LastPartial: now - 2500, Messages: 3, OpenRequests: 1}, true},
		{"waits for an answer", ClientActivity{AcceptedAt: now - 9000, LastUsed: now - 9000, Messages: 3, OpenRequests: 1}, false},
		{"does not read the answer", ClientActivity{AcceptedAt: now - 9000, LastUsed: now, StalledSince: now - 3000, Messages: 3, OpenRequests: 1}, true},
		{"between two requests", ClientActivity{AcceptedAt: now - 9000, LastUsed: now - 3900, Messages: 3}, false},
		{"idle after one request", ClientActivity{AcceptedAt: now - 9000, LastUsed: now - 8000, Messages: 1}, true},
	} {
		if c.activity.Expired(now) != c.expired {
			t.Errorf("%s: Expired is %v, want %v", c.name, !c.expired, c.expired)
		}
	}
	busy, silent := &ClientActivity{OpenRequests: 1, Messages: 9}, &ClientActivity{AcceptedAt: 500}
	early, late := &ClientActivity{LastUsed: 100, Messages: 2}, &ClientActivity{LastUsed: 200, Messages: 2}
	if busy.ClosesBefore(nil) || !silent.ClosesBefore(early) || early.ClosesBefore(silent) || !early.ClosesBefore(late) || late.ClosesBefore(early) || !late.ClosesBefore(busy) {
		t.Error("connections are not closed in the order silent, early, late, or a busy one is closed")
	}
}
