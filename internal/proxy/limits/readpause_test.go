package limits

import (
	"testing"
)

// TestReadPause: rejections take about their share of the time, however many clients retry at
// once; where few do there is no pause, and a pause ends with its reason.
func TestReadPause(t *testing.T) {
	const cost, connections = 0.01, 1500 // ms a rejection
	for _, rate := range []float64{0.5, 10, 100} {
		pause := NewReadPause(ReadPauseSettings{Share: 0.05, Interval: 100, MaxPause: 200})
		var readAgain []float64 // when each connection is read again, in order
		spent, now := 0.0, 0.0
		for ; now < 20000; now++ {
			for range int(rate) + 1 { // that ask, of those that are read
				for len(readAgain) > 0 && readAgain[0] <= now {
					readAgain = readAgain[1:]
				}
				if len(readAgain) >= connections || rate < 1 && int(now)%2 == 1 {
					continue
				}
				pause.AddCost(cost)
				if now > 5000 {
					spent += cost
				}
				if ms := pause.Duration(); ms > 0 {
					readAgain = append(readAgain, now+ms)
				}
			}
			pause.Tick(now)
		}
		share := spent / 15000
		if share > 0.12 || rate < 1 && pause.Duration() > 0 || rate > 50 && (pause.Duration() == 0 || share < 0.02) {
			t.Errorf("%v a ms: %.3f of the time, paused for %v ms", rate, share, pause.Duration())
		}
		for range 12 {
			now += 100
			pause.Tick(now)
		}
		if pause.Duration() > 0 {
			t.Errorf("%v a ms: still paused for %v ms, for nothing", rate, pause.Duration())
		}
	}
}
