// Package differential compares the programs that embed the routing engine with each other and
// with the traffic on the sockets. The decisions that a router recorded in its journal must
// match the attempts that the test servers received, and the decisions that the adapter, replay
// and explain make when they are given the same events. The adapter is the program through which
// the simulator uses the engine, over a protocol of JSON lines (package simwire). A program that
// passes events to the engine incorrectly shows up as a difference.
//
// The package makes no routing decisions of its own and treats no program as the reference for
// another. Scenarios run it on their routers' journals (spool-scenario run --journal).
// drift_test.go runs it on generated fleets with faults, and compares spool-fleet's simulated
// router, too.
package differential

import (
	"fmt"
	"io"
	"reflect"
	"slices"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/decisionlog/explain"
	"indigospool/internal/decisionlog/journal"
	"indigospool/internal/decisionlog/replay"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/testbed/trafficlog"
)

// Report counts what was compared and lists the differences.
type Report struct {
	Events         int `json:"events"`    // events in the journal
	Decided        int `json:"decided"`   // attempts that the journal has a decision for
	Seen           int `json:"seen"`      // of these, attempts received by caches, parents or the origin
	Fills          int `json:"fills"`     // fill requests received by a source or the origin
	Adapter        int `json:"adapter"`   // events for which the adapter's actions were compared
	Replay         int `json:"replay"`    // events for which replay's actions were compared
	Explained      int `json:"explained"` // requests whose explanations were compared
	Asked          int `json:"asked"`     // of these, requests that were also explained as hypothetical
	Unjournaled    int `json:"lost"`      // attempts received around a kill of their router that its journal does not have
	AdapterSkipped int `json:"unwired"`   // events not compared with the adapter: those after a gap, a change of settings or an event that its protocol cannot express, up to the next start of the router

	Different   int      `json:"different"`
	Differences []string `json:"differences,omitempty"` // the first differences, at most maxDifferences
}

const maxDifferences = 20

// asOnWire returns the actions without what the adapter's protocol cannot express: in the
// simulator a send reaches its cache at once, so the message has no field for Within. The
// comparison with replay covers Within.
func asOnWire(acts []spool.Action) []spool.Action {
	out := slices.Clone(acts)
	for i, a := range out {
		if s, ok := a.(spool.Send); ok {
			s.Within = 0
			out[i] = s
		}
	}
	return out
}

func (r *Report) addDifference(format string, args ...any) {
	if r.Different++; len(r.Differences) < maxDifferences {
		r.Differences = append(r.Differences, fmt.Sprintf(format, args...))
	}
}

// OK reports whether attempts and adapter events were compared and nothing differed.
func (r *Report) OK() bool { return r.Different == 0 && r.Decided > 0 && r.Seen > 0 && r.Adapter > 0 }

// Options limits a comparison.
type Options struct {
	Explanations int    // requests to explain, spread evenly over the journal; each needs a replay; 0 means 20
	Router       string // name of the journal's router in the traffic log; "" takes the attempts of all routers and then ignores their kills
}

// unwrittenMs is a time in ms. An attempt received less than unwrittenMs before or after a kill
// of its router may be missing from the journal: before the kill, because the journal writes its
// records only every 50 ms, and after it, because attempts already sent may still arrive.
const unwrittenMs = 400

// attempt identifies an attempt by its request and its number, from 0.
type attempt struct {
	id     string
	number int
}

// decision holds the journal's records of an attempt.
type decision struct {
	send   spool.Send
	done   bool
	result spool.Result
}

// Check compares a router's journal with the attempts that the test servers received from it,
// and with the other programs. It calls open for each pass over the journal.
func Check(open func() (*journal.Reader, error), recs []trafficlog.Record, o Options) (*Report, error) {
	if o.Explanations <= 0 {
		o.Explanations = 20
	}
	r := &Report{}
	index, err := r.readJournal(open)
	if err != nil {
		return nil, err
	}
	r.compareTraffic(index, recs, o.Router)
	for _, f := range []func(func() (*journal.Reader, error)) error{r.compareReplay, r.compareAdapter} {
		if err := f(open); err != nil {
			return nil, err
		}
	}
	return r, r.compareExplanations(open, index, o.Explanations)
}

