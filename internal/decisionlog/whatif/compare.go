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

// Side is one of the two runs.
type Side struct {
	Requests int64   `json:"requests"`
	InTime   int64   `json:"in_time"` // served within the aim
	Late     int64   `json:"late"`
	Refused  int64   `json:"refused"`
	Failed   int64   `json:"failed"`
	Broken   int64   `json:"broken"`
	Left     int64   `json:"left"`
	Attempts int64   `json:"attempts"`
	Fills    int64   `json:"fills"` // from parents and the origin
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"` // of what was served

	hist *hdrhistogram.Histogram
}

// ClassChange is a class in both runs.
type ClassChange struct {
	Class   string `json:"class"`
	Changed int64  `json:"changed"` // requests that went another way
	Was     Side   `json:"was"`
	Is      Side   `json:"is"`
}

// Load is what a member was given.
type Load struct {
	Attempts int64   `json:"attempts"`
	Fills    int64   `json:"fills"` // it was the source of
	BusyMs   float64 `json:"busy_ms"`
	Most     int     `json:"most"` // attempts at once, from this router

	now int
}

// MemberChange is a member in both runs.
type MemberChange struct {
	Member string `json:"member"`
	Was    Load   `json:"was"`
	Is     Load   `json:"is"`
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
	Lives     int            `json:"lives"`
	Requests  int64          `json:"requests"`
	Changed   int64          `json:"changed"`
	Model     float64        `json:"model"`      // share of requests whose first attempt is the recorded one where nothing is changed: how far the model can be trusted
	ModelPath float64        `json:"model_path"` // and share of those that went the whole recorded way
	Classes   []ClassChange  `json:"classes"`
	Members   []MemberChange `json:"members"`
	Causes    []Cause        `json:"causes,omitempty"`
	Risks     []Risk         `json:"risks,omitempty"`
	Gaps      int            `json:"gaps"` // lives that were given up at one
	Cut       int64          `json:"cut"`  // requests that the end of a life cut off in either run; not compared

	events int64
}

// Events is how many events modules were told in both runs.
func (r *Report) Events() int64 { return r.events }

// learn reads a journal's lives into models; a life ends at a gap.
func learn(j *journal.Reader) (models []*Model, gaps int, err error) {
	var m *Model
	reqs := map[string]*spool.Request{}
	tries := map[string]int{}
	end := func() {
		if m != nil {
			m.done()
		}
		m = nil
		clear(reqs)
		clear(tries)
	}
	for {
		e, err := j.Next()
		if err == io.EOF {
			end()
			return models, gaps, nil
		}
		if err != nil {
			return nil, 0, err
		}
		switch e.Kind {
		case journal.KindRouterStart:
			end()
			m = newModel()
			models = append(models, m)
		case journal.KindGap:
			if m != nil {
				gaps++
			}
			end()
		case journal.KindHandled:
			if m == nil {
				continue
			}
			switch ev := e.Event.(type) {
			case spool.Request:
				reqs[ev.ID] = &ev
			case spool.Started:
				m.started(e.T, ev.ID, ev.Attempt)
			case spool.Outcome:
				m.ended(&ev)
				if ev.Last {
					delete(reqs, ev.ID)
					delete(tries, ev.ID)
				}
			}
			for _, a := range e.Actions {
				if s, ok := a.(spool.Send); ok {
					if q := reqs[s.ID]; q != nil {
						m.sent(e.T, q, tries[s.ID], &s)
						tries[s.ID]++
					}
				}
			}
		}
	}
}

// Compare runs a journal's requests and news twice before the members that it
// tells of: as it was, and with a change. open opens the journal, for each of two
// passes. Memory is bounded by the members, classes and objects, not by the length.
func Compare(open func() (*journal.Reader, error), ch Change) (*Report, error) {
	j, err := open()
	if err != nil {
		return nil, err
	}
	models, gaps, err := learn(j)
	j.Close()
	if err != nil {
		return nil, err
	}
	if len(models) == 0 {
		return nil, fmt.Errorf("whatif: the journal holds no life of a router from its start: there is nothing to try")
	}
	if j, err = open(); err != nil {
		return nil, err
	}
	defer j.Close()
	c := &comparison{rep: &Report{Gaps: gaps}, ch: ch, classes: map[string]*ClassChange{}, members: map[string]*MemberChange{}, causes: map[[2]string]*Cause{}}
	for {
		e, err := j.Next()
		if err == io.EOF {
			c.endLife()
			return c.report(), nil
		}
		if err != nil {
			return nil, err
		}
		if e.Kind == journal.KindRouterStart {
			c.endLife()
			if c.rep.Lives < len(models) {
				c.rep.Lives++
				err = c.begin(e.RouterStart, models[c.rep.Lives-1])
			}
		} else if e.Kind == journal.KindGap {
			c.endLife()
		} else if c.sides[0] != nil {
			err = c.take(e)
		}
		if err != nil {
			return nil, err
		}
	}
}

