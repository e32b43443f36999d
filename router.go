// Package indigospool decides, for a router in front of caches of large
// objects, where each request goes, where a missing object is filled from and
// when to give up. The interface (settings, events, actions) is in api.go;
// this file holds every decision. It does no I/O, takes time from the caller
// and leaves nothing to chance, so the same events give the same actions.
package indigospool

import (
	"cmp"
	"maps"
	"slices"
	"sort"
)

// Tuned values. None is fitted to a deployment; each is a share, a count or a
// span that follows from how people wait and how long such faults last.
const (
	windowCount  = 500           // part requests that close a histogram window (K)
	windowSpan   = Millis(5000)  // or this time, whichever comes first
	firstCount   = 128           // the first window is short: the hash's copies are soon worthless
	moveAt       = 1.0           // a split point off by less than this of an index's cost stays
	movedSpan    = Millis(20000) // for so long after a move the cache before may still hold copies
	discount     = 0.95          // what a window keeps of its weight when the next one closes
	tailWeight   = 1.0           // cost of a part beyond the object's mean depth
	maxIndex     = 2048          // part indices told apart; later ones share the last
	maxObjects   = 20000         // objects remembered in each of two generations
	objectSpan   = Millis(60000)
	keepRank     = 1           // one rank for all: a higher one would keep new copies out for long
	anyAge       = Millis(1e9) // "any age": 0 would mean the default
	leastAge     = Millis(0.05)
	beatSpan     = Millis(25)  // how often outstanding attempts are looked over
	lateBase     = Millis(300) // an attempt is overdue after this and lateStretch x its expected time
	lateStretch  = 1.5
	quietEdge    = Millis(450) // overdue and no sign of life for so long: silent (pauses are shorter)
	quietSource  = Millis(900) // the same for a source, which is heard of less often
	quietGaps    = 4           // and for this many usual gaps between signs of life
	restStep     = Millis(20)  // one that turned a request away rests so long for each attempt
	looksNeed    = 3           // attempts that must be left to spend one on a look
	firstRoom    = 32.0        // fills at once at first, and at least; then as many as come in within the aim
	leastRoom    = 2.0
	leastShared  = 4.0 // the same for all routers of a location, which may be many
	tardyPart    = 0.6 // a fill is tardy past this part of the aim
	tardyShare   = 0.4 // and the link too full at this share of tardy fills
	lateCount    = 3
	lateAlone    = Millis(1500) // one overdue attempt is enough after so long a silence, and
	aloneStretch = 6            // after so many times what it was expected to take: objects differ in size
	faultGain    = 0.12         // weight of one outcome in the share of faults
	doubt        = 0.1          // share of faults assumed of those that showed none
	faultLimit   = 0.4          // share of faults that makes a suspect
	firstTrial   = Millis(400)
	lastTrial    = Millis(4000)
	winsNeeded   = 3 // good trials in a row that clear a suspect
	retryShare   = 0.25
	retryBurst   = 30.0
	retryReserve = 5.0  // of it, for the classes of the most worth
	coldBurst    = 0.5  // of the fall time's budget may be spent at once
	coldSizeUse  = 0.35 // load assumed of a stated capacity
	coldLent     = 0.5  // of the ordinary load may go to a cold member beyond budgets, times its warmth
	boundFactor  = 1.25 // a cache that holds more than this times its peers' mean, and a little,
	boundSlack   = 1.0  // of mean sending times, passes requests to the next in order
	refuseAdvice = Millis(300)
	localFirst   = Millis(10)  // backoff after an attempt that could not be begun here: shortages of a
	localLast    = Millis(160) // moment pass in some ms, others are asked about some times a second
	localMost    = 256         // such attempts that one request may make
)

// New returns a router. The seed sets it apart from others where all would do the same at once.
func New(s Settings, seed uint64) (*Router, error) {
	if err := s.Valid(); err != nil {
		return nil, err
	}
	r := &Router{seed: seed, retries: retryBurst, link: gate{room: firstRoom}, pace: 1,
		members: map[string]*member{}, open: map[string]*request{},
		timers: map[int64]*request{}, objects: [2]map[string]*object{{}, {}},
		purges: map[string]Millis{}, groups: map[int]Millis{}}
	r.adopt(s)
	r.mean = r.classes[s.Classes[0].Name].mean
	return r, nil
}

