package rollout

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"indigospool/internal/controlplane/configversion"
)

// body is a valid configuration with one cache in zone z for each letter, s serving or
// d draining, and four parents.
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

var good = body("sss", "")

// service is a rollout with routers' machines behind it, all in one.
type service struct {
	t       rapid.TB
	r       *Rollout
	now     configversion.Millis
	routers map[string]*configversion.Machine
	served  func(router string, running int64) float64
	log     []any
	kept    State
	refuse  map[string]bool
	deaf    map[string]bool
}

func newService(t rapid.TB, routers int) *service {
	s := &service{t: t, r: New(Settings{}, State{}), routers: map[string]*configversion.Machine{},
		served: func(string, int64) float64 { return 0.99 }, refuse: map[string]bool{}, deaf: map[string]bool{}}
	for i := range routers {
		id := fmt.Sprintf("r%03d", i)
		s.routers[id] = configversion.NewMachine(configversion.MachineSettings{}, uint64(i))
		s.tell(Connected{Router: id})
	}
	return s
}

func (s *service) tell(ev any) {
	queue := []any{ev}
	for len(queue) > 0 {
		ev, queue = queue[0], queue[1:]
		for _, a := range s.r.Handle(s.now, ev, nil) {
			s.log = append(s.log, a)
			switch a := a.(type) {
			case Persist:
				if a.State.LastNumber < s.kept.LastNumber {
					s.t.Fatalf("the last number went back from %d to %d", s.kept.LastNumber, a.State.LastNumber)
				}
				s.kept = a.State
			case Offer:
				if a.Version.Number > s.kept.LastNumber {
					s.t.Fatalf("version %d is offered before it is kept", a.Version.Number)
				}
				queue = append(queue, s.router(a)...)
			}
		}
	}
}

// router is what a router's machine answers to an offer.
func (s *service) router(o Offer) (answers []any) {
	m := s.routers[o.Router]
	if s.deaf[o.Router] {
		return nil
	}
	if s.refuse[o.Router] {
		return []any{Nacked{o.Router, o.Version.Number, []string{"its disk is full"}}}
	}
	acts := m.Handle(s.now, configversion.Offered{Service: "svc", Version: o.Version}, nil)
	for _, a := range acts {
		switch a := a.(type) {
		case configversion.Store:
			for _, b := range m.Handle(s.now, configversion.Stored{Number: a.Version.Number}, nil) {
				if ack, ok := b.(configversion.Ack); ok {
					answers = append(answers, Acked{o.Router, ack.Number})
				}
			}
		case configversion.Ack:
			answers = append(answers, Acked{o.Router, a.Number})
		case configversion.Nack:
			var why []string
			for _, r := range a.Reasons {
				why = append(why, r.String())
			}
			answers = append(answers, Nacked{o.Router, a.Number, why})
		}
	}
	return answers
}

func (s *service) pass(span configversion.Millis) {
	for end := s.now + span; s.now < end; {
		s.now += 1000
		for id, m := range s.routers {
			m.Handle(s.now, configversion.Heartbeat{Service: "svc"}, nil)
			s.tell(LoadReport{id, 1000 * s.served(id, m.Running()), 1000})
		}
		s.tell(Tick{})
	}
}

func (s *service) running() map[int64]int {
	n := map[int64]int{}
	for _, m := range s.routers {
		n[m.Running()]++
	}
	return n
}

func said[T any](s *service) (out []T) {
	for _, a := range s.log {
		if t, ok := a.(T); ok {
			out = append(out, t)
		}
	}
	return out
}

func TestStages(t *testing.T) {
	s := newService(t, 50)
	s.tell(Push{Body: good})
	s.pass(2000)
	if s.running()[1] != 50 {
		t.Fatalf("the first version: %v", s.running())
	}
	s.tell(Push{Body: body("ssss", "")})
	for _, want := range []int{1, 5, 50} {
		s.pass(5000)
		if got := s.running()[2]; got != want {
			t.Fatalf("after %v: %d routers run the second, want %d", s.now, got, want)
		}
		s.pass(28000)
	}
	if f := said[Completed](s); len(f) != 2 || f[1].Number != 2 {
		t.Errorf("finished: %v", f)
	}
}

