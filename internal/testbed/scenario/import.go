package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sort"
	"strings"

	"indigospool/internal/config"
	"indigospool/internal/testbed/testserver"
)

// Scale is what an imported day is scaled to. Zero fields mean the defaults.
type Scale struct {
	Rate    float64 // requests a second; default 150
	Length  float64 // ms; default the day's
	Boxes   int     // at most; default 9
	Zones   int     // at most; default 3
	Routers int     // at most; default 4
	Flow    float64 // KB a ms of one transfer; default 1: times stay, bytes shrink
}

func (s Scale) filled() Scale {
	set := func(v *float64, d float64) {
		if *v <= 0 {
			*v = d
		}
	}
	set(&s.Rate, 150)
	set(&s.Flow, 1)
	for _, p := range []struct {
		v *int
		d int
	}{{&s.Boxes, 9}, {&s.Zones, 3}, {&s.Routers, 4}} {
		if *p.v <= 0 {
			*p.v = p.d
		}
	}
	return s
}

// benchScenario is what is read of a day drawn by the bench. Times are in µs.
type benchScenario struct {
	Site    string   `json:"site"`
	Kind    string   `json:"kind"`
	Length  float64  `json:"length"`
	Zones   []string `json:"zones"`
	Clients struct {
		Retries   int     `json:"retries"`
		TryShare  float64 `json:"try_share"`
		BackoffUs float64 `json:"backoff_us"`
	} `json:"clients"`
	Discovery struct {
		Notice float64 `json:"notice"`
	} `json:"discovery"`
	Allow struct {
		SecondCopies bool `json:"second_copies"`
		MaxAttempts  int  `json:"max_attempts"`
	} `json:"allow"`
	DrainGrace   float64 `json:"drain_grace"`
	FallMultiple float64 `json:"fall_multiple"`
	FallFor      float64 `json:"fall_for"`
	Classes      []struct {
		Name       string  `json:"name"`
		Share      float64 `json:"share"`
		Work       float64 `json:"work"`
		Aim        float64 `json:"aim"`
		AimStretch float64 `json:"aim_stretch"`
		Deadline   float64 `json:"deadline"`
		Worth      float64 `json:"worth"`
		LateWorth  float64 `json:"late_worth"`
		Effect     string  `json:"effect"`
		Group      string  `json:"group"`
		Window     float64 `json:"window"`
		Write      bool    `json:"write"`
	} `json:"classes"`
	Tiers []struct {
		ColdFrom float64 `json:"stated_cold_from"`
		Cold     float64 `json:"stated_cold"`
	} `json:"tiers"`
	Servers []struct {
		Zone int `json:"zone"`
		Kind int `json:"kind"`
	} `json:"servers"`
	Balancers []json.RawMessage `json:"balancers"`
	Troubles  []struct {
		Kind  string          `json:"kind"`
		At    float64         `json:"at"`
		Len   float64         `json:"len"`
		Size  float64         `json:"size"`
		Extra float64         `json:"extra"`
		On    json.RawMessage `json:"on"`
	} `json:"troubles"`
	Fam struct {
		Direct     bool      `json:"direct"`
		Joins      bool      `json:"joins"`
		Siblings   string    `json:"siblings"`
		Tells      string    `json:"tells"`
		Groups     int       `json:"groups"`
		Purges     float64   `json:"purges"`
		PurgeTell  float64   `json:"purge_tell"`
		PurgeDone  float64   `json:"purge_done"`
		PurgeGrace float64   `json:"purge_grace"`
		ParentCold []float64 `json:"parent_cold"`
		ParentFall float64   `json:"parent_fall"`
		ParentKind int       `json:"parent_kind"`
		OriginKind int       `json:"origin_kind"`
		OriginTime float64   `json:"origin_time"`
		Near       float64   `json:"near"`
		Hubs       int       `json:"hubs"`
		Stock      []struct {
			Objects float64 `json:"objects"`
			Parts   float64 `json:"parts"`
			Zipf    float64 `json:"zipf"`
			Stay    float64 `json:"stay"`
			Gap     float64 `json:"gap"`
			Fresh   float64 `json:"fresh"`
			Grace   float64 `json:"grace"`
		} `json:"stock"`
	} `json:"fam"`
}

