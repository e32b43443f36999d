package indigospool

// Explain sets a function that is called for every member that is considered for an attempt, at the
// time of the decision and in the order of consideration. Nil removes it.
func (r *Router) Explain(onCandidate func(Candidate)) { r.onCandidate = onCandidate }

// traceCandidate reports a considered member to the function set by Explain and returns reason. The
// member is nil if the reason concerns the request itself.
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

// Status is the learned state of a member or of the link into the zone. Its JSON form is part of the
// response of /state.
type Status struct {
	InFlight   float64 `json:"held"`              // attempts or fills in flight
	Limit      float64 `json:"room"`              // the concurrency limit
	SlowShare  float64 `json:"tardy"`             // moving share of slow transfers, 0 to 1
	FaultShare float64 `json:"faults"`            // moving share of faults, 0 to 1; always 0 for the link
	Ejected    bool    `json:"suspect,omitempty"` // always false for the link
}

// Statuses returns the status of each member by id, and that of the link.
func (r *Router) Statuses() (members map[string]Status, link Status) {
	members = make(map[string]Status, len(r.members))
	for id, member := range r.members {
		status := member.concurrencyLimit.status()
		status.FaultShare = member.faultShare
		status.Ejected = member.ejected
		members[id] = status
	}
	return members, r.link.status()
}

// status returns the status of a concurrency limit, without faults.
func (l *concurrencyLimit) status() Status {
	return Status{InFlight: l.inFlight, Limit: l.limit, SlowShare: l.slowShare}
}
