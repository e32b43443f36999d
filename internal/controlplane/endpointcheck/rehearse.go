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
	Load         *loadgen.Script // whose paths, shares, objects and arrivals count; nil: one made from the routes
	Rate         float64         // requests a second of all routers; default 5 a router, or the load's
	BeforeMillis float64         // ms under the old list, in which caches fill; default 60000
	AfterMillis  float64         // ms under the new one; default 60000
	LagMillis    float64         // ms within which all routers hear of a change, each at its own moment; default 1000
	Capacity     float64         // transfers at once that a member bears whose (size) is no capacity; default 50
	KB           float64         // of an object or part whose route states no size; default 100
	Seed         uint64
}

func (o RehearseOptions) withDefaults() RehearseOptions {
	for _, d := range []struct {
		v *float64
		x float64
	}{{&o.BeforeMillis, 60000}, {&o.AfterMillis, 60000}, {&o.Capacity, 50}, {&o.KB, 100}} {
		if *d.v <= 0 {
			*d.v = d.x
		}
	}
	if o.LagMillis < 0 {
		o.LagMillis = 0
	}
	return o
}

// Utilization is what a member, or a zone's link, is given against what it can take.
type Utilization struct {
	Name              string  `json:"name"`
	Role              string  `json:"role"`         // parent, origin, cache or link
	New               bool    `json:"new"`          // it comes with the change, cold
	Before            float64 `json:"before"`       // share of its capacity in use before the change
	Peak              float64 `json:"peak"`         // the highest over a FallTime after it, of the present capacity
	PeakAt            float64 `json:"at_s"`         // seconds after the change at which that was
	OverloadedSeconds int     `json:"over_s"`       // seconds in which it was given more than it can take
	FailedAfter       float64 `json:"fell_s"`       // seconds after the change at which it would have fallen over; 0: it would not
	RefillMB          float64 `json:"refill_mb"`    // of fills beyond the rate before
	InitialCapacity   float64 `json:"bears"`        // of a new member: transfers at once that it bears at first
	WarmAfter         float64 `json:"warm_after_s"` // and when it bears all
}

// Overloaded reports whether the change pushes it over, or beyond what it can take for
// longer than a FallTime, where it was not before.
func (p Utilization) Overloaded() bool { return p.FailedAfter > 0 || p.Before <= 1 && p.Peak > 1 }

// Outcomes are what became of the requests of a span.
type Outcomes struct {
	Requests int64   `json:"requests"`
	InTime   float64 `json:"in_time"` // share
	Rejected float64 `json:"refused"`
}

// Rehearsal is a change of a list under load, in simulated time.
type Rehearsal struct {
	Routers     int           `json:"routers"`
	Rate        float64       `json:"rate"`
	Before      Outcomes      `json:"before"` // in the last seconds before the change
	First       Outcomes      `json:"first"`  // in the first seconds after it
	After       Outcomes      `json:"after"`  // from then on
	Utilization []Utilization `json:"pressure"`
	Assumptions []string      `json:"assumed,omitempty"` // what the list does not say
	Events      int64         `json:"events"`
}

// OK reports that the change pushes nobody over.
func (r *Rehearsal) OK() bool {
	for i := range r.Utilization {
		if r.Utilization[i].Overloaded() {
			return false
		}
	}
	return true
}

const (
	beforeWindow    = 10000 // ms before the change over which what was is measured
	firstWindow     = 10000 // ms after it that are told apart
	minShownLinkUse = 0.5   // part of a link's use from which it is shown
	startTime       = 1e6   // when the rehearsal begins, on its own clock
)

// Rehearse plays a change of a list under load: every router of the fleet, each with
// a core of its own, before cache models that they share.
func Rehearse(before, after string, o RehearseOptions) (*Rehearsal, error) {
	o = o.withDefaults()
	var was, is config.Settings
	if err := errors.Join(config.ReadVersion("old", before, nil, &was), config.ReadVersion("new", after, nil, &is)); err != nil {
		return nil, err
	}
	p := &rehearsalRun{options: o, oldSettings: &was, newSettings: &is, result: &Rehearsal{}, usage: map[string]map[int]whatif.Spent{}, linkKB: map[string]map[int]float64{},
		random: rand.New(rand.NewPCG(o.Seed, 0x4e4ea)), startedAt: map[string]float64{}}
	if err := p.addRouters(before); err != nil {
		return nil, err
	}
	if len(p.sim.Routers()) == 0 {
		return nil, fmt.Errorf("listcheck: no zone of the old list has (routers n): there is nobody to rehearse")
	}
	if err := p.buildLoad(); err != nil {
		return nil, err
	}
	return p.result, p.run()
}

