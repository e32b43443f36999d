package discovery

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
)

type knownEvent struct {
	N       uint64 `json:"n"`
	Members *struct {
		Snapshot  bool `json:"snapshot"`
		Endpoints []struct {
			Name    string  `json:"name"`
			Address string  `json:"address"`
			Zone    string  `json:"zone"`
			Type    string  `json:"type"`
			Group   int     `json:"group"`
			Status  string  `json:"status"`
			Weight  float64 `json:"weight"`
			Since   float64 `json:"since_ms"`
		} `json:"endpoints"`
	} `json:"members"`
	Purge *struct {
		Key   string  `json:"key"`
		Group int     `json:"group"`
		At    float64 `json:"at"`
	} `json:"purge"`
}

var memberID = regexp.MustCompile(`^[A-Za-z0-9_.:-]{1,64}$`)

// DecodeKnown reads the configuration's known and calls f with the events past the last one,
// all of them or, on an error, none.
func (r *Decoder) DecodeKnown(raw []byte, f func(Event)) error {
	var k struct {
		N      uint64       `json:"n"`
		Events []knownEvent `json:"events"`
	}
	if err := json.Unmarshal(raw, &k); err != nil {
		return fmt.Errorf("feed: known: %w", err)
	}
	var list []Event
	first := r.LastNumber == 0
	for _, e := range k.Events {
		if e.N <= r.LastNumber {
			continue
		}
		ev := Event{Number: e.N}
		switch {
		case e.Members != nil:
			ev.Listed, ev.Full = true, e.Members.Snapshot || first && len(list) == 0
			for _, m := range e.Members.Endpoints {
				if _, err := netip.ParseAddrPort(m.Address); err != nil || !memberID.MatchString(m.Name) ||
					m.Status != states[0] && m.Status != states[1] && m.Status != states[2] {
					return fmt.Errorf("feed: known: event %d: member %.40q at %.40q is %.20q", e.N, m.Name, m.Address, m.Status)
				}
				ev.Endpoints = append(ev.Endpoints, Endpoint{ID: m.Name, Address: m.Address, Zone: m.Zone, Kind: m.Type, Cell: m.Group,
					State: m.Status, Weight: m.Weight, StartedAt: int64(m.Since)})
			}
		case e.Purge != nil:
			ev.Object, ev.Group, ev.PurgedAt = e.Purge.Key, e.Purge.Group, int64(e.Purge.At)
		default:
			return fmt.Errorf("feed: known: event %d tells nothing", e.N)
		}
		list = append(list, ev)
	}
	for _, ev := range list {
		r.LastNumber = max(r.LastNumber, ev.Number)
		f(ev)
	}
	r.LastNumber = max(r.LastNumber, k.N)
	return nil
}
