// Package invariants checks the five rules from a traffic log alone: from what test servers
// and clients saw on their sockets. It knows nothing of what a router says of itself, and
// shares no code with the decision module, so that an error in one cannot hide in the
// other. For each rule it counts what it looked at: a rule with nothing to look at is not
// kept but unproven.
package invariants

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"

	"indigospool/internal/testbed/trafficlog"
)

// Class is what the rules need to know of a class.
type Class struct {
	Effect string  `json:"effect"` // free, guarded or single-shot
	Group  string  `json:"group"`  // of guarded: nowhere, cell, zone or all
	Window float64 `json:"window"` // ms
}

// Figures are the figures of the rules, in ms.
type Figures struct {
	AnswerSlack    float64          `json:"answer_slack"`
	DrainGrace     float64          `json:"drain_grace"`
	ColdFrom       float64          `json:"cold_from"`
	ColdTime       float64          `json:"cold_time"`
	FallFactor     float64          `json:"fall_factor"`
	FallTime       float64          `json:"fall_time"`
	ParentColdFrom float64          `json:"parent_cold_from"`
	ParentColdTime float64          `json:"parent_cold_time"`
	ParentFall     float64          `json:"parent_fall"`
	PurgeSlack     float64          `json:"purge_slack"`
	SecondCopies   bool             `json:"second_copies"`
	Classes        map[string]Class `json:"classes"`
	// Spread is how far apart two processes of one machine may see one thing:
	// what is read later than it was sent counts as sent so much earlier.
	Spread float64 `json:"spread"`
	// NotTried are the rules that the day does nothing to try: with nothing to look
	// at they are not unproven.
	NotTried []int `json:"not_tried,omitempty"`
}

// Ev is the kind of the record that holds a tap's figures, in its note.
const Ev = "figures"

// Record is the figures as a record, the first of a tap.
func (f Figures) Record() trafficlog.Record {
	b, err := json.Marshal(f)
	if err != nil {
		return trafficlog.Record{Event: Ev, Err: err.Error()}
	}
	return trafficlog.Record{Time: trafficlog.Now(), Event: Ev, Note: string(b)}
}

// FromTap finds the figures in a tap.
func FromTap(recs []trafficlog.Record) (f Figures, err error) {
	for i := range recs {
		if recs[i].Event == Ev {
			if err := json.Unmarshal([]byte(recs[i].Note), &f); err != nil {
				return f, fmt.Errorf("rules: the tap's figures: %w", err)
			}
			return f, nil
		}
	}
	return f, fmt.Errorf("rules: the tap holds no figures; it was not written by spool-scenario run")
}

// Break is one break of a rule.
type Break struct {
	T      float64             `json:"t"`
	What   string              `json:"what"`
	Around []trafficlog.Record `json:"around,omitempty"` // of the first break of its rule
}

// Verdict is what was found of one rule.
type Verdict struct {
	Rule   int     `json:"rule"`
	Name   string  `json:"name"`
	Checks int     `json:"checks"`
	Tried  bool    `json:"tried"` // the day does something that tries it
	Breaks []Break `json:"breaks,omitempty"`

	// Of the rule on effects: the repeats of writes that the day's clients made, and
	// those that were a fault of their own. They break no rule, and fail the day.
	Repeats      int           `json:"client_repeats,omitempty"`
	ClientFaults []ClientFault `json:"client_faults,omitempty"`
}

// OK reports a rule that was not broken, and was looked at where the day tries it.
func (v Verdict) OK() bool { return (v.Checks > 0 || !v.Tried) && len(v.Breaks) == 0 }

var names = [...]string{"", "one final answer in time", "no effect twice", "drains kept", "cold members not pushed over",
	"no copy older than a purge"}

// checker holds the tap in the forms that the checks need.
type checker struct {
	f     Figures
	recs  []trafficlog.Record
	ids   map[string][]int // by client's request
	tries map[string]*clientTry
	kills map[string][]float64
	lives map[string][]float64 // starts, by router
	out   [6]Verdict
}

