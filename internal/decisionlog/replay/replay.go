// Package replay passes the events of a journal to a decision module again, and compares its
// actions with the recorded ones. It uses the router's own module, engine.Core, and makes no
// decisions itself. Its only I/O is reading the journal.
package replay

import (
	"errors"
	"fmt"
	"io"
	"reflect"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/decisionlog/journal"
	"indigospool/internal/proxy/engine"
)

// Difference describes an event for which the replayed actions differ from the recorded ones. The
// JSON names of Difference and Report are part of the output format.
type Difference struct {
	Segment  string   `json:"segment"`
	Offset   int64    `json:"offset"`
	Number   int64    `json:"number"` // of the record in the journal, from 0
	T        float64  `json:"t"`      // ms on the router's clock
	Event    string   `json:"event"`
	Recorded []string `json:"was"`
	Replayed []string `json:"is"`
	Before   []string `json:"before"` // the last records before it whose actions were compared, at most precedingRecords
}

// Report is the result of a replay.
type Report struct {
	Runs       int         `json:"lives"`
	Records    int64       `json:"records"`
	Events     int64       `json:"events"`
	Actions    int64       `json:"actions"`
	Compared   int64       `json:"compared"` // events and changes of settings whose actions were compared
	Equal      int64       `json:"equal"`
	Skipped    int64       `json:"skipped"`        // events and changes of settings that were not replayed, since the module's state is unknown: before the first router start, or between a gap and the next start
	Gaps       []string    `json:"gaps,omitempty"` // the causes of the gaps, in order
	Lost       uint64      `json:"lost"`           // number of records known to be lost in gaps
	Different  int64       `json:"different"`
	First      *Difference `json:"first,omitempty"`
	Truncation string      `json:"cut,omitempty"` // where the journal ends with an incomplete record; empty: it is complete
	Unfinished int         `json:"unfinished"`    // requests without a final answer when their router's run ended, or at a gap in it
}

// OK reports whether the replay has compared something and found no difference.
func (r *Report) OK() bool { return r.Compared > 0 && r.Different == 0 }

// precedingRecords is the number of records that Difference.Before has at most.
const precedingRecords = 12

// Watcher observes a replay in progress. Its functions may be nil.
type Watcher struct {
	RouterStarted func(c *engine.Core, start *journal.RouterStart)
	Before        func(e *journal.Entry, c *engine.Core) (stop bool) // called before an event is handled
	After         func(e *journal.Entry, c *engine.Core, acts []spool.Action)
}

// Run replays a journal to its end, or until the watcher stops it.
func Run(reader *journal.Reader, watcher *Watcher) (*Report, error) {
	if watcher == nil {
		watcher = &Watcher{}
	}
	r := &replayer{report: &Report{}, watcher: watcher}
	for !r.stopped {
		e, err := reader.Next()
		if err == io.EOF {
			r.endRun()
			r.report.Truncation = reader.Truncation()
			return r.report, nil
		}
		if err != nil {
			return r.report, err
		}
		if err := r.process(e); err != nil {
			return r.report, err
		}
	}
	return r.report, nil
}

// replayer is the state of a replay.
type replayer struct {
	report      *Report
	core        *engine.Core // nil: after a gap, or before the first router start
	actions     []spool.Action
	recent      [precedingRecords]*journal.Entry
	recentCount int             // number of entries that were stored in recent
	unfinished  map[string]bool // ids of the run's requests without a final answer

	watcher *Watcher
	stopped bool
}

