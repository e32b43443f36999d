// Package simwire implements the simulator's JSON protocol: it parses lines of input into events of
// package indigospool and encodes its actions as replies. The names of that protocol are used in this
// package only. Command adapter serves the protocol on standard input and output.
package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	spool "indigospool"
)

// Batch is one line of input.
type Batch struct {
	Clock  *float64 `json:"clock"`
	Groups []Group  `json:"groups"`
}

// Group holds the events of one instance in a batch.
type Group struct {
	Instance *int                         `json:"i"`
	Inbox    []map[string]json.RawMessage `json:"inbox"`
}

// Start starts an instance.
type Start struct {
	Seed     uint64
	Settings spool.Settings
}

// Stop ends an instance.
type Stop struct{}

// ParseBatch parses one line of input.
func ParseBatch(line []byte) (Batch, error) {
	var b Batch
	if err := json.Unmarshal(line, &b); err != nil {
		return b, err
	}
	if b.Clock == nil {
		return b, errors.New("no clock")
	}
	for _, g := range b.Groups {
		if g.Instance == nil {
			return b, errors.New("group without instance")
		}
	}
	return b, nil
}

// endpointRow is the wire form of spool.Member.
type endpointRow struct {
	Cache   string  `json:"cache"`
	Zone    string  `json:"area"`
	Kind    string  `json:"shape"`
	Cell    int     `json:"cell"`
	State   string  `json:"phase"`
	Size    float64 `json:"size"`
	ReadyAt float64 `json:"ready_at"`
}

// eventFields holds the fields of all events except BORN.
type eventFields struct {
	ID          string        `json:"msg_id"`
	Class       string        `json:"tier_class"`
	Tenant      any           `json:"user_group"` // a string, or the number 0 for none
	Object      any           `json:"item"`       // a string, or the number 0 for none
	Deadline    float64       `json:"give_up_at"`
	KB          float64       `json:"kb"`
	Group       float64       `json:"purge_group"`
	Part        float64       `json:"piece"`
	Retry       bool          `json:"retry"`
	Write       bool          `json:"mutates"`
	Kind        string        `json:"how"`
	Rows        []endpointRow `json:"rows_in"`
	Cache       string        `json:"cache"`
	Attempt     int           `json:"attempt"`
	Reason      string        `json:"reason"`
	Took        float64       `json:"spent"`
	Last        bool          `json:"last"`
	Note        int           `json:"note"`
	Waited      float64       `json:"waited"`
	Load        []float64     `json:"metrics"`
	PurgedGroup float64       `json:"family_id"`
	Age         float64       `json:"age_span"`
	Token       int64         `json:"ref"`
	From        int           `json:"src"`
	Text        string        `json:"contents"`
}

var results = map[string]spool.Result{
	"ok": spool.OK, "error": spool.Errored, "full": spool.Rejected, "timeout": spool.TimedOut,
	"connect_failed": spool.ConnectFailed, "reset": spool.Reset, "cancelled": spool.Cancelled,
	"moot": spool.NotSent, "miss": spool.Miss,
}

var states = map[string]spool.State{
	"SERVING": spool.Serving, "DRAINING": spool.Draining, "DELETED": spool.Removed,
}

var scopes = map[string]spool.Scope{
	"": spool.ScopeNone, "off": spool.ScopeNone, "cell": spool.ScopeCell, "zone": spool.ScopeZone,
	"location": spool.ScopeZone, "all": spool.ScopeAll, "any": spool.ScopeAll,
}

var idempotencies = map[string]spool.Idempotency{
	"": spool.Idempotent, "free": spool.Idempotent, "guarded": spool.IdempotentByKey, "single_shot": spool.NonIdempotent,
}

var details = map[string]spool.Detail{
	"": spool.DetailOff, "off": spool.DetailOff, "hit": spool.DetailHit, "all": spool.DetailAll,
}

// lookUp returns the value of a word in a table. The error for an unknown word names the field.
func lookUp[T any](table map[string]T, word, what string) (T, error) {
	v, ok := table[word]
	if !ok {
		return v, fmt.Errorf("unknown %s %q", what, word)
	}
	return v, nil
}

// identifier returns a JSON value that is a string or a number as a string. The number 0 and values of
// other types become the empty string.
func identifier(v any) string {
	switch v := v.(type) {
	case string:
		return v
	case float64:
		if v != 0 {
			return strconv.FormatFloat(v, 'f', -1, 64)
		}
	}
	return ""
}

// ParseEvent parses an entry of Group.Inbox: it returns a Start, a Stop or a spool.Event.
func ParseEvent(m map[string]json.RawMessage) (any, error) {
	if len(m) != 1 {
		return nil, fmt.Errorf("event has %d names, want 1", len(m))
	}
	for word, raw := range m {
		ev, err := decodeEvent(word, raw)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", word, err)
		}
		return ev, nil
	}
	return nil, nil
}

// decodeEvent decodes the fields of an event by its name.
func decodeEvent(word string, raw json.RawMessage) (any, error) {
	if word == "BORN" {
		return parseStart(raw)
	}
	var f eventFields
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, err
	}
	var err error
	switch word {
	case "DESTROY":
		return Stop{}, nil
	case "ROSTER_CHANGE":
		ev := spool.Members{Full: f.Kind == "total" || f.Kind == "warm_copy", Lost: f.Kind == "lost"}
		if !ev.Full && !ev.Lost && f.Kind != "incr" {
			return nil, fmt.Errorf("unknown kind %q", f.Kind)
		}
		for _, e := range f.Rows {
			r := spool.Member{ID: e.Cache, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Size: e.Size, ReadyAt: e.ReadyAt}
			if e.Cache == "" {
				return nil, errors.New("endpoint row without cache")
			}
			if r.State, err = lookUp(states, e.State, "phase"); err != nil {
				return nil, err
			}
			ev.Rows = append(ev.Rows, r)
		}
		return ev, nil
	case "REMINDER":
		return spool.Timer{Token: f.Token}, nil
	case "PURGED":
		return spool.Purge{Object: identifier(f.Object), Group: int(f.PurgedGroup), Age: f.Age}, nil
	case "MESSAGE":
		return spool.Message{From: f.From, Text: f.Text}, nil
	case "CHECKED":
		return spool.Probed{Cache: f.Cache, OK: f.Reason == "ok", Load: f.Load}, nil
	case "KNOCK", "SETTLED", "STREAMING", "TIMED_OUT_CLIENT":
		if f.ID == "" {
			return nil, errors.New("no request id")
		}
	default:
		return nil, errors.New("unknown event")
	}
	switch word {
	case "KNOCK":
		return spool.Request{ID: f.ID, Class: f.Class, Tenant: identifier(f.Tenant), Object: identifier(f.Object),
			Deadline: f.Deadline, KB: f.KB, Group: int(f.Group), Part: int(f.Part),
			Retry: f.Retry, Write: f.Write}, nil
	case "SETTLED":
		ev := spool.Outcome{ID: f.ID, Cache: f.Cache, Attempt: f.Attempt, Took: f.Took, Last: f.Last,
			Note: spool.Note(f.Note), Waited: f.Waited, Load: f.Load}
		ev.Result, err = lookUp(results, f.Reason, "reason")
		return ev, err
	case "STREAMING":
		return spool.Started{ID: f.ID, Cache: f.Cache, Attempt: f.Attempt}, nil
	}
	return spool.Gone{ID: f.ID}, nil
}