// side is a run under way.
type side struct {
	sim    *Sim
	router *Router
	risks  *risks
}

// pair is a request in both runs, and as it was recorded.
type pair struct {
	held  [2]*RequestState
	over  [2]bool
	steps [2][]step
	first string // recorded: cache and source of the first attempt
	way   string // and of all
}

// step is what a run did for a request, once: it sent it somewhere, or had it wait.
type step struct {
	cache, source string
	looks         []spool.Candidate
}

type comparison struct {
	rep     *Report
	ch      Change
	sides   [2]*side // as it was, and changed
	pairs   map[string]*pair
	classes map[string]*ClassChange
	members map[string]*MemberChange
	causes  map[[2]string]*Cause
	aims    map[string]config.Class
	flow    float64 // KB a ms, of the settings as they were
	drop    map[string]bool
	all     [2]*risks

	judged, firsts, ways int64
}

func (c *comparison) begin(l *journal.RouterStart, m *Model) error {
	c.pairs, c.drop, c.aims = map[string]*pair{}, map[string]bool{}, map[string]config.Class{}
	for _, id := range c.ch.Drop {
		c.drop[id] = true
	}
	for i := range c.sides {
		s := &config.Settings{}
		if err := config.Read("journal", l.Settings, s); err != nil {
			return fmt.Errorf("whatif: the settings of life %d: %w", c.rep.Lives, err)
		}
		var slow map[string]float64
		if i == 1 {
			slow = c.ch.Slow
			if c.ch.Settings != nil {
				own, next := s.Router, *c.ch.Settings
				s = &next
				s.Router.Zone, s.Router.Index = own.Zone, own.Index // what a router is stays
			}
		}
		if i == 0 {
			c.flow = s.Fill.FlowKBPerMs
		}
		for _, k := range s.Classes {
			if i == 0 || c.aims[k.Name].Name == "" {
				c.aims[k.Name] = k // both are held to the aims that were
			}
		}
		co, err := engine.New(s, l.Seed)
		if err != nil {
			return fmt.Errorf("whatif: life %d: %w", c.rep.Lives, err)
		}
		if c.all[i] == nil {
			c.all[i] = newRisks()
		}
		sd := &side{sim: &Sim{Explain: true}, risks: c.all[i]}
		sd.risks.begin(s)
		sd.sim.Watch = Watcher{
			Sent: func(r *Router, h *RequestState, s *spool.Send, looks []spool.Candidate) {
				sd.risks.sent(sd.sim.Now, h, s)
				if p := c.pairs[h.Request.ID]; p != nil {
					p.steps[i] = append(p.steps[i], step{s.Cache, s.Source, looks})
				}
				load := c.load(s.Cache, i)
				load.Attempts++
				load.now++
				load.Most = max(load.Most, load.now)
				if s.Source != s.Cache {
					c.load(s.Source, i).Fills++
				}
			},
			Waits: func(_ *Router, h *RequestState, looks []spool.Candidate) {
				if p := c.pairs[h.Request.ID]; p != nil {
					p.steps[i] = append(p.steps[i], step{looks: looks})
				}
			},
			AttemptEnded: func(_ *Router, _ *RequestState, t *Attempt) {
				load := c.load(t.Send.Cache, i)
				load.now--
				load.BusyMs += t.Took
			},
			RequestEnded: func(_ *Router, h *RequestState) {
				sd.risks.over(sd.sim.Now, h)
				c.over(i, h)
			},
		}
		sd.router = sd.sim.Add(l.Name, co, m.World(slow))
		c.sides[i] = sd
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
		return &m.Was
	}
	return &m.Is
}

func (c *comparison) class(name string) *ClassChange {
	k := c.classes[name]
	if k == nil {
		k = &ClassChange{Class: name}
		k.Was.hist, k.Is.hist = hdrhistogram.New(1, 600_000_000, 3), hdrhistogram.New(1, 600_000_000, 3)
		c.classes[name] = k
	}
	return k
}