// Import turns a day drawn by the bench into a script of the same kinds of
// trouble, at the same times. Machines, rate and bytes are scaled together; the
// notes say what was scaled, guessed, or can't be played.
func Import(b []byte, scale Scale) (script string, notes []string, err error) {
	var d benchScenario
	if err := json.Unmarshal(b, &d); err != nil {
		return "", nil, fmt.Errorf("day: the bench's day is no JSON of a day: %w", err)
	}
	if len(d.Classes) == 0 || len(d.Servers) == 0 || d.Length <= 0 || len(d.Fam.Stock) != len(d.Classes) {
		return "", nil, errors.New("day: not a day of the edge family: classes, servers, length or fam.stock are missing; draw it with lbsim draw SITE")
	}
	scale = scale.filled()
	note := func(format string, a ...any) { notes = append(notes, fmt.Sprintf(format, a...)) }
	ms := func(us float64) float64 { return math.Round(us) / 1000 }

	s := &Script{}
	if err := config.Read("defaults", `(day imported) (zone z (boxes 1)) (class c)`, s); err != nil {
		return "", nil, err
	}
	s.Zones, s.Classes = nil, nil
	boxes, parents := map[int]int{}, 0
	for _, m := range d.Servers {
		switch m.Kind {
		case d.Fam.ParentKind:
			parents++
		case d.Fam.OriginKind:
		default:
			boxes[m.Zone]++
		}
	}
	total := 0
	var places []int
	for z, n := range boxes {
		total += n
		places = append(places, z)
	}
	sort.Slice(places, func(i, j int) bool {
		a, b := boxes[places[i]], boxes[places[j]]
		return a > b || a == b && places[i] < places[j]
	})
	if len(places) > scale.Zones {
		note("scaled: %d of %d zones with boxes are played, the largest", scale.Zones, len(places))
		places = places[:scale.Zones]
	}
	s.Day.Name = toName(d.Site) + "-" + toName(d.Kind)
	s.Day.Length = ms(d.Length)
	if scale.Length > 0 {
		s.Day.Length = scale.Length
		note("scaled: length %.0f ms for %.0f ms; troubles move with it", scale.Length, ms(d.Length))
	}
	timeScale := s.Day.Length / ms(d.Length)
	s.Day.Routers = min(scale.Routers, max(len(d.Balancers), 1))
	s.Day.Routers = max(s.Day.Routers, len(places))
	s.Day.Rate, s.Day.Retries = scale.Rate, d.Clients.Retries
	s.Day.RetryWait, s.Day.MinTimeoutShare = ms(d.Clients.BackoffUs), min(max(d.Clients.TryShare, 0.3), 1)
	s.Day.PurgeRate, s.Day.Groups = d.Fam.Purges, max(d.Fam.Groups, 1)
	s.Stand.Flow = scale.Flow
	s.Stand.Feedback, s.Fill.LoadMetrics = []string{"inflight", "x0"}, []string{"inflight", "x0"}
	s.List.LagFrom, s.List.LagTo = ms(d.Discovery.Notice)*0.2, ms(d.Discovery.Notice)
	s.List.PurgeFrom, s.List.PurgeTo = ms(d.Fam.PurgeTell)*0.5, ms(d.Fam.PurgeTell)
	s.Rules.DrainGrace, s.Rules.OverloadFactor, s.Rules.OverloadTime = ms(d.DrainGrace), max(d.FallMultiple, 1), max(ms(d.FallFor), 1)
	s.Rules.PurgeTime, s.Rules.PurgeSlack = ms(d.Fam.PurgeDone), ms(d.Fam.PurgeGrace)
	if len(d.Tiers) > 0 {
		s.Rules.WarmUpInitialShare, s.Rules.WarmUpTime = d.Tiers[0].ColdFrom, ms(d.Tiers[0].Cold)
	}
	if len(d.Fam.ParentCold) == 2 {
		s.Rules.ParentWarmUpInitialShare, s.Rules.ParentWarmUpTime = d.Fam.ParentCold[0], ms(d.Fam.ParentCold[1])
	}
	s.Rules.ParentOverloadFactor = max(d.Fam.ParentFall, 1)
	s.Limits.HedgedRequests, s.Limits.Attempts = d.Allow.SecondCopies, max(d.Allow.MaxAttempts, 1)
	s.Fill.DirectAttempts, s.Fill.JoinFills = d.Fam.Direct, d.Fam.Joins
	if contains([]string{"location", "any"}, d.Fam.Siblings) {
		s.Fill.SiblingScope = d.Fam.Siblings
	}
	if contains([]string{"off", "hit", "all"}, d.Fam.Tells) {
		s.Fill.Detail = d.Fam.Tells
	}

	shares, work := 0.0, 0.0
	for _, c := range d.Classes {
		shares += c.Share
		work += c.Share * c.Work / 1000
	}
	sendTimePerSecond := scale.Rate * work / max(shares, 1e-9) // ms of sending a second
	played := 0
	for _, z := range places {
		played += boxes[z]
	}
	n := min(scale.Boxes, played)
	remaining := n
	for i, z := range places {
		k := max(int(math.Round(float64(n)*float64(boxes[z])/float64(played))), 1)
		if i == len(places)-1 || k > remaining-(len(places)-1-i) {
			k = max(remaining-(len(places)-1-i), 1)
		}
		remaining -= k
		name := fmt.Sprintf("zone%d", z)
		if z < len(d.Zones) {
			name = toName(d.Zones[z])
		}
		zone := Zone{Name: name, Hub: "hub", Boxes: k, Share: float64(k), MB: 48, MaxFills: 24}
		zone.Capacity = math.Ceil(sendTimePerSecond/1000/float64(n)*2*10) / 10
		zone.LinkCapacity = math.Ceil(float64(k)*zone.Capacity*scale.Flow*0.6*10) / 10
		s.Zones = append(s.Zones, zone)
	}
	s.Parents = Parents{Count: min(max(parents, 1), 2), Capacity: math.Ceil(sendTimePerSecond / 1000 * 1.3), MB: 128, Latency: ms(d.Fam.Near)}
	s.Origin = Origin{Capacity: math.Ceil(sendTimePerSecond / 1000 * 2), Latency: ms(d.Fam.OriginTime)}
	note("scaled: %d boxes for %d, %d parents for %d, %d routers for %d, %.0f requests a second, %.3g KB a ms a transfer",
		n, total, s.Parents.Count, parents, s.Day.Routers, len(d.Balancers), scale.Rate, scale.Flow)
	note("scaled: capacities and links from the load at that rate, a box at half of what it bears; the bench's speeds, cores and queues are not played")

	for i, c := range d.Classes {
		st := d.Fam.Stock[i]
		k := Class{Weight: 1, Name: toName(c.Name), Share: c.Share / max(shares, 1e-9), KB: max(c.Work/1000*scale.Flow, 0.1), LatencyObjective: ms(c.Aim),
			ObjectivePerSendTime: c.AimStretch, Deadline: ms(c.Deadline), PriorityWeight: c.Worth, LateWeightShare: c.LateWorth,
			Objects: max(int(st.Objects*float64(n)), 10), Zipf: max(st.Zipf, 1.01), ContinueChance: st.Stay, PartInterval: ms(st.Gap),
			Fresh: ms(st.Fresh), Grace: ms(st.Grace), Write: c.Write, Idempotency: "free", KeyScope: "all", KeyWindow: ms(c.Window)}
		switch c.Effect {
		case "keyed", "guarded":
			k.Idempotency = "guarded"
		case "unsafe", "single_shot":
			k.Idempotency = "single-shot"
		}
		if contains([]string{"cell", "zone", "all"}, c.Group) {
			k.KeyScope = c.Group
		}
		if st.Parts > 1.5 {
			k.Parts = int(math.Round(st.Parts))
		}
		if k.LatencyObjective > k.Deadline {
			k.LatencyObjective = k.Deadline
		}
		s.Classes = append(s.Classes, k)
	}
	note("guessed: how many objects there are, from the bench's figure a box")

	for _, t := range d.Troubles {
		x := FaultSpec{At: ms(t.At) * timeScale, Duration: ms(t.Len) * timeScale, Factor: 4, PauseInterval: 1000, PauseLength: 200, DrainNotice: 1500}
		if x.At >= s.Day.Length-500 {
			note("left out: %s at %.0f ms, past the day's end", t.Kind, x.At)
			continue
		}
		var on []int
		json.Unmarshal(t.On, &on) // not a list of numbers: nobody is named
		boxTargets, parentTargets := 0, 0
		for _, m := range on {
			if m >= 0 && m < len(d.Servers) {
				if d.Servers[m].Kind == d.Fam.ParentKind {
					parentTargets++
				} else if d.Servers[m].Kind != d.Fam.OriginKind {
					boxTargets++
				}
			}
		}
		scaleCount := func(of, all, have int) int {
			if of == 0 || all == 0 {
				return 0
			}
			return min(max(int(math.Round(float64(of)/float64(all)*float64(have))), 1), have)
		}
		setTargets := func() {
			x.Boxes, x.Parents = scaleCount(boxTargets, total, n), scaleCount(parentTargets, parents, s.Parents.Count)
			if x.Boxes+x.Parents == 0 {
				x.Boxes = 1
				note("guessed: %s at %.0f ms names nobody that is played; one box has it", t.Kind, x.At)
			}
		}
		setShare := func(d float64) {
			if x.Share = d; t.Size > 0 && t.Size <= 1 {
				x.Share = t.Size
			}
		}
		setFactor := func() {
			for _, f := range []float64{t.Size, t.Extra} {
				if f > 1 {
					x.Factor = min(f, 20)
					return
				}
			}
		}
		switch t.Kind {
		case "crash", "vanish", "hang", "preempt":
			x.Kind = t.Kind
			setTargets()
		case "slow", "ageing":
			x.Kind = t.Kind
			setTargets()
			setFactor()
		case "pauses":
			x.Kind = testserver.Pauses
			setTargets()
			for _, f := range []float64{t.Size, t.Extra} {
				if f >= 50_000 { // in µs
					x.PauseLength = min(max(ms(f), 50), 500)
				}
			}
			x.PauseInterval = 2500
		case "fast_errors":
			x.Kind = testserver.FastErrors
			setTargets()
			setShare(0.7)
		case "answer_lost":
			x.Kind = testserver.AnswerLost
			setTargets()
			setShare(0.5)
		case "balancer_crash":
			x.Kind = RouterKill
			x.Routers = scaleCount(max(len(on), 1), max(len(d.Balancers), 1), s.Day.Routers)
			if t.Size > 0 && t.Size <= 1 {
				x.Routers = max(int(math.Round(t.Size*float64(s.Day.Routers))), 1)
			}
			x.Duration = min(x.Duration, 4000)
		case "flush":
			x.Kind = Flush
			setShare(0.4)
		case "hot_key":
			x.Kind = HotKey
			setShare(0.2)
		case "scan":
			x.Kind = Scan
			setShare(0.1)
		case "origin_slow":
			x.Kind = OriginSlow
			setFactor()
		case "zone_loss":
			x.Kind = ZoneLoss
			if parentTargets == 0 {
				x.Zone = s.Zones[len(s.Zones)-1].Name
			}
		default:
			note("can't be played: %s at %.0f ms", t.Kind, x.At)
			continue
		}
		s.Faults = append(s.Faults, x)
	}
	text := config.Print(s)
	if err := config.Read("imported", text, &Script{}); err != nil {
		return "", notes, fmt.Errorf("day: the imported day is not valid: %w", err)
	}
	return "; imported from a day of the bench: simulated there, played on sockets here\n" + text, notes, nil
}

// toName makes a name that can stand in a path and in settings.
func toName(s string) string {
	var b strings.Builder
	for _, c := range strings.ToLower(s) {
		if c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' {
			b.WriteRune(c)
		} else {
			b.WriteByte('-')
		}
	}
	if b.Len() == 0 || b.String()[0] < 'a' {
		return "x" + b.String()
	}
	return b.String()
}
