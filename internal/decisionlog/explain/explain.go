// Package explain explains why a request was sent where it was. It replays a router's journal
// and observes the decision module by Core.Explain, so that it reports the decisions themselves
// instead of computing them a second time.
package explain

import (
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"

	spool "indigospool"
	"indigospool/internal/decisionlog/journal"
	"indigospool/internal/decisionlog/replay"
	"indigospool/internal/proxy/engine"
)

// Step is an event that concerns the request: its own event, or one at which the module made
// a decision about it.
type Step struct {
	T            float64       `json:"t"`  // ms on the router's clock
	SinceArrival float64       `json:"in"` // ms since the request arrived
	Event        string        `json:"event"`
	Candidates   []Candidate   `json:"looks,omitempty"`
	Actions      []string      `json:"actions,omitempty"`
	Ranges       []spool.Range `json:"ranges,omitempty"` // set if they have changed since the previous step
	Waits        bool          `json:"waits,omitempty"`  // the request is still queued: nothing was sent
}

// Candidate is a member that was considered for an attempt. Member is empty if the reason
// concerns the request itself.
type Candidate struct {
	Member string `json:"member,omitempty"`
	As     string `json:"as"` // "cache" or "source"
	Pass   int    `json:"pass"`
	Why    string `json:"why"`
	Times  int    `json:"times"` // how often it was considered in a row, with the same result
}

// Explanation describes how a request was handled.
type Explanation struct {
	Request      spool.Request  `json:"request"`
	Hypothetical bool           `json:"hypothetical"` // the request is not in the journal; see Hypothetical
	Router       string         `json:"router"`
	Steps        []Step         `json:"steps"`
	Ended        bool           `json:"over"` // the request has its final answer, or its client has disconnected
	Ranges       []spool.Range  `json:"ranges,omitempty"`
	Members      []spool.Member `json:"members"` // as listed when the request arrived
	Equal        bool           `json:"equal"`   // the replayed actions are equal to the recorded ones up to the request's end
}

var reasonTexts = map[spool.Reason]string{
	spool.ReasonAccepted: "taken", spool.ReasonOverLoadBound: "is loaded above the bound", spool.ReasonFailedBefore: "failed an earlier attempt of the request",
	spool.ReasonAlreadyConsidered: "was considered before", spool.ReasonOutsideKeyScope: "is outside the scope of the request's idempotency key",
	spool.ReasonUnavailable: "is draining or removed", spool.ReasonEjected: "is ejected, and the request may not be its health check",
	spool.ReasonAtConcurrencyLimit: "is at its concurrency limit", spool.ReasonSlowStartExhausted: "is warming up, and has no slow-start tokens left",
	spool.ReasonLinkAtLimit: "the link into the zone is at its concurrency limit", spool.ReasonAttemptsExhausted: "no further attempt is allowed",
	spool.ReasonNoMember: "no member of the required role is available",
}

// ReasonText returns the text for a reason.
func ReasonText(r spool.Reason) string {
	if w, ok := reasonTexts[r]; ok {
		return w
	}
	return fmt.Sprintf("reason %d", r)
}

// ErrNotFound means that a request is not in a journal, or cannot be replayed.
var ErrNotFound = errors.New("explain: the journal has no such request, or the request is after a gap")

// Request explains a recorded request.
func Request(j *journal.Reader, id string) (*Explanation, error) {
	explanation := &Explanation{}
	t := &tracer{explanation: explanation, id: id}
	w := t.watcher()
	report, err := replay.Run(j, w)
	if err != nil {
		return nil, err
	}
	if !t.arrived {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, id)
	}
	explanation.Equal = report.Different == 0
	return explanation, nil
}

// HypotheticalRequest is a request that is not in the journal.
type HypotheticalRequest struct {
	Class, Object string
	Part, Group   int
	KB            float64
	Write         bool
	Timeout       float64 // ms until the client's deadline; 0: that of the class
	At            float64 // ms on the router's clock; 0: at the journal's end
	InPlaceOf     string  // id of a recorded request to replace; its time of arrival is used
}

// hypotheticalID is the id of a hypothetical request.
const hypotheticalID = "hypothetical"