// adopt goes by settings from now on. What was learned of a class of the same name
// stays; requests in hand keep the class that they came with, and its effect.
func (r *Router) adopt(s Settings) {
	r.s = s
	if r.s.MaxAttempts <= 0 {
		r.s.MaxAttempts = 4
	}
	known := r.classes
	r.classes, r.mostWorth = map[string]*class{}, 0
	for _, c := range s.Classes {
		guess := max(c.Aim/2, 1)
		k := &class{Class: c, mean: guess, took: guess}
		if old := known[c.Name]; old != nil {
			k.mean, k.took = old.mean, old.took
		}
		r.classes[c.Name] = k
		r.mostWorth = max(r.mostWorth, c.Worth)
	}
	for _, m := range r.members {
		m.role = r.roleOf(m.Member)
	}
	r.file()
}

// Handle takes one event at the time now and appends what is to be done.
func (r *Router) Handle(now Millis, ev Event, dst []Action) []Action {
	r.now, r.acts = max(now, r.now), dst
	if !r.started {
		r.started, r.opened, r.lastSec, r.turned = true, r.now, r.now, r.now
		r.do(Wake{In: beatSpan})
	}
	switch ev := ev.(type) {
	case Members:
		r.list(ev)
	case Request:
		r.arrive(ev)
	case Outcome:
		r.settle(ev)
	case Started:
		if q := r.open[ev.ID]; q != nil {
			q.stream = true
		}
	case Stalled:
		r.stall(ev)
	case Gone:
		if q := r.open[ev.ID]; q != nil {
			r.close(q)
		}
	case Purge:
		at := r.now - ev.Age
		if ev.Object != "" {
			r.purges[ev.Object] = max(r.purges[ev.Object], at)
		} else {
			r.groups[ev.Group] = max(r.groups[ev.Group], at)
		}
	case Recalled:
		r.recall(ev.Memory)
	case Retired:
		r.retired = ev.On
	case Resettled:
		if ev.Settings.Valid() == nil {
			ev.Settings.Zone, ev.Settings.Me = r.s.Zone, r.s.Me
			r.adopt(ev.Settings)
		}
	case Timer:
		if ev.Token == 0 {
			r.beat()
		} else if q := r.timers[ev.Token]; q != nil {
			delete(r.timers, ev.Token)
			if !q.over && !q.stream {
				r.finish(q)
			}
		}
	}
	dst, r.acts = r.acts, nil
	return dst
}

func (r *Router) do(a Action) { r.acts = append(r.acts, a) }

// --- the list ---

// list follows the list of members. Drains and removals act at once, for
// sources as well; a new start makes a member cold, empty and unjudged.
func (r *Router) list(ev Members) {
	if ev.Lost {
		r.asked = false // asked again before long, not at once: discovery may be overrun
		return
	}
	r.watch()
	named := map[string]bool{}
	for _, row := range ev.Rows {
		named[row.ID] = true
		m := r.members[row.ID]
		if m == nil || (row.State == Serving && row.ReadyAt != m.ReadyAt) {
			old := m
			m = &member{gate: gate{room: firstRoom}, good: r.now, backoff: firstTrial, topped: r.now}
			m.tokens = -r.mean * chance(r.seed^hashString(row.ID)) // neither full nor in step with others
			if old != nil {
				// outstanding attempts point to it: start anew in place
				*old, m = *m, old
			} else {
				r.enlist(row.ID, m)
			}
		}
		m.Member, m.hash, m.role = row, hashString(row.ID), r.roleOf(row)
		m.gone = row.State != Serving
	}
	r.listed = slices.DeleteFunc(r.listed, func(m *member) bool { // ids of those removed never come again
		m.gone = m.gone || ev.Full && !named[m.ID]
		over := m.gone && m.State != Draining && m.held <= 0
		if over {
			delete(r.members, m.ID)
		}
		return over
	})
	r.file()
}

// watch asks for the subscription where there is none.
func (r *Router) watch() {
	if r.s.OnRequest && !r.asked {
		r.asked = true
		r.do(Watch{})
	}
}

func (r *Router) roleOf(m Member) role {
	switch {
	case m.Kind == r.s.OriginKind && m.Kind != "":
		return origin
	case m.Kind == r.s.ParentKind && m.Kind != "":
		return parent
	case m.Zone == r.s.Zone:
		return edge
	}
	return foreign
}

// --- the mechanism: equal-share part ranges ---

