// Package indigospool decides, for a router in front of caches of large
// objects, where each request goes, where a missing object is filled from and
// when to give up. The interface (settings, events, actions) is in api.go;
// this file holds every decision. It does no I/O, takes time from the caller
// and chance from a seed, so the same events give the same actions.
package indigospool

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sort"
)

// Tuned values. None is fitted to a deployment; each is a share, a count or a
// span that follows from how people wait and how long such faults last.
const (
	windowCount  = 500           // part requests that close a histogram window (K)
	windowSpan   = Millis(5000)  // or this time, whichever comes first
	firstCount   = 32            // the first window is short: the hash's copies are soon worthless
	moveAt       = 0.75          // a split point off by less than this of an index's cost stays
	movedSpan    = Millis(20000) // for so long after a move the cache before may still hold copies
	discount     = 0.8           // what a window keeps of its weight when the next one closes
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
	lateCount    = 3
	lateAlone    = Millis(1500) // one overdue attempt is enough after so long a silence
	faultGain    = 0.12         // weight of one outcome in the share of faults
	doubt        = 0.1          // share of faults assumed of those that showed none
	faultLimit   = 0.4          // share of faults that makes a suspect
	firstTrial   = Millis(400)
	lastTrial    = Millis(4000)
	winsNeeded   = 3 // good trials in a row that clear a suspect
	retryShare   = 0.25
	retryBurst   = 30.0
	coldBurst    = 0.5  // of the fall time's budget may be spent at once
	coldSizeUse  = 0.35 // load assumed of a stated capacity
	boundFactor  = 1.25 // a cache that holds more than this times its peers' mean, and a little,
	boundSlack   = 2.0  // of mean sending times, passes requests to the next in order
	refuseAdvice = Millis(300)
)

type role int

const (
	edge role = iota
	parent
	origin
	foreign // a cache of another zone
	roles
)

// member is a listed cache, parent or origin and what is known of it.
type member struct {
	Member
	role    role
	hash    uint64
	gone    bool    // draining, removed or no longer listed
	good    Millis  // last sign that it makes progress
	gap     Millis  // usual time between such signs
	faults  float64 // recent share of faults
	judged  int
	out     Millis // expected time of what it holds for us
	suspect bool
	trialAt Millis // suspect: next trial
	backoff Millis
	trial   bool // a trial is out
	wins    int
	late    int    // overdue attempts, counted at each beat
	latest  Millis // the oldest of them
	work    Millis // sending time given to it since the last second
	rate    float64
	tokens  Millis // cold: sending time that may be given now
	topped  Millis
}

// attempt is one attempt of a request.
type attempt struct {
	at, src      *member
	sent, expect Millis
	open, trial  bool
	called       bool // cancelled by us
	lacked       bool // only a sibling was asked, which had no copy
	charged      Millis
	blamed       *member // who let it down
}

// request is a request in hand.
type request struct {
	Request
	class   *class
	hash    uint64
	arrived Millis
	work    Millis // own sending time, as told or as its class takes
	tries   []attempt
	over    bool
	parked  bool
	stream  bool
	ran     *member // where the first attempt that may have run went
	ranAt   Millis
}

// class is a class and what is seen of it.
type class struct {
	Class
	mean Millis // sending time
	took Millis // time of answers from held copies
}

// object is what is remembered of an object: how deep clients go, how often.
type object struct{ first, parts, asked float64 }

// layout places parts: one range per ready edge cache. With no splits there
// are no ranges yet, and parts go by a hash.
type layout struct {
	edges  []*member
	splits []int // first index past each range but the last
	ranged bool
}