// journalIndex is an index of the requests and attempts of a whole journal.
type journalIndex struct {
	decided  map[attempt]*decision
	attempts map[string][]*decision // by request id, in order
	arrivals []arrival
}

// arrival is a request event.
type arrival struct {
	time    float64 // ms on the router's clock
	request spool.Request
	first   spool.Action // the first action for the request in its own event; nil if it was queued
}

func (r *Report) readJournal(open func() (*journal.Reader, error)) (*journalIndex, error) {
	j, err := open()
	if err != nil {
		return nil, err
	}
	defer j.Close()
	index := &journalIndex{decided: map[attempt]*decision{}, attempts: map[string][]*decision{}}
	for {
		e, err := j.Next()
		if err == io.EOF {
			return index, nil
		}
		if err != nil {
			return nil, err
		}
		if e.Kind != journal.KindHandled {
			continue
		}
		r.Events++
		for _, a := range e.Actions {
			if s, ok := a.(spool.Send); ok {
				d := &decision{send: s}
				index.decided[attempt{s.ID, len(index.attempts[s.ID])}] = d
				index.attempts[s.ID] = append(index.attempts[s.ID], d)
				r.Decided++
			}
		}
		switch ev := e.Event.(type) {
		case spool.Request:
			one := arrival{time: e.T, request: ev}
			for _, a := range e.Actions {
				if id := requestID(a); id == ev.ID && one.first == nil {
					one.first = a
				}
			}
			index.arrivals = append(index.arrivals, one)
		case spool.Outcome:
			if d := index.decided[attempt{ev.ID, ev.Attempt}]; d != nil {
				d.done, d.result = true, ev.Result
				if d.send.Cache != ev.Cache {
					r.addDifference("router: attempt %d of %s was sent to %s, but its outcome names %s", ev.Attempt, ev.ID, d.send.Cache, ev.Cache)
				}
			}
		}
	}
}

// requestID returns the id of the request that an action sends, refuses or fails, or "".
func requestID(a spool.Action) string {
	switch a := a.(type) {
	case spool.Send:
		return a.ID
	case spool.Refuse:
		return a.ID
	case spool.Fail:
		return a.ID
	}
	return ""
}

// compareTraffic compares the decided attempts with those that the test servers received.
func (r *Report) compareTraffic(index *journalIndex, recs []trafficlog.Record, router string) {
	received := map[attempt]bool{}
	var kills []float64
	for i := range recs {
		if recs[i].Event == trafficlog.Killed && recs[i].Subject == router {
			kills = append(kills, recs[i].Time)
		}
	}
	for i := range recs {
		rec := &recs[i]
		if rec.Event != trafficlog.AttemptReceived || rec.RouterRequest == "" || router != "" && rec.From != router {
			continue
		}
		d := index.decided[attempt{rec.RouterRequest, rec.Attempt}]
		if d == nil {
			if slices.ContainsFunc(kills, func(t float64) bool { return rec.Time > t-unwrittenMs && rec.Time < t+unwrittenMs }) {
				r.Unjournaled++
			} else {
				r.addDifference("sockets: %s received attempt %d of %s, which the journal does not have", rec.Subject, rec.Attempt, rec.RouterRequest)
			}
			continue
		}
		if rec.Via != "" { // a fill, requested by the cache from its source, or by the source from the origin
			r.Fills++
			fromSource := rec.Via == d.send.Cache && rec.Subject == d.send.Source
			fromOrigin := rec.Via == d.send.Source && rec.Role == "origin"
			if !fromSource && !fromOrigin {
				r.addDifference("sockets: attempt %d of %s: %s requested a fill from %s, but the journal has cache %s with source %s", rec.Attempt, rec.RouterRequest, rec.Via, rec.Subject, d.send.Cache, d.send.Source)
			}
			continue
		}
		if received[attempt{rec.RouterRequest, rec.Attempt}] {
			r.addDifference("sockets: attempt %d of %s was received twice, the second time by %s", rec.Attempt, rec.RouterRequest, rec.Subject)
		}
		received[attempt{rec.RouterRequest, rec.Attempt}] = true
		r.Seen++
		source := ""
		if d.send.Source != d.send.Cache {
			source = d.send.Source
		}
		if rec.Subject != d.send.Cache || rec.Source != source {
			r.addDifference("sockets: attempt %d of %s was received by %s with source %q, but the journal has %s with source %q (empty: no source)", rec.Attempt, rec.RouterRequest, rec.Subject, rec.Source, d.send.Cache, source)
		}
	}
	for k, d := range index.decided { // an answered attempt must have reached a test server
		answered := d.done && (d.result == spool.OK || d.result == spool.Miss)
		if answered && !received[k] {
			r.addDifference("sockets: attempt %d of %s at %s was answered with result %q according to the journal, but no test server received it", k.number, k.id, d.send.Cache, resultWords[d.result])
		}
	}
}

