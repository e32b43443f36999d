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

// record simulates a router with cache models and records its journal. The gaps between
// requests are random with the mean gap, in ms. A member restarts with an empty cache, a parent
// drains, and copies are purged.
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
	update := func(n *engine.Update) {
		for _, ev := range c.Apply(sim.Now, n).Events {
			sim.Handle(r, ev)
		}
	}
	update(engine.UpdateFromSettings(s))
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
			update(engine.UpdateFromVersion(1, s.Members[2:3], true)) // b3 restarts with an empty cache
		case requests / 2:
			update(&engine.Update{Rev: 1, Kind: "step", Members: []engine.Row{{ID: "p2", Kind: "parent", Zone: "h", State: "draining", Size: 20}}})
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

// TestNothingChanged checks that without a change both simulations are equal, and that nearly
// all requests have their recorded attempts.
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

// TestDropMember checks that a dropped member gets no attempts, that this is the most frequent
// cause of differences, and that not all requests are handled differently. Without any members,
// all requests are rejected or fail.
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
			t.Errorf("without members: %+v", k)
		}
	}
}

// TestSlow checks that a slower member is busy for longer, and that a class becomes slower.
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

// TestOtherSettings checks that with a limit of one attempt no request has two, whereas there
// are more attempts than requests in the recorded settings.
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

