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

// RehearseOptions configures Rehearse. Zero fields are set to the defaults.
type RehearseOptions struct {
	Load         *loadgen.Script // paths, shares, objects and arrivals; nil: a load is generated from the routes
	Rate         float64         // requests per second at all routers; default: the rate of Load, or 5 per router
	BeforeMillis float64         // time with the old list, in which caches fill; default 60000
	AfterMillis  float64         // time with the new list; default 60000
	LagMillis    float64         // each router applies the change after a random delay up to this
	Capacity     float64         // concurrent transfers of a member whose (size) is not a capacity; default 50
	KB           float64         // size of an object or part if its route has none; default 100
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

// Utilization compares the load on a member, or on a zone's link, with its capacity.
type Utilization struct {
	Name              string  `json:"name"`
	Role              string  `json:"role"`         // parent, origin, cache or link
	New               bool    `json:"new"`          // added by the change, and cold
	Before            float64 `json:"before"`       // utilization before the change, as a share of the capacity
	Peak              float64 `json:"peak"`         // highest mean utilization over a FallTime after the change, of the capacity at that time
	PeakAt            float64 `json:"at_s"`         // time of the peak, in seconds after the change
	OverloadedSeconds int     `json:"over_s"`       // seconds in which the load exceeded the capacity
	FailedAfter       float64 `json:"fell_s"`       // seconds after the change when it would have failed under overload; 0: never
	RefillMB          float64 `json:"refill_mb"`    // fills above the rate before the change
	InitialCapacity   float64 `json:"bears"`        // of a new member: concurrent transfers while it is cold
	WarmAfter         float64 `json:"warm_after_s"` // of a new member: seconds until it has its full capacity
}

// Overloaded reports whether the change makes it fail, or exceed its capacity on
// average over a FallTime although it did not before.
func (p Utilization) Overloaded() bool { return p.FailedAfter > 0 || p.Before <= 1 && p.Peak > 1 }

// Outcomes has the outcomes of the requests in an interval.
type Outcomes struct {
	Requests int64   `json:"requests"`
	InTime   float64 `json:"in_time"` // share of requests
	Rejected float64 `json:"refused"` // share of requests, with failed ones
}

// Rehearsal is the result of simulating a change of a list under load.
type Rehearsal struct {
	Routers     int           `json:"routers"`
	Rate        float64       `json:"rate"`
	Before      Outcomes      `json:"before"` // in the 10 s before the change
	First       Outcomes      `json:"first"`  // in the first 10 s after it
	After       Outcomes      `json:"after"`  // after that
	Utilization []Utilization `json:"pressure"`
	Assumptions []string      `json:"assumed,omitempty"` // about what the list does not specify
	Events      int64         `json:"events"`
}

// OK reports whether the change overloads no member and no link.
func (r *Rehearsal) OK() bool {
	for i := range r.Utilization {
		if r.Utilization[i].Overloaded() {
			return false
		}
	}
	return true
}

const (
	beforeWindow    = 10000 // ms before the change in which the old state is measured
	firstWindow     = 10000 // ms after the change that are reported separately
	minShownLinkUse = 0.5   // peak utilization from which a link is shown
	startTime       = 1e6   // start of the simulated time, ms
)

// Rehearse simulates a change of a list under load. Each router of the fleet has a core
// of its own; all of them share the cache models.
func Rehearse(before, after string, o RehearseOptions) (*Rehearsal, error) {
	o = o.withDefaults()
	var oldSettings, newSettings config.Settings
	if err := errors.Join(config.ReadVersion("old", before, nil, &oldSettings), config.ReadVersion("new", after, nil, &newSettings)); err != nil {
		return nil, err
	}
	p := &rehearsalRun{options: o, oldSettings: &oldSettings, newSettings: &newSettings, result: &Rehearsal{}, usage: map[string]map[int]whatif.Usage{}, linkKB: map[string]map[int]float64{},
		random: rand.New(rand.NewPCG(o.Seed, 0x4e4ea)), startedAt: map[string]float64{}}
	if err := p.addRouters(before); err != nil {
		return nil, err
	}
	if len(p.sim.Routers()) == 0 {
		return nil, fmt.Errorf("endpointcheck: no zone of the old list has (routers n), so that there are no routers to simulate")
	}
	if err := p.buildLoad(); err != nil {
		return nil, err
	}
	return p.result, p.run()
}

// rehearsalRun is a simulation in progress.
type rehearsalRun struct {
	options                  RehearseOptions
	oldSettings, newSettings *config.Settings
	result                   *Rehearsal
	sim                      *whatif.Sim
	members                  *whatif.CacheModels
	zones                    []string // of the routers, by router
	load                     *loadgen.Script
	random                   *rand.Rand
	usage                    map[string]map[int]whatif.Usage               // load by member and second
	linkKB                   map[string]map[int]float64                    // KB filled over a zone's link, by zone and second
	startedAt                map[string]float64                            // start of new members
	outcomes                 [3]struct{ requests, inTime, rejected int64 } // before, first and after, as in Rehearsal
	classes                  map[string]config.Class
}

// addRouters creates the members' models and all routers with the old list.
func (p *rehearsalRun) addRouters(before string) error {
	s := p.oldSettings
	options := whatif.CacheModelOptions{TransferRate: s.Fill.FlowKBPerMs, Capacity: p.options.Capacity, SizeIsCapacity: s.Fill.SizeIsCapacity, ParentKind: s.Fill.ParentKind, OriginKind: s.Fill.OriginKind,
		WarmUpInitialShare: s.Rules.WarmUpInitialShare, WarmUpTime: s.Rules.WarmUpTime, OverloadFactor: s.Rules.OverloadFactor, OverloadTime: s.Rules.OverloadTime,
		ParentWarmUpInitialShare: s.Rules.ParentWarmUpInitialShare, ParentWarmUpTime: s.Rules.ParentWarmUpTime, ParentOverloadFactor: s.Rules.ParentOverloadFactor}
	if !s.Fill.SizeIsCapacity {
		p.result.Assumptions = append(p.result.Assumptions, fmt.Sprintf("each member has a capacity of %.0f concurrent transfers (no (fill (sizes)); see --capacity)", p.options.Capacity))
	}
	if s.Fill.FlowKBPerMs <= 0 {
		p.result.Assumptions = append(p.result.Assumptions, "transfers run at 4 KB per ms (no (fill (flow n)))")
	}
	p.members = whatif.NewCacheModels(options)
	p.members.OnUsage = func(id string, second int, spent *whatif.Usage) {
		if p.usage[id] == nil {
			p.usage[id] = map[int]whatif.Usage{}
		}
		p.usage[id][second] = *spent
	}
	p.sim = &whatif.Sim{Now: startTime}
	number := 0
	for _, z := range s.Zones {
		for i := range z.Routers {
			local := &config.Settings{}
			if err := config.Read("own", fmt.Sprintf(`(router (name %q) (zone %q)) (control (services "127.0.0.1:1") (start wait))`, fmt.Sprintf("%s-%d", z.Name, i+1), z.Name), local); err != nil {
				return err
			}
			local.Router.Index = number
			number++
			settings := &config.Settings{}
			if err := config.ReadVersion("old", before, local, settings); err != nil {
				return err
			}
			core, err := engine.New(settings, p.options.Seed)
			if err != nil {
				return err
			}
			r := p.sim.Add(local.Router.Name, core, p.members)
			p.zones = append(p.zones, z.Name)
			for _, ev := range core.Apply(p.sim.Now, engine.UpdateFromSettings(settings)).Events {
				p.sim.Handle(r, ev)
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

// buildLoad sets the load: the one of the options, or one generated from the routes of
// all classes without writes.
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
		if err := config.Read("generated from the routes", b.String(), p.load); err != nil {
			return fmt.Errorf("endpointcheck: no load can be generated from the routes (set one with --load): %w", err)
		}
	} else if rate <= 0 {
		rate = p.load.Arrivals.Rate
	}
	p.load.Arrivals.Rate, p.result.Rate = rate, rate
	p.load.Load.Length = p.options.BeforeMillis + p.options.AfterMillis
	return nil
}

// loadPath converts a route's pattern to the path of a load, or returns "" if that is
// not possible.
func loadPath(pattern string) string {
	segments := strings.Split(pattern, "/")
	object := false
	for i, segment := range segments {
		switch {
		case segment == "{object}" || segment == "*":
			segments[i], object = "{object}", true
		case segment == "{group}" || segment == "{part}":
		case strings.HasPrefix(segment, "{"):
			segments[i] = "x"
		}
	}
	if !object {
		return ""
	}
	return strings.Join(segments, "/")
}

// run simulates the load and the change, and builds the result.
func (p *rehearsalRun) run() error {
	change := startTime + p.options.BeforeMillis
	phaseOf := func(t float64) int {
		switch {
		case t < change-beforeWindow || t >= change+p.options.AfterMillis-firstWindow/2: // caches are still filling, or too late to complete
			return -1
		case t < change:
			return 0
		case t < change+firstWindow:
			return 1
		}
		return 2
	}
	p.sim.Watch = whatif.Watcher{
		RequestEnded: func(_ *whatif.Router, h *whatif.RequestState) {
			phase := phaseOf(h.ArrivedAt)
			if phase < 0 {
				return
			}
			k := &p.outcomes[phase]
			k.requests++
			switch h.End {
			case whatif.Served:
				class := p.classes[h.Request.Class]
				limit := class.LatencyObjective
				if p.oldSettings.Fill.FlowKBPerMs > 0 {
					limit += class.ObjectivePerSendTime * h.Request.KB / p.oldSettings.Fill.FlowKBPerMs
				}
				if h.EndedAt-h.ArrivedAt <= limit {
					k.inTime++
				}
			case whatif.Rejected, whatif.Failed:
				k.rejected++
			}
		},
		AttemptEnded: func(r *whatif.Router, h *whatif.RequestState, t *whatif.Attempt) {
			if t.Result == spool.OK && t.Send.Source != t.Send.Cache && !t.Send.Held {
				zone := r.Core.Settings.Router.Zone
				if p.linkKB[zone] == nil {
					p.linkKB[zone] = map[int]float64{}
				}
				p.linkKB[zone][int(p.sim.Now/1000)] += h.Request.KB
			}
		},
	}
	p.sim.At(change, func() { p.applyChange(change) })
	sessions := loadgen.NewSessions(p.load)
	var head http1.Head
	for n := 0; ; {
		session, ok := sessions.Next()
		if !ok {
			break
		}
		r := p.sim.Routers()[p.random.IntN(len(p.zones))]
		for _, request := range session {
			n++
			at, id, path := startTime+request.Due, fmt.Sprint("q", n), request.Path
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
				p.sim.Handle(r, q)
			})
		}
		p.sim.RunTo(startTime + session[0].Due) // keeps the queue of future requests small
	}
	p.sim.RunTo(change + p.options.AfterMillis)
	p.sim.Finish()
	p.members.Finish(p.sim.Now)
	p.buildResult(change)
	return nil
}

// applyChange applies the new list at each router after its own random delay, in the
// same steps in which routers apply a version.
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
					p.sim.Handle(r, ev)
				}
			}
			own := *p.newSettings
			own.Router = r.Core.Settings.Router
			own.Router.Routers = p.newSettings.Router.Routers
			if err := p.sim.ChangeSettings(r, &own); err != nil {
				p.result.Assumptions = append(p.result.Assumptions, fmt.Sprintf("router %s kept its old settings: %v", r.Name, err))
			}
		})
	}
}

