// Package loadgen sends requests to running routers as users do: open-loop arrivals with a given
// distribution, objects by popularity, sessions that go from part to part and may stop early.
// Latencies count from when a request was due, so that a slow server does not get fewer requests
// and thereby better figures (coordinated omission).
//
// It measures and makes none of a router's decisions. arrivals.go draws the requests and their
// times from a seed, without I/O; record.go reads them from a journal or an access log; run.go
// sends them; plot.go plots the results.
package loadgen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat/distuv"

	"indigospool/internal/config"
)

// Script describes a load. Durations are in ms.
type Script struct {
	Load     LoadSettings    `edn:"load,required"`
	Arrivals ArrivalSettings `edn:"arrivals"`
	Classes  []Class         `edn:"class"`
}

// LoadSettings holds the settings of the load as a whole.
type LoadSettings struct {
	Place       config.Place
	Name        string   `edn:"@"`
	Targets     []string `edn:"targets"` // routers, host:port; sessions go to them in turn
	Length      float64  `edn:"length" def:"10000" min:"1"`
	WarmUp      float64  `edn:"warm" def:"1000" min:"0"` // requests due in this time at the beginning are not counted
	Seed        int      `edn:"seed" def:"1"`
	Conns       int      `edn:"conns" def:"512" min:"1"`    // per target; a request waits if none is free, and the wait counts in its latency
	MaxRequests int      `edn:"most" def:"1000000" min:"1"` // limit of the number of requests
}

// ArrivalSettings describes how sessions arrive.
type ArrivalSettings struct {
	Place  config.Place
	Kind   string  `edn:"@" def:"poisson" oneof:"steady poisson bursts waves"`
	Rate   float64 `edn:"rate" def:"100" min:"0.01"`       // mean requests per second
	Burst  float64 `edn:"burst" def:"20" min:"1"`          // used by bursts: mean number of sessions in a burst
	Period float64 `edn:"period" def:"10000" min:"10"`     // used by waves: period
	Depth  float64 `edn:"depth" def:"0.8" min:"0" max:"1"` // used by waves: the rate varies between (1-depth) and (1+depth) times the mean
}

// Class describes a class of requests.
type Class struct {
	Place               config.Place
	Name                string  `edn:"@,required"`
	Path                string  `edn:"path,required"`         // template with {object}; {group} is optional; {part} is required if and only if Parts is above 0
	Share               float64 `edn:"share" def:"1" min:"0"` // share of the requests, relative to the other classes
	Objects             int     `edn:"objects" def:"1000" min:"1"`
	Zipf                float64 `edn:"zipf" def:"1.1" min:"1.001"`
	Groups              int     `edn:"groups" def:"32" min:"1"`
	Parts               int     `edn:"parts" min:"0"`                  // maximum number of parts in a session; 0: the session is one request
	ContinueProbability float64 `edn:"stay" def:"0.9" min:"0" max:"1"` // probability that a session requests the next part
	Gap                 float64 `edn:"gap" def:"400" min:"0"`          // time from part to part
	LatencyObjective    float64 `edn:"aim" def:"400" min:"1"`
	Deadline            float64 `edn:"deadline" def:"5000" min:"1"`
}

// Check reports settings that are invalid or contradict each other.
func (s *Script) Check(f *config.Faults) {
	add := func(p config.Pos, key, what, remedy string) {
		*f = append(*f, config.Fault{Pos: p, Key: key, What: what, Remedy: remedy})
	}
	checkTargets(&s.Load, f)
	if s.Load.WarmUp >= s.Load.Length {
		add(s.Load.Place.Of("warm"), "load/warm", fmt.Sprintf("a warm-up of %v ms leaves nothing of a length of %v ms", s.Load.WarmUp, s.Load.Length), "lower it")
	}
	total := 0.0
	for _, c := range s.Classes {
		total += c.Share
		if !strings.HasPrefix(c.Path, "/") || !strings.Contains(c.Path, "{object}") {
			add(c.Place.Of("path"), "class/path", fmt.Sprintf("%q does not begin with / or has no {object}", c.Path), `write "/s/{group}/{object}"`)
		}
		if (c.Parts > 0) != strings.Contains(c.Path, "{part}") {
			add(c.Place.Of("path"), "class/path", fmt.Sprintf("path %q and (parts %d) don't go together", c.Path, c.Parts), "give both {part} and (parts n), or neither")
		}
	}
	if total <= 0 {
		add(s.Load.Place.Pos, "class", "no class has a share", "add (class name (path ...) (share x))")
	}
}

