package indigospool

import (
	"slices"
)

const (
	keepRank     = 1 // one rank for all: a higher one would keep new copies out for long
	refuseAdvice = Millis(300)
)

// request is a request in hand.
type request struct {
	Request
	class                *class
	hash, draw           uint64
	arrived              Millis
	token                int64  // of its deadline's timer
	work                 Millis // own sending time, as told or as its class takes
	tries                []attempt
	locals               int // of these, the ones that could not be begun here
	over, parked, stream bool
	waited               bool    // it was parked
	seat                 *member // the cache that missed it and is to be filled
	sibling, stale       bool    // a sibling was asked; an old copy will do
	erred                *member // the cache whose error it had, with no source involved
	unfit                bool    // another one's too
	ran                  *member // where the first attempt that may have run went
	ranAt                Millis
	full                 bool   // the last attempt was turned away
	hold                 Millis // nobody is asked before
	rest                 Millis // those that turned it away are not asked again before
}

// attempt is one attempt of a request.
type attempt struct {
	at, src      *member
	sent, expect Millis
	open, trial  bool
	fill         bool // it takes room on the location's link
	called       bool // cancelled by us
	lacked       bool // only a cache was asked, which had no copy
	local        bool // it could not be begun here
	blamed       *member
	stalled      bool // it waits for its client now
	waited       bool // or did: how long it took tells nothing of members
}

func (r *Router) arrive(ev Request) {
	c := r.classes[ev.Class]
	if c == nil {
		r.do(Fail{ID: ev.ID})
	}
	if c == nil || r.open[ev.ID] != nil {
		return
	}
	q := &request{Request: ev, class: c, hash: hashString(ev.Object), arrived: r.now}
	q.draw = r.draw(q)
	if ev.Deadline <= 0 {
		q.Deadline = r.now + c.Deadline
	}
	q.work = c.mean
	if ev.KB > 0 && r.s.FlowKBPerMs > 0 {
		q.work = ev.KB / r.s.FlowKBPerMs
		c.mean += (q.work - c.mean) * 0.02
	}
	r.open[ev.ID] = q
	r.order = append(r.order, q)
	r.token++
	r.timers[r.token], q.token = q, r.token
	r.do(Wake{In: max(q.Deadline-r.now-2*r.s.Tick, 0), Token: r.token})
	r.mean += (q.work - r.mean) * 0.02
	r.retries = min(r.retries+retryShare, retryBurst)
	r.note(q)
	r.advance(q)
}

// advance makes the next attempt of a request that has none out, or ends it.
// A warm cache is first asked for what it holds; only a miss is then filled,
// so that faults and bytes of fills are known for what they are.
func (r *Router) advance(q *request) {
	q.parked = false
	free := q.freely()
	if r.spent(q) {
		r.saw(q, nil, false, 0, NoBudget)
		r.finish(q)
		return
	}
	var at, src *member
	if r.now >= q.hold {
		at, src = r.choose(q)
	}
	if at == nil {
		q.parked, q.waited = true, true // budgets, trials and the link's room come back with the next beats
		return
	}
	if !free {
		r.retries--
	}
	a := attempt{at: at, src: src, sent: r.now, expect: q.class.took, open: true}
	if q.KB > 0 && r.s.FlowKBPerMs > 0 {
		a.expect = q.work
	}
	a.trial = at.suspect || src.suspect
	a.fill = at.role != edge || src != at && src.role != edge
	send := Send{ID: q.ID, Cache: at.ID, Source: src.ID, Keep: keepRank, Age: r.age(q)}
	send.Join, send.Held = r.s.Joins && src != at, src.role == edge && src != at
	if q.writes() {
		send.Keep, send.Join, a.fill = 0, false, false
		if q.class.Effect == Guarded { // leave time for a repeat while it is remembered
			send.Timeout = max(min(q.class.Window*0.45, (q.Deadline-r.now)*0.5), 1)
		}
	}
	if q.ran != nil && q.class.Effect == Guarded { // a connection may come up past its window
		send.Within = max(q.ranAt+q.class.Window-2*r.s.Tick-r.now, leastAge)
	}
	if a.fill {
		r.link.held++
	}
	at.held++
	at.out += a.expect
	for _, m := range []*member{at, src} {
		if m.suspect {
			m.trial, m.trialAt = true, r.now+m.backoff
		}
	}
	if at.tokens -= r.cost(at, q); src != at && src.role != edge {
		src.tokens -= r.cost(src, q)
	}
	if q.ran == nil {
		q.ran, q.ranAt = at, r.now // until its outcome proves otherwise
	}
	q.tries = append(q.tries, a)
	r.do(send)
}

