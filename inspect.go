package indigospool

// Explain has f hear of every member that a choice looks at, while it is made:
// what it is told is the decision itself, not another one. nil ends that.
func (r *Router) Explain(f func(Look)) { r.looker = f }

// saw tells of a member that a choice has looked at, and passes the reason on.
func (r *Router) saw(q *request, m *member, source bool, pass int, why Reason) Reason {
	if r.looker != nil {
		l := Look{Request: q.ID, Source: source, Pass: pass, Why: why}
		if m != nil {
			l.Member = m.ID
		}
		r.looker(l)
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
	for id, m := range r.members {
		members[id] = Belief{Held: m.held, Room: m.room, Tardy: m.tardy, Faults: m.faults, Suspect: m.suspect}
	}
	return members, Belief{Held: r.link.held, Room: r.link.room, Tardy: r.link.tardy}
}
