package limits

// HoldSettings bound what turning requests away may cost. Spans are in ms.
type HoldSettings struct {
	Share    float64 // of the time
	Interval float64 // over which it is measured
	Most     float64 // that a connection is held
}

// UsualHold is what routers go by.
var UsualHold = HoldSettings{Share: 0.015, Interval: 100, Most: 200}

// Hold is for how long a connection whose request was turned away is not read again.
// A refusal costs two calls into the kernel, and who is refused may ask again at once:
// at several times what a router can do, refusing takes the time of answering. While
// it takes more than its share the hold doubles, and else it halves, down to none.
// Who waits as long as Retry-After says never notices.
type Hold struct {
	s     HoldSettings
	ms    float64
	spent float64
	since float64
}

// NewHold begins with none.
func NewHold(s HoldSettings) *Hold { return &Hold{s: s} }

// Spent says that turning a request away took so long.
func (h *Hold) Spent(ms float64) { h.spent += ms }

// Turn is to be called at least once an interval.
func (h *Hold) Turn(now float64) {
	span := now - h.since
	if span < h.s.Interval {
		return
	}
	switch share := h.spent / span; {
	case share > h.s.Share:
		h.ms = min(max(2*h.ms, h.s.Interval/10), h.s.Most)
	case share < h.s.Share/2:
		if h.ms /= 2; h.ms < h.s.Interval/10 {
			h.ms = 0
		}
	}
	h.spent, h.since = 0, now
}

// For is how long a connection is held now, in ms.
func (h *Hold) For() float64 { return h.ms }
