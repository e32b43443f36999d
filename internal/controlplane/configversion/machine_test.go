package configversion

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"indigospool/internal/config"
)

// body is a valid configuration whose members' states follow from the letters:
// s serving, d draining, - not listed.
func body(boxes, parents string, extra string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "(router (zone z) (of 4)) (zone z (routers 4) (hub h)) (zone h)\n(class c) (route \"/c/{object}\" (class c))\n%s\n", extra)
	list := func(prefix, kind, zone, states string) {
		for i, s := range states {
			state := map[rune]string{'s': "serving", 'd': "draining"}[s]
			if state != "" {
				fmt.Fprintf(&b, "(member %s%d (kind %s) (zone %s) (state %s) (address \"127.0.0.1:%d\"))\n", prefix, i, kind, zone, state, 9000+i)
			}
		}
	}
	list("b", "box", "z", boxes)
	list("p", "parent", "h", parents)
	return []byte(b.String())
}

var good = body("sss", "ssss", "")

type story struct {
	t    testing.TB
	m    *Machine
	now  Millis
	acts []Action
}

func begin(t testing.TB) *story { return &story{t: t, m: NewMachine(MachineSettings{}, 1)} }

func (s *story) tell(ev Event) *story {
	s.acts = s.m.Handle(s.now, ev, nil)
	return s
}

// offer offers a version and has the disk take it.
func (s *story) offer(service string, v Version) *story {
	s.tell(Offered{service, v})
	for _, a := range s.acts {
		if st, ok := a.(Store); ok {
			more := s.m.Handle(s.now, Stored{Number: st.Version.Number}, nil)
			s.acts = append(s.acts, more...)
		}
	}
	return s
}

func (s *story) pass(span Millis) *story {
	s.now += span
	return s.tell(Tick{})
}

func has[T Action](s *story, ok func(T) bool) bool {
	return slices.ContainsFunc(s.acts, func(a Action) bool { t, is := a.(T); return is && (ok == nil || ok(t)) })
}

func (s *story) wantNack(what string) *story {
	s.t.Helper()
	if !has(s, func(n Nack) bool { return len(n.Reasons) > 0 && strings.Contains(n.Reasons[0].String(), what) }) {
		s.t.Errorf("want a refusal with %q, got %+v", what, s.acts)
	}
	return s
}

func (s *story) wantAck(number int64) *story {
	s.t.Helper()
	if !has(s, func(a Ack) bool { return a.Number == number }) {
		s.t.Errorf("want version %d accepted, got %+v", number, s.acts)
	}
	return s
}

func (s *story) wantRuns(number int64) *story {
	s.t.Helper()
	if s.m.Running() != number {
		s.t.Errorf("runs %d, want %d", s.m.Running(), number)
	}
	return s
}

func TestAcceptedStoredUsed(t *testing.T) {
	s := begin(t)
	s.tell(Offered{"a", New(1, good)})
	if has[Ack](s, nil) || has[Activate](s, nil) || !has[Store](s, nil) {
		t.Fatalf("before it is on disk: %+v", s.acts)
	}
	s.tell(Stored{Number: 1}).wantAck(1).wantRuns(1) // the first at once
	s.offer("a", New(2, body("sssd", "ssss", ""))).wantAck(2).wantRuns(1)
	wakes := slices.DeleteFunc(slices.Clone(s.acts), func(a Action) bool { _, is := a.(Wake); return !is })
	if len(wakes) == 0 || wakes[len(wakes)-1].(Wake).After > 1000 {
		t.Errorf("it is woken by %+v, want at last to use the second", wakes)
	}
	s.pass(1001).wantRuns(2)
}

func TestNumbersAndSums(t *testing.T) {
	s := begin(t)
	s.offer("a", New(5, good)).wantAck(5)
	s.offer("a", New(5, good)).wantAck(5) // repeated
	s.offer("a", New(5, body("ss", "ssss", ""))).wantNack("accepted with other content")
	s.offer("a", New(4, good)).wantNack("older than 5")
	s.offer("a", New(0, good)).wantNack("numbers are above 0")
	bad := New(6, good)
	bad.Sum = strings.Repeat("0", 64)
	s.offer("a", bad).wantNack("checksum").wantRuns(5)
	s.offer("a", New(6, body("ss", "ssss", ""))).wantAck(6) // a refused number may be offered again, whole
	s.offer("a", New(7, good)).wantAck(7)                   // back to the old content by a new number
	if got := s.m.HighestAccepted(); got != 7 {
		t.Errorf("floor %d", got)
	}
}