// note counts a part request into the open window and the object's depth.
func (r *Router) note(q *request) {
	if !q.class.InParts {
		return
	}
	if len(r.objects[0]) >= maxObjects || r.now-r.turned > objectSpan {
		r.objects[1], r.objects[0], r.turned = r.objects[0], map[string]*object{}, r.now
	}
	o := cmp.Or(r.objects[0][q.Object], r.objects[1][q.Object], &object{})
	r.objects[0][q.Object] = o
	depth := 1.0
	if o.first > 0 {
		depth = o.parts / o.first
	}
	o.parts++
	if q.Part == 0 {
		o.first++
	}
	x := min(max(q.Part, 0), maxIndex-1)
	for len(r.window) <= x {
		r.window = append(r.window, 0)
	}
	if float64(x) <= depth {
		r.window[x]++
	} else {
		r.window[x] += tailWeight
	}
	if r.seen++; r.seen >= windowCount || r.total == nil && float64(r.seen) >= r.enough() {
		r.closeWindow()
	}
}

// enough is how many part requests the first window needs. Copies are shared by all routers
// of the location, each of which sees its own part of the requests: from a few dozen each,
// many routers draw as many different ranges, and a part is fetched into several caches.
func (r *Router) enough() float64 { return firstCount * max(r.s.sharers(edge)/2, 1) }

// closeWindow joins the window to the discounted sum and resets the splits.
func (r *Router) closeWindow() {
	r.opened = r.now
	if r.seen == 0 || r.total == nil && float64(r.seen) < r.enough() {
		return
	}
	for len(r.total) < len(r.window) {
		r.total = append(r.total, 0)
	}
	for x := range r.total {
		r.total[x] *= discount
		if x < len(r.window) {
			r.total[x] += r.window[x]
		}
	}
	clear(r.window)
	r.seen = 0
	r.refit()
}

// refit places the split points so that each range carries an equal share, to
// within one index. A point that is off by less than an index's cost stays, so
// that chance in the counts does not move ranges.
func (r *Router) refit() {
	next := layout{edges: r.byRole[edge]}
	n, sum := len(next.edges), total(r.total)
	if n > 0 && sum > 0 {
		next.splits, next.ranged = splitPoints(r.total, n), true
	}
	if next.ranged && r.layout.ranged && len(r.layout.edges) == n {
		below := make([]float64, len(r.total)+1)
		for x, c := range r.total {
			below[x+1] = below[x] + c
		}
		for i, old := range r.layout.splits {
			if old > 0 && old < len(r.total) {
				off := below[old] - sum*float64(i+1)/float64(n)
				if max(off, -off) < moveAt*max(r.total[old-1], r.total[old]) {
					next.splits[i] = old
				}
			}
		}
		slices.Sort(next.splits)
	}
	if !slices.Equal(next.edges, r.layout.edges) || !slices.Equal(next.splits, r.layout.splits) ||
		next.ranged != r.layout.ranged {
		r.prior, r.moved = r.layout, r.now
	}
	r.layout = next
}

// splitPoints cuts the indices into n contiguous ranges of about equal cost.
// The last range is open, so every index has one.
func splitPoints(cost []float64, n int) []int {
	sum := total(cost)
	points := make([]int, 0, n-1)
	x, below := 0, 0.0
	for i := 1; i < n; i++ {
		want := sum * float64(i) / float64(n)
		for x < len(cost) && below+cost[x]/2 <= want {
			below += cost[x]
			x++
		}
		points = append(points, x)
	}
	return points
}

// owner is the edge cache of a request on the ordinary path.
func (l layout) owner(q *request) *member {
	switch {
	case len(l.edges) == 0:
		return nil
	case !q.class.InParts:
		return best(l.edges, q.hash)
	case !l.ranged:
		return best(l.edges, mix(q.hash+uint64(q.Part)))
	}
	return l.edges[sort.SearchInts(l.splits, q.Part+1)]
}

// --- requests ---

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

// spent reports whether a request may make no further attempt.
func (r *Router) spent(q *request) bool {
	late := q.ran != nil && (q.class.Effect == SingleShot ||
		q.class.Effect == Guarded && r.now >= q.ranAt+q.class.Window-2*r.s.Tick)
	return q.unfit || q.Deadline-r.now <= 2*r.s.Tick || q.made() >= r.s.MaxAttempts || q.locals >= localMost || late ||
		!q.freely() && r.retries < r.retryPrice(q)
}

