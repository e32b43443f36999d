package limits

// ReadPauseSettings bound what rejecting requests may cost.
type ReadPauseSettings struct {
	Share    float64 // of the router's time
	Interval float64 // ms over which that is measured
	MaxPause float64 // longest pause, in ms
}

// DefaultReadPause returns the settings that routers use.
func DefaultReadPause() ReadPauseSettings {
	return ReadPauseSettings{Share: 0.015, Interval: 100, MaxPause: 200}
}

// ReadPause is for how long a connection whose request was rejected is not read again. A
// rejection costs two system calls, and its client may retry at once: at several times the
// load that a router can serve, rejecting would take the time of serving. While it takes more
// than its share the pause doubles, otherwise it halves, down to none. Clients that wait as
// long as Retry-After says never notice.
//
// Times are in milliseconds on the caller's clock.
type ReadPause struct {
	settings      ReadPauseSettings
	pause         float64 // ms
	cost          float64 // ms, in the present interval
	intervalBegan float64
}

// NewReadPause makes a ReadPause that begins with no pause.
func NewReadPause(settings ReadPauseSettings) *ReadPause { return &ReadPause{settings: settings} }

// AddCost records how long a rejection took, in ms.
func (p *ReadPause) AddCost(ms float64) { p.cost += ms }

// Tick adapts the pause at the end of each interval. It has to be called at least once an
// interval.
func (p *ReadPause) Tick(now float64) {
	elapsed := now - p.intervalBegan
	if elapsed < p.settings.Interval {
		return
	}
	shortest := p.settings.Interval / 10 // below that there is no pause
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

// Duration is the pause of a connection whose request is rejected now, in ms; 0 is none.
func (p *ReadPause) Duration() float64 { return p.pause }
