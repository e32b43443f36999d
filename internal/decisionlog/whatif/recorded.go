package whatif

import (
	"cmp"
	"slices"
	"sort"

	spool "indigospool"
)

// attemptKind is what an attempt was for, as far as its outcome depends on it.
type attemptKind uint8

const (
	lookup     attemptKind = iota // the cache was asked for what it holds
	fillIfHeld                    // it was to fill it from another cache, if that holds it
	fill                          // it was to fill it from a parent or the origin
)

func kindOf(s *spool.Send) attemptKind {
	switch {
	case s.Source == s.Cache:
		return lookup
	case s.Held:
		return fillIfHeld
	}
	return fill
}

// sample is one recorded attempt.
type sample struct {
	sentAt    float64 // when it was sent
	firstByte float64 // 0: its answer never began
	took      float64
	result    spool.Result
	note      spool.Note
	load      []float64
}

// isTransientFault reports whether the outcome is a fault that depends on the moment, and
// not on what the cache held.
func (s *sample) isTransientFault() bool {
	switch s.result {
	case spool.Errored, spool.TimedOut, spool.ConnectFailed, spool.Reset:
		return true
	case spool.Rejected:
		return s.note != spool.NoteSourceMiss
	case spool.Cancelled:
		return s.firstByte == 0
	}
	return false
}

// pool is samples in the order of time.
type pool []sample

func (p pool) sort() {
	slices.SortStableFunc(p, func(a, b sample) int { return cmp.Compare(a.sentAt, b.sentAt) })
}

// nearest is the sample that was sent nearest to a time; nil of none.
func (p pool) nearest(t float64) *sample {
	if len(p) == 0 {
		return nil
	}
	i := sort.Search(len(p), func(i int) bool { return p[i].sentAt >= t })
	if i == len(p) || i > 0 && t-p[i-1].sentAt < p[i].sentAt-t {
		i--
	}
	return &p[i]
}

// poolKey names samples that are alike. An empty member, source or class stands for any.
type poolKey struct {
	member, source, class string
	kind                  attemptKind
	hit                   bool // of a look or a fill from near: it was held
}

// copyKey names an object or a part of it at a cache.
type copyKey struct {
	cache, object string
	part          int
}

// AttemptHistory is what a journal tells of a router's members over one life: how each
// dealt with each attempt, and what it held. It is complete once its life was read.
type AttemptHistory struct {
	pools        map[poolKey]pool
	byMember     map[string]pool             // of a member, of all kinds
	firstLookup  map[copyKey]bool            // whether the first look found it
	openAttempts map[attemptKey]*openAttempt // under way while the journal is read
	Attempts     int64
	Lookups      int64
}

type attemptKey struct {
	id string
	n  int
}

// openAttempt is an attempt whose outcome is to come.
type openAttempt struct {
	send      spool.Send
	class     string
	object    string
	part      int
	sentAt    float64
	firstByte float64
}

// maxSamples bounds a model's memory: of each pool past it, every other sample goes.
const maxSamples = 1 << 16

func newAttemptHistory() *AttemptHistory {
	return &AttemptHistory{pools: map[poolKey]pool{}, byMember: map[string]pool{}, firstLookup: map[copyKey]bool{}, openAttempts: map[attemptKey]*openAttempt{}}
}

// sent hears of a recorded attempt.
func (h *AttemptHistory) sent(t float64, q *spool.Request, n int, s *spool.Send) {
	h.openAttempts[attemptKey{s.ID, n}] = &openAttempt{send: *s, class: q.Class, object: q.Object, part: q.Part, sentAt: t}
}

func (h *AttemptHistory) started(t float64, id string, n int) {
	if r := h.openAttempts[attemptKey{id, n}]; r != nil {
		r.firstByte = max(t-r.sentAt, 0.001)
	}
}

// ended hears of a recorded outcome.
func (h *AttemptHistory) ended(ev *spool.Outcome) {
	k := attemptKey{ev.ID, ev.Attempt}
	r := h.openAttempts[k]
	if r == nil {
		return
	}
	delete(h.openAttempts, k)
	h.Attempts++
	one := sample{sentAt: r.sentAt, firstByte: r.firstByte, took: ev.Took, result: ev.Result, note: ev.Note}
	if len(ev.Load) > 0 {
		one.load = append([]float64(nil), ev.Load...)
	}
	if ev.Result == spool.NotSent || ev.Result == spool.LocalFailure { // it never went anywhere
		return
	}
	addSample(h.byMember, r.send.Cache, one)
	kind := kindOf(&r.send)
	if kind != fill {
		h.Lookups++
	}
	hit := ev.Result == spool.OK
	if !hit && ev.Result != spool.Miss && !(kind == fillIfHeld && ev.Note == spool.NoteSourceMiss) {
		return // a fault of the moment, or called back: it tells nothing of what was held
	}
	if kind == lookup {
		c := copyKey{r.send.Cache, r.object, r.part}
		if _, seen := h.firstLookup[c]; !seen {
			h.firstLookup[c] = hit
		}
	}
	for _, k := range []poolKey{
		{r.send.Cache, r.send.Source, r.class, kind, hit},
		{r.send.Cache, "", r.class, kind, hit},
		{"", "", r.class, kind, hit},
		{"", "", "", kind, hit},
	} {
		addSample(h.pools, k, one)
	}
}

func addSample[K comparable](pools map[K]pool, k K, s sample) {
	p := append(pools[k], s)
	if len(p) > maxSamples {
		for i := 0; i < len(p)/2; i++ {
			p[i] = p[2*i]
		}
		p = p[:len(p)/2]
	}
	pools[k] = p
}

