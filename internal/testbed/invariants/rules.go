// Package invariants checks the five rules of a router against a traffic log: the record
// of what test servers and clients observed on their sockets. It uses nothing that a router
// reports of itself and shares no code with the decision module, so that an error in that
// module cannot hide itself. Each rule counts its checks; a rule without any check is
// reported as unproven, not as kept.
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

// Class holds the properties of a request class that the rules depend on.
type Class struct {
	Idempotency string  `json:"effect"` // free (idempotent), guarded (idempotent by key) or single-shot (non-idempotent)
	KeyScope    string  `json:"group"`  // of guarded: the servers that drop repeats of a key: nowhere, cell, zone or all
	KeyWindow   float64 `json:"window"` // of guarded: for how long they drop them, ms
}

// Parameters holds the limits that the rules check. Times are in ms.
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
	// ObservationSkew is the largest difference between the times at which two processes
	// on one machine record the same event. The checks allow for it where they compare
	// the times of two processes.
	ObservationSkew float64 `json:"spread"`
	// NotExercised lists the rules that the scenario does nothing to exercise. Such a
	// rule is not unproven when it has no checks.
	NotExercised []int `json:"not_tried,omitempty"`
}

// ParametersEvent is the event of the record whose note holds a log's parameters as JSON.
const ParametersEvent = "figures"

// Record returns the parameters as the first record of a traffic log.
func (f Parameters) Record() trafficlog.Record {
	b, err := json.Marshal(f)
	if err != nil {
		return trafficlog.Record{Event: ParametersEvent, Err: err.Error()}
	}
	return trafficlog.Record{Time: trafficlog.Now(), Event: ParametersEvent, Note: string(b)}
}

// ParametersFromLog returns the parameters that a traffic log was recorded with.
func ParametersFromLog(recs []trafficlog.Record) (f Parameters, err error) {
	for i := range recs {
		if recs[i].Event == ParametersEvent {
			if err := json.Unmarshal([]byte(recs[i].Note), &f); err != nil {
				return f, fmt.Errorf("invariants: parse the parameters in the traffic log: %w", err)
			}
			return f, nil
		}
	}
	return f, fmt.Errorf("invariants: no %q record in the traffic log; it was not written by spool-scenario run", ParametersEvent)
}

// Violation is one violation of a rule.
type Violation struct {
	Time        float64             `json:"t"`
	Description string              `json:"what"`
	Context     []trafficlog.Record `json:"around,omitempty"` // records of the same request or member; only of a rule's first violation
}

// Verdict is the result of checking one rule.
type Verdict struct {
	Rule       int         `json:"rule"`
	Name       string      `json:"name"`
	Checks     int         `json:"checks"`
	Exercised  bool        `json:"tried"` // the scenario does something to exercise the rule
	Violations []Violation `json:"breaks,omitempty"`

	// Of rule 2 only: the number of writes that the test's clients repeated, and the
	// repeats that a correct client would not have made. The latter violate no rule of
	// the router's, but fail the scenario.
	Repeats      int           `json:"client_repeats,omitempty"`
	ClientFaults []ClientFault `json:"client_faults,omitempty"`
}

// OK reports whether the rule was not violated and, where the scenario exercises it, was
// checked at least once.
func (v Verdict) OK() bool { return (v.Checks > 0 || !v.Exercised) && len(v.Violations) == 0 }

var ruleNames = [...]string{"", "one final answer in time", "no effect twice", "drains kept", "cold members not pushed over",
	"no copy older than a purge"}

// checker holds the traffic log and the indexes over it that the checks use.
type checker struct {
	params          Parameters
	records         []trafficlog.Record
	byClientRequest map[string][]int // indexes into records, by ID of the client's request
	clientTries     map[string]*clientTry
	routerKills     map[string][]float64 // times, by router
	routerStarts    map[string][]float64 // times, by router
	verdicts        [6]Verdict
}