// compareReplay compares the journal's actions with those of replay for the same events.
func (r *Report) compareReplay(open func() (*journal.Reader, error)) error {
	j, err := open()
	if err != nil {
		return err
	}
	defer j.Close()
	rep, err := replay.Run(j, &replay.Watcher{After: func(e *journal.Entry, _ *engine.Core, acts []spool.Action) {
		if r.Replay++; !equalActions(acts, e.Actions) {
			r.addDifference("replay: journal record %d at %.3f ms, event %T%+v: replay returned %+v, want %+v as recorded", e.Number, e.T, e.Event, e.Event, acts, e.Actions)
		}
	}})
	if err == nil && rep.Different > 0 {
		r.addDifference("replay: its own report has %d differences in %d comparisons", rep.Different, rep.Compared)
	}
	return err
}

// compareAdapter compares the journal's actions with those of the adapter for the same events.
func (r *Report) compareAdapter(open func() (*journal.Reader, error)) error {
	j, err := open()
	if err != nil {
		return err
	}
	defer j.Close()
	var client adapterClient
	var want []*journal.Entry // by line of the adapter's input; nil for a line that starts an instance
	instance, expressible, clock := -1, false, 0.0
	for {
		e, err := j.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
		switch e.Kind {
		case journal.KindGap, journal.KindSettings: // events are missing, or the adapter's protocol has no message for the change of settings
			expressible = false
		case journal.KindRouterStart:
			s := &config.Settings{}
			if err := config.Read("journal", e.RouterStart.Settings, s); err != nil {
				return fmt.Errorf("differential: %w", err)
			}
			settings, err := engine.ModuleSettings(s)
			if err != nil {
				return fmt.Errorf("differential: %w", err)
			}
			instance++
			expressible = true
			want = append(want, nil)
			if err := client.writeStart(clock, instance, &settings, e.RouterStart.Seed); err != nil {
				return err
			}
		case journal.KindHandled:
			switch e.Event.(type) {
			case spool.Recalled, spool.Retired, spool.Stalled: // the adapter's protocol has no message for these
				expressible = false
			}
			if !expressible {
				r.AdapterSkipped++
				continue
			}
			clock = max(clock, e.T)
			want = append(want, e)
			if err := client.writeEvent(clock, instance, e.Event); err != nil {
				return err
			}
		}
	}
	if len(want) == 0 {
		return nil
	}
	got, err := client.replies()
	if err != nil {
		return err
	}
	if len(got) != len(want) {
		r.addDifference("adapter: got %d replies, want %d, one for each line of input", len(got), len(want))
		return nil
	}
	for i, e := range want {
		if e == nil {
			continue
		}
		if r.Adapter++; !equalActions(got[i], asOnWire(e.Actions)) {
			r.addDifference("adapter: journal record %d at %.3f ms, event %T%+v: adapter returned %+v, want %+v as recorded", e.Number, e.T, e.Event, e.Event, got[i], e.Actions)
		}
	}
	return nil
}