// take has both runs hear of what came from outside, and learns what the record
// says of the way that requests went.
func (c *comparison) take(e *journal.Entry) error {
	if e.Kind == journal.KindSettings {
		for i, sd := range c.sides {
			if sd.sim.RunTo(e.T); i == 1 && c.ch.Settings != nil {
				continue
			}
			s := &config.Settings{}
			if err := config.Read("journal", e.Settings, s); err != nil {
				return fmt.Errorf("whatif: version %d: %w", e.Version, err)
			}
			sd.risks.settings(s)
			if err := sd.sim.ChangeSettings(sd.router, s); err != nil {
				return fmt.Errorf("whatif: version %d: %w", e.Version, err)
			}
		}
		return nil
	}
	switch ev := e.Event.(type) {
	case spool.Request:
		c.pairs[ev.ID] = &pair{}
		c.rep.Requests++
		c.both(e.T, ev)
	case spool.Members:
		for i, sd := range c.sides {
			one := ev
			if i == 1 && len(c.drop) > 0 {
				one.Rows = nil
				for _, r := range ev.Rows {
					if !c.drop[r.ID] {
						one.Rows = append(one.Rows, r)
					}
				}
			}
			sd.sim.RunTo(e.T)
			sd.risks.news(e.T, one)
			sd.sim.Handle(sd.router, one)
		}
	case spool.Purge:
		for _, sd := range c.sides {
			sd.risks.news(e.T, ev)
		}
		c.both(e.T, ev)
	case spool.Gone, spool.Message:
		c.both(e.T, ev)
	}
	for _, a := range e.Actions {
		if s, ok := a.(spool.Send); ok {
			if p := c.pairs[s.ID]; p != nil {
				way := s.Cache + "<" + s.Source
				if p.first == "" {
					p.first = way
				}
				p.way += way + " "
			}
		}
	}
	return nil
}

func (c *comparison) both(t float64, ev spool.Event) {
	for _, sd := range c.sides {
		sd.sim.RunTo(t)
		sd.sim.Handle(sd.router, ev)
	}
}

func (c *comparison) endLife() {
	if c.sides[0] == nil {
		return
	}
	for _, sd := range c.sides {
		sd.sim.Finish()
		c.rep.events += sd.sim.Events
	}
	for id := range c.pairs {
		c.rep.Cut++
		delete(c.pairs, id)
	}
	for _, m := range c.members {
		m.Was.now, m.Is.now = 0, 0
	}
	c.sides = [2]*side{}
}

// over takes a request that is over in one run; it is compared once it is in both.
func (c *comparison) over(i int, h *RequestState) {
	p := c.pairs[h.Request.ID]
	if p == nil {
		return
	}
	if p.held[i], p.over[i] = h, true; !p.over[0] || !p.over[1] {
		return
	}
	delete(c.pairs, h.Request.ID)
	if p.held[0].End == Cut || p.held[1].End == Cut {
		c.rep.Cut++
		return
	}
	k := c.class(h.Request.Class)
	aim := c.aims[h.Request.Class]
	for i, sd := range []*Side{&k.Was, &k.Is} {
		sd.count(p.held[i], aim, c.flow)
	}
	if p.first != "" {
		c.judged++
		way := ""
		for _, t := range p.held[0].Tries {
			way += t.Send.Cache + "<" + t.Send.Source + " "
		}
		if len(p.held[0].Tries) > 0 && p.held[0].Tries[0].Send.Cache+"<"+p.held[0].Tries[0].Send.Source == p.first {
			c.firsts++
		}
		if way == p.way {
			c.ways++
		}
	}
	if why := difference(p, c.drop); why != "" {
		k.Changed++
		c.rep.Changed++
		one := c.causes[[2]string{k.Class, why}]
		if one == nil {
			one = &Cause{Class: k.Class, Why: why, First: h.Request.ID}
			c.causes[[2]string{k.Class, why}] = one
		}
		one.Count++
	}
}

func (s *Side) count(h *RequestState, k config.Class, flow float64) {
	s.Requests++
	for _, t := range h.Tries {
		s.Attempts++
		if kindOf(&t.Send) == filled {
			s.Fills++
		}
	}
	switch h.End {
	case Served:
		took := h.EndedAt - h.ArrivedAt
		s.hist.RecordValue(max(int64(took*1000), 1))
		aim := k.LatencyObjective
		if flow > 0 {
			aim += k.ObjectivePerSendTime * h.Request.KB / flow
		}
		if took <= aim {
			s.InTime++
		} else {
			s.Late++
		}
	case Rejected:
		s.Refused++
	case Failed:
		s.Failed++
	case Broken:
		s.Broken++
	case Left:
		s.Left++
	}
}

