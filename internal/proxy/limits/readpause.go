package limits

// ReadPauseSettings bound what turning requests away may cost. Spans are in ms.
type ReadPauseSettings struct {
	Share    float64 // of the time
	Interval float64 // over which it is measured
	Most     float64 // that a connection is held
}

// DefaultReadPause is what routers go by.
var DefaultReadPause = ReadPauseSettings{Share: 0.015, Interval: 100, Most: 200}

// ReadPause is for how long a connection whose request was turned away is not read again.
// A refusal costs two calls into the kernel, and who is refused may ask again at once:
// at several times what a router can do, refusing takes the time of answering. While
// it takes more than its share the hold doubles, and else it halves, down to none.
// Who waits as long as Retry-After says never notices.
type ReadPause struct {
	settings      ReadPauseSettings
	pause         float64
	cost          float64
	intervalBegan float64
}

// NewReadPause begins with none.
func NewReadPause(s ReadPauseSettings) *ReadPause { return &ReadPause{settings: s} }

// AddCost says that turning a request away took so long.
func (h *ReadPause) AddCost(ms float64) { h.cost += ms }

// Tick is to be called at least once an interval.
func (h *ReadPause) Tick(now float64) {
	span := now - h.intervalBegan
	if span < h.settings.Interval {
		return
	}
	switch share := h.cost / span; {
	case share > h.settings.Share:
		h.pause = min(max(2*h.pause, h.settings.Interval/10), h.settings.Most)
	case share < h.settings.Share/2:
		if h.pause /= 2; h.pause < h.settings.Interval/10 {
			h.pause = 0
		}
	}
	h.cost, h.intervalBegan = 0, now
}

// Duration is how long a connection is held now, in ms.
func (h *ReadPause) Duration() float64 { return h.pause }
