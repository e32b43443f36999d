package indigospool

import (
	"errors"
	"fmt"
	"slices"
)

// class is a class of requests with its learned state.
type class struct {
	Class
	meanSendTime Millis // moving average of the send time of answers
	hitTime      Millis // moving average of the duration of hits
}

// applySettings replaces the settings. Classes keep the learned state of the previous class of the
// same name. Requests that have already arrived keep their previous class.
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

// changeSettings replaces the settings, except Zone and RouterIndex. Invalid settings are ignored.
func (r *Router) changeSettings(settings Settings) {
	if settings.Valid() != nil {
		return
	}
	settings.Zone, settings.RouterIndex = r.settings.Zone, r.settings.RouterIndex
	r.applySettings(settings)
}

// recordHit updates the averages of a class after a hit. If the request states the size,
// expectSendTime has updated the mean send time from it.
func (c *class) recordHit(took Millis, sizeStated bool) {
	c.hitTime += (took - c.hitTime) * meanGain
	if !sizeStated {
		c.meanSendTime += (took - c.meanSendTime) * meanGain
	}
}

// Valid returns an error if the settings are invalid or contradict each other.
func (s Settings) Valid() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("indigospool: settings have no class")
	case s.WarmUpInitialShare < 0 || s.WarmUpInitialShare > 1 || s.ParentWarmUpInitialShare < 0 || s.ParentWarmUpInitialShare > 1:
		return fmt.Errorf("indigospool: a cold share is not within 0 and 1: %v of caches, %v of parents",
			s.WarmUpInitialShare, s.ParentWarmUpInitialShare)
	case s.ParentKind != "" && s.ParentKind == s.OriginKind:
		return fmt.Errorf("indigospool: parents and origin have the same kind %q", s.ParentKind)
	case s.PurgeTime < 0 || s.WarmUpTime < 0 || s.ParentWarmUpTime < 0 || s.DrainGrace < 0:
		return fmt.Errorf("indigospool: negative duration in ms: purge %v, warm-up of caches %v, of parents %v, drain grace %v",
			s.PurgeTime, s.WarmUpTime, s.ParentWarmUpTime, s.DrainGrace)
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

// sharingRouters returns the number of routers that send to the members of a role, at least 1.
func (s Settings) sharingRouters(role role) float64 {
	routers := s.Routers
	zone := slices.Index(s.Zones, s.Zone)
	if role == edge && zone >= 0 && zone < len(s.RoutersByZone) {
		routers = s.RoutersByZone[zone]
	}
	return float64(max(routers, 1))
}
