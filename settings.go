package indigospool

import (
	"errors"
	"fmt"
	"slices"
)

// class is a class and what is seen of it.
type class struct {
	Class
	mean Millis // sending time
	took Millis // time of answers from held copies
}

// adopt goes by settings from now on. What was learned of a class of the same name
// stays; requests in hand keep the class that they came with, and its effect.
func (r *Router) adopt(s Settings) {
	r.s = s
	if r.s.MaxAttempts <= 0 {
		r.s.MaxAttempts = 4
	}
	known := r.classes
	r.classes, r.mostWorth = map[string]*class{}, 0
	for _, c := range s.Classes {
		guess := max(c.Aim/2, 1)
		k := &class{Class: c, mean: guess, took: guess}
		if old := known[c.Name]; old != nil {
			k.mean, k.took = old.mean, old.took
		}
		r.classes[c.Name] = k
		r.mostWorth = max(r.mostWorth, c.Worth)
	}
	for _, m := range r.members {
		m.role = r.roleOf(m.Member)
	}
	r.file()
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

// sharers is how many routers send to the members of a role, as told.
func (s Settings) sharers(k role) float64 {
	n := s.Routers
	if i := slices.Index(s.Zones, s.Zone); k == edge && i >= 0 && i < len(s.RoutersByZone) {
		n = s.RoutersByZone[i]
	}
	return float64(max(n, 1))
}
