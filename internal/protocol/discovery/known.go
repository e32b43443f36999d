package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"regexp"
)

// knownEvent is an event in a configuration: an update of the endpoint list or a purge.
type knownEvent struct {
	N       uint64 `json:"n"`
	Members *struct {
		Snapshot  bool            `json:"snapshot"`
		Endpoints []knownEndpoint `json:"endpoints"`
	} `json:"members"`
	Purge *struct {
		Key   string  `json:"key"`
		Group int     `json:"group"`
		At    float64 `json:"at"`
	} `json:"purge"`
}

type knownEndpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   float64 `json:"since_ms"`
}

var endpointID = regexp.MustCompile(`^[A-Za-z0-9_.:-]{1,64}$`)

// DecodeKnown decodes the JSON events in a configuration and calls apply with those that come
// after LastNumber. On an error it applies none of them.
func (d *Decoder) DecodeKnown(raw []byte, apply func(Event)) error {
	var known struct {
		N      uint64       `json:"n"`
		Events []knownEvent `json:"events"`
	}
	if err := json.Unmarshal(raw, &known); err != nil {
		return fmt.Errorf("discovery: known events: %w", err)
	}
	var events []Event
	for i := range known.Events {
		if known.Events[i].N <= d.LastNumber {
			continue
		}
		first := d.LastNumber == 0 && len(events) == 0 // there is no earlier list to change
		event, err := known.Events[i].decode(first)
		if err != nil {
			return fmt.Errorf("discovery: known event %d: %w", known.Events[i].N, err)
		}
		events = append(events, event)
	}
	for _, event := range events {
		d.LastNumber = max(d.LastNumber, event.Number)
		apply(event)
	}
	d.LastNumber = max(d.LastNumber, known.N)
	return nil
}

// decode returns the event. first says that no list precedes it, so that a delta is taken as a
// snapshot.
func (k *knownEvent) decode(first bool) (Event, error) {
	event := Event{Number: k.N}
	switch {
	case k.Members != nil:
		event.Kind = Delta
		if k.Members.Snapshot || first {
			event.Kind = Snapshot
		}
		for i := range k.Members.Endpoints {
			endpoint, err := k.Members.Endpoints[i].decode()
			if err != nil {
				return Event{}, err
			}
			event.Endpoints = append(event.Endpoints, endpoint)
		}
	case k.Purge != nil:
		event.Object = k.Purge.Key
		event.Group = k.Purge.Group
		event.PurgedAt = int64(k.Purge.At)
	default:
		return Event{}, errors.New("neither members nor a purge")
	}
	return event, nil
}

func (k *knownEndpoint) decode() (Endpoint, error) {
	state, ok := parseState(k.Status)
	if _, err := netip.ParseAddrPort(k.Address); err != nil || !ok || !endpointID.MatchString(k.Name) {
		return Endpoint{}, fmt.Errorf("invalid endpoint: name %.40q, address %.40q, status %.20q", k.Name, k.Address, k.Status)
	}
	return Endpoint{
		ID:        k.Name,
		Address:   k.Address,
		Zone:      k.Zone,
		Kind:      k.Type,
		Cell:      k.Group,
		State:     state,
		Weight:    k.Weight,
		StartedAt: int64(k.Since),
	}, nil
}
