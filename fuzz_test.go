package indigospool

import (
	"fmt"
	"testing"
)

// FuzzInvariants feeds legal and odd event sequences and checks what can be
// seen from the actions. It models no servers: outcomes are picked by the
// input.
func FuzzInvariants(f *testing.F) {
	for _, seed := range [][]byte{
		{0, 1, 2, 3, 4, 5, 6, 7, 8, 9},
		[]byte("requests and outcomes in turn, with drains and purges between"),
		{1, 1, 1, 1, 12, 12, 12, 3, 3, 3, 24, 36, 48, 60, 5, 5, 6, 7, 2, 2, 2},
		{255, 254, 128, 127, 64, 200, 201, 202, 203, 204, 13, 26, 39, 52, 65},
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, in []byte) { newWatch(t, testSettings()).run(in) })
}

// TestInvariantsOverSettings runs the same checks under other settings.
func TestInvariantsOverSettings(t *testing.T) {
	in := make([]byte, 3000)
	h := uint64(1)
	for i := range in {
		h = mix(h + uint64(i))
		in[i] = byte(h)
	}
	for i, change := range []func(*Settings){
		func(*Settings) {},
		func(s *Settings) { s.Direct, s.Siblings = false, Everywhere },
		func(s *Settings) { s.ParentKind, s.Detail, s.FlowKBPerMs = "", DetailOff, 0 },
		func(s *Settings) { s.MaxAttempts, s.Cancels, s.OnRequest = 1, false, true },
		func(s *Settings) { s.MaxAttempts, s.Joins, s.SizesCompare, s.Siblings = 2, true, true, Location },
		func(s *Settings) { s.FallTime, s.ColdTime, s.Tick, s.Zones, s.RoutersByZone = 0, 0, 0, nil, nil },
	} {
		s := testSettings()
		change(&s)
		t.Run(fmt.Sprint(i), func(t *testing.T) { newWatch(t, s).run(in) })
	}
}

// watch follows a router's actions and knows what it was told.
type watch struct {
	t      *testing.T
	s      Settings
	r      *Router
	now    Millis
	reqs   map[string]*watched
	ids    []string
	told   map[string]Millis // when a member was heard to be draining or gone
	purged map[string]Millis // when the last purge of an object was made
	wakes  []wake
}

type wake struct {
	at    Millis
	token int64
}

type watched struct {
	Request
	sent, out int
	open      map[int]Send
	ended     bool
	maybe     bool // an attempt may have run
	effect    Effect
}

func newWatch(t *testing.T, s Settings) *watch {
	r, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	w := &watch{t: t, s: s, r: r, now: 1000, reqs: map[string]*watched{}, told: map[string]Millis{},
		purged: map[string]Millis{}}
	w.feed(Members{Full: true, Rows: baseRows()})
	return w
}

func (w *watch) feed(ev Event) {
	for _, a := range w.r.Handle(w.now, ev, nil) {
		switch a := a.(type) {
		case Wake:
			if a.In < 0 {
				w.t.Fatal("a wake in the past")
			}
			w.wakes = append(w.wakes, wake{w.now + a.In, a.Token})
		case Refuse:
			w.end(a.ID, true)
		case Fail:
			w.end(a.ID, false)
		case Send:
			w.send(a)
		case Cancel:
			if q := w.reqs[a.ID]; !w.s.Cancels || q == nil || a.Attempt >= q.sent {
				w.t.Fatalf("cancel of %v", a)
			}
		}
	}
}

func (w *watch) end(id string, refused bool) {
	q := w.reqs[id]
	if q == nil || q.ended {
		w.t.Fatalf("a second final answer for %s", id)
	}
	if refused && q.maybe && q.effect == SingleShot {
		w.t.Fatalf("%s is refused though it may have run", id)
	}
	q.ended = true
}

