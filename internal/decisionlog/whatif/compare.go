package whatif

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/decisionlog/explain"
	"indigospool/internal/decisionlog/journal"
	"indigospool/internal/proxy/engine"
)

// Change is a change whose effect is simulated.
type Change struct {
	Settings *config.Settings   // replace all recorded settings; nil: no change
	Drop     []string           // members that are left out of the endpoint list
	Slow     map[string]float64 // factors for the durations of answers, by member
}

// Totals counts the requests of a class in one of the two simulations.
type Totals struct {
	Requests   int64   `json:"requests"`
	InTime     int64   `json:"in_time"` // served within the latency objective
	Late       int64   `json:"late"`    // served later than that
	Rejected   int64   `json:"refused"`
	Failed     int64   `json:"failed"`
	Broken     int64   `json:"broken"`
	ClientLeft int64   `json:"left"`
	Attempts   int64   `json:"attempts"`
	Fills      int64   `json:"fills"`  // from parents and the origin
	P50        float64 `json:"p50_ms"` // of the served requests, as is P99
	P99        float64 `json:"p99_ms"`

	hist *hdrhistogram.Histogram
}

// ClassChange compares a class in the two simulations.
type ClassChange struct {
	Class    string `json:"class"`
	Changed  int64  `json:"changed"` // requests that were sent elsewhere or ended differently
	Baseline Totals `json:"was"`
	Modified Totals `json:"is"`
}

// Load is the load of a member in one of the two simulations.
type Load struct {
	Attempts      int64   `json:"attempts"`
	Fills         int64   `json:"fills"` // for which the member was the source
	BusyMs        float64 `json:"busy_ms"`
	MaxConcurrent int     `json:"most"` // maximum of concurrent attempts from this router

	concurrent int
}

// MemberChange compares a member in the two simulations.
type MemberChange struct {
	Member   string `json:"member"`
	Baseline Load   `json:"was"`
	Modified Load   `json:"is"`
}

// Cause is a reason why requests of a class were handled differently.
type Cause struct {
	Class string `json:"class"`
	Why   string `json:"why"`
	Count int64  `json:"count"`
	First string `json:"first"` // id of the first such request
}

// Report is the result of a comparison.
type Report struct {
	Runs              int            `json:"lives"`
	Requests          int64          `json:"requests"`
	Changed           int64          `json:"changed"`
	FirstAttemptMatch float64        `json:"model"`      // share of requests whose first attempt without the change is the recorded one: the accuracy of the model
	PathMatch         float64        `json:"model_path"` // share of requests whose attempts without the change are all the recorded ones
	Classes           []ClassChange  `json:"classes"`
	Members           []MemberChange `json:"members"`
	Causes            []Cause        `json:"causes,omitempty"`
	Risks             []Risk         `json:"risks,omitempty"`
	Gaps              int            `json:"gaps"` // runs that were simulated only up to a gap
	Unfinished        int64          `json:"cut"`  // requests that were open at the end of a run in either simulation, and are not compared

	events int64
}

// Events returns the number of events passed to the modules in both simulations.
func (r *Report) Events() int64 { return r.events }

// readHistories returns the attempts of each run in a journal. A run ends at a gap.
func readHistories(j *journal.Reader) (histories []*AttemptHistory, gaps int, err error) {
	var history *AttemptHistory
	requests := map[string]*spool.Request{}
	attempts := map[string]int{}
	end := func() {
		if history != nil {
			history.finish()
		}
		history = nil
		clear(requests)
		clear(attempts)
	}
	for {
		e, err := j.Next()
		if err == io.EOF {
			end()
			return histories, gaps, nil
		}
		if err != nil {
			return nil, 0, err
		}
		switch e.Kind {
		case journal.KindRouterStart:
			end()
			history = newAttemptHistory()
			histories = append(histories, history)
		case journal.KindGap:
			if history != nil {
				gaps++
			}
			end()
		case journal.KindHandled:
			if history == nil {
				continue
			}
			switch ev := e.Event.(type) {
			case spool.Request:
				requests[ev.ID] = &ev
			case spool.Started:
				history.started(e.T, ev.ID, ev.Attempt)
			case spool.Outcome:
				history.ended(&ev)
				if ev.Last {
					delete(requests, ev.ID)
					delete(attempts, ev.ID)
				}
			}
			for _, a := range e.Actions {
				if s, ok := a.(spool.Send); ok {
					if q := requests[s.ID]; q != nil {
						history.sent(e.T, q, attempts[s.ID], &s)
						attempts[s.ID]++
					}
				}
			}
		}
	}
}

