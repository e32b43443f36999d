// Package stallmeter measures for how long a test process was not run. Tests add that time to the
// bounds for what they measure by the clock: on a busy machine it is not the tested program's.
package stallmeter

import (
	"sync"
	"time"
)

// interval is the time between two looks at the clock.
const interval = time.Millisecond

// Meter measures stalls from Start to Stop.
type Meter struct {
	mu      sync.Mutex
	longest time.Duration
	stopped chan struct{}
	done    sync.WaitGroup
}

// Start begins to measure.
func Start() *Meter {
	m := &Meter{stopped: make(chan struct{})}
	m.done.Go(m.run)
	return m
}

// Stop ends the measurement and returns the longest stall.
func (m *Meter) Stop() time.Duration {
	close(m.stopped)
	m.done.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.longest
}

func (m *Meter) run() {
	for last := time.Now(); ; {
		select {
		case <-m.stopped:
			return
		case <-time.After(interval):
		}
		now := time.Now()
		m.mu.Lock()
		m.longest = max(m.longest, now.Sub(last)-interval)
		m.mu.Unlock()
		last = now
	}
}
