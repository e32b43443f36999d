package store

import (
	"testing"

	"pgregory.net/rapid"
)

// A copy is held against every purge of the last minute that was received after the generation of
// the copy, and against no purge that was received clearly before it.
func TestPurgeTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var times purgeTimes
		received := []int64{}
		now := int64(1_000_000)
		for range rapid.IntRange(0, 60).Draw(t, "purges") {
			now += rapid.SampledFrom([]int64{0, 1, 4, 15, 2000, 70_000}).Draw(t, "pause")
			times.record(now, uint64(len(received)))
			received = append(received, now)
		}
		now += rapid.Int64Range(0, sourceDelayMillis).Draw(t, "later")
		generatedAt := now - rapid.Int64Range(0, 2*sourceDelayMillis).Draw(t, "age")
		since := times.lastBefore(now, generatedAt)
		for i, at := range received {
			covers := since < uint64(i+1)
			if !covers && at >= generatedAt && at >= now-sourceDelayMillis {
				t.Fatalf("purge %d at %d does not cover a copy generated at %d", i+1, at, generatedAt)
			}
			if covers && at < generatedAt-2*purgeTimeStepMillis {
				t.Fatalf("purge %d at %d covers a copy generated at %d", i+1, at, generatedAt)
			}
		}
	})
}

// A copy from before a purge that was retired with others is refused, if its fill began before.
// One whose fill began later is not refused for its age alone: no remaining purge selects it.
func TestOldCopyAfterRetiredRules(t *testing.T) {
	now := int64(100_000)
	s, _, err := Open(newCrashFS(), Options{MaxPurgeRules: 4, AgeClock: func() int64 { return now }})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for i := range 6 {
		now += 1000
		if _, err := s.Purge(Purge{Scope: ByTag, Text: string(rune('a' + i))}); err != nil {
			t.Fatal(err)
		}
	}
	writer, err := s.Begin(Meta{Key: "/a", Object: "/a", GeneratedAt: now - 3000}, 0)
	if err != nil {
		t.Fatal(err)
	}
	if stored, err := writer.Commit(); !stored || err != nil {
		t.Errorf("stored %v, error %v; want true, nil", stored, err)
	}
}
