package limits

// MassSlowness keeps members from being cut for what is the router's own fault, as the panic
// threshold of outlier detection does: if most of the members at work are found slow within a
// short time, the cause is nearer to the router than to them, and none is cut.
//
// Times are in milliseconds on the caller's clock.
type MassSlowness struct {
	Window     float64 // ms for which a finding counts
	Share      float64 // part of the members at work above which slow ones are not cut
	MinWorking int     // members at work below which a slow one is always cut
	Spared     uint64  // cuts that were not made

	lastGood map[string]float64 // by member
	lastSlow map[string]float64
}

// ObserveGood records that a member moved bytes at the minimum rate or more.
func (s *MassSlowness) ObserveGood(member string, now float64) {
	if s.lastGood == nil {
		s.lastGood = map[string]float64{}
	}
	s.lastGood[member] = now
}

// ObserveSlow records that a member was found slow. All that are found slow at a time have to
// be recorded before MayCut is asked about one.
func (s *MassSlowness) ObserveSlow(member string, now float64) {
	if s.lastSlow == nil {
		s.lastSlow = map[string]float64{}
	}
	s.lastSlow[member] = now
}

// MayCut reports whether a member that was found slow may be cut.
func (s *MassSlowness) MayCut(member string, now float64) bool {
	s.ObserveSlow(member, now)
	slow, working := s.count(now)
	if working >= s.MinWorking && float64(slow) > s.Share*float64(working) {
		s.Spared++
		return false
	}
	return true
}

// count forgets what is older than Span, and counts the members found slow and those at work.
func (s *MassSlowness) count(now float64) (slow, working int) {
	forgetOlder(s.lastSlow, now, s.Window)
	forgetOlder(s.lastGood, now, s.Window)
	slow = len(s.lastSlow)
	working = slow
	for member := range s.lastGood {
		if _, both := s.lastSlow[member]; !both {
			working++
		}
	}
	return slow, working
}

// forgetOlder deletes the findings that are older than span.
func forgetOlder(found map[string]float64, now, span float64) {
	for member, at := range found {
		if now-at > span {
			delete(found, member)
		}
	}
}
