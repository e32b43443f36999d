package invariants

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"indigospool/internal/testbed/trafficlog"
)

var figures = Figures{AnswerSlack: 50, DrainGrace: 500, ColdFrom: 0.2, ColdTime: 18000, FallFactor: 4, FallTime: 3000,
	ParentColdFrom: 0.1, ParentColdTime: 20000, ParentFall: 2, PurgeSlack: 300, Spread: 20,
	Classes: map[string]Class{"still": {Effect: "free"}, "order": {Effect: "guarded", Group: "zone", Window: 2000},
		"once": {Effect: "single-shot"}}}

// good is a day without a break: every rule has something to look at.
func good() []trafficlog.Record {
	return []trafficlog.Record{
		{T: 0, Ev: trafficlog.Up, Who: "r1", Role: "router"},
		{T: 0, Ev: trafficlog.Up, Who: "b1", Role: "box", Start: 1, Work: 10, Note: "z"},
		{T: 0, Ev: trafficlog.Up, Who: "b2", Role: "box", Start: 1, Work: 10, Note: "y"},
		{T: 5, Ev: trafficlog.Told, Who: "r1", Note: "full"},
		{T: 5, Ev: trafficlog.Told, Who: "r1", Src: "b1", State: "serving", Start: 1},
		{T: 5, Ev: trafficlog.Told, Who: "r1", Src: "b2", State: "serving", Start: 1},
		// a look, a fill and a hit
		{T: 100, Ev: trafficlog.Ask, ID: "c1", Who: "r1", Limit: 1100, Class: "still"},
		{T: 101, Ev: trafficlog.Recv, ID: "c1", Who: "b1", Start: 1, Req: "q1", N: 0, From: "r1", Class: "still", Object: "/a", Group: 7, Work: 30},
		{T: 102, Ev: trafficlog.Sent, ID: "c1", Who: "b1", Start: 1, Req: "q1", N: 0, From: "r1", Object: "/a", Group: 7, Status: 504},
		{T: 103, Ev: trafficlog.Recv, ID: "c1", Who: "b1", Start: 1, Req: "q1", N: 1, From: "r1", Src: "b2", Class: "still", Object: "/a", Group: 7, Work: 30},
		{T: 110, Ev: trafficlog.Sent, ID: "c1", Who: "b1", Start: 1, Req: "q1", N: 1, From: "r1", Object: "/a", Group: 7, Status: 200, Ver: 1},
		{T: 111, Ev: trafficlog.Head, ID: "c1", Who: "r1", Status: 200},
		{T: 120, Ev: trafficlog.End, ID: "c1", Who: "r1"},
		// a purge, and an answer of the new version
		{T: 1000, Ev: trafficlog.Purge, Who: "o", Object: "/a"},
		{T: 1100, Ev: trafficlog.Told, Who: "r1", Note: "purge", Object: "/a", Born: 1000},
		{T: 1500, Ev: trafficlog.Ask, ID: "c2", Who: "r1", Limit: 2500, Class: "still"},
		{T: 1501, Ev: trafficlog.Recv, ID: "c2", Who: "b1", Start: 1, Req: "q2", N: 0, From: "r1", Class: "still", Object: "/a", Group: 7, Work: 30},
		{T: 1502, Ev: trafficlog.Sent, ID: "c2", Who: "b1", Start: 1, Req: "q2", N: 0, From: "r1", Object: "/a", Group: 7, Status: 200, Ver: 2},
		{T: 1503, Ev: trafficlog.Head, ID: "c2", Who: "r1", Status: 200},
		{T: 1504, Ev: trafficlog.End, ID: "c2", Who: "r1"},
		// b2 drains
		{T: 2000, Ev: trafficlog.Told, Who: "r1", Src: "b2", State: "draining", Start: 1},
		{T: 2600, Ev: trafficlog.Recv, ID: "c8", Who: "b1", Start: 1, Req: "q7", N: 0, From: "r1", Class: "still", Object: "/y", Work: 30},
		{T: 2601, Ev: trafficlog.Sent, ID: "c8", Who: "b1", Start: 1, Req: "q7", N: 0, From: "r1", Class: "still", Object: "/y", Status: 200, Ver: 1},
		// b3 starts cold
		{T: 3000, Ev: trafficlog.Up, Who: "b3", Role: "box", Start: 2, Cold: true, Work: 10, Note: "z"},
		{T: 3100, Ev: trafficlog.Told, Who: "r1", Src: "b3", State: "serving", Start: 2},
		{T: 3200, Ev: trafficlog.Recv, ID: "c9", Who: "b3", Start: 2, Req: "q9", N: 0, From: "r1", Class: "still", Object: "/z", Work: 30},
		{T: 3201, Ev: trafficlog.Sent, ID: "c9", Who: "b3", Start: 2, Req: "q9", N: 0, From: "r1", Class: "still", Object: "/z", Status: 200, Ver: 1},
		// a write, repeated in its window
		{T: 4000, Ev: trafficlog.Recv, ID: "c5", Who: "b1", Start: 1, Req: "q5", N: 0, From: "r1", Class: "order", Key: "k1", Write: true},
		{T: 4001, Ev: trafficlog.Ran, ID: "c5", Who: "o", Req: "q5", N: 0, From: "r1", Class: "order", Key: "k1", Write: true},
		{T: 4500, Ev: trafficlog.Left, ID: "c5", Who: "b1", Start: 1, Req: "q5", N: 0, From: "r1", Class: "order", Key: "k1", Write: true},
		{T: 4501, Ev: trafficlog.Recv, ID: "c5", Who: "b1", Start: 1, Req: "q5", N: 1, From: "r1", Class: "order", Key: "k1", Write: true},
		{T: 4502, Ev: trafficlog.Ran, ID: "c5", Who: "o", Req: "q5", N: 1, From: "r1", Class: "order", Key: "k1", Write: true, Note: "dropped"},
		{T: 4503, Ev: trafficlog.Sent, ID: "c5", Who: "b1", Start: 1, Req: "q5", N: 1, From: "r1", Class: "order", Key: "k1", Write: true, Status: 200},
	}
}

