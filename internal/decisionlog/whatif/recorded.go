package whatif

import (
	"cmp"
	"slices"
	"sort"

	spool "indigospool"
)

// attemptKind distinguishes attempts whose outcomes depend on different conditions.
type attemptKind uint8

const (
	lookup     attemptKind = iota // the cache is asked for its cached copy
	fillIfHeld                    // the cache fills from another cache if that has a copy
	fill                          // the cache fills from a parent or the origin
)

func kindOf(send *spool.Send) attemptKind {
	switch {
	case send.Source == send.Cache:
		return lookup
	case send.Held:
		return fillIfHeld
	}
	return fill
}

// sample is one recorded attempt.
type sample struct {
	sentAt    float64 // ms
	firstByte float64 // time of the first byte since it was sent, ms; 0: none
	took      float64 // ms
	result    spool.Result
	note      spool.Note
	load      []float64
}

// isTransientFault reports whether the outcome is a fault that does not depend on what the cache
// had, such as a timeout or a reset connection.
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

// pool is a list of samples, ordered by sentAt once sort was called.
type pool []sample

func (p pool) sort() {
	slices.SortStableFunc(p, func(a, b sample) int { return cmp.Compare(a.sentAt, b.sentAt) })
}

// nearest returns the sample that was sent nearest to the time t, or nil if there is none.
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

// poolKey identifies a pool of similar samples. An empty member, source or class means any.
type poolKey struct {
	member, source, class string
	kind                  attemptKind
	hit                   bool // the copy was cached, or the fill succeeded
}

// copyKey identifies the copy of an object or a part at a cache.
type copyKey struct {
	cache, object string
	part          int
}

// AttemptHistory has the recorded attempts of one run of a router: how each member answered,
// and what it had cached. It may be used once finish was called.
type AttemptHistory struct {
	pools        map[poolKey]pool
	byMember     map[string]pool             // attempts of all kinds, by member
	firstLookup  map[copyKey]bool            // whether the first lookup found the copy
	openAttempts map[attemptKey]*openAttempt // used while the journal is read
	Attempts     int64
	Lookups      int64
}

type attemptKey struct {
	id      string
	attempt int
}

// openAttempt is an attempt whose outcome has not been read yet.
type openAttempt struct {
	send      spool.Send
	class     string
	object    string
	part      int
	sentAt    float64
	firstByte float64
}

// maxSamples bounds the memory of a pool. Every other sample of a larger pool is dropped.
const maxSamples = 1 << 16

func newAttemptHistory() *AttemptHistory {
	return &AttemptHistory{pools: map[poolKey]pool{}, byMember: map[string]pool{}, firstLookup: map[copyKey]bool{}, openAttempts: map[attemptKey]*openAttempt{}}
}

// sent adds a recorded attempt.
func (h *AttemptHistory) sent(t float64, request *spool.Request, attempt int, send *spool.Send) {
	h.openAttempts[attemptKey{send.ID, attempt}] = &openAttempt{send: *send, class: request.Class, object: request.Object, part: request.Part, sentAt: t}
}

// started adds the time of an attempt's first byte.
func (h *AttemptHistory) started(t float64, id string, attempt int) {
	if open := h.openAttempts[attemptKey{id, attempt}]; open != nil {
		open.firstByte = max(t-open.sentAt, 0.001)
	}
}

