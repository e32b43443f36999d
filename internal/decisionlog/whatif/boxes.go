package whatif

import (
	"math"
	"strconv"

	spool "indigospool"
	"indigospool/internal/cachenode/httpcache"
)

// CacheModelOptions are the properties of members that the endpoint list does not give. Times
// are in ms and rates in KB/ms. A default replaces a zero value.
type CacheModelOptions struct {
	TransferRate   float64 // of one transfer to a client; default 4
	FillRate       float64 // of a fill; default 3 * TransferRate
	Capacity       float64 // concurrent transfers, unless the size is the capacity; default 50
	SizeIsCapacity bool    // the size of a member, if listed, is its capacity
	StoreBytes     int64   // of a cache's store; default 64 GB
	SourceLatency  float64 // of a source until its first byte; default 20
	LookupLatency  float64 // of a hit until the first byte, a miss or an error; default 1

	WarmUpInitialShare, WarmUpTime, OverloadFactor                   float64
	ParentWarmUpInitialShare, ParentWarmUpTime, ParentOverloadFactor float64
	OverloadTime                                                     float64 // default 3000
	ParentKind, OriginKind                                           string
}

func (o *CacheModelOptions) setDefaults() {
	for _, d := range []struct {
		v *float64
		x float64
	}{{&o.TransferRate, 4}, {&o.Capacity, 50}, {&o.SourceLatency, 20}, {&o.LookupLatency, 1}, {&o.OverloadTime, 3000}} {
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

// CacheModels is a MemberModel with a model of each member (internal/cachenode/httpcache), which
// all routers of a simulation share. The load of a member is its sending time. Beyond its
// capacity of concurrent transfers, it sends each of them more slowly. A member that has failed
// under overload does not recover.
type CacheModels struct {
	options CacheModelOptions
	members map[string]*memberModel
	OnUsage func(member string, second int, s *Usage)
}

// Usage is the load of a member in one second.
type Usage struct {
	SendMillis     float64 // sending time, ms
	CapacityMillis float64 // capacity at the end of the second, as sending time per second, ms
	Attempts       int
	Fills          int // for which the member was the source
	KB             float64
}

type memberModel struct {
	id        string
	role      string // "box" (a cache), "parent" or "origin"
	listed    spool.Member
	cache     *httpcache.Cache
	capacity  float64
	transfers int // in progress
	second    int // number of the second that usage covers
	usage     Usage
	failedAt  float64 // time at which the member failed under overload, ms; 0: it has not failed
}

// NewCacheModels returns a model without members. Update adds them.
func NewCacheModels(options CacheModelOptions) *CacheModels {
	options.setDefaults()
	return &CacheModels{options: options, members: map[string]*memberModel{}}
}

// Update starts members, and purges their copies. Each router of the simulation passes on the
// updates that it receives; those that are already known have no effect.
func (c *CacheModels) Update(now float64, ev spool.Event) {
	switch ev := ev.(type) {
	case spool.Members:
		for _, r := range ev.Rows {
			m := c.members[r.ID]
			if m != nil && (math.Abs(m.listed.ReadyAt-r.ReadyAt) < 1 || r.ReadyAt <= 0 || r.State != spool.Serving) { // routers compute ReadyAt themselves, so that it differs slightly
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

// newMember returns the model of a member that has started.
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

// Attempt answers with the cached copy, a fill or a miss.
func (c *CacheModels) Attempt(now float64, request *spool.Request, _ int, send *spool.Send) Answer {
	member := c.members[send.Cache]
	if member == nil {
		return Answer{Result: spool.ConnectFailed, Took: c.options.LookupLatency}
	}
	kb := max(request.KB, 0.001)
	if c.addLoad(now, member, kb/c.options.TransferRate, kb, false) {
		return Answer{Result: spool.Reset, Took: c.options.LookupLatency}
	}
	took := kb / c.options.TransferRate * member.slowdown(now)
	if member.role == "origin" || request.Write {
		return Answer{Result: spool.OK, FirstByte: c.options.SourceLatency, Took: c.options.SourceLatency + took}
	}
	key := keyOf(request)
	if member.cache.Lookup(now, key, send.Age, send.Keep) != nil {
		member.transfers++
		return Answer{Result: spool.OK, Note: spool.NoteHit, FirstByte: c.options.LookupLatency, Took: c.options.LookupLatency + took}
	}
	if send.Source == send.Cache {
		return Answer{Result: spool.Miss, Took: c.options.LookupLatency}
	}
	source := c.members[send.Source]
	if source == nil || source.failedAt > 0 {
		return Answer{Result: spool.Rejected, Note: spool.NoteSourceUnreachable, Took: c.options.LookupLatency}
	}
	firstByte, note := c.options.SourceLatency, spool.NoteFilled
	switch {
	case source.cache.Lookup(now, key, send.Age, 0) != nil:
	case send.Held:
		return Answer{Result: spool.Rejected, Note: spool.NoteSourceMiss, Took: 2 * c.options.LookupLatency}
	case source.role == "parent": // the parent fetches the object from the origin first
		firstByte += c.options.SourceLatency
		c.store(now, source, request, 1)
	case source.role == "origin":
		note = spool.NoteFilledByOrigin
	}
	if c.addLoad(now, source, kb/c.options.TransferRate, kb, true) {
		return Answer{Result: spool.Rejected, Note: spool.NoteSourceUnreachable, Took: c.options.LookupLatency}
	}
	member.transfers++
	source.transfers++
	return Answer{Result: spool.OK, Note: note, FirstByte: firstByte, Took: firstByte + max(took, kb/c.options.FillRate*source.slowdown(now))}
}

// AttemptEnded ends the transfers of an attempt, and stores the copy of a successful fill.
func (c *CacheModels) AttemptEnded(now float64, request *spool.Request, send *spool.Send, answer *Answer, result spool.Result) {
	if answer.Result != spool.OK {
		return
	}
	member, source := c.members[send.Cache], c.members[send.Source]
	if member == nil || member.role == "origin" || request.Write {
		return
	}
	member.transfers = max(member.transfers-1, 0)
	if answer.Note == spool.NoteHit || source == nil || source == member {
		return
	}
	source.transfers = max(source.transfers-1, 0)
	if result == spool.OK && send.Keep > 0 {
		c.store(now, member, request, send.Keep)
	}
}

// store caches a copy at a member.
func (c *CacheModels) store(now float64, member *memberModel, request *spool.Request, rank int) {
	f := member.cache.BeginFill(now, keyOf(request))
	if f == nil {
		return
	}
	member.cache.EndFill(now, f, &httpcache.Copy{Key: f.Key, Object: request.Object, Group: request.Group, Bytes: int64(request.KB*1024) + 1, Rank: rank, Version: 1, GeneratedAt: now})
}

func keyOf(request *spool.Request) string {
	if request.Part == 0 {
		return request.Object
	}
	return request.Object + "/" + strconv.Itoa(request.Part)
}

// slowdown returns the factor by which a further transfer takes longer than it would alone.
func (m *memberModel) slowdown(now float64) float64 {
	return max(float64(m.transfers+1)/max(m.cache.Capacity(now), 0.01), 1)
}

// addLoad adds sending time to the load of a member. It reports whether the member is down,
// because it was overloaded while it was warming up. asSource says that the member is the source
// of a fill.
func (c *CacheModels) addLoad(now float64, member *memberModel, work, kb float64, asSource bool) (down bool) {
	c.reportUsage(now, member)
	member.usage.SendMillis += work
	member.usage.KB += kb
	if member.usage.Attempts++; asSource {
		member.usage.Fills++
	}
	if member.failedAt > 0 {
		return true
	}
	if member.cache.RecordAttempt(now, work) {
		member.failedAt = now
		return true
	}
	return false
}

// reportUsage calls OnUsage once the second that usage covers is over.
func (c *CacheModels) reportUsage(now float64, m *memberModel) {
	if sec := int(now / 1000); sec > m.second {
		if c.OnUsage != nil {
			m.usage.CapacityMillis = m.cache.Capacity(float64(m.second+1)*1000) * 1000
			c.OnUsage(m.id, m.second, &m.usage)
		}
		m.second, m.usage = sec, Usage{}
	}
}

// Finish reports the usage of the last second.
func (c *CacheModels) Finish(now float64) {
	for _, m := range c.members {
		c.reportUsage(now+1000, m)
	}
}

// FailedAt returns the time at which a member failed under overload, in ms, or 0 if it did not.
func (c *CacheModels) FailedAt(id string) float64 {
	if m := c.members[id]; m != nil {
		return m.failedAt
	}
	return 0
}