// retryPrice is what the retry budget must hold for a further attempt of a request. What is left
// of it at last is for the classes that earn most: in an overload the many others would spend it all.
func (r *Router) retryPrice(q *request) float64 {
	if q.class.Worth < r.mostWorth {
		return 1 + retryReserve
	}
	return 1
}

// age is the oldest copy that will do: under the time since a purge until all
// caches have dropped older copies; else the fresh time, with the grace where
// a fill would have to wait. It is never 0, which would mean the default.
func (r *Router) age(q *request) Millis {
	age := anyAge
	if q.class.Fresh > 0 {
		age = q.class.Fresh
		if q.stale {
			age += q.class.Grace
		}
	}
	at, ok := r.purges[q.Object]
	if g, held := r.groups[q.Group]; held && (!ok || g > at) {
		at, ok = g, true
	}
	if ok && r.now < at+r.s.PurgeTakes+r.s.PurgeSlack {
		age = min(age, r.now-at-1)
	}
	return max(age, leastAge)
}

// choose names the cache and the source of the next attempt; the source is the
// cache itself where it is only asked for what it holds.
func (r *Router) choose(q *request) (at, src *member) {
	if q.writes() {
		return r.chooseWrite(q)
	}
	if q.seat == nil || q.seat.gone || q.seat.suspect || r.warmth(q.seat) < 1 { // cold: no place is held
		q.seat = nil
		m := r.pickEdge(q)
		if m != nil && r.warmth(m) >= 1 && r.s.MaxAttempts-q.made() >= looksNeed {
			return m, m
		}
		q.seat = m
	}
	if old := r.prior.owner(q); q.seat != nil && !q.sibling && old != nil && old != q.seat &&
		r.s.Siblings != Nowhere && r.now-r.moved < movedSpan && !old.gone && !old.suspect &&
		r.warmth(old) >= 1 && r.s.MaxAttempts-q.made() >= looksNeed {
		q.sibling = true // a range moved: fill past the thin link, from the cache before
		return q.seat, old
	}
	if !r.link.free(r.now) {
		r.saw(q, nil, true, 0, LinkFull)
		if q.seat != nil && !q.stale && q.class.Grace > 0 && r.s.MaxAttempts-q.made() >= looksNeed {
			q.stale = true // better an old copy now than a full link
			return q.seat, q.seat
		}
		return nil, nil
	}
	src = r.source(q)
	switch {
	case src == nil && q.seat != nil && q.made() == 0:
		return q.seat, q.seat
	case src == nil:
		return nil, nil
	case q.seat != nil:
		return q.seat, src
	case !r.s.Direct || !q.allows(src):
		return nil, nil
	}
	if o := r.firstUp(origin, q); o != nil && src.role == parent {
		return src, o
	}
	return src, src
}

// pickEdge names the edge cache: the one of the ordinary path, or, where that
// is out, cold or overfull, the next by a hash of the object.
func (r *Router) pickEdge(q *request) *member {
	own, limit := r.layout.owner(q), r.bound()
	takes := func(m *member, pass int) bool {
		return r.saw(q, m, false, pass, r.unfit(m, q, pass, limit)) == Taken
	}
	var others *ranking
	for pass := range 4 { // first without those that failed it, first within bounds
		if own != nil && takes(own, pass) {
			return own
		}
		if others == nil {
			others = ranked(r.byRole[edge], q.hash)
		}
		for m := range others.members {
			if takes(m, pass) {
				return m
			}
		}
	}
	return nil
}

// unfit says why an edge cache is not taken in a pass.
func (r *Router) unfit(m *member, q *request, pass int, limit float64) Reason {
	switch {
	case pass&1 == 0 && m.out/r.size(m) > limit:
		return OverBound
	case q.failed(m) && (pass <= 1 || r.now < q.rest):
		return LetDown
	case !q.failed(m) && pass > 1:
		return Passed
	case !q.allows(m):
		return NotGroup
	}
	return r.bars(m, q)
}

// size is a member's capacity as far as it is told.
func (r *Router) size(m *member) float64 {
	if r.s.SizesCompare && m.Size > 0 {
		return m.Size
	}
	return 1
}

// bound is the load past which a cache passes requests on: the mean of the
// caches in service, and some room.
func (r *Router) bound() float64 {
	sum, size, n := 0.0, 0.0, 0.0
	for _, m := range r.byRole[edge] {
		if !m.suspect {
			sum, size, n = sum+m.out, size+r.size(m), n+1
		}
	}
	if n == 0 {
		return 0
	}
	return (boundFactor*sum + boundSlack*n*r.mean) / size
}