// Hypothetical explains how a request would be handled at a time of the journal. It replays the
// journal up to that time and then passes the request to the module. The outcome of an attempt
// is unknown, so that the explanation ends with the first one.
func Hypothetical(j *journal.Reader, request HypotheticalRequest) (*Explanation, error) {
	explanation := &Explanation{Hypothetical: true}
	t := &tracer{explanation: explanation, id: hypotheticalID}
	var c *engine.Core
	last, found := 0.0, false
	w := &replay.Watcher{
		RouterStarted: func(next *engine.Core, l *journal.RouterStart) { c, explanation.Router = next, l.Name },
		Before: func(e *journal.Entry, _ *engine.Core) bool {
			if q, ok := e.Event.(spool.Request); ok && request.InPlaceOf != "" && q.ID == request.InPlaceOf {
				last, found = e.T, true
				return true
			}
			if request.At > 0 && e.T > request.At {
				return true
			}
			last = e.T
			t.before(e, c)
			return false
		}}
	report, err := replay.Run(j, w)
	if err != nil {
		return nil, err
	}
	if c == nil {
		return nil, replay.ErrNothingToCompare
	}
	if request.InPlaceOf != "" && !found {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, request.InPlaceOf)
	}
	explanation.Equal = report.Different == 0
	known := false
	var names []string
	for i := range c.Settings.Classes {
		names = append(names, c.Settings.Classes[i].Name)
		known = known || c.Settings.Classes[i].Name == request.Class
	}
	if !known {
		return nil, fmt.Errorf("explain: no class %q; the router's are %s", request.Class, strings.Join(names, ", "))
	}
	q := spool.Request{ID: hypotheticalID, Class: request.Class, Object: request.Object, Part: request.Part, Group: request.Group, KB: request.KB, Write: request.Write}
	e := &journal.Entry{T: max(last, request.At)}
	if request.Timeout > 0 {
		q.Deadline = e.T + request.Timeout
	}
	e.Event = q
	t.observe(c)
	t.before(e, c)
	t.after(e, c, c.Handle(e.T, q, nil))
	return explanation, nil
}

// tracer builds an Explanation during a replay.
type tracer struct {
	explanation *Explanation
	id          string // of the request
	arrived     bool
	arrivedAt   float64
	candidates  []Candidate             // considered for the request at the current event
	ranges      []spool.Range           // after the latest step
	members     map[string]spool.Member // as listed so far
}

func (t *tracer) watcher() *replay.Watcher {
	return &replay.Watcher{
		RouterStarted: func(c *engine.Core, start *journal.RouterStart) {
			if !t.arrived {
				t.explanation.Router = start.Name
			}
			t.observe(c)
			t.members = nil
		},
		Before: func(e *journal.Entry, c *engine.Core) bool { t.before(e, c); return t.explanation.Ended },
		After:  func(e *journal.Entry, c *engine.Core, acts []spool.Action) { t.after(e, c, acts) },
	}
}

// observe has the module report the candidates for the request.
func (t *tracer) observe(c *engine.Core) {
	c.Explain(func(considered spool.Candidate) {
		if considered.Request != t.id {
			return
		}
		one := Candidate{Member: considered.Member, As: "cache", Pass: considered.Pass, Why: ReasonText(considered.Reason), Times: 1}
		if considered.AsSource {
			one.As = "source"
		}
		t.candidates = append(t.candidates, one)
	})
}

// before is called before an event is handled.
func (t *tracer) before(e *journal.Entry, c *engine.Core) {
	t.candidates = nil
	if ev, ok := e.Event.(spool.Members); ok && !t.arrived {
		if ev.Full || t.members == nil {
			t.members = map[string]spool.Member{}
		}
		for _, m := range ev.Rows {
			t.members[m.ID] = m
		}
	}
	if q, ok := e.Event.(spool.Request); ok && q.ID == t.id {
		t.arrived, t.arrivedAt, t.explanation.Request, t.ranges = true, e.T, q, c.Ranges()
		t.explanation.Ranges = t.ranges
		for _, m := range t.members {
			t.explanation.Members = append(t.explanation.Members, m)
		}
		sort.Slice(t.explanation.Members, func(i, j int) bool { return t.explanation.Members[i].ID < t.explanation.Members[j].ID })
	}
}

// requestID returns the id of the request that an event or action belongs to, or "".
func requestID(x any) string {
	switch x := x.(type) {
	case spool.Request:
		return x.ID
	case spool.Outcome:
		return x.ID
	case spool.Started:
		return x.ID
	case spool.Gone:
		return x.ID
	case spool.Send:
		return x.ID
	case spool.Refuse:
		return x.ID
	case spool.Fail:
		return x.ID
	case spool.Cancel:
		return x.ID
	}
	return ""
}

