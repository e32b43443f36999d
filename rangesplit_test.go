package indigospool

import (
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// TestSplitPoints checks the split points of some histograms and, for random ones, that the share of each
// range differs from the ideal one by at most the cost of one part index.
func TestSplitPoints(t *testing.T) {
	for _, c := range []struct {
		cost []float64
		n    int
		want []int
	}{
		{[]float64{1, 1, 1, 1}, 2, []int{2}},
		{[]float64{4, 1, 1, 1, 1}, 2, []int{1}},
		{[]float64{1, 1, 1, 1, 1, 1}, 3, []int{2, 4}},
		{[]float64{5}, 1, []int{}},
		{[]float64{1, 1}, 4, []int{1, 1, 2}},
	} {
		if got := splitPoints(c.cost, c.n); !slices.Equal(got, c.want) {
			t.Errorf("splitPoints(%v, %d) = %v, want %v", c.cost, c.n, got, c.want)
		}
	}
	rng := rand.New(rand.NewSource(1))
	for range 500 {
		cost, sum, most := make([]float64, 1+rng.Intn(20)), 0.0, 0.0
		for x := range cost {
			cost[x] = rng.Float64()
			sum, most = sum+cost[x], max(most, cost[x])
		}
		n := 1 + rng.Intn(6)
		points := append(splitPoints(cost, n), len(cost))
		from := 0
		for _, to := range points {
			if to < from {
				t.Fatalf("split points %v are not in ascending order", points)
			}
			share := 0.0
			for _, c := range cost[from:to] {
				share += c
			}
			if d := share - sum/float64(n); d > most+1e-9 || d < -most-1e-9 {
				t.Fatalf("cost %v in %d ranges: share %v is off by more than the cost of one index", cost, n, share)
			}
			from = to
		}
	}
}

// TestRanges checks that parts are placed by a hash until the first window closes, and then by
// contiguous ranges that are the same for all objects and don't move while the load is unchanged.
func TestRanges(t *testing.T) {
	rig := newRig(t, testSettings())
	serve := func(object string, part int) string {
		id, actions := rig.request("video", object, part)
		send := rig.onlySend(actions)
		rig.handle(Outcome{ID: id, Cache: send.Cache, Result: OK, Took: 100, Last: true, Note: NoteHit})
		return send.Cache
	}
	first := map[string]bool{}
	for part := range 12 {
		first[serve("a", part)] = true
	}
	if len(first) < 2 {
		t.Errorf("before the first window closes, all parts go to the same cache: %v", first)
	}
	for i := range 400 {
		serve(fmt.Sprint("o", i/12), i%12)
		rig.wait(25)
	}
	before := slices.Clone(rig.router.layout.splits)
	for i := range 600 {
		serve(fmt.Sprint("o", i/12), i%12)
		rig.wait(25)
	}
	if !slices.Equal(before, rig.router.layout.splits) {
		t.Errorf("an unchanged load moved %v to %v", before, rig.router.layout.splits)
	}
	previous := 0
	for part := range 40 {
		cache := serve("b", part)
		index := slices.IndexFunc(rig.router.byRole[edge], func(member *member) bool { return member.ID == cache })
		if index < previous {
			t.Fatalf("part %d goes to %s, which precedes the cache of the part before", part, cache)
		}
		previous = index
		if other := serve("c", part); other != cache {
			t.Fatalf("part %d of two objects goes to %s and %s", part, cache, other)
		}
	}
	if previous != 2 {
		t.Errorf("the last range belongs to cache %d, want 2", previous)
	}
	rig.handle(Members{Rows: []Member{{ID: "e2", Zone: "z1", Kind: "box", State: Removed}}})
	if len(rig.router.layout.splits) != 1 {
		t.Errorf("after the removal of a cache: splits %v, want one", rig.router.layout.splits)
	}
}

// TestFirstWindowGrowsWithRouters checks that a router computes its first ranges from more requests if
// more routers share the caches of the zone.
func TestFirstWindowGrowsWithRouters(t *testing.T) {
	for _, test := range []struct{ routers, requests int }{{1, 128}, {2, 128}, {20, 1280}} {
		settings := testSettings()
		settings.Routers, settings.Zones, settings.RoutersByZone = test.routers, []string{settings.Zone}, []int{test.routers}
		rig := newRig(t, settings, baseRows()...)
		for i := range test.requests {
			if rig.router.layout.ranged {
				t.Errorf("%d routers: ranges after %d requests", test.routers, i)
				break
			}
			rig.request("video", "o"+strconv.Itoa(i%7), i%9)
			rig.wait(50) // longer than windowSpan in total
		}
		if !rig.router.layout.ranged {
			t.Errorf("%d routers: no ranges after %d requests", test.routers, test.requests)
		}
	}
}

// TestReportedRanges checks that Ranges returns the ranges by which parts are placed, and nil before
// the first window has closed.
func TestReportedRanges(t *testing.T) {
	rig := newRig(t, testSettings())
	if ranges := rig.router.Ranges(); ranges != nil {
		t.Errorf("before the first window closes: %v, want nil", ranges)
	}
	caches := rig.router.byRole[edge]
	rig.router.layout = layout{caches: caches, splits: []int{2, 5}, ranged: true}
	want := []Range{{Cache: "e1", From: 0, To: 2}, {Cache: "e2", From: 2, To: 5}, {Cache: "e3", From: 5, To: -1}}
	if got := rig.router.Ranges(); !slices.Equal(got, want) {
		t.Errorf("ranges %v, want %v", got, want)
	}
	for _, r := range want {
		owner := rig.router.layout.owner(&request{Request: Request{Part: r.From}, class: rig.router.classes["video"]})
		if owner.ID != r.Cache {
			t.Errorf("part %d goes to %s, not to %s", r.From, owner.ID, r.Cache)
		}
	}
}

// What is remembered of objects grew to hundreds of MB when requests came under ever new, long names.
func TestMemoryOfLongObjectNames(t *testing.T) {
	rig := newRig(t, testSettings())
	long := strings.Repeat("x", 30000)
	for i := range 2 * maxObjects {
		rig.router.recordPart(&request{Request: Request{Object: fmt.Sprint(long[:i%30000], i)}, class: rig.router.classes["video"]})
	}
	bytes := 0
	for _, generation := range rig.router.objectDepths {
		for name := range generation {
			bytes += len(name)
		}
	}
	if limit := 2 * maxObjects * maxObjectName; bytes > limit {
		t.Errorf("%d bytes of names are remembered, want at most %d", bytes, limit)
	}
}
