package indigospool

import (
	"cmp"
	"slices"
	"sort"
)

const (
	windowPartRequests      = 500          // part requests that close a histogram window (K)
	windowSpan              = Millis(5000) // or this time, whichever comes first
	firstWindowPartRequests = 128          // the first window is short: the hash's copies are soon worthless
	splitMoveThreshold      = 1.0          // a split point off by less than this of an index's cost stays
	windowDiscount          = 0.95         // what a window keeps of its weight when the next one closes
	tailPartCost            = 1.0          // cost of a part beyond the object's mean depth
	maxPartIndices          = 2048         // part indices told apart; later ones share the last
	maxObjects              = 20000        // objects remembered in each of two generations
	objectGenerationSpan    = Millis(60000)
)

// objectDepth is what is remembered of an object: how deep clients go, how often.
type objectDepth struct{ firstParts, parts float64 }

// layout places parts: one range per ready edge cache. With no splits there
// are no ranges yet, and parts go by a hash.
type layout struct {
	caches []*member
	splits []int // first index past each range but the last
	ranged bool
}

// recordPart counts a part request into the open window and the object's depth.
func (r *Router) recordPart(request *request) {
	if !request.class.InParts {
		return
	}
	if len(r.objectDepths[0]) >= maxObjects || r.now-r.objectsRotated > objectGenerationSpan {
		r.objectDepths[1], r.objectDepths[0], r.objectsRotated = r.objectDepths[0], map[string]*objectDepth{}, r.now
	}
	o := cmp.Or(r.objectDepths[0][request.Object], r.objectDepths[1][request.Object], &objectDepth{})
	r.objectDepths[0][request.Object] = o
	depth := 1.0
	if o.firstParts > 0 {
		depth = o.parts / o.firstParts
	}
	o.parts++
	if request.Part == 0 {
		o.firstParts++
	}
	part := min(max(request.Part, 0), maxPartIndices-1)
	for len(r.windowCost) <= part {
		r.windowCost = append(r.windowCost, 0)
	}
	if float64(part) <= depth {
		r.windowCost[part]++
	} else {
		r.windowCost[part] += tailPartCost
	}
	if r.windowRequests++; r.windowRequests >= windowPartRequests || r.totalCost == nil && float64(r.windowRequests) >= r.firstWindowTarget() {
		r.closeWindow()
	}
}

// firstWindowTarget is how many part requests the first window needs. Copies are shared by all routers
// of the location, each of which sees its own part of the requests: from a few dozen each,
// many routers draw as many different ranges, and a part is fetched into several caches.
func (r *Router) firstWindowTarget() float64 {
	return firstWindowPartRequests * max(r.settings.sharingRouters(edge)/2, 1)
}

// closeWindow joins the window to the discounted sum and resets the splits.
func (r *Router) closeWindow() {
	r.windowOpened = r.now
	if r.windowRequests == 0 || r.totalCost == nil && float64(r.windowRequests) < r.firstWindowTarget() {
		return
	}
	for len(r.totalCost) < len(r.windowCost) {
		r.totalCost = append(r.totalCost, 0)
	}
	for part := range r.totalCost {
		r.totalCost[part] *= windowDiscount
		if part < len(r.windowCost) {
			r.totalCost[part] += r.windowCost[part]
		}
	}
	clear(r.windowCost)
	r.windowRequests = 0
	r.updateLayout()
}

// updateLayout places the split points so that each range carries an equal share, to
// within one index. A point that is off by less than an index's cost stays, so
// that chance in the counts does not move ranges.
func (r *Router) updateLayout() {
	next := layout{caches: r.byRole[edge]}
	count, sum := len(next.caches), total(r.totalCost)
	if count > 0 && sum > 0 {
		next.splits, next.ranged = splitPoints(r.totalCost, count), true
	}
	if next.ranged && r.layout.ranged && len(r.layout.caches) == count {
		below := make([]float64, len(r.totalCost)+1)
		for part, partCost := range r.totalCost {
			below[part+1] = below[part] + partCost
		}
		for i, old := range r.layout.splits {
			if old > 0 && old < len(r.totalCost) {
				off := below[old] - sum*float64(i+1)/float64(count)
				if max(off, -off) < splitMoveThreshold*max(r.totalCost[old-1], r.totalCost[old]) {
					next.splits[i] = old
				}
			}
		}
		slices.Sort(next.splits)
	}
	if !slices.Equal(next.caches, r.layout.caches) || !slices.Equal(next.splits, r.layout.splits) ||
		next.ranged != r.layout.ranged {
		r.priorLayout, r.layoutChanged = r.layout, r.now
	}
	r.layout = next
}

// splitPoints cuts the indices into n contiguous ranges of about equal cost.
// The last range is open, so every index has one.
func splitPoints(cost []float64, n int) []int {
	sum := total(cost)
	points := make([]int, 0, n-1)
	part, below := 0, 0.0
	for i := 1; i < n; i++ {
		want := sum * float64(i) / float64(n)
		for part < len(cost) && below+cost[part]/2 <= want {
			below += cost[part]
			part++
		}
		points = append(points, part)
	}
	return points
}

// owner is the edge cache of a request on the ordinary path.
func (l layout) owner(request *request) *member {
	switch {
	case len(l.caches) == 0:
		return nil
	case !request.class.InParts:
		return rendezvousBest(l.caches, request.hash)
	case !l.ranged:
		return rendezvousBest(l.caches, mix(request.hash+uint64(request.Part)))
	}
	return l.caches[sort.SearchInts(l.splits, request.Part+1)]
}

// Ranges are the caches' ranges of part indices; none before there are any.
func (r *Router) Ranges() (out []Range) {
	if !r.layout.ranged {
		return nil
	}
	from := 0
	for i, member := range r.layout.caches {
		to := -1
		if i < len(r.layout.splits) {
			to = r.layout.splits[i]
		}
		out = append(out, Range{Cache: member.ID, From: from, To: to})
		from = to
	}
	return out
}

func total(cost []float64) (sum float64) {
	for _, partCost := range cost {
		sum += partCost
	}
	return sum
}
