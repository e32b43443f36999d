package simwire

import (
	"encoding/json"
	"fmt"

	spool "indigospool"
)

// at returns a list's element, or the zero value past its end.
func at[T any](list []T, i int) (v T) {
	if i >= 0 && i < len(list) {
		v = list[i]
	}
	return v
}

type bornFields struct {
	Seed uint64          `json:"init_seed"`
	Boot json.RawMessage `json:"boot_info"`
}

// Settings is all that an instance is told at its start: what the module goes by, and
// what only those on sockets need.
type Settings struct {
	Module         spool.Settings
	Kinds          []string
	ConnectTimeout float64 // ms
	ConnIdle       float64 // ms after which members close idle connections; 0: not told
	Streams        int     // attempts that a connection to a member carries at once; 0: not told
}

type boot struct {
	Classes []struct {
		Aim         float64 `json:"aim"`
		AimStretch  float64 `json:"aim_stretch"`
		Gain        float64 `json:"gain"`
		GiveUp      float64 `json:"give_up"`
		Group       string  `json:"group"`
		Idempotency string  `json:"idempotency"`
		LateWorth   float64 `json:"late_worth"`
		Name        string  `json:"name"`
		Stream      bool    `json:"stream"`
		Window      float64 `json:"window"`
	} `json:"classes"`
	Discovery string `json:"discovery"`
	Family    family `json:"family_info"`
	Feedback  struct {
		How   string   `json:"how"`
		Names []string `json:"names"`
	} `json:"feedback"`
	Kinds  []string `json:"kinds"`
	Limits struct {
		Cancel        bool    `json:"cancel"`
		ConnIdle      float64 `json:"conn_idle"`
		ConnTimeout   float64 `json:"connect_timeout"`
		MaxAttempts   int     `json:"max_attempts"`
		MaxRetryAfter float64 `json:"max_retry_after"`
		MostHeld      int     `json:"most_held"`
		Multiplex     int     `json:"multiplex"`
		Probing       bool    `json:"probing"`
		RetryAfter    bool    `json:"retry_after"`
		SecondCopies  bool    `json:"second_copies"`
	} `json:"limits"`
	Localities []string `json:"localities"`
	Me         int      `json:"me"`
	Instances  int      `json:"n_instances"`
	Rules      struct {
		AnswerSlack    float64 `json:"answer_slack"`
		Cold           float64 `json:"cold"`
		ColdFrom       float64 `json:"cold_from"`
		DrainGrace     float64 `json:"drain_grace"`
		MustAskIn      float64 `json:"must_ask_in"`
		OverloadFactor float64 `json:"overload_factor"`
		OverloadFor    float64 `json:"overload_for"`
	} `json:"rules"`
	Tick       float64 `json:"tick"`
	WeightKind string  `json:"weight_kind"`
	Zone       string  `json:"zone"`
}

type family struct {
	Lifetime    []float64 `json:"lifetime_by_class"`
	OlderBy     []float64 `json:"older_by"`
	InParts     []bool    `json:"in_parts"`
	StaleEarns  []float64 `json:"stale_earns"`
	ClassWrite  []bool    `json:"class_write"`
	PassThrough bool      `json:"pass_through_ok"`
	StreamKB    float64   `json:"stream_kb_per_s"`
	Joins       bool      `json:"joins"`
	OriginLimit float64   `json:"origin_limit_factor"`
	MasterKind  *int      `json:"master_kind"`
	ParentFrom  float64   `json:"parent_starts_at"`
	ParentCold  float64   `json:"parent_cold"`
	UpperFall   float64   `json:"upper_fall_multiple"`
	UpperKind   *int      `json:"upper_kind"`
	PurgeTakes  float64   `json:"purge_takes"`
	PurgeSlack  float64   `json:"purge_slack"`
	Neighbours  string    `json:"neighbours"`
	Detail      string    `json:"detail"`
	Seats       []int     `json:"seats_by_zone"`
	HomeHub     []int     `json:"home_hub"`
	LinkIn      []float64 `json:"link_in_kb_per_s"`
}