// Compare simulates the requests and updates of a journal twice, with its recorded members:
// without and with a change. It calls open twice and reads the journal in two passes. Its
// memory is bounded by the members, classes and objects, not by the journal's length.
func Compare(open func() (*journal.Reader, error), change Change) (*Report, error) {
	j, err := open()
	if err != nil {
		return nil, err
	}
	histories, gaps, err := readHistories(j)
	j.Close()
	if err != nil {
		return nil, err
	}
	if len(histories) == 0 {
		return nil, fmt.Errorf("whatif: the journal contains no run of a router from its start, so nothing can be simulated")
	}
	if j, err = open(); err != nil {
		return nil, err
	}
	defer j.Close()
	c := &comparison{result: &Report{Gaps: gaps}, change: change, classes: map[string]*ClassChange{}, members: map[string]*MemberChange{}, causes: map[[2]string]*Cause{}}
	for {
		e, err := j.Next()
		if err == io.EOF {
			c.endRun()
			return c.finish(), nil
		}
		if err != nil {
			return nil, err
		}
		if e.Kind == journal.KindRouterStart {
			c.endRun()
			if c.result.Runs < len(histories) {
				c.result.Runs++
				err = c.startRun(e.RouterStart, histories[c.result.Runs-1])
			}
		} else if e.Kind == journal.KindGap {
			c.endRun()
		} else if c.simulations[0] != nil {
			err = c.process(e)
		}
		if err != nil {
			return nil, err
		}
	}
}

// simulation is one of the two simulations in progress.
type simulation struct {
	sim    *Sim
	router *Router
	risks  *riskChecker
}

// requestPair is a request in both simulations and in the journal.
type requestPair struct {
	states        [2]*RequestState
	ended         [2]bool
	steps         [2][]step
	recordedFirst string // cache and source of the first recorded attempt
	recordedPath  string // caches and sources of all recorded attempts
}

// step is an attempt that a simulation sent for a request, or, without a cache, that the request
// was queued on arrival.
type step struct {
	cache, source string
	candidates    []spool.Candidate
}

// comparison is the state of Compare.
type comparison struct {
	result       *Report
	change       Change
	simulations  [2]*simulation // without and with the change
	pairs        map[string]*requestPair
	classes      map[string]*ClassChange
	members      map[string]*MemberChange
	causes       map[[2]string]*Cause
	objectives   map[string]config.Class // by name, with the latency objectives for both simulations
	transferRate float64                 // KB/ms, in the recorded settings
	dropped      map[string]bool
	risks        [2]*riskChecker

	compared, firstMatches, pathMatches int64 // numbers of requests, for FirstAttemptMatch and PathMatch
}

// startRun begins the simulations of a run.
func (c *comparison) startRun(start *journal.RouterStart, history *AttemptHistory) error {
	c.pairs, c.dropped, c.objectives = map[string]*requestPair{}, map[string]bool{}, map[string]config.Class{}
	for _, id := range c.change.Drop {
		c.dropped[id] = true
	}
	for i := range c.simulations {
		settings := &config.Settings{}
		if err := config.Read("journal", start.Settings, settings); err != nil {
			return fmt.Errorf("whatif: read the recorded settings of run %d: %w", c.result.Runs, err)
		}
		var slow map[string]float64
		if i == 1 {
			slow = c.change.Slow
			if c.change.Settings != nil {
				own, next := settings.Router, *c.change.Settings
				settings = &next
				settings.Router.Zone, settings.Router.Index = own.Zone, own.Index // the router's own identity does not change
			}
		}
		if i == 0 {
			c.transferRate = settings.Fill.FlowKBPerMs
		}
		for _, k := range settings.Classes {
			if i == 0 || c.objectives[k.Name].Name == "" {
				c.objectives[k.Name] = k // both simulations are measured by the recorded objectives
			}
		}
		core, err := engine.New(settings, start.Seed)
		if err != nil {
			return fmt.Errorf("whatif: create the module of run %d: %w", c.result.Runs, err)
		}
		if c.risks[i] == nil {
			c.risks[i] = newRiskChecker()
		}
		run := &simulation{sim: &Sim{Explain: true}, risks: c.risks[i]}
		run.risks.startRun(settings)
		run.sim.Watch = Watcher{
			AttemptSent: func(r *Router, state *RequestState, send *spool.Send, candidates []spool.Candidate) {
				run.risks.attemptSent(run.sim.Now, state, send)
				if p := c.pairs[state.Request.ID]; p != nil {
					p.steps[i] = append(p.steps[i], step{send.Cache, send.Source, candidates})
				}
				load := c.load(send.Cache, i)
				load.Attempts++
				load.concurrent++
				load.MaxConcurrent = max(load.MaxConcurrent, load.concurrent)
				if send.Source != send.Cache {
					c.load(send.Source, i).Fills++
				}
			},
			RequestWaits: func(_ *Router, state *RequestState, candidates []spool.Candidate) {
				if p := c.pairs[state.Request.ID]; p != nil {
					p.steps[i] = append(p.steps[i], step{candidates: candidates})
				}
			},
			AttemptEnded: func(_ *Router, _ *RequestState, t *Attempt) {
				load := c.load(t.Send.Cache, i)
				load.concurrent--
				load.BusyMs += t.Took
			},
			RequestEnded: func(_ *Router, state *RequestState) {
				run.risks.requestEnded(run.sim.Now, state)
				c.requestEnded(i, state)
			},
		}
		run.router = run.sim.Add(start.Name, core, history.Members(slow))
		c.simulations[i] = run
	}
	return nil
}

