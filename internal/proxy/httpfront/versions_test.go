package httpfront

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/service"
	"indigospool/internal/proxy/engine"
	"indigospool/internal/proxy/hotrestart"
	"indigospool/internal/testbed/testserver"
	"indigospool/internal/testbed/trafficlog"
)

// versionRig is a router that follows a control service, with caches, a parent and an origin that
// the config versions list.
type versionRig struct {
	*testRig
	dir, protocol string
	service       *service.Service
	members       map[string]string // settings of the members by ID
	closeRouter   func()
}

// versionSettings are the settings of a config version without its members.
const versionSettings = `(router (of 2)) (zone z (routers 1)) (zone h)
(limits (linger 200) (connect 150)) (fill (flow 100) (direct) (joins))
(class still (aim 400) (deadline 3000))
(route "/s/{group}/{object}" (class still))
`

// newVersionRig starts the test servers and the control service, but no router yet. protocol is
// the setting of how config versions are transferred.
func newVersionRig(t testing.TB, protocol string) *versionRig {
	rig := &versionRig{dir: t.TempDir(), protocol: protocol, members: map[string]string{}}
	rig.testRig = &testRig{t: t, records: trafficlog.NewWriter(nil), caches: map[string]*testserver.Server{}, log: &bytes.Buffer{}}
	rig.origin = rig.start(testserver.Config{ID: "o", Role: "origin"})
	parent := rig.start(testserver.Config{ID: "p", Role: "parent", Upstream: rig.origin.Addr()})
	for i := range 3 {
		id := fmt.Sprintf("b%d", i)
		rig.caches[id] = rig.start(testserver.Config{ID: id, Role: "box"})
		rig.listMember(id, "box", "z", "serving", rig.caches[id].Addr(), 0)
	}
	rig.listMember("p", "parent", "h", "serving", parent.Addr(), 0)
	rig.listMember("o", "origin", "h", "serving", rig.origin.Addr(), 0)
	rig.startService("127.0.0.1:0")
	t.Cleanup(func() {
		rig.stopRouter()
		rig.service.Close()
		for _, cache := range rig.caches {
			cache.Kill()
		}
		parent.Kill()
		rig.origin.Kill()
		if t.Failed() {
			t.Logf("log:\n%s", rig.logText())
		}
	})
	return rig
}

func (r *versionRig) logText() string {
	r.logMu.Lock()
	defer r.logMu.Unlock()
	return r.log.String()
}

// listMember adds a member to later config versions, or changes it.
func (r *versionRig) listMember(id, kind, zone, state, addr string, start int) {
	r.members[id] = fmt.Sprintf("(member %s (kind %s) (zone %s) (state %s) (start %d) (address %q))\n", id, kind, zone, state, start, addr)
}

