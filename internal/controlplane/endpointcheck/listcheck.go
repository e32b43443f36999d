// Package endpointcheck reports what a new endpoint list would do before it is used:
// whether it passes the checks that routers make, and which objects, parts and fills would
// go elsewhere. It gives the decision module of a router in each zone, through
// internal/proxy/engine, the same requests before and after the change, and computes no
// placement itself. It owns no state; the checks are configversion.Check.
package endpointcheck

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"text/tabwriter"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/controlplane/service"
	"indigospool/internal/proxy/engine"
)

// Options are how the change is tried. Zero fields mean the defaults.
type Options struct {
	Objects int     // asked for in each zone, of each class; default 1000
	Parts   float64 // mean parts of an object of a class in parts; default 8
	KB      float64 // of an object or part whose route states no size; default 100
	Seed    uint64
	Limits  configversion.CheckLimits

	Rehearse *RehearseOptions // play the change under load too; nil: don't
}

func (o Options) filled() Options {
	if o.Objects <= 0 {
		o.Objects = 1000
	}
	if o.Parts < 1 {
		o.Parts = 8
	}
	if o.KB <= 0 {
		o.KB = 100
	}
	return o
}

// Zone is what the change does to the requests of one zone's routers.
type Zone struct {
	Zone    string  `json:"zone"`
	Asked   int     `json:"asked"`     // objects and parts
	Moved   float64 `json:"moved"`     // share that goes to another cache, once all are warm
	Parents float64 `json:"parents"`   // share of fills that goes to another parent, once all are warm
	MB      float64 `json:"refill_mb"` // of what moved, of what was asked
	LinkSec float64 `json:"link_s"`    // that takes the zone's link so long; 0: the link is not told
	Refused int     `json:"refused"`   // of the requests at once after the change
	Past    int     `json:"past"`      // and those that went past the caches
	Members []Share `json:"members"`
}

// Share is what a member is given of the requests, or of the fills.
type Share struct {
	Member string  `json:"member"`
	Role   string  `json:"role"` // cache or source
	Before float64 `json:"before"`
	AtOnce float64 `json:"at_once"` // just after the change, within its cold budget where it is new
	Warm   float64 `json:"warm"`
}

// Report is what a list would do.
type Report struct {
	Reasons []string `json:"reasons,omitempty"` // against it: routers would refuse it
	Steps   []string `json:"steps,omitempty"`   // in which it would be told
	Zones   []Zone   `json:"zones,omitempty"`

	Rehearsal *Rehearsal `json:"rehearsal,omitempty"`
}

// Check judges a list, and against an old one what it would do. old may be empty.
func Check(list, old []config.Source, o Options) (*Report, error) {
	o = o.filled()
	rep := &Report{}
	var before []byte
	if len(old) > 0 {
		b, reasons := service.Validate(old, nil, service.NoLimits())
		if len(reasons) > 0 {
			return nil, fmt.Errorf("listcheck: the old list does not stand by itself: %s", reasons[0])
		}
		before = b
	}
	after, reasons := service.Validate(list, before, o.Limits)
	for _, r := range reasons {
		rep.Reasons = append(rep.Reasons, r.String())
	}
	if after == nil || before == nil {
		return rep, nil
	}
	var was, is config.Settings
	if err := errors.Join(config.ReadVersion("old", string(before), nil, &was), config.ReadVersion("new", string(after), nil, &is)); err != nil {
		return nil, err
	}
	for _, s := range configversion.Diff(was.Members, is.Members) {
		line := s.Kind.String() + ":"
		for _, m := range s.Members {
			line += " " + m.ID
		}
		rep.Steps = append(rep.Steps, line)
	}
	for _, z := range was.Zones {
		if z.Routers == 0 {
			continue
		}
		one, err := tryZone(string(before), string(after), z.Name, o)
		if err != nil {
			return nil, err
		}
		rep.Zones = append(rep.Zones, *one)
	}
	if o.Rehearse != nil {
		var err error
		if rep.Rehearsal, err = Rehearse(string(before), string(after), *o.Rehearse); err != nil {
			return nil, err
		}
	}
	return rep, nil
}

// thing is an object, or a part of one.
type thing struct {
	class, object string
	part          int
	kb            float64
}