// after is called with the actions for an event, and adds a step if they concern the request.
func (t *tracer) after(e *journal.Entry, c *engine.Core, acts []spool.Action) {
	if !t.arrived {
		return
	}
	step := Step{T: e.T, SinceArrival: e.T - t.arrivedAt, Candidates: t.candidates}
	sent := false
	for _, a := range acts {
		if requestID(a) != t.id {
			continue
		}
		step.Actions = append(step.Actions, ActionText(a))
		switch a.(type) {
		case spool.Refuse, spool.Fail:
			t.explanation.Ended = true
		case spool.Send:
			sent = true
		}
	}
	own := requestID(e.Event) == t.id
	switch ev := e.Event.(type) {
	case spool.Outcome:
		t.explanation.Ended = t.explanation.Ended || own && ev.Last
	case spool.Gone:
		t.explanation.Ended = t.explanation.Ended || own
	}
	if !own && len(step.Actions) == 0 {
		if len(step.Candidates) == 0 {
			return
		}
		if n := len(t.explanation.Steps); n > 0 && t.explanation.Steps[n-1].Waits && sameCandidates(t.explanation.Steps[n-1].Candidates, step.Candidates) {
			for i := range t.explanation.Steps[n-1].Candidates {
				t.explanation.Steps[n-1].Candidates[i].Times++
			}
			return // still queued, for the same reasons
		}
	}
	step.Event = eventText(e.Event, own)
	step.Waits = !sent && !t.explanation.Ended && len(step.Candidates) > 0
	if now := c.Ranges(); !equalRanges(now, t.ranges) {
		step.Ranges, t.ranges = now, now
	}
	t.explanation.Steps = append(t.explanation.Steps, step)
}

// sameCandidates reports whether two lists of candidates are equal except for Times.
func sameCandidates(a, b []Candidate) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := a[i], b[i]
		x.Times, y.Times = 0, 0
		if x != y {
			return false
		}
	}
	return true
}

func equalRanges(a, b []spool.Range) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

var resultTexts = map[spool.Result]string{spool.OK: "ok", spool.Errored: "error", spool.Rejected: "rejected", spool.TimedOut: "timeout",
	spool.ConnectFailed: "connect failed", spool.Reset: "reset", spool.Cancelled: "cancelled", spool.NotSent: "not sent", spool.Miss: "miss",
	spool.LocalFailure: "local failure"}

func eventText(ev spool.Event, own bool) string {
	switch ev := ev.(type) {
	case spool.Request:
		if own {
			return fmt.Sprintf("arrives: class %s, object %s, part %d, %.0f KB", ev.Class, ev.Object, ev.Part, ev.KB)
		}
	case spool.Outcome:
		if own {
			return fmt.Sprintf("attempt %d at %s ends: %s after %.1f ms", ev.Attempt, ev.Cache, resultTexts[ev.Result], ev.Took)
		}
		return fmt.Sprintf("another request's attempt ends at %s", ev.Cache)
	case spool.Started:
		return fmt.Sprintf("the response to attempt %d at %s starts", ev.Attempt, ev.Cache)
	case spool.Gone:
		if own {
			return "the request's client has disconnected"
		}
		return "the client of another request has disconnected"
	case spool.Timer:
		return "timer"
	case spool.Members:
		return fmt.Sprintf("update of %d members", len(ev.Rows))
	}
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", ev), "indigospool."))
}

// ActionText returns the text for an action.
func ActionText(a spool.Action) string {
	switch a := a.(type) {
	case spool.Send:
		s := "asks " + a.Cache + " for its cached copy"
		if a.Source != a.Cache {
			s = "has " + a.Cache + " fill it from " + a.Source
			if a.Held {
				s += ", only if cached there"
			}
		}
		if a.Keep == 0 {
			s = "sends the request to " + a.Cache + " with source " + a.Source + ", without caching"
		}
		if a.Age >= 1e8 {
			return s + " (copies of any age)"
		}
		return fmt.Sprintf("%s (copies up to %.1f ms old)", s, a.Age)
	case spool.Refuse:
		return fmt.Sprintf("rejects the request: retry after %.0f ms", a.After)
	case spool.Fail:
		return "fails the request, which may have run"
	case spool.Cancel:
		return fmt.Sprintf("cancels attempt %d", a.Attempt)
	}
	return fmt.Sprintf("%T%+v", a, a)
}

