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

// body returns a valid configuration. Each letter gives a member's state: s serving, d
// draining, - not listed.
func body(caches, parents, extra string) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "(router (zone z) (of 4)) (zone z (routers 4) (hub h)) (zone h)\n(class c) (route \"/c/{object}\" (class c))\n%s\n", extra)
	list := func(prefix, kind, zone, states string) {
		for i, letter := range states {
			state := map[rune]string{'s': "serving", 'd': "draining"}[letter]
			if state != "" {
				fmt.Fprintf(&text, "(member %s%d (kind %s) (zone %s) (state %s) (address \"127.0.0.1:%d\"))\n", prefix, i, kind, zone, state, 9000+i)
			}
		}
	}
	list("b", "box", "z", caches)
	list("p", "parent", "h", parents)
	return []byte(text.String())
}

var validBody = body("sss", "ssss", "")

// replaceInValid returns the valid configuration with the first occurrence of old
// replaced.
func replaceInValid(old, new string) []byte {
	return []byte(strings.Replace(string(validBody), old, new, 1))
}

// machineTest is a machine with its clock and the actions of the last event.
type machineTest struct {
	t       testing.TB
	machine *Machine
	now     Millis
	actions []Action
}

func newMachineTest(t testing.TB) *machineTest {
	return &machineTest{t: t, machine: NewMachine(MachineSettings{}, 1)}
}

func (s *machineTest) handle(event Event) *machineTest {
	s.actions = s.machine.Handle(s.now, event, nil)
	return s
}

// offer offers a version and reports it as stored.
func (s *machineTest) offer(service string, version Version) *machineTest {
	s.handle(Offered{service, version})
	for _, action := range s.actions {
		if store, ok := action.(Store); ok {
			more := s.machine.Handle(s.now, Stored{Number: store.Version.Number}, nil)
			s.actions = append(s.actions, more...)
		}
	}
	return s
}

func (s *machineTest) advance(span Millis) *machineTest {
	s.now += span
	return s.handle(Tick{})
}

// hasAction reports whether the last event led to an action of type T that satisfies
// the condition; a nil condition accepts any.
func hasAction[T Action](test *machineTest, condition func(T) bool) bool {
	return slices.ContainsFunc(test.actions, func(action Action) bool {
		typed, is := action.(T)
		return is && (condition == nil || condition(typed))
	})
}

func (s *machineTest) wantRejected(what string) *machineTest {
	s.t.Helper()
	if !hasAction(s, func(n Nack) bool { return len(n.Reasons) > 0 && strings.Contains(n.Reasons[0].String(), what) }) {
		s.t.Errorf("want a rejection with %q, got %+v", what, s.actions)
	}
	return s
}

func (s *machineTest) wantAccepted(number int64) *machineTest {
	s.t.Helper()
	if !hasAction(s, func(a Ack) bool { return a.Number == number }) {
		s.t.Errorf("want version %d accepted, got %+v", number, s.actions)
	}
	return s
}

func (s *machineTest) wantRunning(number int64) *machineTest {
	s.t.Helper()
	if s.machine.Running() != number {
		s.t.Errorf("runs %d, want %d", s.machine.Running(), number)
	}
	return s
}

func TestActivatedOnceStored(t *testing.T) {
	test := newMachineTest(t)
	test.handle(Offered{"a", New(1, validBody)})
	if hasAction[Ack](test, nil) || hasAction[Activate](test, nil) || !hasAction[Store](test, nil) {
		t.Fatalf("before the version is stored: %+v", test.actions)
	}
	test.handle(Stored{Number: 1}).wantAccepted(1).wantRunning(1) // the first version is activated immediately
	test.offer("a", New(2, body("sssd", "ssss", ""))).wantAccepted(2).wantRunning(1)
	wakes := slices.DeleteFunc(slices.Clone(test.actions), func(a Action) bool { _, is := a.(Wake); return !is })
	if len(wakes) == 0 || wakes[len(wakes)-1].(Wake).After > 1000 {
		t.Errorf("wake-ups %+v, want the last one within 1000 ms, for the activation of version 2", wakes)
	}
	test.advance(1001).wantRunning(2)
}

