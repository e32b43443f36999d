// Package endpointcheck reports the effects of a new endpoint list before it is used:
// whether it passes the routers' checks, and which objects, parts and fills would move
// to other members. It sends the same requests to the decision module of a router in
// each zone, through internal/proxy/engine, before and after the change, and computes
// no placement itself. It has no state; the checks are those of configversion.Check.
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

// Options configures Check. Zero fields are set to the defaults.
type Options struct {
	Objects int     // requested in each zone, per class; default 1000
	Parts   float64 // mean number of parts of an object, in classes with parts; default 8
	KB      float64 // size of an object or part if its route has none; default 100
	Seed    uint64
	Limits  configversion.CheckLimits

	Rehearse *RehearseOptions // also simulate the change under load; nil: don't
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

// Zone has the effects of the change on the requests of one zone's routers.
type Zone struct {
	Zone        string  `json:"zone"`
	Requests    int     `json:"asked"`     // objects and parts requested
	CacheMoved  float64 `json:"moved"`     // share of requests that moved to another cache, once all caches are warm
	SourceMoved float64 `json:"parents"`   // share of fills that moved to another source, once all members are warm
	RefillMB    float64 `json:"refill_mb"` // size of the requested objects that moved
	LinkSeconds float64 `json:"link_s"`    // time to transfer RefillMB over the zone's link; 0: link capacity unknown
	Rejected    int     `json:"refused"`   // requests rejected or waiting immediately after the change
	Bypassed    int     `json:"past"`      // requests that bypassed the caches immediately after the change
	Members     []Share `json:"members"`
}

// Share is a member's share of the requests, or of the fills.
type Share struct {
	Member string  `json:"member"`
	Role   string  `json:"role"` // cache or source
	Before float64 `json:"before"`
	AtOnce float64 `json:"at_once"` // immediately after the change, limited by slow start if the member is new
	Warm   float64 `json:"warm"`    // once all members are warm
}

// Report has the effects of a list.
type Report struct {
	Reasons []string `json:"reasons,omitempty"` // why routers would reject the list
	Steps   []string `json:"steps,omitempty"`   // in which routers would apply the list
	Zones   []Zone   `json:"zones,omitempty"`

	Rehearsal *Rehearsal `json:"rehearsal,omitempty"`
}

// Check checks a list and, if old is not empty, reports the effects of changing from
// old to it.
func Check(list, old []config.Source, o Options) (*Report, error) {
	o = o.withDefaults()
	report := &Report{}
	var before []byte
	if len(old) > 0 {
		b, reasons := service.Validate(old, nil, service.NoLimits())
		if len(reasons) > 0 {
			return nil, fmt.Errorf("endpointcheck: the old list is invalid by itself: %s", reasons[0])
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

// sampleRequest is a request for an object or a part.
type sampleRequest struct {
	class, object string
	part          int
	sizeKB        float64
}

// compareZone sends the same requests to a router of the zone before the change,
// immediately after it, and once all new members are warm.
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
	router.routeAll(samples) // lets the ranges form
	router.Advance(6000)
	router.routeAll(samples)
	router.Advance(25000) // lets the objects that moved with the ranges settle
	placedBefore := router.routeAll(samples)
	for _, s := range configversion.Diff(oldSettings.Members, newSettings.Members) {
		router.Apply(engine.UpdateFromVersion(1, s.Members, s.Kind == configversion.DeltaStarts))
	}
	if _, err := router.core.ChangeSettings(router.now, &newSettings, nil); err != nil {
		return nil, err
	}
	placedAtOnce := router.routeAll(samples)
	router.Advance(max(newSettings.Rules.WarmUpTime, newSettings.Rules.ParentWarmUpTime) + 25000)
	placedWarm := router.routeAll(samples)
	return summarize(zone, &newSettings, samples, placedBefore, placedAtOnce, placedWarm), nil
}

// drawSamples returns requests for o.Objects objects of each class without writes, with
// a random number of parts in classes with parts.
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
			for samples = append(samples, sample); k.InParts && random.Float64() < 1-1/o.Parts; samples = append(samples, sample) {
				sample.part++
			}
		}
	}
	return samples
}

// routeAll routes all samples in order.
func (r *SimulatedRouter) routeAll(samples []sampleRequest) []Placement {
	placements := make([]Placement, len(samples))
	for i, t := range samples {
		placements[i] = r.Route(spool.Request{Class: t.class, Object: t.object, Part: t.part, KB: t.sizeKB})
	}
	return placements
}

// summarize computes the effects on a zone from the placements of the samples.
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
			z.SourceMoved += 1 / float64(len(samples))
		}
		switch k := kinds[atOnce[i].Cache]; {
		case atOnce[i].Cache == "":
			z.Rejected++
		case k == s.Fill.ParentKind || k == s.Fill.OriginKind:
			z.Bypassed++
		}
	}
	for _, zoneSettings := range s.Zones {
		if zoneSettings.Name == zone && zoneSettings.LinkCapacity > 0 {
			z.LinkSeconds = z.RefillMB * 1024 / zoneSettings.LinkCapacity / 1000
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

// Text writes the report as text.
func (r *Report) Text(w io.Writer) {
	for _, reason := range r.Reasons {
		fmt.Fprintf(w, "rejected: %s\n", reason)
	}
	for _, s := range r.Steps {
		fmt.Fprintf(w, "step: %s\n", s)
	}
	for _, z := range r.Zones {
		fmt.Fprintf(w, "zone %s: of %d objects and parts %.1f %% move to another cache, and %.1f %% of the fills to another source; %.1f MB to refill",
			z.Zone, z.Requests, 100*z.CacheMoved, 100*z.SourceMoved, z.RefillMB)
		if z.LinkSeconds > 0 {
			fmt.Fprintf(w, ", which takes the zone's link %.0f s", z.LinkSeconds)
		}
		fmt.Fprintf(w, "; immediately after the change %d rejected or waiting, %d bypass the caches\n", z.Rejected, z.Bypassed)
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