func equalActions(a, b []spool.Action) bool {
	return len(a) == 0 && len(b) == 0 || reflect.DeepEqual(a, b)
}

// compareExplanations explains count requests, spread over the journal. An explanation must
// list the recorded sends in their order, and the candidates that it reports as accepted must
// be the members of these sends. compareHypothetical then compares each request once more.
func (r *Report) compareExplanations(open func() (*journal.Reader, error), index *journalIndex, count int) error {
	step := max(len(index.arrivals)/count, 1)
	for i := 0; i < len(index.arrivals); i += step {
		one := index.arrivals[i]
		j, err := open()
		if err != nil {
			return err
		}
		s, err := explain.Request(j, one.request.ID)
		j.Close()
		if err != nil {
			r.addDifference("explain: %s: %v", one.request.ID, err)
			continue
		}
		r.Explained++
		if !s.Equal {
			r.addDifference("explain: %s: the actions of its replay differ from those in the journal", one.request.ID)
		}
		n := 0
		for _, st := range s.Steps {
			for _, text := range st.Actions {
				if n < len(index.attempts[one.request.ID]) && text == explain.ActionText(index.attempts[one.request.ID][n].send) {
					r.compareChosen(one.request.ID, n, &index.attempts[one.request.ID][n].send, st.Candidates)
					n++
				}
			}
		}
		if n != len(index.attempts[one.request.ID]) {
			r.addDifference("explain: %s: the explanation lists %d attempts in the order of the journal, want %d", one.request.ID, n, len(index.attempts[one.request.ID]))
		}
		if err := r.compareHypothetical(open, &one); err != nil {
			return err
		}
	}
	return nil
}

// compareChosen compares the candidates that an explanation reports as accepted with a send.
func (r *Report) compareChosen(id string, n int, s *spool.Send, candidates []explain.Candidate) {
	cache, source := "", ""
	for _, candidate := range candidates {
		if candidate.Why == explain.ReasonText(spool.ReasonAccepted) {
			if candidate.As == "source" {
				source = candidate.Member
			} else {
				cache = candidate.Member
			}
		}
	}
	if cache != "" && cache != s.Cache {
		r.addDifference("explain: attempt %d of %s: accepted cache is %s, but it was sent to %s", n, id, cache, s.Cache)
	}
	if source != "" && source != s.Source && source != s.Cache {
		r.addDifference("explain: attempt %d of %s: accepted source is %s, but it was sent with source %s", n, id, source, s.Source)
	}
}

// compareHypothetical replays the journal with a recorded request replaced by a hypothetical
// request with the same fields. The first action must equal the recorded first action.
func (r *Report) compareHypothetical(open func() (*journal.Reader, error), one *arrival) error {
	j, err := open()
	if err != nil {
		return err
	}
	defer j.Close()
	s, err := explain.Hypothetical(j, explain.HypotheticalRequest{Class: one.request.Class, Object: one.request.Object, Part: one.request.Part, Group: one.request.Group,
		KB: one.request.KB, Write: one.request.Write, InPlaceOf: one.request.ID, Timeout: one.request.Deadline - one.time})
	if err != nil {
		r.addDifference("explain: %s as a hypothetical request: %v", one.request.ID, err)
		return nil
	}
	r.Asked++
	got := ""
	for _, st := range s.Steps {
		for _, text := range st.Actions {
			if got == "" {
				got = text
			}
		}
	}
	want := ""
	if one.first != nil {
		want = explain.ActionText(one.first)
	}
	if got != want {
		r.addDifference("explain: %s as a hypothetical request gives %q, want %q as recorded", one.request.ID, got, want)
	}
	return nil
}
