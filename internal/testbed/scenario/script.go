// Package scenario runs scripted test scenarios, called days: a fleet of test servers,
// separate router processes in front of them, clients with open-loop arrivals, and faults
// injected at scheduled times. Test servers and clients record their traffic in a traffic
// log (internal/testbed/trafficlog), and the five rules are checked against it
// (internal/testbed/invariants). A scenario does not influence the routers' decisions.
package scenario

import (
	"fmt"
	"slices"
	"strings"

	"indigospool/internal/config"
	"indigospool/internal/testbed/invariants"
	"indigospool/internal/testbed/testserver"
)

// Script is a day script. Times are in ms, sizes in KB, transfer rates in KB per ms and
// request rates per second.
type Script struct {
	Day     DaySettings                    `edn:"day,required"`
	Stand   testserver.SharedSettings      `edn:"stand"`
	List    testserver.ListServiceSettings `edn:"list"`
	Rules   config.Rules                   `edn:"rules"`
	Limits  config.Limits                  `edn:"limits"`
	Fill    config.Fill                    `edn:"fill"`
	Pages   config.Pages                   `edn:"pages"`
	Zones   []Zone                         `edn:"zone"`
	Parents Parents                        `edn:"parents"`
	Origin  Origin                         `edn:"origin"`
	Classes []Class                        `edn:"class"`
	Faults  []FaultSpec                    `edn:"trouble"`
	Control ControlSettings                `edn:"control"`
}

// DaySettings holds the settings of the day as a whole.
type DaySettings struct {
	Place           config.Place
	Name            string  `edn:"@,required"`
	Length          float64 `edn:"length" def:"60000" min:"500"`
	Settle          float64 `edn:"settle" def:"2000" min:"0"` // time before the first clients arrive; a quarter of it passes after the last have ended
	Seed            int     `edn:"seed" def:"1"`
	Routers         int     `edn:"routers" def:"2" min:"1"`  // assigned to the zones in turn
	Rate            float64 `edn:"rate" def:"100" min:"0.1"` // requests per second of all clients, without retries
	Retries         int     `edn:"retries" def:"2" min:"0"`
	RetryWait       float64 `edn:"retry-wait" def:"250" min:"0"`
	MinTimeoutShare float64 `edn:"patience" def:"0.7" min:"0.05" max:"1"` // minimum timeout of a try, as a share of the class's deadline
	AbandonShare    float64 `edn:"leave" def:"0.01" min:"0" max:"1"`      // share of tries whose client closes the connection early
	PurgeRate       float64 `edn:"purges" def:"0.5" min:"0"`              // objects per second
	Groups          int     `edn:"groups" def:"32" min:"1"`
	ObservationSkew float64 `edn:"spread" def:"60" min:"0"`        // see invariants.Parameters
	StaleListAge    float64 `edn:"stale-start" def:"3000" min:"0"` // a starting router first gets the endpoint list of this many ms ago
}

// Zone is a location with boxes.
type Zone struct {
	Place        config.Place
	Name         string  `edn:"@,required"`
	Hub          string  `edn:"hub" def:"hub"`
	Boxes        int     `edn:"boxes" def:"3" min:"1"`
	LinkCapacity float64 `edn:"link" min:"0"` // of all fills into the zone, KB per ms; 0: no limit
	Share        float64 `edn:"share" def:"1" min:"0"`
	MB           float64 `edn:"mb" def:"48" min:"0.1"` // per box
	Capacity     float64 `edn:"capacity" def:"10" min:"0.1"`
	MaxFills     int     `edn:"fills" def:"24" min:"0"`
}

// Parents are the caches at the hubs.
type Parents struct {
	Count    int     `edn:"count" def:"2" min:"0"`
	Capacity float64 `edn:"capacity" def:"20" min:"0.1"`
	MB       float64 `edn:"mb" def:"128" min:"0.1"`
	Latency  float64 `edn:"latency" def:"8" min:"0"`
}

// Origin is the origin server of all objects.
type Origin struct {
	Capacity float64 `edn:"capacity" def:"40" min:"0.1"`
	Latency  float64 `edn:"latency" def:"30" min:"0"`
	Limit    int     `edn:"limit" min:"0"`
}

