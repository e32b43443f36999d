// Package httpcache is a cache's logic without I/O: what may be stored and for how long
// it may be used (RFC 9111, rfc9111.go), and a cache as simulations have it (box.go):
// ranked copies, their ages, purges, fills, requests that join them, and the warm-up
// after a cold start. A parent is a cache of another role. Time comes from the caller, in
// milliseconds on any clock that only goes forward; nothing is random.
//
// It owns what is known of copies, never their bytes: internal/testbed/testserver makes
// those from key and version, internal/cachenode/server reads them from
// internal/cachenode/store. It is not safe for concurrent use.
package httpcache

import (
	"container/list"
	"fmt"
)

// Settings is what a box is. Spans are in ms, sizes in bytes.
type Settings struct {
	Name               string
	Bytes              int64   // what the store holds
	Capacity           float64 // sending time that it bears, ms a ms, when warm
	WarmUpInitialShare float64 // part of the capacity with which it starts
	WarmUpTime         float64 // until it is warm
	OverloadFactor     float64 // it falls over at this multiple of its present capacity; 0: never
	OverloadTime       float64 // when the overload lasts this long
	MaxFills           int     // at once; 0: no limit
}

// Copy is a held object, or a part of one.
type Copy struct {
	Key         string // what is asked for: path and range
	Object      string // what a purge names
	Group       int
	Bytes       int64
	Rank        int // 1 to 3
	Version     int64
	GeneratedAt float64 // when the origin gave it, or earlier; never later
	Lifetime    float64 // for how long it is fresh; 0: until purged
	element     *list.Element
}

// Fill is a fill under way.
type Fill struct {
	Key     string
	Started float64
	Joined  int
}

// Cache is one cache. See New.
type Cache struct {
	settings      Settings
	coldSince     float64 // of the cold start; 0: it is warm
	usedBytes     int64
	copies        map[string]*Copy
	byRank        [4]*list.List // by rank, the longest unused first
	byObject      map[string]map[string]*Copy
	byGroup       map[int]map[string]*Copy
	objectPurges  map[string]float64 // when objects were purged, to turn away copies that come later
	groupPurges   map[int]float64
	fills         map[string]*Fill
	fillsInFlight int

	attempts   []attempt // in the window of FallTime
	recentWork float64
	failed     bool

	Hits, Misses, Evicted, Purged int
}

type attempt struct{ time, work float64 }

// New makes an empty box. Warm says that it has been up for long; otherwise it
// starts cold at the time now.
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

// CapacityShare is the part of its capacity that the box has now.
func (c *Cache) CapacityShare(now float64) float64 {
	if c.coldSince == 0 || c.settings.WarmUpTime <= 0 || now-c.coldSince >= c.settings.WarmUpTime {
		return 1
	}
	return c.settings.WarmUpInitialShare + (1-c.settings.WarmUpInitialShare)*max(now-c.coldSince, 0)/c.settings.WarmUpTime
}

// Capacity is the sending time, ms a ms, that the box bears now.
func (c *Cache) Capacity(now float64) float64 { return c.settings.Capacity * c.CapacityShare(now) }

// RecordAttempt counts an attempt of so much work. It reports whether the box has
// failed over: it was sent more than FallFactor times what it could do in the
// last FallTime, while cold. A fallen box stays down.
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
	// a single attempt of any size is no overload that lasts
	c.failed = len(c.attempts) > 1 && c.recentWork > c.settings.OverloadFactor*c.Capacity(now)*c.settings.OverloadTime
	return c.failed
}

// Failed reports whether the box has fallen over.
func (c *Cache) Failed() bool { return c.failed }

// Lookup returns a copy that is at most age old, nil where there is none. Its
// use counts, and a rank above 0 becomes its own.
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

// BeginFill starts a fill of a key, unless as many run as may: then it returns nil.
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

// PendingFill is the fill of a key that is under way, or nil.
func (c *Cache) PendingFill(key string) *Fill { return c.fills[key] }

// FillsInFlight is how many fills run.
func (c *Cache) FillsInFlight() int { return c.fillsInFlight }

// EndFill ends a fill. The copy it brought is kept, where there is one, unless a
// purge has overtaken it, or there is no room among what ranks no higher.
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
		if present.GeneratedAt > item.GeneratedAt { // a slower fill of an older version
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

// Purge drops the copies of an object, or with no object those of a group,
// that are older than the time at which it was made; a fill under way that
// brings such a copy will not be kept.
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

// ForgetPurges drops what is remembered of purges made before a time.
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

// Usage is the bytes and the copies that the store holds.
func (c *Cache) Usage() (bytes int64, copies int) { return c.usedBytes, len(c.copies) }

// Check looks whether the books agree with one another.
func (c *Cache) Check() error {
	var total int64
	n := 0
	for r, list := range c.byRank {
		for e := list.Front(); e != nil; e = e.Next() {
			item := e.Value.(*Copy)
			if item.Rank != r || c.copies[item.Key] != item || c.byObject[item.Object][item.Key] != item || c.byGroup[item.Group][item.Key] != item {
				return fmt.Errorf("box: copy %q is in the wrong place", item.Key)
			}
			total += item.Bytes
			n++
		}
	}
	if total != c.usedBytes || n != len(c.copies) || total > c.settings.Bytes {
		return fmt.Errorf("box: %d copies of %d bytes, booked %d of %d, room %d", n, total, len(c.copies), c.usedBytes, c.settings.Bytes)
	}
	return nil
}