// Router decides for one router. It is not safe for concurrent use.
type Router struct {
	s       Settings
	now     Millis
	started bool
	rng     uint64
	classes map[string]*class
	members map[string]*member
	byRole  [roles][]*member // listed and up, by id
	open    map[string]*request
	order   []*request
	timers  map[int64]*request
	token   int64
	retries float64
	mean    Millis         // sending time of all requests
	typical [roles]float64 // sending time a warm member is given, per millisecond
	lastSec Millis
	lastAsk Millis
	asked   bool
	objects [2]map[string]*object
	turned  Millis
	purges  map[string]Millis
	groups  map[int]Millis
	window  []float64
	seen    int
	opened  Millis
	total   []float64
	layout  layout // who holds what on the ordinary path
	prior   layout // the layout before the last change, and when that was
	moved   Millis
	acts    []Action
}

// New returns a router. The seed feeds all that it leaves to chance.
func New(s Settings, seed uint64) (*Router, error) {
	switch {
	case len(s.Classes) == 0:
		return nil, errors.New("indigospool: settings name no class")
	case s.ColdFrom < 0 || s.ColdFrom > 1 || s.ParentColdFrom < 0 || s.ParentColdFrom > 1:
		return nil, errors.New("indigospool: a cold share is not within 0 and 1")
	case s.ParentKind != "" && s.ParentKind == s.OriginKind:
		return nil, fmt.Errorf("indigospool: parents and origin are both of kind %q", s.ParentKind)
	case s.PurgeTakes < 0 || s.ColdTime < 0 || s.ParentColdTime < 0 || s.DrainGrace < 0:
		return nil, errors.New("indigospool: a span is negative")
	}
	r := &Router{s: s, rng: seed, retries: retryBurst, classes: map[string]*class{},
		members: map[string]*member{}, open: map[string]*request{}, timers: map[int64]*request{},
		objects: [2]map[string]*object{{}, {}}, purges: map[string]Millis{}, groups: map[int]Millis{}}
	for _, c := range s.Classes {
		if r.classes[c.Name] != nil {
			return nil, fmt.Errorf("indigospool: class %q is named twice", c.Name)
		}
		guess := max(c.Aim/2, 1)
		r.classes[c.Name] = &class{Class: c, mean: guess, took: guess}
	}
	r.mean = r.classes[s.Classes[0].Name].mean
	if r.s.MaxAttempts <= 0 {
		r.s.MaxAttempts = 4
	}
	return r, nil
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
	if r.s.OnRequest && (!r.asked || ev.Lost) {
		r.asked, r.lastAsk = true, r.now
		r.do(Watch{})
	}
	if ev.Lost {
		return
	}
	named := map[string]bool{}
	for _, row := range ev.Rows {
		named[row.ID] = true
		m := r.members[row.ID]
		if m == nil || (row.State == Serving && row.ReadyAt != m.ReadyAt) {
			old := m
			m = &member{good: r.now, backoff: firstTrial, topped: r.now}
			if old != nil { // outstanding attempts point to it: start anew in place
				*old, m = *m, old
			}
			r.members[row.ID] = m
		}
		m.Member, m.hash, m.role = row, hashString(row.ID), r.roleOf(row)
		m.gone = row.State != Serving
	}
	for id, m := range r.members {
		if ev.Full && !named[id] {
			m.gone = true
		}
	}
	before := r.byRole[edge]
	r.byRole = [roles][]*member{}
	for _, m := range r.members {
		if !m.gone {
			r.byRole[m.role] = append(r.byRole[m.role], m)
		}
	}
	for _, list := range r.byRole {
		slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	}
	if !slices.Equal(before, r.byRole[edge]) {
		r.refit()
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
func (r *Router) note(q *request) *object {
	o := r.objects[0][q.Object]
	if o == nil {
		if o = r.objects[1][q.Object]; o == nil {
			o = &object{}
		}
		r.objects[0][q.Object] = o
	}
	o.asked++
	if len(r.objects[0]) > maxObjects || r.now-r.turned > objectSpan {
		r.objects[1], r.objects[0], r.turned = r.objects[0], map[string]*object{}, r.now
	}
	if !q.class.InParts {
		return o
	}
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
	if r.seen++; r.seen >= windowCount || r.total == nil && r.seen >= firstCount {
		r.closeWindow()
	}
	return o
}

// closeWindow joins the window to the discounted sum and resets the splits.
func (r *Router) closeWindow() {
	r.opened = r.now
	if r.seen == 0 {
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
	n, sum := len(next.edges), 0.0
	for _, c := range r.total {
		sum += c
	}
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
	sum := 0.0
	for _, c := range cost {
		sum += c
	}
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

// best is the highest of a rendezvous hash: a lost member moves only its own.
func best(list []*member, h uint64) (top *member) {
	var high uint64
	for _, m := range list {
		if v := mix(h ^ m.hash); top == nil || v > high {
			top, high = m, v
		}
	}
	return top
}

// ranked is the list in falling order of the rendezvous hash.
func ranked(list []*member, h uint64) []*member {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(mix(h^b.hash), mix(h^a.hash)) })
	return list
}

func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h)
}

