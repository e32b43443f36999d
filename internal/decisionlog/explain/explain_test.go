package explain

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	spool "indigospool"
	"indigospool/internal/config"
	"indigospool/internal/decisionlog/journal"
	"indigospool/internal/proxy/engine"
)

const sample = `(router (name r1) (zone z)) (fill (direct) (flow 10))
(class still) (class film (parts) (deadline 9000))
(route "/s/{object}" (class still)) (route "/v/{object}/{part}" (class film))
(member b1 (zone z) (address "127.0.0.1:1")) (member b2 (zone z) (address "127.0.0.1:2"))
(member p (kind parent) (zone h) (address "127.0.0.1:3")) (member o (kind origin) (zone h) (address "127.0.0.1:4"))
`

type recorder struct{ w *journal.Writer }

func (r recorder) Handled(now float64, ev spool.Event, acts []spool.Action) {
	r.w.Handled(now, ev, acts)
}
func (r recorder) SettingsChanged(float64, *config.Settings, []spool.Action) {}

// record passes events to a core that records a journal, and returns a reader of it.
func record(t *testing.T, feed func(h func(now float64, ev spool.Event) []spool.Action, c *engine.Core)) *journal.Reader {
	t.Helper()
	dir := t.TempDir()
	w, err := journal.Open(dir, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	s := &config.Settings{}
	if err := config.Read("test", sample, s); err != nil {
		t.Fatal(err)
	}
	c, err := engine.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	w.RouterStarted(journal.RouterStart{Name: "r1", Seed: 1, Settings: config.Print(s)})
	c.Recorder = recorder{w}
	handle := func(now float64, ev spool.Event) []spool.Action { return c.Handle(now, ev, nil) }
	for _, ev := range c.Apply(1, engine.UpdateFromSettings(s)).Events {
		handle(1, ev)
	}
	feed(handle, c)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	j, err := journal.OpenReader(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(j.Close)
	return j
}

func textOf(s *Explanation) string {
	var b strings.Builder
	s.Text(&b)
	return b.String()
}

func filmRequest(id string, part int) spool.Request {
	return spool.Request{ID: id, Class: "film", Object: "/v/a", Part: part, KB: 10, Deadline: 9000}
}

// TestExplainRequest checks the explanation of a request with a miss, a fill that is reset and a
// successful attempt. A candidate that is reported as taken is the one in the action.
func TestExplainRequest(t *testing.T) {
	first := ""
	j := record(t, func(handle func(float64, spool.Event) []spool.Action, _ *engine.Core) {
		send := handle(10, filmRequest("q1", 0))[1].(spool.Send) // after a Wake
		first = send.Cache
		fill := handle(12, spool.Outcome{ID: "q1", Cache: send.Cache, Result: spool.Miss, Took: 2})[0].(spool.Send)
		next := handle(15, spool.Outcome{ID: "q1", Cache: fill.Cache, Attempt: 1, Result: spool.Reset, Took: 3})[0].(spool.Send)
		handle(16, filmRequest("other", 1))
		handle(20, spool.Outcome{ID: "q1", Cache: next.Cache, Attempt: 2, Result: spool.OK, Last: true, Took: 5})
	})
	s, err := Request(j, "q1")
	if err != nil {
		t.Fatal(err)
	}
	text := textOf(s)
	for _, want := range []string{"request q1 at router r1", "cache " + first + ": taken", "asks " + first + " for its cached copy (copies of any age)",
		"ends: miss after 2.0 ms", "source p: taken", "has " + first + " fill it from p", "ends: reset after 3.0 ms",
		"cache " + first + ": failed an earlier attempt of the request", "ends: ok after 5.0 ms"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in\n%s", want, text)
		}
	}
	if strings.Contains(text, "other") || strings.Contains(text, "WARNING") || !s.Ended || len(s.Steps) != 4 || len(s.Members) != 4 {
		t.Errorf("ended %v, %d steps:\n%s", s.Ended, len(s.Steps), text)
	}
	for _, st := range s.Steps { // a candidate reported as taken must be in the action
		for _, l := range st.Candidates {
			if l.Why == "taken" && !strings.Contains(strings.Join(st.Actions, " "), l.Member) {
				t.Errorf("%s is reported as taken, but the actions are %v", l.Member, st.Actions)
			}
		}
	}
}

// TestReasons checks the reasons for which candidates are not chosen.
func TestReasons(t *testing.T) {
	for _, c := range []struct {
		name, want string
		feed       func(h func(float64, spool.Event) []spool.Action, c *engine.Core)
	}{
		{"slow start", "is warming up, and has no slow-start tokens left", func(handle func(float64, spool.Event) []spool.Action, c *engine.Core) {
			for _, ev := range c.Apply(5, engine.UpdateFromVersion(1, []config.Member{{ID: "b1", Zone: "z", Kind: "box", State: "serving", Start: 2},
				{ID: "b2", Zone: "z", Kind: "box", State: "serving", Start: 2}}, true)).Events {
				handle(5, ev)
			}
			handle(10, filmRequest("q", 0))
		}},
		{"ejected", "is ejected, and the request may not be its health check", func(handle func(float64, spool.Event) []spool.Action, _ *engine.Core) {
			for i := range 40 {
				id := fmt.Sprint("x", i)
				for _, a := range handle(float64(10+i), filmRequest(id, 0)) {
					if s, ok := a.(spool.Send); ok && s.Cache == "b1" {
						handle(float64(10+i), spool.Outcome{ID: id, Cache: "b1", Result: spool.ConnectFailed})
					}
				}
			}
			handle(60, filmRequest("q", 0))
		}},
		{"attempts", "no further attempt is allowed", func(handle func(float64, spool.Event) []spool.Action, _ *engine.Core) {
			acts, n := handle(10, filmRequest("q", 0)), 0
			for at := 11.0; at < 3000; at += 25 { // a request that the origin rejected is queued for a while
				i := slices.IndexFunc(acts, func(a spool.Action) bool { _, ok := a.(spool.Send); return ok })
				if i < 0 {
					acts = handle(at, spool.Timer{})
					continue
				}
				acts = handle(at, spool.Outcome{ID: "q", Cache: acts[i].(spool.Send).Cache, Attempt: n, Result: spool.Rejected, Note: spool.NoteNoCapacity})
				n++
			}
		}},
	} {
		s, err := Request(record(t, c.feed), "q")
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if text := textOf(s); !strings.Contains(text, c.want) {
			t.Errorf("%s: %q is not in\n%s", c.name, c.want, text)
		}
	}
}

// TestHypothetical checks explanations of hypothetical requests, at the journal's end and at an
// earlier time.
func TestHypothetical(t *testing.T) {
	j := func() *journal.Reader {
		return record(t, func(handle func(float64, spool.Event) []spool.Action, c *engine.Core) {
			for i := range 130 { // ranges are computed from 128 requests on
				id := fmt.Sprint("q", i)
				for _, a := range handle(float64(10+i), filmRequest(id, i%10)) {
					if s, ok := a.(spool.Send); ok {
						handle(float64(10+i), spool.Outcome{ID: id, Cache: s.Cache, Result: spool.OK, Took: 1, Last: true})
					}
				}
			}
			for _, ev := range c.Apply(200, engine.UpdateFromVersion(2, []config.Member{{ID: "b1", Zone: "z", Kind: "box", State: "draining"}}, false)).Events {
				handle(200, ev)
			}
		})
	}
	a := HypotheticalRequest{Class: "film", Object: "/v/new", Part: 0, KB: 10}
	s, err := Hypothetical(j(), a)
	if err != nil {
		t.Fatal(err)
	}
	if text := textOf(s); len(s.Steps) != 1 || !strings.Contains(text, "hypothetical request at router r1") || strings.Contains(text, "b1: taken") ||
		len(s.Ranges) != 1 || s.Ranges[0].Cache != "b2" {
		t.Errorf("at the end:\n%s", text)
	}
	a.At = 150
	if s, err = Hypothetical(j(), a); err != nil || len(s.Ranges) != 2 {
		t.Errorf("before the drain: %v, ranges %v", err, s.Ranges)
	}
	if got := rangeText(spool.Range{Cache: "b", To: -1}) + ", " + rangeText(spool.Range{Cache: "c"}); got != "b from 0 on, c none" {
		t.Error(got)
	}
	var svg strings.Builder
	s.SVG(&svg)
	if !strings.Contains(svg.String(), "b1</text>") || !strings.Contains(svg.String(), "part 0 of /v/new") {
		t.Errorf("SVG: %s", svg.String())
	}
	if _, err := Hypothetical(j(), HypotheticalRequest{Class: "none", Object: "/x"}); err == nil || !strings.Contains(err.Error(), "the router's are still, film") {
		t.Errorf("an unknown class: %v", err)
	}
	if _, err := Request(j(), "nobody"); !errors.Is(err, ErrNotFound) {
		t.Errorf("an unknown request: %v", err)
	}
}
