package configversion

import (
	"fmt"
	"math"
	"strings"

	"indigospool/internal/config"
)

// CheckLimits limits what a version may state, and how much it may change. Zero fields
// are set to the defaults.
type CheckLimits struct {
	ParentChurn     float64 // share of the parents that may be added or removed at once; default 0.5
	CacheChurn      float64 // share of a zone's caches that may be removed at once; default 0.67
	MaxCapacity     float64 // of a member; default 1e6
	MaxLinkCapacity float64 // of a zone, in KB per ms; default 1e6
}

// withDefaults returns the limits with defaults for zero fields.
func (l CheckLimits) withDefaults() CheckLimits {
	l.ParentChurn = positiveOr(l.ParentChurn, 0.5)
	l.CacheChurn = positiveOr(l.CacheChurn, 0.67)
	l.MaxCapacity = positiveOr(l.MaxCapacity, 1e6)
	l.MaxLinkCapacity = positiveOr(l.MaxLinkCapacity, 1e6)
	return l
}

// Check performs the semantic checks that the schema can't express: the consistency of
// the settings, and the changes from old, the version before, which may be nil. It
// returns all reasons to reject the version; no reasons mean that it passes.
func Check(old, settings *config.Settings, limits CheckLimits) []Reason {
	c := &checker{old: old, settings: settings, limits: limits.withDefaults()}
	c.checkMembers()
	c.checkZones()
	c.checkFillSources()
	c.checkFillFrom()
	if old != nil {
		c.checkParentChurn()
		c.checkCacheChurn()
	}
	c.checkRules()
	if old != nil {
		c.checkLoosenedRules()
		c.checkClasses()
	}
	return c.reasons
}

// Values in the settings.
const (
	stateServing  = "serving"
	stateDraining = "draining"
	stateRemoved  = "removed"
	effectFree    = "free"
)

// checker collects the reasons to reject a version.
type checker struct {
	old, settings *config.Settings
	limits        CheckLimits
	reasons       []Reason
}

func (c *checker) reject(path, what, remedy string) {
	c.reasons = append(c.reasons, Reason{path, what, remedy})
}

func (c *checker) checkMembers() {
	for _, member := range c.settings.Members {
		if member.Size < 0 || member.Size > c.limits.MaxCapacity || math.IsNaN(member.Size) {
			c.reject("member/"+member.ID+"/size", fmt.Sprintf("capacity %v", member.Size),
				fmt.Sprintf("it must be from 0 to %v", c.limits.MaxCapacity))
		}
	}
}

// checkZones checks each zone's link, that every zone with routers has a serving cache,
// and the number of routers.
func (c *checker) checkZones() {
	serving := map[string]int{} // caches, by zone
	listed := map[string]int{}
	for _, member := range c.settings.Members {
		if !isCache(c.settings, member) {
			continue
		}
		listed[member.Zone]++
		if member.State == stateServing {
			serving[member.Zone]++
		}
	}
	routers := 0
	for _, zone := range c.settings.Zones {
		routers += zone.Routers
		if zone.LinkCapacity < 0 || zone.LinkCapacity > c.limits.MaxLinkCapacity {
			c.reject("zone/"+zone.Name+"/link", fmt.Sprintf("link of %v KB per ms", zone.LinkCapacity),
				fmt.Sprintf("it must be from 0 to %v", c.limits.MaxLinkCapacity))
		}
		if zone.Routers <= 0 || serving[zone.Name] > 0 || c.settings.Router.DiscoveryAddress != "" {
			continue
		}
		what := "no cache is listed there, though it has routers"
		if listed[zone.Name] > 0 {
			what = fmt.Sprintf("none of its %d caches is serving", listed[zone.Name])
		}
		c.reject("zone/"+zone.Name, what, "keep one cache serving, or set (routers 0)")
	}
	if routers > c.settings.Router.Routers {
		c.reject("router/of", fmt.Sprintf("the zones have %d routers, but the total is %d", routers, c.settings.Router.Routers),
			"raise (of n)")
	}
}

// isCache reports whether a member is neither a parent nor an origin.
func isCache(settings *config.Settings, member config.Member) bool {
	return member.Kind != settings.Fill.ParentKind && member.Kind != settings.Fill.OriginKind
}

