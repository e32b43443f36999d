package indigospool

import (
	"cmp"
	"slices"
	"sort"
)

// FlexSplit assigns contiguous ranges of part indices, the same for all objects, to the caches of the
// zone. A histogram holds the cost of each part index, with the costs of older windows discounted. The
// split points divide the histogram so that each cache of the zone has an equal share of the cost. A
// split point is the exclusive upper end of one range and the start of the next.

const (
	// A histogram window closes after windowPartRequests part requests or after windowSpan.
	windowPartRequests = 500
	windowSpan         = Millis(5000)
	// firstWindowPartRequests is the least number of part requests in the first window. Until this
	// window closes, parts are placed by the hash. After the switch to ranges, most of these parts are
	// requested from other caches; a small first window limits how many copies are wasted.
	firstWindowPartRequests = 128
	// windowDiscount multiplies the cost histogram each time a closed window is added to it.
	windowDiscount = 0.95
	// A split point stays while the cost below it differs from its ideal share of the total by less
	// than splitMoveThreshold times the higher cost of the two parts beside it.
	splitMoveThreshold = 1.0
	// tailPartCost is the cost of a request for a part beyond the object's mean depth. Requests for
	// other parts cost 1, so at 1.0 all part requests cost the same.
	tailPartCost = 1.0
	// maxPartIndices is the length of the histogram. Higher part indices are counted as the last one.
	maxPartIndices = 2048
	// The depths of objects are kept in two generations. A new one begins when the current one has
	// maxObjects objects or is older than objectGenerationSpan.
	maxObjects           = 20000
	maxObjectName        = 256 // bytes; objects with longer names are not remembered, which bounds the memory of a generation
	objectGenerationSpan = Millis(60000)
)

// objectDepth records how many parts of an object clients request.
type objectDepth struct {
	firstParts float64 // number of requests for the first part
	parts      float64 // number of requests for any part
}

// mean returns the mean number of parts that a client requests.
func (d *objectDepth) mean() float64 {
	if d.firstParts > 0 {
		return d.parts / d.firstParts
	}
	return 1
}

// layout assigns requests to the available caches of the zone.
type layout struct {
	caches []*member
	splits []int // exclusive upper ends of the ranges of all caches but the last
	ranged bool  // whether parts are placed by ranges; otherwise by rendezvous hashing
}

// equal reports whether two layouts assign all requests to the same caches.
func (l layout) equal(other layout) bool {
	return l.ranged == other.ranged && slices.Equal(l.caches, other.caches) && slices.Equal(l.splits, other.splits)
}

// owner returns the cache that is the first choice for a request, or nil if there are no caches.
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

// recordPart counts a request for a part in the open window and in the object's depth.
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
	if r.windowRequests >= windowPartRequests || r.costHistogram == nil && r.firstWindowDone() {
		r.closeWindow()
	}
}

// depthOf returns the depth of an object, after moving or adding it to the current generation. One
// with a very long name always is as if it was unseen.
func (r *Router) depthOf(object string) *objectDepth {
	if len(object) > maxObjectName {
		return &objectDepth{}
	}
	if len(r.objectDepths[0]) >= maxObjects || r.now-r.objectDepthsRotatedAt > objectGenerationSpan {
		r.objectDepths[1], r.objectDepths[0] = r.objectDepths[0], map[string]*objectDepth{}
		r.objectDepthsRotatedAt = r.now
	}
	depth := cmp.Or(r.objectDepths[0][object], r.objectDepths[1][object], &objectDepth{})
	r.objectDepths[0][object] = depth
	return depth
}

// firstWindowDone reports whether the first window has enough part requests. The required number grows
// with the number of routers in the zone: each router sees only some of the requests, and with few
// samples the routers would compute different ranges, so that a part would be filled into several caches.
func (r *Router) firstWindowDone() bool {
	return float64(r.windowRequests) >= firstWindowPartRequests*max(r.settings.sharingRouters(edge)/2, 1)
}

// closeWindow adds the open window to the cost histogram, updates the layout and opens a new window. A
// window that is empty, or the first one while it has too few requests, keeps its counts and stays open
// for another windowSpan.
func (r *Router) closeWindow() {
	r.windowOpenedAt = r.now
	if r.windowRequests == 0 || r.costHistogram == nil && !r.firstWindowDone() {
		return
	}
	for len(r.costHistogram) < len(r.windowCost) {
		r.costHistogram = append(r.costHistogram, 0)
	}
	for part := range r.costHistogram {
		r.costHistogram[part] *= windowDiscount
		if part < len(r.windowCost) {
			r.costHistogram[part] += r.windowCost[part]
		}
	}
	clear(r.windowCost)
	r.windowRequests = 0
	r.updateLayout()
}

// updateLayout computes the split points so that the costs of the ranges are about equal: the cost below
// each split point is within the cost of one part index of its ideal share.
func (r *Router) updateLayout() {
	next := layout{caches: r.byRole[edge]}
	if len(next.caches) > 0 && total(r.costHistogram) > 0 {
		next.splits, next.ranged = splitPoints(r.costHistogram, len(next.caches)), true
	}
	if next.ranged && r.layout.ranged && len(r.layout.caches) == len(next.caches) {
		keepSplits(next.splits, r.layout.splits, r.costHistogram)
	}
	if !next.equal(r.layout) {
		r.priorLayout, r.layoutChangedAt = r.layout, r.now
	}
	r.layout = next
}

// keepSplits replaces split points by the previous ones if these are close enough to the ideal place (see
// splitMoveThreshold), so that random variation of the counts moves no ranges.
func keepSplits(splits, previous []int, cost []float64) {
	sum := total(cost)
	cumulative := make([]float64, len(cost)+1) // total cost of the parts before each index
	for part, partCost := range cost {
		cumulative[part+1] = cumulative[part] + partCost
	}
	ranges := len(splits) + 1
	for i, split := range previous {
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

// splitPoints divides the part indices into ranges of about equal cost. The last range has no upper
// end, so that every index belongs to a range.
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

// total returns the sum of the costs of all parts.
func total(cost []float64) (sum float64) {
	for _, partCost := range cost {
		sum += partCost
	}
	return sum
}

// Ranges returns the ranges of part indices of the caches in ascending order, or nil if parts are not
// placed by ranges yet. The last range has no upper end: its To is -1.
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
