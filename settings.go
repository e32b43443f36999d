package indigospool

import (
	"errors"
	"fmt"
	"slices"
)

// class is a class of requests and what is known of it.
type class struct {
	Class
	meanSendTime Millis // recent mean of the time that answers take to send
	hitTime      Millis // recent mean of the time of answers from cached copies
}

// applySettings goes by settings from now on. What was learned about a class of the same
// name stays; requests in hand keep the class that they came with, and its effect.
func (r *Router) applySettings(settings Settings) {
	r.settings = settings
	if r.settings.MaxAttempts <= 0 {
		r.settings.MaxAttempts = defaultMaxAttempts
	}
	previousClasses := r.classes
	r.classes, r.highestPriorityWeight = map[string]*class{}, 0
	for _, declared := range settings.Classes {
		initialEstimate := max(declared.LatencyObjective/2, 1)
		class := &class{Class: declared, meanSendTime: initialEstimate, hitTime: initialEstimate}
		if previous := previousClasses[declared.Name]; previous != nil {
			class.meanSendTime, class.hitTime = previous.meanSendTime, previous.hitTime
		}
		r.classes[declared.Name] = class
		r.highestPriorityWeight = max(r.highestPriorityWeight, declared.PriorityWeight)
	}
	for _, member := range r.members {
		member.role = r.roleOf(member.Member)
	}
	r.groupByRole()
}

// changeSettings applies other settings, unless they contradict themselves. The zone and the
// number of this router stay.
func (r *Router) changeSettings(settings Settings) {
	if settings.Valid() != nil {
		return
	}
	settings.Zone, settings.RouterIndex = r.settings.Zone, r.settings.RouterIndex
	r.applySettings(settings)
}

// recordHit learns from an answer out of a cached copy. With its size stated the mean
// sending time is learned from sizes.
func (c *class) recordHit(took Millis, sizeStated bool) {
	c.hitTime += (took - c.hitTime) * meanGain
	if !sizeStated {
		c.meanSendTime += (took - c.meanSendTime) * meanGain
	}
}

// Valid returns an error that says how the settings contradict themselves, or nil.
func (s Settings) Valid() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("indigospool: settings name no class")
	case s.WarmUpInitialShare < 0 || s.WarmUpInitialShare > 1 || s.ParentWarmUpInitialShare < 0 || s.ParentWarmUpInitialShare > 1:
		return errors.New("indigospool: a cold share is not within 0 and 1")
	case s.ParentKind != "" && s.ParentKind == s.OriginKind:
		return fmt.Errorf("indigospool: parents and origin are both of kind %q", s.ParentKind)
	case s.PurgeTime < 0 || s.WarmUpTime < 0 || s.ParentWarmUpTime < 0 || s.DrainGrace < 0:
		return errors.New("indigospool: a span is negative")
	}
	named := map[string]bool{}
	for _, class := range s.Classes {
		if named[class.Name] {
			return fmt.Errorf("indigospool: class %q is named twice", class.Name)
		}
		named[class.Name] = true
	}
	return nil
}

// sharingRouters is how many routers send to the members of a role, as far as it is stated.
func (s Settings) sharingRouters(role role) float64 {
	routers := s.Routers
	zone := slices.Index(s.Zones, s.Zone)
	if role == edge && zone >= 0 && zone < len(s.RoutersByZone) {
		routers = s.RoutersByZone[zone]
	}
	return float64(max(routers, 1))
}