func TestGoodDay(t *testing.T) {
	vs := Check(good(), figures)
	if !AllOK(vs) {
		t.Fatalf("a good day:\n%s%s", Summary(vs), Details(vs))
	}
}

// Each form of each rule's break, planted into the good day, is found, and
// nothing else is.
func TestPlantedBreaks(t *testing.T) {
	recv := func(at float64, who, req string, n int) trafficlog.Record {
		return trafficlog.Record{T: at, Ev: trafficlog.Recv, Who: who, Start: 1, Req: req, N: n, From: "r1", Class: "still", Object: "/q"}
	}
	burst := func(who string, start int64, from float64, n int, work float64, via string) (out []trafficlog.Record) {
		for i := range n {
			r := recv(from+float64(i), who, "w"+string(rune('A'+i)), 0)
			r.Start, r.Work, r.Via = start, work, via
			out = append(out, r)
		}
		return out
	}
	parent := trafficlog.Record{T: 3000, Ev: trafficlog.Up, Who: "p", Role: "parent", Start: 2, Cold: true, Work: 10}
	parentTold := trafficlog.Record{T: 3001, Ev: trafficlog.Told, Who: "r1", Src: "p", State: "serving", Start: 2}
	for _, c := range []struct {
		name string
		rule int
		add  []trafficlog.Record
		drop func(trafficlog.Record) bool
		want string
	}{
		{"no answer", 1, nil, func(r trafficlog.Record) bool {
			return r.ID == "c1" && (r.Ev == trafficlog.Head || r.Ev == trafficlog.End)
		}, "no final answer"},
		{"an old piece on a page", 5, []trafficlog.Record{{T: 1460, Ev: trafficlog.Piece, ID: "c2", Who: "r1", Object: "/a", Ver: 1, N: 2}}, nil, "has /a in version 1"},
		{"an old page around new pieces", 5, []trafficlog.Record{{T: 1470, Ev: trafficlog.Piece, ID: "c2", Who: "r1", Object: "/a", Ver: 1}}, nil, "has /a in version 1"},
		{"a page that is not whole", 1, []trafficlog.Record{{T: 1504, Ev: trafficlog.Piece, ID: "c2", Who: "r1", N: 3, Err: "fragment 2 is there twice"}}, nil, "not as it must be"},
		{"a piece asked for after its page has ended", 1, []trafficlog.Record{{T: 1700, Ev: trafficlog.Recv, ID: "c2.f4", Who: "b1", Start: 1, Req: "q8", From: "r1", Class: "still", Object: "/p"}}, nil, "after its page has ended"},
		{"no answer, and the connection ended", 1, []trafficlog.Record{{T: 130, Ev: trafficlog.End, ID: "c1", Who: "r1", Err: "closed"}},
			func(r trafficlog.Record) bool {
				return r.ID == "c1" && (r.Ev == trafficlog.Head || r.Ev == trafficlog.End && r.Err == "")
			}, "no final answer (closed)"},
		{"late", 1, []trafficlog.Record{{T: 5000, Ev: trafficlog.Ask, ID: "c7", Who: "r1", Limit: 6000}, {T: 6100, Ev: trafficlog.Head, ID: "c7"},
			{T: 6101, Ev: trafficlog.End, ID: "c7"}}, nil, "after its client's time ran out"},
		{"two answers", 1, []trafficlog.Record{{T: 112, Ev: trafficlog.Head, ID: "c1", Status: 503}}, nil, "second answer"},
		{"sent after the answer", 1, []trafficlog.Record{{T: 160, Ev: trafficlog.Recv, ID: "c1", Who: "b1", Start: 1, Req: "q1", N: 2, From: "r1", Class: "still"}},
			nil, "after its answer began"},
		{"sent after the client left", 1, []trafficlog.Record{{T: 5000, Ev: trafficlog.Ask, ID: "c7", Who: "r1", Limit: 6000},
			{T: 5010, Ev: trafficlog.End, ID: "c7", Err: "gone"}, {T: 5050, Ev: trafficlog.Recv, ID: "c7", Who: "b1", Req: "q7", From: "r1", Class: "still"}},
			nil, "after its client has left"},
		{"effect twice", 2, []trafficlog.Record{{T: 4600, Ev: trafficlog.Ran, Who: "o", Req: "q6", Class: "order", Key: "k1", Write: true}}, nil, "happened twice"},
		{"single-shot again", 2, []trafficlog.Record{
			{T: 5000, Ev: trafficlog.Recv, Who: "b1", Req: "q8", N: 0, From: "r1", Class: "once", Write: true},
			{T: 5100, Ev: trafficlog.Left, Who: "b1", Req: "q8", N: 0, From: "r1", Class: "once", Write: true},
			{T: 5101, Ev: trafficlog.Recv, Who: "b1", Req: "q8", N: 1, From: "r1", Class: "once", Write: true}}, nil, "though attempt 0 may have run"},
		{"guarded past its window", 2, []trafficlog.Record{
			{T: 6100, Ev: trafficlog.Recv, Who: "b1", Req: "q5", N: 2, From: "r1", Class: "order", Key: "k1", Write: true}}, nil, "repeats are dropped for 2000"},
		{"guarded outside its group", 2, []trafficlog.Record{
			{T: 4600, Ev: trafficlog.Recv, Who: "b3", Req: "q5", N: 2, From: "r1", Class: "order", Key: "k1", Write: true},
			{T: 4610, Ev: trafficlog.Sent, Who: "b3", Req: "q5", N: 2, From: "r1", Status: 500},
			{T: 4620, Ev: trafficlog.Recv, Who: "o9", Req: "q5", N: 3, From: "r1", Class: "order", Key: "k1", Write: true}}, nil, "outside of its group"},
		{"two at once", 2, []trafficlog.Record{recv(5000, "b1", "q8", 0), recv(5050, "b3", "q8", 1)}, nil, "two attempts out at once"},
		{"request to a draining box", 3, []trafficlog.Record{recv(2600, "b2", "q8", 0)}, nil, "as a request"},
		{"draining box as source", 3, []trafficlog.Record{{T: 2600, Ev: trafficlog.Recv, Who: "b1", Start: 1, Src: "b2", Req: "q8", From: "r1"}}, nil, "as a source"},
		{"box missing from a full list", 3, []trafficlog.Record{{T: 5000, Ev: trafficlog.Told, Who: "r1", Note: "full"},
			{T: 5000, Ev: trafficlog.Told, Who: "r1", Src: "b3", State: "serving", Start: 2}, recv(5600, "b1", "q8", 0)}, nil, "b1 as a request"},
		{"told in a full list after a restart", 3, []trafficlog.Record{{T: 5000, Ev: trafficlog.Up, Who: "r1", Role: "router"},
			{T: 5001, Ev: trafficlog.Told, Who: "r1", Note: "full"}, {T: 5001, Ev: trafficlog.Told, Who: "r1", Src: "b2", State: "draining", Start: 1},
			recv(5600, "b2", "q8", 0)}, nil, "b2 as a request"},
		{"cold box pushed over", 4, burst("b3", 2, 3300, 20, 2000, ""), nil, "b3 (start 2"},
		{"cold parent pushed over by fills", 4, append([]trafficlog.Record{parent, parentTold}, burst("p", 2, 3300, 20, 2000, "b1")...), nil, "p (start 2"},
		{"old copy after an object's purge", 5, []trafficlog.Record{recv(1450, "b1", "q8", 0), {T: 1451, Ev: trafficlog.Sent, Who: "b1", Start: 1, Req: "q8",
			From: "r1", Object: "/a", Status: 200, Ver: 1}}, nil, "answered /a from version 1"},
		{"two versions in one answer", 5, []trafficlog.Record{{T: 121, Ev: trafficlog.End, ID: "c2", Who: "r1", Err: "byte 7 is not of version 1"}},
			nil, "copies were spliced"},
		{"old copy after a group's purge", 5, []trafficlog.Record{{T: 5000, Ev: trafficlog.Purge, Who: "o", Group: 9},
			{T: 5100, Ev: trafficlog.Told, Who: "r1", Note: "purge", Group: 9, Born: 5000}, recv(5500, "b1", "q8", 0),
			{T: 5501, Ev: trafficlog.Sent, Who: "b1", Start: 1, Req: "q8", From: "r1", Object: "/g", Group: 9, Status: 200, Ver: 1}}, nil,
			"answered /g from version 1"},
	} {
		recs := []trafficlog.Record{}
		for _, r := range append(good(), c.add...) {
			if c.drop == nil || !c.drop(r) {
				recs = append(recs, r)
			}
		}
		for _, v := range Check(recs, figures) {
			broken := len(v.Breaks) > 0
			if broken != (v.Rule == c.rule) {
				t.Errorf("%s: rule %d broken: %v; want rule %d only\n%s", c.name, v.Rule, broken, c.rule, Details([]Verdict{v}))
			} else if broken && !strings.Contains(v.Breaks[0].What, c.want) {
				t.Errorf("%s: told as %q, want %q in it", c.name, v.Breaks[0].What, c.want)
			} else if broken && len(v.Breaks[0].Around) == 0 {
				t.Errorf("%s: no records around the break", c.name)
			}
		}
	}
}