// Each refusal names the path and the remedy; a good version follows a bad one.
func TestSenselessVersions(t *testing.T) {
	for _, c := range []struct {
		name string
		b    []byte
		want string
	}{
		{"no cache left", body("ddd", "ssss", ""), "zone/z: none of its 3 caches is serving"},
		{"no parent serves", body("sss", "dddd", ""), "every parent is a fill source that takes nothing: p0 is draining"},
		{"parents change too fast", body("sss", "s-ss----ssss", ""), "parents come or go at once"},
		{"caches go too fast", body("--s", "ssss", ""), ""},
		{"unknown class", []byte(strings.Replace(string(good), "(class c))", "(class d))", 1)), `class "d" is not given`},
		{"negative capacity", []byte(strings.Replace(string(good), "(state serving)", "(state serving) (size -1)", 1)), "member/size: "},
		{"absurd capacity", []byte(strings.Replace(string(good), "(state serving)", "(state serving) (size 1e9)", 1)), "member/b0/size: capacity 1e+09"},
		{"loosened", body("sss", "ssss", "(rules (drain-grace 5000))"), "rules/drain-grace: loosened from 500 to 5000"},
		{"drained source", body("ssd", "ssss", ""), ""},
		{"drained source named", []byte(strings.Replace(string(body("ssd", "ssss", "")), "(member b0", "(member b0 (fill-from b2)", 1)), `member/b0/fill-from: source "b2" is draining`},
		{"not settings", []byte("(router"), "a list is never closed"},
		{"routers", []byte(strings.Replace(string(good), "(of 4)", "(of 2)", 1)), "the zones have 4 routers, there are 2"},
	} {
		s := begin(t).offer("a", New(1, good)).wantRuns(1)
		s.offer("a", New(2, c.b))
		if c.want == "" {
			if !has[Ack](s, nil) {
				t.Errorf("%s: refused: %+v", c.name, s.acts)
			}
			continue
		}
		if !has(s, func(n Nack) bool {
			return slices.ContainsFunc(n.Reasons, func(r Reason) bool { return strings.Contains(r.String(), c.want) && r.Remedy != "" })
		}) {
			t.Errorf("%s: want %q and a remedy, got %+v", c.name, c.want, s.acts)
		}
		s.wantRuns(1).offer("a", New(3, body("ssss", "ssss", ""))).wantAck(3).pass(2000).wantRuns(3)
	}
}

// Two services that disagree: the one in charge stays so while it is heard of;
// the router does not flap between them.
func TestSplitBrain(t *testing.T) {
	s := begin(t).offer("a", New(1, good)).wantRuns(1)
	for n := int64(2); n < 20; n++ {
		s.offer("b", New(n, body("ss", "ssss", ""))).wantNack("service a is in charge")
		s.tell(Heartbeat{"a"})
		s.pass(1000).wantRuns(1)
	}
	s.tell(Disconnected{"a"}).pass(28000)
	s.offer("b", New(30, body("ss", "ssss", ""))).wantNack("in charge")
	if has[RequestOffer](s, nil) {
		t.Error("the other service is asked again while one is in charge")
	}
	s.pass(2000)
	if !has(s, func(a RequestOffer) bool { return a.Service == "b" }) {
		t.Errorf("who was turned down is not asked again: %+v", s.acts)
	}
	s.offer("b", New(31, body("ss", "ssss", ""))).wantAck(31)
	if !has(s, func(w Warn) bool { return strings.Contains(w.Text, "service b is in charge now") }) {
		t.Errorf("the change of services is not told: %+v", s.acts)
	}
}

