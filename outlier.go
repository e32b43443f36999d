package indigospool

const (
	lateBase     = Millis(300) // an attempt is overdue after this and lateStretch x its expected time
	lateStretch  = 1.5
	quietEdge    = Millis(450) // overdue and no sign of life for so long: silent (pauses are shorter)
	quietSource  = Millis(900) // the same for a source, which is heard of less often
	quietGaps    = 4           // and for this many usual gaps between signs of life
	lateCount    = 3
	lateAlone    = Millis(1500) // one overdue attempt is enough after so long a silence, and
	aloneStretch = 6            // after so many times what it was expected to take: objects differ in size
	faultGain    = 0.12         // weight of one outcome in the share of faults
	doubt        = 0.1          // share of faults assumed of those that showed none
	faultLimit   = 0.4          // share of faults that makes a suspect
	firstTrial   = Millis(400)
	lastTrial    = Millis(4000)
	winsNeeded   = 3 // good trials in a row that clear a suspect
)

func (r *Router) judge(q *request, a *attempt, ev Outcome) {
	fill := a.src != a.at
	switch ev.Result {
	case OK:
		r.bless(a.at, a)
		a.at.work += q.work
		if fill && ev.Note != NoteHit {
			r.bless(a.src, a)
			a.src.work += q.work
		} else if a.at.role == edge {
			q.class.took += (ev.Took - q.class.took) * 0.02
			if q.KB <= 0 {
				q.class.mean += (ev.Took - q.class.mean) * 0.02
			}
		}
	case Miss:
		if a.at.good = r.now; a.trial { // it answers; one that was out for long has few copies
			r.bless(a.at, a)
		}
		if a.lacked = a.src.role == edge; !fill {
			q.seat = a.at
		}
	case Full:
		switch {
		case ev.Note == NoteSourceRefused && a.src.role == origin, ev.Note == NoteSourceLacks:
			a.blamed = a.src // it guards itself: no fault
		case ev.Note == NoteOriginFailed:
			a.blamed = a.src
			for _, o := range r.byRole[origin] {
				r.blame(o, 0.5, nil)
			}
		case ev.Note == NoteSourceRefused || ev.Note == NoteSourceUnreached:
			r.blame(a.src, 1, a)
		case ev.Note == NoteNoPlace || r.s.Detail == DetailAll:
			r.blame(a.at, 0.25, a)
		default:
			r.apportion(a, 0.5)
		}
	case Errored:
		// What two caches find fault with, and no source, no cache can use: the request ends, and
		// the first gets its blame back. Else a few such make suspects of a whole location.
		if m := q.erred; !fill && m != nil && m != a.at {
			q.unfit, a.blamed = true, a.at
			m.faults = max((m.faults-faultGain)/(1-faultGain), 0)
			m.suspect = m.suspect && m.faults > faultLimit
		} else if r.apportion(a, 1); !fill {
			q.erred = a.at
		}
	case ConnectFailed:
		r.blame(a.at, 3, a)
	case TimedOut, Reset: // a dying cache resets all, and then refuses; a connection may break by itself
		if a.at.good <= a.sent { // with progress since, it was crowded out: nobody's fault
			r.blame(a.at, 1, a)
		} else if fill && a.src.good <= a.sent {
			r.blame(a.src, 0.5, a)
		}
	}
}

// bless books a sign of health. A suspect returns after good trials, with part
// of its traffic first, so that one that is cold or half well is not flooded.
func (r *Router) bless(m *member, a *attempt) {
	m.gap += (min(r.now-m.good, 2000) - m.gap) * 0.1
	m.good = r.now
	m.faults -= m.faults * faultGain
	m.judged++
	if m.suspect && (a.trial || a.src == m || m.silent) {
		m.trialAt = r.now                               // the next trial may follow at once
		if m.wins++; m.wins >= winsNeeded || m.silent { // silence is over with the first sign of life
			m.suspect, m.faults, m.judged = false, 0, 0
		}
	}
}

// apportion blames a fault that the cache or the source may have: each in
// proportion to the faults it has shown elsewhere, so that one explains the
// other away.
func (r *Router) apportion(a *attempt, w float64) {
	if a.src == a.at {
		r.blame(a.at, w, a)
		return
	}
	part := (a.at.faults + doubt) / (a.at.faults + a.src.faults + 2*doubt)
	r.blame(a.at, w*part, nil)
	r.blame(a.src, w*(1-part), nil)
	if a.blamed = a.at; part < 0.5 {
		a.blamed = a.src
	}
}

// blame books a fault of weight w; a, if named, is put down to the member.
func (r *Router) blame(m *member, w float64, a *attempt) {
	if a != nil {
		a.blamed = m
	}
	m.faults += (1 - m.faults) * min(faultGain*w, 1)
	m.judged++
	m.wins = 0
	if m.suspect {
		m.backoff = min(m.backoff*1.5, lastTrial)
		m.trialAt = r.now + m.backoff
	} else if m.faults > faultLimit && m.judged > 1 {
		r.accuse(m)
	}
}

// accuse takes the ordinary traffic from a member.
func (r *Router) accuse(m *member) {
	m.suspect, m.wins, m.trial, m.silent = true, 0, false, false
	m.backoff = firstTrial
	m.trialAt = r.now + m.backoff
}

// silent reports whether a member with overdue attempts gives no sign of life.
func (r *Router) silent(m *member) bool {
	quiet := quietEdge
	if m.role != edge {
		quiet = quietSource
	}
	still := r.now - max(m.good, m.asked)
	return m.late >= lateCount && still > max(quiet, quietGaps*m.gap) ||
		still > max(lateAlone, aloneStretch*m.due)
}

// awaits counts an overdue attempt of a member.
func (r *Router) awaits(m *member, a *attempt) {
	if m.late == 0 {
		m.asked, m.due = r.now, 0
		r.awaited = append(r.awaited, m)
	}
	m.late++
	m.asked, m.due = min(m.asked, a.sent), max(m.due, a.expect)
}

func (a *attempt) overdue(now Millis) bool {
	return a.open && !a.waited && now-a.sent > lateBase+lateStretch*a.expect
}
