package whatif

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/decisionlog/journal"
	"indigospool/internal/proxy/engine"
)

const settings = `(router (name r) (zone z) (of 1)) (zone z (hub h) (routers 1) (link 40)) (zone h (hub h))
(fill (direct) (flow 10) (sizes) (siblings location))
(class still (aim 200) (deadline 2000)) (class film (parts) (aim 300) (deadline 3000))
(class order (write) (effect single-shot) (deadline 2000))
(route "/s/{group}/{object}" (class still)) (route "/v/{group}/{object}/{part}" (class film)) (route "/o/{object}" (class order))
(member b1 (zone z) (size 10) (address "127.0.0.1:1")) (member b2 (zone z) (size 10) (address "127.0.0.1:2"))
(member b3 (zone z) (size 10) (address "127.0.0.1:5"))
(member p1 (kind parent) (zone h) (size 20) (address "127.0.0.1:3")) (member p2 (kind parent) (zone h) (size 20) (address "127.0.0.1:6"))
(member o (kind origin) (zone h) (address "127.0.0.1:4"))
`

func readSettings(t testing.TB, text string) *config.Settings {
	t.Helper()
	s := &config.Settings{}
	if err := config.Read("test", text, s); err != nil {
		t.Fatal(err)
	}
	return s
}

func options(s *config.Settings) CacheModelOptions {
	return CacheModelOptions{TransferRate: s.Fill.FlowKBPerMs, SizeIsCapacity: s.Fill.SizeIsCapacity, ParentKind: "parent", OriginKind: "origin",
		WarmUpInitialShare: s.Rules.WarmUpInitialShare, WarmUpTime: s.Rules.WarmUpTime, OverloadFactor: s.Rules.OverloadFactor,
		ParentWarmUpInitialShare: s.Rules.ParentWarmUpInitialShare, ParentWarmUpTime: s.Rules.ParentWarmUpTime, ParentOverloadFactor: s.Rules.ParentOverloadFactor,
		OverloadTime: s.Rules.OverloadTime}
}

type recorder struct{ w *journal.Writer }

func (r recorder) Handled(now float64, ev spool.Event, acts []spool.Action) {
	r.w.Handled(now, ev, acts)
}
func (r recorder) SettingsChanged(now float64, s *config.Settings, acts []spool.Action) {
	r.w.Settings(now, 2, func() string { return config.Print(s) }, acts)
}

// record plays a router before cache models, and keeps its journal: requests a
// second apart by the gap, a drain, a purge and a cold start on the way.
func record(t testing.TB, requests int, gap float64) func() (*journal.Reader, error) {
	t.Helper()
	dir := t.TempDir()
	w, err := journal.Open(dir, journal.Options{Queue: 1 << 22})
	if err != nil {
		t.Fatal(err)
	}
	s := readSettings(t, settings)
	c, err := engine.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	w.RouterStarted(journal.RouterStart{Name: "r", Seed: 1, Settings: config.Print(s)})
	c.Recorder = recorder{w}
	sim := &Sim{Now: 1000}
	r := sim.Add("r", c, NewCacheModels(options(s)))
	news := func(n *engine.Update) {
		for _, ev := range c.Apply(sim.Now, n).Events {
			sim.Handle(r, ev)
		}
	}
	news(engine.UpdateFromSettings(s))
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range requests {
		sim.RunTo(sim.Now + gap*rng.ExpFloat64())
		o := int(rng.ExpFloat64() * 12)
		q := spool.Request{ID: fmt.Sprint("q", i), Class: "still", Object: fmt.Sprintf("/s/%d/o%d", o%7, o), Group: o % 7, KB: 100}
		if i%3 == 0 {
			q.Class, q.Object, q.Part = "film", fmt.Sprintf("/v/%d/o%d", o%7, o), int(rng.ExpFloat64()*4)
		}
		if i%20 == 7 {
			q.Class, q.Object, q.Group, q.Write = "order", fmt.Sprint("/o/", i), -1, true
		}
		sim.Handle(r, q)
		switch i {
		case requests / 3:
			news(engine.UpdateFromVersion(1, s.Members[2:3], true)) // b3 comes back empty
		case requests / 2:
			news(&engine.Update{Rev: 1, Kind: "step", Members: []engine.Row{{ID: "p2", Kind: "parent", Zone: "h", State: "draining", Size: 20}}})
		case requests * 2 / 3:
			sim.Handle(r, spool.Purge{Object: "/s/0/o0"})
			sim.Handle(r, spool.Purge{Group: 1})
		}
	}
	sim.RunTo(sim.Now + 5000)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return func() (*journal.Reader, error) { return journal.OpenReader(dir) }
}

