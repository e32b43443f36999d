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

const differencesKept = 20

// onWire is what the simulator's wire can say of actions: there a send is at its cache in
// no time, and its form has no word for when it must have left. The replay compares that.
func onWire(acts []spool.Action) []spool.Action {
	out := slices.Clone(acts)
	for i, a := range out {
		if s, ok := a.(spool.Send); ok {
			s.Within = 0
			out[i] = s
		}
	}
	return out
}

func (r *Report) differ(format string, args ...any) {
	if r.Different++; len(r.Differences) < differencesKept {
		r.Differences = append(r.Differences, fmt.Sprintf(format, args...))
	}
}

// OK reports that something was compared and nothing differed.
func (r *Report) OK() bool { return r.Different == 0 && r.Decided > 0 && r.Seen > 0 && r.Adapter > 0 }

// Options bound a comparison.
type Options struct {
	Stories int // requests that are explained, evenly over the journal; each costs a replay. Default 20
	Router  string
}

// unwritten is for how long before its end a killed router's records may not have
// been written yet (a journal hands over every 50 ms), and for how long what it had
// sent may still arrive, in ms.
const unwritten = 400

// attempt names an attempt of a request.
type attempt struct {
	id string
	n  int
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
	if o.Stories <= 0 {
		o.Stories = 20
	}
	r := &Report{}
	told, err := r.read(open)
	if err != nil {
		return nil, err
	}
	r.sockets(told, recs, o.Router)
	for _, f := range []func(func() (*journal.Reader, error)) error{r.replayed, r.adapted} {
		if err := f(open); err != nil {
			return nil, err
		}
	}
	return r, r.stories(open, told, o.Stories)
}

// record is the journal as far as requests go.
type record struct {
	decided map[attempt]*decision
	tries   map[string][]*decision
	came    []arrival
}

type arrival struct {
	t     float64
	q     spool.Request
	first spool.Action // of this request, at once; nil: it waited
}

func (r *Report) read(open func() (*journal.Reader, error)) (*record, error) {
	j, err := open()
	if err != nil {
		return nil, err
	}
	defer j.Close()
	told := &record{decided: map[attempt]*decision{}, tries: map[string][]*decision{}}
	for {
		e, err := j.Next()
		if err == io.EOF {
			return told, nil
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
				told.decided[attempt{s.ID, len(told.tries[s.ID])}] = d
				told.tries[s.ID] = append(told.tries[s.ID], d)
				r.Decided++
			}
		}
		switch ev := e.Event.(type) {
		case spool.Request:
			one := arrival{t: e.T, q: ev}
			for _, a := range e.Actions {
				if id := idOf(a); id == ev.ID && one.first == nil {
					one.first = a
				}
			}
			told.came = append(told.came, one)
		case spool.Outcome:
			if d := told.decided[attempt{ev.ID, ev.Attempt}]; d != nil {
				d.done, d.result = true, ev.Result
				if d.send.Cache != ev.Cache {
					r.differ("router: attempt %d of %s was sent to %s, and its outcome is of %s", ev.Attempt, ev.ID, d.send.Cache, ev.Cache)
				}
			}
		}
	}
}

func idOf(a spool.Action) string {
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

// sockets compares the decided attempts with those that stand-ins saw.
func (r *Report) sockets(told *record, recs []trafficlog.Record, router string) {
	seen := map[attempt]bool{}
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
		d := told.decided[attempt{rec.RouterRequest, rec.Attempt}]
		if d == nil {
			if slices.ContainsFunc(kills, func(t float64) bool { return rec.Time > t-unwritten && rec.Time < t+unwritten }) {
				r.Lost++
			} else {
				r.differ("sockets: %s saw attempt %d of %s, which no record decides", rec.Subject, rec.Attempt, rec.RouterRequest)
			}
			continue
		}
		if rec.Via != "" { // a fill: asked by the cache, of its source; or by that, of the origin behind it
			r.Fills++
			of := rec.Via == d.send.Cache && rec.Subject == d.send.Source
			behind := rec.Via == d.send.Source && rec.Role == "origin"
			if !of && !behind {
				r.differ("sockets: attempt %d of %s was filled by %s from %s; decided was %s from %s", rec.Attempt, rec.RouterRequest, rec.Via, rec.Subject, d.send.Cache, d.send.Source)
			}
			continue
		}
		if seen[attempt{rec.RouterRequest, rec.Attempt}] {
			r.differ("sockets: attempt %d of %s was made twice, the second at %s", rec.Attempt, rec.RouterRequest, rec.Subject)
		}
		seen[attempt{rec.RouterRequest, rec.Attempt}] = true
		r.Seen++
		source := ""
		if d.send.Source != d.send.Cache {
			source = d.send.Source
		}
		if rec.Subject != d.send.Cache || rec.Source != source {
			r.differ("sockets: attempt %d of %s came to %s with source %q; decided was %s with %q", rec.Attempt, rec.RouterRequest, rec.Subject, rec.Source, d.send.Cache, source)
		}
	}
	for k, d := range told.decided { // what was answered has been at a stand-in
		answered := d.done && (d.result == spool.OK || d.result == spool.Miss)
		if answered && !seen[k] {
			r.differ("sockets: attempt %d of %s at %s was answered (result %d), and nobody saw it", k.n, k.id, d.send.Cache, d.result)
		}
	}
}

