// Package differential compares the programs that share the one engine, with each other
// and with the sockets: what a router decided, by its journal, must be what passed on the
// sockets, and what adapter, replay and explain decide when they are given the same
// events. A program that is wired otherwise is found, whichever it is.
//
// It decides nothing, and takes no program's word for another's. Scenarios run it on their
// routers' journals (spool-scenario run --journal); drift_test.go runs it, and
// spool-fleet's asker, on generated fleets with faults.
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

// Report is what was compared, and what differed.
type Report struct {
	Events    int `json:"events"`    // of the journal
	Decided   int `json:"decided"`   // attempts that the journal has
	Seen      int `json:"seen"`      // of them on sockets, by caches, parents or the origin
	Fills     int `json:"fills"`     // and fills that those asked a source for
	Adapter   int `json:"adapter"`   // events whose answers by the adapter were compared
	Replay    int `json:"replay"`    // and by replay
	Explained int `json:"explained"` // requests whose stories were
	Asked     int `json:"asked"`     // and of them, told to explain as requests that never were
	Lost      int `json:"lost"`      // attempts seen that a killed router's journal had not written yet
	Unwired   int `json:"unwired"`   // events that the adapter's wire has no word for, and those behind them

	Different   int      `json:"different"`
	Differences []string `json:"differences,omitempty"` // the first of them
}

const maxDifferences = 20

// asOnWire is what the simulator's wire can say of actions: there a send is at its cache in
// no time, and its form has no word for when it must have left. The replay compares that.
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

// OK reports that something was compared and nothing differed.
func (r *Report) OK() bool { return r.Different == 0 && r.Decided > 0 && r.Seen > 0 && r.Adapter > 0 }

// Options bound a comparison.
type Options struct {
	Explanations int // requests that are explained, evenly over the journal; each costs a replay. Default 20
	Router       string
}

// unwrittenMs is for how long before its end a killed router's records may not have
// been written yet (a journal hands over every 50 ms), and for how long what it had
// sent may still arrive, in ms.
const unwrittenMs = 400

// attempt names an attempt of a request.
type attempt struct {
	id     string
	number int
}

// decision is what the journal has of an attempt.
type decision struct {
	send   spool.Send
	done   bool
	result spool.Result
}

// Check compares a router's journal with what stand-ins saw of it, and with the
// other programs. open opens the journal anew for each of them.
func Check(open func() (*journal.Reader, error), recs []trafficlog.Record, o Options) (*Report, error) {
	if o.Explanations <= 0 {
		o.Explanations = 20
	}
	r := &Report{}
	journaled, err := r.readJournal(open)
	if err != nil {
		return nil, err
	}
	r.compareTraffic(journaled, recs, o.Router)
	for _, f := range []func(func() (*journal.Reader, error)) error{r.compareReplay, r.compareAdapter} {
		if err := f(open); err != nil {
			return nil, err
		}
	}
	return r, r.compareExplanations(open, journaled, o.Explanations)
}

// journalRecord is the journal as far as requests go.
type journalRecord struct {
	decided  map[attempt]*decision
	attempts map[string][]*decision
	arrivals []arrival
}

type arrival struct {
	time    float64
	request spool.Request
	first   spool.Action // of this request, at once; nil: it waited
}

func (r *Report) readJournal(open func() (*journal.Reader, error)) (*journalRecord, error) {
	j, err := open()
	if err != nil {
		return nil, err
	}
	defer j.Close()
	journaled := &journalRecord{decided: map[attempt]*decision{}, attempts: map[string][]*decision{}}
	for {
		e, err := j.Next()
		if err == io.EOF {
			return journaled, nil
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
				journaled.decided[attempt{s.ID, len(journaled.attempts[s.ID])}] = d
				journaled.attempts[s.ID] = append(journaled.attempts[s.ID], d)
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
			journaled.arrivals = append(journaled.arrivals, one)
		case spool.Outcome:
			if d := journaled.decided[attempt{ev.ID, ev.Attempt}]; d != nil {
				d.done, d.result = true, ev.Result
				if d.send.Cache != ev.Cache {
					r.addDifference("router: attempt %d of %s was sent to %s, and its outcome is of %s", ev.Attempt, ev.ID, d.send.Cache, ev.Cache)
				}
			}
		}
	}
}

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