func (r *Router) chooseWrite(q *request) (at, src *member) {
	o := r.firstUp(origin, q)
	if o == nil {
		r.saw(q, nil, true, 0, NoMember)
		return nil, nil
	}
	if r.s.Direct && q.allows(o) && (!q.failed(o) || q.ran != nil) {
		return o, o
	}
	if m := r.pickEdge(q); m != nil {
		return m, o
	}
	return nil, nil
}

func (r *Router) firstUp(k role, q *request) *member { return best(r.byRole[k], q.hash) }

// allows holds a guarded request that may have run to the group of caches that
// drops its repeats.
func (q *request) allows(m *member) bool {
	if q.ran == nil || q.class.Effect == Free {
		return true
	}
	near := m.Zone == q.ran.Zone
	return q.class.Group == Everywhere || m == q.ran || q.class.Group == Location && near ||
		q.class.Group == Cell && near && m.Cell == q.ran.Cell
}

// source names where a miss is filled from: the parents by a hash of the
// object, the origin where none is up.
func (r *Router) source(q *request) *member {
	parents := r.weighed(r.byRole[parent], q.hash)
	for pass, again := range []bool{false, true} {
		for p := range parents.members {
			if r.supplies(q, p, pass, again) {
				return p
			}
		}
		for _, o := range r.byRole[origin] {
			if r.supplies(q, o, pass, again) {
				return o
			}
		}
	}
	return nil
}

// supplies reports whether a member is taken as the source in a pass; again: in the one
// for those that failed the request before.
func (r *Router) supplies(q *request, p *member, pass int, again bool) bool {
	why := LetDown
	if q.failed(p) == again {
		why = r.bars(p, q)
	} else if again {
		why = Passed
	}
	if again && q.failed(p) && p.role == origin {
		why = Taken
	}
	return r.saw(q, p, true, pass, why) == Taken
}

// bars says why a member may not be given the request now. Taken: it is up, not
// a suspect (or due for its one trial), within its share, and within its budget
// while cold.
func (r *Router) bars(m *member, q *request) Reason {
	switch {
	case m.gone:
		return Out
	case m.suspect && (m.trial || r.now < m.trialAt || q.made() > 0):
		return Suspect
	case m.role == edge && m.held >= max(m.room, leastRoom):
		return GateFull
	case r.warmth(m) >= 1:
		return Taken
	}
	if r.top(m); m.tokens > 0 {
		return Taken
	}
	// The share of one of many routers is less than a request. So of what comes and has its place there
	// each may go beyond its budget by one, with a chance such that all bring half of the ordinary load
	// that it can bear by then. What waits is as much as has gathered, and may not.
	lent := !q.waited && m.tokens > -r.cost(m, q) && !r.retired && r.ordinary(m, q)
	if !lent || chance(q.draw+m.hash) >= coldLent*r.warmth(m) {
		return ColdSpent
	}
	return Taken
}

// --- cold members ---

// ordinary reports whether a member has a request on the ordinary path.
func (r *Router) ordinary(m *member, q *request) bool {
	if m.role == parent {
		return r.weighed(r.byRole[parent], q.hash).at(0) == m
	}
	return r.layout.owner(q) == m
}

// warmth is the part of its capacity that a member surely has.
func (r *Router) warmth(m *member) float64 {
	from, span := r.s.ColdFrom, r.s.ColdTime
	if m.role == parent {
		from, span = r.s.ParentColdFrom, r.s.ParentColdTime
	}
	if m.ReadyAt <= 0 || m.role == origin || span <= 0 || r.now-m.ReadyAt >= span {
		return 1
	}
	return from + (1-from)*max(r.now-m.ReadyAt, 0)/span
}

// cost is what a rule counts an attempt as: a cache, the mean sending time of
// the class; a parent, the own.
func (r *Router) cost(m *member, q *request) Millis {
	if m.role == parent {
		return q.work
	}
	return q.class.mean
}

// top refills a cold member's budget: this router's share of what it can bear,
// judged by what warm ones of the kind serve it, or by stated capacity.
func (r *Router) top(m *member) {
	base := r.typical[m.role]
	if r.s.SizesCompare {
		base = max(base, coldSizeUse*m.Size/r.s.sharers(m.role))
	}
	rate := base * r.warmth(m)
	if r.retired { // the budget is the successor's
		rate = 0
	}
	m.tokens = min(m.tokens+rate*(r.now-m.topped), rate*max(r.s.FallTime, 500)*coldBurst)
	m.topped = r.now
}

