package whatif

import (
	"cmp"
	"slices"
	"sort"

	spool "indigospool"
)

// kind is what an attempt was for, as far as its outcome depends on it.
type kind uint8

const (
	looked kind = iota // the cache was asked for what it holds
	nearby             // it was to fill it from another cache, if that holds it
	filled             // it was to fill it from a parent or the origin
)

func kindOf(s *spool.Send) kind {
	switch {
	case s.Source == s.Cache:
		return looked
	case s.Held:
		return nearby
	}
	return filled
}

// sample is one recorded attempt.
type sample struct {
	at     float64 // when it was sent
	begins float64 // 0: its answer never began
	took   float64
	result spool.Result
	note   spool.Note
	load   []float64
}

// outside reports whether the outcome is a fault that depends on the moment, and
// not on what the cache held.
func (s *sample) outside() bool {
	switch s.result {
	case spool.Errored, spool.TimedOut, spool.ConnectFailed, spool.Reset:
		return true
	case spool.Rejected:
		return s.note != spool.NoteSourceMiss
	case spool.Cancelled:
		return s.begins == 0
	}
	return false
}

// pool is samples in the order of time.
type pool []sample

func (p pool) sort() {
	slices.SortStableFunc(p, func(a, b sample) int { return cmp.Compare(a.at, b.at) })
}

// nearest is the sample that was sent nearest to a time; nil of none.
func (p pool) nearest(t float64) *sample {
	if len(p) == 0 {
		return nil
	}
	i := sort.Search(len(p), func(i int) bool { return p[i].at >= t })
	if i == len(p) || i > 0 && t-p[i-1].at < p[i].at-t {
		i--
	}
	return &p[i]
}

// poolKey names samples that are alike. An empty member, source or class stands for any.
type poolKey struct {
	member, source, class string
	kind                  kind
	hit                   bool // of a look or a fill from near: it was held
}

// copyKey names an object or a part of it at a cache.
type copyKey struct {
	cache, object string
	part          int
}

// Model is what a journal tells of a router's members over one life: how each
// dealt with each attempt, and what it held. It is complete once its life was read.
type Model struct {
	pools map[poolKey]pool
	all   map[string]pool           // of a member, of all kinds
	first map[copyKey]bool          // whether the first look found it
	open  map[attemptKey]*recording // under way while the journal is read
	Tries int64
	Looks int64
}

type attemptKey struct {
	id string
	n  int
}

// recording is an attempt whose outcome is to come.
type recording struct {
	send   spool.Send
	class  string
	object string
	part   int
	at     float64
	begins float64
}

// maxSamples bounds a model's memory: of each pool past it, every other sample goes.
const maxSamples = 1 << 16

func newModel() *Model {
	return &Model{pools: map[poolKey]pool{}, all: map[string]pool{}, first: map[copyKey]bool{}, open: map[attemptKey]*recording{}}
}

// sent hears of a recorded attempt.
func (m *Model) sent(t float64, q *spool.Request, n int, s *spool.Send) {
	m.open[attemptKey{s.ID, n}] = &recording{send: *s, class: q.Class, object: q.Object, part: q.Part, at: t}
}

func (m *Model) started(t float64, id string, n int) {
	if r := m.open[attemptKey{id, n}]; r != nil {
		r.begins = max(t-r.at, 0.001)
	}
}

// ended hears of a recorded outcome.
func (m *Model) ended(ev *spool.Outcome) {
	k := attemptKey{ev.ID, ev.Attempt}
	r := m.open[k]
	if r == nil {
		return
	}
	delete(m.open, k)
	m.Tries++
	one := sample{at: r.at, begins: r.begins, took: ev.Took, result: ev.Result, note: ev.Note}
	if len(ev.Load) > 0 {
		one.load = append([]float64(nil), ev.Load...)
	}
	if ev.Result == spool.NotSent || ev.Result == spool.LocalFailure { // it never went anywhere
		return
	}
	add(m.all, r.send.Cache, one)
	what := kindOf(&r.send)
	if what != filled {
		m.Looks++
	}
	hit := ev.Result == spool.OK
	if !hit && ev.Result != spool.Miss && !(what == nearby && ev.Note == spool.NoteSourceMiss) {
		return // a fault of the moment, or called back: it tells nothing of what was held
	}
	if what == looked {
		c := copyKey{r.send.Cache, r.object, r.part}
		if _, seen := m.first[c]; !seen {
			m.first[c] = hit
		}
	}
	for _, k := range []poolKey{
		{r.send.Cache, r.send.Source, r.class, what, hit},
		{r.send.Cache, "", r.class, what, hit},
		{"", "", r.class, what, hit},
		{"", "", "", what, hit},
	} {
		add(m.pools, k, one)
	}
}

func add[K comparable](pools map[K]pool, k K, one sample) {
	p := append(pools[k], one)
	if len(p) > maxSamples {
		for i := 0; i < len(p)/2; i++ {
			p[i] = p[2*i]
		}
		p = p[:len(p)/2]
	}
	pools[k] = p
}

