package whatif

import (
	"math"
	"strconv"

	spool "indigospool"
	"indigospool/internal/cachenode/httpcache"
)

// CacheModelOptions are what members can do, where the list does not say. Spans are in
// ms, sizes in KB, rates in KB a ms.
type CacheModelOptions struct {
	TransferRate   float64 // of one transfer to a client; default 4
	FillFlow       float64 // of a fill; default three times that
	Capacity       float64 // transfers at once of a member whose (size) is no capacity; default 50
	SizeIsCapacity bool    // (size) of members is their capacity
	Bytes          int64   // of a cache's store; default 64 GB
	Latency        float64 // of a source before its answer; default 20
	Look           float64 // of a miss; default 1

	WarmUpInitialShare, WarmUpTime, OverloadFactor                   float64
	ParentWarmUpInitialShare, ParentWarmUpTime, ParentOverloadFactor float64
	OverloadTime                                                     float64
	ParentKind, OriginKind                                           string
}

func (o *CacheModelOptions) fill() {
	for _, d := range []struct {
		v *float64
		x float64
	}{{&o.TransferRate, 4}, {&o.Capacity, 50}, {&o.Latency, 20}, {&o.Look, 1}, {&o.OverloadTime, 3000}} {
		if *d.v <= 0 {
			*d.v = d.x
		}
	}
	if o.FillFlow <= 0 {
		o.FillFlow = 3 * o.TransferRate
	}
	if o.Bytes <= 0 {
		o.Bytes = 64 << 30
	}
}

// CacheModels is a World of cache models (internal/cachenode/httpcache) that all routers of a run share.
// A member's sending time is its load; one that is given more transfers than it has
// places for sends each the slower. A source that has fallen over answers nothing.
type CacheModels struct {
	o       CacheModelOptions
	m       map[string]*machine
	OnUsage func(member string, second int, s *Usage)
}

// Usage is what a member was given in a second.
type Usage struct {
	SendMillis     float64 // sending time, ms
	CapacityMillis float64 // that it had at the end of it, ms
	Attempts       int
	Fills          int // as a source
	KB             float64
}

type machine struct {
	id     string
	role   string // box, parent or origin
	listed spool.Member
	box    *httpcache.Cache
	cap    float64
	busy   int // transfers under way
	second int
	spent  Usage
	Fell   float64 // when it fell over; 0: it did not
}

// NewCacheModels makes a World without members: they come with the news.
func NewCacheModels(o CacheModelOptions) *CacheModels {
	o.fill()
	return &CacheModels{o: o, m: map[string]*machine{}}
}

// News starts members, and has them heed purges. All routers tell it: what is
// known already changes nothing.
func (w *CacheModels) News(now float64, ev spool.Event) {
	switch ev := ev.(type) {
	case spool.Members:
		for _, r := range ev.Rows {
			m := w.m[r.ID]
			if m != nil && (math.Abs(m.listed.ReadyAt-r.ReadyAt) < 1 || r.ReadyAt <= 0 || r.State != spool.Serving) { // each router works out its own
				m.listed.State = r.State
				continue
			}
			w.m[r.ID] = w.start(now, r)
		}
	case spool.Purge:
		for _, m := range w.m {
			m.box.Purge(ev.Object, ev.Group, now-ev.Age)
		}
	}
}

func (w *CacheModels) start(now float64, r spool.Member) *machine {
	m := &machine{id: r.ID, role: "box", listed: r, cap: w.o.Capacity, second: int(now / 1000)}
	if w.o.SizeIsCapacity && r.Size > 0 {
		m.cap = r.Size
	}
	s := httpcache.Settings{Name: r.ID, Bytes: w.o.Bytes, Capacity: m.cap, WarmUpInitialShare: w.o.WarmUpInitialShare, WarmUpTime: w.o.WarmUpTime,
		OverloadFactor: w.o.OverloadFactor, OverloadTime: w.o.OverloadTime}
	switch {
	case r.Kind == w.o.ParentKind && r.Kind != "":
		m.role, s.WarmUpInitialShare, s.WarmUpTime, s.OverloadFactor = "parent", w.o.ParentWarmUpInitialShare, w.o.ParentWarmUpTime, w.o.ParentOverloadFactor
	case r.Kind == w.o.OriginKind && r.Kind != "":
		m.role = "origin"
	}
	m.box = httpcache.New(s, max(r.ReadyAt, 1e-6), r.ReadyAt <= 0)
	return m
}