// tryZone asks a zone's router for the same things before the change, at once
// after it, and when all who are new are warm.
func tryZone(before, after, zone string, o Options) (*Zone, error) {
	own := &config.Settings{}
	if err := config.Read("own", fmt.Sprintf(`(router (zone %q)) (control (services "127.0.0.1:1") (start wait))`, zone), own); err != nil {
		return nil, err
	}
	var was, is config.Settings
	if err := errors.Join(config.ReadVersion("old", before, own, &was), config.ReadVersion("new", after, own, &is)); err != nil {
		return nil, err
	}
	a, err := NewSimulatedRouter(&was, o.Seed)
	if err != nil {
		return nil, err
	}
	a.Apply(engine.UpdateFromSettings(&was))
	things := draw(&was, o)
	if len(things) == 0 {
		return &Zone{Zone: zone}, nil
	}
	a.all(things) // so that ranges form
	a.Advance(6000)
	a.all(things)
	a.Advance(25000) // and what moved with them is settled
	first := a.all(things)
	for _, s := range configversion.Diff(was.Members, is.Members) {
		a.Apply(engine.UpdateFromVersion(1, s.Members, s.Kind == configversion.DeltaStarts))
	}
	if _, err := a.c.ChangeSettings(a.now, &is, nil); err != nil {
		return nil, err
	}
	second := a.all(things)
	a.Advance(max(is.Rules.ColdTime, is.Rules.ParentColdTime) + 25000)
	third := a.all(things)
	return compare(zone, &is, things, first, second, third), nil
}

func draw(s *config.Settings, o Options) (out []thing) {
	rng := rand.New(rand.NewPCG(o.Seed, 0x115c))
	kb := map[string]float64{}
	for _, r := range s.Routes {
		kb[r.Class] = r.KB
	}
	for _, k := range s.Classes {
		if k.Write {
			continue
		}
		size := kb[k.Name]
		if size <= 0 {
			size = o.KB
		}
		for i := range o.Objects {
			t := thing{k.Name, fmt.Sprintf("/%s/%d", k.Name, i), 0, size}
			for out = append(out, t); k.Parts && rng.Float64() < 1-1/o.Parts; out = append(out, t) {
				t.part++
			}
		}
	}
	return out
}

func (a *SimulatedRouter) all(things []thing) []Placement {
	out := make([]Placement, len(things))
	for i, t := range things {
		out[i] = a.Route(spool.Request{Class: t.class, Object: t.object, Part: t.part, KB: t.kb})
	}
	return out
}

func compare(zone string, s *config.Settings, things []thing, first, second, third []Placement) *Zone {
	z := &Zone{Zone: zone, Asked: len(things)}
	kind := map[string]string{}
	for _, m := range s.Members {
		kind[m.ID] = m.Kind
	}
	type key struct{ member, role string }
	shares := map[key]*Share{}
	count := func(list []Placement, add func(*Share, float64)) {
		for _, p := range list {
			for _, k := range []key{{p.Cache, "cache"}, {p.Source, "source"}} {
				if k.member == "" {
					continue
				}
				if shares[k] == nil {
					shares[k] = &Share{Member: k.member, Role: k.role}
				}
				add(shares[k], 1/float64(len(list)))
			}
		}
	}
	count(first, func(s *Share, x float64) { s.Before += x })
	count(second, func(s *Share, x float64) { s.AtOnce += x })
	count(third, func(s *Share, x float64) { s.Warm += x })
	for i := range things {
		if first[i].Cache != third[i].Cache {
			z.Moved += 1 / float64(len(things))
			z.MB += things[i].kb / 1024
		}
		if first[i].Source != third[i].Source {
			z.Parents += 1 / float64(len(things))
		}
		switch k := kind[second[i].Cache]; {
		case second[i].Cache == "":
			z.Refused++
		case k == s.Fill.ParentKind || k == s.Fill.OriginKind:
			z.Past++
		}
	}
	for _, one := range s.Zones {
		if one.Name == zone && one.LinkIn > 0 {
			z.LinkSec = z.MB * 1024 / one.LinkIn / 1000
		}
	}
	for _, sh := range shares {
		z.Members = append(z.Members, *sh)
	}
	sort.Slice(z.Members, func(i, j int) bool {
		a, b := z.Members[i], z.Members[j]
		return a.Role < b.Role || a.Role == b.Role && a.Member < b.Member
	})
	return z
}

// Text writes a report for reading.
func (r *Report) Text(w io.Writer) {
	for _, one := range r.Reasons {
		fmt.Fprintf(w, "refused: %s\n", one)
	}
	for _, s := range r.Steps {
		fmt.Fprintf(w, "step: %s\n", s)
	}
	for _, z := range r.Zones {
		fmt.Fprintf(w, "zone %s: of %d objects and parts %.1f %% go to another cache, %.1f %% of fills to another parent; %.1f MB to fill anew",
			z.Zone, z.Asked, 100*z.Moved, 100*z.Parents, z.MB)
		if z.LinkSec > 0 {
			fmt.Fprintf(w, ", %.0f s of the zone's link", z.LinkSec)
		}
		fmt.Fprintf(w, "; at once %d refused or waiting, %d past the caches\n", z.Refused, z.Past)
		t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
		for _, m := range z.Members {
			fmt.Fprintf(t, "  %s\t%s\tbefore %.1f %%\tat once %.1f %%\twarm %.1f %%\n", m.Role, m.Member, 100*m.Before, 100*m.AtOnce, 100*m.Warm)
		}
		t.Flush()
	}
	if r.Rehearsal != nil {
		r.Rehearsal.Text(w)
	}
}