// buildResult fills in the result once the simulation has ended.
func (p *rehearsalRun) buildResult(change float64) {
	p.result.Events = p.sim.Events
	for i, a := range []*Outcomes{&p.result.Before, &p.result.First, &p.result.After} {
		count := p.outcomes[i]
		if a.Requests = count.requests; count.requests > 0 {
			a.InTime, a.Rejected = float64(count.inTime)/float64(count.requests), float64(count.rejected)/float64(count.requests)
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
	window := max(int(p.oldSettings.Rules.OverloadTime/1000), 1)
	for id, role := range roles {
		if role == "origin" && !p.oldSettings.Fill.SizeIsCapacity {
			continue // an origin's capacity is unknown
		}
		one := p.utilization(id, change, window, func(sec int) (used, can, kb float64) {
			s, known := p.usage[id][sec]
			if !known {
				return 0, 1, 0
			}
			return s.SendMillis, s.CapacityMillis, s.KB
		})
		one.Role = role
		if at, ok := p.startedAt[id]; ok {
			one.New, one.InitialCapacity, one.WarmAfter = true, p.options.Capacity, p.oldSettings.Rules.WarmUpTime/1000
			for _, m := range p.newSettings.Members {
				if m.ID == id && p.newSettings.Fill.SizeIsCapacity {
					one.InitialCapacity = m.Size
				}
			}
			coldShare := p.oldSettings.Rules.WarmUpInitialShare
			if role == "parent" {
				coldShare, one.WarmAfter = p.oldSettings.Rules.ParentWarmUpInitialShare, p.oldSettings.Rules.ParentWarmUpTime/1000
			}
			one.InitialCapacity *= coldShare
			if failedAt := p.members.FailedAt(id); failedAt > 0 {
				one.FailedAfter = (failedAt - at) / 1000
			}
		}
		p.result.Utilization = append(p.result.Utilization, one)
	}
	for _, z := range p.newSettings.Zones {
		if z.LinkCapacity > 0 && zones[z.Name] {
			one := p.utilization(z.Name, change, window, func(sec int) (used, can, kb float64) {
				kb = p.linkKB[z.Name][sec]
				return kb, z.LinkCapacity * 1000, kb
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

// utilization computes the utilization of a member or link. at returns the load, the
// capacity and the KB filled in a second; window is the averaging time of the peak, in
// seconds.
func (p *rehearsalRun) utilization(name string, change float64, window int, at func(sec int) (used, can, kb float64)) Utilization {
	result := Utilization{Name: name}
	changeSecond, endSecond := int(change/1000), int((change+p.options.AfterMillis)/1000)
	used, capacity, rate := 0.0, 0.0, 0.0
	for sec := changeSecond - beforeWindow/1000; sec < changeSecond; sec++ {
		u, c, kb := at(sec)
		used, capacity, rate = used+u, capacity+c, rate+kb
	}
	if capacity > 0 {
		result.Before = used / capacity
	}
	rate /= beforeWindow / 1000
	for sec := changeSecond; sec < endSecond; sec++ {
		u, c, kb := at(sec)
		result.RefillMB += (kb - rate) / 1024
		if u > c {
			result.OverloadedSeconds++
		}
		u, c = 0, 0
		for i := max(sec-window+1, changeSecond); i <= sec; i++ {
			du, dc, _ := at(i)
			u, c = u+du, c+dc
		}
		if sec-changeSecond+1 >= window && c > 0 && u/c > result.Peak {
			result.Peak, result.PeakAt = u/c, float64(sec-changeSecond+1)
		}
	}
	result.RefillMB = max(result.RefillMB, 0)
	return result
}

// Text writes the result as text.
func (r *Rehearsal) Text(w io.Writer) {
	fmt.Fprintf(w, "simulated %d routers at %.0f requests per second: in time %.1f %% before, %.1f %% in the first 10 s, %.1f %% after that; rejected %.1f, %.1f, %.1f %%\n",
		r.Routers, r.Rate, 100*r.Before.InTime, 100*r.First.InTime, 100*r.After.InTime, 100*r.Before.Rejected, 100*r.First.Rejected, 100*r.After.Rejected)
	for _, a := range r.Assumptions {
		fmt.Fprintf(w, "  assumed: %s\n", a)
	}
	hiddenLinks, maxPeak := 0, 0.0
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, p := range r.Utilization {
		if p.Role == "link" && p.Peak < minShownLinkUse && !p.Overloaded() {
			hiddenLinks, maxPeak = hiddenLinks+1, max(maxPeak, p.Peak)
			continue
		}
		if p.Role == "cache" && !p.New && !p.Overloaded() {
			continue
		}
		fmt.Fprintf(t, "  %s\t%s\tutilization before %.2f\tpeak %.2f (at %.0f s)\toverloaded for %d s\t%.1f MB more filled\t", p.Role, p.Name, p.Before, p.Peak, p.PeakAt, p.OverloadedSeconds, p.RefillMB)
		if p.New {
			fmt.Fprintf(t, "new: %.1f concurrent transfers while cold, full capacity after %.0f s", p.InitialCapacity, p.WarmAfter)
		}
		if p.FailedAfter > 0 {
			fmt.Fprintf(t, " FAILS after %.1f s", p.FailedAfter)
		} else if p.Overloaded() {
			fmt.Fprint(t, " OVERLOADED")
		}
		fmt.Fprintln(t)
	}
	t.Flush()
	if hiddenLinks > 0 {
		fmt.Fprintf(w, "  peak utilization of the other links (%d): %.2f\n", hiddenLinks, maxPeak)
	}
}