func compare(t testing.TB, open func() (*journal.Reader, error), ch Change) *Report {
	t.Helper()
	r, err := Compare(open, ch)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *Report) member(id string) MemberChange {
	for _, m := range r.Members {
		if m.Member == id {
			return m
		}
	}
	return MemberChange{}
}

// With nothing changed both runs are one, and nearly all requests go where they went.
func TestNothingChanged(t *testing.T) {
	r := compare(t, record(t, 3000, 10), Change{})
	if r.Changed != 0 || r.Requests != 3000 || len(r.Causes) != 0 || r.FirstAttemptMatch < 0.97 || r.PathMatch < 0.95 || r.Unfinished > 5 {
		t.Errorf("%+v", r)
	}
	for _, k := range r.Classes {
		if k.Baseline.Requests != k.Modified.Requests || k.Baseline.InTime != k.Modified.InTime || k.Baseline.P99 != k.Modified.P99 {
			t.Errorf("%+v", k)
		}
	}
	for _, one := range r.Risks {
		if one.Baseline != one.Modified {
			t.Errorf("%+v", one)
		}
	}
}

// A member that had never been listed is given nothing, and its requests say why
// they went elsewhere; nobody else's first attempts by the hash move.
func TestDropMember(t *testing.T) {
	r := compare(t, record(t, 2000, 10), Change{Drop: []string{"b1"}})
	b1 := r.member("b1")
	if b1.Baseline.Attempts < 100 || b1.Modified.Attempts+b1.Modified.Fills != 0 || r.Changed < b1.Baseline.Attempts/2 || r.Changed == r.Requests {
		t.Errorf("%d changed: %+v", r.Changed, b1)
	}
	if len(r.Causes) == 0 || !strings.Contains(r.Causes[0].Why, "cache b1 is dropped") {
		t.Errorf("%+v", r.Causes)
	}
	r = compare(t, record(t, 2000, 10), Change{Drop: []string{"b1", "b2", "b3", "p1", "p2", "o"}})
	for _, k := range r.Classes {
		if k.Modified.Rejected+k.Modified.Failed != k.Modified.Requests || k.Modified.Attempts != 0 {
			t.Errorf("with nobody there: %+v", k)
		}
	}
}

// One that takes three times as long is busy for longer, and classes get slower.
func TestSlow(t *testing.T) {
	r := compare(t, record(t, 2000, 10), Change{Slow: map[string]float64{"b2": 4}})
	b2 := r.member("b2")
	if per := func(l Load) float64 { return l.BusyMs / float64(l.Attempts) }; per(b2.Modified) < 2*per(b2.Baseline) {
		t.Errorf("%+v", b2)
	}
	if k := r.Classes[len(r.Classes)-1]; k.Class != "still" || k.Modified.P99 <= k.Baseline.P99 {
		t.Errorf("%+v", k)
	}
}

// Other settings: with one attempt each there are no looks, so no request makes two.
func TestOtherSettings(t *testing.T) {
	s := readSettings(t, strings.Replace(settings, "(router ", "(limits (attempts 1)) (router ", 1))
	r := compare(t, record(t, 1500, 10), Change{Settings: s})
	for _, k := range r.Classes {
		if k.Modified.Attempts > k.Modified.Requests || k.Class == "still" && k.Baseline.Attempts <= k.Baseline.Requests {
			t.Errorf("%+v", k)
		}
	}
	if r.Changed == 0 {
		t.Error("nothing changed")
	}
}