// Check judges a tap; its records are in the order of time afterwards.
func Check(recs []trafficlog.Record, f Figures) []Verdict {
	trafficlog.Sort(recs)
	c := &checker{f: f, recs: recs, ids: map[string][]int{}, kills: map[string][]float64{}, lives: map[string][]float64{}}
	for i := range c.out {
		c.out[i] = Verdict{Rule: i, Name: names[i], Tried: !slices.Contains(f.NotTried, i)}
	}
	for i := range recs {
		r := &recs[i]
		if r.ID != "" {
			c.ids[r.ID] = append(c.ids[r.ID], i)
		}
		switch {
		case r.Event == trafficlog.Killed && r.Role == "router":
			c.kills[r.Subject] = append(c.kills[r.Subject], r.Time)
		case r.Event == trafficlog.Started && r.Role == "router":
			c.lives[r.Subject] = append(c.lives[r.Subject], r.Time)
		}
	}
	c.tries = c.clientTries()
	c.answers()
	c.effects()
	c.repeats()
	c.drains()
	c.cold()
	c.purges()
	c.pieces()
	return c.out[1:]
}

func (c *checker) fail(rule int, i int, format string, a ...any) {
	v := &c.out[rule]
	b := Break{T: c.recs[i].Time, What: fmt.Sprintf(format, a...)}
	if len(v.Breaks) == 0 {
		b.Around = c.around(i)
	}
	v.Breaks = append(v.Breaks, b)
}

// around is what is known of the request that a record is of, and else the
// records of the same member or router just before and after it.
func (c *checker) around(i int) (out []trafficlog.Record) {
	r := &c.recs[i]
	if r.ID != "" {
		for _, k := range c.ids[r.ID] {
			out = append(out, c.recs[k])
		}
		return out[:min(len(out), 24)]
	}
	for k := max(0, i-400); k < min(len(c.recs), i+100) && len(out) < 24; k++ {
		if x := &c.recs[k]; x.Subject == r.Subject || k == i {
			out = append(out, *x)
		}
	}
	return out
}

// ofKey is what is known of all tries of a write, up to a number of records.
func (c *checker) ofKey(key string) (out []trafficlog.Record) {
	const most = 48
	for i := range c.recs {
		if c.recs[i].Key == key && len(out) < most {
			out = append(out, c.recs[i])
		}
	}
	return out
}

// killed reports whether a router was killed between two times.
func (c *checker) killed(router string, from, to float64) bool {
	for _, t := range c.kills[router] {
		if t >= from && t <= to {
			return true
		}
	}
	return false
}

// dead reports whether a router was down at a time: killed, and not started since.
func (c *checker) dead(router string, t float64) bool {
	last := math.Inf(-1)
	for _, k := range c.kills[router] {
		if k <= t {
			last = max(last, k)
		}
	}
	for _, up := range c.lives[router] {
		if up >= last && up <= t {
			return false
		}
	}
	return !math.IsInf(last, -1)
}

// answers checks rule 1: for each request that a running router took, one
// final answer before the client's time ran out, and nothing sent after it. A
// router that was killed is forgiven what it held, and nothing else.
func (c *checker) answers() {
	for i := range c.recs {
		ask := &c.recs[i]
		if ask.Event != trafficlog.RequestSent {
			continue
		}
		var heads int
		var first, ended, late float64 = math.Inf(1), math.Inf(1), 0
		var lateAt int
		why, whole := "", false
		for _, k := range c.ids[ask.ID] {
			switch x := &c.recs[k]; {
			case x.Event == trafficlog.ResponseHead:
				heads++
				first = min(first, x.Time)
				if heads == 2 {
					c.fail(1, k, "request %s has a second answer (%d %s)", ask.ID, x.Status, x.Note)
				}
			case x.Event == trafficlog.ResponseEnd:
				ended, why, whole = x.Time, x.Err, x.Err == ""
			case x.Event == trafficlog.AttemptReceived && x.Via == "":
				if x.Time > late {
					late, lateAt = x.Time, k
				}
			}
		}
		if why == "unreached" || c.dead(ask.Subject, ask.Time) { // no connection: no running router took it
			continue
		}
		if c.killed(ask.Subject, ask.Time-c.f.Spread, max(min(ask.Limit, ended), ask.Time)+c.f.AnswerSlack+c.f.Spread) {
			continue
		}
		if why == "gone" { // the client left by itself, as its script said
			c.out[1].Checks++
			if late > ended+c.f.Spread {
				c.fail(1, lateAt, "request %s is sent %.0f ms after its client has left", ask.ID, late-ended)
			}
			continue
		}
		c.out[1].Checks++
		switch limit := ask.Limit + c.f.AnswerSlack + c.f.Spread; {
		case heads == 0:
			c.fail(1, i, "request %s has no final answer (%s)", ask.ID, why)
		case first > limit:
			c.fail(1, i, "request %s is answered %.0f ms after its client's time ran out", ask.ID, first-ask.Limit)
		}
		// once the answer has begun, nothing more is sent for the request
		if end := min(first, ended) + c.f.Spread; late > end {
			c.fail(1, lateAt, "request %s is sent %.0f ms after its answer began (whole: %v)", ask.ID, late-first, whole)
		}
	}
}

