package differential

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"

	spool "indigospool"
	"indigospool/internal/protocol/simwire"
)

// adapterClient implements the simulator's side of the adapter's protocol: it encodes a
// router's events as messages of the simulator and decodes the adapter's replies into actions.
// It shares no table with package simwire, so that an error in a table of simwire shows up as a
// difference.
type adapterClient struct {
	input bytes.Buffer
}

type object = map[string]any

// writeLine writes a batch with one message for one instance.
func (client *adapterClient) writeLine(clock float64, inst int, word string, fields object) error {
	text, err := json.Marshal(object{"clock": clock, "groups": []any{object{"i": inst, "inbox": []any{object{word: fields}}}}})
	client.input.Write(append(text, '\n'))
	return err
}

// perSecond converts a rate per ms to the rate per second that the protocol uses. It returns a
// number that yields exactly perMs when it is divided by 1000, if there is one.
func perSecond(perMs float64) float64 {
	scaled := perMs * 1000
	for _, candidate := range []float64{scaled, math.Nextafter(scaled, 0), math.Nextafter(scaled, math.Inf(1))} {
		if candidate/1000 == perMs {
			return candidate
		}
	}
	return scaled
}

var scopeWords = []string{"off", "cell", "location", "any"} // by spool.Scope

// writeStart writes the message that starts an instance.
func (client *adapterClient) writeStart(clock float64, inst int, s *spool.Settings, seed uint64) error {
	var classes []any
	var fresh, grace, stale []float64
	var parts, writes []bool
	for _, c := range s.Classes {
		group := scopeWords[c.KeyScope]
		if group == "any" {
			group = "all"
		}
		classes = append(classes, object{"name": c.Name, "aim": c.LatencyObjective, "aim_stretch": c.ObjectivePerSendTime, "gain": c.PriorityWeight, "give_up": c.Deadline,
			"group": group, "idempotency": []string{"free", "guarded", "single_shot"}[c.Idempotency], "late_worth": c.LateWeightShare, "stream": c.Streamed, "window": c.KeyWindow})
		fresh, grace, stale = append(fresh, c.Fresh), append(grace, c.Grace), append(stale, c.StaleWeightShare)
		parts, writes = append(parts, c.InParts), append(writes, c.Write)
	}
	family := object{"lifetime_by_class": fresh, "older_by": grace, "in_parts": parts, "stale_earns": stale, "class_write": writes,
		"pass_through_ok": s.DirectAttempts, "stream_kb_per_s": perSecond(s.FlowKBPerMs), "joins": s.JoinFills, "origin_limit_factor": s.OriginOverloadFactor,
		"parent_starts_at": s.ParentWarmUpInitialShare, "parent_cold": s.ParentWarmUpTime, "upper_fall_multiple": s.ParentOverloadFactor,
		"purge_takes": s.PurgeTime, "purge_slack": s.PurgeSlack, "neighbours": scopeWords[s.SiblingScope],
		"detail": []string{"off", "hit", "all"}[s.Detail], "seats_by_zone": s.RoutersByZone, "home_hub": s.HubOfZone}
	kinds := []string{}
	for _, k := range []struct{ key, kind string }{{"upper_kind", s.ParentKind}, {"master_kind", s.OriginKind}} {
		if k.kind != "" {
			family[k.key] = len(kinds)
			kinds = append(kinds, k.kind)
		}
	}
	var links []float64
	for _, z := range s.Zones {
		links = append(links, perSecond(s.LinkCapacity[z]))
	}
	family["link_in_kb_per_s"] = links
	discovery := "pushed"
	if s.WatchRequired {
		discovery = "on_request"
	}
	weights := "plain"
	if s.SizeIsCapacity {
		weights = "nominal"
	}
	return client.writeLine(clock, inst, "BORN", object{"init_seed": seed, "boot_info": object{"classes": classes, "discovery": discovery,
		"family_info": family, "feedback": object{"names": s.LoadMetrics}, "kinds": kinds, "limits": object{"cancel": s.CanCancel,
			"max_attempts": s.MaxAttempts, "max_retry_after": s.MaxRetryAfter, "most_held": s.MaxRequests, "probing": s.CanProbe,
			"retry_after": s.MaxRetryAfter > 0, "second_copies": s.HedgedRequests}, "localities": s.Zones, "me": s.RouterIndex, "n_instances": s.Routers,
		"rules": object{"answer_slack": s.AnswerSlack, "cold": s.WarmUpTime, "cold_from": s.WarmUpInitialShare, "drain_grace": s.DrainGrace,
			"must_ask_in": s.PollInterval, "overload_factor": s.OverloadFactor, "overload_for": s.OverloadTime},
		"tick": s.TimerResolution, "weight_kind": weights, "zone": s.Zone}})
}

var resultWords = map[spool.Result]string{spool.OK: "ok", spool.Errored: "error", spool.Rejected: "full", spool.TimedOut: "timeout",
	spool.ConnectFailed: "connect_failed", spool.Reset: "reset", spool.Cancelled: "cancelled", spool.NotSent: "moot", spool.Miss: "miss"}