func TestHaltedByARefusal(t *testing.T) {
	s := newService(t, 50)
	s.tell(Push{Body: good})
	s.pass(2000)
	for i := range 50 { // not in the first stage's one, surely in the second's five: all but one
		id := fmt.Sprintf("r%03d", i)
		s.refuse[id] = true
	}
	s.tell(Push{Body: body("ssss", "")})
	h := said[Halted](s)
	if len(h) != 1 || h[0].Number != 2 || !strings.Contains(h[0].Reason, "its disk is full") {
		t.Fatalf("halted: %+v", h)
	}
	clear(s.refuse)
	s.tell(Push{Body: body("ssss", "")})
	s.pass(120000)
	if got := s.running()[s.kept.LastNumber]; got != 50 {
		t.Errorf("a version after that: %v", s.running())
	}
}

// A version that the routers' own checks refuse goes no further than one.
func TestBadVersionStopsAtOne(t *testing.T) {
	s := newService(t, 50)
	s.tell(Push{Body: good})
	s.pass(2000)
	s.tell(Push{Body: body("ddd", "")})
	s.pass(60000)
	offered := 0
	for _, o := range said[Offer](s) {
		if o.Version.Number == 2 {
			offered++
		}
	}
	h := said[Halted](s)
	if offered != 1 || len(h) != 1 || !strings.Contains(h[0].Reason, "none of its 3 caches is serving") {
		t.Errorf("offered to %d, halted %+v", offered, h)
	}
	if n := s.running(); n[1]+n[3] != 50 || n[2] > 0 {
		t.Errorf("running: %v", n)
	}
}

// Service falls at those who run the version: it is halted in its second
// stage, and they get the old content under a new number.
func TestHaltedByService(t *testing.T) {
	s := newService(t, 50)
	s.tell(Push{Body: good})
	s.pass(2000)
	s.served = func(_ string, running int64) float64 {
		if running == 2 {
			return 0.8
		}
		return 0.99
	}
	s.tell(Push{Body: body("ssss", "")})
	s.pass(60000)
	if h := said[Halted](s); len(h) != 1 || !strings.Contains(h[0].Reason, "is 19.0 points of a hundred less than before, at the others 0.0") {
		t.Fatalf("halted: %+v", h)
	}
	if n := s.running(); n[3] != 50 {
		t.Errorf("running: %v", n)
	}
	if string(s.kept.Base.Body) != string(good) {
		t.Error("the old content is not what all are offered")
	}
}

// What befalls all routers, and what was so before, is not the version's doing.
func TestOthersFallToo(t *testing.T) {
	s := newService(t, 50)
	s.served = func(id string, _ int64) float64 { // some zones are worse off than others
		return map[bool]float64{true: 0.6, false: 0.99}[id < "r025"]
	}
	s.tell(Push{Body: good})
	s.pass(20000)
	usual := s.served
	s.served = func(id string, n int64) float64 { return usual(id, n) - 0.2 }
	s.tell(Push{Body: body("ssss", "")})
	s.pass(120000)
	if h := said[Halted](s); len(h) != 0 || s.running()[2] != 50 {
		t.Errorf("halted: %+v; %v", h, s.running())
	}
}

