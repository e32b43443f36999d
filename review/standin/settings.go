package main

// class is a request class of the settings.
type class struct {
	name                             string
	aim, stretch, giveUp, gain, late float64
	effect, group                    string
	window                           float64
	parts, write                     bool
	fresh, older                     float64
}

// deployment has the settings that a case may change; the others are those of a small deployment.
type deployment struct {
	classes  []class
	memoryMB float64
	sockets  int
	routers  int
	tweak    func(settings map[string]any)
}

const branch, hub = "branch-1", "main-hub"

var kinds = []string{"small-box", "upper", "store"}

func (d deployment) config(feedAddress, seed string, knownEvents map[string]any) map[string]any {
	var classes []any
	var parts, write []bool
	var fresh, older, stale []float64
	for _, c := range d.classes {
		classes = append(classes, map[string]any{"name": c.name, "aim": c.aim, "aim_stretch": c.stretch, "give_up": c.giveUp, "gain": c.gain,
			"late_worth": c.late, "idempotency": c.effect, "group": c.group, "window": c.window, "stream": false})
		parts, write = append(parts, c.parts), append(write, c.write)
		fresh, older, stale = append(fresh, c.fresh), append(older, c.older), append(stale, 0.7)
	}
	settings := map[string]any{
		"classes": classes, "clients": map[string]any{"marks_retry": true}, "discovery": "pushed",
		"family_info": map[string]any{"byte_fee": 0.04, "class_write": write, "detail": "all", "home_hub": []int{0, 0}, "in_parts": parts,
			"joins": false, "lifetime_by_class": fresh, "older_by": older, "stale_earns": stale, "link_in_kb_per_s": []float64{0, 0},
			"master_kind": 2, "upper_kind": 1, "neighbours": "location", "origin_limit_factor": 2.5, "root_fall": 3000,
			"parent_cold": 22000, "parent_starts_at": 0.067, "upper_fall_multiple": 2, "pass_through_ok": true, "purge_slack": 500,
			"purge_takes": 6000, "report_x0": "", "report_x1": "", "seats_by_zone": []int{0, max(d.routers, 1)}, "stream_kb_per_s": 4000},
		"feedback": map[string]any{"how": "off", "names": []string{}}, "kinds": kinds,
		"limits": map[string]any{"cancel": true, "conn_idle": 30000, "connect_timeout": 400, "cpu_us_per_request": 0, "cpu_us_per_s": 500000,
			"max_attempts": 8, "max_retry_after": 2000, "most_held": 20000, "multiplex": 100, "peers": false, "probing": false,
			"retry_after": true, "second_copies": false},
		"localities": []string{hub, branch}, "me": 0, "n_instances": max(d.routers, 1), "over_share_worth": 0.1, "parties": []any{},
		"rules": map[string]any{"answer_slack": 8, "cold": 18000, "cold_from": 0.18, "drain_grace": 1000, "must_ask_in": 10000,
			"overload_factor": 3, "overload_for": 1000},
		"service_type": "edge", "tick": 2, "tier": 0, "tiers": []string{"render-cache"}, "weight_kind": "rough", "worth_by": "request",
		"zone": branch,
	}
	if d.tweak != nil {
		d.tweak(settings)
	}
	return map[string]any{"seed": seed, "feed": feedAddress, "limits": map[string]any{"cores": 1.0, "memory_mb": d.memoryMB, "sockets": d.sockets},
		"flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000, "known": knownEvents, "settings": settings}
}

// The classes of the site that its page calls valley-renders.
var siteClasses = []class{
	{name: "walkthrough-video", aim: 600, stretch: 1.6, giveUp: 5000, gain: 2, late: 0.15, effect: "free", parts: true},
	{name: "drawing-image", aim: 250, stretch: 2, giveUp: 2500, gain: 1, late: 0.2, effect: "free", fresh: 20000, older: 20000},
	{name: "markup-save", aim: 700, giveUp: 3000, gain: 3, effect: "guarded", group: "all", window: 2000, write: true},
}