type rehearsalRun struct {
	options                  RehearseOptions
	oldSettings, newSettings *config.Settings
	result                   *Rehearsal
	sim                      *whatif.Sim
	members                  *whatif.Boxes
	zones                    []string // of the routers
	load                     *loadgen.Script
	random                   *rand.Rand
	usage                    map[string]map[int]whatif.Spent
	linkKB                   map[string]map[int]float64 // KB that startedAt into a zone, by second
	startedAt                map[string]float64         // when new members started
	outcomes                 [3]struct{ n, inTime, refused int64 }
	classes                  map[string]config.Class
}

func (p *rehearsalRun) addRouters(before string) error {
	s := p.oldSettings
	opt := whatif.BoxOptions{Flow: s.Fill.FlowKB, Capacity: p.options.Capacity, Sizes: s.Fill.Sizes, ParentKind: s.Fill.ParentKind, OriginKind: s.Fill.OriginKind,
		ColdFrom: s.Rules.ColdFrom, ColdTime: s.Rules.ColdTime, Fall: s.Rules.FallFactor, FallTime: s.Rules.FallTime,
		ParentColdFrom: s.Rules.ParentColdFrom, ParentColdTime: s.Rules.ParentColdTime, ParentFall: s.Rules.ParentFall}
	if !s.Fill.Sizes {
		p.result.Assumptions = append(p.result.Assumptions, fmt.Sprintf("each member bears %.0f transfers at once (no (fill (sizes)); --capacity)", p.options.Capacity))
	}
	if s.Fill.FlowKB <= 0 {
		p.result.Assumptions = append(p.result.Assumptions, "a transfer goes at 4 KB a ms (no (fill (flow n)))")
	}
	p.members = whatif.NewBoxes(opt)
	p.members.Second = func(id string, second int, spent *whatif.Spent) {
		if p.usage[id] == nil {
			p.usage[id] = map[int]whatif.Spent{}
		}
		p.usage[id][second] = *spent
	}
	p.sim = &whatif.Sim{Now: startTime}
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
			c, err := engine.New(mine, p.options.Seed)
			if err != nil {
				return err
			}
			r := p.sim.Add(own.Router.Name, c, p.members)
			p.zones = append(p.zones, z.Name)
			for _, ev := range c.Apply(p.sim.Now, engine.UpdateFromSettings(mine)).Events {
				p.sim.Tell(r, ev)
			}
		}
	}
	p.result.Routers = len(p.zones)
	p.classes = map[string]config.Class{}
	for _, k := range s.Classes {
		p.classes[k.Name] = k
	}
	return nil
}