// effects checks rule 2: no effect twice; a repeat only inside its group and
// its window, or where the attempt before surely never ran; two attempts at
// once only where they are allowed. A second effect for which the client alone is to
// blame is its fault, see repeats.
func (c *checker) effects() {
	ran := map[string][]*trafficlog.Record{}
	twice := map[string]bool{} // keys whose break is told
	type attempt struct {
		i        int
		from, to float64
		n        int
		sent     int // status; 0: none yet
	}
	byReq := map[string][]attempt{}
	zone := map[string]string{}
	atMember := map[string][]string{} // requests with attempts there, in this life of it
	for i := range c.recs {
		switch r := &c.recs[i]; r.Event {
		case trafficlog.Started:
			if r.Role != "router" {
				zone[r.Subject] = r.Note
			}
		case trafficlog.Killed: // ends what the member had in hand
			for _, req := range atMember[r.Subject] {
				for k := range byReq[req] {
					if a := &byReq[req][k]; c.recs[a.i].Subject == r.Subject {
						a.to = min(a.to, r.Time)
					}
				}
			}
			delete(atMember, r.Subject)
		case trafficlog.WriteExecuted:
			c.out[2].Checks++
			if r.Note != "dropped" && r.Key != "" && c.f.Classes[r.Class].Effect != "free" {
				if why, is := c.routersFault(ran[r.Key], r); is && !twice[r.Key] {
					twice[r.Key] = true
					c.fail(2, i, "the effect of key %q happened twice%s", r.Key, why)
					if breaks := c.out[2].Breaks; len(breaks) == 1 {
						breaks[0].Around = c.ofKey(r.Key)
					}
				}
				ran[r.Key] = append(ran[r.Key], r)
			}
		case trafficlog.AttemptReceived:
			if r.Via == "" && r.RouterRequest != "" {
				atMember[r.Subject] = append(atMember[r.Subject], r.RouterRequest)
				byReq[r.RouterRequest] = append(byReq[r.RouterRequest], attempt{i: i, from: r.Time, to: math.Inf(1), n: r.Attempt})
			}
		case trafficlog.AttemptAnswered, trafficlog.AttemptCanceled:
			list := byReq[r.RouterRequest]
			for k := range list {
				if a := &list[k]; r.Via == "" && a.n == r.Attempt && c.recs[a.i].Subject == r.Subject {
					a.to = min(a.to, r.Time)
					if r.Event == trafficlog.AttemptAnswered {
						a.sent = r.Status
					}
				}
			}
		}
	}
	reqs := make([]string, 0, len(byReq))
	for req := range byReq {
		reqs = append(reqs, req)
	}
	sort.Strings(reqs)
	for _, req := range reqs {
		list := byReq[req]
		first := &c.recs[list[0].i]
		class := c.f.Classes[first.Class]
		c.out[2].Checks++
		for k := 1; k < len(list); k++ {
			a, before := &list[k], &list[k-1]
			r := &c.recs[a.i]
			if !c.f.SecondCopies && a.from < before.to-c.f.Spread && a.n != before.n {
				c.fail(2, a.i, "request %s has two attempts out at once, %d and %d", req, before.n, a.n)
			}
			mayHaveRun := before.sent != 503 && before.sent != 504
			switch {
			case class.Effect == "single-shot" && mayHaveRun:
				c.fail(2, a.i, "single-shot request %s is sent again, though attempt %d may have run", req, before.n)
			case class.Effect == "guarded" && mayHaveRun && r.Time-first.Time > class.Window+c.f.Spread:
				c.fail(2, a.i, "guarded request %s is repeated %.0f ms after its first attempt; repeats are dropped for %.0f",
					req, r.Time-first.Time, class.Window)
			case class.Effect == "guarded" && mayHaveRun && class.Group == "zone" && zone[r.Subject] != zone[first.Subject],
				class.Effect == "guarded" && mayHaveRun && class.Group == "nowhere":
				c.fail(2, a.i, "guarded request %s is repeated outside of its group, at %s after %s", req, r.Subject, first.Subject)
			}
		}
	}
}

