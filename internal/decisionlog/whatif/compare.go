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

// Change is what would have been otherwise.
type Change struct {
	Settings *config.Settings   // in place of those that the router had, also of versions; nil: its own
	Drop     []string           // members that were never listed
	Slow     map[string]float64 // how many times as long members take
}

// Totals is one of the two runs.
type Totals struct {
	Requests   int64   `json:"requests"`
	InTime     int64   `json:"in_time"` // served within the aim
	Late       int64   `json:"late"`
	Rejected   int64   `json:"refused"`
	Failed     int64   `json:"failed"`
	Broken     int64   `json:"broken"`
	ClientLeft int64   `json:"left"`
	Attempts   int64   `json:"attempts"`
	Fills      int64   `json:"fills"` // from parents and the origin
	P50        float64 `json:"p50_ms"`
	P99        float64 `json:"p99_ms"` // of what was served

	hist *hdrhistogram.Histogram
}

// ClassChange is a class in both runs.
type ClassChange struct {
	Class    string `json:"class"`
	Changed  int64  `json:"changed"` // requests that went another way
	Baseline Totals `json:"was"`
	Modified Totals `json:"is"`
}

// Load is what a member was given.
type Load struct {
	Attempts      int64   `json:"attempts"`
	Fills         int64   `json:"fills"` // it was the source of
	BusyMs        float64 `json:"busy_ms"`
	MaxConcurrent int     `json:"most"` // attempts at once, from this router

	concurrent int
}

// MemberChange is a member in both runs.
type MemberChange struct {
	Member   string `json:"member"`
	Baseline Load   `json:"was"`
	Modified Load   `json:"is"`
}

// Cause is why requests went another way.
type Cause struct {
	Class string `json:"class"`
	Why   string `json:"why"`
	Count int64  `json:"count"`
	First string `json:"first"` // a request of it
}

// Report is what would have happened.
type Report struct {
	Runs              int            `json:"lives"`
	Requests          int64          `json:"requests"`
	Changed           int64          `json:"changed"`
	FirstAttemptMatch float64        `json:"model"`      // share of requests whose first attempt is the recorded one where nothing is changed: how far the model can be trusted
	PathMatch         float64        `json:"model_path"` // and share of those that went the whole recorded way
	Classes           []ClassChange  `json:"classes"`
	Members           []MemberChange `json:"members"`
	Causes            []Cause        `json:"causes,omitempty"`
	Risks             []Risk         `json:"risks,omitempty"`
	Gaps              int            `json:"gaps"` // lives that were given up at one
	Unfinished        int64          `json:"cut"`  // requests that the end of a life cut off in either run; not compared

	events int64
}

// Events is how many events modules were told in both runs.
func (r *Report) Events() int64 { return r.events }

// readHistories reads a journal's lives into models; a life ends at a gap.
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

// Compare runs a journal's requests and news twice before the members that it
// tells of: as it was, and with a change. open opens the journal, for each of two
// passes. Memory is bounded by the members, classes and objects, not by the length.
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
		return nil, fmt.Errorf("whatif: the journal holds no life of a router from its start: there is nothing to try")
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

// simulation is a run under way.
type simulation struct {
	sim    *Sim
	router *Router
	risks  *riskChecker
}

// requestPair is a request in both runs, and as it was recorded.
type requestPair struct {
	states        [2]*RequestState
	ended         [2]bool
	steps         [2][]step
	recordedFirst string // recorded: cache and source of the first attempt
	recordedPath  string // and of all
}

// step is what a run did for a request, once: it sent it somewhere, or had it wait.
type step struct {
	cache, source string
	candidates    []spool.Candidate
}

type comparison struct {
	result       *Report
	change       Change
	simulations  [2]*simulation // as it was, and changed
	pairs        map[string]*requestPair
	classes      map[string]*ClassChange
	members      map[string]*MemberChange
	causes       map[[2]string]*Cause
	objectives   map[string]config.Class
	transferRate float64 // KB a ms, of the settings as they were
	dropped      map[string]bool
	risks        [2]*riskChecker

	compared, firstMatches, pathMatches int64
}

