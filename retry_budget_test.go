package indigospool

import (
	"fmt"
	"testing"
)

// TestRetryReserve: what is left at last of the retry budget is for the classes that earn most.
// Seen in an overload in which reads spent it: a third of the writes that the origin had turned
// away were refused with up to 2.9 s of their 3 s left, since no retry was to be had.
func TestRetryReserve(t *testing.T) {
	for _, c := range []struct {
		class   string
		budget  float64
		retries bool
	}{
		{"page", retryReserve + 1, true},
		{"page", retryReserve + 0.9, false},
		{"video", retryReserve + 0.9, false},
		{"save", retryReserve + 0.9, true},
		{"save", 1, true},
		{"save", 0.9, false},
		{"once", 1, true},
	} {
		t.Run(fmt.Sprint(c.class, "/", c.budget), func(t *testing.T) {
			g := newRig(t, testSettings())
			id, acts := g.ask(c.class, "x", 0)
			first := g.one(acts)
			g.r.retryTokens = c.budget
			acts = g.do(Outcome{ID: id, Cache: first.Cache, Result: ConnectFailed, Took: 1})
			if again := len(sends(acts)) == 1; again != c.retries {
				t.Errorf("sent again %v, want %v: %v", again, c.retries, acts)
			}
		})
	}
}