func TestRestart(t *testing.T) {
	v := New(7, good)
	s := begin(t).tell(Restored{Version: v, Age: 5000})
	if !has(s, func(u Activate) bool { return u.Version.Number == 7 && !u.Stale }) {
		t.Fatalf("%+v", s.acts)
	}
	s.offer("a", New(6, good)).wantNack("older than 7") // a service that came back with its past
	s.pass(60000)
	if !has(s, func(w Warn) bool { return strings.Contains(w.Text, "no service has confirmed it") }) && s.m.Running() != 7 {
		t.Errorf("%+v", s.acts)
	}
	s.offer("a", New(8, good)).wantAck(8)

	s = begin(t).tell(Restored{Version: v, Age: 700000})
	if !has(s, func(u Activate) bool { return u.Stale }) {
		t.Errorf("an old list counts as fresh: %+v", s.acts)
	}
	s = begin(t).tell(Restored{Err: errors.New("damaged")})
	if !has[Warn](s, nil) || has[Activate](s, nil) {
		t.Errorf("%+v", s.acts)
	}
	s.offer("a", New(1, good)).wantRuns(1)
	s = begin(t).tell(Restored{Version: New(9, body("ddd", "ssss", ""))})
	if has[Activate](s, nil) {
		t.Error("what does not pass the checks is run after a restart")
	}
	s.offer("a", New(8, good)).wantNack("older than 9")
}

// A service gone for minutes: the last good version runs on, with one warning,
// and the news that it is confirmed again.
func TestServiceGone(t *testing.T) {
	s := begin(t).offer("a", New(1, good)).tell(Disconnected{"a"})
	warned := 0
	for range 300 {
		s.pass(1000).wantRuns(1)
		if has[Warn](s, nil) {
			warned++
		}
	}
	if warned != 1 {
		t.Errorf("%d warnings in five minutes, want one", warned)
	}
	s.offer("a", New(1, good)).wantAck(1)
	if !has(s, func(w Warn) bool { return strings.Contains(w.Text, "confirmed again") }) {
		t.Errorf("%+v", s.acts)
	}
}

func TestDiskFails(t *testing.T) {
	s := begin(t).offer("a", New(1, good))
	s.tell(Offered{"a", New(2, body("ss", "ssss", ""))})
	s.tell(Stored{2, errors.New("no space")}).wantNack("could not be stored: no space").wantRuns(1)
	s.offer("a", New(2, body("ss", "ssss", ""))).wantAck(2)
	// one that is superseded while it is being stored is never used
	s.pass(2000).wantRuns(2)
	s.tell(Offered{"a", New(3, good)}).tell(Offered{"a", New(4, body("ssss", "ssss", ""))})
	s.tell(Stored{Number: 3})
	if has[Ack](s, nil) {
		t.Error("a superseded version is accepted")
	}
	s.tell(Stored{Number: 4}).wantAck(4).pass(2000).wantRuns(4)
}

// Uses of one version are spread over the routers, by their seeds; but one that
// takes a member away is used at once, since a grace runs.
func TestSpread(t *testing.T) {
	at := map[int]int{}
	for seed := range 300 {
		m := NewMachine(MachineSettings{}, uint64(seed))
		s := &story{t: t, m: m}
		s.offer("a", New(1, good)).offer("a", New(2, body("ssss", "ssss", "")))
		for s.m.Running() != 2 && s.now < 10000 {
			s.pass(10)
		}
		at[int(s.now/100)]++
	}
	for tenth := range 10 {
		if at[tenth] < 12 || at[tenth] > 55 {
			t.Errorf("%d of 300 routers in tenth %d of the spread", at[tenth], tenth)
		}
	}
	for _, away := range []string{"ss", "sds"} {
		begin(t).offer("a", New(1, good)).offer("a", New(2, body(away, "ssss", ""))).wantAck(2).wantRuns(2)
	}
}