// Attempt answers from the copy that is held, fills it, or misses.
func (w *CacheModels) Attempt(now float64, q *spool.Request, _ int, s *spool.Send) Answer {
	m := w.m[s.Cache]
	if m == nil {
		return Answer{Result: spool.ConnectFailed, Took: w.o.Look}
	}
	kb := max(q.KB, 0.001)
	if w.load(now, m, kb/w.o.TransferRate, kb, false) {
		return Answer{Result: spool.Reset, Took: w.o.Look}
	}
	took := kb / w.o.TransferRate * m.crowd(now)
	if m.role == "origin" || q.Write {
		return Answer{Result: spool.OK, Begins: w.o.Latency, Took: w.o.Latency + took}
	}
	key := keyOf(q)
	if m.box.Lookup(now, key, s.Age, s.Keep) != nil {
		m.busy++
		return Answer{Result: spool.OK, Note: spool.NoteHit, Begins: w.o.Look, Took: w.o.Look + took}
	}
	if s.Source == s.Cache {
		return Answer{Result: spool.Miss, Took: w.o.Look}
	}
	src := w.m[s.Source]
	if src == nil || src.Fell > 0 {
		return Answer{Result: spool.Rejected, Note: spool.NoteSourceUnreachable, Took: w.o.Look}
	}
	begins, note := w.o.Latency, spool.NoteFilled
	switch {
	case src.box.Lookup(now, key, s.Age, 0) != nil:
	case s.Held:
		return Answer{Result: spool.Rejected, Note: spool.NoteSourceMiss, Took: 2 * w.o.Look}
	case src.role == "parent": // it fetches it from the origin first
		begins += w.o.Latency
		w.keep(now, src, q, 1)
	case src.role == "origin":
		note = spool.NoteFilledByOrigin
	}
	if w.load(now, src, kb/w.o.TransferRate, kb, true) {
		return Answer{Result: spool.Rejected, Note: spool.NoteSourceUnreachable, Took: w.o.Look}
	}
	m.busy++
	src.busy++
	return Answer{Result: spool.OK, Note: note, Begins: begins, Took: begins + max(took, kb/w.o.FillFlow*src.crowd(now))}
}

// Ended frees what an attempt took, and keeps what a fill has brought.
func (w *CacheModels) Ended(now float64, q *spool.Request, s *spool.Send, a *Answer, result spool.Result) {
	if a.Result != spool.OK {
		return
	}
	m, src := w.m[s.Cache], w.m[s.Source]
	if m == nil || m.role == "origin" || q.Write {
		return
	}
	m.busy = max(m.busy-1, 0)
	if a.Note == spool.NoteHit || src == nil || src == m {
		return
	}
	src.busy = max(src.busy-1, 0)
	if result == spool.OK && s.Keep > 0 {
		w.keep(now, m, q, s.Keep)
	}
}

func (w *CacheModels) keep(now float64, m *machine, q *spool.Request, rank int) {
	f := m.box.BeginFill(now, keyOf(q))
	if f == nil {
		return
	}
	m.box.EndFill(now, f, &httpcache.Copy{Key: f.Key, Object: q.Object, Group: q.Group, Bytes: int64(q.KB*1024) + 1, Rank: rank, Version: 1, GeneratedAt: now})
}

func keyOf(q *spool.Request) string {
	if q.Part == 0 {
		return q.Object
	}
	return q.Object + "/" + strconv.Itoa(q.Part)
}

// crowd is how many times as long a transfer takes.
func (m *machine) crowd(now float64) float64 {
	return max(float64(m.busy+1)/max(m.box.Capacity(now), 0.01), 1)
}

// load books sending time; it reports whether the member is down, having been
// given more than it bears while it is cold.
func (w *CacheModels) load(now float64, m *machine, work, kb float64, source bool) (down bool) {
	w.flush(now, m)
	m.spent.SendMillis += work
	m.spent.KB += kb
	if m.spent.Attempts++; source {
		m.spent.Fills++
	}
	if m.Fell > 0 {
		return true
	}
	if m.box.RecordAttempt(now, work) {
		m.Fell = now
		return true
	}
	return false
}

// flush tells of the seconds that have passed.
func (w *CacheModels) flush(now float64, m *machine) {
	if sec := int(now / 1000); sec > m.second {
		if w.OnUsage != nil {
			m.spent.CapacityMillis = m.box.Capacity(float64(m.second+1)*1000) * 1000
			w.OnUsage(m.id, m.second, &m.spent)
		}
		m.second, m.spent = sec, Usage{}
	}
}

// Finish tells of the last seconds.
func (w *CacheModels) Finish(now float64) {
	for _, m := range w.m {
		w.flush(now+1000, m)
	}
}

// FailedAt is when a member fell over; 0: it did not.
func (w *CacheModels) FailedAt(id string) float64 {
	if m := w.m[id]; m != nil {
		return m.Fell
	}
	return 0
}
