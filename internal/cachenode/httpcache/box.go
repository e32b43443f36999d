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
	at          *list.Element
}

// Fill is a fill under way.
type Fill struct {
	Key     string
	Started float64
	Joined  int
}

// Cache is one cache. See New.
type Cache struct {
	s       Settings
	started float64 // of the cold start; 0: it is warm
	held    int64
	copies  map[string]*Copy
	ranks   [4]*list.List // by rank, the longest unused first
	objects map[string]map[string]*Copy
	groups  map[int]map[string]*Copy
	purges  map[string]float64 // when objects were purged, to turn away copies that come later
	purged  map[int]float64
	fills   map[string]*Fill
	filling int

	arrivals []arrival // in the window of FallTime
	load     float64
	fallen   bool

	Hits, Misses, Evicted, Purged int
}

type arrival struct{ at, work float64 }

// New makes an empty box. Warm says that it has been up for long; otherwise it
// starts cold at the time now.
func New(s Settings, now float64, warm bool) *Cache {
	b := &Cache{s: s, copies: map[string]*Copy{}, objects: map[string]map[string]*Copy{},
		groups: map[int]map[string]*Copy{}, purges: map[string]float64{}, purged: map[int]float64{},
		fills: map[string]*Fill{}}
	for i := range b.ranks {
		b.ranks[i] = list.New()
	}
	if !warm {
		b.started = max(now, 1e-9)
	}
	return b
}

// CapacityShare is the part of its capacity that the box has now.
func (b *Cache) CapacityShare(now float64) float64 {
	if b.started == 0 || b.s.WarmUpTime <= 0 || now-b.started >= b.s.WarmUpTime {
		return 1
	}
	return b.s.WarmUpInitialShare + (1-b.s.WarmUpInitialShare)*max(now-b.started, 0)/b.s.WarmUpTime
}

// Capacity is the sending time, ms a ms, that the box bears now.
func (b *Cache) Capacity(now float64) float64 { return b.s.Capacity * b.CapacityShare(now) }

// RecordAttempt counts an attempt of so much work. It reports whether the box has
// fallen over: it was sent more than FallFactor times what it could do in the
// last FallTime, while cold. A fallen box stays down.
func (b *Cache) RecordAttempt(now, work float64) (fallen bool) {
	if b.fallen {
		return true
	}
	if b.s.OverloadFactor <= 0 || b.CapacityShare(now) >= 1 {
		b.arrivals, b.load = b.arrivals[:0], 0
		return false
	}
	b.arrivals = append(b.arrivals, arrival{now, work})
	b.load += work
	gone := 0
	for gone < len(b.arrivals) && b.arrivals[gone].at <= now-b.s.OverloadTime {
		b.load -= b.arrivals[gone].work
		gone++
	}
	b.arrivals = b.arrivals[gone:]
	// a single attempt of any size is no overload that lasts
	b.fallen = len(b.arrivals) > 1 && b.load > b.s.OverloadFactor*b.Capacity(now)*b.s.OverloadTime
	return b.fallen
}

// Failed reports whether the box has fallen over.
func (b *Cache) Failed() bool { return b.fallen }

// Lookup returns a copy that is at most age old, nil where there is none. Its
// use counts, and a rank above 0 becomes its own.
func (b *Cache) Lookup(now float64, key string, age float64, rank int) *Copy {
	c := b.copies[key]
	if c == nil || now-c.GeneratedAt > age {
		b.Misses++
		return nil
	}
	b.Hits++
	if rank < 1 || rank > 3 {
		rank = c.Rank
	}
	b.ranks[c.Rank].Remove(c.at)
	c.Rank = rank
	c.at = b.ranks[rank].PushBack(c)
	return c
}

// BeginFill starts a fill of a key, unless as many run as may: then it returns nil.
func (b *Cache) BeginFill(now float64, key string) *Fill {
	if b.s.MaxFills > 0 && b.filling >= b.s.MaxFills {
		return nil
	}
	b.filling++
	f := &Fill{Key: key, Started: now}
	if b.fills[key] == nil {
		b.fills[key] = f
	}
	return f
}

// Under is the fill of a key that is under way, or nil.
func (b *Cache) Under(key string) *Fill { return b.fills[key] }

// FillsInFlight is how many fills run.
func (b *Cache) FillsInFlight() int { return b.filling }

