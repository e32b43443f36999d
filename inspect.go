package indigospool

// Explain has f hear of every member that a choice looks at, while it is made:
// what it is told is the decision itself, not another one. nil ends that.
func (r *Router) Explain(f func(Look)) { r.onLook = f }

// traceLook tells of a member that a choice has looked at, and passes the reason on.
func (r *Router) traceLook(request *request, member *member, source bool, pass int, why Reason) Reason {
	if r.onLook != nil {
		l := Look{Request: request.ID, Source: source, Pass: pass, Why: why}
		if member != nil {
			l.Member = member.ID
		}
		r.onLook(l)
	}
	return why
}

// Belief is what a router holds of a member, or of its location's link.
type Belief struct {
	Held    float64 `json:"held"` // attempts that it takes to be out
	Room    float64 `json:"room"` // how many are thought to be borne
	Tardy   float64 `json:"tardy"`
	Faults  float64 `json:"faults"`
	Suspect bool    `json:"suspect,omitempty"`
}

// Beliefs tells of each member that is listed, and of the link.
func (r *Router) Beliefs() (members map[string]Belief, link Belief) {
	members = make(map[string]Belief, len(r.members))
	for id, member := range r.members {
		members[id] = Belief{Held: member.inFlight, Room: member.limit, Tardy: member.slowShare, Faults: member.faultShare, Suspect: member.ejected}
	}
	return members, Belief{Held: r.link.inFlight, Room: r.link.limit, Tardy: r.link.slowShare}
}
