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

func (o Options) withDefaults() Options {
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
	Zone        string  `json:"zone"`
	Requests    int     `json:"asked"`     // objects and parts
	CacheMoved  float64 `json:"moved"`     // share that goes to another cache, once all are warm
	ParentMoved float64 `json:"parents"`   // share of fills that goes to another parent, once all are warm
	RefillMB    float64 `json:"refill_mb"` // of what moved, of what was asked
	LinkSeconds float64 `json:"link_s"`    // that takes the zone's link so long; 0: the link is not told
	Rejected    int     `json:"refused"`   // of the requests at once after the change
	Bypassed    int     `json:"past"`      // and those that went past the caches
	Members     []Share `json:"members"`
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
	o = o.withDefaults()
	report := &Report{}
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
		report.Reasons = append(report.Reasons, r.String())
	}
	if after == nil || before == nil {
		return report, nil
	}
	var oldSettings, newSettings config.Settings
	if err := errors.Join(config.ReadVersion("old", string(before), nil, &oldSettings), config.ReadVersion("new", string(after), nil, &newSettings)); err != nil {
		return nil, err
	}
	for _, s := range configversion.Diff(oldSettings.Members, newSettings.Members) {
		line := s.Kind.String() + ":"
		for _, m := range s.Members {
			line += " " + m.ID
		}
		report.Steps = append(report.Steps, line)
	}
	for _, z := range oldSettings.Zones {
		if z.Routers == 0 {
			continue
		}
		comparison, err := compareZone(string(before), string(after), z.Name, o)
		if err != nil {
			return nil, err
		}
		report.Zones = append(report.Zones, *comparison)
	}
	if o.Rehearse != nil {
		var err error
		if report.Rehearsal, err = Rehearse(string(before), string(after), *o.Rehearse); err != nil {
			return nil, err
		}
	}
	return report, nil
}

// sampleRequest is an object, or a part of one.
type sampleRequest struct {
	class, object string
	part          int
	sizeKB        float64
}

// compareZone asks a zone's router for the same things before the change, at once
// after it, and when all who are new are warm.
func compareZone(before, after, zone string, o Options) (*Zone, error) {
	local := &config.Settings{}
	if err := config.Read("own", fmt.Sprintf(`(router (zone %q)) (control (services "127.0.0.1:1") (start wait))`, zone), local); err != nil {
		return nil, err
	}
	var oldSettings, newSettings config.Settings
	if err := errors.Join(config.ReadVersion("old", before, local, &oldSettings), config.ReadVersion("new", after, local, &newSettings)); err != nil {
		return nil, err
	}
	router, err := NewSimulatedRouter(&oldSettings, o.Seed)
	if err != nil {
		return nil, err
	}
	router.Apply(engine.UpdateFromSettings(&oldSettings))
	samples := drawSamples(&oldSettings, o)
	if len(samples) == 0 {
		return &Zone{Zone: zone}, nil
	}
	router.routeAll(samples) // so that ranges form
	router.Advance(6000)
	router.routeAll(samples)
	router.Advance(25000) // and what moved with them is settled
	placedBefore := router.routeAll(samples)
	for _, s := range configversion.Diff(oldSettings.Members, newSettings.Members) {
		router.Apply(engine.UpdateFromVersion(1, s.Members, s.Kind == configversion.DeltaStarts))
	}
	if _, err := router.core.ChangeSettings(router.now, &newSettings, nil); err != nil {
		return nil, err
	}
	placedAtOnce := router.routeAll(samples)
	router.Advance(max(newSettings.Rules.ColdTime, newSettings.Rules.ParentColdTime) + 25000)
	placedWarm := router.routeAll(samples)
	return summarize(zone, &newSettings, samples, placedBefore, placedAtOnce, placedWarm), nil
}

func drawSamples(s *config.Settings, o Options) (samples []sampleRequest) {
	random := rand.New(rand.NewPCG(o.Seed, 0x115c))
	classKB := map[string]float64{}
	for _, r := range s.Routes {
		classKB[r.Class] = r.KB
	}
	for _, k := range s.Classes {
		if k.Write {
			continue
		}
		size := classKB[k.Name]
		if size <= 0 {
			size = o.KB
		}
		for i := range o.Objects {
			sample := sampleRequest{k.Name, fmt.Sprintf("/%s/%d", k.Name, i), 0, size}
			for samples = append(samples, sample); k.Parts && random.Float64() < 1-1/o.Parts; samples = append(samples, sample) {
				sample.part++
			}
		}
	}
	return samples
}

func (r *SimulatedRouter) routeAll(samples []sampleRequest) []Placement {
	placements := make([]Placement, len(samples))
	for i, t := range samples {
		placements[i] = r.Route(spool.Request{Class: t.class, Object: t.object, Part: t.part, KB: t.sizeKB})
	}
	return placements
}

func summarize(zone string, s *config.Settings, samples []sampleRequest, before, atOnce, warm []Placement) *Zone {
	z := &Zone{Zone: zone, Requests: len(samples)}
	kinds := map[string]string{}
	for _, m := range s.Members {
		kinds[m.ID] = m.Kind
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
	count(before, func(s *Share, x float64) { s.Before += x })
	count(atOnce, func(s *Share, x float64) { s.AtOnce += x })
	count(warm, func(s *Share, x float64) { s.Warm += x })
	for i := range samples {
		if before[i].Cache != warm[i].Cache {
			z.CacheMoved += 1 / float64(len(samples))
			z.RefillMB += samples[i].sizeKB / 1024
		}
		if before[i].Source != warm[i].Source {
			z.ParentMoved += 1 / float64(len(samples))
		}
		switch k := kinds[atOnce[i].Cache]; {
		case atOnce[i].Cache == "":
			z.Rejected++
		case k == s.Fill.ParentKind || k == s.Fill.OriginKind:
			z.Bypassed++
		}
	}
	for _, zoneSettings := range s.Zones {
		if zoneSettings.Name == zone && zoneSettings.LinkIn > 0 {
			z.LinkSeconds = z.RefillMB * 1024 / zoneSettings.LinkIn / 1000
		}
	}
	for _, share := range shares {
		z.Members = append(z.Members, *share)
	}
	sort.Slice(z.Members, func(i, j int) bool {
		a, b := z.Members[i], z.Members[j]
		return a.Role < b.Role || a.Role == b.Role && a.Member < b.Member
	})
	return z
}

// Text writes a report for reading.
func (r *Report) Text(w io.Writer) {
	for _, reason := range r.Reasons {
		fmt.Fprintf(w, "refused: %s\n", reason)
	}
	for _, s := range r.Steps {
		fmt.Fprintf(w, "step: %s\n", s)
	}
	for _, z := range r.Zones {
		fmt.Fprintf(w, "zone %s: of %d objects and parts %.1f %% go to another cache, %.1f %% of fills to another parent; %.1f MB to fill anew",
			z.Zone, z.Requests, 100*z.CacheMoved, 100*z.ParentMoved, z.RefillMB)
		if z.LinkSeconds > 0 {
			fmt.Fprintf(w, ", %.0f s of the zone's link", z.LinkSeconds)
		}
		fmt.Fprintf(w, "; at once %d refused or waiting, %d past the caches\n", z.Rejected, z.Bypassed)
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