// A version goes with the router's own part, and is refused where it leaves this
// router out.
func TestOwn(t *testing.T) {
	own := &config.Settings{}
	if err := config.Read("own", `(router (name r7) (me 3) (of 1) (zone z) (list "127.0.0.1:7"))
		(class c) (route "/c/{object}" (class c)) (control (services "127.0.0.1:9"))`, own); err == nil {
		t.Fatal("a file whose (me) is not below its (of) is good only while it waits for a version")
	}
	if err := config.Read("own", `(router (name r7) (me 3) (of 9) (zone z))
		(control (services "127.0.0.1:9") (start wait) (lease 777))`, own); err != nil {
		t.Fatal(err)
	}
	s := &story{t: t, m: NewMachine(MachineSettings{Local: own}, 1)}
	s.offer("a", New(1, good)).wantRuns(1)
	if !has(s, func(u Activate) bool {
		r := u.Settings.Router
		return r.Name == "r7" && r.Me == 3 && r.Of == 4 && u.Settings.Control.Lease == 777 && len(u.Settings.Members) == 7
	}) {
		t.Errorf("%+v", s.acts)
	}
	s.offer("a", New(2, []byte(strings.Replace(string(good), "(of 4)", "(of 3)", 1)))).wantNack("router number 3 of 3")
	s.offer("a", New(3, []byte(strings.NewReplacer("(zone z)", "(zone y)", "(zone z ", "(zone y ").Replace(string(good))))).
		wantNack(`"z" is no zone`)
	s.wantRuns(1)
}

// After a restart, members that came with one of the last versions are known to
// be young; those that were in the oldest are not.
func TestUpAfterRestart(t *testing.T) {
	with := func(n int, members string) Version {
		return New(int64(n), append(body("ss", "ssss", ""), members...))
	}
	const old = `(member old (zone z) (start 3) (address "127.0.0.1:3"))`
	const late, anew = `(member late (zone z) (address "127.0.0.1:1"))`, `(member anew (zone z) (start 2) (address "127.0.0.1:2"))`
	ages := func(step float64) Restored {
		return Restored{Version: with(5, old+late+anew), Age: 100 + step, Earlier: []StoredVersion{
			{with(2, old), 9000 + step},
			{with(3, old+strings.Replace(anew, "start 2", "start 1", 1)), 5000 + step},
			{with(4, old+late+anew), 700 + step}}}
	}
	// Ages are by the wall clock, which may have been stepped since.
	for _, step := range []float64{0, 3000, -3000, 3.6e6, -3.6e6} {
		s := begin(t).tell(ages(step))
		if !has(s, func(u Activate) bool {
			return len(u.ListedFor) == 3 && u.ListedFor["late"] == 600 && u.ListedFor["anew"] == 600 && u.ListedFor["old"] == 8900
		}) {
			t.Errorf("a step of %v ms: up %v", step, upOf(s))
		}
	}
	// A version that seems to be younger than the one after it says nothing of its age.
	back := ages(0)
	back.Earlier[2].Age = -3.6e6
	if s := begin(t).tell(back); !has(s, func(u Activate) bool {
		return u.ListedFor["late"] == 0 && u.ListedFor["anew"] == 0 && u.ListedFor["old"] == 8900
	}) {
		t.Errorf("stepped back between two versions: up %v", upOf(s))
	}
}

// upOf is for how long members have been listed, by the version that is used.
func upOf(s *story) map[string]Millis {
	for _, act := range s.acts {
		if use, ok := act.(Activate); ok {
			return use.ListedFor
		}
	}
	return nil
}