// A service that lost its state gives numbers above those its routers know.
func TestStateLost(t *testing.T) {
	s := newService(t, 6)
	for range 4 {
		s.tell(Push{Body: good, Force: true})
		s.tell(Push{Body: body("ssss", ""), Force: true})
	}
	s.pass(2000)
	s.r, s.kept = New(Settings{}, State{}), State{}
	for id, m := range s.routers {
		s.tell(Connected{id, m.HighestAccepted()})
	}
	if a := said[NumberAhead](s); len(a) != 1 || a[0].Number != 8 {
		t.Errorf("%+v", a)
	}
	s.tell(Push{Body: good, Force: true})
	s.pass(2000)
	if s.running()[9] != 6 {
		t.Errorf("%v", s.running())
	}
}

func TestHaltedByHand(t *testing.T) {
	s := newService(t, 50)
	s.tell(Push{Body: good})
	s.tell(Halt{"nothing is under way"})
	s.tell(Push{Body: body("ssss", "")})
	s.pass(2000)
	s.tell(Halt{"by hand"})
	s.pass(2000)
	if h := said[Halted](s); len(h) != 1 || s.running()[3] != 50 || string(s.kept.Base.Body) != string(good) {
		t.Errorf("%+v, %v", h, s.running())
	}
}

func TestHaltedBySilence(t *testing.T) {
	s := newService(t, 50)
	s.tell(Push{Body: good})
	s.pass(2000)
	for id := range s.routers {
		s.deaf[id] = true
	}
	s.tell(Push{Body: body("ssss", "")})
	s.pass(130000)
	if h := said[Halted](s); len(h) != 1 || !strings.Contains(h[0].Reason, "have not answered") {
		t.Errorf("halted: %+v", h)
	}
}

// A service killed at any moment goes on from what it kept: no number is given
// twice, and the fleet comes level.
func TestServiceRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newService(t, 6)
		contents := map[int64]string{}
		bodies := [][]byte{good, body("ssss", ""), body("ss", ""), body("ddd", "")}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				s.tell(Push{Body: bodies[rapid.IntRange(0, 3).Draw(t, "body")], Force: rapid.IntRange(0, 5).Draw(t, "force") == 0})
			case 2:
				s.pass(float64(rapid.IntRange(1, 12).Draw(t, "pass")) * 1000)
			case 3:
				s.r = New(Settings{}, s.kept)
				for id, m := range s.routers {
					s.tell(Connected{id, m.HighestAccepted()})
				}
			}
		}
		for _, o := range said[Offer](s) {
			if was, ok := contents[o.Version.Number]; ok && was != o.Version.Sum {
				t.Fatalf("number %d was given to two contents", o.Version.Number)
			}
			contents[o.Version.Number] = o.Version.Sum
		}
		s.tell(Push{Body: good, Force: true})
		s.pass(3000)
		if n := s.running(); n[s.kept.LastNumber] != 6 {
			t.Fatalf("not level after a forced push of %d: %v", s.kept.LastNumber, n)
		}
	})
}

// A router whose disk was full for a while comes level by itself.
func TestOfferedAgain(t *testing.T) {
	s := newService(t, 6)
	s.tell(Push{Body: good})
	s.refuse["r003"] = true
	s.tell(Push{Body: body("ssss", ""), Force: true})
	s.pass(10000)
	if n := s.running(); n[2] != 5 {
		t.Fatalf("%v", n)
	}
	clear(s.refuse)
	s.pass(65000)
	if n := s.running(); n[2] != 6 {
		t.Errorf("%v", n)
	}
}

// Not always the same routers go first.
func TestFirstRoutersVary(t *testing.T) {
	s := newService(t, 50)
	s.tell(Push{Body: good})
	first := map[string]bool{}
	for i := range 12 {
		s.pass(2000)
		before := len(s.log)
		s.tell(Push{Body: body("sss", fmt.Sprintf("; %d", i))})
		if k := slices.IndexFunc(s.log[before:], func(a any) bool { _, ok := a.(Offer); return ok }); k >= 0 {
			first[s.log[before+k].(Offer).Router] = true
		}
	}
	if len(first) < 6 {
		t.Errorf("only %d of 50 routers were first in 12 rollouts", len(first))
	}
}