// buildLoad is the load: the caller's, or one of all classes that don't write.
func (p *rehearsalRun) buildLoad() error {
	rate := p.options.Rate
	if p.load = p.options.Load; p.load == nil {
		if rate <= 0 {
			rate = 5 * float64(p.result.Routers)
		}
		var b strings.Builder
		fmt.Fprintf(&b, "(load made (targets \"127.0.0.1:1\") (seed %d))\n", p.options.Seed%(1<<31))
		done := map[string]bool{}
		for _, r := range p.oldSettings.Routes {
			k := p.classes[r.Class]
			if k.Write || done[r.Class] || r.Ranges {
				continue
			}
			path := loadPath(r.Pattern)
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
	p.load.Arrivals.Rate, p.result.Rate = rate, rate
	p.load.Load.Length = p.options.BeforeMillis + p.options.AfterMillis
	return nil
}

// loadPath is a pattern as a load's path; empty where it can't be one.
func loadPath(pattern string) string {
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

func (p *rehearsalRun) run() error {
	change := startTime + p.options.BeforeMillis
	part := func(t float64) int {
		switch {
		case t < change-beforeWindow || t >= change+p.options.AfterMillis-firstWindow/2: // still filling, or too late to be answered
			return -1
		case t < change:
			return 0
		case t < change+firstWindow:
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
			k := &p.outcomes[i]
			k.n++
			switch h.End {
			case whatif.Served:
				aim := p.classes[h.Q.Class]
				within := aim.Aim
				if p.oldSettings.Fill.FlowKB > 0 {
					within += aim.AimStretch * h.Q.KB / p.oldSettings.Fill.FlowKB
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
				if p.linkKB[zone] == nil {
					p.linkKB[zone] = map[int]float64{}
				}
				p.linkKB[zone][int(p.sim.Now/1000)] += h.Q.KB
			}
		},
	}
	p.sim.At(change, func() { p.applyChange(change) })
	draw := loadgen.NewSessions(p.load)
	var head http1.Head
	for n := 0; ; {
		session, ok := draw.Next()
		if !ok {
			break
		}
		r := p.sim.Routers()[p.random.IntN(len(p.zones))]
		for _, one := range session {
			n++
			at, id, path := startTime+one.Due, fmt.Sprint("q", n), one.Path
			if at > change+p.options.AfterMillis {
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
					q.KB = p.options.KB
				}
				p.sim.Tell(r, q)
			})
		}
		p.sim.RunTo(startTime + session[0].Due) // so that what waits to come stays small
	}
	p.sim.RunTo(change + p.options.AfterMillis)
	p.sim.Finish()
	p.members.Finish(p.sim.Now)
	p.buildResult(change)
	return nil
}

// applyChange tells each router of the new list, at its own moment, in the steps in which
// routers tell their modules of a version.
func (p *rehearsalRun) applyChange(at float64) {
	steps := configversion.Diff(p.oldSettings.Members, p.newSettings.Members)
	for _, s := range steps {
		for _, m := range s.Members {
			if s.Kind == configversion.DeltaStarts {
				p.startedAt[m.ID] = at
			}
		}
	}
	for _, r := range p.sim.Routers() {
		p.sim.At(at+p.random.Float64()*p.options.LagMillis, func() {
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
			own := *p.newSettings
			own.Router = r.Core.Settings.Router
			own.Router.Of = p.newSettings.Router.Of
			if err := p.sim.Resettle(r, &own); err != nil {
				p.result.Assumptions = append(p.result.Assumptions, fmt.Sprintf("router %s kept its settings: %v", r.Name, err))
			}
		})
	}
}

func (p *rehearsalRun) buildResult(change float64) {
	p.result.Events = p.sim.Events
	for i, a := range []*Outcomes{&p.result.Before, &p.result.First, &p.result.After} {
		k := p.outcomes[i]
		if a.Requests = k.n; k.n > 0 {
			a.InTime, a.Rejected = float64(k.inTime)/float64(k.n), float64(k.refused)/float64(k.n)
		}
	}
	roles := map[string]string{}
	zones := map[string]bool{}
	for _, s := range []*config.Settings{p.oldSettings, p.newSettings} {
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
	window := max(int(p.oldSettings.Rules.FallTime/1000), 1)
	for id, role := range roles {
		if role == "origin" && !p.oldSettings.Fill.Sizes {
			continue // nobody says what an origin bears
		}
		one := p.utilization(id, change, window, func(sec int) (used, can, kb float64) {
			s, seen := p.usage[id][sec]
			if !seen {
				return 0, 1, 0
			}
			return s.Work, s.Capacity, s.KB
		})
		one.Role = role
		if at, ok := p.startedAt[id]; ok {
			one.New, one.InitialCapacity, one.WarmAfter = true, p.options.Capacity, p.oldSettings.Rules.ColdTime/1000
			for _, m := range p.newSettings.Members {
				if m.ID == id && p.newSettings.Fill.Sizes {
					one.InitialCapacity = m.Size
				}
			}
			from := p.oldSettings.Rules.ColdFrom
			if role == "parent" {
				from, one.WarmAfter = p.oldSettings.Rules.ParentColdFrom, p.oldSettings.Rules.ParentColdTime/1000
			}
			one.InitialCapacity *= from
			if fell := p.members.Fell(id); fell > 0 {
				one.FailedAfter = (fell - at) / 1000
			}
		}
		p.result.Utilization = append(p.result.Utilization, one)
	}
	for _, z := range p.newSettings.Zones {
		if z.LinkIn > 0 && zones[z.Name] {
			one := p.utilization(z.Name, change, window, func(sec int) (used, can, kb float64) {
				kb = p.linkKB[z.Name][sec]
				return kb, z.LinkIn * 1000, kb
			})
			one.Role = "link"
			p.result.Utilization = append(p.result.Utilization, one)
		}
	}
	order := map[string]int{"parent": 0, "origin": 1, "link": 2, "cache": 3}
	sort.Slice(p.result.Utilization, func(i, j int) bool {
		a, b := &p.result.Utilization[i], &p.result.Utilization[j]
		return order[a.Role] < order[b.Role] || a.Role == b.Role && a.Name < b.Name
	})
}

// utilization measures what was used of what there is, over windows of whole seconds.
func (p *rehearsalRun) utilization(name string, change float64, window int, at func(sec int) (used, can, kb float64)) Utilization {
	one := Utilization{Name: name}
	mid, end := int(change/1000), int((change+p.options.AfterMillis)/1000)
	used, can, rate := 0.0, 0.0, 0.0
	for sec := mid - beforeWindow/1000; sec < mid; sec++ {
		u, c, kb := at(sec)
		used, can, rate = used+u, can+c, rate+kb
	}
	if can > 0 {
		one.Before = used / can
	}
	rate /= beforeWindow / 1000
	for sec := mid; sec < end; sec++ {
		u, c, kb := at(sec)
		one.RefillMB += (kb - rate) / 1024
		if u > c {
			one.OverloadedSeconds++
		}
		u, c = 0, 0
		for i := max(sec-window+1, mid); i <= sec; i++ {
			du, dc, _ := at(i)
			u, c = u+du, c+dc
		}
		if sec-mid+1 >= window && c > 0 && u/c > one.Peak {
			one.Peak, one.PeakAt = u/c, float64(sec-mid+1)
		}
	}
	one.RefillMB = max(one.RefillMB, 0)
	return one
}

// Text writes a rehearsal for reading.
func (r *Rehearsal) Text(w io.Writer) {
	fmt.Fprintf(w, "rehearsed by %d routers at %.0f requests a second: in time %.1f %% before, %.1f %% in the first 10 s, %.1f %% then; refused %.1f, %.1f, %.1f %%\n",
		r.Routers, r.Rate, 100*r.Before.InTime, 100*r.First.InTime, 100*r.After.InTime, 100*r.Before.Rejected, 100*r.First.Rejected, 100*r.After.Rejected)
	for _, a := range r.Assumptions {
		fmt.Fprintf(w, "  assumed: %s\n", a)
	}
	links, most := 0, 0.0
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, p := range r.Utilization {
		if p.Role == "link" && p.Peak < minShownLinkUse && !p.Overloaded() {
			links, most = links+1, max(most, p.Peak)
			continue
		}
		if p.Role == "cache" && !p.New && !p.Overloaded() {
			continue
		}
		fmt.Fprintf(t, "  %s\t%s\tused before %.2f\tat most %.2f (at %.0f s)\tover for %d s\t%.1f MB more\t", p.Role, p.Name, p.Before, p.Peak, p.PeakAt, p.OverloadedSeconds, p.RefillMB)
		if p.New {
			fmt.Fprintf(t, "new: bears %.1f transfers at first, all after %.0f s", p.InitialCapacity, p.WarmAfter)
		}
		if p.FailedAfter > 0 {
			fmt.Fprintf(t, " FALLS OVER after %.1f s", p.FailedAfter)
		} else if p.Overloaded() {
			fmt.Fprint(t, " PUSHED beyond what it can take")
		}
		fmt.Fprintln(t)
	}
	t.Flush()
	if links > 0 {
		fmt.Fprintf(w, "  the other links (%d) are used to %.2f at most\n", links, most)
	}
}
