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
	Idempotency string  `json:"effect"` // free, guarded or single-shot
	KeyScope    string  `json:"group"`  // of guarded: nowhere, cell, zone or all
	KeyWindow   float64 `json:"window"` // ms
}

// Parameters are the figures of the rules, in ms.
type Parameters struct {
	AnswerSlack              float64          `json:"answer_slack"`
	DrainGrace               float64          `json:"drain_grace"`
	WarmUpInitialShare       float64          `json:"cold_from"`
	WarmUpTime               float64          `json:"cold_time"`
	OverloadFactor           float64          `json:"fall_factor"`
	OverloadTime             float64          `json:"fall_time"`
	ParentWarmUpInitialShare float64          `json:"parent_cold_from"`
	ParentWarmUpTime         float64          `json:"parent_cold_time"`
	ParentOverloadFactor     float64          `json:"parent_fall"`
	PurgeGrace               float64          `json:"purge_slack"`
	HedgedRequests           bool             `json:"second_copies"`
	Classes                  map[string]Class `json:"classes"`
	// ObservationSkew is how far apart two processes of one machine may see one thing:
	// what is read later than it was sent counts as sent so much earlier.
	ObservationSkew float64 `json:"spread"`
	// NotExercised are the rules that the day does nothing to try: with nothing to look
	// at they are not unproven.
	NotExercised []int `json:"not_tried,omitempty"`
}

// ParametersEvent is the event of the record that holds a log's parameters, in its note.
const ParametersEvent = "figures"

// Record is the figures as a record, the first of a tap.
func (f Parameters) Record() trafficlog.Record {
	b, err := json.Marshal(f)
	if err != nil {
		return trafficlog.Record{Event: ParametersEvent, Err: err.Error()}
	}
	return trafficlog.Record{Time: trafficlog.Now(), Event: ParametersEvent, Note: string(b)}
}

// ParametersFromLog finds the figures in a tap.
func ParametersFromLog(recs []trafficlog.Record) (f Parameters, err error) {
	for i := range recs {
		if recs[i].Event == ParametersEvent {
			if err := json.Unmarshal([]byte(recs[i].Note), &f); err != nil {
				return f, fmt.Errorf("rules: the tap's figures: %w", err)
			}
			return f, nil
		}
	}
	return f, fmt.Errorf("rules: the tap holds no figures; it was not written by spool-scenario run")
}

// Violation is one break of a rule.
type Violation struct {
	Time        float64             `json:"t"`
	Description string              `json:"what"`
	Context     []trafficlog.Record `json:"around,omitempty"` // of the first break of its rule
}

// Verdict is what was found of one rule.
type Verdict struct {
	Rule       int         `json:"rule"`
	Name       string      `json:"name"`
	Checks     int         `json:"checks"`
	Exercised  bool        `json:"tried"` // the day does something that tries it
	Violations []Violation `json:"breaks,omitempty"`

	// Of the rule on effects: the repeats of writes that the day's clients made, and
	// those that were a fault of their own. They break no rule, and fail the day.
	Repeats      int           `json:"client_repeats,omitempty"`
	ClientFaults []ClientFault `json:"client_faults,omitempty"`
}

// OK reports a rule that was not broken, and was looked at where the day tries it.
func (v Verdict) OK() bool { return (v.Checks > 0 || !v.Exercised) && len(v.Violations) == 0 }

var ruleNames = [...]string{"", "one final answer in time", "no effect twice", "drains kept", "cold members not pushed over",
	"no copy older than a purge"}

// checker holds the tap in the forms that the checks need.
type checker struct {
	params          Parameters
	records         []trafficlog.Record
	byClientRequest map[string][]int // by client's request
	clientTries     map[string]*clientTry
	routerKills     map[string][]float64
	routerStarts    map[string][]float64 // starts, by router
	verdicts        [6]Verdict
}