// What the rules forgive: a killed router what it held, and only that; use
// within the grace; what was sent before the word of a purge had time to act.
func TestForgiven(t *testing.T) {
	for _, c := range []struct {
		name string
		add  []trafficlog.Record
	}{
		{"killed with a request in hand", []trafficlog.Record{{T: 5000, Ev: trafficlog.Ask, ID: "c7", Who: "r1", Limit: 6000},
			{T: 5500, Ev: trafficlog.Kill, Who: "r1", Role: "router"}, {T: 5500, Ev: trafficlog.End, ID: "c7", Err: "closed"}}},
		{"asked while its router was down", []trafficlog.Record{{T: 4900, Ev: trafficlog.Kill, Who: "r1", Role: "router"},
			{T: 5000, Ev: trafficlog.Ask, ID: "c7", Who: "r1", Limit: 6000}, {T: 5005, Ev: trafficlog.End, ID: "c7", Err: "closed"}}},
		{"a killed member's attempt made anew elsewhere", []trafficlog.Record{
			{T: 5000, Ev: trafficlog.Recv, Who: "b1", Start: 1, Req: "q8", N: 0, From: "r1", Class: "still"},
			{T: 5010, Ev: trafficlog.Kill, Who: "b1", Role: "box", Start: 1},
			{T: 5011, Ev: trafficlog.Recv, Who: "b3", Start: 2, Req: "q8", N: 1, From: "r1", Class: "still"}}},
		{"never reached", []trafficlog.Record{{T: 5000, Ev: trafficlog.Ask, ID: "c7", Who: "r1", Limit: 6000}, {T: 5001, Ev: trafficlog.End, ID: "c7", Err: "unreached"}}},
		{"within the drain's grace", []trafficlog.Record{{T: 2400, Ev: trafficlog.Recv, Who: "b2", Start: 1, Req: "q8", From: "r1", Class: "still"}}},
		{"back in service", []trafficlog.Record{{T: 5000, Ev: trafficlog.Told, Who: "r1", Src: "b2", State: "serving", Start: 2},
			{T: 5600, Ev: trafficlog.Recv, Who: "b2", Start: 2, Req: "q8", From: "r1", Class: "still"}}},
		{"a piece read within the purge's grace, one left out, one asked for while the page comes", []trafficlog.Record{
			{T: 1390, Ev: trafficlog.Piece, ID: "c2", Who: "r1", Object: "/a", Ver: 1}, {T: 1391, Ev: trafficlog.Piece, ID: "c2", Who: "r1", Object: "/b", Err: "missing"},
			{T: 1502, Ev: trafficlog.Recv, ID: "c2.f1", Who: "b1", Start: 1, Req: "q8", From: "r1", Class: "still", Object: "/p"}}},
		{"within the purge's grace", []trafficlog.Record{{T: 1350, Ev: trafficlog.Recv, Who: "b1", Start: 1, Req: "q8", From: "r1"},
			{T: 1900, Ev: trafficlog.Sent, Who: "b1", Start: 1, Req: "q8", From: "r1", Object: "/a", Status: 200, Ver: 1}}},
		{"turned away before it ran", []trafficlog.Record{{T: 5000, Ev: trafficlog.Recv, Who: "b1", Req: "q8", N: 0, From: "r1", Class: "once", Write: true},
			{T: 5001, Ev: trafficlog.Sent, Who: "b1", Req: "q8", N: 0, From: "r1", Status: 503},
			{T: 5002, Ev: trafficlog.Recv, Who: "b1", Req: "q8", N: 1, From: "r1", Class: "once", Write: true}}},
	} {
		if vs := Check(append(good(), c.add...), figures); !AllOK(vs) {
			t.Errorf("%s:\n%s", c.name, Details(vs))
		}
	}
	back := append(good(), trafficlog.Record{T: 4900, Ev: trafficlog.Kill, Who: "r1", Role: "router"},
		trafficlog.Record{T: 4950, Ev: trafficlog.Up, Who: "r1", Role: "router"}, trafficlog.Record{T: 5000, Ev: trafficlog.Ask, ID: "c7", Who: "r1", Limit: 6000})
	if vs := Check(back, figures); len(vs[0].Breaks) != 1 {
		t.Error("a router that is up again was forgiven what it lost")
	}
	late := append(good(), trafficlog.Record{T: 5000, Ev: trafficlog.Ask, ID: "c7", Who: "r1", Limit: 6000},
		trafficlog.Record{T: 7000, Ev: trafficlog.Kill, Who: "r1", Role: "router"})
	if vs := Check(late, figures); len(vs[0].Breaks) != 1 {
		t.Error("a router killed long after a client's time ran out was forgiven")
	}
}