// process replays one record.
func (r *replayer) process(e *journal.Entry) error {
	r.report.Records++
	switch e.Kind {
	case journal.KindRouterStart:
		r.endRun()
		r.report.Runs++
		s := &config.Settings{}
		if err := config.Read("journal", e.RouterStart.Settings, s); err != nil {
			return fmt.Errorf("replay: settings of run %d (%s at byte %d): %w", r.report.Runs, e.Segment, e.Offset, err)
		}
		c, err := engine.New(s, e.RouterStart.Seed)
		if err != nil {
			return fmt.Errorf("replay: create the module of run %d (%s at byte %d): %w", r.report.Runs, e.Segment, e.Offset, err)
		}
		r.core, r.unfinished = c, map[string]bool{}
		if r.watcher.RouterStarted != nil {
			r.watcher.RouterStarted(c, e.RouterStart)
		}
	case journal.KindGap:
		r.report.Gaps = append(r.report.Gaps, e.Why)
		r.report.Lost += e.Lost
		r.core = nil
	case journal.KindSettings:
		if r.core == nil {
			r.report.Skipped++
			return nil
		}
		s := &config.Settings{}
		if err := config.Read("journal", e.Settings, s); err != nil {
			return fmt.Errorf("replay: settings version %d (%s at byte %d): %w", e.Version, e.Segment, e.Offset, err)
		}
		var err error
		if r.actions, err = r.core.ChangeSettings(e.T, s, r.actions[:0]); err != nil {
			return fmt.Errorf("replay: apply settings version %d (%s at byte %d): %w", e.Version, e.Segment, e.Offset, err)
		}
		r.compare(e, fmt.Sprintf("settings of version %d", e.Version))
	case journal.KindHandled:
		r.report.Events++
		r.report.Actions += int64(len(e.Actions))
		if r.core == nil {
			r.report.Skipped++
			return nil
		}
		switch ev := e.Event.(type) {
		case spool.Request:
			r.unfinished[ev.ID] = true
		case spool.Outcome:
			if ev.Last {
				delete(r.unfinished, ev.ID)
			}
		case spool.Gone:
			delete(r.unfinished, ev.ID)
		}
		for _, a := range e.Actions {
			switch a := a.(type) {
			case spool.Refuse:
				delete(r.unfinished, a.ID)
			case spool.Fail:
				delete(r.unfinished, a.ID)
			}
		}
		if r.watcher.Before != nil && r.watcher.Before(e, r.core) {
			r.stopped = true
			return nil
		}
		r.actions = r.core.Handle(e.T, e.Event, r.actions[:0])
		if r.watcher.After != nil {
			r.watcher.After(e, r.core, r.actions)
		}
		r.compare(e, "")
	}
	return nil
}

// endRun ends a run of a router and counts its unfinished requests.
func (r *replayer) endRun() {
	r.report.Unfinished += len(r.unfinished)
	r.unfinished = nil
}

// compare compares the replayed actions with the recorded ones, and reports the first
// difference in detail. The description replaces the event's text unless it is empty.
func (r *replayer) compare(e *journal.Entry, description string) {
	r.report.Compared++
	if len(r.actions) == 0 && len(e.Actions) == 0 || reflect.DeepEqual(r.actions, e.Actions) {
		r.report.Equal++
		if r.report.First == nil {
			r.recent[r.recentCount%precedingRecords] = e
			r.recentCount++
		}
		return
	}
	r.report.Different++
	if r.report.First != nil {
		return
	}
	d := &Difference{Segment: e.Segment, Offset: e.Offset, Number: e.Number, T: e.T, Event: eventText(e.Event, description),
		Recorded: actionTexts(e.Actions), Replayed: actionTexts(r.actions)}
	for i := max(0, r.recentCount-precedingRecords); i < r.recentCount; i++ {
		b := r.recent[i%precedingRecords]
		d.Before = append(d.Before, fmt.Sprintf("%.3f %s -> %s", b.T, eventText(b.Event, ""), actionTexts(b.Actions)))
	}
	r.report.First = d
}

func eventText(ev spool.Event, description string) string {
	if description != "" {
		return description
	}
	if ev == nil {
		return "settings"
	}
	return fmt.Sprintf("%T%+v", ev, ev)
}

func actionTexts(actions []spool.Action) (out []string) {
	for _, a := range actions {
		out = append(out, fmt.Sprintf("%T%+v", a, a))
	}
	return out
}

// ErrNothingToCompare means that a journal has no events that can be replayed. Callers return it;
// Run does not.
var ErrNothingToCompare = errors.New("replay: no event or change of settings follows a router start without a gap, so nothing can be compared; the journal must include the start of the router")