// difference says why a request went another way, by what the changed run's module
// looked at when it decided otherwise; empty: it went the same.
func difference(p *pair, dropped map[string]bool) string {
	was, is := p.steps[0], p.steps[1]
	for n := range max(len(was), len(is)) {
		if n >= len(is) {
			return "no further attempt was needed: it ended earlier, " + p.held[1].End.String()
		}
		if n >= len(was) {
			if is[n].cache == "" {
				return "it had to wait: " + reason(is[n].looks, "")
			}
			return "an attempt more was made, at " + is[n].cache
		}
		a, b := was[n], is[n]
		if a.cache == b.cache && a.source == b.source {
			continue
		}
		if b.cache == "" {
			return "it had to wait: " + reason(b.looks, "")
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
		if why := reason(b.looks, member); why != "" {
			return as + " " + member + " " + why
		}
		return fmt.Sprintf("%s %s comes first", as, map[bool]string{true: b.cache, false: b.source}[as == "cache"])
	}
	if p.held[0].End != p.held[1].End {
		return fmt.Sprintf("it went the same way, and was %s, not %s", p.held[1].End, p.held[0].End)
	}
	return ""
}

// reason is the last that was said against a member; of no member, why nobody was
// taken.
func reason(looks []spool.Candidate, member string) string {
	for i := len(looks) - 1; i >= 0; i-- {
		if l := looks[i]; l.Member == member && l.Reason != spool.ReasonAccepted && l.Reason != spool.ReasonAlreadyConsidered {
			return explain.ReasonText(l.Reason)
		}
	}
	if member == "" && len(looks) > 0 {
		return "every member was passed over, the last " + looks[len(looks)-1].Member + ": " + explain.ReasonText(looks[len(looks)-1].Reason)
	}
	return ""
}

func (c *comparison) report() *Report {
	r := c.rep
	if c.judged > 0 {
		r.Model, r.ModelPath = float64(c.firsts)/float64(c.judged), float64(c.ways)/float64(c.judged)
	}
	for _, k := range c.classes {
		for _, s := range []*Side{&k.Was, &k.Is} {
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
	if c.all[0] != nil {
		r.Risks = compareRisks(c.all[0], c.all[1])
	}
	return r
}

const causesShown = 12

// Text writes a report for reading.
func (r *Report) Text(w io.Writer) {
	fmt.Fprintf(w, "%d requests of %d lives; with nothing changed the model sends %.1f %% of them first where they went, %.1f %% the whole way\n",
		r.Requests, r.Lives, 100*r.Model, 100*r.ModelPath)
	if r.Gaps > 0 {
		fmt.Fprintf(w, "%d lives are given up at a gap\n", r.Gaps)
	}
	fmt.Fprintf(w, "%d go another way\n", r.Changed)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\t\trequests\tchanged\tin time\tlate\trefused\tfailed\tbroken\tleft\tattempts\tfills\tp50 ms\tp99 ms\t")
	for _, k := range r.Classes {
		for i, s := range []Side{k.Was, k.Is} {
			name, changed := "is", fmt.Sprint(k.Changed)
			if i == 0 {
				name, changed = "was", ""
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", k.Class, name, s.Requests, changed, s.InTime, s.Late,
				s.Refused, s.Failed, s.Broken, s.Left, s.Attempts, s.Fills, s.P50, s.P99)
		}
	}
	t.Flush()
	t = tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "member\tattempts\tis\tsource of fills\tis\tbusy s\tis\tmost at once\tis\t")
	for _, m := range r.Members {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t%d\t\n", m.Member, m.Was.Attempts, m.Is.Attempts, m.Was.Fills, m.Is.Fills,
			m.Was.BusyMs/1000, m.Is.BusyMs/1000, m.Was.Most, m.Is.Most)
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
		fmt.Fprintf(w, "rule %d at risk, %s: %d times, %d before; first: %s\n", one.Rule, one.Name, one.Is, one.Was, one.First)
	}
	if len(r.Risks) == 0 {
		fmt.Fprintln(w, "no rule is at risk, as far as one router's decisions show it")
	}
}