// Class is a class of requests and describes how clients make them.
type Class struct {
	Place                config.Place
	Name                 string  `edn:"@,required"`
	Share                float64 `edn:"share" def:"1" min:"0"` // of all requests
	KB                   float64 `edn:"kb" def:"60" min:"0.1"`
	LatencyObjective     float64 `edn:"aim" def:"400" min:"1"`
	ObjectivePerSendTime float64 `edn:"aim-stretch" def:"2" min:"0"`
	Deadline             float64 `edn:"deadline" def:"3000" min:"1"`
	PriorityWeight       float64 `edn:"worth" def:"1" min:"0"`
	LateWeightShare      float64 `edn:"late-worth" def:"0.2" min:"0" max:"1"`
	Weight               float64 `edn:"weight" def:"1" min:"0.01"` // see config.Class
	Objects              int     `edn:"objects" def:"300" min:"1"`
	Zipf                 float64 `edn:"zipf" def:"1.1" min:"1.001"`
	Parts                int     `edn:"parts" min:"0"`                  // parts of an object; 0: objects have no parts
	ContinueChance       float64 `edn:"stay" def:"0.9" min:"0" max:"1"` // probability that a client requests the next part
	PartInterval         float64 `edn:"gap" def:"400" min:"0"`          // mean time between a client's requests for parts
	Fresh                float64 `edn:"fresh" min:"0"`
	Grace                float64 `edn:"grace" min:"0"`
	PageFragments        int     `edn:"pages" min:"0" max:"1000"` // of a class of pages: fragments per page; 0: not a class of pages
	FragmentClass        string  `edn:"of"`                       // of a class of pages: the class of its fragments
	Write                bool    `edn:"write"`
	Idempotency          string  `edn:"effect" def:"free" oneof:"free guarded single-shot"`
	KeyScope             string  `edn:"group" def:"all" oneof:"nowhere cell zone all"`
	KeyWindow            float64 `edn:"window" def:"2000" min:"0"`
}

// FaultSpec is a fault that is injected at a time and for a duration.
type FaultSpec struct {
	Place         config.Place
	Kind          string  `edn:"@,required"`
	At            float64 `edn:"at,required" min:"0"`
	Duration      float64 `edn:"for" def:"3000" min:"0"`
	Boxes         int     `edn:"boxes" min:"0"` // numbers of boxes, parents and routers that are affected
	Parents       int     `edn:"parents" min:"0"`
	Routers       int     `edn:"routers" min:"0"`
	Origin        bool    `edn:"origin"`
	Zone          string  `edn:"zone"`                     // only boxes of this zone; of zone-loss: the zone that is lost
	Share         float64 `edn:"share" min:"0" max:"1"`    // of attempts, of groups (flush) or of requests (hot-key, scan)
	Factor        float64 `edn:"factor" def:"4" min:"1"`   // of slow and ageing
	PauseInterval float64 `edn:"every" def:"1000" min:"1"` // of pauses
	PauseLength   float64 `edn:"length" def:"200" min:"1"`
	Clients       int     `edn:"clients" min:"0"`           // of slow-readers and slow-askers
	ReadRate      float64 `edn:"rate" def:"1" min:"0"`      // KB per second that slow-readers read
	DrainNotice   float64 `edn:"notice" def:"1500" min:"0"` // of preempt: time from the drain to the kill
	Control       bool    `edn:"control"`                   // of process faults: the control service is affected too
	Plan          string  `edn:"plan"`                      // of syscalls: see faultinject.Parse
	Peer          string  `edn:"peer"`                      // of syscalls: members or clients, whose connections are affected; empty: both
	Step          float64 `edn:"step"`                      // of clock-step: ms by which the clock is set
	Errno         string  `edn:"errno"`                     // of folder-fault: name of the error
}

// name returns the name of the fault in output and in the traffic log.
func (t *FaultSpec) name() string { return fmt.Sprintf("%s@%.1fs", t.Kind, t.At/1000) }

// The faults that the scenario itself carries out. The test servers carry out those in
// testserver.Kinds.
const (
	Crash          = "crash"       // test servers are killed and start again cold
	Drain          = "drain"       // members are draining for a time, then serving again
	Preempt        = "preempt"     // members drain, are killed, and are replaced by cold ones
	ZoneLoss       = "zone-loss"   // all boxes of a zone, or all parents, crash at once
	RouterKill     = "router-kill" // routers are killed and start with an old endpoint list
	Flush          = "flush"       // a share of the groups is purged at once
	HotKey         = "hot-key"     // a share of the requests is for one new object
	Scan           = "scan"        // a share of the requests is for objects that are requested only once
	OriginSlow     = "origin-slow"
	ListDisconnect = "list-cut"  // the streams of the discovery service are cut
	ListRollback   = "list-back" // the streams are cut, and resume with an older version
	ListDown       = "list-down"
)