// Check judges a tap; its records are in the order of time afterwards.
func Check(recs []trafficlog.Record, f Parameters) []Verdict {
	trafficlog.Sort(recs)
	c := &checker{params: f, records: recs, byClientRequest: map[string][]int{}, routerKills: map[string][]float64{}, routerStarts: map[string][]float64{}}
	for i := range c.verdicts {
		c.verdicts[i] = Verdict{Rule: i, Name: ruleNames[i], Exercised: !slices.Contains(f.NotExercised, i)}
	}
	for i := range recs {
		r := &recs[i]
		if r.ID != "" {
			c.byClientRequest[r.ID] = append(c.byClientRequest[r.ID], i)
		}
		switch {
		case r.Event == trafficlog.Killed && r.Role == "router":
			c.routerKills[r.Subject] = append(c.routerKills[r.Subject], r.Time)
		case r.Event == trafficlog.Started && r.Role == "router":
			c.routerStarts[r.Subject] = append(c.routerStarts[r.Subject], r.Time)
		}
	}
	c.clientTries = c.collectClientTries()
	c.checkResponses()
	c.checkWrites()
	c.checkClientRepeats()
	c.checkDrains()
	c.checkWarmUp()
	c.checkPurges()
	c.checkPages()
	return c.verdicts[1:]
}

func (c *checker) addViolation(rule int, i int, format string, a ...any) {
	v := &c.verdicts[rule]
	b := Violation{Time: c.records[i].Time, Description: fmt.Sprintf(format, a...)}
	if len(v.Violations) == 0 {
		b.Context = c.contextOf(i)
	}
	v.Violations = append(v.Violations, b)
}

// contextOf is what is known of the request that a record is of, and else the
// records of the same member or router just before and after it.
func (c *checker) contextOf(i int) (out []trafficlog.Record) {
	r := &c.records[i]
	if r.ID != "" {
		for _, k := range c.byClientRequest[r.ID] {
			out = append(out, c.records[k])
		}
		return out[:min(len(out), 24)]
	}
	for k := max(0, i-400); k < min(len(c.records), i+100) && len(out) < 24; k++ {
		if x := &c.records[k]; x.Subject == r.Subject || k == i {
			out = append(out, *x)
		}
	}
	return out
}

// recordsOfKey is what is known of all tries of a write, up to a number of records.
func (c *checker) recordsOfKey(key string) (out []trafficlog.Record) {
	const most = 48
	for i := range c.records {
		if c.records[i].Key == key && len(out) < most {
			out = append(out, c.records[i])
		}
	}
	return out
}

// killed reports whether a router was killed between two times.
func (c *checker) killed(router string, from, to float64) bool {
	for _, t := range c.routerKills[router] {
		if t >= from && t <= to {
			return true
		}
	}
	return false
}

// isDown reports whether a router was down at a time: killed, and not started since.
func (c *checker) isDown(router string, t float64) bool {
	last := math.Inf(-1)
	for _, k := range c.routerKills[router] {
		if k <= t {
			last = max(last, k)
		}
	}
	for _, up := range c.routerStarts[router] {
		if up >= last && up <= t {
			return false
		}
	}
	return !math.IsInf(last, -1)
}