// checkTargets reports targets that are missing, malformed or not on this machine.
func checkTargets(l *LoadSettings, f *config.Faults) {
	add := func(p config.Pos, key, what, remedy string) {
		*f = append(*f, config.Fault{Pos: p, Key: key, What: what, Remedy: remedy})
	}
	if len(l.Targets) == 0 {
		add(l.Place.Pos, "load/targets", "no target is given", "add (targets host:port ...)")
	}
	for _, t := range l.Targets {
		host, _, err := net.SplitHostPort(t)
		switch {
		case err != nil:
			add(l.Place.Of("targets"), "load/targets", fmt.Sprintf("%q is not an address", t), "write host:port, as 127.0.0.1:8080")
		case host != "localhost" && !net.ParseIP(host).IsLoopback():
			add(l.Place.Of("targets"), "load/targets", fmt.Sprintf("%q is not a loopback address", t), "load goes to this machine only")
		}
	}
}

// Request is a request to send.
type Request struct {
	Due   float64 // ms from the beginning of the load
	Class int     // index of its class
	Path  string

	// Set for replayed requests only.
	Method           string      // empty: GET
	Fields           [][2]string // header fields
	Body             int64       // size in bytes; the content is zeros
	LatencyObjective float64     // ms; 0: that of the class
}

// Session is the requests of one client, in the order in which they are due.
type Session []Request

// Sessions draws sessions in the order in which they begin.
type Sessions struct {
	script           *Script
	rng              *rand.Rand
	now              float64
	burstLeft        int // sessions left in the present burst
	zipf             []*rand.Zipf
	cumulativeShares []float64 // of the sessions, by class
	rate             float64   // mean sessions per ms
	gap              distuv.Exponential
	burst            distuv.Poisson
}

// NewSessions returns the sessions of a script. The same seed gives the same sessions.
func NewSessions(script *Script) *Sessions {
	sessions := &Sessions{script: script, rng: rand.New(rand.NewPCG(uint64(script.Load.Seed), 0x10ad))}
	sessionShare, requestShare := 0.0, 0.0
	for i := range script.Classes {
		c := &script.Classes[i]
		sessions.zipf = append(sessions.zipf, rand.NewZipf(sessions.rng, c.Zipf, 1, uint64(c.Objects-1)))
		sessionShare += c.Share / c.meanRequests() // the share in sessions: requests divided by requests per session
		requestShare += c.Share
		sessions.cumulativeShares = append(sessions.cumulativeShares, sessionShare)
	}
	sessions.rate = script.Arrivals.Rate / 1000 * sessionShare / requestShare
	sessions.gap = distuv.Exponential{Rate: sessions.rate, Src: sessions.rng}
	sessions.burst = distuv.Poisson{Lambda: max(script.Arrivals.Burst-1, 1e-9), Src: sessions.rng}
	return sessions
}

// meanRequests returns the mean number of requests in a session of the class.
func (c *Class) meanRequests() float64 {
	if c.Parts == 0 {
		return 1
	}
	if c.ContinueProbability >= 1 {
		return float64(c.Parts)
	}
	return (1 - math.Pow(c.ContinueProbability, float64(c.Parts))) / (1 - c.ContinueProbability)
}

// Next returns the next session. ok is false when the session would begin after the end of the
// load.
func (d *Sessions) Next() (out Session, ok bool) {
	a := &d.script.Arrivals
	switch a.Kind {
	case "steady":
		d.now += 1 / d.rate
	case "bursts":
		if d.burstLeft == 0 {
			d.burstLeft = 1 + int(d.burst.Rand())
			d.now += d.gap.Rand() * a.Burst
		}
		d.burstLeft--
	case "waves": // thinning: draws arrivals at the peak rate and keeps a share of them
		for {
			d.now += d.gap.Rand() / (1 + a.Depth)
			if d.rng.Float64()*(1+a.Depth) <= 1+a.Depth*math.Sin(2*math.Pi*d.now/a.Period) {
				break
			}
		}
	default:
		d.now += d.gap.Rand()
	}
	if d.now >= d.script.Load.Length {
		return nil, false
	}
	position := d.rng.Float64() * d.cumulativeShares[len(d.cumulativeShares)-1]
	k := 0
	for k < len(d.cumulativeShares)-1 && position > d.cumulativeShares[k] {
		k++
	}
	c := &d.script.Classes[k]
	object := d.zipf[k].Uint64()
	group := (object*2654435761 + uint64(k)) % uint64(c.Groups)
	path := strings.NewReplacer("{group}", strconv.FormatUint(group, 10), "{object}", "o"+strconv.FormatUint(object, 10)).Replace(c.Path)
	due := d.now
	for part := 0; ; part++ {
		out = append(out, Request{Due: due, Class: k, Path: strings.Replace(path, "{part}", strconv.Itoa(part), 1)})
		if part+1 >= c.Parts || d.rng.Float64() >= c.ContinueProbability {
			return out, true
		}
		due += c.Gap
	}
}