func TestNumbersAndChecksums(t *testing.T) {
	test := newMachineTest(t)
	test.offer("a", New(5, validBody)).wantAccepted(5)
	test.offer("a", New(5, validBody)).wantAccepted(5) // repeated
	test.offer("a", New(5, body("ss", "ssss", ""))).wantRejected("accepted with other content")
	test.offer("a", New(4, validBody)).wantRejected("older than 5")
	test.offer("a", New(0, validBody)).wantRejected("numbers are above 0")
	bad := New(6, validBody)
	bad.Sum = strings.Repeat("0", 64)
	test.offer("a", bad).wantRejected("checksum").wantRunning(5)
	test.offer("a", New(6, body("ss", "ssss", ""))).wantAccepted(6) // a rejected number may be offered again with other content
	test.offer("a", New(7, validBody)).wantAccepted(7)              // rollback: old content under a new number
	if got := test.machine.HighestAccepted(); got != 7 {
		t.Errorf("highest accepted %d", got)
	}
}

// Of two services that disagree, the lease holder is followed as long as it shows signs
// of life; the router does not switch back and forth.
func TestSplitBrain(t *testing.T) {
	test := newMachineTest(t).offer("a", New(1, validBody)).wantRunning(1)
	for n := int64(2); n < 20; n++ {
		test.offer("b", New(n, body("ss", "ssss", ""))).wantRejected("service a is in charge")
		test.handle(Heartbeat{"a"})
		test.advance(1000).wantRunning(1)
	}
	test.handle(Disconnected{"a"}).advance(28000)
	test.offer("b", New(30, body("ss", "ssss", ""))).wantRejected("in charge")
	if hasAction[RequestOffer](test, nil) {
		t.Error("an offer is requested from the other service while the lease is held")
	}
	test.advance(2000)
	if !hasAction(test, func(a RequestOffer) bool { return a.Service == "b" }) {
		t.Errorf("no offer is requested from the rejected service: %+v", test.actions)
	}
	test.offer("b", New(31, body("ss", "ssss", ""))).wantAccepted(31)
	if !hasAction(test, func(w Warn) bool { return strings.Contains(w.Text, "service b is in charge now") }) {
		t.Errorf("no warning about the change of services: %+v", test.actions)
	}
}

// A service whose offer was rejected is asked for it again, also if it obtains the lease by a heartbeat
// that comes before the machine's own timer, and if the lease was renewed in between. It once was not,
// and the router stayed with the old version for a minute.
func TestRejectedServiceObtainsLease(t *testing.T) {
	for _, renewed := range []bool{false, true} {
		test := newMachineTest(t).offer("a", New(1, validBody)).wantRunning(1)
		test.offer("b", New(2, body("ss", "ssss", ""))).wantRejected("service a is in charge")
		if renewed {
			test.handle(Heartbeat{"a"})
		}
		test.now += 30_000
		test.handle(Heartbeat{"b"})
		if !hasAction(test, func(a RequestOffer) bool { return a.Service == "b" }) {
			t.Errorf("renewed %v: no offer is requested from the rejected service: %+v", renewed, test.actions)
		}
		if test.machine.LeaseHolder() != "b" {
			t.Errorf("renewed %v: the lease is held by %q, want b", renewed, test.machine.LeaseHolder())
		}
		test.handle(Heartbeat{"b"})
		if hasAction[RequestOffer](test, nil) {
			t.Errorf("renewed %v: the offer is requested twice", renewed)
		}
	}
}