func TestNothingToLookAt(t *testing.T) {
	vs := Check(nil, figures)
	if AllOK(vs) || strings.Count(Summary(vs), "UNPROVEN") != 5 {
		t.Errorf("an empty tap:\n%s", Summary(vs))
	}
	f := figures
	f.NotTried = []int{3, 4}
	if vs = Check(nil, f); AllOK(vs) || strings.Count(Summary(vs), "UNPROVEN") != 3 || strings.Count(Summary(vs), "not tried by this day") != 2 {
		t.Errorf("a day that tries less:\n%s", Summary(vs))
	}
	if vs = Check(good(), f); !AllOK(vs) || vs[2].Checks == 0 {
		t.Errorf("what is not tried is judged where it is seen:\n%s", Summary(vs))
	}
	vs[2].Breaks = []Break{{}}
	if AllOK(vs) {
		t.Error("a broken rule was passed as not tried")
	}
}

// A tap that was written and read again is judged as it was.
func TestTapRoundTrip(t *testing.T) {
	var b bytes.Buffer
	w := trafficlog.NewWriter(&b)
	w.Add(figures.Record())
	for _, r := range good() {
		line, _ := json.Marshal(r)
		b.Write(append(line, '\n'))
	}
	b.WriteString(`{"t":9,"ev":"re`) // a killed process's last line
	recs, err := trafficlog.Read(&b)
	if err != nil {
		t.Fatal(err)
	}
	f, err := FromTap(recs)
	if err != nil || f.Classes["order"].Window != 2000 {
		t.Fatal(f, err)
	}
	if vs := Check(recs, f); !AllOK(vs) {
		t.Error(Details(vs))
	}
	if _, err := trafficlog.Read(strings.NewReader("{}\nnonsense\n{}\n")); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("nonsense in the middle: %v", err)
	}
}
