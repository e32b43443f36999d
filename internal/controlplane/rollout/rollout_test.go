package rollout

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"indigospool/internal/controlplane/configversion"
)

// body returns a valid configuration with four parents and, for each letter, one cache
// in zone z: s serving, d draining.
func body(caches, extra string) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "(router (zone z) (of 4)) (zone z (routers 4) (hub h)) (zone h)\n(class c) (route \"/c/{object}\" (class c))\n%s\n", extra)
	for i, letter := range caches {
		state := map[rune]string{'s': "serving", 'd': "draining"}[letter]
		fmt.Fprintf(&text, "(member b%d (kind box) (zone z) (state %s) (address \"127.0.0.1:%d\"))\n", i, state, 9000+i)
	}
	for i := range 4 {
		fmt.Fprintf(&text, "(member p%d (kind parent) (zone h) (state serving) (address \"127.0.0.1:%d\"))\n", i, 9000+i)
	}
	return []byte(text.String())
}

var validBody = body("sss", "")

// simulation is a rollout together with the machines of its routers.
type simulation struct {
	t           rapid.TB
	rollout     *Rollout
	now         configversion.Millis
	routers     map[string]*configversion.Machine
	inTimeShare func(router string, running int64) float64
	actions     []any
	persisted   State
	reject      map[string]bool
	silent      map[string]bool
}

func newSimulation(t rapid.TB, routers int) *simulation {
	s := &simulation{t: t, rollout: New(Settings{}, State{}), routers: map[string]*configversion.Machine{},
		inTimeShare: func(string, int64) float64 { return 0.99 }, reject: map[string]bool{}, silent: map[string]bool{}}
	for i := range routers {
		id := fmt.Sprintf("r%03d", i)
		s.routers[id] = configversion.NewMachine(configversion.MachineSettings{}, uint64(i))
		s.handle(Connected{Router: id})
	}
	return s
}

func (s *simulation) handle(event any) {
	queue := []any{event}
	for len(queue) > 0 {
		event, queue = queue[0], queue[1:]
		for _, action := range s.rollout.Handle(s.now, event, nil) {
			s.actions = append(s.actions, action)
			switch action := action.(type) {
			case Persist:
				if action.State.LastNumber < s.persisted.LastNumber {
					s.t.Fatalf("the last number decreased from %d to %d", s.persisted.LastNumber, action.State.LastNumber)
				}
				s.persisted = action.State
			case Offer:
				if action.Version.Number > s.persisted.LastNumber {
					s.t.Fatalf("version %d is offered before it is persisted", action.Version.Number)
				}
				queue = append(queue, s.router(action)...)
			}
		}
	}
}

// router returns the events by which a router's machine answers an offer.
func (s *simulation) router(offer Offer) (answers []any) {
	machine := s.routers[offer.Router]
	if s.silent[offer.Router] {
		return nil
	}
	if s.reject[offer.Router] {
		return []any{Nacked{offer.Router, offer.Version.Number, []string{"its disk is full"}}}
	}
	actions := machine.Handle(s.now, configversion.Offered{Service: "svc", Version: offer.Version}, nil)
	for _, action := range actions {
		switch action := action.(type) {
		case configversion.Store:
			for _, reply := range machine.Handle(s.now, configversion.Stored{Number: action.Version.Number}, nil) {
				if ack, ok := reply.(configversion.Ack); ok {
					answers = append(answers, Acked{offer.Router, ack.Number})
				}
			}
		case configversion.Ack:
			answers = append(answers, Acked{offer.Router, action.Number})
		case configversion.Nack:
			var why []string
			for _, reason := range action.Reasons {
				why = append(why, reason.String())
			}
			answers = append(answers, Nacked{offer.Router, action.Number, why})
		}
	}
	return answers
}

func (s *simulation) advance(span configversion.Millis) {
	for end := s.now + span; s.now < end; {
		s.now += 1000
		for id, machine := range s.routers {
			machine.Handle(s.now, configversion.Heartbeat{Service: "svc"}, nil)
			s.handle(LoadReport{id, 1000 * s.inTimeShare(id, machine.Running()), 1000})
		}
		s.handle(Tick{})
	}
}

func (s *simulation) running() map[int64]int {
	n := map[int64]int{}
	for _, m := range s.routers {
		n[m.Running()]++
	}
	return n
}

func actionsOfType[T any](s *simulation) (out []T) {
	for _, a := range s.actions {
		if t, ok := a.(T); ok {
			out = append(out, t)
		}
	}
	return out
}

