package indigospool

import (
	"cmp"
	"slices"
	"sort"
)

// FlexSplit: the parts of all objects go to the caches of the location by contiguous ranges
// of part indices. A histogram of the cost by part index, discounted from window to window,
// is cut so that each cache carries an equal share.

const (
	// A histogram window closes after windowPartRequests part requests or windowSpan.
	windowPartRequests = 500
	windowSpan         = Millis(5000)
	// firstWindowPartRequests closes the first window: it is short since copies that were placed
	// by a hash are useless once there are ranges.
	firstWindowPartRequests = 128
	// windowDiscount is what the sum of past windows keeps when another closes.
	windowDiscount = 0.95
	// splitMoveThreshold is the part of an index's cost by which a split point must be off to move.
	splitMoveThreshold = 1.0
	// tailPartCost is the cost of a part beyond the object's mean depth; one within it costs 1.
	tailPartCost = 1.0
	// maxPartIndices is how many part indices are distinguished; later ones share the last.
	maxPartIndices = 2048
	// Objects are remembered in two generations of maxObjects at most; a new one begins after
	// objectGenerationSpan at the latest.
	maxObjects           = 20000
	objectGenerationSpan = Millis(60000)
)

// objectDepth is how deep clients go into an object.
type objectDepth struct {
	firstParts float64 // requests for its first part
	parts      float64 // requests for any part
}

// mean is the number of parts that a client asks for.
func (d *objectDepth) mean() float64 {
	if d.firstParts > 0 {
		return d.parts / d.firstParts
	}
	return 1
}

// layout places parts: one range for each available cache of the location. While it is not
// ranged, parts are placed by a hash.
type layout struct {
	caches []*member
	splits []int // the first index past each range but the last
	ranged bool
}

// equal reports whether two layouts place all parts alike.
func (l layout) equal(other layout) bool {
	return l.ranged == other.ranged && slices.Equal(l.caches, other.caches) && slices.Equal(l.splits, other.splits)
}

// owner is the cache that a request goes to while all are in service; nil: there is none.
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

// recordPart counts a part request into the open window and the object's depth.
func (r *Router) recordPart(request *request) {
	if !request.class.InParts {
		return
	}
	depth := r.depthOf(request.Object)
	meanDepth := depth.mean()
	depth.parts++
	if request.Part == 0 {
		depth.firstParts++
	}
	part := min(max(request.Part, 0), maxPartIndices-1)
	for len(r.windowCost) <= part {
		r.windowCost = append(r.windowCost, 0)
	}
	if float64(part) <= meanDepth {
		r.windowCost[part]++
	} else {
		r.windowCost[part] += tailPartCost
	}
	r.windowRequests++
	if r.windowRequests >= windowPartRequests || r.totalCost == nil && r.firstWindowDone() {
		r.closeWindow()
	}
}

// depthOf is what is remembered of an object, in the present generation.
func (r *Router) depthOf(object string) *objectDepth {
	if len(r.objectDepths[0]) >= maxObjects || r.now-r.objectDepthsRotatedAt > objectGenerationSpan {
		r.objectDepths[1], r.objectDepths[0] = r.objectDepths[0], map[string]*objectDepth{}
		r.objectDepthsRotatedAt = r.now
	}
	depth := cmp.Or(r.objectDepths[0][object], r.objectDepths[1][object], &objectDepth{})
	r.objectDepths[0][object] = depth
	return depth
}

// firstWindowDone reports whether the first window has as many part requests as it needs. Copies
// are shared by all routers of the location, each of which sees its own part of the requests:
// from a few dozen each, many routers would draw as many different ranges, and a part would be
// fetched into several caches.
func (r *Router) firstWindowDone() bool {
	return float64(r.windowRequests) >= firstWindowPartRequests*max(r.settings.sharingRouters(edge)/2, 1)
}

// closeWindow adds the open window to the discounted sum and updates the layout.
func (r *Router) closeWindow() {
	r.windowOpenedAt = r.now
	if r.windowRequests == 0 || r.totalCost == nil && !r.firstWindowDone() {
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
// within one index.
func (r *Router) updateLayout() {
	next := layout{caches: r.byRole[edge]}
	if len(next.caches) > 0 && total(r.totalCost) > 0 {
		next.splits, next.ranged = splitPoints(r.totalCost, len(next.caches)), true
	}
	if next.ranged && r.layout.ranged && len(r.layout.caches) == len(next.caches) {
		keepSplits(next.splits, r.layout.splits, r.totalCost)
	}
	if !next.equal(r.layout) {
		r.priorLayout, r.layoutChangedAt = r.layout, r.now
	}
	r.layout = next
}

// keepSplits puts back the split points that are off by less than an index's cost, so that
// chance in the counts moves no ranges.
func keepSplits(splits, before []int, cost []float64) {
	sum := total(cost)
	cumulative := make([]float64, len(cost)+1) // cost of all parts before an index
	for part, partCost := range cost {
		cumulative[part+1] = cumulative[part] + partCost
	}
	ranges := len(splits) + 1
	for i, split := range before {
		if split <= 0 || split >= len(cost) {
			continue
		}
		deviation := cumulative[split] - sum*float64(i+1)/float64(ranges)
		if max(deviation, -deviation) < splitMoveThreshold*max(cost[split-1], cost[split]) {
			splits[i] = split
		}
	}
	slices.Sort(splits)
}

// splitPoints cuts the indices into ranges of about equal cost. The last range is open, so
// every index has one.
func splitPoints(cost []float64, ranges int) []int {
	sum := total(cost)
	points := make([]int, 0, ranges-1)
	part, cumulative := 0, 0.0
	for i := 1; i < ranges; i++ {
		target := sum * float64(i) / float64(ranges)
		for part < len(cost) && cumulative+cost[part]/2 <= target {
			cumulative += cost[part]
			part++
		}
		points = append(points, part)
	}
	return points
}

// total is the sum of the costs of all parts.
func total(cost []float64) (sum float64) {
	for _, partCost := range cost {
		sum += partCost
	}
	return sum
}

// Ranges are the caches' ranges of part indices, in their order; nil before there are any.
func (r *Router) Ranges() []Range {
	if !r.layout.ranged {
		return nil
	}
	var ranges []Range
	from := 0
	for i, member := range r.layout.caches {
		to := -1
		if i < len(r.layout.splits) {
			to = r.layout.splits[i]
		}
		ranges = append(ranges, Range{Cache: member.ID, From: from, To: to})
		from = to
	}
	return ranges
}
