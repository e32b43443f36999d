package rollout

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"sort"
)

// stageOrder is the order in which routers enter the stages of a version. It differs
// from version to version, so that the first stage does not always consist of the same
// routers.
type stageOrder struct {
	version   int64
	positions map[string]float64 // by router, from 0 to 1; computed on demand
	limit     float64            // routers up to this position are in the stage; NaN: must be recomputed
}

func newStageOrder(version int64) stageOrder {
	return stageOrder{version: version, positions: map[string]float64{}, limit: math.NaN()}
}

// invalidate discards the limit, because the stage or the set of connected routers
// changed.
func (o *stageOrder) invalidate() { o.limit = math.NaN() }

// position returns a router's position in the order, from 0 to 1.
func (o *stageOrder) position(name string) float64 {
	if known, ok := o.positions[name]; ok {
		return known
	}
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d/%s", o.version, name)
	mixed := hash.Sum64() // as in MurmurHash3's finalizer, so that similar names get distant positions
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	position := float64(mixed>>11) / (1 << 53)
	o.positions[name] = position
	return position
}

// isIncluded reports whether a router belongs to the current stage or an earlier one. A
// stage has the first routers in the order, as many as its share of the connected
// routers.
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

// stageLimit returns the position of the last router of a stage with the given share,
// or -1 if no router is connected.
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

// stageRouters returns the names of the connected routers of the current stage, sorted.
func (r *Rollout) stageRouters() (names []string) {
	for name, router := range r.routers {
		if router.connected && r.isIncluded(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
