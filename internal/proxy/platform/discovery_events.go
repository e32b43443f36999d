package platform

import (
	spool "indigospool"
	"indigospool/internal/eventloop"
	"indigospool/internal/protocol/discovery"
	"indigospool/internal/proxy/engine"
)

// minUptime is the least uptime, in ms, of a member with a known start time; 0 would mean that
// it started long ago.
const minUptime = 0.001

// memberState returns the engine's name for an endpoint state.
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

// applyEvents applies the events in a configuration. It observes the timestamps of all events
// first, since the age of an event is computed from the latest timestamp.
func (s *Server) applyEvents(events []discovery.Event) {
	for i := range events {
		s.observeTimestamps(&events[i])
	}
	for _, event := range events {
		s.applyEvent(event)
	}
}

// applyEvent passes a discovery event to the router. Ages are computed from the platform's own
// timestamps only, because this machine's wall clock may be wrong by any amount.
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

// applyEndpointList applies a snapshot or a delta of the endpoint list.
func (s *Server) applyEndpointList(event *discovery.Event) {
	now := s.loop.Now()
	update := engine.Update{Rev: int64(event.Number), Kind: "step"}
	if event.Kind == discovery.Snapshot {
		update.Kind = "full"
	}
	for i := range event.Endpoints {
		update.Members = append(update.Members, s.memberRow(&event.Endpoints[i], now))
	}
	for _, e := range s.engine.Apply(now, &update).Events {
		s.dispatch(e)
	}
	for _, endpoint := range event.Endpoints {
		s.memberChanged(endpoint.ID)
	}
	if event.Kind == discovery.Snapshot { // it also removes the members that it does not list
		s.engine.Members(func(member spool.Member, _ string) { s.memberChanged(member.ID) })
	}
}

// memberRow converts an endpoint to the engine's form.
func (s *Server) memberRow(endpoint *discovery.Endpoint, now float64) engine.Row {
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

// observeTimestamps passes the timestamps in an event to platformTime. It uses the current time
// rather than loop.Now: the event may have been made after the loop's turn began.
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

// memberChanged closes the pool of a member that is no longer serving or has another address,
// and makes the engine forget a member that was removed.
func (s *Server) memberChanged(id string) {
	p := s.pools[id]
	if p != nil && (!s.serving(id) || s.engine.Address(id) != p.address) {
		p.close()
	}
	s.engine.Forget(id)
}
