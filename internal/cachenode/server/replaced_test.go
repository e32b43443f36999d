package server

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"indigospool/internal/protocol/fetchheader"
	"indigospool/internal/testbed/testserver"
)

// A source is replaced by another process at its address. The cache sends nothing on a connection to
// the former process, and each write runs once, at the new one.
func TestSourceReplacedAtItsAddress(t *testing.T) {
	r := newRig(t, "")
	address := r.origin.Addr()
	write := func(key string) int {
		res, _, err := r.fetch("/order/"+key, allowFill, func(a *fetchheader.Attempt, q *http.Request) {
			a.SourceAddress = address
			q.Method, q.Body, q.ContentLength = "POST", io.NopCloser(strings.NewReader("hello")), 5
			q.Header.Set(fetchheader.IdempotencyKeyField, key)
		})
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode
	}
	for round := range 4 {
		r.fetchVerified("/still/1/a"+string(rune('a'+round)), allowFill) // leaves an idle connection
		if status := write("k" + string(rune('a'+round))); status != 200 {
			t.Errorf("round %d: write got status %d, want 200", round, status)
		}
		r.origin.Kill()
		var err error
		for range 100 {
			if r.origin, err = testserver.Start(testserver.Config{ID: "o2", Role: "origin", Listen: address, Flow: 500, Classes: classes}, r.trafficLog); err == nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if n := r.writesExecuted(); n != 4 {
		t.Errorf("%d writes ran, want 4", n)
	}
}