// checkFillSources checks that at least one parent serves if parents are listed, and at
// least one origin if origins are listed.
func (c *checker) checkFillSources() {
	fill := c.settings.Fill
	for _, source := range []struct{ kind, role string }{{fill.ParentKind, "parent"}, {fill.OriginKind, "origin"}} {
		var states []string
		serving := 0
		for _, member := range c.settings.Members {
			if member.Kind != source.kind {
				continue
			}
			states = append(states, member.ID+" is "+member.State)
			if member.State == stateServing {
				serving++
			}
		}
		if len(states) > 0 && serving == 0 {
			c.reject("member/"+source.kind,
				fmt.Sprintf("no listed %s is serving: %s", source.role, strings.Join(states, ", ")),
				"keep one serving, or list none")
		}
	}
}

// checkFillFrom checks the fill sources that members name explicitly.
func (c *checker) checkFillFrom() {
	states := map[string]string{}
	for _, member := range c.settings.Members {
		if _, known := states[member.ID]; !known {
			states[member.ID] = member.State
		}
	}
	for _, member := range c.settings.Members {
		path := fmt.Sprintf("member/%s/fill-from", member.ID)
		for _, id := range member.FillFrom {
			state, listed := states[id]
			switch {
			case !listed:
				c.reject(path, fmt.Sprintf("source %q is not listed", id), "list it, or name another")
			case state != stateServing:
				c.reject(path, fmt.Sprintf("source %q is %s", id, state), "name one that is serving")
			}
		}
	}
}

// checkRules checks settings in the rules section against each other.
func (c *checker) checkRules() {
	rules := c.settings.Rules
	if rules.OverloadFactor*rules.WarmUpInitialShare > 1e3 || rules.ParentOverloadFactor*rules.ParentWarmUpInitialShare > 1e3 {
		c.reject("rules", "a cold member could receive a thousand times its capacity", "lower fall-factor or cold-from")
	}
	if rules.PurgeTime < rules.PurgeSlack {
		c.reject("rules/purge-takes",
			fmt.Sprintf("purged copies are gone after %v ms, less than the slack of %v ms", rules.PurgeTime, rules.PurgeSlack),
			"purge-takes must not be below purge-slack")
	}
}

// checkLoosenedRules checks that a version does not loosen a rule that requests in
// flight depend on.
func (c *checker) checkLoosenedRules() {
	old, now := c.old.Rules, c.settings.Rules
	if now.Loosen {
		return
	}
	for _, setting := range []struct {
		name               string
		oldValue, newValue float64
		loosened           bool
	}{
		{"drain-grace", old.DrainGrace, now.DrainGrace, now.DrainGrace > old.DrainGrace},
		{"purge-slack", old.PurgeSlack, now.PurgeSlack, now.PurgeSlack > old.PurgeSlack},
		{"purge-takes", old.PurgeTime, now.PurgeTime, now.PurgeTime < old.PurgeTime},
		{"cold-from", old.WarmUpInitialShare, now.WarmUpInitialShare, now.WarmUpInitialShare > old.WarmUpInitialShare},
		{"cold-time", old.WarmUpTime, now.WarmUpTime, now.WarmUpTime < old.WarmUpTime},
		{"fall-factor", old.OverloadFactor, now.OverloadFactor, now.OverloadFactor > old.OverloadFactor},
		{"parent-cold-from", old.ParentWarmUpInitialShare, now.ParentWarmUpInitialShare, now.ParentWarmUpInitialShare > old.ParentWarmUpInitialShare},
		{"parent-fall", old.ParentOverloadFactor, now.ParentOverloadFactor, now.ParentOverloadFactor > old.ParentOverloadFactor},
	} {
		if setting.loosened {
			c.reject("rules/"+setting.name, fmt.Sprintf("loosened from %v to %v", setting.oldValue, setting.newValue),
				"a version that loosens a rule must have (rules (loosen true))")
		}
	}
}

// checkClasses checks that a version does not change the effect of a class, on which
// the retries of requests in flight depend.
func (c *checker) checkClasses() {
	if c.settings.Rules.Loosen {
		return
	}
	oldClasses := map[string]config.Class{}
	for _, class := range c.old.Classes {
		oldClasses[class.Name] = class
	}
	for _, class := range c.settings.Classes {
		old, known := oldClasses[class.Name]
		if known && old.Idempotency != class.Idempotency && old.Idempotency != effectFree {
			c.reject("class/"+class.Name+"/effect",
				fmt.Sprintf("changed from %s to %s, so that retries would be handled differently", old.Idempotency, class.Idempotency),
				"give the class another name, or set (rules (loosen true))")
		}
	}
}
