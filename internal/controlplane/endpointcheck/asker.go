package endpointcheck

import (
	"fmt"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/proxy/engine"
)

// SimulatedRouter is a router that is asked for one thing after another: caches lack it, and
// each fill succeeds at once, so that where it goes depends on the list alone, and
// on what was asked before.
type SimulatedRouter struct {
	core     *engine.Core
	now      float64
	requests int
	actions  []spool.Action
}

// Placement is where a thing went: the cache that was asked first, and the source that
// it was filled from. Empty: it was refused, or had to wait.
type Placement struct{ Cache, Source string }

// NewSimulatedRouter makes a router of settings, without members: they come with Tell.
func NewSimulatedRouter(settings *config.Settings, seed uint64) (*SimulatedRouter, error) {
	core, err := engine.New(settings, seed)
	return &SimulatedRouter{core: core, now: 1e6}, err
}

// Core is the router's.
func (r *SimulatedRouter) Core() *engine.Core { return r.core }

// Apply tells it news of members or purges.
func (r *SimulatedRouter) Apply(update *engine.Update) {
	for _, event := range r.core.Apply(r.now, update).Events {
		r.core.Handle(r.now, event, nil)
	}
}

// Advance lets time pass, with the module's beats.
func (r *SimulatedRouter) Advance(millis float64) {
	for end := r.now + millis; r.now < end; r.now += 25 {
		r.actions = r.core.Handle(r.now, spool.Timer{}, r.actions[:0])
	}
}

// Route asks for r thing. Of the request the name and the deadline are the asker's.
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
		if send.Source == send.Cache && placement.Source == "" && !request.Write || send.Held { // of a cache that held it before: only what comes from a parent is told
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
