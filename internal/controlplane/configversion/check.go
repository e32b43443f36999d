package configversion

import (
	"fmt"
	"math"
	"sort"
	"strings"

	"indigospool/internal/config"
)

// CheckLimits bound what one version may change or claim. Zero fields mean the
// defaults.
type CheckLimits struct {
	ParentChurn     float64 // share of the parents that may come or go at once; default 0.5
	CacheChurn      float64 // share of a zone's caches that may go at once; default 0.67
	MaxCapacity     float64 // of a member; default 1e6
	MaxLinkCapacity float64 // KB a ms of a zone; default 1e6
}

func (l CheckLimits) filled() CheckLimits {
	def := func(v *float64, d float64) {
		if *v <= 0 {
			*v = d
		}
	}
	def(&l.ParentChurn, 0.5)
	def(&l.CacheChurn, 0.67)
	def(&l.MaxCapacity, 1e6)
	def(&l.MaxLinkCapacity, 1e6)
	return l
}

// Check makes the checks of a version's sense that the schema can't: against
// itself, and against the version before it, nil where there is none.
func Check(old, s *config.Settings, l CheckLimits) []Reason {
	c := &check{old: old, s: s, l: l.filled()}
	c.members()
	c.sources()
	c.churn()
	c.figures()
	return c.out
}

type check struct {
	old, s *config.Settings
	l      CheckLimits
	out    []Reason
}

func (c *check) add(path, what, remedy string) { c.out = append(c.out, Reason{path, what, remedy}) }

// members checks each member, and that no zone with routers is left without a cache.
func (c *check) members() {
	serving := map[string]int{}
	all := map[string]int{}
	for _, m := range c.s.Members {
		path := "member/" + m.ID
		if m.Size < 0 || m.Size > c.l.MaxCapacity || math.IsNaN(m.Size) {
			c.add(path+"/size", fmt.Sprintf("capacity %v", m.Size), fmt.Sprintf("it must be from 0 to %v", c.l.MaxCapacity))
		}
		if m.Kind == c.s.Fill.ParentKind || m.Kind == c.s.Fill.OriginKind {
			continue
		}
		if all[m.Zone]++; m.State == "serving" {
			serving[m.Zone]++
		}
	}
	for _, z := range c.s.Zones {
		if z.LinkIn < 0 || z.LinkIn > c.l.MaxLinkCapacity {
			c.add("zone/"+z.Name+"/link", fmt.Sprintf("link of %v KB a ms", z.LinkIn), fmt.Sprintf("it must be from 0 to %v", c.l.MaxLinkCapacity))
		}
		if z.Routers > 0 && serving[z.Name] == 0 && c.s.Router.List == "" {
			what := "no cache is listed there, though it has routers"
			if all[z.Name] > 0 {
				what = fmt.Sprintf("none of its %d caches is serving", all[z.Name])
			}
			c.add("zone/"+z.Name, what, "keep one cache serving, or set (routers 0)")
		}
	}
	sum := 0
	for _, z := range c.s.Zones {
		sum += z.Routers
	}
	if sum > c.s.Router.Of {
		c.add("router/of", fmt.Sprintf("the zones have %d routers, there are %d in all", sum, c.s.Router.Of), "raise (of n)")
	}
}

// sources checks what can be filled from: where parents are listed, one must
// serve; the origin must serve always.
func (c *check) sources() {
	count := map[string][2]int{}
	for _, m := range c.s.Members {
		n := count[m.Kind]
		if n[0]++; m.State == "serving" {
			n[1]++
		}
		count[m.Kind] = n
	}
	for _, k := range []struct{ kind, role string }{{c.s.Fill.ParentKind, "parent"}, {c.s.Fill.OriginKind, "origin"}} {
		n := count[k.kind]
		if n[0] > 0 && n[1] == 0 {
			var ids []string
			for _, m := range c.s.Members {
				if m.Kind == k.kind {
					ids = append(ids, m.ID+" is "+m.State)
				}
			}
			c.add("member/"+k.kind, fmt.Sprintf("every %s is a fill source that takes nothing: %s", k.role, strings.Join(ids, ", ")),
				"keep one serving, or list none")
		}
	}
	for _, m := range c.s.Members {
		if len(m.FillFrom) == 0 {
			continue
		}
		for _, id := range m.FillFrom {
			path := fmt.Sprintf("member/%s/fill-from", m.ID)
			src := find(c.s.Members, id)
			switch {
			case src == nil:
				c.add(path, fmt.Sprintf("source %q is not listed", id), "list it, or name another")
			case src.State != "serving":
				c.add(path, fmt.Sprintf("source %q is %s", id, src.State), "name one that is serving")
			}
		}
	}
}

