package httpfront

import (
	"net/http"
	"testing"
	"time"

	"indigospool/internal/proxy/engine"
	"indigospool/internal/testbed/testserver"
	"indigospool/internal/testbed/trafficlog"
)

// A request that waited for a connection to a cache was sent to the cache's former address after the
// cache had moved, where another process may listen.
func TestCacheMovesWhileRequestWaits(t *testing.T) {
	rig := newRig(t, 1, "(upstream 1)")
	old := rig.caches["b0"]
	moved := rig.start(testserver.Config{ID: "moved", Role: "box"})
	defer moved.Kill()
	if res, _, err := rig.get("/s/1/warm"); err != nil || res.StatusCode != 200 {
		t.Fatalf("response %v, error %v; want 200", res, err)
	}
	received := func(id string) int {
		return rig.countRecords(func(record trafficlog.Record) bool {
			return record.Event == trafficlog.AttemptReceived && record.Subject == id
		})
	}
	before := received("b0")
	old.Fault(testserver.Fault{Kind: testserver.Hang, For: 400})
	statuses := make(chan int, 2)
	ask := func(path string) {
		res, _, err := rig.get(path)
		if err != nil {
			res = &http.Response{}
		}
		statuses <- res.StatusCode
	}
	go ask("/s/1/first")
	rig.waitFor("the first request", func(s *Stats, _ *engine.Core) bool { return s.Held == 1 })
	time.Sleep(50 * time.Millisecond)
	go ask("/s/1/second")
	rig.waitFor("the second request", func(s *Stats, _ *engine.Core) bool { return s.Held == 2 })
	rig.setMember("b0", "box", "z", "serving", moved.Addr())
	for range 2 {
		if status := <-statuses; status != 200 {
			t.Errorf("status %d, want 200", status)
		}
	}
	if n := received("b0") - before; n > 1 {
		t.Errorf("%d attempts at the former address, want only the one that was sent before the move", n)
	}
	if received("moved") == 0 {
		t.Error("no attempt at the new address")
	}
}