func TestStages(t *testing.T) {
	sim := newSimulation(t, 50)
	sim.handle(Push{Body: validBody})
	sim.advance(2000)
	if sim.running()[1] != 50 {
		t.Fatalf("after the first version: %v", sim.running())
	}
	sim.handle(Push{Body: body("ssss", "")})
	for _, want := range []int{1, 5, 50} {
		sim.advance(5000)
		if got := sim.running()[2]; got != want {
			t.Fatalf("after %v ms: %d routers run version 2, want %d", sim.now, got, want)
		}
		sim.advance(28000)
	}
	if f := actionsOfType[Completed](sim); len(f) != 2 || f[1].Number != 2 {
		t.Errorf("completed: %v", f)
	}
}

func TestHaltedByRejection(t *testing.T) {
	sim := newSimulation(t, 50)
	sim.handle(Push{Body: validBody})
	sim.advance(2000)
	for i := range 50 { // whichever router the first stage selects
		id := fmt.Sprintf("r%03d", i)
		sim.reject[id] = true
	}
	sim.handle(Push{Body: body("ssss", "")})
	h := actionsOfType[Halted](sim)
	if len(h) != 1 || h[0].Number != 2 || !strings.Contains(h[0].Reason, "its disk is full") {
		t.Fatalf("halted: %+v", h)
	}
	clear(sim.reject)
	sim.handle(Push{Body: body("ssss", "")})
	sim.advance(120000)
	if got := sim.running()[sim.persisted.LastNumber]; got != 50 {
		t.Errorf("the version pushed after that: %v", sim.running())
	}
}

// A version that the routers' own checks reject is offered to one router only.
func TestInvalidVersionStopsAtOneRouter(t *testing.T) {
	sim := newSimulation(t, 50)
	sim.handle(Push{Body: validBody})
	sim.advance(2000)
	sim.handle(Push{Body: body("ddd", "")})
	sim.advance(60000)
	offered := 0
	for _, o := range actionsOfType[Offer](sim) {
		if o.Version.Number == 2 {
			offered++
		}
	}
	h := actionsOfType[Halted](sim)
	if offered != 1 || len(h) != 1 || !strings.Contains(h[0].Reason, "none of its 3 caches is serving") {
		t.Errorf("offered to %d, halted %+v", offered, h)
	}
	if n := sim.running(); n[1]+n[3] != 50 || n[2] > 0 {
		t.Errorf("running: %v", n)
	}
}

// If the in-time share drops at the routers that run the version, the rollout is halted
// in its second stage, and they get the old content under a new number.
func TestHaltedByInTimeDrop(t *testing.T) {
	sim := newSimulation(t, 50)
	sim.handle(Push{Body: validBody})
	sim.advance(2000)
	sim.inTimeShare = func(_ string, running int64) float64 {
		if running == 2 {
			return 0.8
		}
		return 0.99
	}
	sim.handle(Push{Body: body("ssss", "")})
	sim.advance(60000)
	if h := actionsOfType[Halted](sim); len(h) != 1 || !strings.Contains(h[0].Reason, "fell by 19.0 percentage points at routers that run it, and by 0.0 at the others") {
		t.Fatalf("halted: %+v", h)
	}
	if n := sim.running(); n[3] != 50 {
		t.Errorf("running: %v", n)
	}
	if string(sim.persisted.Base.Body) != string(validBody) {
		t.Error("the base version does not have the old content")
	}
}

// Neither a drop at all routers nor a low in-time share from before the rollout halts
// it.
func TestNotHaltedWhenAllRoutersDrop(t *testing.T) {
	sim := newSimulation(t, 50)
	sim.inTimeShare = func(id string, _ int64) float64 { // half of the routers have a low in-time share
		return map[bool]float64{true: 0.6, false: 0.99}[id < "r025"]
	}
	sim.handle(Push{Body: validBody})
	sim.advance(20000)
	usual := sim.inTimeShare
	sim.inTimeShare = func(id string, n int64) float64 { return usual(id, n) - 0.2 }
	sim.handle(Push{Body: body("ssss", "")})
	sim.advance(120000)
	if h := actionsOfType[Halted](sim); len(h) != 0 || sim.running()[2] != 50 {
		t.Errorf("halted: %+v; %v", h, sim.running())
	}
}