// settle books an outcome, blames the part that failed and goes on.
func (r *Router) settle(ev Outcome) {
	q := r.open[ev.ID]
	if q == nil || ev.Attempt < 0 || ev.Attempt >= len(q.tries) || !q.tries[ev.Attempt].open {
		return
	}
	a := &q.tries[ev.Attempt]
	a.open = false
	if a.stalled {
		r.hold(a, 1) // and lets it go below
	}
	a.at.out = max(a.at.out-a.expect, 0)
	if ev.Result == LocalFailure {
		r.settleLocal(q, a, ev.Last)
		return
	}
	r.judge(q, a, ev)
	behind := ev.Result == Full && (ev.Note == NoteOriginFailed || a.at.role == origin ||
		ev.Note == NoteSourceRefused && (a.src.role == origin || q.full))
	if behind {
		// What is short is behind all that could be asked instead, and is no longer so when asked
		// again at once, by all: what is left of attempts is spread over what is left of time.
		spread := (q.Deadline - r.now) / float64(2*max(r.s.MaxAttempts-q.made()+1, 1))
		q.hold = r.now + spread*(0.5+chance(q.draw+uint64(len(q.tries))))
	}
	q.full = ev.Result == Full
	if a.blamed == a.at {
		if q.seat = nil; ev.Result == Full {
			q.rest = r.now + restStep*float64(len(q.tries))
		}
	}
	late := max(r.now-a.sent-ev.Waited, tardyPart*ev.Waited) > tardyPart*q.aim() || behind // or far away
	if a.at.held = max(a.at.held-1, 0); a.fill {
		r.link.held--
	}
	switch {
	case a.waited:
	case a.fill:
		r.pace += (min(max((r.now-a.sent)/(q.work+50), 1), 4) - r.pace) * 0.05
		r.gauge(q, &r.link, late, a.blamed == nil, r.now-a.sent)
	case ev.Result != Miss:
		r.gauge(q, &a.at.gate, late, a.blamed == nil, r.now-a.sent)
	}
	a.at.trial, a.src.trial = false, false
	if ev.Result.RanNot() && q.ran == a.at && q.ranAt == a.sent {
		q.ran = nil
	}
	if q.over = q.over || ev.Last; q.over {
		r.drop(q)
	} else if !q.busy() && !q.stream {
		r.advance(q)
	}
	if a.fill || ev.Result != Miss {
		r.pump()
	}
}

// finish gives the final answer: a refusal where a repeat is surely harmless. It is not where an
// attempt may have run: caches drop the repeats of a guarded request for a window only, and what
// was refused may come back at any time.
func (r *Router) finish(q *request) {
	r.close(q)
	if q.ran != nil && q.class.Effect != Free {
		r.do(Fail{ID: q.ID})
		return
	}
	r.do(Refuse{ID: q.ID, After: min(refuseAdvice, r.s.MaxRetryAfter)})
}

// close ends a request and calls back what is still out for it.
func (r *Router) close(q *request) {
	if q.over {
		return
	}
	q.over = true
	for i := range q.tries {
		if a := &q.tries[i]; a.open && !a.called && r.s.Cancels {
			a.called = true
			r.do(Cancel{ID: q.ID, Attempt: i})
		}
	}
	r.drop(q)
}

// drop forgets a request that is over and has nothing out.
func (r *Router) drop(q *request) {
	if q.over && !q.busy() {
		delete(r.open, q.ID)
		delete(r.timers, q.token) // else each is held for its client's whole patience
	}
}

// aim is how long an answer may take and still earn its worth.
func (q *request) aim() Millis { return q.class.Aim + q.class.AimStretch*q.work }

func (q *request) busy() bool {
	return slices.ContainsFunc(q.tries, func(a attempt) bool { return a.open })
}

func (q *request) writes() bool { return q.class.Write || q.Write }
