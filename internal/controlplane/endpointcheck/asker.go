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
	c    *engine.Core
	now  float64
	n    int
	acts []spool.Action
}

// Placement is where a thing went: the cache that was asked first, and the source that
// it was filled from. Empty: it was refused, or had to wait.
type Placement struct{ Cache, Source string }

// NewSimulatedRouter makes a router of settings, without members: they come with Tell.
func NewSimulatedRouter(s *config.Settings, seed uint64) (*SimulatedRouter, error) {
	c, err := engine.New(s, seed)
	return &SimulatedRouter{c: c, now: 1e6}, err
}

// Core is the router's.
func (a *SimulatedRouter) Core() *engine.Core { return a.c }

// Apply tells it news of members or purges.
func (a *SimulatedRouter) Apply(n *engine.Update) {
	for _, ev := range a.c.Apply(a.now, n).Events {
		a.c.Handle(a.now, ev, nil)
	}
}

// Advance lets time pass, with the module's beats.
func (a *SimulatedRouter) Advance(ms float64) {
	for end := a.now + ms; a.now < end; a.now += 25 {
		a.acts = a.c.Handle(a.now, spool.Timer{}, a.acts[:0])
	}
}

// Route asks for a thing. Of the request the name and the deadline are the asker's.
func (a *SimulatedRouter) Route(q spool.Request) (p Placement) {
	a.n++
	a.now += 2
	q.ID, q.Deadline = fmt.Sprint("q", a.n), a.now+1e4
	a.acts = a.c.Handle(a.now, q, a.acts[:0])
	for attempt := 0; attempt < 8; attempt++ {
		var send *spool.Send
		for _, act := range a.acts {
			if s, ok := act.(spool.Send); ok && s.ID == q.ID {
				send = &s
			}
		}
		if send == nil {
			break
		}
		if p.Cache == "" {
			p.Cache = send.Cache
		}
		result := spool.OK
		if send.Source == send.Cache && p.Source == "" && !q.Write || send.Held { // of a cache that held it before: only what comes from a parent is told
			result = spool.Miss
		} else {
			p.Source = send.Source
		}
		a.now++
		a.acts = a.c.Handle(a.now, spool.Outcome{ID: q.ID, Cache: send.Cache, Attempt: attempt, Result: result, Took: 1, Last: result == spool.OK}, a.acts[:0])
		if result == spool.OK {
			return p
		}
	}
	a.c.Handle(a.now, spool.Gone{ID: q.ID}, nil)
	return p
}
