package indigospool

import (
	"fmt"
	"testing"
)

// TestLocalFailure: a machine without descriptors, ports or buffers for a moment costs requests
// neither their attempts nor their answers. Seen with Moot in place of it: six sends to one cache
// at one millisecond, and then a refusal with 3,000 ms left.
func TestLocalFailure(t *testing.T) {
	for _, class := range []string{"page", "save", "once", "keyed"} {
		for _, shortage := range []Millis{1, 50, 2000} {
			t.Run(fmt.Sprint(class, "/", shortage), func(t *testing.T) {
				g := newRig(t, testSettings())
				id, acts := g.ask(class, "x", 0)
				ends, sent := g.now+shortage, map[Millis]int{}
				for attempt, g0 := 0, g.now; g.now < g0+2900; {
					if count, _ := finals(acts); count > 0 {
						t.Fatalf("a final answer %.0f ms after the request: %v", g.now-g0, acts)
					}
					if len(sends(acts)) == 0 {
						acts = g.wait(tickSpan)
						continue
					}
					send := g.one(acts)
					if sent[g.now]++; sent[g.now] > 1 {
						t.Fatalf("%d sends at once, %.0f ms after the request", sent[g.now], g.now-g0)
					}
					result := LocalFailure
					if g.now >= ends {
						result = OK
					}
					acts = g.do(Outcome{ID: id, Cache: send.Cache, Attempt: attempt, Result: result, Last: result == OK})
					attempt++
					if result == OK {
						if late := g.now - ends; late > 2*maxLocalBackoff {
							t.Errorf("served %.0f ms after the shortage", late)
						}
						if attempt > 60 {
							t.Errorf("%d attempts", attempt)
						}
						return
					}
				}
				t.Error("never served")
			})
		}
	}
}

// TestLocalFailureSpendsNothing: of a member's and the link's room, of budgets and of its record.
func TestLocalFailureSpendsNothing(t *testing.T) {
	g := newRig(t, testSettings())
	id, send, attempt := g.fill("page", "x", 0)
	at, source := g.r.members[send.Cache], g.r.members[send.Source]
	retries := g.r.retryTokens
	before := [...]float64{at.inFlight, g.r.link.inFlight, at.faultShare, source.faultShare}
	g.do(Outcome{ID: id, Cache: send.Cache, Attempt: attempt, Result: LocalFailure})
	after := [...]float64{at.inFlight + 1, g.r.link.inFlight + 1, at.faultShare, source.faultShare}
	if before != after || g.r.retryTokens != retries || at.ejected || source.ejected {
		t.Errorf("before %v, after %v; retries %v, %v", before, after, retries, g.r.retryTokens)
	}
}

// TestLocalFailureGoesElsewhere: want of a route or of a port may concern one member only.
func TestLocalFailureGoesElsewhere(t *testing.T) {
	g := newRig(t, testSettings())
	id, acts := g.ask("page", "x", 0)
	first := g.one(acts).Cache
	for attempt := range 8 {
		for len(sends(acts)) == 0 {
			acts = g.wait(tickSpan)
		}
		if send := g.one(acts); send.Cache != first {
			return
		}
		acts = g.do(Outcome{ID: id, Cache: first, Attempt: attempt, Result: LocalFailure})
	}
	t.Errorf("eight attempts, all at %s", first)
}
