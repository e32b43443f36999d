package configversion

import (
	"fmt"
	"slices"

	"indigospool/internal/config"
)

// checkParentChurn limits how many parents are added or removed at once. Fills are
// distributed by a hash over the parents, so a change of that list sends a burst of
// misses to the origin.
func (c *checker) checkParentChurn() {
	before, after := servingParents(c.old), servingParents(c.settings)
	if len(before) == 0 {
		return
	}
	changed := countMissing(before, after) + countMissing(after, before)
	if changed > 1 && float64(changed) > c.limits.ParentChurn*float64(len(before)) {
		c.reject("member/"+c.settings.Fill.ParentKind,
			fmt.Sprintf("%d of %d parents are added or removed at once", changed, len(before)),
			fmt.Sprintf("change at most %.0f %% in one version, and wait until the fills are stable", 100*c.limits.ParentChurn))
	}
}

// checkCacheChurn limits how many caches of a zone are removed at once.
func (c *checker) checkCacheChurn() {
	before, after := servingCaches(c.old), servingCaches(c.settings)
	var zones []string
	for zone := range before {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	for _, zone := range zones {
		removed, total := countMissing(before[zone], after[zone]), len(before[zone])
		if removed > 1 && float64(removed) > c.limits.CacheChurn*float64(total) {
			c.reject("zone/"+zone, fmt.Sprintf("%d of %d caches are removed at once", removed, total),
				fmt.Sprintf("remove at most %.0f %% in one version", 100*c.limits.CacheChurn))
		}
	}
}

// idSet is a set of member ids.
type idSet map[string]bool

// servingParents returns the serving parents of all zones. If parents and origins have
// the same kind, members of that kind are origins.
func servingParents(settings *config.Settings) idSet {
	parents := idSet{}
	for _, member := range settings.Members {
		isParent := member.Kind == settings.Fill.ParentKind && member.Kind != settings.Fill.OriginKind
		if isParent && member.State == stateServing {
			parents[member.ID] = true
		}
	}
	return parents
}

// servingCaches returns the serving caches by zone.
func servingCaches(settings *config.Settings) map[string]idSet {
	zones := map[string]idSet{}
	for _, member := range settings.Members {
		if member.State != stateServing || !isCache(settings, member) {
			continue
		}
		if zones[member.Zone] == nil {
			zones[member.Zone] = idSet{}
		}
		zones[member.Zone][member.ID] = true
	}
	return zones
}

// countMissing returns how many ids of before are not in after.
func countMissing(before, after idSet) (count int) {
	for id := range before {
		if !after[id] {
			count++
		}
	}
	return count
}