// While the service is gone for minutes, the last known good version keeps running with
// one warning, and one message reports that it is confirmed again.
func TestWarnsOnceWhileServiceIsGone(t *testing.T) {
	test := newMachineTest(t).offer("a", New(1, validBody)).handle(Disconnected{"a"})
	warned := 0
	for range 300 {
		test.advance(1000).wantRunning(1)
		if hasAction[Warn](test, nil) {
			warned++
		}
	}
	if warned != 1 {
		t.Errorf("%d warnings in five minutes, want one", warned)
	}
	test.offer("a", New(1, validBody)).wantAccepted(1)
	if !hasAction(test, func(w Warn) bool { return strings.Contains(w.Text, "confirmed again") }) {
		t.Errorf("%+v", test.actions)
	}
}

func TestDiskFails(t *testing.T) {
	test := newMachineTest(t).offer("a", New(1, validBody))
	test.handle(Offered{"a", New(2, body("ss", "ssss", ""))})
	test.handle(Stored{2, errors.New("no space")}).wantRejected("could not be stored: no space").wantRunning(1)
	test.offer("a", New(2, body("ss", "ssss", ""))).wantAccepted(2)
	// a version that is superseded while it is being stored is never activated
	test.advance(2000).wantRunning(2)
	test.handle(Offered{"a", New(3, validBody)}).handle(Offered{"a", New(4, body("ssss", "ssss", ""))})
	test.handle(Stored{Number: 3})
	if hasAction[Ack](test, nil) {
		t.Error("a superseded version was accepted")
	}
	test.handle(Stored{Number: 4}).wantAccepted(4).advance(2000).wantRunning(4)
}

// Activations of one version are spread over the routers by their seeds. A version that
// withdraws a member is activated immediately, since the member's grace period is
// running.
func TestActivationJitter(t *testing.T) {
	activations := map[int]int{}
	for seed := range 300 {
		test := &machineTest{t: t, machine: NewMachine(MachineSettings{}, uint64(seed))}
		test.offer("a", New(1, validBody)).offer("a", New(2, body("ssss", "ssss", "")))
		for test.machine.Running() != 2 && test.now < 10000 {
			test.advance(10)
		}
		activations[int(test.now/100)]++
	}
	for tenth := range 10 {
		if activations[tenth] < 12 || activations[tenth] > 55 {
			t.Errorf("%d of 300 routers activate in tenth %d of the jitter", activations[tenth], tenth)
		}
	}
	for _, away := range []string{"ss", "sds"} {
		newMachineTest(t).offer("a", New(1, validBody)).offer("a", New(2, body(away, "ssss", ""))).wantAccepted(2).wantRunning(2)
	}
}

// A version is merged with the router's local settings, and is rejected if it does not
// include this router.
func TestLocalSettings(t *testing.T) {
	local := &config.Settings{}
	if err := config.Read("own", `(router (name r7) (me 3) (of 1) (zone z) (list "127.0.0.1:7"))
		(class c) (route "/c/{object}" (class c)) (control (services "127.0.0.1:9"))`, local); err == nil {
		t.Fatal("a file whose (me) is not below its (of) is accepted though it does not wait for a version")
	}
	if err := config.Read("own", `(router (name r7) (me 3) (of 9) (zone z))
		(control (services "127.0.0.1:9") (start wait) (lease 777))`, local); err != nil {
		t.Fatal(err)
	}
	test := &machineTest{t: t, machine: NewMachine(MachineSettings{Local: local}, 1)}
	test.offer("a", New(1, validBody)).wantRunning(1)
	if !hasAction(test, func(activate Activate) bool {
		router := activate.Settings.Router
		return router.Name == "r7" && router.Index == 3 && router.Routers == 4 && activate.Settings.Control.Lease == 777 && len(activate.Settings.Members) == 7
	}) {
		t.Errorf("%+v", test.actions)
	}
	test.offer("a", New(2, replaceInValid("(of 4)", "(of 3)"))).wantRejected("router number 3 of 3")
	test.offer("a", New(3, []byte(strings.NewReplacer("(zone z)", "(zone y)", "(zone z ", "(zone y ").Replace(string(validBody))))).
		wantRejected(`"z" is no zone`)
	test.wantRunning(1)
}

