package indigospool

import (
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"testing"
)

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
				t.Fatalf("points %v go back", points)
			}
			share := 0.0
			for _, c := range cost[from:to] {
				share += c
			}
			if d := share - sum/float64(n); d > most+1e-9 || d < -most-1e-9 {
				t.Fatalf("cost %v in %d: share %v off by more than an index", cost, n, share)
			}
			from = to
		}
	}
}

// TestRanges checks that parts of all objects go by contiguous ranges once a
// window has closed, by a hash before, and that an unchanged load moves none.
func TestRanges(t *testing.T) {
	g := newRig(t, testSettings())
	serve := func(object string, part int) string {
		id, acts := g.ask("video", object, part)
		s := g.one(acts)
		g.do(Outcome{ID: id, Cache: s.Cache, Result: OK, Took: 100, Last: true, Note: NoteHit})
		return s.Cache
	}
	first := map[string]bool{}
	for x := range 12 {
		first[serve("a", x)] = true
	}
	if len(first) < 2 {
		t.Error("before a window closes, parts should be hashed over caches")
	}
	for i := range 400 {
		serve(fmt.Sprint("o", i/12), i%12)
		g.wait(25)
	}
	before := slices.Clone(g.r.layout.splits)
	for i := range 600 {
		serve(fmt.Sprint("o", i/12), i%12)
		g.wait(25)
	}
	if !slices.Equal(before, g.r.layout.splits) {
		t.Errorf("an unchanged load moved %v to %v", before, g.r.layout.splits)
	}
	at := 0
	for x := range 40 {
		c := serve("b", x)
		i := slices.IndexFunc(g.r.byRole[edge], func(member *member) bool { return member.ID == c })
		if i < at {
			t.Fatalf("part %d goes back to %s", x, c)
		}
		at = i
		if other := serve("c", x); other != c {
			t.Fatalf("part %d of two objects goes to %s and %s", x, c, other)
		}
	}
	if at != 2 {
		t.Errorf("the last range is of cache %d", at)
	}
	g.do(Members{Rows: []Member{{ID: "e2", Zone: "z1", Kind: "box", State: Removed}}})
	if len(g.r.layout.splits) != 1 {
		t.Errorf("after a loss: splits %v", g.r.layout.splits)
	}
}

// TestRangesNeedEvidence: the more routers share a location's caches, the more requests
// each sees before it draws ranges of its own.
func TestRangesNeedEvidence(t *testing.T) {
	for _, c := range []struct{ routers, requests int }{{1, 128}, {2, 128}, {20, 1280}} {
		s := testSettings()
		s.Routers, s.Zones, s.RoutersByZone = c.routers, []string{s.Zone}, []int{c.routers}
		g := newRig(t, s, baseRows()...)
		for i := range c.requests {
			if g.r.layout.ranged {
				t.Errorf("%d routers: ranges after %d requests", c.routers, i)
				break
			}
			g.ask("video", "o"+strconv.Itoa(i%7), i%9)
			g.wait(50) // windows come due meanwhile
		}
		if !g.r.layout.ranged {
			t.Errorf("%d routers: no ranges after %d requests", c.routers, c.requests)
		}
	}
}
