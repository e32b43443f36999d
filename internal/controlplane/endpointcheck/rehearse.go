package endpointcheck

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"strings"
	"text/tabwriter"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/decisionlog/whatif"
	"indigospool/internal/protocol/http1"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/testbed/loadgen"
)

// RehearseOptions are how a change is rehearsed under load. Zero fields mean the
// defaults.
type RehearseOptions struct {
	Load     *loadgen.Script // whose paths, shares, objects and arrivals count; nil: one made from the routes
	Rate     float64         // requests a second of all routers; default 5 a router, or the load's
	Before   float64         // ms under the old list, in which caches fill; default 60000
	After    float64         // ms under the new one; default 60000
	Lag      float64         // ms within which all routers hear of a change, each at its own moment; default 1000
	Capacity float64         // transfers at once that a member bears whose (size) is no capacity; default 50
	KB       float64         // of an object or part whose route states no size; default 100
	Seed     uint64
}

func (o RehearseOptions) filled() RehearseOptions {
	for _, d := range []struct {
		v *float64
		x float64
	}{{&o.Before, 60000}, {&o.After, 60000}, {&o.Capacity, 50}, {&o.KB, 100}} {
		if *d.v <= 0 {
			*d.v = d.x
		}
	}
	if o.Lag < 0 {
		o.Lag = 0
	}
	return o
}

// Pressure is what a member, or a zone's link, is given against what it can take.
type Pressure struct {
	Name   string  `json:"name"`
	Role   string  `json:"role"`         // parent, origin, cache or link
	New    bool    `json:"new"`          // it comes with the change, cold
	Before float64 `json:"before"`       // share of its capacity in use before the change
	Peak   float64 `json:"peak"`         // the highest over a FallTime after it, of the present capacity
	At     float64 `json:"at_s"`         // seconds after the change at which that was
	Over   int     `json:"over_s"`       // seconds in which it was given more than it can take
	Fell   float64 `json:"fell_s"`       // seconds after the change at which it would have fallen over; 0: it would not
	MB     float64 `json:"refill_mb"`    // of fills beyond the rate before
	Bears  float64 `json:"bears"`        // of a new member: transfers at once that it bears at first
	Warm   float64 `json:"warm_after_s"` // and when it bears all
}

// Pushed reports whether the change pushes it over, or beyond what it can take for
// longer than a FallTime, where it was not before.
func (p Pressure) Pushed() bool { return p.Fell > 0 || p.Before <= 1 && p.Peak > 1 }

// Answers are what became of the requests of a span.
type Answers struct {
	Requests int64   `json:"requests"`
	InTime   float64 `json:"in_time"` // share
	Refused  float64 `json:"refused"`
}

// Rehearsal is a change of a list under load, in simulated time.
type Rehearsal struct {
	Routers  int        `json:"routers"`
	Rate     float64    `json:"rate"`
	Before   Answers    `json:"before"` // in the last seconds before the change
	First    Answers    `json:"first"`  // in the first seconds after it
	After    Answers    `json:"after"`  // from then on
	Pressure []Pressure `json:"pressure"`
	Assumed  []string   `json:"assumed,omitempty"` // what the list does not say
	Events   int64      `json:"events"`
}

// OK reports that the change pushes nobody over.
func (r *Rehearsal) OK() bool {
	for i := range r.Pressure {
		if r.Pressure[i].Pushed() {
			return false
		}
	}
	return true
}

const (
	settled = 10000 // ms before the change over which what was is measured
	early   = 10000 // ms after it that are told apart
	noted   = 0.5   // part of a link's use from which it is shown
	start   = 1e6   // when the rehearsal begins, on its own clock
)

// Rehearse plays a change of a list under load: every router of the fleet, each with
// a core of its own, before cache models that they share.
func Rehearse(before, after string, o RehearseOptions) (*Rehearsal, error) {
	o = o.filled()
	var was, is config.Settings
	if err := errors.Join(config.ReadVersion("old", before, nil, &was), config.ReadVersion("new", after, nil, &is)); err != nil {
		return nil, err
	}
	p := &play{o: o, was: &was, is: &is, rep: &Rehearsal{}, seconds: map[string]map[int]whatif.Spent{}, links: map[string]map[int]float64{},
		rng: rand.New(rand.NewPCG(o.Seed, 0x4e4ea)), came: map[string]float64{}}
	if err := p.routers(before); err != nil {
		return nil, err
	}
	if len(p.sim.Routers()) == 0 {
		return nil, fmt.Errorf("listcheck: no zone of the old list has (routers n): there is nobody to rehearse")
	}
	if err := p.script(); err != nil {
		return nil, err
	}
	return p.rep, p.run()
}

