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
	FillRate       float64 // of a fill; default three times that
	Capacity       float64 // transfers at once of a member whose (size) is no capacity; default 50
	SizeIsCapacity bool    // (size) of members is their capacity
	StoreBytes     int64   // of a cache's store; default 64 GB
	SourceLatency  float64 // of a source before its answer; default 20
	MissLatency    float64 // of a miss; default 1

	WarmUpInitialShare, WarmUpTime, OverloadFactor                   float64
	ParentWarmUpInitialShare, ParentWarmUpTime, ParentOverloadFactor float64
	OverloadTime                                                     float64
	ParentKind, OriginKind                                           string
}

func (o *CacheModelOptions) setDefaults() {
	for _, d := range []struct {
		v *float64
		x float64
	}{{&o.TransferRate, 4}, {&o.Capacity, 50}, {&o.SourceLatency, 20}, {&o.MissLatency, 1}, {&o.OverloadTime, 3000}} {
		if *d.v <= 0 {
			*d.v = d.x
		}
	}
	if o.FillRate <= 0 {
		o.FillRate = 3 * o.TransferRate
	}
	if o.StoreBytes <= 0 {
		o.StoreBytes = 64 << 30
	}
}

// CacheModels is a World of cache models (internal/cachenode/httpcache) that all routers of a run share.
// A member's sending time is its load; one that is given more transfers than it has
// places for sends each the slower. A source that has fallen over answers nothing.
type CacheModels struct {
	options CacheModelOptions
	members map[string]*memberModel
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

type memberModel struct {
	id        string
	role      string // box, parent or origin
	listed    spool.Member
	cache     *httpcache.Cache
	capacity  float64
	transfers int // transfers under way
	second    int
	usage     Usage
	failedAt  float64 // when it fell over; 0: it did not
}

// NewCacheModels makes a World without members: they come with the news.
func NewCacheModels(options CacheModelOptions) *CacheModels {
	options.setDefaults()
	return &CacheModels{options: options, members: map[string]*memberModel{}}
}

// Update starts members, and has them heed purges. All routers tell it: what is
// known already changes nothing.
func (c *CacheModels) Update(now float64, ev spool.Event) {
	switch ev := ev.(type) {
	case spool.Members:
		for _, r := range ev.Rows {
			m := c.members[r.ID]
			if m != nil && (math.Abs(m.listed.ReadyAt-r.ReadyAt) < 1 || r.ReadyAt <= 0 || r.State != spool.Serving) { // each router works out its own
				m.listed.State = r.State
				continue
			}
			c.members[r.ID] = c.newMember(now, r)
		}
	case spool.Purge:
		for _, m := range c.members {
			m.cache.Purge(ev.Object, ev.Group, now-ev.Age)
		}
	}
}

func (c *CacheModels) newMember(now float64, r spool.Member) *memberModel {
	m := &memberModel{id: r.ID, role: "box", listed: r, capacity: c.options.Capacity, second: int(now / 1000)}
	if c.options.SizeIsCapacity && r.Size > 0 {
		m.capacity = r.Size
	}
	s := httpcache.Settings{Name: r.ID, Bytes: c.options.StoreBytes, Capacity: m.capacity, WarmUpInitialShare: c.options.WarmUpInitialShare, WarmUpTime: c.options.WarmUpTime,
		OverloadFactor: c.options.OverloadFactor, OverloadTime: c.options.OverloadTime}
	switch {
	case r.Kind == c.options.ParentKind && r.Kind != "":
		m.role, s.WarmUpInitialShare, s.WarmUpTime, s.OverloadFactor = "parent", c.options.ParentWarmUpInitialShare, c.options.ParentWarmUpTime, c.options.ParentOverloadFactor
	case r.Kind == c.options.OriginKind && r.Kind != "":
		m.role = "origin"
	}
	m.cache = httpcache.New(s, max(r.ReadyAt, 1e-6), r.ReadyAt <= 0)
	return m
}

// Attempt answers from the copy that is held, fills it, or misses.
func (c *CacheModels) Attempt(now float64, q *spool.Request, _ int, s *spool.Send) Answer {
	m := c.members[s.Cache]
	if m == nil {
		return Answer{Result: spool.ConnectFailed, Took: c.options.MissLatency}
	}
	kb := max(q.KB, 0.001)
	if c.addLoad(now, m, kb/c.options.TransferRate, kb, false) {
		return Answer{Result: spool.Reset, Took: c.options.MissLatency}
	}
	took := kb / c.options.TransferRate * m.slowdown(now)
	if m.role == "origin" || q.Write {
		return Answer{Result: spool.OK, FirstByte: c.options.SourceLatency, Took: c.options.SourceLatency + took}
	}
	key := keyOf(q)
	if m.cache.Lookup(now, key, s.Age, s.Keep) != nil {
		m.transfers++
		return Answer{Result: spool.OK, Note: spool.NoteHit, FirstByte: c.options.MissLatency, Took: c.options.MissLatency + took}
	}
	if s.Source == s.Cache {
		return Answer{Result: spool.Miss, Took: c.options.MissLatency}
	}
	src := c.members[s.Source]
	if src == nil || src.failedAt > 0 {
		return Answer{Result: spool.Rejected, Note: spool.NoteSourceUnreachable, Took: c.options.MissLatency}
	}
	begins, note := c.options.SourceLatency, spool.NoteFilled
	switch {
	case src.cache.Lookup(now, key, s.Age, 0) != nil:
	case s.Held:
		return Answer{Result: spool.Rejected, Note: spool.NoteSourceMiss, Took: 2 * c.options.MissLatency}
	case src.role == "parent": // it fetches it from the origin first
		begins += c.options.SourceLatency
		c.store(now, src, q, 1)
	case src.role == "origin":
		note = spool.NoteFilledByOrigin
	}
	if c.addLoad(now, src, kb/c.options.TransferRate, kb, true) {
		return Answer{Result: spool.Rejected, Note: spool.NoteSourceUnreachable, Took: c.options.MissLatency}
	}
	m.transfers++
	src.transfers++
	return Answer{Result: spool.OK, Note: note, FirstByte: begins, Took: begins + max(took, kb/c.options.FillRate*src.slowdown(now))}
}

// AttemptEnded frees what an attempt took, and keeps what a fill has brought.
func (c *CacheModels) AttemptEnded(now float64, q *spool.Request, s *spool.Send, a *Answer, result spool.Result) {
	if a.Result != spool.OK {
		return
	}
	m, src := c.members[s.Cache], c.members[s.Source]
	if m == nil || m.role == "origin" || q.Write {
		return
	}
	m.transfers = max(m.transfers-1, 0)
	if a.Note == spool.NoteHit || src == nil || src == m {
		return
	}
	src.transfers = max(src.transfers-1, 0)
	if result == spool.OK && s.Keep > 0 {
		c.store(now, m, q, s.Keep)
	}
}

func (c *CacheModels) store(now float64, m *memberModel, q *spool.Request, rank int) {
	f := m.cache.BeginFill(now, keyOf(q))
	if f == nil {
		return
	}
	m.cache.EndFill(now, f, &httpcache.Copy{Key: f.Key, Object: q.Object, Group: q.Group, Bytes: int64(q.KB*1024) + 1, Rank: rank, Version: 1, GeneratedAt: now})
}

func keyOf(q *spool.Request) string {
	if q.Part == 0 {
		return q.Object
	}
	return q.Object + "/" + strconv.Itoa(q.Part)
}

// slowdown is how many times as long a transfer takes.
func (m *memberModel) slowdown(now float64) float64 {
	return max(float64(m.transfers+1)/max(m.cache.Capacity(now), 0.01), 1)
}

// addLoad books sending time; it reports whether the member is down, having been
// given more than it bears while it is cold.
func (c *CacheModels) addLoad(now float64, m *memberModel, work, kb float64, source bool) (down bool) {
	c.reportUsage(now, m)
	m.usage.SendMillis += work
	m.usage.KB += kb
	if m.usage.Attempts++; source {
		m.usage.Fills++
	}
	if m.failedAt > 0 {
		return true
	}
	if m.cache.RecordAttempt(now, work) {
		m.failedAt = now
		return true
	}
	return false
}

// reportUsage tells of the seconds that have passed.
func (c *CacheModels) reportUsage(now float64, m *memberModel) {
	if sec := int(now / 1000); sec > m.second {
		if c.OnUsage != nil {
			m.usage.CapacityMillis = m.cache.Capacity(float64(m.second+1)*1000) * 1000
			c.OnUsage(m.id, m.second, &m.usage)
		}
		m.second, m.usage = sec, Usage{}
	}
}

// Finish tells of the last seconds.
func (c *CacheModels) Finish(now float64) {
	for _, m := range c.members {
		c.reportUsage(now+1000, m)
	}
}

// FailedAt is when a member fell over; 0: it did not.
func (c *CacheModels) FailedAt(id string) float64 {
	if m := c.members[id]; m != nil {
		return m.failedAt
	}
	return 0
}