// --- outcomes and health ---

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

// settleLocal books an attempt that could not be begun here, for want of a descriptor, a port, a
// buffer or a route. It says nothing of members, spends no attempt and no budget, and would fail
// again at once: the next follows after a backoff, and after two at one member elsewhere, since
// want of a route may concern that one alone.
func (r *Router) settleLocal(q *request, a *attempt, last bool) {
	a.local = true
	a.at.held = max(a.at.held-1, 0)
	if a.fill {
		r.link.held--
	}
	a.at.trial, a.src.trial = false, false
	a.at.tokens += r.cost(a.at, q)
	if a.src != a.at && a.src.role != edge {
		a.src.tokens += r.cost(a.src, q)
	}
	if q.ran == a.at && q.ranAt == a.sent {
		q.ran = nil
	}
	if n := len(q.tries); n > 1 && q.tries[n-2].local && q.tries[n-2].at == a.at {
		a.blamed = a.at
	}
	wait := min(localFirst*float64(uint64(1)<<min(q.locals, 16)), localLast)
	q.hold = r.now + wait*(0.5+chance(q.draw+uint64(len(q.tries))))
	q.locals++
	if q.over = q.over || last; q.over {
		r.drop(q)
	} else if !q.busy() && !q.stream {
		r.advance(q)
	}
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

// beat looks over what is out: a member with overdue attempts and no sign of
// life is silent, whatever the reason; what it holds is called back and tried
// elsewhere. Progress clears it, so slow answers alone do not.
func (r *Router) beat() {
	r.do(Wake{In: beatSpan})
	r.order = slices.DeleteFunc(r.order, func(q *request) bool { return q.over && !q.busy() })
	for _, m := range r.awaited {
		m.late = 0
	}
	clear(r.awaited) // members that have gone are not held
	r.awaited = r.awaited[:0]
	for _, q := range r.order {
		for i := range q.tries {
			if a := &q.tries[i]; a.overdue(r.now) {
				r.awaits(a.at, a)
				if a.src != a.at && a.at.good > a.sent {
					r.awaits(a.src, a)
				}
			}
		}
	}
	for _, m := range r.awaited { // where nothing is asked, silence tells nothing
		if !m.gone && !m.suspect && r.silent(m) {
			r.accuse(m)
			m.silent = true
		}
	}
	for _, q := range r.order {
		if !q.over && !q.stream && !q.parked {
			r.rescue(q)
		}
	}
	r.pump()
	if r.now-r.lastSec >= 1000 {
		r.second()
	}
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

func (a *attempt) overdue(now Millis) bool {
	return a.open && !a.waited && now-a.sent > lateBase+lateStretch*a.expect
}

// rescue calls back attempts that wait on a silent or vanished member.
func (r *Router) rescue(q *request) {
	if !r.s.Cancels || q.class.Effect != Free || r.retries < 1 || q.made() >= r.s.MaxAttempts {
		return
	}
	for i := range q.tries {
		a := &q.tries[i]
		if a.called || !a.overdue(r.now) {
			continue
		}
		lost := func(m *member) bool { return (m.suspect || m.gone) && m.good <= a.sent }
		if lost(a.at) || a.src.role != edge && lost(a.src) && a.at.good > a.sent {
			a.called = true
			r.do(Cancel{ID: q.ID, Attempt: i})
		}
	}
}

// second does what needs doing once a second: rates, shares, ages, discovery.
func (r *Router) second() {
	span := r.now - r.lastSec
	r.lastSec = r.now
	for k, list := range r.byRole {
		sum, n := 0.0, 0
		for _, m := range list {
			m.rate += (m.work/span - m.rate) * 0.15
			m.work = 0
			if !m.suspect && r.warmth(m) >= 1 {
				sum, n = sum+m.rate, n+1
			}
		}
		if n > 0 {
			r.typical[k] = sum / float64(n)
		}
	}
	if r.now-r.opened >= windowSpan {
		r.closeWindow()
	}
	old := r.now - r.s.PurgeTakes - r.s.PurgeSlack
	maps.DeleteFunc(r.purges, func(_ string, at Millis) bool { return at < old })
	maps.DeleteFunc(r.groups, func(_ int, at Millis) bool { return at < old })
	r.watch()
}

// --- ends ---

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