// A service that lost its state assigns numbers above those that its routers know.
func TestStateLost(t *testing.T) {
	sim := newSimulation(t, 6)
	for range 4 {
		sim.handle(Push{Body: validBody, Force: true})
		sim.handle(Push{Body: body("ssss", ""), Force: true})
	}
	sim.advance(2000)
	sim.rollout, sim.persisted = New(Settings{}, State{}), State{}
	for id, m := range sim.routers {
		sim.handle(Connected{id, m.HighestAccepted()})
	}
	if a := actionsOfType[NumberAhead](sim); len(a) != 1 || a[0].Number != 8 {
		t.Errorf("%+v", a)
	}
	sim.handle(Push{Body: validBody, Force: true})
	sim.advance(2000)
	if sim.running()[9] != 6 {
		t.Errorf("%v", sim.running())
	}
}

func TestHaltedByHand(t *testing.T) {
	sim := newSimulation(t, 50)
	sim.handle(Push{Body: validBody})
	sim.handle(Halt{"no rollout in progress"})
	sim.handle(Push{Body: body("ssss", "")})
	sim.advance(2000)
	sim.handle(Halt{"by hand"})
	sim.advance(2000)
	if h := actionsOfType[Halted](sim); len(h) != 1 || sim.running()[3] != 50 || string(sim.persisted.Base.Body) != string(validBody) {
		t.Errorf("%+v, %v", h, sim.running())
	}
}

func TestHaltedByAnswerTimeout(t *testing.T) {
	sim := newSimulation(t, 50)
	sim.handle(Push{Body: validBody})
	sim.advance(2000)
	for id := range sim.routers {
		sim.silent[id] = true
	}
	sim.handle(Push{Body: body("ssss", "")})
	sim.advance(130000)
	if h := actionsOfType[Halted](sim); len(h) != 1 || !strings.Contains(h[0].Reason, "have not answered") {
		t.Errorf("halted: %+v", h)
	}
}

// A service killed at any moment continues from its persisted state: it assigns no
// number twice, and all routers end up with the same version.
func TestServiceRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, 6)
		contents := map[int64]string{}
		bodies := [][]byte{validBody, body("ssss", ""), body("ss", ""), body("ddd", "")}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				sim.handle(Push{Body: bodies[rapid.IntRange(0, 3).Draw(t, "body")], Force: rapid.IntRange(0, 5).Draw(t, "force") == 0})
			case 2:
				sim.advance(float64(rapid.IntRange(1, 12).Draw(t, "pass")) * 1000)
			case 3:
				sim.rollout = New(Settings{}, sim.persisted)
				for id, m := range sim.routers {
					sim.handle(Connected{id, m.HighestAccepted()})
				}
			}
		}
		for _, o := range actionsOfType[Offer](sim) {
			if was, ok := contents[o.Version.Number]; ok && was != o.Version.Sum {
				t.Fatalf("number %d was assigned to two contents", o.Version.Number)
			}
			contents[o.Version.Number] = o.Version.Sum
		}
		sim.handle(Push{Body: validBody, Force: true})
		sim.advance(3000)
		if n := sim.running(); n[sim.persisted.LastNumber] != 6 {
			t.Fatalf("not all routers run version %d after a forced push: %v", sim.persisted.LastNumber, n)
		}
	})
}

// A router that rejected a version because its disk was full gets that version later.
func TestReoffered(t *testing.T) {
	sim := newSimulation(t, 6)
	sim.handle(Push{Body: validBody})
	sim.reject["r003"] = true
	sim.handle(Push{Body: body("ssss", ""), Force: true})
	sim.advance(10000)
	if n := sim.running(); n[2] != 5 {
		t.Fatalf("%v", n)
	}
	clear(sim.reject)
	sim.advance(65000)
	if n := sim.running(); n[2] != 6 {
		t.Errorf("%v", n)
	}
}

// The first stage does not always select the same routers.
func TestFirstRoutersVary(t *testing.T) {
	sim := newSimulation(t, 50)
	sim.handle(Push{Body: validBody})
	first := map[string]bool{}
	for i := range 12 {
		sim.advance(2000)
		before := len(sim.actions)
		sim.handle(Push{Body: body("sss", fmt.Sprintf("; %d", i))})
		if k := slices.IndexFunc(sim.actions[before:], func(a any) bool { _, ok := a.(Offer); return ok }); k >= 0 {
			first[sim.actions[before+k].(Offer).Router] = true
		}
	}
	if len(first) < 6 {
		t.Errorf("only %d of 50 routers were first in 12 rollouts", len(first))
	}
}
