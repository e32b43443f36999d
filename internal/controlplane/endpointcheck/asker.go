package endpointcheck

import (
	"fmt"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/proxy/engine"
)

// SimulatedRouter is a router that handles one request at a time. Its caches never have
// the requested object, and every fill succeeds, so that the placement of a request
// depends only on the endpoint list and on earlier requests.
type SimulatedRouter struct {
	core     *engine.Core
	now      float64
	requests int
	actions  []spool.Action
}

// Placement is where a request went: the first cache, and the source of the fill. Both
// are empty if the request was rejected or had to wait.
type Placement struct{ Cache, Source string }

// NewSimulatedRouter returns a router with these settings and without members, which
// Apply adds.
func NewSimulatedRouter(settings *config.Settings, seed uint64) (*SimulatedRouter, error) {
	core, err := engine.New(settings, seed)
	return &SimulatedRouter{core: core, now: 1e6}, err
}

// Core returns the router's core.
func (r *SimulatedRouter) Core() *engine.Core { return r.core }

// Apply applies an update of the endpoint list, or a purge.
func (r *SimulatedRouter) Apply(update *engine.Update) {
	for _, event := range r.core.Apply(r.now, update).Events {
		r.core.Handle(r.now, event, nil)
	}
}

// Advance lets the given time pass, with timer events for the decision module.
func (r *SimulatedRouter) Advance(millis float64) {
	for end := r.now + millis; r.now < end; r.now += 25 {
		r.actions = r.core.Handle(r.now, spool.Timer{}, r.actions[:0])
	}
}

// Route handles a request and returns its placement. It sets the request's ID and
// deadline.
func (r *SimulatedRouter) Route(request spool.Request) (placement Placement) {
	r.requests++
	r.now += 2
	request.ID, request.Deadline = fmt.Sprint("q", r.requests), r.now+1e4
	r.actions = r.core.Handle(r.now, request, r.actions[:0])
	for attempt := 0; attempt < 8; attempt++ {
		var send *spool.Send
		for _, action := range r.actions {
			if s, ok := action.(spool.Send); ok && s.ID == request.ID {
				send = &s
			}
		}
		if send == nil {
			break
		}
		if placement.Cache == "" {
			placement.Cache = send.Cache
		}
		result := spool.OK
		// Caches and siblings have no copies: an attempt without a fill misses, and so does one
		// that only takes a copy that a sibling holds. The placement has the parent instead.
		if send.Source == send.Cache && placement.Source == "" && !request.Write || send.Held {
			result = spool.Miss
		} else {
			placement.Source = send.Source
		}
		r.now++
		r.actions = r.core.Handle(r.now, spool.Outcome{ID: request.ID, Cache: send.Cache, Attempt: attempt, Result: result, Took: 1, Last: result == spool.OK}, r.actions[:0])
		if result == spool.OK {
			return placement
		}
	}
	r.core.Handle(r.now, spool.Gone{ID: request.ID}, nil)
	return placement
}