func (c *comparison) load(id string, i int) *Load {
	m := c.members[id]
	if m == nil {
		m = &MemberChange{Member: id}
		c.members[id] = m
	}
	if i == 0 {
		return &m.Baseline
	}
	return &m.Modified
}

func (c *comparison) class(name string) *ClassChange {
	k := c.classes[name]
	if k == nil {
		k = &ClassChange{Class: name}
		k.Baseline.hist, k.Modified.hist = hdrhistogram.New(1, 600_000_000, 3), hdrhistogram.New(1, 600_000_000, 3)
		c.classes[name] = k
	}
	return k
}

// process passes a recorded event to both simulations, unless it is a consequence of the
// router's own actions, and notes the recorded attempts.
func (c *comparison) process(e *journal.Entry) error {
	if e.Kind == journal.KindSettings {
		for i, run := range c.simulations {
			if run.sim.RunTo(e.T); i == 1 && c.change.Settings != nil {
				continue
			}
			s := &config.Settings{}
			if err := config.Read("journal", e.Settings, s); err != nil {
				return fmt.Errorf("whatif: read settings version %d (%s at byte %d): %w", e.Version, e.Segment, e.Offset, err)
			}
			run.risks.changeSettings(s)
			if err := run.sim.ChangeSettings(run.router, s); err != nil {
				return fmt.Errorf("whatif: apply settings version %d (%s at byte %d): %w", e.Version, e.Segment, e.Offset, err)
			}
		}
		return nil
	}
	switch ev := e.Event.(type) {
	case spool.Request:
		c.pairs[ev.ID] = &requestPair{}
		c.result.Requests++
		c.handleInBoth(e.T, ev)
	case spool.Members:
		for i, run := range c.simulations {
			one := ev
			if i == 1 && len(c.dropped) > 0 {
				one.Rows = nil
				for _, r := range ev.Rows {
					if !c.dropped[r.ID] {
						one.Rows = append(one.Rows, r)
					}
				}
			}
			run.sim.RunTo(e.T)
			run.risks.update(e.T, one)
			run.sim.Handle(run.router, one)
		}
	case spool.Purge:
		for _, run := range c.simulations {
			run.risks.update(e.T, ev)
		}
		c.handleInBoth(e.T, ev)
	case spool.Gone, spool.Message:
		c.handleInBoth(e.T, ev)
	}
	for _, a := range e.Actions {
		if s, ok := a.(spool.Send); ok {
			if p := c.pairs[s.ID]; p != nil {
				path := s.Cache + "<" + s.Source
				if p.recordedFirst == "" {
					p.recordedFirst = path
				}
				p.recordedPath += path + " "
			}
		}
	}
	return nil
}

// handleInBoth passes an event to both simulations.
func (c *comparison) handleInBoth(t float64, ev spool.Event) {
	for _, run := range c.simulations {
		run.sim.RunTo(t)
		run.sim.Handle(run.router, ev)
	}
}

// endRun ends the simulations of a run.
func (c *comparison) endRun() {
	if c.simulations[0] == nil {
		return
	}
	for _, run := range c.simulations {
		run.sim.Finish()
		c.result.events += run.sim.Events
	}
	for id := range c.pairs {
		c.result.Unfinished++
		delete(c.pairs, id)
	}
	for _, m := range c.members {
		m.Baseline.concurrent, m.Modified.concurrent = 0, 0
	}
	c.simulations = [2]*simulation{}
}