// checkResponses checks rule 1: for each request that a running router took, one
// final answer before the client's time ran out, and nothing sent after it. A
// router that was killed is forgiven what it held, and nothing else.
func (c *checker) checkResponses() {
	for i := range c.records {
		ask := &c.records[i]
		if ask.Event != trafficlog.RequestSent {
			continue
		}
		var heads int
		var first, ended, late float64 = math.Inf(1), math.Inf(1), 0
		var lateAt int
		why, whole := "", false
		for _, k := range c.byClientRequest[ask.ID] {
			switch x := &c.records[k]; {
			case x.Event == trafficlog.ResponseHead:
				heads++
				first = min(first, x.Time)
				if heads == 2 {
					c.addViolation(1, k, "request %s has a second answer (%d %s)", ask.ID, x.Status, x.Note)
				}
			case x.Event == trafficlog.ResponseEnd:
				ended, why, whole = x.Time, x.Err, x.Err == ""
			case x.Event == trafficlog.AttemptReceived && x.Via == "":
				if x.Time > late {
					late, lateAt = x.Time, k
				}
			}
		}
		if why == "unreached" || c.isDown(ask.Subject, ask.Time) { // no connection: no running router took it
			continue
		}
		if c.killed(ask.Subject, ask.Time-c.params.ObservationSkew, max(min(ask.Limit, ended), ask.Time)+c.params.AnswerSlack+c.params.ObservationSkew) {
			continue
		}
		if why == "gone" { // the client left by itself, as its script said
			c.verdicts[1].Checks++
			if late > ended+c.params.ObservationSkew {
				c.addViolation(1, lateAt, "request %s is sent %.0f ms after its client has left", ask.ID, late-ended)
			}
			continue
		}
		c.verdicts[1].Checks++
		switch limit := ask.Limit + c.params.AnswerSlack + c.params.ObservationSkew; {
		case heads == 0:
			c.addViolation(1, i, "request %s has no final answer (%s)", ask.ID, why)
		case first > limit:
			c.addViolation(1, i, "request %s is answered %.0f ms after its client's time ran out", ask.ID, first-ask.Limit)
		}
		// once the answer has begun, nothing more is sent for the request
		if end := min(first, ended) + c.params.ObservationSkew; late > end {
			c.addViolation(1, lateAt, "request %s is sent %.0f ms after its answer began (whole: %v)", ask.ID, late-first, whole)
		}
	}
}

