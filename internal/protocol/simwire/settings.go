package simwire

import (
	"encoding/json"
	"fmt"

	spool "indigospool"
)

// elementAt returns a list's element, or the zero value past its end.
func elementAt[T any](list []T, i int) (v T) {
	if i >= 0 && i < len(list) {
		v = list[i]
	}
	return v
}

type startFields struct {
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

type settingsMessage struct {
	Classes []struct {
		LatencyObjective     float64 `json:"aim"`
		ObjectivePerSendTime float64 `json:"aim_stretch"`
		PriorityWeight       float64 `json:"gain"`
		Deadline             float64 `json:"give_up"`
		KeyScope             string  `json:"group"`
		Idempotency          string  `json:"idempotency"`
		LateWeightShare      float64 `json:"late_worth"`
		Name                 string  `json:"name"`
		Streamed             bool    `json:"stream"`
		KeyWindow            float64 `json:"window"`
	} `json:"classes"`
	Discovery string         `json:"discovery"`
	Family    familySettings `json:"family_info"`
	Feedback  struct {
		Kind  string   `json:"how"`
		Names []string `json:"names"`
	} `json:"feedback"`
	Kinds  []string `json:"kinds"`
	Limits struct {
		CanCancel      bool    `json:"cancel"`
		ConnIdle       float64 `json:"conn_idle"`
		ConnectTimeout float64 `json:"connect_timeout"`
		MaxAttempts    int     `json:"max_attempts"`
		MaxRetryAfter  float64 `json:"max_retry_after"`
		MaxRequests    int     `json:"most_held"`
		Streams        int     `json:"multiplex"`
		CanProbe       bool    `json:"probing"`
		RetryAfter     bool    `json:"retry_after"`
		HedgedRequests bool    `json:"second_copies"`
	} `json:"limits"`
	Zones       []string `json:"localities"`
	RouterIndex int      `json:"me"`
	Routers     int      `json:"n_instances"`
	Rules       struct {
		AnswerSlack        float64 `json:"answer_slack"`
		WarmUpTime         float64 `json:"cold"`
		WarmUpInitialShare float64 `json:"cold_from"`
		DrainGrace         float64 `json:"drain_grace"`
		PollInterval       float64 `json:"must_ask_in"`
		OverloadFactor     float64 `json:"overload_factor"`
		OverloadTime       float64 `json:"overload_for"`
	} `json:"rules"`
	TimerResolution float64 `json:"tick"`
	WeightKind      string  `json:"weight_kind"`
	Zone            string  `json:"zone"`
}

type familySettings struct {
	Fresh                    []float64 `json:"lifetime_by_class"`
	Grace                    []float64 `json:"older_by"`
	InParts                  []bool    `json:"in_parts"`
	StaleWeightShare         []float64 `json:"stale_earns"`
	Write                    []bool    `json:"class_write"`
	DirectAttempts           bool      `json:"pass_through_ok"`
	FlowKBPerSecond          float64   `json:"stream_kb_per_s"`
	JoinFills                bool      `json:"joins"`
	OriginOverloadFactor     float64   `json:"origin_limit_factor"`
	OriginKind               *int      `json:"master_kind"`
	ParentWarmUpInitialShare float64   `json:"parent_starts_at"`
	ParentWarmUpTime         float64   `json:"parent_cold"`
	ParentOverloadFactor     float64   `json:"upper_fall_multiple"`
	ParentKind               *int      `json:"upper_kind"`
	PurgeTime                float64   `json:"purge_takes"`
	PurgeSlack               float64   `json:"purge_slack"`
	SiblingScope             string    `json:"neighbours"`
	Detail                   string    `json:"detail"`
	RoutersByZone            []int     `json:"seats_by_zone"`
	HubOfZone                []int     `json:"home_hub"`
	LinkKBPerSecond          []float64 `json:"link_in_kb_per_s"`
}

func parseStart(raw json.RawMessage) (any, error) {
	var f startFields
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, err
	}
	if f.Boot == nil {
		return nil, fmt.Errorf("no boot_info")
	}
	s, err := ParseSettings(f.Boot)
	return Start{Seed: f.Seed, Settings: s.Module}, err
}

