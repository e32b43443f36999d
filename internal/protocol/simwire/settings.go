package simwire

import (
	"encoding/json"
	"fmt"

	spool "indigospool"
)

// elementAt returns the element of a list at an index, or the zero value if there is none.
func elementAt[T any](list []T, i int) (v T) {
	if i >= 0 && i < len(list) {
		v = list[i]
	}
	return v
}

// startFields is the wire form of Start.
type startFields struct {
	Seed     uint64          `json:"init_seed"`
	Settings json.RawMessage `json:"boot_info"`
}

// Settings are the settings of an instance: those of the module, and those that only a router with
// real connections uses.
type Settings struct {
	Module         spool.Settings
	Kinds          []string // kinds of members
	ConnectTimeout float64  // in ms
	ConnIdle       float64  // time in ms after which members close idle connections; 0: not specified
	Streams        int      // concurrent attempts per connection to a member; 0: not specified
}

// settingsMessage is the wire form of Settings.
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

// familySettings are the settings of the cache hierarchy. Lists are in the order of the classes
// or of the zones.
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

// parseStart parses the fields of the event that starts an instance.
func parseStart(raw json.RawMessage) (any, error) {
	var f startFields
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, err
	}
	if f.Settings == nil {
		return nil, fmt.Errorf("no boot_info")
	}
	s, err := ParseSettings(f.Settings)
	return Start{Seed: f.Seed, Settings: s.Module}, err
}

// ParseSettings parses the settings object of an instance's first message or of a router's
// configuration. It does not validate the values; see spool.Settings.Valid.
func ParseSettings(raw json.RawMessage) (out Settings, err error) {
	var message settingsMessage
	if err := json.Unmarshal(raw, &message); err != nil {
		return out, err
	}
	out = Settings{Kinds: message.Kinds, ConnectTimeout: message.Limits.ConnectTimeout, ConnIdle: message.Limits.ConnIdle,
		Streams: message.Limits.Streams}
	out.Module, err = moduleSettings(&message)
	return out, err
}

// moduleSettings converts the settings of the module from their wire form.
func moduleSettings(message *settingsMessage) (spool.Settings, error) {
	family := &message.Family
	s := spool.Settings{
		RouterIndex: message.RouterIndex, Routers: message.Routers, Zone: message.Zone, Zones: message.Zones,
		RoutersByZone: family.RoutersByZone, HubOfZone: family.HubOfZone, LinkCapacity: map[string]float64{},
		TimerResolution: message.TimerResolution, AnswerSlack: message.Rules.AnswerSlack, DrainGrace: message.Rules.DrainGrace,
		WarmUpInitialShare: message.Rules.WarmUpInitialShare, WarmUpTime: message.Rules.WarmUpTime,
		OverloadFactor: message.Rules.OverloadFactor, OverloadTime: message.Rules.OverloadTime,
		ParentWarmUpInitialShare: family.ParentWarmUpInitialShare, ParentWarmUpTime: family.ParentWarmUpTime, ParentOverloadFactor: family.ParentOverloadFactor,
		OriginOverloadFactor: family.OriginOverloadFactor, PurgeTime: family.PurgeTime, PurgeSlack: family.PurgeSlack,
		DirectAttempts: family.DirectAttempts, JoinFills: family.JoinFills, FlowKBPerMs: family.FlowKBPerSecond / 1000,
		SizeIsCapacity: message.WeightKind == "nominal" || message.WeightKind == "rough",
		MaxAttempts:    message.Limits.MaxAttempts, MaxRequests: message.Limits.MaxRequests,
		HedgedRequests: message.Limits.HedgedRequests, CanCancel: message.Limits.CanCancel, CanProbe: message.Limits.CanProbe,
		WatchRequired: message.Discovery == "on_request", PollInterval: message.Rules.PollInterval,
		LoadMetrics: message.Feedback.Names,
	}
	if message.Limits.RetryAfter {
		s.MaxRetryAfter = message.Limits.MaxRetryAfter
	}
	if family.ParentKind != nil {
		s.ParentKind = elementAt(message.Kinds, *family.ParentKind)
	}
	if family.OriginKind != nil {
		s.OriginKind = elementAt(message.Kinds, *family.OriginKind)
	}
	for i, z := range message.Zones {
		s.LinkCapacity[z] = elementAt(family.LinkKBPerSecond, i) / 1000
	}
	var err error
	if s.SiblingScope, err = lookUp(scopes, family.SiblingScope, "neighbours"); err != nil {
		return s, err
	}
	if s.Detail, err = lookUp(details, family.Detail, "detail"); err != nil {
		return s, err
	}
	for i, c := range message.Classes {
		k := spool.Class{Name: c.Name, LatencyObjective: c.LatencyObjective, ObjectivePerSendTime: c.ObjectivePerSendTime, Deadline: c.Deadline,
			PriorityWeight: c.PriorityWeight, LateWeightShare: c.LateWeightShare, KeyWindow: c.KeyWindow, Streamed: c.Streamed,
			InParts: elementAt(family.InParts, i), Write: elementAt(family.Write, i),
			Fresh: elementAt(family.Fresh, i), Grace: elementAt(family.Grace, i), StaleWeightShare: elementAt(family.StaleWeightShare, i)}
		if k.Idempotency, err = lookUp(idempotencies, c.Idempotency, "idempotency"); err != nil {
			return s, fmt.Errorf("class %.40q: %w", c.Name, err)
		}
		if k.KeyScope, err = lookUp(scopes, c.KeyScope, "group"); err != nil {
			return s, fmt.Errorf("class %.40q: %w", c.Name, err)
		}
		s.Classes = append(s.Classes, k)
	}
	return s, nil
}
