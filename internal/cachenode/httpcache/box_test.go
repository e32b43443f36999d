package httpcache

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func put(cache *Cache, now float64, key string, rank int, bytes int64, generatedAt float64) bool {
	f := cache.BeginFill(now, key)
	return cache.EndFill(now, f, &Copy{Key: key, Object: key, Group: 1, Bytes: bytes, Rank: rank, Version: 1, GeneratedAt: generatedAt})
}

func TestRanksAndUse(t *testing.T) {
	cache := New(Settings{Bytes: 100}, 0, true)
	put(cache, 1, "low", 1, 40, 1)
	put(cache, 2, "high", 3, 40, 2)
	if put(cache, 3, "mid", 2, 80, 3) {
		t.Fatal("room was made from a copy of higher rank")
	}
	if cache.Lookup(4, "low", 100, 0) == nil {
		t.Fatal("what could not be kept made room all the same")
	}
	if !put(cache, 5, "mid", 2, 60, 5) || cache.Lookup(6, "low", 100, 0) != nil || cache.Lookup(6, "high", 100, 0) == nil {
		t.Fatal("the lowest rank did not make room")
	}
}

func TestAgeAndPurge(t *testing.T) {
	cache := New(Settings{Bytes: 100}, 0, true)
	put(cache, 10, "a", 1, 1, 10)
	if cache.Lookup(30, "a", 19, 0) != nil || cache.Lookup(30, "a", 20, 0) == nil {
		t.Fatal("age is not heeded")
	}
	if cache.Purge("a", 0, 10) != 0 || cache.Purge("a", 0, 11) != 1 {
		t.Fatal("a purge drops what is older, and nothing else")
	}
	if put(cache, 40, "a", 1, 1, 10.5) {
		t.Fatal("a copy that a purge has overtaken was kept")
	}
	if !put(cache, 41, "a", 1, 1, 12) {
		t.Fatal("a newer copy was not kept")
	}
	if put(cache, 42, "a", 1, 1, 11.5) {
		t.Fatal("a slower fill of an older copy replaced a newer one")
	}
	if cache.Purge("", 1, 13) != 1 {
		t.Fatal("a purge of the group missed")
	}
}

func TestOverload(t *testing.T) {
	settings := Settings{Capacity: 2, WarmUpInitialShare: 0.2, WarmUpTime: 10000, OverloadFactor: 4, OverloadTime: 1000}
	cache := New(settings, 1, false)
	now := 1.0
	for range 1000 { // a warm one's whole load, a little under the multiple of what it has
		if now++; cache.RecordAttempt(now, 4*0.2*2*0.99) {
			t.Fatalf("fell over at %v, within its budget", now)
		}
	}
	cache = New(settings, 1, false)
	failedAt := 0.0
	for now = 1; failedAt == 0 && now < 2000; now++ {
		if cache.RecordAttempt(now, 4*0.2*2*1.6) {
			failedAt = now
		}
	}
	if failedAt < 800 || failedAt > 1010 || !cache.RecordAttempt(1e6, 0) {
		t.Fatalf("fell over at %v (fallen for good: %v)", failedAt, cache.Failed())
	}
	if New(settings, 0, true).RecordAttempt(1, 1e9) {
		t.Fatal("a warm box fell over")
	}
}

func TestFillsAndJoins(t *testing.T) {
	cache := New(Settings{Bytes: 10, MaxFills: 2}, 0, true)
	first := cache.BeginFill(1, "a")
	second := cache.BeginFill(2, "a")
	if cache.PendingFill("a") != first || cache.BeginFill(3, "b") != nil {
		t.Fatal("the first fill of a key is the one to join, and places are limited")
	}
	cache.EndFill(4, second, nil)
	if cache.PendingFill("a") != first || cache.FillsInFlight() != 1 {
		t.Fatal("another fill's end took the first's place")
	}
	cache.EndFill(5, first, nil)
	if cache.PendingFill("a") != nil || cache.FillsInFlight() != 0 {
		t.Fatal("an ended fill is still under way")
	}
}

// Whatever comes, the books agree, nothing older than a purge is found, and
// the store never holds more than it can.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cache := New(Settings{Bytes: 200}, 0, true)
		now := 100.0
		purgedAt := map[string]float64{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now++
			key := fmt.Sprintf("k%d", rapid.IntRange(0, 9).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				put(cache, now, key, rapid.IntRange(0, 3).Draw(t, "rank"), int64(rapid.IntRange(1, 90).Draw(t, "bytes")),
					now-float64(rapid.IntRange(0, 20).Draw(t, "old")))
			case 2:
				if item := cache.Lookup(now, key, 1e9, rapid.IntRange(0, 3).Draw(t, "rank")); item != nil && item.GeneratedAt < purgedAt[key] {
					t.Fatalf("found a copy of %v, purged at %v", item.GeneratedAt, purgedAt[key])
				}
			case 3:
				at := now - float64(rapid.IntRange(0, 10).Draw(t, "ago"))
				cache.Purge(key, 0, at)
				purgedAt[key] = max(purgedAt[key], at)
			}
			if err := cache.Check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