type play struct {
	o       RehearseOptions
	was, is *config.Settings
	rep     *Rehearsal
	sim     *whatif.Sim
	world   *whatif.Boxes
	zones   []string // of the routers
	load    *loadgen.Script
	rng     *rand.Rand
	seconds map[string]map[int]whatif.Spent
	links   map[string]map[int]float64 // KB that came into a zone, by second
	came    map[string]float64         // when new members started
	counts  [3]struct{ n, inTime, refused int64 }
	aims    map[string]config.Class
}

func (p *play) routers(before string) error {
	s := p.was
	opt := whatif.BoxOptions{Flow: s.Fill.FlowKB, Capacity: p.o.Capacity, Sizes: s.Fill.Sizes, ParentKind: s.Fill.ParentKind, OriginKind: s.Fill.OriginKind,
		ColdFrom: s.Rules.ColdFrom, ColdTime: s.Rules.ColdTime, Fall: s.Rules.FallFactor, FallTime: s.Rules.FallTime,
		ParentColdFrom: s.Rules.ParentColdFrom, ParentColdTime: s.Rules.ParentColdTime, ParentFall: s.Rules.ParentFall}
	if !s.Fill.Sizes {
		p.rep.Assumed = append(p.rep.Assumed, fmt.Sprintf("each member bears %.0f transfers at once (no (fill (sizes)); --capacity)", p.o.Capacity))
	}
	if s.Fill.FlowKB <= 0 {
		p.rep.Assumed = append(p.rep.Assumed, "a transfer goes at 4 KB a ms (no (fill (flow n)))")
	}
	p.world = whatif.NewBoxes(opt)
	p.world.Second = func(id string, second int, spent *whatif.Spent) {
		if p.seconds[id] == nil {
			p.seconds[id] = map[int]whatif.Spent{}
		}
		p.seconds[id][second] = *spent
	}
	p.sim = &whatif.Sim{Now: start}
	me := 0
	for _, z := range s.Zones {
		for i := range z.Routers {
			own := &config.Settings{}
			if err := config.Read("own", fmt.Sprintf(`(router (name %q) (zone %q)) (control (services "127.0.0.1:1") (start wait))`, fmt.Sprintf("%s-%d", z.Name, i+1), z.Name), own); err != nil {
				return err
			}
			own.Router.Me = me
			me++
			mine := &config.Settings{}
			if err := config.ReadVersion("old", before, own, mine); err != nil {
				return err
			}
			c, err := engine.New(mine, p.o.Seed)
			if err != nil {
				return err
			}
			r := p.sim.Add(own.Router.Name, c, p.world)
			p.zones = append(p.zones, z.Name)
			for _, ev := range c.Apply(p.sim.Now, engine.UpdateFromSettings(mine)).Events {
				p.sim.Tell(r, ev)
			}
		}
	}
	p.rep.Routers = len(p.zones)
	p.aims = map[string]config.Class{}
	for _, k := range s.Classes {
		p.aims[k.Name] = k
	}
	return nil
}

// script is the load: the caller's, or one of all classes that don't write.
func (p *play) script() error {
	rate := p.o.Rate
	if p.load = p.o.Load; p.load == nil {
		if rate <= 0 {
			rate = 5 * float64(p.rep.Routers)
		}
		var b strings.Builder
		fmt.Fprintf(&b, "(load made (targets \"127.0.0.1:1\") (seed %d))\n", p.o.Seed%(1<<31))
		done := map[string]bool{}
		for _, r := range p.was.Routes {
			k := p.aims[r.Class]
			if k.Write || done[r.Class] || r.Ranges {
				continue
			}
			path := pathOf(r.Pattern)
			done[r.Class] = path != ""
			if path != "" {
				fmt.Fprintf(&b, "(class %s (path %q) (objects 5000)", r.Class, path)
				if strings.Contains(path, "{part}") {
					fmt.Fprint(&b, " (parts 16) (stay 0.9) (gap 500)")
				}
				fmt.Fprint(&b, ")\n")
			}
		}
		p.load = &loadgen.Script{}
		if err := config.Read("made of the routes", b.String(), p.load); err != nil {
			return fmt.Errorf("listcheck: no load can be made of the routes (give one with --load): %w", err)
		}
	} else if rate <= 0 {
		rate = p.load.Arrivals.Rate
	}
	p.load.Arrivals.Rate, p.rep.Rate = rate, rate
	p.load.Load.Length = p.o.Before + p.o.After
	return nil
}

// pathOf is a pattern as a load's path; empty where it can't be one.
func pathOf(pattern string) string {
	segs := strings.Split(pattern, "/")
	object := false
	for i, seg := range segs {
		switch {
		case seg == "{object}" || seg == "*":
			segs[i], object = "{object}", true
		case seg == "{group}" || seg == "{part}":
		case strings.HasPrefix(seg, "{"):
			segs[i] = "x"
		}
	}
	if !object {
		return ""
	}
	return strings.Join(segs, "/")
}

