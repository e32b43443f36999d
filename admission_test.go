package indigospool

import (
	"fmt"
	"math/rand"
	"testing"
)

// TestFirstTriesGoBeforeRepeats: a client's repeat has lost most of its worth,
// so it waits behind a first try. It guards against repeats crowding out what
// could still be on time.
func TestFirstTriesGoBeforeRepeats(t *testing.T) {
	g := newRig(t, testSettings())
	g.r.link.limit = 0
	for _, retry := range []bool{true, false} {
		id := fmt.Sprint(retry)
		for _, s := range sends(g.do(Request{ID: id, Class: "video", Object: id, KB: 100, Retry: retry, Deadline: g.now + 6000})) {
			g.do(Outcome{ID: id, Cache: s.Cache, Result: Miss, Took: 1})
		}
	}
	g.r.link.limit = 1
	if s := sends(g.wait(tickSpan)); len(s) != 1 || s[0].ID != "false" {
		t.Errorf("with room for one, sent %v", s)
	}
}

// TestLeastRoomIsShared: the fills of all routers of a location meet on one
// link. Where they are many, one may fill for a part of the time only, else
// twice their number is out when the link bears ten. It guards against full
// links, whatever fills them; it may hold fills back for chance in few figures.
func TestLeastRoomIsShared(t *testing.T) {
	for _, c := range []struct {
		routers int
		most    float64 // room left in a lasting shortage
	}{{1, minLimit}, {2, minLimit}, {20, minSharedLimit / 20}} {
		s := testSettings()
		s.RoutersByZone = []int{0, c.routers}
		g := newRig(t, s)
		for range 100 {
			g.wait(200)
			g.r.adjustLimit(&g.r.link, transfer{slow: true, succeeded: true, took: 1000, sizeStated: true})
		}
		if room := g.r.link.limit; room != c.most {
			t.Errorf("%d routers: each keeps room for %v fills", c.routers, room)
		}
		if c.most < 1 && (g.r.link.available(g.now) || !g.r.link.available(g.now+20000)) {
			t.Error("the fraction of a place is not a part of the time")
		}
	}
}

// TestChanceIsNoShortage: where sizes are not told, one in five that take long are large
// ones, and as they come by chance they leave the gate its room; a lasting shortage is
// still seen. It guards against a link that is taken to be full and is not.
func TestChanceIsNoShortage(t *testing.T) {
	g, rng := newRig(t, testSettings()), rand.New(rand.NewSource(5))
	least := initialLimit
	for range 5000 {
		g.now += 5
		g.r.adjustLimit(&g.r.link, transfer{slow: rng.Float64() < 0.2, succeeded: true, took: 100})
		least = min(least, g.r.link.limit)
	}
	if least < initialLimit*0.9 {
		t.Errorf("room came down to %v by chance", least)
	}
	for range 400 {
		g.now += 25
		g.r.adjustLimit(&g.r.link, transfer{slow: true, succeeded: true, took: 1000})
	}
	if g.r.link.limit > minLimit+1 {
		t.Errorf("room is %v in a lasting shortage", g.r.link.limit)
	}
}

// TestFarSourceIsNoFullLink: fills that wait long for a source and then come at once leave
// the link its room, as long as the wait is within the aim; one that takes more than all
// of the aim counts, and so does a slow transfer. It guards against few fills at once
// where each waits for a far source; it relieves a source less that is merely slow.
func TestFarSourceIsNoFullLink(t *testing.T) {
	for _, c := range []struct {
		took, waited Millis // the aim of a page of 500 KB is 450
		full         bool
	}{{400, 350, false}, {400, 20, true}, {600, 500, true}} {
		g := newRig(t, testSettings())
		for i := range 400 {
			id, acts := g.ask("page", fmt.Sprint("x", i), 0)
			if len(sends(acts)) == 0 {
				g.wait(100)
				continue
			}
			s := sends(acts)[0]
			acts = g.do(Outcome{ID: id, Cache: s.Cache, Result: Miss})
			if g.wait(c.took); len(sends(acts)) > 0 {
				g.do(Outcome{ID: id, Attempt: 1, Cache: s.Cache, Result: OK, Note: NoteFilled, Took: c.took, Waited: c.waited, Last: true})
			}
		}
		if full := g.r.link.limit < initialLimit; full != c.full {
			t.Errorf("took %v, of it %v for the source: room %v", c.took, c.waited, g.r.link.limit)
		}
	}
}

// Answers that wait for their clients hold no place of a cache, and don't make it look
// silent; once they go on they do again.
func TestStalled(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		s := testSettings()
		r, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := Millis(1000)
		r.Handle(now, Members{Full: true, Rows: []Member{{ID: "b", Zone: s.Zone, Kind: "box", Size: 1}, {ID: "o", Kind: s.OriginKind}}}, nil)
		ask := func(id string) (sent bool) {
			for _, a := range r.Handle(now, Request{ID: id, Class: s.Classes[0].Name, Object: "o", Deadline: now + 60000}, nil) {
				if send, ok := a.(Send); ok && send.ID == id && send.Cache == "b" {
					sent = true
				}
			}
			return sent
		}
		for i := range int(initialLimit) {
			id := fmt.Sprint("slow", i)
			if !ask(id) {
				t.Fatal("not sent", i)
			}
			r.Handle(now, Started{ID: id, Cache: "b"}, nil)
			if stalled {
				r.Handle(now, Stalled{ID: id, On: true}, nil)
				r.Handle(now, Stalled{ID: id, On: true}, nil) // told twice counts once
			}
		}
		for range 200 {
			now += 25
			r.Handle(now, Timer{}, nil)
		}
		if got := ask("still"); got != stalled || r.members["b"].ejected == stalled {
			t.Errorf("stalled %v: sent %v, suspect %v", stalled, got, r.members["b"].ejected)
		}
		for i := range int(initialLimit) {
			id := fmt.Sprint("slow", i)
			r.Handle(now, Stalled{ID: id}, nil)
			r.Handle(now, Outcome{ID: id, Cache: "b", Result: OK, Last: true, Took: 5000}, nil)
		}
		r.Handle(now, Outcome{ID: "still", Cache: "b", Result: OK, Last: true}, nil)
		if b := r.members["b"]; b.inFlight != 0 || b.pendingTime < 0 || b.pendingTime > 1e-6 {
			t.Errorf("stalled %v: %v are held, %v expected", stalled, b.inFlight, b.pendingTime)
		}
	}
}