// TestRisks checks that a violation of each rule is found, and that allowed behavior is not.
func TestRisks(t *testing.T) {
	s := readSettings(t, settings)
	still := spool.Request{ID: "q", Class: "still", Object: "/s/1/a", Group: 1, KB: 100, Deadline: 1000}
	order := spool.Request{ID: "w", Class: "order", Object: "/o/1", Group: -1, Deadline: 1000, Write: true}
	row := func(id, kind string, st spool.State, ready float64) spool.Members {
		return spool.Members{Rows: []spool.Member{{ID: id, Zone: "z", Kind: kind, State: st, Size: 10, ReadyAt: ready}}}
	}
	lookup := spool.Send{ID: "q", Cache: "b1", Source: "b1", Keep: 1, Age: 1e9}
	for _, k := range []struct {
		name string
		rule int
		do   func(r *riskChecker)
	}{
		{"late", 1, func(r *riskChecker) { r.requestEnded(1100, &RequestState{Request: still, End: Rejected}) }},
		{"in time", 0, func(r *riskChecker) { r.requestEnded(990, &RequestState{Request: still, End: Rejected}) }},
		{"a body that ends after the deadline", 0, func(r *riskChecker) { r.requestEnded(1100, &RequestState{Request: still, End: Served, started: true}) }},
		{"a repeated write", 2, func(r *riskChecker) {
			r.attemptSent(500, &RequestState{Request: order, Attempts: []*Attempt{{SentAt: 1, Done: true, Result: spool.TimedOut}, {SentAt: 500}}}, &spool.Send{ID: "w", Cache: "o", Source: "o"})
		}},
		{"a write that never ran", 0, func(r *riskChecker) {
			r.attemptSent(500, &RequestState{Request: order, Attempts: []*Attempt{{SentAt: 1, Done: true, Result: spool.ConnectFailed}, {SentAt: 500}}}, &spool.Send{ID: "w", Cache: "o", Source: "o"})
		}},
		{"to a draining member", 3, func(r *riskChecker) {
			r.update(1000, row("b1", "box", spool.Draining, 0))
			r.attemptSent(1600, &RequestState{Request: still, Attempts: []*Attempt{{}}}, &lookup)
		}},
		{"within the grace period", 0, func(r *riskChecker) {
			r.update(1000, row("b1", "box", spool.Draining, 0))
			r.attemptSent(1400, &RequestState{Request: still, Attempts: []*Attempt{{}}}, &lookup)
		}},
		{"from a removed member", 3, func(r *riskChecker) {
			r.update(900, row("p1", "parent", spool.Serving, 0))
			r.update(1000, spool.Members{Full: true})
			r.attemptSent(1600, &RequestState{Request: still, Attempts: []*Attempt{{}}}, &spool.Send{ID: "q", Cache: "b2", Source: "p1", Keep: 1, Age: 1e9})
		}},
		{"overload during warm-up", 4, func(r *riskChecker) {
			r.update(1000, row("b1", "box", spool.Serving, 1000))
			for i := range 4000 {
				r.attemptSent(1000+float64(i)/4, &RequestState{Request: still, Attempts: []*Attempt{{}}}, &lookup)
			}
		}},
		{"low load during warm-up", 0, func(r *riskChecker) {
			r.update(1000, row("b1", "box", spool.Serving, 1000))
			for i := range 10 {
				r.attemptSent(1000+float64(100*i), &RequestState{Request: still, Attempts: []*Attempt{{}}}, &lookup)
			}
		}},
		{"any age after a purge", 5, func(r *riskChecker) {
			r.update(1000, spool.Purge{Group: 1})
			r.attemptSent(1500, &RequestState{Request: still, Attempts: []*Attempt{{}}}, &lookup)
		}},
		{"a copy from after the purge", 0, func(r *riskChecker) {
			r.update(1000, spool.Purge{Object: "/s/1/a"})
			recent := lookup
			recent.Age = 499
			r.attemptSent(1500, &RequestState{Request: still, Attempts: []*Attempt{{}}}, &recent)
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

// randomMembers is a MemberModel that answers at random.
type randomMembers struct{ t *rapid.T }

func (m randomMembers) Update(float64, spool.Event)                                              {}
func (m randomMembers) AttemptEnded(float64, *spool.Request, *spool.Send, *Answer, spool.Result) {}
func (m randomMembers) Attempt(float64, *spool.Request, int, *spool.Send) Answer {
	a := Answer{Result: spool.Result(rapid.IntRange(0, int(spool.Miss)).Draw(m.t, "result")), Note: spool.Note(rapid.IntRange(0, int(spool.NoteOriginFailed)).Draw(m.t, "note")),
		Took: rapid.Float64Range(0, 4000).Draw(m.t, "took"), Unanswered: rapid.IntRange(0, 9).Draw(m.t, "never") == 0}
	a.FirstByte = rapid.Float64Range(0, 4000).Draw(m.t, "begins")
	return a
}

// TestEachEndsOnce checks that each request ends exactly once, whatever the members answer, and
// that no rule of riskChecker is at risk: a request without a first byte ends by its deadline.
func TestEachEndsOnce(t *testing.T) {
	s := readSettings(t, settings)
	rapid.Check(t, func(t *rapid.T) {
		c, err := engine.New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		sim := &Sim{Now: 1000, Explain: true}
		ends, arrived := map[string]int{}, 0
		risks := newRiskChecker()
		risks.startRun(s)
		sim.Watch.AttemptSent = func(_ *Router, state *RequestState, a *spool.Send, _ []spool.Candidate) {
			risks.attemptSent(sim.Now, state, a)
		}
		sim.Watch.RequestEnded = func(_ *Router, state *RequestState) { ends[state.Request.ID]++; risks.requestEnded(sim.Now, state) }
		r := sim.Add("r", c, randomMembers{t})
		update := func(n *engine.Update) {
			for _, ev := range c.Apply(sim.Now, n).Events {
				risks.update(sim.Now, ev)
				sim.Handle(r, ev)
			}
		}
		update(engine.UpdateFromSettings(s))
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			sim.RunTo(sim.Now + rapid.Float64Range(0, 400).Draw(t, "pause"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				m := rapid.SampledFrom(s.Members[:5]).Draw(t, "member")
				m.State = rapid.SampledFrom([]string{"serving", "draining", "removed"}).Draw(t, "state")
				update(engine.UpdateFromVersion(1, []config.Member{m}, rapid.Bool().Draw(t, "fresh")))
			case 1:
				ev := spool.Purge{Group: rapid.IntRange(0, 2).Draw(t, "purged")}
				risks.update(sim.Now, ev)
				sim.Handle(r, ev)
			case 2:
				sim.Handle(r, spool.Gone{ID: fmt.Sprint("q", rapid.IntRange(0, i).Draw(t, "gone"))})
			default:
				class := rapid.SampledFrom([]string{"still", "film", "order"}).Draw(t, "class")
				sim.Handle(r, spool.Request{ID: fmt.Sprint("q", i), Class: class, Object: fmt.Sprint("/x/", rapid.IntRange(0, 3).Draw(t, "object")),
					Group: rapid.IntRange(0, 2).Draw(t, "group"), Part: rapid.IntRange(0, 5).Draw(t, "part"), Write: class == "order", KB: 50})
				arrived++
			}
		}
		sim.RunTo(sim.Now + 20000)
		if len(ends) != arrived || len(r.requests) > 0 {
			t.Fatalf("%d of %d requests ended, %d are open", len(ends), arrived, len(r.requests))
		}
		for id, n := range ends {
			if n != 1 {
				t.Fatalf("%s ended %d times", id, n)
			}
		}
		for rule, n := range risks.counts {
			if n > 0 {
				t.Fatalf("rule %d: %s", rule, risks.first[rule])
			}
		}
	})
}

// TestParentFailsUnderOverload checks that a parent which is overloaded while it is warming up fails and does
// not recover, and that a warm parent only becomes slower.
func TestParentFailsUnderOverload(t *testing.T) {
	s := readSettings(t, settings)
	w := NewCacheModels(options(s))
	var seconds float64
	w.OnUsage = func(id string, _ int, sp *Usage) {
		if id == "p1" {
			seconds += sp.SendMillis
		}
	}
	w.Update(1000, spool.Members{Rows: []spool.Member{{ID: "b1", Zone: "z", Kind: "box", Size: 10}, {ID: "p1", Kind: "parent", Size: 1, ReadyAt: 1000}, {ID: "p2", Kind: "parent", Size: 1}}})
	attempt := func(now float64, i int, source string) Answer {
		q := &spool.Request{ID: "q", Object: fmt.Sprint("/s/", i), KB: 1000}
		a := w.Attempt(now, q, 0, &spool.Send{Cache: "b1", Source: source, Keep: 1, Age: 1e9})
		if i%2 == 0 {
			w.AttemptEnded(now, q, &spool.Send{Cache: "b1", Source: source, Keep: 1, Age: 1e9}, &a, a.Result)
		}
		return a
	}
	failed := 0
	for i := range 40 {
		if a := attempt(1000+float64(i)*50, i, "p1"); a.Result != spool.OK {
			failed++
		} else if failed > 0 {
			t.Fatal("the parent answers after it has failed")
		}
		if a := attempt(1000+float64(i)*50, 100+i, "p2"); a.Result != spool.OK {
			t.Fatal("a warm parent failed")
		}
	}
	if w.Finish(5000); failed == 0 || failed > 38 || w.FailedAt("p1") == 0 || w.FailedAt("p2") > 0 || seconds < 300 {
		t.Errorf("%d attempts failed, parents failed at %v and %v, %v ms of sending time", failed, w.FailedAt("p1"), w.FailedAt("p2"), seconds)
	}
	if a := attempt(9000, 100, "p2"); a.Note != spool.NoteHit { // it was filled before
		if a = attempt(9000, 102, "p2"); a.Note != spool.NoteHit {
			t.Errorf("no copy was cached: %+v", a)
		}
	}
}
