package indigospool

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// This file holds what a Router remembers, and plain helpers. It decides
// nothing: every choice and every tuned value is in router.go.

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
	gate
	role           role
	hash           uint64
	gone           bool    // draining, removed or no longer listed
	good, gap      Millis  // last sign that it makes progress, and the usual time between two
	faults         float64 // recent share of faults
	judged, wins   int
	suspect, trial bool // trial: its single trial is out
	trialAt        Millis
	backoff        Millis
	out            Millis // expected time of what it holds for us
	late           int    // overdue attempts at the last beat,
	asked, due     Millis // the first of them, and the longest that one was expected to take
	silent         bool   // a suspect for its silence alone
	work           Millis // sending time given to it since the last second
	rate           float64
	tokens, topped Millis // cold: sending time that may be given now
}

// gate limits what is out over a link to what comes in on time.
type gate struct {
	held, room float64 // what is out, and how much is thought to be borne
	tardy      float64 // recent share that took most of the aim
	cut, next  Millis  // when room was last lowered, and when its fraction is free again
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

// class is a class and what is seen of it.
type class struct {
	Class
	mean Millis // sending time
	took Millis // time of answers from held copies
}

// object is what is remembered of an object: how deep clients go, how often.
type object struct{ first, parts float64 }

// layout places parts: one range per ready edge cache. With no splits there
// are no ranges yet, and parts go by a hash.
type layout struct {
	edges  []*member
	splits []int // first index past each range but the last
	ranged bool
}

// Router decides for one router. It is not safe for concurrent use.
type Router struct {
	s              Settings
	seed           uint64
	now            Millis
	started, asked bool
	classes        map[string]*class
	members        map[string]*member
	listed         []*member        // the same, by id
	byRole         [roles][]*member // listed and up, by id
	open           map[string]*request
	order          []*request // as they came
	wait           []*request // those that wait, while they are gone through
	awaited        []*member  // those with overdue attempts at the last beat
	timers         map[int64]*request
	token          int64
	retries        float64        // further attempts that may be made
	mostWorth      float64        // of any class
	mean           Millis         // sending time of all requests
	link           gate           // fills
	pace           float64        // recent time of fills over their sending time
	typical        [roles]float64 // sending time a warm member is given, per millisecond
	lastSec        Millis
	objects        [2]map[string]*object // two generations
	turned         Millis
	purges         map[string]Millis
	groups         map[int]Millis
	window, total  []float64 // cost by part index: the open window, and the discounted sum
	seen           int
	opened         Millis
	layout, prior  layout // who holds what, and before the last change
	moved          Millis // when that was
	retired        bool   // a successor spends the cold budgets
	acts           []Action
	looker         func(Look) // hears what choices look at; nil: nobody
}

// Explain has f hear of every member that a choice looks at, while it is made:
// what it is told is the decision itself, not another one. nil ends that.
func (r *Router) Explain(f func(Look)) { r.looker = f }

// saw tells of a member that a choice has looked at, and passes the reason on.
func (r *Router) saw(q *request, m *member, source bool, pass int, why Reason) Reason {
	if r.looker != nil {
		l := Look{Request: q.ID, Source: source, Pass: pass, Why: why}
		if m != nil {
			l.Member = m.ID
		}
		r.looker(l)
	}
	return why
}

// Ranges are the caches' ranges of part indices; none before there are any.
func (r *Router) Ranges() (out []Range) {
	if !r.layout.ranged {
		return nil
	}
	from := 0
	for i, m := range r.layout.edges {
		to := -1
		if i < len(r.layout.splits) {
			to = r.layout.splits[i]
		}
		out = append(out, Range{Cache: m.ID, From: from, To: to})
		from = to
	}
	return out
}

// Belief is what a router holds of a member, or of its location's link.
type Belief struct {
	Held    float64 `json:"held"` // attempts that it takes to be out
	Room    float64 `json:"room"` // how many are thought to be borne
	Tardy   float64 `json:"tardy"`
	Faults  float64 `json:"faults"`
	Suspect bool    `json:"suspect,omitempty"`
}

// Beliefs tells of each member that is listed, and of the link.
func (r *Router) Beliefs() (members map[string]Belief, link Belief) {
	members = make(map[string]Belief, len(r.members))
	for id, m := range r.members {
		members[id] = Belief{Held: m.held, Room: m.room, Tardy: m.tardy, Faults: m.faults, Suspect: m.suspect}
	}
	return members, Belief{Held: r.link.held, Room: r.link.room, Tardy: r.link.tardy}
}

// enlist takes in a member that was not known.
func (r *Router) enlist(id string, m *member) {
	m.ID = id
	r.members[id] = m
	at, _ := slices.BinarySearchFunc(r.listed, id, func(k *member, id string) int { return cmp.Compare(k.ID, id) })
	r.listed = slices.Insert(r.listed, at, m)
}

// file files members that are up by their role.
func (r *Router) file() {
	for k, list := range r.byRole { // made anew: layouts keep the lists that they were made of
		r.byRole[k] = make([]*member, 0, len(list)+1)
	}
	for _, m := range r.listed {
		if !m.gone {
			r.byRole[m.role] = append(r.byRole[m.role], m)
		}
	}
	r.refit()
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

// hold counts an attempt in (1) or out (-1) of what is held.
func (r *Router) hold(a *attempt, n float64) {
	a.at.held += n
	a.at.out = max(a.at.out+n*a.expect, 0)
	if a.fill {
		r.link.held += n
	}
}

func total(cost []float64) (sum float64) {
	for _, c := range cost {
		sum += c
	}
	return sum
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

// ranking is a list of members in falling order of their ranks. Most of the time the first
// is all that is looked at, of thousands: the others are put in order once one is asked for.
type ranking struct {
	list  []*member
	rank  func(m *member) rank
	heap  []rank // those not found yet
	found []*member
}

// rank is what a member goes by: of two with the same one, that which is listed first
// goes first.
type rank struct {
	key    float64
	hash   uint64
	listed int
}

func (a *rank) before(b *rank) bool {
	if a.key != b.key {
		return a.key > b.key
	}
	if a.hash != b.hash {
		return a.hash > b.hash
	}
	return a.listed < b.listed
}

// first is the member of the highest rank; nil where there is nobody.
func (k *ranking) first() (top *member) {
	var most rank
	for i, m := range k.list {
		own := k.rank(m)
		own.listed = i
		if top == nil || own.before(&most) {
			top, most = m, own
		}
	}
	return top
}

// order makes the heap of all.
func (k *ranking) order() {
	k.heap = make([]rank, len(k.list))
	for i, m := range k.list {
		k.heap[i] = k.rank(m)
		k.heap[i].listed = i
	}
	for i := len(k.heap)/2 - 1; i >= 0; i-- {
		k.sink(i)
	}
}

// sink moves the one at i down to its place in the heap.
func (k *ranking) sink(i int) {
	for {
		first := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(k.heap); child++ {
			if k.heap[child].before(&k.heap[first]) {
				first = child
			}
		}
		if first == i {
			return
		}
		k.heap[i], k.heap[first] = k.heap[first], k.heap[i]
		i = first
	}
}

// members gives the members in falling order.
func (k *ranking) members(yield func(m *member) bool) {
	for place := range k.list {
		if !yield(k.at(place)) {
			return
		}
	}
}

// at is the member at a place, from 0.
func (k *ranking) at(place int) *member {
	switch {
	case place == 0 && len(k.found) == 0:
		return k.first()
	case len(k.found) == 0:
		k.order()
	}
	for len(k.found) <= place {
		last := len(k.heap) - 1
		k.found = append(k.found, k.list[k.heap[0].listed])
		k.heap[0] = k.heap[last]
		k.heap = k.heap[:last]
		k.sink(0)
	}
	return k.found[place]
}

// ranked is the list in falling order of the rendezvous hash.
func ranked(list []*member, h uint64) *ranking {
	return &ranking{list: list, rank: func(m *member) rank { return rank{hash: mix(h ^ m.hash)} }}
}

// weighed is the list in falling order of the rendezvous hash weighed by capacity, as far
// as it is told: one that can serve twice as much is first for twice as many objects.
func (r *Router) weighed(list []*member, h uint64) *ranking {
	return &ranking{list: list, rank: func(m *member) rank {
		return rank{key: math.Log(max(chance(h^m.hash), 1e-18)) / r.size(m)}
	}}
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

// freely reports whether the next attempt costs nothing of the retries' budget.
func (q *request) freely() bool {
	if len(q.tries) == 0 {
		return true
	}
	last := &q.tries[len(q.tries)-1]
	return last.lacked || last.local
}

// made is how many attempts were made of those that a request may make: one that could not be
// begun here reached nobody.
func (q *request) made() int { return len(q.tries) - q.locals }

// failed reports whether the request was let down by the member before.
func (q *request) failed(m *member) bool {
	return slices.ContainsFunc(q.tries, func(a attempt) bool {
		return a.blamed == m || a.at == m && a.called && a.src.role != parent
	})
}

// aim is how long an answer may take and still earn its worth.
func (q *request) aim() Millis { return q.class.Aim + q.class.AimStretch*q.work }

// drop forgets a request that is over and has nothing out.
func (r *Router) drop(q *request) {
	if q.over && !q.busy() {
		delete(r.open, q.ID)
		delete(r.timers, q.token) // else each is held for its client's whole patience
	}
}

// draw is what chance goes by for a request: another one at another time, and at another
// router, but the same for one that asks the same in its place.
func (r *Router) draw(q *request) uint64 {
	return mix(r.seed^math.Float64bits(q.arrived)) + q.hash + uint64(q.Part)
}

// chance is a share within [0, 1) that goes with h, the same each time.
func chance(h uint64) float64 { return float64(mix(h)>>11) / (1 << 53) }

func (q *request) busy() bool {
	return slices.ContainsFunc(q.tries, func(a attempt) bool { return a.open })
}

// sharers is how many routers send to the members of a role, as told.
func (s Settings) sharers(k role) float64 {
	n := s.Routers
	if i := slices.Index(s.Zones, s.Zone); k == edge && i >= 0 && i < len(s.RoutersByZone) {
		n = s.RoutersByZone[i]
	}
	return float64(max(n, 1))
}

func (q *request) writes() bool { return q.class.Write || q.Write }

// Valid tells of settings that contradict themselves.
func (s Settings) Valid() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("indigospool: settings name no class")
	case s.ColdFrom < 0 || s.ColdFrom > 1 || s.ParentColdFrom < 0 || s.ParentColdFrom > 1:
		return errors.New("indigospool: a cold share is not within 0 and 1")
	case s.ParentKind != "" && s.ParentKind == s.OriginKind:
		return fmt.Errorf("indigospool: parents and origin are both of kind %q", s.ParentKind)
	case s.PurgeTakes < 0 || s.ColdTime < 0 || s.ParentColdTime < 0 || s.DrainGrace < 0:
		return errors.New("indigospool: a span is negative")
	}
	named := map[string]bool{}
	for _, c := range s.Classes {
		if named[c.Name] {
			return fmt.Errorf("indigospool: class %q is named twice", c.Name)
		}
		named[c.Name] = true
	}
	return nil
}
