package invariants

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"indigospool/internal/testbed/trafficlog"
)

var figures = Parameters{AnswerSlack: 50, DrainGrace: 500, WarmUpInitialShare: 0.2, WarmUpTime: 18000, OverloadFactor: 4, OverloadTime: 3000,
	ParentWarmUpInitialShare: 0.1, ParentWarmUpTime: 20000, ParentOverloadFactor: 2, PurgeGrace: 300, ObservationSkew: 20,
	Classes: map[string]Class{"still": {Idempotency: "free"}, "order": {Idempotency: "guarded", KeyScope: "zone", KeyWindow: 2000},
		"once": {Idempotency: "single-shot"}}}

// good returns the log of a scenario that violates no rule and gives each rule something to
// check.
func good() []trafficlog.Record {
	return []trafficlog.Record{
		{Time: 0, Event: trafficlog.Started, Subject: "r1", Role: "router"},
		{Time: 0, Event: trafficlog.Started, Subject: "b1", Role: "box", Start: 1, Work: 10, Note: "z"},
		{Time: 0, Event: trafficlog.Started, Subject: "b2", Role: "box", Start: 1, Work: 10, Note: "y"},
		{Time: 5, Event: trafficlog.UpdateSent, Subject: "r1", Note: "full"},
		{Time: 5, Event: trafficlog.UpdateSent, Subject: "r1", Source: "b1", State: "serving", Start: 1},
		{Time: 5, Event: trafficlog.UpdateSent, Subject: "r1", Source: "b2", State: "serving", Start: 1},
		// a lookup that misses, a fill, and the response
		{Time: 100, Event: trafficlog.RequestSent, ID: "c1", Subject: "r1", Limit: 1100, Class: "still"},
		{Time: 101, Event: trafficlog.AttemptReceived, ID: "c1", Subject: "b1", Start: 1, RouterRequest: "q1", Attempt: 0, From: "r1", Class: "still", Object: "/a", Group: 7, Work: 30},
		{Time: 102, Event: trafficlog.AttemptAnswered, ID: "c1", Subject: "b1", Start: 1, RouterRequest: "q1", Attempt: 0, From: "r1", Object: "/a", Group: 7, Status: 504},
		{Time: 103, Event: trafficlog.AttemptReceived, ID: "c1", Subject: "b1", Start: 1, RouterRequest: "q1", Attempt: 1, From: "r1", Source: "b2", Class: "still", Object: "/a", Group: 7, Work: 30},
		{Time: 110, Event: trafficlog.AttemptAnswered, ID: "c1", Subject: "b1", Start: 1, RouterRequest: "q1", Attempt: 1, From: "r1", Object: "/a", Group: 7, Status: 200, Version: 1},
		{Time: 111, Event: trafficlog.ResponseHead, ID: "c1", Subject: "r1", Status: 200},
		{Time: 120, Event: trafficlog.ResponseEnd, ID: "c1", Subject: "r1"},
		// a purge, and a response with the new version
		{Time: 1000, Event: trafficlog.Purge, Subject: "o", Object: "/a"},
		{Time: 1100, Event: trafficlog.UpdateSent, Subject: "r1", Note: "purge", Object: "/a", Created: 1000},
		{Time: 1500, Event: trafficlog.RequestSent, ID: "c2", Subject: "r1", Limit: 2500, Class: "still"},
		{Time: 1501, Event: trafficlog.AttemptReceived, ID: "c2", Subject: "b1", Start: 1, RouterRequest: "q2", Attempt: 0, From: "r1", Class: "still", Object: "/a", Group: 7, Work: 30},
		{Time: 1502, Event: trafficlog.AttemptAnswered, ID: "c2", Subject: "b1", Start: 1, RouterRequest: "q2", Attempt: 0, From: "r1", Object: "/a", Group: 7, Status: 200, Version: 2},
		{Time: 1503, Event: trafficlog.ResponseHead, ID: "c2", Subject: "r1", Status: 200},
		{Time: 1504, Event: trafficlog.ResponseEnd, ID: "c2", Subject: "r1"},
		// b2 is draining
		{Time: 2000, Event: trafficlog.UpdateSent, Subject: "r1", Source: "b2", State: "draining", Start: 1},
		{Time: 2600, Event: trafficlog.AttemptReceived, ID: "c8", Subject: "b1", Start: 1, RouterRequest: "q7", Attempt: 0, From: "r1", Class: "still", Object: "/y", Work: 30},
		{Time: 2601, Event: trafficlog.AttemptAnswered, ID: "c8", Subject: "b1", Start: 1, RouterRequest: "q7", Attempt: 0, From: "r1", Class: "still", Object: "/y", Status: 200, Version: 1},
		// b3 starts cold
		{Time: 3000, Event: trafficlog.Started, Subject: "b3", Role: "box", Start: 2, Cold: true, Work: 10, Note: "z"},
		{Time: 3100, Event: trafficlog.UpdateSent, Subject: "r1", Source: "b3", State: "serving", Start: 2},
		{Time: 3200, Event: trafficlog.AttemptReceived, ID: "c9", Subject: "b3", Start: 2, RouterRequest: "q9", Attempt: 0, From: "r1", Class: "still", Object: "/z", Work: 30},
		{Time: 3201, Event: trafficlog.AttemptAnswered, ID: "c9", Subject: "b3", Start: 2, RouterRequest: "q9", Attempt: 0, From: "r1", Class: "still", Object: "/z", Status: 200, Version: 1},
		// a write, repeated within its window
		{Time: 4000, Event: trafficlog.AttemptReceived, ID: "c5", Subject: "b1", Start: 1, RouterRequest: "q5", Attempt: 0, From: "r1", Class: "order", Key: "k1", Write: true},
		{Time: 4001, Event: trafficlog.WriteExecuted, ID: "c5", Subject: "o", RouterRequest: "q5", Attempt: 0, From: "r1", Class: "order", Key: "k1", Write: true},
		{Time: 4500, Event: trafficlog.AttemptCanceled, ID: "c5", Subject: "b1", Start: 1, RouterRequest: "q5", Attempt: 0, From: "r1", Class: "order", Key: "k1", Write: true},
		{Time: 4501, Event: trafficlog.AttemptReceived, ID: "c5", Subject: "b1", Start: 1, RouterRequest: "q5", Attempt: 1, From: "r1", Class: "order", Key: "k1", Write: true},
		{Time: 4502, Event: trafficlog.WriteExecuted, ID: "c5", Subject: "o", RouterRequest: "q5", Attempt: 1, From: "r1", Class: "order", Key: "k1", Write: true, Note: "dropped"},
		{Time: 4503, Event: trafficlog.AttemptAnswered, ID: "c5", Subject: "b1", Start: 1, RouterRequest: "q5", Attempt: 1, From: "r1", Class: "order", Key: "k1", Write: true, Status: 200},
	}
}