func (p *play) run() error {
	change := start + p.o.Before
	part := func(t float64) int {
		switch {
		case t < change-settled || t >= change+p.o.After-early/2: // still filling, or too late to be answered
			return -1
		case t < change:
			return 0
		case t < change+early:
			return 1
		}
		return 2
	}
	p.sim.Watch = whatif.Watcher{
		Over: func(_ *whatif.Router, h *whatif.Held) {
			i := part(h.Came)
			if i < 0 {
				return
			}
			k := &p.counts[i]
			k.n++
			switch h.End {
			case whatif.Served:
				aim := p.aims[h.Q.Class]
				within := aim.Aim
				if p.was.Fill.FlowKB > 0 {
					within += aim.AimStretch * h.Q.KB / p.was.Fill.FlowKB
				}
				if h.Over-h.Came <= within {
					k.inTime++
				}
			case whatif.Refused, whatif.Failed:
				k.refused++
			}
		},
		Ended: func(r *whatif.Router, h *whatif.Held, t *whatif.Try) {
			if t.Result == spool.OK && t.Send.Source != t.Send.Cache && !t.Send.Held {
				zone := r.Core.Settings.Router.Zone
				if p.links[zone] == nil {
					p.links[zone] = map[int]float64{}
				}
				p.links[zone][int(p.sim.Now/1000)] += h.Q.KB
			}
		},
	}
	p.sim.At(change, func() { p.change(change) })
	draw := loadgen.NewSessions(p.load)
	var head http1.Head
	for n := 0; ; {
		session, ok := draw.Next()
		if !ok {
			break
		}
		r := p.sim.Routers()[p.rng.IntN(len(p.zones))]
		for _, one := range session {
			n++
			at, id, path := start+one.Due, fmt.Sprint("q", n), one.Path
			if at > change+p.o.After {
				break
			}
			p.sim.At(at, func() {
				if _, err := r.Core.Parse([]byte("GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"), &head); err != nil {
					return
				}
				q, err := r.Core.Classify(id, p.sim.Now, &head)
				if err != nil {
					return
				}
				if q.KB <= 0 {
					q.KB = p.o.KB
				}
				p.sim.Tell(r, q)
			})
		}
		p.sim.RunTo(start + session[0].Due) // so that what waits to come stays small
	}
	p.sim.RunTo(change + p.o.After)
	p.sim.Finish()
	p.world.Finish(p.sim.Now)
	p.report(change)
	return nil
}

// change tells each router of the new list, at its own moment, in the steps in which
// routers tell their modules of a version.
func (p *play) change(at float64) {
	steps := configversion.Diff(p.was.Members, p.is.Members)
	for _, s := range steps {
		for _, m := range s.Members {
			if s.Kind == configversion.DeltaStarts {
				p.came[m.ID] = at
			}
		}
	}
	for _, r := range p.sim.Routers() {
		p.sim.At(at+p.rng.Float64()*p.o.Lag, func() {
			for _, s := range steps {
				n := engine.UpdateFromVersion(1, s.Members, s.Kind == configversion.DeltaStarts)
				for i := range n.Members {
					if s.Kind == configversion.DeltaStarts {
						n.Members[i].UptimeMillis = max(p.sim.Now-at, 0.001)
					}
				}
				for _, ev := range r.Core.Apply(p.sim.Now, n).Events {
					p.sim.Tell(r, ev)
				}
			}
			own := *p.is
			own.Router = r.Core.Settings.Router
			own.Router.Of = p.is.Router.Of
			if err := p.sim.Resettle(r, &own); err != nil {
				p.rep.Assumed = append(p.rep.Assumed, fmt.Sprintf("router %s kept its settings: %v", r.Name, err))
			}
		})
	}
}