// For any sequence of offers, cuts, restarts and damage: a router runs only
// versions that passed every check, and never one older than the last accepted.
func TestPromise(t *testing.T) {
	bodies := [][]byte{good, body("ss", "ssss", ""), body("ssss", "sss", ""), body("ddd", "ssss", ""), []byte("(oops"),
		body("sss", "ssss", "(rules (drain-grace 9000))"), body("s", "s", "")}
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine(MachineSettings{}, 3)
		now, floor := 0.0, int64(0)
		var disk, writing *Version
		var running int64
		handle := func(ev Event) {
			for _, a := range m.Handle(now, ev, nil) {
				switch a := a.(type) {
				case Store:
					v := a.Version
					writing = &v
				case Ack:
					if disk == nil || disk.Number != a.Number {
						t.Fatalf("version %d is accepted and not on disk", a.Number)
					}
					floor = max(floor, a.Number)
				case Activate:
					if a.Version.Number < floor || a.Version.Number < running {
						t.Fatalf("version %d is used after %d was accepted and %d run", a.Version.Number, floor, running)
					}
					if Checksum(a.Version.Body) != a.Version.Sum {
						t.Fatal("a damaged version is used")
					}
					s := &config.Settings{}
					if err := config.Read("x", string(a.Version.Body), s); err != nil {
						t.Fatalf("a malformed version is used: %v", err)
					}
					if r := Check(nil, s, CheckLimits{}); len(r) > 0 {
						t.Fatalf("a senseless version is used: %v", r)
					}
					running = a.Version.Number
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 40000).Draw(t, "pass"))
			switch rapid.IntRange(0, 6).Draw(t, "op") {
			case 0, 1, 2:
				v := New(int64(rapid.IntRange(0, 12).Draw(t, "number")), bodies[rapid.IntRange(0, len(bodies)-1).Draw(t, "body")])
				if rapid.IntRange(0, 9).Draw(t, "damage") == 0 {
					v.Body = append(slices.Clone(v.Body), '!')
				}
				handle(Offered{rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "service"), v})
			case 3:
				handle(Disconnected{"a"})
			case 4:
				if writing != nil {
					if rapid.Bool().Draw(t, "disk works") {
						disk = writing
						handle(Stored{Number: writing.Number})
					} else {
						handle(Stored{writing.Number, errors.New("full")})
					}
					writing = nil
				}
			case 5:
				handle(Tick{})
			case 6: // killed, at whatever point, and started again
				if writing != nil && rapid.Bool().Draw(t, "the write was whole") {
					disk = writing // on disk, and never told of
				}
				writing = nil
				m = NewMachine(MachineSettings{}, 4)
				running = 0
				if disk == nil || rapid.IntRange(0, 5).Draw(t, "store damaged") == 0 {
					disk, floor = nil, 0 // set aside: nothing is known of what was accepted
					handle(Restored{Err: errors.New("damaged")})
				} else {
					handle(Restored{Version: *disk, Age: float64(rapid.IntRange(0, 1e6).Draw(t, "age"))})
				}
			}
		}
	})
}

// Whatever two lists are, the steps lead from one to the other, drains first,
// and a member that came back empty is gone before it starts.
func TestDiff(t *testing.T) {
	member := rapid.Custom(func(t *rapid.T) config.Member {
		return config.Member{Zone: "z", Kind: "box", Size: float64(rapid.IntRange(1, 2).Draw(t, "size")), Address: "127.0.0.1:1",
			State: rapid.SampledFrom([]string{"serving", "serving", "draining", "removed"}).Draw(t, "state"),
			Start: rapid.IntRange(0, 2).Draw(t, "start")}
	})
	list := func(t *rapid.T, name string) (out []config.Member) {
		for i := range 5 {
			if rapid.Bool().Draw(t, name) {
				m := member.Draw(t, name)
				m.ID = fmt.Sprint("m", i)
				out = append(out, m)
			}
		}
		return out
	}
	rapid.Check(t, func(t *rapid.T) {
		old, new := list(t, "old"), list(t, "new")
		steps := Diff(old, new)
		got, want := ApplyDeltas(old, steps), ApplyDeltas(nil, []Delta{{DeltaChanges, new}})
		if !slices.EqualFunc(got, want, isSame) {
			t.Fatalf("from %+v\nby %+v\nto %+v, want %+v", old, steps, got, want)
		}
		for i, s := range steps {
			if s.Kind == DeltaDrains && i != 0 {
				t.Fatalf("drains are step %d: %+v", i, steps)
			}
		}
		last := map[string]config.Member{}
		for _, m := range old {
			last[m.ID] = m
		}
		for _, s := range steps {
			for _, m := range s.Members {
				if o, ok := last[m.ID]; ok && o.State == "serving" && m.State == "serving" && o.Start != m.Start {
					t.Fatalf("%s came back empty and was never told as gone: %+v", m.ID, steps)
				}
				last[m.ID] = m
			}
		}
	})
}
