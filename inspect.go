package indigospool

// Explain has onCandidate notified of every member that a choice looks at, while the choice
// is made: what it is given is the decision itself, not a second computation. nil ends that.
func (r *Router) Explain(onCandidate func(Candidate)) { r.onCandidate = onCandidate }

// traceCandidate notifies of a member that a choice has looked at and returns the reason
// unchanged. The member is nil where the reason concerns the request as such.
func (r *Router) traceCandidate(request *request, member *member, asSource bool, pass int, reason Reason) Reason {
	if r.onCandidate == nil {
		return reason
	}
	candidate := Candidate{Request: request.ID, AsSource: asSource, Pass: pass, Reason: reason}
	if member != nil {
		candidate.Member = member.ID
	}
	r.onCandidate(candidate)
	return reason
}

// Status is the state of a member, or of the link of the location's fills, as the
// router sees it. The names of its fields are part of the JSON of /state.
type Status struct {
	InFlight   float64 `json:"held"`              // attempts in flight
	Limit      float64 `json:"room"`              // the concurrency limit: attempts that may be in flight
	SlowShare  float64 `json:"tardy"`             // recent share of slow attempts, 0 to 1
	FaultShare float64 `json:"faults"`            // recent share of faults, 0 to 1; not of a link
	Ejected    bool    `json:"suspect,omitempty"` // ejected; not of a link
}

// Statuses returns the state of each listed member, by id, and that of the link.
func (r *Router) Statuses() (members map[string]Status, link Status) {
	members = make(map[string]Status, len(r.members))
	for id, member := range r.members {
		belief := member.concurrencyLimit.belief()
		belief.FaultShare = member.faultShare
		belief.Ejected = member.ejected
		members[id] = belief
	}
	return members, r.link.belief()
}

// belief is what a concurrency limit has learned.
func (l *concurrencyLimit) belief() Status {
	return Status{InFlight: l.inFlight, Limit: l.limit, SlowShare: l.slowShare}
}
