package limits

// MassSlowness keeps the router from disconnecting members for a fault of its own, as the panic
// threshold of outlier detection does: if most of the active members are slow within a short
// time, the cause is probably the router or its network, and no member is disconnected. A member
// is active if it was observed, good or slow, within the window.
//
// Times are in milliseconds on the caller's clock.
type MassSlowness struct {
	Window    float64 // ms for which an observation counts
	Share     float64 // share of slow members among the active above which none is disconnected
	MinActive int     // active members below which a slow one is always disconnected
	Spared    uint64  // slow members that were not disconnected

	lastGood map[string]float64 // time of the last call of ObserveGood, by member
	lastSlow map[string]float64 // time of the last call of ObserveSlow, by member
}

// ObserveGood records that a member moved bytes at least at the minimum rate.
func (s *MassSlowness) ObserveGood(member string, now float64) {
	if s.lastGood == nil {
		s.lastGood = map[string]float64{}
	}
	s.lastGood[member] = now
}

// ObserveSlow records that a member is slow. All members that are slow at the same time must be
// recorded before MayDisconnect is called for the first of them.
func (s *MassSlowness) ObserveSlow(member string, now float64) {
	if s.lastSlow == nil {
		s.lastSlow = map[string]float64{}
	}
	s.lastSlow[member] = now
}

// MayDisconnect records that a member is slow and reports whether it may be disconnected.
func (s *MassSlowness) MayDisconnect(member string, now float64) bool {
	s.ObserveSlow(member, now)
	slow, active := s.count(now)
	if active >= s.MinActive && float64(slow) > s.Share*float64(active) {
		s.Spared++
		return false
	}
	return true
}

// count deletes observations older than Window and counts the slow and the active members.
func (s *MassSlowness) count(now float64) (slow, active int) {
	forgetOlder(s.lastSlow, now, s.Window)
	forgetOlder(s.lastGood, now, s.Window)
	slow = len(s.lastSlow)
	active = slow
	for member := range s.lastGood {
		if _, both := s.lastSlow[member]; !both {
			active++
		}
	}
	return slow, active
}

// forgetOlder deletes the observations that are older than window.
func forgetOlder(observed map[string]float64, now, window float64) {
	for member, at := range observed {
		if now-at > window {
			delete(observed, member)
		}
	}
}
