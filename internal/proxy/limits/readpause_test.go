package limits

import (
	"testing"
)

// TestReadPause checks that rejections take about their share of the time, however many clients
// retry at once, that few rejections cause no pause, and that a pause ends when rejections end.
func TestReadPause(t *testing.T) {
	const cost, connections = 0.01, 1500 // cost: ms per rejection
	for _, rate := range []float64{0.5, 10, 100} {
		pause := NewReadPause(ReadPauseSettings{Share: 0.05, Interval: 100, MaxPause: 200})
		var readAgain []float64 // when each connection is read again, in order
		spent, now := 0.0, 0.0
		for ; now < 20000; now++ {
			for range int(rate) + 1 { // requests on connections that are read
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
			t.Errorf("%v requests per ms: rejections take %.3f of the time, pause of %v ms; want at most 0.12, no pause below 1 per ms, and above 50 per ms a pause and at least 0.02",
				rate, share, pause.Duration())
		}
		for range 12 {
			now += 100
			pause.Tick(now)
		}
		if pause.Duration() > 0 {
			t.Errorf("%v requests per ms: still a pause of %v ms without rejections", rate, pause.Duration())
		}
	}
}