// done ends the learning.
func (m *Model) done() {
	for _, p := range m.pools {
		p.sort()
	}
	for _, p := range m.all {
		p.sort()
	}
	m.open = nil
}

// find is the sample most like what is asked for: of the same cache, source and
// class where there is one, else of the same cache, of the class, or of any.
func (m *Model) find(t float64, s *spool.Send, class string, what kind, hit bool) *sample {
	for _, k := range []poolKey{{s.Cache, s.Source, class, what, hit}, {s.Cache, "", class, what, hit}, {"", "", class, what, hit}, {"", "", "", what, hit}} {
		if one := m.pools[k].nearest(t); one != nil {
			return one
		}
	}
	return nil
}

// Recorded is a World that answers as a model's members did: what a cache holds
// follows from what it was first found to hold and from the fills of this run;
// how long an answer takes, and whether it is a fault, is taken from the recorded
// attempt nearest in time that is most like it. Members neither tire of more load
// nor forget copies for want of room.
type Recorded struct {
	m     *Model
	slow  map[string]float64
	born  map[copyKey]float64 // of copies that this run has made
	voids map[string]float64  // when objects were purged
	group map[int]float64
	wiped map[string]float64 // when caches came back empty
	ready map[string]float64
}

// World begins a run before the model's members; slow has how many times as long
// members take.
func (m *Model) World(slow map[string]float64) *Recorded {
	return &Recorded{m: m, slow: slow, born: map[copyKey]float64{}, voids: map[string]float64{}, group: map[int]float64{},
		wiped: map[string]float64{}, ready: map[string]float64{}}
}

// News follows starts and purges.
func (w *Recorded) News(now float64, ev spool.Event) {
	switch ev := ev.(type) {
	case spool.Members:
		for _, r := range ev.Rows {
			if was, known := w.ready[r.ID]; known && r.ReadyAt != was && r.State == spool.Serving {
				w.wiped[r.ID] = now
			}
			w.ready[r.ID] = r.ReadyAt
		}
	case spool.Purge:
		if ev.Object != "" {
			w.voids[ev.Object] = max(w.voids[ev.Object], now-ev.Age)
		} else {
			w.group[ev.Group] = max(w.group[ev.Group], now-ev.Age)
		}
	}
}

const atFirst = -1e12 // when copies were born that a cache held from the beginning

// holds reports whether a cache has a copy of at most an age.
func (w *Recorded) holds(now float64, cache string, q *spool.Request, age float64) bool {
	k := copyKey{cache, q.Object, q.Part}
	born, ok := w.born[k]
	if !ok && w.m.first[k] {
		born, ok = atFirst, true
	}
	if at, wiped := w.wiped[cache]; !ok || wiped && born < at {
		return false
	}
	if born == atFirst && age >= 1e8 {
		return true
	}
	if born < w.voids[q.Object] || born < w.group[q.Group] {
		return false
	}
	return now-born <= age
}

// Attempt answers as the recorded attempt did that is most like it.
func (w *Recorded) Attempt(now float64, q *spool.Request, _ int, s *spool.Send) Answer {
	if one := w.m.all[s.Cache].nearest(now); one != nil && one.outside() {
		a := w.answer(one, s)
		if one.result == spool.Cancelled { // it was given up, or its client was: nobody knows what would have come
			a.Never = true
		}
		return a
	}
	what := kindOf(s)
	hit := true
	switch what {
	case looked:
		hit = w.holds(now, s.Cache, q, s.Age)
	case nearby:
		hit = w.holds(now, s.Source, q, s.Age)
	}
	if one := w.m.find(now, s, q.Class, what, hit); one != nil {
		a := w.answer(one, s)
		if hit != (a.Result == spool.OK) {
			a.Result = spool.OK
		}
		return a
	}
	if !hit { // nothing like it was recorded
		if what == nearby {
			return Answer{Result: spool.Rejected, Note: spool.NoteSourceMiss, Took: 1}
		}
		return Answer{Result: spool.Miss, Took: 1}
	}
	took := max(q.Deadline-now, 0) / 10
	return Answer{Result: spool.OK, Begins: took / 2, Took: took}
}

func (w *Recorded) answer(one *sample, s *spool.Send) Answer {
	times := 1.0
	for _, id := range []string{s.Cache, s.Source} {
		if f := w.slow[id]; f > 0 {
			times = max(times, f)
		}
	}
	return Answer{Result: one.result, Note: one.note, Begins: one.begins * times, Took: one.took * times, Load: one.load}
}

// Ended keeps what a fill has brought.
func (w *Recorded) Ended(now float64, q *spool.Request, s *spool.Send, a *Answer, result spool.Result) {
	if result == spool.OK && s.Source != s.Cache && s.Keep > 0 {
		w.born[copyKey{s.Cache, q.Object, q.Part}] = now - a.Took
	}
}