// ParseSettings reads the object of settings, of an instance's first message as of a
// router's configuration. Whether they contradict themselves is the module's to say.
func ParseSettings(raw json.RawMessage) (out Settings, err error) {
	var b settingsMessage
	if err := json.Unmarshal(raw, &b); err != nil {
		return out, err
	}
	out = Settings{Kinds: b.Kinds, ConnectTimeout: b.Limits.ConnectTimeout, ConnIdle: b.Limits.ConnIdle,
		Streams: b.Limits.Streams}
	out.Module, err = moduleSettings(&b)
	return out, err
}

func moduleSettings(b *settingsMessage) (spool.Settings, error) {
	fam := &b.Family
	s := spool.Settings{
		RouterIndex: b.RouterIndex, Routers: b.Routers, Zone: b.Zone, Zones: b.Zones,
		RoutersByZone: fam.RoutersByZone, HubOfZone: fam.HubOfZone, LinkCapacity: map[string]float64{},
		TimerResolution: b.TimerResolution, AnswerSlack: b.Rules.AnswerSlack, DrainGrace: b.Rules.DrainGrace,
		WarmUpInitialShare: b.Rules.WarmUpInitialShare, WarmUpTime: b.Rules.WarmUpTime,
		OverloadFactor: b.Rules.OverloadFactor, OverloadTime: b.Rules.OverloadTime,
		ParentWarmUpInitialShare: fam.ParentWarmUpInitialShare, ParentWarmUpTime: fam.ParentWarmUpTime, ParentOverloadFactor: fam.ParentOverloadFactor,
		OriginOverloadFactor: fam.OriginOverloadFactor, PurgeTime: fam.PurgeTime, PurgeSlack: fam.PurgeSlack,
		DirectAttempts: fam.DirectAttempts, JoinFills: fam.JoinFills, FlowKBPerMs: fam.FlowKBPerSecond / 1000,
		SizeIsCapacity: b.WeightKind == "nominal" || b.WeightKind == "rough",
		MaxAttempts:    b.Limits.MaxAttempts, MaxRequests: b.Limits.MaxRequests,
		HedgedRequests: b.Limits.HedgedRequests, CanCancel: b.Limits.CanCancel, CanProbe: b.Limits.CanProbe,
		WatchRequired: b.Discovery == "on_request", PollInterval: b.Rules.PollInterval,
		LoadMetrics: b.Feedback.Names,
	}
	if b.Limits.RetryAfter {
		s.MaxRetryAfter = b.Limits.MaxRetryAfter
	}
	if fam.ParentKind != nil {
		s.ParentKind = elementAt(b.Kinds, *fam.ParentKind)
	}
	if fam.OriginKind != nil {
		s.OriginKind = elementAt(b.Kinds, *fam.OriginKind)
	}
	for i, z := range b.Zones {
		s.LinkCapacity[z] = elementAt(fam.LinkKBPerSecond, i) / 1000
	}
	var err error
	if s.SiblingScope, err = lookUp(scopes, fam.SiblingScope, "neighbours"); err != nil {
		return s, err
	}
	if s.Detail, err = lookUp(details, fam.Detail, "detail"); err != nil {
		return s, err
	}
	for i, c := range b.Classes {
		k := spool.Class{Name: c.Name, LatencyObjective: c.LatencyObjective, ObjectivePerSendTime: c.ObjectivePerSendTime, Deadline: c.Deadline,
			PriorityWeight: c.PriorityWeight, LateWeightShare: c.LateWeightShare, KeyWindow: c.KeyWindow, Streamed: c.Streamed,
			InParts: elementAt(fam.InParts, i), Write: elementAt(fam.Write, i),
			Fresh: elementAt(fam.Fresh, i), Grace: elementAt(fam.Grace, i), StaleWeightShare: elementAt(fam.StaleWeightShare, i)}
		if k.Idempotency, err = lookUp(effects, c.Idempotency, "idempotency"); err != nil {
			return s, fmt.Errorf("class %.40q: %w", c.Name, err)
		}
		if k.KeyScope, err = lookUp(scopes, c.KeyScope, "group"); err != nil {
			return s, fmt.Errorf("class %.40q: %w", c.Name, err)
		}
		s.Classes = append(s.Classes, k)
	}
	return s, nil
}