// EndFill ends a fill. The copy it brought is kept, where there is one, unless a
// purge has overtaken it, or there is no room among what ranks no higher.
func (b *Cache) EndFill(now float64, f *Fill, c *Copy) (kept bool) {
	b.filling--
	if b.fills[f.Key] == f {
		delete(b.fills, f.Key)
	}
	return c != nil && b.keep(c)
}

func (b *Cache) keep(c *Copy) bool {
	if c.Rank < 1 || c.Rank > 3 || c.Bytes > b.s.Bytes {
		return false
	}
	if at, ok := b.purges[c.Object]; ok && c.GeneratedAt < at {
		return false
	}
	if at, ok := b.purged[c.Group]; ok && c.GeneratedAt < at {
		return false
	}
	if old := b.copies[c.Key]; old != nil {
		if old.GeneratedAt > c.GeneratedAt { // a slower fill of an older version
			return false
		}
		b.drop(old)
	}
	room := b.s.Bytes - b.held
	for r := 1; r <= c.Rank; r++ {
		for e := b.ranks[r].Front(); e != nil && room < c.Bytes; e = e.Next() {
			room += e.Value.(*Copy).Bytes
		}
	}
	if room < c.Bytes {
		return false
	}
	for r := 1; r <= c.Rank && b.s.Bytes-b.held < c.Bytes; r++ {
		for b.s.Bytes-b.held < c.Bytes && b.ranks[r].Len() > 0 {
			b.drop(b.ranks[r].Front().Value.(*Copy))
			b.Evicted++
		}
	}
	b.copies[c.Key] = c
	b.held += c.Bytes
	c.at = b.ranks[c.Rank].PushBack(c)
	index(b.objects, c.Object, c)
	index(b.groups, c.Group, c)
	return true
}

func index[K comparable](m map[K]map[string]*Copy, k K, c *Copy) {
	if m[k] == nil {
		m[k] = map[string]*Copy{}
	}
	m[k][c.Key] = c
}

func unindex[K comparable](m map[K]map[string]*Copy, k K, c *Copy) {
	if delete(m[k], c.Key); len(m[k]) == 0 {
		delete(m, k)
	}
}

func (b *Cache) drop(c *Copy) {
	delete(b.copies, c.Key)
	b.held -= c.Bytes
	b.ranks[c.Rank].Remove(c.at)
	unindex(b.objects, c.Object, c)
	unindex(b.groups, c.Group, c)
}

// Purge drops the copies of an object, or with no object those of a group,
// that are older than the time at which it was made; a fill under way that
// brings such a copy will not be kept.
func (b *Cache) Purge(object string, group int, made float64) (dropped int) {
	set := b.groups[group]
	if object != "" {
		set = b.objects[object]
		b.purges[object] = max(b.purges[object], made)
	} else {
		b.purged[group] = max(b.purged[group], made)
	}
	for _, c := range set {
		if c.GeneratedAt < made {
			b.drop(c)
			dropped++
		}
	}
	b.Purged += dropped
	return dropped
}

// Forget drops what is remembered of purges made before a time.
func (b *Cache) Forget(before float64) {
	for k, at := range b.purges {
		if at < before {
			delete(b.purges, k)
		}
	}
	for k, at := range b.purged {
		if at < before {
			delete(b.purged, k)
		}
	}
}

// Usage is the bytes and the copies that the store holds.
func (b *Cache) Usage() (bytes int64, copies int) { return b.held, len(b.copies) }

// Check looks whether the books agree with one another.
func (b *Cache) Check() error {
	var sum int64
	n := 0
	for r, l := range b.ranks {
		for e := l.Front(); e != nil; e = e.Next() {
			c := e.Value.(*Copy)
			if c.Rank != r || b.copies[c.Key] != c || b.objects[c.Object][c.Key] != c || b.groups[c.Group][c.Key] != c {
				return fmt.Errorf("box: copy %q is in the wrong place", c.Key)
			}
			sum += c.Bytes
			n++
		}
	}
	if sum != b.held || n != len(b.copies) || sum > b.s.Bytes {
		return fmt.Errorf("box: %d copies of %d bytes, booked %d of %d, room %d", n, sum, len(b.copies), b.held, b.s.Bytes)
	}
	return nil
}