// requestEnded is called when a request has ended in simulation i. The request is compared once
// it has ended in both.
func (c *comparison) requestEnded(i int, state *RequestState) {
	pair := c.pairs[state.Request.ID]
	if pair == nil {
		return
	}
	if pair.states[i], pair.ended[i] = state, true; !pair.ended[0] || !pair.ended[1] {
		return
	}
	delete(c.pairs, state.Request.ID)
	if pair.states[0].End == Unfinished || pair.states[1].End == Unfinished {
		c.result.Unfinished++
		return
	}
	class := c.class(state.Request.Class)
	objective := c.objectives[state.Request.Class]
	for i, totals := range []*Totals{&class.Baseline, &class.Modified} {
		totals.count(pair.states[i], objective, c.transferRate)
	}
	if pair.recordedFirst != "" {
		c.compared++
		path := ""
		for _, t := range pair.states[0].Attempts {
			path += t.Send.Cache + "<" + t.Send.Source + " "
		}
		if len(pair.states[0].Attempts) > 0 && pair.states[0].Attempts[0].Send.Cache+"<"+pair.states[0].Attempts[0].Send.Source == pair.recordedFirst {
			c.firstMatches++
		}
		if path == pair.recordedPath {
			c.pathMatches++
		}
	}
	if why := differenceCause(pair, c.dropped); why != "" {
		class.Changed++
		c.result.Changed++
		one := c.causes[[2]string{class.Class, why}]
		if one == nil {
			one = &Cause{Class: class.Class, Why: why, First: state.Request.ID}
			c.causes[[2]string{class.Class, why}] = one
		}
		one.Count++
	}
}

func (s *Totals) count(state *RequestState, class config.Class, transferRate float64) {
	s.Requests++
	for _, t := range state.Attempts {
		s.Attempts++
		if kindOf(&t.Send) == fill {
			s.Fills++
		}
	}
	switch state.End {
	case Served:
		took := state.EndedAt - state.ArrivedAt
		s.hist.RecordValue(max(int64(took*1000), 1))
		objective := class.LatencyObjective
		if transferRate > 0 {
			objective += class.ObjectivePerSendTime * state.Request.KB / transferRate
		}
		if took <= objective {
			s.InTime++
		} else {
			s.Late++
		}
	case Rejected:
		s.Rejected++
	case Failed:
		s.Failed++
	case Broken:
		s.Broken++
	case ClientLeft:
		s.ClientLeft++
	}
}

// differenceCause returns why a request was handled differently, from the candidates at the
// first different decision in the simulation with the change. It returns "" if there is no
// difference.
func differenceCause(pair *requestPair, dropped map[string]bool) string {
	baseline, modified := pair.steps[0], pair.steps[1]
	for n := range max(len(baseline), len(modified)) {
		if n >= len(modified) {
			return "no further attempt was needed: the request ended earlier, " + pair.states[1].End.String()
		}
		if n >= len(baseline) {
			if modified[n].cache == "" {
				return "the request was queued: " + rejectionReason(modified[n].candidates, "")
			}
			return "a further attempt was sent to " + modified[n].cache
		}
		before, after := baseline[n], modified[n]
		if before.cache == after.cache && before.source == after.source {
			continue
		}
		if after.cache == "" {
			return "the request was queued: " + rejectionReason(after.candidates, "")
		}
		if before.cache == "" {
			return "the request was queued without the change, and is not queued with it"
		}
		member, as := before.cache, "cache"
		if before.cache == after.cache {
			member, as = before.source, "source"
		}
		if dropped[member] {
			return as + " " + member + " is dropped"
		}
		if before.cache == after.cache && after.source == after.cache {
			return "cache " + after.cache + " was asked for its cached copy first"
		}
		if why := rejectionReason(after.candidates, member); why != "" {
			return as + " " + member + " " + why
		}
		return fmt.Sprintf("%s %s is preferred", as, map[bool]string{true: after.cache, false: after.source}[as == "cache"])
	}
	if pair.states[0].End != pair.states[1].End {
		return fmt.Sprintf("the request had the same attempts, and was %s, not %s", pair.states[1].End, pair.states[0].End)
	}
	return ""
}

