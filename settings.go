package indigospool

import (
	"errors"
	"fmt"
	"slices"
)

// class is a class and what is seen of it.
type class struct {
	Class
	meanSendTime Millis // sending time
	hitTime      Millis // time of answers from held copies
}

// applySettings goes by settings from now on. What was learned of a class of the same name
// stays; requests in hand keep the class that they came with, and its effect.
func (r *Router) applySettings(settings Settings) {
	r.settings = settings
	if r.settings.MaxAttempts <= 0 {
		r.settings.MaxAttempts = 4
	}
	known := r.classes
	r.classes, r.highestWorth = map[string]*class{}, 0
	for _, declared := range settings.Classes {
		guess := max(declared.Aim/2, 1)
		class := &class{Class: declared, meanSendTime: guess, hitTime: guess}
		if old := known[declared.Name]; old != nil {
			class.meanSendTime, class.hitTime = old.meanSendTime, old.hitTime
		}
		r.classes[declared.Name] = class
		r.highestWorth = max(r.highestWorth, declared.Worth)
	}
	for _, member := range r.members {
		member.role = r.roleOf(member.Member)
	}
	r.groupByRole()
}

// Valid tells of settings that contradict themselves.
func (s Settings) Valid() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("indigospool: settings name no class")
	case s.ColdFrom < 0 || s.ColdFrom > 1 || s.ParentColdFrom < 0 || s.ParentColdFrom > 1:
		return errors.New("indigospool: a cold share is not within 0 and 1")
	case s.ParentKind != "" && s.ParentKind == s.OriginKind:
		return fmt.Errorf("indigospool: parents and origin are both of kind %q", s.ParentKind)
	case s.PurgeTakes < 0 || s.ColdTime < 0 || s.ParentColdTime < 0 || s.DrainGrace < 0:
		return errors.New("indigospool: a span is negative")
	}
	named := map[string]bool{}
	for _, c := range s.Classes {
		if named[c.Name] {
			return fmt.Errorf("indigospool: class %q is named twice", c.Name)
		}
		named[c.Name] = true
	}
	return nil
}

// sharingRouters is how many routers send to the members of a role, as told.
func (s Settings) sharingRouters(role role) float64 {
	routers := s.Routers
	if i := slices.Index(s.Zones, s.Zone); role == edge && i >= 0 && i < len(s.RoutersByZone) {
		routers = s.RoutersByZone[i]
	}
	return float64(max(routers, 1))
}
