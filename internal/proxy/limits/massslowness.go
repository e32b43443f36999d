package limits

// MassSlowness keeps a judgement on members from being the router's own fault: where most of
// those that are at work are found slow within a short while, the cause is nearer to
// the router than to them, and none is cut.
type MassSlowness struct {
	Span  float64 // ms over which members are counted
	Share float64 // of those at work: from there on judgement is suspect
	Least int     // members at work below which one may always be cut

	lastGood, lastSlow map[string]float64 // when last seen so
	Spared             uint64             // cuts that were not made
}

// ObserveGood says that a member moved bytes at the least rate or more.
func (j *MassSlowness) ObserveGood(member string, now float64) { j.record(&j.lastGood, member, now) }

// ObserveSlow says that a member was found slow. All that are found so at a time are to be
// told before Cut is asked of one.
func (j *MassSlowness) ObserveSlow(member string, now float64) { j.record(&j.lastSlow, member, now) }

// MayCut reports whether a member that was found slow may be cut.
func (j *MassSlowness) MayCut(member string, now float64) bool {
	j.ObserveSlow(member, now)
	slow, working := 0, 0
	for id, at := range j.lastSlow {
		if now-at > j.Span {
			delete(j.lastSlow, id)
			continue
		}
		slow++
		working++
	}
	for id, at := range j.lastGood {
		if now-at > j.Span {
			delete(j.lastGood, id)
		} else if _, both := j.lastSlow[id]; !both {
			working++
		}
	}
	if working >= j.Least && float64(slow) > j.Share*float64(working) {
		j.Spared++
		return false
	}
	return true
}

func (j *MassSlowness) record(m *map[string]float64, member string, now float64) {
	if *m == nil {
		*m = map[string]float64{}
	}
	(*m)[member] = now
}