// compareTraffic compares the decided attempts with those that stand-ins saw.
func (r *Report) compareTraffic(journaled *journalRecord, recs []trafficlog.Record, router string) {
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
		d := journaled.decided[attempt{rec.RouterRequest, rec.Attempt}]
		if d == nil {
			if slices.ContainsFunc(kills, func(t float64) bool { return rec.Time > t-unwrittenMs && rec.Time < t+unwrittenMs }) {
				r.Lost++
			} else {
				r.addDifference("sockets: %s saw attempt %d of %s, which no record decides", rec.Subject, rec.Attempt, rec.RouterRequest)
			}
			continue
		}
		if rec.Via != "" { // a fill: asked by the cache, of its source; or by that, of the origin behind it
			r.Fills++
			fromSource := rec.Via == d.send.Cache && rec.Subject == d.send.Source
			fromOrigin := rec.Via == d.send.Source && rec.Role == "origin"
			if !fromSource && !fromOrigin {
				r.addDifference("sockets: attempt %d of %s was filled by %s from %s; decided was %s from %s", rec.Attempt, rec.RouterRequest, rec.Via, rec.Subject, d.send.Cache, d.send.Source)
			}
			continue
		}
		if received[attempt{rec.RouterRequest, rec.Attempt}] {
			r.addDifference("sockets: attempt %d of %s was made twice, the second at %s", rec.Attempt, rec.RouterRequest, rec.Subject)
		}
		received[attempt{rec.RouterRequest, rec.Attempt}] = true
		r.Seen++
		source := ""
		if d.send.Source != d.send.Cache {
			source = d.send.Source
		}
		if rec.Subject != d.send.Cache || rec.Source != source {
			r.addDifference("sockets: attempt %d of %s came to %s with source %q; decided was %s with %q", rec.Attempt, rec.RouterRequest, rec.Subject, rec.Source, d.send.Cache, source)
		}
	}
	for k, d := range journaled.decided { // what was answered has been at a stand-in
		answered := d.done && (d.result == spool.OK || d.result == spool.Miss)
		if answered && !received[k] {
			r.addDifference("sockets: attempt %d of %s at %s was answered (result %d), and nobody saw it", k.number, k.id, d.send.Cache, d.result)
		}
	}
}

// compareReplay has spool-replay tell a module what the router was told.
func (r *Report) compareReplay(open func() (*journal.Reader, error)) error {
	j, err := open()
	if err != nil {
		return err
	}
	defer j.Close()
	rep, err := replay.Run(j, &replay.Watcher{After: func(e *journal.Entry, _ *engine.Core, acts []spool.Action) {
		if r.Replay++; !equalActions(acts, e.Actions) {
			r.addDifference("replay: record %d at %.3f: %T%+v gives %+v, recorded is %+v", e.Number, e.T, e.Event, e.Event, acts, e.Actions)
		}
	}})
	if err == nil && rep.Different > 0 {
		r.addDifference("replay: %d of %d answers differ, by its own word", rep.Different, rep.Compared)
	}
	return err
}

