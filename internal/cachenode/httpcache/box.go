// Package httpcache implements the logic of a cache without I/O. rfc9111.go decides which
// responses may be stored and how a stored response may be used (RFC 9111). box.go is a model
// of a cache for simulations: ranked copies with their ages, purges, fills and requests that
// join them, and the warm-up after a cold start. A parent is modeled as a cache, too. The
// caller supplies the time, in milliseconds on any monotonic clock; nothing is random.
//
// The package keeps metadata of copies, never their bodies: internal/testbed/testserver
// generates bodies from key and version, internal/cachenode/server reads them from
// internal/cachenode/store. Its types are not safe for concurrent use.
package httpcache

import (
	"container/list"
	"fmt"
)

// Settings configures a Cache. Durations are in ms, sizes in bytes.
type Settings struct {
	Name               string
	Bytes              int64   // size of the store
	Capacity           float64 // when warm: sending time that the cache can handle, in ms per ms
	WarmUpInitialShare float64 // share of Capacity that is available after a cold start
	WarmUpTime         float64 // time from a cold start until all of Capacity is available
	OverloadFactor     float64 // a cold cache fails when its load exceeds the current capacity by this factor; 0: never
	OverloadTime       float64 // time over which that load is averaged
	MaxFills           int     // limit of concurrent fills; 0: no limit
}

// Copy is a cached object, or a cached byte range of one.
type Copy struct {
	Key         string // path and range of the requests that it answers
	Object      string // name by which it is purged
	Group       int
	Bytes       int64
	Rank        int // 1 to 3; copies of a lower rank are evicted first
	Version     int64
	GeneratedAt float64 // lower bound of the time at which the origin generated it
	Lifetime    float64 // freshness lifetime; 0: fresh until purged
	element     *list.Element
}

// Fill is a fill in flight.
type Fill struct {
	Key     string
	Started float64
	Joined  int
}

// Cache is a model of one cache. Use New to create one.
type Cache struct {
	settings      Settings
	coldSince     float64 // time of the cold start; 0: the cache was warm from the start
	usedBytes     int64
	copies        map[string]*Copy
	byRank        [4]*list.List // per rank, least recently used first
	byObject      map[string]map[string]*Copy
	byGroup       map[int]map[string]*Copy
	objectPurges  map[string]float64 // time of the last purge per object: older copies that arrive later are rejected
	groupPurges   map[int]float64    // the same per group
	fills         map[string]*Fill
	fillsInFlight int

	attempts   []attempt // within the last OverloadTime
	recentWork float64   // sum of the work of attempts
	failed     bool

	Hits, Misses, Evicted, Purged int
}

type attempt struct{ time, work float64 }

// New returns an empty cache. A warm one has its full capacity; any other has a cold start
// at the time now.
func New(settings Settings, now float64, warm bool) *Cache {
	c := &Cache{settings: settings, copies: map[string]*Copy{}, byObject: map[string]map[string]*Copy{},
		byGroup: map[int]map[string]*Copy{}, objectPurges: map[string]float64{}, groupPurges: map[int]float64{},
		fills: map[string]*Fill{}}
	for i := range c.byRank {
		c.byRank[i] = list.New()
	}
	if !warm {
		c.coldSince = max(now, 1e-9)
	}
	return c
}

// CapacityShare returns the share of Settings.Capacity that is available now.
func (c *Cache) CapacityShare(now float64) float64 {
	if c.coldSince == 0 || c.settings.WarmUpTime <= 0 || now-c.coldSince >= c.settings.WarmUpTime {
		return 1
	}
	return c.settings.WarmUpInitialShare + (1-c.settings.WarmUpInitialShare)*max(now-c.coldSince, 0)/c.settings.WarmUpTime
}

// Capacity returns the sending time, in ms per ms, that the cache can handle now.
func (c *Cache) Capacity(now float64) float64 { return c.settings.Capacity * c.CapacityShare(now) }

// RecordAttempt records an attempt that takes the given sending time, in ms, and reports
// whether the cache has failed. A cache that is warming up fails when it is sent more than
// OverloadFactor times its capacity over OverloadTime, and doesn't recover.
func (c *Cache) RecordAttempt(now, work float64) (failed bool) {
	if c.failed {
		return true
	}
	if c.settings.OverloadFactor <= 0 || c.CapacityShare(now) >= 1 {
		c.attempts, c.recentWork = c.attempts[:0], 0
		return false
	}
	c.attempts = append(c.attempts, attempt{now, work})
	c.recentWork += work
	expired := 0
	for expired < len(c.attempts) && c.attempts[expired].time <= now-c.settings.OverloadTime {
		c.recentWork -= c.attempts[expired].work
		expired++
	}
	c.attempts = c.attempts[expired:]
	// A single attempt, however large, is not a sustained overload.
	c.failed = len(c.attempts) > 1 && c.recentWork > c.settings.OverloadFactor*c.Capacity(now)*c.settings.OverloadTime
	return c.failed
}

// Failed reports whether the cache has failed because of overload.
func (c *Cache) Failed() bool { return c.failed }

// Lookup returns the copy of a key if it is at most age old, and nil otherwise. It marks the
// copy as used, and a rank from 1 to 3 replaces the rank of the copy.
func (c *Cache) Lookup(now float64, key string, age float64, rank int) *Copy {
	item := c.copies[key]
	if item == nil || now-item.GeneratedAt > age {
		c.Misses++
		return nil
	}
	c.Hits++
	if rank < 1 || rank > 3 {
		rank = item.Rank
	}
	c.byRank[item.Rank].Remove(item.element)
	item.Rank = rank
	item.element = c.byRank[rank].PushBack(item)
	return item
}

