package httpcache

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func put(b *Cache, now float64, key string, rank int, bytes int64, born float64) bool {
	f := b.BeginFill(now, key)
	return b.EndFill(now, f, &Copy{Key: key, Object: key, Group: 1, Bytes: bytes, Rank: rank, Version: 1, GeneratedAt: born})
}

func TestRanksAndUse(t *testing.T) {
	b := New(Settings{Bytes: 100}, 0, true)
	put(b, 1, "low", 1, 40, 1)
	put(b, 2, "high", 3, 40, 2)
	if put(b, 3, "mid", 2, 80, 3) {
		t.Fatal("room was made from a copy of higher rank")
	}
	if b.Lookup(4, "low", 100, 0) == nil {
		t.Fatal("what could not be kept made room all the same")
	}
	if !put(b, 5, "mid", 2, 60, 5) || b.Lookup(6, "low", 100, 0) != nil || b.Lookup(6, "high", 100, 0) == nil {
		t.Fatal("the lowest rank did not make room")
	}
}

func TestAgeAndPurge(t *testing.T) {
	b := New(Settings{Bytes: 100}, 0, true)
	put(b, 10, "a", 1, 1, 10)
	if b.Lookup(30, "a", 19, 0) != nil || b.Lookup(30, "a", 20, 0) == nil {
		t.Fatal("age is not heeded")
	}
	if b.Purge("a", 0, 10) != 0 || b.Purge("a", 0, 11) != 1 {
		t.Fatal("a purge drops what is older, and nothing else")
	}
	if put(b, 40, "a", 1, 1, 10.5) {
		t.Fatal("a copy that a purge has overtaken was kept")
	}
	if !put(b, 41, "a", 1, 1, 12) {
		t.Fatal("a newer copy was not kept")
	}
	if put(b, 42, "a", 1, 1, 11.5) {
		t.Fatal("a slower fill of an older copy replaced a newer one")
	}
	if b.Purge("", 1, 13) != 1 {
		t.Fatal("a purge of the group missed")
	}
}

func TestFallsOver(t *testing.T) {
	s := Settings{Capacity: 2, WarmUpInitialShare: 0.2, WarmUpTime: 10000, OverloadFactor: 4, OverloadTime: 1000}
	b := New(s, 1, false)
	now := 1.0
	for range 1000 { // a warm one's whole load, a little under the multiple of what it has
		if now++; b.RecordAttempt(now, 4*0.2*2*0.99) {
			t.Fatalf("fell over at %v, within its budget", now)
		}
	}
	b = New(s, 1, false)
	fell := 0.0
	for now = 1; fell == 0 && now < 2000; now++ {
		if b.RecordAttempt(now, 4*0.2*2*1.6) {
			fell = now
		}
	}
	if fell < 800 || fell > 1010 || !b.RecordAttempt(1e6, 0) {
		t.Fatalf("fell over at %v (fallen for good: %v)", fell, b.Failed())
	}
	if New(s, 0, true).RecordAttempt(1, 1e9) {
		t.Fatal("a warm box fell over")
	}
}

func TestFillsAndJoins(t *testing.T) {
	b := New(Settings{Bytes: 10, MaxFills: 2}, 0, true)
	one := b.BeginFill(1, "a")
	two := b.BeginFill(2, "a")
	if b.Under("a") != one || b.BeginFill(3, "b") != nil {
		t.Fatal("the first fill of a key is the one to join, and places are limited")
	}
	b.EndFill(4, two, nil)
	if b.Under("a") != one || b.FillsInFlight() != 1 {
		t.Fatal("another fill's end took the first's place")
	}
	b.EndFill(5, one, nil)
	if b.Under("a") != nil || b.FillsInFlight() != 0 {
		t.Fatal("an ended fill is still under way")
	}
}

// Whatever comes, the books agree, nothing older than a purge is found, and
// the store never holds more than it can.
func TestRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Settings{Bytes: 200}, 0, true)
		now := 100.0
		cut := map[string]float64{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now++
			key := fmt.Sprintf("k%d", rapid.IntRange(0, 9).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				put(b, now, key, rapid.IntRange(0, 3).Draw(t, "rank"), int64(rapid.IntRange(1, 90).Draw(t, "bytes")),
					now-float64(rapid.IntRange(0, 20).Draw(t, "old")))
			case 2:
				if c := b.Lookup(now, key, 1e9, rapid.IntRange(0, 3).Draw(t, "rank")); c != nil && c.GeneratedAt < cut[key] {
					t.Fatalf("found a copy of %v, purged at %v", c.GeneratedAt, cut[key])
				}
			case 3:
				made := now - float64(rapid.IntRange(0, 10).Draw(t, "ago"))
				b.Purge(key, 0, made)
				cut[key] = max(cut[key], made)
			}
			if err := b.Check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