func mix(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// --- requests ---

func (r *Router) arrive(ev Request) {
	c := r.classes[ev.Class]
	if c == nil || r.open[ev.ID] != nil {
		if c == nil {
			r.do(Fail{ID: ev.ID})
		}
		return
	}
	q := &request{Request: ev, class: c, hash: hashString(ev.Object), arrived: r.now}
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
	r.timers[r.token] = q
	r.do(Wake{In: max(q.Deadline-r.now-2*r.s.Tick, 0), Token: r.token})
	r.mean += (q.work - r.mean) * 0.02
	r.retries = min(r.retries+retryShare, retryBurst)
	r.note(q)
	r.advance(q)
}

func (q *request) writes() bool { return q.class.Write || q.Write }

// advance makes the next attempt of a request that has none out, or ends it.
func (r *Router) advance(q *request) {
	q.parked = false
	if q.Deadline-r.now <= 2*r.s.Tick || len(q.tries) >= r.s.MaxAttempts {
		r.finish(q)
		return
	}
	if q.ran != nil && (q.class.Effect == SingleShot ||
		q.class.Effect == Guarded && r.now >= q.ranAt+q.class.Window-2*r.s.Tick) {
		r.finish(q)
		return
	}
	free := len(q.tries) == 0 || q.tries[len(q.tries)-1].lacked
	if !free && r.retries < 1 {
		r.finish(q)
		return
	}
	at, src, trial := r.choose(q)
	if at == nil {
		if r.now-q.arrived >= q.class.Aim || len(q.tries) > 0 {
			r.finish(q)
			return
		}
		q.parked = true // tokens and trials come back with the next beats
		return
	}
	if !free {
		r.retries--
	}
	a := attempt{at: at, src: src, sent: r.now, expect: r.expect(q), open: true, trial: trial}
	send := Send{ID: q.ID, Cache: at.ID, Source: src.ID, Keep: keepRank, Age: r.age(q, src.suspect || src == at)}
	send.Renew = q.class.Fresh > 0 && at.role == edge && src != at
	send.Join, send.Held = r.s.Joins, src.role == edge && src != at
	if q.writes() {
		send.Keep, send.Renew, send.Join = 0, false, false
		if q.class.Effect == Guarded { // leave time for a repeat while it is remembered
			send.Timeout = max(min(q.class.Window*0.45, (q.Deadline-r.now)*0.5), 1)
		}
	}
	for _, m := range []*member{at, src} {
		if m.suspect {
			m.trial, m.trialAt = true, r.now+m.backoff
		}
	}
	at.work += q.work
	at.out += a.expect
	r.charge(at, q)
	if src != at {
		a.charged = r.charge(src, q)
	}
	if q.ran == nil {
		q.ran, q.ranAt = at, r.now // until its outcome proves otherwise
	}
	q.tries = append(q.tries, a)
	r.do(send)
}

// expect is how long an attempt should take when all is well.
func (r *Router) expect(q *request) Millis {
	if q.KB > 0 && r.s.FlowKBPerMs > 0 {
		return q.work
	}
	return q.class.took
}

// age is the oldest copy that will do: under the time since a purge until all
// caches have dropped older copies; else the fresh time, with the grace where
// no source is to be had. It is never 0, which would mean the default.
func (r *Router) age(q *request, starved bool) Millis {
	age := anyAge
	if q.class.Fresh > 0 {
		age = q.class.Fresh
		if starved {
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

// choose names the cache and the source of the next attempt.
func (r *Router) choose(q *request) (at, src *member, trial bool) {
	if q.writes() {
		return r.chooseWrite(q)
	}
	own := r.layout.owner(q)
	order := ranked(r.byRole[edge], q.hash)
	if own != nil {
		order = append([]*member{own}, order...)
	}
	limit := r.bound(q)
	for _, again := range []bool{false, true} {
		for _, bounded := range []bool{true, false} {
			for _, m := range order {
				if q.allows(m) && q.failed(m) == again && !(bounded && m.out/r.size(m) > limit) && r.admits(m, q) {
					return m, r.source(q, m), m.suspect
				}
			}
		}
		if !again && r.s.Direct { // no cache will do: past them, if that is allowed
			if m := r.source(q, nil); m != nil && q.allows(m) {
				src := m
				if o := r.firstUp(origin, q); m.role == parent && o != nil {
					src = o
				}
				return m, src, m.suspect
			}
		}
	}
	return nil, nil, false
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
func (r *Router) bound(q *request) float64 {
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

func (r *Router) chooseWrite(q *request) (at, src *member, trial bool) {
	o := r.firstUp(origin, q)
	if o == nil {
		return nil, nil, false
	}
	if r.s.Direct && q.allows(o) && (!q.failed(o) || q.ran != nil) {
		return o, o, false
	}
	for _, m := range ranked(r.byRole[edge], q.hash) {
		if q.allows(m) && !q.failed(m) && r.admits(m, q) {
			return m, o, m.suspect
		}
	}
	return nil, nil, false
}

func (r *Router) firstUp(k role, q *request) *member { return best(r.byRole[k], q.hash) }

// allows holds a guarded request that may have run to the group of caches that
// drops its repeats.
func (q *request) allows(m *member) bool {
	if q.ran == nil || q.class.Effect == Free {
		return true
	}
	switch q.class.Group {
	case Everywhere:
		return true
	case Location:
		return m.Zone == q.ran.Zone
	case Cell:
		return m.Zone == q.ran.Zone && m.Cell == q.ran.Cell
	}
	return m == q.ran
}

// failed reports whether the request was let down by the member before.
func (q *request) failed(m *member) bool {
	for _, a := range q.tries {
		if a.blamed == m || a.at == m && (a.called || a.src == m) {
			return true
		}
	}
	return false
}

// source names where a miss at m is filled from: the parents by a hash of the
// object, the origin where none is up, m itself (no fill) where nothing is.
func (r *Router) source(q *request, m *member) *member {
	if old := r.prior.owner(q); old != nil && old != m && len(q.tries) == 0 && r.s.Siblings != Nowhere &&
		m != nil && r.now-r.moved < movedSpan && !old.gone && !old.suspect && r.warmth(old) >= 1 {
		return old // a range moved: fill past the thin link, from the cache before
	}
	for _, again := range []bool{false, true} {
		for _, p := range ranked(r.byRole[parent], q.hash) {
			if q.failed(p) == again && r.admits(p, q) {
				return p
			}
		}
		for _, o := range r.byRole[origin] {
			if q.failed(o) == again && (r.admits(o, q) || again) {
				return o
			}
		}
	}
	return m
}

// admits reports whether a member may be given the request now: it is up, not
// a suspect (or due for its one trial), within its share, and within its
// budget while cold.
func (r *Router) admits(m *member, q *request) bool {
	if m.gone {
		return false
	}
	if m.suspect {
		if m.trial || r.now < m.trialAt || len(q.tries) > 0 {
			return false
		}
	}
	if r.warmth(m) >= 1 {
		return true
	}
	r.top(m)
	return m.tokens >= r.cost(m, q)
}

// --- cold members ---

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
// judged by what it gives warm members of the kind, or by stated capacity.
func (r *Router) top(m *member) {
	sharers := max(r.s.Routers, 1)
	span := r.s.FallTime
	if i := slices.Index(r.s.Zones, r.s.Zone); m.role == edge && i >= 0 && i < len(r.s.RoutersByZone) {
		sharers = max(r.s.RoutersByZone[i], 1)
	}
	base := r.typical[m.role]
	if r.s.SizesCompare {
		base = max(base, coldSizeUse*m.Size/float64(sharers))
	}
	rate := base * r.warmth(m)
	m.tokens = min(m.tokens+rate*(r.now-m.topped), rate*max(span, 500)*coldBurst)
	m.topped = r.now
}

// charge takes an attempt off a cold member's budget and returns what it took.
func (r *Router) charge(m *member, q *request) Millis {
	if r.warmth(m) >= 1 {
		return 0
	}
	c := r.cost(m, q)
	m.tokens -= c
	return c
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
	a.at.out = max(a.at.out-a.expect, 0)
	r.judge(q, a, ev)
	for _, m := range []*member{a.at, a.src} {
		m.trial = false
	}
	if ev.Result.RanNot() && q.ran == a.at && q.ranAt == a.sent {
		q.ran = nil
	}
	if ev.Last {
		q.over = true
	}
	if q.over {
		r.drop(q)
	} else if !q.busy() && !q.stream {
		r.advance(q)
	}
}

func (r *Router) judge(q *request, a *attempt, ev Outcome) {
	filled := ev.Note == NoteFilled || ev.Note == NoteFilledByOrigin || r.s.Detail == DetailOff
	fill := a.src != a.at
	switch ev.Result {
	case OK:
		r.bless(a.at, a)
		if fill && filled {
			r.bless(a.src, a)
			a.src.work += q.work
		} else if fill {
			a.src.tokens += a.charged // a hit: no fill came to it
		}
		if !filled || a.at == a.src {
			q.class.took += (ev.Took - q.class.took) * 0.02
			if q.KB <= 0 {
				q.class.mean += (ev.Took - q.class.mean) * 0.02
			}
		}
	case Miss:
		a.at.good, a.blamed = r.now, a.src
		a.lacked = fill && a.src.role == edge
	case Full:
		switch {
		case ev.Note == NoteSourceRefused && a.src.role == origin, ev.Note == NoteSourceLacks:
			a.blamed = a.src // it guards itself: no fault
		case ev.Note == NoteOriginFailed:
			a.blamed = a.src
			for _, o := range r.byRole[origin] {
				r.blame(o, 0.5)
			}
		case ev.Note == NoteSourceRefused || ev.Note == NoteSourceUnreached:
			r.blameFor(a, a.src, 1)
		case ev.Note == NoteNoPlace || r.s.Detail == DetailAll:
			r.blameFor(a, a.at, 0.25)
		default:
			r.apportion(a, 0.5)
		}
	case Errored:
		r.apportion(a, 1)
	case ConnectFailed, Reset:
		r.blameFor(a, a.at, 3)
	case TimedOut:
		if a.at.good <= a.sent { // with progress since, it was crowded out: nobody's fault
			r.blameFor(a, a.at, 1)
		} else if fill && a.src.good <= a.sent {
			r.blameFor(a, a.src, 0.5)
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
	if m.suspect && a.trial || m.suspect && a.src == m {
		if m.wins++; m.wins >= winsNeeded {
			m.suspect, m.faults, m.judged = false, 0, 0
		}
	}
}

// apportion blames a fault that the cache or the source may have: each in
// proportion to the faults it has shown elsewhere, so that one explains the
// other away.
func (r *Router) apportion(a *attempt, w float64) {
	if a.src == a.at {
		r.blameFor(a, a.at, w)
		return
	}
	part := (a.at.faults + doubt) / (a.at.faults + a.src.faults + 2*doubt)
	r.blame(a.at, w*part)
	r.blame(a.src, w*(1-part))
	if a.blamed = a.at; part < 0.5 {
		a.blamed = a.src
	}
}

func (r *Router) blameFor(a *attempt, m *member, w float64) {
	a.blamed = m
	r.blame(m, w)
}

// blame books a fault; w is its weight.
func (r *Router) blame(m *member, w float64) {
	for ; w > 0; w-- {
		m.faults += (1 - m.faults) * faultGain * min(w, 1)
	}
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
	m.suspect, m.wins, m.trial = true, 0, false
	m.backoff = firstTrial
	m.trialAt = r.now + m.backoff
}

// beat looks over what is out: a member with overdue attempts and no sign of
// life is silent, whatever the reason; what it holds is called back and tried
// elsewhere. Progress clears it, so slow answers alone do not.
func (r *Router) beat() {
	r.do(Wake{In: beatSpan})
	for k := range r.byRole {
		for _, m := range r.byRole[k] {
			m.late, m.latest = 0, r.now
		}
	}
	live := r.order[:0]
	for _, q := range r.order {
		if q.over && !q.busy() {
			continue
		}
		live = append(live, q)
		for i := range q.tries {
			if a := &q.tries[i]; a.open && r.now-a.sent > lateBase+lateStretch*a.expect {
				for _, m := range []*member{a.at, a.src} {
					if m == a.at || a.at.good > a.sent {
						m.late++
						m.latest = min(m.latest, a.sent)
					}
					if m == a.src {
						break
					}
				}
			}
		}
	}
	clear(r.order[len(live):])
	r.order = live
	for k, list := range r.byRole {
		quiet := quietEdge
		if role(k) != edge {
			quiet = quietSource
		}
		for _, m := range list {
			if !m.suspect && r.now-m.good > max(quiet, quietGaps*m.gap) &&
				(m.late >= lateCount || m.late > 0 && r.now-m.good > lateAlone) {
				r.accuse(m)
			}
		}
	}
	for _, q := range slices.Clone(r.order) {
		if q.over || q.stream {
			continue
		}
		if q.parked {
			r.advance(q)
			continue
		}
		r.rescue(q)
	}
	if r.now-r.lastSec >= 1000 {
		r.second()
	}
}

// rescue calls back attempts that wait on a silent or vanished member.
func (r *Router) rescue(q *request) {
	if !r.s.Cancels || q.class.Effect != Free || r.retries < 1 || len(q.tries) >= r.s.MaxAttempts {
		return
	}
	for i := range q.tries {
		a := &q.tries[i]
		if !a.open || a.called || r.now-a.sent < lateBase+lateStretch*a.expect {
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
	for o, at := range r.purges {
		if r.now > at+r.s.PurgeTakes+r.s.PurgeSlack {
			delete(r.purges, o)
		}
	}
	for g, at := range r.groups {
		if r.now > at+r.s.PurgeTakes+r.s.PurgeSlack {
			delete(r.groups, g)
		}
	}
	if r.s.OnRequest && r.now-r.lastAsk > r.s.AskWithin/2 {
		r.lastAsk = r.now
		r.do(Watch{})
	}
}

// --- ends ---

func (q *request) busy() bool {
	for _, a := range q.tries {
		if a.open {
			return true
		}
	}
	return false
}

// finish gives the final answer: a refusal where a repeat is surely harmless.
func (r *Router) finish(q *request) {
	r.close(q)
	ran := q.ran != nil && q.class.Effect != Free
	if ran && !(q.class.Effect == Guarded && q.class.Group == Everywhere) {
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
	}
}