// BeginFill starts a fill of a key. It returns nil if MaxFills are in flight.
func (c *Cache) BeginFill(now float64, key string) *Fill {
	if c.settings.MaxFills > 0 && c.fillsInFlight >= c.settings.MaxFills {
		return nil
	}
	c.fillsInFlight++
	f := &Fill{Key: key, Started: now}
	if c.fills[key] == nil {
		c.fills[key] = f
	}
	return f
}

// PendingFill returns the fill of a key that is in flight and that requests may join, or nil.
func (c *Cache) PendingFill(key string) *Fill { return c.fills[key] }

// FillsInFlight returns the number of fills in flight.
func (c *Cache) FillsInFlight() int { return c.fillsInFlight }

// EndFill ends a fill and stores the copy that it fetched, if any. The copy is not kept if a
// later purge covers it, a newer copy is stored, or it doesn't fit even after all copies of
// the same and lower ranks are evicted.
func (c *Cache) EndFill(now float64, f *Fill, item *Copy) (kept bool) {
	c.fillsInFlight--
	if c.fills[f.Key] == f {
		delete(c.fills, f.Key)
	}
	return item != nil && c.keep(item)
}

func (c *Cache) keep(item *Copy) bool {
	if item.Rank < 1 || item.Rank > 3 || item.Bytes > c.settings.Bytes {
		return false
	}
	if purgedAt, ok := c.objectPurges[item.Object]; ok && item.GeneratedAt < purgedAt {
		return false
	}
	if purgedAt, ok := c.groupPurges[item.Group]; ok && item.GeneratedAt < purgedAt {
		return false
	}
	if present := c.copies[item.Key]; present != nil {
		if present.GeneratedAt > item.GeneratedAt { // a faster fill has stored a newer copy
			return false
		}
		c.drop(present)
	}
	room := c.settings.Bytes - c.usedBytes
	for r := 1; r <= item.Rank; r++ {
		for e := c.byRank[r].Front(); e != nil && room < item.Bytes; e = e.Next() {
			room += e.Value.(*Copy).Bytes
		}
	}
	if room < item.Bytes {
		return false
	}
	for r := 1; r <= item.Rank && c.settings.Bytes-c.usedBytes < item.Bytes; r++ {
		for c.settings.Bytes-c.usedBytes < item.Bytes && c.byRank[r].Len() > 0 {
			c.drop(c.byRank[r].Front().Value.(*Copy))
			c.Evicted++
		}
	}
	c.copies[item.Key] = item
	c.usedBytes += item.Bytes
	item.element = c.byRank[item.Rank].PushBack(item)
	index(c.byObject, item.Object, item)
	index(c.byGroup, item.Group, item)
	return true
}

func index[K comparable](m map[K]map[string]*Copy, k K, item *Copy) {
	if m[k] == nil {
		m[k] = map[string]*Copy{}
	}
	m[k][item.Key] = item
}

func unindex[K comparable](m map[K]map[string]*Copy, k K, item *Copy) {
	if delete(m[k], item.Key); len(m[k]) == 0 {
		delete(m, k)
	}
}

func (c *Cache) drop(item *Copy) {
	delete(c.copies, item.Key)
	c.usedBytes -= item.Bytes
	c.byRank[item.Rank].Remove(item.element)
	unindex(c.byObject, item.Object, item)
	unindex(c.byGroup, item.Group, item)
}

// Purge drops the copies of an object, or of a group if object is empty, that are older than
// purgedAt, the time of the purge. Such a copy is also not kept when a fill that is in flight
// brings it later.
func (c *Cache) Purge(object string, group int, purgedAt float64) (dropped int) {
	set := c.byGroup[group]
	if object != "" {
		set = c.byObject[object]
		c.objectPurges[object] = max(c.objectPurges[object], purgedAt)
	} else {
		c.groupPurges[group] = max(c.groupPurges[group], purgedAt)
	}
	for _, item := range set {
		if item.GeneratedAt < purgedAt {
			c.drop(item)
			dropped++
		}
	}
	c.Purged += dropped
	return dropped
}

// ForgetPurges discards the records of purges made before the given time.
func (c *Cache) ForgetPurges(before float64) {
	for object, purgedAt := range c.objectPurges {
		if purgedAt < before {
			delete(c.objectPurges, object)
		}
	}
	for group, purgedAt := range c.groupPurges {
		if purgedAt < before {
			delete(c.groupPurges, group)
		}
	}
}

// Usage returns the total size and the number of the stored copies.
func (c *Cache) Usage() (bytes int64, copies int) { return c.usedBytes, len(c.copies) }

// Check verifies that the indexes and the accounted size agree with each other.
func (c *Cache) Check() error {
	var total int64
	n := 0
	for r, copies := range c.byRank {
		for e := copies.Front(); e != nil; e = e.Next() {
			item := e.Value.(*Copy)
			if item.Rank != r || c.copies[item.Key] != item || c.byObject[item.Object][item.Key] != item || c.byGroup[item.Group][item.Key] != item {
				return fmt.Errorf("httpcache: copy %q is not in all indexes under its rank, object and group", item.Key)
			}
			total += item.Bytes
			n++
		}
	}
	if total != c.usedBytes || n != len(c.copies) || total > c.settings.Bytes {
		return fmt.Errorf("httpcache: the rank lists have %d copies of %d bytes, the index has %d of %d, limit %d bytes", n, total, len(c.copies), c.usedBytes, c.settings.Bytes)
	}
	return nil
}
