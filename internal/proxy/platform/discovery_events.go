package platform

import (
	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/discovery"
	"indigospool/internal/proxy/engine"
)

// minUptime is the least age of a member's late start, in ms: 0 would mean long ago.
const minUptime = 0.001

// memberState is the engine's name of an endpoint's state.
func memberState(state discovery.State) string {
	switch state {
	case discovery.Ready:
		return "serving"
	case discovery.Draining:
		return "draining"
	case discovery.Removed:
		return "removed"
	}
	return ""
}

// applyEvents applies the events of a configuration. The times of all of them are observed
// first: the last ones say how old the others are.
func (s *Server) applyEvents(events []discovery.Event) {
	for i := range events {
		s.observeTimestamps(&events[i])
	}
	for _, event := range events {
		s.applyEvent(event)
	}
}

// applyEvent has the router handle a discovery event. The age of what it says goes by the
// platform's own times alone: the wall clock of this machine may be wrong by any amount.
func (s *Server) applyEvent(event discovery.Event) {
	s.counts.Events++
	s.observeTimestamps(&event)
	if event.Kind != discovery.Purge {
		s.applyEndpointList(&event)
		return
	}
	age := s.platformTime.Age(float64(event.PurgedAt), s.loop.Now())
	s.dispatch(spool.Purge{Object: event.Object, Group: event.Group, Age: age})
	s.cancelPurged(event.Object, event.Group)
}

// applyEndpointList has the router handle a snapshot or a delta of the endpoint list.
func (s *Server) applyEndpointList(event *discovery.Event) {
	now := s.loop.Now()
	update := engine.Update{Rev: int64(event.Number), Kind: "step"}
	if event.Kind == discovery.Snapshot {
		update.Kind = "full"
	}
	for i := range event.Endpoints {
		update.Members = append(update.Members, s.engineRow(&event.Endpoints[i], now))
	}
	for _, e := range s.engine.Apply(now, &update).Events {
		s.dispatch(e)
	}
	for _, endpoint := range event.Endpoints {
		s.memberChanged(endpoint.ID)
	}
	if event.Kind == discovery.Snapshot { // members that it does not name are removed
		s.engine.Members(func(member spool.Member, _ string) { s.memberChanged(member.ID) })
	}
}

// engineRow is an endpoint in the engine's form.
func (s *Server) engineRow(endpoint *discovery.Endpoint, now float64) engine.Row {
	row := engine.Row{
		ID:      endpoint.ID,
		Zone:    endpoint.Zone,
		Kind:    endpoint.Kind,
		Cell:    endpoint.Cell,
		State:   memberState(endpoint.State),
		Size:    endpoint.Weight,
		Address: endpoint.Address,
		Start:   endpoint.StartedAt,
	}
	if endpoint.StartedAt > 0 {
		row.UptimeMillis = max(s.platformTime.Age(float64(endpoint.StartedAt), now), minUptime)
	}
	return row
}

// observeTimestamps shows the times in an event to the clock of the platform. They may lie behind
// the beginning of the loop's turn in which the event is read.
func (s *Server) observeTimestamps(event *discovery.Event) {
	now := eventloop.Clock()
	if event.Kind == discovery.Purge {
		s.platformTime.Observe(float64(event.PurgedAt), now)
	}
	for i := range event.Endpoints {
		if started := event.Endpoints[i].StartedAt; started > 0 {
			s.platformTime.Observe(float64(started), now)
		}
	}
}

// memberChanged closes the pool of a member that is not serving any more or has another
// address, and has the engine forget one that was removed.
func (s *Server) memberChanged(id string) {
	p := s.pools[id]
	if p != nil && (!s.serving(id) || s.engine.Address(id) != p.address) {
		p.close()
	}
	s.engine.Forget(id)
}
