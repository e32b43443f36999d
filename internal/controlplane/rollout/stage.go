package rollout

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"sort"
)

// stageOrder is the order in which routers come into a version's stages: another for
// each version, so that not always the same ones are first.
type stageOrder struct {
	version   int64
	positions map[string]float64 // by router, from 0 to 1, as far as they were asked for
	limit     float64            // routers at most at this position are in the stage; NaN: to be computed anew
}

func newStageOrder(version int64) stageOrder {
	return stageOrder{version: version, positions: map[string]float64{}, limit: math.NaN()}
}

// invalidate has the limit computed anew, since the stage or the routers with a stream
// have changed.
func (o *stageOrder) invalidate() { o.limit = math.NaN() }

// position is where a router stands in the order, from 0 to 1.
func (o *stageOrder) position(name string) float64 {
	if known, ok := o.positions[name]; ok {
		return known
	}
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d/%s", o.version, name)
	mixed := hash.Sum64() // mixed as MurmurHash3 ends: names that differ in one letter land far apart
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	position := float64(mixed>>11) / (1 << 53)
	o.positions[name] = position
	return position
}

// isIncluded reports whether a router is in the present stage, or in one before:
// the stage's share of the routers with a stream, those that stand first.
func (r *Rollout) isIncluded(name string) bool {
	last := len(r.settings.Stages) - 1
	share := r.settings.Stages[min(r.state.Stage, last)]
	if share >= 1 {
		return true
	}
	if math.IsNaN(r.order.limit) {
		r.order.limit = r.stageLimit(share)
	}
	return r.order.position(name) <= r.order.limit
}

// stageLimit is the position of the last router of a stage; -1 where no router has a
// stream.
func (r *Rollout) stageLimit(share float64) float64 {
	var positions []float64
	for name, router := range r.routers {
		if router.connected {
			positions = append(positions, r.order.position(name))
		}
	}
	if len(positions) == 0 {
		return -1
	}
	sort.Float64s(positions)
	count := max(int(math.Ceil(share*float64(len(positions)))), 1)
	return positions[count-1]
}

// stageRouters are the routers with a stream that are in the present stage, by name.
func (r *Rollout) stageRouters() (names []string) {
	for name, router := range r.routers {
		if router.connected && r.isIncluded(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
