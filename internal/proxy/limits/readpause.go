package limits

// ReadPauseSettings bound the time that a router spends on rejecting requests.
type ReadPauseSettings struct {
	Share    float64 // of the router's time
	Interval float64 // ms over which the share is measured
	MaxPause float64 // ms
}

// DefaultReadPause returns the settings that routers use.
func DefaultReadPause() ReadPauseSettings {
	return ReadPauseSettings{Share: 0.015, Interval: 100, MaxPause: 200}
}

// ReadPause computes for how long the router does not read a connection after it has rejected a
// request on it. A rejection costs two system calls, and the client may retry at once: at
// several times the load that the router can serve, rejections would take the time needed for
// serving. In an interval in which they take more than their share of the time, the pause
// doubles; below half the share it halves, and ends when it gets short. Clients that obey
// Retry-After are not delayed.
//
// Times are in milliseconds on the caller's clock.
type ReadPause struct {
	settings      ReadPauseSettings
	pause         float64 // ms
	cost          float64 // ms spent on rejections in the current interval
	intervalBegan float64
}

// NewReadPause returns a ReadPause without a pause.
func NewReadPause(settings ReadPauseSettings) *ReadPause { return &ReadPause{settings: settings} }

// AddCost records how long a rejection took, in ms.
func (p *ReadPause) AddCost(ms float64) { p.cost += ms }

// Tick adapts the pause at the end of each interval. It must be called at least once per
// interval.
func (p *ReadPause) Tick(now float64) {
	elapsed := now - p.intervalBegan
	if elapsed < p.settings.Interval {
		return
	}
	shortest := p.settings.Interval / 10 // a pause that gets shorter than this is set to 0
	share := p.cost / elapsed
	switch {
	case share > p.settings.Share:
		p.pause = min(max(2*p.pause, shortest), p.settings.MaxPause)
	case share < p.settings.Share/2:
		p.pause /= 2
		if p.pause < shortest {
			p.pause = 0
		}
	}
	p.cost = 0
	p.intervalBegan = now
}

// Duration returns the pause, in ms, of a connection whose request is rejected now; 0 is none.
func (p *ReadPause) Duration() float64 { return p.pause }