var dayKinds = []string{SlowReaders, SlowSenders, RouterRestart, Crash, Drain, Preempt, ZoneLoss, RouterKill, Flush, HotKey, Scan, OriginSlow, ListDisconnect, ListRollback, ListDown}

// Check reports settings that contradict each other or name unknown things.
func (s *Script) Check(f *config.Faults) {
	add := func(p config.Pos, key, what, remedy string) {
		*f = append(*f, config.Fault{Pos: p, Key: key, What: what, Remedy: remedy})
	}
	zones := map[string]Zone{}
	boxes := 0
	for _, z := range s.Zones {
		if _, twice := zones[z.Name]; twice || z.Name == z.Hub {
			add(z.Place.Pos, "zone", fmt.Sprintf("zone %q is named twice, or is its own hub", z.Name), "give it another name")
		}
		zones[z.Name] = z
		boxes += z.Boxes
	}
	if len(s.Zones) == 0 {
		add(s.Day.Place.Pos, "zone", "no zone is given", "add (zone name (boxes n))")
	}
	if len(s.Classes) == 0 {
		add(s.Day.Place.Pos, "class", "no class is given", "add (class name (share x) (kb n))")
	}
	names := map[string]bool{}
	for _, c := range s.Classes {
		if names[c.Name] || strings.ContainsAny(c.Name, "/ ?#%") {
			add(c.Place.Pos, "class", fmt.Sprintf("class %q is named twice, or has a character that is not allowed in a path", c.Name), "give it another name")
		}
		names[c.Name] = true
		if c.LatencyObjective > c.Deadline {
			add(c.Place.Of("aim"), "class/aim", fmt.Sprintf("aim %v is past the deadline %v", c.LatencyObjective, c.Deadline), "lower it")
		}
	}
	for _, t := range s.Faults {
		if known := slices.Concat(dayKinds, processKinds, testserver.Kinds, controlKinds); !contains(known, t.Kind) {
			add(t.Place.Pos, "trouble", fmt.Sprintf("unknown trouble %q", t.Kind), "known are "+strings.Join(known, ", "))
			continue
		}
		if contains(processKinds, t.Kind) {
			if what, remedy := s.checkProcessFault(&t); what != "" {
				add(t.Place.Pos, "trouble", what, remedy)
			}
		}
		byVersion := s.Control.On && !s.Control.FromList
		switch {
		case contains(controlKinds, t.Kind) && !s.Control.On:
			add(t.Place.Pos, "trouble", t.Kind+" without a control service", "add (control (on))")
		case byVersion && contains([]string{ListDisconnect, ListRollback, ListDown, ZoneLoss, ControlOlder}, t.Kind):
			add(t.Place.Pos, "trouble", t.Kind+" where settings versions list the members", "add (from-list) to (control ...)")
		}
		if t.At >= s.Day.Length {
			add(t.Place.Of("at"), "trouble/at", fmt.Sprintf("%v is past the day's length %v", t.At, s.Day.Length), "lower it")
		}
		if _, ok := zones[t.Zone]; t.Zone != "" && !ok {
			add(t.Place.Of("zone"), "trouble/zone", fmt.Sprintf("%q is no zone", t.Zone), "name one that is given")
		}
		if t.Boxes > boxes || t.Parents > s.Parents.Count || t.Routers > s.Day.Routers {
			add(t.Place.Pos, "trouble", "affects more machines than there are", "lower their number")
		}
		if contains(testserver.Kinds, t.Kind) || contains([]string{Crash, Drain, Preempt}, t.Kind) {
			if t.Boxes+t.Parents == 0 && !t.Origin {
				add(t.Place.Pos, "trouble", t.Kind+" affects no machine", "add (boxes n), (parents n) or (origin)")
			}
		}
		if (t.Kind == RouterKill || t.Kind == RouterRestart) && t.Routers == 0 {
			add(t.Place.Pos, "trouble", t.Kind+" affects no machine", "add (routers n)")
		}
		if t.Kind == RouterRestart && s.Control.On {
			add(t.Place.Pos, "trouble", "router-restart with a control service: only one process can open the store of versions", "leave out one of the two")
		}
		if (t.Kind == SlowReaders || t.Kind == SlowSenders) && t.Clients == 0 {
			add(t.Place.Pos, "trouble", t.Kind+" has no clients", "add (clients n)")
		}
		if contains([]string{Flush, HotKey, Scan}, t.Kind) && t.Share == 0 {
			add(t.Place.Pos, "trouble", t.Kind+" has no share", "add (share x), from 0 to 1")
		}
	}
}

func contains(list []string, s string) bool {
	for _, one := range list {
		if one == s {
			return true
		}
	}
	return false
}