func (p *play) report(change float64) {
	p.rep.Events = p.sim.Events
	for i, a := range []*Answers{&p.rep.Before, &p.rep.First, &p.rep.After} {
		k := p.counts[i]
		if a.Requests = k.n; k.n > 0 {
			a.InTime, a.Refused = float64(k.inTime)/float64(k.n), float64(k.refused)/float64(k.n)
		}
	}
	roles := map[string]string{}
	zones := map[string]bool{}
	for _, s := range []*config.Settings{p.was, p.is} {
		for _, m := range s.Members {
			roles[m.ID] = "cache"
			if m.Kind == s.Fill.ParentKind {
				roles[m.ID] = "parent"
			} else if m.Kind == s.Fill.OriginKind {
				roles[m.ID] = "origin"
			}
		}
	}
	for _, z := range p.zones {
		zones[z] = true
	}
	window := max(int(p.was.Rules.FallTime/1000), 1)
	for id, role := range roles {
		if role == "origin" && !p.was.Fill.Sizes {
			continue // nobody says what an origin bears
		}
		one := p.pressure(id, change, window, func(sec int) (used, can, kb float64) {
			s, seen := p.seconds[id][sec]
			if !seen {
				return 0, 1, 0
			}
			return s.Work, s.Capacity, s.KB
		})
		one.Role = role
		if at, ok := p.came[id]; ok {
			one.New, one.Bears, one.Warm = true, p.o.Capacity, p.was.Rules.ColdTime/1000
			for _, m := range p.is.Members {
				if m.ID == id && p.is.Fill.Sizes {
					one.Bears = m.Size
				}
			}
			from := p.was.Rules.ColdFrom
			if role == "parent" {
				from, one.Warm = p.was.Rules.ParentColdFrom, p.was.Rules.ParentColdTime/1000
			}
			one.Bears *= from
			if fell := p.world.Fell(id); fell > 0 {
				one.Fell = (fell - at) / 1000
			}
		}
		p.rep.Pressure = append(p.rep.Pressure, one)
	}
	for _, z := range p.is.Zones {
		if z.LinkIn > 0 && zones[z.Name] {
			one := p.pressure(z.Name, change, window, func(sec int) (used, can, kb float64) {
				kb = p.links[z.Name][sec]
				return kb, z.LinkIn * 1000, kb
			})
			one.Role = "link"
			p.rep.Pressure = append(p.rep.Pressure, one)
		}
	}
	order := map[string]int{"parent": 0, "origin": 1, "link": 2, "cache": 3}
	sort.Slice(p.rep.Pressure, func(i, j int) bool {
		a, b := &p.rep.Pressure[i], &p.rep.Pressure[j]
		return order[a.Role] < order[b.Role] || a.Role == b.Role && a.Name < b.Name
	})
}

// pressure measures what was used of what there is, over windows of whole seconds.
func (p *play) pressure(name string, change float64, window int, at func(sec int) (used, can, kb float64)) Pressure {
	one := Pressure{Name: name}
	mid, end := int(change/1000), int((change+p.o.After)/1000)
	used, can, rate := 0.0, 0.0, 0.0
	for sec := mid - settled/1000; sec < mid; sec++ {
		u, c, kb := at(sec)
		used, can, rate = used+u, can+c, rate+kb
	}
	if can > 0 {
		one.Before = used / can
	}
	rate /= settled / 1000
	for sec := mid; sec < end; sec++ {
		u, c, kb := at(sec)
		one.MB += (kb - rate) / 1024
		if u > c {
			one.Over++
		}
		u, c = 0, 0
		for i := max(sec-window+1, mid); i <= sec; i++ {
			du, dc, _ := at(i)
			u, c = u+du, c+dc
		}
		if sec-mid+1 >= window && c > 0 && u/c > one.Peak {
			one.Peak, one.At = u/c, float64(sec-mid+1)
		}
	}
	one.MB = max(one.MB, 0)
	return one
}

// Text writes a rehearsal for reading.
func (r *Rehearsal) Text(w io.Writer) {
	fmt.Fprintf(w, "rehearsed by %d routers at %.0f requests a second: in time %.1f %% before, %.1f %% in the first 10 s, %.1f %% then; refused %.1f, %.1f, %.1f %%\n",
		r.Routers, r.Rate, 100*r.Before.InTime, 100*r.First.InTime, 100*r.After.InTime, 100*r.Before.Refused, 100*r.First.Refused, 100*r.After.Refused)
	for _, a := range r.Assumed {
		fmt.Fprintf(w, "  assumed: %s\n", a)
	}
	links, most := 0, 0.0
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, p := range r.Pressure {
		if p.Role == "link" && p.Peak < noted && !p.Pushed() {
			links, most = links+1, max(most, p.Peak)
			continue
		}
		if p.Role == "cache" && !p.New && !p.Pushed() {
			continue
		}
		fmt.Fprintf(t, "  %s\t%s\tused before %.2f\tat most %.2f (at %.0f s)\tover for %d s\t%.1f MB more\t", p.Role, p.Name, p.Before, p.Peak, p.At, p.Over, p.MB)
		if p.New {
			fmt.Fprintf(t, "new: bears %.1f transfers at first, all after %.0f s", p.Bears, p.Warm)
		}
		if p.Fell > 0 {
			fmt.Fprintf(t, " FALLS OVER after %.1f s", p.Fell)
		} else if p.Pushed() {
			fmt.Fprint(t, " PUSHED beyond what it can take")
		}
		fmt.Fprintln(t)
	}
	t.Flush()
	if links > 0 {
		fmt.Fprintf(w, "  the other links (%d) are used to %.2f at most\n", links, most)
	}
}
