package indigospool

import (
	"cmp"
	"slices"
	"sort"
)

const (
	windowCount = 500          // part requests that close a histogram window (K)
	windowSpan  = Millis(5000) // or this time, whichever comes first
	firstCount  = 128          // the first window is short: the hash's copies are soon worthless
	moveAt      = 1.0          // a split point off by less than this of an index's cost stays
	discount    = 0.95         // what a window keeps of its weight when the next one closes
	tailWeight  = 1.0          // cost of a part beyond the object's mean depth
	maxIndex    = 2048         // part indices told apart; later ones share the last
	maxObjects  = 20000        // objects remembered in each of two generations
	objectSpan  = Millis(60000)
)

// object is what is remembered of an object: how deep clients go, how often.
type object struct{ first, parts float64 }

// layout places parts: one range per ready edge cache. With no splits there
// are no ranges yet, and parts go by a hash.
type layout struct {
	edges  []*member
	splits []int // first index past each range but the last
	ranged bool
}

// note counts a part request into the open window and the object's depth.
func (r *Router) note(q *request) {
	if !q.class.InParts {
		return
	}
	if len(r.objects[0]) >= maxObjects || r.now-r.turned > objectSpan {
		r.objects[1], r.objects[0], r.turned = r.objects[0], map[string]*object{}, r.now
	}
	o := cmp.Or(r.objects[0][q.Object], r.objects[1][q.Object], &object{})
	r.objects[0][q.Object] = o
	depth := 1.0
	if o.first > 0 {
		depth = o.parts / o.first
	}
	o.parts++
	if q.Part == 0 {
		o.first++
	}
	x := min(max(q.Part, 0), maxIndex-1)
	for len(r.window) <= x {
		r.window = append(r.window, 0)
	}
	if float64(x) <= depth {
		r.window[x]++
	} else {
		r.window[x] += tailWeight
	}
	if r.seen++; r.seen >= windowCount || r.total == nil && float64(r.seen) >= r.enough() {
		r.closeWindow()
	}
}

// enough is how many part requests the first window needs. Copies are shared by all routers
// of the location, each of which sees its own part of the requests: from a few dozen each,
// many routers draw as many different ranges, and a part is fetched into several caches.
func (r *Router) enough() float64 { return firstCount * max(r.s.sharers(edge)/2, 1) }

// closeWindow joins the window to the discounted sum and resets the splits.
func (r *Router) closeWindow() {
	r.opened = r.now
	if r.seen == 0 || r.total == nil && float64(r.seen) < r.enough() {
		return
	}
	for len(r.total) < len(r.window) {
		r.total = append(r.total, 0)
	}
	for x := range r.total {
		r.total[x] *= discount
		if x < len(r.window) {
			r.total[x] += r.window[x]
		}
	}
	clear(r.window)
	r.seen = 0
	r.refit()
}

// refit places the split points so that each range carries an equal share, to
// within one index. A point that is off by less than an index's cost stays, so
// that chance in the counts does not move ranges.
func (r *Router) refit() {
	next := layout{edges: r.byRole[edge]}
	n, sum := len(next.edges), total(r.total)
	if n > 0 && sum > 0 {
		next.splits, next.ranged = splitPoints(r.total, n), true
	}
	if next.ranged && r.layout.ranged && len(r.layout.edges) == n {
		below := make([]float64, len(r.total)+1)
		for x, c := range r.total {
			below[x+1] = below[x] + c
		}
		for i, old := range r.layout.splits {
			if old > 0 && old < len(r.total) {
				off := below[old] - sum*float64(i+1)/float64(n)
				if max(off, -off) < moveAt*max(r.total[old-1], r.total[old]) {
					next.splits[i] = old
				}
			}
		}
		slices.Sort(next.splits)
	}
	if !slices.Equal(next.edges, r.layout.edges) || !slices.Equal(next.splits, r.layout.splits) ||
		next.ranged != r.layout.ranged {
		r.prior, r.moved = r.layout, r.now
	}
	r.layout = next
}

// splitPoints cuts the indices into n contiguous ranges of about equal cost.
// The last range is open, so every index has one.
func splitPoints(cost []float64, n int) []int {
	sum := total(cost)
	points := make([]int, 0, n-1)
	x, below := 0, 0.0
	for i := 1; i < n; i++ {
		want := sum * float64(i) / float64(n)
		for x < len(cost) && below+cost[x]/2 <= want {
			below += cost[x]
			x++
		}
		points = append(points, x)
	}
	return points
}

// owner is the edge cache of a request on the ordinary path.
func (l layout) owner(q *request) *member {
	switch {
	case len(l.edges) == 0:
		return nil
	case !q.class.InParts:
		return best(l.edges, q.hash)
	case !l.ranged:
		return best(l.edges, mix(q.hash+uint64(q.Part)))
	}
	return l.edges[sort.SearchInts(l.splits, q.Part+1)]
}

// Ranges are the caches' ranges of part indices; none before there are any.
func (r *Router) Ranges() (out []Range) {
	if !r.layout.ranged {
		return nil
	}
	from := 0
	for i, m := range r.layout.edges {
		to := -1
		if i < len(r.layout.splits) {
			to = r.layout.splits[i]
		}
		out = append(out, Range{Cache: m.ID, From: from, To: to})
		from = to
	}
	return out
}

func total(cost []float64) (sum float64) {
	for _, c := range cost {
		sum += c
	}
	return sum
}
