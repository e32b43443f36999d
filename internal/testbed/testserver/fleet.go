package testserver

import (
	"context"
	"fmt"
	"io"

	"indigospool/internal/config"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/testbed/trafficlog"
)

// Fleet is a settings file of test servers. Durations are in ms, sizes in KB, rates in KB per ms.
type Fleet struct {
	Stand   SharedSettings      `edn:"stand"`
	List    ListServiceSettings `edn:"list"`
	Classes []ClassSettings     `edn:"class"`
	Members []Machine           `edn:"machine"`
}

// SharedSettings holds the settings that all servers of a fleet share.
type SharedSettings struct {
	Flow               float64  `edn:"flow" def:"4" min:"0.01"`      // rate of one transfer to a client
	FillFlow           float64  `edn:"fill-flow" min:"0"`            // rate of one transfer to a cache; 0: three times Flow
	FillTimeout        float64  `edn:"fill-wait" def:"2000" min:"1"` // time without data after which a fill fails
	WarmUpInitialShare float64  `edn:"cold-from" def:"0.2" min:"0" max:"1"`
	WarmUpTime         float64  `edn:"cold-time" def:"18000" min:"0"`
	OverloadFactor     float64  `edn:"fall" def:"4" min:"0"`
	OverloadTime       float64  `edn:"fall-time" def:"3000" min:"1"`
	Feedback           []string `edn:"feedback"`
	Seed               int      `edn:"seed" def:"1"`
	Boxes              string   `edn:"boxes" def:"stand-in" oneof:"stand-in warm cold"` // used by scenarios: warm and cold run spool-cache instead of test servers; after a crash it keeps its copies (warm) or has none (cold)
}

// ListServiceSettings configures the delays of the list service. For each stream, the delay of updates of
// members is drawn between LagFrom and LagTo, and that of purges between PurgeFrom and PurgeTo.
type ListServiceSettings struct {
	Listen    string  `edn:"listen" def:"127.0.0.1:0"`
	LagFrom   float64 `edn:"lag-from" min:"0"`
	LagTo     float64 `edn:"lag-to" min:"0"`
	PurgeFrom float64 `edn:"purge-from" min:"0"`
	PurgeTo   float64 `edn:"purge-to" min:"0"`
}

// ClassSettings describes a class of requests. Its fields are those of Class.
type ClassSettings struct {
	Name   string  `edn:"@,required"`
	KB     float64 `edn:"kb" def:"60" min:"0.001"`
	Fresh  float64 `edn:"fresh" min:"0"`
	Write  bool    `edn:"write"`
	Window float64 `edn:"window" min:"0"`
}

// Machine configures one test server.
type Machine struct {
	Place                  config.Place
	ID                     string  `edn:"@,required"`
	Role                   string  `edn:"role" def:"box" oneof:"box parent origin"`
	Zone                   string  `edn:"zone"`
	Listen                 string  `edn:"listen" def:"127.0.0.1:0"`
	Upstream               string  `edn:"upstream"` // used by parents: address of the origin
	Capacity               float64 `edn:"capacity" def:"20" min:"0"`
	MB                     float64 `edn:"mb" def:"64" min:"0.001"`
	LinkIn                 float64 `edn:"link" min:"0"`
	Latency                float64 `edn:"latency" min:"0"`
	MaxFills               int     `edn:"fills" min:"0"`
	Cold                   bool    `edn:"cold"`
	CompleteAbandonedFills bool    `edn:"run-on"`
	Limit                  int     `edn:"limit" min:"0"`
}

// Check reports settings that contradict each other.
func (f *Fleet) Check(faults *config.Faults) {
	seen := map[string]bool{}
	for _, m := range f.Members {
		if seen[m.ID] {
			*faults = append(*faults, config.Fault{Pos: m.Place.Pos, Key: "machine",
				What: fmt.Sprintf("machine %q is named twice", m.ID), Remedy: "keep one of them"})
		}
		seen[m.ID] = true
		if m.Role == "parent" && m.Upstream == "" {
			*faults = append(*faults, config.Fault{Pos: m.Place.Pos, Key: "machine/upstream",
				What: "a parent needs the origin's address", Remedy: `add (upstream "host:port")`})
		}
	}
	if f.List.LagTo < f.List.LagFrom || f.List.PurgeTo < f.List.PurgeFrom {
		*faults = append(*faults, config.Fault{Pos: config.Pos{File: "list", Line: 1, Col: 1}, Key: "list",
			What: "the upper bound of a lag is below the lower bound", Remedy: "raise lag-to or purge-to"})
	}
}

// ReadFleet reads a fleet file.
func ReadFleet(file string) (*Fleet, error) {
	f := &Fleet{}
	return f, config.ReadFile(file, f)
}

// Config returns the configuration of the machine with an ID.
func (f *Fleet) Config(id string) (Config, error) {
	for _, m := range f.Members {
		if m.ID != id {
			continue
		}
		c := Config{ID: m.ID, Role: m.Role, Zone: m.Zone, Listen: m.Listen, Upstream: m.Upstream, Cold: m.Cold,
			Bytes: int64(m.MB * (1 << 20)), Capacity: m.Capacity, Flow: f.Stand.Flow, FillFlow: f.Stand.FillFlow,
			LinkIn: m.LinkIn, Latency: m.Latency, MaxFills: m.MaxFills, FillTimeout: f.Stand.FillTimeout, CompleteAbandonedFills: m.CompleteAbandonedFills,
			WarmUpInitialShare: f.Stand.WarmUpInitialShare, WarmUpTime: f.Stand.WarmUpTime, OverloadFactor: f.Stand.OverloadFactor, OverloadTime: f.Stand.OverloadTime,
			Limit: m.Limit, Seed: uint64(f.Stand.Seed), Feedback: f.Stand.Feedback}
		for _, k := range f.Classes {
			c.Classes = append(c.Classes, Class(k))
		}
		return c, nil
	}
	return Config{}, fmt.Errorf("testserver: the fleet has no machine %q", id)
}

// Run runs one machine, or the list service, until the context is done.
func (f *Fleet) Run(ctx context.Context, role, id string, w *trafficlog.Writer, out io.Writer) error {
	if role == "list" {
		l, err := StartListService(ListServiceConfig{ID: "list", Listen: f.List.Listen, LagFrom: f.List.LagFrom, LagTo: f.List.LagTo,
			PurgeFrom: f.List.PurgeFrom, PurgeTo: f.List.PurgeTo, Seed: uint64(f.Stand.Seed)}, w)
		if err != nil {
			return err
		}
		for _, m := range f.Members {
			l.Set(engine.Row{ID: m.ID, Kind: m.Role, Zone: m.Zone, Address: m.Listen, Start: 1}, 0)
		}
		fmt.Fprintf(out, "list service at %s\n", l.Addr())
		<-ctx.Done()
		l.Close()
		return w.Err()
	}
	c, err := f.Config(id)
	if err != nil {
		return err
	}
	if c.Role != role {
		return fmt.Errorf("testserver: machine %s has the role %s in the fleet, not %s", id, c.Role, role)
	}
	s, err := Start(c, w)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s %s at %s\n", role, id, s.Addr())
	<-ctx.Done()
	s.Kill()
	return w.Err()
}