// rejectionReason returns the last reason for which a member was not chosen. For an empty
// member, it returns why no member was chosen.
func rejectionReason(candidates []spool.Candidate, member string) string {
	for i := len(candidates) - 1; i >= 0; i-- {
		if l := candidates[i]; l.Member == member && l.Reason != spool.ReasonAccepted && l.Reason != spool.ReasonAlreadyConsidered {
			return explain.ReasonText(l.Reason)
		}
	}
	if member == "" && len(candidates) > 0 {
		return "no member was chosen, the last candidate was " + candidates[len(candidates)-1].Member + ": " + explain.ReasonText(candidates[len(candidates)-1].Reason)
	}
	return ""
}

// finish computes the totals and returns the report.
func (c *comparison) finish() *Report {
	r := c.result
	if c.compared > 0 {
		r.FirstAttemptMatch, r.PathMatch = float64(c.firstMatches)/float64(c.compared), float64(c.pathMatches)/float64(c.compared)
	}
	for _, k := range c.classes {
		for _, s := range []*Totals{&k.Baseline, &k.Modified} {
			s.P50, s.P99 = float64(s.hist.ValueAtQuantile(50))/1000, float64(s.hist.ValueAtQuantile(99))/1000
		}
		r.Classes = append(r.Classes, *k)
	}
	sort.Slice(r.Classes, func(i, j int) bool { return r.Classes[i].Class < r.Classes[j].Class })
	for _, m := range c.members {
		r.Members = append(r.Members, *m)
	}
	sort.Slice(r.Members, func(i, j int) bool { return r.Members[i].Member < r.Members[j].Member })
	for _, one := range c.causes {
		r.Causes = append(r.Causes, *one)
	}
	sort.Slice(r.Causes, func(i, j int) bool {
		a, b := &r.Causes[i], &r.Causes[j]
		return a.Count > b.Count || a.Count == b.Count && (a.Class < b.Class || a.Class == b.Class && a.Why < b.Why)
	})
	if c.risks[0] != nil {
		r.Risks = compareRisks(c.risks[0], c.risks[1])
	}
	return r
}

// maxCausesShown bounds the causes in a report's text form.
const maxCausesShown = 12

// Text writes the report in a readable form.
func (r *Report) Text(w io.Writer) {
	fmt.Fprintf(w, "%d requests of %d runs; without the change, the model reproduces the first attempt of %.1f %% of them, all attempts of %.1f %%\n",
		r.Requests, r.Runs, 100*r.FirstAttemptMatch, 100*r.PathMatch)
	if r.Gaps > 0 {
		fmt.Fprintf(w, "%d runs are simulated only up to a gap\n", r.Gaps)
	}
	fmt.Fprintf(w, "%d requests are handled differently\n", r.Changed)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\t\trequests\tchanged\tin time\tlate\trefused\tfailed\tbroken\tleft\tattempts\tfills\tp50 ms\tp99 ms\t")
	for _, k := range r.Classes {
		for i, s := range []Totals{k.Baseline, k.Modified} {
			name, changed := "is", fmt.Sprint(k.Changed)
			if i == 0 {
				name, changed = "was", ""
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", k.Class, name, s.Requests, changed, s.InTime, s.Late,
				s.Rejected, s.Failed, s.Broken, s.ClientLeft, s.Attempts, s.Fills, s.P50, s.P99)
		}
	}
	t.Flush()
	t = tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "member\tattempts\tis\tsource of fills\tis\tbusy s\tis\tmost at once\tis\t")
	for _, m := range r.Members {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t%d\t\n", m.Member, m.Baseline.Attempts, m.Modified.Attempts, m.Baseline.Fills, m.Modified.Fills,
			m.Baseline.BusyMs/1000, m.Modified.BusyMs/1000, m.Baseline.MaxConcurrent, m.Modified.MaxConcurrent)
	}
	t.Flush()
	for i, one := range r.Causes {
		if i == maxCausesShown {
			fmt.Fprintf(w, "and %d more causes (--json has all)\n", len(r.Causes)-i)
			break
		}
		fmt.Fprintf(w, "%7d of %s: %s (as %s)\n", one.Count, one.Class, one.Why, one.First)
	}
	for _, one := range r.Risks {
		fmt.Fprintf(w, "rule %d at risk, %s: %d times, %d without the change; first: %s\n", one.Rule, one.Name, one.Modified, one.Baseline, one.First)
	}
	if len(r.Risks) == 0 {
		fmt.Fprintln(w, "no rule is at risk, as far as the decisions of one router show")
	}
}
