package indigospool

import (
	"cmp"
	"slices"
)

const (
	firstRoom   = 32.0 // fills at once at first, and at least; then as many as come in within the aim
	leastRoom   = 2.0
	leastShared = 4.0 // the same for all routers of a location, which may be many
	tardyPart   = 0.6 // a fill is tardy past this part of the aim
	tardyShare  = 0.4 // and the link too full at this share of tardy fills
)

// gate limits what is out over a link to what comes in on time.
type gate struct {
	held, room float64 // what is out, and how much is thought to be borne
	tardy      float64 // recent share that took most of the aim
	cut, next  Millis  // when room was last lowered, and when its fraction is free again
}

// stall takes an answer that waits for its client out of what members and the link
// bear, and back when it goes on: one slow client keeps no place from others.
func (r *Router) stall(ev Stalled) {
	q := r.open[ev.ID]
	if q == nil || ev.Attempt < 0 || ev.Attempt >= len(q.tries) {
		return
	}
	a := &q.tries[ev.Attempt]
	if !a.open || a.stalled == ev.On {
		return
	}
	if a.stalled, a.waited = ev.On, true; !ev.On {
		r.hold(a, 1)
		return
	}
	r.hold(a, -1)
	r.pump()
}

// hold counts an attempt in (1) or out (-1) of what is held.
func (r *Router) hold(a *attempt, n float64) {
	a.at.held += n
	a.at.out = max(a.at.out+n*a.expect, 0)
	if a.fill {
		r.link.held += n
	}
}

// gauge learns how many transfers at once a link bears, the location's or a
// cache's: a tenth less when too many of them use up most of the aim, else one
// more. A few may be late for other reasons: size, a far source. All routers of
// the location share the least room of its link; it binds where they are many.
func (r *Router) gauge(q *request, g *gate, late, good bool, span Millis) {
	gain := 0.1
	if q.KB <= 0 { // large ones can't be told from slow ones: a roomful is looked at, lest a few cut it
		gain = min(gain, 1/max(g.room, 1))
	}
	if g.tardy -= g.tardy * gain; late {
		g.tardy += gain
	}
	if g.tardy > tardyShare {
		if late && r.now-g.cut > 100 {
			least := min(leastRoom, leastShared/r.s.sharers(edge))
			g.room, g.cut = max(min(g.room, g.held+1)*0.9, least), r.now
		}
	} else if good && g.held+2 >= g.room {
		g.room += 1 / max(g.room, 1)
	}
	g.next = r.now + span*max(1/max(g.room, 0.05)-1, 0)
}

// free reports whether one more transfer may start. Room for less than one is a
// place for a part of the time.
func (g *gate) free(now Millis) bool { return g.held < g.room && now >= g.next }

// pump lets waiting requests go on, those first that earn most for their work:
// when the link cannot serve all, the least worth waits. Once no cache of the
// location takes anything, only those are looked at that could go on without one:
// else each place that becomes free costs a look at all who wait.
func (r *Router) pump() {
	r.wait = r.wait[:0]
	for _, q := range r.order {
		if q.parked && !q.over {
			r.wait = append(r.wait, q)
		}
	}
	wait := r.wait
	for picks := 0; len(wait) > 0 && picks < 4 && !r.closed(); picks++ {
		top, most := 0, r.earns(wait[0])
		for i, q := range wait[1:] {
			if e := r.earns(q); e > most {
				top, most = i+1, e
			}
		}
		q := wait[top]
		wait = slices.Delete(wait, top, top+1)
		r.advance(q)
	}
	if r.closed() {
		direct := r.s.Direct && r.link.free(r.now)
		wait = slices.DeleteFunc(wait, func(q *request) bool {
			return q.seat == nil && !direct && !q.writes() && !r.spent(q)
		})
	}
	slices.SortStableFunc(wait, func(a, b *request) int { return cmp.Compare(r.earns(b), r.earns(a)) })
	for _, q := range wait {
		r.advance(q)
	}
}

// earns is a waiting request's worth for its work.
func (r *Router) earns(q *request) float64 {
	worth := q.class.Worth
	if q.Retry || r.now+q.work*r.pace > q.arrived+q.aim() { // a repeat has waited before
		worth *= q.class.LateWorth
	}
	return worth / (q.work + 1)
}

// closed reports whether no cache of the location takes a request now, whichever it is.
func (r *Router) closed() bool {
	return !slices.ContainsFunc(r.byRole[edge], func(m *member) bool {
		return !m.gone && m.held < max(m.room, leastRoom) && !(m.suspect && (m.trial || r.now < m.trialAt))
	})
}