func parseBorn(raw json.RawMessage) (any, error) {
	var f bornFields
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, err
	}
	if f.Boot == nil {
		return nil, fmt.Errorf("no boot_info")
	}
	s, err := ParseSettings(f.Boot)
	return Born{Seed: f.Seed, Settings: s.Module}, err
}

// ParseSettings reads the object of settings, of an instance's first message as of a
// router's configuration. Whether they contradict themselves is the module's to say.
func ParseSettings(raw json.RawMessage) (out Settings, err error) {
	var b boot
	if err := json.Unmarshal(raw, &b); err != nil {
		return out, err
	}
	out = Settings{Kinds: b.Kinds, ConnectTimeout: b.Limits.ConnTimeout, ConnIdle: b.Limits.ConnIdle,
		Streams: b.Limits.Multiplex}
	out.Module, err = module(&b)
	return out, err
}

func module(b *boot) (spool.Settings, error) {
	fam := &b.Family
	s := spool.Settings{
		RouterIndex: b.Me, Routers: b.Instances, Zone: b.Zone, Zones: b.Localities,
		RoutersByZone: fam.Seats, HubOfZone: fam.HomeHub, LinkCapacity: map[string]float64{},
		TimerResolution: b.Tick, AnswerSlack: b.Rules.AnswerSlack, DrainGrace: b.Rules.DrainGrace,
		WarmUpInitialShare: b.Rules.ColdFrom, WarmUpTime: b.Rules.Cold,
		OverloadFactor: b.Rules.OverloadFactor, OverloadTime: b.Rules.OverloadFor,
		ParentWarmUpInitialShare: fam.ParentFrom, ParentWarmUpTime: fam.ParentCold, ParentOverloadFactor: fam.UpperFall,
		OriginOverloadFactor: fam.OriginLimit, PurgeTime: fam.PurgeTakes, PurgeSlack: fam.PurgeSlack,
		DirectAttempts: fam.PassThrough, JoinFills: fam.Joins, FlowKBPerMs: fam.StreamKB / 1000,
		SizeIsCapacity: b.WeightKind == "nominal" || b.WeightKind == "rough",
		MaxAttempts:    b.Limits.MaxAttempts, MaxRequests: b.Limits.MostHeld,
		HedgedRequests: b.Limits.SecondCopies, CanCancel: b.Limits.Cancel, CanProbe: b.Limits.Probing,
		WatchRequired: b.Discovery == "on_request", PollInterval: b.Rules.MustAskIn,
		LoadMetrics: b.Feedback.Names,
	}
	if b.Limits.RetryAfter {
		s.MaxRetryAfter = b.Limits.MaxRetryAfter
	}
	if fam.UpperKind != nil {
		s.ParentKind = at(b.Kinds, *fam.UpperKind)
	}
	if fam.MasterKind != nil {
		s.OriginKind = at(b.Kinds, *fam.MasterKind)
	}
	for i, z := range b.Localities {
		s.LinkCapacity[z] = at(fam.LinkIn, i) / 1000
	}
	var err error
	if s.SiblingScope, err = pick(scopes, fam.Neighbours, "neighbours"); err != nil {
		return s, err
	}
	if s.Detail, err = pick(details, fam.Detail, "detail"); err != nil {
		return s, err
	}
	for i, c := range b.Classes {
		k := spool.Class{Name: c.Name, LatencyObjective: c.Aim, ObjectivePerSendTime: c.AimStretch, Deadline: c.GiveUp,
			PriorityWeight: c.Gain, LateWeightShare: c.LateWorth, KeyWindow: c.Window, Streamed: c.Stream,
			InParts: at(fam.InParts, i), Write: at(fam.ClassWrite, i),
			Fresh: at(fam.Lifetime, i), Grace: at(fam.OlderBy, i), StaleWeightShare: at(fam.StaleEarns, i)}
		if k.Idempotency, err = pick(effects, c.Idempotency, "idempotency"); err != nil {
			return s, fmt.Errorf("class %.40q: %w", c.Name, err)
		}
		if k.KeyScope, err = pick(scopes, c.Group, "group"); err != nil {
			return s, fmt.Errorf("class %.40q: %w", c.Name, err)
		}
		s.Classes = append(s.Classes, k)
	}
	return s, nil
}