// checkWrites checks rule 2: no effect twice; a repeat only inside its group and
// its window, or where the attempt before surely never ran; two attempts at
// once only where they are allowed. A second effect for which the client alone is to
// blame is its fault, see repeats.
func (c *checker) checkWrites() {
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
	for i := range c.records {
		switch r := &c.records[i]; r.Event {
		case trafficlog.Started:
			if r.Role != "router" {
				zone[r.Subject] = r.Note
			}
		case trafficlog.Killed: // ends what the member had in hand
			for _, req := range atMember[r.Subject] {
				for k := range byReq[req] {
					if a := &byReq[req][k]; c.records[a.i].Subject == r.Subject {
						a.to = min(a.to, r.Time)
					}
				}
			}
			delete(atMember, r.Subject)
		case trafficlog.WriteExecuted:
			c.verdicts[2].Checks++
			if r.Note != "dropped" && r.Key != "" && c.params.Classes[r.Class].Idempotency != "free" {
				if why, is := c.routerFault(ran[r.Key], r); is && !twice[r.Key] {
					twice[r.Key] = true
					c.addViolation(2, i, "the effect of key %q happened twice%s", r.Key, why)
					if breaks := c.verdicts[2].Violations; len(breaks) == 1 {
						breaks[0].Context = c.recordsOfKey(r.Key)
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
				if a := &list[k]; r.Via == "" && a.n == r.Attempt && c.records[a.i].Subject == r.Subject {
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
		first := &c.records[list[0].i]
		class := c.params.Classes[first.Class]
		c.verdicts[2].Checks++
		for k := 1; k < len(list); k++ {
			a, before := &list[k], &list[k-1]
			r := &c.records[a.i]
			if !c.params.HedgedRequests && a.from < before.to-c.params.ObservationSkew && a.n != before.n {
				c.addViolation(2, a.i, "request %s has two attempts out at once, %d and %d", req, before.n, a.n)
			}
			mayHaveRun := before.sent != 503 && before.sent != 504
			switch {
			case class.Idempotency == "single-shot" && mayHaveRun:
				c.addViolation(2, a.i, "single-shot request %s is sent again, though attempt %d may have run", req, before.n)
			case class.Idempotency == "guarded" && mayHaveRun && r.Time-first.Time > class.KeyWindow+c.params.ObservationSkew:
				c.addViolation(2, a.i, "guarded request %s is repeated %.0f ms after its first attempt; repeats are dropped for %.0f",
					req, r.Time-first.Time, class.KeyWindow)
			case class.Idempotency == "guarded" && mayHaveRun && class.KeyScope == "zone" && zone[r.Subject] != zone[first.Subject],
				class.Idempotency == "guarded" && mayHaveRun && class.KeyScope == "nowhere":
				c.addViolation(2, a.i, "guarded request %s is repeated outside of its group, at %s after %s", req, r.Subject, first.Subject)
			}
		}
	}
}

// checkDrains checks rule 3: from a grace after a router was told that a member
// drains or is gone, it sends it nothing new, and names it as no source.
func (c *checker) checkDrains() {
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
	for i := range c.records {
		r := &c.records[i]
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
			if due := outAt[r.From]; due > 0 && r.Time > due+c.params.DrainGrace+c.params.ObservationSkew {
				c.verdicts[3].Checks++ // somebody is out for this router, and it sent elsewhere or did not
			}
			for _, m := range []string{r.Subject, r.Source} {
				if m == "" {
					continue
				}
				t, is := out[key{r.From, m}]
				if !is {
					continue
				}
				if r.Time > t+c.params.DrainGrace+c.params.ObservationSkew {
					as := "as a request"
					if m == r.Source && m != r.Subject {
						as = "as a source"
					}
					c.addViolation(3, i, "%s used %s %s %.0f ms after it was told that it drains or is gone", r.From, m, as, r.Time-t)
				}
			}
		}
	}
}

// checkWarmUp checks rule 4: what all routers together send a member that has just
// started, against its present capacity times the multiple, in every window.
// Two thirds of it must come from routers that were told of its start.
func (c *checker) checkWarmUp() {
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
	for i := range c.records {
		r := &c.records[i]
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
			from, span, factor := c.params.WarmUpInitialShare, c.params.WarmUpTime, c.params.OverloadFactor
			if l.up.Role == "parent" {
				from, span, factor = c.params.ParentWarmUpInitialShare, c.params.ParentWarmUpTime, c.params.ParentOverloadFactor
			}
			age := r.Time - l.up.Time
			if age >= span || l.up.Work <= 0 {
				continue
			}
			c.verdicts[4].Checks++
			l.arrivals = append(l.arrivals, i)
			for len(l.arrivals) > 0 && c.records[l.arrivals[0]].Time <= r.Time-c.params.OverloadTime {
				l.arrivals = l.arrivals[1:]
			}
			sum, knew := 0.0, 0.0
			for _, k := range l.arrivals {
				x := &c.records[k]
				sum += x.Work
				if told[[2]string{x.From, r.Subject}] >= r.Start {
					knew += x.Work
				}
			}
			budget := factor * l.up.Work * (from + (1-from)*age/span) * c.params.OverloadTime
			if len(l.arrivals) > 1 && sum > budget && knew >= sum*2/3 {
				l.broken = true
				c.addViolation(4, i, "%s (start %d, up for %.0f ms) was sent %.0f ms of work in %.0f ms, where %.0f push it over",
					r.Subject, r.Start, age, sum, c.params.OverloadTime, budget)
			}
		}
	}
}

// purgeHistory is which purges were made, and of which each router was told.
type purgeHistory struct {
	f       Parameters
	objects map[string][]float64 // when they were made
	groups  map[int][]float64
	told    map[purgeScope][]purgeNotice
}

type purgeScope struct {
	router, object string
	group          int
}

type purgeNotice struct{ made, told float64 }

func newPurgeHistory(f Parameters) *purgeHistory {
	return &purgeHistory{f, map[string][]float64{}, map[int][]float64{}, map[purgeScope][]purgeNotice{}}
}

// add takes a record, if it is of purges or of a router's new life.
func (l *purgeHistory) add(r *trafficlog.Record) bool {
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
		k := purgeScope{r.Subject, r.Object, r.Group}
		if r.Object != "" {
			k.group = 0
		}
		l.told[k] = append(l.told[k], purgeNotice{r.Created, r.Time})
	default:
		return false
	}
	return true
}

// minVersion is the oldest version of an object that a router may use at a time; 0: any.
func (l *purgeHistory) minVersion(router, object string, group int, at float64) int64 {
	var bind float64 // the latest purge that binds it
	for _, k := range []purgeScope{{router, object, 0}, {router, "", group}} {
		for _, p := range l.told[k] {
			if at > p.told+l.f.PurgeGrace+l.f.ObservationSkew {
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

// checkPurges checks rule 5: from a grace after a router was told of a purge,
// nothing that it sends is answered from an older version. What counts is the
// origin's version, not an age that a cache states.
func (c *checker) checkPurges() {
	l := newPurgeHistory(c.params)
	type at struct {
		who, req string
		n        int
		start    int64
	}
	recv := map[at]float64{}
	for i := range c.records {
		r := &c.records[i]
		switch {
		case l.add(r):
		case r.Event == trafficlog.ResponseEnd && strings.HasPrefix(r.Err, "byte "):
			c.addViolation(5, i, "request %s: %s: copies were spliced", r.ID, r.Err)
		case r.Event == trafficlog.AttemptReceived && r.Via == "":
			recv[at{r.Subject, r.RouterRequest, r.Attempt, r.Start}] = r.Time
		case r.Event == trafficlog.AttemptAnswered && r.Via == "" && (r.Status == 200 || r.Status == 206) && !r.Write:
			t, ok := recv[at{r.Subject, r.RouterRequest, r.Attempt, r.Start}]
			if !ok {
				continue
			}
			c.verdicts[5].Checks++
			if least := l.minVersion(r.From, r.Object, r.Group, t); r.Version < least {
				c.addViolation(5, i, "%s answered %s from version %d, though %s was told of the purge that made version %d",
					r.Subject, r.Object, r.Version, r.From, least)
			}
		}
	}
}

// checkPages checks rules 1 and 5 for pages that clients read: each piece is there once, whole
// and in its place, and none is of a version older than a purge that its router was told
// of a grace before the client read it; and nothing is sent for a piece once the page has
// ended for its client.
func (c *checker) checkPages() {
	l := newPurgeHistory(c.params)
	ended := map[string]float64{}
	for i := range c.records {
		switch r := &c.records[i]; {
		case l.add(r):
		case r.Event == trafficlog.ResponseEnd:
			ended[r.ID] = r.Time
		case r.Event == trafficlog.AttemptReceived && r.Via == "":
			page, _, is := strings.Cut(r.ID, ".f")
			if t, over := ended[page]; is && over && r.Time > t+c.params.ObservationSkew {
				c.addViolation(1, i, "piece %s is asked for %.0f ms after its page has ended", r.ID, r.Time-t)
			}
		case r.Event == trafficlog.FragmentRead && r.Err == "missing":
		case r.Event == trafficlog.FragmentRead && r.Err != "":
			c.verdicts[1].Checks++
			c.addViolation(1, i, "the page of request %s is not as it must be: %s", r.ID, r.Err)
		case r.Event == trafficlog.FragmentRead:
			c.verdicts[1].Checks++
			c.verdicts[5].Checks++
			if least := l.minVersion(r.Subject, r.Object, r.Group, r.Time); r.Version < least {
				c.addViolation(5, i, "the page of request %s has %s in version %d, though %s was told of the purge that made version %d",
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
		case v.Checks == 0 && !v.Exercised:
			word = "not tried by this day"
		case v.Checks == 0:
			word = "UNPROVEN: nothing to look at"
		case len(v.Violations) > 0:
			word = fmt.Sprintf("BROKEN %d times", len(v.Violations))
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
		for i, b := range v.Violations {
			if i == 5 {
				s += fmt.Sprintf("  ... and %d more of rule %d\n", len(v.Violations)-i, v.Rule)
				break
			}
			s += fmt.Sprintf("rule %d broken at %.1f ms: %s\n", v.Rule, b.Time, b.Description)
			s += recordLines(b.Context)
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