func (w *watch) send(a Send) {
	q := w.reqs[a.ID]
	switch {
	case q == nil || q.ended:
		w.t.Fatalf("a send after the end: %v", a)
	case q.out > 0:
		w.t.Fatalf("two attempts out: %v", a)
	case q.sent >= w.s.MaxAttempts:
		w.t.Fatalf("too many attempts: %v", a)
	case a.Age <= 0 || a.Source == "" || a.Timeout < 0:
		w.t.Fatalf("a malformed send: %+v", a)
	case q.effect == SingleShot && q.maybe:
		w.t.Fatalf("%s is sent again though it may have run", a.ID)
	}
	for _, id := range []string{a.Cache, a.Source} {
		if at, ok := w.told[id]; ok && w.now > at+w.s.DrainGrace {
			w.t.Fatalf("%s is used %v after its drain", id, w.now-at)
		}
	}
	if at, ok := w.purged[q.Object]; ok && w.now < at+w.s.PurgeTakes && a.Age > max(w.now-at, minCopyAge) {
		w.t.Fatalf("age %v allows a copy from before the purge %v ago", a.Age, w.now-at)
	}
	member := w.r.members[a.Cache]
	if member == nil || member.role == foreign || member.role != edge && !w.s.Direct {
		w.t.Fatalf("sent to %s, which takes no attempts", a.Cache)
	}
	q.open[q.sent] = a
	q.sent, q.out = q.sent+1, q.out+1
	q.maybe = true
}

// run turns each byte, or a few, into an event.
func (w *watch) run(in []byte) {
	classes := []string{"video", "page", "save", "once", "keyed"}
	for i, b := range in {
		switch arg := int(b / 12); b % 12 {
		case 0, 1, 2:
			c := w.r.classes[classes[arg%5]]
			q := &watched{Request: Request{ID: fmt.Sprint("q", i), Class: c.Name, Object: fmt.Sprint("o", arg%4),
				Part: arg - 2, KB: float64(arg * 50), Group: arg % 2, Deadline: w.now + c.Deadline/2},
				open: map[int]Send{}, effect: c.Effect}
			w.reqs[q.ID] = q
			w.ids = append(w.ids, q.ID)
			w.feed(q.Request)
		case 3, 4, 5, 6:
			w.settle(arg, Result(int(b)%9))
		case 7:
			if len(w.ids) > 0 {
				q := w.reqs[w.ids[arg%len(w.ids)]]
				q.ended = true
				w.feed(Gone{ID: q.ID})
			}
		case 8:
			row := baseRows()[arg%7]
			row.State = State(arg % 3)
			if row.State == Serving {
				row.ReadyAt = w.now
				delete(w.told, row.ID)
			} else if _, ok := w.told[row.ID]; !ok {
				w.told[row.ID] = w.now
			}
			rows := []Member{row}
			if arg > 13 { // a burst: it drains, goes and is back, new, in one piece of news
				rows = rows[:0]
				for _, st := range []State{Draining, Removed, Serving} {
					row.State, row.ReadyAt = st, w.now
					rows = append(rows, row)
				}
				delete(w.told, row.ID)
			}
			w.feed(Members{Rows: rows})
		case 9:
			o := fmt.Sprint("o", arg%4)
			w.purged[o] = max(w.purged[o], w.now-float64(arg))
			w.feed(Purge{Object: o, Age: float64(arg)})
		case 10: // odd: nothing of this is known
			w.feed(Outcome{ID: fmt.Sprint("q", arg), Attempt: arg + 50, Result: Errored})
			w.feed(Timer{Token: 1 << 60})
			w.feed(Members{Lost: true})
			w.feed(Probed{Cache: "nowhere"})
			w.feed(Started{ID: "never"})
			w.feed(Message{From: arg})
		case 11:
			w.pass(float64(arg * 20))
		}
	}
	w.pass(20000)
	for _, id := range w.ids {
		if !w.reqs[id].ended {
			w.t.Fatalf("%s got no final answer", id)
		}
	}
}

// settle ends the oldest open attempt of some request.
func (w *watch) settle(arg int, res Result) {
	for k := range w.ids {
		q := w.reqs[w.ids[(arg+k)%len(w.ids)]]
		for n := range q.sent {
			s, ok := q.open[n]
			if !ok {
				continue
			}
			delete(q.open, n)
			q.out--
			q.maybe = !res.RanNot()
			last := q.ended || res == OK
			q.ended = last
			w.feed(Outcome{ID: q.ID, Attempt: n, Cache: s.Cache, Result: res, Took: 5, Last: last, Note: Note(arg % 11)})
			return
		}
	}
}

// pass lets time go by with the wakes that were asked for.
func (w *watch) pass(span Millis) {
	for end := w.now + span; ; {
		k := -1
		for i, x := range w.wakes {
			if x.at <= end && (k < 0 || x.at < w.wakes[k].at) {
				k = i
			}
		}
		if k < 0 {
			w.now = end
			return
		}
		x := w.wakes[k]
		w.wakes = append(w.wakes[:k], w.wakes[k+1:]...)
		w.now = max(w.now, x.at)
		w.feed(Timer{Token: x.token})
	}
}