// Text writes the explanation in a readable form.
func (e *Explanation) Text(w io.Writer) {
	q := e.Request
	kind := "request " + q.ID
	if e.Hypothetical {
		kind = "hypothetical request"
	}
	fmt.Fprintf(w, "%s at router %s\n", kind, e.Router)
	if len(e.Ranges) > 0 {
		fmt.Fprint(w, "ranges of parts: ")
		for i, r := range e.Ranges {
			if i > 0 {
				fmt.Fprint(w, ", ")
			}
			fmt.Fprint(w, rangeText(r))
		}
		fmt.Fprintln(w)
	}
	for _, step := range e.Steps {
		fmt.Fprintf(w, "%9.1f ms  %s\n", step.SinceArrival, step.Event)
		for _, line := range candidateLines(step.Candidates) {
			fmt.Fprintf(w, "%14s%s\n", "", line)
		}
		for _, a := range step.Actions {
			fmt.Fprintf(w, "%12s> %s\n", "", a)
		}
		if step.Waits {
			fmt.Fprintf(w, "%12s> waits\n", "")
		}
		if len(step.Ranges) > 0 {
			fmt.Fprintf(w, "%12s  the ranges have changed\n", "")
		}
	}
	switch {
	case e.Hypothetical:
	case !e.Ended:
		fmt.Fprintln(w, "the journal ends before the request's final answer")
	}
	if !e.Equal {
		fmt.Fprintln(w, "WARNING: this program's module decides differently from the router's: see spool-replay")
	}
}

// candidateLines returns one line for each combination of role, member and reason. Candidates
// that an earlier pass has considered are left out.
func candidateLines(candidates []Candidate) (out []string) {
	type key struct{ as, member, why string }
	seen := map[key]int{}
	for _, candidate := range candidates {
		k := key{candidate.As, candidate.Member, candidate.Why}
		if _, shown := seen[k]; shown || candidate.Why == ReasonText(spool.ReasonAlreadyConsidered) {
			continue
		}
		seen[k] = len(out)
		line := candidate.Why
		if candidate.Member != "" {
			line = fmt.Sprintf("%s %s: %s", candidate.As, candidate.Member, candidate.Why)
		}
		if candidate.Pass > 0 {
			line += fmt.Sprintf(" (pass %d)", candidate.Pass+1)
		}
		if candidate.Times > 1 {
			line += fmt.Sprintf(" (considered %d times)", candidate.Times)
		}
		out = append(out, line)
	}
	return out
}

func rangeText(r spool.Range) string {
	if r.To < 0 {
		return fmt.Sprintf("%s from %d on", r.Cache, r.From)
	}
	if r.To <= r.From {
		return fmt.Sprintf("%s none", r.Cache)
	}
	return fmt.Sprintf("%s %d to %d", r.Cache, r.From, r.To-1)
}

// SVG draws the ranges of part indices and marks the request's part.
func (e *Explanation) SVG(w io.Writer) {
	const width, height, fontSize = 900, 150, 12
	last := e.Request.Part + 1
	for _, r := range e.Ranges {
		last = max(last, r.From+1, r.To)
	}
	last += max(last/8, 1)
	x := func(part int) float64 { return 10 + float64(width-20)*float64(min(part, last))/float64(last) }
	fmt.Fprintf(w, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="%d">`+"\n", width, height, fontSize)
	colours := []string{"#c6dbef", "#fdd0a2", "#c7e9c0", "#dadaeb", "#fcbba1", "#d9d9d9"}
	for i, r := range e.Ranges {
		to := r.To
		if to < 0 {
			to = last
		}
		if to <= r.From {
			continue
		}
		fmt.Fprintf(w, `<rect x="%.1f" y="40" width="%.1f" height="50" fill="%s" stroke="#555"/>`+"\n", x(r.From), x(to)-x(r.From), colours[i%len(colours)])
		fmt.Fprintf(w, `<text x="%.1f" y="%d">%s</text>`+"\n", x(r.From)+3, 60+i%2*18, escape(r.Cache))
		fmt.Fprintf(w, `<text x="%.1f" y="106">%d</text>`+"\n", x(r.From), r.From)
	}
	at := (x(e.Request.Part) + x(e.Request.Part+1)) / 2
	fmt.Fprintf(w, `<path d="M%.1f 38 l-6 -12 h12 z" fill="#b00"/><text x="%.1f" y="20">part %d of %s</text>`+"\n", at, min(at, width-260), e.Request.Part, escape(e.Request.Object))
	fmt.Fprintf(w, `<text x="10" y="135">ranges of part indices at router %s</text>`+"\n</svg>\n", escape(e.Router))
}

func escape(s string) string {
	return strings.NewReplacer("&", "&amp;", "<", "&lt;", ">", "&gt;", `"`, "&quot;").Replace(s)
}