// finish ends the learning.
func (h *AttemptHistory) finish() {
	for _, p := range h.pools {
		p.sort()
	}
	for _, p := range h.byMember {
		p.sort()
	}
	h.openAttempts = nil
}

// match is the sample most like what is asked for: of the same cache, source and
// class where there is one, else of the same cache, of the class, or of any.
func (h *AttemptHistory) match(t float64, s *spool.Send, class string, kind attemptKind, hit bool) *sample {
	for _, k := range []poolKey{{s.Cache, s.Source, class, kind, hit}, {s.Cache, "", class, kind, hit}, {"", "", class, kind, hit}, {"", "", "", kind, hit}} {
		if one := h.pools[k].nearest(t); one != nil {
			return one
		}
	}
	return nil
}

// RecordedMembers is a World that answers as a model's members did: what a cache holds
// follows from what it was first found to hold and from the fills of this run;
// how long an answer takes, and whether it is a fault, is taken from the recorded
// attempt nearest in time that is most like it. Members neither tire of more load
// nor forget copies for want of room.
type RecordedMembers struct {
	history      *AttemptHistory
	slowdown     map[string]float64
	createdAt    map[copyKey]float64 // of copies that this run has made
	objectPurges map[string]float64  // when objects were purged
	groupPurges  map[int]float64
	emptiedAt    map[string]float64 // when caches came back empty
	readyAt      map[string]float64
}

// Members begins a run before the model's members; slow has how many times as long
// members take.
func (h *AttemptHistory) Members(slowdown map[string]float64) *RecordedMembers {
	return &RecordedMembers{history: h, slowdown: slowdown, createdAt: map[copyKey]float64{}, objectPurges: map[string]float64{}, groupPurges: map[int]float64{},
		emptiedAt: map[string]float64{}, readyAt: map[string]float64{}}
}

// Update follows starts and purges.
func (m *RecordedMembers) Update(now float64, ev spool.Event) {
	switch ev := ev.(type) {
	case spool.Members:
		for _, r := range ev.Rows {
			if previous, known := m.readyAt[r.ID]; known && r.ReadyAt != previous && r.State == spool.Serving {
				m.emptiedAt[r.ID] = now
			}
			m.readyAt[r.ID] = r.ReadyAt
		}
	case spool.Purge:
		if ev.Object != "" {
			m.objectPurges[ev.Object] = max(m.objectPurges[ev.Object], now-ev.Age)
		} else {
			m.groupPurges[ev.Group] = max(m.groupPurges[ev.Group], now-ev.Age)
		}
	}
}

const createdBeforeRun = -1e12 // when copies were born that a cache held from the beginning

// holds reports whether a cache has a copy of at most an age.
func (m *RecordedMembers) holds(now float64, cache string, q *spool.Request, age float64) bool {
	k := copyKey{cache, q.Object, q.Part}
	created, ok := m.createdAt[k]
	if !ok && m.history.firstLookup[k] {
		created, ok = createdBeforeRun, true
	}
	if at, emptied := m.emptiedAt[cache]; !ok || emptied && created < at {
		return false
	}
	if created == createdBeforeRun && age >= 1e8 {
		return true
	}
	if created < m.objectPurges[q.Object] || created < m.groupPurges[q.Group] {
		return false
	}
	return now-created <= age
}

// Attempt answers as the recorded attempt did that is most like it.
func (m *RecordedMembers) Attempt(now float64, q *spool.Request, _ int, s *spool.Send) Answer {
	if one := m.history.byMember[s.Cache].nearest(now); one != nil && one.isTransientFault() {
		a := m.answer(one, s)
		if one.result == spool.Cancelled { // it was given up, or its client was: nobody knows what would have come
			a.Unanswered = true
		}
		return a
	}
	kind := kindOf(s)
	hit := true
	switch kind {
	case lookup:
		hit = m.holds(now, s.Cache, q, s.Age)
	case fillIfHeld:
		hit = m.holds(now, s.Source, q, s.Age)
	}
	if one := m.history.match(now, s, q.Class, kind, hit); one != nil {
		a := m.answer(one, s)
		if hit != (a.Result == spool.OK) {
			a.Result = spool.OK
		}
		return a
	}
	if !hit { // nothing like it was recorded
		if kind == fillIfHeld {
			return Answer{Result: spool.Rejected, Note: spool.NoteSourceMiss, Took: 1}
		}
		return Answer{Result: spool.Miss, Took: 1}
	}
	took := max(q.Deadline-now, 0) / 10
	return Answer{Result: spool.OK, FirstByte: took / 2, Took: took}
}

func (m *RecordedMembers) answer(one *sample, s *spool.Send) Answer {
	factor := 1.0
	for _, id := range []string{s.Cache, s.Source} {
		if f := m.slowdown[id]; f > 0 {
			factor = max(factor, f)
		}
	}
	return Answer{Result: one.result, Note: one.note, FirstByte: one.firstByte * factor, Took: one.took * factor, Load: one.load}
}

// AttemptEnded keeps what a fill has brought.
func (m *RecordedMembers) AttemptEnded(now float64, q *spool.Request, s *spool.Send, a *Answer, result spool.Result) {
	if result == spool.OK && s.Source != s.Cache && s.Keep > 0 {
		m.createdAt[copyKey{s.Cache, q.Object, q.Part}] = now - a.Took
	}
}