// replayed has spool-replay tell a module what the router was told.
func (r *Report) replayed(open func() (*journal.Reader, error)) error {
	j, err := open()
	if err != nil {
		return err
	}
	defer j.Close()
	rep, err := replay.Run(j, &replay.Watcher{After: func(e *journal.Entry, _ *engine.Core, acts []spool.Action) {
		if r.Replay++; !same(acts, e.Actions) {
			r.differ("replay: record %d at %.3f: %T%+v gives %+v, recorded is %+v", e.Number, e.T, e.Event, e.Event, acts, e.Actions)
		}
	}})
	if err == nil && rep.Different > 0 {
		r.differ("replay: %d of %d answers differ, by its own word", rep.Different, rep.Compared)
	}
	return err
}

// adapted tells the adapter what the router was told.
func (r *Report) adapted(open func() (*journal.Reader, error)) error {
	j, err := open()
	if err != nil {
		return err
	}
	defer j.Close()
	var b bench
	var want []*journal.Entry // of the adapter's lines; nil: a start
	inst, wired, clock := -1, false, 0.0
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
			wired = false
		case journal.KindRouterStart:
			s := &config.Settings{}
			if err := config.Read("journal", e.RouterStart.Settings, s); err != nil {
				return fmt.Errorf("drift: %w", err)
			}
			m, err := engine.ModuleSettings(s)
			if err != nil {
				return fmt.Errorf("drift: %w", err)
			}
			inst++
			wired = true
			want = append(want, nil)
			if err := b.born(clock, inst, &m, e.RouterStart.Seed); err != nil {
				return err
			}
		case journal.KindHandled:
			switch e.Event.(type) {
			case spool.Recalled, spool.Retired, spool.Stalled: // nor that one router goes on from another, or that a client is slow
				wired = false
			}
			if !wired {
				r.Unwired++
				continue
			}
			clock = max(clock, e.T)
			want = append(want, e)
			if err := b.tell(clock, inst, e.Event); err != nil {
				return err
			}
		}
	}
	if len(want) == 0 {
		return nil
	}
	got, err := b.play()
	if err != nil {
		return err
	}
	if len(got) != len(want) {
		r.differ("adapter: %d answers to %d lines", len(got), len(want))
		return nil
	}
	for i, e := range want {
		if e == nil {
			continue
		}
		if r.Adapter++; !same(got[i], onWire(e.Actions)) {
			r.differ("adapter: record %d at %.3f: %T%+v gives %+v, recorded is %+v", e.Number, e.T, e.Event, e.Event, got[i], e.Actions)
		}
	}
	return nil
}

func same(a, b []spool.Action) bool {
	return len(a) == 0 && len(b) == 0 || reflect.DeepEqual(a, b)
}

// stories has some requests explained: the story's actions are those recorded, in
// their order, and what it says was taken is what was sent. And each is told to
// explain as a request that never was, at the moment before it came.
func (r *Report) stories(open func() (*journal.Reader, error), told *record, most int) error {
	step := max(len(told.came)/most, 1)
	for i := 0; i < len(told.came); i += step {
		one := told.came[i]
		j, err := open()
		if err != nil {
			return err
		}
		s, err := explain.Request(j, one.q.ID)
		j.Close()
		if err != nil {
			r.differ("explain: %s: %v", one.q.ID, err)
			continue
		}
		r.Explained++
		if !s.Equal {
			r.differ("explain: %s: its replay answers otherwise than the router did", one.q.ID)
		}
		n := 0
		for _, st := range s.Steps {
			for _, text := range st.Actions {
				if n < len(told.tries[one.q.ID]) && text == explain.ActionText(told.tries[one.q.ID][n].send) {
					r.taken(one.q.ID, n, &told.tries[one.q.ID][n].send, st.Candidates)
					n++
				}
			}
		}
		if n != len(told.tries[one.q.ID]) {
			r.differ("explain: %s: %d attempts stand in its story, in the journal %d", one.q.ID, n, len(told.tries[one.q.ID]))
		}
		if err := r.ask(open, &one); err != nil {
			return err
		}
	}
	return nil
}

// taken compares what a story says was taken with what was sent.
func (r *Report) taken(id string, n int, s *spool.Send, looks []explain.Candidate) {
	cache, source := "", ""
	for _, l := range looks {
		if l.Why == explain.ReasonText(spool.ReasonAccepted) {
			if l.As == "source" {
				source = l.Member
			} else {
				cache = l.Member
			}
		}
	}
	if cache != "" && cache != s.Cache {
		r.differ("explain: attempt %d of %s: %s was taken as the cache, and %s was sent to", n, id, cache, s.Cache)
	}
	if source != "" && source != s.Source && source != s.Cache {
		r.differ("explain: attempt %d of %s: %s was taken as the source, and %s was named", n, id, source, s.Source)
	}
}

// ask tells explain a request as one that never was.
func (r *Report) ask(open func() (*journal.Reader, error), one *arrival) error {
	j, err := open()
	if err != nil {
		return err
	}
	defer j.Close()
	s, err := explain.Hypothetical(j, explain.HypotheticalRequest{Class: one.q.Class, Object: one.q.Object, Part: one.q.Part, Group: one.q.Group,
		KB: one.q.KB, Write: one.q.Write, InPlaceOf: one.q.ID, Timeout: one.q.Deadline - one.t})
	if err != nil {
		r.differ("explain: as if %s had never been: %v", one.q.ID, err)
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
		r.differ("explain: as if %s had never been: %q; it was %q", one.q.ID, got, want)
	}
	return nil
}