func TestNoViolation(t *testing.T) {
	vs := Check(good(), figures)
	if !AllOK(vs) {
		t.Fatalf("a log without violations:\n%s%s", Summary(vs), Details(vs))
	}
}

// Each kind of violation, added to a log without any, is found, and no other rule is
// reported as violated.
func TestEachViolationFound(t *testing.T) {
	recv := func(at float64, who, req string, n int) trafficlog.Record {
		return trafficlog.Record{Time: at, Event: trafficlog.AttemptReceived, Subject: who, Start: 1, RouterRequest: req, Attempt: n, From: "r1", Class: "still", Object: "/q"}
	}
	burst := func(who string, start int64, from float64, n int, work float64, via string) (out []trafficlog.Record) {
		for i := range n {
			r := recv(from+float64(i), who, "w"+string(rune('A'+i)), 0)
			r.Start, r.Work, r.Via = start, work, via
			out = append(out, r)
		}
		return out
	}
	parent := trafficlog.Record{Time: 3000, Event: trafficlog.Started, Subject: "p", Role: "parent", Start: 2, Cold: true, Work: 10}
	parentTold := trafficlog.Record{Time: 3001, Event: trafficlog.UpdateSent, Subject: "r1", Source: "p", State: "serving", Start: 2}
	for _, c := range []struct {
		name string
		rule int
		add  []trafficlog.Record
		drop func(trafficlog.Record) bool
		want string
	}{
		{"no answer", 1, nil, func(r trafficlog.Record) bool {
			return r.ID == "c1" && (r.Event == trafficlog.ResponseHead || r.Event == trafficlog.ResponseEnd)
		}, "no final answer"},
		{"an old fragment on a page", 5, []trafficlog.Record{{Time: 1460, Event: trafficlog.FragmentRead, ID: "c2", Subject: "r1", Object: "/a", Version: 1, Attempt: 2}}, nil, "has /a in version 1"},
		{"an old page around new fragments", 5, []trafficlog.Record{{Time: 1470, Event: trafficlog.FragmentRead, ID: "c2", Subject: "r1", Object: "/a", Version: 1}}, nil, "has /a in version 1"},
		{"a malformed page", 1, []trafficlog.Record{{Time: 1504, Event: trafficlog.FragmentRead, ID: "c2", Subject: "r1", Attempt: 3, Err: "fragment 2 is there twice"}}, nil, "not as it must be"},
		{"a fragment requested after its page has ended", 1, []trafficlog.Record{{Time: 1700, Event: trafficlog.AttemptReceived, ID: "c2.f4", Subject: "b1", Start: 1, RouterRequest: "q8", From: "r1", Class: "still", Object: "/p"}}, nil, "after its page has ended"},
		{"no answer, and the connection ended", 1, []trafficlog.Record{{Time: 130, Event: trafficlog.ResponseEnd, ID: "c1", Subject: "r1", Err: "closed"}},
			func(r trafficlog.Record) bool {
				return r.ID == "c1" && (r.Event == trafficlog.ResponseHead || r.Event == trafficlog.ResponseEnd && r.Err == "")
			}, "no final answer (closed)"},
		{"response past the deadline", 1, []trafficlog.Record{{Time: 5000, Event: trafficlog.RequestSent, ID: "c7", Subject: "r1", Limit: 6000}, {Time: 6100, Event: trafficlog.ResponseHead, ID: "c7"},
			{Time: 6101, Event: trafficlog.ResponseEnd, ID: "c7"}}, nil, "after its client's time ran out"},
		{"two answers", 1, []trafficlog.Record{{Time: 112, Event: trafficlog.ResponseHead, ID: "c1", Status: 503}}, nil, "second answer"},
		{"sent after the answer", 1, []trafficlog.Record{{Time: 160, Event: trafficlog.AttemptReceived, ID: "c1", Subject: "b1", Start: 1, RouterRequest: "q1", Attempt: 2, From: "r1", Class: "still"}},
			nil, "after its answer began"},
		{"sent after the client left", 1, []trafficlog.Record{{Time: 5000, Event: trafficlog.RequestSent, ID: "c7", Subject: "r1", Limit: 6000},
			{Time: 5010, Event: trafficlog.ResponseEnd, ID: "c7", Err: "gone"}, {Time: 5050, Event: trafficlog.AttemptReceived, ID: "c7", Subject: "b1", RouterRequest: "q7", From: "r1", Class: "still"}},
			nil, "after its client has left"},
		{"effect twice", 2, []trafficlog.Record{{Time: 4600, Event: trafficlog.WriteExecuted, Subject: "o", RouterRequest: "q6", Class: "order", Key: "k1", Write: true}}, nil, "happened twice"},
		{"single-shot again", 2, []trafficlog.Record{
			{Time: 5000, Event: trafficlog.AttemptReceived, Subject: "b1", RouterRequest: "q8", Attempt: 0, From: "r1", Class: "once", Write: true},
			{Time: 5100, Event: trafficlog.AttemptCanceled, Subject: "b1", RouterRequest: "q8", Attempt: 0, From: "r1", Class: "once", Write: true},
			{Time: 5101, Event: trafficlog.AttemptReceived, Subject: "b1", RouterRequest: "q8", Attempt: 1, From: "r1", Class: "once", Write: true}}, nil, "though attempt 0 may have run"},
		{"guarded past its window", 2, []trafficlog.Record{
			{Time: 6100, Event: trafficlog.AttemptReceived, Subject: "b1", RouterRequest: "q5", Attempt: 2, From: "r1", Class: "order", Key: "k1", Write: true}}, nil, "repeats are dropped for 2000"},
		{"guarded outside its group", 2, []trafficlog.Record{
			{Time: 4600, Event: trafficlog.AttemptReceived, Subject: "b3", RouterRequest: "q5", Attempt: 2, From: "r1", Class: "order", Key: "k1", Write: true},
			{Time: 4610, Event: trafficlog.AttemptAnswered, Subject: "b3", RouterRequest: "q5", Attempt: 2, From: "r1", Status: 500},
			{Time: 4620, Event: trafficlog.AttemptReceived, Subject: "o9", RouterRequest: "q5", Attempt: 3, From: "r1", Class: "order", Key: "k1", Write: true}}, nil, "outside of its group"},
		{"two overlapping attempts", 2, []trafficlog.Record{recv(5000, "b1", "q8", 0), recv(5050, "b3", "q8", 1)}, nil, "two attempts out at once"},
		{"request to a draining box", 3, []trafficlog.Record{recv(2600, "b2", "q8", 0)}, nil, "as a request"},
		{"draining box as source", 3, []trafficlog.Record{{Time: 2600, Event: trafficlog.AttemptReceived, Subject: "b1", Start: 1, Source: "b2", RouterRequest: "q8", From: "r1"}}, nil, "as a source"},
		{"box missing from a full list", 3, []trafficlog.Record{{Time: 5000, Event: trafficlog.UpdateSent, Subject: "r1", Note: "full"},
			{Time: 5000, Event: trafficlog.UpdateSent, Subject: "r1", Source: "b3", State: "serving", Start: 2}, recv(5600, "b1", "q8", 0)}, nil, "b1 as a request"},
		{"draining in a full list after a restart", 3, []trafficlog.Record{{Time: 5000, Event: trafficlog.Started, Subject: "r1", Role: "router"},
			{Time: 5001, Event: trafficlog.UpdateSent, Subject: "r1", Note: "full"}, {Time: 5001, Event: trafficlog.UpdateSent, Subject: "r1", Source: "b2", State: "draining", Start: 1},
			recv(5600, "b2", "q8", 0)}, nil, "b2 as a request"},
		{"cold box overloaded", 4, burst("b3", 2, 3300, 20, 2000, ""), nil, "b3 (start 2"},
		{"cold parent overloaded by fills", 4, append([]trafficlog.Record{parent, parentTold}, burst("p", 2, 3300, 20, 2000, "b1")...), nil, "p (start 2"},
		{"old copy after an object's purge", 5, []trafficlog.Record{recv(1450, "b1", "q8", 0), {Time: 1451, Event: trafficlog.AttemptAnswered, Subject: "b1", Start: 1, RouterRequest: "q8",
			From: "r1", Object: "/a", Status: 200, Version: 1}}, nil, "answered /a from version 1"},
		{"two versions in one answer", 5, []trafficlog.Record{{Time: 121, Event: trafficlog.ResponseEnd, ID: "c2", Subject: "r1", Err: "byte 7 is not of version 1"}},
			nil, "copies were spliced"},
		{"old copy after a group's purge", 5, []trafficlog.Record{{Time: 5000, Event: trafficlog.Purge, Subject: "o", Group: 9},
			{Time: 5100, Event: trafficlog.UpdateSent, Subject: "r1", Note: "purge", Group: 9, Created: 5000}, recv(5500, "b1", "q8", 0),
			{Time: 5501, Event: trafficlog.AttemptAnswered, Subject: "b1", Start: 1, RouterRequest: "q8", From: "r1", Object: "/g", Group: 9, Status: 200, Version: 1}}, nil,
			"answered /g from version 1"},
	} {
		recs := []trafficlog.Record{}
		for _, r := range append(good(), c.add...) {
			if c.drop == nil || !c.drop(r) {
				recs = append(recs, r)
			}
		}
		for _, v := range Check(recs, figures) {
			broken := len(v.Violations) > 0
			if broken != (v.Rule == c.rule) {
				t.Errorf("%s: rule %d violated: %v; want rule %d only\n%s", c.name, v.Rule, broken, c.rule, Details([]Verdict{v}))
			} else if broken && !strings.Contains(v.Violations[0].Description, c.want) {
				t.Errorf("%s: reported as %q, want %q in it", c.name, v.Violations[0].Description, c.want)
			} else if broken && len(v.Violations[0].Context) == 0 {
				t.Errorf("%s: no records given with the violation", c.name)
			}
		}
	}
}