// RuleParameters returns the limits that the rules are checked with.
func (s *Script) RuleParameters() invariants.Parameters {
	parameters := invariants.Parameters{AnswerSlack: s.Limits.AnswerSlack, DrainGrace: s.Rules.DrainGrace, WarmUpInitialShare: s.Rules.WarmUpInitialShare,
		WarmUpTime: s.Rules.WarmUpTime, OverloadFactor: s.Rules.OverloadFactor, OverloadTime: s.Rules.OverloadTime,
		ParentWarmUpInitialShare: s.Rules.ParentWarmUpInitialShare, ParentWarmUpTime: s.Rules.ParentWarmUpTime, ParentOverloadFactor: s.Rules.ParentOverloadFactor,
		PurgeGrace: s.Rules.PurgeSlack, HedgedRequests: s.Limits.HedgedRequests, ObservationSkew: s.Day.ObservationSkew,
		Classes: map[string]invariants.Class{}}
	for _, c := range s.Classes {
		parameters.Classes[c.Name] = invariants.Class{Idempotency: c.Idempotency, KeyScope: c.KeyScope, KeyWindow: c.KeyWindow}
	}
	parameters.NotExercised = s.rulesNotExercised()
	return parameters
}

// rulesNotExercised returns the rules that nothing in the script exercises. Drains and
// removals exercise rule 3, cold starts rule 4, and purges rule 5.
func (s *Script) rulesNotExercised() (rules []int) {
	exercised := [6]bool{5: s.Day.PurgeRate > 0}
	for _, t := range s.Faults {
		switch {
		case t.Kind == Drain || contains(controlKinds, t.Kind):
			exercised[3] = true
		case contains([]string{Crash, Preempt, ZoneLoss}, t.Kind):
			exercised[3], exercised[4] = true, true
		case t.Kind == testserver.Vanish:
			exercised[4] = true
		case t.Kind == Flush:
			exercised[5] = true
		}
	}
	for rule := 3; rule < len(exercised); rule++ {
		if !exercised[rule] {
			rules = append(rules, rule)
		}
	}
	return rules
}

// Settings returns the settings of one router of the day.
func (s *Script) Settings(name, zone string, index int, list string) *config.Settings {
	settings := config.Defaults()
	settings.Limits, settings.Rules, settings.Fill, settings.Pages = s.Limits, s.Rules, s.Fill, s.Pages
	settings.Fill.FlowKBPerMs = s.Stand.Flow
	r := &settings.Router
	r.Name, r.Index, r.Routers, r.Zone, r.DiscoveryAddress = name, index, s.Day.Routers, zone, list
	r.Listen, r.Admin, r.Seed = "127.0.0.1:0", "127.0.0.1:0", s.Day.Seed*1000+index
	routers := s.routersByZone()
	hubs := map[string]bool{}
	for _, z := range s.Zones {
		settings.Zones = append(settings.Zones, config.Zone{Name: z.Name, Hub: z.Hub, Routers: routers[z.Name], LinkCapacity: z.LinkCapacity})
		if !hubs[z.Hub] {
			hubs[z.Hub] = true
			settings.Zones = append(settings.Zones, config.Zone{Name: z.Hub, Hub: z.Hub})
		}
	}
	for _, k := range s.Classes {
		cl := config.Class{Name: k.Name, LatencyObjective: k.LatencyObjective, ObjectivePerSendTime: k.ObjectivePerSendTime, Deadline: k.Deadline, PriorityWeight: k.PriorityWeight,
			LateWeightShare: k.LateWeightShare, Idempotency: k.Idempotency, KeyScope: k.KeyScope, InParts: k.Parts > 0, Pages: k.PageFragments > 0, TransferWeight: k.Weight, Write: k.Write, Fresh: k.Fresh, Grace: k.Grace}
		if k.Idempotency == "guarded" {
			cl.KeyWindow = k.KeyWindow
		}
		settings.Classes = append(settings.Classes, cl)
		settings.Routes = append(settings.Routes, config.Route{Pattern: pattern(&k), Class: k.Name})
	}
	return settings
}

func pattern(k *Class) string {
	if k.Parts > 0 {
		return "/" + k.Name + "/{group}/{object}/{part}"
	}
	return "/" + k.Name + "/{group}/{object}"
}

func (s *Script) routersByZone() map[string]int {
	out := map[string]int{}
	for i := range s.Day.Routers {
		out[s.Zones[i%len(s.Zones)].Name]++
	}
	return out
}

// Read reads a day script.
func Read(file string) (*Script, error) {
	s := &Script{}
	return s, config.ReadFile(file, s)
}
