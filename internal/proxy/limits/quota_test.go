package limits

import (
	"testing"
)

func TestConnectionQuota(t *testing.T) {
	for _, n := range []int{32, 256, 1024} {
		p := NewConnectionQuota(n)
		if p.Clients+p.Members > n || p.Clients < n/10 || p.Members < 2 || n >= 256 && p.Clients < n/3 {
			t.Errorf("%d descriptors: %+v", n, p)
		}
		if k := p.PerMember(4); k < 1 || k*4 > max(p.Members, 8) {
			t.Errorf("%d descriptors: %d to a member of 4", n, k)
		}
	}
	now := 100000.0
	for _, c := range []struct {
		name string
		v    ClientActivity
		goes bool
	}{
		{"just came", ClientActivity{Since: now - 1000}, false},
		{"says nothing", ClientActivity{Since: now - 2500}, true},
		{"says half", ClientActivity{Since: now - 9000, Last: now - 3000, Half: now - 2500, Messages: 3, Open: 1}, true},
		{"waits for an answer", ClientActivity{Since: now - 9000, Last: now - 9000, Messages: 3, Open: 1}, false},
		{"takes no answer", ClientActivity{Since: now - 9000, Last: now, Stuck: now - 3000, Messages: 3, Open: 1}, true},
		{"between two requests", ClientActivity{Since: now - 9000, Last: now - 3900, Messages: 3}, false},
		{"asked once and stays", ClientActivity{Since: now - 9000, Last: now - 8000, Messages: 1}, true},
	} {
		if c.v.Expired(now) != c.goes {
			t.Errorf("%s: goes is %v", c.name, !c.goes)
		}
	}
	busy, silent := &ClientActivity{Open: 1, Messages: 9}, &ClientActivity{Since: 500}
	early, late := &ClientActivity{Last: 100, Messages: 2}, &ClientActivity{Last: 200, Messages: 2}
	if busy.ClosesBefore(nil) || !silent.ClosesBefore(early) || early.ClosesBefore(silent) || !early.ClosesBefore(late) || late.ClosesBefore(early) || !late.ClosesBefore(busy) {
		t.Error("the wrong one yields")
	}
}