// ended adds the recorded outcome of an attempt.
func (h *AttemptHistory) ended(ev *spool.Outcome) {
	key := attemptKey{ev.ID, ev.Attempt}
	open := h.openAttempts[key]
	if open == nil {
		return
	}
	delete(h.openAttempts, key)
	h.Attempts++
	one := sample{sentAt: open.sentAt, firstByte: open.firstByte, took: ev.Took, result: ev.Result, note: ev.Note}
	if len(ev.Load) > 0 {
		one.load = append([]float64(nil), ev.Load...)
	}
	if ev.Result == spool.NotSent || ev.Result == spool.LocalFailure { // not an answer of the member
		return
	}
	addSample(h.byMember, open.send.Cache, one)
	kind := kindOf(&open.send)
	if kind != fill {
		h.Lookups++
	}
	hit := ev.Result == spool.OK
	if !hit && ev.Result != spool.Miss && !(kind == fillIfHeld && ev.Note == spool.NoteSourceMiss) {
		return // a fault or a cancellation does not show whether the copy was cached
	}
	if kind == lookup {
		c := copyKey{open.send.Cache, open.object, open.part}
		if _, seen := h.firstLookup[c]; !seen {
			h.firstLookup[c] = hit
		}
	}
	for _, k := range []poolKey{
		{open.send.Cache, open.send.Source, open.class, kind, hit},
		{open.send.Cache, "", open.class, kind, hit},
		{"", "", open.class, kind, hit},
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

// finish is called after the last attempt was added.
func (h *AttemptHistory) finish() {
	for _, p := range h.pools {
		p.sort()
	}
	for _, p := range h.byMember {
		p.sort()
	}
	h.openAttempts = nil
}

// match returns the most similar sample: of the same cache, source and class if there is one,
// else of the same cache and class, else of the class, else of any.
func (h *AttemptHistory) match(t float64, send *spool.Send, class string, kind attemptKind, hit bool) *sample {
	for _, k := range []poolKey{{send.Cache, send.Source, class, kind, hit}, {send.Cache, "", class, kind, hit}, {"", "", class, kind, hit}, {"", "", "", kind, hit}} {
		if one := h.pools[k].nearest(t); one != nil {
			return one
		}
	}
	return nil
}

// RecordedMembers is a MemberModel that answers like the members of an AttemptHistory. Which
// copies a cache has follows from the first recorded lookup of each copy and from the fills of
// the simulation. The duration and the faults are those of the most similar recorded attempt,
// the nearest in time. The model leaves out slower answers under more load, and evictions.
type RecordedMembers struct {
	history      *AttemptHistory
	slowdown     map[string]float64
	createdAt    map[copyKey]float64 // of copies that were filled in the simulation
	objectPurges map[string]float64  // time of the latest purge
	groupPurges  map[int]float64
	emptiedAt    map[string]float64 // time of the latest restart of a cache
	readyAt      map[string]float64
}

// Members returns a model of the members for one simulation. slowdown has factors for the
// durations, by member.
func (h *AttemptHistory) Members(slowdown map[string]float64) *RecordedMembers {
	return &RecordedMembers{history: h, slowdown: slowdown, createdAt: map[copyKey]float64{}, objectPurges: map[string]float64{}, groupPurges: map[int]float64{},
		emptiedAt: map[string]float64{}, readyAt: map[string]float64{}}
}

// Update follows restarts of caches and purges.
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

const createdBeforeRun = -1e12 // creation time of copies that a cache had from the start, ms

// holds reports whether a cache has a copy whose age is at most age, in ms.
func (m *RecordedMembers) holds(now float64, cache string, request *spool.Request, age float64) bool {
	key := copyKey{cache, request.Object, request.Part}
	created, ok := m.createdAt[key]
	if !ok && m.history.firstLookup[key] {
		created, ok = createdBeforeRun, true
	}
	if at, emptied := m.emptiedAt[cache]; !ok || emptied && created < at {
		return false
	}
	if created == createdBeforeRun && age >= 1e8 {
		return true
	}
	if created < m.objectPurges[request.Object] || created < m.groupPurges[request.Group] {
		return false
	}
	return now-created <= age
}

// Attempt answers like the most similar recorded attempt.
func (m *RecordedMembers) Attempt(now float64, request *spool.Request, _ int, send *spool.Send) Answer {
	if one := m.history.byMember[send.Cache].nearest(now); one != nil && one.isTransientFault() {
		a := m.answer(one, send)
		if one.result == spool.Cancelled { // the answer that would have come is unknown
			a.Unanswered = true
		}
		return a
	}
	kind := kindOf(send)
	hit := true
	switch kind {
	case lookup:
		hit = m.holds(now, send.Cache, request, send.Age)
	case fillIfHeld:
		hit = m.holds(now, send.Source, request, send.Age)
	}
	if one := m.history.match(now, send, request.Class, kind, hit); one != nil {
		a := m.answer(one, send)
		if hit != (a.Result == spool.OK) {
			a.Result = spool.OK
		}
		return a
	}
	if !hit { // no similar attempt was recorded
		if kind == fillIfHeld {
			return Answer{Result: spool.Rejected, Note: spool.NoteSourceMiss, Took: 1}
		}
		return Answer{Result: spool.Miss, Took: 1}
	}
	took := max(request.Deadline-now, 0) / 10
	return Answer{Result: spool.OK, FirstByte: took / 2, Took: took}
}

// answer returns the answer of a recorded attempt, slowed down as the members are.
func (m *RecordedMembers) answer(one *sample, send *spool.Send) Answer {
	factor := 1.0
	for _, id := range []string{send.Cache, send.Source} {
		if f := m.slowdown[id]; f > 0 {
			factor = max(factor, f)
		}
	}
	return Answer{Result: one.result, Note: one.note, FirstByte: one.firstByte * factor, Took: one.took * factor, Load: one.load}
}

// AttemptEnded stores the copy of a successful fill.
func (m *RecordedMembers) AttemptEnded(now float64, request *spool.Request, send *spool.Send, answer *Answer, result spool.Result) {
	if result == spool.OK && send.Source != send.Cache && send.Keep > 0 {
		m.createdAt[copyKey{send.Cache, request.Object, request.Part}] = now - answer.Took
	}
}