// drains checks rule 3: from a grace after a router was told that a member
// drains or is gone, it sends it nothing new, and names it as no source.
func (c *checker) drains() {
	type key struct{ router, member string }
	out := map[key]float64{} // told not serving, and when
	known := map[string]map[string]bool{}
	fullAt := map[string]float64{}
	outAt := map[string]float64{} // when a router was first told of one that is out now; 0: nobody is
	recount := func(router string) {
		first := 0.0
		for k, t := range out {
			if k.router == router && (first == 0 || t < first) {
				first = t
			}
		}
		outAt[router] = first
	}
	inFull := map[string]map[string]bool{}
	closeFull := func(router string) {
		named := inFull[router]
		if named == nil {
			return
		}
		for m := range known[router] {
			if _, is := out[key{router, m}]; !named[m] && !is {
				out[key{router, m}] = fullAt[router]
			}
		}
		delete(inFull, router)
		recount(router)
	}
	for i := range c.recs {
		r := &c.recs[i]
		switch {
		case r.Event == trafficlog.Started && r.Role == "router": // a new life knows only what it is told
			for k := range out {
				if k.router == r.Subject {
					delete(out, k)
				}
			}
			delete(known, r.Subject)
			delete(inFull, r.Subject)
			delete(outAt, r.Subject)
		case r.Event == trafficlog.UpdateSent && r.Note == "full":
			closeFull(r.Subject)
			inFull[r.Subject], fullAt[r.Subject] = map[string]bool{}, r.Time
		case r.Event == trafficlog.UpdateSent && r.Source != "":
			if known[r.Subject] == nil {
				known[r.Subject] = map[string]bool{}
			}
			if r.Time != fullAt[r.Subject] {
				closeFull(r.Subject)
			} else if named := inFull[r.Subject]; named != nil {
				named[r.Source] = true
			}
			known[r.Subject][r.Source] = true
			k := key{r.Subject, r.Source}
			if r.State == "serving" {
				delete(out, k)
			} else if _, is := out[k]; !is {
				out[k] = r.Time
			}
			recount(r.Subject)
		case r.Event == trafficlog.AttemptReceived && r.Via == "":
			closeFull(r.From)
			if due := outAt[r.From]; due > 0 && r.Time > due+c.f.DrainGrace+c.f.Spread {
				c.out[3].Checks++ // somebody is out for this router, and it sent elsewhere or did not
			}
			for _, m := range []string{r.Subject, r.Source} {
				if m == "" {
					continue
				}
				t, is := out[key{r.From, m}]
				if !is {
					continue
				}
				if r.Time > t+c.f.DrainGrace+c.f.Spread {
					as := "as a request"
					if m == r.Source && m != r.Subject {
						as = "as a source"
					}
					c.fail(3, i, "%s used %s %s %.0f ms after it was told that it drains or is gone", r.From, m, as, r.Time-t)
				}
			}
		}
	}
}

