package endpointcheck

import (
	"fmt"
	"strings"
	"testing"

	"indigospool/internal/config"
	"indigospool/internal/testbed/loadgen"
)

func rehearse(t *testing.T, text, old string, o RehearseOptions) *Rehearsal {
	t.Helper()
	o.Seed = 1
	if o.BeforeMillis == 0 {
		o.BeforeMillis, o.AfterMillis = 20000, 25000
	}
	r, err := Check([]config.Source{{File: "new.edn", Text: text}}, []config.Source{{File: "old.edn", Text: old}}, Options{Objects: 20, Seed: 1, Rehearse: &o})
	if err != nil {
		t.Fatal(err)
	}
	if r.Rehearsal == nil {
		t.Fatalf("no rehearsal: %v", r.Reasons)
	}
	return r.Rehearsal
}

func (r *Rehearsal) of(name string) Utilization {
	for _, p := range r.Utilization {
		if p.Name == name {
			return p
		}
	}
	return Utilization{}
}

// The same list with another text overloads nothing, and the outcomes stay the same.
func TestRehearseNothing(t *testing.T) {
	r := rehearse(t, "; the same\n"+validList, validList, RehearseOptions{})
	if !r.OK() || r.Routers != 6 || r.Before.Requests < 200 || r.First.Requests < 200 || r.After.Requests < 200 ||
		r.Before.InTime < 0.99 || r.After.InTime < 0.99 || r.First.Rejected > 0 || len(r.Assumptions) != 0 {
		t.Errorf("%+v", r)
	}
}

// If a parent drains, the others get its fills. If they lack the capacity, the overload
// and its duration are reported.
func TestRehearseParentGone(t *testing.T) {
	for _, k := range []struct {
		size   float64
		pushed bool
	}{{40, false}, {0.5, true}} {
		old := strings.ReplaceAll(validList, "(kind parent) (zone h) (size 40)", fmt.Sprintf("(kind parent) (zone h) (size %v)", k.size))
		r := rehearse(t, strings.Replace(strings.Replace(old, "(member p3 ", "(member p3 (state draining) ", 1), "(member q", "", 1), old, RehearseOptions{Rate: 60})
		p1, p3 := r.of("p1"), r.of("p3")
		if r.OK() == k.pushed || k.pushed && (!p1.Overloaded() && !r.of("p2").Overloaded()) || p3.RefillMB > p1.RefillMB {
			t.Errorf("size %v: OK %v, %+v %+v %+v", k.size, r.OK(), p1, r.of("p2"), p3)
		}
		if k.pushed && p1.OverloadedSeconds+r.of("p2").OverloadedSeconds == 0 {
			t.Errorf("no overloaded seconds: %+v", r.Utilization)
		}
	}
}

// A new parent is cold: all routers together keep its load within its capacity, and it
// does not fail (TestParentFailsUnderOverload of package whatif has a member that does).
func TestRehearseNewParent(t *testing.T) {
	r := rehearse(t, validList+`(member p4 (kind parent) (zone h) (size 40) (address "127.0.0.1:9"))`, validList, RehearseOptions{Rate: 120})
	p4 := r.of("p4")
	if !p4.New || p4.Overloaded() || p4.FailedAfter > 0 || p4.InitialCapacity != 40*0.06 || p4.WarmAfter != 22 || p4.RefillMB <= 0 {
		t.Errorf("%+v", p4)
	}
}

// All caches of a zone are replaced: their content is filled again over the zone's
// link.
func TestRehearseEmptyZone(t *testing.T) {
	old := strings.ReplaceAll(validList, "(link 20)", "(link 4)")
	text := old
	for i := 1; i <= 2; i++ {
		text = strings.Replace(text, fmt.Sprintf("(member n%d ", i), fmt.Sprintf("(member n%dx ", i), 1)
	}
	r := rehearse(t, text, old, RehearseOptions{Rate: 60})
	n := r.of("n")
	if n.Role != "link" || n.Peak <= 1.5*n.Before || n.RefillMB <= 0 {
		t.Errorf("%+v", n)
	}
}

func TestRehearseLoad(t *testing.T) {
	s := &loadgen.Script{}
	if err := config.Read("load.edn", `(load x (targets "127.0.0.1:1")) (arrivals steady (rate 50)) (class pictures (path "/s/{object}") (objects 10))`, s); err != nil {
		t.Fatal(err)
	}
	r := rehearse(t, "; the same\n"+validList, validList, RehearseOptions{Load: s})
	if r.Rate != 50 || r.Before.Requests != 500 || r.of("p1").Before > 0.001 {
		t.Errorf("%+v", r)
	}
	if _, err := Rehearse(strings.ReplaceAll(strings.ReplaceAll(validList, "(routers 3)", ""), "(of 6)", ""), validList, RehearseOptions{}); err == nil || !strings.Contains(err.Error(), "no routers to simulate") {
		t.Error(err)
	}
}