// The rules excuse a killed router for the requests that it had in flight and for no others,
// the use of a draining member or an old version within the grace period, and attempts sent
// before a purge had to take effect.
func TestExcused(t *testing.T) {
	for _, c := range []struct {
		name string
		add  []trafficlog.Record
	}{
		{"killed with a request in flight", []trafficlog.Record{{Time: 5000, Event: trafficlog.RequestSent, ID: "c7", Subject: "r1", Limit: 6000},
			{Time: 5500, Event: trafficlog.Killed, Subject: "r1", Role: "router"}, {Time: 5500, Event: trafficlog.ResponseEnd, ID: "c7", Err: "closed"}}},
		{"requested while its router was down", []trafficlog.Record{{Time: 4900, Event: trafficlog.Killed, Subject: "r1", Role: "router"},
			{Time: 5000, Event: trafficlog.RequestSent, ID: "c7", Subject: "r1", Limit: 6000}, {Time: 5005, Event: trafficlog.ResponseEnd, ID: "c7", Err: "closed"}}},
		{"a killed member's attempt retried elsewhere", []trafficlog.Record{
			{Time: 5000, Event: trafficlog.AttemptReceived, Subject: "b1", Start: 1, RouterRequest: "q8", Attempt: 0, From: "r1", Class: "still"},
			{Time: 5010, Event: trafficlog.Killed, Subject: "b1", Role: "box", Start: 1},
			{Time: 5011, Event: trafficlog.AttemptReceived, Subject: "b3", Start: 2, RouterRequest: "q8", Attempt: 1, From: "r1", Class: "still"}}},
		{"accepted by no router", []trafficlog.Record{{Time: 5000, Event: trafficlog.RequestSent, ID: "c7", Subject: "r1", Limit: 6000}, {Time: 5001, Event: trafficlog.ResponseEnd, ID: "c7", Err: "unreached"}}},
		{"within the drain's grace", []trafficlog.Record{{Time: 2400, Event: trafficlog.AttemptReceived, Subject: "b2", Start: 1, RouterRequest: "q8", From: "r1", Class: "still"}}},
		{"back in service", []trafficlog.Record{{Time: 5000, Event: trafficlog.UpdateSent, Subject: "r1", Source: "b2", State: "serving", Start: 2},
			{Time: 5600, Event: trafficlog.AttemptReceived, Subject: "b2", Start: 2, RouterRequest: "q8", From: "r1", Class: "still"}}},
		{"a fragment read within the purge's grace, one missing, one requested while the page is read", []trafficlog.Record{
			{Time: 1390, Event: trafficlog.FragmentRead, ID: "c2", Subject: "r1", Object: "/a", Version: 1}, {Time: 1391, Event: trafficlog.FragmentRead, ID: "c2", Subject: "r1", Object: "/b", Err: "missing"},
			{Time: 1502, Event: trafficlog.AttemptReceived, ID: "c2.f1", Subject: "b1", Start: 1, RouterRequest: "q8", From: "r1", Class: "still", Object: "/p"}}},
		{"within the purge's grace", []trafficlog.Record{{Time: 1350, Event: trafficlog.AttemptReceived, Subject: "b1", Start: 1, RouterRequest: "q8", From: "r1"},
			{Time: 1900, Event: trafficlog.AttemptAnswered, Subject: "b1", Start: 1, RouterRequest: "q8", From: "r1", Object: "/a", Status: 200, Version: 1}}},
		{"rejected before it was executed", []trafficlog.Record{{Time: 5000, Event: trafficlog.AttemptReceived, Subject: "b1", RouterRequest: "q8", Attempt: 0, From: "r1", Class: "once", Write: true},
			{Time: 5001, Event: trafficlog.AttemptAnswered, Subject: "b1", RouterRequest: "q8", Attempt: 0, From: "r1", Status: 503},
			{Time: 5002, Event: trafficlog.AttemptReceived, Subject: "b1", RouterRequest: "q8", Attempt: 1, From: "r1", Class: "once", Write: true}}},
	} {
		if vs := Check(append(good(), c.add...), figures); !AllOK(vs) {
			t.Errorf("%s:\n%s", c.name, Details(vs))
		}
	}
	back := append(good(), trafficlog.Record{Time: 4900, Event: trafficlog.Killed, Subject: "r1", Role: "router"},
		trafficlog.Record{Time: 4950, Event: trafficlog.Started, Subject: "r1", Role: "router"}, trafficlog.Record{Time: 5000, Event: trafficlog.RequestSent, ID: "c7", Subject: "r1", Limit: 6000})
	if vs := Check(back, figures); len(vs[0].Violations) != 1 {
		t.Error("a router that had started again was excused for a request that it did not answer")
	}
	late := append(good(), trafficlog.Record{Time: 5000, Event: trafficlog.RequestSent, ID: "c7", Subject: "r1", Limit: 6000},
		trafficlog.Record{Time: 7000, Event: trafficlog.Killed, Subject: "r1", Role: "router"})
	if vs := Check(late, figures); len(vs[0].Violations) != 1 {
		t.Error("a router killed long after a client's deadline was excused")
	}
}