// cold checks rule 4: what all routers together send a member that has just
// started, against its present capacity times the multiple, in every window.
// Two thirds of it must come from routers that were told of its start.
func (c *checker) cold() {
	type life struct {
		up       *trafficlog.Record
		arrivals []int
		broken   bool
	}
	type key struct {
		who   string
		start int64
	}
	lives := map[key]*life{}
	told := map[[2]string]int64{}
	for i := range c.recs {
		r := &c.recs[i]
		switch {
		case r.Event == trafficlog.Started && r.Cold && (r.Role == "box" || r.Role == "parent"):
			lives[key{r.Subject, r.Start}] = &life{up: r}
		case r.Event == trafficlog.UpdateSent && r.Source != "":
			told[[2]string{r.Subject, r.Source}] = max(told[[2]string{r.Subject, r.Source}], r.Start)
		case r.Event == trafficlog.AttemptReceived:
			l := lives[key{r.Subject, r.Start}]
			if l == nil || l.broken {
				continue
			}
			from, span, factor := c.f.ColdFrom, c.f.ColdTime, c.f.FallFactor
			if l.up.Role == "parent" {
				from, span, factor = c.f.ParentColdFrom, c.f.ParentColdTime, c.f.ParentFall
			}
			age := r.Time - l.up.Time
			if age >= span || l.up.Work <= 0 {
				continue
			}
			c.out[4].Checks++
			l.arrivals = append(l.arrivals, i)
			for len(l.arrivals) > 0 && c.recs[l.arrivals[0]].Time <= r.Time-c.f.FallTime {
				l.arrivals = l.arrivals[1:]
			}
			sum, knew := 0.0, 0.0
			for _, k := range l.arrivals {
				x := &c.recs[k]
				sum += x.Work
				if told[[2]string{x.From, r.Subject}] >= r.Start {
					knew += x.Work
				}
			}
			budget := factor * l.up.Work * (from + (1-from)*age/span) * c.f.FallTime
			if len(l.arrivals) > 1 && sum > budget && knew >= sum*2/3 {
				l.broken = true
				c.fail(4, i, "%s (start %d, up for %.0f ms) was sent %.0f ms of work in %.0f ms, where %.0f push it over",
					r.Subject, r.Start, age, sum, c.f.FallTime, budget)
			}
		}
	}
}

// ledger is which purges were made, and of which each router was told.
type ledger struct {
	f       Figures
	objects map[string][]float64 // when they were made
	groups  map[int][]float64
	told    map[ledgerKey][]ledgerPurge
}

type ledgerKey struct {
	router, object string
	group          int
}

type ledgerPurge struct{ made, told float64 }

func newLedger(f Figures) *ledger {
	return &ledger{f, map[string][]float64{}, map[int][]float64{}, map[ledgerKey][]ledgerPurge{}}
}

// take takes a record, if it is of purges or of a router's new life.
func (l *ledger) take(r *trafficlog.Record) bool {
	switch {
	case r.Event == trafficlog.Started && r.Role == "router":
		for k := range l.told {
			if k.router == r.Subject {
				delete(l.told, k)
			}
		}
	case r.Event == trafficlog.Purge && r.Object != "":
		l.objects[r.Object] = append(l.objects[r.Object], r.Time)
	case r.Event == trafficlog.Purge:
		l.groups[r.Group] = append(l.groups[r.Group], r.Time)
	case r.Event == trafficlog.UpdateSent && r.Note == "purge":
		k := ledgerKey{r.Subject, r.Object, r.Group}
		if r.Object != "" {
			k.group = 0
		}
		l.told[k] = append(l.told[k], ledgerPurge{r.Created, r.Time})
	default:
		return false
	}
	return true
}

// least is the oldest version of an object that a router may use at a time; 0: any.
func (l *ledger) least(router, object string, group int, at float64) int64 {
	var bind float64 // the latest purge that binds it
	for _, k := range []ledgerKey{{router, object, 0}, {router, "", group}} {
		for _, p := range l.told[k] {
			if at > p.told+l.f.PurgeSlack+l.f.Spread {
				bind = max(bind, p.made)
			}
		}
	}
	if bind == 0 {
		return 0
	}
	n := int64(1)
	for _, list := range [][]float64{l.objects[object], l.groups[group]} {
		for _, t := range list {
			if t <= bind {
				n++
			}
		}
	}
	return n
}

