package indigospool

// Explain has onLook notified of every member that a choice looks at, while the choice
// is made: what it is given is the decision itself, not a second computation. nil ends that.
func (r *Router) Explain(onLook func(Look)) { r.onLook = onLook }

// traceLook notifies of a member that a choice has looked at and returns the reason
// unchanged. The member is nil where the reason concerns the request as such.
func (r *Router) traceLook(request *request, member *member, asSource bool, pass int, reason Reason) Reason {
	if r.onLook == nil {
		return reason
	}
	look := Look{Request: request.ID, Source: asSource, Pass: pass, Why: reason}
	if member != nil {
		look.Member = member.ID
	}
	r.onLook(look)
	return reason
}

// Belief is the state of a member, or of the link of the location's fills, as the
// router sees it. The names of its fields are part of the JSON of /state.
type Belief struct {
	Held    float64 `json:"held"`              // attempts in flight
	Room    float64 `json:"room"`              // the concurrency limit: attempts that may be in flight
	Tardy   float64 `json:"tardy"`             // recent share of slow attempts, 0 to 1
	Faults  float64 `json:"faults"`            // recent share of faults, 0 to 1; not of a link
	Suspect bool    `json:"suspect,omitempty"` // ejected; not of a link
}

// Beliefs returns the state of each listed member, by id, and that of the link.
func (r *Router) Beliefs() (members map[string]Belief, link Belief) {
	members = make(map[string]Belief, len(r.members))
	for id, member := range r.members {
		belief := member.concurrencyLimit.belief()
		belief.Faults = member.faultShare
		belief.Suspect = member.ejected
		members[id] = belief
	}
	return members, r.link.belief()
}

// belief is what a concurrency limit has learned.
func (l *concurrencyLimit) belief() Belief {
	return Belief{Held: l.inFlight, Room: l.limit, Tardy: l.slowShare}
}