func TestRulesWithoutChecks(t *testing.T) {
	vs := Check(nil, figures)
	if AllOK(vs) || strings.Count(Summary(vs), "UNPROVEN") != 5 {
		t.Errorf("an empty log:\n%s", Summary(vs))
	}
	f := figures
	f.NotExercised = []int{3, 4}
	if vs = Check(nil, f); AllOK(vs) || strings.Count(Summary(vs), "UNPROVEN") != 3 || strings.Count(Summary(vs), "not tried by this day") != 2 {
		t.Errorf("a scenario that exercises fewer rules:\n%s", Summary(vs))
	}
	if vs = Check(good(), f); !AllOK(vs) || vs[2].Checks == 0 {
		t.Errorf("a rule that is not exercised was not checked:\n%s", Summary(vs))
	}
	vs[2].Violations = []Violation{{}}
	if AllOK(vs) {
		t.Error("a violated rule passed as not exercised")
	}
}

// A log that was written and read back gives the same verdicts.
func TestLogRoundTrip(t *testing.T) {
	var b bytes.Buffer
	w := trafficlog.NewWriter(&b)
	w.Add(figures.Record())
	for _, r := range good() {
		line, _ := json.Marshal(r)
		b.Write(append(line, '\n'))
	}
	b.WriteString(`{"t":9,"ev":"re`) // the incomplete last line of a killed process
	recs, err := trafficlog.Read(&b)
	if err != nil {
		t.Fatal(err)
	}
	f, err := ParametersFromLog(recs)
	if err != nil || f.Classes["order"].KeyWindow != 2000 {
		t.Fatal(f, err)
	}
	if vs := Check(recs, f); !AllOK(vs) {
		t.Error(Details(vs))
	}
	if _, err := trafficlog.Read(strings.NewReader("{}\nnonsense\n{}\n")); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("nonsense in the middle: %v", err)
	}
}