// compareAdapter tells the adapter what the router was told.
func (r *Report) compareAdapter(open func() (*journal.Reader, error)) error {
	j, err := open()
	if err != nil {
		return err
	}
	defer j.Close()
	var b adapterClient
	var want []*journal.Entry // of the adapter's lines; nil: a start
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
		case journal.KindGap, journal.KindSettings: // the wire can't say that settings change
			expressible = false
		case journal.KindRouterStart:
			s := &config.Settings{}
			if err := config.Read("journal", e.RouterStart.Settings, s); err != nil {
				return fmt.Errorf("drift: %w", err)
			}
			m, err := engine.ModuleSettings(s)
			if err != nil {
				return fmt.Errorf("drift: %w", err)
			}
			instance++
			expressible = true
			want = append(want, nil)
			if err := b.writeStart(clock, instance, &m, e.RouterStart.Seed); err != nil {
				return err
			}
		case journal.KindHandled:
			switch e.Event.(type) {
			case spool.Recalled, spool.Retired, spool.Stalled: // nor that one router goes on from another, or that a client is slow
				expressible = false
			}
			if !expressible {
				r.Unwired++
				continue
			}
			clock = max(clock, e.T)
			want = append(want, e)
			if err := b.writeEvent(clock, instance, e.Event); err != nil {
				return err
			}
		}
	}
	if len(want) == 0 {
		return nil
	}
	got, err := b.replies()
	if err != nil {
		return err
	}
	if len(got) != len(want) {
		r.addDifference("adapter: %d answers to %d lines", len(got), len(want))
		return nil
	}
	for i, e := range want {
		if e == nil {
			continue
		}
		if r.Adapter++; !equalActions(got[i], asOnWire(e.Actions)) {
			r.addDifference("adapter: record %d at %.3f: %T%+v gives %+v, recorded is %+v", e.Number, e.T, e.Event, e.Event, got[i], e.Actions)
		}
	}
	return nil
}

func equalActions(a, b []spool.Action) bool {
	return len(a) == 0 && len(b) == 0 || reflect.DeepEqual(a, b)
}

// compareExplanations has some requests explained: the story's actions are those recorded, in
// their order, and what it says was taken is what was sent. And each is told to
// explain as a request that never was, at the moment before it came.
func (r *Report) compareExplanations(open func() (*journal.Reader, error), journaled *journalRecord, count int) error {
	step := max(len(journaled.arrivals)/count, 1)
	for i := 0; i < len(journaled.arrivals); i += step {
		one := journaled.arrivals[i]
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
			r.addDifference("explain: %s: its replay answers otherwise than the router did", one.request.ID)
		}
		n := 0
		for _, st := range s.Steps {
			for _, text := range st.Actions {
				if n < len(journaled.attempts[one.request.ID]) && text == explain.ActionText(journaled.attempts[one.request.ID][n].send) {
					r.compareChosen(one.request.ID, n, &journaled.attempts[one.request.ID][n].send, st.Candidates)
					n++
				}
			}
		}
		if n != len(journaled.attempts[one.request.ID]) {
			r.addDifference("explain: %s: %d attempts stand in its story, in the journal %d", one.request.ID, n, len(journaled.attempts[one.request.ID]))
		}
		if err := r.compareHypothetical(open, &one); err != nil {
			return err
		}
	}
	return nil
}

// compareChosen compares what a story says was taken with what was sent.
func (r *Report) compareChosen(id string, n int, s *spool.Send, candidates []explain.Candidate) {
	cache, source := "", ""
	for _, l := range candidates {
		if l.Why == explain.ReasonText(spool.ReasonAccepted) {
			if l.As == "source" {
				source = l.Member
			} else {
				cache = l.Member
			}
		}
	}
	if cache != "" && cache != s.Cache {
		r.addDifference("explain: attempt %d of %s: %s was taken as the cache, and %s was sent to", n, id, cache, s.Cache)
	}
	if source != "" && source != s.Source && source != s.Cache {
		r.addDifference("explain: attempt %d of %s: %s was taken as the source, and %s was named", n, id, source, s.Source)
	}
}

// compareHypothetical tells explain a request as one that never was.
func (r *Report) compareHypothetical(open func() (*journal.Reader, error), one *arrival) error {
	j, err := open()
	if err != nil {
		return err
	}
	defer j.Close()
	s, err := explain.Hypothetical(j, explain.HypotheticalRequest{Class: one.request.Class, Object: one.request.Object, Part: one.request.Part, Group: one.request.Group,
		KB: one.request.KB, Write: one.request.Write, InPlaceOf: one.request.ID, Timeout: one.request.Deadline - one.time})
	if err != nil {
		r.addDifference("explain: as if %s had never been: %v", one.request.ID, err)
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
		r.addDifference("explain: as if %s had never been: %q; it was %q", one.request.ID, got, want)
	}
	return nil
}