func find(list []config.Member, id string) *config.Member {
	for i := range list {
		if list[i].ID == id {
			return &list[i]
		}
	}
	return nil
}

// churn bounds what comes and goes at once: fills follow a hash over the
// parents, so a new list of them sends a wave of misses to the origin.
func (c *check) churn() {
	if c.old == nil {
		return
	}
	group := func(s *config.Settings, parents bool) map[string]map[string]bool {
		out := map[string]map[string]bool{}
		for _, m := range s.Members {
			is := m.Kind == s.Fill.ParentKind
			if m.State != "serving" || m.Kind == s.Fill.OriginKind || is != parents {
				continue
			}
			zone := m.Zone
			if parents {
				zone = ""
			}
			if out[zone] == nil {
				out[zone] = map[string]bool{}
			}
			out[zone][m.ID] = true
		}
		return out
	}
	lost := func(was, is map[string]bool) (n int) {
		for id := range was {
			if !is[id] {
				n++
			}
		}
		return n
	}
	was, is := group(c.old, true)[""], group(c.s, true)[""]
	if changed := lost(was, is) + lost(is, was); len(was) > 0 && float64(changed) > c.l.ParentChurn*float64(len(was)) && changed > 1 {
		c.add("member/"+c.s.Fill.ParentKind, fmt.Sprintf("%d of %d parents come or go at once", changed, len(was)),
			fmt.Sprintf("change at most %.0f %% in one version, and let fills settle", 100*c.l.ParentChurn))
	}
	before, after := group(c.old, false), group(c.s, false)
	zones := make([]string, 0, len(before))
	for z := range before {
		zones = append(zones, z)
	}
	sort.Strings(zones)
	for _, z := range zones {
		if n := lost(before[z], after[z]); n > 1 && float64(n) > c.l.CacheChurn*float64(len(before[z])) {
			c.add("zone/"+z, fmt.Sprintf("%d of %d caches go at once", n, len(before[z])),
				fmt.Sprintf("take out at most %.0f %% in one version", 100*c.l.CacheChurn))
		}
	}
}

// figures checks that a version does not loosen a figure of the rules, or what
// a request's class may do, under requests that run by it.
func (c *check) figures() {
	r := c.s.Rules
	if r.FallFactor*r.ColdFrom > 1e3 || r.ParentFall*r.ParentColdFrom > 1e3 {
		c.add("rules", "a cold member could be given a thousand times its capacity", "lower fall-factor or cold-from")
	}
	if r.PurgeTakes < r.PurgeSlack {
		c.add("rules/purge-takes", fmt.Sprintf("copies are gone %v ms after a purge, heeded after %v", r.PurgeTakes, r.PurgeSlack),
			"purge-takes is the longer span")
	}
	if c.old == nil {
		return
	}
	o := c.old.Rules
	for _, f := range []struct {
		name     string
		was, is  float64
		loosened bool
	}{
		{"drain-grace", o.DrainGrace, r.DrainGrace, r.DrainGrace > o.DrainGrace},
		{"purge-slack", o.PurgeSlack, r.PurgeSlack, r.PurgeSlack > o.PurgeSlack},
		{"purge-takes", o.PurgeTakes, r.PurgeTakes, r.PurgeTakes < o.PurgeTakes},
		{"cold-from", o.ColdFrom, r.ColdFrom, r.ColdFrom > o.ColdFrom},
		{"cold-time", o.ColdTime, r.ColdTime, r.ColdTime < o.ColdTime},
		{"fall-factor", o.FallFactor, r.FallFactor, r.FallFactor > o.FallFactor},
		{"parent-cold-from", o.ParentColdFrom, r.ParentColdFrom, r.ParentColdFrom > o.ParentColdFrom},
		{"parent-fall", o.ParentFall, r.ParentFall, r.ParentFall > o.ParentFall},
	} {
		if f.loosened && !c.s.Rules.Loosen {
			c.add("rules/"+f.name, fmt.Sprintf("loosened from %v to %v", f.was, f.is),
				"a rule's figure is loosened only by a version that says (rules (loosen true))")
		}
	}
	classes := map[string]config.Class{}
	for _, k := range c.old.Classes {
		classes[k.Name] = k
	}
	for _, k := range c.s.Classes {
		if was, ok := classes[k.Name]; ok && was.Effect != k.Effect && was.Effect != "free" && !c.s.Rules.Loosen {
			c.add("class/"+k.Name+"/effect", fmt.Sprintf("changed from %s to %s, so that repeats are treated otherwise", was.Effect, k.Effect),
				"give the class another name, or say (rules (loosen true))")
		}
	}
}