// writeEvent writes the message for an event.
func (client *adapterClient) writeEvent(clock float64, inst int, ev spool.Event) error {
	orZero := func(s string) any {
		if s == "" {
			return 0
		}
		return s
	}
	switch ev := ev.(type) {
	case spool.Members:
		how := map[bool]string{true: "total", false: "incr"}[ev.Full]
		if ev.Lost {
			how = "lost"
		}
		rows := []any{}
		for _, r := range ev.Rows {
			rows = append(rows, object{"cache": r.ID, "area": r.Zone, "shape": r.Kind, "cell": r.Cell, "size": r.Size, "ready_at": r.ReadyAt,
				"phase": []string{"SERVING", "DRAINING", "DELETED"}[r.State]})
		}
		return client.writeLine(clock, inst, "ROSTER_CHANGE", object{"how": how, "rows_in": rows})
	case spool.Request:
		return client.writeLine(clock, inst, "KNOCK", object{"msg_id": ev.ID, "tier_class": ev.Class, "user_group": orZero(ev.Tenant), "item": orZero(ev.Object),
			"give_up_at": ev.Deadline, "kb": ev.KB, "purge_group": ev.Group, "piece": ev.Part, "retry": ev.Retry, "mutates": ev.Write})
	case spool.Outcome:
		return client.writeLine(clock, inst, "SETTLED", object{"msg_id": ev.ID, "cache": ev.Cache, "attempt": ev.Attempt, "reason": resultWords[ev.Result],
			"spent": ev.Took, "last": ev.Last, "note": int(ev.Note), "waited": ev.Waited, "metrics": ev.Load})
	case spool.Started:
		return client.writeLine(clock, inst, "STREAMING", object{"msg_id": ev.ID, "cache": ev.Cache, "attempt": ev.Attempt})
	case spool.Gone:
		return client.writeLine(clock, inst, "TIMED_OUT_CLIENT", object{"msg_id": ev.ID})
	case spool.Purge:
		return client.writeLine(clock, inst, "PURGED", object{"item": orZero(ev.Object), "family_id": ev.Group, "age_span": ev.Age})
	case spool.Timer:
		return client.writeLine(clock, inst, "REMINDER", object{"ref": ev.Token})
	case spool.Probed:
		return client.writeLine(clock, inst, "CHECKED", object{"cache": ev.Cache, "reason": map[bool]string{true: "ok", false: "reset"}[ev.OK], "metrics": ev.Load})
	case spool.Message:
		return client.writeLine(clock, inst, "MESSAGE", object{"src": ev.From, "contents": ev.Text})
	}
	return fmt.Errorf("differential: the adapter's protocol has no message for %T", ev)
}

// replies runs the adapter on everything that was written and returns the actions of its
// replies, one entry for each line, in the order of the lines.
func (client *adapterClient) replies() ([][]spool.Action, error) {
	var out bytes.Buffer
	if err := simwire.Serve(&client.input, &out); err != nil {
		return nil, fmt.Errorf("differential: the adapter failed: %w", err)
	}
	var replies [][]spool.Action
	for _, line := range bytes.Split(bytes.TrimRight(out.Bytes(), "\n"), []byte("\n")) {
		if len(line) == 0 {
			continue
		}
		var reply struct {
			Groups []struct {
				Out []map[string]message `json:"out"`
			} `json:"groups"`
		}
		if err := json.Unmarshal(line, &reply); err != nil {
			return nil, fmt.Errorf("differential: decoding the adapter's reply %.80q: %w", line, err)
		}
		var acts []spool.Action
		for _, g := range reply.Groups {
			for _, one := range g.Out {
				for word, m := range one {
					a, err := m.action(word)
					if err != nil {
						return nil, err
					}
					acts = append(acts, a)
				}
			}
		}
		replies = append(replies, acts)
	}
	return replies, nil
}

// message has the fields of all kinds of messages that a reply can hold.
type message struct {
	ID       string  `json:"msg_id"`
	Rank     int     `json:"rank"`
	Bits     int     `json:"bits"`
	Age      float64 `json:"age_span"`
	Cache    string  `json:"cache"`
	TryFor   float64 `json:"try_for"`
	Supplier string  `json:"supplier"`
	After    float64 `json:"not_before_for"`
	Attempt  int     `json:"attempt"`
	In       float64 `json:"in"`
	Ref      int64   `json:"ref"`
	Text     string  `json:"message"`
}

func (m *message) action(word string) (spool.Action, error) {
	switch word {
	case "ANSWER_FROM":
		return spool.Send{ID: m.ID, Cache: m.Cache, Source: m.Supplier, Keep: m.Rank, Age: m.Age, Timeout: m.TryFor,
			Join: m.Bits&1 != 0, Held: m.Bits&2 != 0, Renew: m.Bits&8 != 0}, nil
	case "NOT_NOW":
		return spool.Refuse{ID: m.ID, After: m.After}, nil
	case "FINISH_ERROR":
		return spool.Fail{ID: m.ID}, nil
	case "UNDO_SEND":
		return spool.Cancel{ID: m.ID, Attempt: m.Attempt}, nil
	case "AFTER":
		return spool.Wake{In: m.In, Token: m.Ref}, nil
	case "INSPECT":
		return spool.Probe{Cache: m.Cache}, nil
	case "STREAM_CHANGES":
		return spool.Watch{}, nil
	case "QUERY_ALL":
		return spool.Fetch{}, nil
	}
	return nil, fmt.Errorf("differential: the adapter replied with an unexpected %s message: %s", word, m.Text)
}