func (c *comparison) startRun(l *journal.RouterStart, m *AttemptHistory) error {
	c.pairs, c.dropped, c.objectives = map[string]*requestPair{}, map[string]bool{}, map[string]config.Class{}
	for _, id := range c.change.Drop {
		c.dropped[id] = true
	}
	for i := range c.simulations {
		s := &config.Settings{}
		if err := config.Read("journal", l.Settings, s); err != nil {
			return fmt.Errorf("whatif: the settings of life %d: %w", c.result.Runs, err)
		}
		var slow map[string]float64
		if i == 1 {
			slow = c.change.Slow
			if c.change.Settings != nil {
				own, next := s.Router, *c.change.Settings
				s = &next
				s.Router.Zone, s.Router.Index = own.Zone, own.Index // what a router is stays
			}
		}
		if i == 0 {
			c.transferRate = s.Fill.FlowKBPerMs
		}
		for _, k := range s.Classes {
			if i == 0 || c.objectives[k.Name].Name == "" {
				c.objectives[k.Name] = k // both are held to the aims that were
			}
		}
		co, err := engine.New(s, l.Seed)
		if err != nil {
			return fmt.Errorf("whatif: life %d: %w", c.result.Runs, err)
		}
		if c.risks[i] == nil {
			c.risks[i] = newRiskChecker()
		}
		sd := &simulation{sim: &Sim{Explain: true}, risks: c.risks[i]}
		sd.risks.startRun(s)
		sd.sim.Watch = Watcher{
			AttemptSent: func(r *Router, state *RequestState, s *spool.Send, candidates []spool.Candidate) {
				sd.risks.attemptSent(sd.sim.Now, state, s)
				if p := c.pairs[state.Request.ID]; p != nil {
					p.steps[i] = append(p.steps[i], step{s.Cache, s.Source, candidates})
				}
				load := c.load(s.Cache, i)
				load.Attempts++
				load.concurrent++
				load.MaxConcurrent = max(load.MaxConcurrent, load.concurrent)
				if s.Source != s.Cache {
					c.load(s.Source, i).Fills++
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
				sd.risks.requestEnded(sd.sim.Now, state)
				c.requestEnded(i, state)
			},
		}
		sd.router = sd.sim.Add(l.Name, co, m.Members(slow))
		c.simulations[i] = sd
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

// process has both runs hear of what came from outside, and learns what the record
// says of the way that requests went.
func (c *comparison) process(e *journal.Entry) error {
	if e.Kind == journal.KindSettings {
		for i, sd := range c.simulations {
			if sd.sim.RunTo(e.T); i == 1 && c.change.Settings != nil {
				continue
			}
			s := &config.Settings{}
			if err := config.Read("journal", e.Settings, s); err != nil {
				return fmt.Errorf("whatif: version %d: %w", e.Version, err)
			}
			sd.risks.changeSettings(s)
			if err := sd.sim.ChangeSettings(sd.router, s); err != nil {
				return fmt.Errorf("whatif: version %d: %w", e.Version, err)
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
		for i, sd := range c.simulations {
			one := ev
			if i == 1 && len(c.dropped) > 0 {
				one.Rows = nil
				for _, r := range ev.Rows {
					if !c.dropped[r.ID] {
						one.Rows = append(one.Rows, r)
					}
				}
			}
			sd.sim.RunTo(e.T)
			sd.risks.update(e.T, one)
			sd.sim.Handle(sd.router, one)
		}
	case spool.Purge:
		for _, sd := range c.simulations {
			sd.risks.update(e.T, ev)
		}
		c.handleInBoth(e.T, ev)
	case spool.Gone, spool.Message:
		c.handleInBoth(e.T, ev)
	}
	for _, a := range e.Actions {
		if s, ok := a.(spool.Send); ok {
			if p := c.pairs[s.ID]; p != nil {
				way := s.Cache + "<" + s.Source
				if p.recordedFirst == "" {
					p.recordedFirst = way
				}
				p.recordedPath += way + " "
			}
		}
	}
	return nil
}

func (c *comparison) handleInBoth(t float64, ev spool.Event) {
	for _, sd := range c.simulations {
		sd.sim.RunTo(t)
		sd.sim.Handle(sd.router, ev)
	}
}

func (c *comparison) endRun() {
	if c.simulations[0] == nil {
		return
	}
	for _, sd := range c.simulations {
		sd.sim.Finish()
		c.result.events += sd.sim.Events
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

// requestEnded takes a request that is over in one run; it is compared once it is in both.
func (c *comparison) requestEnded(i int, state *RequestState) {
	p := c.pairs[state.Request.ID]
	if p == nil {
		return
	}
	if p.states[i], p.ended[i] = state, true; !p.ended[0] || !p.ended[1] {
		return
	}
	delete(c.pairs, state.Request.ID)
	if p.states[0].End == Unfinished || p.states[1].End == Unfinished {
		c.result.Unfinished++
		return
	}
	k := c.class(state.Request.Class)
	aim := c.objectives[state.Request.Class]
	for i, sd := range []*Totals{&k.Baseline, &k.Modified} {
		sd.count(p.states[i], aim, c.transferRate)
	}
	if p.recordedFirst != "" {
		c.compared++
		way := ""
		for _, t := range p.states[0].Attempts {
			way += t.Send.Cache + "<" + t.Send.Source + " "
		}
		if len(p.states[0].Attempts) > 0 && p.states[0].Attempts[0].Send.Cache+"<"+p.states[0].Attempts[0].Send.Source == p.recordedFirst {
			c.firstMatches++
		}
		if way == p.recordedPath {
			c.pathMatches++
		}
	}
	if why := differenceCause(p, c.dropped); why != "" {
		k.Changed++
		c.result.Changed++
		one := c.causes[[2]string{k.Class, why}]
		if one == nil {
			one = &Cause{Class: k.Class, Why: why, First: state.Request.ID}
			c.causes[[2]string{k.Class, why}] = one
		}
		one.Count++
	}
}

func (s *Totals) count(state *RequestState, k config.Class, flow float64) {
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
		aim := k.LatencyObjective
		if flow > 0 {
			aim += k.ObjectivePerSendTime * state.Request.KB / flow
		}
		if took <= aim {
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

// differenceCause says why a request went another way, by what the changed run's module
// looked at when it decided otherwise; empty: it went the same.
func differenceCause(pair *requestPair, dropped map[string]bool) string {
	baseline, modified := pair.steps[0], pair.steps[1]
	for n := range max(len(baseline), len(modified)) {
		if n >= len(modified) {
			return "no further attempt was needed: it ended earlier, " + pair.states[1].End.String()
		}
		if n >= len(baseline) {
			if modified[n].cache == "" {
				return "it had to wait: " + rejectionReason(modified[n].candidates, "")
			}
			return "an attempt more was made, at " + modified[n].cache
		}
		a, b := baseline[n], modified[n]
		if a.cache == b.cache && a.source == b.source {
			continue
		}
		if b.cache == "" {
			return "it had to wait: " + rejectionReason(b.candidates, "")
		}
		if a.cache == "" {
			return "it had waited, and did not"
		}
		member, as := a.cache, "cache"
		if a.cache == b.cache {
			member, as = a.source, "source"
		}
		if dropped[member] {
			return as + " " + member + " is dropped"
		}
		if a.cache == b.cache && b.source == b.cache {
			return "cache " + b.cache + " was asked for what it holds first"
		}
		if why := rejectionReason(b.candidates, member); why != "" {
			return as + " " + member + " " + why
		}
		return fmt.Sprintf("%s %s comes first", as, map[bool]string{true: b.cache, false: b.source}[as == "cache"])
	}
	if pair.states[0].End != pair.states[1].End {
		return fmt.Sprintf("it went the same way, and was %s, not %s", pair.states[1].End, pair.states[0].End)
	}
	return ""
}

// rejectionReason is the last that was said against a member; of no member, why nobody was
// taken.
func rejectionReason(candidates []spool.Candidate, member string) string {
	for i := len(candidates) - 1; i >= 0; i-- {
		if l := candidates[i]; l.Member == member && l.Reason != spool.ReasonAccepted && l.Reason != spool.ReasonAlreadyConsidered {
			return explain.ReasonText(l.Reason)
		}
	}
	if member == "" && len(candidates) > 0 {
		return "every member was passed over, the last " + candidates[len(candidates)-1].Member + ": " + explain.ReasonText(candidates[len(candidates)-1].Reason)
	}
	return ""
}

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

const causesShown = 12

// Text writes a report for reading.
func (r *Report) Text(w io.Writer) {
	fmt.Fprintf(w, "%d requests of %d lives; with nothing changed the model sends %.1f %% of them first where they went, %.1f %% the whole way\n",
		r.Requests, r.Runs, 100*r.FirstAttemptMatch, 100*r.PathMatch)
	if r.Gaps > 0 {
		fmt.Fprintf(w, "%d lives are given up at a gap\n", r.Gaps)
	}
	fmt.Fprintf(w, "%d go another way\n", r.Changed)
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
		if i == causesShown {
			fmt.Fprintf(w, "and %d causes more (--json has all)\n", len(r.Causes)-i)
			break
		}
		fmt.Fprintf(w, "%7d of %s: %s (as %s)\n", one.Count, one.Class, one.Why, one.First)
	}
	for _, one := range r.Risks {
		fmt.Fprintf(w, "rule %d at risk, %s: %d times, %d before; first: %s\n", one.Rule, one.Name, one.Modified, one.Baseline, one.First)
	}
	if len(r.Risks) == 0 {
		fmt.Fprintln(w, "no rule is at risk, as far as one router's decisions show it")
	}
}
