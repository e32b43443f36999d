package platform

import (
	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/discovery"
	"indigospool/internal/proxy/engine"
)

// eventsOf hands the events of a configuration on. The times of all of them are looked at
// first: the last tell how old the others are.
func (s *Server) applyEvents(list []discovery.Event) {
	for i := range list {
		s.observeTimes(&list[i])
	}
	for _, ev := range list {
		s.applyEvent(ev)
	}
}

// event hands an event of the feed on to the module. How old what it tells is goes by the
// platform's own times alone: the wall clock of this machine may be anywhere.
func (s *Server) applyEvent(event discovery.Event) {
	s.counts.Events++
	s.observeTimes(&event)
	now := s.loop.Now()
	if !event.Listed {
		s.dispatch(spool.Purge{Object: event.Object, Group: event.Group, Age: s.platformTime.Age(float64(event.PurgedAt), now)})
		s.cancelPurged(event.Object, event.Group)
		return
	}
	update := engine.News{Rev: int64(event.Number), How: "step"}
	if event.Full {
		update.How = "full"
	}
	for _, endpoint := range event.Endpoints {
		row := engine.Row{ID: endpoint.ID, Zone: endpoint.Zone, Kind: endpoint.Kind, Cell: endpoint.Cell, State: memberStateNames[endpoint.State],
			Size: endpoint.Weight, Address: endpoint.Address, Start: endpoint.StartedAt}
		if endpoint.StartedAt > 0 {
			row.UpMs = max(s.platformTime.Age(float64(endpoint.StartedAt), now), leastUptime)
		}
		update.Members = append(update.Members, row)
	}
	for _, e := range s.engine.Apply(now, &update).Events {
		s.dispatch(e)
	}
	for _, endpoint := range event.Endpoints {
		s.memberChanged(endpoint.ID)
	}
	if event.Full { // those that it does not name are gone
		s.engine.Members(func(m spool.Member, _ string) { s.memberChanged(m.ID) })
	}
}

// saw shows the clock an event's times. They may lie behind the beginning of the turn in
// which it is read.
func (s *Server) observeTimes(event *discovery.Event) {
	now := eventloop.Clock()
	if !event.Listed {
		s.platformTime.Saw(float64(event.PurgedAt), now)
	}
	for i := range event.Endpoints {
		if started := event.Endpoints[i].StartedAt; started > 0 {
			s.platformTime.Saw(float64(started), now)
		}
	}
}

// changed has what is kept of a member go by its row: a pool that it no longer fits is
// closed, and one that is gone is forgotten.
func (s *Server) memberChanged(id string) {
	p := s.pools[id]
	if m, ok := s.engine.Member(id); p != nil && (!ok || m.State != spool.Serving || s.engine.Address(id) != p.address) {
		p.close()
	}
	s.engine.Forget(id)
}

const leastUptime = 0.001 // ms: 0 would mean long ago

var memberStateNames = map[string]string{"ready": "serving", "draining": "draining", "gone": "removed"}