// purges checks rule 5: from a grace after a router was told of a purge,
// nothing that it sends is answered from an older version. What counts is the
// origin's version, not an age that a cache states.
func (c *checker) purges() {
	l := newLedger(c.f)
	type at struct {
		who, req string
		n        int
		start    int64
	}
	recv := map[at]float64{}
	for i := range c.recs {
		r := &c.recs[i]
		switch {
		case l.take(r):
		case r.Event == trafficlog.ResponseEnd && strings.HasPrefix(r.Err, "byte "):
			c.fail(5, i, "request %s: %s: copies were spliced", r.ID, r.Err)
		case r.Event == trafficlog.AttemptReceived && r.Via == "":
			recv[at{r.Subject, r.RouterRequest, r.Attempt, r.Start}] = r.Time
		case r.Event == trafficlog.AttemptAnswered && r.Via == "" && (r.Status == 200 || r.Status == 206) && !r.Write:
			t, ok := recv[at{r.Subject, r.RouterRequest, r.Attempt, r.Start}]
			if !ok {
				continue
			}
			c.out[5].Checks++
			if least := l.least(r.From, r.Object, r.Group, t); r.Version < least {
				c.fail(5, i, "%s answered %s from version %d, though %s was told of the purge that made version %d",
					r.Subject, r.Object, r.Version, r.From, least)
			}
		}
	}
}

// pieces checks rules 1 and 5 for pages that clients read: each piece is there once, whole
// and in its place, and none is of a version older than a purge that its router was told
// of a grace before the client read it; and nothing is sent for a piece once the page has
// ended for its client.
func (c *checker) pieces() {
	l := newLedger(c.f)
	ended := map[string]float64{}
	for i := range c.recs {
		switch r := &c.recs[i]; {
		case l.take(r):
		case r.Event == trafficlog.ResponseEnd:
			ended[r.ID] = r.Time
		case r.Event == trafficlog.AttemptReceived && r.Via == "":
			page, _, is := strings.Cut(r.ID, ".f")
			if t, over := ended[page]; is && over && r.Time > t+c.f.Spread {
				c.fail(1, i, "piece %s is asked for %.0f ms after its page has ended", r.ID, r.Time-t)
			}
		case r.Event == trafficlog.FragmentRead && r.Err == "missing":
		case r.Event == trafficlog.FragmentRead && r.Err != "":
			c.out[1].Checks++
			c.fail(1, i, "the page of request %s is not as it must be: %s", r.ID, r.Err)
		case r.Event == trafficlog.FragmentRead:
			c.out[1].Checks++
			c.out[5].Checks++
			if least := l.least(r.Subject, r.Object, r.Group, r.Time); r.Version < least {
				c.fail(5, i, "the page of request %s has %s in version %d, though %s was told of the purge that made version %d",
					r.ID, r.Object, r.Version, r.Subject, least)
			}
		}
	}
}

// Summary is the verdicts in a few lines.
func Summary(vs []Verdict) string {
	s := ""
	for _, v := range vs {
		word := "kept"
		switch {
		case v.Checks == 0 && !v.Tried:
			word = "not tried by this day"
		case v.Checks == 0:
			word = "UNPROVEN: nothing to look at"
		case len(v.Breaks) > 0:
			word = fmt.Sprintf("BROKEN %d times", len(v.Breaks))
		}
		s += fmt.Sprintf("rule %d  %-30s %8d checks  %s\n", v.Rule, v.Name, v.Checks, word)
		if v.Repeats > 0 {
			s += fmt.Sprintf("        %-30s %8d looked at  %d FAULTS OF THE TEST'S CLIENTS\n", "repeats by the clients", v.Repeats, len(v.ClientFaults))
		}
	}
	return s
}

// Details tells each rule's breaks, at most a few, and the records around the first.
func Details(vs []Verdict) string {
	s := ""
	for _, v := range vs {
		for i, b := range v.Breaks {
			if i == 5 {
				s += fmt.Sprintf("  ... and %d more of rule %d\n", len(v.Breaks)-i, v.Rule)
				break
			}
			s += fmt.Sprintf("rule %d broken at %.1f ms: %s\n", v.Rule, b.T, b.What)
			s += lines(b.Around)
		}
		s += clientDetails(v.ClientFaults)
	}
	return s
}

// AllOK reports whether every rule was kept, and looked at where it was tried, with no
// fault of the test's own clients.
func AllOK(vs []Verdict) bool {
	for _, v := range vs {
		if !v.OK() || len(v.ClientFaults) > 0 {
			return false
		}
	}
	return true
}