// invariantChecker runs a machine with a simulated disk and checks each action.
type invariantChecker struct {
	t               *rapid.T
	machine         *Machine
	now             Millis
	disk, writing   *Version
	highestAccepted int64
	running         int64
}

func (g *invariantChecker) handle(event Event) {
	for _, action := range g.machine.Handle(g.now, event, nil) {
		switch action := action.(type) {
		case Store:
			version := action.Version
			g.writing = &version
		case Ack:
			if g.disk == nil || g.disk.Number != action.Number {
				g.t.Fatalf("version %d is accepted but not on disk", action.Number)
			}
			g.highestAccepted = max(g.highestAccepted, action.Number)
		case Activate:
			g.checkActivated(action.Version)
			g.running = action.Version.Number
		}
	}
}

func (g *invariantChecker) checkActivated(version Version) {
	if version.Number < g.highestAccepted || version.Number < g.running {
		g.t.Fatalf("version %d is activated after version %d was accepted and version %d ran", version.Number, g.highestAccepted, g.running)
	}
	if Checksum(version.Body) != version.Sum {
		g.t.Fatal("a corrupt version is activated")
	}
	settings := &config.Settings{}
	if err := config.Read("x", string(version.Body), settings); err != nil {
		g.t.Fatalf("a malformed version is activated: %v", err)
	}
	if reasons := Check(nil, settings, CheckLimits{}); len(reasons) > 0 {
		g.t.Fatalf("a version that fails its checks is activated: %v", reasons)
	}
}

// For any sequence of offers, lost streams, restarts and corrupt data, a router only
// runs versions that passed every check, and never one older than the last accepted.
func TestGuarantee(t *testing.T) {
	bodies := [][]byte{validBody, body("ss", "ssss", ""), body("ssss", "sss", ""), body("ddd", "ssss", ""), []byte("(oops"),
		body("sss", "ssss", "(rules (drain-grace 9000))"), body("s", "s", "")}
	rapid.Check(t, func(t *rapid.T) {
		checker := &invariantChecker{t: t, machine: NewMachine(MachineSettings{}, 3)}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			checker.now += float64(rapid.IntRange(0, 40000).Draw(t, "pass"))
			switch rapid.IntRange(0, 6).Draw(t, "op") {
			case 0, 1, 2:
				version := New(int64(rapid.IntRange(0, 12).Draw(t, "number")), bodies[rapid.IntRange(0, len(bodies)-1).Draw(t, "body")])
				if rapid.IntRange(0, 9).Draw(t, "damage") == 0 {
					version.Body = append(slices.Clone(version.Body), '!')
				}
				checker.handle(Offered{rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "service"), version})
			case 3:
				checker.handle(Disconnected{"a"})
			case 4:
				if checker.writing != nil {
					if rapid.Bool().Draw(t, "disk works") {
						checker.disk = checker.writing
						checker.handle(Stored{Number: checker.writing.Number})
					} else {
						checker.handle(Stored{checker.writing.Number, errors.New("full")})
					}
					checker.writing = nil
				}
			case 5:
				checker.handle(Tick{})
			case 6: // killed at any point and restarted
				if checker.writing != nil && rapid.Bool().Draw(t, "the write was complete") {
					checker.disk = checker.writing // on disk, but the machine was not notified
				}
				checker.writing = nil
				checker.machine = NewMachine(MachineSettings{}, 4)
				checker.running = 0
				if checker.disk == nil || rapid.IntRange(0, 5).Draw(t, "store damaged") == 0 {
					checker.disk, checker.highestAccepted = nil, 0 // quarantined: what was accepted is unknown
					checker.handle(Restored{Err: errors.New("damaged")})
				} else {
					checker.handle(Restored{Version: *checker.disk, Age: float64(rapid.IntRange(0, 1e6).Draw(t, "age"))})
				}
			}
		}
	})
}
