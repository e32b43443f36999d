package invariants

import (
	"maps"
	"strings"
	"testing"

	"indigospool/internal/testbed/trafficlog"
)

// A second effect of a key is attributed to the router or to the test's client. The logs are
// hand-made; the key's window is 2,000 ms.
func TestSecondEffectAttribution(t *testing.T) {
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
	whole := func(recs []trafficlog.Record) []trafficlog.Record { // adds the end of each response
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
		effect string // idempotency of the class; empty: guarded
		broken string // part of the router's violation; empty: none
		fault  string // part of the client's first fault; empty: none
		more   int    // number of further client faults
	}{
		{name: "rejected after an execution; the client retried past the window", broken: "came back as told, as b",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), ran(901, "a", "dropped"), ran(1802, "a", "dropped"),
				answered(2262, "a", 503), ask(3263, "b", 6263), ran(3280, "b", "")}},
		{name: "rejected within the window; the repeat was executed past it", broken: "came back as told, as b",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), answered(500, "a", 503), ask(1500, "b", 4500), ran(2100, "b", "")}},
		{name: "two rejections in a row", broken: "came back as told, as c",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), answered(100, "a", 503), ask(1100, "b", 4100), ran(1110, "b", "dropped"),
				answered(1200, "b", 503), ask(2300, "c", 5300), ran(2310, "c", "")}},
		{name: "one request sent again past the window", broken: "request a ran again by itself",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), ran(2300, "a", ""), answered(2400, "a", 200)}},
		{name: "a repeat made within the window was forwarded past it", broken: "repeat b of a stood inside the window",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), answered(100, "a", 502), ask(300, "b", 1900), ran(2100, "b", ""), answered(2110, "b", 200)}},
		{name: "the first try was executed after the repeat", broken: "repeat b of a stood inside the window",
			recs: []trafficlog.Record{ask(0, "a", 3000), answered(100, "a", 502), ask(300, "b", 1900), ran(320, "b", ""), answered(330, "b", 200), ran(2700, "a", "")}},
		{name: "the client retried past the window without a rejection", fault: "may run until 5100 ms after a, which was not refused; repeats are dropped for 2000; the effect happened twice",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), answered(1500, "a", 502), ask(2100, "b", 5100), ran(2110, "b", ""), answered(2120, "b", 200)}},
		{name: "the client retried within the window, with a deadline past it", fault: "may run until 3300 ms after a",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), ended(100, "a", "closed"), answered(101, "a", 502), ask(300, "b", 3300), ran(2500, "b", ""), answered(2510, "b", 200)}},
		{name: "the client took the rejection of its second try for one of the first", fault: "may run until 5500 ms after a",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), answered(100, "a", 502), ask(300, "b", 1900), answered(310, "b", 503),
				ask(2500, "c", 5500), ran(2510, "c", ""), answered(2520, "c", 200)}},
		{name: "no window at all", effect: "single-shot", fault: "class pay has no window at all servers",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), answered(100, "a", 502), ask(300, "b", 1900), ran(310, "b", ""), answered(320, "b", 200)}},
		{name: "executed, though the client recorded that no router accepted it", fault: "its client says that no router took it; the effect happened twice",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), ended(30, "a", "unreached"), ask(2300, "b", 5300), ran(2310, "b", ""), answered(2320, "b", 200)}},
		{name: "a repeat past the window without a second effect", fault: "may run until 5100 ms after a, which was not refused; repeats are dropped for 2000",
			recs: []trafficlog.Record{ask(0, "a", 3000), answered(1500, "a", 502), ask(2100, "b", 5100), ran(2110, "b", ""), answered(2120, "b", 200)}},
		{name: "a router's violation and client faults", broken: "refused after it ran, and its client came back as told, as c", fault: "may run until 5100 ms after a", more: 1,
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), answered(1500, "a", 502), ask(2100, "b", 5100), ran(2110, "b", ""),
				answered(2120, "b", 503), ask(4300, "c", 7300), ran(4310, "c", ""), answered(4320, "c", 200)}},
		{name: "repeat dropped within the window",
			recs: []trafficlog.Record{ask(0, "a", 3000), ran(26, "a", ""), answered(100, "a", 502), ask(300, "b", 1900), ran(310, "b", "dropped"), answered(320, "b", 200)}},
		{name: "rejected before it was executed",
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
			t.Errorf("%s: the rule's violations are %+v, want %q", c.name, rule.Violations, c.broken)
		}
		if len(rule.ClientFaults) != faults || faults > 0 && !strings.Contains(rule.ClientFaults[0].Error(), c.fault) {
			t.Errorf("%s: the client's faults are %+v, want %d with %q", c.name, rule.ClientFaults, faults, c.fault)
		}
		if c.fault == "" {
			continue
		}
		// A client fault alone leaves the rule kept but fails the scenario.
		summary := Summary(verdicts)
		if (c.broken == "") == strings.Contains(summary, "BROKEN") || !strings.Contains(summary, " FAULTS OF THE TEST'S CLIENTS") ||
			!strings.Contains(Details(verdicts), "fault of the test's client") {
			t.Errorf("%s: reported as\n%s%s", c.name, summary, Details(verdicts))
		}
		if AllOK(verdicts) {
			t.Errorf("%s: a scenario with a client fault passed", c.name)
		}
	}
}
