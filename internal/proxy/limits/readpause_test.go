package limits

import (
	"testing"
)

// Turning away takes about its share of the time, however many ask again at once; where
// few do nobody is held, and a hold ends with its reason.
func TestReadPause(t *testing.T) {
	const cost, conns = 0.01, 1500 // ms a refusal
	for _, rate := range []float64{0.5, 10, 100} {
		h := NewReadPause(ReadPauseSettings{Share: 0.05, Interval: 100, Most: 200})
		var back []float64 // when each connection is read again, in order
		spent, now := 0.0, 0.0
		for ; now < 20000; now++ {
			for range int(rate) + 1 { // that ask, of those that are read
				for len(back) > 0 && back[0] <= now {
					back = back[1:]
				}
				if len(back) >= conns || rate < 1 && int(now)%2 == 1 {
					continue
				}
				h.AddCost(cost)
				if now > 5000 {
					spent += cost
				}
				if ms := h.Duration(); ms > 0 {
					back = append(back, now+ms)
				}
			}
			h.Tick(now)
		}
		share := spent / 15000
		if share > 0.12 || rate < 1 && h.Duration() > 0 || rate > 50 && (h.Duration() == 0 || share < 0.02) {
			t.Errorf("%v a ms: %.3f of the time, held for %v ms", rate, share, h.Duration())
		}
		for range 12 {
			now += 100
			h.Tick(now)
		}
		if h.Duration() > 0 {
			t.Errorf("%v a ms: still held for %v ms, for nothing", rate, h.Duration())
		}
	}
}
