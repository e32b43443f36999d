package indigospool

import "testing"

func TestPurges(t *testing.T) {
	g := newRig(t, testSettings())
	g.do(Purge{Object: "x", Group: 3, Age: 100})
	g.now += 50
	id, acts := g.ask("video", "x", 0)
	if s := g.one(acts); s.Age <= 0 || s.Age >= 150 {
		t.Errorf("age %v, want under 150", s.Age)
	}
	g.now += 10
	acts = g.do(Outcome{ID: id, Result: Errored, Took: 10})
	if s := g.one(acts); s.Age <= 0 || s.Age >= 160 {
		t.Errorf("retry: age %v, want under 160", s.Age)
	}
	g.do(Purge{Group: 0, Age: 0})
	if _, acts = g.ask("page", "y", 0); g.one(acts).Age <= 0 || g.one(acts).Age > 1 {
		t.Errorf("just told of a group's purge: age %v", g.one(acts).Age)
	}
	g.wait(7000)
	if _, acts = g.ask("page", "y", 0); g.one(acts).Age != 8000 {
		t.Errorf("after the purge is through: age %v", g.one(acts).Age)
	}
}
