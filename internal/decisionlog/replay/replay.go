// Package replay tells a decision module again what a journal says that a router
// told its own, and compares the answers. It makes no decision and no I/O but to
// read the journal: what it compares is internal/proxy/engine against the record.
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

// Difference is where an answer is another than the recorded one.
type Difference struct {
	Segment string   `json:"segment"`
	Offset  int64    `json:"offset"`
	Number  int64    `json:"number"` // of the record
	T       float64  `json:"t"`
	Event   string   `json:"event"`
	Was     []string `json:"was"`
	Is      []string `json:"is"`
	Before  []string `json:"before"` // the records before it, of the same request first
}

// Report is what a replay found.
type Report struct {
	Runs       int         `json:"lives"`
	Records    int64       `json:"records"`
	Events     int64       `json:"events"`
	Actions    int64       `json:"actions"`
	Compared   int64       `json:"compared"` // events whose answers were
	Equal      int64       `json:"equal"`
	Skipped    int64       `json:"skipped"` // events behind a gap, up to the next life: the module's memory is not what it was
	Gaps       []string    `json:"gaps,omitempty"`
	Lost       uint64      `json:"lost"`
	Different  int64       `json:"different"`
	First      *Difference `json:"first,omitempty"`
	Cut        string      `json:"cut,omitempty"`
	Unfinished int         `json:"unfinished"` // requests that had no final answer at the end of their life
}

// OK reports a replay that compared something and found no difference.
func (r *Report) OK() bool { return r.Compared > 0 && r.Different == 0 }

const around = 12 // records that are shown before a difference

// Watcher sees a replay as it goes. Its functions may be nil.
type Watcher struct {
	Life   func(c *engine.Core, l *journal.RouterStart)
	Before func(e *journal.Entry, c *engine.Core) (stop bool) // an event is about to be told
	After  func(e *journal.Entry, c *engine.Core, acts []spool.Action)
}

// Run replays a journal to its end, or until the watcher stops it.
func Run(j *journal.Reader, w *Watcher) (*Report, error) {
	if w == nil {
		w = &Watcher{}
	}
	p := &player{rep: &Report{}, w: w}
	for !p.stopped {
		e, err := j.Next()
		if err == io.EOF {
			p.endLife()
			p.rep.Cut = j.Truncation()
			return p.rep, nil
		}
		if err != nil {
			return p.rep, err
		}
		if err := p.take(e); err != nil {
			return p.rep, err
		}
	}
	return p.rep, nil
}

type player struct {
	rep  *Report
	c    *engine.Core // nil: behind a gap, or before the first life
	acts []spool.Action
	last [around]*journal.Entry
	n    int
	open map[string]bool

	w       *Watcher
	stopped bool
}

// take takes one record.
func (p *player) take(e *journal.Entry) error {
	p.rep.Records++
	switch e.Kind {
	case journal.KindRouterStart:
		p.endLife()
		p.rep.Runs++
		s := &config.Settings{}
		if err := config.Read("journal", e.RouterStart.Settings, s); err != nil {
			return fmt.Errorf("replay: the settings of life %d (%s at byte %d): %w", p.rep.Runs, e.Segment, e.Offset, err)
		}
		c, err := engine.New(s, e.RouterStart.Seed)
		if err != nil {
			return fmt.Errorf("replay: life %d: %w", p.rep.Runs, err)
		}
		p.c, p.open = c, map[string]bool{}
		if p.w.Life != nil {
			p.w.Life(c, e.RouterStart)
		}
	case journal.KindGap:
		p.rep.Gaps = append(p.rep.Gaps, e.Why)
		p.rep.Lost += e.Lost
		p.c = nil
	case journal.KindSettings:
		if p.c == nil {
			p.rep.Skipped++
			return nil
		}
		s := &config.Settings{}
		if err := config.Read("journal", e.Settings, s); err != nil {
			return fmt.Errorf("replay: version %d (%s at byte %d): %w", e.Version, e.Segment, e.Offset, err)
		}
		var err error
		if p.acts, err = p.c.ChangeSettings(e.T, s, p.acts[:0]); err != nil {
			return fmt.Errorf("replay: version %d: %w", e.Version, err)
		}
		p.compare(e, fmt.Sprintf("settings of version %d", e.Version))
	case journal.KindHandled:
		p.rep.Events++
		p.rep.Actions += int64(len(e.Actions))
		if p.c == nil {
			p.rep.Skipped++
			return nil
		}
		switch ev := e.Event.(type) {
		case spool.Request:
			p.open[ev.ID] = true
		case spool.Outcome:
			if ev.Last {
				delete(p.open, ev.ID)
			}
		case spool.Gone:
			delete(p.open, ev.ID)
		}
		for _, a := range e.Actions {
			switch a := a.(type) {
			case spool.Refuse:
				delete(p.open, a.ID)
			case spool.Fail:
				delete(p.open, a.ID)
			}
		}
		if p.w.Before != nil && p.w.Before(e, p.c) {
			p.stopped = true
			return nil
		}
		p.acts = p.c.Handle(e.T, e.Event, p.acts[:0])
		if p.w.After != nil {
			p.w.After(e, p.c, p.acts)
		}
		p.compare(e, "")
	}
	return nil
}

func (p *player) endLife() {
	p.rep.Unfinished += len(p.open)
	p.open = nil
}

// compare compares the present answer with the recorded one.
func (p *player) compare(e *journal.Entry, what string) {
	p.rep.Compared++
	if len(p.acts) == 0 && len(e.Actions) == 0 || reflect.DeepEqual(p.acts, e.Actions) {
		p.rep.Equal++
		if p.rep.First == nil {
			p.last[p.n%around] = e
			p.n++
		}
		return
	}
	p.rep.Different++
	if p.rep.First != nil {
		return
	}
	d := &Difference{Segment: e.Segment, Offset: e.Offset, Number: e.Number, T: e.T, Event: text(e.Event, what),
		Was: texts(e.Actions), Is: texts(p.acts)}
	for i := max(0, p.n-around); i < p.n; i++ {
		b := p.last[i%around]
		d.Before = append(d.Before, fmt.Sprintf("%.3f %s -> %s", b.T, text(b.Event, ""), texts(b.Actions)))
	}
	p.rep.First = d
}

func text(ev spool.Event, what string) string {
	if what != "" {
		return what
	}
	if ev == nil {
		return "settings"
	}
	return fmt.Sprintf("%T%+v", ev, ev)
}

func texts(acts []spool.Action) (out []string) {
	for _, a := range acts {
		out = append(out, fmt.Sprintf("%T%+v", a, a))
	}
	return out
}

// ErrNothing says that a journal held nothing to compare.
var ErrNothing = errors.New("replay: the journal holds no life of a router from its start: there is nothing to compare")
