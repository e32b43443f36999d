package httpcache

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Values of the parameter warm of New.
const (
	warm = true
	cold = false
)

// put begins and ends a fill of a copy at the time now, and reports whether the copy was kept.
func put(cache *Cache, now float64, key string, rank int, bytes int64, generatedAt float64) bool {
	f := cache.BeginFill(now, key)
	return cache.EndFill(now, f, &Copy{Key: key, Object: key, Group: 1, Bytes: bytes, Rank: rank, Version: 1, GeneratedAt: generatedAt})
}

func TestRanksAndUse(t *testing.T) {
	cache := New(Settings{Bytes: 100}, 0, warm)
	put(cache, 1, "low", 1, 40, 1)
	put(cache, 2, "high", 3, 40, 2)
	if put(cache, 3, "mid", 2, 80, 3) {
		t.Fatal("a copy of a higher rank was evicted")
	}
	if cache.Lookup(4, "low", 100, 0) == nil {
		t.Fatal("a copy was evicted for one that does not fit")
	}
	if !put(cache, 5, "mid", 2, 60, 5) || cache.Lookup(6, "low", 100, 0) != nil || cache.Lookup(6, "high", 100, 0) == nil {
		t.Fatal("the copy of the lowest rank was not evicted, or another one was")
	}
}

func TestAgeAndPurge(t *testing.T) {
	cache := New(Settings{Bytes: 100}, 0, warm)
	put(cache, 10, "a", 1, 1, 10)
	if cache.Lookup(30, "a", 19, 0) != nil || cache.Lookup(30, "a", 20, 0) == nil {
		t.Fatal("a copy was found above its maximum age, or not found at it")
	}
	if cache.Purge("a", 0, 10) != 0 || cache.Purge("a", 0, 11) != 1 {
		t.Fatal("a purge did not drop exactly the older copies")
	}
	if put(cache, 40, "a", 1, 1, 10.5) {
		t.Fatal("a copy older than the last purge was kept")
	}
	if !put(cache, 41, "a", 1, 1, 12) {
		t.Fatal("a newer copy was not kept")
	}
	if put(cache, 42, "a", 1, 1, 11.5) {
		t.Fatal("a slower fill of an older copy replaced a newer one")
	}
	if cache.Purge("", 1, 13) != 1 {
		t.Fatal("a purge of the group did not drop its copy")
	}
}

func TestOverload(t *testing.T) {
	settings := Settings{Capacity: 2, WarmUpInitialShare: 0.2, WarmUpTime: 10000, OverloadFactor: 4, OverloadTime: 1000}
	cache := New(settings, 1, cold)
	now := 1.0
	for range 1000 { // just below OverloadFactor times the initial capacity
		if now++; cache.RecordAttempt(now, 4*0.2*2*0.99) {
			t.Fatalf("failed at %v ms although the load is below the limit", now)
		}
	}
	cache = New(settings, 1, cold)
	failedAt := 0.0
	for now = 1; failedAt == 0 && now < 2000; now++ {
		if cache.RecordAttempt(now, 4*0.2*2*1.6) {
			failedAt = now
		}
	}
	if failedAt < 800 || failedAt > 1010 || !cache.RecordAttempt(1e6, 0) {
		t.Fatalf("failed at %v ms, want 800 to 1010; still failed: %v", failedAt, cache.Failed())
	}
	if New(settings, 0, warm).RecordAttempt(1, 1e9) {
		t.Fatal("a warm cache failed because of overload")
	}
}

func TestFillsAndJoins(t *testing.T) {
	cache := New(Settings{Bytes: 10, MaxFills: 2}, 0, warm)
	first := cache.BeginFill(1, "a")
	second := cache.BeginFill(2, "a")
	if cache.PendingFill("a") != first || cache.BeginFill(3, "b") != nil {
		t.Fatal("the pending fill is not the first one of its key, or MaxFills is exceeded")
	}
	cache.EndFill(4, second, nil)
	if cache.PendingFill("a") != first || cache.FillsInFlight() != 1 {
		t.Fatal("the end of a second fill of the key removed the first one")
	}
	cache.EndFill(5, first, nil)
	if cache.PendingFill("a") != nil || cache.FillsInFlight() != 0 {
		t.Fatal("an ended fill is still in flight")
	}
}

// After any sequence of fills, lookups and purges the indexes agree with each other, the size
// limit is kept, and no copy older than a purge of its object is found.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cache := New(Settings{Bytes: 200}, 0, warm)
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
					t.Fatalf("found a copy generated at %v, purged at %v", item.GeneratedAt, purgedAt[key])
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
