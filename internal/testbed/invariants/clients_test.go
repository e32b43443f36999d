package invariants

import (
	"maps"
	"strings"
	"testing"

	"indigospool/internal/testbed/trafficlog"
)

// Whose fault a second effect is: hand-made taps of one key, whose window is 2,000 ms.
func TestWhoseFaultASecondEffectIs(t *testing.T) {
	f := figures
	f.Classes = maps.Clone(f.Classes)
	f.Classes["pay"] = Class{Idempotency: "guarded", KeyScope: "all", KeyWindow: 2000}
	ask := func(at float64, id string, limit float64) trafficlog.Record {
		return trafficlog.Record{Time: at, Event: trafficlog.RequestSent, ID: id, Subject: "r1", Class: "pay", Key: "k9", Write: true, Limit: limit}
	}
	ran := func(at float64, id, note string) trafficlog.Record {
		return trafficlog.Record{Time: at, Event: trafficlog.WriteExecuted, ID: id, Subject: "o", RouterRequest: "q" + id, From: "r1", Class: "pay", Key: "k9", Write: true, Note: note}
	}
	answered := func(at float64, id string, status int) trafficlog.Record {
		return trafficlog.Record{Time: at, Event: trafficlog.ResponseHead, ID: id, Subject: "r1", Class: "pay", Key: "k9", Write: true, Status: status}
	}
	ended := func(at float64, id, why string) trafficlog.Record {
		return trafficlog.Record{Time: at, Event: trafficlog.ResponseEnd, ID: id, Subject: "r1", Class: "pay", Key: "k9", Write: true, Err: why}
	}
	whole := func(recs []trafficlog.Record) []trafficlog.Record { // each answer ends
		for _, r := range recs {
			if r.Event == trafficlog.ResponseHead {
				recs = append(recs, ended(r.Time+1, r.ID, ""))
			}
		}
		return recs
	}
	for _, c := range []struct {
		name   string
		recs   []trafficlog.Record
		effect string // instead of guarded
		broken string // in the router's break; empty: the rule is kept
		fault  string // in the client's first fault; empty: it has none
		more   int    // faults of the client's after the first
	}{
		{name: "refused after an attempt that ran, and its client came back past the window", broken: "came back as told, as b",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), ran(901, "a", "dropped"), ran(1802, "a", "dropped"),
				answered(2262, "a", 503), ask(3263, "b", 6263), ran(3280, "b", "")}},
		{name: "refused within the window, and the repeat ran past it", broken: "came back as told, as b",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), answered(500, "a", 503), ask(1500, "b", 4500), ran(2100, "b", "")}},
		{name: "two refusals in a row", broken: "came back as told, as c",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), answered(100, "a", 503), ask(1100, "b", 4100), ran(1110, "b", "dropped"),
				answered(1200, "b", 503), ask(2300, "c", 5300), ran(2310, "c", "")}},
		{name: "one request sent again past the window", broken: "request a ran again by itself",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), ran(2300, "a", ""), answered(2400, "a", 200)}},
		{name: "a repeat inside the window was sent on past it", broken: "repeat b of a stood inside the window",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), answered(100, "a", 502), ask(300, "b", 1900), ran(2100, "b", ""), answered(2110, "b", 200)}},
		{name: "the first attempt ran after the repeat's", broken: "repeat b of a stood inside the window",
			recs: []trafficlog.Record{ask(0, "a", 3000), answered(100, "a", 502), ask(300, "b", 1900), ran(320, "b", ""), answered(330, "b", 200), ran(2700, "a", "")}},
		{name: "the client came back past the window by itself", fault: "may run until 5100 ms after a, which was not refused; repeats are dropped for 2000; the effect happened twice",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), answered(1500, "a", 502), ask(2100, "b", 5100), ran(2110, "b", ""), answered(2120, "b", 200)}},
		{name: "the client came back inside the window, with time past it", fault: "may run until 3300 ms after a",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), ended(100, "a", "closed"), answered(101, "a", 502), ask(300, "b", 3300), ran(2500, "b", ""), answered(2510, "b", 200)}},
		{name: "the client took the refusal of its second try for one of the first", fault: "may run until 5500 ms after a",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), answered(100, "a", 502), ask(300, "b", 1900), answered(310, "b", 503),
				ask(2500, "c", 5500), ran(2510, "c", ""), answered(2520, "c", 200)}},
		{name: "no window at all", effect: "single-shot", fault: "class pay has no window at all servers",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), answered(100, "a", 502), ask(300, "b", 1900), ran(310, "b", ""), answered(320, "b", 200)}},
		{name: "it ran, though its client says that nobody took it", fault: "its client says that no router took it; the effect happened twice",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), ended(30, "a", "unreached"), ask(2300, "b", 5300), ran(2310, "b", ""), answered(2320, "b", 200)}},
		{name: "a repeat past the window that did no harm", fault: "may run until 5100 ms after a, which was not refused; repeats are dropped for 2000",
			recs: []trafficlog.Record{ask(0, "a", 3000), answered(1500, "a", 502), ask(2100, "b", 5100), ran(2110, "b", ""), answered(2120, "b", 200)}},
		{name: "each has a fault", broken: "refused after it ran, and its client came back as told, as c", fault: "may run until 5100 ms after a", more: 1,
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), answered(1500, "a", 502), ask(2100, "b", 5100), ran(2110, "b", ""),
				answered(2120, "b", 503), ask(4300, "c", 7300), ran(4310, "c", ""), answered(4320, "c", 200)}},
		{name: "nobody has one",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), answered(100, "a", 502), ask(300, "b", 1900), ran(310, "b", "dropped"), answered(320, "b", 200)}},
		{name: "refused before it ran",
			recs: []trafficlog.Record{ask(0, "a", 3000), answered(2500, "a", 503), ask(3500, "b", 6500), ran(3510, "b", ""), answered(3520, "b", 200)}},
	} {
		f := f
		if c.effect != "" {
			f.Classes = maps.Clone(f.Classes)
			f.Classes["pay"] = Class{Idempotency: c.effect}
		}
		verdicts := Check(append(good(), whole(c.recs)...), f)
		rule := verdicts[1]
		breaks, faults := 0, 0
		if c.broken != "" {
			breaks = 1
		}
		if c.fault != "" {
			faults = 1 + c.more
		}
		if len(rule.Violations) != breaks || breaks > 0 && !strings.Contains(rule.Violations[0].Description, c.broken) {
			t.Errorf("%s: the rule's breaks are %+v, want %q", c.name, rule.Violations, c.broken)
		}
		if len(rule.ClientFaults) != faults || faults > 0 && !strings.Contains(rule.ClientFaults[0].Error(), c.fault) {
			t.Errorf("%s: the client's faults are %+v, want %d with %q", c.name, rule.ClientFaults, faults, c.fault)
		}
		if c.fault == "" {
			continue
		}
		// told apart: with no break of its own the rule reads as kept, and the day fails
		summary := Summary(verdicts)
		if (c.broken == "") == strings.Contains(summary, "BROKEN") || !strings.Contains(summary, " FAULTS OF THE TEST'S CLIENTS") ||
			!strings.Contains(Details(verdicts), "fault of the test's client") {
			t.Errorf("%s is told as\n%s%s", c.name, summary, Details(verdicts))
		}
		if AllOK(verdicts) {
			t.Errorf("%s: a day with a fault of its clients passed", c.name)
		}
	}
}