// Check sorts the records of a traffic log by time and checks the rules against them.
func Check(records []trafficlog.Record, params Parameters) []Verdict {
	trafficlog.Sort(records)
	c := &checker{params: params, records: records, byClientRequest: map[string][]int{}, routerKills: map[string][]float64{}, routerStarts: map[string][]float64{}}
	for i := range c.verdicts {
		c.verdicts[i] = Verdict{Rule: i, Name: ruleNames[i], Exercised: !slices.Contains(params.NotExercised, i)}
	}
	for i := range records {
		r := &records[i]
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

// addViolation records that the record at index i violates a rule.
func (c *checker) addViolation(rule int, i int, format string, a ...any) {
	v := &c.verdicts[rule]
	b := Violation{Time: c.records[i].Time, Description: fmt.Sprintf(format, a...)}
	if len(v.Violations) == 0 {
		b.Context = c.contextOf(i)
	}
	v.Violations = append(v.Violations, b)
}

// contextOf returns records that help to explain the record at index i: those of the same
// client request or, where it belongs to none, those of the same member or router shortly
// before and after it. It returns at most 24.
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

// recordsOfKey returns the first 48 records that carry an idempotency key.
func (c *checker) recordsOfKey(key string) (out []trafficlog.Record) {
	const most = 48
	for i := range c.records {
		if c.records[i].Key == key && len(out) < most {
			out = append(out, c.records[i])
		}
	}
	return out
}

// killed reports whether a router was killed from one time to another.
func (c *checker) killed(router string, from, to float64) bool {
	for _, t := range c.routerKills[router] {
		if t >= from && t <= to {
			return true
		}
	}
	return false
}

// isDown reports whether a router was down at time t: killed, and not started since.
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

// checkResponses checks rule 1: each request that a running router accepted gets one final
// response before the client's deadline, and the router sends no attempt of it once the
// response has begun. A router that was killed is excused for the requests that it had in
// flight, and for no others.
func (c *checker) checkResponses() {
	for i := range c.records {
		request := &c.records[i]
		if request.Event != trafficlog.RequestSent {
			continue
		}
		var responses int
		var firstHead, endedAt, lastAttempt float64 = math.Inf(1), math.Inf(1), 0
		var lastIndex int
		endReason, complete := "", false
		for _, k := range c.byClientRequest[request.ID] {
			switch x := &c.records[k]; {
			case x.Event == trafficlog.ResponseHead:
				responses++
				firstHead = min(firstHead, x.Time)
				if responses == 2 {
					c.addViolation(1, k, "request %s has a second answer (%d %s)", request.ID, x.Status, x.Note)
				}
			case x.Event == trafficlog.ResponseEnd:
				endedAt, endReason, complete = x.Time, x.Err, x.Err == ""
			case x.Event == trafficlog.AttemptReceived && x.Via == "":
				if x.Time > lastAttempt {
					lastAttempt, lastIndex = x.Time, k
				}
			}
		}
		if endReason == "unreached" || c.isDown(request.Subject, request.Time) { // no running router accepted the request
			continue
		}
		if c.killed(request.Subject, request.Time-c.params.ObservationSkew, max(min(request.Limit, endedAt), request.Time)+c.params.AnswerSlack+c.params.ObservationSkew) {
			continue
		}
		if endReason == "gone" { // the client closed the connection early, as the script has a share of them do
			c.verdicts[1].Checks++
			if lastAttempt > endedAt+c.params.ObservationSkew {
				c.addViolation(1, lastIndex, "request %s is sent %.0f ms after its client has left", request.ID, lastAttempt-endedAt)
			}
			continue
		}
		c.verdicts[1].Checks++
		switch limit := request.Limit + c.params.AnswerSlack + c.params.ObservationSkew; {
		case responses == 0:
			c.addViolation(1, i, "request %s has no final answer (%s)", request.ID, endReason)
		case firstHead > limit:
			c.addViolation(1, i, "request %s is answered %.0f ms after its client's time ran out", request.ID, firstHead-request.Limit)
		}
		// Once the response has begun, no further attempt may be sent.
		if end := min(firstHead, endedAt) + c.params.ObservationSkew; lastAttempt > end {
			c.addViolation(1, lastIndex, "request %s is sent %.0f ms after its answer began (whole: %v)", request.ID, lastAttempt-firstHead, complete)
		}
	}
}

// checkWrites checks rule 2. No write takes effect twice. The router repeats a write only
// within the scope and the window in which servers drop repeats of its key, or after an
// attempt that was certainly not executed. Two attempts of a request overlap only where
// hedged requests are allowed. A second effect that only the test's client is to blame for
// is not a violation; checkClientRepeats reports it.
func (c *checker) checkWrites() {
	executions := map[string][]*trafficlog.Record{}
	reported := map[string]bool{} // keys whose second effect has been reported
	type attempt struct {
		index    int
		from, to float64
		number   int
		status   int // status of the response; 0: none yet
	}
	attempts := map[string][]attempt{}
	zones := map[string]string{}
	requestsAt := map[string][]string{} // requests with attempts at a member since its last start
	for i := range c.records {
		switch r := &c.records[i]; r.Event {
		case trafficlog.Started:
			if r.Role != "router" {
				zones[r.Subject] = r.Note
			}
		case trafficlog.Killed: // ends the attempts in flight at the member
			for _, req := range requestsAt[r.Subject] {
				for k := range attempts[req] {
					if a := &attempts[req][k]; c.records[a.index].Subject == r.Subject {
						a.to = min(a.to, r.Time)
					}
				}
			}
			delete(requestsAt, r.Subject)
		case trafficlog.WriteExecuted:
			c.verdicts[2].Checks++
			if r.Note != "dropped" && r.Key != "" && c.params.Classes[r.Class].Idempotency != "free" {
				if why, atFault := c.routerFault(executions[r.Key], r); atFault && !reported[r.Key] {
					reported[r.Key] = true
					c.addViolation(2, i, "the effect of key %q happened twice%s", r.Key, why)
					if violations := c.verdicts[2].Violations; len(violations) == 1 {
						violations[0].Context = c.recordsOfKey(r.Key)
					}
				}
				executions[r.Key] = append(executions[r.Key], r)
			}
		case trafficlog.AttemptReceived:
			if r.Via == "" && r.RouterRequest != "" {
				requestsAt[r.Subject] = append(requestsAt[r.Subject], r.RouterRequest)
				attempts[r.RouterRequest] = append(attempts[r.RouterRequest], attempt{index: i, from: r.Time, to: math.Inf(1), number: r.Attempt})
			}
		case trafficlog.AttemptAnswered, trafficlog.AttemptCanceled:
			list := attempts[r.RouterRequest]
			for k := range list {
				if a := &list[k]; r.Via == "" && a.number == r.Attempt && c.records[a.index].Subject == r.Subject {
					a.to = min(a.to, r.Time)
					if r.Event == trafficlog.AttemptAnswered {
						a.status = r.Status
					}
				}
			}
		}
	}
	requests := make([]string, 0, len(attempts))
	for req := range attempts {
		requests = append(requests, req)
	}
	sort.Strings(requests)
	for _, req := range requests {
		list := attempts[req]
		first := &c.records[list[0].index]
		class := c.params.Classes[first.Class]
		c.verdicts[2].Checks++
		for k := 1; k < len(list); k++ {
			a, before := &list[k], &list[k-1]
			r := &c.records[a.index]
			if !c.params.HedgedRequests && a.from < before.to-c.params.ObservationSkew && a.number != before.number {
				c.addViolation(2, a.index, "request %s has two attempts out at once, %d and %d", req, before.number, a.number)
			}
			mayHaveRun := before.status != 503 && before.status != 504
			switch {
			case class.Idempotency == "single-shot" && mayHaveRun:
				c.addViolation(2, a.index, "single-shot request %s is sent again, though attempt %d may have run", req, before.number)
			case class.Idempotency == "guarded" && mayHaveRun && r.Time-first.Time > class.KeyWindow+c.params.ObservationSkew:
				c.addViolation(2, a.index, "guarded request %s is repeated %.0f ms after its first attempt; repeats are dropped for %.0f",
					req, r.Time-first.Time, class.KeyWindow)
			case class.Idempotency == "guarded" && mayHaveRun && class.KeyScope == "zone" && zones[r.Subject] != zones[first.Subject],
				class.Idempotency == "guarded" && mayHaveRun && class.KeyScope == "nowhere":
				c.addViolation(2, a.index, "guarded request %s is repeated outside of its group, at %s after %s", req, r.Subject, first.Subject)
			}
		}
	}
}

// checkDrains checks rule 3: once a grace period has passed since a router was informed
// that a member is draining or removed, the router sends no new attempt to the member and
// does not name it as a fill source.
func (c *checker) checkDrains() {
	type key struct{ router, member string }
	notServing := map[key]float64{} // members that a router knows not to be serving, and since when
	known := map[string]map[string]bool{}
	listTime := map[string]float64{}        // time of the latest full list, by router
	notServingSince := map[string]float64{} // the earliest time in notServing, by router; 0: none
	recount := func(router string) {
		first := 0.0
		for k, t := range notServing {
			if k.router == router && (first == 0 || t < first) {
				first = t
			}
		}
		notServingSince[router] = first
	}
	listed := map[string]map[string]bool{} // members named so far by a full list that is being read, by router
	// finishList marks the known members that the full list did not name as not serving.
	finishList := func(router string) {
		named := listed[router]
		if named == nil {
			return
		}
		for m := range known[router] {
			if _, ok := notServing[key{router, m}]; !named[m] && !ok {
				notServing[key{router, m}] = listTime[router]
			}
		}
		delete(listed, router)
		recount(router)
	}
	for i := range c.records {
		r := &c.records[i]
		switch {
		case r.Event == trafficlog.Started && r.Role == "router": // a restarted router knows only what it has received since
			for k := range notServing {
				if k.router == r.Subject {
					delete(notServing, k)
				}
			}
			delete(known, r.Subject)
			delete(listed, r.Subject)
			delete(notServingSince, r.Subject)
		case r.Event == trafficlog.UpdateSent && r.Note == "full":
			finishList(r.Subject)
			listed[r.Subject], listTime[r.Subject] = map[string]bool{}, r.Time
		case r.Event == trafficlog.UpdateSent && r.Source != "":
			if known[r.Subject] == nil {
				known[r.Subject] = map[string]bool{}
			}
			if r.Time != listTime[r.Subject] {
				finishList(r.Subject)
			} else if named := listed[r.Subject]; named != nil {
				named[r.Source] = true
			}
			known[r.Subject][r.Source] = true
			k := key{r.Subject, r.Source}
			if r.State == "serving" {
				delete(notServing, k)
			} else if _, is := notServing[k]; !is {
				notServing[k] = r.Time
			}
			recount(r.Subject)
		case r.Event == trafficlog.AttemptReceived && r.Via == "":
			finishList(r.From)
			if since := notServingSince[r.From]; since > 0 && r.Time > since+c.params.DrainGrace+c.params.ObservationSkew {
				c.verdicts[3].Checks++ // an attempt while the router knew a member not to be serving
			}
			for _, m := range []string{r.Subject, r.Source} {
				if m == "" {
					continue
				}
				t, ok := notServing[key{r.From, m}]
				if !ok {
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

// checkWarmUp checks rule 4: in each window of OverloadTime, the routers together send a
// member that has started cold no more work than OverloadFactor times its capacity at that
// age. A window counts only if at least two thirds of its work come from routers that had
// been informed of the start: the others cannot know that the member is cold.
func (c *checker) checkWarmUp() {
	type coldStart struct {
		started  *trafficlog.Record
		arrivals []int
		violated bool
	}
	type key struct {
		member string
		start  int64
	}
	coldStarts := map[key]*coldStart{}
	knownStart := map[[2]string]int64{}
	for i := range c.records {
		r := &c.records[i]
		switch {
		case r.Event == trafficlog.Started && r.Cold && (r.Role == "box" || r.Role == "parent"):
			coldStarts[key{r.Subject, r.Start}] = &coldStart{started: r}
		case r.Event == trafficlog.UpdateSent && r.Source != "":
			knownStart[[2]string{r.Subject, r.Source}] = max(knownStart[[2]string{r.Subject, r.Source}], r.Start)
		case r.Event == trafficlog.AttemptReceived:
			l := coldStarts[key{r.Subject, r.Start}]
			if l == nil || l.violated {
				continue
			}
			initialShare, warmUpTime, factor := c.params.WarmUpInitialShare, c.params.WarmUpTime, c.params.OverloadFactor
			if l.started.Role == "parent" {
				initialShare, warmUpTime, factor = c.params.ParentWarmUpInitialShare, c.params.ParentWarmUpTime, c.params.ParentOverloadFactor
			}
			age := r.Time - l.started.Time
			if age >= warmUpTime || l.started.Work <= 0 {
				continue
			}
			c.verdicts[4].Checks++
			l.arrivals = append(l.arrivals, i)
			for len(l.arrivals) > 0 && c.records[l.arrivals[0]].Time <= r.Time-c.params.OverloadTime {
				l.arrivals = l.arrivals[1:]
			}
			total, fromInformed := 0.0, 0.0
			for _, k := range l.arrivals {
				x := &c.records[k]
				total += x.Work
				if knownStart[[2]string{x.From, r.Subject}] >= r.Start {
					fromInformed += x.Work
				}
			}
			budget := factor * l.started.Work * (initialShare + (1-initialShare)*age/warmUpTime) * c.params.OverloadTime
			if len(l.arrivals) > 1 && total > budget && fromInformed >= total*2/3 {
				l.violated = true
				c.addViolation(4, i, "%s (start %d, up for %.0f ms) was sent %.0f ms of work in %.0f ms, where %.0f push it over",
					r.Subject, r.Start, age, total, c.params.OverloadTime, budget)
			}
		}
	}
}

// purgeHistory holds the purges made at the origin, and those that each router was
// informed of.
type purgeHistory struct {
	params       Parameters
	objectPurges map[string][]float64 // times of purges, by object
	groupPurges  map[int][]float64    // times of purges, by group
	notices      map[purgeScope][]purgeNotice
}

type purgeScope struct {
	router, object string
	group          int
}

type purgeNotice struct{ made, received float64 }

func newPurgeHistory(params Parameters) *purgeHistory {
	return &purgeHistory{params, map[string][]float64{}, map[int][]float64{}, map[purgeScope][]purgeNotice{}}
}

// add updates the history by a record of a purge or of a router's start. It reports false
// for other records.
func (l *purgeHistory) add(r *trafficlog.Record) bool {
	switch {
	case r.Event == trafficlog.Started && r.Role == "router":
		for k := range l.notices {
			if k.router == r.Subject {
				delete(l.notices, k)
			}
		}
	case r.Event == trafficlog.Purge && r.Object != "":
		l.objectPurges[r.Object] = append(l.objectPurges[r.Object], r.Time)
	case r.Event == trafficlog.Purge:
		l.groupPurges[r.Group] = append(l.groupPurges[r.Group], r.Time)
	case r.Event == trafficlog.UpdateSent && r.Note == "purge":
		k := purgeScope{r.Subject, r.Object, r.Group}
		if r.Object != "" {
			k.group = 0
		}
		l.notices[k] = append(l.notices[k], purgeNotice{r.Created, r.Time})
	default:
		return false
	}
	return true
}

// minVersion returns the oldest version of an object that a router may use at a time;
// 0 means any.
func (l *purgeHistory) minVersion(router, object string, group int, at float64) int64 {
	var latest float64 // time of the latest purge whose grace period has passed for the router
	for _, k := range []purgeScope{{router, object, 0}, {router, "", group}} {
		for _, p := range l.notices[k] {
			if at > p.received+l.params.PurgeGrace+l.params.ObservationSkew {
				latest = max(latest, p.made)
			}
		}
	}
	if latest == 0 {
		return 0
	}
	n := int64(1)
	for _, list := range [][]float64{l.objectPurges[object], l.groupPurges[group]} {
		for _, t := range list {
			if t <= latest {
				n++
			}
		}
	}
	return n
}

// checkPurges checks rule 5: once a grace period has passed since a router was informed of
// a purge, no attempt that it sends is answered from an older version. The check relies on
// the origin's version number, not on the age that a cache states.
func (c *checker) checkPurges() {
	l := newPurgeHistory(c.params)
	type attemptKey struct {
		member, request string
		n               int
		start           int64
	}
	received := map[attemptKey]float64{}
	for i := range c.records {
		r := &c.records[i]
		switch {
		case l.add(r):
		case r.Event == trafficlog.ResponseEnd && strings.HasPrefix(r.Err, "byte "):
			c.addViolation(5, i, "request %s: %s: copies were spliced", r.ID, r.Err)
		case r.Event == trafficlog.AttemptReceived && r.Via == "":
			received[attemptKey{r.Subject, r.RouterRequest, r.Attempt, r.Start}] = r.Time
		case r.Event == trafficlog.AttemptAnswered && r.Via == "" && (r.Status == 200 || r.Status == 206) && !r.Write:
			t, ok := received[attemptKey{r.Subject, r.RouterRequest, r.Attempt, r.Start}]
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

// checkPages checks rules 1 and 5 for the pages that clients read. Each fragment of a page
// appears once, complete and in its position. No fragment is older than a purge that the
// router was informed of a grace period before the client read the fragment. No attempt is
// sent for a fragment after the page has ended for its client.
func (c *checker) checkPages() {
	l := newPurgeHistory(c.params)
	ended := map[string]float64{}
	for i := range c.records {
		switch r := &c.records[i]; {
		case l.add(r):
		case r.Event == trafficlog.ResponseEnd:
			ended[r.ID] = r.Time
		case r.Event == trafficlog.AttemptReceived && r.Via == "":
			page, _, isFragment := strings.Cut(r.ID, ".f")
			if t, ok := ended[page]; isFragment && ok && r.Time > t+c.params.ObservationSkew {
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

// Summary returns one line for each verdict, and a second one where clients repeated writes.
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

// Details describes up to five violations of each rule, with the records that explain the
// first one.
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

// AllOK reports whether every verdict is OK and the test's own clients made no fault.
func AllOK(vs []Verdict) bool {
	for _, v := range vs {
		if !v.OK() || len(v.ClientFaults) > 0 {
			return false
		}
	}
	return true
}