// startService starts the control service with the store of the rig.
func (r *versionRig) startService(listen string) {
	var settings service.Settings
	if err := config.Read("svc", fmt.Sprintf(`(service (listen %q) (admin "127.0.0.1:0") (store %q) (reports 100))
		(rollout (hold 50))`, listen, filepath.Join(r.dir, "svc.db")), &settings); err != nil {
		r.t.Fatal(err)
	}
	var err error
	for range 200 { // until the address is free
		if r.service, err = service.Start(&settings, zap.NewNop(), nil); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatal(err)
}

// push pushes a config version of the text and the present members, and returns its number.
func (r *versionRig) push(text string, now bool) int64 {
	r.t.Helper()
	for _, member := range r.members {
		text += member
	}
	n, _, err := r.service.PushSources([]config.Source{{File: "test", Text: text}}, now)
	if err != nil {
		r.t.Fatal(err)
	}
	return n
}

// startRouter starts the router with local settings. start is the setting that says what it starts
// with, and rest is appended.
func (r *versionRig) startRouter(start, rest string) {
	r.t.Helper()
	var settings config.Settings
	text := fmt.Sprintf(`(router (name e1) (me 1) (of 2) (zone z) (listen "127.0.0.1:0") (admin "127.0.0.1:0"))
		(control (services %q) (store %q) (protocol %s) (backoff 20) (spread 20) (report 100) (start %s)) %s`, r.service.Addr(),
		filepath.Join(r.dir, "good.db"), r.protocol, start, rest)
	if err := config.Read("own.edn", text, &settings); err != nil {
		r.t.Fatal(err)
	}
	log := newAccessLog(lockedWriter{&r.logMu, r.log}, 1000, "info")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	edge, end, err := Open(ctx, &settings, log)
	if err != nil {
		r.t.Fatal(err)
	}
	r.edge, r.stopped, r.done = edge, false, make(chan error, 1)
	r.closeRouter = func() { end(); log.Close() }
	go func() { r.done <- edge.Run() }()
	if err := edge.Ready(); err != nil {
		r.t.Fatal(err)
	}
}

func (r *versionRig) stopRouter() {
	if r.edge != nil && !r.stopped {
		r.stop()
		r.closeRouter()
	}
}

// waitForVersion waits until the router has activated a config version.
func (r *versionRig) waitForVersion(number int64) {
	r.t.Helper()
	r.waitFor(fmt.Sprintf("version %d", number), func(*Stats, *engine.Core) bool { return r.edge.version == number })
}

// mustGet sends a GET, and fails the test unless the response is 200.
func (r *versionRig) mustGet(path string) {
	r.t.Helper()
	if res, _, err := r.get(path); err != nil || res.StatusCode != 200 {
		r.t.Fatalf("%s: response %v, error %v; want 200", path, res, err)
	}
}

// adminState returns /state of the router's admin interface.
func (r *versionRig) adminState() (out struct {
	Version  int64 `json:"version"`
	Versions struct {
		Running, Accepted int64
		Stream            string
		List              []struct {
			Number  int64
			State   string
			Reasons []string
		}
	} `json:"versions"`
}) {
	res, err := http.Get("http://" + r.edge.AdminAddr() + "/state")
	if err != nil {
		r.t.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&out); err != nil {
		r.t.Fatal(err)
	}
	return out
}

// A router follows config versions: it waits for the first, activates changes of classes, routes
// and members, rejects an invalid version, and restarts from its store while the service is down.
func TestConfigVersions(t *testing.T) {
	for _, protocol := range []string{"delta", "full"} {
		t.Run(protocol, func(t *testing.T) {
			rig := newVersionRig(t, protocol)
			rig.push(versionSettings, false)
			rig.startRouter("wait", "")
			rig.waitForVersion(1)
			rig.mustGet("/s/1/a")
			if res, _, _ := rig.get("/t/1/a"); res.StatusCode != 404 {
				t.Errorf("route of a later version: status %d, want 404", res.StatusCode)
			}
			more := versionSettings + `(class thumb (deadline 2000)) (route "/t/{group}/{object}" (class still))` + "\n"
			rig.push(more, false)
			rig.waitForVersion(2)
			rig.mustGet("/t/1/a")
			rig.mustGet("/s/1/a")

			// A cache drains: once the version is active, it gets no new attempts.
			rig.listMember("b0", "box", "z", "draining", rig.caches["b0"].Addr(), 0)
			rig.push(more, true)
			rig.waitForVersion(3)
			drainedAt := trafficlog.Now()
			for i := range 30 {
				rig.mustGet(fmt.Sprintf("/s/1/d%d", i))
			}
			if n := rig.countRecords(func(x trafficlog.Record) bool {
				return x.Event == trafficlog.AttemptReceived && (x.Subject == "b0" || x.Source == "b0") && x.Time > drainedAt
			}); n > 0 {
				t.Errorf("%d attempts at a draining cache, want 0", n)
			}

			// An invalid version is rejected with the reason, and changes nothing.
			bad := strings.Replace(more, "(zone z (routers 1))", "(zone z (routers 1)) (zone empty (routers 1))", 1)
			for _, m := range rig.members {
				bad += m
			}
			if _, err := rig.service.PushUnchecked([]byte(bad), true); err != nil {
				t.Fatal(err)
			}
			for range 300 {
				if status := rig.adminState().Versions; len(status.List) > 0 && status.List[len(status.List)-1].State == "refused" {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			status := rig.adminState()
			last := status.Versions.List[len(status.Versions.List)-1]
			if status.Version != 3 || last.Number != 4 || last.State != "refused" || !strings.Contains(strings.Join(last.Reasons, " "), "zone/empty") {
				t.Errorf("state after an invalid version %+v, want version 3 running and 4 refused because of the zone", status)
			}
			if r := rig.service.View().Routers; len(r) != 1 || r[0].Rejected != 4 || !strings.Contains(strings.Join(r[0].Reasons, " "), "zone/empty") {
				t.Errorf("the service lists the routers %+v, want one that has rejected version 4 because of the zone", r)
			}
			rig.mustGet("/s/1/e")

			// The cache serves again after a restart: it is warming up, and it is used.
			rig.listMember("b0", "box", "z", "serving", rig.caches["b0"].Addr(), 2)
			rig.push(more, true)
			rig.waitForVersion(5)
			rig.edge.Query(func(_ *Stats, c *engine.Core) {
				if m, _ := c.Member("b0"); m.ReadyAt <= 0 {
					t.Error("a restarted cache counts as warmed up")
				}
			})

			// The router reports the share of requests that it served in time.
			for i := range 20 {
				rig.mustGet(fmt.Sprintf("/s/1/f%d", i))
			}
			for range 300 {
				if r := rig.service.View().Routers; len(r) == 1 && r[0].InTimeShare >= 0 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if r := rig.service.View().Routers; r[0].InTimeShare < 0.9 || r[0].InTimeShare > 1 {
				t.Errorf("reported by the router: %+v, want a share in time of 0.9 to 1", r)
			}

			// The router restarts while the service is down.
			addr := rig.service.Addr()
			rig.service.Close()
			rig.mustGet("/s/1/g")
			rig.stopRouter()
			rig.startRouter("wait", "")
			rig.waitForVersion(5)
			rig.mustGet("/t/1/h")
			rig.edge.Query(func(_ *Stats, c *engine.Core) {
				if m, _ := c.Member("b0"); m.ReadyAt <= 0 {
					t.Error("after the router's restart, a cache that was restarted recently counts as warmed up")
				}
				if m, _ := c.Member("b1"); m.ReadyAt > 0 {
					t.Error("after the router's restart, a cache that has served all along counts as warming up")
				}
			})
			if status := rig.adminState(); status.Version != 5 || !strings.HasPrefix(status.Versions.Stream, "lost") && status.Versions.Stream != "not connected" {
				t.Errorf("state without a service %+v, want version 5 running and the stream lost or not connected", status)
			}
			rig.startService(addr)
			if n := rig.push(more+"\n(class last)", false); n != 6 {
				t.Errorf("the restarted service gives number %d, want 6", n)
			}
			rig.waitForVersion(6)
			rig.mustGet("/s/1/i")
		})
	}
}

// Without a stored version and without a reachable service, the router starts with its settings
// file. It follows the service as soon as that is reachable.
func TestStartFromFile(t *testing.T) {
	rig := newVersionRig(t, "delta")
	addr := rig.service.Addr()
	rig.service.Close()
	file := versionSettings[strings.Index(versionSettings, "(zone z"):]
	for _, m := range rig.members {
		file += m
	}
	rig.startRouter("file", file)
	rig.mustGet("/s/1/a")
	if st := rig.adminState(); st.Version != 0 {
		t.Errorf("router runs version %d, want 0", st.Version)
	}
	rig.startService(addr)
	delete(rig.members, "b2")
	rig.push(versionSettings, false)
	rig.waitForVersion(1)
	activatedAt := trafficlog.Now()
	for i := range 20 {
		rig.mustGet(fmt.Sprintf("/s/1/x%d", i))
	}
	if n := rig.countRecords(func(x trafficlog.Record) bool {
		return x.Event == trafficlog.AttemptReceived && x.Subject == "b2" && x.Time > activatedAt
	}); n > 0 {
		t.Errorf("%d attempts at a cache that the version does not list, want 0", n)
	}
}

// Five restarts under load of a router that follows config versions, with and without a store. No
// request is lost, and the successor starts with the active version. A version that arrives while
// the predecessor drains reaches that too, and after a successor has failed, the predecessor
// reacquires the store.
func TestRestartsWithVersions(t *testing.T) {
	for _, stored := range []bool{true, false} {
		t.Run(fmt.Sprintf("stored %v", stored), func(t *testing.T) {
			rig := newVersionRig(t, "delta")
			path := filepath.Join(rig.dir, "handover")
			versionText := versionSettings + `(class order (write) (effect guarded) (group all) (window 2000) (deadline 3000)) (route "/o/{object}" (class order))
`
			start := func() (edge *Edge, done chan error) {
				t.Helper()
				var settings config.Settings
				store := ""
				if stored {
					store = fmt.Sprintf("(store %q)", filepath.Join(rig.dir, "good.db"))
				}
				text := fmt.Sprintf(`(router (name e1) (me 1) (of 2) (zone z) (listen "127.0.0.1:0") (handover %q))
					(control (services %q) %s (backoff 20) (spread 20) (start wait))`, path, rig.service.Addr(), store)
				if err := config.Read("own.edn", text, &settings); err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				edge, end, err := Open(ctx, &settings, newAccessLog(lockedWriter{&rig.logMu, rig.log}, 10000, "info"))
				if err != nil {
					t.Fatal(err)
				}
				done = make(chan error, 1)
				go func() { err := edge.Run(); end(); done <- err }()
				if err := edge.Ready(); err != nil {
					t.Fatal(err)
				}
				rig.edge = edge
				return edge, done
			}
			mustEnd := func(done chan error) {
				t.Helper()
				select {
				case err := <-done:
					if err != nil {
						t.Error(err)
					}
				case <-time.After(8 * time.Second):
					t.Fatal("the predecessor does not end")
				}
			}
			rig.stopped = true // this test stops its routers itself
			rig.push(versionText, false)
			edge, done := start()
			rig.waitForVersion(1)

			var stop atomic.Bool
			users := &restartRig{testRig: rig.testRig, current: edge}
			wait := users.sendRequests(8, &stop)
			number := int64(1)
			for i := range 5 {
				rig.caches["b1"].Fault(testserver.Fault{Kind: testserver.Hang, For: 700}) // so that the predecessor drains for a while
				time.Sleep(50 * time.Millisecond)
				old, oldDone := edge, done
				edge, done = start()
				rig.waitForVersion(number)
				state := []string{"draining", "serving"}[i%2]
				rig.listMember("b0", "box", "z", state, rig.caches["b0"].Addr(), i/2)
				number = rig.push(versionText, true)
				rig.waitForVersion(number)
				activated := false
				for range 50 {
					err := old.Query(func(*Stats, *engine.Core) { activated = old.version == number })
					if activated || err != nil {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				if i == 0 && !activated {
					t.Error("the draining router has not activated the version")
				}
				mustEnd(oldDone)
			}
			stop.Store(true)
			if sent, failed, first := wait(); failed > 0 || sent < 200 {
				t.Errorf("%d of %d requests failed; the first: %s", failed, sent, first)
			}
			if r := rig.service.View().Routers; len(r) != 1 || r[0].Running != number {
				t.Errorf("the service lists the routers %+v, want one that runs the last version", r)
			}

			// A successor that fails: the router serves on, and stores config versions again.
			inherited, err := hotrestart.TakeOver(path)
			if err != nil || len(inherited.ConfigVersion) == 0 {
				t.Fatal(err)
			}
			number = rig.push(versionText, true) // while the store is released
			rig.waitForVersion(number)
			inherited.Abort()
			if !stored {
				edge.Stop()
				mustEnd(done)
				return
			}
			for range 300 {
				if err = edge.configClient.store.ReacquireLock(); err == nil {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			edge.Stop()
			mustEnd(done)
			rig.service.Close()
			edge, done = start()
			rig.waitForVersion(number)
			edge.Stop()
			mustEnd(done)
		})
	}
}