func TestNoRun(t *testing.T) {
	dir := t.TempDir()
	w, err := journal.Open(dir, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	w.Handled(1, spool.Timer{}, nil)
	w.Close()
	if _, err := Compare(func() (*journal.Reader, error) { return journal.OpenReader(dir) }, Change{}); err == nil ||
		!strings.Contains(err.Error(), "no run of a router") {
		t.Error(err)
	}
}

// Each rule's planted break is found, and what is right is not.
func TestRisks(t *testing.T) {
	s := readSettings(t, settings)
	still := spool.Request{ID: "q", Class: "still", Object: "/s/1/a", Group: 1, KB: 100, Deadline: 1000}
	order := spool.Request{ID: "w", Class: "order", Object: "/o/1", Group: -1, Deadline: 1000, Write: true}
	row := func(id, kind string, st spool.State, ready float64) spool.Members {
		return spool.Members{Rows: []spool.Member{{ID: id, Zone: "z", Kind: kind, State: st, Size: 10, ReadyAt: ready}}}
	}
	look := spool.Send{ID: "q", Cache: "b1", Source: "b1", Keep: 1, Age: 1e9}
	for _, k := range []struct {
		name string
		rule int
		do   func(r *riskChecker)
	}{
		{"late", 1, func(r *riskChecker) { r.requestEnded(1100, &RequestState{Request: still, End: Rejected}) }},
		{"in time", 0, func(r *riskChecker) { r.requestEnded(990, &RequestState{Request: still, End: Rejected}) }},
		{"a body that runs on", 0, func(r *riskChecker) { r.requestEnded(1100, &RequestState{Request: still, End: Served, started: true}) }},
		{"a write again", 2, func(r *riskChecker) {
			r.attemptSent(500, &RequestState{Request: order, Attempts: []*Attempt{{SentAt: 1, Done: true, Result: spool.TimedOut}, {SentAt: 500}}}, &spool.Send{ID: "w", Cache: "o", Source: "o"})
		}},
		{"a write that never ran", 0, func(r *riskChecker) {
			r.attemptSent(500, &RequestState{Request: order, Attempts: []*Attempt{{SentAt: 1, Done: true, Result: spool.ConnectFailed}, {SentAt: 500}}}, &spool.Send{ID: "w", Cache: "o", Source: "o"})
		}},
		{"to one that drains", 3, func(r *riskChecker) {
			r.update(1000, row("b1", "box", spool.Draining, 0))
			r.attemptSent(1600, &RequestState{Request: still, Attempts: []*Attempt{{}}}, &look)
		}},
		{"within the grace", 0, func(r *riskChecker) {
			r.update(1000, row("b1", "box", spool.Draining, 0))
			r.attemptSent(1400, &RequestState{Request: still, Attempts: []*Attempt{{}}}, &look)
		}},
		{"from one that is gone", 3, func(r *riskChecker) {
			r.update(900, row("p1", "parent", spool.Serving, 0))
			r.update(1000, spool.Members{Full: true})
			r.attemptSent(1600, &RequestState{Request: still, Attempts: []*Attempt{{}}}, &spool.Send{ID: "q", Cache: "b2", Source: "p1", Keep: 1, Age: 1e9})
		}},
		{"a cold one", 4, func(r *riskChecker) {
			r.update(1000, row("b1", "box", spool.Serving, 1000))
			for i := range 4000 {
				r.attemptSent(1000+float64(i)/4, &RequestState{Request: still, Attempts: []*Attempt{{}}}, &look)
			}
		}},
		{"a cold one, a little", 0, func(r *riskChecker) {
			r.update(1000, row("b1", "box", spool.Serving, 1000))
			for i := range 10 {
				r.attemptSent(1000+float64(100*i), &RequestState{Request: still, Attempts: []*Attempt{{}}}, &look)
			}
		}},
		{"any age after a purge", 5, func(r *riskChecker) {
			r.update(1000, spool.Purge{Group: 1})
			r.attemptSent(1500, &RequestState{Request: still, Attempts: []*Attempt{{}}}, &look)
		}},
		{"young enough", 0, func(r *riskChecker) {
			r.update(1000, spool.Purge{Object: "/s/1/a"})
			young := look
			young.Age = 499
			r.attemptSent(1500, &RequestState{Request: still, Attempts: []*Attempt{{}}}, &young)
		}},
	} {
		r := newRiskChecker()
		r.startRun(s)
		k.do(r)
		for rule := 1; rule < len(r.counts); rule++ {
			if (r.counts[rule] > 0) != (rule == k.rule) {
				t.Errorf("%s: rule %d found %d times (%s)", k.name, rule, r.counts[rule], r.first[rule])
			}
		}
	}
}

// randomMembers is a World that answers anything.
type randomMembers struct{ t *rapid.T }

func (w randomMembers) Update(float64, spool.Event)                                              {}
func (w randomMembers) AttemptEnded(float64, *spool.Request, *spool.Send, *Answer, spool.Result) {}
func (w randomMembers) Attempt(float64, *spool.Request, int, *spool.Send) Answer {
	a := Answer{Result: spool.Result(rapid.IntRange(0, int(spool.Miss)).Draw(w.t, "result")), Note: spool.Note(rapid.IntRange(0, int(spool.NoteOriginFailed)).Draw(w.t, "note")),
		Took: rapid.Float64Range(0, 4000).Draw(w.t, "took"), Unanswered: rapid.IntRange(0, 9).Draw(w.t, "never") == 0}
	a.FirstByte = rapid.Float64Range(0, 4000).Draw(w.t, "begins")
	return a
}

// Whatever members do, each request ends once, by its deadline unless its answer
// has begun; and what the module decides keeps the rules that a run shows.
func TestEachEndsOnce(t *testing.T) {
	s := readSettings(t, settings)
	rapid.Check(t, func(t *rapid.T) {
		c, err := engine.New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		sim := &Sim{Now: 1000, Explain: true}
		ends, came := map[string]int{}, 0
		ri := newRiskChecker()
		ri.startRun(s)
		sim.Watch.AttemptSent = func(_ *Router, state *RequestState, a *spool.Send, _ []spool.Candidate) {
			ri.attemptSent(sim.Now, state, a)
		}
		sim.Watch.RequestEnded = func(_ *Router, state *RequestState) { ends[state.Request.ID]++; ri.requestEnded(sim.Now, state) }
		r := sim.Add("r", c, randomMembers{t})
		tell := func(n *engine.Update) {
			for _, ev := range c.Apply(sim.Now, n).Events {
				ri.update(sim.Now, ev)
				sim.Handle(r, ev)
			}
		}
		tell(engine.UpdateFromSettings(s))
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			sim.RunTo(sim.Now + rapid.Float64Range(0, 400).Draw(t, "pause"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				m := rapid.SampledFrom(s.Members[:5]).Draw(t, "member")
				m.State = rapid.SampledFrom([]string{"serving", "draining", "removed"}).Draw(t, "state")
				tell(engine.UpdateFromVersion(1, []config.Member{m}, rapid.Bool().Draw(t, "fresh")))
			case 1:
				ev := spool.Purge{Group: rapid.IntRange(0, 2).Draw(t, "purged")}
				ri.update(sim.Now, ev)
				sim.Handle(r, ev)
			case 2:
				sim.Handle(r, spool.Gone{ID: fmt.Sprint("q", rapid.IntRange(0, i).Draw(t, "gone"))})
			default:
				class := rapid.SampledFrom([]string{"still", "film", "order"}).Draw(t, "class")
				sim.Handle(r, spool.Request{ID: fmt.Sprint("q", i), Class: class, Object: fmt.Sprint("/x/", rapid.IntRange(0, 3).Draw(t, "object")),
					Group: rapid.IntRange(0, 2).Draw(t, "group"), Part: rapid.IntRange(0, 5).Draw(t, "part"), Write: class == "order", KB: 50})
				came++
			}
		}
		sim.RunTo(sim.Now + 20000)
		if len(ends) != came || len(r.requests) > 0 {
			t.Fatalf("%d of %d requests ended, %d are held", len(ends), came, len(r.requests))
		}
		for id, n := range ends {
			if n != 1 {
				t.Fatalf("%s ended %d times", id, n)
			}
		}
		for rule, n := range ri.counts {
			if n > 0 {
				t.Fatalf("rule %d: %s", rule, ri.first[rule])
			}
		}
	})
}

// A cold parent that is given far more than it bears falls over, and answers nothing
// from then on; a warm one only gets slower.
func TestBoxesFall(t *testing.T) {
	s := readSettings(t, settings)
	w := NewCacheModels(options(s))
	var seconds float64
	w.OnUsage = func(id string, _ int, sp *Usage) {
		if id == "p1" {
			seconds += sp.SendMillis
		}
	}
	w.Update(1000, spool.Members{Rows: []spool.Member{{ID: "b1", Zone: "z", Kind: "box", Size: 10}, {ID: "p1", Kind: "parent", Size: 1, ReadyAt: 1000}, {ID: "p2", Kind: "parent", Size: 1}}})
	take := func(now float64, i int, source string) Answer {
		q := &spool.Request{ID: "q", Object: fmt.Sprint("/s/", i), KB: 1000}
		a := w.Attempt(now, q, 0, &spool.Send{Cache: "b1", Source: source, Keep: 1, Age: 1e9})
		if i%2 == 0 {
			w.AttemptEnded(now, q, &spool.Send{Cache: "b1", Source: source, Keep: 1, Age: 1e9}, &a, a.Result)
		}
		return a
	}
	fell := 0
	for i := range 40 {
		if a := take(1000+float64(i)*50, i, "p1"); a.Result != spool.OK {
			fell++
		} else if fell > 0 {
			t.Fatal("it answers again")
		}
		if a := take(1000+float64(i)*50, 100+i, "p2"); a.Result != spool.OK {
			t.Fatal("a warm one fell")
		}
	}
	if w.Finish(5000); fell == 0 || fell > 38 || w.FailedAt("p1") == 0 || w.FailedAt("p2") > 0 || seconds < 300 {
		t.Errorf("%d refused, fell at %v and %v, %v ms of sending", fell, w.FailedAt("p1"), w.FailedAt("p2"), seconds)
	}
	if a := take(9000, 100, "p2"); a.Note != spool.NoteHit { // it was filled before
		if a = take(9000, 102, "p2"); a.Note != spool.NoteHit {
			t.Errorf("nothing was kept: %+v", a)
		}
	}
}
